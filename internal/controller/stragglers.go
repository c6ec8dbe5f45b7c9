package controller

import "time"

const (
	// overrunFactor is how many estimates a run may take and not count for a slow
	// one; how many it may take before it is restarted is the operators' choice.
	overrunFactor = 2
	// stragglerFactor is by how much an overdue run must exceed the longest run
	// of the job's other members.
	stragglerFactor = 1.5
	// minSampleRuns is how many runs elsewhere a comparison needs.
	minSampleRuns = 3
	// slowdownThreshold marks a machine whose runs take this many times as long as
	// the same jobs' runs elsewhere, over at least minMeasuredRuns of them.
	slowdownThreshold = 1.7
	minMeasuredRuns   = 8
)

// runStats is what a member has completed of a job.
type runStats struct {
	count        int
	totalTime    time.Duration
	longest      time.Duration
	overrunCount int
}

// add records a completed run.
func (rs *runStats) add(took time.Duration, overran bool) {
	rs.count++
	rs.totalTime += took
	rs.longest = max(rs.longest, took)
	if overran {
		rs.overrunCount++
	}
}

// jobRuns is what all members have completed of a job: by member, in all, and
// the longest run with the longest of the members other than its own. What the
// others did is so known without going through them at each run.
type jobRuns struct {
	byMachine        map[string]*runStats
	all              runStats
	longestOn        string
	longestElsewhere time.Duration
}

// add records a completed run on a machine.
func (jr *jobRuns) add(machine string, took time.Duration, overran bool) {
	if jr.byMachine[machine] == nil {
		jr.byMachine[machine] = &runStats{}
	}
	switch {
	case machine == jr.longestOn:
	case took > jr.all.longest:
		jr.longestOn, jr.longestElsewhere = machine, jr.all.longest
	default:
		jr.longestElsewhere = max(jr.longestElsewhere, took)
	}
	jr.byMachine[machine].add(took, overran)
	jr.all.add(took, overran)
}

// elsewhere is what the job's other members have completed.
func (j *job) elsewhere(m *machine) runStats {
	out := j.runs.all
	if mine := j.runs.byMachine[m.name]; mine != nil {
		out.count -= mine.count
		out.totalTime -= mine.totalTime
		out.overrunCount -= mine.overrunCount
	}
	if m.name == j.runs.longestOn {
		out.longest = j.runs.longestElsewhere
	}
	return out
}

// recordRun records how long a completed run took, and quarantines a machine whose
// runs take much longer than the same jobs' elsewhere.
func (lt *leaderTerm) recordRun(a *attempt, took time.Duration, now time.Time) {
	j, m := a.job, a.machine
	if a.unmeasured {
		return
	}
	j.longest = max(j.longest, took)
	j.runs.add(m.name, took, took > overrunFactor*j.spec.Estimate())
	others := j.elsewhere(m)
	if others.count < minSampleRuns || took < time.Second {
		return // a result that was kept comes at once and says nothing
	}
	ratio := float64(took) * float64(others.count) / float64(max(others.totalTime, time.Second))
	m.measuredRuns++
	m.slowdown += (ratio - m.slowdown) / float64(min(m.measuredRuns, minMeasuredRuns))
	if m.measuredRuns >= minMeasuredRuns && m.slowdown > slowdownThreshold && !m.evacuating && lt.belowSlowLimit() {
		lt.c.Log.Info("machine quarantined", "machine", m.name, "slowness", m.slowdown)
		lt.evacuate(m, "slow")
		for _, other := range m.attempts {
			if !other.exited && other.job != nil && other.job.spec.CheckpointS > 0 {
				lt.stop(other, 2*other.job.spec.Save()+time.Second, now)
			}
		}
	}
}

// belowSlowLimit tells whether slow machines are the exception: where many seem slow
// at once, something else is the matter, and quarantine would take the fleet.
func (lt *leaderTerm) belowSlowLimit() bool {
	n := 0
	for _, m := range lt.machines {
		if m.reason == "slow" {
			n++
		}
	}
	return n < max(1, len(lt.machines)/10)
}

// markUnmeasured marks the runs on a machine whose reports were held up: when they ended
// is not known. Taken for long, such runs had half of a zone's machines
// quarantined after a cut.
func (m *machine) markUnmeasured() {
	for _, a := range m.attempts {
		a.unmeasured = true
	}
}

// heartbeatTimeout is the longest time between two reports of a machine in order.
func (lt *leaderTerm) heartbeatTimeout() time.Duration {
	return 2*lt.c.Settings.Site.Workers.HeartbeatInterval() + time.Second
}

// restartStragglers restarts, once, a run past twice its estimate when its machine's
// other tasks of the job overran as well and those on other machines did not.
// Estimates are often too low for the whole job, and then all its tasks cross
// the limit together: so the run must also exceed by half the longest that any
// other member took, or it would be thrown away near its end.
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
			m := a.machine
			took := now.Sub(a.runningAt)
			// A machine out of hearing may have ended the run long ago.
			if now.Sub(m.lastHeartbeat) > lt.heartbeatTimeout() || a.exited || a.stop != nil || a.runningAt.IsZero() || took <= limit || j.restarted[a.task] {
				continue
			}
			others := j.elsewhere(m)
			if others.count < minSampleRuns || others.overrunCount > 0 || float64(took) < stragglerFactor*float64(others.longest) ||
				j.overrunsOn(m, limit, now) < 2 {
				continue
			}
			j.restarted[a.task] = true
			j.excludedMachine[a.task] = m.name
			lt.c.Log.Debug("slow run restarted", "task", a.key.ref, "machine", m.name)
			lt.stop(a, j.spec.Save()*2, now)
		}
	}
}

// overrunsOn counts a member's runs of the job past the limit, the present ones
// included.
func (j *job) overrunsOn(m *machine, limit time.Duration, now time.Time) int {
	n := 0
	if done := j.runs.byMachine[m.name]; done != nil {
		n = done.overrunCount
	}
	for _, a := range j.activeAttempts {
		if a.machine == m && !a.exited && !a.runningAt.IsZero() && now.Sub(a.runningAt) > limit {
			n++
		}
	}
	return n
}
