package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// slowReadStore is a store whose responses to reads of jobs are delayed.
type slowReadStore struct {
	*kvtest.Fake
	jobReads atomic.Int32
}

// Get reads one key, and counts and delays the reads of jobs.
func (s *slowReadStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := s.Fake.Get(ctx, key)
	if len(key) > 2 && (key[:2] == records.ActivePrefix || key[:2] == records.TerminalPrefix) {
		s.jobReads.Add(1)
		time.Sleep(50 * time.Millisecond)
	}
	return entry, err
}

// However many queries for a job arrive at once, the store is read only a few times. A query that
// arrives during a read does not share its result, because that may be older than a state that was
// reported in the meantime.
func TestConcurrentQueriesShareReadsButNoStaleResults(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		store := &slowReadStore{Fake: w.store}
		leader, follower := w.start("n0"), w.startWith("n1", store, &peerLinks{})
		w.submit(leader, spec("job-1", 1))
		store.jobReads.Store(0)
		var queries sync.WaitGroup
		for range 40 {
			queries.Go(func() { w.checkEqual("phase", w.phase(follower, "job-1"), api.JobPending) })
		}
		queries.Wait()
		if reads := store.jobReads.Load(); reads > 3 {
			w.t.Errorf("got %d reads for 40 queries, want at most 3", reads)
		}
		for afterMS := 0; afterMS < 120; afterMS += 10 {
			id := "job-1" + string(rune('a'+afterMS/10))
			w.submit(leader, spec(id, 1))
			// This query runs concurrently with the cancellation, so either phase is correct.
			queries.Go(func() { w.phase(follower, id) })
			time.Sleep(time.Duration(afterMS) * time.Millisecond)
			if _, err := leader.Cancel(w.t.Context(), id); err != nil {
				w.t.Fatal(err)
			}
			w.checkEqual("phase after the cancellation was reported", w.phase(follower, id), api.JobCancelled)
			queries.Wait()
		}
	})
}
