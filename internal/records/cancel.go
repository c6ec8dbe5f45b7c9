package records

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// ErrLent means that a job is lent to another cell, which has yet to confirm that it is
// cancelled. That it is to be is on record.
var ErrLent = errors.New("state service: the job is lent to another cell")

// Cancel ends a job unless it is over. It returns the job's final state.
func (r *Records) Cancel(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		e, err := r.getEntry(ctx, ActivePrefix+id)
		if err != nil {
			return err
		}
		if e.ModRevision == 0 {
			st, found, err = r.TerminalState(ctx, id)
			return err
		}
		var rec ActiveRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		if rec.Guest != nil {
			st, found, err = r.TerminalState(ctx, id)
			return err
		}
		if rec.Lent != nil {
			return r.cancelLent(ctx, e, rec)
		}
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: rec.Spec.Tasks}
		res, err := r.commit(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
			// The cancel key comes first: a watch then tells why the record
			// goes before it tells that it is gone.
			Ops: []kv.Op{
				{Put: CancelKey, Value: id},
				{Put: TerminalPrefix + id, Value: terminal},
				{Delete: e.Key},
			},
		})
		if err != nil {
			return err
		}
		if !res.Succeeded {
			return fmt.Errorf("%w: job %s changed meanwhile", kv.ErrOutcomeUnknown, id)
		}
		st, found = terminal.JobState(id), true
		return nil
	})
	return st, found, err
}

// cancelLent notes that a lent job is to be cancelled. Its user is told only once the cell
// that has it has recorded that, and its tasks are gone there.
func (r *Records) cancelLent(ctx context.Context, e kv.Entry, rec ActiveRecord) error {
	if rec.Lent.Cancel {
		return ErrLent
	}
	asked := *rec.Lent
	asked.Cancel = true
	rec.Lent = &asked
	res, err := r.commit(ctx, kv.Txn{Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}}, Ops: []kv.Op{{Put: e.Key, Value: rec}}})
	if err != nil {
		return err
	}
	if !res.Succeeded {
		return fmt.Errorf("%w: %s changed meanwhile", kv.ErrOutcomeUnknown, e.Key)
	}
	return ErrLent
}
