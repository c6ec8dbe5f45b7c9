package controller

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// rateLimitedStore reads within a rate, as the client does: a read whose deadline is before its
// turn is rejected.
type rateLimitedStore struct {
	*kvtest.Fake
	reads *rate.Limiter
	// rejectsActive is set while reads of active records are rejected.
	rejectsActive atomic.Bool
}

// Get reads one key within the rate.
func (s *rateLimitedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.rejectsActive.Load() && strings.HasPrefix(key, records.ActivePrefix) {
		return kv.Entry{}, kv.ErrNotApplied
	}
	if err := s.reads.Wait(ctx); err != nil {
		return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrNotApplied, err)
	}
	return s.Fake.Get(ctx, key)
}

// The responses to the leader's record transactions are lost for a while: the ends of many jobs are
// recorded, and it does not know. It resolves the outcomes within its request rate. When all were
// read in parallel none ever was, and machines with tasks long done were kept for the rest of the
// day.
func TestManyEndsOfUnknownOutcomeAreResolved(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		store := &rateLimitedStore{Fake: w.store, reads: rate.NewLimiter(20, 20)}
		n := w.startWith("n0", store, nil)
		ks := make([]*worker, 15)
		for i := range ks {
			ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		}
		n.inspect(func(c *Controller) { c.leaderTerm.teams["red"].LimitCPUs = 1000 })
		heartbeatAll(ks, n, 3)
		for i := range 60 {
			w.submit(n, spec(fmt.Sprintf("job-%d", i), 1))
		}
		heartbeatAll(ks, n, 4)
		w.store.LoseResponses(func(txn kv.Txn) bool { return txn.SelfLimited })
		store.rejectsActive.Store(true)
		for _, k := range ks {
			k.exit(api.CauseDone)
		}
		heartbeatAll(ks, n, 40)
		w.store.LoseResponses(nil)
		store.rejectsActive.Store(false)
		heartbeatAll(ks, n, 20)
		for _, k := range ks {
			k.mu.Lock()
			if len(k.status.Tasks) > 0 {
				w.t.Errorf("%s: got %d tasks that are done, want none", k.status.Machine, len(k.status.Tasks))
			}
			k.mu.Unlock()
		}
		n.inspect(func(c *Controller) { w.checkEqual("jobs left", len(c.leaderTerm.jobs), 0) })
	})
}
