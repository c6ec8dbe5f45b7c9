package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

// recorder writes the leader's changes to the store: batched, one transaction
// at a time, within a part of the write rate that leaves submissions theirs.
type recorder struct {
	leadership *leadership
	limiter    *rate.Limiter
	maxOps     int
	maxBytes   int
	// perChunk is how many tasks a progress record holds; 0: none is written.
	perChunk int

	finishing []*job
	enrolling []*machine
	drops     []string
	dirty     []*job
	// stale are the shards of the roster on which machines are gone; shards
	// counts those written, since none has the name of an earlier one.
	stale     []*shard
	shards    int
	perShard  int
	shardRoom int
	nextShard time.Time
	busy      bool
	// unsettled are the jobs whose end is to be read, one at a time.
	unsettled []string
	settling  bool
	waitUntil time.Time
	// lastProgress keeps progress records behind everything else.
	nextProgress time.Time
}

const progressInterval = 500 * time.Millisecond

func (w *recorder) init(r *leadership) {
	lim := r.c.Settings.Site.State
	w.leadership = r
	w.maxOps = lim.TxnOps
	records := lim.WriteRPS * store.RecordShare
	// A burst of records leaves room for submissions in the service's own.
	w.limiter = rate.NewLimiter(rate.Limit(records), max(2, min(lim.TxnOps, int(records))))
	w.maxBytes = store.MaxTxnBytes * 3 / 4
	w.shardRoom = min(int(lim.ValueKB*1024), w.maxBytes)
	w.perShard = max(1, w.shardRoom/2/shardEntryBytes)
	// The bit set is written as base64; half the value's size leaves room.
	w.perChunk = w.shardRoom / 2 * 8
}

func (w *recorder) finish(j *job) {
	if !j.finishing {
		j.finishing = true
		w.finishing = append(w.finishing, j)
	}
}

func (w *recorder) progress(j *job) {
	if !j.dirty {
		j.dirty = true
		w.dirty = append(w.dirty, j)
	}
}

func (w *recorder) enroll(m *machine) { w.enrolling = append(w.enrolling, m) }

func (w *recorder) drop(key string) { w.drops = append(w.drops, key) }

// batch is one transaction with what it stands for.
type batch struct {
	txn      store.Txn
	bytes    int
	finished []*job
	// derivedCancels are cancelled with a job that they need.
	derivedCancels []*job
	shards         []*shard
	// replaced are shards that go with this batch.
	replaced []*shard
	drops    []string
	// progressed are the jobs whose done tasks the transaction records.
	progressed []progressed
}

type progressed struct {
	job   *job
	first int
	words []byte
}

// flush starts the next transaction if there is anything to write.
func (w *recorder) flush(now time.Time) {
	if w.busy || now.Before(w.waitUntil) {
		return
	}
	b := w.next(now)
	if len(b.txn.Ops) == 0 {
		return
	}
	w.busy = true
	r := w.leadership
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, 2*time.Second)
		defer cancel()
		res, err := r.c.Store.Txn(ctx, b.txn)
		r.post(recordedMsg{r, b, now, res, err})
	}()
}

func (w *recorder) newBatch() *batch {
	return &batch{txn: store.Txn{Records: true, Guards: []store.Guard{w.leadership.termGuard()}}}
}

// next builds the next batch, the most urgent changes first, within what the
// write rate allows at this moment.
func (w *recorder) next(now time.Time) *batch {
	b := w.newBatch()
	if w.leadership.pipeline.add(b, now); len(b.txn.Ops) > 0 {
		return b
	}
	allowed := min(w.maxOps, int(w.limiter.TokensAt(now)))
	w.addFinished(b, allowed, now)
	w.addEnrolled(b, allowed)
	w.addDrops(b, allowed)
	if !now.Before(w.nextProgress) {
		w.nextProgress = now.Add(progressInterval)
		w.addProgress(b, allowed/2)
	}
	w.rewriteStale(b, allowed, now)
	w.limiter.AllowN(now, len(b.txn.Ops))
	return b
}

// addFinished adds the ends of jobs whose tasks are all done.
func (w *recorder) addFinished(b *batch, allowed int, now time.Time) {
	for len(w.finishing) > 0 && b.bytes < w.maxBytes {
		j := w.finishing[0]
		if j.over {
			w.finishing = w.finishing[1:]
			continue
		}
		if len(b.txn.Ops)+2 > allowed {
			return
		}
		w.finishing = w.finishing[1:]
		active := store.ActivePrefix + j.spec.ID
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: active, Mark: j.mark})
		b.put(store.FinalPrefix+j.spec.ID, store.FinalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now.UTC()})
		b.delete(active)
		b.finished = append(b.finished, j)
		// From now on others may read of its end before this node knows of it.
		j.ending = true
	}
}

// addEnrolled adds new machines to the roster.
func (w *recorder) addEnrolled(b *batch, allowed int) {
	w.enrolling = slices.DeleteFunc(w.enrolling, func(m *machine) bool { return m.gone })
	for len(w.enrolling) > 0 && len(b.txn.Ops) < allowed && b.bytes < w.maxBytes {
		n, size := w.fitting(w.enrolling)
		if n == 0 {
			w.unfit(w.enrolling[0])
			w.enrolling = w.enrolling[1:]
			continue
		}
		if len(b.txn.Ops) > 0 && b.bytes+size > w.maxBytes {
			return
		}
		b.shard(w.newShard(w.enrolling[:n]))
		w.enrolling = w.enrolling[n:]
	}
}

// addDrops adds the deletion of records that are no longer needed.
func (w *recorder) addDrops(b *batch, allowed int) {
	for len(w.drops) > 0 && len(b.txn.Ops) < allowed {
		b.delete(w.drops[0])
		b.drops = append(b.drops, w.drops[0])
		w.drops = w.drops[1:]
	}
}

// addProgress adds the done tasks of changed jobs.
func (w *recorder) addProgress(b *batch, allowed int) {
	if w.perChunk == 0 {
		return
	}
	size := (w.perChunk/8+2)/3*4 + 100
	for len(w.dirty) > 0 && len(b.txn.Ops) < allowed && (b.bytes+size < w.maxBytes || len(b.txn.Ops) == 0) {
		j := w.dirty[0]
		if !j.dirty || j.finishing || j.over {
			w.dirty = w.dirty[1:]
			j.dirty = false
			continue
		}
		first, ok := j.unrecorded(w.perChunk)
		if !ok {
			j.dirty = false
			w.dirty = w.dirty[1:]
			continue
		}
		words := j.doneBytes(first, w.perChunk)
		b.put(store.ProgressKey(j.spec.ID, first), store.ProgressRecord{Done: words})
		// The record must not outlive its job: once that is over, another
		// node has dropped the key guarded on here.
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: store.ActivePrefix + j.spec.ID, Mark: j.mark})
		j.chunks[first] = true
		j.holds(first, 8*len(words))
		b.progressed = append(b.progressed, progressed{j, first, words})
		// One record of a job at a time: the next is looked for when this
		// one is on record.
		j.dirty = false
		w.dirty = w.dirty[1:]
	}
}

// unrecorded finds the first part of a job with done tasks not on record whose
// record may be written.
func (j *job) unrecorded(per int) (first int, ok bool) {
	for from := 0; per > 0; from = first + per {
		t, ok := j.done.Difference(j.durable).NextSet(uint(from))
		if !ok {
			return 0, false
		}
		if first = int(t) / per * per; j.replaceable(first, per) {
			return first, true
		}
	}
	return 0, false
}

// holds notes that the store may have a record that begins at first and covers
// so many tasks.
func (j *job) holds(first, tasks int) {
	if j.extents == nil {
		j.extents = map[int]int{}
	}
	j.extents[first] = max(j.extents[first], tasks)
}

// replaceable tells whether the record that begins at first may be written with
// per tasks. One written under larger limits covers more: written over, the
// tasks beyond would no longer count as done for the next leader. They are first put on
// record under keys of their own, which all lie further on.
func (j *job) replaceable(first, per int) bool {
	extent := j.extents[first]
	if extent <= per {
		return true
	}
	moving := j.moving[first]
	if moving == nil {
		moving = bitset.New(uint(j.spec.Tasks))
		for t, ok := j.durable.NextSet(uint(first + per)); ok && t < uint(first+extent); t, ok = j.durable.NextSet(t + 1) {
			moving.Set(t)
		}
		j.durable.InPlaceDifference(moving)
		if j.moving == nil {
			j.moving = map[int]*bitset.BitSet{}
		}
		j.moving[first] = moving
	}
	return moving.DifferenceCardinality(j.durable) == 0
}

func (j *job) doneBytes(first, per int) []byte {
	n := min(per, j.spec.Tasks-first)
	words := make([]byte, (n+7)/8)
	for i, ok := j.done.NextSet(uint(first)); ok && i < uint(first+n); i, ok = j.done.NextSet(i + 1) {
		at := int(i) - first
		words[at/8] |= 1 << (at % 8)
	}
	return words
}

func (b *batch) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // records hold only plain values
	}
	b.txn.Ops = append(b.txn.Ops, store.Op{Put: key, Value: json.RawMessage(raw)})
	b.bytes += len(raw) + 2*len(key) + 100
}

func (b *batch) delete(key string) {
	b.txn.Ops = append(b.txn.Ops, store.Op{Delete: key})
	b.bytes += 2*len(key) + 100
}

type recordedMsg struct {
	leadership *leadership
	batch      *batch
	sent       time.Time
	res        store.Result
	err        error
}

func (m recordedMsg) apply(c *Controller) {
	if c.leadership != m.leadership {
		return
	}
	w := &m.leadership.recorder
	w.busy = false
	now := time.Now()
	switch {
	case errors.Is(m.err, store.ErrMalformed):
		w.waitUntil = now.Add(250 * time.Millisecond)
		w.again(m.batch)
		w.lower(m.batch, now)
	case m.err != nil:
		w.waitUntil = now.Add(250 * time.Millisecond)
		// If it was carried out all the same, or is yet to be, the next try
		// fails by its guards, and tells which jobs to look at.
		w.again(m.batch)
		c.Log.Debug("records not written", "err", m.err)
	case m.res.OK:
		record(m.leadership.counts.recorded, now.Sub(m.sent))
		w.recorded(m.batch)
	case m.leadership.superseded(m.res):
	default:
		w.again(m.batch)
		var changed []*job
		for _, j := range m.batch.finished {
			if slices.Contains(m.res.Failed, store.ActivePrefix+j.spec.ID) {
				changed = append(changed, j)
			}
		}
		for _, j := range m.batch.derivedCancels {
			if slices.Contains(m.res.Failed, store.ActivePrefix+j.spec.ID) {
				changed = append(changed, j)
			}
		}
		w.verify(changed)
		for _, p := range m.batch.progressed {
			if !p.job.over && slices.Contains(m.res.Failed, store.ActivePrefix+p.job.spec.ID) {
				p.job.dirty = false // cancelled; the watch will say so
				p.job.chunks[p.first] = false
				w.dirty = slices.DeleteFunc(w.dirty, func(j *job) bool { return j == p.job })
			}
		}
	}
	w.flush(now)
}

// again queues the changes of a batch that was not carried out, or may not have been.
func (w *recorder) again(b *batch) {
	w.finishing = append(slices.Clone(b.finished), w.finishing...)
	w.leadership.pipeline.pendingCancels = append(slices.Clone(b.derivedCancels), w.leadership.pipeline.pendingCancels...)
	w.unwritten(b)
	w.drops = append(slices.Clone(b.drops), w.drops...)
	for _, p := range b.progressed {
		w.progress(p.job)
	}
}

// lower reduces what a batch may hold after one was refused for good, although it
// kept to the limits as this node knows them: a retry would be refused too.
func (w *recorder) lower(b *batch, now time.Time) {
	log := w.leadership.c.Log
	log.Error("records refused as too large", "changes", len(b.txn.Ops), "bytes", b.bytes)
	switch {
	case len(b.txn.Ops) > 2:
		w.maxOps = max(2, len(b.txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].members) > 1:
		w.perShard = max(1, len(b.shards[0].members)/2)
	case len(b.shards) > 0 && b.shards[0].replaces != nil:
		w.keepStale(b.shards[0].replaces)
	case len(b.shards) > 0:
		m := b.shards[0].members[0]
		w.enrolling = slices.DeleteFunc(w.enrolling, func(o *machine) bool { return o == m })
		w.unfit(m)
	case len(b.progressed) > 0:
		// Below eight tasks nothing is left to halve: what is done is then
		// known to this leader only.
		w.perChunk = w.perChunk / 16 * 8
	default:
		w.waitUntil = now.Add(5 * time.Second) // an end: it has no size to lower
	}
}

// unfit takes out of use a machine whose entry no shard can hold: the next leader would
// not know of it, so it is never given a task.
func (w *recorder) unfit(m *machine) {
	w.leadership.c.Log.Error("machine's entry does not fit the roster", "machine", m.name)
	w.leadership.leave(m, "does not fit the roster")
}

// recorded updates the state of what a written batch has put on record.
func (w *recorder) recorded(b *batch) {
	r := w.leadership
	for _, j := range b.finished {
		r.finished(j)
	}
	for _, j := range b.derivedCancels {
		if !j.over {
			r.withdraw(j)
		}
	}
	w.written(b)
	for _, p := range b.progressed {
		p.job.extents[p.first] = 8 * len(p.words)
		delete(p.job.moving, p.first)
		for i, by := range p.words {
			for bit := range 8 {
				if by&(1<<bit) != 0 {
					p.job.durable.Set(uint(p.first + i*8 + bit))
				}
			}
		}
		if _, more := p.job.unrecorded(w.perChunk); more && !p.job.over && !p.job.finishing {
			w.progress(p.job)
		}
	}
}

// finished removes a job whose end is on record.
func (r *leadership) finished(j *job) {
	if j.over {
		return
	}
	r.forget(j)
	now := time.Now()
	r.c.final.Add(j.spec.ID, store.FinalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now}.FinalState(j.spec.ID))
	r.pipeline.done(j.spec.ID, now)
	for first, written := range j.chunks {
		if written {
			r.recorder.drop(store.ProgressKey(j.spec.ID, first))
		}
	}
	r.awaitsLists.drop(j)
	r.c.Log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks,
		"lost", j.lost, "firstStart", j.after(j.firstStart), "lastStart", j.after(j.lastStart), "estimate", j.spec.EstimateS, "longest", j.longest.Round(time.Second/10),
		"late", math.Round(time.Since(j.aims[0]).Seconds()))
}

// verify reads how jobs ended whose record had changed when their end was written:
// mostly by this leader's own transaction, whose answer was lost.
func (w *recorder) verify(jobs []*job) {
	for _, j := range jobs {
		w.finishing = slices.DeleteFunc(w.finishing, func(o *job) bool { return o == j })
		w.leadership.pipeline.pendingCancels = slices.DeleteFunc(w.leadership.pipeline.pendingCancels, func(o *job) bool { return o == j })
		w.unsettled = append(w.unsettled, j.spec.ID)
	}
	w.settleNext()
}

// settleNext looks at one job at a time. After a while of lost answers there are
// many, and looked at side by side they used up each other's turns in the request
// budget: none was ever read to its end, and the fleet was kept for work long done.
func (w *recorder) settleNext() {
	if w.settling || len(w.unsettled) == 0 {
		return
	}
	w.settling = true
	go w.leadership.settle(w.unsettled[0])
	w.unsettled = w.unsettled[1:]
}

// settle reads how a job ended, within the leader's own request budget.
func (r *leadership) settle(id string) {
	records := store.Records{Store: r.c.Store}
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
		st, found, err := records.Lookup(ctx, id)
		cancel()
		if err == nil {
			r.post(settledMsg{r, id, st, found})
			return
		}
		pause(r.ctx, 300*time.Millisecond)
	}
}

type settledMsg struct {
	leadership *leadership
	id         string
	st         api.JobState
	found      bool
}

func (m settledMsg) apply(c *Controller) {
	r := m.leadership
	if c.leadership != r {
		return
	}
	r.recorder.settling = false
	defer r.recorder.settleNext()
	j := r.jobs[m.id]
	if j == nil || j.over {
		return
	}
	switch {
	case m.found && m.st.Phase == api.JobDone:
		r.finished(j)
	case m.found && m.st.Phase == api.JobWithdrawn && !m.st.Derived:
		r.withdraw(j)
	case j.cancelPending:
		r.pipeline.pendingCancels = append(r.pipeline.pendingCancels, j)
	default:
		r.recorder.finishing = append(r.recorder.finishing, j)
	}
}
