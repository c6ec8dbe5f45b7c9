package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// runChecker observes the task runs on the simulated machines of a test, independently of the
// controllers. It fails the test if a run or an answer to a user breaks a rule of the protocol,
// whichever process is at fault.
type runChecker struct {
	cluster   *simulatedCluster
	startedAt time.Time
	mu        sync.Mutex
	jobs      map[string]*observedJob
	runs      map[run]bool
	// started are all runs that have ever started.
	started    map[run]bool
	hosts      map[string]*host
	violations int
	// restarted are the tasks that started again after they had completed.
	restarted []string
	// faultsHealed is set once all injected faults have ended; pending times are checked from then.
	faultsHealed bool
}

// run identifies an attempt of a task on a machine.
type run struct {
	machine, task string
	attempt       uint64
}

// job returns the ID of the job that the task belongs to.
func (r run) job() string { return r.task[:strings.LastIndexByte(r.task, '/')] }

// observedJob holds what users and machines have observed of a job.
type observedJob struct {
	spec *api.JobSpec
	// duration is how long the first task runs.
	duration time.Duration
	// cancelledAt is when a user first got the answer that the job is cancelled, and
	// cancelRequestedAt when a user last requested the cancellation.
	cancelledAt       time.Time
	cancelRequestedAt time.Time
	// doneAt is when a user first got the answer that the job is done.
	doneAt time.Time
	// durationStep is how much longer each task runs than the previous one.
	durationStep time.Duration
	// starts and completions count the starts and completions of each task.
	starts, completions map[string]int
	// pendingFor is how long a task of the job has been pending while a machine had free capacity
	// for it.
	pendingFor time.Duration
}

// maxPendingTime is how long a job may be pending while a suitable machine has free capacity and
// the job's team is under its limit.
const maxPendingTime = 90 * time.Second

// fail reports a violation of a rule as a test error. It reports only the first five.
func (c *runChecker) fail(format string, args ...any) {
	c.cluster.t.Helper()
	if c.violations++; c.violations <= 5 {
		c.cluster.t.Errorf("%7.2fs: %s", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// dropTerminated deletes the runs on terminated machines. The caller holds the lock.
func (c *runChecker) dropTerminated() {
	for r := range c.runs {
		if c.cluster.cloud.terminated(r.machine) {
			delete(c.runs, r)
		}
	}
}

// recordStart records the start of a task on a machine, and checks that the task may start there
// now.
func (c *runChecker) recordStart(machine *host, task string, attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropTerminated()
	r := run{machine.status.Machine, task, attempt}
	job := c.jobs[r.job()]
	if job == nil {
		c.fail("%s starts on %s, but its job was never submitted", task, r.machine)
		return
	}
	if c.started[r] {
		c.fail("%s starts on %s again as attempt %x", task, r.machine, attempt)
	}
	c.started[r] = true
	c.checkOnlyRun(r)
	c.checkTeamLimit(r, job.spec)
	c.checkPlacement(r, job.spec, &machine.status)
	c.checkNotCancelled(r, job)
	c.checkDependencies(r, job.spec)
	if job.starts[task]++; job.completions[task] > 0 {
		c.restarted = append(c.restarted, task)
	}
	c.runs[r] = true
}

// checkOnlyRun checks that the task runs on no machine when it starts.
func (c *runChecker) checkOnlyRun(r run) {
	c.cluster.t.Helper()
	for other := range c.runs {
		if other.task == r.task {
			c.fail("%s starts on %s as attempt %x while it runs on %s as attempt %x",
				r.task, r.machine, r.attempt, other.machine, other.attempt)
		}
	}
}

// checkTeamLimit checks that the job's team stays within its CPU limit with this start.
func (c *runChecker) checkTeamLimit(r run, jobSpec *api.JobSpec) {
	c.cluster.t.Helper()
	used := 0.0
	for other := range c.runs {
		if otherSpec := c.jobs[other.job()].spec; otherSpec.Team == jobSpec.Team {
			used += otherSpec.CPUs
		}
	}
	for _, team := range c.cluster.teams {
		if team.Name == jobSpec.Team && used+jobSpec.CPUs > team.LimitCPUs+cluster.Epsilon {
			c.fail("%s starts on %s: team %s then uses %v CPUs, want at most %v",
				r.task, r.machine, jobSpec.Team, used+jobSpec.CPUs, team.LimitCPUs)
		}
	}
}

// checkPlacement checks the job's constraints on the zone and type of its machines and on the use
// of spot machines.
func (c *runChecker) checkPlacement(r run, jobSpec *api.JobSpec, machine *api.Heartbeat) {
	c.cluster.t.Helper()
	sameZone, otherZones := 0, 0
	for other := range c.runs {
		switch {
		case other.job() != jobSpec.ID:
		case c.hosts[other.machine].status.Zone == machine.Zone:
			sameZone++
		default:
			otherZones++
		}
	}
	switch {
	case jobSpec.Zone != "" && jobSpec.Zone != machine.Zone,
		machine.Spot && !jobSpec.Spot,
		jobSpec.Types != nil && !slices.Contains(jobSpec.Types, machine.Type),
		jobSpec.OneZone && otherZones > 0,
		jobSpec.Spread && sameZone+1 > (jobSpec.Tasks+1)/2:
		c.fail("%s starts on %s in zone %s against its constraints (tasks of the job: %d in this zone, %d in others)",
			r.task, r.machine, machine.Zone, sameZone, otherZones)
	}
}

// checkNotCancelled checks that no user got the answer longer than maxCancelTime ago that the job,
// or a job that it depends on, is cancelled.
func (c *runChecker) checkNotCancelled(r run, job *observedJob) {
	c.cluster.t.Helper()
	if !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > c.maxCancelTime() {
		c.fail("%s starts on %s %v after its cancellation, want no start after %v",
			r.task, r.machine, time.Since(job.cancelledAt), c.maxCancelTime())
	}
	if at := c.dependencyCancelledAt(job.spec.ID); !at.IsZero() && time.Since(at) > c.maxCancelTime() {
		c.fail("%s starts on %s %v after the cancellation of a job that it depends on, want no start after %v",
			r.task, r.machine, time.Since(at), c.maxCancelTime())
	}
}

// checkDependencies checks that all jobs that the job depends on are done and have a terminal
// record.
func (c *runChecker) checkDependencies(r run, jobSpec *api.JobSpec) {
	c.cluster.t.Helper()
	for _, id := range jobSpec.DependsOn {
		dep := c.jobs[id]
		if dep == nil || len(dep.completions) < dep.spec.Tasks || !c.cluster.store.Has(records.TerminalPrefix+id) {
			c.fail("%s starts on %s before %s, which it depends on, is done and recorded", r.task, r.machine, id)
		}
	}
}

// recordEnd records that a task has ended on a machine, with the cause of its exit.
func (c *runChecker) recordEnd(machine *host, task string, attempt uint64, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := run{machine.status.Machine, task, attempt}
	if job := c.jobs[r.job()]; job != nil && cause == api.CauseDone {
		job.completions[task]++
	}
	delete(c.runs, r)
}

// isCompleted reports whether a task has completed on a machine, which makes its result durable.
func (c *runChecker) isCompleted(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[run{task: task}.job()]
	return job != nil && job.completions[task] > 0
}

// withDependencies returns a job and all jobs that it depends on, directly or indirectly. The given
// job is the first.
func (c *runChecker) withDependencies(id string) []string {
	ids := []string{id}
	for i := 0; i < len(ids); i++ {
		job := c.jobs[ids[i]]
		if job == nil {
			continue
		}
		for _, dependency := range job.spec.DependsOn {
			if !slices.Contains(ids, dependency) {
				ids = append(ids, dependency)
			}
		}
	}
	return ids
}

// dependencyCancelledAt returns when a user first got the answer that a job on which the given one
// depends is cancelled; zero if there was none. Only jobs whose own cancellation was requested
// count.
func (c *runChecker) dependencyCancelledAt(id string) (at time.Time) {
	for _, dependency := range c.withDependencies(id)[1:] {
		job := c.jobs[dependency]
		if job == nil || job.cancelledAt.IsZero() || job.cancelRequestedAt.IsZero() {
			continue
		}
		if at.IsZero() || job.cancelledAt.Before(at) {
			at = job.cancelledAt
		}
	}
	return at
}

// maxCancelTime returns how long after the answer that a job is cancelled its tasks may run or
// start.
func (c *runChecker) maxCancelTime() time.Duration { return 30 * time.Second }

// checkRuns checks at every tick that cancelled jobs have stopped and, once all faults are healed,
// that no job is pending for too long.
func (c *runChecker) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropTerminated()
	for r := range c.runs {
		if job := c.jobs[r.job()]; !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > c.maxCancelTime() {
			c.fail("%s still runs on %s %v after its cancellation, want at most %v",
				r.task, r.machine, time.Since(job.cancelledAt), c.maxCancelTime())
		}
	}
	if c.faultsHealed {
		c.checkPending(tick)
	}
}

// checkPending adds elapsed to the pending times of jobs that could start a task, and fails the
// test if one exceeds maxPendingTime.
func (c *runChecker) checkPending(elapsed time.Duration) {
	byTeam, byMachine, running := map[string]float64{}, map[string]float64{}, map[string]int{}
	for r := range c.runs {
		jobSpec := c.jobs[r.job()].spec
		byTeam[jobSpec.Team] += jobSpec.CPUs
		byMachine[r.machine] += jobSpec.CPUs
		running[jobSpec.ID]++
	}
	for id, job := range c.jobs {
		jobSpec := job.spec
		blocked := slices.ContainsFunc(jobSpec.DependsOn, func(dep string) bool {
			return !c.cluster.store.Has(records.TerminalPrefix + dep)
		})
		if blocked || !job.cancelRequestedAt.IsZero() || len(job.completions)+running[id] >= jobSpec.Tasks {
			job.pendingFor = 0
			continue
		}
		// Jobs with a constraint over several tasks are left out: which machines suit them depends
		// on where their other tasks run.
		if job.pendingFor += elapsed; !c.hasCapacity(jobSpec, byTeam, byMachine) || jobSpec.OneZone || jobSpec.Spread {
			job.pendingFor = 0
		}
		if job.pendingFor > maxPendingTime {
			c.fail("%s is pending for more than %v while there is free capacity", id, maxPendingTime)
			job.pendingFor = -time.Hour // reports each job once
		}
	}
}

// hasCapacity reports whether a suitable machine has free capacity for a task of the job and the
// job's team is under its limit, given the CPUs in use by team and by machine.
func (c *runChecker) hasCapacity(jobSpec *api.JobSpec, byTeam, byMachine map[string]float64) bool {
	for _, team := range c.cluster.teams {
		if team.Name == jobSpec.Team && byTeam[jobSpec.Team]+jobSpec.CPUs > team.LimitCPUs {
			return false
		}
	}
	for _, machine := range c.hosts {
		if !c.cluster.cloud.terminated(machine.status.Machine) && byMachine[machine.status.Machine]+jobSpec.CPUs <= 4 &&
			(jobSpec.Zone == "" || jobSpec.Zone == machine.status.Zone) && (jobSpec.Spot || !machine.status.Spot) {
			return true
		}
	}
	return false
}

// recordPhase checks and records the phase of a job that was reported to a user.
func (c *runChecker) recordPhase(id, phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkPhase(id, phase)
}

// recordPhaseSince is recordPhase for the answer to a request sent at sentAt. It ignores the answer
// if the end of the job was reported at sentAt or later, because this answer may be older than
// that.
func (c *runChecker) recordPhaseSince(id, phase string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job.cancelledAt.Before(sentAt) && job.doneAt.Before(sentAt) {
		c.checkPhase(id, phase)
	}
}

// checkPhase is recordPhase for a caller that holds the lock.
func (c *runChecker) checkPhase(id, phase string) {
	job := c.jobs[id]
	if at := c.dependencyCancelledAt(id); phase != api.JobCancelled && !at.IsZero() &&
		time.Since(at) > c.maxCancelTime() {
		c.fail("%s: got phase %s %v after the cancellation of a job that it depends on, want %s",
			id, phase, time.Since(at), api.JobCancelled)
	}
	switch {
	case !job.cancelledAt.IsZero() && phase != api.JobCancelled, !job.doneAt.IsZero() && phase != api.JobDone:
		c.fail("%s: got phase %s after its end was reported", id, phase)
	case phase == api.JobCancelled && !c.cancelRequested(id):
		c.fail("%s: got phase %s, but nobody requested its cancellation", id, phase)
	case phase == api.JobCancelled && job.cancelledAt.IsZero():
		job.cancelledAt = time.Now()
	case phase == api.JobDone:
		if job.doneAt.IsZero() {
			job.doneAt = time.Now()
		}
		if len(job.completions) < job.spec.Tasks {
			c.fail("%s: got phase %s with %d of %d tasks completed", id, phase, len(job.completions), job.spec.Tasks)
		}
	}
}

// cancelRequested reports whether a user has requested the cancellation of the job or of one that
// it depends on.
func (c *runChecker) cancelRequested(id string) bool {
	return slices.ContainsFunc(c.withDependencies(id), func(job string) bool {
		return c.jobs[job] != nil && !c.jobs[job].cancelRequestedAt.IsZero()
	})
}

// tasksOnMachines returns the sorted names of a job's tasks that run on machines.
func (c *runChecker) tasksOnMachines(job string) (tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropTerminated()
	for r := range c.runs {
		if r.job() == job {
			tasks = append(tasks, r.task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// startedTwice returns the sorted names of the tasks that started more than once.
func (c *runChecker) startedTwice() (tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		for task, n := range job.starts {
			if n > 1 {
				tasks = append(tasks, task)
			}
		}
	}
	slices.Sort(tasks)
	return tasks
}

// restartedAfterCompletion returns the tasks that started again after they had completed.
func (c *runChecker) restartedAfterCompletion() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restarted
}

// tick is the interval at which simulated machines advance and are checked.
const tick = 100 * time.Millisecond
