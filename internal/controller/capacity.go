package controller

import (
	"cmp"
	"slices"
	"time"
)

// capacity is how many tasks of a job the schedulable machines have capacity for, by placement
// cost. Every machine that might take the job reads it, so it is computed once a tick: going
// through the whole fleet each time took a leader of 700 machines most of its processor when a
// job arrived.
type capacity struct {
	computedAt time.Time
	// costs are the placement costs in ascending order.
	costs []float64
	// slots are sums: what the machines up to each cost have capacity for.
	slots []int
}

// slotsUpTo is the capacity of machines of at most a cost.
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
