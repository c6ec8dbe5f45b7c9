package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// A transaction of an earlier leader that is applied late must fail, or it would change what
// the next leader has read.
func TestLateTransactionOfEarlierLeaderFails(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		w.store.Delay(writesPrefix(records.MachinePrefix))
		k := w.worker("i-1", "a", false)
		w.submit(a, spec("job-1", 1))
		k.serve(a, 2)
		w.checkEqual("transactions delayed", w.store.DelayedCount() > 0, true)
		w.checkEqual("starts before the registry is durable", len(k.running()), 0)
		a.crash()
		w.start("n0")
		for _, res := range w.store.ApplyDelayed() {
			w.checkEqual("late transaction applied", res.Succeeded, false)
		}
		w.checkEqual("registry", w.registeredMachines(), []string(nil))
	})
}

// A machine that is unfenced in this term may run any earlier task.
func TestTakeoverWaitsForUnfencedMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		k1, k2, k3 := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		w.submit(a, spec("job-1", 8))
		k1.serve(a, 3)
		k2.serve(a, 3)
		k3.serve(a, 3)
		w.checkEqual("all started", len(k1.running())+len(k2.running())+len(k3.running()), 8)
		a.crash()
		b := w.start("n0")
		k1.exit(api.CauseHalted)
		k3.exit(api.CauseDone)
		k1.serve(b, 2)
		k3.serve(b, 2)
		// k2 sends no heartbeat: nothing of the old job starts, and its four CPUs count
		// against the limit of every team: of 8 blue ones, 4 remain.
		w.checkEqual("starts of the old job", len(k1.running())+len(k3.running()), 0)
		s := spec("job-2", 8)
		s.Team = "blue"
		w.submit(b, s)
		k3.serve(b, 2)
		k1.serve(b, 2)
		w.checkEqual("new job within the limit", len(k3.running())+len(k1.running()), 4)
		k2.heartbeat(b)
		k2.heartbeat(b)
		k1.serve(b, 3)
		k3.serve(b, 3)
		w.checkEqual("more than 4 tasks once all are fenced", len(k1.running())+len(k3.running()) > 4, true)
	})
}

// Until a machine has this term as its fencing token it may still apply a response of the
// earlier leader, so one heartbeat in the new term is not enough.
func TestMachineIsFencedOnlyWithThisTerm(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(a, 2)
		w.submit(a, spec("job-1", 2))
		commands, err := k.sendHeartbeat(a) // on its way when the leader crashes
		if err != nil || len(commands) != 2 {
			t.Fatalf("got commands %v, %v, want two", commands, err)
		}
		a.crash()
		b := w.start("n0")
		k2 := w.worker("i-2", "a", false)
		k2.serve(b, 3)
		w.checkEqual("tasks elsewhere", len(k2.running()), 0)
		hb := k.status
		hb.Seq++
		if _, err := k.deliver(b, &hb); err != nil {
			t.Fatal(err)
		}
		k2.serve(b, 2)
		w.checkEqual("tasks elsewhere after one heartbeat", len(k2.running()), 0)
		k.status.Seq++
		k.heartbeat(b)
		k2.serve(b, 2)
		w.checkEqual("started", len(k.running())+len(k2.running()), 2)
	})
}

// No attempt number is used twice, also by different leaders.
func TestAttemptsAreNeverReusedAcrossTerms(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		seen := map[uint64]bool{}
		k := w.worker("i-1", "a", false)
		for range 3 {
			n := w.start("n0")
			w.submit(n, spec("job-1", 20))
			for range 4 {
				for _, cmd := range k.heartbeat(n) {
					if cmd.Verb == api.VerbStart {
						w.checkEqual("reused", seen[cmd.Attempt], false)
						seen[cmd.Attempt] = true
					}
				}
				k.exit(api.CauseError)
				time.Sleep(2 * time.Second)
			}
			n.crash()
		}
		w.checkEqual("starts seen", len(seen) > 6, true)
	})
}

// Once its leader lease may have expired a leader responds to nobody; if a renewal succeeds
// after that, the lease had not expired, and the leader goes on in the same term.
func TestLeaderStopsWhenItsLeaseMayHaveExpired(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		term := k.status.Term
		w.store.SetDown(true)
		k.serve(n, 20)
		if _, err := k.sendHeartbeat(n); err != nil {
			t.Errorf("within the lease: %v", err)
		}
		k.serve(n, 12)
		if _, err := k.sendHeartbeat(n); err == nil {
			t.Error("got a response after the lease may have expired")
		}
		w.store.SetDown(false)
		time.Sleep(4 * time.Second)
		if _, err := k.sendHeartbeat(n); err != nil || k.status.Term != term {
			t.Errorf("after the outage: got %v, term %d, want term %d", err, k.status.Term, term)
		}
	})
}

// A restarted leader need not wait for its own lease to expire.
func TestRestartedLeaderBeginsNewTermAtOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		b := w.start("n1")
		k := w.worker("i-1", "a", false)
		k.serve(a, 2)
		first := k.status.Term
		a.crash()
		a = w.start("n0")
		if _, err := k.sendHeartbeat(b); err == nil {
			t.Error("got a response of a follower")
		}
		if _, err := k.sendHeartbeat(a); err != nil || k.status.Term <= first {
			t.Errorf("got %v, term %d, want a term after %d", err, k.status.Term, first)
		}
	})
}

// The store rejects the leader alone until another has taken over and ended a job. When the
// old leader reaches the store again, it first sees that the job's active record is deleted:
// it must not take that for a cancellation.
func TestLeaderRejectedByStore(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		g := &gate{Fake: w.store}
		a := w.startWith("n0", g, nil)
		b := w.start("n1")
		k := w.worker("i-1", "a", false)
		w.submit(b, spec("job-1", 1))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 1)
		g.set(true)
		for range 40 {
			if k.heartbeat(a); k.heartbeat(b) != nil {
				break
			}
			time.Sleep(time.Second)
		}
		k.serve(b, 2)
		k.exit(api.CauseDone)
		k.serve(b, 4)
		w.checkEqual("new leader", w.phase(b, "job-1"), "done")
		g.set(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := w.phase(a, "job-1"); got == "withdrawn" {
				t.Fatal("got a done job as cancelled")
			}
		}
		w.checkEqual("old leader", w.phase(a, "job-1"), "done")
	})
}

// A new leader probes the unfenced machines, at the addresses in the registry: a dead one
// would delay all earlier jobs for as long as the leader waits for it. It does wait for one
// that is alive.
func TestTakeoverProbesUnfencedMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		ks := make([]*worker, 5)
		for i := range ks {
			ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
			ks[i].serve(a, 2)
		}
		w.submit(a, spec("job-1", 8))
		for range 2 {
			ks[0].heartbeat(a)
			ks[1].heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("started", len(ks[0].running())+len(ks[1].running()), 8)
		a.crash()
		w.dead.Store("i-0", true)
		b := w.start("n0")
		for range 7 {
			for _, k := range ks[2:] {
				k.heartbeat(b)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("dead machine terminated", w.cloud.terminated("i-0"), true)
		w.checkEqual("live machine terminated", w.cloud.terminated("i-1"), false)
		for range 3 {
			ks[1].heartbeat(b)
			ks[2].heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("restarted", len(ks[2].running()), 4)
	})
}
