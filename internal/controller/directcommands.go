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
)

// CommandSender sends commands to a machine outside heartbeat responses. Its errors are
// api.ErrCommandsNotApplied and api.ErrCommandsOutcomeUnknown.
type CommandSender interface {
	SendCommands(ctx context.Context, addr string, commands *api.CommandBatch) (seq uint64, err error)
	// Resync raises a machine's fencing token to a term and returns the heartbeat that shows it.
	Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error)
}

// Starts are sent directly to machines with free capacity where heartbeats are so rare that
// waiting for one would cost more than half of what the objectives allow for a start. Nothing
// else is sent this way, and no start is sent a second time: such a command may be applied
// minutes late, when a partition heals or a machine resumes, as long as the machine's fencing
// token and agent epoch are the same. So:
//
//   - Until it is acknowledged the attempt stays on the machine, whatever heartbeats show, and so
//     it does if the outcome stays unknown. Only a new agent epoch or the machine's termination
//     frees it then, or a heartbeat that shows the attempt: a command is applied once.
//   - A machine that leaves a command unacknowledged gets no more work, and is terminated at once
//     if the job has ended.
//   - An attempt counts as not applied if the machine says so, or if no connection was
//     established.
//   - A new leader needs no knowledge of this: a machine that it has fenced has its token, and
//     rejects commands of earlier leaders.
const (
	minDirectHeartbeatInterval = 2 * time.Second
	dispatchWindow             = 1500 * time.Millisecond
	directTimeout              = 1500 * time.Millisecond
	// A node that was paused lately may be so again, and then finds that the timeout has passed
	// before it could read the response: the machine would be terminated for nothing.
	slowDirectTimeout = 5 * time.Second
	recentPause       = 15 * time.Second
	// maxDirectFailures is how many command batches in a row may fail, and directBackoff for how
	// long none are sent then: the leader may have lost the connection to all machines, and
	// each batch keeps its tasks pending for a while, and its machine for longer.
	maxDirectFailures = 4
	directBackoff     = 3 * time.Second
)

// dispatch sends pending tasks to machines with free capacity, the cheapest and fullest first.
func (lt *leaderTerm) dispatch(now time.Time) {
	heartbeatInterval := lt.c.Settings.Site.Workers.HeartbeatInterval()
	if lt.c.CommandSender == nil || heartbeatInterval <= minDirectHeartbeatInterval || now.After(lt.dispatchUntil) {
		return
	}
	if !lt.hasPendingTasks() || now.Before(lt.nextDirectCommand) {
		return
	}
	maxInFlight := lt.maxDials
	if lt.directFailures >= maxDirectFailures {
		maxInFlight = 1 // a trial, whether machines can be reached again
	}
	var candidates []*cluster.Machine
	for _, m := range lt.machines {
		if lt.acceptsDirect(m, now) {
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

// acceptsDirect tells whether starts may be sent to a machine directly: it has free capacity, and
// nothing suggests that this node does not reach it.
func (lt *leaderTerm) acceptsDirect(m *cluster.Machine, now time.Time) bool {
	return m.IsSchedulable(now) && m.FreeCPUs() > cluster.Epsilon &&
		!m.CommandInFlight && !m.LastForwarded && m.UnappliedResponses == 0 && m.Addr != "" &&
		now.Sub(m.LastHeartbeat) <= lt.detector.HeartbeatTimeout()
}

// hasPendingTasks tells whether any task is pending that could start now.
func (lt *leaderTerm) hasPendingTasks() bool {
	for _, j := range lt.jobs {
		if j.Flight.Untaken() > 0 && !j.Finishing && !j.CancelPending && len(j.DependsOn) == 0 {
			return true
		}
	}
	return false
}

// sendCommands sends the starts of tasks that were just assigned to a machine.
func (lt *leaderTerm) sendCommands(m *cluster.Machine, commands []api.Command) {
	batch := make([]*cluster.Attempt, 0, len(commands))
	for _, command := range commands {
		a := m.Attempts[cluster.AttemptKey{Ref: command.Task, ID: command.Attempt}]
		a.Direct = &cluster.DirectCommand{AgentEpoch: m.AgentEpoch, InFlight: true}
		batch = append(batch, a)
	}
	m.CommandInFlight = true
	lt.commandsInFlight++
	addr, req := m.Addr, &api.CommandBatch{Term: lt.term.Number, AgentEpoch: m.AgentEpoch, Commands: commands}
	timeout := directTimeout
	if now := time.Now(); !lt.detector.NotPausedSince(now.Add(-recentPause), now) {
		timeout = slowDirectTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, timeout)
		defer cancel()
		seq, err := lt.c.CommandSender.SendCommands(ctx, addr, req)
		lt.sendToOwner(commandsSentMsg{leaderTerm: lt, machine: m, batch: batch, seq: seq, err: err})
	}()
}

// commandsSentMsg is the outcome of a command batch.
type commandsSentMsg struct {
	leaderTerm *leaderTerm
	machine    *cluster.Machine
	batch      []*cluster.Attempt
	// seq is the first heartbeat that must show the attempts.
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
	for _, a := range m.batch {
		a.Direct.InFlight = false
		switch {
		case m.err == nil:
			a.Direct.Seq = m.seq
		case errors.Is(m.err, api.ErrCommandsNotApplied):
			if a.LastSeenHeartbeat == 0 && m.machine.Attempts[a.Key] == a {
				m.leaderTerm.removeAttempt(a)
			}
		case m.machine.AgentEpoch == a.Direct.AgentEpoch:
			a.Direct.OutcomeUnknown = true
			m.leaderTerm.evacuate(m.machine, reasonUnanswered)
			if a.Job.Ended {
				m.leaderTerm.terminateIfOutcomeUnknown(a)
			}
		}
	}
	if m.err != nil {
		c.Log.Debug("command batch failed", "machine", m.machine.Name, "count", len(m.batch), "err", m.err)
		m.machine.CordonedUntil = time.Now().Add(c.Settings.Site.Workers.HeartbeatInterval())
	}
}

// reasonUnanswered is why a machine is evacuated on which a start may still be applied.
const reasonUnanswered = "order unanswered"

// terminateIfOutcomeUnknown terminates a machine on which a task of a job that has ended might
// still start: nothing else prevents that in time.
func (lt *leaderTerm) terminateIfOutcomeUnknown(a *cluster.Attempt) {
	m := a.Machine
	startMayApply := a.Direct != nil && a.Direct.OutcomeUnknown && a.LastSeenHeartbeat == 0
	if startMayApply && m.Phase() < cluster.Terminating {
		lt.evacuate(m, reasonUnanswered)
		lt.scaleIn(m)
	}
}
