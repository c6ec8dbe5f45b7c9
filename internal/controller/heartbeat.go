package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// maxCommands limits the commands of one heartbeat response, because a line of a response must
// stay below 64 KiB.
const maxCommands = 200

// handleAgentHeartbeat handles an agent-initiated heartbeat and returns the response with its
// commands. Apart from direct starts, commands are sent only in responses: the worker agent
// discards a late response, while a direct command may be applied minutes later.
func (lt *leaderTerm) handleAgentHeartbeat(hb *api.Heartbeat, now time.Time) (api.HeartbeatResponse, error) {
	return lt.handleHeartbeat(hb, agentInitiated, now)
}

// heartbeatOrigin is the reason why a worker agent sent a heartbeat.
type heartbeatOrigin int

const (
	// agentInitiated is a heartbeat that the worker agent sent without a request. The agent
	// sends one only after the response to its previous one was applied or has timed out.
	agentInitiated heartbeatOrigin = iota
	// solicited is a heartbeat that the worker agent returned for a resync or a probe. It has
	// no response that could carry commands. The commands of the last heartbeat response may
	// still be in flight when the agent builds it, so it is no evidence that they were lost.
	solicited
)

// handleHeartbeat updates the leader's state from a heartbeat and returns the response to it.
func (lt *leaderTerm) handleHeartbeat(
	hb *api.Heartbeat, origin heartbeatOrigin, now time.Time,
) (api.HeartbeatResponse, error) {
	m := lt.machines[hb.Machine]
	response := api.HeartbeatResponse{Token: lt.tokenFor(m, hb), Commands: []api.Command{}}
	if hb.Token > lt.term.Tokens().Last {
		// The machine has received a message of a later term.
		lt.stepDown()
		return response, &api.NotLeaderError{}
	}
	if !lt.loaded {
		// The response renews the task lease and fences the machine. It must not keep tasks
		// running that are known to be cancelled.
		response.Commands = lt.c.stopCommands(hb, nil)
		return response, nil
	}
	if lt.terminated.Contains(hb.Machine) {
		return response, api.ErrUnavailable // delayed: sent before the machine was terminated
	}
	if hb.Token < lt.term.Tokens().First && (m != nil || lt.provisioning[hb.Machine] == nil) {
		// A machine's fencing token never decreases, so either the machine has not received
		// this term yet, or responses do not reach it, or this is a delayed copy of an old
		// heartbeat. These cases cannot be distinguished. The machine receives this term with
		// the response. The heartbeat does not show that the machine is alive, and does not
		// add a machine that an earlier leader terminated. What it shows as completed has
		// certainly completed, and is kept for requests to cancel its job.
		lt.c.recordCompletions(hb, now)
		return response, nil
	}
	if m == nil {
		// The strings of the heartbeat share the memory of the request body.
		m = lt.addMachine(strings.Clone(hb.Machine), strings.Clone(hb.Type), strings.Clone(hb.Zone), hb.Spot, now)
		lt.c.Log.Info("first heartbeat of machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
		if !lt.autoscaler.CancelTermination(m.Name) {
			m.Advance(cluster.Terminating)
			m.EvacuationReason = reasonOverdue
		}
	}
	if hb.AgentEpoch < m.AgentEpoch || (hb.AgentEpoch == m.AgentEpoch && hb.Seq <= m.HeartbeatSeq) {
		return response, nil // not newer than the last one applied
	}
	response.Commands = lt.applyHeartbeat(m, hb, origin, response.Commands, now)
	response.Token = lt.tokenFor(m, hb)
	return response, nil
}

// applyHeartbeat updates the state of a machine from a heartbeat that is newer than all applied
// before it, and appends the commands for the response.
func (lt *leaderTerm) applyHeartbeat(
	m *cluster.Machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time,
) []api.Command {
	lt.updateMachine(m, hb, now)
	commands = lt.reconcile(m, hb, origin, commands, now)
	if m.UnappliedResponses == 0 {
		m.ProbeFails = 0
	}
	lt.ensureRegistered(m)
	if lt.term.Tokens().Contains(hb.Token) {
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

// updateMachine applies the machine's own fields of a new heartbeat, without its tasks.
func (lt *leaderTerm) updateMachine(m *cluster.Machine, hb *api.Heartbeat, now time.Time) {
	if m.AgentEpoch != 0 && hb.AgentEpoch > m.AgentEpoch {
		lt.detector.AgentEpochChanged(m, now, time.Now())
	}
	m.HeartbeatCount++
	if now.Sub(m.LastHeartbeat) > lt.detector.HeartbeatTimeout() {
		m.MarkUnmeasured()
	}
	m.LastHeartbeat, m.LastHeartbeatRelayed = now, false
	m.AgentEpoch, m.HeartbeatSeq, m.LastSeen = hb.AgentEpoch, hb.Seq, now
	m.Token = max(m.Token, hb.Token)
	if m.Addr != hb.Addr {
		m.Addr = strings.Clone(hb.Addr)
	}
	if m.CPUs == 0 {
		if machineType, ok := lt.c.machineTypes.load()[m.Type]; ok {
			m.CPUs, m.GPUs, m.MemoryGB = machineType.CPUs, machineType.GPUs, machineType.MemoryGB
		}
	}
	if hb.PreemptionNoticeS != nil {
		lt.handlePreemptionNotice(m, *hb.PreemptionNoticeS, now)
	}
}

// ensureRegistered queues a machine that is not in the registry for registration. No earlier
// leader has started tasks on such a machine, so it counts as fenced.
func (lt *leaderTerm) ensureRegistered(m *cluster.Machine) {
	if m.Registration != cluster.Unregistered || m.CPUs <= 0 || m.Phase() != cluster.Active {
		return
	}
	m.Registration = cluster.Registering
	m.Fenced = true
	lt.recordWriter.Register(m)
}

// checkCommandsApplied has the failure detector check whether the newest heartbeat shows that any
// command of the last response was applied.
func (lt *leaderTerm) checkCommandsApplied(m *cluster.Machine, now time.Time) {
	if !lt.detector.CheckApplied(m, now, time.Now()) {
		lt.c.Log.Debug("commands of last heartbeat response not applied", "machine", m.Name,
			"count", len(m.LastCommands), "responses", m.UnappliedResponses)
	}
}

// handlePreemptionNotice evacuates a machine that the cloud will preempt after the given time. Tasks
// with checkpoints are stopped and may save their state in the time left. Tasks without checkpoints
// are stopped if they are not expected to end in time.
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
		spec := &a.Job.Spec
		if spec.CheckpointS > 0 {
			lt.requestStop(a, timeLeft, now)
		} else if a.RunningAt.IsZero() || a.RunningAt.Add(spec.Estimate()).After(m.PreemptAt) {
			// It is not expected to end in time, and can start on another machine now.
			lt.requestStop(a, 0, now)
		}
	}
}

// requestStop marks an attempt to be stopped by the responses to its machine's heartbeats. If an
// attempt is marked more than once, the shortest grace period applies.
func (lt *leaderTerm) requestStop(a *cluster.Attempt, grace time.Duration, now time.Time) {
	if a.Stop != nil && a.Stop.Grace <= grace {
		return
	}
	a.Stop = &cluster.StopRequest{Grace: grace, Since: now}
}

// reconcile updates the machine's attempts from its heartbeat, and appends stops and reaps to the
// commands for the response.
func (lt *leaderTerm) reconcile(
	m *cluster.Machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time,
) []api.Command {
	// Stops precede reaps. Otherwise a machine with more than maxCommands exited tasks would
	// keep running cancelled tasks, while the responses renew its task lease.
	reaps := lt.applyTaskStatuses(m, hb, origin, now)
	if origin == agentInitiated {
		lt.checkCommandsApplied(m, now)
	}
	for key, a := range m.Attempts {
		if a.LastSeenHeartbeat != m.HeartbeatCount {
			startInFlight := a.MayStillStart(hb) || (origin == solicited && a.StartInFlight(hb))
			if !startInFlight {
				lt.removeMissingAttempt(a)
			}
			continue
		}
		if a.Exited || len(commands) >= maxCommands {
			continue
		}
		if !a.ShouldKeepRunning() {
			lt.requestStop(a, 0, now)
		}
		if a.Stop != nil {
			grace := max(0, a.Stop.Grace-now.Sub(a.Stop.Since)).Seconds()
			commands = append(commands, api.Command{Verb: api.VerbStop, Task: key.Ref, Attempt: key.ID, GraceS: &grace})
		}
	}
	return append(commands, reaps[:min(len(reaps), maxCommands-len(commands))]...)
}

// applyTaskStatuses updates the attempts that a heartbeat lists, and returns the commands to reap
// those that have exited.
func (lt *leaderTerm) applyTaskStatuses(
	m *cluster.Machine, hb *api.Heartbeat, origin heartbeatOrigin, now time.Time,
) []api.Command {
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
		canReap := origin == agentInitiated && len(reaps) < maxCommands && a.Exited && lt.isReapable(a)
		if canReap && lt.rejectCopies(a) {
			reaps = append(reaps, api.Command{Verb: api.VerbReap, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return reaps
}

// removeMissingAttempt removes an attempt that a newer heartbeat does not list. Such an attempt is
// no longer on the machine: it was reaped, was killed at the end of its agent epoch, or never
// started.
func (lt *leaderTerm) removeMissingAttempt(a *cluster.Attempt) {
	if !a.Exited && !a.ExitHandled && a.Phase == "" {
		lt.c.Log.Debug("task start not applied", "machine", a.Machine.Name, "task", a.Key.Ref, "attempt", a.Key.ID)
	}
	lt.removeAttempt(a)
}

// addImage adds a job's image to the leader's model of a machine's image cache.
func (lt *leaderTerm) addImage(m *cluster.Machine, spec *api.JobSpec, now time.Time) {
	m.Images.Add(spec, lt.c.machineTypes.load()[m.Type].CacheGB, now)
}
