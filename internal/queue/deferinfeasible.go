package queue

import (
	"cmp"
	"slices"
	"time"
)

// Load is what DeferInfeasible considers of a job.
type Load struct {
	// Deadline is when the job should be complete.
	Deadline time.Time
	// CPUSeconds is the work that is left.
	CPUSeconds float64
	// Deferred is set by DeferInfeasible if the job should be deferred.
	Deferred bool
}

// DeferInfeasible marks the jobs to defer when not all can be in time. It is Moore and Hodgson's
// rule for the fewest late jobs, with the cluster taken for one machine: go through the jobs by
// deadline, and whenever one would be late, defer the largest so far. An objective counts jobs,
// not work.
func DeferInfeasible(loads []*Load, cpus float64, now time.Time) {
	slices.SortStableFunc(loads, func(a, b *Load) int { return a.Deadline.Compare(b.Deadline) })
	totalCPUSeconds := 0.0
	var onTime []*Load // by work, the largest last
	for _, l := range loads {
		l.Deferred = false
		position, _ := slices.BinarySearchFunc(onTime, l.CPUSeconds, compareWork)
		onTime = slices.Insert(onTime, position, l)
		totalCPUSeconds += l.CPUSeconds
		if totalCPUSeconds > cpus*l.Deadline.Sub(now).Seconds() {
			last := onTime[len(onTime)-1]
			last.Deferred = true
			totalCPUSeconds -= last.CPUSeconds
			onTime = onTime[:len(onTime)-1]
		}
	}
}

func compareWork(l *Load, cpuSeconds float64) int { return cmp.Compare(l.CPUSeconds, cpuSeconds) }
