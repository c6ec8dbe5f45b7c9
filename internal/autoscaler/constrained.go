package autoscaler

import (
	"maps"
	"slices"
	"strings"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// The capacity that covers the total demand may consist of machines that some jobs must not use: spot
// machines, or machines of another zone or type. The demand of constrained jobs is therefore also
// covered separately. Without this, when only spot machines were left in a fleet, a job that must not
// use them waited forever next to free capacity.

// constrainedDemand is the demand of the jobs that are constrained to the same machines.
type constrainedDemand struct {
	// spec is the specification of one of these jobs, which has the constraints that they share.
	spec *api.JobSpec
	cpus float64
}

// isConstrained reports whether there are machines that a job must not use because of their type, zone
// or price model.
func isConstrained(s *api.JobSpec) bool { return !s.Spot || s.Zone != "" || s.Types != nil }

// mayUse reports whether a job may run on machines of a type, zone and price model.
func mayUse(s *api.JobSpec, typ, zone string, spot bool) bool {
	return s.AllowsType(typ) && (s.Zone == "" || s.Zone == zone) && (!spot || s.Spot)
}

// constrainedDemands sums up the demand of constrained jobs by their constraints. It includes pending
// jobs that have been runnable for two heartbeat intervals, and jobs whose remaining dependencies have
// all started, since a machine takes time to boot.
func (a *Autoscaler) constrainedDemands(view *View) []*constrainedDemand {
	byConstraints := map[string]*constrainedDemand{}
	minWait := 2 * a.workers.HeartbeatInterval()
	for _, team := range view.Teams {
		available := team.LimitCPUs - team.UsedCPUs
		for _, j := range team.Items() {
			if !isConstrained(&j.Spec) || j.Finishing || j.BackoffCount > 0 ||
				view.Now.Sub(j.RunnableSince) <= minWait {
				continue
			}
			if cpus := min(float64(j.Flight.Untaken())*j.Spec.CPUs, available); cpus > 0 {
				addDemand(byConstraints, j, cpus)
				available -= cpus
			}
		}
	}
	for _, j := range view.Jobs {
		if len(j.DependsOn) == 0 || j.CancelPending || !isConstrained(&j.Spec) {
			continue
		}
		if dependenciesStarted(j, view.Jobs) {
			addDemand(byConstraints, j, min(float64(j.Spec.Tasks)*j.Spec.CPUs, j.Team.LimitCPUs))
		}
	}
	return slices.SortedFunc(maps.Values(byConstraints), func(x, y *constrainedDemand) int {
		return strings.Compare(x.spec.ID, y.spec.ID)
	})
}

// addDemand adds a job's CPUs to the demand of the jobs with the same constraints.
func addDemand(byConstraints map[string]*constrainedDemand, j *cluster.Job, cpus float64) {
	key := j.Spec.Zone + "|" + strings.Join(j.Spec.Types, ",")
	if j.Spec.Spot {
		key += "|spot"
	}
	demand := byConstraints[key]
	if demand == nil {
		demand = &constrainedDemand{spec: &j.Spec}
		byConstraints[key] = demand
	}
	demand.cpus += cpus
}

// dependenciesStarted reports whether all unfinished dependencies of a job have started.
func dependenciesStarted(j *cluster.Job, active map[string]*cluster.Job) bool {
	for id := range j.DependsOn {
		if dependency := active[id]; dependency == nil || !dependency.Started() {
			return false
		}
	}
	return true
}

// scaleOutConstrained covers the demand of constrained jobs that the fleet lacks capacity for. It first
// takes draining machines back into use, and returns launch requests for the rest.
func (a *Autoscaler) scaleOutConstrained(view *View, offers []Offer) []Launch {
	demands := a.constrainedDemands(view)
	launches := make([]Launch, 0, len(demands))
	for _, demand := range demands {
		missingCPUs, draining := a.missingCPUsFor(view, demand)
		for _, m := range draining {
			if missingCPUs <= 0 {
				break
			}
			m.Draining = false
			missingCPUs -= float64(m.Slots(demand.spec)) * demand.spec.CPUs
		}
		usable := slices.DeleteFunc(slices.Clone(offers), func(offer Offer) bool {
			return !mayUse(demand.spec, offer.Type, offer.Zone, offer.Spot)
		})
		launches = append(launches, a.launch(missingCPUs, usable)...)
	}
	return launches
}

// missingCPUsFor returns the part of a demand that fits neither in the free capacity of the machines in
// use nor on the machines that are booting or being launched. It also returns the draining machines that
// could serve the demand, sorted by name.
func (a *Autoscaler) missingCPUsFor(
	view *View, demand *constrainedDemand,
) (missingCPUs float64, draining []*cluster.Machine) {
	missingCPUs = demand.cpus
	for _, m := range view.Machines {
		switch {
		case m.Phase() != cluster.Active || m.CPUs == 0 || !mayUse(demand.spec, m.Type, m.Zone, m.Spot):
		case m.Draining:
			draining = append(draining, m)
		default:
			missingCPUs -= float64(m.Slots(demand.spec)) * demand.spec.CPUs
		}
	}
	for _, booting := range view.Provisioning {
		if !booting.Terminating && mayUse(demand.spec, booting.Type, booting.Zone, booting.Spot) {
			missingCPUs -= booting.CPUs
		}
	}
	for _, request := range a.pendingLaunches {
		if mayUse(demand.spec, request.Type, request.Zone, request.Spot) {
			missingCPUs -= float64(request.Count) * request.CPUs
		}
	}
	slices.SortFunc(draining, func(x, y *cluster.Machine) int { return strings.Compare(x.Name, y.Name) })
	return missingCPUs, draining
}
