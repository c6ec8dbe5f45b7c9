package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// A transaction of an earlier leader that the store applies late must fail. Otherwise it would
// change records that the next leader has already read.
func TestLateTransactionOfEarlierLeaderFails(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first := w.start("n0")
		w.store.Delay(writesPrefix(records.MachinePrefix))
		k := w.worker("i-1", "a", false)
		w.submit(first, spec("job-1", 1))
		k.heartbeatFor(first, 2)
		w.checkEqual("transactions delayed", w.store.DelayedCount() > 0, true)
		w.checkEqual("starts before the registry is durable", len(k.running()), 0)
		first.crash()
		w.start("n0")
		for _, res := range w.store.ApplyDelayed() {
			w.checkEqual("late transaction applied", res.Succeeded, false)
		}
		w.checkEqual("registry", w.registeredMachines(), []string(nil))
	})
}

// A machine that is not fenced in the current term may run any task of earlier terms. Until it is
// fenced, these tasks must not start elsewhere, and its capacity counts against every team's limit.
func TestTakeoverWaitsForUnfencedMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first := w.start("n0")
		k1, k2, k3 := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		w.submit(first, spec("job-1", 8))
		k1.heartbeatFor(first, 3)
		k2.heartbeatFor(first, 3)
		k3.heartbeatFor(first, 3)
		w.checkEqual("all started", len(k1.running())+len(k2.running())+len(k3.running()), 8)
		first.crash()
		second := w.start("n0")
		k1.exit(api.CauseHalted)
		k3.exit(api.CauseDone)
		k1.heartbeatFor(second, 2)
		k3.heartbeatFor(second, 2)
		// k2 sends no heartbeat: no task of the old job starts, and the four CPUs of k2 count
		// against the limit of every team, which leaves 4 of the 8 CPUs of team blue.
		w.checkEqual("starts of the old job", len(k1.running())+len(k3.running()), 0)
		s := spec("job-2", 8)
		s.Team = "blue"
		w.submit(second, s)
		k3.heartbeatFor(second, 2)
		k1.heartbeatFor(second, 2)
		w.checkEqual("new job within the limit", len(k3.running())+len(k1.running()), 4)
		k2.heartbeat(second)
		k2.heartbeat(second)
		k1.heartbeatFor(second, 3)
		k3.heartbeatFor(second, 3)
		w.checkEqual("more than 4 tasks once all are fenced", len(k1.running())+len(k3.running()) > 4, true)
	})
}

// A machine may still apply a response of the earlier leader until its fencing token is the new
// term. Its first heartbeat to the new leader does not show that, so it does not count as fenced.
func TestMachineIsFencedOnlyWithThisTerm(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(first, 2)
		w.submit(first, spec("job-1", 2))
		commands, err := k.sendHeartbeat(first) // not applied yet when the leader crashes
		if err != nil || len(commands) != 2 {
			t.Fatalf("got commands %v, %v, want two", commands, err)
		}
		first.crash()
		second := w.start("n0")
		k2 := w.worker("i-2", "a", false)
		k2.heartbeatFor(second, 3)
		w.checkEqual("tasks elsewhere", len(k2.running()), 0)
		hb := k.status
		hb.Seq++
		if _, err := k.deliver(second, &hb); err != nil {
			t.Fatal(err)
		}
		k2.heartbeatFor(second, 2)
		w.checkEqual("tasks elsewhere after one heartbeat", len(k2.running()), 0)
		k.status.Seq++
		k.heartbeat(second)
		k2.heartbeatFor(second, 2)
		w.checkEqual("started", len(k.running())+len(k2.running()), 2)
	})
}

// No two attempts have the same number, even if different leaders start them.
func TestAttemptsAreNeverReusedAcrossTerms(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		seen := map[uint64]bool{}
		k := w.worker("i-1", "a", false)
		for term := range 3 {
			n := w.start("n0")
			if term == 0 {
				w.submit(n, spec("job-1", 20))
			}
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

// A leader whose lease may have expired does not respond to heartbeats. If a later renewal succeeds,
// the lease had not expired, and the leader continues in the same term.
func TestLeaderStopsWhenItsLeaseMayHaveExpired(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		term := k.status.Token
		w.store.SetDown(true)
		k.heartbeatFor(n, 20)
		if _, err := k.sendHeartbeat(n); err != nil {
			t.Errorf("within the lease: %v", err)
		}
		k.heartbeatFor(n, 12)
		if _, err := k.sendHeartbeat(n); err == nil {
			t.Error("got a response after the lease may have expired")
		}
		w.store.SetDown(false)
		time.Sleep(4 * time.Second)
		if _, err := k.sendHeartbeat(n); err != nil || k.status.Token != term {
			t.Errorf("after the outage: got %v, term %d, want term %d", err, k.status.Token, term)
		}
	})
}

// A restarted leader begins a new term without waiting for the lease of its previous process to
// expire.
func TestRestartedLeaderBeginsNewTermAtOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n0 := w.start("n0")
		n1 := w.start("n1")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n0, 2)
		first := k.status.Token
		n0.crash()
		n0 = w.start("n0")
		if _, err := k.sendHeartbeat(n1); err == nil {
			t.Error("heartbeat at a follower: got a response, want an error")
		}
		if _, err := k.sendHeartbeat(n0); err != nil || k.status.Token <= first {
			t.Errorf("got %v, term %d, want a term after %d", err, k.status.Token, first)
		}
	})
}

// The store rejects only the leader, until another node has taken over and a job is done. When the
// old leader reaches the store again, it first sees that the job's active record is deleted, which
// it must not report as a cancellation.
func TestLeaderRejectedByStore(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		g := &gate{Fake: w.store}
		n0 := w.startWith("n0", g, nil)
		n1 := w.start("n1")
		k := w.worker("i-1", "a", false)
		w.submit(n1, spec("job-1", 1))
		k.heartbeatFor(n0, 3)
		w.checkEqual("running", len(k.running()), 1)
		g.setClosed(true)
		for range 40 {
			if k.heartbeat(n0); k.heartbeat(n1) != nil {
				break
			}
			time.Sleep(time.Second)
		}
		k.heartbeatFor(n1, 2)
		k.exit(api.CauseDone)
		k.heartbeatFor(n1, 4)
		w.checkEqual("new leader", w.phase(n1, "job-1"), "done")
		g.setClosed(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := w.phase(n0, "job-1"); got == "withdrawn" {
				t.Fatal("phase of a done job at the old leader: got withdrawn, want done")
			}
		}
		w.checkEqual("old leader", w.phase(n0, "job-1"), "done")
	})
}

// A new leader probes the unfenced machines at the addresses in the registry, and terminates a dead
// one, which would otherwise delay all earlier jobs. It waits for a machine that is alive.
func TestTakeoverProbesUnfencedMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first := w.start("n0")
		ks := make([]*worker, 5)
		for i := range ks {
			ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
			ks[i].heartbeatFor(first, 2)
		}
		w.submit(first, spec("job-1", 8))
		for range 2 {
			ks[0].heartbeat(first)
			ks[1].heartbeat(first)
			time.Sleep(time.Second)
		}
		w.checkEqual("started", len(ks[0].running())+len(ks[1].running()), 8)
		first.crash()
		w.dead.Store("i-0", true)
		second := w.start("n0")
		for range 7 {
			for _, k := range ks[2:] {
				k.heartbeat(second)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("dead machine terminated", w.cloud.terminated("i-0"), true)
		w.checkEqual("live machine terminated", w.cloud.terminated("i-1"), false)
		for range 3 {
			ks[1].heartbeat(second)
			ks[2].heartbeat(second)
			time.Sleep(time.Second)
		}
		w.checkEqual("restarted", len(ks[2].running()), 4)
	})
}
