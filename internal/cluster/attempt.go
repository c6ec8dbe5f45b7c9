package cluster

import (
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// AttemptKey identifies an attempt on its machine.
type AttemptKey struct {
	// Ref is the task's reference, as TaskRef builds it; id is the attempt's number.
	Ref string
	ID  uint64
}

// Attempt is one run of a task on a machine, from the time its start is decided until a
// heartbeat, or the end of the machine, shows that it is off the machine.
type Attempt struct {
	Key     AttemptKey
	Machine *Machine
	// Job is nil for an attempt whose job is not active: its team is not known, so the
	// whole machine counts as in use.
	Job  *Job
	Task int
	// Phase is what the worker agent last reported, "" until it has reported the attempt.
	Phase string
	// SentAgentEpoch is the agent epoch in which the start was sent.
	SentAgentEpoch uint64
	SentAt         time.Time
	// RunningAt is when a heartbeat first showed the attempt running.
	RunningAt time.Time
	// Unmeasured is set if the machine missed heartbeats during the run, so that its
	// length is not known.
	Unmeasured bool
	// Stop is set once the attempt is to be stopped.
	Stop *StopRequest
	// DirectStart is set if the start was sent outside a heartbeat response.
	DirectStart *DirectStart
	// Exited is set once the attempt has ended and its resources are released.
	Exited bool
	// LastSeenHeartbeat is the number of the machine's last heartbeat that showed the attempt, 0
	// if none has.
	LastSeenHeartbeat int
	// ExitHandled is set once the cause of the exit has been acted on.
	ExitHandled bool
}

// StartInFlight tells whether the response with the start may still be in flight to the
// worker agent. Only an agent-initiated heartbeat shows that it is not, or a new agent
// epoch.
func (a *Attempt) StartInFlight(hb *api.Heartbeat) bool {
	return a.LastSeenHeartbeat == 0 && a.SentAgentEpoch == hb.AgentEpoch
}

// StopRequest is the decision to stop an attempt.
type StopRequest struct {
	// Grace is how long from since on the task may take to save its state.
	Grace time.Duration
	Since time.Time
}

// Reserve counts the attempt's resources on its machine, team and zone. It is called once.
func (a *Attempt) Reserve() { a.adjustUsage(1) }

// Release gives back what Reserve has counted, and marks the attempt as exited. An attempt that has
// exited holds nothing, so a second call does nothing.
func (a *Attempt) Release() {
	if a.Exited {
		return
	}
	a.Exited = true
	a.adjustUsage(-1)
}

// adjustUsage adds the attempt's resources, times sign, to what is in use.
func (a *Attempt) adjustUsage(sign float64) {
	if a.Job == nil {
		a.Machine.adjustUnattributed(int(sign))
		return
	}
	s, m, t := &a.Job.Spec, a.Machine, a.Job.Team
	m.UsedCPUs += sign * s.CPUs
	m.UsedGPUs += sign * s.GPUs
	m.usedMemory += sign * s.MemoryGB
	t.UsedCPUs += sign * s.CPUs
	t.UsedGPUs += sign * s.GPUs
	a.Job.AttemptsByZone[m.Zone] += int(sign)
}

// ParseTaskRef is the reverse of TaskRef.
func ParseTaskRef(ref string) (id string, task int, ok bool) {
	id, num, ok := strings.Cut(ref, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	return id, task, err == nil && task >= 0
}

// MayStillStart tells whether a direct start may still be applied although a heartbeat does not
// show it. One that an earlier heartbeat showed was applied, and is not a second time: it has left
// its machine.
func (a *Attempt) MayStillStart(hb *api.Heartbeat) bool {
	d := a.DirectStart
	if d == nil || a.LastSeenHeartbeat != 0 || hb.AgentEpoch > d.AgentEpoch {
		return false
	}
	return d.InFlight || d.OutcomeUnknown || hb.Seq < d.FirstHeartbeatSeq
}

// ShouldKeepRunning tells whether an attempt should run on: it is its task's current one, and its job is
// active here. A job that is to be cancelled is stopped also while the key-value store cannot
// be written: a version without dependencies may have started it too early. One that another
// cell owns is stopped as well.
func (a *Attempt) ShouldKeepRunning() bool {
	j := a.Job
	return j != nil && !j.Ended && !j.CancelPending && j.Lent == nil && j.ActiveAttempts[a.Task] == a
}

// DirectStart is a start that was sent outside a heartbeat response.
type DirectStart struct {
	AgentEpoch uint64
	// InFlight is set until there is an outcome, OutcomeUnknown if there will be none.
	InFlight, OutcomeUnknown bool
	// FirstHeartbeatSeq is the sequence number of the first heartbeat that must show the attempt.
	FirstHeartbeatSeq uint64
}
