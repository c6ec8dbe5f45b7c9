// Package queue orders pending jobs: a queue for each team, and the teams by fair share. It is
// pure.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Item is a pending job.
type Item interface {
	// Feasibility is whether the job's objectives can be met.
	Feasibility() Feasibility
	// LatestStart is the latest time to start and still meet the next objective.
	LatestStart() time.Time
	// Rank is the job's priority; the lowest rank is served first.
	Rank() int
	// Preference is the operators' for the job's class; the highest is served first.
	Preference() float64
	// ID is the job's name, which orders jobs that are alike in all else.
	ID() string
}

// Feasibility is whether a job's objectives can be met. Jobs are served in this order.
type Feasibility int

// The feasibility of a job.
const (
	Feasible   Feasibility = iota // its next objective can be met
	Deferred                      // under overload, objectives of other jobs are met instead
	Infeasible                    // none of its objectives can be met any more
)

// Team is the queue of one team, with its quota and its use of the cluster.
type Team[T Item] struct {
	Name string
	// Share is the team's weight beyond its guarantee.
	Share float64
	// GuaranteedCPUs and GPUs are the guarantee; LimitCPUs and LimitGPUs are the limit.
	GuaranteedCPUs, LimitCPUs float64
	GuaranteedGPUs, LimitGPUs float64
	// UsedCPUs and UsedGPUs count every task that may be on a machine.
	UsedCPUs, UsedGPUs float64

	items []T
	// sorted is set while items are in the order in which they are served.
	sorted bool
}

// Add adds a job to the queue.
func (t *Team[T]) Add(item T) {
	t.items = append(t.items, item)
	t.sorted = false
}

// Remove removes a job from the queue.
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

// compare orders jobs as they are served within a team.
func compare[T Item](a, b T) int {
	return cmp.Or(
		cmp.Compare(a.Feasibility(), b.Feasibility()),
		cmp.Compare(UrgencyRank(a), UrgencyRank(b)),
		-cmp.Compare(a.Preference(), b.Preference()),
		a.LatestStart().Compare(b.LatestStart()),
		cmp.Compare(a.Rank(), b.Rank()),
		cmp.Compare(a.ID(), b.ID()),
	)
}

// ordinaryRank is the first rank of jobs that are ordered by their objectives.
const ordinaryRank = 2

// UrgencyRank orders jobs that are served before the rest whatever their objectives: it is the
// rank of those before ordinaryRank, and the same for all others.
func UrgencyRank[T Item](a T) int { return min(a.Rank(), ordinaryRank) }

// Before reports whether a is served before b, fair share aside.
func Before[T Item](a, b T) bool { return compare(a, b) < 0 }

// InvalidateOrder makes the next call of Items sort the queue again.
func (t *Team[T]) InvalidateOrder() { t.sorted = false }

// epsilon is the tolerance of comparisons of sums of resources.
const epsilon = 1e-6

// WithinGuarantee reports whether another task would be within the team's guarantee.
func (t *Team[T]) WithinGuarantee(cpus, gpus float64) bool {
	return t.UsedCPUs+cpus <= t.GuaranteedCPUs+epsilon && t.UsedGPUs+gpus <= t.GuaranteedGPUs+epsilon
}

// WithinLimit reports whether another task would be within the team's limit if uncertain amounts,
// which any team may be using, were all the team's own.
func (t *Team[T]) WithinLimit(cpus, gpus, uncertainCPUs, uncertainGPUs float64) bool {
	return t.UsedCPUs+uncertainCPUs+cpus <= t.LimitCPUs+epsilon &&
		(gpus == 0 || t.UsedGPUs+uncertainGPUs+gpus <= t.LimitGPUs+epsilon)
}

// Utilization is the team's use divided by its share.
func (t *Team[T]) Utilization() float64 {
	if t.Share <= 0 {
		return t.UsedCPUs + t.UsedGPUs
	}
	return max(t.UsedCPUs, t.UsedGPUs) / t.Share
}

// SortByShare orders teams by fair share, the least utilization first.
func SortByShare[T Item](teams []*Team[T]) {
	slices.SortStableFunc(teams, func(a, b *Team[T]) int {
		return cmp.Or(cmp.Compare(a.Utilization(), b.Utilization()), cmp.Compare(a.Name, b.Name))
	})
}
