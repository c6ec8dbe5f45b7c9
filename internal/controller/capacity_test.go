package controller

import (
	"context"
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

// What other members did is known without going through them: the sums must
// come out as if they had been.
func TestRunsElsewhere(t *testing.T) {
	j := &cluster.Job{Runs: cluster.JobRuns{ByMachine: map[string]*cluster.RunStats{}}}
	took := map[string][]int{"i-1": {5, 9, 2}, "i-2": {7}, "i-3": {8, 9}, "i-4": {3}}
	for _, name := range []string{"i-2", "i-1", "i-3", "i-4"} {
		for _, s := range took[name] {
			j.Runs.Add(name, time.Duration(s)*time.Second, s > 7)
		}
	}
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		var want cluster.RunStats
		for other, list := range took {
			for _, s := range list {
				if other != name {
					want.Add(time.Duration(s)*time.Second, s > 7)
				}
			}
		}
		if got := j.RunsElsewhere(&cluster.Machine{Name: name}); got != want {
			t.Errorf("elsewhere than on %s: %+v, want %+v", name, got, want)
		}
	}
}

// A machine leaves a job to machines that suit it better while these have room
// for all that waits of it, and takes it when they have not.
func TestBetterMachinesFirst(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		w.cloud.types[0].FetchGBs = 1
		a := w.start("n0")
		var ks []*worker
		for i := range 4 {
			ks = append(ks, w.worker(fmt.Sprint("i-", i), "a", false))
			ks[i].serve(a, 3)
		}
		first := spec("job-1", 8)
		first.ImageGB = 6
		w.submit(a, first)
		ks[0].serve(a, 2)
		ks[1].serve(a, 2)
		w.checkEqual("gathered", len(ks[0].running())+len(ks[1].running()), 8)
		ks[0].exit(api.CauseDone)
		ks[1].exit(api.CauseDone)
		ks[0].serve(a, 3)
		ks[1].serve(a, 3)
		second := spec("job-2", 10)
		second.ImageGB = 6
		w.submit(a, second)
		a.inspect(func(c *Controller) {
			j, now := c.leaderTerm.jobs["job-2"], time.Now()
			better := func() bool {
				j.Capacity.ComputedAt = time.Time{}
				return c.leaderTerm.hasBetterMachines(j, c.leaderTerm.machines["i-2"], now)
			}
			w.checkEqual("more waits than the better have room for", better(), false)
			j.Flight.Take(0)
			j.Flight.Take(1)
			w.checkEqual("as much waits as the better have room for", better(), true)
			w.checkEqual("one of the better", c.leaderTerm.hasBetterMachines(j, c.leaderTerm.machines["i-0"], now), false)
			j.WaitingSince = now.Add(-c.leaderTerm.grace - time.Second)
			w.checkEqual("it has waited for long enough", better(), false)
		})
	})
}

// Work that saves nothing begins on machines that stay, work that does on those
// that the cloud may take back, as long as there is room.
func TestSpotMachinesForWorkThatSaves(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		a := w.start("n0")
		stays, spot := w.worker("i-1", "a", false), w.worker("i-2", "a", true)
		both := func(n int) {
			for range n {
				spot.heartbeat(a) // it is the cheaper one, and asks first
				stays.heartbeat(a)
				time.Sleep(time.Second)
			}
		}
		both(3)
		plain, saves := spec("job-1", 2), spec("job-2", 2)
		saves.CheckpointS, saves.SaveS = 5, 1
		w.submit(a, plain)
		w.submit(a, saves)
		both(3)
		w.checkEqual("on the machine that stays", stays.running(), []string{"job-1/0", "job-1/1"})
		w.checkEqual("on the machine that may be taken", spot.running(), []string{"job-2/0", "job-2/1"})
		w.submit(a, spec("job-3", 4))
		both(4)
		w.checkEqual("all have begun", len(stays.running())+len(spot.running()), 8)
	})
}

// Tasks that take next to nothing of a machine: no more of them come to one than
// its report can tell of, or it could not report at all and lose them.
func TestTinyTasksDoNotOutgrowTheReport(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		s := spec("job-12345678901234567890", 2000)
		s.CPUs, s.MemoryGB = 0.001, 0
		w.submit(n, s)
		most := 0
		for range 60 {
			k.heartbeat(n)
			most = max(most, len(k.status.Tasks))
			if most > cluster.MaxAttempts {
				t.Fatalf("%d tasks on a machine", most)
			}
			time.Sleep(time.Second)
			if len(k.status.Tasks) == cluster.MaxAttempts {
				k.exit(api.CauseDone)
			}
		}
		w.checkEqual("fills the machine", most, cluster.MaxAttempts)
		k.exit(api.CauseDone)
		k.serve(n, 4)
		w.checkEqual("phase", w.phase(n, s.ID), api.JobDone)
		line, err := json.Marshal(map[string]any{"Shoot": s.ID + "/99999", "Sprout": uint64(math.MaxUint64), "Phase": "exited", "Cause": "halted", "Kept": true})
		if err != nil {
			t.Fatal(err)
		}
		if size := (len(line) + 1) * cluster.MaxAttempts; size > 64<<10-1024 {
			t.Errorf("a report of %d tasks takes %d bytes", cluster.MaxAttempts, size)
		}
	})
}

// A job whose record no value of the store holds can never be accepted: its user
// is told so, and does not come back for a minute.
func TestJobTooLargeForARecord(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		for _, c := range []struct {
			names int
			fits  bool
		}{{1, true}, {300, true}, {4000, false}} {
			s := spec(fmt.Sprint("job-", c.names), 1)
			for range c.names {
				s.Types = append(s.Types, "small-or-so")
			}
			s.Types = append(s.Types, "small")
			_, _, err := n.Submit(context.Background(), s)
			var never *api.UnschedulableError
			if errors.As(err, &never) == c.fits {
				t.Errorf("%d names: %v", c.names, err)
			}
			w.checkEqual("stored", w.store.Has(records.ActivePrefix+s.ID), c.fits)
		}
	})
}
