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
	sum := 0.0
	var in []*Load // by work, the largest last
	for _, l := range loads {
		l.Defer = false
		at, _ := slices.BinarySearchFunc(in, l.CPUSeconds, func(o *Load, w float64) int { return cmp.Compare(o.CPUSeconds, w) })
		in = slices.Insert(in, at, l)
		sum += l.CPUSeconds
		if sum > cpus*l.Deadline.Sub(now).Seconds() {
			last := in[len(in)-1]
			last.Defer = true
			sum -= last.CPUSeconds
			in = in[:len(in)-1]
		}
	}
}
