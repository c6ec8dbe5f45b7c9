package controller

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// thrifty reads within a rate, as the client does: a read that would have to wait
// for its turn for longer than it has time is refused.
type thrifty struct {
	*kvtest.Fake
	reads *rate.Limiter
	// closed is set while no reads are served.
	closed atomic.Bool
}

func (s *thrifty) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.closed.Load() && strings.HasPrefix(key, records.ActivePrefix) {
		return kv.Entry{}, kv.ErrNotApplied
	}
	if err := s.reads.Wait(ctx); err != nil {
		return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrNotApplied, err)
	}
	return s.Fake.Get(ctx, key)
}

// The answers to a while of the leader's records are lost: the ends of many jobs
// are on record, and it does not know. It finds out within its request rate. When
// all were looked at side by side none ever was, and machines with tasks long done
// were kept for the rest of the day.
func TestManyEndsWithLostAnswersAreSettled(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		st := &thrifty{Fake: w.store, reads: rate.NewLimiter(20, 20)}
		n := w.startWith("n0", st, nil)
		var ks []*worker
		for i := range 15 {
			ks = append(ks, w.worker(fmt.Sprint("i-", i), "a", false))
		}
		n.inspect(func(c *Controller) { c.leaderTerm.teams["red"].LimitCPUs = 1000 })
		all := func(seconds int) {
			for range seconds {
				for _, k := range ks {
					k.heartbeat(n)
				}
				time.Sleep(time.Second)
			}
		}
		all(3)
		for i := range 60 {
			w.submit(n, spec(fmt.Sprintf("job-%d", i), 1))
		}
		all(4)
		w.store.LoseResponses(func(txn kv.Txn) bool { return txn.Records })
		st.closed.Store(true)
		for _, k := range ks {
			k.exit(api.CauseDone)
		}
		all(40)
		w.store.LoseResponses(nil)
		st.closed.Store(false)
		all(20)
		for _, k := range ks {
			k.mu.Lock()
			if len(k.status.Tasks) > 0 {
				t.Errorf("%s still holds %d tasks that are done", k.status.Machine, len(k.status.Tasks))
			}
			k.mu.Unlock()
		}
		n.inspect(func(c *Controller) { w.checkEqual("jobs left", len(c.leaderTerm.jobs), 0) })
	})
}
