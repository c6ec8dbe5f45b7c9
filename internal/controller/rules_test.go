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

// writesPrefix returns a function that reports whether a transaction writes or deletes a key with
// the given prefix.
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

// Guards against a done job that is started again: a repeated submission with a different number of
// tasks must return the job as done.
func TestJobRunsAndStaysDone(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 6))
		agent.heartbeatFor(n, 4)
		w.checkEqual("first four", len(agent.running()), 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "running")
		agent.exit(api.CauseDone)
		agent.heartbeatFor(n, 3)
		w.checkEqual("last two", agent.running(), []string{"job-1/4", "job-1/5"})
		agent.exit(api.CauseDone)
		agent.heartbeatFor(n, 3)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
		w.checkEqual("reaped", len(agent.status.Tasks), 0)
		// Submits the job again after its end, with a different specification.
		state, created, err := n.Submit(w.t.Context(), spec("job-1", 9))
		if err != nil || created || state.Phase != api.JobDone {
			w.t.Errorf("repeated submission: got %v, created %v, error %v, want the done job", state, created, err)
		}
		w.checkEqual("unknown job", w.phase(n, "job-2"), api.ErrUnknownJob.Error())
	})
}

// Guards against reporting a job as done before its terminal record is written: the next leader
// would report an earlier phase.
func TestDoneIsDurableBeforeItIsReported(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		agent.heartbeatFor(n, 3)
		w.store.Delay(writesPrefix(records.TerminalPrefix))
		agent.exit(api.CauseDone)
		agent.heartbeatFor(n, 2)
		if got := w.phase(n, "job-1"); got == api.JobDone {
			w.t.Errorf("got phase %q before the terminal record was written, want another", got)
		}
		w.checkEqual("kept on the machine", len(agent.status.Tasks), 1)
		w.store.ApplyDelayed()
		agent.heartbeatFor(n, 4)
		w.checkEqual("phase", w.phase(n, "job-1"), "done")
	})
}

// Guards against starting tasks of a machine elsewhere after missed heartbeats alone, while they
// may still run there. Only the cloud's 200 response to the termination of the machine releases
// them.
func TestSuspectMachineIsReleasedByItsTerminationOnly(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent1, agent2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		agent1.heartbeatFor(n, 3)
		w.checkEqual("running", agent1.running(), []string{"job-1/0"})
		w.cloud.rejectTerminate = true
		w.dead.Store("i-1", true)
		agent2.heartbeatFor(n, 40)
		w.checkEqual("started elsewhere before the termination", len(agent2.running()), 0)
		w.cloud.mu.Lock()
		w.cloud.rejectTerminate = false
		w.cloud.mu.Unlock()
		agent2.heartbeatFor(n, 5)
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("started elsewhere", agent2.running(), []string{"job-1/0"})
		// A heartbeat of the machine that was delayed in transit changes nothing.
		if _, err := agent1.sendHeartbeat(n); err == nil {
			w.t.Error("heartbeat of a terminated machine: got a response, want an error")
		}
	})
}

// Guards against an old heartbeat that arrives out of order and lacks the tasks started after it
// was sent: it must not release them to other machines.
func TestOlderHeartbeatIsDropped(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent1, agent2 := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		agent1.heartbeatFor(n, 2)
		agent2.heartbeatFor(n, 2)
		agent1.mu.Lock()
		older := agent1.status
		agent1.mu.Unlock()
		older.Tasks = nil
		w.submit(n, spec("job-1", 1))
		agent1.heartbeatFor(n, 2)
		w.checkEqual("running", len(agent1.running()), 1)
		commands, err := agent1.deliver(n, &older)
		if err != nil || len(commands) != 0 {
			w.t.Errorf("older heartbeat: got commands %v, error %v, want neither", commands, err)
		}
		agent2.heartbeatFor(n, 3)
		w.checkEqual("started elsewhere", len(agent2.running()), 0)
	})
}

// Guards against a lost start, and against reuse of its attempt. The heartbeat response with the
// start is lost; the next heartbeat shows that it was not applied, and the task starts as a new
// attempt.
func TestLostStartIsRepeatedAsANewAttempt(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(n, 2)
		w.submit(n, spec("job-1", 1))
		lost, err := agent.sendHeartbeat(n)
		if err != nil || len(lost) != 1 {
			w.t.Fatalf("got commands %v, error %v, want one start", lost, err)
		}
		time.Sleep(4 * time.Second)
		repeated := agent.heartbeat(n)
		if len(repeated) != 1 || repeated[0].Attempt == lost[0].Attempt {
			w.t.Errorf("got commands %v after the lost %v, want one start of a new attempt", repeated, lost)
		}
	})
}

// Guards against machines that are launched twice because the response to a launch request is lost.
// The retry must use the same request name. A later term must use different names.
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
			w.t.Fatalf("got launch requests %v, want two or more with the same name", first)
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

// Guards against tasks of a preempted machine that lose their progress or are not resumed. The
// tasks get time to save their checkpoints, and then start on another machine.
func TestPreemptedMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent1, agent2 := w.worker("i-1", "a", true), w.worker("i-2", "a", false)
		s := spec("job-1", 2)
		s.CheckpointS, s.SaveS = 10, 2
		w.submit(n, s)
		agent1.heartbeatFor(n, 3)
		noticeS := 9.0
		agent1.status.PreemptionNoticeS = &noticeS
		commands := agent1.heartbeat(n)
		if len(commands) == 0 {
			commands = agent1.heartbeat(n)
		}
		if len(commands) != 2 || commands[0].Verb != api.VerbStop || *commands[0].GraceS < 2 {
			w.t.Fatalf("got commands %v, want two stops with a grace period of at least 2 s", commands)
		}
		agent1.heartbeatFor(n, 2)
		agent2.heartbeatFor(n, 3)
		w.checkEqual("running elsewhere", len(agent2.running()), 2)
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
	})
}

// Guards against submissions that wait for an unreachable key-value store instead of being
// rejected, and against rejecting a submission whose transaction was applied but lost its response.
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
		state, _, err := n.Submit(w.t.Context(), spec("job-2", 1))
		if err != nil || state.Phase != api.JobPending {
			w.t.Errorf("submission with a lost response: got %v, error %v, want phase pending", state, err)
		}
		w.store.LoseResponses(nil)
		w.checkEqual("phase", w.phase(n, "job-2"), "pending")
	})
}

// Guards against accepting jobs that can never be scheduled.
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

// Guards against tasks that are killed because the leader is partitioned from their machines. A
// follower on the machines' side renews the task leases on the leader's behalf. It stops before a
// cancellation could take effect too late, and it starts no tasks of its own accord.
func TestFollowerRenewsTaskLeasesOnBehalf(t *testing.T) {
	for _, c := range []struct {
		name             string
		storeUnreachable bool // for the follower
		minS, maxS       int  // bounds of the time for which it renews leases; 40 s are tested
	}{
		{"store reachable", false, 40, 40},
		// A cancellation may take 30 s, and the task lease lasts 10 s.
		{"store unreachable", true, 5, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				links := &peerLinks{}
				followerGate := &gate{Fake: w.store}
				leader := links.add("n0", w.startWith("n0", w.store, links))
				follower := links.add("n1", w.startWith("n1", followerGate, links))
				agent := w.worker("i-1", "a", false)
				w.submit(leader, spec("job-1", 2))
				agent.heartbeatFor(leader, 4)
				w.checkEqual("running", len(agent.running()), 2)
				if _, err := agent.sendHeartbeat(follower); err == nil {
					w.t.Error("heartbeat to a follower whose leader is reachable: got a response, want an error")
				}
				w.submit(leader, spec("job-2", 1))
				links.partitioned.Store(true)
				followerGate.setClosed(c.storeUnreachable)
				time.Sleep(4 * time.Second)
				renewedS := renewOnBehalfFor(w, follower, agent, c.storeUnreachable)
				if renewedS < c.minS || renewedS > c.maxS {
					w.t.Errorf("got renewals for %d s, want %d s to %d s", renewedS, c.minS, c.maxS)
				}
				if !c.storeUnreachable {
					checkCancelledThroughFollower(w, leader, follower, agent)
				}
				links.partitioned.Store(false)
				time.Sleep(3 * time.Second)
				follower.inspect(func(c *Controller) {
					w.checkEqual("renews after the partition", c.leaseRenewer.leaderUnreachable, false)
				})
			})
		})
	}
}

// renewOnBehalfFor sends a heartbeat every second to a follower until it stops renewing the task
// lease, for at most 40 s, and returns for how many seconds it renewed. It checks that a follower
// that cannot reach the store starts no tasks: starts are commands of the leader, which reach it
// through the store.
func renewOnBehalfFor(w *simulatedCluster, follower *node, agent *worker, storeUnreachable bool) (seconds int) {
	w.t.Helper()
	for range 40 {
		commands, err := agent.sendHeartbeat(follower)
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

// checkCancelledThroughFollower checks that a cancellation of job-1 by the leader reaches a machine
// that only the follower can reach.
func checkCancelledThroughFollower(w *simulatedCluster, leader, follower *node, agent *worker) {
	w.t.Helper()
	if _, err := leader.Cancel(w.t.Context(), "job-1"); err != nil {
		w.t.Error(err)
	}
	agent.heartbeatFor(follower, 5)
	for _, task := range agent.running() {
		w.checkEqual("task of the cancelled job runs", strings.HasPrefix(task, "job-1/"), false)
	}
}

// hungWatchStore is a store whose first watch of the active records gets no response, as on a
// connection that broke without a reset.
type hungWatchStore struct {
	*kvtest.Fake
	// once selects the first watch.
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

// Guards against a watch on a broken connection that hides cancellations for longer than cancelled
// tasks may run: it must time out before.
func TestHungWatchTimesOut(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.startWith("n0", &hungWatchStore{Fake: w.store}, nil)
		agent := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		agent.heartbeatFor(n, 8)
		w.checkEqual("started after the watch timed out", len(agent.running()), 2)
	})
}
