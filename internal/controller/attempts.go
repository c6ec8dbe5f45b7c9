package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// adoptAttempt adds an attempt that a heartbeat shows and this leader did not start.
func (lt *leaderTerm) adoptAttempt(m *machine, key attemptKey, status *api.TaskStatus, now time.Time) *attempt {
	key.ref = strings.Clone(key.ref)
	a := &attempt{key: key, machine: m, phase: status.Phase, sentAt: now}
	m.attempts[key] = a
	id, task, ok := splitRef(key.ref)
	if j := lt.jobs[id]; ok && j != nil && task < j.spec.Tasks {
		a.job, a.task = j, task
	}
	hasStarted := status.Phase == api.TaskRunning || status.Phase == api.TaskSaving || status.Cause == api.CauseDone
	if a.job != nil && hasStarted {
		lt.addImage(m, &a.job.spec, now)
	}
	if status.Phase == api.TaskExited {
		a.exited = true
		return a
	}
	a.reserve(1)
	if a.job != nil && (a.job.activeAttempts[task] == nil || a.job.activeAttempts[task].key.id < key.id) {
		// Of two attempts the later one is kept: it was started only when the earlier one
		// was known to be off its machine.
		a.job.activeAttempts[task] = a
		a.job.flight.Take(task)
		a.job.flight.Join(m.name)
	}
	return a
}

// applyTaskStatus applies what a heartbeat says of an attempt.
func (lt *leaderTerm) applyTaskStatus(a *attempt, status *api.TaskStatus, now time.Time) {
	previousPhase := a.phase
	a.phase = status.Phase
	if a.phase == api.TaskRunning && previousPhase != api.TaskRunning {
		a.runningAt = now
		if a.job != nil {
			if a.job.firstStart.IsZero() {
				a.job.firstStart = now
				recordLatency(lt.counts.firstStart, now.Sub(a.job.runnableSince))
			}
			a.job.lastStart = now
			lt.addImage(a.machine, &a.job.spec, now)
		}
	}
	if status.Phase != api.TaskExited {
		return
	}
	if !a.exited {
		a.exited = true
		a.reserve(-1)
	}
	if a.exitHandled {
		return
	}
	a.exitHandled = true
	lt.handleExit(a, status, now)
}

// handleExit handles the end of an attempt by its cause.
func (lt *leaderTerm) handleExit(a *attempt, status *api.TaskStatus, now time.Time) {
	j, m := a.job, a.machine
	if j == nil {
		return
	}
	if status.Cause == api.CauseDone {
		if !a.runningAt.IsZero() {
			lt.recordRun(a, now.Sub(a.runningAt), now)
		}
		lt.completeTask(j, a.task, now)
		j.failureRounds = 0
		m.cordonDuration = 0
		clear(m.taskErrorsByJob)
		lt.addImage(m, &j.spec, now)
	}
	lt.releaseTask(a)
	switch status.Cause {
	case api.CauseError:
		lt.taskFailed(a, now)
	case api.CauseNoCapacity, api.CauseBusy, api.CauseNoSuch:
		lt.c.Log.Debug("start rejected", "machine", m.name, "task", a.key.ref, "reason", status.Cause)
		m.cordonedUntil = now.Add(time.Second)
	}
}

// releaseTask makes an attempt's task pending again, unless it is done or another attempt has
// taken it over.
func (lt *leaderTerm) releaseTask(a *attempt) {
	j := a.job
	if j == nil || j.activeAttempts[a.task] != a {
		return
	}
	delete(j.activeAttempts, a.task)
	if !j.done.Test(uint(a.task)) {
		j.lostTasks++
		lt.counts.lost++
		j.flight.Release(a.task)
	}
}

// removeAttempt removes an attempt that is no longer on its machine.
func (lt *leaderTerm) removeAttempt(a *attempt) {
	delete(a.machine.attempts, a.key)
	if !a.exited {
		a.exited = true
		a.reserve(-1)
	}
	lt.releaseTask(a)
}

// isReapable tells whether an exited attempt may be dropped from the heartbeats: a completed
// one only once that is on record, so that a new leader learns of it.
func (lt *leaderTerm) isReapable(a *attempt) bool {
	j := a.job
	return j == nil || j.ended || !j.done.Test(uint(a.task)) || j.recorded.Test(uint(a.task))
}

// A job is at fault if its tasks failed on minFailedMachines and none has completed. It is
// backed off, longer each time, up to maxBackoff.
const (
	minFailedMachines   = 3
	backoffUnit         = 5 * time.Second
	maxBackoffDoublings = 4
	maxBackoff          = time.Minute
)

// A machine is quarantined if tasks of quarantineJobs failed on it since one last completed, or
// quarantineFailures tasks of a job that has completed tasks at all.
const (
	quarantineJobs     = 2
	quarantineFailures = 2
)

// taskFailed handles a task that ended with an error. Mostly the machine is at fault; a job
// whose tasks fail on several machines and complete on none is.
func (lt *leaderTerm) taskFailed(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	j.failuresByMachine[m.name]++
	j.excludedMachine[a.task] = m.name
	if j.doneCount == 0 && len(j.failuresByMachine) >= minFailedMachines {
		lt.backOffJob(j, now)
		return
	}
	m.taskErrorsByJob[j.spec.ID]++
	m.cordonDuration = min(max(2*m.cordonDuration, time.Second), maxCordon)
	m.cordonedUntil = now.Add(m.cordonDuration)
	failsProvenJob := j.doneCount > 0 && m.taskErrorsByJob[j.spec.ID] >= quarantineFailures
	if !m.evacuating && (len(m.taskErrorsByJob) >= quarantineJobs || failsProvenJob) {
		lt.quarantineFailing(m, now)
	}
}

// backOffJob keeps a job that fails on every machine from starting tasks for a while. Its
// failures no longer count against the machines.
func (lt *leaderTerm) backOffJob(j *job, now time.Time) {
	j.failureRounds++
	backoff := min(backoffUnit<<min(j.failureRounds, maxBackoffDoublings), maxBackoff)
	j.backoffUntil = now.Add(backoff)
	if j.failureRounds > 1 {
		return
	}
	lt.c.Log.Info("job fails on every machine", "job", j.spec.ID, "machines", len(j.failuresByMachine))
	for name := range j.failuresByMachine {
		if m := lt.machines[name]; m != nil {
			delete(m.taskErrorsByJob, j.spec.ID)
		}
	}
}

// quarantineFailing evacuates a machine that fails tasks, and stops what runs on it.
func (lt *leaderTerm) quarantineFailing(m *machine, now time.Time) {
	lt.c.Log.Info("machine quarantined", "machine", m.name, "jobs", len(m.taskErrorsByJob))
	lt.evacuate(m, "fails tasks")
	for _, a := range m.attempts {
		if !a.exited && a.job != nil {
			lt.requestStop(a, a.job.spec.Save()*2, now)
		}
	}
}
