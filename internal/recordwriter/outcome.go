package recordwriter

import (
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// Outcome lists what the caller has to do after the result of a batch's transaction.
type Outcome struct {
	// Finished are the jobs whose terminal record has been written.
	Finished []*cluster.Job
	// Cancelled are the jobs whose derived cancellation has been written.
	Cancelled []*cluster.Job
	// RetryCancels are derived cancellations that were not written, or whose outcome is unknown.
	// The caller puts them back at the front of its pending cancellations.
	RetryCancels []*cluster.Job
	// Conflicting are the jobs whose end or cancellation was not written because their active
	// record had another version than the batch expected, mostly because of this leader's own
	// transaction whose response was lost. NextUnresolved returns them one by one. Until the
	// outcome of such a job has been read, its cancellation must not be among the pending ones.
	Conflicting []*cluster.Job
	// Oversized holds the machines and shards that the store has rejected for their size.
	Oversized Oversized
	// ShardsWritten is set if machines were registered, so that they may now be assigned tasks.
	ShardsWritten bool
	// TooLarge is set if the store rejected the batch as invalid.
	TooLarge bool
	// TermLost is set if another term has begun.
	TermLost bool
}

// Apply processes the result of a batch's transaction, received at time now. Written changes are
// marked as written; others are queued again.
func (w *Writer) Apply(b *Batch, now time.Time, res kv.Result, err error) Outcome {
	w.writeInFlight = false
	var out Outcome
	switch {
	case errors.Is(err, kv.ErrInvalid):
		w.retryAt = now.Add(recordRetryDelay)
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
		out.TooLarge = true
		out.Oversized = w.shrinkLimits(b, now)
	case err != nil:
		w.retryAt = now.Add(recordRetryDelay)
		// If the batch was or will be applied nevertheless, the compares of the next try fail and
		// identify the jobs whose outcome must be read.
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
	case res.Succeeded:
		out.Finished, out.Cancelled = b.finished, b.DerivedCancels
		w.markShardsWritten(b)
		out.ShardsWritten = len(b.shards) > 0
		for _, written := range b.completions {
			w.markCompletionRecorded(written)
		}
	case slices.Contains(res.FailedKeys, w.termCompare.Key):
		out.TermLost = true
	default:
		w.requeue(b)
		out.RetryCancels = b.DerivedCancels
		out.Conflicting = w.handleConflicts(b, res.FailedKeys)
	}
	return out
}

// handleConflicts removes the changes of jobs whose active record has changed from the queues to
// which requeue has added them. Ends and cancellations wait until the outcome of their job is read;
// completion records are dropped. It returns the jobs whose outcome must be read.
func (w *Writer) handleConflicts(b *Batch, failedKeys []string) (conflicting []*cluster.Job) {
	conflicts := func(j *cluster.Job) bool { return slices.Contains(failedKeys, records.ActivePrefix+j.Spec.ID) }
	for _, j := range slices.Concat(b.finished, b.DerivedCancels) {
		if conflicts(j) {
			conflicting = append(conflicting, j)
		}
	}
	for _, j := range conflicting {
		w.finishing = slices.DeleteFunc(w.finishing, func(o *cluster.Job) bool { return o == j })
		w.unresolved = append(w.unresolved, j.Spec.ID)
	}
	for _, written := range b.completions {
		if !written.job.Ended && conflicts(written.job) {
			written.job.CompletionDirty = false // the job was cancelled; the watch will deliver that
			written.job.CompletionChunks[written.first] = false
			w.dirtyJobs = slices.DeleteFunc(w.dirtyJobs, func(j *cluster.Job) bool { return j == written.job })
		}
	}
	return conflicting
}

// requeue returns to the queues the changes of a batch that was not applied or whose outcome is
// unknown. It leaves out cancellations, which the caller queues.
func (w *Writer) requeue(b *Batch) {
	w.finishing = append(slices.Clone(b.finished), w.finishing...)
	w.requeueShards(b)
	w.pendingDeletes = append(slices.Clone(b.deletes), w.pendingDeletes...)
	for _, written := range b.completions {
		w.QueueCompletion(written.job)
	}
}

// shrinkLimits lowers the size limits of batches after the store has rejected one as invalid. The
// batch was within the configured limits, so the store's limits must be lower, and a retry of the same
// size would be rejected too. It returns what cannot be made smaller.
func (w *Writer) shrinkLimits(b *Batch, now time.Time) (oversized Oversized) {
	switch {
	case len(b.Txn.Ops) > 2:
		w.maxOps = max(2, len(b.Txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].Machines) > 1:
		w.machinesPerShard = max(1, len(b.shards[0].Machines)/2)
	case len(b.shards) > 0 && b.shards[0].Replaces != nil:
		oversized.Shards = append(oversized.Shards, w.abandonRewrite(b.shards[0].Replaces))
	case len(b.shards) > 0:
		m := b.shards[0].Machines[0]
		w.registering = slices.DeleteFunc(w.registering, func(o *cluster.Machine) bool { return o == m })
		oversized.Machines = append(oversized.Machines, m)
	case len(b.completions) > 0:
		// Halve the chunk, in whole bytes. Below eight tasks it becomes 0, and completed tasks are
		// then kept only in this leader's memory.
		w.tasksPerChunk = w.tasksPerChunk / 16 * 8
	default:
		w.retryAt = now.Add(terminalRetryDelay) // a terminal record or a delete cannot be made smaller
	}
	return oversized
}

// NextUnresolved returns the ID of the next job whose outcome the caller must read. It returns false
// if there is none or if another read is in progress. A period of lost responses leaves many outcomes
// to read. Concurrent reads would compete for the request budget so that none of them completes, and
// machines would be kept for jobs that ended long ago.
func (w *Writer) NextUnresolved() (id string, ok bool) {
	if w.resolving || len(w.unresolved) == 0 {
		return "", false
	}
	w.resolving = true
	id, w.unresolved = w.unresolved[0], w.unresolved[1:]
	return id, true
}

// Resolved marks the read of the outcome last returned by NextUnresolved as finished.
func (w *Writer) Resolved() { w.resolving = false }
