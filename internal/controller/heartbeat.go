package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// maxCommands bounds the orders of one answer: a line of an answer must stay
// below 64 KiB.
const maxCommands = 200

// handleOwnHeartbeat processes a worker's report and answers with its orders. Orders go in
// answers only: an answer that comes late is dropped by the worker, while an
// order sent by itself could be carried out minutes later.
func (lt *leaderTerm) handleOwnHeartbeat(hb *api.Heartbeat, now time.Time) (api.HeartbeatResponse, error) {
	return lt.handleHeartbeat(hb, agentInitiated, now)
}

// heartbeatOrigin is how a report came about.
type heartbeatOrigin int

const (
	// agentInitiated is one that the worker sent by itself. It does so only once the
	// answer to its last one was carried out or given up.
	agentInitiated heartbeatOrigin = iota
	// solicited answers a resync. There is no answer in which orders could
	// go, and the orders of the last answer may still be on their way to the
	// worker when it is drawn up: it does not show that they were not
	// carried out.
	solicited
)

// handleHeartbeat updates the leader's state by a report and returns the answer to it.
func (lt *leaderTerm) handleHeartbeat(hb *api.Heartbeat, origin heartbeatOrigin, now time.Time) (api.HeartbeatResponse, error) {
	response := api.HeartbeatResponse{Term: lt.term.Number, Commands: []api.Command{}}
	if hb.Term > lt.term.Number {
		// The machine has seen a later term than this one.
		lt.stepDown()
		return response, &api.NotLeaderError{}
	}
	if !lt.loaded {
		// This keeps the lease and makes the machine heard. What is known to be
		// cancelled must not live on by it.
		response.Commands = lt.c.stopCancelled(hb, nil)
		return response, nil
	}
	if lt.terminated.Contains(hb.Machine) {
		return response, api.ErrUnavailable // given back; this was held up on its way
	}
	m := lt.machines[hb.Machine]
	if hb.Term < lt.term.Number && (m != nil || lt.provisioning[hb.Machine] == nil) {
		// A token never falls, so this is the first report of a machine that
		// has yet to hear of this term, one of a machine that no answer
		// reaches, or a copy of an old report that comes late. These look
		// alike: it is answered, so that the machine learns the term, and
		// otherwise changes nothing. Above all it is no sign of life, and
		// brings no machine back that an earlier leader returned.
		return response, nil
	}
	if m == nil {
		// The report's strings share its body's memory.
		m = lt.addMachine(strings.Clone(hb.Machine), strings.Clone(hb.Type), strings.Clone(hb.Zone), hb.Spot, now)
		lt.c.Log.Info("machine up", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot)
	}
	if hb.AgentEpoch < m.agentEpoch || (hb.AgentEpoch == m.agentEpoch && hb.Seq <= m.heartbeatSeq) {
		return response, nil // older than what is known
	}
	response.Commands = lt.applyHeartbeat(m, hb, origin, response.Commands, now)
	return response, nil
}

// applyHeartbeat updates the state of a machine by a report that is newer than all
// before it, and adds the orders that answer it.
func (lt *leaderTerm) applyHeartbeat(m *machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time) []api.Command {
	lt.updateMachine(m, hb, now)
	commands = lt.reconcile(m, hb, origin, commands, now)
	if m.unappliedResponses == 0 {
		m.probeFails = 0
	}
	lt.registerUnregistered(m)
	if hb.Term == lt.term.Number {
		lt.markFenced(m)
		if origin == agentInitiated {
			commands = lt.assignTasks(m, commands, now)
		}
	}
	if origin == agentInitiated {
		m.lastCommands, m.lastCommandsAt = commands, now
	}
	if m.usedCPUs > epsilon || len(m.attempts) > 0 {
		m.idleSince = now
	}
	return commands
}

// updateMachine records what a new report says of the machine itself.
func (lt *leaderTerm) updateMachine(m *machine, hb *api.Heartbeat, now time.Time) {
	if m.agentEpoch != 0 && hb.AgentEpoch > m.agentEpoch {
		if lt.notPausedSince(now.Add(-lt.c.Settings.Site.Workers.Lease() - lt.heartbeatTimeout())) {
			m.unappliedResponses++ // its lease has ended although it was answered
		}
		m.lastCommands = nil
	}
	m.heartbeats++
	if now.Sub(m.lastHeartbeat) > lt.heartbeatTimeout() {
		m.markUnmeasured()
	}
	m.lastHeartbeat = now
	m.agentEpoch, m.heartbeatSeq, m.lastSeen = hb.AgentEpoch, hb.Seq, now
	if m.addr != hb.Addr {
		m.addr = strings.Clone(hb.Addr)
	}
	if m.cpus == 0 {
		if mt, ok := lt.c.types.load()[m.typ]; ok {
			m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
		}
	}
	if hb.PreemptionNoticeS != nil {
		lt.handlePreemptionNotice(m, *hb.PreemptionNoticeS, now)
	}
}

// registerUnregistered has a machine written to the roster if it is not on it. No
// earlier leader has started anything there, so it counts as heard.
func (lt *leaderTerm) registerUnregistered(m *machine) {
	if m.registration != unregistered || m.cpus <= 0 || m.evacuating {
		return
	}
	m.registration = registering
	m.fenced = true
	lt.recordWriter.register(m)
}

// responseMaxAge is how long before an answer this node may have been held up and the
// answer have gone out too late for it: workers drop what comes after four seconds.
const responseMaxAge = 4 * time.Second

// checkApplied checks whether a report shows that the orders of the last answer were
// carried out. To a machine whose reports arrive while answers do not reach it,
// starts would otherwise be sent again and again.
func (lt *leaderTerm) checkApplied(m *machine, now time.Time) {
	if len(m.lastCommands) == 0 {
		return
	}
	for _, command := range m.lastCommands {
		a := m.attempts[attemptKey{command.Task, command.Attempt}]
		shown := a != nil && a.lastSeenIn == m.heartbeats
		if (command.Verb == api.VerbStart) == shown || (shown && command.Verb == api.VerbStop && a.phase != api.TaskRunning) {
			m.unappliedResponses = 0
			return
		}
	}
	if !lt.notPausedSince(m.lastCommandsAt.Add(-responseMaxAge)) {
		return // the answer may have come too late, by this node's fault
	}
	// One answer may be lost; after a second, the machine is asked first.
	if m.unappliedResponses++; m.unappliedResponses > 1 {
		m.cordonedUntil = now.Add(min(lt.c.Settings.Site.Workers.HeartbeatInterval()<<min(m.unappliedResponses, 5), 30*time.Second))
	}
	m.nextProbe = now
	lt.c.Log.Debug("orders not carried out", "machine", m.name, "orders", len(m.lastCommands), "times", m.unappliedResponses)
}

// handlePreemptionNotice handles the cloud's notice that it will take the machine.
func (lt *leaderTerm) handlePreemptionNotice(m *machine, seconds float64, now time.Time) {
	timeLeft := time.Duration(seconds * float64(time.Second))
	first := m.preemptAt.IsZero()
	m.preemptAt = now.Add(timeLeft)
	if !first {
		return
	}
	lt.evacuate(m, "taken by the cloud")
	for _, a := range m.attempts {
		if a.exited || a.job == nil {
			continue
		}
		s := &a.job.spec
		if s.CheckpointS > 0 {
			lt.stop(a, timeLeft, now)
		} else if a.runningAt.IsZero() || a.runningAt.Add(s.Estimate()).After(m.preemptAt) {
			// It would not end in time; elsewhere it can begin now.
			lt.stop(a, 0, now)
		}
	}
}

// stop marks an attempt to be stopped by the answers to its machine's reports.
func (lt *leaderTerm) stop(a *attempt, grace time.Duration, now time.Time) {
	if a.stop != nil && a.stop.grace <= grace {
		return
	}
	a.stop = &stopRequest{grace: grace, since: now}
}

// reconcile brings the machine's attempts in line with its report.
func (lt *leaderTerm) reconcile(m *machine, hb *api.Heartbeat, origin heartbeatOrigin, commands []api.Command, now time.Time) []api.Command {
	// Stops go before reaps: a machine that has ended more tasks than an answer
	// holds orders would run what is cancelled on, while its lease is renewed.
	reaps := lt.applyTaskStatuses(m, hb, now)
	if origin == agentInitiated {
		lt.checkApplied(m, now)
	}
	for key, a := range m.attempts {
		if a.lastSeenIn != m.heartbeats {
			if !a.mayStillStart(hb) && !(origin == solicited && a.startInFlight(hb)) {
				lt.removeMissing(a)
			}
			continue
		}
		if a.exited || len(commands) >= maxCommands {
			continue
		}
		// A version that knows nothing of jobs that await others may have started
		// one too early; one that is to be cancelled is stopped, also while the
		// store cannot be written; so is one that another cell owns.
		if a.job == nil || a.job.ended || a.job.cancelPending || a.job.lent != nil || a.job.activeAttempts[a.task] != a {
			lt.stop(a, 0, now)
		}
		if a.stop != nil {
			grace := max(0, a.stop.grace-now.Sub(a.stop.since)).Seconds()
			commands = append(commands, api.Command{Verb: api.VerbStop, Task: key.ref, Attempt: key.id, GraceS: &grace})
		}
	}
	return append(commands, reaps[:min(len(reaps), maxCommands-len(commands))]...)
}

// applyTaskStatuses updates the attempts that a report names, and returns the
// orders to reap those that have ended.
func (lt *leaderTerm) applyTaskStatuses(m *machine, hb *api.Heartbeat, now time.Time) []api.Command {
	var reaps []api.Command
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		key := attemptKey{status.Task, status.Attempt}
		a := m.attempts[key]
		if a == nil {
			a = lt.adoptAttempt(m, key, status, now)
		}
		a.lastSeenIn = m.heartbeats
		lt.applyTaskStatus(a, status, now)
		if a.exited && lt.isReapable(a) && len(reaps) < maxCommands {
			reaps = append(reaps, api.Command{Verb: api.VerbReap, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return reaps
}

// removeMissing removes an attempt that a newer report does not name, which shows
// that it is off the machine: reaped, killed with its session, or never begun.
func (lt *leaderTerm) removeMissing(a *attempt) {
	if !a.exited && !a.exitHandled && a.phase == "" {
		lt.c.Log.Debug("start lost", "machine", a.machine.name, "task", a.key.ref, "attempt", a.key.id)
	}
	lt.offMachine(a)
}

// recordImage notes that a machine has a job's image.
func (lt *leaderTerm) recordImage(m *machine, s *api.JobSpec, now time.Time) {
	m.images.use(s, lt.c.types.load()[m.typ].CacheGB, now)
}
