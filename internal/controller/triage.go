package controller

import (
	"time"

	"example.org/ivytrestle/internal/queue"
)

// manyFetches bounds the images that a machine fetches at the same time.
const manyFetches = 4

// leastTriaged bounds the work of the triage: it looks at that many jobs, or at one for
// each machine of a larger fleet.
const leastTriaged = 500

// triage looks again at which jobs can be in time, and puts the queues in that
// order.
func (lt *leaderTerm) triage(now time.Time) {
	cpus, free, waiting := 0.0, 0.0, 0.0
	for _, m := range lt.machines {
		if m.isSchedulable(now) {
			cpus += m.cpus
			free += m.freeCPUs()
		}
	}
	var loads []*queue.Load
	most := max(leastTriaged, len(lt.machines))
	lt.overlooked = 0
	for _, t := range lt.turns {
		for _, j := range t.Items() {
			j.look(now)
			if j.overlooked = !j.begun() && now.Sub(j.since) > beginWithin; j.overlooked {
				lt.overlooked++
			}
			waiting += float64(j.flight.Untaken()) * j.spec.CPUs
			j.load = queue.Load{}
			if j.hopeless || j.finishing || len(loads) == most {
				continue
			}
			j.load.Aim = j.latest.Add(j.spec.Estimate())
			j.load.Work = float64(j.flight.Untaken()) * j.spec.CPUs * j.spec.EstimateS
			for _, a := range j.live {
				left := j.spec.Estimate()
				if !a.runningAt.IsZero() {
					left -= now.Sub(a.runningAt)
				}
				j.load.Work += max(0, left.Seconds()) * j.spec.CPUs
			}
			loads = append(loads, &j.load)
		}
	}
	queue.Triage(loads, cpus, now)
	// Images that are fetched at the same time share the machine's rate. While
	// there is too little room, one after the other is better: the first
	// tasks begin sooner, and no room is held for those whose image comes last.
	lt.fetches = manyFetches
	if waiting > free {
		lt.fetches = 1
	}
	for _, t := range lt.turns {
		t.Resort()
	}
}
