package controller

import (
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv/kvtest"
)

func TestTeamLimitHolds(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams = []config.Team{{Name: "red", CPUs: 2, LimitCPUs: 6}}
		n := w.start("n0")
		w.submit(n, spec("job-1", 20))
		total := 0
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			k := w.worker(name, "a", false)
			k.serve(n, 3)
			total += len(k.running())
		}
		w.checkEqual("tasks", total, 6)
	})
}

func TestPlacement(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		place := func(change func(*api.JobSpec)) [3]int {
			s := spec("job-1", 5)
			change(s)
			w.submit(n, s)
			var got [3]int
			ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "b", false), w.worker("i-3", "b", true)}
			for range 3 {
				for i, k := range ks {
					k.heartbeat(n)
					got[i] = len(k.running())
				}
				time.Sleep(time.Second)
			}
			// The next job finds fresh machines and a fresh store.
			n.crash()
			w.store = kvtest.New()
			n = w.start("n0")
			return got
		}
		w.checkEqual("any", place(func(*api.JobSpec) {}), [3]int{4, 1, 0})
		w.checkEqual("zone", place(func(s *api.JobSpec) { s.Zone = "b" }), [3]int{0, 4, 1})
		w.checkEqual("no spot", place(func(s *api.JobSpec) { s.Zone, s.Spot = "b", false }), [3]int{0, 4, 0})
		w.checkEqual("one zone", place(func(s *api.JobSpec) { s.OneZone = true }), [3]int{4, 0, 0})
		w.checkEqual("spread", place(func(s *api.JobSpec) { s.Spread = true }), [3]int{3, 2, 0})
	})
}

// A machine that fails the tasks of several jobs is at fault and is returned;
// a job that fails on several machines is itself at fault, and they are kept.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, spec("job-2", 1))
		for range 8 {
			k.serve(n, 1)
			k.exit(api.CauseError)
		}
		k.serve(n, 3)
		w.checkEqual("faulty machine returned", w.cloud.terminated("i-1"), true)
	})
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false), w.worker("i-4", "a", false)}
		w.submit(n, spec("job-1", 3))
		for range 40 {
			for _, k := range ks {
				k.heartbeat(n)
				k.exit(api.CauseError)
			}
			time.Sleep(time.Second)
		}
		for _, k := range ks {
			w.checkEqual("kept", w.cloud.terminated(k.status.Machine), false)
		}
		w.submit(n, spec("job-2", 8))
		for range 4 {
			for _, k := range ks {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
		}
		sum := 0
		for _, k := range ks {
			for _, task := range k.running() {
				if strings.HasPrefix(task, "job-2/") {
					sum++
				}
			}
		}
		w.checkEqual("another job runs beside it", sum, 8)
	})
}

// When a job's estimate is too low all its tasks pass the limit together, and
// restarting them would throw their work away. Only the member that is slower
// than the others loses its run, once.
func TestOverdueRuns(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		fast, slow := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		s := spec("job-1", 12)
		s.EstimateS = 5
		w.submit(n, s)
		restarts := 0
		for second := range 60 {
			for _, k := range []*worker{fast, slow} {
				for _, o := range k.heartbeat(n) {
					if o.Verb == api.VerbStop {
						restarts++
						w.checkEqual("on the slow machine", k == slow, true)
					}
				}
			}
			// Tasks of the fast machine take 8 s, more than the estimate; of
			// the slow one, for ever.
			if second%8 == 7 {
				fast.exit(api.CauseDone)
			}
			if second == 10 {
				w.checkEqual("nothing restarted yet", restarts, 0)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("restarts", restarts, 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
	})
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false)}
		s := spec("job-1", 8)
		s.EstimateS = 3
		w.submit(n, s)
		for range 40 {
			for _, k := range ks {
				for _, o := range k.heartbeat(n) {
					w.checkEqual("stopped", o.Verb == api.VerbStop, false)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

// A machine that fetches several images at once gets none of them soon, and
// holds room for tasks that cannot begin: with more work than room, the tasks
// of a second image wait for the first.
func TestImagesAreFetchedOneByOneWhenRoomIsShort(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 3)
		a, b := spec("job-1", 2), spec("job-2", 9)
		a.DeadlineS, b.DeadlineS, b.Image = 60, 90, "other"
		w.submit(n, a)
		w.submit(n, b)
		time.Sleep(2 * time.Second)
		commands, err := k.sendHeartbeat(n)
		if err != nil {
			t.Fatal(err)
		}
		k.applyCommands(commands)
		w.checkEqual("first image", k.running(), []string{"job-1/0", "job-1/1"})
		for i := range k.status.Tasks {
			k.status.Tasks[i].Phase = api.TaskPulling
		}
		k.serve(n, 2)
		w.checkEqual("while it is fetched", len(k.running()), 2)
		for i := range k.status.Tasks {
			k.status.Tasks[i].Phase = api.TaskRunning
		}
		k.serve(n, 1)
		w.checkEqual("once it is there", len(k.running()), 4)
	})
}
