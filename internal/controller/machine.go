package controller

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// registrationState is whether a machine is in the registry. Only a registered machine gets
// tasks, so that the next leader knows every machine that may hold some.
type registrationState int

const (
	unregistered registrationState = iota
	registering
	registered
)

// machine is a rented machine that has sent a heartbeat or is in the registry.
type machine struct {
	name, addr string
	// machineType is the machine type by which the cloud rents it.
	machineType string
	zone        string
	spot        bool
	// cpus, gpus and memory (in GB) are the machine's size; 0 while its type is not known.
	cpus, gpus float64
	memory     float64

	// usedCPUs, usedGPUs and usedMemory are reserved by attempts.
	usedCPUs, usedGPUs, usedMemory float64

	// agentEpoch and heartbeatSeq are those of the newest heartbeat.
	agentEpoch, heartbeatSeq uint64
	// heartbeatCount counts the heartbeats applied.
	heartbeatCount int
	// lastCommands are the commands of the last response, sent at lastCommandsAt.
	lastCommands   []api.Command
	lastCommandsAt time.Time
	// unappliedResponses counts the consecutive responses of which no command was
	// applied, and the agent epochs that ended although the machine was answered: both
	// show that responses do not arrive there.
	unappliedResponses int
	registration       registrationState
	// shard is the record of the registry that names the machine.
	shard *shard
	// fenced is set once the machine reports with this term's fencing token: from then on
	// it rejects the commands of earlier leaders.
	fenced bool
	// lastSeen is when the machine last showed that it was alive, by a heartbeat or by its
	// answer to a probe, moved on by the pauses of this process since; lastHeartbeat is when
	// the last heartbeat arrived.
	lastSeen      time.Time
	lastHeartbeat time.Time
	// nextProbe is when a suspect machine may be probed next; probeFails counts the probes
	// that failed in a row.
	nextProbe  time.Time
	probeFails int
	// commandInFlight is set while a command batch is in flight to the machine.
	commandInFlight bool
	// relayPending keeps new tasks off the machine while commands for it are relayed through
	// the key-value store.
	relayPending bool
	// lastForwarded is set if another node forwarded the last heartbeat: the machine may be
	// out of this node's reach.
	lastForwarded bool
	// redirectedAt is when the machine was last redirected to the node of its zone.
	redirectedAt time.Time
	// leaseRenewedUntil is until when another node is known to renew the machine's task
	// lease on behalf of the leader.
	leaseRenewedUntil time.Time
	addedAt           time.Time
	// idleSince is when the machine was last seen to hold an attempt, or was added.
	idleSince time.Time
	// preemptAt is when the cloud takes the machine by its preemption notice; zero without
	// one.
	preemptAt time.Time

	attempts map[attemptKey]*attempt
	// unattributed counts the attempts whose job, and so whose quota, is not known.
	// unattributedCPUs is what the machine adds to the leader's unattributedTotal for them.
	unattributed      int
	unattributedCPUs  float64
	unattributedTotal *float64
	// images is what the machine is believed to have cached; fetching are the images that
	// its tasks are waiting for.
	images   imageCache
	fetching map[string]bool

	// draining machines get no tasks while there is capacity elsewhere. Unlike evacuating
	// ones they are taken back into use when that capacity is needed.
	draining bool
	// evacuating machines get no tasks, and their end follows.
	evacuating bool
	// terminating is set once the machine is to be terminated by the cloud, terminated once
	// the cloud has confirmed that.
	terminating bool
	terminated  bool
	// reason is why the machine is evacuated.
	reason string

	// slowdown is how long runs take here against elsewhere, over the last minMeasuredRuns
	// or so; measuredRuns counts the runs measured.
	slowdown     float64
	measuredRuns int

	// taskErrorsByJob counts tasks that failed since one last completed here.
	taskErrorsByJob map[string]int
	// The machine gets no tasks before cordonedUntil; cordonDuration is the length of its
	// last cordon for a failed task, from which the next follows.
	cordonedUntil  time.Time
	cordonDuration time.Duration
}

// freeCPUs are the CPUs that no attempt has reserved.
func (m *machine) freeCPUs() float64 { return m.cpus - m.usedCPUs }

// epsilon is the difference below which two amounts of a resource count as equal: sums of
// floats are not exact.
const epsilon = 1e-6

// fits tells whether the machine has free capacity for one more task of a job.
func (m *machine) fits(s *api.JobSpec) bool {
	return len(m.attempts) < maxAttempts &&
		m.usedCPUs+s.CPUs <= m.cpus+epsilon &&
		m.usedGPUs+s.GPUs <= m.gpus+epsilon &&
		m.usedMemory+s.MemoryGB <= m.memory+epsilon
}

// maxAttempts bounds the attempts on a machine, and so the size of its heartbeats: one that
// exceeds a request's body of 64 KiB cannot be sent, and all tasks would end with the task
// lease. Only tasks that use next to nothing of a machine reach this bound.
const maxAttempts = 450

// slots is how many more tasks of a job the machine has capacity for.
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

// canFetch tells whether the machine has an image, is fetching it, or may begin to while it
// fetches fewer than limit.
func (m *machine) canFetch(image string, limit int) bool {
	return m.images.has(image) || m.fetching[image] || len(m.fetching) < limit
}

// isSchedulable tells whether the machine may be assigned tasks.
func (m *machine) isSchedulable(now time.Time) bool {
	return m.fenced && m.registration == registered &&
		!m.draining && !m.evacuating && !m.terminated && !m.relayPending &&
		m.cpus > 0 && m.preemptAt.IsZero() && m.unattributed == 0 && !now.Before(m.cordonedUntil)
}

// countUnattributed adds n unattributed attempts, and keeps the leader's sum of the capacity
// that such attempts may use: the whole of each machine that holds any.
func (m *machine) countUnattributed(n int) {
	m.unattributed += n
	inUse := 0.0
	if m.unattributed > 0 {
		inUse = m.cpus
	}
	*m.unattributedTotal += inUse - m.unattributedCPUs
	m.unattributedCPUs = inUse
}

// registryEntry is a machine's entry in a shard.
func (m *machine) registryEntry() records.MachineRecord {
	return records.MachineRecord{
		Name:     m.name,
		Addr:     m.addr,
		Type:     m.machineType,
		Zone:     m.zone,
		Spot:     m.spot,
		CPUs:     m.cpus,
		GPUs:     m.gpus,
		MemoryGB: m.memory,
	}
}

// isEmpty tells whether no attempt is on the machine but those whose start has an unknown
// outcome.
func (m *machine) isEmpty() bool {
	for _, a := range m.attempts {
		if a.direct == nil || !a.direct.outcomeUnknown || a.lastSeenHeartbeat != 0 {
			return false
		}
	}
	return true
}

// markUnmeasured marks the runs on a machine whose heartbeats were delayed: when they ended is
// not known. Counted as long, such runs had half of a zone's machines quarantined after a
// partition.
func (m *machine) markUnmeasured() {
	for _, a := range m.attempts {
		a.unmeasured = true
	}
}
