package controller

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// addJob applies an active record: of a job that is new, or of one that was lent or reclaimed.
func (lt *leaderTerm) addJob(key string, value []byte, modRevision uint64) {
	id := key[len(records.ActivePrefix):]
	j := lt.jobs[id]
	if _, ok := lt.c.finalStates.Get(id); ok || j != nil && j.ModRevision >= modRevision {
		return
	}
	var rec records.ActiveRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		lt.c.Log.Error("active record not decoded", "key", key, "err", err)
		return
	}
	if j != nil {
		lt.applyLoan(j, rec, modRevision)
		return
	}
	lt.addRecord(key, rec, modRevision)
}

// addRecord adds the job of an active record.
func (lt *leaderTerm) addRecord(key string, rec records.ActiveRecord, modRevision uint64) {
	spec, since, team := rec.Spec, rec.Accepted, lt.teams[rec.Spec.Team]
	switch {
	case rec.Lent != nil:
		spec, since, team = rec.Lent.Spec, rec.Lent.Since, lt.teams[rec.Lent.Spec.Team]
	case rec.Guest != nil:
		spec, since, team = rec.Guest.Spec, rec.Guest.Since, lt.loans.guestTeam(rec.Guest.Home)
	}
	id := spec.ID
	if team == nil || spec.Tasks < 1 {
		lt.c.Log.Error("active record not valid", "key", key, "team", spec.Team, "tasks", spec.Tasks)
		return
	}
	j := newJob(spec, team)
	j.ModRevision, j.Accepted, j.RunnableSince = modRevision, rec.Accepted, since
	j.DependencyList, j.Guest, j.LoanCount = rec.DependencyList, rec.Guest, rec.LoanCount
	j.ClassPreference = lt.c.Policy.Preferences[spec.Class]
	j.Objectives = lt.objectives(j)
	j.UpdateFeasibility(time.Now())
	lt.jobs[id] = j
	switch {
	case rec.Lent != nil:
		lt.loans.applyLent(j, rec.Lent)
	case len(j.Spec.DependsOn) == 0:
		team.Add(j)
		lt.dispatchUntil = time.Now().Add(dispatchWindow)
	case lt.loaded:
		lt.dependencies.resolveDependencies(j)
		lt.dependencies.propagateDeadlines(j)
	default: // once all records are read
	}
	lt.c.Log.Debug("job added", "job", id, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks)
}

// newJob returns a job of a team of which no task has started.
func newJob(spec api.JobSpec, team *queue.Team[*cluster.Job]) *cluster.Job {
	tasks := uint(spec.Tasks)
	return &cluster.Job{
		Spec:              spec,
		Team:              team,
		PriorityRank:      api.PriorityRank(spec.Priority),
		WaitingSince:      time.Now(),
		Flight:            flight.New(spec.Tasks),
		ActiveAttempts:    map[int]*cluster.Attempt{},
		Done:              bitset.New(tasks),
		Recorded:          bitset.New(tasks),
		CompletionChunks:  map[int]bool{},
		Runs:              cluster.JobRuns{ByMachine: map[string]*cluster.RunStats{}},
		AttemptsByZone:    map[string]int{},
		RestartedTasks:    map[int]bool{},
		ExcludedMachine:   map[int]string{},
		FailuresByMachine: map[string]int{},
	}
}

// defaultObjectiveFactor is how many estimates a job for which no objective is set may take.
const defaultObjectiveFactor = 10

// objectives are the times by which a job should be complete: its deadline and the multiples of
// it that the configured objectives name, the times that they name for its class, and what the
// jobs that depend on it require. It sets the job's StartBy as well.
func (lt *leaderTerm) objectives(j *cluster.Job) []time.Time {
	times := slices.Concat(lt.deadlines(j), j.DependentDeadlines)
	for _, o := range lt.c.Settings.Site.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "wait":
			j.StartBy = j.RunnableSince.Add(config.Duration(o.WithinS))
		case o.Kind == "finished":
			times = append(times, j.RunnableSince.Add(config.Duration(o.WithinS)))
		}
	}
	if len(times) == 0 {
		times = append(times, j.RunnableSince.Add(config.Duration(defaultObjectiveFactor*j.Spec.EstimateS)))
	}
	slices.SortFunc(times, time.Time.Compare)
	return slices.CompactFunc(times, time.Time.Equal)
}

// deadlines are the times that follow from a job's own deadline. It counts from the submission,
// however long the job's dependencies take.
func (lt *leaderTerm) deadlines(j *cluster.Job) []time.Time {
	if j.Spec.DeadlineS <= 0 {
		return nil
	}
	times := []time.Time{j.Accepted.Add(config.Duration(j.Spec.DeadlineS))}
	for _, o := range lt.c.Settings.Site.Objectives {
		if o.Kind == "deadline" && o.Class == j.Spec.Class && o.Times > 1 {
			times = append(times, j.Accepted.Add(config.Duration(j.Spec.DeadlineS*o.Times)))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// cancelJob removes a job that was cancelled. Its attempts are stopped by the responses to
// their machines' heartbeats.
func (lt *leaderTerm) cancelJob(j *cluster.Job) {
	lt.removeJob(j)
	lt.c.recordCancellation(j.Spec.ID)
	for _, a := range j.ActiveAttempts {
		lt.terminateIfOutcomeUnknown(a)
	}
	for first := range j.CompletionChunks {
		lt.recordWriter.DeleteKey(records.CompletionKey(j.Spec.ID, first))
	}
	lt.dependencyLists.deleteList(j)
}

// removeJob removes a job that has ended from all state.
func (lt *leaderTerm) removeJob(j *cluster.Job) {
	j.Ended = true
	j.CompletionDirty = false
	delete(lt.jobs, j.Spec.ID)
	lt.dependencies.removeDependent(j)
	lt.loans.release(j)
	j.Team.Remove(j)
}

// completeTask marks a task as completed, and has that put on record, or the job ended if it was
// the last.
func (lt *leaderTerm) completeTask(j *cluster.Job, task int, now time.Time) {
	if j.Done.Test(uint(task)) {
		return
	}
	j.Done.Set(uint(task))
	j.DoneCount++
	lt.counts.done++
	j.Flight.Take(task)
	if a := j.ActiveAttempts[task]; a != nil && !a.Exited {
		lt.requestStop(a, 0, now)
	}
	if j.Ended {
		return
	}
	if j.DoneCount == j.Spec.Tasks && j.Guest != nil {
		lt.loans.guestDone(j)
		return
	}
	if j.DoneCount == j.Spec.Tasks {
		lt.recordWriter.FinishJob(j)
		return
	}
	if !j.Recorded.Test(uint(task)) {
		lt.recordWriter.QueueCompletion(j)
	}
}
