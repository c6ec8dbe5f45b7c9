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
func (r *leadership) triage(now time.Time) {
	cpus, free, waiting := 0.0, 0.0, 0.0
	for _, m := range r.machines {
		if m.open(now) {
			cpus += m.cpus
			free += m.freeCPUs()
		}
	}
	var loads []*queue.Load
	most := max(leastTriaged, len(r.machines))
	r.overlooked = 0
	for _, t := range r.turns {
		for _, j := range t.Items() {
			j.look(now)
			if j.overlooked = !j.begun() && now.Sub(j.since) > beginWithin; j.overlooked {
				r.overlooked++
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
	r.fetches = manyFetches
	if waiting > free {
		r.fetches = 1
	}
	for _, t := range r.turns {
		t.Resort()
	}
}
