package controller

import (
	"cmp"
	"slices"
	"time"
)

// findCapacity computes which capacity the fleet has for a job.
func (lt *leaderTerm) findCapacity(j *job, now time.Time) {
	type offer struct {
		cost  float64
		slots int
	}
	var offers []offer
	for _, m := range lt.machines {
		if m.isSchedulable(now) && m.fits(&j.spec) && (!m.spot || j.spec.Spot) {
			offers = append(offers, offer{lt.placementCost(j, m), m.slots(&j.spec)})
		}
	}
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	j.capacity = capacity{computedAt: now, costs: j.capacity.costs[:0], slots: j.capacity.slots[:0]}
	sum := 0
	for _, o := range offers {
		sum += o.slots
		j.capacity.costs = append(j.capacity.costs, o.cost)
		j.capacity.slots = append(j.capacity.slots, sum)
	}
}

// fetchesBeforeHeartbeat tells whether a machine fetches a job's image in less than two
// heartbeat intervals.
func (lt *leaderTerm) fetchesBeforeHeartbeat(j *job, m *machine) bool {
	rate := lt.c.types.load()[m.machineType].FetchGBs
	return rate > 0 && j.spec.ImageGB/rate < 2*lt.c.Settings.Site.Workers.HeartbeatS
}

// Parts of the placement cost, in seconds.
const (
	// spotMismatchPenalty is the cost of work without checkpoints on a spot machine, and of
	// work with checkpoints on any other, where it takes up the capacity for work without.
	// Nearly all jobs that were late while the fleet had capacity had lost tasks to the
	// preemption of spot machines.
	spotMismatchPenalty = 8
	// emptyMachinePenalty is the cost of a machine that is not in use yet.
	emptyMachinePenalty = 4
)

// placementCost is how badly a machine suits a job, in seconds lost: the time to fetch the
// image, and a measure of what it costs to keep the machine.
func (lt *leaderTerm) placementCost(j *job, m *machine) float64 {
	mt := lt.c.types.load()[m.machineType]
	cost := 0.0
	if !m.images.has(j.spec.Image) && mt.FetchGBs > 0 {
		cost += j.spec.ImageGB / mt.FetchGBs
	}
	if m.usedCPUs < epsilon {
		cost += emptyMachinePenalty
	}
	if price := lt.autoscaler.cpuPrice(m); price > 0 {
		cost += price/lt.autoscaler.lowestCPUPrice() - 1
	}
	if m.spot != (j.spec.CheckpointS > 0) {
		cost += spotMismatchPenalty
	}
	return cost + m.freeCPUs()/m.cpus
}
