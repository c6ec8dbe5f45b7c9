package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
)

// CommandSender brings orders straight to a machine. Its errors are
// api.ErrCommandsNotApplied and api.ErrCommandsOutcomeUnknown.
type CommandSender interface {
	SendCommands(ctx context.Context, addr string, commands *api.CommandBatch) (seq uint64, err error)
	// Resync tells a machine of a term and returns the report that shows it.
	Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error)
}

// Starts go straight to machines with free room where reports come so seldom
// that waiting for them would cost more than half of what the aims allow for a
// start. Nothing else goes this way, and no start is sent a second time: such
// an order may be carried out minutes late, when a cut ends or a machine
// resumes, as long as the machine's token and session are the same. So:
//
//   - Until it is answered the attempt stays on the machine, whatever reports
//     show, and so it does where no answer comes. Only a new session or the
//     machine's return frees it then, or a report that shows the attempt: an
//     order is carried out once.
//   - A machine that leaves an order unanswered gets no more work, and is
//     returned at once if the job is over.
//   - An attempt counts as refused if the machine says so, or if no connection
//     came about.
//   - A new leader needs nothing of this: a machine that it has heard has its
//     token, and refuses orders of earlier ones.
const (
	minDirectHeartbeatInterval = 2 * time.Second
	dispatchFor                = 1500 * time.Millisecond
	directTimeout              = 1500 * time.Millisecond
	// A node that was held up lately may be so again, and then finds that the
	// time has passed before it could read the answer: the machine would be
	// given back for nothing.
	slowDirectTimeout = 5 * time.Second
	recentPause       = 15 * time.Second
	// maxDirectFailures is how many orders in a row may find no way to their
	// machines, and directBackoff for how long none are sent then: the leader
	// may have lost the way to all of them, and each order holds its tasks
	// for a while, and its machine for longer.
	maxDirectFailures = 4
	directBackoff     = 3 * time.Second
)

// directCommand is a start that was sent straight to a machine.
type directCommand struct {
	agentEpoch uint64
	// inFlight is set until there is an outcome, unconfirmed if there will be none.
	inFlight, outcomeUnknown bool
	// seq is the report from which on the attempt must be shown.
	seq uint64
}

// mayStillStart tells whether a start may still be carried out although a report
// does not show it. One that an earlier report showed was carried out, and is
// not a second time: it has left its machine.
func (a *attempt) mayStillStart(hb *api.Heartbeat) bool {
	d := a.direct
	if d == nil || a.lastSeenIn != 0 || hb.AgentEpoch > d.agentEpoch {
		return false
	}
	return d.inFlight || d.outcomeUnknown || hb.Seq < d.seq
}

// isEmpty tells whether nothing holds the machine but orders without an answer.
func (m *machine) isEmpty() bool {
	for _, a := range m.attempts {
		if a.direct == nil || !a.direct.outcomeUnknown || a.lastSeenIn != 0 {
			return false
		}
	}
	return true
}

// dispatch brings waiting work to machines with free room.
func (lt *leaderTerm) dispatch(now time.Time) {
	if lt.c.CommandSender == nil || lt.c.Settings.Site.Workers.HeartbeatInterval() <= minDirectHeartbeatInterval || now.After(lt.dispatchUntil) {
		return
	}
	if !lt.hasPendingTasks() || now.Before(lt.nextDirectCommand) {
		return
	}
	maxInFlight := lt.maxDials
	if lt.directFailures >= maxDirectFailures {
		maxInFlight = 1 // to see whether the way is open again
	}
	var candidates []*machine
	for _, m := range lt.machines {
		if m.isSchedulable(now) && !m.commandInFlight && !m.lastForwarded && m.unappliedResponses == 0 && m.freeCPUs() > epsilon && m.addr != "" &&
			now.Sub(m.lastHeartbeat) <= lt.heartbeatTimeout() {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(lt.autoscaler.cpuPrice(a), lt.autoscaler.cpuPrice(b)), cmp.Compare(a.freeCPUs(), b.freeCPUs()), cmp.Compare(a.name, b.name))
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

// hasPendingTasks tells whether any task waits for a machine.
func (lt *leaderTerm) hasPendingTasks() bool {
	for _, j := range lt.jobs {
		if j.flight.Untaken() > 0 && !j.finishing && !j.cancelPending && len(j.dependsOn) == 0 {
			return true
		}
	}
	return false
}

// sendCommands sends starts that were just placed on a machine.
func (lt *leaderTerm) sendCommands(m *machine, commands []api.Command) {
	batch := make([]*attempt, 0, len(commands))
	for _, command := range commands {
		a := m.attempts[attemptKey{command.Task, command.Attempt}]
		a.direct = &directCommand{agentEpoch: m.agentEpoch, inFlight: true}
		batch = append(batch, a)
	}
	m.commandInFlight = true
	lt.commandsInFlight++
	addr, req := m.addr, &api.CommandBatch{Term: lt.term.Number, AgentEpoch: m.agentEpoch, Commands: commands}
	timeout := directTimeout
	if !lt.notPausedSince(time.Now().Add(-recentPause)) {
		timeout = slowDirectTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, timeout)
		defer cancel()
		seq, err := lt.c.CommandSender.SendCommands(ctx, addr, req)
		lt.sendToOwner(commandsSentMsg{lt, m, batch, seq, err})
	}()
}

type commandsSentMsg struct {
	leaderTerm *leaderTerm
	machine    *machine
	batch      []*attempt
	seq        uint64
	err        error
}

func (m commandsSentMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	m.machine.commandInFlight = false
	m.leaderTerm.commandsInFlight--
	if m.err == nil {
		m.leaderTerm.directFailures = 0
	} else if m.leaderTerm.directFailures++; m.leaderTerm.directFailures >= maxDirectFailures {
		m.leaderTerm.nextDirectCommand = time.Now().Add(directBackoff)
	}
	if m.machine.terminated {
		return
	}
	for _, a := range m.batch {
		a.direct.inFlight = false
		switch {
		case m.err == nil:
			a.direct.seq = m.seq
		case errors.Is(m.err, api.ErrCommandsNotApplied):
			if a.lastSeenIn == 0 && m.machine.attempts[a.key] == a {
				m.leaderTerm.offMachine(a)
			}
		case m.machine.agentEpoch == a.direct.agentEpoch:
			a.direct.outcomeUnknown = true
			m.leaderTerm.evacuate(m.machine, "order unanswered")
			if a.job.ended {
				m.leaderTerm.resolveOutcome(a)
			}
		}
	}
	if m.err != nil {
		c.Log.Debug("direct orders", "machine", m.machine.name, "orders", len(m.batch), "err", m.err)
		m.machine.cordonedUntil = time.Now().Add(c.Settings.Site.Workers.HeartbeatInterval())
	}
}

// resolveOutcome returns a machine on which a task of a job that is over might
// still begin: nothing else keeps it from doing so in time.
func (lt *leaderTerm) resolveOutcome(a *attempt) {
	if m := a.machine; a.direct != nil && a.direct.outcomeUnknown && a.lastSeenIn == 0 && !m.terminated && !m.terminating {
		lt.evacuate(m, "order unanswered")
		lt.autoscaler.scaleIn(m)
	}
}
