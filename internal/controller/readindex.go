package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// readIndexer makes the leader's reads linearizable: before a poll is answered from its memory,
// the store confirms that this is up to date. Any node cancels jobs by its own transaction, which
// the watch may not have delivered yet; and after a process pause another leader may have been
// elected. One comparison of the versions of the term key and the cancel key serves all polls
// that were queued before it was sent (ReadIndex).
type readIndexer struct {
	leaderTerm *leaderTerm
	waiting    []*pollMsg
	// busy is set from the start of a round until readIndexRetryDelay after its end.
	busy bool
	// lastStarted is when the last round was started. Rounds are started at intervals even
	// without polls, because the leader must know that it knows all cancellations.
	lastStarted time.Time
}

const (
	readIndexTimeout = 700 * time.Millisecond
	// readIndexRetryDelay limits polls to a few requests to the store per second. It is short
	// compared with what users wait for a response.
	readIndexRetryDelay = 200 * time.Millisecond
	// pollReserve is how long before its deadline a poll is no longer put off to another
	// round.
	pollReserve = 200 * time.Millisecond
)

// enqueue adds a poll to the next round.
func (ri *readIndexer) enqueue(m *pollMsg) {
	ri.waiting = append(ri.waiting, m)
	ri.startRound()
}

// startRound sends a comparison to the store if polls are waiting for one or the interval has
// passed, unless a round is running.
func (ri *readIndexer) startRound() {
	if ri.busy || (len(ri.waiting) == 0 && time.Since(ri.lastStarted) < ri.leaderTerm.c.confirmationInterval()) {
		return
	}
	ri.lastStarted = time.Now()
	ri.busy = true
	lt, batch, sentAt := ri.leaderTerm, ri.waiting, ri.lastStarted
	ri.waiting = nil
	txn := kv.Txn{Compares: []kv.Compare{
		lt.termCompare(),
		{Key: records.CancelKey, ModRevision: lt.cancelRevision},
	}}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, readIndexTimeout)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, txn)
		lt.sendToOwner(readIndexMsg{leaderTerm: lt, batch: batch, sentAt: sentAt, res: res, err: err})
	}()
}

// readIndexMsg carries the result of a round to the polls that wait for it.
type readIndexMsg struct {
	leaderTerm *leaderTerm
	batch      []*pollMsg
	sentAt     time.Time
	res        kv.Result
	err        error
}

func (m readIndexMsg) apply(*Controller) {
	lt := m.leaderTerm
	switch {
	case lt.hasEnded() || m.err != nil || !m.res.Succeeded && lt.checkTermConflict(m.res):
		for _, poll := range m.batch {
			poll.reply <- pollReply{err: api.ErrUnavailable}
		}
	case m.res.Succeeded:
		lt.cancellationsConfirmedAt = m.sentAt
		for _, poll := range m.batch {
			poll.reply <- lt.pollReplyFor(poll.id)
		}
	default:
		// The watch has yet to deliver a cancellation.
		lt.readIndex.retry(m.batch)
	}
	if !lt.hasEnded() {
		time.AfterFunc(readIndexRetryDelay, func() { lt.sendToOwner(readIndexRetryMsg{lt}) })
	}
}

// retry puts polls off to the next round, except those whose deadline is too close.
func (ri *readIndexer) retry(batch []*pollMsg) {
	now := time.Now()
	for _, poll := range batch {
		if now.Before(poll.deadline.Add(-pollReserve)) {
			ri.waiting = append(ri.waiting, poll)
		} else {
			poll.reply <- pollReply{err: api.ErrUnavailable}
		}
	}
}

// readIndexRetryMsg ends the pause after a round.
type readIndexRetryMsg struct{ leaderTerm *leaderTerm }

func (m readIndexRetryMsg) apply(*Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	m.leaderTerm.readIndex.busy = false
	m.leaderTerm.readIndex.startRound()
}
