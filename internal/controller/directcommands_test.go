package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// batchMode says what becomes of the command batches of a fakeCommandSender.
type batchMode int

const (
	deliverBatches batchMode = iota
	rejectBatches
	delayBatches // until applyDelayed; their outcome is unknown to the sender
)

// fakeCommandSender delivers command batches and resyncs to simulated machines.
type fakeCommandSender struct {
	mu       sync.Mutex
	machines map[string]*worker
	mode     batchMode
	delayed  []func() uint64
	sent     int // batches since takeSentCount
}

// SendCommands implements CommandSender.
func (s *fakeCommandSender) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	s.mu.Lock()
	s.sent++
	if s.mode == rejectBatches {
		s.mu.Unlock()
		return 0, api.ErrCommandsNotApplied
	}
	k := s.machines[addr]
	apply := func() uint64 {
		k.mu.Lock()
		defer k.mu.Unlock()
		// As an agent does: its fencing token must not be higher, its agent epoch the same.
		if k.status.Term > batch.Term || k.status.AgentEpoch != batch.AgentEpoch {
			return 0
		}
		k.status.Term = batch.Term
		k.applyCommandsLocked(batch.Commands)
		k.status.Seq++
		return k.status.Seq
	}
	if s.mode == delayBatches {
		s.delayed = append(s.delayed, apply)
		s.mu.Unlock()
		<-ctx.Done()
		return 0, api.ErrCommandsOutcomeUnknown
	}
	defer s.mu.Unlock()
	if seq := apply(); seq != 0 {
		return seq, nil
	}
	return 0, api.ErrCommandsNotApplied
}

// Resync implements CommandSender. A machine that is dead does not respond.
func (s *fakeCommandSender) Resync(_ context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.machines[addr]
	if _, dead := k.w.dead.Load(addr); dead {
		return nil, api.ErrCommandsNotApplied
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.status.Term > term {
		return nil, api.ErrCommandsNotApplied
	}
	k.status.Term = term
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	return &hb, nil
}

func (s *fakeCommandSender) setMode(mode batchMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// takeSentCount returns the number of batches sent since its last call.
func (s *fakeCommandSender) takeSentCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = 0
	return sent
}

// applyDelayed delivers the delayed batches, and returns how many were applied.
func (s *fakeCommandSender) applyDelayed() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.delayed {
		if apply() != 0 {
			applied++
		}
	}
	s.delayed = nil
	return applied
}

// useFakeCommandSender makes machines send a heartbeat every 5 s, so that starts go out in
// command batches. It must precede the start of the first node.
func (w *simulatedCluster) useFakeCommandSender() *fakeCommandSender {
	sender := &fakeCommandSender{machines: map[string]*worker{}}
	w.commandSender, w.heartbeatS = sender, 5
	return sender
}

// startWithSlowHeartbeats starts a node and some machines that send a heartbeat every 5 s.
func (w *simulatedCluster) startWithSlowHeartbeats(machines int) (*node, *fakeCommandSender, []*worker) {
	sender := w.useFakeCommandSender()
	n := w.start("n0")
	ks := make([]*worker, machines)
	for i := range ks {
		ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		sender.machines[ks[i].status.Machine] = ks[i]
		ks[i].serve(n, 3)
	}
	return n, sender, ks
}

// newFleet adds machines that a sender reaches, without a heartbeat yet.
func (w *simulatedCluster) newFleet(sender *fakeCommandSender, machines int) []*worker {
	ks := make([]*worker, machines)
	for i := range ks {
		ks[i] = w.worker(fmt.Sprintf("i-%04d", i), "a", false)
		sender.machines[ks[i].status.Machine] = ks[i]
	}
	return ks
}

// countRunning sums up the tasks that run on some machines.
func countRunning(ks ...*worker) (running int) {
	for _, k := range ks {
		running += len(k.running())
	}
	return running
}

// Work starts at once where heartbeats are infrequent. A heartbeat that was in transit while the
// commands were applied, and so does not show their tasks, changes nothing.
func TestCommandBatchStartsTasksBetweenHeartbeats(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, ks := w.startWithSlowHeartbeats(2)
		stale := ks[0].status // in transit while the commands are applied
		stale.Seq++
		ks[0].status.Seq++
		w.submit(n, spec("job-1", 6))
		time.Sleep(time.Second)
		w.checkEqual("running", countRunning(ks...), 6)
		if _, err := ks[0].deliver(n, &stale); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for _, k := range ks {
			for _, cmd := range k.heartbeat(n) {
				w.checkEqual("command after the stale heartbeat", cmd, nil)
			}
		}
		w.checkEqual("running after the stale heartbeat", countRunning(ks...), 6)
		sender.setMode(rejectBatches)
		w.submit(n, spec("job-2", 1))
		time.Sleep(time.Second)
		ks[0].serve(n, 6)
		ks[1].serve(n, 1)
		w.checkEqual("running once a heartbeat response brought the rejected start", countRunning(ks...), 7)
	})
}

// A command whose outcome is unknown may be applied minutes later. Its task starts nowhere else,
// and its machine gets nothing more, until the machine's agent epoch has ended or it is
// terminated; heartbeats that do not show the task prove nothing.
func TestCommandOfUnknownOutcomeReservesItsTask(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, ks := w.startWithSlowHeartbeats(2)
		busy, other := fillOneMachine(w, n, ks)
		w.cloud.rejectTerminate = true
		sender.setMode(delayBatches)
		w.submit(n, spec("job-2", 1))
		time.Sleep(500 * time.Millisecond)
		w.checkEqual("commands while the batch is in transit", len(other.heartbeat(n)), 0)
		time.Sleep(2500 * time.Millisecond)
		sender.setMode(deliverBatches)
		busy.exit(api.CauseDone)
		for range 20 {
			for _, cmd := range append(busy.heartbeat(n), other.heartbeat(n)...) {
				w.checkEqual("started again", cmd.Verb == api.VerbStart, false)
			}
			time.Sleep(time.Second)
		}
		w.submit(n, spec("job-4", 6))
		busy.serve(n, 2)
		other.serve(n, 2)
		w.checkEqual("more tasks on the machine of the command", countRunning(other), 0)
		w.checkEqual("applied late", sender.applyDelayed(), 1)
		w.checkEqual("running once applied", other.running(), []string{"job-2/0"})
		other.serve(n, 2)
		other.exit(api.CauseDone)
		other.serve(n, 3)
		w.checkEqual("phase", w.phase(n, "job-2"), "done")
		busy.exit(api.CauseDone)
		busy.serve(n, 3)
		busy.exit(api.CauseDone)
		busy.serve(n, 2)
		checkNewAgentEpochRejectsDelayed(w, n, sender, busy)
	})
}

// fillOneMachine fills one of two machines with tasks of job-1.
func fillOneMachine(w *simulatedCluster, n *node, ks []*worker) (busy, other *worker) {
	w.t.Helper()
	s := spec("job-1", 4)
	s.Zone = "a"
	w.submit(n, s)
	time.Sleep(time.Second)
	busy, other = ks[0], ks[1]
	if len(busy.running()) == 0 {
		busy, other = other, busy
	}
	w.checkEqual("tasks on the full machine", countRunning(busy), 4)
	return busy, other
}

// checkNewAgentEpochRejectsDelayed checks that a machine rejects a delayed batch for good once its
// agent epoch has grown, and that the task of the batch then starts on it or on a third machine.
func checkNewAgentEpochRejectsDelayed(w *simulatedCluster, n *node, sender *fakeCommandSender, k *worker) {
	w.t.Helper()
	third := w.worker("i-3", "a", false)
	sender.machines["i-3"] = third
	third.serve(n, 3)
	k.serve(n, 1)
	sender.setMode(delayBatches)
	w.submit(n, spec("job-3", 1))
	time.Sleep(3 * time.Second)
	sender.setMode(deliverBatches)
	restarted := k
	n.inspect(func(c *Controller) {
		for _, a := range c.leaderTerm.jobs["job-3"].ActiveAttempts {
			restarted = sender.machines[a.Machine.Name]
		}
	})
	restarted.status.AgentEpoch++
	restarted.status.Tasks = nil
	restarted.heartbeat(n)
	w.checkEqual("applied in a new agent epoch", sender.applyDelayed(), 0)
	k.serve(n, 3)
	third.serve(n, 3)
	w.checkEqual("running after the new agent epoch", countRunning(k, third), 1)
}

// Guards against paying for machines without end: a command of unknown outcome is applied late,
// its tasks run and end, and the machine is then terminated. Found in an upgrade whose command
// batches were delayed: about a hundred of 240 machines got no more work, and up to 55 were never
// terminated.
func TestCommandOfUnknownOutcomeAppliedLateFreesItsMachine(t *testing.T) {
	for _, cause := range []string{api.CauseDone, api.CauseError} {
		t.Run(cause, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n, sender, ks := w.startWithSlowHeartbeats(1)
				late := ks[0]
				w.submit(n, spec("job-0", 1)) // keeps the machine in use
				late.serve(n, 2)
				sender.setMode(delayBatches)
				w.submit(n, spec("job-1", 1))
				time.Sleep(3 * time.Second)
				sender.setMode(deliverBatches)
				w.checkEqual("applied late", sender.applyDelayed(), 1)
				late.serve(n, 2)
				w.checkEqual("running", late.running(), []string{"job-0/0", "job-1/0"})
				w.checkEqual("terminated while its tasks run", w.cloud.terminated("i-0"), false)
				late.exit(cause)
				late.serve(n, 6)
				w.checkEqual("terminated after its tasks", w.cloud.terminated("i-0"), true)
			})
		})
	}
}

// A job is cancelled while the outcome of a start of it is unknown: only the machine's
// termination keeps the task from starting too late.
func TestCancelledJobWithCommandOfUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		name        string
		cancelFirst bool
	}{
		{"cancelled after the batch timed out", false},
		{"cancelled while the batch is in transit", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n, sender, ks := w.startWithSlowHeartbeats(1)
				w.submit(n, spec("job-0", 1)) // keeps the machine in use
				time.Sleep(time.Second)
				ks[0].heartbeat(n)
				sender.setMode(delayBatches)
				w.submit(n, spec("job-1", 1))
				if !c.cancelFirst {
					time.Sleep(3 * time.Second)
					w.checkEqual("terminated before the cancellation", w.cloud.terminated("i-0"), false)
				}
				if _, err := n.Cancel(w.t.Context(), "job-1"); err != nil {
					w.t.Fatal(err)
				}
				heartbeatAll(ks, n, 4)
				w.checkEqual("terminated after the cancellation", w.cloud.terminated("i-0"), true)
			})
		})
	}
}

// Under a new leader every machine that it has fenced rejects an earlier leader's command, so it
// needs no memory of it.
func TestFencedMachineRejectsCommandOfEarlierTerm(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, ks := w.startWithSlowHeartbeats(2)
		sender.setMode(delayBatches)
		w.submit(first, spec("job-1", 1))
		time.Sleep(time.Second)
		first.crash()
		sender.setMode(deliverBatches)
		second := w.start("n0")
		heartbeatAll(ks, second, 4)
		w.checkEqual("running", countRunning(ks...), 1)
		w.checkEqual("applied late", sender.applyDelayed(), 0)
	})
}

// A new leader resyncs the machines of the registry, and so fences them without waiting for their
// heartbeats; one that does not respond is terminated, and only then its tasks start elsewhere. A
// resync's response cannot carry commands, so none are given for a solicited heartbeat.
func TestTakeoverResyncsMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, ks := w.startWithSlowHeartbeats(40)
		w.submit(first, spec("job-1", 8))
		time.Sleep(2 * time.Second)
		for _, k := range ks {
			k.heartbeat(first)
		}
		var busy, idle []*worker
		for _, k := range ks {
			if len(k.running()) > 0 {
				busy = append(busy, k)
			} else {
				idle = append(idle, k)
			}
		}
		w.checkEqual("busy machines", len(busy), 2)
		first.crash()
		w.dead.Store(busy[0].status.Machine, true)
		second := w.start("n0")
		w.submit(second, spec("job-2", 3))
		time.Sleep(time.Second)
		second.inspect(func(c *Controller) { w.checkEqual("unfenced after a second", c.leaderTerm.unfenced, 1) })
		w.checkEqual("tasks of the fenced machine still run", countRunning(busy[1]) >= 4, true)
		time.Sleep(4 * time.Second)
		w.checkEqual("terminated", w.cloud.terminated(busy[0].status.Machine), true)
		for _, k := range idle {
			k.heartbeat(second)
		}
		w.checkEqual("running", countRunning(busy[1])+countRunning(idle...), 11)
		sender.setMode(rejectBatches) // the next job waits for heartbeats
		w.submit(second, spec("job-3", 1))
		time.Sleep(4 * time.Second)
		second.inspect(func(c *Controller) {
			m := c.leaderTerm.machines[idle[5].status.Machine]
			hb := idle[5].status
			hb.Seq, hb.AgentEpoch = m.HeartbeatSeq+1, m.AgentEpoch
			applyResyncResult(c, m, &hb)
			w.checkEqual("attempts assigned by a resync", len(m.Attempts), 0)
		})
	})
}

// applyResyncResult makes a leader handle the response of a machine to a resync.
func applyResyncResult(c *Controller, m *cluster.Machine, hb *api.Heartbeat) {
	request := c.leaderTerm.detector.BeginResync(m, time.Now())
	resyncResultMsg{c.leaderTerm, request, hb, nil}.apply(c)
}

// A resync's response may be created while the response to the machine's agent-initiated
// heartbeat, with a start in it, is still in transit to the machine. It is the newer message and
// does not show the task; taken for proof that the start was lost, the task would start elsewhere
// while it starts here. Seen when a leader had 700 machines to resync and responded late.
func TestResyncDuringHeartbeatResponse(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, ks := w.startWithSlowHeartbeats(2)
		first.crash()
		sender.setMode(rejectBatches) // only heartbeat responses bring starts
		second := w.start("n0")
		ks[0].serve(second, 2)
		ks[1].serve(second, 2)
		resync := func(k *worker) {
			var err error
			second.inspect(func(c *Controller) {
				m := c.leaderTerm.machines[k.status.Machine]
				var hb *api.Heartbeat
				if hb, err = sender.Resync(w.t.Context(), m.Addr, c.leaderTerm.term.Number); err == nil {
					applyResyncResult(c, m, hb)
				}
			})
			if err != nil {
				w.t.Fatal(err)
			}
		}
		w.submit(second, spec("job-1", 4))
		time.Sleep(6 * time.Second) // the rejected batches keep commands from the machines
		commands, err := ks[0].sendHeartbeat(second)
		if err != nil || len(commands) != 4 {
			w.t.Fatalf("got commands %v, error %v, want 4 commands", commands, err)
		}
		resync(ks[0])
		ks[1].serve(second, 3)
		w.checkEqual("running elsewhere", ks[1].running(), []string(nil))
		ks[0].applyCommands(commands)
		ks[0].serve(second, 2)
		w.checkEqual("running", countRunning(ks[0]), 4)

		// The loss of a response shows in the machine's next agent-initiated heartbeat, or in its
		// next agent epoch, even if a resync shows that.
		w.submit(second, spec("job-2", 2))
		time.Sleep(6 * time.Second)
		lost, err := ks[1].sendHeartbeat(second)
		if err != nil || len(lost) != 2 {
			w.t.Fatalf("got commands %v, error %v, want 2 commands", lost, err)
		}
		ks[1].status.AgentEpoch, ks[1].status.Seq = ks[1].status.AgentEpoch+1, 0
		resync(ks[1])
		second.inspect(func(c *Controller) {
			w.checkEqual("untaken again", c.leaderTerm.jobs["job-2"].Flight.Untaken(), 2)
		})
		ks[1].serve(second, 6)
		w.checkEqual("started again", countRunning(ks[1]), 2)
	})
}

// A fleet as large as any: a crash, machines that die together, and a second crash in the middle
// of the takeover. All that live are fenced by resyncs, none of them is terminated, and no task
// starts again while it may run.
func TestTakeoverOfALargeFleet(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const machines, dead = 1100, 100
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 5000, 5000
		sender := w.useFakeCommandSender()
		first := w.start("n0")
		w.submit(first, spec("job-1", 5000))
		ks := w.newFleet(sender, machines)
		for range 4 {
			heartbeatAndCountTasks(w, first, ks, sender.machines)
		}
		w.checkEqual("running", heartbeatAndCountTasks(w, first, ks, sender.machines), 4*machines)
		first.crash()
		for _, k := range ks[:dead] {
			w.dead.Store(k.status.Machine, true)
		}
		second := w.start("n0") // leads for half a second
		second.crash()
		third := w.start("n0")
		time.Sleep(500 * time.Millisecond)
		third.inspect(func(c *Controller) {
			w.checkEqual("only dead machines unfenced after a second", c.leaderTerm.unfenced <= dead, true)
		})
		live := ks[dead:]
		for range 6 {
			heartbeatAndCountTasks(w, third, live, sender.machines)
		}
		third.inspect(func(c *Controller) { w.checkEqual("unfenced", c.leaderTerm.unfenced, 0) })
		w.checkEqual("terminated", len(w.cloud.terminatedNames), dead)
		running := heartbeatAndCountTasks(w, third, live, sender.machines)
		w.checkEqual("running after the takeover", running, 4*(machines-dead))
	})
}

// heartbeatAndCountTasks sends a heartbeat from each of ks, and checks a second later that no task
// runs twice on those of all machines that are not terminated. It returns how many run.
func heartbeatAndCountTasks(w *simulatedCluster, n *node, ks []*worker, all map[string]*worker) int {
	w.t.Helper()
	for _, k := range ks {
		k.heartbeat(n)
	}
	time.Sleep(time.Second)
	seen := map[string]bool{}
	for _, k := range all {
		if w.cloud.terminated(k.status.Machine) {
			continue
		}
		for _, task := range k.running() {
			if seen[task] {
				w.t.Fatalf("%s runs twice", task)
			}
			seen[task] = true
		}
	}
	return len(seen)
}

// A leader whose command batches reach no machine keeps nearly all tasks and capacity out of
// batches that cannot arrive, and does not confirm as dead the first machines that it suspects.
// Those whose heartbeats another node forwards get their starts in heartbeat responses.
func TestLeaderWhoseCommandBatchesReachNoMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const machines = 50
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 500, 500
		sender := w.useFakeCommandSender()
		n := w.start("n0")
		w.submit(n, spec("job-1", machines))
		ks := w.newFleet(sender, machines)
		for range 4 { // heartbeats spread over 5 s
			for _, k := range ks {
				k.heartbeat(n)
				time.Sleep(5 * time.Second / machines)
			}
		}
		for _, k := range ks {
			w.dead.Store(k.status.Machine, true)
		}
		sender.setMode(rejectBatches)
		sender.takeSentCount()
		w.submit(n, spec("job-2", 100))
		for range 9 {
			w.submit(n, spec(fmt.Sprint("job-3", time.Now().Unix()), 1))
			time.Sleep(800 * time.Millisecond)
		}
		if sent := sender.takeSentCount(); sent == 0 || sent > 40 {
			w.t.Errorf("got %d command batches, want 1 to 40", sent)
		}
		w.checkEqual("confirmed dead", w.cloud.terminatedNames, []string(nil))
		sender.setMode(deliverBatches)
		sender.takeSentCount()
		for range 3 {
			for _, k := range ks {
				forwardHeartbeat(w.t, n, k)
			}
			time.Sleep(2 * time.Second)
		}
		w.checkEqual("running", countRunning(ks...), machines+100+9)
		w.submit(n, spec("job-4", 4))
		time.Sleep(time.Second)
		w.checkEqual("batches to machines out of reach", sender.takeSentCount(), 0)
	})
}

// forwardHeartbeat sends a machine's heartbeat to the leader as another node forwards it.
func forwardHeartbeat(t *testing.T, leader *node, k *worker) {
	t.Helper()
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	response, err := leader.ForwardedHeartbeat(t.Context(), &hb)
	if err != nil {
		t.Fatal(err)
	}
	k.applyCommands(response.Commands)
}
