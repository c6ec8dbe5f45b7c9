package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// pendingReason returns why a job's next task has not been assigned to a machine. The reasons are
// part of the status.
func (lt *leaderTerm) pendingReason(j *cluster.Job, now time.Time) string {
	s := &j.Spec
	switch {
	case j.Lent != nil || j.HandoverPending:
		return "lent to another cell"
	case j.Guest != nil:
		return "guest"
	case j.CancelPending:
		return "cancelled with another"
	case len(j.DependsOn) > 0:
		return "awaits others"
	case now.Before(j.BackoffUntil):
		return "fails everywhere"
	case lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision:
		return "takeover"
	case !lt.withinLimit(j.Team, s.CPUs, s.GPUs):
		return "team limit"
	case j.Load.Deferred || j.Infeasible:
		return "gives way"
	}
	return "no room"
}

// pendingReasons counts the jobs that wait for their first start, by pending reason, and returns the
// one that has waited longest for capacity.
func (lt *leaderTerm) pendingReasons(now time.Time) (counts map[string]int, oldest *cluster.Job) {
	counts = map[string]int{}
	for _, j := range lt.jobs {
		if j.Finishing || j.Started() || j.Flight.Untaken() == 0 {
			continue
		}
		counts[lt.pendingReason(j, now)]++
		if len(j.DependsOn) > 0 || j.Lent != nil || j.Guest != nil {
			continue // does not wait for capacity
		}
		if oldest == nil || j.RunnableSince.Before(oldest.RunnableSince) {
			oldest = j
		}
	}
	return counts, oldest
}

const (
	// pendingLogInterval is how often the pending reasons are logged.
	pendingLogInterval = 15 * time.Second
	// pendingLogThreshold is how long a job must have waited for the pending reasons to be logged.
	pendingLogThreshold = 20 * time.Second
)

// logPending logs the number of pending jobs by reason, and the one that has waited longest.
func (lt *leaderTerm) logPending(now time.Time) {
	if now.Before(lt.nextPendingLog) {
		return
	}
	lt.nextPendingLog = now.Add(pendingLogInterval)
	counts, oldest := lt.pendingReasons(now)
	if oldest == nil || now.Sub(oldest.RunnableSince) < pendingLogThreshold {
		return
	}
	lt.c.Log.Info("jobs pending",
		"jobs", counts,
		"job", oldest.Spec.ID,
		"class", oldest.Spec.Class,
		"team", oldest.Spec.Team,
		"after", now.Sub(oldest.RunnableSince).Round(time.Second),
		"reason", lt.pendingReason(oldest, now))
}
