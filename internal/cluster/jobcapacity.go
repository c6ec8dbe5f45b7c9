package cluster

import (
	"slices"
	"time"
)

// Capacity is the number of a job's tasks that the schedulable machines have capacity for, by
// placement cost. Every machine that may serve the job reads it, so it is computed at most once a
// tick: when each machine scanned the whole fleet, the arrival of a job took most of the CPU time of
// a leader with 700 machines.
type Capacity struct {
	ComputedAt time.Time
	// Costs holds the placement costs in ascending order.
	Costs []float64
	// Slots holds, for each cost, the total capacity of the machines up to that cost.
	Slots []int
}

// SlotsUpTo returns the capacity of the machines whose placement cost is at most cost.
func (c *Capacity) SlotsUpTo(cost float64) int {
	n, found := slices.BinarySearch(c.Costs, cost)
	for found && n < len(c.Costs) && c.Costs[n] == cost {
		n++
	}
	if n == 0 {
		return 0
	}
	return c.Slots[n-1]
}
