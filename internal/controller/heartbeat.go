package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// maxCommands bounds the commands of one heartbeat response: a line of a response must stay
// below 64 KiB.
const maxCommands = 200

// handleAgentHeartbeat applies an agent-initiated heartbeat and returns the response with its
// commands. But for direct starts, commands are sent in responses only: the worker agent drops
// a late response, while a command sent on its own could be applied minutes later.
func (lt *leaderTerm) handleAgentHeartbeat(hb *api.Heartbeat, now time.Time) (api.HeartbeatResponse, error) {
	return lt.handleHeartbeat(hb, agentInitiated, now)
}

// heartbeatOrigin is what caused a heartbeat to be sent.
type heartbeatOrigin int

const (
	// agentInitiated is a heartbeat that the worker agent sent on its own. It does so only
	// once the response to its last one was applied or has timed out.
	agentInitiated heartbeatOrigin = iota
	// solicited answers a resync or a probe. It has no response that could carry commands,
	// and the commands of the last response may still be in flight when it is built: it
	// does not show that they were not applied.
	solicited
)

// handleHeartbeat updates the leader's state by a heartbeat and returns the response to it.
func (lt *leaderTerm) handleHeartbeat(
	hb *api.Heartbeat, origin heartbeatOrigin, now time.Time,
) (api.HeartbeatResponse, error) {
	response := api.HeartbeatResponse{Term: lt.term.Number, Commands: []api.Command{}}
	if hb.Term > lt.term.Number {
		// The machine has seen a later term than this one.
		lt.stepDown()
		return response, &api.NotLeaderError{}
	}
	if !lt.loaded {
		// The response renews the task lease and fences the machine. Tasks known to be
		// cancelled must not run on by that.
		response.Commands = lt.c.stopCommands(hb, nil)
		return response, nil
	}
	if lt.terminated.Contains(hb.Machine) {
		return response, api.ErrUnavailable // sent before the machine was terminated, and delayed
	}
	m := lt.machines[hb.Machine]
	if hb.Term < lt.term.Number && (m != nil || lt.provisioning[hb.Machine] == nil) {
		// A machine's fencing token never decreases, so this is the first heartbeat of a
		// machine that has yet to learn of this term, one of a machine that no response
		// reaches, or a delayed copy of an old heartbeat. These cannot be told apart. It is
		// answered, so that the machine learns the term, and otherwise changes nothing:
		// above all it is no sign of life, and adds no machine that an earlier leader
		// terminated.
		return response, nil
	}
	if m == nil {
		// The heartbeat's strings share its body's memory.
		m = lt.addMachine(strings.Clone(hb.Machine), strings.Clone(hb.Type), strings.Clone(hb.Zone), hb.Spot, now)
		lt.c.Log.Info("first heartbeat of machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	if hb.AgentEpoch < m.AgentEpoch || (hb.AgentEpoch == m.AgentEpoch && hb.Seq <= m.HeartbeatSeq) {
		return response, nil // older than the newest one applied
	}
	response.Commands = lt.applyHeartbeat(m, hb, origin, response.Commands, now)
	return response, nil
}

// applyHeartbeat updates the state of a machine by a heartbeat that is newer than all applied
// before it, and appends the commands of the response.
func (lt *leaderTerm) applyHeartbeat(
	m *cluster.Machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time,
) []api.Command {
	lt.updateMachine(m, hb, now)
	commands = lt.reconcile(m, hb, origin, commands, now)
	if m.UnappliedResponses == 0 {
		m.ProbeFails = 0
	}
	lt.registerUnregistered(m)
	if hb.Term == lt.term.Number {
		lt.markFenced(m)
		if origin == agentInitiated {
			commands = lt.assignTasks(m, commands, now)
		}
	}
	if origin == agentInitiated {
		m.LastCommands, m.LastCommandsAt = commands, now
	}
	if m.UsedCPUs > cluster.Epsilon || len(m.Attempts) > 0 {
		m.IdleSince = now
	}
	return commands
}

// updateMachine applies what a new heartbeat says of the machine itself.
func (lt *leaderTerm) updateMachine(m *cluster.Machine, hb *api.Heartbeat, now time.Time) {
	if m.AgentEpoch != 0 && hb.AgentEpoch > m.AgentEpoch {
		lt.detector.NewAgentEpoch(m, now, time.Now())
	}
	m.HeartbeatCount++
	if now.Sub(m.LastHeartbeat) > lt.detector.HeartbeatTimeout() {
		m.MarkUnmeasured()
	}
	m.LastHeartbeat = now
	m.AgentEpoch, m.HeartbeatSeq, m.LastSeen = hb.AgentEpoch, hb.Seq, now
	if m.Addr != hb.Addr {
		m.Addr = strings.Clone(hb.Addr)
	}
	if m.CPUs == 0 {
		if mt, ok := lt.c.types.load()[m.Type]; ok {
			m.CPUs, m.GPUs, m.MemoryGB = mt.CPUs, mt.GPUs, mt.MemoryGB
		}
	}
	if hb.PreemptionNoticeS != nil {
		lt.handlePreemptionNotice(m, *hb.PreemptionNoticeS, now)
	}
}

// registerUnregistered has a machine added to the registry if it is not in it. No earlier
// leader has started anything there, so it counts as fenced.
func (lt *leaderTerm) registerUnregistered(m *cluster.Machine) {
	if m.Registration != cluster.Unregistered || m.CPUs <= 0 || m.Phase() != cluster.Active {
		return
	}
	m.Registration = cluster.Registering
	m.Fenced = true
	lt.recordWriter.Register(m)
}

// checkApplied checks whether a heartbeat shows that any command of the last response was
// applied.
func (lt *leaderTerm) checkApplied(m *cluster.Machine, now time.Time) {
	if !lt.detector.CheckApplied(m, now, time.Now()) {
		lt.c.Log.Debug("commands not applied", "machine", m.Name,
			"count", len(m.LastCommands), "responses", m.UnappliedResponses)
	}
}

// handlePreemptionNotice evacuates a machine that the cloud will take back: tasks with
// checkpoints save their state in the time left, and those that would not end in time are
// stopped.
func (lt *leaderTerm) handlePreemptionNotice(m *cluster.Machine, seconds float64, now time.Time) {
	timeLeft := time.Duration(seconds * float64(time.Second))
	first := m.PreemptAt.IsZero()
	m.PreemptAt = now.Add(timeLeft)
	if !first {
		return
	}
	lt.evacuate(m, "taken by the cloud")
	for _, a := range m.Attempts {
		if a.Exited || a.Job == nil {
			continue
		}
		s := &a.Job.Spec
		if s.CheckpointS > 0 {
			lt.requestStop(a, timeLeft, now)
		} else if a.RunningAt.IsZero() || a.RunningAt.Add(s.Estimate()).After(m.PreemptAt) {
			// It would not end in time; elsewhere it can start now.
			lt.requestStop(a, 0, now)
		}
	}
}

// requestStop marks an attempt to be stopped by the responses to its machine's heartbeats. Of several
// requests, the one with the shortest grace holds.
func (lt *leaderTerm) requestStop(a *cluster.Attempt, grace time.Duration, now time.Time) {
	if a.Stop != nil && a.Stop.Grace <= grace {
		return
	}
	a.Stop = &cluster.StopRequest{Grace: grace, Since: now}
}

// reconcile brings the machine's attempts in line with its heartbeat, and appends stops and
// reaps to the commands of the response.
func (lt *leaderTerm) reconcile(
	m *cluster.Machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time,
) []api.Command {
	// Stops go before reaps: a machine with more ended tasks than a response holds commands
	// would otherwise run cancelled tasks on, while its task lease is renewed.
	reaps := lt.applyTaskStatuses(m, hb, now)
	if origin == agentInitiated {
		lt.checkApplied(m, now)
	}
	for key, a := range m.Attempts {
		if a.LastSeenHeartbeat != m.HeartbeatCount {
			startInFlight := a.MayStillStart(hb) || (origin == solicited && a.StartInFlight(hb))
			if !startInFlight {
				lt.removeMissing(a)
			}
			continue
		}
		if a.Exited || len(commands) >= maxCommands {
			continue
		}
		if !a.IsWanted() {
			lt.requestStop(a, 0, now)
		}
		if a.Stop != nil {
			grace := max(0, a.Stop.Grace-now.Sub(a.Stop.Since)).Seconds()
			commands = append(commands, api.Command{Verb: api.VerbStop, Task: key.Ref, Attempt: key.ID, GraceS: &grace})
		}
	}
	return append(commands, reaps[:min(len(reaps), maxCommands-len(commands))]...)
}

// applyTaskStatuses updates the attempts that a heartbeat names, and returns the commands to
// reap those that have ended.
func (lt *leaderTerm) applyTaskStatuses(m *cluster.Machine, hb *api.Heartbeat, now time.Time) []api.Command {
	var reaps []api.Command
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		key := cluster.AttemptKey{Ref: status.Task, ID: status.Attempt}
		a := m.Attempts[key]
		if a == nil {
			a = lt.adoptAttempt(m, key, status, now)
		}
		a.LastSeenHeartbeat = m.HeartbeatCount
		lt.applyTaskStatus(a, status, now)
		if a.Exited && lt.isReapable(a) && len(reaps) < maxCommands {
			reaps = append(reaps, api.Command{Verb: api.VerbReap, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return reaps
}

// removeMissing removes an attempt that a newer heartbeat does not name, which shows that it is
// off the machine: reaped, killed with its agent epoch, or never started.
func (lt *leaderTerm) removeMissing(a *cluster.Attempt) {
	if !a.Exited && !a.ExitHandled && a.Phase == "" {
		lt.c.Log.Debug("start not applied", "machine", a.Machine.Name, "task", a.Key.Ref, "attempt", a.Key.ID)
	}
	lt.removeAttempt(a)
}

// addImage records in memory that a machine has a job's image.
func (lt *leaderTerm) addImage(m *cluster.Machine, s *api.JobSpec, now time.Time) {
	m.Images.Add(s, lt.c.types.load()[m.Type].CacheGB, now)
}
