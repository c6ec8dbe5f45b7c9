package cluster

import (
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// AttemptKey identifies an attempt on its machine.
type AttemptKey struct {
	// Ref is the task's reference as built by Job.TaskRef. ID is the attempt's number.
	Ref string
	ID  uint64
}

// Attempt is one run of a task on a machine. It lasts from the decision to start the task until a
// heartbeat, or the termination of the machine, shows that the task is off the machine.
type Attempt struct {
	Key     AttemptKey
	Machine *Machine
	// Job is nil if the attempt's job is not active. The resources and the team of such an attempt
	// are not known, so the whole machine counts as used.
	Job  *Job
	Task int
	// Phase is the task phase in the last heartbeat, or empty if no heartbeat has shown the attempt.
	Phase string
	// SentAgentEpoch is the agent epoch in which the start was sent.
	SentAgentEpoch uint64
	SentAt         time.Time
	// RunningAt is when a heartbeat first showed the attempt running.
	RunningAt time.Time
	// Unmeasured is set if the machine missed heartbeats during the run, so that the run time is
	// not known.
	Unmeasured bool
	// Stop is the request to stop the attempt, or nil.
	Stop *StopRequest
	// DirectStart is set if the start was sent outside a heartbeat response.
	DirectStart *DirectStart
	// Exited is set once the attempt has ended and its resources are released.
	Exited bool
	// LastSeenHeartbeat is the machine's HeartbeatCount at the last heartbeat that showed the
	// attempt, or 0 if none has.
	LastSeenHeartbeat int
	// ExitHandled is set once the exit has been handled according to its cause.
	ExitHandled bool
}

// IsRunning reports whether a task in the given phase of a heartbeat runs, from the point of view of its
// job's users.
func IsRunning(phase string) bool { return phase == api.TaskRunning || phase == api.TaskSaving }

// StartInFlight reports whether the response that carries the start may still be in flight to the
// worker agent when a solicited heartbeat is built. It does not apply to agent-initiated
// heartbeats: the agent sends one only after it has applied the last response or that has timed
// out.
func (a *Attempt) StartInFlight(hb *api.Heartbeat) bool {
	return a.LastSeenHeartbeat == 0 && a.SentAgentEpoch == hb.AgentEpoch
}

// WasUnfinishedSince reports whether the attempt had certainly not completed at a time: its start was sent
// after that, or a heartbeat that has arrived since, and not through the key-value store, shows it.
func (a *Attempt) WasUnfinishedSince(t time.Time) bool {
	m := a.Machine
	switch {
	case a.Exited:
		return false
	case a.SentAt.After(t):
		return true
	}
	return a.LastSeenHeartbeat == m.HeartbeatCount && m.LastHeartbeat.After(t) && !m.LastHeartbeatRelayed
}

// StopRequest is a request to stop an attempt.
type StopRequest struct {
	// Grace is the time after Since in which the task may save its state.
	Grace time.Duration
	Since time.Time
}

// Reserve adds the attempt's resources to the usage of its machine and team, and counts it in its
// job's AttemptsByZone. If the job is not known, the whole machine counts as used. Reserve is called
// once for an attempt.
func (a *Attempt) Reserve() { a.adjustUsage(1) }

// Release undoes Reserve and marks the attempt as exited. It does nothing if the attempt has already
// exited.
func (a *Attempt) Release() {
	if a.Exited {
		return
	}
	a.Exited = true
	a.adjustUsage(-1)
}

// adjustUsage does the work of Reserve with sign 1, and of Release with sign -1.
func (a *Attempt) adjustUsage(sign float64) {
	if a.Job == nil {
		a.Machine.adjustUnattributed(int(sign))
		return
	}
	spec, machine, team := &a.Job.Spec, a.Machine, a.Job.Team
	machine.UsedCPUs += sign * spec.CPUs
	machine.UsedGPUs += sign * spec.GPUs
	machine.usedMemory += sign * spec.MemoryGB
	team.UsedCPUs += sign * spec.CPUs
	team.UsedGPUs += sign * spec.GPUs
	a.Job.AttemptsByZone[machine.Zone] += int(sign)
}

// ParseTaskRef splits a reference built by Job.TaskRef into the job's ID and the task's index.
func ParseTaskRef(ref string) (id string, task int, ok bool) {
	id, num, ok := strings.Cut(ref, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	return id, task, err == nil && task >= 0
}

// MayStillStart reports whether a direct start may still be applied although heartbeat hb does not
// show the attempt. If an earlier heartbeat showed the attempt, it has left the machine: it is reaped
// only once the machine rejects copies of its start.
func (a *Attempt) MayStillStart(hb *api.Heartbeat) bool {
	d := a.DirectStart
	if d == nil || a.LastSeenHeartbeat != 0 || hb.AgentEpoch > d.AgentEpoch {
		return false
	}
	if d.Token != 0 && hb.Token > d.Token {
		return false // the machine rejects the batch from now on
	}
	return d.InFlight || d.OutcomeUnknown || hb.Seq < d.FirstHeartbeatSeq
}

// ShouldKeepRunning reports whether the attempt is the current one of its task and its job is active
// in this cell. Attempts of a job whose cancellation is pending are stopped even while the key-value
// store cannot be written: a version without support for dependencies may have started the job too
// early. Attempts of a job that is lent to another cell are stopped as well.
func (a *Attempt) ShouldKeepRunning() bool {
	j := a.Job
	return j != nil && !j.Ended && !j.CancelPending && j.Lent == nil && j.ActiveAttempts[a.Task] == a
}

// DirectStart is the state of a start that was sent outside a heartbeat response, either directly to
// the machine or relayed through the key-value store.
type DirectStart struct {
	AgentEpoch uint64
	// Token is the fencing token of the command batch that was sent to the machine. While the machine
	// has no higher one, a late copy of the batch starts the attempt again once it is reaped. Token is
	// 0 for a relayed start: it reaches the machine in a heartbeat response, which is never applied late.
	Token uint64
	// InFlight is set until the outcome is known. OutcomeUnknown is set if it never will be.
	InFlight, OutcomeUnknown bool
	// FirstHeartbeatSeq is the sequence number of the first heartbeat that must show the attempt.
	FirstHeartbeatSeq uint64
}
