package controller

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// Writer builds the leader's transactions, one at a time, and keeps what is yet to be written.
// The rate is a share of the write rate that leaves the rest to submissions.
type Writer struct {
	termCompare kv.Compare
	termNumber  uint64
	limiter     *rate.Limiter
	// cancelLimiter is the part of the write rate that is reserved for derived cancellations.
	cancelLimiter *rate.Limiter
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
	// outcomeUnknown are the ids of jobs whose end is to be read, one at a time;
	// resolving is set while one is being read.
	outcomeUnknown []string
	resolving      bool
	// nextCompletion keeps completion records behind everything else.
	nextCompletion time.Time
}

const (
	completionInterval = 500 * time.Millisecond
	recordRetryDelay   = 250 * time.Millisecond
	// terminalRetryDelay follows the rejection of a batch that cannot be made smaller.
	terminalRetryDelay = 5 * time.Second
	// opOverheadBytes is about what an operation takes beside its key and value.
	opOverheadBytes = 100
)

// cancelWriteShare is the part of the write rate that is reserved for derived cancellations: with
// small transactions the ends of other jobs would take every turn, and their users wait. Users'
// own cancellations leave it to them.
const cancelWriteShare = 0.4

// cancelBatchOps is how many operations the cancellation of one job takes. The cancel key need not
// change: no task of these jobs runs, and this leader knows of the cancellation.
const cancelBatchOps = 2

// NewWriter returns the writer of one term. Each batch compares the term's key by termCompare, and
// the shards that it writes are named by termNumber.
func NewWriter(limits config.KVLimits, termCompare kv.Compare, termNumber uint64) *Writer {
	w := &Writer{termCompare: termCompare, termNumber: termNumber, maxOps: limits.TxnOps}
	recordRate := limits.WriteRPS * kv.RecordShare
	// The burst is below the store's own, so that submissions still find capacity in it.
	w.limiter = rate.NewLimiter(rate.Limit(recordRate), max(2, min(limits.TxnOps, int(recordRate))))
	cancelRate := limits.WriteRPS * cancelWriteShare
	cancelBurst := max(cancelBatchOps, min(limits.TxnOps, int(cancelRate)))
	w.cancelLimiter = rate.NewLimiter(rate.Limit(cancelRate), cancelBurst)
	w.maxBytes = kv.MaxTxnBytes * 3 / 4
	w.maxShardBytes = min(int(limits.ValueKB*1024), w.maxBytes)
	w.machinesPerShard = max(1, w.maxShardBytes/2/shardEntryBytes)
	// The bit set is written as base64, which takes a third more than the set itself:
	// half of the largest value is a safe size.
	w.tasksPerChunk = w.maxShardBytes / 2 * 8
	return w
}

// FinishJob queues the terminal record of a job whose tasks are all done.
func (w *Writer) FinishJob(j *cluster.Job) {
	if !j.Finishing {
		j.Finishing = true
		w.finishing = append(w.finishing, j)
	}
}

// RetryFinish queues the terminal record of a job again, after its outcome was read: it is not on
// record.
func (w *Writer) RetryFinish(j *cluster.Job) { w.finishing = append(w.finishing, j) }

// QueueCompletion queues a job with completed tasks that are not on record.
func (w *Writer) QueueCompletion(j *cluster.Job) {
	if !j.CompletionDirty {
		j.CompletionDirty = true
		w.dirtyJobs = append(w.dirtyJobs, j)
	}
}

// Register queues a machine for the registry.
func (w *Writer) Register(m *cluster.Machine) { w.registering = append(w.registering, m) }

// DeleteKey queues the deletion of a record that is no longer needed.
func (w *Writer) DeleteKey(key string) { w.pendingDeletes = append(w.pendingDeletes, key) }

// Backlog counts what is yet to be written, and the jobs whose outcome is yet to be read.
type Backlog struct{ Finishing, Registering, Deletes, Completions, Unresolved int }

// Backlog returns the lengths of the queues.
func (w *Writer) Backlog() Backlog {
	return Backlog{
		Finishing:   len(w.finishing),
		Registering: len(w.registering),
		Deletes:     len(w.pendingDeletes),
		Completions: len(w.dirtyJobs),
		Unresolved:  len(w.outcomeUnknown),
	}
}

// Batch is one transaction with the changes that it records.
type Batch struct {
	// Txn is the transaction. It compares the term.
	Txn kv.Txn
	// Bytes is about how large the transaction is.
	Bytes int
	// DerivedCancels are the first of the pending cancellations, which the batch records: jobs
	// cancelled because they depend on a cancelled one.
	DerivedCancels []*cluster.Job
	// Unfit is what was found to fit in no shard when the batch was built.
	Unfit Unfit

	finished []*cluster.Job
	shards   []*cluster.Shard
	// replaced are the shards that this batch deletes.
	replaced []*cluster.Shard
	deletes  []string
	// completions are the chunks of completed tasks that the transaction records.
	completions []completionWrite
}

// IsEmpty tells whether there is nothing to write.
func (b *Batch) IsEmpty() bool { return len(b.Txn.Ops) == 0 }

// Unfit is what no shard of the registry can hold.
type Unfit struct {
	// Machines are rejected: the next leader would not know of them, so they must never be
	// given a task.
	Machines []*cluster.Machine
	// Shards are the keys of stale shards that no new one can replace. They stay as they are.
	Shards []string
}

// completionWrite is one completion record: the job's tasks from first on, as a bit set.
type completionWrite struct {
	job   *cluster.Job
	first int
	bits  []byte
}

// Ready tells whether the next batch may be built: none is in flight, and the delay after one that
// failed is over.
func (w *Writer) Ready(now time.Time) bool { return !w.writeInFlight && !now.Before(w.retryAt) }

// NextBatch builds the next batch, the most urgent changes first, within what the write rate allows
// at this moment. It is called only when the writer is Ready. Pending cancellations go first, in
// their order and in a batch of their own; the caller passes those of jobs that have not ended, and
// removes from them the DerivedCancels of the batch. Unless the batch is empty, Apply must follow.
func (w *Writer) NextBatch(now time.Time, pendingCancels []*cluster.Job) *Batch {
	b := &Batch{Txn: kv.Txn{Records: true, Compares: []kv.Compare{w.termCompare}}}
	if w.addCancellations(b, pendingCancels, now); b.IsEmpty() {
		w.addChanges(b, now)
	}
	w.writeInFlight = !b.IsEmpty()
	return b
}

// addCancellations adds the first of the pending cancellations, if the write rate allows.
func (w *Writer) addCancellations(b *Batch, pending []*cluster.Job, now time.Time) {
	allowed := min(w.maxOps, int(w.cancelLimiter.TokensAt(now)))
	if len(pending) == 0 || allowed < cancelBatchOps {
		return
	}
	n := 0
	for n < len(pending) && len(b.Txn.Ops)+cancelBatchOps <= allowed && b.Bytes < w.maxBytes {
		j := pending[n]
		active := records.ActivePrefix + j.Spec.ID
		b.Txn.Compares = append(b.Txn.Compares, kv.Compare{Key: active, ModRevision: j.ModRevision})
		b.addPut(records.TerminalPrefix+j.Spec.ID, records.TerminalRecord{Phase: api.JobCancelled, Tasks: j.Spec.Tasks})
		b.addDelete(active)
		j.Ending = true
		n++
	}
	b.DerivedCancels = slices.Clone(pending[:n])
	w.cancelLimiter.AllowN(now, len(b.Txn.Ops))
}

// addChanges adds all changes but cancellations.
func (w *Writer) addChanges(b *Batch, now time.Time) {
	allowed := min(w.maxOps, int(w.limiter.TokensAt(now)))
	w.addFinished(b, allowed, now)
	w.addRegistrations(b, allowed)
	w.addDeletes(b, allowed)
	if !now.Before(w.nextCompletion) {
		w.nextCompletion = now.Add(completionInterval)
		w.addCompletions(b, allowed/2)
	}
	w.rewriteStale(b, allowed, now)
	w.limiter.AllowN(now, len(b.Txn.Ops))
}

// addFinished adds the terminal records of jobs whose tasks are all done.
func (w *Writer) addFinished(b *Batch, allowed int, now time.Time) {
	for len(w.finishing) > 0 && b.Bytes < w.maxBytes {
		j := w.finishing[0]
		if j.Ended {
			w.finishing = w.finishing[1:]
			continue
		}
		if len(b.Txn.Ops)+2 > allowed {
			return
		}
		w.finishing = w.finishing[1:]
		active := records.ActivePrefix + j.Spec.ID
		b.Txn.Compares = append(b.Txn.Compares, kv.Compare{Key: active, ModRevision: j.ModRevision})
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
func (w *Writer) addRegistrations(b *Batch, allowed int) {
	w.registering = slices.DeleteFunc(w.registering, func(m *cluster.Machine) bool {
		return m.Phase() == cluster.Terminated
	})
	for len(w.registering) > 0 && len(b.Txn.Ops) < allowed && b.Bytes < w.maxBytes {
		n, size := w.shardPrefix(w.registering)
		if n == 0 {
			b.Unfit.Machines = append(b.Unfit.Machines, w.registering[0])
			w.registering = w.registering[1:]
			continue
		}
		if len(b.Txn.Ops) > 0 && b.Bytes+size > w.maxBytes {
			return
		}
		b.addShard(w.newShard(w.registering[:n]))
		w.registering = w.registering[n:]
	}
}

// addDeletes adds the deletion of records that are no longer needed.
func (w *Writer) addDeletes(b *Batch, allowed int) {
	for len(w.pendingDeletes) > 0 && len(b.Txn.Ops) < allowed {
		b.addDelete(w.pendingDeletes[0])
		b.deletes = append(b.deletes, w.pendingDeletes[0])
		w.pendingDeletes = w.pendingDeletes[1:]
	}
}

func (b *Batch) addPut(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // records hold only plain values
	}
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Put: key, Value: json.RawMessage(raw)})
	b.Bytes += len(raw) + 2*len(key) + opOverheadBytes
}

func (b *Batch) addDelete(key string) {
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Delete: key})
	b.Bytes += 2*len(key) + opOverheadBytes
}

// Outcome is what the result of a batch's transaction means to the owner of jobs and machines.
type Outcome struct {
	// Finished are the jobs whose end is on record.
	Finished []*cluster.Job
	// Cancelled are the jobs whose derived cancellation is on record.
	Cancelled []*cluster.Job
	// RetryCancels are the derived cancellations that were not written, or whose outcome is
	// unknown: they are pending again, before all others.
	RetryCancels []*cluster.Job
	// Changed are the jobs whose active record had changed, mostly by this leader's own
	// transaction whose response was lost. NextUnresolved names them; a cancellation of them is
	// not pending until it is known how they ended.
	Changed []*cluster.Job
	// Unfit is what the store has rejected and no shard can hold.
	Unfit Unfit
	// ShardsWritten is set if machines were registered, which may now be given tasks.
	ShardsWritten bool
	// TooLarge is set if the store rejected the batch as invalid.
	TooLarge bool
	// TermLost is set if another term has begun.
	TermLost bool
}

// Apply applies the result of a batch's transaction, which is received at now: what was written is
// marked as such, what was not is queued again.
func (w *Writer) Apply(b *Batch, now time.Time, res kv.Result, err error) Outcome {
	w.writeInFlight = false
	var out Outcome
	switch {
	case errors.Is(err, kv.ErrInvalid):
		w.retryAt = now.Add(recordRetryDelay)
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
		out.TooLarge = true
		out.Unfit = w.shrinkLimits(b, now)
	case err != nil:
		w.retryAt = now.Add(recordRetryDelay)
		// If it was applied all the same, or is yet to be, the compares of the next
		// try fail and name the jobs whose outcome is to be read.
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
	case res.Succeeded:
		out.Finished, out.Cancelled = b.finished, b.DerivedCancels
		w.shardsWritten(b)
		out.ShardsWritten = len(b.shards) > 0
		for _, written := range b.completions {
			w.completionWritten(written)
		}
	case slices.Contains(res.FailedKeys, w.termCompare.Key):
		out.TermLost = true
	default:
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
		out.Changed = w.handleConflicts(b, res.FailedKeys)
	}
	return out
}

// handleConflicts takes the jobs whose active record has changed out of the requeued
// changes of a batch: those about to end until their outcome is read, the others for good.
func (w *Writer) handleConflicts(b *Batch, failedKeys []string) (changed []*cluster.Job) {
	conflicts := func(j *cluster.Job) bool { return slices.Contains(failedKeys, records.ActivePrefix+j.Spec.ID) }
	for _, j := range slices.Concat(b.finished, b.DerivedCancels) {
		if conflicts(j) {
			changed = append(changed, j)
		}
	}
	for _, j := range changed {
		w.finishing = slices.DeleteFunc(w.finishing, func(o *cluster.Job) bool { return o == j })
		w.outcomeUnknown = append(w.outcomeUnknown, j.Spec.ID)
	}
	for _, written := range b.completions {
		if !written.job.Ended && conflicts(written.job) {
			written.job.CompletionDirty = false // it was cancelled; the watch will show that
			written.job.CompletionChunks[written.first] = false
			w.dirtyJobs = slices.DeleteFunc(w.dirtyJobs, func(j *cluster.Job) bool { return j == written.job })
		}
	}
	return changed
}

// requeue queues the changes of a batch that was not applied, or whose outcome is unknown, except
// its cancellations, which the owner keeps.
func (w *Writer) requeue(b *Batch) {
	w.finishing = append(slices.Clone(b.finished), w.finishing...)
	w.requeueShards(b)
	w.pendingDeletes = append(slices.Clone(b.deletes), w.pendingDeletes...)
	for _, written := range b.completions {
		w.QueueCompletion(written.job)
	}
}

// shrinkLimits reduces what a batch may hold after the store rejected one as invalid,
// although it kept to the limits as this node knows them: a retry would be rejected too.
func (w *Writer) shrinkLimits(b *Batch, now time.Time) (unfit Unfit) {
	switch {
	case len(b.Txn.Ops) > 2:
		w.maxOps = max(2, len(b.Txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].Machines) > 1:
		w.machinesPerShard = max(1, len(b.shards[0].Machines)/2)
	case len(b.shards) > 0 && b.shards[0].Replaces != nil:
		unfit.Shards = append(unfit.Shards, w.keepStale(b.shards[0].Replaces))
	case len(b.shards) > 0:
		m := b.shards[0].Machines[0]
		w.registering = slices.DeleteFunc(w.registering, func(o *cluster.Machine) bool { return o == m })
		unfit.Machines = append(unfit.Machines, m)
	case len(b.completions) > 0:
		// Half of it, in whole bytes. Below eight tasks no chunk is left: completed
		// tasks are then known to this leader only.
		w.tasksPerChunk = w.tasksPerChunk / 16 * 8
	default:
		w.retryAt = now.Add(terminalRetryDelay) // a terminal record: it has no size to lower
	}
	return unfit
}

// NextUnresolved returns the id of a job whose outcome the owner reads next, if there is any and
// none is being read: one at a time. After a period of lost responses there are many, and when they
// were read concurrently, they used up each other's share of the request budget: none was ever read
// to its end, and the fleet was kept for work long done.
func (w *Writer) NextUnresolved() (id string, ok bool) {
	if w.resolving || len(w.outcomeUnknown) == 0 {
		return "", false
	}
	w.resolving = true
	id, w.outcomeUnknown = w.outcomeUnknown[0], w.outcomeUnknown[1:]
	return id, true
}

// Resolved ends the read of an outcome that NextUnresolved began.
func (w *Writer) Resolved() { w.resolving = false }
