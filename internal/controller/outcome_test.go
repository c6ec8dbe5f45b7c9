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

// rateLimitedStore limits the rate of reads like the client: a read that cannot start before its
// deadline is rejected.
type rateLimitedStore struct {
	*kvtest.Fake
	readLimiter *rate.Limiter
	// rejectActiveReads makes reads of active records fail.
	rejectActiveReads atomic.Bool
}

// Get reads one key within the rate limit.
func (s *rateLimitedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.rejectActiveReads.Load() && strings.HasPrefix(key, records.ActivePrefix) {
		return kv.Entry{}, kv.ErrNotApplied
	}
	if err := s.readLimiter.Wait(ctx); err != nil {
		return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrNotApplied, err)
	}
	return s.Fake.Get(ctx, key)
}

// If the responses to the leader's record transactions are lost, the ends of many jobs are recorded
// with an outcome that is unknown to the leader. It must resolve these outcomes within its request
// rate. When it read all of them in parallel, none was ever resolved, and machines with tasks
// completed long before were kept for the rest of the day.
func TestManyEndsOfUnknownOutcomeAreResolved(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		store := &rateLimitedStore{Fake: w.store, readLimiter: rate.NewLimiter(20, 20)}
		n := w.startWith("n0", store, nil)
		workers := make([]*worker, 15)
		for i := range workers {
			workers[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		}
		n.inspect(func(c *Controller) { c.leaderTerm.teams["red"].LimitCPUs = 1000 })
		heartbeatAll(workers, n, 3)
		for i := range 60 {
			w.submit(n, spec(fmt.Sprintf("job-%d", i), 1))
		}
		heartbeatAll(workers, n, 4)
		w.store.LoseResponses(func(txn kv.Txn) bool { return txn.SelfLimited })
		store.rejectActiveReads.Store(true)
		for _, k := range workers {
			k.exit(api.CauseDone)
		}
		heartbeatAll(workers, n, 40)
		w.store.LoseResponses(nil)
		store.rejectActiveReads.Store(false)
		heartbeatAll(workers, n, 20)
		for _, k := range workers {
			k.mu.Lock()
			if len(k.status.Tasks) > 0 {
				w.t.Errorf("%s: got %d tasks that have ended, want none", k.status.Machine, len(k.status.Tasks))
			}
			k.mu.Unlock()
		}
		n.inspect(func(c *Controller) { w.checkEqual("jobs left", len(c.leaderTerm.jobs), 0) })
	})
}
