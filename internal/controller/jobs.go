package controller

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// addJob applies an active record: of a job that is new, or of one that was lent or reclaimed.
func (lt *leaderTerm) addJob(key string, value []byte, modRevision uint64) {
	id := key[len(records.ActivePrefix):]
	j := lt.jobs[id]
	if _, ok := lt.c.finalStates.Get(id); ok || j != nil && j.modRevision >= modRevision {
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
	j.modRevision, j.accepted, j.runnableSince = modRevision, rec.Accepted, since
	j.dependencyList, j.guest, j.loanCount = rec.DependencyList, rec.Guest, rec.LoanCount
	j.preference = lt.c.Policy.Preferences[spec.Class]
	j.objectives = lt.objectives(j)
	j.updateFeasibility(time.Now())
	lt.jobs[id] = j
	switch {
	case rec.Lent != nil:
		lt.loans.applyLent(j, rec.Lent)
	case len(j.spec.DependsOn) == 0:
		team.Add(j)
		lt.dispatchUntil = time.Now().Add(dispatchWindow)
	case lt.loaded:
		lt.dependencies.resolveDependencies(j)
		lt.dependencies.propagateDeadlines(j)
	default: // once all records are read
	}
	lt.c.Log.Debug("job added", "job", id, "class", j.spec.Class, "team", j.spec.Team, "tasks", j.spec.Tasks)
}

// newJob returns a job of a team of which no task has started.
func newJob(spec api.JobSpec, team *queue.Team[*job]) *job {
	tasks := uint(spec.Tasks)
	return &job{
		spec:              spec,
		team:              team,
		priorityRank:      api.PriorityRank(spec.Priority),
		waitingSince:      time.Now(),
		flight:            flight.New(spec.Tasks),
		activeAttempts:    map[int]*attempt{},
		done:              bitset.New(tasks),
		recorded:          bitset.New(tasks),
		completionChunks:  map[int]bool{},
		runs:              jobRuns{byMachine: map[string]*runStats{}},
		attemptsByZone:    map[string]int{},
		restartedTasks:    map[int]bool{},
		excludedMachine:   map[int]string{},
		failuresByMachine: map[string]int{},
	}
}

// defaultObjectiveFactor is how many estimates a job for which no objective is set may take.
const defaultObjectiveFactor = 10

// objectives are the times by which a job should be complete: its deadline and the multiples of
// it that the configured objectives name, the times that they name for its class, and what the
// jobs that depend on it require. It sets the job's startBy as well.
func (lt *leaderTerm) objectives(j *job) []time.Time {
	times := slices.Concat(lt.deadlines(j), j.dependentDeadlines)
	for _, o := range lt.c.Settings.Site.Objectives {
		switch {
		case o.Class != j.spec.Class:
		case o.Kind == "wait":
			j.startBy = j.runnableSince.Add(config.Duration(o.WithinS))
		case o.Kind == "finished":
			times = append(times, j.runnableSince.Add(config.Duration(o.WithinS)))
		}
	}
	if len(times) == 0 {
		times = append(times, j.runnableSince.Add(config.Duration(defaultObjectiveFactor*j.spec.EstimateS)))
	}
	slices.SortFunc(times, time.Time.Compare)
	return slices.CompactFunc(times, time.Time.Equal)
}

// deadlines are the times that follow from a job's own deadline. It counts from the submission,
// however long the job's dependencies take.
func (lt *leaderTerm) deadlines(j *job) []time.Time {
	if j.spec.DeadlineS <= 0 {
		return nil
	}
	times := []time.Time{j.accepted.Add(config.Duration(j.spec.DeadlineS))}
	for _, o := range lt.c.Settings.Site.Objectives {
		if o.Kind == "deadline" && o.Class == j.spec.Class && o.Times > 1 {
			times = append(times, j.accepted.Add(config.Duration(j.spec.DeadlineS*o.Times)))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// cancelJob removes a job that was cancelled. Its attempts are stopped by the responses to
// their machines' heartbeats.
func (lt *leaderTerm) cancelJob(j *job) {
	lt.removeJob(j)
	lt.c.recordCancellation(j.spec.ID)
	for _, a := range j.activeAttempts {
		lt.terminateIfOutcomeUnknown(a)
	}
	for first := range j.completionChunks {
		lt.recordWriter.deleteKey(records.CompletionKey(j.spec.ID, first))
	}
	lt.dependencyLists.drop(j)
}

// removeJob removes a job that has ended from all state.
func (lt *leaderTerm) removeJob(j *job) {
	j.ended = true
	j.completionDirty = false
	delete(lt.jobs, j.spec.ID)
	lt.dependencies.forget(j)
	lt.loans.release(j)
	j.team.Remove(j)
}

// completeTask marks a task as completed, and has that put on record, or the job ended if it was
// the last.
func (lt *leaderTerm) completeTask(j *job, task int, now time.Time) {
	if j.done.Test(uint(task)) {
		return
	}
	j.done.Set(uint(task))
	j.doneCount++
	lt.counts.done++
	j.flight.Take(task)
	if a := j.activeAttempts[task]; a != nil && !a.exited {
		lt.requestStop(a, 0, now)
	}
	if j.ended {
		return
	}
	if j.doneCount == j.spec.Tasks && j.guest != nil {
		lt.loans.guestDone(j)
		return
	}
	if j.doneCount == j.spec.Tasks {
		lt.recordWriter.finishJob(j)
		return
	}
	if !j.recorded.Test(uint(task)) {
		lt.recordWriter.queueCompletion(j)
	}
}
