package recordwriter

import (
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// Outcome is what the result of a batch's transaction means to the owner of jobs and machines.
type Outcome struct {
	// Finished are the jobs whose end is on record.
	Finished []*cluster.Job
	// Cancelled are the jobs whose derived cancellation is on record.
	Cancelled []*cluster.Job
	// RetryCancels are the derived cancellations that were not written, or whose outcome is
	// unknown: they are pending again, before all others.
	RetryCancels []*cluster.Job
	// Conflicting are the jobs whose active record had changed, mostly by this leader's own
	// transaction whose response was lost. NextUnresolved names them; a cancellation of them is
	// not pending until it is known how they ended.
	Conflicting []*cluster.Job
	// Oversized is what the store has rejected and no shard can hold.
	Oversized Oversized
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
		out.Oversized = w.shrinkLimits(b, now)
	case err != nil:
		w.retryAt = now.Add(recordRetryDelay)
		// If it was applied all the same, or is yet to be, the compares of the next
		// try fail and name the jobs whose outcome is to be read.
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
		w.unresolved = append(w.unresolved, j.Spec.ID)
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
func (w *Writer) shrinkLimits(b *Batch, now time.Time) (unfit Oversized) {
	switch {
	case len(b.Txn.Ops) > 2:
		w.maxOps = max(2, len(b.Txn.Ops)/2)
	case len(b.shards) > 0 && len(b.shards[0].Machines) > 1:
		w.machinesPerShard = max(1, len(b.shards[0].Machines)/2)
	case len(b.shards) > 0 && b.shards[0].Replaces != nil:
		unfit.Shards = append(unfit.Shards, w.abandonRewrite(b.shards[0].Replaces))
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
	if w.resolving || len(w.unresolved) == 0 {
		return "", false
	}
	w.resolving = true
	id, w.unresolved = w.unresolved[0], w.unresolved[1:]
	return id, true
}

// Resolved ends the read of an outcome that NextUnresolved began.
func (w *Writer) Resolved() { w.resolving = false }
