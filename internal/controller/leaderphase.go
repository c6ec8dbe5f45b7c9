package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// jobState returns a job's state as shown to users. It returns false if heartbeats do not show whether a task
// of the job runs.
func (lt *leaderTerm) jobState(j *cluster.Job, now time.Time) (state api.JobState, known bool) {
	state = j.State()
	switch {
	case j.Lent != nil:
		return state, lt.loans.isStateKnown(j, now)
	case state.Done > 0 || len(j.DependsOn) > 0:
		return state, true
	case state.Running > 0:
		return state, lt.isHeardRunning(j, now)
	}
	return state, !lt.mayRunUnheard(j, now)
}

// isHeardRunning reports whether a machine that has sent a heartbeat within its lease runs a task of a job.
// Without one, the machines have ended their tasks, unless another node renews their leases.
func (lt *leaderTerm) isHeardRunning(j *cluster.Job, now time.Time) bool {
	lease := lt.c.Settings.Site.Workers.Lease()
	for _, a := range j.ActiveAttempts {
		if cluster.IsRunning(a.Phase) && now.Sub(a.Machine.LastHeartbeat) <= lease {
			return true
		}
	}
	return false
}

// mayRunUnheard reports whether a task of a job that no heartbeat shows may run: on a machine that is silent,
// or, within a lease of the beginning of the term, on one that has not acknowledged the term.
func (lt *leaderTerm) mayRunUnheard(j *cluster.Job, now time.Time) bool {
	isOlder := j.ModRevision <= lt.term.ModRevision
	if lt.unfenced > 0 && isOlder && now.Sub(lt.startedAt) < lt.c.Settings.Site.Workers.Lease() {
		return true
	}
	for _, a := range j.ActiveAttempts {
		if !a.Exited && lt.mayHaveBegun(a, now) {
			return true
		}
	}
	return false
}

// heartbeatDelay is how long a heartbeat may take to arrive after it was due.
const heartbeatDelay = time.Second

// mayHaveBegun reports whether an attempt that no heartbeat shows as running may have run for so long that its job
// must not be called pending, by this node or one that repeats its answer. Its machine sends a heartbeat as soon
// as the task begins, and at the intervals of the settings.
func (lt *leaderTerm) mayHaveBegun(a *cluster.Attempt, now time.Time) bool {
	if a.LastSeenHeartbeat == 0 {
		return now.Sub(a.SentAt) > stateLag-maxPendingAge
	}
	interval := lt.c.Settings.Site.Workers.HeartbeatInterval() * 5 / 4
	return now.Sub(a.Machine.LastHeartbeat) > interval+heartbeatDelay
}

// stateWhileActive returns a job's state that holds unless the job has ended, or nil if this node does not
// lead or does not know it. No task has started of a job that this leader has not heard of yet: it was
// accepted after the leader read all records.
func (c *Controller) stateWhileActive(id string, now time.Time) *api.JobState {
	lt := c.leaderTerm
	if lt == nil || !lt.loaded || !c.holdsLease() {
		return nil
	}
	state, known := pendingState(id), true
	if j := lt.jobs[id]; j != nil {
		if j.Guest != nil {
			return nil
		}
		state, known = lt.jobState(j, now)
	}
	if !known {
		return nil
	}
	return &state
}
