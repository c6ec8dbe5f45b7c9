package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/queue"
)

// The capacity that covers the total demand may consist of machines that some jobs cannot use: spot
// machines, machines of another zone or type, machines without enough memory or GPUs, or machines on which
// their tasks have failed. The demand of these jobs is therefore also covered separately. Without this,
// when only spot machines were left in a fleet, a job that must not use them waited forever next to free
// capacity.

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

// constrainedDemands is the list of the demands of constrained jobs while it is being built.
type constrainedDemands struct {
	view *View
	// shared holds the demands of jobs with the same constraints, by these constraints.
	shared map[string]*constrainedDemand
	list   []*constrainedDemand
	// cpuBound holds the results of isCPUBound.
	cpuBound map[taskSize]bool
}

// taskSize is what a task takes of its machine.
type taskSize struct{ cpus, gpus, memoryGB float64 }

// constrainedDemands returns the demand of constrained jobs, by what they can use. It includes pending
// jobs that have been runnable for two heartbeat intervals, and jobs whose remaining dependencies have
// all started, since a machine takes time to boot.
func (a *Autoscaler) constrainedDemands(view *View) []*constrainedDemand {
	demands := newConstrainedDemands(view)
	for _, team := range view.Teams {
		free := newTeamCapacity(team)
		for _, j := range team.Items() {
			if !a.hasWaited(j, view.Now) {
				continue
			}
			if tasks := free.tasks(&j.Spec, neededTasks(j)); demands.add(j, tasks) {
				free.take(&j.Spec, tasks)
			}
		}
	}
	for _, j := range view.Jobs {
		if len(j.DependsOn) == 0 || j.CancelPending || !demands.isConstrained(j) {
			continue
		}
		if dependenciesStarted(j, view.Jobs) {
			unused := teamCapacity{cpus: j.Team.LimitCPUs, gpus: j.Team.LimitGPUs}
			demands.add(j, unused.tasks(&j.Spec, j.Spec.Tasks))
		}
	}
	slices.SortFunc(demands.list, func(x, y *constrainedDemand) int {
		return strings.Compare(x.job.Spec.ID, y.job.Spec.ID)
	})
	return demands.list
}

func newConstrainedDemands(view *View) *constrainedDemands {
	return &constrainedDemands{
		view:     view,
		shared:   map[string]*constrainedDemand{},
		cpuBound: map[taskSize]bool{},
	}
}

// hasWaited reports whether a queued job has been runnable for two heartbeat intervals, in which machines
// with free capacity would have taken its tasks.
func (a *Autoscaler) hasWaited(j *cluster.Job, now time.Time) bool {
	return now.Sub(j.RunnableSince) > 2*a.workers.HeartbeatInterval()
}

// teamCapacity is the part of a team's limit that is still free.
type teamCapacity struct{ cpus, gpus float64 }

func newTeamCapacity(team *queue.Team[*cluster.Job]) teamCapacity {
	return teamCapacity{cpus: team.LimitCPUs - team.UsedCPUs, gpus: team.LimitGPUs - team.UsedGPUs}
}

// tasks returns how many of a number of tasks of a job are within the limit.
func (c *teamCapacity) tasks(s *api.JobSpec, tasks int) float64 {
	within := float64(tasks)
	if s.CPUs > 0 {
		within = min(within, math.Floor(c.cpus/s.CPUs+cluster.Epsilon))
	}
	if s.GPUs > 0 {
		within = min(within, math.Floor(c.gpus/s.GPUs+cluster.Epsilon))
	}
	return max(0, within)
}

// take subtracts tasks of a job.
func (c *teamCapacity) take(s *api.JobSpec, tasks float64) {
	c.cpus -= tasks * s.CPUs
	c.gpus -= tasks * s.GPUs
}

// isConstrained reports whether there may be machines with free CPUs that a job cannot use because of
// their type, zone or price model.
func (d *constrainedDemands) isConstrained(j *cluster.Job) bool {
	s := &j.Spec
	return !s.Spot || s.Zone != "" || s.Types != nil || len(d.closedZones(j)) > 0 || !d.isCPUBound(s)
}

// closedZones returns the zones in which no further task of a job may start because of where its other
// tasks are, in ascending order.
func (d *constrainedDemands) closedZones(j *cluster.Job) []string {
	if !j.Spec.OneZone && !j.Spec.Spread {
		return nil
	}
	var closed []string
	for _, machineType := range d.view.Types {
		for _, zone := range machineType.Zones {
			if !j.AllowsZone(zone) && !slices.Contains(closed, zone) {
				closed = append(closed, zone)
			}
		}
	}
	slices.Sort(closed)
	return closed
}

// isCPUBound reports whether an empty machine of any type has capacity for tasks of a job until its CPUs
// are in use, so that the number of free CPUs shows how many tasks fit.
func (d *constrainedDemands) isCPUBound(s *api.JobSpec) bool {
	size := taskSize{cpus: s.CPUs, gpus: s.GPUs, memoryGB: s.MemoryGB}
	cpuBound, known := d.cpuBound[size]
	if known {
		return cpuBound
	}
	cpuBound = s.CPUs > 0
	for _, machineType := range d.view.Types {
		slots := cluster.TypeSlots(machineType, s)
		if slots == 0 || float64(slots) < cpuSlots(machineType.CPUs, s) {
			cpuBound = false
		}
	}
	d.cpuBound[size] = cpuBound
	return cpuBound
}

// cpuSlots returns how many tasks of a job fit into a number of CPUs.
func cpuSlots(cpus float64, s *api.JobSpec) float64 { return math.Floor(cpus/s.CPUs + cluster.Epsilon) }

// add adds tasks of a job to the demands, unless the job can use all machines. It reports whether they were
// added.
func (d *constrainedDemands) add(j *cluster.Job, tasks float64) bool {
	if tasks <= 0 {
		return false
	}
	constrained := d.isConstrained(j)
	avoided := d.avoidedSlots(j)
	switch {
	case avoided == 0 && !constrained:
		return false
	case avoided == 0:
		d.addShared(j, tasks)
		return true
	case !constrained:
		// Only the capacity that the job avoids has been counted wrongly for the total demand.
		tasks = min(tasks, float64(avoided))
	}
	d.list = append(d.list, &constrainedDemand{job: j, tasks: tasks, single: true})
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

// addShared adds tasks of a job to the demand of the jobs with the same constraints.
func (d *constrainedDemands) addShared(j *cluster.Job, tasks float64) {
	key := d.constraints(j)
	demand := d.shared[key]
	if demand == nil {
		demand = &constrainedDemand{job: j}
		d.shared[key] = demand
		d.list = append(d.list, demand)
	}
	if d.isCPUBound(&j.Spec) {
		tasks *= j.Spec.CPUs / demand.job.Spec.CPUs
	}
	demand.tasks += tasks
}

// constraints returns a text that is the same for jobs that can use the same machines: those with the same
// constraints whose tasks are of the same size, or of any size if only their CPUs matter.
func (d *constrainedDemands) constraints(j *cluster.Job) string {
	s := &j.Spec
	text := fmt.Sprintf("%s|%s|%t|%s", s.Zone, strings.Join(s.Types, ","), s.Spot, strings.Join(d.closedZones(j), ","))
	if !d.isCPUBound(s) {
		text += fmt.Sprintf("|%g|%g|%g", s.CPUs, s.GPUs, s.MemoryGB)
	}
	return text
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
