package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/records"
)

// dependencyLists reads and removes the records that list the awaited jobs of those
// whose active record has no room for them. Until a list is read its job waits.
type dependencyLists struct {
	leaderTerm *leaderTerm
	// unread are the jobs whose list is to be read, one at a time.
	unread  []*job
	reading bool
}

// dependencyReadRetry is how long after a failure a list is read again.
const dependencyReadRetry = time.Second

func (dl *dependencyLists) read(j *job) {
	dl.unread = append(dl.unread, j)
	dl.readNext()
}

func (dl *dependencyLists) readNext() {
	dl.unread = slices.DeleteFunc(dl.unread, func(j *job) bool { return j.ended })
	if dl.reading || len(dl.unread) == 0 {
		return
	}
	dl.reading = true
	lt, j := dl.leaderTerm, dl.unread[0]
	dl.unread = dl.unread[1:]
	id, list := j.spec.ID, j.dependencyList
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 4*time.Second)
		ids, err := (&records.Records{Store: lt.c.Store}).ReadDependencies(ctx, id, list)
		cancel()
		if err != nil {
			lt.c.Log.Debug("awaited jobs not read", "job", id, "err", err)
			sleep(lt.ctx, dependencyReadRetry)
		}
		lt.sendToOwner(dependencyListReadMsg{lt, j, ids, err})
	}()
}

// dependencyListReadMsg brings a job's awaited jobs.
type dependencyListReadMsg struct {
	leaderTerm *leaderTerm
	job        *job
	ids        []string
	err        error
}

func (m dependencyListReadMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	dl := &m.leaderTerm.dependencyLists
	dl.reading = false
	switch {
	case m.job.ended:
	case m.err != nil:
		dl.unread = append(dl.unread, m.job)
	default:
		m.job.spec.DependsOn, m.job.dependenciesRead = m.ids, true
		m.leaderTerm.dependencies.resolveDependencies(m.job)
		m.leaderTerm.dependencies.propagateDeadlines(m.job)
	}
	dl.readNext()
}

// drop removes the list of a job that is over.
func (dl *dependencyLists) drop(j *job) {
	if j.dependencyList == nil {
		return
	}
	for _, key := range j.dependencyList.Keys(j.spec.ID) {
		dl.leaderTerm.recordWriter.deleteKey(key)
	}
}

// sweep looks, once a term, for what earlier leaders, or submissions that did not
// come to their end, have left of lists.
func (dl *dependencyLists) sweep() {
	keysByJob := dl.listedKeys()
	recordStore := records.Records{Store: dl.leaderTerm.c.Store}
	for id, jobKeys := range keysByJob {
		ctx, cancel := context.WithTimeout(dl.leaderTerm.ctx, 4*time.Second)
		_, ended, err := recordStore.TerminalState(ctx, id)
		cancel()
		if err != nil {
			continue // the next term's sweep finds it
		}
		dl.leaderTerm.sendToOwner(leftoverListMsg{dl.leaderTerm, id, jobKeys, ended})
		sleep(dl.leaderTerm.ctx, sweepPause)
	}
}

// sweepPause leaves the request budget to others.
const sweepPause = 200 * time.Millisecond

// listedKeys are the keys of all records of lists, by job.
func (dl *dependencyLists) listedKeys() map[string][]string {
	for dl.leaderTerm.ctx.Err() == nil {
		keys := map[string][]string{}
		recordStore := records.Records{Store: dl.leaderTerm.c.Store}
		err := recordStore.EachKey(dl.leaderTerm.ctx, records.DependencyPrefix, func(key string) {
			if id, _, ok := records.ParseDependencyKey(key); ok {
				keys[id] = append(keys[id], key)
			}
		})
		if err == nil {
			return keys
		}
		sleep(dl.leaderTerm.ctx, dependencyReadRetry)
	}
	return nil
}

// leftoverListMsg tells of records in a job's name, and whether the job is over.
type leftoverListMsg struct {
	leaderTerm *leaderTerm
	id         string
	keys       []string
	ended      bool
}

func (m leftoverListMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	j := m.leaderTerm.jobs[m.id]
	for _, key := range m.keys {
		_, digest, _ := records.ParseDependencyKey(key)
		// Of a job that is accepted only its own list is of use. One that is not
		// may be about to be accepted, unless it is over.
		if m.ended || j != nil && (j.dependencyList == nil || j.dependencyList.Digest != digest) {
			m.leaderTerm.recordWriter.deleteKey(key)
		}
	}
}
