package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// startPair starts a leader n0 and a follower n1, each with its own access to the key-value store, and in
// the given zones, if any.
func (w *simulatedCluster) startPair(zones ...string) (l *links, a, b *node, ga, gb *gate) {
	if len(zones) == 2 {
		w.zones = map[string]string{"n0": zones[0], "n1": zones[1]}
	}
	l, ga, gb = &links{}, &gate{Fake: w.store}, &gate{Fake: w.store}
	a = l.add("n0", w.startWith("n0", ga, l))
	b = l.add("n1", w.startWith("n1", gb, l))
	time.Sleep(12 * time.Second)
	return l, a, b, ga, gb
}

// heartbeatEither sends a heartbeat to the nodes in turn until one responds, and applies its commands.
func (k *worker) heartbeatEither(nodes ...*node) {
	for _, n := range nodes {
		if commands, err := k.sendHeartbeat(n); err == nil {
			k.applyCommands(commands)
			return
		}
	}
}

// A leader that the key-value store rejects while it serves others steps down, instead of remaining
// leader until its lease expires: the other node takes over at once and the work goes on, with no
// task on two machines. Users' polls are answered at both, and the rejected node is not ready, so
// that new users reach the other.
func TestLeaderRejectedByTheStoreStepsDown(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, ga, _ := w.startPair()
		k := w.worker("i-1", "", false)
		w.submit(a, spec("job-1", 6))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 4)
		term := k.status.Term
		ga.set(true)
		for range 10 {
			k.heartbeatEither(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("later term", k.status.Term > term, true)
		w.checkEqual("still running", len(k.running()), 4)
		w.checkEqual("rejected node ready", a.Ready(), false)
		w.checkEqual("other node ready", b.Ready(), true)
		w.checkEqual("poll at the rejected node", w.phase(a, "job-1"), "running")
		if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
			t.Error(err)
		}
		w.checkEqual("poll of the cancelled job at the rejected node", w.phase(a, "job-1"), "withdrawn")
		for range 4 { // the next leader learns of it through its watch
			k.heartbeatEither(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("running after the cancellation", len(k.running()), 0)
		ga.set(false)
		time.Sleep(20 * time.Second)
		w.checkEqual("ready again", a.Ready(), true)
		if _, err := k.sendHeartbeat(a); err == nil {
			t.Error("heartbeat at the former leader: got a response, want an error")
		}
	})
}

// An outage of the key-value store is not mistaken for the rejection of one node: no leader steps
// down, and all nodes stay ready, or users would find no node when the outage ends.
func TestNoLeaderStepsDownInAStoreOutage(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, _ := w.startPair()
		k := w.worker("i-1", "", false)
		k.serve(a, 2)
		term := k.status.Term
		w.store.SetDown(true)
		for range 25 {
			k.heartbeatEither(a, b)
			w.checkEqual("ready", a.Ready() && b.Ready(), true)
			time.Sleep(time.Second)
		}
		w.store.SetDown(false)
		for range 12 {
			k.heartbeatEither(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("term", k.status.Term, term)
	})
}

// A leader without the key-value store and the other nodes, but with its workers, stops leading
// before the next leader may begin, answers users with nothing older than a cancellation elsewhere,
// and is not ready, since it can serve no new users. Under the next leader nothing runs twice.
func TestIsolatedLeaderWithItsWorkers(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, ga, _ := w.startPair()
		k, other := w.worker("i-1", "", false), w.worker("i-2", "", false)
		w.submit(a, spec("job-1", 3))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 3)
		ga.set(true)
		l.partitioned.Store(true)
		lastResponse := time.Now()
		for range 60 {
			if commands, err := k.sendHeartbeat(a); err == nil {
				k.applyCommands(commands)
				lastResponse = time.Now()
			}
			if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
				t.Error(err)
			}
			if got := w.phase(a, "job-1"); got == "running" || got == "pending" || got == "done" {
				t.Fatalf("phase after the cancellation at the isolated node: got %s", got)
			}
			other.heartbeatEither(b)
			time.Sleep(time.Second)
		}
		if since := time.Since(lastResponse); since < 25*time.Second {
			t.Errorf("last response of the isolated leader: got %v ago, want at least 25 s", since)
		}
		w.checkEqual("ready", a.Ready(), false)
		w.checkEqual("the other node leads in a later term", other.status.Term > k.status.Term, true)
		w.checkEqual("running on the other machine", len(other.running()), 0)
	})
}

// A follower without the key-value store and the leader responds to no machine and is not ready.
func TestIsolatedFollowerServesNobody(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, gb := w.startPair()
		k := w.worker("i-1", "", false)
		k.serve(a, 2)
		gb.set(true)
		l.partitioned.Store(true)
		time.Sleep(30 * time.Second)
		if _, err := k.sendHeartbeat(b); err == nil {
			t.Error("heartbeat at the isolated follower: got a response, want an error")
		}
		w.checkEqual("ready", b.Ready(), false)
		w.checkEqual("leader ready", a.Ready(), true)
	})
}

// While connections between the nodes fail, a follower answers polls of unfinished jobs from the
// key-value store; while only the store rejects it, it forwards them to the leader.
func TestFollowerAnswersPollsWithoutLeaderOrStore(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, gb := w.startPair()
		k := w.worker("i-1", "", false)
		w.submit(a, spec("job-1", 1))
		k.serve(a, 3)
		l.partitioned.Store(true)
		for range 5 {
			w.checkEqual("phase without the leader", w.phase(b, "job-1"), "pending")
			k.serve(a, 1)
		}
		l.partitioned.Store(false)
		gb.set(true)
		k.serve(a, 5)
		w.checkEqual("phase without the store", w.phase(b, "job-1"), "running")
		w.checkEqual("unknown job", w.phase(b, "job-9"), api.ErrUnknownJob.Error())
		k.exit(api.CauseDone)
		k.serve(a, 3)
		w.checkEqual("done", w.phase(b, "job-1"), "done")
	})
}

// While nobody leads, a node that the key-value store rejects has another one read it.
func TestPollWithoutStoreAndLeader(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		dead := w.start("n9")
		w.submit(dead, spec("job-1", 1))
		dead.crash()
		_, a, _, ga, _ := w.startPair()
		ga.set(true)
		time.Sleep(4 * time.Second)
		w.checkEqual("known job", w.phase(a, "job-1"), "pending")
		w.checkEqual("unknown job", w.phase(a, "job-2"), api.ErrUnknownJob.Error())
	})
}

// A machine of another zone than the leader's sends its heartbeats to a node of its own zone, which
// forwards them. When the zones are partitioned, that node renews its task lease on behalf of the
// leader without a break.
func TestHeartbeatsAreForwardedByTheLocalNode(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, _ := w.startPair("a", "b")
		near, far := w.worker("i-1", "a", false), w.worker("i-2", "b", false)
		near.serve(a, 3)
		far.serve(a, 2)
		var redirect *api.NotLeaderError
		if _, err := far.sendHeartbeat(a); !errors.As(err, &redirect) || redirect.Leader != "n1" {
			t.Fatalf("heartbeat at the leader: got %v, want a redirect to n1", err)
		}
		far.serve(b, 2)
		w.submit(a, spec("job-1", 8))
		near.serve(a, 4)
		far.serve(b, 4)
		w.checkEqual("running by forwarded heartbeats", len(far.running()), 4)
		w.checkEqual("running at the leader's machine", len(near.running()), 4)
		far.exit(api.CauseDone)
		far.serve(b, 4)
		w.checkEqual("phase after half of the tasks", w.phase(a, "job-1"), "running")
		l.partitioned.Store(true)
		for i := range 30 {
			if _, err := far.sendHeartbeat(b); err != nil {
				b.inspect(func(c *Controller) { t.Logf("%+v", c.leaseRenewer) })
				t.Fatalf("heartbeat %d s into the partition: %v", i, err)
			}
			near.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-2"), false)
		l.partitioned.Store(false)
		far.serve(b, 3)
		w.submit(a, spec("job-2", 4))
		far.serve(b, 3)
		w.checkEqual("running after the partition", len(far.running()), 4)
		// Redirects from one node to the other and back must end.
		if _, err := far.sendHeartbeat(a); err != nil {
			if _, err = far.sendHeartbeat(a); err != nil {
				t.Errorf("heartbeat repeated at the leader: got %v, want a response", err)
			}
		}
	})
}

// Machines that cannot reach the leader, while the other nodes can, are kept: they send heartbeats to
// another node, which forwards them. A machine that may not know the leader is redirected to it
// first, and after a while every machine is.
func TestMachinesThatCannotReachTheLeaderAreKept(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, _ := w.startPair()
		k := w.worker("i-1", "", false)
		k.serve(a, 3)
		redirected := func() bool {
			var redirect *api.NotLeaderError
			_, err := k.sendHeartbeat(b)
			return errors.As(err, &redirect) && redirect.Leader == "n0"
		}
		w.checkEqual("redirected though it must know the leader", redirected(), false)
		k.status.Machine, k.status.Term = "i-2", 0
		w.checkEqual("redirected", redirected(), true)
		w.checkEqual("redirected again at once", redirected(), true)
		time.Sleep(5 * time.Second)
		w.submit(a, spec("job-1", 4))
		k.serve(b, 20)
		w.checkEqual("running", len(k.running()), 4)
		k.exit(api.CauseDone)
		k.serve(b, 3)
		w.checkEqual("done", w.phase(a, "job-1"), "done")
		time.Sleep(time.Minute)
		w.checkEqual("redirected after a minute", redirected(), true)
		w.checkEqual("terminated", w.cloud.terminated("i-2"), false)
	})
}

// When only the connections between the nodes are refused, machines are redirected to the leader,
// those of its own zone, too. A machine that returns, because it cannot reach the leader either, has
// its task lease renewed.
func TestMachinesAreRedirectedWhenNodesRefuseConnections(t *testing.T) {
	for _, zone := range []string{"b", "a"} {
		t.Run("machine of zone "+zone, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				l, a, b, _, _ := w.startPair("a", "b")
				far := w.worker("i-2", zone, false)
				far.serve(a, 3)
				far.serve(b, 3)
				l.refuseConnections.Store(true)
				l.partitioned.Store(true)
				var redirect *api.NotLeaderError
				redirects := 0
				for range 20 {
					_, err := far.sendHeartbeat(b)
					if errors.As(err, &redirect) && redirect.Leader == "n0" {
						redirects++
					} else if err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
				}
				w.checkEqual("redirects", redirects, 1)
				if _, err := far.sendHeartbeat(a); err != nil {
					t.Errorf("heartbeat at the leader: got %v, want a response", err)
				}
			})
		})
	}
}

// partitionZones partitions zone a, with the leader n0 and machine near, from zone b, with the follower
// n1 and machine far, whose heartbeats are relayed through the key-value store.
func (w *simulatedCluster) partitionZones() (l *links, a, b *node, gb *gate, near, far *worker) {
	l, a, b, _, gb = w.startPair("a", "b")
	near, far = w.worker("i-1", "a", false), w.worker("i-2", "b", false)
	near.serve(a, 3)
	far.serve(a, 2)
	far.serve(b, 2)
	l.partitioned.Store(true)
	heartbeatBothSides(a, b, near, far, 5)
	return l, a, b, gb, near, far
}

// While the zones are partitioned but both reach the key-value store, work goes on beyond the
// partition: heartbeats and commands are relayed through the store.
func TestWorkGoesOnBeyondThePartition(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, near, far := w.partitionZones()
		w.submit(a, spec("job-1", 12))
		heartbeatBothSides(a, b, near, far, 8)
		w.checkEqual("running on both sides", len(near.running())+len(far.running()), 8)
		for range 2 {
			far.exit(api.CauseDone)
			heartbeatBothSides(a, b, near, far, 8)
		}
		w.checkEqual("running beyond the partition in the end", len(far.running()), 0)
		near.exit(api.CauseDone)
		near.serve(a, 3)
		w.checkEqual("phase", w.phase(a, "job-1"), "done")
		w.submit(a, spec("job-2", 8))
		heartbeatBothSides(a, b, near, far, 6)
		if _, err := b.Cancel(context.Background(), "job-2"); err != nil {
			t.Error(err)
		}
		heartbeatBothSides(a, b, near, far, 6)
		w.checkEqual("running on both sides after the cancellation", len(near.running())+len(far.running()), 0)
		l.partitioned.Store(false)
		time.Sleep(2 * time.Second)
		far.serve(b, 3)
		w.submit(a, spec("job-3", 8))
		heartbeatBothSides(a, b, near, far, 4)
		w.checkEqual("running after the partition", len(near.running())+len(far.running()), 8)
	})
}

// Commands that are relayed through the key-value store may be handed out later than any heartbeat
// shows: until the node has reported their outcome, their tasks start nowhere else.
func TestRelayedCommandsStartTasksOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, near, far := w.partitionZones()
		w.fillNearMachine(a, near)
		time.Sleep(3 * time.Second) // commands are relayed, not handed out yet
		pending := false
		a.inspect(func(c *Controller) { pending = len(c.leaderTerm.downlink.nodes["n1"].pending) > 0 })
		far.heartbeat(b) // hands them out, if they have arrived by now
		if !pending && len(far.running()) == 0 {
			far.heartbeat(b)
			time.Sleep(1500 * time.Millisecond)
		}
		// The machine also reaches the leader, with a heartbeat that shows no tasks.
		blank := far.status
		blank.Tasks = nil
		blank.Seq++
		far.status.Seq++
		if commands, err := far.deliver(a, &blank); err == nil {
			far.applyCommands(commands)
		}
		near.exit(api.CauseDone)
		starts := map[string]int{}
		for range 12 {
			for _, command := range near.heartbeat(a) {
				if command.Verb == api.VerbStart {
					starts[command.Task]++
				}
			}
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		for _, task := range far.running() {
			starts[task]++
		}
		w.checkEqual("starts of each task", starts, map[string]int{"job-1/0": 1, "job-1/1": 1})
		l.partitioned.Store(false)
	})
}

// fillNearMachine fills the machine near with a job of its own zone, then submits job-1, whose two tasks
// fit only beyond the partition.
func (w *simulatedCluster) fillNearMachine(a *node, near *worker) {
	w.t.Helper()
	busy := spec("job-0", 4)
	busy.Zone = "a"
	w.submit(a, busy)
	near.serve(a, 2)
	w.submit(a, spec("job-1", 2))
}

// checkNoStart checks that none of the commands starts a task.
func (w *simulatedCluster) checkNoStart(what string, commands []api.Command) {
	w.t.Helper()
	for _, command := range commands {
		w.checkEqual(what, command.Verb == api.VerbStart, false)
	}
}

// waitForRelayedCommands waits up to 8 s until a node has received commands for a machine, and returns
// how many. The machine sends one heartbeat at the start.
func waitForRelayedCommands(n *node, k *worker) (count int) {
	k.heartbeat(n)
	for i := 0; count == 0 && i < 8; i++ {
		time.Sleep(time.Second)
		n.inspect(func(c *Controller) {
			if m := c.uplink.machines[k.status.Machine]; m != nil {
				count = len(m.commands)
			}
		})
	}
	return count
}

// A node that restarts has lost the commands relayed to it, and one that loses the key-value store
// hands out no expired ones.
func TestRelayedCommandsAreLostOrExpire(t *testing.T) {
	for _, c := range []struct {
		name  string
		crash bool
	}{
		{"the node restarts", true},
		{"the commands expire", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				l, a, b, gb, near, far := w.partitionZones()
				w.fillNearMachine(a, near)
				w.checkEqual("commands received by the node", waitForRelayedCommands(b, far) > 0, true)
				if c.crash {
					b.crash()
					time.Sleep(200 * time.Millisecond)
					b = l.add("n1", w.startWith("n1", gb, l))
				} else {
					time.Sleep(relayCommandLifetime + 2*time.Second)
				}
				// The node may reject the heartbeat; then it hands out nothing.
				commands, _ := far.sendHeartbeat(b)
				w.checkNoStart("late start", commands)
				l.partitioned.Store(false)
				near.exit(api.CauseDone)
				for range 12 {
					near.heartbeat(a)
					far.heartbeatEither(a, b)
					time.Sleep(time.Second)
				}
				w.checkEqual("running", len(near.running())+len(far.running()), 2)
			})
		})
	}
}

// A node that crashes after commands were relayed to it, and does not restart, reports no outcome: its
// machine is terminated, and only then the tasks start elsewhere.
func TestRelayingNodeCrashesWithoutRestart(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, near, far := w.partitionZones()
		w.fillNearMachine(a, near)
		pending := false
		for i := 0; !pending && i < 40; i++ {
			if i%5 == 0 {
				far.heartbeat(b)
			}
			time.Sleep(200 * time.Millisecond)
			a.inspect(func(c *Controller) { pending = len(c.leaderTerm.downlink.nodes["n1"].pending) > 0 })
		}
		w.checkEqual("commands pending", pending, true)
		b.crash()
		near.exit(api.CauseDone)
		for range 40 {
			if w.cloud.terminated("i-2") {
				break
			}
			w.checkNoStart("start while the relayed command may apply", near.heartbeat(a))
			far.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("terminated", w.cloud.terminated("i-2"), true)
		near.serve(a, 3)
		w.checkEqual("running", len(near.running()), 2)
	})
}

// A machine beyond the partition sends heartbeats more often than commands take to arrive, while jobs
// keep being submitted: no command is overwritten by a later one, and none is handed out to a new
// agent epoch.
func TestRelayedCommandsAreNotOverwritten(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, _, far := w.partitionZones()
		for i := range 60 {
			if i < 20 {
				w.submit(a, spec(fmt.Sprint("job-", i), 1))
			}
			if i%4 == 3 {
				far.exit(api.CauseDone)
			}
			if i == 30 {
				far.mu.Lock()
				far.status.AgentEpoch++
				far.status.Tasks = nil
				far.mu.Unlock()
				// The node may reject the heartbeat; then it hands out nothing.
				commands, _ := far.sendHeartbeat(b)
				w.checkNoStart("start in a new agent epoch", commands)
			}
			far.heartbeat(b)
			time.Sleep(200 * time.Millisecond)
		}
		l.partitioned.Store(false)
		for range 12 {
			far.exit(api.CauseDone)
			far.heartbeatEither(a, b)
			time.Sleep(time.Second)
		}
		for i := range 20 {
			w.checkEqual(fmt.Sprint("phase of job-", i), w.phase(a, fmt.Sprint("job-", i)), "done")
		}
		w.checkEqual("terminated", w.cloud.terminated("i-2"), false)
	})
}

// During a partition the leader restarts, and then the node beyond the partition: the machines there
// keep their tasks, learn the new term, and have their heartbeats relayed through the key-value store.
func TestRestartsDuringAPartition(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, gb, near, far := w.partitionZones()
		w.submit(a, spec("job-1", 8))
		heartbeatBothSides(a, b, near, far, 8)
		w.checkEqual("running", len(near.running())+len(far.running()), 8)
		term := far.status.Term
		a.crash()
		time.Sleep(200 * time.Millisecond)
		a = l.add("n0", w.startWith("n0", w.store, l))
		heartbeatBothSides(a, b, near, far, 8)
		w.checkEqual("later term beyond the partition", far.status.Term > term, true)
		w.checkEqual("running under the new leader", len(far.running()), 4)
		b.crash()
		time.Sleep(200 * time.Millisecond)
		b = l.add("n1", w.startWith("n1", gb, l))
		time.Sleep(4 * time.Second)
		heartbeatBothSides(a, b, near, far, 4)
		if _, err := far.sendHeartbeat(b); err != nil {
			t.Errorf("heartbeat at the restarted node: got %v, want a response", err)
		}
		w.checkEqual("running after the node's restart", len(far.running()), 4)
	})
}
