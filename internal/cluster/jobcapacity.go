package cluster

import (
	"slices"
	"time"
)

// Capacity is how many tasks of a job the schedulable machines have capacity for, by placement
// cost. Every machine that might take the job reads it, so it is computed once a tick: going
// through the whole fleet each time took a leader of 700 machines most of its processor when a
// job arrived.
type Capacity struct {
	ComputedAt time.Time
	// Costs are the placement costs in ascending order.
	Costs []float64
	// Slots are sums: what the machines up to each cost have capacity for.
	Slots []int
}

// SlotsUpTo is the capacity of machines of at most a cost.
func (cp *Capacity) SlotsUpTo(cost float64) int {
	n, found := slices.BinarySearch(cp.Costs, cost)
	for found && n < len(cp.Costs) && cp.Costs[n] == cost {
		n++
	}
	if n == 0 {
		return 0
	}
	return cp.Slots[n-1]
}
