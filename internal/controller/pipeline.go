package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/store"
)

// A job may await others: none of its tasks starts before they are done, on
// record. Until then it is in no queue, and so holds no part of a limit or
// guarantee and rents nothing. When one of them is cancelled it is cancelled, too.
//
// The cancellation that a user is told is one guarded transaction; what follows
// from it is derived. A leader, or the next, takes from the records which jobs
// await a cancelled one and cancels them in steps, each of which leaves nothing
// that the next could not be found from. While nobody leads, whoever reads such a
// job's record does the same with it (store.Records).
type pipeline struct {
	r *reign
	// dependents are the jobs that wait, by what they wait for.
	dependents map[string][]*job
	// pendingCancels are the jobs that are to be cancelled on record.
	pendingCancels []*job
	limiter        *rate.Limiter
	// lookups are awaited jobs that are not active: how they ended is to be read,
	// one at a time.
	lookups   []string
	lookingUp bool
}

func (p *pipeline) init(r *reign) {
	lim := r.c.Settings.Site.State
	cancels := lim.WriteRPS * cancelShare
	*p = pipeline{r: r, dependents: map[string][]*job{}, limiter: rate.NewLimiter(rate.Limit(cancels), max(cancelOps, min(lim.TxnOps, int(cancels))))}
}

// awaitJobs has a job wait for those that it needs.
func (p *pipeline) awaitJobs(j *job) {
	j.awaits = map[string]bool{}
	pending := false
	for _, id := range j.spec.Awaits {
		if st, ok := p.r.c.final.Get(id); ok {
			pending = pending || st.Phase == api.JobWithdrawn
			continue
		}
		o := p.r.jobs[id]
		if o == nil {
			if len(p.dependents[id]) == 0 {
				p.lookups = append(p.lookups, id)
			}
		} else if o.cancelPending {
			pending = true
		}
		j.awaits[id] = true
		p.dependents[id] = append(p.dependents[id], j)
	}
	switch {
	case pending:
		p.cancelWithDependents(j)
	case len(j.awaits) == 0:
		p.ready(j, j.accepted)
	}
	p.lookupNext()
}

// ready takes in that all that a job needs is done, and since when it could run.
func (p *pipeline) ready(j *job, since time.Time) {
	now := time.Now()
	j.awaits, j.since, j.waiting = nil, since, now
	j.aims = p.r.aims(j)
	j.look(now)
	j.team.Add(j)
	p.r.dispatchUntil = now.Add(dispatchFor)
}

// done takes in that a job is done on record.
func (p *pipeline) done(id string, now time.Time) {
	dependents := p.dependents[id]
	delete(p.dependents, id)
	for _, j := range dependents {
		if delete(j.awaits, id); len(j.awaits) == 0 && !j.cancelPending && !j.over {
			p.ready(j, now)
		}
	}
}

// cancelled takes in that a job is cancelled, and with it all that need it.
func (p *pipeline) cancelled(id string) {
	dependents := p.dependents[id]
	delete(p.dependents, id)
	for _, j := range dependents {
		p.cancelWithDependents(j)
	}
}

// cancelWithDependents has a job that waits cancelled on record, and all that need it.
func (p *pipeline) cancelWithDependents(j *job) {
	for todo := []*job{j}; len(todo) > 0; {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if j.cancelPending || j.over {
			continue
		}
		j.cancelPending = true
		p.pendingCancels = append(p.pendingCancels, j)
		todo = append(todo, p.dependents[j.spec.ID]...)
	}
}

// forget takes a job that is over out of the index of what it waited for.
func (p *pipeline) forget(j *job) {
	for id := range j.awaits {
		left := slices.DeleteFunc(p.dependents[id], func(o *job) bool { return o == j })
		if p.dependents[id] = left; len(left) == 0 {
			delete(p.dependents, id)
		}
	}
	j.awaits = nil
}

// cancelShare is the part of the write rate that derived cancellations have to
// themselves:
// with small transactions the ends of other jobs would take every turn, and their
// users wait. Users' own cancellations leave it to them.
const cancelShare = 0.4

// cancelOps is what the cancellation of one job takes. The cancel key need not
// change: nothing of these jobs runs, and this leader knows.
const cancelOps = 2

// add writes pending cancellations in a batch of their own, if the write rate allows.
func (p *pipeline) add(b *batch, now time.Time) {
	p.pendingCancels = slices.DeleteFunc(p.pendingCancels, func(j *job) bool { return j.over })
	w := &p.r.recorder
	allowed := min(w.maxOps, int(p.limiter.TokensAt(now)))
	if len(p.pendingCancels) == 0 || allowed < cancelOps {
		return
	}
	n := 0
	for n < len(p.pendingCancels) && len(b.txn.Ops)+cancelOps <= allowed && b.bytes < w.maxBytes {
		j := p.pendingCancels[n]
		active := store.ActivePrefix + j.spec.ID
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: active, Mark: j.mark})
		b.put(store.FinalPrefix+j.spec.ID, store.FinalRecord{Phase: api.JobWithdrawn, Tasks: j.spec.Tasks})
		b.delete(active)
		j.ending = true
		n++
	}
	b.derivedCancels = slices.Clone(p.pendingCancels[:n])
	p.pendingCancels = p.pendingCancels[n:]
	p.limiter.AllowN(now, len(b.txn.Ops))
}

// propagateDeadlines passes the deadlines and priorities of jobs on to all that they need: those
// are ordered by the latest time to begin that lets what follows be in time. A job
// was accepted after all that it needs, so going back in the order of acceptance
// each is looked at once, after all that need it; and only where anything changes.
func (p *pipeline) propagateDeadlines(jobs ...*job) {
	byMark := func(a, b *job) int { return cmp.Compare(a.mark, b.mark) }
	todo := slices.Clone(jobs)
	slices.SortFunc(todo, byMark)
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, id := range j.spec.Awaits {
			o := p.r.jobs[id]
			if o == nil || o.finishing || !p.propagateDeadline(j, o) || len(o.spec.Awaits) == 0 {
				continue
			}
			if at, found := slices.BinarySearchFunc(todo, o, byMark); !found {
				todo = slices.Insert(todo, at, o)
			}
		}
	}
}

// propagateDeadline has a job be done in time for one that needs it, and tells whether that
// changed anything.
func (p *pipeline) propagateDeadline(j, o *job) (changed bool) {
	if j.rank < o.rank {
		o.rank, changed = j.rank, true
	}
	due := p.due(j)
	if len(due) == 0 {
		return changed
	}
	takes := p.stageDuration(j)
	if len(o.due) > 0 && !due[0].Add(-takes).Before(o.due[0]) {
		return changed
	}
	o.due = nil
	for _, at := range due {
		o.due = append(o.due, at.Add(-takes))
	}
	o.aims = p.r.aims(o)
	o.look(time.Now())
	return true
}

// due are the times by which a job should be complete for the deadlines of its
// pipeline, the strictest first.
func (p *pipeline) due(j *job) []time.Time {
	own := p.r.deadlines(j)
	if len(own) == 0 || len(j.due) > 0 && j.due[0].Before(own[0]) {
		return j.due
	}
	return own
}

// stageDuration is how long a stage is expected to take from the end of the one before
// it: until that is on record, the machine has been told and has the image.
func (p *pipeline) stageDuration(j *job) time.Duration {
	fetch := 0.0
	for _, t := range p.r.c.types.load() {
		if t.FetchGBs > 0 {
			fetch = max(fetch, j.spec.ImageGB/t.FetchGBs)
		}
	}
	return j.spec.Estimate() + config.Seconds(fetch) + p.r.c.Settings.Site.Workers.Report() + stageLag
}

// stageLag is about how long it takes until a job's end is on record and those that
// follow are handed out.
const stageLag = time.Second

// lookupNext reads how an awaited job ended that is not active.
func (p *pipeline) lookupNext() {
	if p.lookingUp || len(p.lookups) == 0 {
		return
	}
	p.lookingUp = true
	r, id := p.r, p.lookups[0]
	p.lookups = p.lookups[1:]
	go func() {
		records := store.Records{Store: r.c.Store}
		for r.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
			st, found, err := records.Final(ctx, id)
			cancel()
			if err == nil {
				r.post(endLookedUpMsg{r, id, st, found})
				return
			}
			pause(r.ctx, 300*time.Millisecond)
		}
	}()
}

type endLookedUpMsg struct {
	r     *reign
	id    string
	st    api.JobState
	found bool
}

func (m endLookedUpMsg) apply(c *Controller) {
	p := &m.r.pipeline
	if c.reign != m.r {
		return
	}
	p.lookingUp = false
	switch {
	case m.found:
		finalMsg{m.st}.apply(c)
		if m.st.Phase == api.JobDone {
			p.done(m.id, time.Now())
		}
	case m.r.jobs[m.id] == nil && len(p.dependents[m.id]) > 0:
		// Active, and not known here yet: the watch will tell.
		time.AfterFunc(time.Second, func() { m.r.post(lookupAgainMsg{m.r, m.id}) })
	}
	p.lookupNext()
}

// lookupAgainMsg asks once more about a job that was not known.
type lookupAgainMsg struct {
	r  *reign
	id string
}

func (m lookupAgainMsg) apply(c *Controller) {
	if p := &m.r.pipeline; c.reign == m.r && len(p.dependents[m.id]) > 0 && m.r.jobs[m.id] == nil {
		p.lookups = append(p.lookups, m.id)
		p.lookupNext()
	}
}

// waitsFor lists what a job waits for, for its user.
func (j *job) waitsFor() []string {
	var ids []string
	for _, id := range j.spec.Awaits {
		if j.awaits[id] && len(ids) < mostShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// mostShown bounds the names in an answer.
const mostShown = 16
