package recordwriter

import (
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
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
	// unresolved are the ids of jobs whose end is to be read, one at a time;
	// resolving is set while one is being read.
	unresolved []string
	resolving  bool
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

// opsPerCancellation is how many operations the cancellation of one job takes. The cancel key need not
// change: no task of these jobs runs, and this leader knows of the cancellation.
const opsPerCancellation = 2

// New returns the writer of one term. Each batch compares the term's key by termCompare, and
// the shards that it writes are named by termNumber.
func New(limits config.KVLimits, termCompare kv.Compare, termNumber uint64) *Writer {
	w := &Writer{termCompare: termCompare, termNumber: termNumber, maxOps: limits.TxnOps}
	recordRate := limits.WriteRPS * kv.RecordShare
	// The burst is below the store's own, so that submissions still find capacity in it.
	w.limiter = rate.NewLimiter(rate.Limit(recordRate), max(2, min(limits.TxnOps, int(recordRate))))
	cancelRate := limits.WriteRPS * cancelWriteShare
	cancelBurst := max(opsPerCancellation, min(limits.TxnOps, int(cancelRate)))
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
		Unresolved:  len(w.unresolved),
	}
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
