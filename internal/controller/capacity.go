package controller

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cluster"
)

// updateCapacity recomputes for how many tasks of a job the fleet has capacity, by placement cost.
func (lt *leaderTerm) updateCapacity(j *cluster.Job, now time.Time) {
	type candidate struct {
		cost  float64
		slots int
	}
	var candidates []candidate
	for _, m := range lt.machines {
		if m.IsSchedulable(now) && j.CanUse(m, now) {
			candidates = append(candidates, candidate{lt.placementCost(j, m), m.Slots(&j.Spec)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	j.Capacity = cluster.Capacity{ComputedAt: now, Costs: j.Capacity.Costs[:0], Slots: j.Capacity.Slots[:0]}
	totalSlots := 0
	for _, c := range candidates {
		totalSlots += c.slots
		j.Capacity.Costs = append(j.Capacity.Costs, c.cost)
		j.Capacity.Slots = append(j.Capacity.Slots, totalSlots)
	}
}

// fetchesWithinTwoHeartbeats reports whether a machine fetches a job's image in less than two
// heartbeat intervals. The limit of concurrent fetches does not apply to these images.
func (lt *leaderTerm) fetchesWithinTwoHeartbeats(j *cluster.Job, m *cluster.Machine) bool {
	rate := lt.c.machineTypes.load()[m.Type].FetchGBs
	return rate > 0 && j.Spec.ImageGB/rate < 2*lt.c.Settings.Site.Workers.HeartbeatS
}

// Components of the placement cost, in seconds.
const (
	// spotMismatchPenalty is added for tasks without checkpoints on a spot machine, and for tasks
	// with checkpoints on an on-demand machine, where they use up capacity that tasks without
	// checkpoints need. Nearly all jobs that were late although the fleet had capacity had lost
	// tasks to the preemption of spot machines.
	spotMismatchPenalty = 8
	// emptyMachinePenalty is added for a machine that runs no task.
	emptyMachinePenalty = 4
)

// placementCost returns the cost of running a job's tasks on a machine, in seconds: the time to fetch
// the image, a measure of what it costs to keep the machine (its price, and whether it is empty or
// mostly free), and the penalty for a spot mismatch.
func (lt *leaderTerm) placementCost(j *cluster.Job, m *cluster.Machine) float64 {
	types := lt.c.machineTypes.load()
	machineType := types[m.Type]
	cost := 0.0
	if !m.Images.Has(j.Spec.Image) && machineType.FetchGBs > 0 {
		cost += j.Spec.ImageGB / machineType.FetchGBs
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
