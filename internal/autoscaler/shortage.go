package autoscaler

import (
	"slices"
	"strings"

	"example.org/ivytrestle/internal/cluster"
)

// scaleOutConstrained covers the demand of constrained jobs that the fleet lacks capacity for. It first
// takes draining machines back into use, and returns launch requests for the rest.
func (a *Autoscaler) scaleOutConstrained(view *View, offers []Offer) []Launch {
	demands := a.constrainedDemands(view)
	launches := make([]Launch, 0, len(demands))
	for _, demand := range demands {
		spec := &demand.job.Spec
		missing, draining := a.missingSlots(view, demand)
		for _, m := range draining {
			if missing <= 0 {
				break
			}
			m.Draining = false
			missing -= float64(m.Slots(spec))
		}
		slots := func(offer Offer) float64 { return float64(cluster.TypeSlots(view.Types[offer.Type], spec)) }
		usable := slices.DeleteFunc(slices.Clone(offers), func(offer Offer) bool {
			return !demand.job.AllowsPool(offer.Type, offer.Zone, offer.Spot) || slots(offer) == 0
		})
		launches = append(launches, a.launch(missing, usable, slots)...)
	}
	return launches
}

// missingSlots returns how many tasks of a demand fit neither in the free capacity of the machines in use
// nor on the machines that are booting or being launched. It also returns the draining machines that could
// serve the demand, sorted by name.
func (a *Autoscaler) missingSlots(
	view *View, demand *constrainedDemand,
) (missing float64, draining []*cluster.Machine) {
	job := demand.job
	missing = demand.tasks
	for _, m := range view.Machines {
		switch {
		case m.Phase() != cluster.Active || m.CPUs == 0 || !demand.canUse(m, view.Now):
		case m.Draining:
			draining = append(draining, m)
		default:
			missing -= float64(m.Slots(&job.Spec))
		}
	}
	for _, booting := range view.Provisioning {
		if !booting.Terminating && job.AllowsPool(booting.Type, booting.Zone, booting.Spot) {
			missing -= float64(cluster.TypeSlots(view.Types[booting.Type], &job.Spec))
		}
	}
	for _, request := range a.pendingLaunches {
		if job.AllowsPool(request.Type, request.Zone, request.Spot) {
			missing -= float64(request.Count * cluster.TypeSlots(view.Types[request.Type], &job.Spec))
		}
	}
	slices.SortFunc(draining, func(x, y *cluster.Machine) int { return strings.Compare(x.Name, y.Name) })
	return missing, draining
}

// strandedCPUs returns the free CPUs of the machines in use that the waiting jobs cannot use, because other
// tasks have taken the memory or GPUs that these jobs need beside the CPUs. Demand for the CPUs alone counts
// them as free. The longest waiting job that is not constrained stands for all of these.
func (a *Autoscaler) strandedCPUs(view *View) float64 {
	job := a.longestWaiting(view)
	if job == nil {
		return 0
	}
	stranded := 0.0
	for _, m := range view.Machines {
		if m.Phase() != cluster.Active || m.Draining {
			continue
		}
		if unusable := cpuSlots(m.FreeCPUs(), &job.Spec) - float64(m.Slots(&job.Spec)); unusable > 0 {
			stranded += unusable * job.Spec.CPUs
		}
	}
	return stranded
}

// longestWaiting returns the job that has been runnable for longest of those that wait for capacity and are
// not constrained, or nil.
func (a *Autoscaler) longestWaiting(view *View) *cluster.Job {
	demands := newConstrainedDemands(view)
	var longest *cluster.Job
	for _, team := range view.Teams {
		free := newTeamCapacity(team)
		for _, j := range team.Items() {
			isLonger := longest == nil || j.RunnableSince.Before(longest.RunnableSince)
			if !isLonger || !a.hasWaited(j, view.Now) || free.tasks(&j.Spec, neededTasks(j)) == 0 {
				continue
			}
			if !demands.isConstrained(j) {
				longest = j
			}
		}
	}
	return longest
}
