package records

import (
	"context"
	"errors"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// ErrLent means that a job is lent to another cell, which has not confirmed the cancellation yet.
// The request to cancel the job is on record.
var ErrLent = errors.New("lent to another cell, which has yet to confirm the cancellation")

// Cancel cancels a job unless it has ended, and returns its terminal state.
func (r *Records) Cancel(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		st, found, err = r.tryCancel(ctx, id)
		return err
	})
	return st, found, wrapError("cancel", id, err)
}

// tryCancel makes one attempt to cancel a job.
func (r *Records) tryCancel(ctx context.Context, id string) (api.JobState, bool, error) {
	e, err := r.getEntry(ctx, ActivePrefix+id)
	if err != nil {
		return api.JobState{}, false, err
	}
	if e.ModRevision == 0 {
		return r.TerminalState(ctx, id)
	}
	var rec ActiveRecord
	if err := decodeRecord(e, &rec); err != nil {
		return api.JobState{}, false, err
	}
	switch {
	case rec.Guest != nil:
		return r.TerminalState(ctx, id)
	case rec.Lent != nil:
		return api.JobState{}, false, r.cancelLent(ctx, e, rec)
	}
	terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: rec.Spec.Tasks}
	err = r.commitIfUnchanged(ctx, e,
		// The cancel key is written first, so that a watch returns the cancellation before
		// the deletion of the active record.
		kv.Op{Put: CancelKey, Value: id},
		kv.Op{Put: TerminalPrefix + id, Value: terminal},
		kv.Op{Delete: e.Key},
	)
	if err != nil {
		return api.JobState{}, false, err
	}
	return terminal.JobState(id), true, nil
}

// cancelLent records that a lent job is to be cancelled, and returns ErrLent. Users see the job as
// cancelled only after the other cell has recorded the cancellation and stopped all its tasks.
func (r *Records) cancelLent(ctx context.Context, e kv.Entry, rec ActiveRecord) error {
	if rec.Lent.Cancel {
		return ErrLent
	}
	lent := *rec.Lent
	lent.Cancel = true
	rec.Lent = &lent
	if err := r.commitIfUnchanged(ctx, e, kv.Op{Put: e.Key, Value: rec}); err != nil {
		return err
	}
	return ErrLent
}

// commitIfUnchanged commits operations, or returns conflictError if an entry has changed since it
// was read.
func (r *Records) commitIfUnchanged(ctx context.Context, e kv.Entry, ops ...kv.Op) error {
	res, err := r.commit(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
		Ops:      ops,
	})
	if err != nil {
		return err
	}
	if !res.Succeeded {
		return conflictError(e.Key)
	}
	return nil
}
