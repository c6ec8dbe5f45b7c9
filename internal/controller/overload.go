package controller

import (
	"time"

	"example.org/ivytrestle/internal/queue"
)

// unlimitedFetches bounds the images that a machine fetches at the same time.
const unlimitedFetches = 4

// minDeferredLoads bounds the work of the triage: it looks at that many jobs, or at one for
// each machine of a larger fleet.
const minDeferredLoads = 500

// deferInfeasible looks again at which jobs can be in time, and puts the queues in that
// order.
func (lt *leaderTerm) deferInfeasible(now time.Time) {
	cpus, free, waiting := 0.0, 0.0, 0.0
	for _, m := range lt.machines {
		if m.isSchedulable(now) {
			cpus += m.cpus
			free += m.freeCPUs()
		}
	}
	var loads []*queue.Load
	maxLoads := max(minDeferredLoads, len(lt.machines))
	lt.starved = 0
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			j.updateFeasibility(now)
			if j.starved = !j.started() && now.Sub(j.runnableSince) > starvedAfter; j.starved {
				lt.starved++
			}
			waiting += float64(j.flight.Untaken()) * j.spec.CPUs
			j.load = queue.Load{}
			if j.infeasible || j.finishing || len(loads) == maxLoads {
				continue
			}
			j.load.Deadline = j.latestStart.Add(j.spec.Estimate())
			j.load.CPUSeconds = float64(j.flight.Untaken()) * j.spec.CPUs * j.spec.EstimateS
			for _, a := range j.activeAttempts {
				remaining := j.spec.Estimate()
				if !a.runningAt.IsZero() {
					remaining -= now.Sub(a.runningAt)
				}
				j.load.CPUSeconds += max(0, remaining.Seconds()) * j.spec.CPUs
			}
			loads = append(loads, &j.load)
		}
	}
	queue.DeferInfeasible(loads, cpus, now)
	// Images that are fetched at the same time share the machine's rate. While
	// there is too little room, one after the other is better: the first
	// tasks begin sooner, and no room is held for those whose image comes last.
	lt.maxFetches = unlimitedFetches
	if waiting > free {
		lt.maxFetches = 1
	}
	for _, t := range lt.fairShareOrder {
		t.Resort()
	}
}
