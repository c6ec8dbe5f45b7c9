package controller

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
)

// minSurplusTime is how long there must have been a surplus before a machine is drained.
const minSurplusTime = 6 * time.Second

// drain drains the most expensive machines while there is a surplus, and takes them back into use
// when there is none.
func (as *autoscaler) drain(now time.Time) {
	spare := as.surplus
	var draining, inUse []*machine
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated:
		case m.draining:
			draining = append(draining, m)
			spare -= m.cpus
		case m.isSchedulable(now) && now.Sub(m.addedAt) > minUptime:
			inUse = append(inUse, m)
		}
	}
	mostExpensiveFirst := func(a, b *machine) int {
		return cmp.Or(
			-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)),
			cmp.Compare(a.usedCPUs, b.usedCPUs),
			cmp.Compare(a.name, b.name),
		)
	}
	slices.SortFunc(draining, mostExpensiveFirst)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].draining = false
		spare += draining[i].cpus
	}
	if spare <= 0 {
		as.surplusSince = now
		return
	}
	slices.SortFunc(inUse, mostExpensiveFirst)
	if now.Sub(as.surplusSince) < minSurplusTime || len(inUse) == 0 || spare < inUse[0].cpus {
		return
	}
	for _, m := range inUse {
		if spare < m.cpus {
			return
		}
		spare -= m.cpus
		m.draining = true
		as.leaderTerm.c.Log.Debug("machine draining", "machine", m.name, "count", len(m.attempts), "spare", spare)
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
		if m.isSchedulable(now) {
			freeCPUs += m.freeCPUs()
		}
	}
	for _, m := range as.leaderTerm.machines {
		if !m.draining || freeCPUs < moveCapacityFactor*m.usedCPUs {
			continue
		}
		for _, a := range m.attempts {
			if as.isWorthMoving(a, now) {
				freeCPUs -= a.job.spec.CPUs
				as.leaderTerm.requestStop(a, 2*a.job.spec.Save()+time.Second, now)
			}
		}
	}
}

// isWorthMoving tells whether a running task can save its state, is neither near its start nor near
// its end, and will still end in time for its job's next objective, unless none can be met any
// more.
func (as *autoscaler) isWorthMoving(a *attempt, now time.Time) bool {
	if a.exited || a.job == nil || a.stop != nil || a.phase != api.TaskRunning {
		return false
	}
	spec := &a.job.spec
	if a.job.ended || spec.CheckpointS == 0 {
		return false
	}
	ran := now.Sub(a.runningAt)
	remaining := spec.Estimate() - ran
	if ran <= minRunBeforeMove || remaining <= minRemainingForMove+spec.Save() {
		return false
	}
	objective := a.job.LatestStart().Add(spec.Estimate())
	transfer := spec.Save() + 3*as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval() + moveMargin
	return a.job.infeasible || now.Add(remaining*5/4+transfer).Before(objective)
}

// idleMachines picks the machines to terminate: empty for long enough, the most expensive first, as
// far as the rest covers the demand peak. It takes their CPUs off the surplus.
func (as *autoscaler) idleMachines(now time.Time) []*machine {
	var idle []*machine
	for _, m := range as.leaderTerm.machines {
		if m.evacuating || m.terminated || !m.fenced || m.cpus == 0 || len(m.attempts) > 0 {
			continue
		}
		inUseLately := !m.draining && now.Sub(m.idleSince) < as.leaderTerm.c.Policy.IdleTimeout
		if inUseLately || now.Sub(m.addedAt) < minUptime {
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, m := range idle {
		if as.surplus < m.cpus {
			break
		}
		as.surplus -= m.cpus
		n++
	}
	return idle[:n]
}

// scaleIn has the cloud terminate a machine.
func (as *autoscaler) scaleIn(m *machine) {
	m.terminating = true
	as.terminations = append(as.terminations, m.name)
	as.terminateMachines()
}
