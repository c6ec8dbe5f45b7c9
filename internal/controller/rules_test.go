package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/store"
	"example.org/ivytrestle/internal/store/storetest"
)

func touches(prefix string) func(store.Txn) bool {
	return func(txn store.Txn) bool {
		for _, op := range txn.Ops {
			if strings.HasPrefix(op.Put, prefix) || strings.HasPrefix(op.Delete, prefix) {
				return true
			}
		}
		return false
	}
}

func TestJobRunsAndStaysDone(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 6))
		k.serve(n, 4)
		w.same("first four", len(k.running()), 4)
		w.same("phase", w.phase(n, "job-1"), "running")
		k.exit(api.CauseDone)
		k.serve(n, 3)
		w.same("last two", k.running(), []string{"job-1/4", "job-1/5"})
		k.exit(api.CauseDone)
		k.serve(n, 3)
		w.same("phase", w.phase(n, "job-1"), "done")
		w.same("reaped", len(k.rep.Tasks), 0)
		// The repeat of a submission after the job is over, with other contents.
		st, created, err := n.Submit(context.Background(), spec("job-1", 9))
		if err != nil || created || st.Phase != api.JobDone {
			t.Errorf("repeat: %v %v %v", st, created, err)
		}
		w.same("unknown job", w.phase(n, "job-2"), api.ErrUnknownJob.Error())
	})
}

// A job whose end is not on record must not be told as done: the next leader
// would say something older.
func TestDoneIsDurableBeforeItIsTold(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		w.store.Hold(touches(store.FinalPrefix))
		k.exit(api.CauseDone)
		k.serve(n, 2)
		if got := w.phase(n, "job-1"); got == api.JobDone {
			t.Error("told done before it was on record")
		}
		w.same("kept on the worker", len(k.rep.Tasks), 1)
		w.store.Release()
		k.serve(n, 4)
		w.same("phase", w.phase(n, "job-1"), "done")
	})
}

// A transaction of an earlier leader that is carried out late must fail, or it
// would change what the next leader has read.
func TestLateTransactionOfAnEarlierLeaderFails(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		w.store.Hold(touches(store.MachinePrefix))
		k := w.worker("i-1", "a", false)
		w.submit(a, spec("job-1", 1))
		k.serve(a, 2)
		w.same("held", w.store.Held() > 0, true)
		w.same("no start before the roster is durable", len(k.running()), 0)
		a.crash()
		w.start("n0")
		for _, res := range w.store.Release() {
			w.same("late transaction carried out", res.OK, false)
		}
		w.same("roster", w.roster(), []string(nil))
	})
}

// A machine that has not been heard in this term may hold any earlier task.
func TestTakeoverWaitsForUnheardMachines(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		k1, k2, k3 := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		w.submit(a, spec("job-1", 8))
		k1.serve(a, 3)
		k2.serve(a, 3)
		k3.serve(a, 3)
		w.same("all started", len(k1.running())+len(k2.running())+len(k3.running()), 8)
		a.crash()
		b := w.start("n0")
		k1.exit(api.CauseHalted)
		k3.exit(api.CauseDone)
		k1.serve(b, 2)
		k3.serve(b, 2)
		// k2 is silent: nothing of the old job starts, and its four CPUs count
		// against the limit of every team: of 8 blue ones, 4 remain.
		w.same("old job waits", len(k1.running())+len(k3.running()), 0)
		s := spec("job-2", 8)
		s.Team = "blue"
		w.submit(b, s)
		k3.serve(b, 2)
		k1.serve(b, 2)
		w.same("new job within the limit", len(k3.running())+len(k1.running()), 4)
		k2.report(b)
		k2.report(b)
		k1.serve(b, 3)
		k3.serve(b, 3)
		w.same("all heard", len(k1.running())+len(k3.running()) > 4, true)
	})
}

// Until a machine has this term as its token it may still carry out an answer
// of the earlier leader, so one report in the new term is not enough.
func TestMachineIsHeardOnlyWithThisTerm(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(a, 2)
		w.submit(a, spec("job-1", 2))
		orders, err := k.send(a) // on its way when the leader crashes
		if err != nil || len(orders) != 2 {
			t.Fatalf("orders %v, %v", orders, err)
		}
		a.crash()
		b := w.start("n0")
		k2 := w.worker("i-2", "a", false)
		k2.serve(b, 3)
		w.same("nothing elsewhere", len(k2.running()), 0)
		rep := k.rep
		rep.Seq++
		if _, err := k.deliver(b, &rep); err != nil {
			t.Fatal(err)
		}
		k2.serve(b, 2)
		w.same("nothing elsewhere yet", len(k2.running()), 0)
		k.rep.Seq++
		k.report(b)
		k2.serve(b, 2)
		w.same("started", len(k.running())+len(k2.running()), 2)
	})
}

// Silence frees nothing: only the cloud's 200 to returning the machine does.
func TestSilentMachineIsFreedByItsReturnOnly(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		k1.serve(n, 3)
		w.same("running", k1.running(), []string{"job-1/0"})
		w.cloud.refuseTurns = true
		w.dead.Store("i-1", true)
		k2.serve(n, 40)
		w.same("not started again", len(k2.running()), 0)
		w.cloud.mu.Lock()
		w.cloud.refuseTurns = false
		w.cloud.mu.Unlock()
		k2.serve(n, 5)
		w.same("returned", w.cloud.gone("i-1"), true)
		w.same("started again", k2.running(), []string{"job-1/0"})
		// What was held up on its way from the machine changes nothing.
		if _, err := k1.send(n); err == nil {
			t.Error("a machine that is gone was answered")
		}
	})
}

// A report that was overtaken must not free the tasks started after it.
func TestOlderReportIsDropped(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		k1.serve(n, 2)
		k2.serve(n, 2)
		k1.mu.Lock()
		old := k1.rep
		k1.mu.Unlock()
		old.Tasks = nil
		w.submit(n, spec("job-1", 1))
		k1.serve(n, 2)
		w.same("running", len(k1.running()), 1)
		orders, err := k1.deliver(n, &old)
		if err != nil || len(orders) != 0 {
			t.Errorf("an old report got %v, %v", orders, err)
		}
		k2.serve(n, 3)
		w.same("started once", len(k2.running()), 0)
	})
}

// An answer that was lost after a start: the next report shows that the start
// was not carried out, and the task is started under a new attempt.
func TestLostStartIsRepeatedAsANewAttempt(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		w.submit(n, spec("job-1", 1))
		lost, _ := k.send(n)
		if len(lost) != 1 {
			t.Fatalf("orders %v", lost)
		}
		time.Sleep(4 * time.Second)
		again := k.report(n)
		if len(again) != 1 || again[0].Attempt == lost[0].Attempt {
			t.Errorf("first %v, then %v", lost, again)
		}
	})
}

func TestAttemptsAreNeverReusedAcrossTerms(t *testing.T) {
	simulate(t, func(w *cluster) {
		seen := map[uint64]bool{}
		k := w.worker("i-1", "a", false)
		for range 3 {
			n := w.start("n0")
			w.submit(n, spec("job-1", 20))
			for range 4 {
				for _, o := range k.report(n) {
					if o.Verb == api.VerbStart {
						w.same("reused", seen[o.Attempt], false)
						seen[o.Attempt] = true
					}
				}
				k.exit(api.CauseError)
				time.Sleep(2 * time.Second)
			}
			n.crash()
		}
		w.same("starts seen", len(seen) > 6, true)
	})
}

// A cancellation and the end of a job race: whichever transaction comes first
// decides, and nobody is told otherwise.
func TestCancelAgainstDone(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, spec("job-2", 1))
		k.serve(n, 3)
		w.store.Hold(touches(store.FinalPrefix + "job-1"))
		k.exit(api.CauseDone)
		k.report(n)
		time.Sleep(300 * time.Millisecond)
		w.same("held", w.store.Held(), 1)
		w.store.Hold(nil)
		st, err := n.Abort(context.Background(), "job-1")
		if err != nil || st.Phase != api.JobWithdrawn {
			t.Fatalf("abort: %v %v", st, err)
		}
		for _, res := range w.store.Release() {
			w.same("late end", res.OK, false)
		}
		for range 8 {
			k.serve(n, 1)
			w.same("phase", w.phase(n, "job-1"), "withdrawn")
		}
		st, err = n.Abort(context.Background(), "job-2")
		if err != nil || st.Phase != api.JobDone {
			t.Errorf("abort of a done job: %v %v", st, err)
		}
	})
}

// Any node cancels by its own transaction. The leader must not tell a user an
// older state because its watch lags, and must stop the tasks.
func TestCancelAtAnotherNode(t *testing.T) {
	simulate(t, func(w *cluster) {
		a, b := w.start("n0"), w.start("n1")
		k := w.worker("i-1", "a", false)
		w.submit(a, spec("job-1", 2))
		k.serve(a, 3)
		w.same("running", len(k.running()), 2)
		w.store.SetBlind(true)
		if st, err := b.Abort(context.Background(), "job-1"); err != nil || st.Phase != api.JobWithdrawn {
			t.Fatalf("abort: %v %v", st, err)
		}
		if got := w.phase(a, "job-1"); got == api.JobRunning || got == api.JobPending {
			t.Errorf("the leader says %s after another node said withdrawn", got)
		}
		w.store.SetBlind(false)
		k.serve(a, 3)
		w.same("stopped", len(k.running()), 0)
		w.same("leader", w.phase(a, "job-1"), "withdrawn")
		w.same("other", w.phase(b, "job-1"), "withdrawn")
	})
}

// Past its validity a leader acts for nobody; once a renewal is answered, the
// lease was never over and it goes on with the same term.
func TestLeaderStopsWhenItsLeaseMayBeOver(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		term := k.rep.Term
		w.store.SetDown(true)
		k.serve(n, 20)
		if _, err := k.send(n); err != nil {
			t.Errorf("within the lease: %v", err)
		}
		k.serve(n, 12)
		if _, err := k.send(n); err == nil {
			t.Error("answered after the lease may have ended")
		}
		w.store.SetDown(false)
		time.Sleep(4 * time.Second)
		if _, err := k.send(n); err != nil || k.rep.Term != term {
			t.Errorf("after the outage: %v, term %d, was %d", err, k.rep.Term, term)
		}
	})
}

// A restarted leader need not wait for its own lease to end.
func TestRestartedLeaderTakesANewTermAtOnce(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		b := w.start("n1")
		k := w.worker("i-1", "a", false)
		k.serve(a, 2)
		first := k.rep.Term
		a.crash()
		a = w.start("n0")
		if _, err := k.send(b); err == nil {
			t.Error("a follower answered")
		}
		if _, err := k.send(a); err != nil || k.rep.Term <= first {
			t.Errorf("%v, term %d after %d", err, k.rep.Term, first)
		}
	})
}

func TestTeamLimitHolds(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.teams = []config.Team{{Name: "red", CPUs: 2, CPUsMax: 6}}
		n := w.start("n0")
		w.submit(n, spec("job-1", 20))
		total := 0
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			k := w.worker(name, "a", false)
			k.serve(n, 3)
			total += len(k.running())
		}
		w.same("tasks", total, 6)
	})
}

func TestPlacement(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		place := func(change func(*api.JobSpec)) [3]int {
			s := spec("job-1", 5)
			change(s)
			w.submit(n, s)
			var got [3]int
			ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "b", false), w.worker("i-3", "b", true)}
			for range 3 {
				for i, k := range ks {
					k.report(n)
					got[i] = len(k.running())
				}
				time.Sleep(time.Second)
			}
			// The next job finds fresh machines and a fresh store.
			n.crash()
			w.store = newCluster(t).store
			n = w.start("n0")
			return got
		}
		w.same("any", place(func(*api.JobSpec) {}), [3]int{4, 1, 0})
		w.same("zone", place(func(s *api.JobSpec) { s.Zone = "b" }), [3]int{0, 4, 1})
		w.same("no spot", place(func(s *api.JobSpec) { s.Zone, s.Spot = "b", false }), [3]int{0, 4, 0})
		w.same("one zone", place(func(s *api.JobSpec) { s.OneZone = true }), [3]int{4, 0, 0})
		w.same("spread", place(func(s *api.JobSpec) { s.Spread = true }), [3]int{3, 2, 0})
	})
}

// A machine that fails the tasks of several jobs is at fault and is returned;
// a job that fails on several machines is itself at fault, and they are kept.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, spec("job-2", 1))
		for range 8 {
			k.serve(n, 1)
			k.exit(api.CauseError)
		}
		k.serve(n, 3)
		w.same("faulty machine returned", w.cloud.gone("i-1"), true)
	})
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false), w.worker("i-4", "a", false)}
		w.submit(n, spec("job-1", 3))
		for range 40 {
			for _, k := range ks {
				k.report(n)
				k.exit(api.CauseError)
			}
			time.Sleep(time.Second)
		}
		for _, k := range ks {
			w.same("kept", w.cloud.gone(k.rep.Machine), false)
		}
		w.submit(n, spec("job-2", 8))
		for range 4 {
			for _, k := range ks {
				k.report(n)
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
		w.same("another job runs beside it", sum, 8)
	})
}

// The answer to a rental may be lost: the repeat must use the same name, or
// the machines would be rented twice. A later term's names are different.
func TestRentalIsRepeatedUnderItsName(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.cloud.capacity, w.cloud.loseRent = 1, true
		n := w.start("n0")
		w.submit(n, spec("job-1", 3))
		time.Sleep(8 * time.Second)
		n.crash()
		w.cloud.mu.Lock()
		first := w.cloud.rentals
		w.cloud.rentals = nil
		w.cloud.mu.Unlock()
		if len(first) < 2 || first[0].Name != first[1].Name {
			t.Fatalf("rentals %v", first)
		}
		w.cloud.capacity = 0
		n = w.start("n0")
		time.Sleep(5 * time.Second)
		n.crash()
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		w.same("rented again", len(w.cloud.rentals) > 0, true)
		for _, r := range w.cloud.rentals {
			w.same("name reused", r.Name == first[0].Name, false)
		}
	})
}

// A machine that the cloud takes back saves what can be saved, and its tasks
// go on elsewhere.
func TestReclaimedMachine(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", true), w.worker("i-2", "a", false)
		s := spec("job-1", 2)
		s.CheckpointS, s.SaveS = 10, 2
		w.submit(n, s)
		k1.serve(n, 3)
		left := 9.0
		k1.rep.NoticeS = &left
		orders := k1.report(n)
		if len(orders) == 0 {
			orders = k1.report(n)
		}
		if len(orders) != 2 || orders[0].Verb != api.VerbStop || *orders[0].GraceS < 2 {
			t.Fatalf("orders %v", orders)
		}
		k1.serve(n, 2)
		k2.serve(n, 3)
		w.same("elsewhere", len(k2.running()), 2)
		w.same("returned", w.cloud.gone("i-1"), true)
	})
}

// While the store is out of reach a submission is refused, not kept waiting;
// a submission whose answer was lost counts as accepted once.
func TestSubmissionWithTheStoreInTrouble(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		w.store.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		if _, _, err := n.Submit(ctx, spec("job-1", 1)); err == nil {
			t.Error("accepted during an outage")
		}
		w.store.SetDown(false)
		w.store.Lose(touches(store.ActivePrefix))
		st, _, err := n.Submit(context.Background(), spec("job-2", 1))
		if err != nil || st.Phase != api.JobPending {
			t.Errorf("lost answer: %v %v", st, err)
		}
		w.store.Lose(nil)
		w.same("known", w.phase(n, "job-2"), "pending")
	})
}

func TestJobsThatCanNeverRun(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		for name, change := range map[string]func(*api.JobSpec){
			"unknown team":   func(s *api.JobSpec) { s.Team = "green" },
			"no such type":   func(s *api.JobSpec) { s.Types = []string{"large"} },
			"no such zone":   func(s *api.JobSpec) { s.Zone = "c" },
			"too much":       func(s *api.JobSpec) { s.MemoryGB = 17 },
			"over the limit": func(s *api.JobSpec) { s.Team, s.CPUs = "blue", 9 },
			"no GPUs":        func(s *api.JobSpec) { s.GPUs = 1 },
		} {
			s := spec("job-1", 1)
			change(s)
			_, _, err := n.Submit(context.Background(), s)
			var never *api.NeverRunsError
			w.same(name, errors.As(err, &never), true)
		}
		w.same("not accepted", w.phase(n, "job-1"), api.ErrUnknownJob.Error())
	})
}

// The store refuses the leader alone until another has taken over and ended a
// job. When the old leader is let in again, the first thing it sees is that
// the job's record is gone: it must not take that for a cancellation.
func TestLeaderShutOutOfTheStore(t *testing.T) {
	simulate(t, func(w *cluster) {
		g := &gate{Fake: w.store}
		a := w.startWith("n0", g, nil)
		b := w.start("n1")
		k := w.worker("i-1", "a", false)
		w.submit(b, spec("job-1", 1))
		k.serve(a, 3)
		w.same("running", len(k.running()), 1)
		g.set(true)
		for range 40 {
			if k.report(a); k.report(b) != nil {
				break
			}
			time.Sleep(time.Second)
		}
		k.serve(b, 2)
		k.exit(api.CauseDone)
		k.serve(b, 4)
		w.same("new leader", w.phase(b, "job-1"), "done")
		g.set(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := w.phase(a, "job-1"); got == "withdrawn" {
				t.Fatal("told as cancelled")
			}
		}
		w.same("old leader", w.phase(a, "job-1"), "done")
	})
}

// A new leader asks the machines that it has not heard, by the addresses on
// the roster: one that is dead would hold all earlier jobs back for as long as
// it is waited for. One that is alive is waited for.
func TestTakeoverAsksUnheardMachines(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		ks := make([]*worker, 5)
		for i := range ks {
			ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
			ks[i].serve(a, 2)
		}
		w.submit(a, spec("job-1", 8))
		for range 2 {
			ks[0].report(a)
			ks[1].report(a)
			time.Sleep(time.Second)
		}
		w.same("started", len(ks[0].running())+len(ks[1].running()), 8)
		a.crash()
		w.dead.Store("i-0", true)
		b := w.start("n0")
		for range 7 {
			for _, k := range ks[2:] {
				k.report(b)
			}
			time.Sleep(time.Second)
		}
		w.same("dead machine returned", w.cloud.gone("i-0"), true)
		w.same("live machine waited for", w.cloud.gone("i-1"), false)
		for range 3 {
			ks[1].report(b)
			ks[2].report(b)
			time.Sleep(time.Second)
		}
		w.same("restarted", len(ks[2].running()), 4)
	})
}

// When a job's estimate is too low all its tasks pass the limit together, and
// restarting them would throw their work away. Only the member that is slower
// than the others loses its run, once.
func TestOverdueRuns(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		fast, slow := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		s := spec("job-1", 12)
		s.EstimateS = 5
		w.submit(n, s)
		restarts := 0
		for second := range 60 {
			for _, k := range []*worker{fast, slow} {
				for _, o := range k.report(n) {
					if o.Verb == api.VerbStop {
						restarts++
						w.same("on the slow machine", k == slow, true)
					}
				}
			}
			// Tasks of the fast machine take 8 s, more than the estimate; of
			// the slow one, for ever.
			if second%8 == 7 {
				fast.exit(api.CauseDone)
			}
			if second == 10 {
				w.same("nothing restarted yet", restarts, 0)
			}
			time.Sleep(time.Second)
		}
		w.same("restarts", restarts, 4)
		w.same("phase", w.phase(n, "job-1"), "done")
	})
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false)}
		s := spec("job-1", 8)
		s.EstimateS = 3
		w.submit(n, s)
		for range 40 {
			for _, k := range ks {
				for _, o := range k.report(n) {
					w.same("stopped", o.Verb == api.VerbStop, false)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

// links connects nodes as peers; it can be cut.
type links struct {
	nodes sync.Map
	cut   atomic.Bool
	// refuse says that a cut link refuses connections.
	refuse atomic.Bool
}

func (l *links) add(name string, n *node) *node { l.nodes.Store(name, n); return n }

// to is the node at the other end, if it can be reached.
func (l *links) to(name string) (*node, error) {
	n, ok := l.nodes.Load(name)
	if l.cut.Load() || !ok {
		return nil, errors.New("cut")
	}
	return n.(*node), nil
}

func (l *links) Job(ctx context.Context, name, id string) (api.JobState, error) {
	n, err := l.to(name)
	if err != nil {
		return api.JobState{}, err
	}
	return n.PeerJob(ctx, id)
}

func (l *links) Ping(ctx context.Context, name string, from CancelPosition) (PeerStatus, error) {
	n, err := l.to(name)
	if err != nil {
		if l.refuse.Load() {
			err = ErrRefused
		}
		return PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (l *links) Report(ctx context.Context, name string, rep *api.Report) (api.ReportAnswer, error) {
	n, err := l.to(name)
	if err != nil {
		if l.refuse.Load() {
			err = ErrRefused
		}
		return api.ReportAnswer{}, err
	}
	return n.PassedReport(ctx, rep)
}

func (l *links) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := l.to(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}

// While the leader is behind a cut a node on the workers' side keeps their
// leases alive, but not so long that a cancellation could come too late for
// their tasks, and it starts nothing.
func TestFollowerKeepsMachinesAlive(t *testing.T) {
	for _, storeToo := range []bool{false, true} {
		simulate(t, func(w *cluster) {
			l := &links{}
			g := &gate{Fake: w.store}
			a := l.add("n0", w.startWith("n0", w.store, l))
			b := l.add("n1", w.startWith("n1", g, l))
			k := w.worker("i-1", "a", false)
			w.submit(a, spec("job-1", 2))
			k.serve(a, 4)
			w.same("running", len(k.running()), 2)
			if _, err := k.send(b); err == nil {
				t.Error("a follower answered without need")
			}
			w.submit(a, spec("job-2", 1))
			l.cut.Store(true)
			g.set(storeToo)
			time.Sleep(4 * time.Second)
			kept := 0
			for range 40 {
				orders, err := k.send(b)
				if err != nil {
					break
				}
				for _, o := range orders {
					// Only the leader starts anything, through the store.
					w.same("started", o.Verb == api.VerbStart && storeToo, false)
				}
				kept++
				time.Sleep(time.Second)
			}
			// 30 s are for a cancellation, 10 s are the lease.
			if storeToo && (kept < 5 || kept > 14) || !storeToo && kept != 40 {
				t.Errorf("store out of reach %v: kept for %d s", storeToo, kept)
			}
			if !storeToo {
				if _, err := a.Abort(context.Background(), "job-1"); err != nil {
					t.Error(err)
				}
				k.serve(b, 5)
				for _, task := range k.running() {
					w.same("cancelled job still runs", strings.HasPrefix(task, "job-1/"), false)
				}
			}
			l.cut.Store(false)
			time.Sleep(3 * time.Second)
			b.look(func(c *Controller) { w.same("still keeps them after the cut", c.extender.away, false) })
		})
	}
}

// deaf is a store whose first watch of the jobs never answers, as over a
// connection that died without a word.
type deaf struct {
	*storetest.Fake
	once sync.Once
}

func (d *deaf) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (store.Changes, error) {
	hang := false
	if prefix == store.ActivePrefix {
		d.once.Do(func() { hang = true })
	}
	if hang {
		<-ctx.Done()
		return store.Changes{}, store.ErrUnknown
	}
	return d.Fake.Watch(ctx, prefix, from, block)
}

// A watch whose connection has died must not hide a cancellation for longer
// than its tasks may stay.
func TestDeadWatchIsGivenUp(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.startWith("n0", &deaf{Fake: w.store}, nil)
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		k.serve(n, 8)
		w.same("started after the watch was given up", len(k.running()), 2)
	})
}

// A machine that fetches several images at once gets none of them soon, and
// holds room for tasks that cannot begin: with more work than room, the tasks
// of a second image wait for the first.
func TestImagesAreFetchedOneByOneWhenRoomIsShort(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 3)
		a, b := spec("job-1", 2), spec("job-2", 9)
		a.DeadlineS, b.DeadlineS, b.Image = 60, 90, "other"
		w.submit(n, a)
		w.submit(n, b)
		time.Sleep(2 * time.Second)
		orders, err := k.send(n)
		if err != nil {
			t.Fatal(err)
		}
		k.obey(orders)
		w.same("first image", k.running(), []string{"job-1/0", "job-1/1"})
		for i := range k.rep.Tasks {
			k.rep.Tasks[i].Phase = api.TaskPulling
		}
		k.serve(n, 2)
		w.same("while it is fetched", len(k.running()), 2)
		for i := range k.rep.Tasks {
			k.rep.Tasks[i].Phase = api.TaskRunning
		}
		k.serve(n, 1)
		w.same("once it is there", len(k.running()), 4)
	})
}
