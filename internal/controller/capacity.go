package controller

import (
	"cmp"
	"slices"
	"time"
)

// capacity is how many tasks of a job the open machines have room for, by how well
// they suit it. It is looked at by each machine that might take the job, so it
// is found once a tick: looking through the whole fleet each time took a
// leader of 700 machines most of its processor when a job came.
type capacity struct {
	computedAt time.Time
	costs      []float64
	// slots are sums: what the machines up to each cost have room for.
	slots []int
}

// slotsUpTo is the room on machines of at most a cost.
func (cp *capacity) slotsUpTo(cost float64) int {
	n, found := slices.BinarySearch(cp.costs, cost)
	for found && n < len(cp.costs) && cp.costs[n] == cost {
		n++
	}
	if n == 0 {
		return 0
	}
	return cp.slots[n-1]
}

// findCapacity looks through the fleet for room for a job.
func (lt *leaderTerm) findCapacity(j *job, now time.Time) {
	type place struct {
		cost  float64
		slots int
	}
	var places []place
	for _, m := range lt.machines {
		if m.isSchedulable(now) && m.fits(&j.spec) && (!m.spot || j.spec.Spot) {
			places = append(places, place{lt.placementCost(j, m), m.slots(&j.spec)})
		}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.cost, b.cost) })
	j.capacity = capacity{computedAt: now, costs: j.capacity.costs[:0], slots: j.capacity.slots[:0]}
	sum := 0
	for _, p := range places {
		sum += p.slots
		j.capacity.costs = append(j.capacity.costs, p.cost)
		j.capacity.slots = append(j.capacity.slots, sum)
	}
}

// fetchesBeforeHeartbeat tells whether an image is fetched sooner than the machine would
// report again.
func (lt *leaderTerm) fetchesBeforeHeartbeat(j *job, m *machine) bool {
	rate := lt.c.types.load()[m.typ].FetchGBs
	return rate > 0 && j.spec.ImageGB/rate < 2*lt.c.Settings.Site.Workers.HeartbeatS
}

// spotMismatchPenalty is what it counts for, in seconds, if work that saves nothing is on a
// machine that the cloud may take back, or work that does on one of the others,
// where it takes the room of that which does not. Nearly all jobs that were late
// while the fleet had room had lost tasks to machines taken.
const spotMismatchPenalty = 8

// placementCost is how badly a machine suits a job, in seconds lost: the time to
// fetch the image, and a measure of what it costs to keep the machine.
func (lt *leaderTerm) placementCost(j *job, m *machine) float64 {
	mt := lt.c.types.load()[m.typ]
	lost := 0.0
	if !m.images.has(j.spec.Image) && mt.FetchGBs > 0 {
		lost += j.spec.ImageGB / mt.FetchGBs
	}
	if m.usedCPUs < epsilon {
		lost += 4
	}
	if p := lt.autoscaler.cpuPrice(m); p > 0 {
		lost += p/lt.autoscaler.cheapest() - 1
	}
	if m.spot != (j.spec.CheckpointS > 0) {
		lost += spotMismatchPenalty
	}
	return lost + m.freeCPUs()/m.cpus
}

// allUntakenExcluded tells whether every untaken task of a job failed on a machine.
func (j *job) allUntakenExcluded(m *machine) bool {
	if len(j.excludedMachine) == 0 {
		return false
	}
	n := 0
	for task, name := range j.excludedMachine {
		if name == m.name && !j.done.Test(uint(task)) && j.activeAttempts[task] == nil {
			n++
		}
	}
	return n >= j.flight.Untaken()
}
