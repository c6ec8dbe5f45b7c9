package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// CommandSender sends commands to a machine outside heartbeat responses.
type CommandSender interface {
	// SendCommands sends a batch of commands, and returns the sequence number of the first
	// heartbeat that must show their attempts. An error wraps api.ErrCommandsNotApplied or
	// api.ErrCommandsOutcomeUnknown.
	SendCommands(ctx context.Context, addr string, commands *api.CommandBatch) (seq uint64, err error)
	// Resync raises a machine's fencing token and returns a heartbeat with that token.
	Resync(ctx context.Context, addr string, token uint64) (*api.Heartbeat, error)
}

// Task starts are sent directly to machines with free capacity if the heartbeat interval is so long
// that waiting for a heartbeat would take more than half of the time that the objectives allow for a
// start. Other commands are not sent directly, and no start is sent twice. A direct command may be
// applied minutes late, for example when a partition heals or a machine resumes, as long as the
// machine's fencing token and agent epoch have not changed. Therefore:
//
//   - Until the command is acknowledged, or if its outcome remains unknown, the attempt counts as on
//     the machine, even if heartbeats do not show it. It counts so until the machine has a new agent
//     epoch or a higher fencing token, is terminated, or sends a heartbeat that shows the attempt.
//     From that heartbeat on, the heartbeats can be relied on: until the machine rejects copies of the
//     command, the attempt is not reaped, and a machine that knows it ignores them.
//   - A machine that does not acknowledge a command is assigned no more tasks, and is terminated
//     immediately if the job has ended.
//   - A command counts as not applied only if the machine reports so, or if no connection to the
//     machine was established.
//   - A new leader does not need this state: a machine that it has fenced has the new leader's
//     fencing token, and rejects commands of earlier leaders.
const (
	// minDirectHeartbeatInterval is the heartbeat interval above which starts are sent directly.
	minDirectHeartbeatInterval = 2 * time.Second
	// dispatchWindow is how long the leader sends starts directly after tasks became pending or
	// machines were registered.
	dispatchWindow = 1500 * time.Millisecond
	// directTimeout is the time limit of a command batch.
	directTimeout = 1500 * time.Millisecond
	// slowDirectTimeout replaces directTimeout after a process pause of this node. If the node is
	// paused again, a shorter timeout may expire before the response is read, and the machine
	// would be terminated needlessly.
	slowDirectTimeout = 5 * time.Second
	// recentPauseWindow is how long after a pause slowDirectTimeout applies.
	recentPauseWindow = 15 * time.Second
	// maxDirectFailures is how many command batches may fail in a row before none is sent for
	// directBackoff. The leader may have lost the connection to all machines, and each failed
	// batch keeps its tasks pending for a while and its machine unused for longer.
	maxDirectFailures = 4
	// directBackoff is how long no command batch is sent after maxDirectFailures have failed.
	directBackoff = 3 * time.Second
)

// dispatch sends starts of pending tasks to machines with free capacity, in the order of price per
// CPU and then of free CPUs, both ascending.
func (lt *leaderTerm) dispatch(now time.Time) {
	if lt.c.CommandSender == nil || !sendsStartsDirectly(lt.c.Settings.Site.Workers) || now.After(lt.dispatchUntil) {
		return
	}
	if !lt.hasPendingTasks() || now.Before(lt.nextDirectCommand) {
		return
	}
	maxInFlight := lt.maxDials
	if lt.directFailures >= maxDirectFailures {
		maxInFlight = 1 // checks whether machines are reachable again
	}
	var candidates []*cluster.Machine
	for _, m := range lt.machines {
		if lt.acceptsDirectCommands(m, now) {
			candidates = append(candidates, m)
		}
	}
	types := lt.c.machineTypes.load()
	slices.SortFunc(candidates, func(a, b *cluster.Machine) int {
		return cmp.Or(
			cmp.Compare(autoscaler.CPUPrice(types, a), autoscaler.CPUPrice(types, b)),
			cmp.Compare(a.FreeCPUs(), b.FreeCPUs()),
			cmp.Compare(a.Name, b.Name),
		)
	})
	for _, m := range candidates {
		if lt.commandsInFlight >= maxInFlight {
			return
		}
		if commands := lt.assignTasks(m, nil, now); len(commands) > 0 {
			lt.sendCommands(m, commands)
		}
	}
}

// sendsStartsDirectly reports whether starts are sent outside heartbeat responses, because the
// heartbeat interval is long.
func sendsStartsDirectly(workers config.Workers) bool {
	return workers.HeartbeatInterval() > minDirectHeartbeatInterval
}

// acceptsDirectCommands reports whether starts may be sent directly to a machine: it has free capacity,
// there is no sign that this node cannot reach it, and its fencing token can still be raised above that
// of the starts.
func (lt *leaderTerm) acceptsDirectCommands(m *cluster.Machine, now time.Time) bool {
	return m.IsSchedulable(now) && m.FreeCPUs() > cluster.Epsilon && m.Token < lt.term.Tokens().Last &&
		!m.CommandInFlight && !m.LastHeartbeatForwarded && m.UnappliedResponses == 0 && m.Addr != "" &&
		now.Sub(m.LastHeartbeat) <= lt.detector.HeartbeatTimeout()
}

// hasPendingTasks reports whether any task is pending that could start now.
func (lt *leaderTerm) hasPendingTasks() bool {
	for _, j := range lt.jobs {
		if j.Flight.Untaken() > 0 && !j.Finishing && !j.CancelPending && len(j.DependsOn) == 0 {
			return true
		}
	}
	return false
}

// sendCommands sends the starts of newly assigned tasks to a machine, in a goroutine that sends a
// commandsSentMsg.
func (lt *leaderTerm) sendCommands(m *cluster.Machine, commands []api.Command) {
	attempts := make([]*cluster.Attempt, 0, len(commands))
	for _, command := range commands {
		a := m.Attempts[cluster.AttemptKey{Ref: command.Task, ID: command.Attempt}]
		a.DirectStart = &cluster.DirectStart{AgentEpoch: m.AgentEpoch, Token: m.Token, InFlight: true}
		attempts = append(attempts, a)
	}
	m.CommandInFlight = true
	lt.commandsInFlight++
	addr, batch := m.Addr, &api.CommandBatch{Token: m.Token, AgentEpoch: m.AgentEpoch, Commands: commands}
	lt.c.Log.Debug("command batch sent", "machine", m.Name, "token", m.Token, "agentEpoch", m.AgentEpoch,
		"count", len(commands), "firstTask", commands[0].Task, "firstAttempt", commands[0].Attempt)
	timeout := directTimeout
	if now := time.Now(); !lt.detector.RanContinuouslySince(now.Add(-recentPauseWindow), now) {
		timeout = slowDirectTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, timeout)
		defer cancel()
		seq, err := lt.c.CommandSender.SendCommands(ctx, addr, batch)
		lt.sendToOwner(commandsSentMsg{leaderTerm: lt, machine: m, attempts: attempts, seq: seq, err: err})
	}()
}

// commandsSentMsg carries the outcome of a command batch to the owner goroutine.
type commandsSentMsg struct {
	leaderTerm *leaderTerm
	machine    *cluster.Machine
	attempts   []*cluster.Attempt
	// seq is the sequence number of the first heartbeat that must show the attempts.
	seq uint64
	err error
}

func (m commandsSentMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	m.machine.CommandInFlight = false
	m.leaderTerm.commandsInFlight--
	if m.err == nil {
		m.leaderTerm.directFailures = 0
	} else if m.leaderTerm.directFailures++; m.leaderTerm.directFailures >= maxDirectFailures {
		m.leaderTerm.nextDirectCommand = time.Now().Add(directBackoff)
	}
	if m.machine.Phase() == cluster.Terminated {
		return
	}
	for _, a := range m.attempts {
		a.DirectStart.InFlight = false
		switch {
		case m.err == nil:
			a.DirectStart.FirstHeartbeatSeq = m.seq
		case errors.Is(m.err, api.ErrCommandsNotApplied):
			m.leaderTerm.counts.startsRejected++
			if a.LastSeenHeartbeat == 0 && m.machine.Attempts[a.Key] == a {
				m.leaderTerm.removeAttempt(a)
			}
		case m.machine.AgentEpoch == a.DirectStart.AgentEpoch:
			a.DirectStart.OutcomeUnknown = true
			m.leaderTerm.evacuate(m.machine, reasonOutcomeUnknown)
			if a.Job.Ended {
				m.leaderTerm.terminateIfOutcomeUnknown(a)
			}
		}
	}
	if m.err != nil {
		c.Log.Debug("command batch failed", "machine", m.machine.Name, "count", len(m.attempts), "err", m.err)
		m.machine.CordonedUntil = time.Now().Add(c.Settings.Site.Workers.HeartbeatInterval())
	}
}

// reasonOutcomeUnknown is the reason for evacuating a machine on which a start of unknown outcome may
// still be applied.
const reasonOutcomeUnknown = "order unanswered"

// terminateIfOutcomeUnknown terminates an attempt's machine if the attempt's start may still be applied
// there. It is called when the job has ended: only the termination prevents the start, and an evacuated
// machine is otherwise terminated only once it is empty.
func (lt *leaderTerm) terminateIfOutcomeUnknown(a *cluster.Attempt) {
	m := a.Machine
	startMayApply := a.DirectStart != nil && a.DirectStart.OutcomeUnknown && a.LastSeenHeartbeat == 0
	if startMayApply && m.Phase() < cluster.Terminating {
		lt.evacuate(m, reasonOutcomeUnknown)
		lt.scaleIn(m)
	}
}
