package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
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

// recordCancellation handles a job that is cancelled on record.
func (c *Controller) recordCancellation(id string) {
	c.final.Add(id, api.JobState{ID: id, Phase: api.JobCancelled})
	c.cancellations.Add(id, time.Now())
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[id]; j != nil && !j.cancelPending {
			c.leaderTerm.cancelJob(j)
		}
		// One whose cancellation follows from another's is dropped only once its
		// own end is on record: else nobody would write that.
		c.leaderTerm.dependencies.jobCancelled(id)
	}
}

// isCancelled tells whether a job, or a guest under its mark, is known to be cancelled.
func (c *Controller) isCancelled(id string) bool {
	st, ok := c.final.Peek(id)
	return ok && st.Phase == api.JobCancelled
}

// stopCancelled are the orders that stop the tasks in a report whose jobs are
// over as far as this node knows.
func (c *Controller) stopCancelled(hb *api.Heartbeat, over func(id string) bool) []api.Command {
	commands := []api.Command{}
	for _, t := range hb.Tasks {
		if t.Phase == api.TaskExited || len(commands) >= maxCommands {
			continue
		}
		id, _, _ := splitRef(t.Task)
		if !c.isCancelled(id) && !c.isCancelled(loan.GuestMarker+id) && (over == nil || !over(id)) {
			continue
		}
		grace := 0.0
		commands = append(commands, api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
	}
	return commands
}

const (
	// leaseRenewalMargin is kept back of the time that a cancellation has, besides
	// what the clocks may differ by.
	leaseRenewalMargin = 500 * time.Millisecond
	// minLeaseRenewal is what a leader is given at the least: with leases nearly as
	// long as a cancellation may take, it must ask the store that often.
	minLeaseRenewal = 2500 * time.Millisecond
	// loadAllowance is how long a new leader may renew leases before it has read
	// the store.
	loadAllowance    = 4 * time.Second
	minProofInterval = 300 * time.Millisecond
	// startAllowance is how late the answer to a round of questions may be before
	// nothing is started any more.
	startAllowance   = time.Second
	maxProofInterval = 2 * time.Second
)

// leaseRenewalWindow is how long after a moment before which it knew all cancellations a
// node may renew leases: none is renewed so late that it ends later than
// cancel_s after that moment.
func (c *Controller) leaseRenewalWindow() time.Duration {
	w := c.Settings.Site.Workers
	cancel := config.Duration(w.CancelS)
	return cancel - w.Lease() - leaseRenewalMargin - cancel/500
}

// cancellationsKnownAt is the moment before which all cancellations told to users are known
// here.
func (lt *leaderTerm) cancellationsKnownAt(now time.Time) time.Time {
	all := now
	for _, mb := range lt.c.membership.members {
		if mb.cancels.CompleteSince().After(lt.cancellationsConfirmedAt) {
			return lt.cancellationsConfirmedAt // it was started, or cut off, since the store answered
		}
		if mb.cancels.KnownUntil().Before(all) {
			all = mb.cancels.KnownUntil()
		}
	}
	if lt.cancellationsConfirmedAt.After(all) {
		return lt.cancellationsConfirmedAt
	}
	return all
}

// mayRenewLeases tells whether this leader may renew leases.
func (lt *leaderTerm) mayRenewLeases(now time.Time) bool {
	if !lt.loaded {
		return now.Sub(lt.startedAt) <= min(loadAllowance, max(lt.c.leaseRenewalWindow(), minLeaseRenewal))
	}
	return now.Sub(lt.cancellationsKnownAt(now)) <= max(lt.c.leaseRenewalWindow(), minLeaseRenewal)
}

// mayStart tells whether this leader may start tasks. One that has lost the
// state service and all other nodes, but not its workers, would start for half a
// minute what users have called off elsewhere. In an outage that the others see
// as well nobody can call anything off.
func (lt *leaderTerm) mayStart(now time.Time) bool {
	if !lt.hasLeaseQuorum(now) {
		return false
	}
	if now.Sub(lt.cancellationsKnownAt(now)) <= lt.c.proofInterval()+startAllowance {
		return true
	}
	for _, mb := range lt.c.membership.members {
		if mb.isReachable(now) && mb.KVReachableFor == 0 {
			return true
		}
	}
	return false
}

// proofInterval is how often the store is asked whether all cancellations are known.
func (c *Controller) proofInterval() time.Duration {
	return min(max(c.leaseRenewalWindow()/8, minProofInterval), maxProofInterval)
}
