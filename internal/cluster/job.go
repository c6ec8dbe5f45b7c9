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

// Job is an active job in the leader's memory: accepted, and not yet ended.
type Job struct {
	Spec api.JobSpec
	// ModRevision is the version of the job's active record.
	ModRevision uint64
	Accepted    time.Time
	// RunnableSince is the time from which the user expects the job to run: when it was
	// accepted, or when the last job that it depends on was done.
	RunnableSince time.Time

	// DependsOn are the jobs that must be done before this one starts. While there are
	// any, or while its cancellation with one of them is pending, it is in no queue.
	DependsOn     map[string]bool
	CancelPending bool
	// DependencyList names the records that list the job's dependencies if its active
	// record does not; DependenciesRead is set once they are read.
	DependencyList   *records.DependencyList
	DependenciesRead bool
	// LastDependencyEnd is the latest time at which one of its dependencies was done.
	LastDependencyEnd time.Time
	// DependentDeadlines are the times by which the jobs that depend on it require it to
	// be complete.
	DependentDeadlines []time.Time

	// Objectives are the times by which the job should be complete, in ascending order.
	Objectives []time.Time
	// latestStart is the latest start that meets the next objective that can still be
	// met; infeasible is set if none can.
	latestStart time.Time
	Infeasible  bool
	// StartBy is when its tasks should have started, if the objectives say so.
	StartBy time.Time
	// Starved is set while none of its tasks has started for starvedAfter.
	Starved bool
	// Load is the job's part in the last decision on which jobs to defer.
	Load queue.Load
	// PriorityRank orders jobs by priority, preference by the preference of the job's class.
	PriorityRank    int
	ClassPreference float64
	Team            *queue.Team[*Job]

	// Flight has the tasks that no attempt holds and the machines that work on the job.
	Flight *flight.Flight
	// ActiveAttempts holds the current attempt of each task that may be on a machine.
	ActiveAttempts map[int]*Attempt
	// Done are the completed tasks, DoneCount is their number, and recorded are those
	// that are on record as completed.
	Done      *bitset.BitSet
	DoneCount int
	Recorded  *bitset.BitSet
	// CompletionChunks are the completion records written, by their first task.
	CompletionChunks map[int]bool
	// CompletionChunkSizes is how many tasks each of them may cover. moving are the tasks that must
	// be on record elsewhere before a record is overwritten by a shorter one.
	CompletionChunkSizes map[int]int
	MigratingCompletion  map[int]*bitset.BitSet
	// CompletionDirty is set while the job is queued for its next completion record.
	CompletionDirty bool

	// Runs measures the completed runs of the job's tasks.
	Runs JobRuns
	// AttemptsByZone counts the job's reserved attempts by zone.
	AttemptsByZone map[string]int
	// RestartedTasks are the tasks that were restarted as stragglers; each is only once.
	RestartedTasks map[int]bool
	// ExcludedMachine is the machine that a task must avoid: where it last failed or was a
	// straggler.
	ExcludedMachine map[int]string
	// FailuresByMachine counts failed tasks. A job that fails on every machine starts no
	// task before BackoffUntil, so that it does not use up the fleet; FailureRounds is how
	// often it was backed off since a task of it last completed.
	FailuresByMachine map[string]int
	FailureRounds     int
	BackoffUntil      time.Time

	// WaitingSince is when tasks of the job last became pending. SkippedSince is when a
	// machine without its image first skipped it since its last start.
	WaitingSince, SkippedSince time.Time
	// Capacity is where the fleet has capacity for the job, as last computed.
	Capacity Capacity

	// LostTasks, FirstStart, LastStart and longest are logged at the job's end.
	LostTasks             int
	FirstStart, LastStart time.Time
	LongestRun            time.Duration

	// Lent is set while the job is lent to another cell, guest if it runs here for one.
	Lent  *loan.Lent
	Guest *loan.Guest
	// Handover is set while a transaction that moves the job between cells is queued or
	// in flight.
	Handover bool
	// Remote is the state of a lent job at its host, ReclaimRequested is set while home
	// reclaims it, and ReservedBudget is what it counts for in its team's limit.
	Remote           loan.State
	ReclaimRequested bool
	ReservedBudget   loan.Budget
	// LoanCount is how often the job was lent, LastReclaimed when it was last reclaimed
	// from each cell.
	LoanCount     int
	LastReclaimed map[string]time.Time

	// Finishing is set once all tasks are done and the end is to be recorded, ending once
	// a transaction that records it may be in flight, ended once the job is removed.
	Finishing bool
	Ending    bool
	Ended     bool
}

// Rank is the rank of the job's priority. With LatestStart, Preference, Feasibility and ID it makes
// a job an item of its team's queue.
func (j *Job) Rank() int { return j.PriorityRank }

// LatestStart is the latest start that meets the job's next objective.
func (j *Job) LatestStart() time.Time { return j.latestStart }

// Preference is how much the job's class is preferred to others.
func (j *Job) Preference() float64 { return j.ClassPreference }

// ID is the job's id.
func (j *Job) ID() string { return j.Spec.ID }

// Feasibility tells whether the job can meet its next objective, is deferred, or can meet
// none.
func (j *Job) Feasibility() queue.Feasibility {
	switch {
	case j.Infeasible:
		return queue.Infeasible
	case j.Load.Deferred:
		return queue.Deferred
	}
	return queue.Feasible
}

// UpdateFeasibility finds the next objective that can still be met by starting now.
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

// RunsPerCPU is how many tasks of the job a CPU could run one after the other from a time
// on, so that the last still ends by the job's next objective. It is 1 where there is no
// time for a second, and where an objective says when every task should have started.
func (j *Job) RunsPerCPU(from time.Time) float64 {
	estimate := j.Spec.Estimate()
	if !j.StartBy.IsZero() || estimate <= 0 {
		return 1
	}
	return 1 + max(0, j.latestStart.Sub(from).Seconds()/estimate.Seconds())
}

// Started tells whether any task has started or its start was sent.
func (j *Job) Started() bool {
	return len(j.ActiveAttempts) > 0 || j.DoneCount > 0 || !j.FirstStart.IsZero()
}

// SinceRunnable is the time from RunnableSince to an event, for the log; 0 if the event
// happened under an earlier leader.
func (j *Job) SinceRunnable(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(j.RunnableSince).Round(100 * time.Millisecond)
}

// starvingAfter is for how long a job that is infeasible or deferred may wait behind others.
const starvingAfter = 2 * time.Minute

// Starving tells whether the job is placed behind others as infeasible or deferred although
// it has waited long.
func (j *Job) Starving(now time.Time) bool {
	return (j.Infeasible || j.Load.Deferred) && now.Sub(j.RunnableSince) > starvingAfter
}

// TaskRef is the reference of a task on the wire.
func (j *Job) TaskRef(task int) string { return j.Spec.ID + "/" + strconv.Itoa(task) }

// State is what users are shown of the job.
func (j *Job) State() api.JobState {
	if j.Lent != nil {
		st := api.JobState{
			ID: j.Spec.ID, Phase: api.JobPending,
			Done: j.Remote.Done, Running: j.Remote.Running, Cell: j.Lent.Host,
		}
		if j.Remote.Phase == loan.PhaseStarted {
			st.Phase = api.JobRunning
		}
		return st
	}
	st := api.JobState{ID: j.Spec.ID, Phase: api.JobPending, Done: j.DoneCount}
	for _, a := range j.ActiveAttempts {
		if a.Phase == api.TaskRunning || a.Phase == api.TaskSaving {
			st.Running++
		}
	}
	st.DependsOn = j.unfinishedDependencies()
	if st.Running > 0 || st.Done > 0 {
		st.Phase = api.JobRunning
	}
	return st
}

// IsUrgent tells whether a job has a time by which its tasks should start and that is still
// ahead. Until then not even a machine without other work should fetch its image, as those that
// have it may still serve it in time.
func (j *Job) IsUrgent(now time.Time) bool { return now.Before(j.StartBy) }

// WithinBudget reports whether a guest may start one more task. All attempts that may be on a
// machine count.
func (j *Job) WithinBudget() bool {
	running := 0
	for _, n := range j.AttemptsByZone {
		running += n
	}
	s, budget := &j.Spec, &j.Guest.Budget
	tasks := float64(running + 1)
	return tasks*s.CPUs <= budget.CPUs+Epsilon && (s.GPUs == 0 || tasks*s.GPUs <= budget.GPUs+Epsilon)
}

// RemainingLoad is the work that is left of the job, by its estimate, and when it should be done.
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

// OverrunsOn counts the job's completed runs on a machine that overran, and those there that are
// past the limit now.
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

// RunsElsewhere sums up the job's completed runs on all machines but one.
func (j *Job) RunsElsewhere(m *Machine) RunStats {
	others := j.Runs.All
	if mine := j.Runs.ByMachine[m.Name]; mine != nil {
		others.Count -= mine.Count
		others.TotalTime -= mine.TotalTime
		others.OverrunCount -= mine.OverrunCount
	}
	if m.Name == j.Runs.longestOn {
		others.Longest = j.Runs.longestElsewhere
	}
	return others
}

// AllUntakenExcluded tells whether every untaken task of a job failed on a machine.
func (j *Job) AllUntakenExcluded(m *Machine) bool {
	if len(j.ExcludedMachine) == 0 {
		return false
	}
	n := 0
	for task, name := range j.ExcludedMachine {
		if name == m.Name && !j.Done.Test(uint(task)) && j.ActiveAttempts[task] == nil {
			n++
		}
	}
	return n >= j.Flight.Untaken()
}

// DeletesRecord reports whether this leader itself deletes, or is about to delete, the job's
// active record.
func (j *Job) DeletesRecord() bool { return j.Finishing || j.CancelPending || j.Handover }
