package records

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Accept makes a job's record. A job that is known already keeps its state, which is
// returned with created false.
func (r *Records) Accept(
	ctx context.Context, spec *api.JobSpec, now time.Time,
) (st api.JobState, created bool, err error) {
	a := r.newSubmission(spec, now)
	if r.acceptInOneTxn(ctx, a) {
		return api.JobState{ID: spec.ID, Phase: api.JobPending}, true, nil
	}
	err = kv.Retry(ctx, func() error {
		st, created, err = r.tryAccept(ctx, a)
		return err
	})
	return st, created, wrapError("accept", spec.ID, err)
}

// acceptInOneTxn accepts a job with dependencies in one transaction if this node has the
// records of those in its cache. If that fails, or its outcome is unknown, it returns
// false, and the records have to be read one by one.
func (r *Records) acceptInOneTxn(ctx context.Context, a *submission) bool {
	if r.cache == nil || len(a.spec.DependsOn) == 0 || a.list != nil {
		return false
	}
	dependencies, ok := r.cache.compares(a.spec.DependsOn)
	if !ok {
		return false
	}
	res, err := r.commit(ctx, kv.Txn{
		Compares: append(absentCompares(a.spec.ID), dependencies...),
		Ops:      []kv.Op{{Put: ActivePrefix + a.spec.ID, Value: a.record}},
	})
	return err == nil && res.Succeeded
}

// absentCompares are the compares that hold while a job has neither an active nor a terminal record.
func absentCompares(id string) []kv.Compare {
	return []kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}
}

// submission is what is needed to accept a job.
type submission struct {
	spec *api.JobSpec
	// record becomes the job's active record; list and parts are set if its
	// dependencies are listed elsewhere.
	record      ActiveRecord
	list        *DependencyList
	listRecords []DependencyRecord
}

func (r *Records) newSubmission(spec *api.JobSpec, now time.Time) *submission {
	a := &submission{spec: spec, record: ActiveRecord{Spec: *spec, Accepted: now.UTC()}}
	if len(spec.DependsOn) > 0 && !a.record.fits(r.Limits.ValueKB) {
		a.list, a.listRecords = splitDependencies(spec.DependsOn, r.Limits.ValueKB)
		a.record = a.record.withDependencyList(a.list)
	}
	return a
}

// tryAccept makes one attempt to make a job's record.
func (r *Records) tryAccept(ctx context.Context, a *submission) (st api.JobState, created bool, err error) {
	id := a.spec.ID
	if len(a.spec.DependsOn) > maxSingleReads || a.list != nil {
		release, err := acquireSlot(ctx, r.longListSlots)
		if err != nil {
			return st, false, err
		}
		defer release()
		// A job that is known already must neither cost a long search nor have a list
		// written.
		if st, found, err := r.tryLookup(ctx, id); err != nil || found {
			return st, false, err
		}
	}
	cancelled, err := r.checkDependencies(ctx, a.spec.DependsOn)
	if errors.Is(err, errUnknownDependency) {
		// A job that is known already keeps its state whatever this submission names.
		if st, found, lookupErr := r.tryLookup(ctx, id); lookupErr != nil || found {
			return st, false, lookupErr
		}
	}
	if err != nil {
		return st, false, err
	}
	// A dependency that is cancelled from now on finds the job among its dependents,
	// whichever node leads then.
	if !cancelled && a.list != nil {
		written, err := r.writeDependencies(ctx, id, a.list, a.listRecords)
		if err != nil {
			return st, false, err
		}
		if !written {
			return r.lookupAfterConflict(ctx, id)
		}
	}
	txn, first := a.transaction(cancelled)
	res, err := r.commit(ctx, txn)
	if err != nil {
		return st, false, err
	}
	if res.Succeeded {
		return first, true, nil
	}
	return r.lookupAfterConflict(ctx, id)
}

// transaction returns the transaction that makes the job's record, and the state that the
// job then has: cancelled if one of its dependencies is.
func (a *submission) transaction(cancelled bool) (kv.Txn, api.JobState) {
	id := a.spec.ID
	txn := kv.Txn{Compares: absentCompares(id)}
	if cancelled {
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: a.spec.Tasks}
		txn.Ops = []kv.Op{{Put: TerminalPrefix + id, Value: terminal}}
		return txn, terminal.JobState(id)
	}
	txn.Ops = []kv.Op{{Put: ActivePrefix + id, Value: a.record}}
	return txn, api.JobState{ID: id, Phase: api.JobPending}
}

// lookupAfterConflict looks up a job that turned out to be known, perhaps by an earlier
// transaction of this submission whose response was lost.
func (r *Records) lookupAfterConflict(ctx context.Context, id string) (api.JobState, bool, error) {
	st, found, err := r.tryLookup(ctx, id)
	if err == nil && !found {
		err = conflictError(ActivePrefix + id)
	}
	return st, false, err
}
