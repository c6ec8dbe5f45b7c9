package controller

import (
	"time"

	"example.org/ivytrestle/internal/queue"
)

// maxConcurrentFetches bounds the images that a machine fetches at the same time while capacity is
// not short.
const maxConcurrentFetches = 4

// minConsideredJobs bounds the work of deferInfeasible: it considers that many jobs, or one for
// each machine of a larger fleet.
const minConsideredJobs = 500

// deferInfeasible decides anew which jobs can be in time, and sorts the queues by that.
func (lt *leaderTerm) deferInfeasible(now time.Time) {
	cpus, free := lt.schedulableCPUs(now)
	loads, pending := lt.collectLoads(now)
	queue.DeferInfeasible(loads, cpus, now)
	// Images that are fetched at the same time share the machine's rate. While capacity is
	// short, one after the other is better: the first tasks start sooner, and no capacity is
	// reserved for those whose image arrives last.
	lt.maxFetches = maxConcurrentFetches
	if pending > free {
		lt.maxFetches = 1
	}
	for _, t := range lt.fairShareOrder {
		t.InvalidateOrder()
	}
}

// schedulableCPUs are the CPUs of the schedulable machines: all, and those that are free.
func (lt *leaderTerm) schedulableCPUs(now time.Time) (cpus, free float64) {
	for _, m := range lt.machines {
		if m.IsSchedulable(now) {
			cpus += m.CPUs
			free += m.FreeCPUs()
		}
	}
	return cpus, free
}

// collectLoads updates each queued job's feasibility and load, and whether it is starved. It
// returns the loads of those that can still be in time, and the CPUs of all pending tasks.
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
