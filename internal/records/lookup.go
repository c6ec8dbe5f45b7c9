package records

import (
	"context"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Lookup reads a job's state from its records. An active job is returned as pending, because no
// record shows whether it runs. A read that fails is repeated alone: if both were repeated, a store
// that answers just in time for one of them would never answer the two in a row.
func (r *Records) Lookup(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		st, found, err = r.activeState(ctx, id)
		return err
	})
	if err == nil && !found {
		err = kv.Retry(ctx, func() error {
			st, found, err = r.TerminalState(ctx, id)
			return err
		})
	}
	return st, found, wrapError("look up", id, err)
}

// tryLookup makes one attempt to look up a job. It reads the active record before the terminal one,
// so that a job that ends between the two reads is found by at least one of them.
func (r *Records) tryLookup(ctx context.Context, id string) (api.JobState, bool, error) {
	st, found, err := r.activeState(ctx, id)
	if err != nil || found {
		return st, found, err
	}
	return r.TerminalState(ctx, id)
}

// activeState returns a job's state if it has an active record.
func (r *Records) activeState(ctx context.Context, id string) (st api.JobState, active bool, err error) {
	if r.isPendingByCache(ctx, id) {
		return api.JobState{ID: id, Phase: api.JobPending}, true, nil
	}
	e, err := r.getEntry(ctx, ActivePrefix+id)
	if err != nil || e.ModRevision == 0 || isGuestRecord(e) {
		return api.JobState{}, false, err
	}
	cancelled, err := r.hasCancelledDependency(ctx, e)
	if err != nil {
		return api.JobState{}, false, err
	}
	if cancelled {
		return r.deriveCancelled(ctx, id), true, nil
	}
	return api.JobState{ID: id, Phase: api.JobPending}, true, nil
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

// isPendingByCache reports whether a job with dependencies is pending. One transaction shows it: it
// compares the cached versions of the job and of its active dependencies, so it fails if one of
// them has ended since. If isPendingByCache returns false, the records have to be read.
func (r *Records) isPendingByCache(ctx context.Context, id string) bool {
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
