package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// readIndexer makes sure that the leader's memory is as new as the store before
// it is told to users. Any node cancels jobs by its own transaction, so the
// leader may not have heard yet; and a leader that was held up may have been
// followed by another. One comparison of the two keys' versions serves all
// polls that came before it was sent.
type readIndexer struct {
	leaderTerm *leaderTerm
	waiting    []*pollMsg
	busy       bool
	// lastStarted is when the store was last asked. It is so from time to time even if
	// nobody polls: the leader must know that it knows all cancellations.
	lastStarted time.Time
}

func (ri *readIndexer) enqueue(m *pollMsg) {
	ri.waiting = append(ri.waiting, m)
	ri.startRound()
}

func (ri *readIndexer) startRound() {
	if ri.busy || (len(ri.waiting) == 0 && time.Since(ri.lastStarted) < ri.leaderTerm.c.proofInterval()) {
		return
	}
	ri.lastStarted = time.Now()
	ri.busy = true
	lt, batch, sent := ri.leaderTerm, ri.waiting, ri.lastStarted
	ri.waiting = nil
	txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: records.CancelKey, ModRevision: lt.cancelRevision}}}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 700*time.Millisecond)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, txn)
		lt.sendToOwner(readIndexMsg{lt, batch, sent, res, err})
	}()
}

// readIndexRetryDelay keeps polls from taking more than a few requests a second; it is
// small against what users wait for an answer.
const readIndexRetryDelay = 200 * time.Millisecond

type readIndexMsg struct {
	leaderTerm *leaderTerm
	batch      []*pollMsg
	sent       time.Time
	res        kv.Result
	err        error
}

func (m readIndexMsg) apply(c *Controller) {
	ri := &m.leaderTerm.readIndex
	switch {
	case c.leaderTerm != m.leaderTerm || m.err != nil:
		for _, p := range m.batch {
			p.reply <- pollReply{err: api.ErrUnavailable}
		}
	case m.res.Succeeded:
		m.leaderTerm.cancellationsConfirmedAt = m.sent
		for _, p := range m.batch {
			p.reply <- m.leaderTerm.pollReplyFor(p.id)
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
				ri.waiting = append(ri.waiting, p)
			} else {
				p.reply <- pollReply{err: api.ErrUnavailable}
			}
		}
	}
	if c.leaderTerm == m.leaderTerm {
		time.AfterFunc(readIndexRetryDelay, func() { m.leaderTerm.sendToOwner(readIndexRetryMsg{m.leaderTerm}) })
	}
}

type readIndexRetryMsg struct{ leaderTerm *leaderTerm }

func (m readIndexRetryMsg) apply(c *Controller) {
	if c.leaderTerm == m.leaderTerm {
		m.leaderTerm.readIndex.busy = false
		m.leaderTerm.readIndex.startRound()
	}
}
