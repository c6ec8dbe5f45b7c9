package queue

import (
	"cmp"
	"slices"
	"time"
)

// Load is a job as the triage sees it.
type Load struct {
	// Deadline is when it should be complete.
	Deadline time.Time
	// CPUSeconds is what is left of it, in CPU seconds.
	CPUSeconds float64
	// Defer is set if the job should give way.
	Defer bool
}

// DeferInfeasible marks the jobs that should give way when not all can be in time. It
// is Moore and Hodgson's rule for the fewest late jobs, with the cluster taken
// for one machine: go through the jobs by their aims, and whenever one would
// be late, let the largest so far give way. An aim counts jobs, not work.
func DeferInfeasible(loads []*Load, cpus float64, now time.Time) {
	slices.SortStableFunc(loads, func(a, b *Load) int { return a.Deadline.Compare(b.Deadline) })
	totalCPUSeconds := 0.0
	var onTime []*Load // by work, the largest last
	for _, l := range loads {
		l.Defer = false
		position, _ := slices.BinarySearchFunc(onTime, l.CPUSeconds, func(o *Load, w float64) int { return cmp.Compare(o.CPUSeconds, w) })
		onTime = slices.Insert(onTime, position, l)
		totalCPUSeconds += l.CPUSeconds
		if totalCPUSeconds > cpus*l.Deadline.Sub(now).Seconds() {
			last := onTime[len(onTime)-1]
			last.Defer = true
			totalCPUSeconds -= last.CPUSeconds
			onTime = onTime[:len(onTime)-1]
		}
	}
}
