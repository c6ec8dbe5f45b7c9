package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// dependencyLists reads and deletes dependency lists. A job whose dependencies do not fit into its
// active record has them listed in separate records. The job does not start before they are read.
type dependencyLists struct {
	leaderTerm *leaderTerm
	// unread are the jobs whose lists are still to be read. One list is read at a time.
	unread  []*cluster.Job
	reading bool
}

const (
	// dependencyReadRetryInterval is the delay before a failed read of a list is repeated.
	dependencyReadRetryInterval = time.Second
	// dependencyReadTimeout limits one read of a list, or of a terminal record during the sweep.
	dependencyReadTimeout = 4 * time.Second
	// sweepPause is the delay between two jobs of a sweep. It leaves the budget of requests to the
	// store to other work.
	sweepPause = 200 * time.Millisecond
)

// enqueueRead queues a job for the read of its list.
func (lists *dependencyLists) enqueueRead(j *cluster.Job) {
	lists.unread = append(lists.unread, j)
	lists.readNext()
}

// readNext starts reading the first list of the queue, unless another read is in flight.
func (lists *dependencyLists) readNext() {
	lists.unread = slices.DeleteFunc(lists.unread, func(j *cluster.Job) bool { return j.Ended })
	if lists.reading || len(lists.unread) == 0 {
		return
	}
	lists.reading = true
	lt, j := lists.leaderTerm, lists.unread[0]
	lists.unread = lists.unread[1:]
	id, list := j.Spec.ID, j.DependencyList
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, dependencyReadTimeout)
		ids, err := (&records.Records{Store: lt.c.Store}).ReadDependencies(ctx, id, list)
		cancel()
		if err != nil {
			lt.c.Log.Debug("dependency list not read", "job", id, "err", err)
			sleep(lt.ctx, dependencyReadRetryInterval)
		}
		lt.sendToOwner(dependencyListReadMsg{leaderTerm: lt, job: j, ids: ids, err: err})
	}()
}

// dependencyListReadMsg carries the ids read from a job's dependency list, or the error of the read.
type dependencyListReadMsg struct {
	leaderTerm *leaderTerm
	job        *cluster.Job
	ids        []string
	err        error
}

func (m dependencyListReadMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	lists := &m.leaderTerm.dependencyLists
	lists.reading = false
	switch {
	case m.job.Ended:
	case m.err != nil:
		lists.unread = append(lists.unread, m.job)
	default:
		m.job.Spec.DependsOn, m.job.DependenciesRead = m.ids, true
		m.leaderTerm.dependencies.resolveDependencies(m.job)
		m.leaderTerm.dependencies.propagateDeadlines(m.job)
	}
	lists.readNext()
}

// deleteList deletes the records of an ended job's list, if it has one.
func (lists *dependencyLists) deleteList(j *cluster.Job) {
	if j.DependencyList == nil {
		return
	}
	for _, key := range j.DependencyList.Keys(j.Spec.ID) {
		lists.leaderTerm.recordWriter.DeleteKey(key)
	}
}

// sweep runs once per term. It finds the list records in the store, and has those deleted that an
// earlier leader did not delete, or that an incomplete submission left behind if the job has ended or
// was accepted with other dependencies.
func (lists *dependencyLists) sweep() {
	keysByJob := lists.readKeysByJob()
	recordStore := records.Records{Store: lists.leaderTerm.c.Store}
	for id, jobKeys := range keysByJob {
		ctx, cancel := context.WithTimeout(lists.leaderTerm.ctx, dependencyReadTimeout)
		_, ended, err := recordStore.TerminalState(ctx, id)
		cancel()
		if err != nil {
			continue // left to the sweep of the next term
		}
		lists.leaderTerm.sendToOwner(listKeysFoundMsg{
			leaderTerm: lists.leaderTerm,
			id:         id,
			keys:       jobKeys,
			ended:      ended,
		})
		sleep(lists.leaderTerm.ctx, sweepPause)
	}
}

// readKeysByJob reads the keys of all list records and groups them by job id. It retries until the
// read succeeds; if the term ends before, it returns nil.
func (lists *dependencyLists) readKeysByJob() map[string][]string {
	for lists.leaderTerm.ctx.Err() == nil {
		keys := map[string][]string{}
		recordStore := records.Records{Store: lists.leaderTerm.c.Store}
		err := recordStore.ForEachKey(lists.leaderTerm.ctx, records.DependencyPrefix, func(key string) {
			if id, _, ok := records.ParseDependencyKey(key); ok {
				keys[id] = append(keys[id], key)
			}
		})
		if err == nil {
			return keys
		}
		sleep(lists.leaderTerm.ctx, dependencyReadRetryInterval)
	}
	return nil
}

// listKeysFoundMsg carries the keys of the list records that a sweep found for a job id, and whether
// that job has ended.
type listKeysFoundMsg struct {
	leaderTerm *leaderTerm
	id         string
	keys       []string
	ended      bool
}

func (m listKeysFoundMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	j := m.leaderTerm.jobs[m.id]
	for _, key := range m.keys {
		_, digest, _ := records.ParseDependencyKey(key)
		// Records are kept if they belong to the list that the active record names, or if the job
		// is neither active nor ended: its submission may be about to complete.
		if m.ended || j != nil && (j.DependencyList == nil || j.DependencyList.Digest != digest) {
			m.leaderTerm.recordWriter.DeleteKey(key)
		}
	}
}
