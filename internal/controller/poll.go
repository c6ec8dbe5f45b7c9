package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

const (
	askTimeout  = 500 * time.Millisecond
	readTimeout = 600 * time.Millisecond
)

// Job implements api.Backend. Whichever node a user's connection stays on, it
// asks the leader, reads the store itself, or has another node do so.
func (c *Controller) Job(ctx context.Context, id string) (api.JobState, error) {
	r, err := c.poll(ctx, id)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err != nil || r.answered {
		return r.st, r.err
	}
	if r.leader != "" && c.Peers != nil {
		if st, err := c.ask(ctx, r.leader, id); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return st, err
		}
	}
	err = api.ErrUnavailable
	if !r.storeLost {
		lctx, cancel := context.WithTimeout(ctx, readTimeout)
		st, lerr := c.lookup(lctx, id)
		cancel()
		if lerr == nil || errors.Is(lerr, api.ErrUnknownJob) {
			return st, lerr
		}
		err = lerr
	}
	for _, node := range r.others {
		if st, err := c.ask(ctx, node, id); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return st, err
		}
	}
	return api.JobState{}, err
}

// ask asks another node about a job.
func (c *Controller) ask(ctx context.Context, node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	st, err := c.Peers.Job(ctx, node, id)
	if err == nil && st.Final() {
		return st, c.tellFinal(ctx, st)
	}
	return st, err
}

// PeerJob answers another node's question: the leader from its memory, others
// from the store.
func (c *Controller) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	r, err := c.poll(ctx, id)
	switch {
	case err != nil:
		return api.JobState{}, err
	case r.err != nil || r.answered:
		return r.st, r.err
	case r.storeLost:
		return api.JobState{}, api.ErrUnavailable
	}
	return c.lookup(ctx, id)
}

// poll asks the owner about a job.
func (c *Controller) poll(ctx context.Context, id string) (pollReply, error) {
	m := &pollMsg{id: id, reply: make(chan pollReply, 1)}
	m.deadline, _ = ctx.Deadline()
	if err := c.send(ctx, m); err != nil {
		return pollReply{}, err
	}
	return await(ctx, c, m.reply)
}

// pollReply either answers a poll, or names the leader to ask; with neither,
// the store must be read.
type pollReply struct {
	st       api.JobState
	answered bool
	leader   string
	// others are further nodes to ask, whom the store answers.
	others []string
	// storeLost is set while the store does not answer this node.
	storeLost bool
	err       error
}

type pollMsg struct {
	id       string
	deadline time.Time
	reply    chan pollReply
}

func (m *pollMsg) apply(c *Controller) {
	if st, ok := c.final.Get(m.id); ok {
		m.reply <- pollReply{st: st, answered: true}
		return
	}
	if c.leaderTerm != nil && c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.knows(m.id) {
		c.leaderTerm.confirm.add(m)
		return
	}
	now := time.Now()
	reply := pollReply{storeLost: !c.peerTable.storeOK}
	if c.leaderTerm == nil {
		reply.leader = c.leads(now)
	}
	for name, n := range c.peerTable.nodes {
		if name != reply.leader && n.reached(now) && n.StoreOK > 0 {
			reply.others = append(reply.others, name)
		}
	}
	m.reply <- reply
}

// confirmer makes sure that the leader's memory is as new as the store before
// it is told to users. Any node cancels jobs by its own transaction, so the
// leader may not have heard yet; and a leader that was held up may have been
// followed by another. One comparison of the two keys' versions serves all
// polls that came before it was sent.
type confirmer struct {
	leaderTerm *leaderTerm
	waiting    []*pollMsg
	busy       bool
	// last is when the store was last asked. It is so from time to time even if
	// nobody polls: the leader must know that it knows all cancellations.
	last time.Time
}

func (f *confirmer) add(m *pollMsg) {
	f.waiting = append(f.waiting, m)
	f.start()
}

func (f *confirmer) start() {
	if f.busy || (len(f.waiting) == 0 && time.Since(f.last) < f.leaderTerm.c.proofInterval()) {
		return
	}
	f.last = time.Now()
	f.busy = true
	lt, batch, sent := f.leaderTerm, f.waiting, f.last
	f.waiting = nil
	txn := store.Txn{Guards: []store.Guard{lt.termCompare(), {Key: store.CancelKey, Mark: lt.cancelMark}}}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 700*time.Millisecond)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, txn)
		lt.sendToOwner(confirmedMsg{lt, batch, sent, res, err})
	}()
}

// confirmPause keeps polls from taking more than a few requests a second; it is
// small against what users wait for an answer.
const confirmPause = 200 * time.Millisecond

type confirmedMsg struct {
	leaderTerm *leaderTerm
	batch      []*pollMsg
	sent       time.Time
	res        store.Result
	err        error
}

func (m confirmedMsg) apply(c *Controller) {
	f := &m.leaderTerm.confirm
	switch {
	case c.leaderTerm != m.leaderTerm || m.err != nil:
		for _, p := range m.batch {
			p.reply <- pollReply{err: api.ErrUnavailable}
		}
	case m.res.OK:
		m.leaderTerm.cancellationsConfirmedAt = m.sent
		for _, p := range m.batch {
			p.reply <- m.leaderTerm.answer(p.id)
		}
	case m.leaderTerm.checkTermConflict(m.res):
		for _, p := range m.batch {
			p.reply <- pollReply{err: api.ErrUnavailable}
		}
	default:
		// A cancellation is on its way through the watch.
		now := time.Now()
		for _, p := range m.batch {
			if now.Before(p.deadline.Add(-200 * time.Millisecond)) {
				f.waiting = append(f.waiting, p)
			} else {
				p.reply <- pollReply{err: api.ErrUnavailable}
			}
		}
	}
	if c.leaderTerm == m.leaderTerm {
		time.AfterFunc(confirmPause, func() { m.leaderTerm.sendToOwner(confirmNextMsg{m.leaderTerm}) })
	}
}

type confirmNextMsg struct{ leaderTerm *leaderTerm }

func (m confirmNextMsg) apply(c *Controller) {
	if c.leaderTerm == m.leaderTerm {
		m.leaderTerm.confirm.busy = false
		m.leaderTerm.confirm.start()
	}
}

// knows tells whether this cell's users may know a job that is active.
func (lt *leaderTerm) knows(id string) bool {
	j := lt.jobs[id]
	return j != nil && j.guest == nil
}

// answer is what the leader's memory says of a job.
func (lt *leaderTerm) answer(id string) pollReply {
	if st, ok := lt.c.final.Get(id); ok {
		return pollReply{st: st, answered: true}
	}
	j := lt.jobs[id]
	switch {
	case j == nil || j.guest != nil:
		return pollReply{} // the store knows
	case j.cancelPending:
		// One that it needs is cancelled on record, and that stays so. However many
		// jobs follow from one cancellation, their users need not wait for the
		// write rate.
		return pollReply{st: api.JobState{ID: id, Phase: api.JobWithdrawn, Derived: true}, answered: true}
	case j.ending, len(j.awaits) > 0 && lt.pipeline.unresolved():
		// In the second case one that it needs may be cancelled, and an earlier
		// leader or another node may have told so.
		return pollReply{}
	}
	return pollReply{st: j.state(), answered: true}
}
