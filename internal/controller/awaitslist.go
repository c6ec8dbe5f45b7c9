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
	leadership *leadership
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
	l.unread = slices.DeleteFunc(l.unread, func(j *job) bool { return j.over })
	if l.reading || len(l.unread) == 0 {
		return
	}
	l.reading = true
	r, j := l.leadership, l.unread[0]
	l.unread = l.unread[1:]
	id, list := j.spec.ID, j.awaitsList
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
		ids, err := (&store.Records{Store: r.c.Store}).ReadAwaits(ctx, id, list)
		cancel()
		if err != nil {
			r.c.Log.Debug("awaited jobs not read", "job", id, "err", err)
			pause(r.ctx, listRetry)
		}
		r.post(listReadMsg{r, j, ids, err})
	}()
}

// listReadMsg brings a job's awaited jobs.
type listReadMsg struct {
	leadership *leadership
	job        *job
	ids        []string
	err        error
}

func (m listReadMsg) apply(c *Controller) {
	if c.leadership != m.leadership {
		return
	}
	l := &m.leadership.awaitsLists
	l.reading = false
	switch {
	case m.job.over:
	case m.err != nil:
		l.unread = append(l.unread, m.job)
	default:
		m.job.spec.Awaits, m.job.awaitsRead = m.ids, true
		m.leadership.pipeline.awaitJobs(m.job)
		m.leadership.pipeline.propagateDeadlines(m.job)
	}
	l.readNext()
}

// drop removes the list of a job that is over.
func (l *awaitsLists) drop(j *job) {
	if j.awaitsList == nil {
		return
	}
	for _, key := range j.awaitsList.Keys(j.spec.ID) {
		l.leadership.recorder.drop(key)
	}
}

// sweep looks, once a term, for what earlier leaders, or submissions that did not
// come to their end, have left of lists.
func (l *awaitsLists) sweep() {
	keys := l.leftKeys()
	records := store.Records{Store: l.leadership.c.Store}
	for id, of := range keys {
		ctx, cancel := context.WithTimeout(l.leadership.ctx, 4*time.Second)
		_, over, err := records.Final(ctx, id)
		cancel()
		if err != nil {
			continue // the next term's sweep finds it
		}
		l.leadership.post(listFoundMsg{l.leadership, id, of, over})
		pause(l.leadership.ctx, sweepPause)
	}
}

// sweepPause leaves the request budget to others.
const sweepPause = 200 * time.Millisecond

// leftKeys are the keys of all records of lists, by job.
func (l *awaitsLists) leftKeys() map[string][]string {
	for l.leadership.ctx.Err() == nil {
		keys := map[string][]string{}
		records := store.Records{Store: l.leadership.c.Store}
		err := records.EachKey(l.leadership.ctx, store.AwaitsPrefix, func(key string) {
			if id, _, ok := store.ParseAwaitsKey(key); ok {
				keys[id] = append(keys[id], key)
			}
		})
		if err == nil {
			return keys
		}
		pause(l.leadership.ctx, listRetry)
	}
	return nil
}

// listFoundMsg tells of records in a job's name, and whether the job is over.
type listFoundMsg struct {
	leadership *leadership
	id         string
	keys       []string
	over       bool
}

func (m listFoundMsg) apply(c *Controller) {
	if c.leadership != m.leadership {
		return
	}
	j := m.leadership.jobs[m.id]
	for _, key := range m.keys {
		_, digest, _ := store.ParseAwaitsKey(key)
		// Of a job that is accepted only its own list is of use. One that is not
		// may be about to be accepted, unless it is over.
		if m.over || j != nil && (j.awaitsList == nil || j.awaitsList.Digest != digest) {
			m.leadership.recorder.drop(key)
		}
	}
}
