package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Guards against cancelled tasks that keep running on a machine with more exited tasks than a heartbeat
// response may have commands. Stops must precede reaps, because the same responses renew the task
// lease. The exited tasks are reaped afterwards.
func TestStopsGoBeforeReaps(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		agent.heartbeatFor(n, 3)
		w.checkEqual("running", agent.running(), []string{"job-1/0"})
		// Tasks that the agent cannot start exit immediately, and remain in its heartbeats until
		// they are reaped.
		for i := range 3 * maxCommands {
			agent.status.Tasks = append(agent.status.Tasks, api.TaskStatus{
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
		commands := agent.heartbeat(n)
		w.checkEqual("commands of one response", len(commands), maxCommands)
		w.checkEqual("first command", commands[0].Verb+" "+commands[0].Task, "stop job-1/0")
		w.checkEqual("running once stopped", len(agent.running()), 0)
		agent.heartbeatFor(n, 4)
		w.checkEqual("tasks left once reaped", len(agent.status.Tasks), 0)
	})
}
