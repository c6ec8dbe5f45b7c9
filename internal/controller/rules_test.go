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

// writesPrefix matches transactions that write or delete a key with a prefix.
func writesPrefix(prefix string) func(kv.Txn) bool {
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
		k.heartbeatFor(n, 4)
		w.checkEqual("first four", len(k.running()), 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "running")
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 3)
		w.checkEqual("last two", k.running(), []string{"job-1/4", "job-1/5"})
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 3)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
		w.checkEqual("reaped", len(k.status.Tasks), 0)
		// The repeat of a submission after the job has ended, with other contents.
		st, created, err := n.Submit(w.t.Context(), spec("job-1", 9))
		if err != nil || created || st.Phase != api.JobDone {
			w.t.Errorf("repeated submission: got %v, created %v, error %v, want the done job", st, created, err)
		}
		w.checkEqual("unknown job", w.phase(n, "job-2"), api.ErrUnknownJob.Error())
	})
}

// A job without a terminal record must not be reported as done: the next leader would report an
// earlier phase.
func TestDoneIsDurableBeforeItIsReported(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.heartbeatFor(n, 3)
		w.store.Delay(writesPrefix(records.TerminalPrefix))
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 2)
		if got := w.phase(n, "job-1"); got == api.JobDone {
			w.t.Errorf("got phase %q before the terminal record was written, want another", got)
		}
		w.checkEqual("kept on the machine", len(k.status.Tasks), 1)
		w.store.ApplyDelayed()
		k.heartbeatFor(n, 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
	})
}

// Missed heartbeats release nothing: only the cloud's 200 to the machine's termination does.
func TestSuspectMachineIsReleasedByItsTerminationOnly(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		k1.heartbeatFor(n, 3)
		w.checkEqual("running", k1.running(), []string{"job-1/0"})
		w.cloud.rejectTerminate = true
		w.dead.Store("i-1", true)
		k2.heartbeatFor(n, 40)
		w.checkEqual("started elsewhere before the termination", len(k2.running()), 0)
		w.cloud.mu.Lock()
		w.cloud.rejectTerminate = false
		w.cloud.mu.Unlock()
		k2.heartbeatFor(n, 5)
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("started elsewhere", k2.running(), []string{"job-1/0"})
		// A heartbeat of the machine that was delayed in transit changes nothing.
		if _, err := k1.sendHeartbeat(n); err == nil {
			w.t.Error("got a response to a terminated machine's heartbeat, want an error")
		}
	})
}

// A heartbeat that was overtaken must not release the tasks started after it.
func TestOlderHeartbeatIsDropped(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		k1.heartbeatFor(n, 2)
		k2.heartbeatFor(n, 2)
		k1.mu.Lock()
		older := k1.status
		k1.mu.Unlock()
		older.Tasks = nil
		w.submit(n, spec("job-1", 1))
		k1.heartbeatFor(n, 2)
		w.checkEqual("running", len(k1.running()), 1)
		commands, err := k1.deliver(n, &older)
		if err != nil || len(commands) != 0 {
			w.t.Errorf("older heartbeat: got commands %v, error %v, want none", commands, err)
		}
		k2.heartbeatFor(n, 3)
		w.checkEqual("started elsewhere", len(k2.running()), 0)
	})
}

// A heartbeat response with a start is lost: the next heartbeat shows that the start was not
// applied, and the task is started under a new attempt.
func TestLostStartIsRepeatedAsANewAttempt(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		w.submit(n, spec("job-1", 1))
		lost, err := k.sendHeartbeat(n)
		if err != nil || len(lost) != 1 {
			w.t.Fatalf("got commands %v, error %v, want one start", lost, err)
		}
		time.Sleep(4 * time.Second)
		repeated := k.heartbeat(n)
		if len(repeated) != 1 || repeated[0].Attempt == lost[0].Attempt {
			w.t.Errorf("got commands %v after the lost %v, want one start of a new attempt", repeated, lost)
		}
	})
}

// The response to a launch request may be lost: the retry must use the same name, or the machines
// would be launched twice. The names of a later term are different.
func TestLaunchRequestIsRetriedUnderItsName(t *testing.T) {
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
			w.t.Fatalf("got launch requests %v, want two or more of one name", first)
		}
		w.cloud.capacity = 0
		n = w.start("n0")
		time.Sleep(5 * time.Second)
		n.crash()
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		w.checkEqual("launched in the next term", len(w.cloud.launches) > 0, true)
		for _, request := range w.cloud.launches {
			w.checkEqual("name reused", request.Name == first[0].Name, false)
		}
	})
}

// A machine with a preemption notice saves the checkpoints of its tasks, and they continue elsewhere.
func TestPreemptedMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k1, k2 := w.worker("i-1", "a", true), w.worker("i-2", "a", false)
		s := spec("job-1", 2)
		s.CheckpointS, s.SaveS = 10, 2
		w.submit(n, s)
		k1.heartbeatFor(n, 3)
		noticeS := 9.0
		k1.status.PreemptionNoticeS = &noticeS
		commands := k1.heartbeat(n)
		if len(commands) == 0 {
			commands = k1.heartbeat(n)
		}
		if len(commands) != 2 || commands[0].Verb != api.VerbStop || *commands[0].GraceS < 2 {
			w.t.Fatalf("got commands %v, want two stops with time to save", commands)
		}
		k1.heartbeatFor(n, 2)
		k2.heartbeatFor(n, 3)
		w.checkEqual("running elsewhere", len(k2.running()), 2)
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
	})
}

// While the key-value store is unreachable a submission is rejected, not kept waiting; a
// submission whose transaction lost its response counts as accepted once.
func TestSubmissionDuringStoreFaults(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		w.store.SetDown(true)
		ctx, cancel := context.WithTimeout(w.t.Context(), 2500*time.Millisecond)
		defer cancel()
		if _, _, err := n.Submit(ctx, spec("job-1", 1)); err == nil {
			w.t.Error("submission during an outage: got no error, want one")
		}
		w.store.SetDown(false)
		w.store.LoseResponses(writesPrefix(records.ActivePrefix))
		st, _, err := n.Submit(w.t.Context(), spec("job-2", 1))
		if err != nil || st.Phase != api.JobPending {
			w.t.Errorf("submission with a lost response: got %v, error %v, want phase pending", st, err)
		}
		w.store.LoseResponses(nil)
		w.checkEqual("phase", w.phase(n, "job-2"), "pending")
	})
}

func TestUnschedulableJobsAreRejected(t *testing.T) {
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
			_, _, err := n.Submit(w.t.Context(), s)
			var unschedulable *api.UnschedulableError
			w.checkEqual(name, errors.As(err, &unschedulable), true)
		}
		w.checkEqual("phase of a rejected job", w.phase(n, "job-1"), api.ErrUnknownJob.Error())
	})
}

// While the leader is partitioned, a node on the machines' side renews their task leases on its
// behalf, but not so long that a cancellation could be late for their tasks, and it starts nothing.
func TestFollowerRenewsTaskLeasesOnBehalf(t *testing.T) {
	for _, c := range []struct {
		name             string
		storeUnreachable bool // for the follower
		minS, maxS       int  // how long it renews, of at most 40 s
	}{
		{"store reachable", false, 40, 40},
		// 30 s are for a cancellation, 10 s are the lease.
		{"store unreachable", true, 5, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				l := &peerLinks{}
				g := &gate{Fake: w.store}
				leader := l.add("n0", w.startWith("n0", w.store, l))
				follower := l.add("n1", w.startWith("n1", g, l))
				k := w.worker("i-1", "a", false)
				w.submit(leader, spec("job-1", 2))
				k.heartbeatFor(leader, 4)
				w.checkEqual("running", len(k.running()), 2)
				if _, err := k.sendHeartbeat(follower); err == nil {
					w.t.Error("got a response of a follower whose leader is reachable, want an error")
				}
				w.submit(leader, spec("job-2", 1))
				l.partitioned.Store(true)
				g.setClosed(c.storeUnreachable)
				time.Sleep(4 * time.Second)
				renewedS := renewOnBehalfFor(w, follower, k, c.storeUnreachable)
				if renewedS < c.minS || renewedS > c.maxS {
					w.t.Errorf("got %d s of renewals, want %d to %d", renewedS, c.minS, c.maxS)
				}
				if !c.storeUnreachable {
					checkCancelledThroughFollower(w, leader, follower, k)
				}
				l.partitioned.Store(false)
				time.Sleep(3 * time.Second)
				follower.inspect(func(c *Controller) {
					w.checkEqual("renews after the partition", c.leaseRenewer.leaderUnreachable, false)
				})
			})
		})
	}
}

// renewOnBehalfFor sends heartbeats to a follower until it renews no more, for 40 s at most, and
// returns for how many seconds it did. Without the store none of its responses has a start: only
// the leader starts tasks, through the store.
func renewOnBehalfFor(w *simulatedCluster, follower *node, k *worker, storeUnreachable bool) (seconds int) {
	w.t.Helper()
	for range 40 {
		commands, err := k.sendHeartbeat(follower)
		if err != nil {
			break
		}
		for _, cmd := range commands {
			w.checkEqual("started", cmd.Verb == api.VerbStart && storeUnreachable, false)
		}
		seconds++
		time.Sleep(time.Second)
	}
	return seconds
}

// checkCancelledThroughFollower checks that the leader's cancellation of job-1 reaches a machine through
// a follower.
func checkCancelledThroughFollower(w *simulatedCluster, leader, follower *node, k *worker) {
	w.t.Helper()
	if _, err := leader.Cancel(w.t.Context(), "job-1"); err != nil {
		w.t.Error(err)
	}
	k.heartbeatFor(follower, 5)
	for _, task := range k.running() {
		w.checkEqual("task of the cancelled job runs", strings.HasPrefix(task, "job-1/"), false)
	}
}

// hungWatchStore is a store whose first watch of the jobs never responds, as over a connection
// that died without a reset.
type hungWatchStore struct {
	*kvtest.Fake
	once sync.Once
}

// Watch hangs on the first watch of the active records until its context ends.
func (s *hungWatchStore) Watch(
	ctx context.Context, prefix string, from uint64, block time.Duration,
) (kv.Changes, error) {
	isFirst := false
	if prefix == records.ActivePrefix {
		s.once.Do(func() { isFirst = true })
	}
	if isFirst {
		<-ctx.Done()
		return kv.Changes{}, kv.ErrOutcomeUnknown
	}
	return s.Fake.Watch(ctx, prefix, from, block)
}

// A watch whose connection has died must time out before it hides a cancellation for longer than
// cancelled tasks may run.
func TestHungWatchTimesOut(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.startWith("n0", &hungWatchStore{Fake: w.store}, nil)
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		k.heartbeatFor(n, 8)
		w.checkEqual("started after the watch timed out", len(k.running()), 2)
	})
}
