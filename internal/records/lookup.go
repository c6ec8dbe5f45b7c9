package records

import (
	"context"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Lookup reads a job's state from its records. An active job is returned as pending, since
// no record says what runs.
func (r *Records) Lookup(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		st, found, err = r.tryLookup(ctx, id)
		return err
	})
	return st, found, wrapError("look up", id, err)
}

// tryLookup makes one attempt to look up a job. It reads the active record before the
// terminal one: a job that ends between the two reads is then seen at least once.
func (r *Records) tryLookup(ctx context.Context, id string) (api.JobState, bool, error) {
	if r.isPendingByCache(ctx, id) {
		return api.JobState{ID: id, Phase: api.JobPending}, true, nil
	}
	e, err := r.getEntry(ctx, ActivePrefix+id)
	if err != nil {
		return api.JobState{}, false, err
	}
	if e.ModRevision == 0 || isGuestRecord(e) {
		return r.TerminalState(ctx, id)
	}
	pending, err := r.cancelPending(ctx, e)
	if err != nil {
		return api.JobState{}, false, err
	}
	if pending {
		return r.deriveCancelled(ctx, id), true, nil
	}
	return api.JobState{ID: id, Phase: api.JobPending}, true, nil
}

// deriveCancelled returns the state of a job that depends on a cancelled one. All who read
// the records derive the same state, whether or not it is written yet: a cancelled job
// stays cancelled, and what depends on it never starts. While no node leads, or a leader
// that knows nothing of dependencies, nobody else writes it; so it is written here, if no
// other derived cancellation is being written.
func (r *Records) deriveCancelled(ctx context.Context, id string) api.JobState {
	select {
	case r.derivedWrites <- struct{}{}:
		go func() {
			defer func() { <-r.derivedWrites }()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			defer cancel()
			// A failure is dropped: the next lookup of the job derives the same state
			// and tries the write again.
			_, _, _ = r.Cancel(ctx, id)
		}()
	default:
	}
	return api.JobState{ID: id, Phase: api.JobCancelled, DerivedCancel: true}
}

// isPendingByCache reports whether a job with dependencies is active and none of those has
// ended since this node cached their records: one comparison shows it. If it returns false,
// the records have to be read.
func (r *Records) isPendingByCache(ctx context.Context, id string) bool {
	if r.cache == nil {
		return false
	}
	compares, ok := r.cache.compares([]string{id})
	if !ok || len(compares) < 2 {
		return false // one read shows as much as one comparison
	}
	res, err := r.commit(ctx, kv.Txn{Compares: compares})
	return err == nil && res.Succeeded
}

// TerminalState returns a job's state by its terminal record.
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
