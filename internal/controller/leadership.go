package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/store"
)

// leadership is everything a node knows as leader of one term. It is dropped whole
// when the term is over, so nothing of one term reaches into another.
type leadership struct {
	c      *Controller
	ctx    context.Context
	cancel context.CancelFunc
	term   election.Term
	until  time.Time
	began  time.Time

	loaded bool
	// cancellationsConfirmedAt is when the store was last asked that has answered that all
	// cancellations were known.
	cancellationsConfirmedAt time.Time
	cancelMark               uint64
	attempts                 uint32

	jobs     map[string]*job
	teams    map[string]*queue.Team[*job]
	turns    []*queue.Team[*job]
	machines map[string]*machine
	// expected are machines that were rented or listed but have not reported.
	expected map[string]*expected
	// returned remembers machines that are gone, whose reports may still
	// arrive.
	returned *lru.Cache[string, bool]

	// unheard are the machines on the roster that may still carry out orders
	// of earlier terms.
	unheard     int
	unheardCPUs float64
	unheardGPUs float64
	// foreignCPUs is the whole capacity of machines that hold tasks of jobs
	// that are over: whose team they count for is not known.
	foreignCPUs float64

	confirm  confirmer
	pipeline pipeline
	// awaitsLists are the records that list awaited jobs.
	awaitsLists awaitsLists
	loans       loans
	down        relayDown
	recorder    recorder
	provisioner provisioner
	counts      counters
	// dispatchUntil is until when free machines are looked for that could be
	// given work directly; ordering is to how many such orders are on the way.
	dispatchUntil time.Time
	ordering      int
	// directFails is how many direct orders in a row have failed, and
	// directFrom from when on the next may be sent.
	directFails int
	directFrom  time.Time
	// startWithin is within what time work within a guarantee should start.
	startWithin time.Duration
	// grace is how long what waits is left to better machines.
	grace time.Duration
	// holders are the CPUs of open machines by the images that they have.
	holders map[string]float64
	// fetches is how many images a machine may fetch at the same time now.
	fetches int
	// overlooked is how many jobs have had no start for too long.
	overlooked int
	nextScan   time.Time
	nextUse    time.Time
	nextWaits  time.Time
	lastTick   time.Time
	// listening is since when this node can hear its machines.
	listening time.Time
	// heldUp is when it last noticed that it was late.
	heldUp  time.Time
	probing int
	// dials bounds each of probing, resyncing and ordering.
	dials int
	// toResync are the machines that a new leader has yet to resync.
	toResync  []*machine
	resyncing int
	// Whose leases other nodes extend was last read at extensionsRead, at extensionMarks.
	extensionsRead time.Time
	extensionMarks map[string]uint64
}

type expected struct {
	typ   string
	zone  string
	spot  bool
	since time.Time
	boot  time.Duration
	cpus  float64
	// returning is set while the machine is being given back unused.
	returning bool
}

// returnedMemory is the part of the memory that the names of machines that are gone
// may take, and returnedBytes about what one of them takes.
const (
	returnedMemory = 1.0 / 32
	returnedBytes  = 256
)

func newLeadership(c *Controller, term election.Term, until time.Time) *leadership {
	ctx, cancel := context.WithCancel(context.Background())
	returned, err := lru.New[string, bool](c.Settings.Site.Limits.Entries(returnedMemory, returnedBytes))
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	r := &leadership{
		c: c, ctx: ctx, cancel: cancel, term: term, until: until, began: time.Now(),
		jobs: map[string]*job{}, teams: map[string]*queue.Team[*job]{},
		machines: map[string]*machine{}, expected: map[string]*expected{}, returned: returned,
	}
	r.down.nodes = map[string]*relayNode{}
	r.extensionMarks = map[string]uint64{}
	r.holders = map[string]float64{}
	r.counts = newCounters()
	r.fetches = manyFetches
	r.dials = dials(c.Settings.Site.Limits.FDLimit)
	r.confirm.leadership = r
	r.recorder.init(r)
	r.pipeline.init(r)
	r.awaitsLists.leadership = r
	r.loans.init(r)
	r.provisioner.init(r)
	for _, t := range c.Settings.Site.Teams {
		q := &queue.Team[*job]{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax,
			Share: c.Policy.Share(t.Name, max(t.CPUs, t.GPUs, 1))}
		r.teams[t.Name] = q
		r.turns = append(r.turns, q)
	}
	// Half a round of reports, but no more than a small part of the time in
	// which work within a guarantee should start.
	r.grace = c.Settings.Site.Workers.Report() / 2
	for _, o := range c.Settings.Site.Objectives {
		if o.Kind == "guarantee" && o.WithinS > 0 {
			r.grace = min(r.grace, config.Seconds(o.WithinS/5))
			if within := config.Seconds(o.WithinS); r.startWithin == 0 || within < r.startWithin {
				r.startWithin = within
			}
		}
	}
	go r.load()
	return r
}

func (r *leadership) termGuard() store.Guard {
	return store.Guard{Key: election.TermKey, Mark: r.term.Mark}
}

// post sends a message unless the term has ended.
func (r *leadership) post(m message) {
	select {
	case r.c.mail <- m:
	case <-r.ctx.Done():
	}
}

// superseded ends the leadership if a failed transaction shows that another term
// has begun.
func (r *leadership) superseded(res store.Result) bool {
	if !slices.Contains(res.Failed, election.TermKey) {
		return false
	}
	r.depose()
	return true
}

func (r *leadership) depose() {
	if r.c.leadership == r {
		r.c.endLeadership()
		select {
		case r.c.depose <- r.term.Number:
		default:
		}
	}
}

// A watch is asked again after watchBlock, and given up after watchTimeout: a
// connection that died without a word must not keep cancellations from the
// leader, whose tasks have to be gone in time.
const (
	watchBlock   = 4 * time.Second
	watchTimeout = 5500 * time.Millisecond
)

// watch follows the active jobs from a revision on.
func (r *leadership) watch(from uint64) {
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, watchTimeout)
		ch, err := r.c.Store.Watch(ctx, store.ActivePrefix, from, watchBlock)
		cancel()
		switch {
		case errors.Is(err, store.ErrCompacted):
			// Too far behind: a new term reads everything again.
			r.post(deposeMsg{r})
			return
		case err != nil:
			r.c.Log.Debug("watch", "err", err)
			pause(r.ctx, 300*time.Millisecond)
			continue
		}
		from = max(from, ch.Ring)
		if len(ch.Events) > 0 {
			r.post(changesMsg{r, ch.Events})
			pause(r.ctx, 40*time.Millisecond)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

type deposeMsg struct{ leadership *leadership }

func (m deposeMsg) apply(*Controller) { m.leadership.depose() }

// changesMsg brings what the watch saw.
type changesMsg struct {
	leadership *leadership
	events     []store.Event
}

func (m changesMsg) apply(c *Controller) {
	r := m.leadership
	if c.leadership != r {
		return
	}
	for _, e := range m.events {
		switch {
		case e.Put == store.CancelKey:
			r.cancelMark = max(r.cancelMark, e.Mark)
			var id string
			if err := json.Unmarshal(e.Value, &id); err != nil {
				c.Log.Error("cancel record", "err", err)
				continue
			}
			c.cancelled(id)
		case e.Put != "":
			r.addJob(e.Put, e.Value, e.Mark)
		default:
			// A record that went neither by a cancellation nor by this leader
			// was ended by another leader, of which the election has not yet
			// told: how it ended is not known here.
			id := e.Delete[len(store.ActivePrefix):]
			if j := r.jobs[id]; j != nil && !j.finishing && !j.cancelPending && !j.handover && e.Mark > j.mark {
				r.depose()
				return
			}
		}
	}
}

func (r *leadership) addJob(key string, value []byte, mark uint64) {
	id := key[len(store.ActivePrefix):]
	j := r.jobs[id]
	if _, ok := r.c.final.Get(id); ok || j != nil && j.mark >= mark {
		return
	}
	var rec store.ActiveRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		r.c.Log.Error("job record", "key", key, "err", err)
		return
	}
	if j != nil {
		r.applyLoan(j, rec, mark)
		return
	}
	r.addRecord(key, rec, mark)
}

func (r *leadership) addRecord(key string, rec store.ActiveRecord, mark uint64) {
	spec, since, team := rec.Spec, rec.Accepted, r.teams[rec.Spec.Team]
	switch {
	case rec.Lent != nil:
		spec, since, team = rec.Lent.Spec, rec.Lent.Since, r.teams[rec.Lent.Spec.Team]
	case rec.Guest != nil:
		spec, since, team = rec.Guest.Spec, rec.Guest.Since, r.loans.guestTeam(rec.Guest.Home)
	}
	id := spec.ID
	if team == nil || spec.Tasks < 1 {
		r.c.Log.Error("job record", "key", key, "team", spec.Team, "tasks", spec.Tasks)
		return
	}
	n := uint(spec.Tasks)
	j := &job{
		spec: spec, awaitsList: rec.Awaits, mark: mark, accepted: rec.Accepted, since: since, waiting: time.Now(), rank: api.PriorityRank(spec.Priority), preference: r.c.Policy.Preferences[spec.Class], team: team,
		guest: rec.Guest, lends: rec.Lends,
		flight: flight.New(spec.Tasks), live: map[int]*attempt{},
		done: bitset.New(n), durable: bitset.New(n), chunks: map[int]bool{},
		runs: jobRuns{by: map[string]*runs{}}, zones: map[string]int{}, restarted: map[int]bool{}, barred: map[int]string{}, errors: map[string]int{},
	}
	j.aims = r.aims(j)
	j.look(time.Now())
	r.jobs[id] = j
	switch {
	case rec.Lent != nil:
		r.loans.lent(j, rec.Lent)
	case len(j.spec.Awaits) == 0:
		team.Add(j)
		r.dispatchUntil = time.Now().Add(dispatchFor)
	case r.loaded:
		r.pipeline.awaitJobs(j)
		r.pipeline.propagateDeadlines(j)
	default: // once all are read
	}
	r.c.Log.Debug("job", "job", id, "class", j.spec.Class, "team", j.spec.Team, "tasks", j.spec.Tasks)
}

// aims are the times by which a job should be complete: its deadline and the
// multiples of it that the objectives name, or the times that they name for
// its class.
func (r *leadership) aims(j *job) []time.Time {
	out := slices.Concat(r.deadlines(j), j.due)
	for _, o := range r.c.Settings.Site.Objectives {
		switch {
		case o.Class != j.spec.Class:
		case o.Kind == "wait":
			j.startBy = j.since.Add(config.Seconds(o.WithinS))
		case o.Kind == "finished":
			out = append(out, j.since.Add(config.Seconds(o.WithinS)))
		}
	}
	if len(out) == 0 {
		out = append(out, j.since.Add(config.Seconds(10*j.spec.EstimateS)))
	}
	slices.SortFunc(out, time.Time.Compare)
	return slices.CompactFunc(out, time.Time.Equal)
}

// deadlines are the times that follow from a job's own deadline. It counts from
// the submission, however long the job waits for others.
func (r *leadership) deadlines(j *job) []time.Time {
	if j.spec.DeadlineS <= 0 {
		return nil
	}
	out := []time.Time{j.accepted.Add(config.Seconds(j.spec.DeadlineS))}
	for _, o := range r.c.Settings.Site.Objectives {
		if o.Kind == "deadline" && o.Class == j.spec.Class && o.Times > 1 {
			out = append(out, j.accepted.Add(config.Seconds(j.spec.DeadlineS*o.Times)))
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// withdraw removes a job that was cancelled. What runs of it is stopped by
// the answers to its machines' reports.
func (r *leadership) withdraw(j *job) {
	r.forget(j)
	r.c.cancelled(j.spec.ID)
	for _, a := range j.live {
		r.settleUnconfirmed(a)
	}
	for first := range j.chunks {
		r.recorder.drop(store.ProgressKey(j.spec.ID, first))
	}
	r.awaitsLists.drop(j)
}

// forget drops a job that is over.
func (r *leadership) forget(j *job) {
	j.over = true
	j.dirty = false
	delete(r.jobs, j.spec.ID)
	r.pipeline.forget(j)
	r.loans.release(j)
	j.team.Remove(j)
}

// taskDone records that a task has completed.
func (r *leadership) taskDone(j *job, task int, now time.Time) {
	if j.done.Test(uint(task)) {
		return
	}
	j.done.Set(uint(task))
	j.doneCount++
	r.counts.done++
	j.flight.Take(task)
	if a := j.live[task]; a != nil && !a.exited {
		r.stop(a, 0, now)
	}
	if j.over {
		return
	}
	if j.doneCount == j.spec.Tasks && j.guest != nil {
		r.loans.guestDone(j)
		return
	}
	if j.doneCount == j.spec.Tasks {
		r.recorder.finish(j)
		return
	}
	if !j.durable.Test(uint(task)) {
		r.recorder.progress(j)
	}
}

func (r *leadership) tick(now time.Time) {
	if !r.loaded || !r.c.valid() {
		return
	}
	r.confirm.start()
	r.recorder.flush(now)
	r.loans.tick(now)
	if !r.mayRenewLeases(now) || r.deaf(now) {
		return
	}
	r.dispatch(now)
	r.down.tick(r, now)
	if now.Before(r.nextScan) {
		return
	}
	r.nextScan = now.Add(time.Second)
	r.triage(now)
	r.countHolders(now)
	r.scanMachines(now)
	r.scanOverdue(now)
	r.provisioner.tick(now)
	r.logUse(now)
	r.logWaits(now)
}

// manyFetches bounds the images that a machine fetches at the same time.
const manyFetches = 4

// leastTriaged bounds the work of the triage: it looks at that many jobs, or at one for
// each machine of a larger fleet.
const leastTriaged = 500

// triage looks again at which jobs can be in time, and puts the queues in that
// order.
func (r *leadership) triage(now time.Time) {
	cpus, free, waiting := 0.0, 0.0, 0.0
	for _, m := range r.machines {
		if m.open(now) {
			cpus += m.cpus
			free += m.freeCPUs()
		}
	}
	var loads []*queue.Load
	most := max(leastTriaged, len(r.machines))
	r.overlooked = 0
	for _, t := range r.turns {
		for _, j := range t.Items() {
			j.look(now)
			if j.overlooked = !j.begun() && now.Sub(j.since) > beginWithin; j.overlooked {
				r.overlooked++
			}
			waiting += float64(j.flight.Untaken()) * j.spec.CPUs
			j.load = queue.Load{}
			if j.hopeless || j.finishing || len(loads) == most {
				continue
			}
			j.load.Aim = j.latest.Add(j.spec.Estimate())
			j.load.Work = float64(j.flight.Untaken()) * j.spec.CPUs * j.spec.EstimateS
			for _, a := range j.live {
				left := j.spec.Estimate()
				if !a.runningAt.IsZero() {
					left -= now.Sub(a.runningAt)
				}
				j.load.Work += max(0, left.Seconds()) * j.spec.CPUs
			}
			loads = append(loads, &j.load)
		}
	}
	queue.Triage(loads, cpus, now)
	// Images that are fetched at the same time share the machine's rate. While
	// there is too little room, one after the other is better: the first
	// tasks begin sooner, and no room is held for those whose image comes last.
	r.fetches = manyFetches
	if waiting > free {
		r.fetches = 1
	}
	for _, t := range r.turns {
		t.Resort()
	}
}

// A tick that comes lateTick late shows that this process was held up, and one
// that comes lostTicks late that it cannot have heard its machines.
const (
	lateTick  = 400 * time.Millisecond
	lostTicks = 2 * time.Second
)

// deaf notices that this node could not hear its machines for a while: it may
// not have been entitled to answer them, or it was held up itself. None of them
// is silent on that account, or the first thing after an outage of the state
// service would be to give the whole fleet back. On a controller with too little
// processor time that happens in small: what it was late by is no silence either,
// and no answer that it waited for meanwhile is missing.
func (r *leadership) deaf(now time.Time) bool {
	gap := now.Sub(r.lastTick)
	first := r.lastTick.IsZero()
	r.lastTick = now
	if first || gap < lateTick {
		return false
	}
	r.heldUp = now
	lost := gap >= lostTicks
	if lost {
		r.listening = now
	}
	for _, m := range r.machines {
		if m.lastSeen = m.lastSeen.Add(gap); lost || m.lastSeen.After(now) {
			m.lastSeen = now
		}
	}
	return lost
}

// punctual tells whether this node has not been held up since it asked something.
// If it was, an answer may wait to be read although the time for it has passed.
func (r *leadership) punctual(asked time.Time) bool {
	return !r.heldUp.After(asked) && time.Since(r.lastTick) < lateTick
}

// scanMachines gives back the machines that are silent, bad or idle.
func (r *leadership) scanMachines(now time.Time) {
	r.silences(now)
	for _, m := range r.machines {
		if m.leaving && !m.returning && !m.gone && m.empty() {
			r.provisioner.giveBack(m)
		}
	}
	idle := r.provisioner.idle(now)
	for _, m := range idle {
		r.leave(m, "idle")
		r.provisioner.giveBack(m)
	}
}

// leave stops giving a machine tasks.
func (r *leadership) leave(m *machine, why string) {
	if m.leaving {
		return
	}
	m.leaving, m.why = true, why
	r.c.Log.Info("machine leaves", "machine", m.name, "type", m.typ, "why", why, "tasks", len(m.attempts))
}

// machineGone removes a machine whose return the cloud has confirmed.
// Only this, or a newer report, shows that a task is off its machine.
func (r *leadership) machineGone(m *machine) {
	m.gone = true
	r.returned.Add(m.name, true)
	delete(r.machines, m.name)
	r.countHeard(m)
	for _, a := range m.attempts {
		r.offMachine(a)
	}
	for _, j := range r.jobs {
		j.flight.Leave(m.name)
	}
	r.recorder.dropMember(m)
	r.c.Log.Info("machine gone", "machine", m.name, "why", m.why)
}

// countHeard notes that a machine can no longer surprise this term.
func (r *leadership) countHeard(m *machine) {
	if m.heard || m.roster != rosterDurable {
		return
	}
	m.heard = true
	r.unheard--
	r.unheardCPUs -= m.cpus
	r.unheardGPUs -= m.gpus
	if r.unheard == 0 {
		r.c.Log.Info("takeover: all machines heard or gone", "term", r.term.Number,
			"after", time.Since(r.began).Round(time.Millisecond))
	}
}

func (r *leadership) addMachine(name, typ, zone string, spot bool, now time.Time) *machine {
	m := &machine{name: name, foreignSum: &r.foreignCPUs, typ: typ, zone: zone, spot: spot, lastSeen: now, since: now, idle: now,
		attempts: map[attemptKey]*attempt{}, errorJobs: map[string]int{}}
	if mt, ok := r.c.types.load()[typ]; ok {
		m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
	}
	r.machines[name] = m
	delete(r.expected, name)
	return m
}

func (r *leadership) nextAttempt() uint64 {
	r.attempts++
	return r.term.Number<<32 | uint64(r.attempts)
}

func (r *leadership) rentalName(n int) string { return fmt.Sprintf("r-%d-%d", r.term.Number, n) }
