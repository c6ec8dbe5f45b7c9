package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

const (
	// overrunFactor is the multiple of the estimate above which a run counts as an overrun. The
	// multiple at which a run may be restarted is set by the policy.
	overrunFactor = 2
	// stragglerFactor is the multiple of the longest run on the job's other machines that a run
	// must have reached to be a straggler.
	stragglerFactor = 1.5
	// minOverruns is the number of runs of a job that must have overrun on a machine before one
	// of them is restarted.
	minOverruns = 2
	// minSampleRuns is the number of runs on other machines that a comparison requires.
	minSampleRuns = 3
	// slowdownThreshold is the ratio of a machine's run times to those of the same jobs on other
	// machines above which the machine counts as slow.
	slowdownThreshold = 1.7
	// minMeasuredRuns is the number of runs that must have been measured on a machine before it
	// can count as slow, and about the number of runs over which its slowdown is averaged.
	minMeasuredRuns = 8
	// slowLimitDivisor limits the machines quarantined as slow to one in slowLimitDivisor; one is
	// always allowed.
	slowLimitDivisor = 10
)

// recordRunTime updates the job's and the machine's statistics with the time a completed run took,
// and quarantines a machine whose runs take much longer than the same jobs' runs elsewhere.
func (lt *leaderTerm) recordRunTime(a *cluster.Attempt, took time.Duration, now time.Time) {
	j, m := a.Job, a.Machine
	if a.Unmeasured {
		return
	}
	j.LongestRun = max(j.LongestRun, took)
	j.Runs.Add(m.Name, took, took > overrunFactor*j.Spec.Estimate())
	others := j.RunsElsewhere(m)
	if others.Count < minSampleRuns || took < time.Second {
		return // a run shorter than 1 s may be a task whose result was kept: it says nothing about speed
	}
	ratio := float64(took) * float64(others.Count) / float64(max(others.TotalTime, time.Second))
	m.MeasuredRuns++
	m.Slowdown += (ratio - m.Slowdown) / float64(min(m.MeasuredRuns, minMeasuredRuns))
	isSlow := m.MeasuredRuns >= minMeasuredRuns && m.Slowdown > slowdownThreshold
	if isSlow && m.Phase() == cluster.Active && lt.mayQuarantineSlow() {
		lt.c.Log.Info("machine quarantined", "machine", m.Name, "slowdown", m.Slowdown)
		lt.evacuate(m, reasonSlow)
		for _, other := range m.Attempts {
			if !other.Exited && other.Job != nil && other.Job.Spec.CheckpointS > 0 {
				lt.requestStop(other, 2*other.Job.Spec.SaveDuration()+time.Second, now)
			}
		}
	}
}

// reasonSlow is the evacuation reason of slow machines.
const reasonSlow = "slow"

// mayQuarantineSlow reports whether the number of machines quarantined as slow is below its limit.
// If many machines appear slow at once, the cause lies elsewhere, and quarantining them all would
// terminate the fleet.
func (lt *leaderTerm) mayQuarantineSlow() bool {
	slowMachines := 0
	for _, m := range lt.machines {
		if m.EvacuationReason == reasonSlow {
			slowMachines++
		}
	}
	return slowMachines < max(1, len(lt.machines)/slowLimitDivisor)
}

// restartStragglers stops stragglers so that they start again on other machines. Each task is
// restarted at most once. Without a restart limit in the policy it does nothing.
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
			j.Exclusions.ExcludeStraggler(a.Task, a.Machine.Name, now)
			lt.c.Log.Debug("straggler restarted", "task", a.Key.Ref, "machine", a.Machine.Name)
			lt.requestStop(a, j.Spec.SaveDuration()*2, now)
		}
	}
}

// isStraggler reports whether a run has exceeded the limit, other runs of the job on its machine have
// overrun as well, and those on other machines have not. If a job's estimate is too low, as is
// common, all its runs exceed the limit together. So a run must also have taken stragglerFactor times
// as long as the longest run on any other machine; otherwise it would be lost shortly before its end.
func (lt *leaderTerm) isStraggler(a *cluster.Attempt, limit time.Duration, now time.Time) bool {
	j, m := a.Job, a.Machine
	took := now.Sub(a.RunningAt)
	if a.Exited || a.Stop != nil || a.RunningAt.IsZero() || took <= limit || j.RestartedTasks[a.Task] {
		return false
	}
	if now.Sub(m.LastHeartbeat) > lt.detector.HeartbeatTimeout() {
		return false // the run may have ended since the last heartbeat
	}
	others := j.RunsElsewhere(m)
	return others.Count >= minSampleRuns && others.OverrunCount == 0 &&
		float64(took) >= stragglerFactor*float64(others.Longest) && j.OverrunsOn(m, limit, now) >= minOverruns
}
