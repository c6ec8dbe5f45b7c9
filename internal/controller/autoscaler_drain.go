package controller

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// minSurplusTime is how long there must have been a surplus before a machine is drained.
const minSurplusTime = 6 * time.Second

// drain drains the most expensive machines while there is a surplus, and takes them back into use
// when there is none.
func (as *autoscaler) drain(now time.Time) {
	spare := as.surplus
	var draining, inUse []*cluster.Machine
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.Phase() != cluster.Active:
		case m.Draining:
			draining = append(draining, m)
			spare -= m.CPUs
		case m.IsSchedulable(now) && now.Sub(m.AddedAt) > minUptime:
			inUse = append(inUse, m)
		}
	}
	mostExpensiveFirst := func(a, b *cluster.Machine) int {
		return cmp.Or(
			-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)),
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
		as.surplusSince = now
		return
	}
	slices.SortFunc(inUse, mostExpensiveFirst)
	if now.Sub(as.surplusSince) < minSurplusTime || len(inUse) == 0 || spare < inUse[0].CPUs {
		return
	}
	for _, m := range inUse {
		if spare < m.CPUs {
			return
		}
		spare -= m.CPUs
		m.Draining = true
		as.leaderTerm.c.Log.Debug("machine draining", "machine", m.Name, "count", len(m.Attempts), "spare", spare)
	}
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

// moveCheckpointed stops the tasks on draining machines that can continue elsewhere from their last
// checkpoint, as far as there is capacity for them.
func (as *autoscaler) moveCheckpointed(now time.Time) {
	freeCPUs := 0.0
	for _, m := range as.leaderTerm.machines {
		if m.IsSchedulable(now) {
			freeCPUs += m.FreeCPUs()
		}
	}
	for _, m := range as.leaderTerm.machines {
		if !m.Draining || freeCPUs < moveCapacityFactor*m.UsedCPUs {
			continue
		}
		for _, a := range m.Attempts {
			if as.isWorthMoving(a, now) {
				freeCPUs -= a.Job.Spec.CPUs
				as.leaderTerm.requestStop(a, 2*a.Job.Spec.Save()+time.Second, now)
			}
		}
	}
}

// isWorthMoving tells whether a running task can save its state, is neither near its start nor near
// its end, and will still end in time for its job's next objective, unless none can be met any
// more.
func (as *autoscaler) isWorthMoving(a *cluster.Attempt, now time.Time) bool {
	if a.Exited || a.Job == nil || a.Stop != nil || a.Phase != api.TaskRunning {
		return false
	}
	spec := &a.Job.Spec
	if a.Job.Ended || spec.CheckpointS == 0 {
		return false
	}
	ran := now.Sub(a.RunningAt)
	remaining := spec.Estimate() - ran
	if ran <= minRunBeforeMove || remaining <= minRemainingForMove+spec.Save() {
		return false
	}
	objective := a.Job.LatestStart().Add(spec.Estimate())
	transfer := spec.Save() + 3*as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval() + moveMargin
	return a.Job.Infeasible || now.Add(remaining*5/4+transfer).Before(objective)
}

// idleMachines picks the machines to terminate: empty for long enough, the most expensive first, as
// far as the rest covers the demand peak. It takes their CPUs off the surplus.
func (as *autoscaler) idleMachines(now time.Time) []*cluster.Machine {
	var idle []*cluster.Machine
	for _, m := range as.leaderTerm.machines {
		if m.Phase() != cluster.Active || !m.Fenced || m.CPUs == 0 || len(m.Attempts) > 0 {
			continue
		}
		inUseLately := !m.Draining && now.Sub(m.IdleSince) < as.leaderTerm.c.Policy.IdleTimeout
		if inUseLately || now.Sub(m.AddedAt) < minUptime {
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *cluster.Machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.Name, b.Name))
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

// scaleIn has the cloud terminate a machine.
func (as *autoscaler) scaleIn(m *cluster.Machine) {
	m.Advance(cluster.Terminating)
	as.terminations = append(as.terminations, m.Name)
	as.terminateMachines()
}
