package records

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Accept creates the record of a job, which was accepted at the given time. If the job already exists, its
// records are returned with created false. No task of a job that was created has started, unless created is
// false although the record is that of this call: the time in it tells.
func (r *Records) Accept(
	ctx context.Context, spec *api.JobSpec, now time.Time,
) (rec JobRecord, created bool, err error) {
	sub := r.newSubmission(spec, now)
	if r.acceptInOneTxn(ctx, sub) {
		return sub.created(), true, nil
	}
	err = kv.Retry(ctx, func() error {
		rec, created, err = r.tryAccept(ctx, sub)
		return err
	})
	return rec, created, wrapError("accept", spec.ID, err)
}

// acceptInOneTxn accepts a job with dependencies in one transaction if this node has cached all its
// direct and indirect dependencies and the transaction has room for their compares. It returns true
// only if the job is known to be accepted; otherwise the caller must read the records from the store.
func (r *Records) acceptInOneTxn(ctx context.Context, sub *submission) bool {
	if r.cache == nil || len(sub.spec.DependsOn) == 0 || sub.list != nil {
		return false
	}
	dependencies, ok := r.cache.compares(sub.spec.DependsOn)
	if !ok {
		return false
	}
	res, err := r.commit(ctx, kv.Txn{
		Compares: append(absentCompares(sub.spec.ID), dependencies...),
		Ops:      []kv.Op{{Put: ActivePrefix + sub.spec.ID, Value: sub.record}},
	})
	return err == nil && res.Succeeded
}

// absentCompares returns the compares that hold while a job has neither an active nor a terminal
// record.
func absentCompares(id string) []kv.Compare {
	return []kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}
}

// submission is a job to be accepted, with the records to be written for it.
type submission struct {
	spec *api.JobSpec
	// record becomes the job's active record, unless a dependency is cancelled. list and listRecords
	// are set if the dependencies are listed in separate records.
	record      ActiveRecord
	list        *DependencyList
	listRecords []DependencyRecord
}

// newSubmission builds the records of a job, with a dependency list if its active record has no
// room for the dependencies.
func (r *Records) newSubmission(spec *api.JobSpec, now time.Time) *submission {
	sub := &submission{spec: spec, record: ActiveRecord{Spec: *spec, Accepted: now.UTC()}}
	if len(spec.DependsOn) > 0 && !sub.record.fits(r.Limits.ValueKB) {
		sub.list, sub.listRecords = splitDependencies(spec.DependsOn, r.Limits.ValueKB)
		sub.record = sub.record.withDependencyList(sub.list)
	}
	return sub
}

// tryAccept makes one attempt to create the record of a job.
func (r *Records) tryAccept(ctx context.Context, sub *submission) (rec JobRecord, created bool, err error) {
	id := sub.spec.ID
	if len(sub.spec.DependsOn) > maxSingleReads || sub.list != nil {
		release, err := acquireSlot(ctx, r.longListSlots)
		if err != nil {
			return rec, false, err
		}
		defer release()
		// For a job that already exists, no long search is made and no list is written.
		if rec, err := r.tryLookup(ctx, id); err != nil || rec.Status != Absent {
			return rec, false, err
		}
	}
	cancelled, err := r.checkDependencies(ctx, sub.spec.DependsOn)
	if errors.Is(err, errUnknownDependency) {
		// A job that already exists keeps its state, whatever dependencies are submitted now.
		if rec, lookupErr := r.tryLookup(ctx, id); lookupErr != nil || rec.Status != Absent {
			return rec, false, lookupErr
		}
	}
	if err != nil {
		return rec, false, err
	}
	// If a dependency is cancelled after this check, the leader at that time finds this job among
	// the dependents of the cancelled job.
	if !cancelled && sub.list != nil {
		written, err := r.writeDependencies(ctx, id, sub.list, sub.listRecords)
		if err != nil {
			return rec, false, err
		}
		if !written {
			return r.lookupAfterConflict(ctx, id)
		}
	}
	txn, initial := sub.transaction(cancelled)
	res, err := r.commit(ctx, txn)
	if err != nil {
		return rec, false, err
	}
	if res.Succeeded {
		return initial, true, nil
	}
	return r.lookupAfterConflict(ctx, id)
}

// created returns the record of the job after its creation.
func (sub *submission) created() JobRecord {
	return JobRecord{ID: sub.spec.ID, Status: Active, Accepted: sub.record.Accepted}
}

// transaction returns the transaction that creates the job's record, and that record: the job is cancelled
// if one of its dependencies is cancelled.
func (sub *submission) transaction(cancelled bool) (kv.Txn, JobRecord) {
	id := sub.spec.ID
	txn := kv.Txn{Compares: absentCompares(id)}
	if cancelled {
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: sub.spec.Tasks}
		txn.Ops = []kv.Op{{Put: TerminalPrefix + id, Value: terminal}}
		return txn, ended(terminal.JobState(id))
	}
	txn.Ops = []kv.Op{{Put: ActivePrefix + id, Value: sub.record}}
	return txn, sub.created()
}

// lookupAfterConflict looks up a job that turned out to exist, perhaps because an earlier
// transaction of this submission was applied and its response lost.
func (r *Records) lookupAfterConflict(ctx context.Context, id string) (JobRecord, bool, error) {
	rec, err := r.tryLookup(ctx, id)
	if err == nil && rec.Status == Absent {
		err = conflictError(ActivePrefix + id)
	}
	return rec, false, err
}
