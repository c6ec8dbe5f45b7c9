package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// readIndexer makes the leader's reads linearizable (ReadIndex). Before the leader answers a poll
// from its memory, the key-value store must confirm that the memory is up to date. It may be
// outdated for two reasons: any node can cancel a job by its own transaction, which the watch has
// not delivered yet, and another leader may have been elected during a pause of this process.
//
// A round is one transaction that compares the versions of the term key and the cancel key. It
// serves all polls that were queued before it was sent.
type readIndexer struct {
	leaderTerm *leaderTerm
	// waiting holds the polls for the next round.
	waiting []*pollMsg
	// inFlight holds the polls of the present round.
	inFlight []*pollMsg
	// busy is set from the start of a round until readIndexPause after its end.
	busy bool
	// lastStarted is when the last round was started. Rounds are also started at intervals
	// without polls, because the leader needs regular confirmation that it has all
	// cancellations.
	lastStarted time.Time
}

const (
	// readIndexTimeout is the time limit of the transaction of a round.
	readIndexTimeout = 700 * time.Millisecond
	// readIndexPause is the pause between two rounds. It limits polls to a few requests to the
	// store per second, and is short compared with the response time that users expect.
	readIndexPause = 200 * time.Millisecond
	// pollDeadlineMargin is how long before its deadline a poll is no longer deferred to another
	// round. It leaves time for a lookup in the store.
	pollDeadlineMargin = lookupDelay + readIndexPause
)

// enqueue adds a poll to the next round, and starts the round if possible.
func (ri *readIndexer) enqueue(m *pollMsg) {
	ri.waiting = append(ri.waiting, m)
	ri.startRound()
}

// startRound starts a round if polls are waiting or the last round was started at least
// confirmationInterval ago. It does nothing during a round and the pause after it.
func (ri *readIndexer) startRound() {
	if ri.busy || (len(ri.waiting) == 0 && time.Since(ri.lastStarted) < ri.leaderTerm.c.confirmationInterval()) {
		return
	}
	ri.lastStarted = time.Now()
	ri.busy = true
	lt, sentAt := ri.leaderTerm, ri.lastStarted
	ri.inFlight, ri.waiting = ri.waiting, nil
	txn := kv.Txn{Compares: []kv.Compare{
		lt.termCompare(),
		{Key: records.CancelKey, ModRevision: lt.cancelRevision},
	}}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, readIndexTimeout)
		defer cancel()
		result, err := lt.c.Store.Txn(ctx, txn)
		lt.sendToOwner(readIndexMsg{leaderTerm: lt, sentAt: sentAt, result: result, err: err})
	}()
}

// readIndexMsg contains the result of a round.
type readIndexMsg struct {
	leaderTerm *leaderTerm
	sentAt     time.Time
	result     kv.Result
	err        error
}

func (m readIndexMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return // its polls have been replied to
	}
	if m.err == nil && !m.result.Succeeded && lt.checkTermConflict(m.result) {
		return
	}
	batch := lt.readIndex.inFlight
	lt.readIndex.inFlight = nil
	switch {
	case m.err != nil:
		c.replyUnconfirmed(batch)
	case m.result.Succeeded:
		lt.cancellationsConfirmedAt = m.sentAt
		for _, poll := range batch {
			poll.reply <- lt.pollReplyFor(poll.id)
		}
	default:
		// The cancel key has changed: the watch has not delivered a cancellation yet.
		lt.readIndex.retry(batch)
	}
	time.AfterFunc(readIndexPause, func() { lt.sendToOwner(readIndexPauseEndedMsg{lt}) })
}

// retry defers polls to the next round, except those whose deadline is too close. While users cancel
// jobs faster than the watch delivers, no round ever succeeds.
func (ri *readIndexer) retry(batch []*pollMsg) {
	now := time.Now()
	var overdue []*pollMsg
	for _, poll := range batch {
		if now.Before(poll.deadline.Add(-pollDeadlineMargin)) {
			ri.waiting = append(ri.waiting, poll)
		} else {
			overdue = append(overdue, poll)
		}
	}
	ri.leaderTerm.c.replyUnconfirmed(overdue)
}

// end replies to all polls at the end of the term.
func (ri *readIndexer) end() {
	ri.leaderTerm.c.replyUnconfirmed(ri.inFlight)
	ri.leaderTerm.c.replyUnconfirmed(ri.waiting)
	ri.inFlight, ri.waiting = nil, nil
}

// replyUnconfirmed replies that the leader's memory could not be confirmed, so that the polls are
// answered from the store like at any other node.
func (c *Controller) replyUnconfirmed(polls []*pollMsg) {
	for _, poll := range polls {
		reply := c.whereToLookUp(poll.id)
		reply.unconfirmed = true
		poll.reply <- reply
	}
}

// readIndexPauseEndedMsg ends the pause after a round, and starts the next one if it is due.
type readIndexPauseEndedMsg struct{ leaderTerm *leaderTerm }

func (m readIndexPauseEndedMsg) apply(*Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	m.leaderTerm.readIndex.busy = false
	m.leaderTerm.readIndex.startRound()
}
