package controller

import "time"

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
func (lt *leaderTerm) recordRun(a *attempt, took time.Duration, now time.Time) {
	j, m := a.job, a.machine
	if a.unmeasured {
		return
	}
	j.longestRun = max(j.longestRun, took)
	j.runs.add(m.name, took, took > overrunFactor*j.spec.Estimate())
	others := j.runsElsewhere(m)
	if others.count < minSampleRuns || took < time.Second {
		return // a task whose result was kept ends at once, which measures nothing
	}
	ratio := float64(took) * float64(others.count) / float64(max(others.totalTime, time.Second))
	m.measuredRuns++
	m.slowdown += (ratio - m.slowdown) / float64(min(m.measuredRuns, minMeasuredRuns))
	isSlow := m.measuredRuns >= minMeasuredRuns && m.slowdown > slowdownThreshold
	if isSlow && !m.evacuating && lt.belowSlowLimit() {
		lt.c.Log.Info("machine quarantined", "machine", m.name, "slowdown", m.slowdown)
		lt.evacuate(m, reasonSlow)
		for _, other := range m.attempts {
			if !other.exited && other.job != nil && other.job.spec.CheckpointS > 0 {
				lt.requestStop(other, 2*other.job.spec.Save()+time.Second, now)
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
		if m.reason == reasonSlow {
			n++
		}
	}
	return n < max(1, len(lt.machines)/slowLimitDivisor)
}

// heartbeatTimeout is the longest time between two heartbeats of a machine without a fault.
func (lt *leaderTerm) heartbeatTimeout() time.Duration {
	return 2*lt.c.Settings.Site.Workers.HeartbeatInterval() + time.Second
}

// restartStragglers restarts, once each, the runs that isStraggler finds.
func (lt *leaderTerm) restartStragglers(now time.Time) {
	limitFactor := lt.c.Policy.RestartLimit
	if limitFactor == 0 {
		return
	}
	for _, j := range lt.jobs {
		limit := time.Duration(limitFactor * float64(j.spec.Estimate()))
		if limit <= 0 || len(j.activeAttempts) == 0 || j.runs.all.count == 0 {
			continue
		}
		for _, a := range j.activeAttempts {
			if !lt.isStraggler(a, limit, now) {
				continue
			}
			j.restartedTasks[a.task] = true
			j.excludedMachine[a.task] = a.machine.name
			lt.c.Log.Debug("straggler restarted", "task", a.key.ref, "machine", a.machine.name)
			lt.requestStop(a, j.spec.Save()*2, now)
		}
	}
}

// isStraggler tells whether a run is past the limit, its machine's other tasks of the job overran
// as well, and those on other machines did not. Estimates are often too low for the whole job,
// and then all its tasks pass the limit together: so the run must also exceed by half the longest
// on any other machine, or it would be lost near its end.
func (lt *leaderTerm) isStraggler(a *attempt, limit time.Duration, now time.Time) bool {
	j, m := a.job, a.machine
	took := now.Sub(a.runningAt)
	if a.exited || a.stop != nil || a.runningAt.IsZero() || took <= limit || j.restartedTasks[a.task] {
		return false
	}
	if now.Sub(m.lastHeartbeat) > lt.heartbeatTimeout() {
		return false // the run may have ended long ago
	}
	others := j.runsElsewhere(m)
	return others.count >= minSampleRuns && others.overrunCount == 0 &&
		float64(took) >= stragglerFactor*float64(others.longest) && j.overrunsOn(m, limit, now) >= minOverruns
}
