package controller

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

func touches(prefix string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		for _, op := range txn.Ops {
			if strings.HasPrefix(op.Put, prefix) || strings.HasPrefix(op.Delete, prefix) {
				return true
			}
		}
		return false
	}
}

func TestJobRunsAndStaysDone(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 6))
		k.serve(n, 4)
		w.checkEqual("first four", len(k.running()), 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "running")
		k.exit(api.CauseDone)
		k.serve(n, 3)
		w.checkEqual("last two", k.running(), []string{"job-1/4", "job-1/5"})
		k.exit(api.CauseDone)
		k.serve(n, 3)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
		w.checkEqual("reaped", len(k.status.Tasks), 0)
		// The repeat of a submission after the job is over, with other contents.
		st, created, err := n.Submit(context.Background(), spec("job-1", 9))
		if err != nil || created || st.Phase != api.JobDone {
			t.Errorf("repeat: %v %v %v", st, created, err)
		}
		w.checkEqual("unknown job", w.phase(n, "job-2"), api.ErrUnknownJob.Error())
	})
}

// A job whose end is not on record must not be told as done: the next leader
// would say something older.
func TestDoneIsDurableBeforeItIsTold(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		w.store.Delay(touches(records.TerminalPrefix))
		k.exit(api.CauseDone)
		k.serve(n, 2)
		if got := w.phase(n, "job-1"); got == api.JobDone {
			t.Error("told done before it was on record")
		}
		w.checkEqual("kept on the worker", len(k.status.Tasks), 1)
		w.store.ApplyDelayed()
		k.serve(n, 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
	})
}

// Silence frees nothing: only the cloud's 200 to returning the machine does.
func TestSilentMachineIsFreedByItsReturnOnly(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		k1.serve(n, 3)
		w.checkEqual("running", k1.running(), []string{"job-1/0"})
		w.cloud.rejectTerminate = true
		w.dead.Store("i-1", true)
		k2.serve(n, 40)
		w.checkEqual("not started again", len(k2.running()), 0)
		w.cloud.mu.Lock()
		w.cloud.rejectTerminate = false
		w.cloud.mu.Unlock()
		k2.serve(n, 5)
		w.checkEqual("returned", w.cloud.terminated("i-1"), true)
		w.checkEqual("started again", k2.running(), []string{"job-1/0"})
		// What was held up on its way from the machine changes nothing.
		if _, err := k1.sendHeartbeat(n); err == nil {
			t.Error("a machine that is gone was answered")
		}
	})
}

// A report that was overtaken must not free the tasks started after it.
func TestOlderReportIsDropped(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		k1.serve(n, 2)
		k2.serve(n, 2)
		k1.mu.Lock()
		old := k1.status
		k1.mu.Unlock()
		old.Tasks = nil
		w.submit(n, spec("job-1", 1))
		k1.serve(n, 2)
		w.checkEqual("running", len(k1.running()), 1)
		commands, err := k1.deliver(n, &old)
		if err != nil || len(commands) != 0 {
			t.Errorf("an old report got %v, %v", commands, err)
		}
		k2.serve(n, 3)
		w.checkEqual("started once", len(k2.running()), 0)
	})
}

// An answer that was lost after a start: the next report shows that the start
// was not carried out, and the task is started under a new attempt.
func TestLostStartIsRepeatedAsANewAttempt(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		w.submit(n, spec("job-1", 1))
		lost, _ := k.sendHeartbeat(n)
		if len(lost) != 1 {
			t.Fatalf("orders %v", lost)
		}
		time.Sleep(4 * time.Second)
		again := k.heartbeat(n)
		if len(again) != 1 || again[0].Attempt == lost[0].Attempt {
			t.Errorf("first %v, then %v", lost, again)
		}
	})
}

// The answer to a rental may be lost: the repeat must use the same name, or
// the machines would be rented twice. A later term's names are different.
func TestRentalIsRepeatedUnderItsName(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.cloud.capacity, w.cloud.loseLaunchResponse = 1, true
		n := w.start("n0")
		w.submit(n, spec("job-1", 3))
		time.Sleep(8 * time.Second)
		n.crash()
		w.cloud.mu.Lock()
		first := w.cloud.launches
		w.cloud.launches = nil
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
		w.checkEqual("rented again", len(w.cloud.launches) > 0, true)
		for _, r := range w.cloud.launches {
			w.checkEqual("name reused", r.Name == first[0].Name, false)
		}
	})
}

// A machine that the cloud takes back saves what can be saved, and its tasks
// go on elsewhere.
func TestReclaimedMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", true), w.worker("i-2", "a", false)
		s := spec("job-1", 2)
		s.CheckpointS, s.SaveS = 10, 2
		w.submit(n, s)
		k1.serve(n, 3)
		left := 9.0
		k1.status.PreemptionNoticeS = &left
		commands := k1.heartbeat(n)
		if len(commands) == 0 {
			commands = k1.heartbeat(n)
		}
		if len(commands) != 2 || commands[0].Verb != api.VerbStop || *commands[0].GraceS < 2 {
			t.Fatalf("orders %v", commands)
		}
		k1.serve(n, 2)
		k2.serve(n, 3)
		w.checkEqual("elsewhere", len(k2.running()), 2)
		w.checkEqual("returned", w.cloud.terminated("i-1"), true)
	})
}

// While the store is out of reach a submission is refused, not kept waiting;
// a submission whose answer was lost counts as accepted once.
func TestSubmissionWithTheStoreInTrouble(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		w.store.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		if _, _, err := n.Submit(ctx, spec("job-1", 1)); err == nil {
			t.Error("accepted during an outage")
		}
		w.store.SetDown(false)
		w.store.LoseResponses(touches(records.ActivePrefix))
		st, _, err := n.Submit(context.Background(), spec("job-2", 1))
		if err != nil || st.Phase != api.JobPending {
			t.Errorf("lost answer: %v %v", st, err)
		}
		w.store.LoseResponses(nil)
		w.checkEqual("known", w.phase(n, "job-2"), "pending")
	})
}

func TestJobsThatCanNeverRun(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
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
			var never *api.UnschedulableError
			w.checkEqual(name, errors.As(err, &never), true)
		}
		w.checkEqual("not accepted", w.phase(n, "job-1"), api.ErrUnknownJob.Error())
	})
}

// While the leader is behind a cut a node on the workers' side keeps their
// leases alive, but not so long that a cancellation could come too late for
// their tasks, and it starts nothing.
func TestFollowerKeepsMachinesAlive(t *testing.T) {
	for _, storeToo := range []bool{false, true} {
		simulate(t, func(w *simulatedCluster) {
			l := &links{}
			g := &gate{Fake: w.store}
			a := l.add("n0", w.startWith("n0", w.store, l))
			b := l.add("n1", w.startWith("n1", g, l))
			k := w.worker("i-1", "a", false)
			w.submit(a, spec("job-1", 2))
			k.serve(a, 4)
			w.checkEqual("running", len(k.running()), 2)
			if _, err := k.sendHeartbeat(b); err == nil {
				t.Error("a follower answered without need")
			}
			w.submit(a, spec("job-2", 1))
			l.cut.Store(true)
			g.set(storeToo)
			time.Sleep(4 * time.Second)
			kept := 0
			for range 40 {
				commands, err := k.sendHeartbeat(b)
				if err != nil {
					break
				}
				for _, o := range commands {
					// Only the leader starts anything, through the store.
					w.checkEqual("started", o.Verb == api.VerbStart && storeToo, false)
				}
				kept++
				time.Sleep(time.Second)
			}
			// 30 s are for a cancellation, 10 s are the lease.
			if storeToo && (kept < 5 || kept > 14) || !storeToo && kept != 40 {
				t.Errorf("store out of reach %v: kept for %d s", storeToo, kept)
			}
			if !storeToo {
				if _, err := a.Cancel(context.Background(), "job-1"); err != nil {
					t.Error(err)
				}
				k.serve(b, 5)
				for _, task := range k.running() {
					w.checkEqual("cancelled job still runs", strings.HasPrefix(task, "job-1/"), false)
				}
			}
			l.cut.Store(false)
			time.Sleep(3 * time.Second)
			b.inspect(func(c *Controller) {
				w.checkEqual("still keeps them after the cut", c.leaseRenewer.leaderUnreachable, false)
			})
		})
	}
}

// deaf is a store whose first watch of the jobs never answers, as over a
// connection that died without a word.
type deaf struct {
	*kvtest.Fake
	once sync.Once
}

func (d *deaf) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	hang := false
	if prefix == records.ActivePrefix {
		d.once.Do(func() { hang = true })
	}
	if hang {
		<-ctx.Done()
		return kv.Changes{}, kv.ErrOutcomeUnknown
	}
	return d.Fake.Watch(ctx, prefix, from, block)
}

// A watch whose connection has died must not hide a cancellation for longer
// than its tasks may stay.
func TestDeadWatchIsGivenUp(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.startWith("n0", &deaf{Fake: w.store}, nil)
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		k.serve(n, 8)
		w.checkEqual("started after the watch was given up", len(k.running()), 2)
	})
}
