package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
)

// Renewing a machine's task lease lets its tasks run for another lease. So a node may renew only
// if it knows all cancellations that have been confirmed to users, or knew them so recently that
// the lease expires in time even for one confirmed since. The leader lease is no such knowledge:
// the key-value store may be unreachable for the leader alone, commit cancellations of another
// node, and then be down for all.
//
// Two things prove that all cancellations confirmed to users before a moment are known:
//
//   - The store has answered a comparison of the version of its cancel key, sent
//     at that moment.
//   - All other nodes have answered a ping, sent at that moment. A node that
//     learns of a cancellation, by its own transaction, by reading it or from
//     another node, appends it to its cancellation log before it responds to
//     anybody, and its responses to pings carry the part of the log that the
//     sender lacks. A log begins with its process, so it counts only if it was
//     complete when the store last answered: what a node confirmed before it was
//     restarted is not in it.
//
// A follower that renews leases on behalf of its leader knows no more than the leader did when it
// last answered the follower's ping.

// recordCancellation applies a cancellation that is on record.
func (c *Controller) recordCancellation(id string) {
	c.finalStates.Add(id, api.JobState{ID: id, Phase: api.JobCancelled})
	c.cancellations.Add(id, time.Now())
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[id]; j != nil && !j.CancelPending {
			c.leaderTerm.cancelJob(j)
		}
		// A job that is cancelled because another is, is dropped only once its own end is on
		// record: otherwise nobody would write that.
		c.leaderTerm.dependencies.jobCancelled(id)
	}
}

// isCancelled reports whether a job, or a guest under its marked id, is known to be cancelled.
func (c *Controller) isCancelled(id string) bool {
	st, ok := c.finalStates.Peek(id)
	return ok && st.Phase == api.JobCancelled
}

// stopCommands returns the commands that stop the tasks in a heartbeat whose jobs are cancelled or,
// by hasEnded, have ended, as far as this node knows. A nil hasEnded knows of no ended jobs.
func (c *Controller) stopCommands(hb *api.Heartbeat, hasEnded func(id string) bool) []api.Command {
	commands := []api.Command{}
	for _, t := range hb.Tasks {
		if t.Phase == api.TaskExited || len(commands) >= maxCommands {
			continue
		}
		id, _, _ := cluster.SplitRef(t.Task)
		if !c.isCancelled(id) && !c.isCancelled(loan.GuestMarker+id) && (hasEnded == nil || !hasEnded(id)) {
			continue
		}
		grace := 0.0
		commands = append(commands, api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
	}
	return commands
}

const (
	// leaseRenewalMargin is kept in reserve of the time in which a cancellation must take
	// effect, besides the drift of the clocks.
	leaseRenewalMargin = 500 * time.Millisecond
	// minLeaseRenewalWindow is the least window of a leader: with leases nearly as long as a
	// cancellation may take, it must read from the store that often.
	minLeaseRenewalWindow = 2500 * time.Millisecond
	// loadRenewalWindow is how long a new leader may renew leases before it has loaded the records
	// of the store.
	loadRenewalWindow       = 4 * time.Second
	minConfirmationInterval = 300 * time.Millisecond
	// maxConfirmationDelay is by how much proof of the cancellations may be overdue before no task
	// is started any more.
	maxConfirmationDelay    = time.Second
	maxConfirmationInterval = 2 * time.Second
	// clockDriftDivisor gives the drift of the clocks that is allowed for: 1 in 500.
	clockDriftDivisor = 500
)

// leaseRenewalWindow returns for how long after a moment before which it knew all cancellations a
// node may renew leases: none is renewed so late that it expires later than cancel_s after that
// moment.
func (c *Controller) leaseRenewalWindow() time.Duration {
	w := c.Settings.Site.Workers
	cancel := config.Duration(w.CancelS)
	drift := cancel / clockDriftDivisor
	return cancel - w.Lease() - leaseRenewalMargin - drift
}

// cancellationsKnownAt returns the moment before which all cancellations confirmed to users are
// known here.
func (lt *leaderTerm) cancellationsKnownAt(now time.Time) time.Time {
	knownAt := now
	for _, mb := range lt.c.membership.Members {
		if mb.CancellationReader.CompleteSince().After(lt.cancellationsConfirmedAt) {
			// The node was restarted, or partitioned, after the store answered.
			return lt.cancellationsConfirmedAt
		}
		if mb.CancellationReader.KnownUntil().Before(knownAt) {
			knownAt = mb.CancellationReader.KnownUntil()
		}
	}
	if lt.cancellationsConfirmedAt.After(knownAt) {
		return lt.cancellationsConfirmedAt
	}
	return knownAt
}

// mayRenewLeases reports whether this leader may renew leases.
func (lt *leaderTerm) mayRenewLeases(now time.Time) bool {
	window := max(lt.c.leaseRenewalWindow(), minLeaseRenewalWindow)
	if !lt.loaded {
		return now.Sub(lt.startedAt) <= min(loadRenewalWindow, window)
	}
	return now.Sub(lt.cancellationsKnownAt(now)) <= window
}

// mayStart reports whether this leader may start tasks. One that reaches neither the key-value
// store nor any other node, but does reach its machines, would go on for half a minute to start
// jobs that users have cancelled elsewhere. In an outage that the other nodes see as well nobody
// can cancel anything.
func (lt *leaderTerm) mayStart(now time.Time) bool {
	if !lt.hasLeaseQuorum(now) {
		return false
	}
	if now.Sub(lt.cancellationsKnownAt(now)) <= lt.c.confirmationInterval()+maxConfirmationDelay {
		return true
	}
	for _, mb := range lt.c.membership.Members {
		if mb.IsReachable(now) && mb.KVReachableFor == 0 {
			return true
		}
	}
	return false
}

// confirmationInterval returns the interval at which the store must confirm that all cancellations are
// known.
func (c *Controller) confirmationInterval() time.Duration {
	return min(max(c.leaseRenewalWindow()/8, minConfirmationInterval), maxConfirmationInterval)
}
