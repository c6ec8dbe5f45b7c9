// Package queue orders pending jobs: each team has a queue, and the teams are ordered by fair share.
// The package does no I/O and reads no clock.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Item is a pending job.
type Item interface {
	// Feasibility returns whether the job's objectives can be met.
	Feasibility() Feasibility
	// LatestStart returns the latest start time that meets the job's next objective.
	LatestStart() time.Time
	// Rank returns the rank of the job's priority. Lower ranks are served first.
	Rank() int
	// Preference returns the operators' preference for the job's class. Higher values are served
	// first.
	Preference() float64
	// ID returns the job's ID, which breaks ties.
	ID() string
}

// Feasibility states whether a job's objectives can be met. Lower values are served first.
type Feasibility int

// Feasibility values, in the order in which jobs are served.
const (
	Feasible   Feasibility = iota // the next objective can be met
	Deferred                      // deferred under overload, so that other jobs meet their objectives
	Infeasible                    // none of the objectives can still be met
)

// Team is the job queue of one team, with the team's quota and its resource usage.
type Team[T Item] struct {
	Name string
	// Share is the team's fair-share weight for resources beyond its guarantee.
	Share float64
	// GuaranteedCPUs and GuaranteedGPUs are the team's guaranteed resources; LimitCPUs and LimitGPUs
	// are the most that it may use.
	GuaranteedCPUs, LimitCPUs float64
	GuaranteedGPUs, LimitGPUs float64
	// UsedCPUs and UsedGPUs are the resources of all tasks that may be on a machine.
	UsedCPUs, UsedGPUs float64

	items []T
	// sorted is set while items are in serving order.
	sorted bool
}

// Add adds a job to the queue.
func (t *Team[T]) Add(item T) {
	t.items = append(t.items, item)
	t.sorted = false
}

// Remove removes a job from the queue.
func (t *Team[T]) Remove(item T) {
	t.items = slices.DeleteFunc(t.items, func(other T) bool { return other.ID() == item.ID() })
}

// Items returns the queued jobs in serving order.
func (t *Team[T]) Items() []T {
	if !t.sorted {
		slices.SortFunc(t.items, compare[T])
		t.sorted = true
	}
	return t.items
}

// compare defines the serving order of jobs within a team.
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

// ordinaryRank is the rank from which on jobs are ordered by their objectives. Among equally feasible
// jobs, those of lower ranks are served before these.
const ordinaryRank = 2

// UrgencyRank returns the job's rank, capped at ordinaryRank: all jobs of that rank or a higher one are
// equally urgent.
func UrgencyRank[T Item](item T) int { return min(item.Rank(), ordinaryRank) }

// Before reports whether a is served before b, not considering fair share.
func Before[T Item](a, b T) bool { return compare(a, b) < 0 }

// InvalidateOrder makes the next call to Items sort the queue again.
func (t *Team[T]) InvalidateOrder() { t.sorted = false }

// epsilon is the tolerance in comparisons of resource sums, which are inexact floats.
const epsilon = 1e-6

// WithinGuarantee reports whether the team's usage would stay within its guarantee with one more task
// of the given size.
func (t *Team[T]) WithinGuarantee(cpus, gpus float64) bool {
	return t.UsedCPUs+cpus <= t.GuaranteedCPUs+epsilon && t.UsedGPUs+gpus <= t.GuaranteedGPUs+epsilon
}

// WithinLimit reports whether the team's usage would stay within its limit with one more task of the
// given size. The uncertain amounts are usage that cannot be attributed to a team yet; they count in
// full against this team.
func (t *Team[T]) WithinLimit(cpus, gpus, uncertainCPUs, uncertainGPUs float64) bool {
	return t.UsedCPUs+uncertainCPUs+cpus <= t.LimitCPUs+epsilon &&
		(gpus == 0 || t.UsedGPUs+uncertainGPUs+gpus <= t.LimitGPUs+epsilon)
}

// Utilization returns the larger of the team's used CPUs and used GPUs, divided by its share. For a
// team without a share it returns the sum of both.
func (t *Team[T]) Utilization() float64 {
	if t.Share <= 0 {
		return t.UsedCPUs + t.UsedGPUs
	}
	return max(t.UsedCPUs, t.UsedGPUs) / t.Share
}

// SortByShare sorts teams by fair share: lowest utilization first, then by name.
func SortByShare[T Item](teams []*Team[T]) {
	slices.SortStableFunc(teams, func(a, b *Team[T]) int {
		return cmp.Or(cmp.Compare(a.Utilization(), b.Utilization()), cmp.Compare(a.Name, b.Name))
	})
}
