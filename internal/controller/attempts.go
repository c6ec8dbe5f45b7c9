package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/failuredetector"
)

// adoptAttempt adds an attempt that a heartbeat shows and this leader did not start.
func (lt *leaderTerm) adoptAttempt(
	m *cluster.Machine, key cluster.AttemptKey, status *api.TaskStatus, now time.Time,
) *cluster.Attempt {
	key.Ref = strings.Clone(key.Ref)
	a := &cluster.Attempt{Key: key, Machine: m, Phase: status.Phase, SentAt: now}
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
		// Of two attempts the later one is kept: it was started only when the earlier one
		// was known to be off its machine.
		a.Job.ActiveAttempts[task] = a
		a.Job.Flight.Take(task)
		a.Job.Flight.Join(m.Name)
	}
	return a
}

// applyTaskStatus applies what a heartbeat says of an attempt.
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

// handleExit handles the end of an attempt by its cause.
func (lt *leaderTerm) handleExit(a *cluster.Attempt, status *api.TaskStatus, now time.Time) {
	j, m := a.Job, a.Machine
	if j == nil {
		return
	}
	if status.Cause == api.CauseDone {
		if !a.RunningAt.IsZero() {
			lt.recordRun(a, now.Sub(a.RunningAt), now)
		}
		lt.completeTask(j, a.Task, now)
		j.BackoffCount = 0
		m.CordonDuration = 0
		clear(m.TaskErrorsByJob)
		lt.addImage(m, &j.Spec, now)
	}
	lt.releaseTask(a)
	switch status.Cause {
	case api.CauseError:
		lt.taskFailed(a, now)
	case api.CauseNoCapacity, api.CauseBusy, api.CauseNoSuch:
		lt.c.Log.Debug("start rejected", "machine", m.Name, "task", a.Key.Ref, "reason", status.Cause)
		m.CordonedUntil = now.Add(time.Second)
	}
}

// releaseTask makes an attempt's task pending again, unless it is done or another attempt has
// taken it over.
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

// isReapable tells whether an exited attempt may be dropped from the heartbeats: a completed
// one only once that is on record, so that a new leader learns of it.
func (lt *leaderTerm) isReapable(a *cluster.Attempt) bool {
	j := a.Job
	return j == nil || j.Ended || !j.Done.Test(uint(a.Task)) || j.Recorded.Test(uint(a.Task))
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
func (lt *leaderTerm) taskFailed(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	j.FailuresByMachine[m.Name]++
	j.ExcludedMachine[a.Task] = m.Name
	if j.DoneCount == 0 && len(j.FailuresByMachine) >= minFailedMachines {
		lt.backOffJob(j, now)
		return
	}
	m.TaskErrorsByJob[j.Spec.ID]++
	m.CordonDuration = min(max(2*m.CordonDuration, time.Second), failuredetector.MaxCordon)
	m.CordonedUntil = now.Add(m.CordonDuration)
	failsProvenJob := j.DoneCount > 0 && m.TaskErrorsByJob[j.Spec.ID] >= quarantineFailures
	if m.Phase() == cluster.Active && (len(m.TaskErrorsByJob) >= quarantineJobs || failsProvenJob) {
		lt.quarantineFailing(m, now)
	}
}

// backOffJob keeps a job that fails on every machine from starting tasks for a while. Its
// failures no longer count against the machines.
func (lt *leaderTerm) backOffJob(j *cluster.Job, now time.Time) {
	j.BackoffCount++
	backoff := min(backoffUnit<<min(j.BackoffCount, maxBackoffDoublings), maxBackoff)
	j.BackoffUntil = now.Add(backoff)
	if j.BackoffCount > 1 {
		return
	}
	lt.c.Log.Info("job fails on every machine", "job", j.Spec.ID, "machines", len(j.FailuresByMachine))
	for name := range j.FailuresByMachine {
		if m := lt.machines[name]; m != nil {
			delete(m.TaskErrorsByJob, j.Spec.ID)
		}
	}
}

// quarantineFailing evacuates a machine that fails tasks, and stops what runs on it.
func (lt *leaderTerm) quarantineFailing(m *cluster.Machine, now time.Time) {
	lt.c.Log.Info("machine quarantined", "machine", m.Name, "jobs", len(m.TaskErrorsByJob))
	lt.evacuate(m, "fails tasks")
	for _, a := range m.Attempts {
		if !a.Exited && a.Job != nil {
			lt.requestStop(a, a.Job.Spec.SaveDuration()*2, now)
		}
	}
}
