package controller

import (
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv/kvtest"
)

func TestTeamLimitBoundsItsTasks(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams = []config.Team{{Name: "red", CPUs: 2, LimitCPUs: 6}}
		n := w.start("n0")
		w.submit(n, spec("job-1", 20))
		running := 0
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			k := w.worker(name, "a", false)
			k.heartbeatFor(n, 3)
			running += len(k.running())
		}
		w.checkEqual("running", running, 6)
	})
}

func TestTasksPerMachineByConstraint(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		for _, c := range []struct {
			name   string
			change func(*api.JobSpec)
			want   [3]int // tasks on machines in zone a, in zone b, and spot in zone b
		}{
			{"any", func(*api.JobSpec) {}, [3]int{4, 1, 0}},
			{"zone", func(s *api.JobSpec) { s.Zone = "b" }, [3]int{0, 4, 1}},
			{"no spot", func(s *api.JobSpec) { s.Zone, s.Spot = "b", false }, [3]int{0, 4, 0}},
			{"one zone", func(s *api.JobSpec) { s.OneZone = true }, [3]int{4, 0, 0}},
			{"spread", func(s *api.JobSpec) { s.Spread = true }, [3]int{3, 2, 0}},
		} {
			s := spec("job-1", 5)
			c.change(s)
			w.submit(n, s)
			workers := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "b", false), w.worker("i-3", "b", true)}
			var got [3]int
			for range 3 {
				for i, k := range workers {
					k.heartbeat(n)
					got[i] = len(k.running())
				}
				time.Sleep(time.Second)
			}
			w.checkEqual(c.name, got, c.want)
			// The next case starts with an empty store and new machines.
			n.crash()
			w.store = kvtest.New()
			n = w.start("n0")
		}
	})
}

// A machine on which tasks of several jobs fail is faulty and must be terminated.
func TestMachineThatFailsTasksOfSeveralJobsIsTerminated(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, spec("job-2", 1))
		for range 8 {
			k.heartbeatFor(n, 1)
			k.exit(api.CauseError)
		}
		k.heartbeatFor(n, 3)
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
	})
}

// A job that fails on several machines is itself faulty: its machines must be kept and still run the
// tasks of other jobs.
func TestMachinesOfAFaultyJobAreKept(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		workers := w.workers("i-1", "i-2", "i-3", "i-4")
		w.submit(n, spec("job-1", 3))
		for range 40 {
			for _, k := range workers {
				k.heartbeat(n)
				k.exit(api.CauseError)
			}
			time.Sleep(time.Second)
		}
		for _, k := range workers {
			w.checkEqual("terminated", w.cloud.terminated(k.status.Machine), false)
		}
		w.submit(n, spec("job-2", 8))
		heartbeatAll(workers, n, 4)
		running := 0
		for _, k := range workers {
			for _, task := range k.running() {
				if strings.HasPrefix(task, "job-2/") {
					running++
				}
			}
		}
		w.checkEqual("running tasks of another job", running, 8)
	})
}

// workers adds on-demand machines in zone a.
func (w *simulatedCluster) workers(names ...string) []*worker {
	workers := make([]*worker, len(names))
	for i, name := range names {
		workers[i] = w.worker(name, "a", false)
	}
	return workers
}

// Only runs on a machine that is slower than the job's other machines are restarted, each task once.
func TestStragglersAreRestartedOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		fast, slow := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		s := spec("job-1", 12)
		s.EstimateS = 5
		w.submit(n, s)
		restarts := 0
		for second := range 60 {
			w.checkEqual("restarts on the fast machine", countStops(fast.heartbeat(n)), 0)
			restarts += countStops(slow.heartbeat(n))
			// Tasks on the fast machine take 8 s, more than the estimate. Tasks on the slow machine
			// never end.
			if second%8 == 7 {
				fast.exit(api.CauseDone)
			}
			if second == 10 {
				w.checkEqual("restarts after 10 s", restarts, 0)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("restarts", restarts, 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
	})
}

// If a job's estimate is too low, all its runs exceed the limit together. Restarting them would lose
// their work.
func TestRunsBeyondATooLowEstimateAreKept(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		workers := w.workers("i-1", "i-2")
		s := spec("job-1", 8)
		s.EstimateS = 3
		w.submit(n, s)
		for range 40 {
			for _, k := range workers {
				w.checkEqual("restarts", countStops(k.heartbeat(n)), 0)
			}
			time.Sleep(time.Second)
		}
	})
}

// countStops returns the number of stop commands.
func countStops(commands []api.Command) (stops int) {
	for _, cmd := range commands {
		if cmd.Verb == api.VerbStop {
			stops++
		}
	}
	return stops
}

// A machine that fetches several images at once receives each of them late, and its capacity is
// reserved for tasks that cannot start yet. So with more tasks than capacity, the tasks of a second
// image must wait until the first image is fetched.
func TestImagesAreFetchedOneByOneWhenCapacityIsShort(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 3)
		first, second := spec("job-1", 2), spec("job-2", 9)
		first.DeadlineS, second.DeadlineS, second.Image = 60, 90, "other"
		w.submit(n, first)
		w.submit(n, second)
		time.Sleep(2 * time.Second)
		commands, err := k.sendHeartbeat(n)
		if err != nil {
			w.t.Fatal(err)
		}
		k.applyCommands(commands)
		w.checkEqual("running tasks of the first image", k.running(), []string{"job-1/0", "job-1/1"})
		for i := range k.status.Tasks {
			k.status.Tasks[i].Phase = api.TaskPulling
		}
		k.heartbeatFor(n, 2)
		w.checkEqual("tasks on the machine during the fetch", len(k.running()), 2)
		for i := range k.status.Tasks {
			k.status.Tasks[i].Phase = api.TaskRunning
		}
		k.heartbeatFor(n, 1)
		w.checkEqual("tasks on the machine after the fetch", len(k.running()), 4)
	})
}
