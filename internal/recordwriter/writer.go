package recordwriter

import (
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
)

// Writer queues the leader's state changes and builds transactions from them, one at a time. It uses
// only a share of the write rate and leaves the rest to submissions.
type Writer struct {
	termCompare kv.Compare
	termNumber  uint64
	limiter     *rate.Limiter
	// cancelLimiter limits derived cancellations, which have a reserved share of the write rate.
	cancelLimiter *rate.Limiter
	// maxOps and maxBytes limit the size of a transaction. A batch rejected as invalid may lower
	// maxOps.
	maxOps   int
	maxBytes int
	// tasksPerChunk is the number of tasks that a completion record covers. If it is 0, no
	// completion records are written.
	tasksPerChunk int

	// finishing holds the jobs that need a terminal record.
	finishing []*cluster.Job
	// registering holds the machines that are not in a shard yet.
	registering []*cluster.Machine
	// pendingDeletes holds the keys of obsolete records.
	pendingDeletes []string
	// dirtyJobs holds the jobs with completed tasks that are not recorded yet.
	dirtyJobs []*cluster.Job
	// staleShards holds the registry shards that name terminated machines.
	staleShards []*cluster.Shard
	// shardCount is the number of the last shard built. It makes shard keys unique in a term.
	shardCount       int
	machinesPerShard int
	maxShardBytes    int
	// nextRewrite is the earliest time at which the next stale shard may be rewritten.
	nextRewrite   time.Time
	writeInFlight bool
	// retryAt is the earliest time of the next write after a failed one.
	retryAt time.Time
	// unresolved holds the IDs of jobs whose outcome must be read from the store, one at a time.
	unresolved []string
	// resolving is set while the outcome of a job is being read.
	resolving bool
	// nextCompletion is the earliest time at which completion records may be written again.
	nextCompletion time.Time
}

const (
	// completionInterval is the minimum time between two batches with completion records, so that
	// these do not delay other records.
	completionInterval = 500 * time.Millisecond
	// recordRetryDelay is the delay after a failed write.
	recordRetryDelay = 250 * time.Millisecond
	// terminalRetryDelay is the delay after the store has rejected a batch that cannot be made
	// smaller.
	terminalRetryDelay = 5 * time.Second
	// opOverheadBytes is the approximate encoded size of an operation without its key and value.
	opOverheadBytes = 100
)

// cancelWriteShare is the share of the write rate that is reserved for derived cancellations, whose
// users are waiting. Without it, ends of other jobs would fill every batch where transactions are
// small. Cancellations requested by users do not count against this share.
const cancelWriteShare = 0.4

// opsPerCancellation is the number of operations that cancel one job. The cancel key need not change:
// no task of these jobs is running, and this leader already has the cancellation in memory.
const opsPerCancellation = 2

// New returns the writer for one term. Each batch includes termCompare, and termNumber is part of the
// keys of the shards that the writer creates.
func New(limits config.KVLimits, termCompare kv.Compare, termNumber uint64) *Writer {
	w := &Writer{termCompare: termCompare, termNumber: termNumber, maxOps: limits.TxnOps}
	recordRate := limits.WriteRPS * kv.RecordWriteShare
	// The burst is smaller than the store's, so that it leaves capacity for submissions.
	w.limiter = rate.NewLimiter(rate.Limit(recordRate), max(2, min(limits.TxnOps, int(recordRate))))
	cancelRate := limits.WriteRPS * cancelWriteShare
	cancelBurst := max(opsPerCancellation, min(limits.TxnOps, int(cancelRate)))
	w.cancelLimiter = rate.NewLimiter(rate.Limit(cancelRate), cancelBurst)
	w.maxBytes = kv.MaxTxnBytes * 3 / 4
	w.maxShardBytes = min(int(limits.ValueKB*1024), w.maxBytes)
	w.machinesPerShard = max(1, w.maxShardBytes/2/shardEntryBytes)
	// The bit set is encoded as base64, which makes it a third larger, so half of the maximum
	// value size is safe.
	w.tasksPerChunk = w.maxShardBytes / 2 * 8
	return w
}

// FinishJob queues the terminal record of a job whose tasks are all completed.
func (w *Writer) FinishJob(j *cluster.Job) {
	if !j.Finishing {
		j.Finishing = true
		w.finishing = append(w.finishing, j)
	}
}

// RetryFinish queues the terminal record of a job again after a read of its outcome has shown that the
// record does not exist.
func (w *Writer) RetryFinish(j *cluster.Job) { w.finishing = append(w.finishing, j) }

// QueueCompletion queues a job with completed tasks that are not recorded yet.
func (w *Writer) QueueCompletion(j *cluster.Job) {
	if !j.CompletionDirty {
		j.CompletionDirty = true
		w.dirtyJobs = append(w.dirtyJobs, j)
	}
}

// Register queues a machine to be added to the registry.
func (w *Writer) Register(m *cluster.Machine) { w.registering = append(w.registering, m) }

// DeleteKey queues the deletion of an obsolete record.
func (w *Writer) DeleteKey(key string) { w.pendingDeletes = append(w.pendingDeletes, key) }

// Backlog counts the queued changes by kind, without rewrites of stale shards, and the jobs whose
// outcome must be read (Unresolved).
type Backlog struct{ Finishing, Registering, Deletes, Completions, Unresolved int }

// Backlog returns the lengths of the queues that the type Backlog counts.
func (w *Writer) Backlog() Backlog {
	return Backlog{
		Finishing:   len(w.finishing),
		Registering: len(w.registering),
		Deletes:     len(w.pendingDeletes),
		Completions: len(w.dirtyJobs),
		Unresolved:  len(w.unresolved),
	}
}

// Ready reports whether the next batch may be built: no batch is in flight, and the delay after the
// last failed one has passed.
func (w *Writer) Ready(now time.Time) bool { return !w.writeInFlight && !now.Before(w.retryAt) }

// NextBatch builds the next batch within the current write rate, most urgent changes first. It must
// be called only when Ready reports true. Pending cancellations come first, in order and in a separate
// batch. pendingCancels must hold only jobs that have not ended. The caller then removes the batch's
// DerivedCancels from its list and, unless the batch is empty, sends the batch and calls Apply.
func (w *Writer) NextBatch(now time.Time, pendingCancels []*cluster.Job) *Batch {
	b := &Batch{Txn: kv.Txn{SelfLimited: true, Compares: []kv.Compare{w.termCompare}}}
	if w.addCancellations(b, pendingCancels, now); b.IsEmpty() {
		w.addChanges(b, now)
	}
	w.writeInFlight = !b.IsEmpty()
	return b
}
