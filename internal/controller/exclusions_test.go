package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// maxWaitWithRoom is how long a job may be left waiting while a machine that fits has room and its team is
// below its limit, once all faults are over.
const maxWaitWithRoom = 90 * time.Second

// heartbeatWhileFailing sends heartbeats for a time, during which the machines fail all tasks as soon as
// they run. It returns how many tasks were started.
func heartbeatWhileFailing(agents []*worker, n *node, seconds int) (started int) {
	for range seconds {
		for _, agent := range agents {
			for _, cmd := range agent.heartbeat(n) {
				if cmd.Verb == api.VerbStart {
					started++
				}
			}
			agent.exit(api.CauseError)
		}
		time.Sleep(time.Second)
	}
	return started
}

// Guards against a job that is kept off the only machine in use for the rest of the term, because its tasks
// failed there while the machine was faulty for some seconds: the job must start there again, or on
// another machine.
func TestJobThatFailedOnTheOnlyMachineStartsAgain(t *testing.T) {
	for _, c := range []struct {
		name         string
		tasks        int
		capacity     int // of the cloud
		wantLaunched int
	}{
		{"several tasks, the cloud has no machine", 4, 0, 0},
		{"several tasks", 4, 10, 1},
		{"a single task, the cloud has no machine", 1, 0, 0},
		{"a single task", 1, 10, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateScaling(t, func(w *simulatedCluster) {
				w.cloud.capacity = c.capacity
				n := w.start("n0")
				agents := w.workers("i-1")
				heartbeatAll(agents, n, 4)
				w.submit(n, spec("job-1", c.tasks))
				heartbeatWhileFailing(agents, n, 8)
				recovered := time.Now()
				for len(agents[0].running()) == 0 && time.Since(recovered) < maxWaitWithRoom {
					agents[0].heartbeatFor(n, 1)
				}
				if c.capacity == 0 {
					w.checkEqual("started within 90 s", len(agents[0].running()) > 0, true)
				}
				w.checkEqual("machines launched", len(w.cloud.launchedNames()), c.wantLaunched)
				if c.wantLaunched > 0 {
					replacement := w.worker(w.awaitLaunches(1, time.Second)[0], "a", true)
					replacement.heartbeatFor(n, 4)
					w.checkEqual("tasks running", countRunning(agents[0], replacement), c.tasks)
				}
			})
		})
	}
}

// A machine that stays faulty must not get every task of the job again, and the job must not start tasks
// without bound: one at the end of each exclusion.
func TestFaultyMachineGetsFewTasksAgain(t *testing.T) {
	simulateScaling(t, func(w *simulatedCluster) {
		w.cloud.capacity = 0
		n := w.start("n0")
		agents := w.workers("i-1")
		heartbeatAll(agents, n, 4)
		w.submit(n, spec("job-1", 100))
		started := heartbeatWhileFailing(agents, n, 10)
		w.checkEqual("tasks started at first", started <= 8, true)
		w.checkEqual("tasks started in five further minutes", heartbeatWhileFailing(agents, n, 300), 5)
	})
}

// A job that fails on every machine must not launch machines without bound, and neither must it keep the
// machines from other jobs.
func TestJobThatFailsEverywhereLaunchesFewMachines(t *testing.T) {
	simulateScaling(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agents := w.workers("i-1")
		heartbeatAll(agents, n, 4)
		w.submit(n, spec("job-1", 4))
		for range 20 {
			heartbeatWhileFailing(agents, n, 30)
			for _, name := range w.cloud.launchedNames()[len(agents)-1:] {
				agents = append(agents, w.worker(name, "a", true))
			}
		}
		if got := len(w.cloud.launchedNames()); got > 2 {
			t.Errorf("got %d machines launched in ten minutes, want at most 2: the job has failed on three then", got)
		}
	})
}
