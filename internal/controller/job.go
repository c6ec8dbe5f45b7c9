package controller

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

// job is an active job in the leader's memory: accepted, and not yet ended.
type job struct {
	spec api.JobSpec
	// modRevision is the version of the job's active record.
	modRevision uint64
	accepted    time.Time
	// runnableSince is the time from which the user expects the job to run: when it was
	// accepted, or when the last job that it depends on was done.
	runnableSince time.Time

	// dependsOn are the jobs that must be done before this one starts. While there are
	// any, or while its cancellation with one of them is pending, it is in no queue.
	dependsOn     map[string]bool
	cancelPending bool
	// dependencyList names the records that list the job's dependencies if its active
	// record does not; dependenciesRead is set once they are read.
	dependencyList   *records.DependencyList
	dependenciesRead bool
	// lastDependencyEnd is the latest time at which one of its dependencies was done.
	lastDependencyEnd time.Time
	// dependentDeadlines are the times by which the jobs that depend on it require it to
	// be complete.
	dependentDeadlines []time.Time

	// objectives are the times by which the job should be complete, in ascending order.
	objectives []time.Time
	// latestStart is the latest start that meets the next objective that can still be
	// met; infeasible is set if none can.
	latestStart time.Time
	infeasible  bool
	// startBy is when its tasks should have started, if the objectives say so.
	startBy time.Time
	// starved is set while none of its tasks has started for starvedAfter.
	starved bool
	// load is the job's part in the last decision on which jobs to defer.
	load queue.Load
	// priorityRank orders jobs by priority, preference by the preference of the job's class.
	priorityRank int
	preference   float64
	team         *queue.Team[*job]

	// flight has the tasks that no attempt holds and the machines that work on the job.
	flight *flight.Flight
	// activeAttempts holds the current attempt of each task that may be on a machine.
	activeAttempts map[int]*attempt
	// done are the completed tasks, doneCount is their number, and recorded are those
	// that are on record as completed.
	done      *bitset.BitSet
	doneCount int
	recorded  *bitset.BitSet
	// completionChunks are the completion records written, by their first task.
	completionChunks map[int]bool
	// completionChunkSizes is how many tasks each of them may cover. moving are the tasks that must
	// be on record elsewhere before a record is overwritten by a shorter one.
	completionChunkSizes map[int]int
	migratingCompletion  map[int]*bitset.BitSet
	// completionDirty is set while the job is queued for its next completion record.
	completionDirty bool

	// runs measures the completed runs of the job's tasks.
	runs jobRuns
	// attemptsByZone counts the job's reserved attempts by zone.
	attemptsByZone map[string]int
	// restartedTasks are the tasks that were restarted as stragglers; each is only once.
	restartedTasks map[int]bool
	// excludedMachine is the machine that a task must avoid: where it last failed or was a
	// straggler.
	excludedMachine map[int]string
	// failuresByMachine counts failed tasks. A job that fails on every machine starts no
	// task before backoffUntil, so that it does not use up the fleet; failureRounds is how
	// often it was backed off since a task of it last completed.
	failuresByMachine map[string]int
	failureRounds     int
	backoffUntil      time.Time

	// waitingSince is when tasks of the job last became pending. skippedSince is when a
	// machine without its image first skipped it since its last start.
	waitingSince, skippedSince time.Time
	// capacity is where the fleet has capacity for the job, as last computed.
	capacity capacity

	// lostTasks, firstStart, lastStart and longest are logged at the job's end.
	lostTasks             int
	firstStart, lastStart time.Time
	longestRun            time.Duration

	// lent is set while the job is lent to another cell, guest if it runs here for one.
	lent  *loan.Lent
	guest *loan.Guest
	// handover is set while a transaction that moves the job between cells is queued or
	// in flight.
	handover bool
	// remote is the state of a lent job at its host, reclaimRequested is set while home
	// reclaims it, and reservedBudget is what it counts for in its team's limit.
	remote           loan.State
	reclaimRequested bool
	reservedBudget   loan.Budget
	// loanCount is how often the job was lent, lastReclaimed when it was last reclaimed
	// from each cell.
	loanCount     int
	lastReclaimed map[string]time.Time

	// finishing is set once all tasks are done and the end is to be recorded, ending once
	// a transaction that records it may be in flight, ended once the job is removed.
	finishing bool
	ending    bool
	ended     bool
}

// Rank, with LatestStart, Preference, Feasibility and ID, makes a job an item of its team's
// queue.
func (j *job) Rank() int { return j.priorityRank }

// LatestStart is the latest start that meets the job's next objective.
func (j *job) LatestStart() time.Time { return j.latestStart }

// Preference is how much the job's class is preferred to others.
func (j *job) Preference() float64 { return j.preference }

// ID is the job's id.
func (j *job) ID() string { return j.spec.ID }

// Feasibility tells whether the job can meet its next objective, is deferred, or can meet
// none.
func (j *job) Feasibility() queue.Feasibility {
	switch {
	case j.infeasible:
		return queue.Infeasible
	case j.load.Defer:
		return queue.Deferred
	}
	return queue.Feasible
}

// updateFeasibility finds the next objective that can still be met by starting now.
func (j *job) updateFeasibility(now time.Time) {
	estimate := j.spec.Estimate()
	for _, objective := range j.objectives {
		j.latestStart = objective.Add(-estimate)
		if !now.After(j.latestStart) {
			j.infeasible = false
			return
		}
	}
	j.infeasible = true
}

// runsPerCPU is how many tasks of the job a CPU could run one after the other from a time
// on, so that the last still ends by the job's next objective. It is 1 where there is no
// time for a second, and where an objective says when every task should have started.
func (j *job) runsPerCPU(from time.Time) float64 {
	estimate := j.spec.Estimate()
	if !j.startBy.IsZero() || estimate <= 0 {
		return 1
	}
	return 1 + max(0, j.latestStart.Sub(from).Seconds()/estimate.Seconds())
}

// started tells whether any task has started or its start was sent.
func (j *job) started() bool {
	return len(j.activeAttempts) > 0 || j.doneCount > 0 || !j.firstStart.IsZero()
}

// sinceRunnable is the time from runnableSince to an event, for the log; 0 if the event
// happened under an earlier leader.
func (j *job) sinceRunnable(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(j.runnableSince).Round(100 * time.Millisecond)
}

// starvingAfter is for how long a job that is infeasible or deferred may wait behind others.
const starvingAfter = 2 * time.Minute

// starving tells whether the job is placed behind others as infeasible or deferred although
// it has waited long.
func (j *job) starving(now time.Time) bool {
	return (j.infeasible || j.load.Defer) && now.Sub(j.runnableSince) > starvingAfter
}

// taskRef is the reference of a task on the wire.
func (j *job) taskRef(task int) string { return j.spec.ID + "/" + strconv.Itoa(task) }

// state is what users are shown of the job.
func (j *job) state() api.JobState {
	if j.lent != nil {
		st := api.JobState{
			ID: j.spec.ID, Phase: api.JobPending,
			Done: j.remote.Done, Running: j.remote.Running, Cell: j.lent.Host,
		}
		if j.remote.Phase == loan.PhaseStarted {
			st.Phase = api.JobRunning
		}
		return st
	}
	st := api.JobState{ID: j.spec.ID, Phase: api.JobPending, Done: j.doneCount}
	for _, a := range j.activeAttempts {
		if a.phase == api.TaskRunning || a.phase == api.TaskSaving {
			st.Running++
		}
	}
	st.DependsOn = j.unfinishedDependencies()
	if st.Running > 0 || st.Done > 0 {
		st.Phase = api.JobRunning
	}
	return st
}

// isUrgent tells whether a job has a time by which its tasks should start and that is still
// ahead. Until then not even a machine without other work should fetch its image, as those that
// have it may still serve it in time.
func (j *job) isUrgent(now time.Time) bool { return now.Before(j.startBy) }

// withinBudget reports whether a guest may start one more task. All attempts that may be on a
// machine count.
func (j *job) withinBudget() bool {
	running := 0
	for _, n := range j.attemptsByZone {
		running += n
	}
	s, budget := &j.spec, &j.guest.Budget
	tasks := float64(running + 1)
	return tasks*s.CPUs <= budget.CPUs+epsilon && (s.GPUs == 0 || tasks*s.GPUs <= budget.GPUs+epsilon)
}

// remainingLoad is the work that is left of the job, by its estimate, and when it should be done.
func (j *job) remainingLoad(now time.Time) queue.Load {
	cpuSeconds := float64(j.flight.Untaken()) * j.spec.CPUs * j.spec.EstimateS
	for _, a := range j.activeAttempts {
		remaining := j.spec.Estimate()
		if !a.runningAt.IsZero() {
			remaining -= now.Sub(a.runningAt)
		}
		cpuSeconds += max(0, remaining.Seconds()) * j.spec.CPUs
	}
	return queue.Load{Deadline: j.latestStart.Add(j.spec.Estimate()), CPUSeconds: cpuSeconds}
}

// overrunsOn counts the job's completed runs on a machine that overran, and those there that are
// past the limit now.
func (j *job) overrunsOn(m *machine, limit time.Duration, now time.Time) int {
	n := 0
	if done := j.runs.byMachine[m.name]; done != nil {
		n = done.overrunCount
	}
	for _, a := range j.activeAttempts {
		if a.machine == m && !a.exited && !a.runningAt.IsZero() && now.Sub(a.runningAt) > limit {
			n++
		}
	}
	return n
}

// runsElsewhere sums up the job's completed runs on all machines but one.
func (j *job) runsElsewhere(m *machine) runStats {
	others := j.runs.all
	if mine := j.runs.byMachine[m.name]; mine != nil {
		others.count -= mine.count
		others.totalTime -= mine.totalTime
		others.overrunCount -= mine.overrunCount
	}
	if m.name == j.runs.longestOn {
		others.longest = j.runs.longestElsewhere
	}
	return others
}

// allUntakenExcluded tells whether every untaken task of a job failed on a machine.
func (j *job) allUntakenExcluded(m *machine) bool {
	if len(j.excludedMachine) == 0 {
		return false
	}
	n := 0
	for task, name := range j.excludedMachine {
		if name == m.name && !j.done.Test(uint(task)) && j.activeAttempts[task] == nil {
			n++
		}
	}
	return n >= j.flight.Untaken()
}

// deletesRecord reports whether this leader itself deletes, or is about to delete, the job's
// active record.
func (j *job) deletesRecord() bool { return j.finishing || j.cancelPending || j.handover }
