package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// laggingWatchStore is a store whose watches return after watchLag.
type laggingWatchStore struct {
	*kvtest.Fake
	watchLag time.Duration
}

// Watch returns the changes of the store watchLag late.
func (s *laggingWatchStore) Watch(
	ctx context.Context, prefix string, from uint64, block time.Duration,
) (kv.Changes, error) {
	changes, err := s.Fake.Watch(ctx, prefix, from, block)
	select {
	case <-ctx.Done():
		return kv.Changes{}, kv.ErrOutcomeUnknown
	case <-time.After(s.watchLag):
	}
	return changes, err
}

// While users cancel jobs at other nodes faster than the leader's watch delivers, the leader cannot
// confirm its memory. It answers polls from the store then.
func TestLeaderAnswersPollsWhileCancellationsOutrunItsWatch(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		leader := w.startWith("n0", &laggingWatchStore{Fake: w.store, watchLag: time.Second}, nil)
		w.submit(leader, spec("job-1", 1))
		time.Sleep(5 * time.Second)
		end := time.Now().Add(forgottenAfter)
		var cancels sync.WaitGroup
		cancels.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				txn := kv.Txn{Ops: []kv.Op{{Put: records.CancelKey, Value: fmt.Sprint("job-", 100+i)}}}
				if _, err := w.store.Txn(context.Background(), txn); err != nil {
					t.Error(err)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(userPollInterval)
		for time.Now().Before(end) {
			w.checkEqual("phase", w.phase(leader, "job-1"), api.JobPending)
			time.Sleep(userPollInterval)
		}
		cancels.Wait()
	})
}

// A leader that the store refuses alone has its users' polls answered by the other nodes.
func TestLeaderRefusedByStoreAnswersPollsThroughOtherNodes(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(0, spec("job-1", 1))
		time.Sleep(5 * time.Second)
		leader := tn.nodeAt(0)
		tn.stores[0].setClosed(true)
		for range 20 {
			if phase := w.phase(leader, "job-1"); phase != api.JobPending && phase != api.JobRunning {
				t.Errorf("got %q, want a phase", phase)
			}
			time.Sleep(time.Second)
		}
	})
}
