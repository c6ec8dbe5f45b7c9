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

// dependencyGraph is the leader's DAG of jobs that depend on other jobs. No task of a job starts
// before the terminal records of all its dependencies say that they are done. Until then the job is
// in no queue, so it counts towards no limit or guarantee and causes no scale-out. If a dependency
// is cancelled, the job is cancelled as well.
//
// The cancellation that a user requests is one compare-and-swap. The cancellations of the dependents
// are derived from it: by the leader in memory, and by any node that reads the record of a dependent
// (records.Records). Users therefore see them at once. The leader also writes them to the store, in
// several transactions to stay within the write rate. After each transaction the remaining
// cancellations can still be derived from the records, so that the next leader can complete them.
type dependencyGraph struct {
	leaderTerm *leaderTerm
	// dependents maps the id of a job to the jobs that depend on it.
	dependents map[string][]*cluster.Job
	// pendingCancels are the jobs whose cancellation is still to be written to the store.
	pendingCancels []*cluster.Job
	// lookupQueue are the dependencies that are not in the leader's memory and whose terminal
	// records are still to be read. One lookup reads all that are queued.
	lookupQueue    []string
	lookupInFlight bool
	// scheduledRetries counts the scheduled lookups of dependencies that are active in the store
	// but that the watch has not delivered yet.
	scheduledRetries int
}

// init sets up an empty graph for a leader term.
func (dg *dependencyGraph) init(lt *leaderTerm) {
	*dg = dependencyGraph{
		leaderTerm: lt,
		dependents: map[string][]*cluster.Job{},
	}
}

// resolveDependencies determines which of a job's dependencies have not ended. It enqueues the job
// if there are none, and cancels it if one of its dependencies is cancelled.
func (dg *dependencyGraph) resolveDependencies(j *cluster.Job) {
	j.DependsOn = map[string]bool{}
	if j.DependencyList != nil && !j.DependenciesRead {
		// The list of dependencies is not read yet. The placeholder keeps the job from starting.
		j.DependsOn[records.DependencyListPlaceholder] = true
		dg.leaderTerm.dependencyLists.enqueueRead(j)
		return
	}
	cancelled := false
	for _, id := range j.Spec.DependsOn {
		state, ended := dg.leaderTerm.c.finalStates.Get(id)
		if ended && state.Phase == api.JobCancelled {
			cancelled = true
			continue
		}
		if ended && !state.EndedAt.IsZero() {
			j.RecordDependencyEnd(state.EndedAt)
			continue
		}
		dependency := dg.leaderTerm.jobs[id]
		if dependency == nil {
			if len(dg.dependents[id]) == 0 {
				dg.lookupQueue = append(dg.lookupQueue, id)
			}
		} else if dependency.CancelPending {
			cancelled = true
		}
		j.DependsOn[id] = true
		dg.dependents[id] = append(dg.dependents[id], j)
	}
	j.DropEndedDependencies()
	switch {
	case cancelled:
		dg.cancelWithDependents(j)
	case len(j.DependsOn) == 0:
		dg.enqueueReady(j)
	}
	dg.startLookup()
}

// enqueueReady adds a job to its team's queue once all its dependencies are done. The job's
// objectives count from the end of its last dependency or from the job's acceptance, whichever is
// later. For a dependency that this leader had in memory, the end is when this leader learned that it
// was recorded; for others, it is the end in the terminal record, which an earlier leader wrote.
func (dg *dependencyGraph) enqueueReady(j *cluster.Job) {
	now := time.Now()
	j.DependsOn, j.RunnableSince, j.WaitingSince = nil, j.AcceptedAt, now
	j.Spec.DependsOn = nil // frees the ids of ended dependencies, of which there may be thousands
	if j.LastDependencyEnd.After(j.RunnableSince) {
		j.RunnableSince = j.LastDependencyEnd
	}
	j.Objectives = dg.leaderTerm.computeObjectives(j)
	j.UpdateFeasibility(now)
	j.Team.Add(j)
	dg.leaderTerm.dispatchUntil = now.Add(dispatchWindow)
}

// jobDone removes a job from the dependencies of its dependents once its terminal record says that
// it is done, and enqueues the dependents that have no other dependency left.
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

// cancelWithDependents marks a pending job and all its direct and indirect dependents as cancelled,
// and queues their cancellations to be written to the store.
func (dg *dependencyGraph) cancelWithDependents(j *cluster.Job) {
	for stack := []*cluster.Job{j}; len(stack) > 0; {
		j, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if j.CancelPending || j.Ended {
			continue
		}
		j.CancelPending = true
		dg.pendingCancels = append(dg.pendingCancels, j)
		stack = append(stack, dg.dependents[j.Spec.ID]...)
	}
}

// removeDependent removes an ended job from the dependents of its dependencies.
func (dg *dependencyGraph) removeDependent(j *cluster.Job) {
	for id := range j.DependsOn {
		remaining := slices.DeleteFunc(dg.dependents[id], func(other *cluster.Job) bool { return other == j })
		if dg.dependents[id] = remaining; len(remaining) == 0 {
			delete(dg.dependents, id)
		}
	}
	j.DependsOn = nil
}

// propagateDeadlines propagates the deadlines and priorities of jobs to all their direct and
// indirect dependencies, so that these are ordered by the latest start with which their dependents
// still meet their deadlines. A job is always accepted after its dependencies. Visiting jobs in
// reverse order of acceptance therefore visits each once, after all its dependents. Dependencies
// whose deadline and priority do not change are not visited.
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
			if index, found := slices.BinarySearchFunc(todo, dependency, byModRevision); !found {
				todo = slices.Insert(todo, index, dependency)
			}
		}
	}
}

// propagateDeadline tightens the deadlines and the priority of a dependency to what its dependent j
// requires, and reports whether anything changed.
func (dg *dependencyGraph) propagateDeadline(j, dependency *cluster.Job) (changed bool) {
	if j.PriorityRank < dependency.PriorityRank {
		dependency.PriorityRank, changed = j.PriorityRank, true
	}
	deadlines := dg.effectiveDeadlines(j)
	if len(deadlines) == 0 {
		return changed
	}
	duration := dg.stageDuration(j)
	if len(dependency.DependentDeadlines) > 0 &&
		!deadlines[0].Add(-duration).Before(dependency.DependentDeadlines[0]) {
		return changed
	}
	dependency.DependentDeadlines = nil
	for _, deadline := range deadlines {
		dependency.DependentDeadlines = append(dependency.DependentDeadlines, deadline.Add(-duration))
	}
	dependency.Objectives = dg.leaderTerm.computeObjectives(dependency)
	dependency.UpdateFeasibility(time.Now())
	return true
}

// effectiveDeadlines returns the deadlines that a job has to meet, in ascending order: its own or
// those that its dependents require, whichever list starts earlier.
func (dg *dependencyGraph) effectiveDeadlines(j *cluster.Job) []time.Time {
	own := dg.leaderTerm.deadlineObjectives(j)
	if len(own) == 0 || len(j.DependentDeadlines) > 0 && j.DependentDeadlines[0].Before(own[0]) {
		return j.DependentDeadlines
	}
	return own
}

// stageDuration returns how long a job of a pipeline is expected to take, counted from the end of
// its last dependency. That includes the time until this end is recorded and the job's tasks are
// assigned, until the machine's next heartbeat delivers the start, and until the slowest machine
// type has fetched the image.
func (dg *dependencyGraph) stageDuration(j *cluster.Job) time.Duration {
	fetchS := 0.0
	for _, t := range dg.leaderTerm.c.machineTypes.load() {
		if t.FetchGBs > 0 {
			fetchS = max(fetchS, j.Spec.ImageGB/t.FetchGBs)
		}
	}
	heartbeatInterval := dg.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()
	return j.Spec.Estimate() + config.Duration(fetchS) + heartbeatInterval + expectedStageLag
}

// expectedStageLag is the approximate time from the end of a job until that end is recorded and the
// tasks of its dependents are assigned.
const expectedStageLag = time.Second

// startLookup reads the terminal records of all queued dependencies, unless a lookup is in flight.
// Reads that fail are repeated after lookupRetryInterval.
func (dg *dependencyGraph) startLookup() {
	if dg.lookupInFlight || len(dg.lookupQueue) == 0 {
		return
	}
	dg.lookupInFlight = true
	lt, ids := dg.leaderTerm, dg.lookupQueue
	dg.lookupQueue = nil
	go func() {
		recordStore := records.Records{Store: lt.c.Store}
		terminalRecords := map[string]records.TerminalRecord{}
		for unread := ids; lt.ctx.Err() == nil; sleep(lt.ctx, lookupRetryInterval) {
			found, err := recordStore.TerminalRecords(lt.ctx, unread)
			maps.Copy(terminalRecords, found)
			if err == nil {
				lt.sendToOwner(terminalRecordsReadMsg{leaderTerm: lt, ids: ids, terminalRecords: terminalRecords})
				return
			}
			unread = slices.DeleteFunc(slices.Clone(unread), func(id string) bool {
				_, ok := terminalRecords[id]
				return ok
			})
		}
	}()
}

// lookupRetryInterval is the time between two attempts to read terminal records.
const lookupRetryInterval = 300 * time.Millisecond

// undeliveredRetryDelay is the delay before another lookup of dependencies that are active in the
// store but that the watch has not delivered yet.
const undeliveredRetryDelay = time.Second

// terminalRecordsReadMsg carries the terminal records of the jobs that were looked up. Jobs that are
// still active have none.
type terminalRecordsReadMsg struct {
	leaderTerm      *leaderTerm
	ids             []string
	terminalRecords map[string]records.TerminalRecord
}

func (m terminalRecordsReadMsg) apply(c *Controller) {
	dg := &m.leaderTerm.dependencies
	if m.leaderTerm.hasEnded() {
		return
	}
	dg.lookupInFlight = false
	var undelivered []string
	for _, id := range m.ids {
		end, found := m.terminalRecords[id]
		switch {
		case found:
			dg.applyTerminalRecord(id, end)
		case m.leaderTerm.jobs[id] == nil && len(dg.dependents[id]) > 0:
			undelivered = append(undelivered, id)
		}
	}
	if len(undelivered) > 0 {
		// These jobs are active in the store, and the watch is about to deliver them.
		dg.scheduledRetries++
		retry := lookupRetryMsg{leaderTerm: m.leaderTerm, ids: undelivered}
		time.AfterFunc(undeliveredRetryDelay, func() { m.leaderTerm.sendToOwner(retry) })
	}
	dg.startLookup()
}

// applyTerminalRecord applies the terminal record of a job to its dependents.
func (dg *dependencyGraph) applyTerminalRecord(id string, end records.TerminalRecord) {
	finalStateMsg{end.JobState(id)}.apply(dg.leaderTerm.c)
	if end.Phase != api.JobDone {
		return
	}
	at := end.Ended
	if at.IsZero() {
		at = time.Now() // the record is of an earlier version, which stored no end time
	}
	dg.jobDone(id, at)
}

// lookupRetryMsg queues another lookup of those dependencies that the watch has still not delivered.
type lookupRetryMsg struct {
	leaderTerm *leaderTerm
	ids        []string
}

func (m lookupRetryMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	dg := &m.leaderTerm.dependencies
	dg.scheduledRetries--
	for _, id := range m.ids {
		if len(dg.dependents[id]) > 0 && m.leaderTerm.jobs[id] == nil {
			dg.lookupQueue = append(dg.lookupQueue, id)
		}
	}
	dg.startLookup()
}

// unresolved reports whether any dependency list or terminal record of a dependency is still to be
// read. Until then this leader cannot rule out that a job depends on a cancelled one.
func (dg *dependencyGraph) unresolved() bool {
	lists := &dg.leaderTerm.dependencyLists
	return dg.lookupInFlight || len(dg.lookupQueue) > 0 || dg.scheduledRetries > 0 ||
		lists.reading || len(lists.unread) > 0
}
