package records

import (
	"context"
	"encoding/json"
	"fmt"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// Lookup reads a job's record. A job that is active is reported as pending, since
// the record does not hold what runs.
func (r *Records) Lookup(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		st, found, err = r.tryLookup(ctx, id)
		return err
	})
	return st, found, err
}

// tryLookup reads the active record before the final one: a job that moves
// between the two reads is then seen at least once.
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

// deriveCancelled returns the state of a job that needs a cancelled one. All who read the
// records come to it, whether or not it is written yet: a cancelled job stays cancelled,
// and what needs it never begins. While nobody leads, or a leader that knows nothing of
// awaited jobs, nobody else writes it; but one at a time, so that thousands of such jobs
// leave submissions their part of the write rate.
func (r *Records) deriveCancelled(ctx context.Context, id string) api.JobState {
	select {
	case r.derivedWrites <- struct{}{}:
		go func() {
			defer func() { <-r.derivedWrites }()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			defer cancel()
			r.Cancel(ctx, id) // what fails is tried again when somebody asks again
		}()
	default:
	}
	return api.JobState{ID: id, Phase: api.JobCancelled, Derived: true}
}

// isPendingByCache tells whether a job that awaits others is active and nothing that it needs
// is over: one comparison shows it, if this node has read or written their records.
// Otherwise it returns false, and all is to be read.
func (r *Records) isPendingByCache(ctx context.Context, id string) bool {
	if r.cache == nil {
		return false
	}
	compares, ok := r.cache.compares([]string{id})
	if !ok || len(compares) < 2 {
		return false // one read tells as much
	}
	res, err := r.commit(ctx, kv.Txn{Compares: compares})
	return err == nil && res.Succeeded
}

// TerminalState reads a job's final record.
func (r *Records) TerminalState(ctx context.Context, id string) (api.JobState, bool, error) {
	end, found, err := r.terminalRecord(ctx, id)
	if err != nil || !found {
		return api.JobState{}, false, err
	}
	return end.JobState(id), true, nil
}

func (r *Records) terminalRecord(ctx context.Context, id string) (end TerminalRecord, found bool, err error) {
	e, err := r.getEntry(ctx, TerminalPrefix+id)
	if err != nil || e.ModRevision == 0 {
		return end, false, err
	}
	if err := json.Unmarshal(e.Value, &end); err != nil {
		return end, false, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return end, true, nil
}
