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
	r *leadership
	// needers are the jobs that wait, by what they wait for.
	needers map[string][]*job
	// doomed are the jobs that are to be cancelled on record.
	doomed  []*job
	limiter *rate.Limiter
	// sought are awaited jobs that are not active: how they ended is to be read,
	// one at a time.
	sought  []string
	seeking bool
}

func (p *pipeline) init(r *leadership) {
	lim := r.c.Settings.Site.State
	cancels := lim.WriteRPS * cancelShare
	*p = pipeline{r: r, needers: map[string][]*job{}, limiter: rate.NewLimiter(rate.Limit(cancels), max(cancelOps, min(lim.TxnOps, int(cancels))))}
}

// awaitJobs has a job wait for those that it needs.
func (p *pipeline) awaitJobs(j *job) {
	j.awaits = map[string]bool{}
	doomed := false
	for _, id := range j.spec.Awaits {
		if st, ok := p.r.c.final.Get(id); ok {
			doomed = doomed || st.Phase == api.JobWithdrawn
			continue
		}
		o := p.r.jobs[id]
		if o == nil {
			if len(p.needers[id]) == 0 {
				p.sought = append(p.sought, id)
			}
		} else if o.doomed {
			doomed = true
		}
		j.awaits[id] = true
		p.needers[id] = append(p.needers[id], j)
	}
	switch {
	case doomed:
		p.doom(j)
	case len(j.awaits) == 0:
		p.ready(j, j.accepted)
	}
	p.seekNext()
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
	needers := p.needers[id]
	delete(p.needers, id)
	for _, j := range needers {
		if delete(j.awaits, id); len(j.awaits) == 0 && !j.doomed && !j.over {
			p.ready(j, now)
		}
	}
}

// cancelled takes in that a job is cancelled, and with it all that need it.
func (p *pipeline) cancelled(id string) {
	needers := p.needers[id]
	delete(p.needers, id)
	for _, j := range needers {
		p.doom(j)
	}
}

// doom has a job that waits cancelled on record, and all that need it.
func (p *pipeline) doom(j *job) {
	for todo := []*job{j}; len(todo) > 0; {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if j.doomed || j.over {
			continue
		}
		j.doomed = true
		p.doomed = append(p.doomed, j)
		todo = append(todo, p.needers[j.spec.ID]...)
	}
}

// forget takes a job that is over out of the index of what it waited for.
func (p *pipeline) forget(j *job) {
	for id := range j.awaits {
		left := slices.DeleteFunc(p.needers[id], func(o *job) bool { return o == j })
		if p.needers[id] = left; len(left) == 0 {
			delete(p.needers, id)
		}
	}
	j.awaits = nil
}

// cancelShare is the part of the write rate that doomed jobs have for themselves:
// with small transactions the ends of other jobs would take every turn, and their
// users wait. Users' own cancellations leave it to them.
const cancelShare = 0.4

// cancelOps is what the cancellation of one job takes. The cancel key need not
// change: nothing of these jobs runs, and this leader knows.
const cancelOps = 2

// add cancels doomed jobs in a batch of their own, if the write rate allows.
func (p *pipeline) add(b *batch, now time.Time) {
	p.doomed = slices.DeleteFunc(p.doomed, func(j *job) bool { return j.over })
	w := &p.r.recorder
	allowed := min(w.maxOps, int(p.limiter.TokensAt(now)))
	if len(p.doomed) == 0 || allowed < cancelOps {
		return
	}
	n := 0
	for n < len(p.doomed) && len(b.txn.Ops)+cancelOps <= allowed && b.bytes < w.maxBytes {
		j := p.doomed[n]
		active := store.ActivePrefix + j.spec.ID
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: active, Mark: j.mark})
		b.put(store.FinalPrefix+j.spec.ID, store.FinalRecord{Phase: api.JobWithdrawn, Tasks: j.spec.Tasks})
		b.delete(active)
		j.ending = true
		n++
	}
	b.doomed = slices.Clone(p.doomed[:n])
	p.doomed = p.doomed[n:]
	p.limiter.AllowN(now, len(b.txn.Ops))
}

// urge passes the deadlines and priorities of jobs on to all that they need: those
// are ordered by the latest time to begin that lets what follows be in time. A job
// was accepted after all that it needs, so going back in the order of acceptance
// each is looked at once, after all that need it; and only where anything changes.
func (p *pipeline) urge(jobs ...*job) {
	byMark := func(a, b *job) int { return cmp.Compare(a.mark, b.mark) }
	todo := slices.Clone(jobs)
	slices.SortFunc(todo, byMark)
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, id := range j.spec.Awaits {
			o := p.r.jobs[id]
			if o == nil || o.finishing || !p.press(j, o) || len(o.spec.Awaits) == 0 {
				continue
			}
			if at, found := slices.BinarySearchFunc(todo, o, byMark); !found {
				todo = slices.Insert(todo, at, o)
			}
		}
	}
}

// press has a job be done in time for one that needs it, and tells whether that
// changed anything.
func (p *pipeline) press(j, o *job) (changed bool) {
	if j.rank < o.rank {
		o.rank, changed = j.rank, true
	}
	due := p.due(j)
	if len(due) == 0 {
		return changed
	}
	takes := p.takes(j)
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

// takes is how long a stage is expected to take from the end of the one before
// it: until that is on record, the machine has been told and has the image.
func (p *pipeline) takes(j *job) time.Duration {
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

// seekNext reads how an awaited job ended that is not active.
func (p *pipeline) seekNext() {
	if p.seeking || len(p.sought) == 0 {
		return
	}
	p.seeking = true
	r, id := p.r, p.sought[0]
	p.sought = p.sought[1:]
	go func() {
		records := store.Records{Store: r.c.Store}
		for r.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
			st, found, err := records.Final(ctx, id)
			cancel()
			if err == nil {
				r.post(soughtMsg{r, id, st, found})
				return
			}
			pause(r.ctx, 300*time.Millisecond)
		}
	}()
}

type soughtMsg struct {
	r     *leadership
	id    string
	st    api.JobState
	found bool
}

func (m soughtMsg) apply(c *Controller) {
	p := &m.r.pipeline
	if c.leadership != m.r {
		return
	}
	p.seeking = false
	switch {
	case m.found:
		finalMsg{m.st}.apply(c)
		if m.st.Phase == api.JobDone {
			p.done(m.id, time.Now())
		}
	case m.r.jobs[m.id] == nil && len(p.needers[m.id]) > 0:
		// Active, and not known here yet: the watch will tell.
		time.AfterFunc(time.Second, func() { m.r.post(seekMsg{m.r, m.id}) })
	}
	p.seekNext()
}

// seekMsg asks once more about a job that was not known.
type seekMsg struct {
	r  *leadership
	id string
}

func (m seekMsg) apply(c *Controller) {
	if p := &m.r.pipeline; c.leadership == m.r && len(p.needers[m.id]) > 0 && m.r.jobs[m.id] == nil {
		p.sought = append(p.sought, m.id)
		p.seekNext()
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
