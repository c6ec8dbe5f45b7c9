package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// RunsElsewhere derives its sums from running totals. They must equal the sums over the runs on all
// other machines.
func TestRunsElsewhere(t *testing.T) {
	j := &cluster.Job{Runs: cluster.JobRuns{ByMachine: map[string]*cluster.RunStats{}}}
	runsS := map[string][]int{"i-1": {5, 9, 2}, "i-2": {7}, "i-3": {8, 9}, "i-4": {3}}
	for _, name := range []string{"i-2", "i-1", "i-3", "i-4"} {
		for _, runS := range runsS[name] {
			j.Runs.Add(name, time.Duration(runS)*time.Second, runS > 7)
		}
	}
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		var want cluster.RunStats
		for other, list := range runsS {
			for _, runS := range list {
				if other != name {
					want.Add(time.Duration(runS)*time.Second, runS > 7)
				}
			}
		}
		if got := j.RunsElsewhere(&cluster.Machine{Name: name}); got != want {
			t.Errorf("RunsElsewhere(%s): got %+v, want %+v", name, got, want)
		}
	}
}

// A machine must leave a job to machines with a lower placement cost while these have capacity for all
// pending tasks of the job, and take the job otherwise. Here the first two machines cost less, because
// they already have the image.
func TestBetterMachinesFirst(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		w.cloud.types[0].FetchGBs = 1
		n := w.start("n0")
		workers := make([]*worker, 4)
		for i := range workers {
			workers[i] = w.worker(fmt.Sprint("i-", i), "a", false)
			workers[i].heartbeatFor(n, 3)
		}
		first := spec("job-1", 8)
		first.ImageGB = 6
		w.submit(n, first)
		workers[0].heartbeatFor(n, 2)
		workers[1].heartbeatFor(n, 2)
		w.checkEqual("running on two machines", countRunning(workers[:2]...), 8)
		workers[0].exit(api.CauseDone)
		workers[1].exit(api.CauseDone)
		workers[0].heartbeatFor(n, 3)
		workers[1].heartbeatFor(n, 3)
		second := spec("job-2", 10)
		second.ImageGB = 6
		w.submit(n, second)
		n.inspect(func(c *Controller) {
			j, now := c.leaderTerm.jobs["job-2"], time.Now()
			hasBetter := func(machine string) bool {
				return c.leaderTerm.hasBetterMachines(j, c.leaderTerm.machines[machine], now)
			}
			hasBetterRecomputed := func(machine string) bool {
				j.Capacity.ComputedAt = time.Time{}
				return hasBetter(machine)
			}
			w.checkEqual("more tasks pending than better machines can take", hasBetterRecomputed("i-2"), false)
			j.Flight.Take(0)
			j.Flight.Take(1)
			w.checkEqual("as many tasks pending as better machines can take", hasBetterRecomputed("i-2"), true)
			w.checkEqual("one of the better machines", hasBetter("i-0"), false)
			j.WaitingSince = now.Add(-c.leaderTerm.placementDelay - time.Second)
			w.checkEqual("pending for longer than the placement delay", hasBetterRecomputed("i-2"), false)
		})
	})
}

// While there is capacity, tasks without checkpoints must start on on-demand machines, and tasks with
// checkpoints on spot machines.
func TestSpotMachinesForTasksWithCheckpoints(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		n := w.start("n0")
		onDemand, spot := w.worker("i-1", "a", false), w.worker("i-2", "a", true)
		workers := []*worker{spot, onDemand} // the cheaper machine sends its heartbeat first
		heartbeatAll(workers, n, 3)
		plain, checkpointed := spec("job-1", 2), spec("job-2", 2)
		checkpointed.CheckpointS, checkpointed.SaveS = 5, 1
		w.submit(n, plain)
		w.submit(n, checkpointed)
		heartbeatAll(workers, n, 3)
		w.checkEqual("running on the on-demand machine", onDemand.running(), []string{"job-1/0", "job-1/1"})
		w.checkEqual("running on the spot machine", spot.running(), []string{"job-2/0", "job-2/1"})
		w.submit(n, spec("job-3", 4))
		heartbeatAll(workers, n, 4)
		w.checkEqual("running", countRunning(workers...), 8)
	})
}

// A machine must not get more small tasks than its heartbeat can report. If the heartbeat exceeded
// the size limit, the machine could send none and would lose its tasks.
func TestTasksPerMachineAreLimitedByHeartbeatSize(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		s := spec("job-12345678901234567890", 2000)
		s.CPUs, s.MemoryGB = 0.001, 0
		w.submit(n, s)
		maxTasks := 0
		for range 60 {
			k.heartbeat(n)
			maxTasks = max(maxTasks, len(k.status.Tasks))
			if maxTasks > cluster.MaxMachineAttempts {
				w.t.Fatalf("got %d tasks on a machine, want at most %d", maxTasks, cluster.MaxMachineAttempts)
			}
			time.Sleep(time.Second)
			if len(k.status.Tasks) == cluster.MaxMachineAttempts {
				k.exit(api.CauseDone)
			}
		}
		w.checkEqual("most tasks on the machine", maxTasks, cluster.MaxMachineAttempts)
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 4)
		w.checkEqual("phase", w.phase(n, s.ID), api.JobDone)
	})
}

// A heartbeat is limited to 64 KiB. The largest task status, with its field names in the protocol,
// times the maximum number of attempts on a machine must leave 1 KiB for the other fields.
func TestLargestHeartbeatFits(t *testing.T) {
	const maxBytes = 64<<10 - 1024
	status, err := json.Marshal(map[string]any{
		"Shoot":  "job-12345678901234567890/99999",
		"Sprout": uint64(math.MaxUint64),
		"Phase":  "exited",
		"Cause":  "halted",
		"Kept":   true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if size := (len(status) + 1) * cluster.MaxMachineAttempts; size > maxBytes {
		t.Errorf("heartbeat with %d tasks: got %d bytes, want at most %d", cluster.MaxMachineAttempts, size, maxBytes)
	}
}

// A job whose record exceeds the value size of the key-value store can never be accepted. Its user must
// get a permanent error, not one that the client retries for a minute.
func TestJobTooLargeForARecordIsUnschedulable(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		for _, c := range []struct {
			types int
			fits  bool
		}{{1, true}, {300, true}, {4000, false}} {
			s := spec(fmt.Sprint("job-", c.types), 1)
			for range c.types {
				s.Types = append(s.Types, "small-or-so")
			}
			s.Types = append(s.Types, "small")
			_, _, err := n.Submit(w.t.Context(), s)
			var unschedulable *api.UnschedulableError
			if errors.As(err, &unschedulable) == c.fits {
				w.t.Errorf("%d types: got error %v, want unschedulable %v", c.types, err, !c.fits)
			}
			w.checkEqual(fmt.Sprint("stored with ", c.types, " types"), w.store.Has(records.ActivePrefix+s.ID), c.fits)
		}
	})
}
