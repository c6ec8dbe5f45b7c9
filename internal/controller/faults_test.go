package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// Guards against repeated starts on a machine that receives no commands: its heartbeats arrive, but
// none shows a command as applied. Such a machine gets at most a few starts and is terminated,
// whether or not it responds to probes.
func TestMachineWithCommandsUndeliveredIsTerminated(t *testing.T) {
	for _, answersProbes := range []bool{false, true} {
		t.Run(fmt.Sprint("answers probes ", answersProbes), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				partitioned, healthy := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
				partitioned.heartbeatFor(n, 2)
				w.submit(n, spec("job-1", 1))
				if !answersProbes {
					w.dead.Store("i-1", true)
				}
				starts, heartbeats := 0, 0
				for ; heartbeats < 60 && !w.cloud.terminated("i-1"); heartbeats++ {
					commands, err := partitioned.sendHeartbeat(n)
					if err != nil {
						break
					}
					starts += countStarts(commands, "")
					time.Sleep(time.Second)
				}
				w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
				if starts < 2 || starts > 5 {
					t.Errorf("got %d starts in %d heartbeats, want 2 to 5", starts, heartbeats)
				}
				healthy.heartbeatFor(n, 5)
				w.checkEqual("tasks elsewhere", len(healthy.running()), 1)
			})
		})
	}
}

// countStarts returns the number of start commands for tasks whose names have the given prefix.
func countStarts(commands []api.Command, prefix string) (starts int) {
	for _, cmd := range commands {
		if cmd.Verb == api.VerbStart && strings.HasPrefix(cmd.Task, prefix) {
			starts++
		}
	}
	return starts
}

// Guards against terminating a machine because of single lost heartbeat responses between others
// that arrive.
func TestSingleLostResponsesKeepMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(n, 2)
		for i := range 12 {
			w.submit(n, spec("job-"+string(rune('1'+i)), 1))
			if _, err := agent.sendHeartbeat(n); err != nil { // its response is lost
				t.Fatal(err)
			}
			agent.heartbeatFor(n, 2)
			agent.exit(api.CauseDone)
			agent.heartbeatFor(n, 2)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), false)
	})
}

// Guards against keeping a machine that receives no heartbeat responses while there are no commands
// for it. Its task lease expires although its heartbeats are answered, which shows as a new agent
// epoch in heartbeat after heartbeat.
func TestExpiredAgentEpochsRevealUndeliveredCommands(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(n, 2)
		w.dead.Store("i-1", true)
		for range 10 {
			if w.cloud.terminated("i-1") {
				return
			}
			agent.status.AgentEpoch++
			if _, err := agent.sendHeartbeat(n); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
	})
}

// Guards against a takeover that waits forever for a registered machine, and against the machine's
// resources staying reserved against every team. The machine receives no heartbeat responses, so
// its heartbeats keep the fencing token of the previous term.
func TestTakeoverDoesNotWaitForMachineWithCommandsUndelivered(t *testing.T) {
	for _, answersProbes := range []bool{false, true} {
		simulate(t, func(w *simulatedCluster) {
			oldLeader := w.start("n0")
			partitioned, healthy := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
			partitioned.heartbeatFor(oldLeader, 2)
			w.submit(oldLeader, spec("job-1", 4))
			partitioned.heartbeatFor(oldLeader, 2)
			w.checkEqual("running", len(partitioned.running()), 4)
			oldLeader.crash()
			if !answersProbes {
				w.dead.Store("i-1", true)
			}
			newLeader := w.start("n0")
			oldStatus := partitioned.status
			for range 20 {
				oldStatus.Seq++
				hb := oldStatus
				_, _ = partitioned.deliver(newLeader, &hb) // the response is lost, whatever it is
				healthy.heartbeat(newLeader)
				time.Sleep(time.Second)
			}
			w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
			w.checkEqual("tasks elsewhere", len(healthy.running()), 4)
		})
	}
}

// Guards against a late copy of an old heartbeat taking effect within a term: it must not count as
// a sign that the machine is alive, add an attempt or get commands.
func TestLateHeartbeatCopyIsIgnored(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		agent.heartbeatFor(n, 3)
		w.checkEqual("running", len(agent.running()), 1)
		copied := agent.status
		copied.Tasks = slices.Clone(agent.status.Tasks)
		agent.heartbeatFor(n, 2)
		w.dead.Store("i-1", true) // copies of its heartbeats still arrive
		for range 12 {
			hb := copied
			if commands, err := agent.deliver(n, &hb); err == nil {
				w.checkEqual("commands for a copy", len(commands), 0)
			}
			other.heartbeat(n)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("tasks elsewhere", len(other.running()), 1)
	})
}

// Guards against a late copy of a heartbeat taking effect after a takeover. The copy may arrive
// before the machine's own heartbeat, or come from a machine that the previous leader has
// terminated, which the new leader cannot tell from the copy.
func TestLateHeartbeatCopyAfterTakeover(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		oldLeader := w.start("n0")
		dead, agent, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		firstHeartbeat := dead.status // has no fencing token yet
		firstHeartbeat.Seq = 1
		w.submit(oldLeader, spec("job-1", 1))
		dead.heartbeatFor(oldLeader, 3)
		w.checkEqual("first run", len(dead.running()), 1)
		copied := dead.status
		copied.Tasks = slices.Clone(dead.status.Tasks)
		w.dead.Store("i-1", true)
		for range 8 {
			agent.heartbeat(oldLeader)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("second run", len(agent.running()), 1)
		oldLeader.crash()
		newLeader := w.start("n0")
		for i := range 12 {
			for _, hb := range []api.Heartbeat{firstHeartbeat, copied} {
				hb.Seq += uint64(i % 2)
				if commands, err := dead.deliver(newLeader, &hb); err == nil {
					w.checkEqual("commands for a copy", len(commands), 0)
				}
			}
			for _, cmd := range append(agent.heartbeat(newLeader), other.heartbeat(newLeader)...) {
				w.checkEqual("command", cmd, nil)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("second run goes on", len(agent.running()), 1)
		w.checkEqual("registry", w.registeredMachines(), []string{"i-2", "i-3"})
		w.checkEqual("terminated", w.cloud.terminatedNames, []string{"i-1"})
		w.checkEqual("phase", w.phase(newLeader, "job-1"), "running")
	})
}

// Guards against restarting tasks as stragglers, and quarantining their machines as slow, because a
// partition delays the heartbeats that report their completion and the runs seem long meanwhile.
func TestRunsDuringPartitionAreNotStragglers(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		near, far := w.worker("i-1", "a", false), w.worker("i-2", "b", false)
		s := spec("job-1", 40)
		s.EstimateS = 4
		w.submit(n, s)
		round := func(partitioned bool) {
			for range 5 {
				near.heartbeat(n)
				if !partitioned {
					far.heartbeat(n)
				}
				time.Sleep(time.Second)
			}
			near.exit(api.CauseDone)
			far.exit(api.CauseDone)
		}
		round(false)
		round(false)
		for range 5 {
			round(true)
		}
		delayed := far.status // sent when the partition begins, delivered when it ends
		delayed.Tasks = nil
		for _, task := range far.status.Tasks {
			task.Phase, task.Cause = api.TaskRunning, ""
			delayed.Tasks = append(delayed.Tasks, task)
		}
		far.status.Seq++
		_, _ = far.deliver(n, &delayed) // the response is not applied, whatever it is
		n.inspect(func(c *Controller) { w.checkEqual("restarted", len(c.leaderTerm.jobs["job-1"].RestartedTasks), 0) })
		round(false)
		round(false)
		round(false)
		w.checkEqual("terminated as slow", w.cloud.terminated("i-2"), false)
	})
}

// Guards against starvation of a large job under lasting overload, when it is repeatedly deferred
// in favour of jobs that can still meet their objectives. It must start within minutes and make
// progress.
func TestLargestJobStartsUnderLastingOverload(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(n, 2)
		big := spec("job-1", 60)
		big.EstimateS = 60
		w.submit(n, big)
		firstStart, started := time.Duration(0), 0
		submittedAt := time.Now()
		for i := range 1200 {
			if i%2 == 0 {
				s := spec(fmt.Sprint("job-", 100+i), 8)
				s.EstimateS = 5
				w.submit(n, s)
			}
			started += countStarts(agent.heartbeat(n), "job-1/")
			if started > 0 && firstStart == 0 {
				firstStart = time.Since(submittedAt)
			}
			if i%5 == 4 {
				agent.exit(api.CauseDone)
			}
			time.Sleep(800 * time.Millisecond)
		}
		if started == 0 || firstStart > 4*time.Minute {
			t.Errorf("got %d starts of job-1, the first after %v, want one within 4m", started, firstStart)
		}
		if started < 40 {
			t.Errorf("got %d starts of job-1, want at least 40", started)
		}
	})
}

// Guards against quarantining most of the machines as slow when many seem slow at once, which shows
// that the machines are not the cause. Without the limit on quarantines, 9 machines were terminated
// here.
func TestFewMachinesAreQuarantinedAsSlow(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		agents := make([]*worker, 12)
		for i := range agents {
			agents[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		}
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 100
		n := w.start("n0")
		s := spec("job-1", 400)
		s.EstimateS = 60
		w.submit(n, s)
		for second := range 60 {
			for i, agent := range agents {
				agent.heartbeat(n)
				if i < 3 && second%4 == 3 || second%20 == 19 {
					agent.exit(api.CauseDone)
				}
			}
			time.Sleep(time.Second)
		}
		if terminated := len(w.cloud.terminatedNames); terminated < 1 || terminated > 3 {
			t.Errorf("got %d machines terminated, want 1 to 3", terminated)
		}
	})
}

// Guards against late store requests of an earlier incarnation of a controller. The controller
// restarts within a fraction of a second during its election, and the store applies the old
// requests afterwards: they must not end or share the term of the new incarnation, or change a job
// accepted meanwhile.
func TestLateRequestsOfEarlierIncarnation(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.store.Delay(writesPrefix("leader"))
		first := w.start("n0")
		w.checkEqual("delayed takeovers", w.store.DelayedCount(), 1)
		first.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Delay(nil)
		second := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(second, 2)
		term := agent.status.Token
		w.checkEqual("new incarnation leads", term > 0, true)
		for _, result := range w.store.ApplyDelayed() {
			w.checkEqual("late takeover applied", result.Succeeded, false)
		}
		agent.heartbeatFor(second, 8)
		w.checkEqual("term", agent.status.Token, term)

		w.store.Delay(writesPrefix(records.ActivePrefix))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, _, err := second.Submit(ctx, spec("job-1", 1)); err == nil {
			t.Error("submission while the write of its record is delayed: got no error, want one")
		}
		second.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Delay(nil)
		third := w.start("n0")
		w.submit(third, spec("job-1", 1))
		agent.heartbeatFor(third, 4)
		agent.exit(api.CauseDone)
		agent.heartbeatFor(third, 4)
		w.checkEqual("phase", w.phase(third, "job-1"), "done")
		for _, result := range w.store.ApplyDelayed() {
			w.checkEqual("late record applied", result.Succeeded, false)
		}
		w.checkEqual("phase", w.phase(third, "job-1"), "done")
		agent.heartbeatFor(third, 3)
		w.checkEqual("started again", len(agent.running()), 0)
	})
}

// Guards against a restarted controller that continues the term of its earlier incarnation. The
// store has applied the earlier takeover but its response was lost, so that the new incarnation
// finds its own name in the leader key; it must begin a new term.
func TestAppliedTakeoverOfEarlierIncarnation(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.store.LoseResponses(writesPrefix("leader"))
		first := w.start("n0")
		first.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.LoseResponses(nil)
		second := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(second, 2)
		w.checkEqual("term of the new incarnation", agent.status.Token, 2)
	})
}

// Guards against tasks of a cancelled job that keep running on a machine which receives no
// commands. The machine is terminated within the time that a cancellation may take, although its
// heartbeats arrive.
func TestCancelledJobOnMachineWithCommandsUndelivered(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		partitioned := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		partitioned.heartbeatFor(n, 3)
		w.checkEqual("running", len(partitioned.running()), 2)
		w.dead.Store("i-1", true)
		if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		cancelledAt := time.Now()
		for !w.cloud.terminated("i-1") && time.Since(cancelledAt) < time.Minute {
			_, _ = partitioned.sendHeartbeat(n) // no response reaches it
			time.Sleep(time.Second)
		}
		if took := time.Since(cancelledAt); took >= 30*time.Second {
			t.Errorf("machine terminated %v after the cancellation, want less than 30s", took)
		}
	})
}

// Guards against jobs for which a node gives no answer after earlier faults. Within seconds after
// all faults are healed, every node answers queries about every job.
func TestAllPollsAreAnsweredAfterFaultsHeal(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		links, leader, follower, leaderGate, followerGate := w.startPair()
		for i := range 12 {
			w.submit([]*node{leader, follower}[i%2], spec(fmt.Sprint("job-", i), 1))
		}
		agent := w.worker("i-1", "", false)
		agent.heartbeatFor(leader, 3)
		links.partitioned.Store(true)
		leaderGate.setClosed(true)
		time.Sleep(20 * time.Second)
		w.store.SetDown(true)
		followerGate.setClosed(true)
		time.Sleep(15 * time.Second)
		w.store.SetDown(false)
		leaderGate.setClosed(false)
		followerGate.setClosed(false)
		links.partitioned.Store(false)
		agent.exit(api.CauseDone)
		for range 15 {
			agent.heartbeatEither(leader, follower)
			agent.exit(api.CauseDone)
			time.Sleep(time.Second)
		}
		for i := range 12 {
			for _, n := range []*node{leader, follower} {
				w.checkEqual(fmt.Sprint("job ", i), w.phase(n, fmt.Sprint("job-", i)), "done")
			}
		}
		w.checkEqual("ready", leader.Ready() && follower.Ready(), true)
	})
}

// Guards against tasks that count as running forever on a machine that was restarted under its name
// before its heartbeats were missed. Its sequence numbers start again, so its heartbeats would be
// dropped as old ones while probes find it alive. It is terminated, and its tasks start elsewhere
// only then.
func TestMachineRestartedUnderItsName(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		agent.heartbeatFor(n, 3)
		w.submit(n, spec("job-1", 4))
		agent.heartbeatFor(n, 6)
		w.checkEqual("running", len(agent.running()), 4)
		other.heartbeatFor(n, 3)
		agent.status.Seq, agent.status.Token, agent.status.Tasks = 0, 0, nil
		for range 15 {
			if !w.cloud.terminated("i-1") {
				w.checkEqual("tasks elsewhere before the termination", other.running(), []string(nil))
				agent.heartbeat(n)
			}
			other.heartbeat(n)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("tasks elsewhere", len(other.running()), 4)
	})
}

// Guards against a panic of a leader when a heartbeat shows that another node has begun a later term
// while its own lease has not expired. The leader rejects the heartbeat and steps down.
func TestHeartbeatOfLaterTermMakesLeaderStepDown(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeatFor(n, 2)
		hb := agent.status
		hb.Token, hb.Seq = hb.Token+1, hb.Seq+1
		n.inspect(func(c *Controller) {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("heartbeat of a later term: got panic %v, want none", p)
				}
			}()
			m := heartbeatMsg{heartbeat: &hb, reply: make(chan heartbeatReply, 1), receivedAt: time.Now()}
			m.apply(c)
			w.checkEqual("rejected", (<-m.reply).err, &api.NotLeaderError{})
			w.checkEqual("leads", c.leaderTerm != nil, false)
		})
	})
}
