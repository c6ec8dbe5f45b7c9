package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// A machine with more exited tasks than a heartbeat response holds commands must still get at once the
// stops of cancelled tasks: the same responses renew its task lease. The exited tasks are reaped
// after that.
func TestStopsGoBeforeReaps(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		w.checkEqual("running", k.running(), []string{"job-1/0"})
		// Starts that no machine can run exit at once; such tasks stay in the heartbeats until they
		// are reaped.
		for i := range 3 * maxCommands {
			k.status.Tasks = append(k.status.Tasks, api.TaskStatus{
				Task:    "job-2/" + string(rune('0'+i%10)),
				Attempt: uint64(1000 + i),
				Phase:   api.TaskExited,
				Cause:   api.CauseNoSuch,
			})
		}
		if _, err := n.Cancel(w.t.Context(), "job-1"); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(time.Second)
		commands := k.heartbeat(n)
		w.checkEqual("commands of one response", len(commands), maxCommands)
		w.checkEqual("first command", commands[0].Verb+" "+commands[0].Task, "stop job-1/0")
		w.checkEqual("running once stopped", len(k.running()), 0)
		k.serve(n, 4)
		w.checkEqual("tasks left once reaped", len(k.status.Tasks), 0)
	})
}
