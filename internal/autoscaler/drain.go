package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// minSurplusTime is how long there must have been a surplus before a machine is drained.
const minSurplusTime = 6 * time.Second

// Drain drains the most expensive machines while there is a surplus, and takes them back into use
// when there is none. It returns the machines that are draining from now on.
func (as *Autoscaler) Drain(v *View) []Drained {
	spare := as.surplus
	var draining, inUse []*cluster.Machine
	for _, m := range v.Machines {
		switch {
		case m.Phase() != cluster.Active:
		case m.Draining:
			draining = append(draining, m)
			spare -= m.CPUs
		case m.IsSchedulable(v.Now) && v.Now.Sub(m.AddedAt) > minUptime:
			inUse = append(inUse, m)
		}
	}
	mostExpensiveFirst := func(a, b *cluster.Machine) int {
		return cmp.Or(
			-cmp.Compare(CPUPrice(v.Types, a), CPUPrice(v.Types, b)),
			cmp.Compare(a.UsedCPUs, b.UsedCPUs),
			cmp.Compare(a.Name, b.Name),
		)
	}
	slices.SortFunc(draining, mostExpensiveFirst)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].Draining = false
		spare += draining[i].CPUs
	}
	if spare <= 0 {
		as.surplusSince = v.Now
		return nil
	}
	slices.SortFunc(inUse, mostExpensiveFirst)
	if v.Now.Sub(as.surplusSince) < minSurplusTime || len(inUse) == 0 || spare < inUse[0].CPUs {
		return nil
	}
	var drained []Drained
	for _, m := range inUse {
		if spare < m.CPUs {
			break
		}
		spare -= m.CPUs
		m.Draining = true
		drained = append(drained, Drained{Machine: m, SpareCPUs: spare})
	}
	return drained
}

// Limits within which running tasks with checkpoints are moved off draining machines.
const (
	// A task that has run for less than minRunBeforeMove, or that ends within
	// minRemainingForMove, stays where it is.
	minRunBeforeMove    = 30 * time.Second
	minRemainingForMove = 20 * time.Second
	// moveMargin is how long before its job's objective a moved task must be expected to end.
	moveMargin = 5 * time.Second
	// moveCapacityFactor is how many times what a machine's tasks use must be free elsewhere,
	// so that what is moved need not wait there.
	moveCapacityFactor = 3
)

// MoveCheckpointed picks the attempts on draining machines that can continue elsewhere from their
// last checkpoint, as far as there is capacity for them.
func (as *Autoscaler) MoveCheckpointed(v *View) []Stop {
	freeCPUs := 0.0
	for _, m := range v.Machines {
		if m.IsSchedulable(v.Now) {
			freeCPUs += m.FreeCPUs()
		}
	}
	var stops []Stop
	for _, m := range v.Machines {
		if !m.Draining || freeCPUs < moveCapacityFactor*m.UsedCPUs {
			continue
		}
		for _, a := range m.Attempts {
			if as.isWorthMoving(a, v.Now) {
				freeCPUs -= a.Job.Spec.CPUs
				stops = append(stops, Stop{Attempt: a, Grace: 2*a.Job.Spec.SaveDuration() + time.Second})
			}
		}
	}
	return stops
}

// isWorthMoving tells whether a running task can save its state, is neither near its start nor near
// its end, and will still end in time for its job's next objective, unless none can be met any
// more.
func (as *Autoscaler) isWorthMoving(a *cluster.Attempt, now time.Time) bool {
	if a.Exited || a.Job == nil || a.Stop != nil || a.Phase != api.TaskRunning {
		return false
	}
	spec := &a.Job.Spec
	if a.Job.Ended || spec.CheckpointS == 0 {
		return false
	}
	ran := now.Sub(a.RunningAt)
	remaining := spec.Estimate() - ran
	if ran <= minRunBeforeMove || remaining <= minRemainingForMove+spec.SaveDuration() {
		return false
	}
	objective := a.Job.LatestStart().Add(spec.Estimate())
	transfer := spec.SaveDuration() + 3*as.workers.HeartbeatInterval() + moveMargin
	return a.Job.Infeasible || now.Add(remaining*5/4+transfer).Before(objective)
}

// IdleMachines picks the machines to terminate: empty for long enough, the most expensive first, as
// far as the rest covers the demand peak. It takes their CPUs off the surplus.
func (as *Autoscaler) IdleMachines(v *View) []*cluster.Machine {
	var idle []*cluster.Machine
	for _, m := range v.Machines {
		if m.Phase() != cluster.Active || !m.Fenced || m.CPUs == 0 || len(m.Attempts) > 0 {
			continue
		}
		inUseLately := !m.Draining && v.Now.Sub(m.IdleSince) < as.policy.IdleTimeout
		if inUseLately || v.Now.Sub(m.AddedAt) < minUptime {
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *cluster.Machine) int {
		return cmp.Or(-cmp.Compare(CPUPrice(v.Types, a), CPUPrice(v.Types, b)), cmp.Compare(a.Name, b.Name))
	})
	n := 0
	for _, m := range idle {
		if as.surplus < m.CPUs {
			break
		}
		as.surplus -= m.CPUs
		n++
	}
	return idle[:n]
}
