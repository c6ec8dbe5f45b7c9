package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
)

const (
	peerQueryTimeout = 500 * time.Millisecond
	readTimeout      = 600 * time.Millisecond
)

// Job implements api.Backend. Whichever node a user's connection stays on, it
// asks the leader, reads the store itself, or has another node do so.
func (c *Controller) Job(ctx context.Context, id string) (api.JobState, error) {
	r, err := c.poll(ctx, id)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err != nil || r.answered {
		return r.state, r.err
	}
	if r.leader != "" && c.Peers != nil {
		if st, err := c.queryPeer(ctx, r.leader, id); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return st, err
		}
	}
	err = api.ErrUnavailable
	if !r.kvUnreachable {
		lctx, cancel := context.WithTimeout(ctx, readTimeout)
		st, lerr := c.lookup(lctx, id)
		cancel()
		if lerr == nil || errors.Is(lerr, api.ErrUnknownJob) {
			return st, lerr
		}
		err = lerr
	}
	for _, node := range r.otherNodes {
		if st, err := c.queryPeer(ctx, node, id); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return st, err
		}
	}
	return api.JobState{}, err
}

// queryPeer asks another node about a job.
func (c *Controller) queryPeer(ctx context.Context, node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	st, err := c.Peers.Job(ctx, node, id)
	if err == nil && st.Final() {
		return st, c.publishFinalState(ctx, st)
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
		return r.state, r.err
	case r.kvUnreachable:
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
	state    api.JobState
	answered bool
	leader   string
	// otherNodes are further nodes to ask, whom the store answers.
	otherNodes []string
	// kvUnreachable is set while the store does not answer this node.
	kvUnreachable bool
	err           error
}

type pollMsg struct {
	id       string
	deadline time.Time
	reply    chan pollReply
}

func (m *pollMsg) apply(c *Controller) {
	if st, ok := c.final.Get(m.id); ok {
		m.reply <- pollReply{state: st, answered: true}
		return
	}
	if c.leaderTerm != nil && c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.knowsJob(m.id) {
		c.leaderTerm.readIndex.enqueue(m)
		return
	}
	now := time.Now()
	reply := pollReply{kvUnreachable: !c.membership.kvReachable}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
	}
	for name, mb := range c.membership.members {
		if name != reply.leader && mb.isReachable(now) && mb.KVReachableFor > 0 {
			reply.otherNodes = append(reply.otherNodes, name)
		}
	}
	m.reply <- reply
}

// knowsJob tells whether this cell's users may know a job that is active.
func (lt *leaderTerm) knowsJob(id string) bool {
	j := lt.jobs[id]
	return j != nil && j.guest == nil
}

// pollReplyFor is what the leader's memory says of a job.
func (lt *leaderTerm) pollReplyFor(id string) pollReply {
	if st, ok := lt.c.final.Get(id); ok {
		return pollReply{state: st, answered: true}
	}
	j := lt.jobs[id]
	switch {
	case j == nil || j.guest != nil:
		return pollReply{} // the store knows
	case j.cancelPending:
		// One that it needs is cancelled on record, and that stays so. However many
		// jobs follow from one cancellation, their users need not wait for the
		// write rate.
		return pollReply{state: api.JobState{ID: id, Phase: api.JobCancelled, Derived: true}, answered: true}
	case j.ending, len(j.dependsOn) > 0 && lt.dependencies.unresolved():
		// In the second case one that it needs may be cancelled, and an earlier
		// leader or another node may have told so.
		return pollReply{}
	}
	return pollReply{state: j.state(), answered: true}
}
