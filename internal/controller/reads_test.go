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

// slowAnswers is a store whose answers take a while on their way back.
type slowAnswers struct {
	*kvtest.Fake
	gets atomic.Int32
}

func (s *slowAnswers) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := s.Fake.Get(ctx, key)
	if len(key) > 2 && (key[:2] == records.ActivePrefix || key[:2] == records.TerminalPrefix) {
		s.gets.Add(1)
		time.Sleep(50 * time.Millisecond)
	}
	return e, err
}

// However many ask about a job at once, the store is read a few times only; and
// who asks when a read is on its way does not get its answer, which may be older
// than what was told meanwhile.
func TestQuestionsShareReadsButNoOldAnswers(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		st := &slowAnswers{Fake: w.store}
		leader, n := w.start("n0"), w.startWith("n1", st, &links{})
		w.submit(leader, spec("job-1", 1))
		st.gets.Store(0)
		var all sync.WaitGroup
		for range 40 {
			all.Go(func() { w.checkEqual("phase", w.phase(n, "job-1"), api.JobPending) })
		}
		all.Wait()
		if gets := st.gets.Load(); gets > 3 {
			t.Errorf("%d reads for 40 questions", gets)
		}
		for after := 0; after < 120; after += 10 {
			id := "job-1" + string(rune('a'+after/10))
			w.submit(leader, spec(id, 1))
			all.Go(func() { w.phase(n, id) }) // may be told either
			time.Sleep(time.Duration(after) * time.Millisecond)
			if _, err := leader.Cancel(context.Background(), id); err != nil {
				t.Fatal(err)
			}
			w.checkEqual("asked once it was told", w.phase(n, id), api.JobCancelled)
			all.Wait()
		}
	})
}
