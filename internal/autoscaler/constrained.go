package autoscaler

import (
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// The capacity that covers the total demand may consist of machines that some jobs cannot use: spot
// machines, machines of another zone or type, or machines on which their tasks have failed. The demand of
// these jobs is therefore also covered separately. Without this, when only spot machines were left in a
// fleet, a job that must not use them waited forever next to free capacity.

// constrainedDemand is the demand of jobs that can use the same machines.
type constrainedDemand struct {
	// job is one of these jobs.
	job *cluster.Job
	// tasks is the demand, in tasks of the size of job's.
	tasks float64
	// single is set if the demand is that of one job alone, whose exclusions from machines count.
	single bool
}

// canUse reports whether tasks of the demand can use a machine, apart from its free capacity.
func (d *constrainedDemand) canUse(m *cluster.Machine, now time.Time) bool {
	avoided := d.single && d.job.Avoids(m.Name, now)
	return !avoided && d.job.AllowsPool(m.Type, m.Zone, m.Spot)
}

// isConstrained reports whether there are machines that a job must not use because of their type, zone
// or price model.
func isConstrained(s *api.JobSpec) bool { return !s.Spot || s.Zone != "" || s.Types != nil }

// constrainedDemands is the list of the demands of constrained jobs while it is being built.
type constrainedDemands struct {
	view *View
	// shared holds the demands of jobs with the same constraints, by these constraints.
	shared map[string]*constrainedDemand
	list   []*constrainedDemand
}

// constrainedDemands returns the demand of constrained jobs, by what they can use. It includes pending
// jobs that have been runnable for two heartbeat intervals, and jobs whose remaining dependencies have
// all started, since a machine takes time to boot.
func (a *Autoscaler) constrainedDemands(view *View) []*constrainedDemand {
	demands := &constrainedDemands{view: view, shared: map[string]*constrainedDemand{}}
	minWait := 2 * a.workers.HeartbeatInterval()
	for _, team := range view.Teams {
		available := team.LimitCPUs - team.UsedCPUs
		for _, j := range team.Items() {
			if view.Now.Sub(j.RunnableSince) <= minWait {
				continue
			}
			if cpus := min(float64(neededTasks(j))*j.Spec.CPUs, available); demands.add(j, cpus) {
				available -= cpus
			}
		}
	}
	for _, j := range view.Jobs {
		if len(j.DependsOn) == 0 || j.CancelPending || !isConstrained(&j.Spec) {
			continue
		}
		if dependenciesStarted(j, view.Jobs) {
			demands.add(j, min(float64(j.Spec.Tasks)*j.Spec.CPUs, j.Team.LimitCPUs))
		}
	}
	slices.SortFunc(demands.list, func(x, y *constrainedDemand) int {
		return strings.Compare(x.job.Spec.ID, y.job.Spec.ID)
	})
	return demands.list
}

// add adds the demand of a job, unless the job can use all machines. It reports whether it was added.
func (d *constrainedDemands) add(j *cluster.Job, cpus float64) bool {
	if cpus <= 0 {
		return false
	}
	tasks := cpus / j.Spec.CPUs
	avoidedSlots := d.avoidedSlots(j)
	switch {
	case avoidedSlots > 0 && isConstrained(&j.Spec):
		d.list = append(d.list, &constrainedDemand{job: j, tasks: tasks, single: true})
	case avoidedSlots > 0:
		// The capacity that the job avoids has been counted for the total demand.
		tasks = min(tasks, float64(avoidedSlots))
		d.list = append(d.list, &constrainedDemand{job: j, tasks: tasks, single: true})
	case isConstrained(&j.Spec):
		d.addShared(j, cpus)
	default:
		return false
	}
	return true
}

// avoidedSlots returns for how many tasks of a job there is free capacity on the machines that it avoids
// because its tasks failed there. It is 0 for a job in backoff: it fails on every machine, so another one
// does not help.
func (d *constrainedDemands) avoidedSlots(j *cluster.Job) int {
	if j.BackoffCount > 0 {
		return 0
	}
	slots := 0
	for _, name := range j.AvoidedMachines(d.view.Now) {
		if m := d.view.Machines[name]; m != nil && m.Phase() == cluster.Active && j.AllowsPool(m.Type, m.Zone, m.Spot) {
			slots += m.Slots(&j.Spec)
		}
	}
	return slots
}

// addShared adds a job's CPUs to the demand of the jobs with the same constraints.
func (d *constrainedDemands) addShared(j *cluster.Job, cpus float64) {
	key := j.Spec.Zone + "|" + strings.Join(j.Spec.Types, ",")
	if j.Spec.Spot {
		key += "|spot"
	}
	demand := d.shared[key]
	if demand == nil {
		demand = &constrainedDemand{job: j}
		d.shared[key] = demand
		d.list = append(d.list, demand)
	}
	demand.tasks += cpus / demand.job.Spec.CPUs
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
		missing, draining := a.missingSlots(view, demand)
		for _, m := range draining {
			if missing <= 0 {
				break
			}
			m.Draining = false
			missing -= float64(m.Slots(&demand.job.Spec))
		}
		usable := slices.DeleteFunc(slices.Clone(offers), func(offer Offer) bool {
			return !demand.job.AllowsPool(offer.Type, offer.Zone, offer.Spot)
		})
		launches = append(launches, a.launch(missing*demand.job.Spec.CPUs, usable)...)
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
			missing -= booting.CPUs / job.Spec.CPUs
		}
	}
	for _, request := range a.pendingLaunches {
		if job.AllowsPool(request.Type, request.Zone, request.Spot) {
			missing -= float64(request.Count) * request.CPUs / job.Spec.CPUs
		}
	}
	slices.SortFunc(draining, func(x, y *cluster.Machine) int { return strings.Compare(x.Name, y.Name) })
	return missing, draining
}
