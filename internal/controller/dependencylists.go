package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// dependencyLists reads and deletes the records that list the dependencies of jobs whose active
// record is too small for them. Until its list is read, a job does not start.
type dependencyLists struct {
	leaderTerm *leaderTerm
	// unread are the jobs whose list is to be read, one at a time.
	unread  []*cluster.Job
	reading bool
}

const (
	// dependencyReadRetryInterval is how long after a failure a list is read again.
	dependencyReadRetryInterval = time.Second
	// dependencyReadTimeout bounds one read of a list or of a terminal record.
	dependencyReadTimeout = 4 * time.Second
	// sweepPause leaves the request budget to others.
	sweepPause = 200 * time.Millisecond
)

// enqueueRead queues a job's list to be read.
func (dl *dependencyLists) enqueueRead(j *cluster.Job) {
	dl.unread = append(dl.unread, j)
	dl.readNext()
}

// readNext starts to read the first list of the queue, unless another is being read.
func (dl *dependencyLists) readNext() {
	dl.unread = slices.DeleteFunc(dl.unread, func(j *cluster.Job) bool { return j.Ended })
	if dl.reading || len(dl.unread) == 0 {
		return
	}
	dl.reading = true
	lt, j := dl.leaderTerm, dl.unread[0]
	dl.unread = dl.unread[1:]
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

// dependencyListReadMsg has the dependencies of a job that its list names.
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
	dl := &m.leaderTerm.dependencyLists
	dl.reading = false
	switch {
	case m.job.Ended:
	case m.err != nil:
		dl.unread = append(dl.unread, m.job)
	default:
		m.job.Spec.DependsOn, m.job.DependenciesRead = m.ids, true
		m.leaderTerm.dependencies.resolveDependencies(m.job)
		m.leaderTerm.dependencies.propagateDeadlines(m.job)
	}
	dl.readNext()
}

// deleteList deletes the list of a job that has ended.
func (dl *dependencyLists) deleteList(j *cluster.Job) {
	if j.DependencyList == nil {
		return
	}
	for _, key := range j.DependencyList.Keys(j.Spec.ID) {
		dl.leaderTerm.recordWriter.DeleteKey(key)
	}
}

// sweep finds, once a term, the records of lists that earlier leaders, or submissions that were
// not completed, have left behind.
func (dl *dependencyLists) sweep() {
	keysByJob := dl.readKeysByJob()
	recordStore := records.Records{Store: dl.leaderTerm.c.Store}
	for id, jobKeys := range keysByJob {
		ctx, cancel := context.WithTimeout(dl.leaderTerm.ctx, dependencyReadTimeout)
		_, ended, err := recordStore.TerminalState(ctx, id)
		cancel()
		if err != nil {
			continue // the next term's sweep finds it
		}
		dl.leaderTerm.sendToOwner(listKeysFoundMsg{
			leaderTerm: dl.leaderTerm,
			id:         id,
			keys:       jobKeys,
			ended:      ended,
		})
		sleep(dl.leaderTerm.ctx, sweepPause)
	}
}

// readKeysByJob are the keys of all records of lists, by job.
func (dl *dependencyLists) readKeysByJob() map[string][]string {
	for dl.leaderTerm.ctx.Err() == nil {
		keys := map[string][]string{}
		recordStore := records.Records{Store: dl.leaderTerm.c.Store}
		err := recordStore.ForEachKey(dl.leaderTerm.ctx, records.DependencyPrefix, func(key string) {
			if id, _, ok := records.ParseDependencyKey(key); ok {
				keys[id] = append(keys[id], key)
			}
		})
		if err == nil {
			return keys
		}
		sleep(dl.leaderTerm.ctx, dependencyReadRetryInterval)
	}
	return nil
}

// listKeysFoundMsg has the keys of records of lists for one job id, and whether that job has ended.
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
		// Of a job that is accepted only its own list is of use. One that is not may be about
		// to be accepted, unless it has ended.
		if m.ended || j != nil && (j.DependencyList == nil || j.DependencyList.Digest != digest) {
			m.leaderTerm.recordWriter.DeleteKey(key)
		}
	}
}
