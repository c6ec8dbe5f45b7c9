package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

const (
	// overrunFactor is how many estimates a run may take without counting as overrun; how many
	// it may take before it is restarted is the operators' choice.
	overrunFactor = 2
	// stragglerFactor is by how much a straggler must exceed the longest run on the job's other
	// machines.
	stragglerFactor = 1.5
	// minOverruns is how many runs of a job must have overrun on a machine for one of them to
	// be restarted.
	minOverruns = 2
	// minSampleRuns is how many runs elsewhere a comparison needs.
	minSampleRuns = 3
	// slowdownThreshold marks a machine whose runs take this many times as long as the same
	// jobs' runs elsewhere, over at least minMeasuredRuns of them.
	slowdownThreshold = 1.7
	minMeasuredRuns   = 8
	// One in slowLimitDivisor machines may be quarantined as slow, and one in any case.
	slowLimitDivisor = 10
)

// recordRun records how long a completed run took, and quarantines a machine whose
// runs take much longer than the same jobs' elsewhere.
func (lt *leaderTerm) recordRun(a *cluster.Attempt, took time.Duration, now time.Time) {
	j, m := a.Job, a.Machine
	if a.Unmeasured {
		return
	}
	j.LongestRun = max(j.LongestRun, took)
	j.Runs.Add(m.Name, took, took > overrunFactor*j.Spec.Estimate())
	others := j.RunsElsewhere(m)
	if others.Count < minSampleRuns || took < time.Second {
		return // a task whose result was kept ends at once, which measures nothing
	}
	ratio := float64(took) * float64(others.Count) / float64(max(others.TotalTime, time.Second))
	m.MeasuredRuns++
	m.Slowdown += (ratio - m.Slowdown) / float64(min(m.MeasuredRuns, minMeasuredRuns))
	isSlow := m.MeasuredRuns >= minMeasuredRuns && m.Slowdown > slowdownThreshold
	if isSlow && m.Phase() == cluster.Active && lt.belowSlowLimit() {
		lt.c.Log.Info("machine quarantined", "machine", m.Name, "slowdown", m.Slowdown)
		lt.evacuate(m, reasonSlow)
		for _, other := range m.Attempts {
			if !other.Exited && other.Job != nil && other.Job.Spec.CheckpointS > 0 {
				lt.requestStop(other, 2*other.Job.Spec.SaveDuration()+time.Second, now)
			}
		}
	}
}

// reasonSlow is why slow machines are evacuated.
const reasonSlow = "slow"

// belowSlowLimit tells whether slow machines are the exception. Where many seem slow at once, the
// cause is another, and quarantine would end the fleet.
func (lt *leaderTerm) belowSlowLimit() bool {
	n := 0
	for _, m := range lt.machines {
		if m.EvacuationReason == reasonSlow {
			n++
		}
	}
	return n < max(1, len(lt.machines)/slowLimitDivisor)
}

// restartStragglers restarts, once each, the runs that isStraggler finds.
func (lt *leaderTerm) restartStragglers(now time.Time) {
	limitFactor := lt.c.Policy.RestartLimit
	if limitFactor == 0 {
		return
	}
	for _, j := range lt.jobs {
		limit := time.Duration(limitFactor * float64(j.Spec.Estimate()))
		if limit <= 0 || len(j.ActiveAttempts) == 0 || j.Runs.All.Count == 0 {
			continue
		}
		for _, a := range j.ActiveAttempts {
			if !lt.isStraggler(a, limit, now) {
				continue
			}
			j.RestartedTasks[a.Task] = true
			j.ExcludedMachine[a.Task] = a.Machine.Name
			lt.c.Log.Debug("straggler restarted", "task", a.Key.Ref, "machine", a.Machine.Name)
			lt.requestStop(a, j.Spec.SaveDuration()*2, now)
		}
	}
}

// isStraggler tells whether a run is past the limit, its machine's other tasks of the job overran
// as well, and those on other machines did not. Estimates are often too low for the whole job,
// and then all its tasks pass the limit together: so the run must also exceed by half the longest
// on any other machine, or it would be lost near its end.
func (lt *leaderTerm) isStraggler(a *cluster.Attempt, limit time.Duration, now time.Time) bool {
	j, m := a.Job, a.Machine
	took := now.Sub(a.RunningAt)
	if a.Exited || a.Stop != nil || a.RunningAt.IsZero() || took <= limit || j.RestartedTasks[a.Task] {
		return false
	}
	if now.Sub(m.LastHeartbeat) > lt.detector.HeartbeatTimeout() {
		return false // the run may have ended long ago
	}
	others := j.RunsElsewhere(m)
	return others.Count >= minSampleRuns && others.OverrunCount == 0 &&
		float64(took) >= stragglerFactor*float64(others.Longest) && j.OverrunsOn(m, limit, now) >= minOverruns
}
