package records

import (
	"context"
	"encoding/json"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Status is what the records of a job show about its progress.
type Status int

const (
	// Absent means that the job has no record: it was never accepted.
	Absent Status = iota
	// Active means that the job has not ended. No record shows whether any of its tasks runs.
	Active
	// Waiting means that the job depends on one that has not ended, so that none of its tasks has started.
	Waiting
	// Ended means that the job is done or cancelled.
	Ended
)

// JobRecord is what the records of a job show.
type JobRecord struct {
	ID     string
	Status Status
	// Final is the job's state if it has ended.
	Final api.JobState
	// Accepted is when the job was accepted, by the clock of the node that accepted it. It is set for an
	// active job, unless the record does not hold it.
	Accepted time.Time
}

// ended returns the record of a job that has ended.
func ended(state api.JobState) JobRecord {
	return JobRecord{ID: state.ID, Status: Ended, Final: state}
}

// Lookup reads a job's records. A read that fails is repeated alone: if both were repeated, a store that
// answers just in time for one of them would never answer the two in a row.
func (r *Records) Lookup(ctx context.Context, id string) (rec JobRecord, err error) {
	err = kv.Retry(ctx, func() error {
		rec, err = r.readActive(ctx, id)
		return err
	})
	if err == nil && rec.Status == Absent {
		err = kv.Retry(ctx, func() error {
			rec, err = r.readTerminal(ctx, id)
			return err
		})
	}
	return rec, wrapError("look up", id, err)
}

// tryLookup makes one attempt to look up a job. It reads the active record before the terminal one,
// so that a job that ends between the two reads is found by at least one of them.
func (r *Records) tryLookup(ctx context.Context, id string) (JobRecord, error) {
	rec, err := r.readActive(ctx, id)
	if err != nil || rec.Status != Absent {
		return rec, err
	}
	return r.readTerminal(ctx, id)
}

// readActive reads a job's active record and the records of its dependencies.
func (r *Records) readActive(ctx context.Context, id string) (JobRecord, error) {
	if r.isWaitingByCache(ctx, id) {
		return JobRecord{ID: id, Status: Waiting}, nil
	}
	e, err := r.getEntry(ctx, ActivePrefix+id)
	if err != nil || e.ModRevision == 0 || isGuestRecord(e) {
		return JobRecord{ID: id}, err
	}
	dependencies, err := r.readDependencyState(ctx, e)
	if err != nil {
		return JobRecord{ID: id}, err
	}
	switch dependencies {
	case dependencyCancelled:
		return ended(r.deriveCancelled(ctx, id)), nil
	case dependencyActive:
		return JobRecord{ID: id, Status: Waiting}, nil
	}
	return JobRecord{ID: id, Status: Active, Accepted: acceptedAt(e)}, nil
}

// acceptedAt returns when the job of an active record was accepted, or the zero time if the record does not
// hold it.
func acceptedAt(e kv.Entry) time.Time {
	var rec ActiveRecord
	if json.Unmarshal(e.Value, &rec) != nil {
		return time.Time{}
	}
	return rec.Accepted
}

// deriveCancelled returns the state of a job that depends on a cancelled one. All readers of the
// records derive the same state, whether or not it is written yet: a cancelled job stays cancelled,
// and jobs that depend on it never start. Normally the leader writes the state. Nobody does while
// no node leads, or while the leader is of a version without support for dependencies; so it is
// also written here, in the background, unless another derived cancellation is being written.
func (r *Records) deriveCancelled(ctx context.Context, id string) api.JobState {
	select {
	case r.derivedWriteSlots <- struct{}{}:
		go func() {
			defer func() { <-r.derivedWriteSlots }()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			defer cancel()
			// An error is ignored: the next lookup of the job derives the same state
			// and tries the write again.
			_, _, _ = r.Cancel(ctx, id)
		}()
	default:
	}
	return api.JobState{ID: id, Phase: api.JobCancelled, DerivedCancel: true}
}

// isWaitingByCache reports whether a job waits for one that has not ended. One transaction shows it: it
// compares the cached versions of the job and of its active dependencies, so it fails if one of them has
// ended since. If isWaitingByCache returns false, the records have to be read.
func (r *Records) isWaitingByCache(ctx context.Context, id string) bool {
	if r.cache == nil {
		return false
	}
	compares, ok := r.cache.compares([]string{id})
	if !ok || len(compares) < 2 {
		return false // without active dependencies, reading the record takes one request too
	}
	res, err := r.commit(ctx, kv.Txn{Compares: compares})
	return err == nil && res.Succeeded
}

// readTerminal reads a job's terminal record.
func (r *Records) readTerminal(ctx context.Context, id string) (JobRecord, error) {
	state, found, err := r.TerminalState(ctx, id)
	if err != nil || !found {
		return JobRecord{ID: id}, err
	}
	return ended(state), nil
}

// TerminalState returns a job's state from its terminal record.
func (r *Records) TerminalState(ctx context.Context, id string) (api.JobState, bool, error) {
	terminal, found, err := r.terminalRecord(ctx, id)
	if err != nil || !found {
		return api.JobState{}, false, err
	}
	return terminal.JobState(id), true, nil
}

// terminalRecord reads a job's terminal record.
func (r *Records) terminalRecord(ctx context.Context, id string) (TerminalRecord, bool, error) {
	e, err := r.getEntry(ctx, TerminalPrefix+id)
	if err != nil || e.ModRevision == 0 {
		return TerminalRecord{}, false, err
	}
	var terminal TerminalRecord
	if err := decodeRecord(e, &terminal); err != nil {
		return TerminalRecord{}, false, err
	}
	return terminal, true, nil
}
