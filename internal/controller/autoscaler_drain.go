package controller

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
)

// minSurplusTime is how long there must have been room to spare before a machine
// is drained.
const minSurplusTime = 6 * time.Second

// drain empties the machines that are worth least while there is room to spare,
// and takes them back into use when there is not.
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
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.usedCPUs, b.usedCPUs), cmp.Compare(a.name, b.name))
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
		as.leaderTerm.c.Log.Debug("machine drained", "machine", m.name, "tasks", len(m.attempts), "spare", spare)
	}
}

// minRunBeforeMove keeps tasks that have just begun, and those that will soon end,
// where they are.
const (
	minRunBeforeMove    = 30 * time.Second
	minRemainingForMove = 20 * time.Second
	moveMargin          = 5 * time.Second
	// moveCapacityFactor is how many times what a machine holds must be free
	// elsewhere, so that what is moved need not wait there.
	moveCapacityFactor = 3
)

// moveCheckpointed stops the tasks on draining machines that can go on elsewhere from
// where they were.
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
			if a.exited || a.job == nil || a.stop != nil || a.job.ended || a.job.spec.CheckpointS == 0 || a.phase != api.TaskRunning {
				continue
			}
			spec := &a.job.spec
			ran := now.Sub(a.runningAt)
			remaining := spec.Estimate() - ran
			objective := a.job.latestStart.Add(spec.Estimate())
			if ran > minRunBeforeMove && remaining > minRemainingForMove+spec.Save() &&
				(a.job.infeasible || now.Add(remaining*5/4+spec.Save()+3*as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()+moveMargin).Before(objective)) {
				freeCPUs -= spec.CPUs
				as.leaderTerm.stop(a, 2*spec.Save()+time.Second, now)
			}
		}
	}
}

// idleMachines picks the machines to give back: empty for long enough, the dearest
// first, as far as what remains covers the demand.
func (as *autoscaler) idleMachines(now time.Time) []*machine {
	var idle []*machine
	for _, m := range as.leaderTerm.machines {
		if m.evacuating || m.terminated || !m.fenced || m.cpus == 0 || len(m.attempts) > 0 ||
			(!m.draining && now.Sub(m.idleSince) < as.leaderTerm.c.Policy.IdleReturn) || now.Sub(m.addedAt) < minUptime {
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

// scaleIn returns a machine to the cloud.
func (as *autoscaler) scaleIn(m *machine) {
	m.terminating = true
	as.terminations = append(as.terminations, m.name)
	as.terminateMachines()
}
