package cluster

import (
	"maps"
	"time"
)

// Exclusions are the machines that a job's tasks must avoid for a while, because tasks of the job failed
// or were slow there. An exclusion ends by itself: the machine may have recovered, and there may be no
// other one that the job can use. The zero value has no exclusions.
//
// A machine on which the job has failed repeatedly is on probation once its exclusion has ended, until a
// task of the job completes there. If tasks still fail there, the job is excluded again after the first
// one, for longer.
type Exclusions struct {
	machines map[string]*machineExclusion
	tasks    map[int]taskExclusion
	// nextPrune is the earliest time at which the ended exclusions of tasks are removed.
	nextPrune time.Time
}

// machineExclusion excludes all tasks of the job from a machine until a time, if failures has reached
// maxFailuresOnMachine.
type machineExclusion struct {
	// failures counts the failed tasks since a task of the job last completed on the machine.
	failures int
	duration time.Duration
	until    time.Time
}

// taskExclusion excludes one task from a machine until a time.
type taskExclusion struct {
	machine string
	until   time.Time
}

const (
	// maxFailuresOnMachine is the number of failed tasks of a job on a machine after which all of its
	// tasks avoid the machine.
	maxFailuresOnMachine = 2
	// minExclusion is the duration of a job's first exclusion from a machine. Each further one is twice
	// as long, up to maxExclusion.
	minExclusion = 30 * time.Second
	// maxExclusion leaves time for a start within 90 s of the last failure, the longest time that a job
	// may wait while a machine that fits has free capacity.
	maxExclusion = time.Minute
)

// RecordFailure excludes a task from the machine on which it failed, and the whole job once
// maxFailuresOnMachine tasks of it have failed there. It returns the end of the exclusion.
func (e *Exclusions) RecordFailure(task int, machine string, now time.Time) time.Time {
	if e.machines == nil {
		e.machines = map[string]*machineExclusion{}
	}
	x := e.machines[machine]
	if x == nil {
		x = &machineExclusion{}
		e.machines[machine] = x
	}
	x.failures++
	if !now.Before(x.until) {
		// Failures during an exclusion are of tasks that started before it.
		x.duration = min(max(2*x.duration, minExclusion), maxExclusion)
	}
	x.until = now.Add(x.duration)
	e.excludeTask(task, machine, x.until, now)
	return x.until
}

// ExcludeStraggler excludes a task from the machine on which it was slow.
func (e *Exclusions) ExcludeStraggler(task int, machine string, now time.Time) {
	e.excludeTask(task, machine, now.Add(maxExclusion), now)
}

// excludeTask excludes a task from a machine. It removes the ended exclusions of tasks, at most once in
// maxExclusion, so that their number is bounded by that of recent failures.
func (e *Exclusions) excludeTask(task int, machine string, until, now time.Time) {
	if e.tasks == nil {
		e.tasks = map[int]taskExclusion{}
	}
	if !now.Before(e.nextPrune) {
		maps.DeleteFunc(e.tasks, func(_ int, x taskExclusion) bool { return !now.Before(x.until) })
		e.nextPrune = now.Add(maxExclusion)
	}
	e.tasks[task] = taskExclusion{machine: machine, until: until}
}

// RecordSuccess ends the exclusion of the job, and its probation, on a machine on which a task of it has
// completed. Tasks that failed there are still excluded for as long as before.
func (e *Exclusions) RecordSuccess(machine string) { delete(e.machines, machine) }

// FailedMachines returns the names of the machines on which tasks of the job have failed since one last
// completed there.
func (e *Exclusions) FailedMachines() []string {
	names := make([]string, 0, len(e.machines))
	for name := range e.machines {
		names = append(names, name)
	}
	return names
}

// TaskExcluded reports whether a task must avoid a machine.
func (e *Exclusions) TaskExcluded(task int, machine string, now time.Time) bool {
	x, ok := e.tasks[task]
	return ok && x.machine == machine && now.Before(x.until)
}

// jobExcluded reports whether all tasks of the job must avoid a machine because of its failures there.
func (e *Exclusions) jobExcluded(machine string, now time.Time) bool {
	x := e.machines[machine]
	return x != nil && x.failures >= maxFailuresOnMachine && now.Before(x.until)
}

// onProbation reports whether the job is no longer excluded from a machine, but no task of it has
// completed there since.
func (e *Exclusions) onProbation(machine string, now time.Time) bool {
	x := e.machines[machine]
	return x != nil && x.failures >= maxFailuresOnMachine && !now.Before(x.until)
}

// Avoids reports whether none of the job's untaken tasks may start on a machine now, because tasks of
// the job failed or were slow there.
func (j *Job) Avoids(machine string, now time.Time) bool {
	if j.Exclusions.jobExcluded(machine, now) {
		return true
	}
	excluded := 0
	for task, x := range j.Exclusions.tasks {
		if x.machine == machine && now.Before(x.until) && j.isUntaken(task) {
			excluded++
		}
	}
	return excluded > 0 && excluded >= j.Flight.Untaken()
}

// isUntaken reports whether a task is neither done nor assigned to a machine.
func (j *Job) isUntaken(task int) bool {
	return !j.Done.Test(uint(task)) && j.ActiveAttempts[task] == nil
}

// AvoidedMachines returns the names of the machines that Avoids reports.
func (j *Job) AvoidedMachines(now time.Time) []string {
	if len(j.Exclusions.machines) == 0 && len(j.Exclusions.tasks) == 0 {
		return nil
	}
	names := map[string]bool{}
	for name := range j.Exclusions.machines {
		names[name] = true
	}
	for _, x := range j.Exclusions.tasks {
		names[x.machine] = true
	}
	var avoided []string
	for name := range names {
		if j.Avoids(name, now) {
			avoided = append(avoided, name)
		}
	}
	return avoided
}

// probationRun is how long a task of a job on probation must have run on the machine for the machine to
// get further tasks of the job.
const probationRun = 10 * time.Second

// MayStartMoreOn reports whether a machine may get a further task of the job. On probation, it gets one
// task, and more of them only once a task has run there for probationRun: a faulty machine must not fail
// all tasks of the job each time that an exclusion ends.
func (j *Job) MayStartMoreOn(m *Machine, now time.Time) bool {
	if !j.Exclusions.onProbation(m.Name, now) {
		return true
	}
	onTrial := false
	for _, a := range m.Attempts {
		if a.Job != j || a.Exited {
			continue
		}
		if !a.RunningAt.IsZero() && now.Sub(a.RunningAt) >= probationRun {
			return true
		}
		onTrial = true
	}
	return !onTrial
}
