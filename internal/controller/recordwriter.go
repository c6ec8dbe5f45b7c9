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
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// recordWriter writes the leader's changes to the key-value store: batched, one
// transaction at a time, within a share of the write rate that leaves the rest to
// submissions.
type recordWriter struct {
	leaderTerm *leaderTerm
	limiter    *rate.Limiter
	// maxOps and maxBytes bound a transaction; a rejected batch lowers maxOps.
	maxOps   int
	maxBytes int
	// tasksPerChunk is how many tasks a completion record covers; 0: none is written.
	tasksPerChunk int

	// finishing are the jobs whose terminal record is yet to be written.
	finishing []*cluster.Job
	// registering are the machines that no shard names yet.
	registering []*cluster.Machine
	// pendingDeletes are the keys of records that are no longer needed.
	pendingDeletes []string
	// dirtyJobs are the jobs with completed tasks that are not on record.
	dirtyJobs []*cluster.Job
	// staleShards are the shards of the registry that name terminated machines.
	staleShards []*cluster.Shard
	// shardCount numbers the shards written: none takes the name of an earlier one.
	shardCount       int
	machinesPerShard int
	maxShardBytes    int
	// nextRewrite is the earliest time of the next rewrite of a stale shard.
	nextRewrite   time.Time
	writeInFlight bool
	// retryAt is the earliest time of the next write after a failed one.
	retryAt time.Time
	// OutcomeUnknown are the ids of jobs whose end is to be read, one at a time;
	// resolving is set while one is being read.
	outcomeUnknown []string
	resolving      bool
	// nextCompletion keeps completion records behind everything else.
	nextCompletion time.Time
}

const (
	completionInterval = 500 * time.Millisecond
	recordWriteTimeout = 2 * time.Second
	recordRetryDelay   = 250 * time.Millisecond
	// terminalRetryDelay follows the rejection of a batch that cannot be made smaller.
	terminalRetryDelay = 5 * time.Second
	// opOverheadBytes is about what an operation takes beside its key and value.
	opOverheadBytes = 100
)

func (rw *recordWriter) init(lt *leaderTerm) {
	lim := lt.c.Settings.Site.State
	rw.leaderTerm = lt
	rw.maxOps = lim.TxnOps
	recordStore := lim.WriteRPS * kv.RecordShare
	// The burst is below the store's own, so that submissions still find capacity in it.
	rw.limiter = rate.NewLimiter(rate.Limit(recordStore), max(2, min(lim.TxnOps, int(recordStore))))
	rw.maxBytes = kv.MaxTxnBytes * 3 / 4
	rw.maxShardBytes = min(int(lim.ValueKB*1024), rw.maxBytes)
	rw.machinesPerShard = max(1, rw.maxShardBytes/2/shardEntryBytes)
	// The bit set is written as base64, which takes a third more than the set itself:
	// half of the largest value is a safe size.
	rw.tasksPerChunk = rw.maxShardBytes / 2 * 8
}

func (rw *recordWriter) finishJob(j *cluster.Job) {
	if !j.Finishing {
		j.Finishing = true
		rw.finishing = append(rw.finishing, j)
	}
}

func (rw *recordWriter) queueCompletion(j *cluster.Job) {
	if !j.CompletionDirty {
		j.CompletionDirty = true
		rw.dirtyJobs = append(rw.dirtyJobs, j)
	}
}

func (rw *recordWriter) register(m *cluster.Machine) { rw.registering = append(rw.registering, m) }

func (rw *recordWriter) deleteKey(key string) { rw.pendingDeletes = append(rw.pendingDeletes, key) }

// batch is one transaction with the changes that it records.
type batch struct {
	txn kv.Txn
	// bytes is about how large the transaction is.
	bytes    int
	finished []*cluster.Job
	// derivedCancels are the jobs cancelled because they depend on a cancelled one.
	derivedCancels []*cluster.Job
	shards         []*cluster.Shard
	// replaced are the shards that this batch deletes.
	replaced []*cluster.Shard
	deletes  []string
	// completions are the chunks of completed tasks that the transaction records.
	completions []completionWrite
}

// completionWrite is one completion record: the job's tasks from first on, as a bit set.
type completionWrite struct {
	job   *cluster.Job
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
		ctx, cancel := context.WithTimeout(lt.ctx, recordWriteTimeout)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, b.txn)
		lt.sendToOwner(batchWrittenMsg{leaderTerm: lt, batch: b, sent: now, result: res, err: err})
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

// addFinished adds the terminal records of jobs whose tasks are all done.
func (rw *recordWriter) addFinished(b *batch, allowed int, now time.Time) {
	for len(rw.finishing) > 0 && b.bytes < rw.maxBytes {
		j := rw.finishing[0]
		if j.Ended {
			rw.finishing = rw.finishing[1:]
			continue
		}
		if len(b.txn.Ops)+2 > allowed {
			return
		}
		rw.finishing = rw.finishing[1:]
		active := records.ActivePrefix + j.Spec.ID
		b.txn.Compares = append(b.txn.Compares, kv.Compare{Key: active, ModRevision: j.ModRevision})
		b.addPut(records.TerminalPrefix+j.Spec.ID, records.TerminalRecord{
			Phase: api.JobDone,
			Tasks: j.Spec.Tasks,
			Ended: now.UTC(),
		})
		b.addDelete(active)
		b.finished = append(b.finished, j)
		// From now on others may read its terminal record before this node learns that it
		// was written.
		j.Ending = true
	}
}

// addRegistrations adds new machines to the registry.
func (rw *recordWriter) addRegistrations(b *batch, allowed int) {
	rw.registering = slices.DeleteFunc(rw.registering, func(m *cluster.Machine) bool { return m.Phase() == cluster.Terminated })
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
		b.addDelete(rw.pendingDeletes[0])
		b.deletes = append(b.deletes, rw.pendingDeletes[0])
		rw.pendingDeletes = rw.pendingDeletes[1:]
	}
}

func (b *batch) addPut(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // records hold only plain values
	}
	b.txn.Ops = append(b.txn.Ops, kv.Op{Put: key, Value: json.RawMessage(raw)})
	b.bytes += len(raw) + 2*len(key) + opOverheadBytes
}

func (b *batch) addDelete(key string) {
	b.txn.Ops = append(b.txn.Ops, kv.Op{Delete: key})
	b.bytes += 2*len(key) + opOverheadBytes
}

// batchWrittenMsg is the result of a batch's transaction, sent at sent.
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
		rw.retryAt = now.Add(recordRetryDelay)
		rw.requeue(m.batch)
		rw.shrinkLimits(m.batch, now)
	case m.err != nil:
		rw.retryAt = now.Add(recordRetryDelay)
		// If it was applied all the same, or is yet to be, the compares of the next
		// try fail and name the jobs whose outcome is to be read.
		rw.requeue(m.batch)
		c.Log.Debug("records not written", "err", m.err)
	case m.result.Succeeded:
		recordLatency(m.leaderTerm.counts.recorded, now.Sub(m.sent))
		rw.batchWritten(m.batch)
	case m.leaderTerm.checkTermConflict(m.result):
	default:
		rw.requeue(m.batch)
		rw.handleConflicts(m.batch, m.result.FailedKeys)
	}
	rw.writeBatch(now)
}

// handleConflicts takes the jobs whose active record has changed out of the requeued
// changes of a batch: those about to end until their outcome is read, the others for good.
func (rw *recordWriter) handleConflicts(b *batch, failedKeys []string) {
	conflicts := func(j *cluster.Job) bool { return slices.Contains(failedKeys, records.ActivePrefix+j.Spec.ID) }
	var changed []*cluster.Job
	for _, j := range slices.Concat(b.finished, b.derivedCancels) {
		if conflicts(j) {
			changed = append(changed, j)
		}
	}
	rw.resolveOutcomes(changed)
	for _, w := range b.completions {
		if !w.job.Ended && conflicts(w.job) {
			w.job.CompletionDirty = false // it was cancelled; the watch will show that
			w.job.CompletionChunks[w.first] = false
			rw.dirtyJobs = slices.DeleteFunc(rw.dirtyJobs, func(j *cluster.Job) bool { return j == w.job })
		}
	}
}

// requeue queues the changes of a batch that was not applied, or whose outcome is unknown.
func (rw *recordWriter) requeue(b *batch) {
	rw.finishing = append(slices.Clone(b.finished), rw.finishing...)
	deps := &rw.leaderTerm.dependencies
	deps.pendingCancels = append(slices.Clone(b.derivedCancels), deps.pendingCancels...)
	rw.requeueShards(b)
	rw.pendingDeletes = append(slices.Clone(b.deletes), rw.pendingDeletes...)
	for _, w := range b.completions {
		rw.queueCompletion(w.job)
	}
}

// shrinkLimits reduces what a batch may hold after the store rejected one as invalid,
// although it kept to the limits as this node knows them: a retry would be rejected too.
func (rw *recordWriter) shrinkLimits(b *batch, now time.Time) {
	log := rw.leaderTerm.c.Log
	log.Error("records rejected as too large", "count", len(b.txn.Ops), "bytes", b.bytes)
	switch {
	case len(b.txn.Ops) > 2:
		rw.maxOps = max(2, len(b.txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].Machines) > 1:
		rw.machinesPerShard = max(1, len(b.shards[0].Machines)/2)
	case len(b.shards) > 0 && b.shards[0].Replaces != nil:
		rw.keepStale(b.shards[0].Replaces)
	case len(b.shards) > 0:
		m := b.shards[0].Machines[0]
		rw.registering = slices.DeleteFunc(rw.registering, func(o *cluster.Machine) bool { return o == m })
		rw.rejectMachine(m)
	case len(b.completions) > 0:
		// Half of it, in whole bytes. Below eight tasks no chunk is left: completed
		// tasks are then known to this leader only.
		rw.tasksPerChunk = rw.tasksPerChunk / 16 * 8
	default:
		rw.retryAt = now.Add(terminalRetryDelay) // a terminal record: it has no size to lower
	}
}

// rejectMachine evacuates a machine whose entry no shard can hold: the next leader would
// not know of it, so it is never given a task.
func (rw *recordWriter) rejectMachine(m *cluster.Machine) {
	rw.leaderTerm.c.Log.Error("machine's entry too large for the registry", "machine", m.Name)
	rw.leaderTerm.evacuate(m, "does not fit the roster")
}

// batchWritten updates the jobs and machines that a written batch is about.
func (rw *recordWriter) batchWritten(b *batch) {
	lt := rw.leaderTerm
	for _, j := range b.finished {
		lt.jobFinished(j)
	}
	for _, j := range b.derivedCancels {
		if !j.Ended {
			lt.cancelJob(j)
		}
	}
	rw.shardsWritten(b)
	for _, w := range b.completions {
		rw.completionWritten(w)
	}
}

// jobFinished removes a job whose terminal record says that it is done.
func (lt *leaderTerm) jobFinished(j *cluster.Job) {
	if j.Ended {
		return
	}
	lt.removeJob(j)
	now := time.Now()
	terminal := records.TerminalRecord{Phase: api.JobDone, Tasks: j.Spec.Tasks, Ended: now}
	lt.c.finalStates.Add(j.Spec.ID, terminal.JobState(j.Spec.ID))
	lt.dependencies.jobDone(j.Spec.ID, now)
	for first, written := range j.CompletionChunks {
		if written {
			lt.recordWriter.deleteKey(records.CompletionKey(j.Spec.ID, first))
		}
	}
	lt.dependencyLists.drop(j)
	lt.c.Log.Debug("job done",
		"job", j.Spec.ID,
		"class", j.Spec.Class,
		"tasks", j.Spec.Tasks,
		"lost", j.LostTasks,
		"firstStart", j.SinceRunnable(j.FirstStart),
		"lastStart", j.SinceRunnable(j.LastStart),
		"estimate", j.Spec.EstimateS,
		"longest", j.LongestRun.Round(time.Second/10),
		"late", math.Round(time.Since(j.Objectives[0]).Seconds()))
}
