package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
)

// Renewing a machine's task lease allows its tasks to run for another lease duration. A node may
// therefore renew only if it has all cancellations that were confirmed to users, or had them so
// recently that the lease expires in time even if another one was confirmed since. Holding the
// leader lease is not sufficient: the key-value store may be unreachable from the leader alone,
// commit cancellations of another node, and then become unavailable to all nodes.
//
// Either of two conditions ensures that the leader has all cancellations confirmed before a time t:
//
//   - The store confirmed, in response to a request sent at t, that the version of the cancel key
//     is the one that the leader last read.
//   - All other nodes responded to a ping sent at t. A node that receives a cancellation, by its
//     own transaction, by reading it or from another node, appends it to its cancellation log
//     before it responds to any request. Its responses to pings carry the part of the log that the
//     sender lacks. A log starts empty with its process, without the cancellations that the node
//     confirmed before a restart. It therefore counts only if it was complete at the time of the
//     store's last confirmation.
//
// A follower that renews leases on the leader's behalf may rely only on the cancellations that the
// leader had when it last responded to the follower's ping.

// recordCancellation applies a cancellation that is recorded in the store to this node's state.
func (c *Controller) recordCancellation(id string) {
	c.finalStates.Add(id, api.JobState{ID: id, Phase: api.JobCancelled})
	c.cancellations.Add(id, time.Now())
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[id]; j != nil && !j.CancelPending {
			c.leaderTerm.cancelJob(j)
		}
		// Dependents are cancelled too. They stay in memory until their own ends are recorded
		// in the store, because no other node would record them.
		c.leaderTerm.dependencies.jobCancelled(id)
	}
}

// isCancelled reports whether this node has the cancellation of a job. The id of a guest job is
// passed with the prefix loan.GuestMarker.
func (c *Controller) isCancelled(id string) bool {
	st, ok := c.finalStates.Peek(id)
	return ok && st.Phase == api.JobCancelled
}

// stopCommands returns commands that stop those tasks of a heartbeat whose jobs are cancelled or,
// according to hasEnded, have ended. A nil hasEnded reports no job as ended.
func (c *Controller) stopCommands(hb *api.Heartbeat, hasEnded func(id string) bool) []api.Command {
	commands := []api.Command{}
	for _, t := range hb.Tasks {
		if t.Phase == api.TaskExited || len(commands) >= maxCommands {
			continue
		}
		id, _, _ := cluster.ParseTaskRef(t.Task)
		if !c.isCancelled(id) && !c.isCancelled(loan.GuestMarker+id) && (hasEnded == nil || !hasEnded(id)) {
			continue
		}
		grace := 0.0
		commands = append(commands, api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
	}
	return commands
}

const (
	// leaseRenewalMargin is subtracted, besides the task lease and the clock drift, from the time
	// within which a cancellation must take effect.
	leaseRenewalMargin = 500 * time.Millisecond
	// minLeaseRenewalWindow is the minimum window of a leader. If leases last nearly as long as a
	// cancellation may take, the leader must read from the store at least this often.
	minLeaseRenewalWindow = 2500 * time.Millisecond
	// loadRenewalWindow is how long a new leader may renew leases before it has loaded the
	// records of the store.
	loadRenewalWindow = 4 * time.Second
	// maxConfirmationDelay is how far the confirmation of the cancellations may be overdue before
	// the leader starts no more tasks.
	maxConfirmationDelay = time.Second
	// minConfirmationInterval and maxConfirmationInterval bound confirmationInterval.
	minConfirmationInterval = 300 * time.Millisecond
	maxConfirmationInterval = 2 * time.Second
	// clockDriftDivisor allows for a clock drift of 1 in 500.
	clockDriftDivisor = 500
)

// leaseRenewalWindow returns how long a node may renew leases after the time up to which it had all
// cancellations. No lease that is renewed within the window expires later than cancel_s after that
// time.
func (c *Controller) leaseRenewalWindow() time.Duration {
	w := c.Settings.Site.Workers
	cancel := config.Duration(w.CancelS)
	drift := cancel / clockDriftDivisor
	return cancel - w.Lease() - leaseRenewalMargin - drift
}

// cancellationsKnownAt returns the time up to which this leader has all cancellations that were
// confirmed to users.
func (lt *leaderTerm) cancellationsKnownAt(now time.Time) time.Time {
	knownAt := now
	for _, member := range lt.c.membership.Members {
		if member.CancellationReader.CompleteSince().After(lt.cancellationsConfirmedAt) {
			// The node was restarted or partitioned after the store's last confirmation.
			return lt.cancellationsConfirmedAt
		}
		if member.CancellationReader.KnownUntil().Before(knownAt) {
			knownAt = member.CancellationReader.KnownUntil()
		}
	}
	if lt.cancellationsConfirmedAt.After(knownAt) {
		return lt.cancellationsConfirmedAt
	}
	return knownAt
}

// mayRenewLeases reports whether this leader may renew task leases.
func (lt *leaderTerm) mayRenewLeases(now time.Time) bool {
	window := max(lt.c.leaseRenewalWindow(), minLeaseRenewalWindow)
	if !lt.loaded {
		return now.Sub(lt.startedAt) <= min(loadRenewalWindow, window)
	}
	return now.Sub(lt.cancellationsKnownAt(now)) <= window
}

// mayStart reports whether this leader may start tasks. Without this check, a leader that reaches
// its machines, but neither the key-value store nor any other node, would for half a minute start
// jobs that users have cancelled at other nodes. If another node is reachable and cannot reach the
// store either, tasks may be started: in an outage of the store no job can be cancelled.
func (lt *leaderTerm) mayStart(now time.Time) bool {
	if !lt.hasLeaseQuorum(now) {
		return false
	}
	if now.Sub(lt.cancellationsKnownAt(now)) <= lt.c.confirmationInterval()+maxConfirmationDelay {
		return true
	}
	for _, member := range lt.c.membership.Members {
		if member.IsReachable(now) && member.KVReachableFor == 0 {
			return true
		}
	}
	return false
}

// confirmationInterval returns the interval at which the store must confirm that the leader has all
// cancellations.
func (c *Controller) confirmationInterval() time.Duration {
	return min(max(c.leaseRenewalWindow()/8, minConfirmationInterval), maxConfirmationInterval)
}
