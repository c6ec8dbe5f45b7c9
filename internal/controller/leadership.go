package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/grant"
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
	// grants are what the other nodes let this one decide by, and bound is set once it
	// decides only with enough of them; ungranted is since when it lacks them.
	grants      *grant.Holder
	bound       bool
	ungranted   time.Time
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
	if c.Standby != nil {
		r.grants = grant.NewHolder(c.Standby.Grant())
	}
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

func (r *leadership) tick(now time.Time) {
	if !r.loaded || !r.c.valid() {
		return
	}
	r.confirm.start()
	r.recorder.flush(now)
	if r.checkGrants(now); r.c.leadership != r {
		return
	}
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
	if r.mayDecide(now) {
		r.provisioner.tick(now)
	}
	r.logUse(now)
	r.logWaits(now)
}

func (r *leadership) nextAttempt() uint64 {
	r.attempts++
	return r.term.Number<<32 | uint64(r.attempts)
}

func (r *leadership) rentalName(n int) string { return fmt.Sprintf("r-%d-%d", r.term.Number, n) }
