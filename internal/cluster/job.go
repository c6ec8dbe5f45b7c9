package cluster

import (
	"strconv"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// Job is an active job: accepted, and not yet done or cancelled.
type Job struct {
	Spec api.JobSpec
	// ModRevision is the store revision of the job's active record.
	ModRevision uint64
	AcceptedAt  time.Time
	// RunnableSince is the time from which the user expects the job to run: when it was accepted,
	// or when the last of its dependencies was done.
	RunnableSince time.Time

	// DependsOn holds the jobs that must be done before this one starts. CancelPending is set
	// while the job's cancellation, which follows from that of a dependency, is not yet recorded.
	// A job with unfinished dependencies or a pending cancellation is in no queue.
	DependsOn     map[string]bool
	CancelPending bool
	// DependencyList identifies the records that list the job's dependencies if its active record
	// has no space for them. DependenciesRead is set once these records are read.
	DependencyList   *records.DependencyList
	DependenciesRead bool
	// LastDependencyEnd is the latest time at which a dependency was done.
	LastDependencyEnd time.Time
	// DependentDeadlines are the times by which dependent jobs need this one to be complete.
	DependentDeadlines []time.Time

	// Objectives are the times by which the job should be complete, in ascending order.
	Objectives []time.Time
	// latestStart is the latest start that meets the earliest objective that can still be met.
	// Infeasible is set if none can.
	latestStart time.Time
	Infeasible  bool
	// StartBy is the objective for the start of the job's tasks; zero without one.
	StartBy time.Time
	// Starved is set if no task has started although the job has been runnable for longer than
	// starvedAfter in package controller.
	Starved bool
	// Load is the job's entry in the last decision on which jobs to defer.
	Load queue.Load
	// PriorityRank is the rank of the job's priority. ClassPreference is the operators' preference
	// for its class.
	PriorityRank    int
	ClassPreference float64
	Team            *queue.Team[*Job]

	// Flight holds the tasks that are neither done nor assigned, and the machines that serve the job.
	Flight *flight.Flight
	// ActiveAttempts holds, by task, the current attempt of each task that may be on a machine.
	ActiveAttempts map[int]*Attempt
	// Done holds the completed tasks and DoneCount their number. Recorded holds those whose
	// completion is recorded in the key-value store.
	Done      *bitset.BitSet
	DoneCount int
	Recorded  *bitset.BitSet
	// CompletionChunks holds, by their first task, the completion records that may be in the store.
	CompletionChunks map[int]bool
	// CompletionChunkSizes holds how many tasks each of these records may cover.
	// MigratingCompletion holds the tasks that other records must cover before a record is
	// overwritten with a shorter one.
	CompletionChunkSizes map[int]int
	MigratingCompletion  map[int]*bitset.BitSet
	// CompletionDirty is set while the job is queued for its next completion record.
	CompletionDirty bool

	// Runs sums up the run times of the job's completed tasks.
	Runs JobRuns
	// AttemptsByZone counts the job's reserved attempts by zone.
	AttemptsByZone map[string]int
	// RestartedTasks holds the tasks that were restarted as stragglers. Each is restarted only once.
	RestartedTasks map[int]bool
	// Exclusions are the machines that tasks must avoid because tasks failed or were slow there.
	Exclusions Exclusions
	// A job whose tasks fail on several machines and complete on none starts no task before
	// BackoffUntil, so that it does not use up the fleet. BackoffCount counts the backoffs since a
	// task of the job last completed.
	BackoffCount int
	BackoffUntil time.Time

	// WaitingSince is when the job was last added to its team's queue. SkippedSince is when a machine
	// without the job's image first skipped the job after its last task start.
	WaitingSince, SkippedSince time.Time
	// Capacity is the fleet's capacity for the job, as last computed.
	Capacity Capacity

	// LostTasks, FirstStart, LastStart and LongestRun are logged when the job ends. LostTasks counts
	// the attempts that ended without completing their task.
	LostTasks             int
	FirstStart, LastStart time.Time
	LongestRun            time.Duration

	// Lent is set while the job is lent to another cell, and Guest if it runs here on behalf of
	// another cell.
	Lent  *loan.Lent
	Guest *loan.Guest
	// CancelRequestedAt is when the home cell of a guest first requested its cancellation.
	CancelRequestedAt time.Time
	// HandoverPending is set while a transaction that moves the job between cells is queued or in
	// flight.
	HandoverPending bool
	// RemoteState is the state of a lent job in its host cell. ReclaimRequested is set while the
	// home cell reclaims the job. ReservedBudget is what the loan counts against its team's limit.
	RemoteState      loan.State
	ReclaimRequested bool
	ReservedBudget   loan.Budget
	// LoanCount is how often the job was lent. LastReclaimed is when it was last reclaimed from
	// each cell.
	LoanCount     int
	LastReclaimed map[string]time.Time

	// Finishing is set once all tasks are done and the end is to be recorded. EndMayBeRecorded is
	// set once a transaction that records the end may be in flight. Ended is set once the job is
	// no longer active.
	Finishing        bool
	EndMayBeRecorded bool
	Ended            bool
}

// Rank returns the rank of the job's priority. With LatestStart, Preference, Feasibility and ID it
// implements queue.Item.
func (j *Job) Rank() int { return j.PriorityRank }

// LatestStart returns the latest start that meets the job's next objective.
func (j *Job) LatestStart() time.Time { return j.latestStart }

// Preference returns the operators' preference for the job's class.
func (j *Job) Preference() float64 { return j.ClassPreference }

// ID returns the job's ID.
func (j *Job) ID() string { return j.Spec.ID }

// Feasibility returns whether the job can meet its next objective, is deferred in favour of other
// jobs, or can meet none of its objectives.
func (j *Job) Feasibility() queue.Feasibility {
	switch {
	case j.Infeasible:
		return queue.Infeasible
	case j.Load.Deferred:
		return queue.Deferred
	}
	return queue.Feasible
}

// UpdateFeasibility finds the earliest objective that the job can still meet if it starts now.
func (j *Job) UpdateFeasibility(now time.Time) {
	estimate := j.Spec.Estimate()
	for _, objective := range j.Objectives {
		j.latestStart = objective.Add(-estimate)
		if !now.After(j.latestStart) {
			j.Infeasible = false
			return
		}
	}
	j.Infeasible = true
}

// RunsPerCPU returns how many tasks of the job one CPU could run in sequence, starting at from, so
// that the last one ends by the job's next objective. The result is at least 1 and may be fractional.
// It is 1 if the job has no estimate, or if all tasks should have started by StartBy.
func (j *Job) RunsPerCPU(from time.Time) float64 {
	estimate := j.Spec.Estimate()
	if !j.StartBy.IsZero() || estimate <= 0 {
		return 1
	}
	return 1 + max(0, j.latestStart.Sub(from).Seconds()/estimate.Seconds())
}

// Started reports whether any task has started or the start of one was sent.
func (j *Job) Started() bool {
	return len(j.ActiveAttempts) > 0 || j.DoneCount > 0 || !j.FirstStart.IsZero()
}

// SinceRunnable returns the time from RunnableSince to an event, for the log, or 0 if the event
// happened under an earlier leader.
func (j *Job) SinceRunnable(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(j.RunnableSince).Round(100 * time.Millisecond)
}

// maxDemotedWait is how long an infeasible or deferred job may wait behind other jobs.
const maxDemotedWait = 2 * time.Minute

// DemotedTooLong reports whether the job is ordered behind others as infeasible or deferred, and has
// been runnable for longer than maxDemotedWait.
func (j *Job) DemotedTooLong(now time.Time) bool {
	return (j.Infeasible || j.Load.Deferred) && now.Sub(j.RunnableSince) > maxDemotedWait
}

// TaskRef returns the reference of a task in messages to and from worker agents.
func (j *Job) TaskRef(task int) string { return j.Spec.ID + "/" + strconv.Itoa(task) }

// State returns the job's state as shown to users.
func (j *Job) State() api.JobState {
	if j.Lent != nil {
		st := api.JobState{
			ID: j.Spec.ID, Phase: api.JobPending,
			Done: j.RemoteState.Done, Running: j.RemoteState.Running, Cell: j.Lent.Host,
		}
		if st.Running > 0 || st.Done > 0 {
			st.Phase = api.JobRunning
		}
		return st
	}
	st := api.JobState{ID: j.Spec.ID, Phase: api.JobPending, Done: j.DoneCount}
	for _, a := range j.ActiveAttempts {
		if IsRunning(a.Phase) {
			st.Running++
		}
	}
	st.DependsOn = j.unfinishedDependencies()
	if st.Running > 0 || st.Done > 0 {
		st.Phase = api.JobRunning
	}
	return st
}

// HasUpcomingStartDeadline reports whether the job's StartBy is still ahead. Until then even an idle
// machine should not fetch its image, because machines that have it may start its tasks in time.
func (j *Job) HasUpcomingStartDeadline(now time.Time) bool { return now.Before(j.StartBy) }

// WithinBudget reports whether one more task of a guest job fits in the loan's budget. All attempts
// that may be on a machine count as running.
func (j *Job) WithinBudget() bool {
	running := 0
	for _, n := range j.AttemptsByZone {
		running += n
	}
	spec, budget := &j.Spec, &j.Guest.Budget
	tasks := float64(running + 1)
	return tasks*spec.CPUs <= budget.CPUs+Epsilon && (spec.GPUs == 0 || tasks*spec.GPUs <= budget.GPUs+Epsilon)
}

// RemainingLoad returns the job's remaining work, based on its estimate, and its deadline.
func (j *Job) RemainingLoad(now time.Time) queue.Load {
	cpuSeconds := float64(j.Flight.Untaken()) * j.Spec.CPUs * j.Spec.EstimateS
	for _, a := range j.ActiveAttempts {
		remaining := j.Spec.Estimate()
		if !a.RunningAt.IsZero() {
			remaining -= now.Sub(a.RunningAt)
		}
		cpuSeconds += max(0, remaining.Seconds()) * j.Spec.CPUs
	}
	return queue.Load{Deadline: j.latestStart.Add(j.Spec.Estimate()), CPUSeconds: cpuSeconds}
}

// OverrunsOn counts the job's runs on a machine that took too long: completed runs recorded as
// overruns, and active runs that already exceed limit.
func (j *Job) OverrunsOn(m *Machine, limit time.Duration, now time.Time) int {
	n := 0
	if done := j.Runs.ByMachine[m.Name]; done != nil {
		n = done.OverrunCount
	}
	for _, a := range j.ActiveAttempts {
		if a.Machine == m && !a.Exited && !a.RunningAt.IsZero() && now.Sub(a.RunningAt) > limit {
			n++
		}
	}
	return n
}

// RunsElsewhere returns the statistics of the job's completed runs on all other machines.
func (j *Job) RunsElsewhere(m *Machine) RunStats {
	elsewhere := j.Runs.All
	if here := j.Runs.ByMachine[m.Name]; here != nil {
		elsewhere.Count -= here.Count
		elsewhere.TotalTime -= here.TotalTime
		elsewhere.OverrunCount -= here.OverrunCount
	}
	if m.Name == j.Runs.longestRunMachine {
		elsewhere.Longest = j.Runs.longestElsewhere
	}
	return elsewhere
}

// DeletesRecord reports whether this leader deletes, or is about to delete, the job's active record.
func (j *Job) DeletesRecord() bool { return j.Finishing || j.CancelPending || j.HandoverPending }
