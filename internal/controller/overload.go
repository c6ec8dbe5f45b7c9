package controller

import (
	"time"

	"example.org/ivytrestle/internal/queue"
)

// maxConcurrentFetches is the maximum number of images that a machine fetches at the same time
// while there is enough free capacity for all pending tasks.
const maxConcurrentFetches = 4

// minConsideredJobs limits the work of deferInfeasible, which considers this number of jobs, or as
// many as there are machines if these are more.
const minConsideredJobs = 500

// deferInfeasible recomputes which jobs to defer because not all can meet their objectives, and has
// the queues sorted again.
func (lt *leaderTerm) deferInfeasible(now time.Time) {
	cpus, free := lt.schedulableCPUs(now)
	loads, pending := lt.collectLoads(now)
	queue.DeferInfeasible(loads, cpus, now)
	// Concurrent fetches share the machine's download rate. While capacity is short, images are
	// fetched one at a time: the first tasks start sooner, and no capacity is reserved meanwhile
	// for tasks whose image would arrive last.
	lt.maxFetches = maxConcurrentFetches
	if pending > free {
		lt.maxFetches = 1
	}
	for _, t := range lt.fairShareOrder {
		t.InvalidateOrder()
	}
}

// schedulableCPUs returns the total and the free CPUs of all schedulable machines.
func (lt *leaderTerm) schedulableCPUs(now time.Time) (cpus, free float64) {
	for _, m := range lt.machines {
		if m.IsSchedulable(now) {
			cpus += m.CPUs
			free += m.FreeCPUs()
		}
	}
	return cpus, free
}

// collectLoads updates each queued job's feasibility, load and starvation. It returns the loads of
// the jobs that can still meet their objective, and the CPUs of all pending tasks.
func (lt *leaderTerm) collectLoads(now time.Time) (loads []*queue.Load, pendingCPUs float64) {
	maxLoads := max(minConsideredJobs, len(lt.machines))
	lt.starvedJobs = 0
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			j.UpdateFeasibility(now)
			if j.Starved = !j.Started() && now.Sub(j.RunnableSince) > starvedAfter; j.Starved {
				lt.starvedJobs++
			}
			pendingCPUs += float64(j.Flight.Untaken()) * j.Spec.CPUs
			j.Load = queue.Load{}
			if j.Infeasible || j.Finishing || len(loads) == maxLoads {
				continue
			}
			j.Load = j.RemainingLoad(now)
			loads = append(loads, &j.Load)
		}
	}
	return loads, pendingCPUs
}
