package records

import (
	"context"
	"errors"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Accept makes a job's record. A job known already keeps its state, which is
// returned with created false.
func (r *Records) Accept(ctx context.Context, spec *api.JobSpec, now time.Time) (st api.JobState, created bool, err error) {
	a := r.newAcceptance(spec, now)
	if r.acceptInOneTxn(ctx, a) {
		return api.JobState{ID: spec.ID, Phase: api.JobPending}, true, nil
	}
	err = kv.Retry(ctx, func() error {
		st, created, err = r.tryAccept(ctx, a)
		return err
	})
	return st, created, err
}

// acceptInOneTxn accepts a job that awaits others in one transaction if this node has
// read or written the records of those. Where it fails or its outcome is unknown, all
// is looked at one by one.
func (r *Records) acceptInOneTxn(ctx context.Context, a *acceptance) bool {
	id := a.spec.ID
	if r.cache == nil || len(a.spec.DependsOn) == 0 || a.list != nil {
		return false
	}
	dependencies, ok := r.cache.compares(a.spec.DependsOn)
	if !ok {
		return false
	}
	res, err := r.commit(ctx, kv.Txn{
		Compares: append([]kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}, dependencies...),
		Ops:      []kv.Op{{Put: ActivePrefix + id, Value: a.record}},
	})
	return err == nil && res.Succeeded
}

// acceptance is what is needed to accept a job.
type acceptance struct {
	spec *api.JobSpec
	// record becomes the job's active record; list and parts are set if its
	// awaited jobs are listed elsewhere.
	record ActiveRecord
	list   *DependencyList
	parts  []DependencyRecord
}

func (r *Records) newAcceptance(spec *api.JobSpec, now time.Time) *acceptance {
	a := &acceptance{spec: spec, record: ActiveRecord{Spec: *spec, Accepted: now.UTC()}}
	if len(spec.DependsOn) > 0 && !a.record.fits(r.Limits.ValueKB) {
		a.list, a.parts = splitDependencies(spec.DependsOn, r.Limits.ValueKB)
		a.record = a.record.listedElsewhere(a.list)
	}
	return a
}

// tryAccept tries once to make a job's record.
func (r *Records) tryAccept(ctx context.Context, a *acceptance) (st api.JobState, created bool, err error) {
	id := a.spec.ID
	if len(a.spec.DependsOn) > maxSingleReads || a.list != nil {
		release, err := acquire(ctx, r.longLists)
		if err != nil {
			return st, false, err
		}
		defer release()
		// What is known already is not worth a long search, and must not have a
		// list written.
		if st, found, err := r.tryLookup(ctx, id); err != nil || found {
			return st, false, err
		}
	}
	cancelled, err := r.checkDependencies(ctx, a.spec.DependsOn)
	if errors.Is(err, errUnknownDependency) {
		// What is known already keeps its state whatever it names.
		if st, found, lookupErr := r.tryLookup(ctx, id); lookupErr != nil || found {
			return st, false, lookupErr
		}
	}
	if err != nil {
		return st, false, err
	}
	// One that is cancelled from now on finds the job among those that need it,
	// whoever leads then.
	if !cancelled && a.list != nil {
		if ok, err := r.writeDependencies(ctx, id, a.list, a.parts); err != nil {
			return st, false, err
		} else if !ok {
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

// transaction returns the transaction that makes the job's record, and the state
// that the job then has: withdrawn if a job that it awaits is.
func (a *acceptance) transaction(cancelled bool) (kv.Txn, api.JobState) {
	id := a.spec.ID
	txn := kv.Txn{Compares: []kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}}
	if cancelled {
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: a.spec.Tasks}
		txn.Ops = []kv.Op{{Put: TerminalPrefix + id, Value: terminal}}
		return txn, terminal.JobState(id)
	}
	txn.Ops = []kv.Op{{Put: ActivePrefix + id, Value: a.record}}
	return txn, api.JobState{ID: id, Phase: api.JobPending}
}

// lookupAfterConflict looks up a job that turned out to be known; perhaps by a transaction of
// this very submission, whose answer was lost.
func (r *Records) lookupAfterConflict(ctx context.Context, id string) (api.JobState, bool, error) {
	st, found, err := r.tryLookup(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: job %s changed meanwhile", kv.ErrOutcomeUnknown, id)
	}
	return st, false, err
}
