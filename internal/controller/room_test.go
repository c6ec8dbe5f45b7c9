package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// What other members did is known without going through them: the sums must
// come out as if they had been.
func TestRunsElsewhere(t *testing.T) {
	j := &job{runs: jobRuns{by: map[string]*runs{}}}
	took := map[string][]int{"i-1": {5, 9, 2}, "i-2": {7}, "i-3": {8, 9}, "i-4": {3}}
	for _, name := range []string{"i-2", "i-1", "i-3", "i-4"} {
		for _, s := range took[name] {
			j.runs.add(name, time.Duration(s)*time.Second, s > 7)
		}
	}
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		var want runs
		for other, list := range took {
			for _, s := range list {
				if other != name {
					want.add(time.Duration(s)*time.Second, s > 7)
				}
			}
		}
		if got := j.elsewhere(&machine{name: name}); got != want {
			t.Errorf("elsewhere than on %s: %+v, want %+v", name, got, want)
		}
	}
}

// A machine leaves a job to machines that suit it better while these have room
// for all that waits of it, and takes it when they have not.
func TestBetterMachinesFirst(t *testing.T) {
	play(t, func(w *world) {
		w.teams[0].CPUsMax = 100
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
		w.same("gathered", len(ks[0].running())+len(ks[1].running()), 8)
		ks[0].exit(api.CauseDone)
		ks[1].exit(api.CauseDone)
		ks[0].serve(a, 3)
		ks[1].serve(a, 3)
		second := spec("job-2", 10)
		second.ImageGB = 6
		w.submit(a, second)
		a.look(func(c *Controller) {
			j, now := c.reign.jobs["job-2"], time.Now()
			better := func() bool { j.room.at = time.Time{}; return c.reign.betterElsewhere(j, c.reign.machines["i-2"], now) }
			w.same("more waits than the better have room for", better(), false)
			j.flight.Take(0)
			j.flight.Take(1)
			w.same("as much waits as the better have room for", better(), true)
			w.same("one of the better", c.reign.betterElsewhere(j, c.reign.machines["i-0"], now), false)
			j.waiting = now.Add(-c.reign.grace - time.Second)
			w.same("it has waited for long enough", better(), false)
		})
	})
}

// Work that saves nothing begins on machines that stay, work that does on those
// that the cloud may take back, as long as there is room.
func TestSpotMachinesForWorkThatSaves(t *testing.T) {
	play(t, func(w *world) {
		w.teams[0].CPUsMax = 100
		a := w.start("n0")
		stays, spot := w.worker("i-1", "a", false), w.worker("i-2", "a", true)
		both := func(n int) {
			for range n {
				spot.report(a) // it is the cheaper one, and asks first
				stays.report(a)
				time.Sleep(time.Second)
			}
		}
		both(3)
		plain, saves := spec("job-1", 2), spec("job-2", 2)
		saves.CheckpointS, saves.SaveS = 5, 1
		w.submit(a, plain)
		w.submit(a, saves)
		both(3)
		w.same("on the machine that stays", stays.running(), []string{"job-1/0", "job-1/1"})
		w.same("on the machine that may be taken", spot.running(), []string{"job-2/0", "job-2/1"})
		w.submit(a, spec("job-3", 4))
		both(4)
		w.same("all have begun", len(stays.running())+len(spot.running()), 8)
	})
}
