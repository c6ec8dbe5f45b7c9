package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/failuredetector"
)

// adoptAttempt adds an attempt that a heartbeat reports and that this leader did not start.
func (lt *leaderTerm) adoptAttempt(
	m *cluster.Machine, key cluster.AttemptKey, status *api.TaskStatus, now time.Time,
) *cluster.Attempt {
	key.Ref = strings.Clone(key.Ref)
	a := &cluster.Attempt{Key: key, Machine: m, Phase: status.Phase, SentAt: now}
	if key.ID>>attemptTermShift == lt.term.Number {
		// How it was started is not known any more, so copies of its start may be on their way.
		a.DirectStart = &cluster.DirectStart{AgentEpoch: m.AgentEpoch, Token: m.Token}
		lt.counts.startedAgain++
		lt.c.Log.Warn("machine reports an attempt that had left it", "machine", m.Name, "task", key.Ref,
			"attempt", key.ID, "phase", status.Phase, "token", m.Token)
	}
	m.Attempts[key] = a
	id, task, ok := cluster.ParseTaskRef(key.Ref)
	if j := lt.jobs[id]; ok && j != nil && task < j.Spec.Tasks {
		a.Job, a.Task = j, task
	}
	hasStarted := status.Phase == api.TaskRunning || status.Phase == api.TaskSaving || status.Cause == api.CauseDone
	if a.Job != nil && hasStarted {
		lt.addImage(m, &a.Job.Spec, now)
	}
	if status.Phase == api.TaskExited {
		a.Exited = true
		return a
	}
	a.Reserve()
	if a.Job != nil && (a.Job.ActiveAttempts[task] == nil || a.Job.ActiveAttempts[task].Key.ID < key.ID) {
		// Of two attempts at a task, the later one is the active one: it was started only
		// once the earlier one was known to be off its machine.
		a.Job.ActiveAttempts[task] = a
		a.Job.Flight.Take(task)
		a.Job.Flight.Join(m.Name)
	}
	return a
}

// applyTaskStatus updates an attempt from its status in a heartbeat.
func (lt *leaderTerm) applyTaskStatus(a *cluster.Attempt, status *api.TaskStatus, now time.Time) {
	previousPhase := a.Phase
	a.Phase = status.Phase
	if a.Phase == api.TaskRunning && previousPhase != api.TaskRunning {
		a.RunningAt = now
		if a.Job != nil {
			if a.Job.FirstStart.IsZero() {
				a.Job.FirstStart = now
				recordLatency(lt.counts.firstStart, now.Sub(a.Job.RunnableSince))
			}
			a.Job.LastStart = now
			lt.addImage(a.Machine, &a.Job.Spec, now)
		}
	}
	if status.Phase != api.TaskExited {
		return
	}
	a.Release()
	if a.ExitHandled {
		return
	}
	a.ExitHandled = true
	lt.handleExit(a, status, now)
}

// handleExit updates the job and the machine after an attempt has exited, depending on the cause.
func (lt *leaderTerm) handleExit(a *cluster.Attempt, status *api.TaskStatus, now time.Time) {
	j, m := a.Job, a.Machine
	if j == nil {
		return
	}
	if status.Cause == api.CauseDone {
		if !a.RunningAt.IsZero() {
			lt.recordRunTime(a, now.Sub(a.RunningAt), now)
		}
		lt.completeTask(j, a.Task, now)
		j.BackoffCount, j.BackoffUntil = 0, time.Time{}
		j.Exclusions.RecordSuccess(m.Name)
		m.CordonDuration = 0
		clear(m.TaskErrorsByJob)
		lt.addImage(m, &j.Spec, now)
	}
	lt.releaseTask(a)
	switch status.Cause {
	case api.CauseError:
		lt.handleTaskFailure(a, now)
	case api.CauseNoCapacity, api.CauseBusy, api.CauseNoSuch:
		lt.c.Log.Debug("start rejected", "machine", m.Name, "task", a.Key.Ref, "reason", status.Cause)
		m.CordonedUntil = now.Add(time.Second)
	}
}

// releaseTask makes an attempt's task pending again, unless the task is done or another attempt now
// runs it.
func (lt *leaderTerm) releaseTask(a *cluster.Attempt) {
	j := a.Job
	if j == nil || j.ActiveAttempts[a.Task] != a {
		return
	}
	delete(j.ActiveAttempts, a.Task)
	if !j.Done.Test(uint(a.Task)) {
		j.LostTasks++
		lt.counts.lost++
		j.Flight.Release(a.Task)
	}
}

// removeAttempt removes an attempt that is no longer on its machine.
func (lt *leaderTerm) removeAttempt(a *cluster.Attempt) {
	delete(a.Machine.Attempts, a.Key)
	a.Release()
	lt.releaseTask(a)
}

// isReapable reports whether the machine may drop an exited attempt from its heartbeats. A completed
// one must be recorded in the store first: until then a new leader can see the completion only in
// the machine's heartbeats.
func (lt *leaderTerm) isReapable(a *cluster.Attempt) bool {
	j := a.Job
	return j == nil || j.Ended || !j.Done.Test(uint(a.Task)) || j.Recorded.Test(uint(a.Task))
}

// Backoff of a job that fails on every machine.
const (
	// minFailedMachines is the number of machines on which tasks of a job must have failed, with
	// none completed, for the job to count as faulty.
	minFailedMachines = 3
	// A backoff is baseBackoff doubled once for each backoff of the job so far, this one
	// included, at most maxBackoffDoublings times, and no longer than maxBackoff.
	baseBackoff         = 5 * time.Second
	maxBackoffDoublings = 4
	maxBackoff          = time.Minute
)

// A machine is quarantined when either of these counts is reached. They cover the failures since a task
// last completed on the machine.
const (
	// quarantineAfterJobs is the number of jobs with failed tasks.
	quarantineAfterJobs = 2
	// quarantineAfterFailures is the number of failed tasks of one job that has completed tasks.
	quarantineAfterFailures = 2
)

// handleTaskFailure handles a task that ended with an error. In most cases the machine is at fault,
// and it is cordoned or quarantined. A job whose tasks fail on several machines and complete on none
// is itself at fault, and is backed off.
func (lt *leaderTerm) handleTaskFailure(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	excludedUntil := j.Exclusions.RecordFailure(a.Task, m.Name, now)
	lt.c.Log.Debug("task failed", "machine", m.Name, "task", a.Key.Ref, "excluded", excludedUntil.Sub(now))
	if j.DoneCount == 0 && len(j.Exclusions.FailedMachines()) >= minFailedMachines {
		lt.backOffJob(j, now)
		return
	}
	m.TaskErrorsByJob[j.Spec.ID]++
	m.CordonDuration = min(max(2*m.CordonDuration, time.Second), failuredetector.MaxCordon)
	m.CordonedUntil = now.Add(m.CordonDuration)
	failsWorkingJob := j.DoneCount > 0 && m.TaskErrorsByJob[j.Spec.ID] >= quarantineAfterFailures
	if m.Phase() == cluster.Active && (len(m.TaskErrorsByJob) >= quarantineAfterJobs || failsWorkingJob) {
		lt.quarantineFailingMachine(m, now)
	}
}

// backOffJob keeps a job that fails on every machine from starting tasks for a while, and removes its
// failures from the machines' counts. During a backoff it does nothing: the failed task started before it.
func (lt *leaderTerm) backOffJob(j *cluster.Job, now time.Time) {
	if now.Before(j.BackoffUntil) {
		return
	}
	j.BackoffCount++
	backoff := min(baseBackoff<<min(j.BackoffCount, maxBackoffDoublings), maxBackoff)
	j.BackoffUntil = now.Add(backoff)
	if j.BackoffCount > 1 {
		return
	}
	failedMachines := j.Exclusions.FailedMachines()
	lt.c.Log.Info("job fails on every machine", "job", j.Spec.ID, "machines", len(failedMachines))
	for _, name := range failedMachines {
		if m := lt.machines[name]; m != nil {
			delete(m.TaskErrorsByJob, j.Spec.ID)
		}
	}
}

// quarantineFailingMachine evacuates a machine on which tasks fail, and stops its running attempts.
func (lt *leaderTerm) quarantineFailingMachine(m *cluster.Machine, now time.Time) {
	lt.c.Log.Info("machine quarantined", "machine", m.Name, "jobs", len(m.TaskErrorsByJob))
	lt.evacuate(m, "fails tasks")
	for _, a := range m.Attempts {
		if !a.Exited && a.Job != nil {
			lt.requestStop(a, a.Job.Spec.SaveDuration()*2, now)
		}
	}
}
