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
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// recordWriter writes the leader's changes to the store: batched, one transaction
// at a time, within a part of the write rate that leaves submissions theirs.
type recordWriter struct {
	leaderTerm *leaderTerm
	limiter    *rate.Limiter
	maxOps     int
	maxBytes   int
	// tasksPerChunk is how many tasks a progress record holds; 0: none is written.
	tasksPerChunk int

	finishing      []*job
	registering    []*machine
	pendingDeletes []string
	dirtyJobs      []*job
	// staleShards are the shards of the roster on which machines are gone; shards
	// counts those written, since none has the name of an earlier one.
	staleShards      []*shard
	shardCount       int
	machinesPerShard int
	maxShardBytes    int
	nextRewrite      time.Time
	writeInFlight    bool
	// outcomeUnknown are the jobs whose end is to be read, one at a time.
	outcomeUnknown []string
	resolving      bool
	retryAt        time.Time
	// lastProgress keeps progress records behind everything else.
	nextCompletion time.Time
}

const completionInterval = 500 * time.Millisecond

func (rw *recordWriter) init(lt *leaderTerm) {
	lim := lt.c.Settings.Site.State
	rw.leaderTerm = lt
	rw.maxOps = lim.TxnOps
	recordStore := lim.WriteRPS * kv.RecordShare
	// A burst of records leaves room for submissions in the service's own.
	rw.limiter = rate.NewLimiter(rate.Limit(recordStore), max(2, min(lim.TxnOps, int(recordStore))))
	rw.maxBytes = kv.MaxTxnBytes * 3 / 4
	rw.maxShardBytes = min(int(lim.ValueKB*1024), rw.maxBytes)
	rw.machinesPerShard = max(1, rw.maxShardBytes/2/shardEntryBytes)
	// The bit set is written as base64; half the value's size leaves room.
	rw.tasksPerChunk = rw.maxShardBytes / 2 * 8
}

func (rw *recordWriter) finishJob(j *job) {
	if !j.finishing {
		j.finishing = true
		rw.finishing = append(rw.finishing, j)
	}
}

func (rw *recordWriter) queueCompletion(j *job) {
	if !j.completionDirty {
		j.completionDirty = true
		rw.dirtyJobs = append(rw.dirtyJobs, j)
	}
}

func (rw *recordWriter) register(m *machine) { rw.registering = append(rw.registering, m) }

func (rw *recordWriter) deleteKey(key string) { rw.pendingDeletes = append(rw.pendingDeletes, key) }

// batch is one transaction with what it stands for.
type batch struct {
	txn      kv.Txn
	bytes    int
	finished []*job
	// derivedCancels are cancelled with a job that they need.
	derivedCancels []*job
	shards         []*shard
	// replaced are shards that go with this batch.
	replaced []*shard
	deletes  []string
	// completions are the jobs whose done tasks the transaction records.
	completions []completionWrite
}

type completionWrite struct {
	job   *job
	first int
	bits  []byte
}

// writeBatch starts the next transaction if there is anything to write.
func (rw *recordWriter) writeBatch(now time.Time) {
	if rw.writeInFlight || now.Before(rw.retryAt) {
		return
	}
	b := rw.nextBatch(now)
	if len(b.txn.Ops) == 0 {
		return
	}
	rw.writeInFlight = true
	lt := rw.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 2*time.Second)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, b.txn)
		lt.sendToOwner(batchWrittenMsg{lt, b, now, res, err})
	}()
}

func (rw *recordWriter) newBatch() *batch {
	return &batch{txn: kv.Txn{Records: true, Compares: []kv.Compare{rw.leaderTerm.termCompare()}}}
}

// nextBatch builds the next batch, the most urgent changes first, within what the
// write rate allows at this moment.
func (rw *recordWriter) nextBatch(now time.Time) *batch {
	b := rw.newBatch()
	if rw.leaderTerm.dependencies.addCancellations(b, now); len(b.txn.Ops) > 0 {
		return b
	}
	allowed := min(rw.maxOps, int(rw.limiter.TokensAt(now)))
	rw.addFinished(b, allowed, now)
	rw.addRegistrations(b, allowed)
	rw.addDeletes(b, allowed)
	if !now.Before(rw.nextCompletion) {
		rw.nextCompletion = now.Add(completionInterval)
		rw.addCompletions(b, allowed/2)
	}
	rw.rewriteStale(b, allowed, now)
	rw.limiter.AllowN(now, len(b.txn.Ops))
	return b
}

// addFinished adds the ends of jobs whose tasks are all done.
func (rw *recordWriter) addFinished(b *batch, allowed int, now time.Time) {
	for len(rw.finishing) > 0 && b.bytes < rw.maxBytes {
		j := rw.finishing[0]
		if j.ended {
			rw.finishing = rw.finishing[1:]
			continue
		}
		if len(b.txn.Ops)+2 > allowed {
			return
		}
		rw.finishing = rw.finishing[1:]
		active := records.ActivePrefix + j.spec.ID
		b.txn.Compares = append(b.txn.Compares, kv.Compare{Key: active, ModRevision: j.modRevision})
		b.put(records.TerminalPrefix+j.spec.ID, records.TerminalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now.UTC()})
		b.delete(active)
		b.finished = append(b.finished, j)
		// From now on others may read of its end before this node knows of it.
		j.ending = true
	}
}

// addRegistrations adds new machines to the roster.
func (rw *recordWriter) addRegistrations(b *batch, allowed int) {
	rw.registering = slices.DeleteFunc(rw.registering, func(m *machine) bool { return m.terminated })
	for len(rw.registering) > 0 && len(b.txn.Ops) < allowed && b.bytes < rw.maxBytes {
		n, size := rw.shardPrefix(rw.registering)
		if n == 0 {
			rw.rejectMachine(rw.registering[0])
			rw.registering = rw.registering[1:]
			continue
		}
		if len(b.txn.Ops) > 0 && b.bytes+size > rw.maxBytes {
			return
		}
		b.addShard(rw.newShard(rw.registering[:n]))
		rw.registering = rw.registering[n:]
	}
}

// addDeletes adds the deletion of records that are no longer needed.
func (rw *recordWriter) addDeletes(b *batch, allowed int) {
	for len(rw.pendingDeletes) > 0 && len(b.txn.Ops) < allowed {
		b.delete(rw.pendingDeletes[0])
		b.deletes = append(b.deletes, rw.pendingDeletes[0])
		rw.pendingDeletes = rw.pendingDeletes[1:]
	}
}

func (b *batch) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // records hold only plain values
	}
	b.txn.Ops = append(b.txn.Ops, kv.Op{Put: key, Value: json.RawMessage(raw)})
	b.bytes += len(raw) + 2*len(key) + 100
}

func (b *batch) delete(key string) {
	b.txn.Ops = append(b.txn.Ops, kv.Op{Delete: key})
	b.bytes += 2*len(key) + 100
}

type batchWrittenMsg struct {
	leaderTerm *leaderTerm
	batch      *batch
	sent       time.Time
	result     kv.Result
	err        error
}

func (m batchWrittenMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	rw := &m.leaderTerm.recordWriter
	rw.writeInFlight = false
	now := time.Now()
	switch {
	case errors.Is(m.err, kv.ErrInvalid):
		rw.retryAt = now.Add(250 * time.Millisecond)
		rw.requeue(m.batch)
		rw.shrinkLimits(m.batch, now)
	case m.err != nil:
		rw.retryAt = now.Add(250 * time.Millisecond)
		// If it was carried out all the same, or is yet to be, the next try
		// fails by its guards, and tells which jobs to look at.
		rw.requeue(m.batch)
		c.Log.Debug("records not written", "err", m.err)
	case m.result.Succeeded:
		record(m.leaderTerm.counts.recorded, now.Sub(m.sent))
		rw.batchWritten(m.batch)
	case m.leaderTerm.checkTermConflict(m.result):
	default:
		rw.requeue(m.batch)
		var changed []*job
		for _, j := range m.batch.finished {
			if slices.Contains(m.result.FailedKeys, records.ActivePrefix+j.spec.ID) {
				changed = append(changed, j)
			}
		}
		for _, j := range m.batch.derivedCancels {
			if slices.Contains(m.result.FailedKeys, records.ActivePrefix+j.spec.ID) {
				changed = append(changed, j)
			}
		}
		rw.resolveOutcomes(changed)
		for _, p := range m.batch.completions {
			if !p.job.ended && slices.Contains(m.result.FailedKeys, records.ActivePrefix+p.job.spec.ID) {
				p.job.completionDirty = false // cancelled; the watch will say so
				p.job.completionChunks[p.first] = false
				rw.dirtyJobs = slices.DeleteFunc(rw.dirtyJobs, func(j *job) bool { return j == p.job })
			}
		}
	}
	rw.writeBatch(now)
}

// requeue queues the changes of a batch that was not carried out, or may not have been.
func (rw *recordWriter) requeue(b *batch) {
	rw.finishing = append(slices.Clone(b.finished), rw.finishing...)
	rw.leaderTerm.dependencies.pendingCancels = append(slices.Clone(b.derivedCancels), rw.leaderTerm.dependencies.pendingCancels...)
	rw.requeueShards(b)
	rw.pendingDeletes = append(slices.Clone(b.deletes), rw.pendingDeletes...)
	for _, p := range b.completions {
		rw.queueCompletion(p.job)
	}
}

// shrinkLimits reduces what a batch may hold after one was refused for good, although it
// kept to the limits as this node knows them: a retry would be refused too.
func (rw *recordWriter) shrinkLimits(b *batch, now time.Time) {
	log := rw.leaderTerm.c.Log
	log.Error("records refused as too large", "changes", len(b.txn.Ops), "bytes", b.bytes)
	switch {
	case len(b.txn.Ops) > 2:
		rw.maxOps = max(2, len(b.txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].machines) > 1:
		rw.machinesPerShard = max(1, len(b.shards[0].machines)/2)
	case len(b.shards) > 0 && b.shards[0].replaces != nil:
		rw.keepStale(b.shards[0].replaces)
	case len(b.shards) > 0:
		m := b.shards[0].machines[0]
		rw.registering = slices.DeleteFunc(rw.registering, func(o *machine) bool { return o == m })
		rw.rejectMachine(m)
	case len(b.completions) > 0:
		// Below eight tasks nothing is left to halve: what is done is then
		// known to this leader only.
		rw.tasksPerChunk = rw.tasksPerChunk / 16 * 8
	default:
		rw.retryAt = now.Add(5 * time.Second) // an end: it has no size to lower
	}
}

// rejectMachine takes out of use a machine whose entry no shard can hold: the next leader would
// not know of it, so it is never given a task.
func (rw *recordWriter) rejectMachine(m *machine) {
	rw.leaderTerm.c.Log.Error("machine's entry does not fit the roster", "machine", m.name)
	rw.leaderTerm.evacuate(m, "does not fit the roster")
}

// batchWritten updates the state of what a written batch has put on record.
func (rw *recordWriter) batchWritten(b *batch) {
	lt := rw.leaderTerm
	for _, j := range b.finished {
		lt.jobFinished(j)
	}
	for _, j := range b.derivedCancels {
		if !j.ended {
			lt.cancelJob(j)
		}
	}
	rw.shardsWritten(b)
	for _, p := range b.completions {
		p.job.chunkSizes[p.first] = 8 * len(p.bits)
		delete(p.job.moving, p.first)
		for i, by := range p.bits {
			for bit := range 8 {
				if by&(1<<bit) != 0 {
					p.job.recorded.Set(uint(p.first + i*8 + bit))
				}
			}
		}
		if _, more := p.job.nextUnrecordedChunk(rw.tasksPerChunk); more && !p.job.ended && !p.job.finishing {
			rw.queueCompletion(p.job)
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
	lt.c.final.Add(j.spec.ID, records.TerminalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: now}.JobState(j.spec.ID))
	lt.dependencies.jobDone(j.spec.ID, now)
	for first, written := range j.completionChunks {
		if written {
			lt.recordWriter.deleteKey(records.CompletionKey(j.spec.ID, first))
		}
	}
	lt.dependencyLists.drop(j)
	lt.c.Log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks,
		"lost", j.lostTasks, "firstStart", j.sinceRunnable(j.firstStart), "lastStart", j.sinceRunnable(j.lastStart), "estimate", j.spec.EstimateS, "longest", j.longest.Round(time.Second/10),
		"late", math.Round(time.Since(j.objectives[0]).Seconds()))
}
