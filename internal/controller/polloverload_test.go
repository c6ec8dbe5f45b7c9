package controller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

const (
	// userPollInterval, userPollTimeout and forgottenAfter are those of the protocol's users.
	userPollInterval = 5 * time.Second
	userPollTimeout  = 2 * time.Second
	forgottenAfter   = 75 * time.Second
)

// storeConnections is how many connections kv.Client opens for requests.
const storeConnections = 12

// slowStore is a node's access to the store for users' requests: reads take readTime, and their rate
// and number at a time are limited like those of kv.Client.
type slowStore struct {
	*kvtest.Fake
	readLimiter *rate.Limiter
	connections chan struct{}
	readTime    time.Duration
}

// newSlowStore returns an access to a store with a limit on the reads per second.
func newSlowStore(fake *kvtest.Fake, readsPerS int, readTime time.Duration) *slowStore {
	return &slowStore{
		Fake:        fake,
		readLimiter: rate.NewLimiter(rate.Limit(readsPerS), readsPerS),
		connections: make(chan struct{}, storeConnections),
		readTime:    readTime,
	}
}

// Get reads one key after readTime, within the rate limit and the deadline of ctx.
func (s *slowStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.readLimiter.Wait(ctx); err != nil {
		return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrNotApplied, err)
	}
	select {
	case <-ctx.Done():
		return kv.Entry{}, kv.ErrNotApplied
	case s.connections <- struct{}{}:
		defer func() { <-s.connections }()
	}
	select {
	case <-ctx.Done():
		return kv.Entry{}, kv.ErrOutcomeUnknown
	case <-time.After(s.readTime):
	}
	return s.Fake.Get(ctx, key)
}

// recordEndedJobs writes the terminal records of jobs that an earlier leader completed.
func (w *simulatedCluster) recordEndedJobs(ids []string) {
	w.t.Helper()
	for _, id := range ids {
		terminal := records.TerminalRecord{Phase: api.JobDone, Tasks: 1}
		txn := kv.Txn{Ops: []kv.Op{{Put: records.TerminalPrefix + id, Value: terminal}}}
		if _, err := w.store.Txn(w.t.Context(), txn); err != nil {
			w.t.Fatal(err)
		}
	}
}

// pollUntilDone polls a job as its user does, and returns how long it takes until it is called done.
// It gives up after forgottenAfter.
func pollUntilDone(n *node, id string) time.Duration {
	start := time.Now()
	for time.Since(start) < forgottenAfter {
		polledAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), userPollTimeout)
		state, err := n.Job(ctx, id)
		cancel()
		if err == nil && state.Phase == api.JobDone {
			break
		}
		time.Sleep(userPollInterval - time.Since(polledAt))
	}
	return time.Since(start)
}

// A new leader knows no ended job, so each poll of one takes reads of the store. However many such
// polls arrive, and however slowly the store answers, each job's user gets an answer.
func TestEndedJobsStayKnownToManyUsersOfNewLeader(t *testing.T) {
	tests := []struct {
		name      string
		jobs      int
		readsPerS int
		readTime  time.Duration
	}{
		{"few, fast store", 20, 48, 10 * time.Millisecond},
		{"more than the request rate allows", 300, 48, 10 * time.Millisecond},
		{"far more than the request rate allows", 1200, 48, 10 * time.Millisecond},
		{"one read takes more than half of a lookup's time", 20, 48, 550 * time.Millisecond},
		{"many, slow store", 150, 48, 350 * time.Millisecond},
		{"many, slower store", 300, 48, 550 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				ids := make([]string, test.jobs)
				for i := range ids {
					ids[i] = fmt.Sprint("job-", 1000+i)
				}
				w.recordEndedJobs(ids)
				n := w.start("n0")
				n.records.Store = newSlowStore(w.store, test.readsPerS, test.readTime)
				var forgotten atomic.Int32
				var users sync.WaitGroup
				for i, id := range ids {
					users.Go(func() {
						time.Sleep(userPollInterval * time.Duration(i) / time.Duration(len(ids)))
						if pollUntilDone(n, id) >= forgottenAfter {
							forgotten.Add(1)
						}
					})
				}
				users.Wait()
				if count := forgotten.Load(); count > 0 {
					t.Errorf("%d of %d jobs: no question answered for %v", count, len(ids), forgottenAfter)
				}
			})
		})
	}
}
