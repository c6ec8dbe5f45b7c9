// Package queue orders what waits: a queue for each team, served in turn by
// shares. It is pure.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Item is a job that waits.
type Item interface {
	// Feasibility tells whether the job's aims can be met.
	Feasibility() Feasibility
	// LatestStart is the latest time to begin and still meet the next aim.
	LatestStart() time.Time
	// Rank is the job's priority, the highest first.
	Rank() int
	// Preference is the operators' for its class, the highest first.
	Preference() float64
	ID() string
}

// Feasibility is what can be hoped for a job. Jobs are served in this order.
type Feasibility int

// The prospects of a job.
const (
	Feasible   Feasibility = iota // its next aim can be met
	Deferred                      // it gave way to others that can be met instead
	Infeasible                    // none of its aims can be met any more
)

// Team is the queue of one team, with its use of the cluster.
type Team[T Item] struct {
	Name  string
	Share float64
	// CPUs and GPUs are guaranteed; LimitCPUs and LimitGPUs are the limit.
	CPUs, LimitCPUs float64
	GPUs, LimitGPUs float64
	// UsedCPUs and UsedGPUs count every task that may be on a machine.
	UsedCPUs, UsedGPUs float64

	items  []T
	sorted bool
}

// Add puts a job into the queue.
func (t *Team[T]) Add(item T) { t.items = append(t.items, item); t.sorted = false }

// Remove takes a job out of the queue.
func (t *Team[T]) Remove(item T) {
	t.items = slices.DeleteFunc(t.items, func(o T) bool { return o.ID() == item.ID() })
}

// Items are the jobs in the order in which they are served.
func (t *Team[T]) Items() []T {
	if !t.sorted {
		slices.SortFunc(t.items, compare[T])
		t.sorted = true
	}
	return t.items
}

func compare[T Item](a, b T) int {
	return cmp.Or(cmp.Compare(a.Feasibility(), b.Feasibility()), cmp.Compare(UrgencyRank(a), UrgencyRank(b)), -cmp.Compare(a.Preference(), b.Preference()),
		a.LatestStart().Compare(b.LatestStart()), cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.ID(), b.ID()))
}

// UrgencyRank orders work that goes before the rest whatever its aims: the ranks
// above the ordinary ones.
func UrgencyRank[T Item](a T) int { return min(a.Rank(), 2) }

// Before tells whether a is served before b where no shares decide.
func Before[T Item](a, b T) bool { return compare(a, b) < 0 }

// Resort makes the next look at the queue put it in order again.
func (t *Team[T]) Resort() { t.sorted = false }

const epsilon = 1e-6

// Guaranteed tells whether a task would be within the team's guarantee.
func (t *Team[T]) Guaranteed(cpus, gpus float64) bool {
	return t.UsedCPUs+cpus <= t.CPUs+epsilon && t.UsedGPUs+gpus <= t.GPUs+epsilon
}

// Allowed tells whether a task would be within the team's limit, when
// uncertain amounts may be in use by any team besides.
func (t *Team[T]) Allowed(cpus, gpus, uncertainCPUs, uncertainGPUs float64) bool {
	return t.UsedCPUs+uncertainCPUs+cpus <= t.LimitCPUs+epsilon &&
		(gpus == 0 || t.UsedGPUs+uncertainGPUs+gpus <= t.LimitGPUs+epsilon)
}

// Utilization is the team's use by its share.
func (t *Team[T]) Utilization() float64 {
	if t.Share <= 0 {
		return t.UsedCPUs + t.UsedGPUs
	}
	return max(t.UsedCPUs, t.UsedGPUs) / t.Share
}

// SortByShare orders teams by whose turn it is.
func SortByShare[T Item](teams []*Team[T]) {
	slices.SortStableFunc(teams, func(a, b *Team[T]) int {
		return cmp.Or(cmp.Compare(a.Utilization(), b.Utilization()), cmp.Compare(a.Name, b.Name))
	})
}
