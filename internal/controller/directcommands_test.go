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

// batchMode is how a fakeCommandSender treats command batches.
type batchMode int

const (
	// deliverBatches delivers batches immediately.
	deliverBatches batchMode = iota
	// rejectBatches fails batches with ErrCommandsNotApplied.
	rejectBatches
	// delayBatches keeps batches until applyDelayed. To the leader, their outcome is unknown.
	delayBatches
)

// fakeCommandSender delivers command batches and resyncs to simulated machines.
type fakeCommandSender struct {
	mu       sync.Mutex
	machines map[string]*worker
	mode     batchMode
	delayed  []func() uint64
	// delivered are the batches that were delivered immediately, for deliverCopies.
	delivered []func() uint64
	sent      int // number of batches since the last takeSentCount
}

// SendCommands implements CommandSender.
func (s *fakeCommandSender) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	s.mu.Lock()
	s.sent++
	if s.mode == rejectBatches {
		s.mu.Unlock()
		return 0, api.ErrCommandsNotApplied
	}
	agent := s.machines[addr]
	apply := func() uint64 {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		// Like an agent, reject batches of an earlier term or another agent epoch.
		if agent.status.Token > batch.Token || agent.status.AgentEpoch != batch.AgentEpoch {
			return 0
		}
		agent.status.Token = batch.Token
		agent.applyCommandsLocked(batch.Commands)
		agent.status.Seq++
		return agent.status.Seq
	}
	if s.mode == delayBatches {
		s.delayed = append(s.delayed, apply)
		s.mu.Unlock()
		<-ctx.Done()
		return 0, api.ErrCommandsOutcomeUnknown
	}
	defer s.mu.Unlock()
	s.delivered = append(s.delivered, apply)
	if seq := apply(); seq != 0 {
		return seq, nil
	}
	return 0, api.ErrCommandsNotApplied
}

// addMachine adds a machine that the sender reaches.
func (s *fakeCommandSender) addMachine(agent *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[agent.status.Machine] = agent
}

// deliverCopies delivers all batches that were delivered immediately once more.
func (s *fakeCommandSender) deliverCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.delivered {
		apply()
	}
}

// Resync implements CommandSender. Dead machines do not respond.
func (s *fakeCommandSender) Resync(_ context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	agent := s.machines[addr]
	if _, dead := agent.cluster.dead.Load(addr); dead {
		return nil, api.ErrCommandsNotApplied
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.status.Token > term {
		return nil, api.ErrCommandsNotApplied
	}
	agent.status.Token = term
	agent.status.Seq++
	hb := agent.status
	hb.Tasks = slices.Clone(agent.status.Tasks)
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

// applyDelayed delivers the delayed batches and returns how many of them were applied.
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

// useFakeCommandSender sets a heartbeat interval of 5 s, so that the leader sends starts in command
// batches, and returns their sender. It must be called before the first node starts.
func (w *simulatedCluster) useFakeCommandSender() *fakeCommandSender {
	sender := &fakeCommandSender{machines: map[string]*worker{}}
	w.commandSender, w.heartbeatS = sender, 5
	return sender
}

// startWithSlowHeartbeats starts a node and adds machines with a heartbeat interval of 5 s.
func (w *simulatedCluster) startWithSlowHeartbeats(machines int) (*node, *fakeCommandSender, []*worker) {
	sender := w.useFakeCommandSender()
	n := w.start("n0")
	agents := make([]*worker, machines)
	for i := range agents {
		agents[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		sender.machines[agents[i].status.Machine] = agents[i]
		agents[i].heartbeatFor(n, 3)
	}
	return n, sender, agents
}

// newFleet adds machines that the sender reaches and that have not sent a heartbeat yet.
func (w *simulatedCluster) newFleet(sender *fakeCommandSender, machines int) []*worker {
	agents := make([]*worker, machines)
	for i := range agents {
		agents[i] = w.worker(fmt.Sprintf("i-%04d", i), "a", false)
		sender.machines[agents[i].status.Machine] = agents[i]
	}
	return agents
}

// countRunning returns the number of tasks that run on the machines.
func countRunning(agents ...*worker) (running int) {
	for _, agent := range agents {
		running += len(agent.running())
	}
	return running
}

// Guards against starts that wait for the next heartbeat if the heartbeat interval is long. Also guards
// against tasks that count as lost because a heartbeat that was sent before their start commands were
// applied reaches the leader afterwards.
func TestCommandBatchStartsTasksBetweenHeartbeats(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(2)
		stale := agents[0].status // in transit while the commands are applied
		stale.Seq++
		agents[0].status.Seq++
		w.submit(n, spec("job-1", 6))
		time.Sleep(time.Second)
		w.checkEqual("running", countRunning(agents...), 6)
		if _, err := agents[0].deliver(n, &stale); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for _, agent := range agents {
			for _, cmd := range agent.heartbeat(n) {
				w.checkEqual("command after the stale heartbeat", cmd, nil)
			}
		}
		w.checkEqual("running after the stale heartbeat", countRunning(agents...), 6)
		sender.setMode(rejectBatches)
		w.submit(n, spec("job-2", 1))
		time.Sleep(time.Second)
		agents[0].heartbeatFor(n, 6)
		agents[1].heartbeatFor(n, 1)
		w.checkEqual("running once a heartbeat response carried the rejected start", countRunning(agents...), 7)
	})
}

// Guards against duplicated tasks after a command whose outcome is unknown, which may be applied minutes
// later. Until the machine's agent epoch ends or the machine is terminated, the task must not start
// elsewhere and the machine must not be assigned more tasks. Heartbeats that do not show the task are
// no evidence that the command was lost.
func TestCommandOfUnknownOutcomeReservesItsTask(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(2)
		busy, other := fillOneMachine(w, n, agents)
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
		busy.heartbeatFor(n, 2)
		other.heartbeatFor(n, 2)
		w.checkEqual("tasks on the machine with the unknown outcome", countRunning(other), 0)
		w.checkEqual("applied late", sender.applyDelayed(), 1)
		w.checkEqual("running once applied", other.running(), []string{"job-2/0"})
		other.heartbeatFor(n, 2)
		other.exit(api.CauseDone)
		other.heartbeatFor(n, 3)
		w.checkEqual("phase", w.phase(n, "job-2"), "done")
		busy.exit(api.CauseDone)
		busy.heartbeatFor(n, 3)
		busy.exit(api.CauseDone)
		busy.heartbeatFor(n, 2)
		checkNewAgentEpochRejectsDelayed(w, n, sender, busy)
	})
}

// fillOneMachine fills one of two machines with tasks of job-1, and returns this one first.
func fillOneMachine(w *simulatedCluster, n *node, agents []*worker) (busy, other *worker) {
	w.t.Helper()
	jobSpec := spec("job-1", 4)
	jobSpec.Zone = "a"
	w.submit(n, jobSpec)
	time.Sleep(time.Second)
	busy, other = agents[0], agents[1]
	if len(busy.running()) == 0 {
		busy, other = other, busy
	}
	w.checkEqual("tasks on the full machine", countRunning(busy), 4)
	return busy, other
}

// checkNewAgentEpochRejectsDelayed checks that a machine rejects a delayed batch once it has a new agent
// epoch, and that the task of the batch then starts on that machine or on a third one.
func checkNewAgentEpochRejectsDelayed(w *simulatedCluster, n *node, sender *fakeCommandSender, agent *worker) {
	w.t.Helper()
	third := w.worker("i-3", "a", false)
	sender.machines["i-3"] = third
	third.heartbeatFor(n, 3)
	agent.heartbeatFor(n, 1)
	sender.setMode(delayBatches)
	w.submit(n, spec("job-3", 1))
	time.Sleep(3 * time.Second)
	sender.setMode(deliverBatches)
	restarted := agent
	n.inspect(func(c *Controller) {
		for _, a := range c.leaderTerm.jobs["job-3"].ActiveAttempts {
			restarted = sender.machines[a.Machine.Name]
		}
	})
	restarted.status.AgentEpoch++
	restarted.status.Tasks = nil
	restarted.heartbeat(n)
	w.checkEqual("applied in a new agent epoch", sender.applyDelayed(), 0)
	agent.heartbeatFor(n, 3)
	third.heartbeatFor(n, 3)
	w.checkEqual("running after the new agent epoch", countRunning(agent, third), 1)
}

// Guards against machines that are never terminated: a command of unknown outcome is applied late, its
// tasks run and end, and the machine must then be terminated. In an upgrade with delayed command
// batches, about a hundred of 240 machines were assigned no more tasks, and up to 55 were never
// terminated.
func TestCommandOfUnknownOutcomeAppliedLateFreesItsMachine(t *testing.T) {
	for _, cause := range []string{api.CauseDone, api.CauseError} {
		t.Run(cause, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n, sender, agents := w.startWithSlowHeartbeats(1)
				machine := agents[0]
				w.submit(n, spec("job-0", 1)) // keeps the machine in use
				machine.heartbeatFor(n, 2)
				sender.setMode(delayBatches)
				w.submit(n, spec("job-1", 1))
				time.Sleep(3 * time.Second)
				sender.setMode(deliverBatches)
				w.checkEqual("applied late", sender.applyDelayed(), 1)
				machine.heartbeatFor(n, 2)
				w.checkEqual("running", machine.running(), []string{"job-0/0", "job-1/0"})
				w.checkEqual("terminated while its tasks run", w.cloud.terminated("i-0"), false)
				machine.exit(cause)
				machine.heartbeatFor(n, 6)
				w.checkEqual("terminated after its tasks", w.cloud.terminated("i-0"), true)
			})
		})
	}
}

// Guards against a task that starts after its job was cancelled. The job is cancelled while the outcome
// of its start is unknown, so only the machine's termination prevents a late start.
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
				n, sender, agents := w.startWithSlowHeartbeats(1)
				w.submit(n, spec("job-0", 1)) // keeps the machine in use
				time.Sleep(time.Second)
				agents[0].heartbeat(n)
				sender.setMode(delayBatches)
				w.submit(n, spec("job-1", 1))
				if !c.cancelFirst {
					time.Sleep(3 * time.Second)
					w.checkEqual("terminated before the cancellation", w.cloud.terminated("i-0"), false)
				}
				if _, err := n.Cancel(w.t.Context(), "job-1"); err != nil {
					w.t.Fatal(err)
				}
				heartbeatAll(agents, n, 4)
				w.checkEqual("terminated after the cancellation", w.cloud.terminated("i-0"), true)
			})
		})
	}
}

// Guards against duplicated tasks after a leader change. The new leader has no record of a command batch
// of the previous leader, so the machines that it has fenced must reject that batch.
func TestFencedMachineRejectsCommandOfEarlierTerm(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, agents := w.startWithSlowHeartbeats(2)
		sender.setMode(delayBatches)
		w.submit(first, spec("job-1", 1))
		time.Sleep(time.Second)
		first.crash()
		sender.setMode(deliverBatches)
		second := w.start("n0")
		heartbeatAll(agents, second, 4)
		w.checkEqual("running", countRunning(agents...), 1)
		w.checkEqual("applied late", sender.applyDelayed(), 0)
	})
}

// Guards against slow takeovers. A new leader must fence the machines of the registry by resyncs, without
// waiting for their heartbeats. A machine that does not respond is terminated, and only then its tasks
// may start elsewhere. A solicited heartbeat has no response that could carry commands, so no tasks may
// be assigned for it.
func TestTakeoverResyncsMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, agents := w.startWithSlowHeartbeats(40)
		w.submit(first, spec("job-1", 8))
		time.Sleep(2 * time.Second)
		for _, agent := range agents {
			agent.heartbeat(first)
		}
		var busy, idle []*worker
		for _, agent := range agents {
			if len(agent.running()) > 0 {
				busy = append(busy, agent)
			} else {
				idle = append(idle, agent)
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
		for _, agent := range idle {
			agent.heartbeat(second)
		}
		w.checkEqual("running", countRunning(busy[1])+countRunning(idle...), 11)
		sender.setMode(rejectBatches) // so that the next job waits for heartbeats
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

// applyResyncResult makes a leader handle a machine's response to a resync.
func applyResyncResult(c *Controller, m *cluster.Machine, hb *api.Heartbeat) {
	request := c.leaderTerm.detector.BeginResync(m, time.Now())
	resyncResultMsg{c.leaderTerm, request, hb, nil}.apply(c)
}

// Guards against duplicated tasks when a machine responds to a resync while the response to its last
// heartbeat, which carries a start, is still in transit to it. The resync response is newer than that
// heartbeat and does not show the task. If the leader took it as evidence that the start was lost, the
// task would also start elsewhere. This happened when a leader had 700 machines to resync and
// responded late.
func TestResyncDuringHeartbeatResponse(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		first, sender, agents := w.startWithSlowHeartbeats(2)
		first.crash()
		sender.setMode(rejectBatches) // so that only heartbeat responses carry starts
		second := w.start("n0")
		agents[0].heartbeatFor(second, 2)
		agents[1].heartbeatFor(second, 2)
		resync := func(agent *worker) {
			var err error
			second.inspect(func(c *Controller) {
				m := c.leaderTerm.machines[agent.status.Machine]
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
		time.Sleep(6 * time.Second) // rejected batches cordon the machines for a while
		commands, err := agents[0].sendHeartbeat(second)
		if err != nil || len(commands) != 4 {
			w.t.Fatalf("got commands %v, error %v, want 4 commands", commands, err)
		}
		resync(agents[0])
		agents[1].heartbeatFor(second, 3)
		w.checkEqual("running elsewhere", agents[1].running(), []string(nil))
		agents[0].applyCommands(commands)
		agents[0].heartbeatFor(second, 2)
		w.checkEqual("running", countRunning(agents[0]), 4)

		// A lost response is detected from the machine's next agent-initiated heartbeat or from a
		// new agent epoch, even if a resync response shows that epoch first.
		w.submit(second, spec("job-2", 2))
		time.Sleep(6 * time.Second)
		lost, err := agents[1].sendHeartbeat(second)
		if err != nil || len(lost) != 2 {
			w.t.Fatalf("got commands %v, error %v, want 2 commands", lost, err)
		}
		agents[1].status.AgentEpoch, agents[1].status.Seq = agents[1].status.AgentEpoch+1, 0
		resync(agents[1])
		second.inspect(func(c *Controller) {
			w.checkEqual("unassigned again", c.leaderTerm.jobs["job-2"].Flight.Untaken(), 2)
		})
		agents[1].heartbeatFor(second, 6)
		w.checkEqual("started again", countRunning(agents[1]), 2)
	})
}

// Guards against terminated live machines and duplicated tasks in the takeover of a large fleet. The
// leader crashes, many machines die at the same time, and the next leader crashes during the takeover.
// All live machines must be fenced by resyncs, and no task may start again while it may still run.
func TestTakeoverOfALargeFleet(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const machines, dead = 1100, 100
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 5000, 5000
		sender := w.useFakeCommandSender()
		first := w.start("n0")
		w.submit(first, spec("job-1", 5000))
		agents := w.newFleet(sender, machines)
		for range 4 {
			heartbeatAndCountTasks(w, first, agents, sender.machines)
		}
		w.checkEqual("running", heartbeatAndCountTasks(w, first, agents, sender.machines), 4*machines)
		first.crash()
		for _, agent := range agents[:dead] {
			w.dead.Store(agent.status.Machine, true)
		}
		second := w.start("n0") // leads for half a second
		second.crash()
		third := w.start("n0")
		time.Sleep(500 * time.Millisecond)
		third.inspect(func(c *Controller) {
			w.checkEqual("only dead machines unfenced after a second", c.leaderTerm.unfenced <= dead, true)
		})
		live := agents[dead:]
		for range 6 {
			heartbeatAndCountTasks(w, third, live, sender.machines)
		}
		third.inspect(func(c *Controller) { w.checkEqual("unfenced", c.leaderTerm.unfenced, 0) })
		w.checkEqual("terminated", len(w.cloud.terminatedNames), dead)
		running := heartbeatAndCountTasks(w, third, live, sender.machines)
		w.checkEqual("running after the takeover", running, 4*(machines-dead))
	})
}

// heartbeatAndCountTasks sends a heartbeat from each of the agents and returns the number of tasks that
// run a second later. The test fails if a task runs twice on those machines of all that are not
// terminated.
func heartbeatAndCountTasks(w *simulatedCluster, n *node, agents []*worker, all map[string]*worker) int {
	w.t.Helper()
	for _, agent := range agents {
		agent.heartbeat(n)
	}
	time.Sleep(time.Second)
	seen := map[string]bool{}
	for _, agent := range all {
		if w.cloud.terminated(agent.status.Machine) {
			continue
		}
		for _, task := range agent.running() {
			if seen[task] {
				w.t.Fatalf("task %s runs twice", task)
			}
			seen[task] = true
		}
	}
	return len(seen)
}

// Guards against a leader that reserves its capacity for undeliverable starts, or terminates live
// machines, because its command batches and probes reach no machine. It must send only few batches, and
// must not confirm any machine as dead, not even the first suspect ones. Machines whose heartbeats
// another node forwards must receive starts in heartbeat responses.
func TestLeaderWhoseCommandBatchesReachNoMachine(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const machines = 50
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 500, 500
		sender := w.useFakeCommandSender()
		n := w.start("n0")
		w.submit(n, spec("job-1", machines))
		agents := w.newFleet(sender, machines)
		for range 4 { // each round of heartbeats takes 5 s
			for _, agent := range agents {
				agent.heartbeat(n)
				time.Sleep(5 * time.Second / machines)
			}
		}
		for _, agent := range agents {
			w.dead.Store(agent.status.Machine, true)
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
			for _, agent := range agents {
				forwardHeartbeat(w.t, n, agent)
			}
			time.Sleep(2 * time.Second)
		}
		w.checkEqual("running", countRunning(agents...), machines+100+9)
		w.submit(n, spec("job-4", 4))
		time.Sleep(time.Second)
		w.checkEqual("batches to unreachable machines", sender.takeSentCount(), 0)
	})
}

// forwardHeartbeat sends a machine's heartbeat to the leader as if another node forwarded it.
func forwardHeartbeat(t *testing.T, leader *node, agent *worker) {
	t.Helper()
	agent.status.Seq++
	hb := agent.status
	hb.Tasks = slices.Clone(agent.status.Tasks)
	response, err := leader.ForwardedHeartbeat(t.Context(), &hb)
	if err != nil {
		t.Fatal(err)
	}
	agent.applyCommands(response.Commands)
}
