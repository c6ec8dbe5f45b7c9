package controller

import (
	"context"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// A cancellation and the end of a job race: whichever transaction comes first
// decides, and nobody is told otherwise.
func TestCancelAgainstDone(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, spec("job-2", 1))
		k.serve(n, 3)
		w.store.Delay(touches(records.TerminalPrefix + "job-1"))
		k.exit(api.CauseDone)
		k.heartbeat(n)
		time.Sleep(300 * time.Millisecond)
		w.checkEqual("held", w.store.DelayedCount(), 1)
		w.store.Delay(nil)
		st, err := n.Cancel(context.Background(), "job-1")
		if err != nil || st.Phase != api.JobCancelled {
			t.Fatalf("abort: %v %v", st, err)
		}
		for _, res := range w.store.ApplyDelayed() {
			w.checkEqual("late end", res.Succeeded, false)
		}
		for range 8 {
			k.serve(n, 1)
			w.checkEqual("phase", w.phase(n, "job-1"), "withdrawn")
		}
		st, err = n.Cancel(context.Background(), "job-2")
		if err != nil || st.Phase != api.JobDone {
			t.Errorf("abort of a done job: %v %v", st, err)
		}
	})
}

// Any node cancels by its own transaction. The leader must not tell a user an
// older state because its watch lags, and must stop the tasks.
func TestCancelAtAnotherNode(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a, b := w.start("n0"), w.start("n1")
		k := w.worker("i-1", "a", false)
		w.submit(a, spec("job-1", 2))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 2)
		w.store.SetWatchesBlind(true)
		if st, err := b.Cancel(context.Background(), "job-1"); err != nil || st.Phase != api.JobCancelled {
			t.Fatalf("abort: %v %v", st, err)
		}
		if got := w.phase(a, "job-1"); got == api.JobRunning || got == api.JobPending {
			t.Errorf("the leader says %s after another node said withdrawn", got)
		}
		w.store.SetWatchesBlind(false)
		k.serve(a, 3)
		w.checkEqual("stopped", len(k.running()), 0)
		w.checkEqual("leader", w.phase(a, "job-1"), "withdrawn")
		w.checkEqual("other", w.phase(b, "job-1"), "withdrawn")
	})
}
