package controller

import "time"

// runStats sums up completed runs of a job's tasks.
type runStats struct {
	count        int
	totalTime    time.Duration
	longest      time.Duration
	overrunCount int
}

// add counts a completed run.
func (rs *runStats) add(took time.Duration, overran bool) {
	rs.count++
	rs.totalTime += took
	rs.longest = max(rs.longest, took)
	if overran {
		rs.overrunCount++
	}
}

// jobRuns are the completed runs of a job's tasks: by machine, in all, and the longest with the
// longest on any other machine than its own. So the runs on all machines but one are known
// without going through them at each run.
type jobRuns struct {
	byMachine        map[string]*runStats
	all              runStats
	longestOn        string
	longestElsewhere time.Duration
}

// add counts a completed run on a machine.
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
