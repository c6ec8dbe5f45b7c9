package controller

import (
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// attemptKey names an attempt on its machine.
type attemptKey struct {
	ref string
	id  uint64
}

// attempt is one try at a task on one machine.
type attempt struct {
	key     attemptKey
	machine *machine
	// job is nil for an attempt whose job is not active: its team is not
	// known, so the whole machine counts as in use.
	job  *job
	task int
	// phase is the worker's, or "" while only the order has been sent.
	phase string
	// sentAgentEpoch is the session in which the start was ordered.
	sentAgentEpoch uint64
	sentAt         time.Time
	runningAt      time.Time
	// unmeasured is set if the machine was out of hearing during the run.
	unmeasured bool
	stop       *stopRequest
	// direct is set if the start was sent straight to the machine.
	direct *directCommand
	exited bool
	// lastSeenIn is the last of the machine's reports that showed the attempt.
	lastSeenIn int
	// exitHandled is set once the exit has been handled.
	exitHandled bool
}

// startInFlight tells whether the answer with the start may still be on its way to
// the worker. Only a report of its own shows that it is not, or a new session.
func (a *attempt) startInFlight(hb *api.Heartbeat) bool {
	return a.lastSeenIn == 0 && a.sentAgentEpoch == hb.AgentEpoch
}

type stopRequest struct {
	grace time.Duration
	since time.Time
}

// reserve adds an attempt's resources to its machine, team and job, or takes
// them off again with sign -1.
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
	a.job.zones[m.zone] += int(sign)
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
