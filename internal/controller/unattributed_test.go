package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Guards against a team that uses twice its limit of GPUs after a leader change: a job is cancelled while the
// leader changes and its machine gets no commands, so that the next leader knows neither the job of the tasks
// there nor its team.
func TestGPUsOfEndedJobsCountAgainstTheLimit(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].GPUs, w.teams[0].LimitGPUs = 4, 4
		w.cloud.types = append(w.cloud.types, api.MachineType{
			Name: "cards", CPUs: 8, GPUs: 4, MemoryGB: 32, Price: 4, SpotPrice: 2, BootS: 20, Zones: []string{"a"},
		})
		agents := w.workers("i-1", "i-2")
		for _, agent := range agents {
			agent.status.Type = "cards"
		}
		n := w.start("n0")
		heartbeatAll(agents, n, 4)
		for _, id := range []string{"job-1", "job-2"} {
			s := spec(id, 4)
			s.GPUs = 1
			w.submit(n, s)
			heartbeatAll(agents, n, 3)
		}
		w.checkEqual("tasks running at the limit", countRunning(agents...), 4)
		w.cancelJob(n, "job-1")
		n.crash()
		n = w.start("n0")
		for range 3 { // the machine would be terminated after four responses without effect
			for _, agent := range agents {
				commands, err := agent.sendHeartbeat(n)
				if err == nil && len(agent.running()) == 0 {
					agent.applyCommands(commands) // commands do not reach the machine of the cancelled job
				}
			}
			w.checkEqual("tasks running", countRunning(agents...), 4)
			time.Sleep(time.Second)
		}
		heartbeatAll(agents, n, 6)
		w.checkEqual("tasks running once the machine gets commands", countRunning(agents...), 4)
		running := append(agents[0].running(), agents[1].running()...)
		w.checkEqual("the next job's tasks", running, []string{"job-2/0", "job-2/1", "job-2/2", "job-2/3"})
	})
}
