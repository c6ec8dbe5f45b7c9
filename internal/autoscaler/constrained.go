package autoscaler

import (
	"maps"
	"slices"
	"strings"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// Demand as a whole may be covered by machines on which some jobs must not run: spot machines, or
// those of another zone or type. What such jobs lack is covered separately. Otherwise, when only
// spot machines were left of a fleet, a job that must not use them waited for ever beside free
// capacity.

// constrainedDemand is the demand of the jobs that are constrained to the same machines.
type constrainedDemand struct {
	// spec is that of one of the jobs, for the constraints that they share.
	spec *api.JobSpec
	cpus float64
}

// isConstrained tells whether a job may not use every machine.
func isConstrained(s *api.JobSpec) bool { return !s.Spot || s.Zone != "" || s.Types != nil }

// mayUse tells whether a job may run on machines of a type, zone and price model.
func mayUse(s *api.JobSpec, typ, zone string, spot bool) bool {
	return s.AllowsType(typ) && (s.Zone == "" || s.Zone == zone) && (!spot || s.Spot)
}

// constrainedDemands sums up the demand of constrained jobs by their constraints: of what has been
// pending for two heartbeat intervals, and of jobs whose dependencies have all started, since a
// machine boots meanwhile.
func (as *Autoscaler) constrainedDemands(v *View) []*constrainedDemand {
	byKind := map[string]*constrainedDemand{}
	minWait := 2 * as.workers.HeartbeatInterval()
	for _, team := range v.Teams {
		available := team.LimitCPUs - team.UsedCPUs
		for _, j := range team.Items() {
			if !isConstrained(&j.Spec) || j.Finishing || j.FailureRounds > 0 || v.Now.Sub(j.RunnableSince) <= minWait {
				continue
			}
			if cpus := min(float64(j.Flight.Untaken())*j.Spec.CPUs, available); cpus > 0 {
				addDemand(byKind, j, cpus)
				available -= cpus
			}
		}
	}
	for _, j := range v.Jobs {
		if len(j.DependsOn) == 0 || j.CancelPending || !isConstrained(&j.Spec) {
			continue
		}
		if dependenciesStarted(j, v.Jobs) {
			addDemand(byKind, j, min(float64(j.Spec.Tasks)*j.Spec.CPUs, j.Team.LimitCPUs))
		}
	}
	return slices.SortedFunc(maps.Values(byKind), func(a, b *constrainedDemand) int {
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
}

// addDemand adds a job's CPUs to the demand of its constraints.
func addDemand(byKind map[string]*constrainedDemand, j *cluster.Job, cpus float64) {
	key := j.Spec.Zone + "|" + strings.Join(j.Spec.Types, ",")
	if j.Spec.Spot {
		key += "|spot"
	}
	demand := byKind[key]
	if demand == nil {
		demand = &constrainedDemand{spec: &j.Spec}
		byKind[key] = demand
	}
	demand.cpus += cpus
}

// dependenciesStarted tells whether all unfinished dependencies of a job have started.
func dependenciesStarted(j *cluster.Job, active map[string]*cluster.Job) bool {
	for id := range j.DependsOn {
		if dependency := active[id]; dependency == nil || !dependency.Started() {
			return false
		}
	}
	return true
}

// scaleOutConstrained covers what constrained jobs lack: by machines that are draining, or by new
// ones, which it returns the requests for.
func (as *Autoscaler) scaleOutConstrained(v *View, offers []Offer) []Launch {
	demands := as.constrainedDemands(v)
	launches := make([]Launch, 0, len(demands))
	for _, demand := range demands {
		missingCPUs, draining := as.missingCPUsFor(v, demand)
		for _, m := range draining {
			if missingCPUs <= 0 {
				break
			}
			m.Draining = false
			missingCPUs -= float64(m.Slots(demand.spec)) * demand.spec.CPUs
		}
		usable := slices.DeleteFunc(slices.Clone(offers), func(o Offer) bool {
			return !mayUse(demand.spec, o.Type, o.Zone, o.Spot)
		})
		launches = append(launches, as.launch(missingCPUs, usable)...)
	}
	return launches
}

// missingCPUsFor is how many CPUs a demand lacks beyond the machines in use, those that boot and those
// being launched, and which draining machines could serve the demand, by name.
func (as *Autoscaler) missingCPUsFor(
	v *View, demand *constrainedDemand,
) (missingCPUs float64, draining []*cluster.Machine) {
	missingCPUs = demand.cpus
	for _, m := range v.Machines {
		switch {
		case m.Phase() != cluster.Active || m.CPUs == 0 || !mayUse(demand.spec, m.Type, m.Zone, m.Spot):
		case m.Draining:
			draining = append(draining, m)
		default:
			missingCPUs -= float64(m.Slots(demand.spec)) * demand.spec.CPUs
		}
	}
	for _, booting := range v.Provisioning {
		if !booting.Terminating && mayUse(demand.spec, booting.Type, booting.Zone, booting.Spot) {
			missingCPUs -= booting.CPUs
		}
	}
	for _, request := range as.pendingLaunches {
		if mayUse(demand.spec, request.Type, request.Zone, request.Spot) {
			missingCPUs -= float64(request.Count) * request.CPUs
		}
	}
	slices.SortFunc(draining, func(a, b *cluster.Machine) int { return strings.Compare(a.Name, b.Name) })
	return missingCPUs, draining
}
