package controller

import (
	"cmp"
	"maps"
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
// from it is derived, by the leader in its memory and by whoever reads such a job's
// record (store.Records), and users are told at once. The leader, or the next, also
// writes it: in steps within the write rate, each of which leaves nothing that the
// next could not be found from.
type pipeline struct {
	leaderTerm *leaderTerm
	// dependents are the jobs that wait, by what they wait for.
	dependents map[string][]*job
	// pendingCancels are the jobs that are to be cancelled on record.
	pendingCancels []*job
	limiter        *rate.Limiter
	// lookups are awaited jobs that are not active: how they ended is to be read,
	// of all of them at a time.
	lookups   []string
	lookingUp bool
	// unknown is how many rounds of lookups wait for jobs that are active but have not
	// come with the watch yet.
	unknown int
}

func (p *pipeline) init(lt *leaderTerm) {
	lim := lt.c.Settings.Site.State
	cancels := lim.WriteRPS * cancelShare
	*p = pipeline{leaderTerm: lt, dependents: map[string][]*job{}, limiter: rate.NewLimiter(rate.Limit(cancels), max(cancelOps, min(lim.TxnOps, int(cancels))))}
}

// awaitJobs has a job wait for those that it needs.
func (p *pipeline) awaitJobs(j *job) {
	j.awaits = map[string]bool{}
	if j.awaitsList != nil && !j.awaitsRead {
		// Not all is known that it awaits, so nothing of it may start.
		j.awaits[store.AwaitsElsewhere] = true
		p.leaderTerm.awaitsLists.read(j)
		return
	}
	pending := false
	for _, id := range j.spec.Awaits {
		st, over := p.leaderTerm.c.final.Get(id)
		if over && st.Phase == api.JobWithdrawn {
			pending = true
			continue
		}
		if over && !st.Ended.IsZero() {
			j.awaitedEnded(st.Ended)
			continue
		}
		o := p.leaderTerm.jobs[id]
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
	j.dropEnded()
	switch {
	case pending:
		p.cancelWithDependents(j)
	case len(j.awaits) == 0:
		p.ready(j)
	}
	p.lookupNext()
}

// awaitedEnded records when a job that this one awaits was done.
func (j *job) awaitedEnded(at time.Time) {
	if at.After(j.lastEnd) {
		j.lastEnd = at
	}
}

// fewNames is how many names of ended jobs a waiting one may hold in any case.
const fewNames = 64

// dropEnded frees the names of awaited jobs that have ended once they are most:
// a job may name thousands of them, and wait long for another.
func (j *job) dropEnded() {
	if len(j.spec.Awaits) <= 2*len(j.awaits)+fewNames {
		return
	}
	left, awaits := make([]string, 0, len(j.awaits)), make(map[string]bool, len(j.awaits))
	for _, id := range j.spec.Awaits {
		if j.awaits[id] {
			left = append(left, id)
			awaits[id] = true
		}
	}
	j.spec.Awaits, j.awaits = left, awaits
}

// ready queues a job once all that it awaits is done. Its times count from when the
// last of it was, also if another leader saw that; or from its acceptance, if it
// was submitted later.
func (p *pipeline) ready(j *job) {
	now := time.Now()
	j.awaits, j.runnableSince, j.waitingSince = nil, j.accepted, now
	j.spec.Awaits = nil // perhaps thousands, all over
	if j.lastEnd.After(j.runnableSince) {
		j.runnableSince = j.lastEnd
	}
	j.objectives = p.leaderTerm.objectives(j)
	j.updateFeasibility(now)
	j.team.Add(j)
	p.leaderTerm.dispatchUntil = now.Add(dispatchFor)
}

// done handles a job that is done on record, and since when.
func (p *pipeline) done(id string, at time.Time) {
	dependents := p.dependents[id]
	delete(p.dependents, id)
	for _, j := range dependents {
		j.awaitedEnded(at)
		delete(j.awaits, id)
		j.dropEnded()
		if len(j.awaits) == 0 && !j.cancelPending && !j.ended {
			p.ready(j)
		}
	}
}

// cancelled handles the cancellation of a job, and with it of all its dependents.
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
		if j.cancelPending || j.ended {
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
	p.pendingCancels = slices.DeleteFunc(p.pendingCancels, func(j *job) bool { return j.ended })
	w := &p.leaderTerm.recorder
	allowed := min(w.maxOps, int(p.limiter.TokensAt(now)))
	if len(p.pendingCancels) == 0 || allowed < cancelOps {
		return
	}
	n := 0
	for n < len(p.pendingCancels) && len(b.txn.Ops)+cancelOps <= allowed && b.bytes < w.maxBytes {
		j := p.pendingCancels[n]
		active := store.ActivePrefix + j.spec.ID
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: active, Mark: j.modRevision})
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
	byMark := func(a, b *job) int { return cmp.Compare(a.modRevision, b.modRevision) }
	todo := slices.Clone(jobs)
	slices.SortFunc(todo, byMark)
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, id := range j.spec.Awaits {
			o := p.leaderTerm.jobs[id]
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
	o.objectives = p.leaderTerm.objectives(o)
	o.updateFeasibility(time.Now())
	return true
}

// due are the times by which a job should be complete for the deadlines of its
// pipeline, the strictest first.
func (p *pipeline) due(j *job) []time.Time {
	own := p.leaderTerm.deadlines(j)
	if len(own) == 0 || len(j.due) > 0 && j.due[0].Before(own[0]) {
		return j.due
	}
	return own
}

// stageDuration is how long a stage is expected to take from the end of the one before
// it: until that is on record, the machine has been told and has the image.
func (p *pipeline) stageDuration(j *job) time.Duration {
	fetch := 0.0
	for _, t := range p.leaderTerm.c.types.load() {
		if t.FetchGBs > 0 {
			fetch = max(fetch, j.spec.ImageGB/t.FetchGBs)
		}
	}
	return j.spec.Estimate() + config.Seconds(fetch) + p.leaderTerm.c.Settings.Site.Workers.Report() + stageLag
}

// stageLag is about how long it takes until a job's end is on record and those that
// follow are handed out.
const stageLag = time.Second

// lookupNext reads how awaited jobs ended that are not active.
func (p *pipeline) lookupNext() {
	if p.lookingUp || len(p.lookups) == 0 {
		return
	}
	p.lookingUp = true
	lt, ids := p.leaderTerm, p.lookups
	p.lookups = nil
	go func() {
		records := store.Records{Store: lt.c.Store}
		ends := map[string]store.FinalRecord{}
		for unread := ids; lt.ctx.Err() == nil; sleep(lt.ctx, 300*time.Millisecond) {
			found, err := records.Ends(lt.ctx, unread)
			maps.Copy(ends, found)
			if err == nil {
				lt.sendToOwner(endsLookedUpMsg{lt, ids, ends})
				return
			}
			unread = slices.DeleteFunc(slices.Clone(unread), func(id string) bool { _, ok := ends[id]; return ok })
		}
	}()
}

// endsLookedUpMsg brings how jobs ended that were looked up; those that are still
// active are not among the ends.
type endsLookedUpMsg struct {
	leaderTerm *leaderTerm
	ids        []string
	ends       map[string]store.FinalRecord
}

func (m endsLookedUpMsg) apply(c *Controller) {
	p := &m.leaderTerm.pipeline
	if c.leaderTerm != m.leaderTerm {
		return
	}
	p.lookingUp = false
	var unknown []string
	for _, id := range m.ids {
		end, found := m.ends[id]
		switch {
		case found:
			p.ended(id, end)
		case m.leaderTerm.jobs[id] == nil && len(p.dependents[id]) > 0:
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		// Active, and not known here yet: the watch will tell.
		p.unknown++
		time.AfterFunc(time.Second, func() { m.leaderTerm.sendToOwner(lookupAgainMsg{m.leaderTerm, unknown}) })
	}
	p.lookupNext()
}

// ended processes the final record of a job.
func (p *pipeline) ended(id string, end store.FinalRecord) {
	finalMsg{end.FinalState(id)}.apply(p.leaderTerm.c)
	if end.Phase != api.JobDone {
		return
	}
	at := end.Ended
	if at.IsZero() {
		at = time.Now() // written by a version that did not tell
	}
	p.done(id, at)
}

// lookupAgainMsg asks once more about jobs that were not known.
type lookupAgainMsg struct {
	leaderTerm *leaderTerm
	ids        []string
}

func (m lookupAgainMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	p := &m.leaderTerm.pipeline
	p.unknown--
	for _, id := range m.ids {
		if len(p.dependents[id]) > 0 && m.leaderTerm.jobs[id] == nil {
			p.lookups = append(p.lookups, id)
		}
	}
	p.lookupNext()
}

// unresolved tells whether it is still being read what some jobs await, or how that
// ended. Until then a job may need a cancelled one without this leader knowing.
func (p *pipeline) unresolved() bool {
	lists := &p.leaderTerm.awaitsLists
	return p.lookingUp || len(p.lookups) > 0 || p.unknown > 0 || lists.reading || len(lists.unread) > 0
}

// waitsFor lists what a job waits for, for its user.
func (j *job) waitsFor() []string {
	var ids []string
	for _, id := range j.spec.Awaits {
		if j.awaits[id] && id != store.AwaitsElsewhere && len(ids) < mostShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// mostShown bounds the names in an answer.
const mostShown = 16
