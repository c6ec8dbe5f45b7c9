package controller

import (
	"fmt"
	"strings"
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
			started += countStarts(agent.heartbeat(n), "job-1")
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

// bootingFleet simulates machines that boot for 20 s after their launch and then send heartbeats until they
// are terminated.
type bootingFleet struct {
	*simulatedCluster
	agents map[string]*worker
	bootAt map[string]time.Time
}

// newBootingFleet returns a fleet of which the given machines are up.
func (w *simulatedCluster) newBootingFleet(up ...string) *bootingFleet {
	f := &bootingFleet{simulatedCluster: w, agents: map[string]*worker{}, bootAt: map[string]time.Time{}}
	for _, agent := range w.workers(up...) {
		f.agents[agent.status.Machine] = agent
	}
	return f
}

// bootMachines adds the launched machines that have booted.
func (f *bootingFleet) bootMachines() {
	for _, name := range f.cloud.launchedNames() {
		if f.bootAt[name].IsZero() {
			f.bootAt[name] = time.Now().Add(20 * time.Second)
		}
		if f.agents[name] == nil && !time.Now().Before(f.bootAt[name]) {
			f.agents[name] = f.worker(name, "a", true)
		}
	}
}

// run sends heartbeats of all machines for a time. While failing is set, all tasks fail as soon as they run.
// It returns the number of starts.
func (f *bootingFleet) run(n *node, failing bool, d time.Duration) (started int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		f.bootMachines()
		for name, agent := range f.agents {
			if f.cloud.terminated(name) {
				continue
			}
			started += countStarts(agent.heartbeat(n), "job-1")
			if failing {
				agent.exit(api.CauseError)
			}
		}
	}
	return started
}

// Guards against a job in backoff that never gets a machine again: it has failed on all machines of the
// fleet while these were faulty, and has no demand, so the idle machines are terminated and none is launched
// for it. In the second case, failures of tasks that were started together lengthen the backoff.
func TestJobInBackoffGetsCapacity(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines []string
		faulty   time.Duration
	}{
		{"three machines", []string{"i-1", "i-2", "i-3"}, 15 * time.Second},
		{"three machines, for long", []string{"i-1", "i-2", "i-3"}, 4 * time.Minute},
		{"one machine and those launched for the job", []string{"i-1"}, 4 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateScaling(t, func(w *simulatedCluster) {
				n := w.start("n0")
				fleet := w.newBootingFleet(c.machines...)
				fleet.run(n, false, 4*time.Second)
				w.submit(n, spec("job-1", 40))
				w.checkEqual("started while the machines are faulty", fleet.run(n, true, c.faulty) > 0, true)
				w.checkEqual("started within 90 s", fleet.run(n, false, maxWaitWithRoom) > 0, true)
			})
		})
	}
}

// A job that fails on every machine must neither launch machines nor start tasks without bound. It needs
// four machines at most, because of its team's limit, and avoids two before it has failed on the third and is
// in backoff.
func TestJobThatFailsEverywhereLaunchesFewMachines(t *testing.T) {
	for _, c := range []struct {
		name        string
		tasks       int
		machines    []string
		maxLaunched int
	}{
		{"tasks for one machine", 4, []string{"i-1"}, 2},
		{"tasks for many machines, one in use", 40, []string{"i-1"}, 4 + 2 - 1},
		{"tasks for many machines, three in use", 40, []string{"i-1", "i-2", "i-3"}, 4 + 2 - 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateScaling(t, func(w *simulatedCluster) {
				n := w.start("n0")
				fleet := w.newBootingFleet(c.machines...)
				fleet.run(n, false, 4*time.Second)
				w.submit(n, spec("job-1", c.tasks))
				fleet.run(n, true, 5*time.Minute)
				launched := len(w.cloud.launchedNames())
				if launched > c.maxLaunched {
					t.Errorf("got %d machines launched, want at most %d", launched, c.maxLaunched)
				}
				started := fleet.run(n, true, 10*time.Minute)
				w.checkEqual("machines launched later", len(w.cloud.launchedNames())-launched, 0)
				// In each backoff of a minute, one task on each machine that may be in use.
				if most := 10 * (len(c.machines) + c.maxLaunched); started > most {
					t.Errorf("got %d starts in ten minutes, want at most %d", started, most)
				}
			})
		})
	}
}

// exitJob makes the running tasks of a job exit with the given cause.
func (k *worker) exitJob(id, cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		task := &k.status.Tasks[i]
		if task.Phase == api.TaskRunning && strings.HasPrefix(task.Task, id+"/") {
			task.Phase, task.Cause = api.TaskExited, cause
		}
	}
}

// Guards against cordons that keep all jobs off the only machine because the tasks of one job fail there
// again and again.
func TestFailingJobLeavesTheOnlyMachineToOthers(t *testing.T) {
	simulateScaling(t, func(w *simulatedCluster) {
		w.cloud.capacity = 0
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		run := func(seconds int) {
			for range seconds {
				agent.heartbeat(n)
				agent.exitJob("job-1", api.CauseError)
				time.Sleep(time.Second)
			}
		}
		run(4)
		w.submit(n, spec("job-1", 100))
		for i := range 5 {
			run(60)
			id := fmt.Sprint("job-", i+2)
			w.submit(n, spec(id, 2))
			run(int(maxWaitWithRoom.Seconds()))
			w.checkEqual("running", agent.running(), []string{id + "/0", id + "/1"})
			agent.exitJob(id, api.CauseDone)
		}
	})
}
