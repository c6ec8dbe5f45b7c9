package queue

import (
	"cmp"
	"slices"
	"time"
)

// Load is the remaining work of a job and its deadline, the input of DeferInfeasible.
type Load struct {
	// Deadline is the time by which the job should be complete.
	Deadline time.Time
	// CPUSeconds is the remaining work.
	CPUSeconds float64
	// Deferred is set by DeferInfeasible if the job is to be served after those that are not deferred.
	Deferred bool
}

// DeferInfeasible selects the jobs to defer when not all of them can meet their deadlines. It uses the
// Moore-Hodgson algorithm, which minimizes the number of late jobs, and treats the cluster as a single
// machine: it takes the jobs in deadline order, and whenever one would be late, it defers the largest
// job taken so far. The number of late jobs is minimized, rather than the late work, because the
// objectives count jobs. loads is sorted by deadline in place.
func DeferInfeasible(loads []*Load, cpus float64, now time.Time) {
	slices.SortStableFunc(loads, func(a, b *Load) int { return a.Deadline.Compare(b.Deadline) })
	totalCPUSeconds := 0.0
	var onTime []*Load // jobs not deferred, in ascending order of work
	for _, load := range loads {
		load.Deferred = false
		position, _ := slices.BinarySearchFunc(onTime, load.CPUSeconds, compareWork)
		onTime = slices.Insert(onTime, position, load)
		totalCPUSeconds += load.CPUSeconds
		if totalCPUSeconds > cpus*load.Deadline.Sub(now).Seconds() {
			largest := onTime[len(onTime)-1]
			largest.Deferred = true
			totalCPUSeconds -= largest.CPUSeconds
			onTime = onTime[:len(onTime)-1]
		}
	}
}

func compareWork(l *Load, cpuSeconds float64) int { return cmp.Compare(l.CPUSeconds, cpuSeconds) }
