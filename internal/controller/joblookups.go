package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// jobLookups reads jobs from the store for users' requests. Only a few lookups run at a time; the
// others wait in a queue.
//
// A lookup takes two reads if its job has ended. Without the queue, the first reads of many lookups
// would use up the users' request rate and the time of all of them, none would come to its second
// read, and all would begin again when their users poll again. So a lookup that has begun is
// completed even if the requests that wait for it have timed out: if the job has ended, the next
// poll is answered from memory. A lookup that has not begun is dropped once they have timed out. The
// job whose polls have failed for longest is read first, else the newest: under overload each user is
// answered in turn, and reads are made for requests that still wait.
type jobLookups struct {
	controller *Controller
	// byJob holds the lookups that are queued or running.
	byJob map[string]*sharedLookup
	// queue lists the jobs whose lookups are yet to be started, oldest first.
	queue   []string
	running int
	counts  lookupCounts
}

// lookupCounts are statistics of the lookups since the process began.
type lookupCounts struct {
	// completed and failed are lookups that ran, dropped are those that were not started in time.
	completed, failed, dropped int64
}

const (
	// maxConcurrentLookups leaves a third of the connections to the store to other requests.
	maxConcurrentLookups = 8
	// maxQueuedLookups exceeds the number of requests of users and nodes in flight.
	maxQueuedLookups = 512
	// lookupTimeout limits one lookup. It is longer than a request waits, see jobLookups.
	lookupTimeout = 2 * time.Second
)

// sharedLookup is the lookup of one job. Requests that arrive while it is queued share it. Those that
// arrive while it runs wait in next for another one: its reads may have begun before they arrived,
// and another node may have reported a later state since.
type sharedLookup struct {
	running       bool
	current, next []lookupMsg
}

// lookup reads a job's records. Polls of the job have failed since failingSince, or the last one was answered
// if that is zero.
func (c *Controller) lookup(ctx context.Context, id string, failingSince time.Time) (records.JobRecord, error) {
	m := lookupMsg{id: id, failingSince: failingSince, reply: make(chan lookupReply, 1)}
	m.deadline, _ = ctx.Deadline()
	reply, err := request(ctx, c, m, m.reply)
	if err != nil {
		return records.JobRecord{}, err
	}
	if reply.err == nil && reply.record.Status == records.Absent {
		return reply.record, api.ErrUnknownJob
	}
	return reply.record, reply.err
}

// lookupMsg requests a job's records.
type lookupMsg struct {
	id string
	// deadline is when the request times out, or zero if it does not.
	deadline     time.Time
	failingSince time.Time
	reply        chan lookupReply
}

// lookupReply is the result of a lookup.
type lookupReply struct {
	record records.JobRecord
	err    error
}

func (m lookupMsg) apply(c *Controller) { c.lookups.add(m) }

// hasTimedOut reports whether nobody waits for the reply any more.
func (m lookupMsg) hasTimedOut(now time.Time) bool {
	return !m.deadline.IsZero() && !now.Before(m.deadline)
}

// add adds a request to the lookup of its job, or queues a new lookup.
func (q *jobLookups) add(m lookupMsg) {
	lookup := q.byJob[m.id]
	switch {
	case lookup == nil:
		q.byJob[m.id] = &sharedLookup{current: []lookupMsg{m}}
		q.enqueue(m.id)
	case lookup.running:
		lookup.next = append(lookup.next, m)
	default:
		lookup.current = append(lookup.current, m)
	}
}

// enqueue queues the lookup of a job, and starts it if possible. If the queue is full of lookups for
// which requests wait, it drops the oldest.
func (q *jobLookups) enqueue(id string) {
	if len(q.queue) >= maxQueuedLookups {
		q.dropTimedOut(time.Now())
	}
	if len(q.queue) >= maxQueuedLookups {
		q.drop(q.queue[0])
		q.queue = slices.Delete(q.queue, 0, 1)
	}
	q.queue = append(q.queue, id)
	q.startNext()
}

// drop fails a lookup that was not started.
func (q *jobLookups) drop(id string) {
	for _, m := range q.byJob[id].current {
		m.reply <- lookupReply{err: api.ErrUnavailable}
	}
	delete(q.byJob, id)
	q.counts.dropped++
}

// startNext starts queued lookups, as many as may run at a time.
func (q *jobLookups) startNext() {
	if q.running >= maxConcurrentLookups {
		return
	}
	q.dropTimedOut(time.Now())
	for q.running < maxConcurrentLookups && len(q.queue) > 0 {
		i := q.mostUrgent()
		id := q.queue[i]
		q.queue = slices.Delete(q.queue, i, i+1)
		q.byJob[id].running = true
		q.running++
		go q.read(id)
	}
}

// dropTimedOut drops the queued lookups for which no request waits any more.
func (q *jobLookups) dropTimedOut(now time.Time) {
	q.queue = slices.DeleteFunc(q.queue, func(id string) bool {
		if slices.ContainsFunc(q.byJob[id].current, func(m lookupMsg) bool { return !m.hasTimedOut(now) }) {
			return false
		}
		q.drop(id)
		return true
	})
}

// mostUrgent returns the index in the queue of the job whose polls have failed for longest or, if there
// is none, of the newest lookup.
func (q *jobLookups) mostUrgent() int {
	urgent, longest := len(q.queue)-1, time.Time{}
	for i, id := range q.queue {
		since := q.byJob[id].failingSince()
		if !since.IsZero() && (longest.IsZero() || since.Before(longest)) {
			urgent, longest = i, since
		}
	}
	return urgent
}

// failingSince returns since when polls of the job have failed, or the zero time.
func (l *sharedLookup) failingSince() time.Time {
	var since time.Time
	for _, m := range l.current {
		if !m.failingSince.IsZero() && (since.IsZero() || m.failingSince.Before(since)) {
			since = m.failingSince
		}
	}
	return since
}

// read reads a job from the store.
func (q *jobLookups) read(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	var reply lookupReply
	reply.record, reply.err = q.controller.records.Lookup(ctx, id)
	q.controller.sendOrDrop(context.Background(), lookupDoneMsg{id, reply})
}

// lookupDoneMsg carries the result of a lookup to the requests that wait for it.
type lookupDoneMsg struct {
	id    string
	reply lookupReply
}

func (m lookupDoneMsg) apply(c *Controller) {
	if m.reply.err == nil && m.reply.record.Status == records.Ended {
		finalStateMsg{m.reply.record.Final}.apply(c)
	}
	c.lookups.finish(m.id, m.reply)
}

// finish replies to the requests of a lookup, and queues another one for those that arrived while it
// ran.
func (q *jobLookups) finish(id string, reply lookupReply) {
	if reply.err == nil {
		q.counts.completed++
	} else {
		q.counts.failed++
	}
	lookup := q.byJob[id]
	for _, m := range lookup.current {
		m.reply <- reply
	}
	q.running--
	if len(lookup.next) == 0 {
		delete(q.byJob, id)
		q.startNext()
		return
	}
	lookup.running, lookup.current, lookup.next = false, lookup.next, nil
	q.enqueue(id)
}
