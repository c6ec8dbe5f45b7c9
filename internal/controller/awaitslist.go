package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/store"
)

// awaitsLists reads and removes the records that list the awaited jobs of those
// whose active record has no room for them. Until a list is read its job waits.
type awaitsLists struct {
	leaderTerm *leaderTerm
	// unread are the jobs whose list is to be read, one at a time.
	unread  []*job
	reading bool
}

// listRetry is how long after a failure a list is read again.
const listRetry = time.Second

func (l *awaitsLists) read(j *job) {
	l.unread = append(l.unread, j)
	l.readNext()
}

func (l *awaitsLists) readNext() {
	l.unread = slices.DeleteFunc(l.unread, func(j *job) bool { return j.ended })
	if l.reading || len(l.unread) == 0 {
		return
	}
	l.reading = true
	lt, j := l.leaderTerm, l.unread[0]
	l.unread = l.unread[1:]
	id, list := j.spec.ID, j.awaitsList
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 4*time.Second)
		ids, err := (&store.Records{Store: lt.c.Store}).ReadAwaits(ctx, id, list)
		cancel()
		if err != nil {
			lt.c.Log.Debug("awaited jobs not read", "job", id, "err", err)
			sleep(lt.ctx, listRetry)
		}
		lt.sendToOwner(listReadMsg{lt, j, ids, err})
	}()
}

// listReadMsg brings a job's awaited jobs.
type listReadMsg struct {
	leaderTerm *leaderTerm
	job        *job
	ids        []string
	err        error
}

func (m listReadMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	l := &m.leaderTerm.awaitsLists
	l.reading = false
	switch {
	case m.job.ended:
	case m.err != nil:
		l.unread = append(l.unread, m.job)
	default:
		m.job.spec.Awaits, m.job.awaitsRead = m.ids, true
		m.leaderTerm.pipeline.awaitJobs(m.job)
		m.leaderTerm.pipeline.propagateDeadlines(m.job)
	}
	l.readNext()
}

// drop removes the list of a job that is over.
func (l *awaitsLists) drop(j *job) {
	if j.awaitsList == nil {
		return
	}
	for _, key := range j.awaitsList.Keys(j.spec.ID) {
		l.leaderTerm.recorder.drop(key)
	}
}

// sweep looks, once a term, for what earlier leaders, or submissions that did not
// come to their end, have left of lists.
func (l *awaitsLists) sweep() {
	keys := l.leftKeys()
	records := store.Records{Store: l.leaderTerm.c.Store}
	for id, of := range keys {
		ctx, cancel := context.WithTimeout(l.leaderTerm.ctx, 4*time.Second)
		_, over, err := records.Final(ctx, id)
		cancel()
		if err != nil {
			continue // the next term's sweep finds it
		}
		l.leaderTerm.sendToOwner(listFoundMsg{l.leaderTerm, id, of, over})
		sleep(l.leaderTerm.ctx, sweepPause)
	}
}

// sweepPause leaves the request budget to others.
const sweepPause = 200 * time.Millisecond

// leftKeys are the keys of all records of lists, by job.
func (l *awaitsLists) leftKeys() map[string][]string {
	for l.leaderTerm.ctx.Err() == nil {
		keys := map[string][]string{}
		records := store.Records{Store: l.leaderTerm.c.Store}
		err := records.EachKey(l.leaderTerm.ctx, store.AwaitsPrefix, func(key string) {
			if id, _, ok := store.ParseAwaitsKey(key); ok {
				keys[id] = append(keys[id], key)
			}
		})
		if err == nil {
			return keys
		}
		sleep(l.leaderTerm.ctx, listRetry)
	}
	return nil
}

// listFoundMsg tells of records in a job's name, and whether the job is over.
type listFoundMsg struct {
	leaderTerm *leaderTerm
	id         string
	keys       []string
	over       bool
}

func (m listFoundMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	j := m.leaderTerm.jobs[m.id]
	for _, key := range m.keys {
		_, digest, _ := store.ParseAwaitsKey(key)
		// Of a job that is accepted only its own list is of use. One that is not
		// may be about to be accepted, unless it is over.
		if m.over || j != nil && (j.awaitsList == nil || j.awaitsList.Digest != digest) {
			m.leaderTerm.recorder.drop(key)
		}
	}
}
