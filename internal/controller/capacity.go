package controller

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cluster"
)

// updateCapacity computes which capacity the fleet has for a job.
func (lt *leaderTerm) updateCapacity(j *cluster.Job, now time.Time) {
	type offer struct {
		cost  float64
		slots int
	}
	var offers []offer
	for _, m := range lt.machines {
		if m.IsSchedulable(now) && m.Fits(&j.Spec) && (!m.Spot || j.Spec.Spot) {
			offers = append(offers, offer{lt.placementCost(j, m), m.Slots(&j.Spec)})
		}
	}
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	j.Capacity = cluster.Capacity{ComputedAt: now, Costs: j.Capacity.Costs[:0], Slots: j.Capacity.Slots[:0]}
	sum := 0
	for _, o := range offers {
		sum += o.slots
		j.Capacity.Costs = append(j.Capacity.Costs, o.cost)
		j.Capacity.Slots = append(j.Capacity.Slots, sum)
	}
}

// fetchesWithinTwoHeartbeats tells whether a machine fetches a job's image in less than two
// heartbeat intervals.
func (lt *leaderTerm) fetchesWithinTwoHeartbeats(j *cluster.Job, m *cluster.Machine) bool {
	rate := lt.c.types.load()[m.Type].FetchGBs
	return rate > 0 && j.Spec.ImageGB/rate < 2*lt.c.Settings.Site.Workers.HeartbeatS
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
func (lt *leaderTerm) placementCost(j *cluster.Job, m *cluster.Machine) float64 {
	types := lt.c.types.load()
	mt := types[m.Type]
	cost := 0.0
	if !m.Images.Has(j.Spec.Image) && mt.FetchGBs > 0 {
		cost += j.Spec.ImageGB / mt.FetchGBs
	}
	if m.UsedCPUs < cluster.Epsilon {
		cost += emptyMachinePenalty
	}
	if price := autoscaler.CPUPrice(types, m); price > 0 {
		cost += price/autoscaler.LowestCPUPrice(types) - 1
	}
	if m.Spot != (j.Spec.CheckpointS > 0) {
		cost += spotMismatchPenalty
	}
	return cost + m.FreeCPUs()/m.CPUs
}
