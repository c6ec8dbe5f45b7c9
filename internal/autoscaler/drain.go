package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// minSurplusDuration is how long a surplus must last before a machine is drained.
const minSurplusDuration = 6 * time.Second

// Drain starts draining the most expensive machines while the surplus allows it, and takes draining
// machines back into use, the cheapest first, when the surplus is too small for them. It returns the
// machines that have started draining.
func (a *Autoscaler) Drain(view *View) []Drain {
	spare := a.surplusCPUs
	var draining, inUse []*cluster.Machine
	for _, m := range view.Machines {
		switch {
		case m.Phase() != cluster.Active:
		case m.Draining:
			draining = append(draining, m)
			spare -= m.CPUs
		case m.IsSchedulable(view.Now) && view.Now.Sub(m.AddedAt) > minBilledTime:
			inUse = append(inUse, m)
		}
	}
	mostExpensiveFirst := func(x, y *cluster.Machine) int {
		return cmp.Or(
			-cmp.Compare(CPUPrice(view.Types, x), CPUPrice(view.Types, y)),
			cmp.Compare(x.UsedCPUs, y.UsedCPUs),
			cmp.Compare(x.Name, y.Name),
		)
	}
	slices.SortFunc(draining, mostExpensiveFirst)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].Draining = false
		spare += draining[i].CPUs
	}
	if spare <= 0 {
		a.surplusSince = view.Now
		return nil
	}
	slices.SortFunc(inUse, mostExpensiveFirst)
	if view.Now.Sub(a.surplusSince) < minSurplusDuration || len(inUse) == 0 || spare < inUse[0].CPUs {
		return nil
	}
	var drains []Drain
	for _, m := range inUse {
		if spare < m.CPUs {
			break
		}
		spare -= m.CPUs
		m.Draining = true
		drains = append(drains, Drain{Machine: m, SpareCPUs: spare})
	}
	return drains
}

// Conditions for moving running tasks with checkpoints off draining machines.
const (
	// minRunBeforeMove is how long a task must have run before it is moved.
	minRunBeforeMove = 30 * time.Second
	// minRemainingForMove is the run time that a moved task must have left, on top of the time to
	// save its state.
	minRemainingForMove = 20 * time.Second
	// moveMargin is how long before its job's objective a moved task must be expected to end.
	moveMargin = 5 * time.Second
	// moveCapacityFactor is the ratio of free CPUs on other machines to used CPUs on the draining
	// machine that is required to move its tasks, so that they need not wait for capacity.
	moveCapacityFactor = 3
)

// MoveCheckpointed returns stop requests for the attempts on draining machines that can continue on
// other machines from their last checkpoint, as far as those have capacity.
func (a *Autoscaler) MoveCheckpointed(view *View) []Stop {
	freeCPUs := 0.0
	for _, m := range view.Machines {
		if m.IsSchedulable(view.Now) {
			freeCPUs += m.FreeCPUs()
		}
	}
	var stops []Stop
	for _, m := range view.Machines {
		if !m.Draining || freeCPUs < moveCapacityFactor*m.UsedCPUs {
			continue
		}
		for _, attempt := range m.Attempts {
			if a.isWorthMoving(attempt, view.Now) {
				freeCPUs -= attempt.Job.Spec.CPUs
				stops = append(stops, Stop{Attempt: attempt, Grace: 2*attempt.Job.Spec.SaveDuration() + time.Second})
			}
		}
	}
	return stops
}

// isWorthMoving reports whether an attempt is running a task with checkpoints that is neither near its
// start nor near its end, and that is still expected to meet its job's next objective after the move.
// The objective does not matter if the job cannot meet any.
func (a *Autoscaler) isWorthMoving(attempt *cluster.Attempt, now time.Time) bool {
	if attempt.Exited || attempt.Job == nil || attempt.Stop != nil || attempt.Phase != api.TaskRunning {
		return false
	}
	spec := &attempt.Job.Spec
	if attempt.Job.Ended || spec.CheckpointS == 0 {
		return false
	}
	ran := now.Sub(attempt.RunningAt)
	remaining := spec.Estimate() - ran
	if ran <= minRunBeforeMove || remaining <= minRemainingForMove+spec.SaveDuration() {
		return false
	}
	objective := attempt.Job.LatestStart().Add(spec.Estimate())
	transfer := spec.SaveDuration() + 3*a.workers.HeartbeatInterval() + moveMargin
	// The remaining run time may exceed its estimate by a quarter.
	return attempt.Job.Infeasible || now.Add(remaining*5/4+transfer).Before(objective)
}

// IdleMachines returns the machines to terminate: those that have been empty for the policy's idle
// timeout, and empty machines that are draining. It takes the most expensive first, as long as the
// remaining machines cover the demand peak, and subtracts their CPUs from the surplus. Machines are
// kept for at least minBilledTime.
func (a *Autoscaler) IdleMachines(view *View) []*cluster.Machine {
	var idle []*cluster.Machine
	for _, m := range view.Machines {
		if m.Phase() != cluster.Active || !m.Fenced || m.CPUs == 0 || len(m.Attempts) > 0 {
			continue
		}
		recentlyUsed := !m.Draining && view.Now.Sub(m.IdleSince) < a.policy.IdleTimeout
		if recentlyUsed || view.Now.Sub(m.AddedAt) < minBilledTime {
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(x, y *cluster.Machine) int {
		return cmp.Or(-cmp.Compare(CPUPrice(view.Types, x), CPUPrice(view.Types, y)), cmp.Compare(x.Name, y.Name))
	})
	n := 0
	for _, m := range idle {
		if a.surplusCPUs < m.CPUs {
			break
		}
		a.surplusCPUs -= m.CPUs
		n++
	}
	return idle[:n]
}
