package controller

import (
	"context"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// A machine with more ended tasks than an answer holds orders must still be told
// at once to stop what is cancelled: its lease is renewed by the same answers.
// The ended tasks are reaped after that.
func TestStopsGoBeforeReaps(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		w.checkEqual("running", k.running(), []string{"job-1/0"})
		// Starts that nobody can serve end at once; such tasks stay in the reports
		// until they are reaped.
		for i := range 3 * maxCommands {
			k.status.Tasks = append(k.status.Tasks, api.TaskStatus{Task: "job-2/" + string(rune('0'+i%10)), Attempt: uint64(1000 + i),
				Phase: api.TaskExited, Cause: api.CauseNoSuch})
		}
		if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		commands := k.heartbeat(n)
		w.checkEqual("orders of one answer", len(commands), maxCommands)
		w.checkEqual("first order", commands[0].Verb+" "+commands[0].Task, "stop job-1/0")
		w.checkEqual("stopped", len(k.running()), 0)
		k.serve(n, 4)
		w.checkEqual("reaped", len(k.status.Tasks), 0)
	})
}
