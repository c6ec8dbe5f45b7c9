package cluster

import "time"

// RunStats summarizes completed runs of a job's tasks. An overrun is a run that took much longer than
// the job's estimate.
type RunStats struct {
	Count        int
	TotalTime    time.Duration
	Longest      time.Duration
	OverrunCount int
}

// Add adds a completed run.
func (rs *RunStats) Add(took time.Duration, overran bool) {
	rs.Count++
	rs.TotalTime += took
	rs.Longest = max(rs.Longest, took)
	if overran {
		rs.OverrunCount++
	}
}

// JobRuns summarizes the completed runs of a job's tasks, by machine and in total. It keeps the
// machine of the longest run and the longest run on any other machine, so that RunsElsewhere need not
// visit all machines.
type JobRuns struct {
	ByMachine         map[string]*RunStats
	All               RunStats
	longestRunMachine string
	longestElsewhere  time.Duration
}

// Add adds a completed run on a machine.
func (jr *JobRuns) Add(machine string, took time.Duration, overran bool) {
	if jr.ByMachine[machine] == nil {
		jr.ByMachine[machine] = &RunStats{}
	}
	switch {
	case machine == jr.longestRunMachine:
	case took > jr.All.Longest:
		jr.longestRunMachine, jr.longestElsewhere = machine, jr.All.Longest
	default:
		jr.longestElsewhere = max(jr.longestElsewhere, took)
	}
	jr.ByMachine[machine].Add(took, overran)
	jr.All.Add(took, overran)
}
