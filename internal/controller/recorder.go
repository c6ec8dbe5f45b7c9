package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

// recorder writes the leader's changes to the store: batched, one transaction
// at a time, within a part of the write rate that leaves submissions theirs.
type recorder struct {
	leaderTerm *leaderTerm
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

func (w *recorder) init(lt *leaderTerm) {
	lim := lt.c.Settings.Site.State
	w.leaderTerm = lt
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
	if !j.completionDirty {
		j.completionDirty = true
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
	lt := w.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 2*time.Second)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, b.txn)
		lt.sendToOwner(recordedMsg{lt, b, now, res, err})
	}()
}

func (w *recorder) newBatch() *batch {
	return &batch{txn: store.Txn{Records: true, Guards: []store.Guard{w.leaderTerm.termCompare()}}}
}

// next builds the next batch, the most urgent changes first, within what the
// write rate allows at this moment.
func (w *recorder) next(now time.Time) *batch {
	b := w.newBatch()
	if w.leaderTerm.dependencies.addCancellations(b, now); len(b.txn.Ops) > 0 {
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
		if j.ended {
			w.finishing = w.finishing[1:]
			continue
		}
		if len(b.txn.Ops)+2 > allowed {
			return
		}
		w.finishing = w.finishing[1:]
		active := store.ActivePrefix + j.spec.ID
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: active, Mark: j.modRevision})
		b.put(store.FinalPrefix+j.spec.ID, store.FinalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now.UTC()})
		b.delete(active)
		b.finished = append(b.finished, j)
		// From now on others may read of its end before this node knows of it.
		j.ending = true
	}
}

// addEnrolled adds new machines to the roster.
func (w *recorder) addEnrolled(b *batch, allowed int) {
	w.enrolling = slices.DeleteFunc(w.enrolling, func(m *machine) bool { return m.terminated })
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
	leaderTerm *leaderTerm
	batch      *batch
	sent       time.Time
	res        store.Result
	err        error
}

func (m recordedMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	w := &m.leaderTerm.recorder
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
		record(m.leaderTerm.counts.recorded, now.Sub(m.sent))
		w.recorded(m.batch)
	case m.leaderTerm.checkTermConflict(m.res):
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
			if !p.job.ended && slices.Contains(m.res.Failed, store.ActivePrefix+p.job.spec.ID) {
				p.job.completionDirty = false // cancelled; the watch will say so
				p.job.completionChunks[p.first] = false
				w.dirty = slices.DeleteFunc(w.dirty, func(j *job) bool { return j == p.job })
			}
		}
	}
	w.flush(now)
}

// again queues the changes of a batch that was not carried out, or may not have been.
func (w *recorder) again(b *batch) {
	w.finishing = append(slices.Clone(b.finished), w.finishing...)
	w.leaderTerm.dependencies.pendingCancels = append(slices.Clone(b.derivedCancels), w.leaderTerm.dependencies.pendingCancels...)
	w.unwritten(b)
	w.drops = append(slices.Clone(b.drops), w.drops...)
	for _, p := range b.progressed {
		w.progress(p.job)
	}
}

// lower reduces what a batch may hold after one was refused for good, although it
// kept to the limits as this node knows them: a retry would be refused too.
func (w *recorder) lower(b *batch, now time.Time) {
	log := w.leaderTerm.c.Log
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
	w.leaderTerm.c.Log.Error("machine's entry does not fit the roster", "machine", m.name)
	w.leaderTerm.evacuate(m, "does not fit the roster")
}

// recorded updates the state of what a written batch has put on record.
func (w *recorder) recorded(b *batch) {
	lt := w.leaderTerm
	for _, j := range b.finished {
		lt.jobFinished(j)
	}
	for _, j := range b.derivedCancels {
		if !j.ended {
			lt.cancelJob(j)
		}
	}
	w.written(b)
	for _, p := range b.progressed {
		p.job.chunkSizes[p.first] = 8 * len(p.words)
		delete(p.job.moving, p.first)
		for i, by := range p.words {
			for bit := range 8 {
				if by&(1<<bit) != 0 {
					p.job.recorded.Set(uint(p.first + i*8 + bit))
				}
			}
		}
		if _, more := p.job.unrecorded(w.perChunk); more && !p.job.ended && !p.job.finishing {
			w.progress(p.job)
		}
	}
}

// jobFinished removes a job whose end is on record.
func (lt *leaderTerm) jobFinished(j *job) {
	if j.ended {
		return
	}
	lt.forget(j)
	now := time.Now()
	lt.c.final.Add(j.spec.ID, store.FinalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now}.FinalState(j.spec.ID))
	lt.dependencies.jobDone(j.spec.ID, now)
	for first, written := range j.completionChunks {
		if written {
			lt.recorder.drop(store.ProgressKey(j.spec.ID, first))
		}
	}
	lt.dependencyLists.drop(j)
	lt.c.Log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks,
		"lost", j.lostTasks, "firstStart", j.sinceRunnable(j.firstStart), "lastStart", j.sinceRunnable(j.lastStart), "estimate", j.spec.EstimateS, "longest", j.longest.Round(time.Second/10),
		"late", math.Round(time.Since(j.objectives[0]).Seconds()))
}
