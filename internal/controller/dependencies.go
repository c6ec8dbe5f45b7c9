package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/records"
)

// dependencyGraph is the DAG of the jobs that depend on others. A job may depend on others: none
// of its tasks starts before these are done, on record. Until then it is in no queue, and so uses
// no part of a limit or guarantee and scales nothing out. When one of them is cancelled, it is
// cancelled too.
//
// The cancellation that a user is answered is one compare-and-swap; what follows from it is
// derived, by the leader in its memory and by whoever reads such a job's record
// (records.Records), and users see it at once. The leader, or the next, also writes it: in steps
// within the write rate, each of which leaves nothing that the next could not be found from.
type dependencyGraph struct {
	leaderTerm *leaderTerm
	// dependents are the jobs that depend on others, by what they depend on.
	dependents map[string][]*cluster.Job
	// pendingCancels are the jobs whose cancellation is to be put on record.
	pendingCancels []*cluster.Job
	// lookups are dependencies that are not active: how they ended is to be read, of all of
	// them at a time.
	lookups   []string
	lookingUp bool
	// unknown counts the rounds of lookups that wait for jobs which are active but which the
	// watch has not delivered yet.
	unknown int
}

// init sets up the graph for a term.
func (dg *dependencyGraph) init(lt *leaderTerm) {
	*dg = dependencyGraph{
		leaderTerm: lt,
		dependents: map[string][]*cluster.Job{},
	}
}

// resolveDependencies finds which of a job's dependencies have not ended, and enqueues the job if
// there are none. It is cancelled if one of them is.
func (dg *dependencyGraph) resolveDependencies(j *cluster.Job) {
	j.DependsOn = map[string]bool{}
	if j.DependencyList != nil && !j.DependenciesRead {
		// Not all of its dependencies are known, so none of its tasks may start.
		j.DependsOn[records.DependenciesElsewhere] = true
		dg.leaderTerm.dependencyLists.read(j)
		return
	}
	pending := false
	for _, id := range j.Spec.DependsOn {
		state, ended := dg.leaderTerm.c.finalStates.Get(id)
		if ended && state.Phase == api.JobCancelled {
			pending = true
			continue
		}
		if ended && !state.EndedAt.IsZero() {
			j.RecordDependencyEnd(state.EndedAt)
			continue
		}
		dependency := dg.leaderTerm.jobs[id]
		if dependency == nil {
			if len(dg.dependents[id]) == 0 {
				dg.lookups = append(dg.lookups, id)
			}
		} else if dependency.CancelPending {
			pending = true
		}
		j.DependsOn[id] = true
		dg.dependents[id] = append(dg.dependents[id], j)
	}
	j.DropEndedDependencies()
	switch {
	case pending:
		dg.cancelWithDependents(j)
	case len(j.DependsOn) == 0:
		dg.enqueueReady(j)
	}
	dg.lookupNext()
}

// enqueueReady queues a job once all its dependencies are done. Its times count from the end of
// the last of them, also if another leader saw that; or from its acceptance, if it was submitted
// later.
func (dg *dependencyGraph) enqueueReady(j *cluster.Job) {
	now := time.Now()
	j.DependsOn, j.RunnableSince, j.WaitingSince = nil, j.AcceptedAt, now
	j.Spec.DependsOn = nil // perhaps thousands, all of them ended
	if j.LastDependencyEnd.After(j.RunnableSince) {
		j.RunnableSince = j.LastDependencyEnd
	}
	j.Objectives = dg.leaderTerm.objectives(j)
	j.UpdateFeasibility(now)
	j.Team.Add(j)
	dg.leaderTerm.dispatchUntil = now.Add(dispatchWindow)
}

// jobDone removes a job that is done on record from the dependencies of others, and enqueues those
// that have no other left.
func (dg *dependencyGraph) jobDone(id string, at time.Time) {
	dependents := dg.dependents[id]
	delete(dg.dependents, id)
	for _, j := range dependents {
		j.RecordDependencyEnd(at)
		delete(j.DependsOn, id)
		j.DropEndedDependencies()
		if len(j.DependsOn) == 0 && !j.CancelPending && !j.Ended {
			dg.enqueueReady(j)
		}
	}
}

// jobCancelled cancels the dependents of a cancelled job.
func (dg *dependencyGraph) jobCancelled(id string) {
	dependents := dg.dependents[id]
	delete(dg.dependents, id)
	for _, j := range dependents {
		dg.cancelWithDependents(j)
	}
}

// cancelWithDependents has a pending job cancelled on record, with all that depend on it, directly
// or through others.
func (dg *dependencyGraph) cancelWithDependents(j *cluster.Job) {
	for todo := []*cluster.Job{j}; len(todo) > 0; {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if j.CancelPending || j.Ended {
			continue
		}
		j.CancelPending = true
		dg.pendingCancels = append(dg.pendingCancels, j)
		todo = append(todo, dg.dependents[j.Spec.ID]...)
	}
}

// forget removes a job that has ended from the dependents of others.
func (dg *dependencyGraph) forget(j *cluster.Job) {
	for id := range j.DependsOn {
		remaining := slices.DeleteFunc(dg.dependents[id], func(other *cluster.Job) bool { return other == j })
		if dg.dependents[id] = remaining; len(remaining) == 0 {
			delete(dg.dependents, id)
		}
	}
	j.DependsOn = nil
}

// propagateDeadlines passes the deadlines and priorities of jobs on to all that they depend on:
// these are ordered by the latest start that lets what follows be in time. A job was accepted
// after all its dependencies, so in reverse order of acceptance each is visited once, after all
// that depend on it; and only where anything changes.
func (dg *dependencyGraph) propagateDeadlines(jobs ...*cluster.Job) {
	byModRevision := func(a, b *cluster.Job) int { return cmp.Compare(a.ModRevision, b.ModRevision) }
	todo := slices.Clone(jobs)
	slices.SortFunc(todo, byModRevision)
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, id := range j.Spec.DependsOn {
			dependency := dg.leaderTerm.jobs[id]
			if dependency == nil || dependency.Finishing || !dg.propagateDeadline(j, dependency) {
				continue
			}
			if len(dependency.Spec.DependsOn) == 0 {
				continue
			}
			if at, found := slices.BinarySearchFunc(todo, dependency, byModRevision); !found {
				todo = slices.Insert(todo, at, dependency)
			}
		}
	}
}

// propagateDeadline tightens the objectives and the priority of a dependency by those of a job that
// depends on it, and tells whether that changed anything.
func (dg *dependencyGraph) propagateDeadline(j, dependency *cluster.Job) (changed bool) {
	if j.PriorityRank < dependency.PriorityRank {
		dependency.PriorityRank, changed = j.PriorityRank, true
	}
	due := dg.dependentDeadlines(j)
	if len(due) == 0 {
		return changed
	}
	duration := dg.stageDuration(j)
	if len(dependency.DependentDeadlines) > 0 && !due[0].Add(-duration).Before(dependency.DependentDeadlines[0]) {
		return changed
	}
	dependency.DependentDeadlines = nil
	for _, at := range due {
		dependency.DependentDeadlines = append(dependency.DependentDeadlines, at.Add(-duration))
	}
	dependency.Objectives = dg.leaderTerm.objectives(dependency)
	dependency.UpdateFeasibility(time.Now())
	return true
}

// DependentDeadlines are the times by which a job should be complete for the deadlines of its
// pipeline, the strictest first.
func (dg *dependencyGraph) dependentDeadlines(j *cluster.Job) []time.Time {
	own := dg.leaderTerm.deadlines(j)
	if len(own) == 0 || len(j.DependentDeadlines) > 0 && j.DependentDeadlines[0].Before(own[0]) {
		return j.DependentDeadlines
	}
	return own
}

// stageDuration is how long a stage is expected to take from the end of the one before it: until
// that is on record, the machine has received the start and has the image.
func (dg *dependencyGraph) stageDuration(j *cluster.Job) time.Duration {
	fetch := 0.0
	for _, t := range dg.leaderTerm.c.machineTypes.load() {
		if t.FetchGBs > 0 {
			fetch = max(fetch, j.Spec.ImageGB/t.FetchGBs)
		}
	}
	heartbeatInterval := dg.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()
	return j.Spec.Estimate() + config.Duration(fetch) + heartbeatInterval + expectedStageLag
}

// expectedStageLag is about how long it takes until a job's end is on record and the tasks of those that
// depend on it are assigned.
const expectedStageLag = time.Second

// lookupNext reads how dependencies ended that are not active. Those whose record could not be
// read are read again after lookupRetryInterval.
func (dg *dependencyGraph) lookupNext() {
	if dg.lookingUp || len(dg.lookups) == 0 {
		return
	}
	dg.lookingUp = true
	lt, ids := dg.leaderTerm, dg.lookups
	dg.lookups = nil
	go func() {
		recordStore := records.Records{Store: lt.c.Store}
		ends := map[string]records.TerminalRecord{}
		for unread := ids; lt.ctx.Err() == nil; sleep(lt.ctx, lookupRetryInterval) {
			found, err := recordStore.TerminalRecords(lt.ctx, unread)
			maps.Copy(ends, found)
			if err == nil {
				lt.sendToOwner(endsLookedUpMsg{leaderTerm: lt, ids: ids, ends: ends})
				return
			}
			unread = slices.DeleteFunc(slices.Clone(unread), func(id string) bool {
				_, ok := ends[id]
				return ok
			})
		}
	}()
}

// lookupRetryInterval is the time between two attempts to read terminal records.
const lookupRetryInterval = 300 * time.Millisecond

// unknownRetryDelay is after what time dependencies are looked up again that are active, but which
// the watch has not delivered yet.
const unknownRetryDelay = time.Second

// endsLookedUpMsg has the terminal records of the jobs that were looked up; those that are still
// active have none.
type endsLookedUpMsg struct {
	leaderTerm *leaderTerm
	ids        []string
	ends       map[string]records.TerminalRecord
}

func (m endsLookedUpMsg) apply(c *Controller) {
	dg := &m.leaderTerm.dependencies
	if m.leaderTerm.hasEnded() {
		return
	}
	dg.lookingUp = false
	var unknown []string
	for _, id := range m.ids {
		end, found := m.ends[id]
		switch {
		case found:
			dg.applyTerminalRecord(id, end)
		case m.leaderTerm.jobs[id] == nil && len(dg.dependents[id]) > 0:
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		// They are active, and not known here yet: the watch delivers them.
		dg.unknown++
		retry := lookupRetryMsg{leaderTerm: m.leaderTerm, ids: unknown}
		time.AfterFunc(unknownRetryDelay, func() { m.leaderTerm.sendToOwner(retry) })
	}
	dg.lookupNext()
}

// applyTerminalRecord applies the terminal record of a job to those that depend on it.
func (dg *dependencyGraph) applyTerminalRecord(id string, end records.TerminalRecord) {
	finalStateMsg{end.JobState(id)}.apply(dg.leaderTerm.c)
	if end.Phase != api.JobDone {
		return
	}
	at := end.Ended
	if at.IsZero() {
		at = time.Now() // written by a version that recorded no time
	}
	dg.jobDone(id, at)
}

// lookupRetryMsg has dependencies looked up again that were not known.
type lookupRetryMsg struct {
	leaderTerm *leaderTerm
	ids        []string
}

func (m lookupRetryMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	dg := &m.leaderTerm.dependencies
	dg.unknown--
	for _, id := range m.ids {
		if len(dg.dependents[id]) > 0 && m.leaderTerm.jobs[id] == nil {
			dg.lookups = append(dg.lookups, id)
		}
	}
	dg.lookupNext()
}

// unresolved tells whether the dependencies of some jobs, or how these ended, are still to be
// read. Until then a job may depend on a cancelled one without this leader knowing.
func (dg *dependencyGraph) unresolved() bool {
	lists := &dg.leaderTerm.dependencyLists
	return dg.lookingUp || len(dg.lookups) > 0 || dg.unknown > 0 || lists.reading || len(lists.unread) > 0
}
