package controller

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
)

type registrationState int

const (
	unregistered registrationState = iota
	registering
	registered
)

// machine is a rented machine that has reported or is on the roster.
type machine struct {
	name, addr string
	typ        string
	zone       string
	spot       bool
	cpus, gpus float64
	memory     float64

	usedCPUs, usedGPUs, usedMemory float64

	agentEpoch, heartbeatSeq uint64
	// heartbeats counts the reports processed.
	heartbeats int
	// lastCommands are the orders of the last answer. unheeded counts the reports in
	// a row that showed none of their orders carried out, and the sessions
	// that ended although the machine was answered: answers do not reach it.
	lastCommands       []api.Command
	lastCommandsAt     time.Time
	unappliedResponses int
	registration       registrationState
	shard              *shard
	// fenced is set once the machine reports with this term: from then on it
	// carries out no earlier leader's orders.
	fenced   bool
	lastSeen time.Time
	// lastHeartbeat is when the last report came.
	lastHeartbeat time.Time
	// nextProbe and probeFails belong to the watch over silent machines.
	nextProbe  time.Time
	probeFails int
	// commandInFlight is set while orders are on their way straight to the machine.
	commandInFlight bool
	// relayPending keeps new tasks off while orders for it are on their way through the
	// state service.
	relayPending bool
	// lastForwarded is set if its last report was passed on by another node: it may
	// be out of this node's reach.
	lastForwarded bool
	// redirectedAt is when the machine was last told to report to a nearer node.
	redirectedAt time.Time
	// leaseRenewedUntil is until when another node is known to extend its leases.
	leaseRenewedUntil time.Time
	addedAt           time.Time
	idleSince         time.Time
	preemptAt         time.Time

	attempts map[attemptKey]*attempt
	// unattributed counts tasks whose team is not known; unattributedCPUs is what the
	// machine adds to unattributedTotal for them.
	unattributed      int
	unattributedCPUs  float64
	unattributedTotal *float64
	images            imageCache
	// fetching are the images that tasks on the machine wait for.
	fetching map[string]bool

	// draining machines get no tasks while there is room elsewhere; unlike
	// leaving ones they are taken back into use when that room is needed.
	draining    bool
	evacuating  bool
	terminating bool
	reason      string

	// slowdown is how long runs take here against elsewhere, over minMeasuredRuns.
	slowdown     float64
	measuredRuns int

	taskErrorsByJob map[string]int
	cordonedUntil   time.Time
	cordonDuration  time.Duration
	terminated      bool
}

func (m *machine) freeCPUs() float64 { return m.cpus - m.usedCPUs }

const epsilon = 1e-6

func (m *machine) fits(s *api.JobSpec) bool {
	return len(m.attempts) < maxAttempts && m.usedCPUs+s.CPUs <= m.cpus+epsilon && m.usedGPUs+s.GPUs <= m.gpus+epsilon &&
		m.usedMemory+s.MemoryGB <= m.memory+epsilon
}

// maxAttempts bounds what is on a machine, and so its report: one that does not
// fit a request's body of 64 KiB cannot be sent, and all tasks would end with the
// lease. Only tasks that take next to nothing of a machine come that many.
const maxAttempts = 450

// slots is how many more tasks of a job the machine has room for.
func (m *machine) slots(s *api.JobSpec) int {
	n := float64(max(0, maxAttempts-len(m.attempts)))
	for _, f := range []struct{ free, each float64 }{
		{m.cpus - m.usedCPUs, s.CPUs}, {m.gpus - m.usedGPUs, s.GPUs}, {m.memory - m.usedMemory, s.MemoryGB},
	} {
		if f.each > 0 {
			n = min(n, math.Floor(f.free/f.each+epsilon))
		}
	}
	return int(min(n, api.MaxTasks))
}

// updateFetching finds the images that the machine is fetching.
func (m *machine) updateFetching() {
	m.fetching = map[string]bool{}
	for _, a := range m.attempts {
		if a.exited || a.job == nil || (a.phase != "" && a.phase != api.TaskPulling) {
			continue
		}
		if !m.images.has(a.job.spec.Image) {
			m.fetching[a.job.spec.Image] = true
		}
	}
}

// canFetch tells whether the machine has an image, or may begin to fetch it
// beside at most others.
func (m *machine) canFetch(image string, limit int) bool {
	return m.images.has(image) || m.fetching[image] || len(m.fetching) < limit
}

// isSchedulable tells whether the machine may be given tasks.
func (m *machine) isSchedulable(now time.Time) bool {
	return m.fenced && m.registration == registered && !m.draining && !m.evacuating && !m.terminated && !m.relayPending && m.cpus > 0 &&
		m.preemptAt.IsZero() && m.unattributed == 0 && !now.Before(m.cordonedUntil)
}

// countUnattributed counts tasks whose team is not known, and keeps the sum of the
// capacity that they may use.
func (m *machine) countUnattributed(n int) {
	m.unattributed += n
	held := 0.0
	if m.unattributed > 0 {
		held = m.cpus
	}
	*m.unattributedTotal += held - m.unattributedCPUs
	m.unattributedCPUs = held
}
