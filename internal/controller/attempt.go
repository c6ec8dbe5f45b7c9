package controller

import (
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// attemptKey identifies an attempt on its machine.
type attemptKey struct {
	// ref is the task's reference, as taskRef builds it; id is the attempt's number.
	ref string
	id  uint64
}

// attempt is one run of a task on a machine, from the time its start is decided until a
// heartbeat, or the end of the machine, shows that it is off the machine.
type attempt struct {
	key     attemptKey
	machine *machine
	// job is nil for an attempt whose job is not active: its team is not known, so the
	// whole machine counts as in use.
	job  *job
	task int
	// phase is what the worker agent last reported, "" until it has reported the attempt.
	phase string
	// sentAgentEpoch is the agent epoch in which the start was sent.
	sentAgentEpoch uint64
	sentAt         time.Time
	// runningAt is when a heartbeat first showed the attempt running.
	runningAt time.Time
	// unmeasured is set if the machine missed heartbeats during the run, so that its
	// length is not known.
	unmeasured bool
	// stop is set once the attempt is to be stopped.
	stop *stopRequest
	// direct is set if the start was sent outside a heartbeat response.
	direct *directCommand
	// exited is set once the attempt has ended and its resources are released.
	exited bool
	// lastSeenHeartbeat is the number of the machine's last heartbeat that showed the attempt, 0
	// if none has.
	lastSeenHeartbeat int
	// exitHandled is set once the cause of the exit has been acted on.
	exitHandled bool
}

// startInFlight tells whether the response with the start may still be in flight to the
// worker agent. Only an agent-initiated heartbeat shows that it is not, or a new agent
// epoch.
func (a *attempt) startInFlight(hb *api.Heartbeat) bool {
	return a.lastSeenHeartbeat == 0 && a.sentAgentEpoch == hb.AgentEpoch
}

// stopRequest is the decision to stop an attempt.
type stopRequest struct {
	// grace is how long from since on the task may take to save its state.
	grace time.Duration
	since time.Time
}

// reserve counts an attempt's resources on its machine, team and zone, or releases them with
// sign -1.
func (a *attempt) reserve(sign float64) {
	if a.job == nil {
		a.machine.countUnattributed(int(sign))
		return
	}
	s, m, t := &a.job.spec, a.machine, a.job.team
	m.usedCPUs += sign * s.CPUs
	m.usedGPUs += sign * s.GPUs
	m.usedMemory += sign * s.MemoryGB
	t.UsedCPUs += sign * s.CPUs
	t.UsedGPUs += sign * s.GPUs
	a.job.attemptsByZone[m.zone] += int(sign)
}

// splitRef is the reverse of taskRef.
func splitRef(ref string) (id string, task int, ok bool) {
	id, num, ok := strings.Cut(ref, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	return id, task, err == nil && task >= 0
}

// mayStillStart tells whether a direct start may still be applied although a heartbeat does not
// show it. One that an earlier heartbeat showed was applied, and is not a second time: it has left
// its machine.
func (a *attempt) mayStillStart(hb *api.Heartbeat) bool {
	d := a.direct
	if d == nil || a.lastSeenHeartbeat != 0 || hb.AgentEpoch > d.agentEpoch {
		return false
	}
	return d.inFlight || d.outcomeUnknown || hb.Seq < d.seq
}

// isWanted tells whether an attempt should run on: it is its task's current one, and its job is
// active here. A job that is to be cancelled is stopped also while the key-value store cannot
// be written: a version without dependencies may have started it too early. One that another
// cell owns is stopped as well.
func (a *attempt) isWanted() bool {
	j := a.job
	return j != nil && !j.ended && !j.cancelPending && j.lent == nil && j.activeAttempts[a.task] == a
}

// directCommand is a start that was sent outside a heartbeat response.
type directCommand struct {
	agentEpoch uint64
	// inFlight is set until there is an outcome, outcomeUnknown if there will be none.
	inFlight, outcomeUnknown bool
	// seq is the sequence number of the first heartbeat that must show the attempt.
	seq uint64
}
