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

// applyActiveRecord applies an active record: it adds a new job, or updates one that was lent or
// reclaimed.
func (lt *leaderTerm) applyActiveRecord(key string, value []byte, modRevision uint64) {
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
	lt.addActiveJob(key, rec, modRevision)
}

// addActiveJob adds the job that an active record describes. The spec and the team of a lent job or
// of a guest come from its loan.
func (lt *leaderTerm) addActiveJob(key string, rec records.ActiveRecord, modRevision uint64) {
	spec, runnableSince, team := rec.Spec, rec.Accepted, lt.teams[rec.Spec.Team]
	switch {
	case rec.Lent != nil:
		spec, runnableSince, team = rec.Lent.Spec, rec.Lent.Since, lt.teams[rec.Lent.Spec.Team]
	case rec.Guest != nil:
		spec, runnableSince, team = rec.Guest.Spec, rec.Guest.Since, lt.loans.guestTeam(rec.Guest.Home)
	}
	id := spec.ID
	if team == nil || spec.Tasks < 1 {
		lt.c.Log.Error("active record invalid", "key", key, "team", spec.Team, "tasks", spec.Tasks)
		return
	}
	j := newJob(spec, team)
	j.ModRevision, j.AcceptedAt, j.RunnableSince = modRevision, rec.Accepted, runnableSince
	j.DependencyList, j.Guest, j.LoanCount = rec.DependencyList, rec.Guest, rec.LoanCount
	j.ClassPreference = lt.c.Policy.ClassPreferences[spec.Class]
	j.Objectives = lt.computeObjectives(j)
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
	default: // addSnapshot resolves dependencies once all records are read
	}
	lt.c.Log.Debug("job added", "job", id, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks)
}

// newJob returns a job of a team, with all of its tasks pending.
func newJob(spec api.JobSpec, team *queue.Team[*cluster.Job]) *cluster.Job {
	tasks := uint(spec.Tasks)
	return &cluster.Job{
		Spec:             spec,
		Team:             team,
		PriorityRank:     api.PriorityRank(spec.Priority),
		WaitingSince:     time.Now(),
		Flight:           flight.New(spec.Tasks),
		ActiveAttempts:   map[int]*cluster.Attempt{},
		Done:             bitset.New(tasks),
		Recorded:         bitset.New(tasks),
		CompletionChunks: map[int]bool{},
		Runs:             cluster.JobRuns{ByMachine: map[string]*cluster.RunStats{}},
		AttemptsByZone:   map[string]int{},
		RestartedTasks:   map[int]bool{},
	}
}

// defaultObjectiveFactor is the multiple of its estimate within which a job without objectives should
// complete.
const defaultObjectiveFactor = 10

// computeObjectives returns the times by which a job should be complete, in ascending order: its
// deadline, the multiples of the deadline and the completion times that the site's objectives set for
// its class, and the times required by the jobs that depend on it. It also sets the job's StartBy.
func (lt *leaderTerm) computeObjectives(j *cluster.Job) []time.Time {
	times := slices.Concat(lt.deadlineObjectives(j), j.DependentDeadlines)
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

// deadlineObjectives returns the times that follow from a job's own deadline, in ascending order. The
// deadline counts from the acceptance of the job, regardless of how long its dependencies take.
func (lt *leaderTerm) deadlineObjectives(j *cluster.Job) []time.Time {
	if j.Spec.DeadlineS <= 0 {
		return nil
	}
	times := []time.Time{j.AcceptedAt.Add(config.Duration(j.Spec.DeadlineS))}
	for _, o := range lt.c.Settings.Site.Objectives {
		if o.Kind == "deadline" && o.Class == j.Spec.Class && o.Times > 1 {
			times = append(times, j.AcceptedAt.Add(config.Duration(j.Spec.DeadlineS*o.Times)))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// cancelJob removes a cancelled job. The responses to its machines' heartbeats stop its attempts.
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

// removeJob removes a job that has ended from the leader's memory.
func (lt *leaderTerm) removeJob(j *cluster.Job) {
	j.Ended = true
	j.CompletionDirty = false
	delete(lt.jobs, j.Spec.ID)
	lt.dependencies.removeDependent(j)
	lt.loans.release(j)
	j.Team.Remove(j)
}

// completeTask marks a task as completed and queues its completion record. After the last task it
// has the end of the job recorded instead.
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
