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

// job is an active job in the leader's memory.
type job struct {
	spec        api.JobSpec
	modRevision uint64
	accepted    time.Time
	// runnableSince is from when on its user expects it to run: when it was accepted, or
	// when the last job that it needs was done.
	runnableSince time.Time
	// dependsOn are the jobs that are to be done before it starts; while there are
	// any, or while its cancellation with one of them is pending, it is in no queue.
	dependsOn     map[string]bool
	cancelPending bool
	// dependencyList tells which records list what it awaits, if its own does not;
	// dependenciesRead is set once they are read.
	dependencyList   *records.DependencyList
	dependenciesRead bool
	// lastDependencyEnd is when the last of the awaited jobs that are done was done.
	lastDependencyEnd time.Time
	// dependentDeadlines is when it should be complete for those that need it.
	dependentDeadlines []time.Time
	// objectives are when the job should be complete, by the aims of its class;
	// latest is when to begin to meet the next that can still be met.
	objectives  []time.Time
	latestStart time.Time
	infeasible  bool
	// startBy is when its tasks should have started, if the aims say so.
	startBy time.Time
	// starved is set while none of its tasks has begun for too long.
	starved    bool
	load       queue.Load
	rank       int
	preference float64
	team       *queue.Team[*job]

	flight *flight.Flight
	// activeAttempts holds for each task that may be on a machine its current attempt.
	activeAttempts map[int]*attempt
	// done is what has completed; durable is the part of it on record.
	done      *bitset.BitSet
	doneCount int
	recorded  *bitset.BitSet
	// completionChunks are the progress records written, by their first task.
	completionChunks map[int]bool
	// chunkSizes is how many tasks they may speak of, and moving what has to be on
	// record elsewhere before one is written over by a shorter one.
	chunkSizes      map[int]int
	moving          map[int]*bitset.BitSet
	completionDirty bool

	runs            jobRuns
	zones           map[string]int
	restarted       map[int]bool
	excludedMachine map[int]string
	// failuresByMachine counts failures by machine; backoffUntil keeps a job that fails
	// everywhere from eating the machines.
	failuresByMachine map[string]int
	failureRounds     int
	backoffUntil      time.Time

	// waitingSince is when tasks of the job last began to wait, and passed when a
	// machine without its image first passed it over since its last start.
	waitingSince, skippedSince time.Time
	// capacity is where the fleet has room for it, as last looked at.
	capacity capacity
	// What the log says of a job at its end.
	lostTasks             int
	firstStart, lastStart time.Time
	longest               time.Duration

	// lent is set while the job is lent to another cell, and guest if it runs here for
	// one. handover is set while a transaction that moves it is queued or on its way.
	lent     *loan.Lent
	guest    *loan.Guest
	handover bool
	// remote is how a lent job stands, reclaimRequested is set while it is called back, and
	// reserved is what it counts for in its team's limit.
	remote           loan.State
	reclaimRequested bool
	reservedBudget   loan.Budget
	// loanCount is how often it was lent, and lastReclaimed when cells last gave it back.
	loanCount     int
	lastReclaimed map[string]time.Time

	finishing bool
	// ending is set once a transaction that records its end may be on its way.
	ending bool
	ended  bool
}

// Rank, Latest and ID make a job an item of its team's queue.
func (j *job) Rank() int              { return j.rank }
func (j *job) LatestStart() time.Time { return j.latestStart }

// Preference makes a job an item of its team's queue.
func (j *job) Preference() float64 { return j.preference }

// Feasibility makes a job an item of its team's queue.
func (j *job) Feasibility() queue.Feasibility {
	switch {
	case j.infeasible:
		return queue.Infeasible
	case j.load.Defer:
		return queue.Deferred
	}
	return queue.Feasible
}
func (j *job) ID() string { return j.spec.ID }

// updateFeasibility finds the next aim that can still be met by starting now.
func (j *job) updateFeasibility(now time.Time) {
	est := j.spec.Estimate()
	for _, aim := range j.objectives {
		j.latestStart = aim.Add(-est)
		if !now.After(j.latestStart) {
			j.infeasible = false
			return
		}
	}
	j.infeasible = true
}

// runsPerCPU is how many tasks of the job a CPU could run one after the other from some
// time on, so that the last still ends by the job's next aim. It is 1 where there is
// no time for a second, and where the aims say when every task should have started.
func (j *job) runsPerCPU(from time.Time) float64 {
	estimate := j.spec.Estimate()
	if !j.startBy.IsZero() || estimate <= 0 {
		return 1
	}
	return 1 + max(0, j.latestStart.Sub(from).Seconds()/estimate.Seconds())
}

// started tells whether any task has begun or is about to.
func (j *job) started() bool {
	return len(j.activeAttempts) > 0 || j.doneCount > 0 || !j.firstStart.IsZero()
}

// sinceRunnable is how long after its acceptance something happened to the job, for the
// log; 0 if this leader has not seen it.
func (j *job) sinceRunnable(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(j.runnableSince).Round(time.Second / 10)
}

// starving tells whether the job gives way to others although it has waited long.
func (j *job) starving(now time.Time) bool {
	return (j.infeasible || j.load.Defer) && now.Sub(j.runnableSince) > starvingAfter
}

func (j *job) taskRef(task int) string { return j.spec.ID + "/" + strconv.Itoa(task) }

func (j *job) state() api.JobState {
	if j.lent != nil {
		st := api.JobState{ID: j.spec.ID, Phase: api.JobPending, Done: j.remote.Done, Running: j.remote.Running, Cell: j.lent.Host}
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
