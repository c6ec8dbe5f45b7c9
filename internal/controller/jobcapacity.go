package controller

import (
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
