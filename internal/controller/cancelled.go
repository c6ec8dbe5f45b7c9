package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// To renew a worker's lease is to let its tasks run for a lease longer. So a
// node may do so only if it knows which cancellations users have been told, or
// knew it so lately that the lease ends in time even for one told since. Being
// entitled to lead is no such knowledge: the state service may refuse the leader
// alone, have another node confirm cancellations, and then be down for all.
//
// Two things show that all cancellations told before a moment are known:
//
//   - The store has answered a comparison of the version of its cancel key, sent
//     at that moment.
//   - All other nodes have answered a ping, sent at that moment. A node that
//     learns of a cancellation, by its own transaction, by reading it or from
//     another node, puts it in its log before it tells anybody, and its answers
//     carry what the asker lacks of the log. A log begins with its process, so
//     it counts only if it was whole when the store last answered: what a node
//     told before it was started anew is not in it.
//
// A follower that extends leases knows no more than its leader did when that last
// answered its ping.

// cancelLog is the cancellations that this process knows of, in the order in
// which it learned of them. It forgets those whose tasks must be long gone.
type cancelLog struct {
	entries []cancelEntry
	known   map[string]bool
	// last is the number of the newest entry, from 1 on.
	last uint64
	// since is from when on the log is whole.
	since     time.Time
	retention time.Duration
}

type cancelEntry struct {
	id string
	at time.Time
}

const (
	// maxCancelLog bounds a log, and maxCancelNews what one answer carries of it.
	maxCancelLog  = 4096
	maxCancelNews = 400
)

func newCancelLog(w config.Workers, now time.Time) cancelLog {
	return cancelLog{known: map[string]bool{}, since: now, retention: config.Seconds(w.CancelS) + 2*w.Lease()}
}

// add notes a cancellation.
func (l *cancelLog) add(id string, now time.Time) {
	drop := 0
	for drop < len(l.entries) && (now.Sub(l.entries[drop].at) > l.retention || len(l.entries)-drop >= maxCancelLog) {
		l.since = l.entries[drop].at
		delete(l.known, l.entries[drop].id)
		drop++
	}
	l.entries = l.entries[drop:]
	if l.known[id] {
		return
	}
	id = strings.Clone(id)
	l.known[id] = true
	l.last++
	l.entries = append(l.entries, cancelEntry{id, now})
}

// CancelPosition is how far a node has read another one's log.
type CancelPosition struct {
	Incarnation string
	Number      uint64
}

// CancelNews is what a node's log holds beyond a position.
type CancelNews struct {
	IDs []string
	// First is the number of the first of them, or would be.
	First uint64
	// More is set if there are more than this.
	More bool
	// Whole is for how long the log has been whole.
	Whole time.Duration
}

func (n *CancelNews) end() uint64 { return n.First + uint64(len(n.IDs)) }

// news is what an asker at a position lacks.
func (l *cancelLog) news(number uint64, now time.Time) CancelNews {
	oldest := l.last + 1 - uint64(len(l.entries))
	from := min(max(number+1, oldest), l.last+1)
	entries := l.entries[from-oldest:]
	n := CancelNews{First: from, Whole: now.Sub(l.since)}
	if len(entries) > maxCancelNews {
		entries, n.More = entries[:maxCancelNews], true
	}
	for _, e := range entries {
		n.IDs = append(n.IDs, e.id)
	}
	return n
}

// cancelReader is how far a node has read another one's log.
type cancelReader struct {
	pos CancelPosition
	// whole is from when on all cancellations of the other's log are known,
	// and until when: when the last question was sent that was answered in full.
	whole, until time.Time
}

// take takes in an answer to a question sent at a time.
func (p *cancelReader) take(incarnation string, n *CancelNews, sent, now time.Time) {
	if incarnation == "" {
		return // one that keeps no log
	}
	if p.pos.Incarnation != incarnation || n.First != p.pos.Number+1 {
		*p = cancelReader{whole: now.Add(-n.Whole)}
	}
	p.pos = CancelPosition{Incarnation: incarnation, Number: n.end() - 1}
	if !n.More {
		p.until = sent
	}
}

// cancelled takes in that a job is cancelled on record.
func (c *Controller) cancelled(id string) {
	c.final.Add(id, api.JobState{ID: id, Phase: api.JobWithdrawn})
	c.cancels.add(id, time.Now())
	if c.leadership != nil {
		if j := c.leadership.jobs[id]; j != nil {
			c.leadership.withdraw(j)
		}
		c.leadership.pipeline.cancelled(id)
	}
}

// stopCancelled are the orders that stop the tasks in a report whose jobs are
// over as far as this node knows.
func (c *Controller) stopCancelled(rep *api.Report, over func(id string) bool) []api.Order {
	orders := []api.Order{}
	for _, t := range rep.Tasks {
		if t.Phase == api.TaskExited || len(orders) >= maxOrders {
			continue
		}
		id, _, _ := splitRef(t.Task)
		if st, ok := c.final.Peek(id); !(ok && st.Phase == api.JobWithdrawn) && (over == nil || !over(id)) {
			continue
		}
		grace := 0.0
		orders = append(orders, api.Order{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
	}
	return orders
}

const (
	// renewMargin is kept back of the time that a cancellation has, besides
	// what the clocks may differ by.
	renewMargin = 500 * time.Millisecond
	// leastRenew is what a leader is given at the least: with leases nearly as
	// long as a cancellation may take, it must ask the store that often.
	leastRenew = 2500 * time.Millisecond
	// loadWithin is how long a new leader may renew leases before it has read
	// the store.
	loadWithin       = 4 * time.Second
	minProofInterval = 300 * time.Millisecond
	// startSlack is how late the answer to a round of questions may be before
	// nothing is started any more.
	startSlack       = time.Second
	maxProofInterval = 2 * time.Second
)

// renewFor is how long after a moment before which it knew all cancellations a
// node may renew leases: none is renewed so late that it ends later than
// cancel_s after that moment.
func (c *Controller) renewFor() time.Duration {
	w := c.Settings.Site.Workers
	cancel := config.Seconds(w.CancelS)
	return cancel - w.Lease() - renewMargin - cancel/500
}

// cancellationsKnownAt is the moment before which all cancellations told to users are known
// here.
func (r *leadership) cancellationsKnownAt(now time.Time) time.Time {
	all := now
	for _, n := range r.c.peerTable.nodes {
		if n.cancels.whole.After(r.cancellationsConfirmedAt) {
			return r.cancellationsConfirmedAt // it was started, or cut off, since the store answered
		}
		if n.cancels.until.Before(all) {
			all = n.cancels.until
		}
	}
	if r.cancellationsConfirmedAt.After(all) {
		return r.cancellationsConfirmedAt
	}
	return all
}

// mayRenewLeases tells whether this leader may renew leases.
func (r *leadership) mayRenewLeases(now time.Time) bool {
	if !r.loaded {
		return now.Sub(r.began) <= min(loadWithin, max(r.c.renewFor(), leastRenew))
	}
	return now.Sub(r.cancellationsKnownAt(now)) <= max(r.c.renewFor(), leastRenew)
}

// mayStart tells whether this leader may start tasks. One that has lost the
// state service and all other nodes, but not its workers, would start for half a
// minute what users have called off elsewhere. In an outage that the others see
// as well nobody can call anything off.
func (r *leadership) mayStart(now time.Time) bool {
	if now.Sub(r.cancellationsKnownAt(now)) <= r.c.proofInterval()+startSlack {
		return true
	}
	for _, n := range r.c.peerTable.nodes {
		if n.reached(now) && n.StoreOK == 0 {
			return true
		}
	}
	return false
}

// proofInterval is how often the store is asked whether all cancellations are known.
func (c *Controller) proofInterval() time.Duration {
	return min(max(c.renewFor()/8, minProofInterval), maxProofInterval)
}
