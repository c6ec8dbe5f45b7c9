package records

import (
	"context"
	"errors"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// ErrLent means that a job is lent to another cell, which has yet to confirm the
// cancellation. That the job is to be cancelled is on record.
var ErrLent = errors.New("lent to another cell, which has yet to confirm the cancellation")

// Cancel ends a job unless it has ended. It returns the job's terminal state.
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
		// The cancel key goes first, so that a watch shows the reason before it shows
		// that the active record was deleted.
		kv.Op{Put: CancelKey, Value: id},
		kv.Op{Put: TerminalPrefix + id, Value: terminal},
		kv.Op{Delete: e.Key},
	)
	if err != nil {
		return api.JobState{}, false, err
	}
	return terminal.JobState(id), true, nil
}

// cancelLent records that a lent job is to be cancelled. Its user sees it cancelled only
// once the other cell has recorded that and runs no task of it any more.
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

// commitIfUnchanged commits operations unless an entry has changed since it was read.
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
