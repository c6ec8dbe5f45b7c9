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

// A machine that shows no command applied in heartbeat after heartbeat gets no more work and
// is terminated, whether or not it responds to probes.
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

// countStarts counts the starts among commands, of tasks whose names have the given prefix.
func countStarts(commands []api.Command, prefix string) (starts int) {
	for _, cmd := range commands {
		if cmd.Verb == api.VerbStart && strings.HasPrefix(cmd.Task, prefix) {
			starts++
		}
	}
	return starts
}

// Single lost responses, between others that arrive, are no reason to terminate a machine.
func TestSingleLostResponsesKeepMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		for i := range 12 {
			w.submit(n, spec("job-"+string(rune('1'+i)), 1))
			if _, err := k.sendHeartbeat(n); err != nil { // its response is lost
				t.Fatal(err)
			}
			k.heartbeatFor(n, 2)
			k.exit(api.CauseDone)
			k.heartbeatFor(n, 2)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), false)
	})
}

// A machine whose task lease expires although its heartbeats are responded to does not get the
// responses, even if they had no commands.
func TestExpiredAgentEpochsRevealUndeliveredCommands(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		w.dead.Store("i-1", true)
		for range 10 {
			if w.cloud.terminated("i-1") {
				return
			}
			k.status.AgentEpoch++
			if _, err := k.sendHeartbeat(n); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
	})
}

// A machine of the registry that gets no responses shows the old fencing token in heartbeat
// after heartbeat. A takeover must not wait for it without end, and its resources must not
// stay reserved against every team.
func TestTakeoverDoesNotWaitForMachineWithCommandsUndelivered(t *testing.T) {
	for _, answersProbes := range []bool{false, true} {
		simulate(t, func(w *simulatedCluster) {
			a := w.start("n0")
			partitioned, healthy := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
			partitioned.heartbeatFor(a, 2)
			w.submit(a, spec("job-1", 4))
			partitioned.heartbeatFor(a, 2)
			w.checkEqual("running", len(partitioned.running()), 4)
			a.crash()
			if !answersProbes {
				w.dead.Store("i-1", true)
			}
			b := w.start("n0")
			old := partitioned.status
			for range 20 {
				old.Seq++
				hb := old
				_, _ = partitioned.deliver(b, &hb) // the response is lost, whatever it is
				healthy.heartbeat(b)
				time.Sleep(time.Second)
			}
			w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
			w.checkEqual("tasks elsewhere", len(healthy.running()), 4)
		})
	}
}

// A copy of an old heartbeat, however late, changes nothing in this term: it does not show
// that the machine is alive, adds no attempt and gets no commands.
func TestLateHeartbeatCopyIsIgnored(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		k.heartbeatFor(n, 3)
		w.checkEqual("running", len(k.running()), 1)
		copied := k.status
		copied.Tasks = slices.Clone(k.status.Tasks)
		k.heartbeatFor(n, 2)
		w.dead.Store("i-1", true) // dies; copies of its heartbeats still arrive
		for range 12 {
			hb := copied
			if commands, err := k.deliver(n, &hb); err == nil {
				w.checkEqual("commands for a copy", len(commands), 0)
			}
			other.heartbeat(n)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("tasks elsewhere", len(other.running()), 1)
	})
}

// After a takeover a copy may arrive before the machine's own heartbeat, or from a machine
// that an earlier leader has terminated, which this one cannot know.
func TestLateHeartbeatCopyAfterTakeover(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		dead, k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		first := dead.status // its very first heartbeat, with no fencing token
		first.Seq = 1
		w.submit(a, spec("job-1", 1))
		dead.heartbeatFor(a, 3)
		w.checkEqual("first run", len(dead.running()), 1)
		copied := dead.status
		copied.Tasks = slices.Clone(dead.status.Tasks)
		w.dead.Store("i-1", true)
		for range 8 {
			k.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("second run", len(k.running()), 1)
		a.crash()
		b := w.start("n0")
		for i := range 12 {
			for _, hb := range []api.Heartbeat{first, copied} {
				hb.Seq += uint64(i % 2)
				if commands, err := dead.deliver(b, &hb); err == nil {
					w.checkEqual("commands for a copy", len(commands), 0)
				}
			}
			for _, cmd := range append(k.heartbeat(b), other.heartbeat(b)...) {
				w.checkEqual("command", cmd, nil)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("second run goes on", len(k.running()), 1)
		w.checkEqual("registry", w.registeredMachines(), []string{"i-2", "i-3"})
		w.checkEqual("terminated", w.cloud.terminatedNames, []string{"i-1"})
		w.checkEqual("phase", w.phase(b, "job-1"), "running")
	})
}

// While heartbeats are delayed by a partition, runs that have ended seem long: neither are
// they restarted as stragglers, nor are their machines quarantined as slow.
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
		delayed := far.status // sent as the partition began, delivered as it heals
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

// Under lasting overload the largest job is deferred again and again for others that can be in
// time, as infeasible jobs are for feasible ones. Each must start all the same, and make
// progress.
func TestLargestJobStartsUnderLastingOverload(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		big := spec("job-1", 60)
		big.EstimateS = 60
		w.submit(n, big)
		firstStart, started := time.Duration(0), 0
		t0 := time.Now()
		for i := range 1200 {
			if i%2 == 0 {
				s := spec(fmt.Sprint("job-", 100+i), 8)
				s.EstimateS = 5
				w.submit(n, s)
			}
			started += countStarts(k.heartbeat(n), "job-1/")
			if started > 0 && firstStart == 0 {
				firstStart = time.Since(t0)
			}
			if i%5 == 4 {
				k.exit(api.CauseDone)
			}
			time.Sleep(800 * time.Millisecond)
		}
		if started == 0 || firstStart > 4*time.Minute {
			t.Errorf("got %d starts, the first after %v, want one within 4m", started, firstStart)
		}
		if started < 40 {
			t.Errorf("got %d starts of its tasks, want at least 40", started)
		}
	})
}

// Where many machines seem slow at once, the machines are not the cause: only a few are
// quarantined.
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
			for i, k := range agents {
				k.heartbeat(n)
				if i < 3 && second%4 == 3 || second%20 == 19 {
					k.exit(api.CauseDone)
				}
			}
			time.Sleep(time.Second)
		}
		if terminated := len(w.cloud.terminatedNames); terminated < 1 || terminated > 3 { // nine without the guard
			t.Errorf("got %d machines terminated, want 1 to 3", terminated)
		}
	})
}

// A controller that is restarted within a fraction of a second, in the middle of its own
// election: the requests of its earlier incarnation that the store applies late must not end
// or share the new one's term, nor change a job accepted meanwhile.
func TestLateRequestsOfEarlierIncarnation(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.store.Delay(writesPrefix("leader"))
		a := w.start("n0")
		w.checkEqual("delayed takeovers", w.store.DelayedCount(), 1)
		a.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Delay(nil)
		b := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(b, 2)
		term := k.status.Term
		w.checkEqual("new incarnation leads", term > 0, true)
		for _, res := range w.store.ApplyDelayed() {
			w.checkEqual("late takeover applied", res.Succeeded, false)
		}
		k.heartbeatFor(b, 8)
		w.checkEqual("term", k.status.Term, term)

		w.store.Delay(writesPrefix(records.ActivePrefix))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, _, err := b.Submit(ctx, spec("job-1", 1)); err == nil {
			t.Error("accepted without a record")
		}
		b.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Delay(nil)
		c := w.start("n0")
		w.submit(c, spec("job-1", 1))
		k.heartbeatFor(c, 4)
		k.exit(api.CauseDone)
		k.heartbeatFor(c, 4)
		w.checkEqual("phase", w.phase(c, "job-1"), "done")
		for _, res := range w.store.ApplyDelayed() {
			w.checkEqual("late record applied", res.Succeeded, false)
		}
		w.checkEqual("phase", w.phase(c, "job-1"), "done")
		k.heartbeatFor(c, 3)
		w.checkEqual("started again", len(k.running()), 0)
	})
}

// The takeover of the earlier incarnation may also be applied first: the new one finds its
// own name in the leader key, and must begin a term of its own.
func TestAppliedTakeoverOfEarlierIncarnation(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.store.LoseResponses(writesPrefix("leader"))
		a := w.start("n0")
		a.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.LoseResponses(nil)
		b := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(b, 2)
		w.checkEqual("term of its own", k.status.Term, 2)
	})
}

// A task on a machine that gets no responses cannot be stopped by commands. If its job is
// cancelled, the machine is terminated within the time that a cancellation may take, although
// its heartbeats still arrive.
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
		t0 := time.Now()
		for !w.cloud.terminated("i-1") && time.Since(t0) < time.Minute {
			_, _ = partitioned.sendHeartbeat(n) // no response reaches it
			time.Sleep(time.Second)
		}
		if took := time.Since(t0); took >= 30*time.Second {
			t.Errorf("terminated after %v, want less than 30s", took)
		}
	})
}

// Once all faults are healed every node answers for every job within seconds: no job may be
// left out because of earlier faults.
func TestAllPollsAreAnsweredAfterFaultsHeal(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, ga, gb := w.startPair()
		for i := range 12 {
			w.submit([]*node{a, b}[i%2], spec(fmt.Sprint("job-", i), 1))
		}
		k := w.worker("i-1", "", false)
		k.heartbeatFor(a, 3)
		l.partitioned.Store(true)
		ga.setClosed(true)
		time.Sleep(20 * time.Second)
		w.store.SetDown(true)
		gb.setClosed(true)
		time.Sleep(15 * time.Second)
		w.store.SetDown(false)
		ga.setClosed(false)
		gb.setClosed(false)
		l.partitioned.Store(false)
		k.exit(api.CauseDone)
		for range 15 {
			k.heartbeatEither(a, b)
			k.exit(api.CauseDone)
			time.Sleep(time.Second)
		}
		for i := range 12 {
			for _, n := range []*node{a, b} {
				w.checkEqual(fmt.Sprint("job ", i), w.phase(n, fmt.Sprint("job-", i)), "done")
			}
		}
		w.checkEqual("ready", a.Ready() && b.Ready(), true)
	})
}

// A machine that is restarted under its name before its heartbeats were missed numbers them
// from the first again: all would be dropped as older ones, its tasks would be taken for
// running, and probes would find it alive. It is terminated, and only then do its tasks start
// elsewhere.
func TestMachineRestartedUnderItsName(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		k.heartbeatFor(a, 3)
		w.submit(a, spec("job-1", 4))
		k.heartbeatFor(a, 6)
		w.checkEqual("running", len(k.running()), 4)
		other.heartbeatFor(a, 3)
		k.status.Seq, k.status.Term, k.status.Tasks = 0, 0, nil
		for range 15 {
			if !w.cloud.terminated("i-1") {
				w.checkEqual("tasks elsewhere before the termination", other.running(), []string(nil))
				k.heartbeat(a)
			}
			other.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-1"), true)
		w.checkEqual("tasks elsewhere", len(other.running()), 4)
	})
}

// A leader whose lease has not expired learns from a machine's heartbeat that another has
// begun a later term: it steps down, and does not crash on the heartbeat.
func TestHeartbeatOfLaterTermMakesLeaderStepDown(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		hb := k.status
		hb.Term, hb.Seq = hb.Term+1, hb.Seq+1
		n.inspect(func(c *Controller) {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("panics on a heartbeat: %v", p)
				}
			}()
			m := heartbeatMsg{heartbeat: &hb, reply: make(chan heartbeatReply, 1), receivedAt: time.Now()}
			m.apply(c)
			w.checkEqual("rejected", (<-m.reply).err, &api.NotLeaderError{})
			w.checkEqual("leads", c.leaderTerm != nil, false)
		})
	})
}
