package cluster

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// RegistrationState is whether a machine is in the registry. Only registered machines are assigned
// tasks, so that the next leader finds every machine that may run some.
type RegistrationState int

const (
	// Unregistered machines are in no registry record.
	Unregistered RegistrationState = iota
	// Registering machines are queued for a record, or in one that may not be written yet.
	Registering
	// Registered machines are in a record of the key-value store.
	Registered
)

// Machine is a cloud machine that has sent a heartbeat or is in the registry.
type Machine struct {
	Name, Addr string
	// Type is the cloud's machine type.
	Type string
	Zone string
	Spot bool
	// CPUs, GPUs and MemoryGB are the machine's capacity; 0 while its type is not known.
	CPUs, GPUs float64
	MemoryGB   float64

	// UsedCPUs, UsedGPUs and usedMemory (in GB) are the resources reserved by attempts.
	UsedCPUs, UsedGPUs, usedMemory float64

	// AgentEpoch and HeartbeatSeq are the worker agent's epoch and the sequence number of the
	// newest heartbeat.
	AgentEpoch, HeartbeatSeq uint64
	// Token is the highest fencing token of this term that the leader has sent to the machine, or
	// that the machine has reported.
	Token uint64
	// HeartbeatCount counts the heartbeats applied.
	HeartbeatCount int
	// LastCommands are the commands of the last heartbeat response, sent at LastCommandsAt.
	LastCommands   []api.Command
	LastCommandsAt time.Time
	// UnappliedResponses counts the consecutive responses of which no command was applied, and
	// the agent epochs that ended although the leader had answered the heartbeats. Both indicate
	// that responses do not reach the machine.
	UnappliedResponses int
	Registration       RegistrationState
	// Shard is the registry record that lists the machine.
	Shard *Shard
	// Fenced is set once the machine reports this term's fencing token: from then on it rejects
	// the commands of earlier leaders.
	Fenced bool
	// LastSeen is when the machine last showed that it was alive, by a heartbeat or an answer to
	// a probe. Pauses of this process since then are added to it. LastHeartbeat is when the last
	// heartbeat arrived.
	LastSeen      time.Time
	LastHeartbeat time.Time
	// NextProbe is the earliest time of the next probe of a suspect machine. ProbeFails counts
	// its consecutive failed probes.
	NextProbe  time.Time
	ProbeFails int
	// CommandInFlight is set while a command batch is in flight to the machine.
	CommandInFlight bool
	// RelayPending keeps the machine from being assigned tasks while commands to it are relayed
	// through the key-value store.
	RelayPending bool
	// LastHeartbeatForwarded is set if another node forwarded the last heartbeat. This node may
	// then be unable to connect to the machine.
	LastHeartbeatForwarded bool
	// LastHeartbeatRelayed is set if the last heartbeat came through the key-value store, so that it may
	// be seconds older than its arrival.
	LastHeartbeatRelayed bool
	// RedirectedAt is when the machine was last redirected to the node of its own zone.
	RedirectedAt time.Time
	// LeaseRenewedUntil is the time up to which another node is expected to renew the machine's
	// task lease on behalf of the leader.
	LeaseRenewedUntil time.Time
	AddedAt           time.Time
	// IdleSince is when a heartbeat last arrived while the machine had attempts, or when the machine
	// was added.
	IdleSince time.Time
	// PreemptAt is when the cloud reclaims the machine according to its preemption notice; zero
	// without a notice.
	PreemptAt time.Time

	Attempts map[AttemptKey]*Attempt
	// unattributedAttempts counts the attempts whose job, and thus whose team's quota, is not
	// known. unattributed is the machine's share of the leader's TotalUnattributed.
	unattributedAttempts int
	unattributed         UnattributedUsage
	TotalUnattributed    *UnattributedUsage
	// Images is the leader's model of the machine's image cache. Fetching holds the images that
	// its tasks are waiting for.
	Images   ImageCache
	Fetching map[string]bool

	// phase is the machine's lifecycle phase; see Phase and Advance.
	phase Phase
	// Draining machines are assigned no tasks while other machines have capacity. Unlike
	// evacuating machines, they are taken back into use when their capacity is needed. Draining is
	// separate from the phase: tasks with checkpoints are still moved off a machine that was
	// draining when its evacuation began.
	Draining bool
	// EvacuationReason is why the machine is evacuated.
	EvacuationReason string

	// Slowdown is the ratio of run times on this machine to those of the same jobs on other machines,
	// averaged over about the last minMeasuredRuns (package controller). MeasuredRuns counts the
	// runs compared.
	Slowdown     float64
	MeasuredRuns int

	// TaskErrorsByJob counts the failed tasks by job, since a task last completed on the machine.
	TaskErrorsByJob map[string]int
	// CordonedUntil is the time before which the machine is assigned no tasks. CordonDuration is
	// the length of its last cordon for a failed task; the next one is twice as long, up to a limit.
	CordonedUntil  time.Time
	CordonDuration time.Duration
}

// FreeCPUs returns the CPUs that no attempt has reserved.
func (m *Machine) FreeCPUs() float64 { return m.CPUs - m.UsedCPUs }

// Epsilon is the tolerance in comparisons of resource amounts, which are sums of floats.
const Epsilon = 1e-6

// Fits reports whether the machine has free capacity for one more task of a job.
func (m *Machine) Fits(s *api.JobSpec) bool {
	return len(m.Attempts) < MaxMachineAttempts &&
		m.UsedCPUs+s.CPUs <= m.CPUs+Epsilon &&
		m.UsedGPUs+s.GPUs <= m.GPUs+Epsilon &&
		m.usedMemory+s.MemoryGB <= m.MemoryGB+Epsilon
}

// MaxMachineAttempts limits the attempts on a machine, and thereby the size of its heartbeats. A
// heartbeat larger than the request limit of 64 KiB cannot be sent, so the task lease would expire
// and all tasks would end. Only tasks that use almost none of a machine's resources reach the limit.
const MaxMachineAttempts = 450

// Slots returns how many more tasks of a job the machine has capacity for.
func (m *Machine) Slots(s *api.JobSpec) int {
	n := float64(max(0, MaxMachineAttempts-len(m.Attempts)))
	for _, resource := range []struct{ free, perTask float64 }{
		{m.CPUs - m.UsedCPUs, s.CPUs}, {m.GPUs - m.UsedGPUs, s.GPUs}, {m.MemoryGB - m.usedMemory, s.MemoryGB},
	} {
		if resource.perTask > 0 {
			n = min(n, math.Floor(resource.free/resource.perTask+Epsilon))
		}
	}
	return int(min(n, api.MaxTasks))
}

// UpdateFetching recomputes which images the machine is fetching.
func (m *Machine) UpdateFetching() {
	m.Fetching = map[string]bool{}
	for _, a := range m.Attempts {
		if a.Exited || a.Job == nil || (a.Phase != "" && a.Phase != api.TaskPulling) {
			continue
		}
		if !m.Images.Has(a.Job.Spec.Image) {
			m.Fetching[a.Job.Spec.Image] = true
		}
	}
}

// CanFetch reports whether the machine has an image, is fetching it, or may start to fetch it
// because fewer than limit fetches are in progress.
func (m *Machine) CanFetch(image string, limit int) bool {
	return m.Images.Has(image) || m.Fetching[image] || len(m.Fetching) < limit
}

// IsSchedulable reports whether the machine may be assigned tasks.
func (m *Machine) IsSchedulable(now time.Time) bool {
	return m.Fenced && m.Registration == Registered &&
		m.phase == Active && !m.Draining && !m.RelayPending &&
		m.CPUs > 0 && m.PreemptAt.IsZero() && m.unattributedAttempts == 0 && !now.Before(m.CordonedUntil)
}

// UnattributedUsage is the usage of attempts whose job, and thus whose team's quota, is not known.
type UnattributedUsage struct{ CPUs, GPUs float64 }

// adjustUnattributed adds n unattributed attempts and updates TotalUnattributed. Because the resources of
// these attempts are not known, all CPUs and GPUs of a machine that has any count as used.
func (m *Machine) adjustUnattributed(n int) {
	m.unattributedAttempts += n
	var inUse UnattributedUsage
	if m.unattributedAttempts > 0 {
		inUse = UnattributedUsage{CPUs: m.CPUs, GPUs: m.GPUs}
	}
	m.TotalUnattributed.CPUs += inUse.CPUs - m.unattributed.CPUs
	m.TotalUnattributed.GPUs += inUse.GPUs - m.unattributed.GPUs
	m.unattributed = inUse
}

// RegistryEntry returns the machine's entry in a registry record.
func (m *Machine) RegistryEntry() records.MachineRecord {
	return records.MachineRecord{
		Name:     m.Name,
		Addr:     m.Addr,
		Type:     m.Type,
		Zone:     m.Zone,
		Spot:     m.Spot,
		CPUs:     m.CPUs,
		GPUs:     m.GPUs,
		MemoryGB: m.MemoryGB,
	}
}

// IsEmpty reports whether the machine has no attempts. Those that may never have started, because
// the outcome of their start is not known, do not count.
func (m *Machine) IsEmpty() bool {
	for _, a := range m.Attempts {
		if a.DirectStart == nil || !a.DirectStart.OutcomeUnknown || a.LastSeenHeartbeat != 0 {
			return false
		}
	}
	return true
}

// MarkUnmeasured excludes the machine's attempts from the run time statistics after a gap in its
// heartbeats, since it is not known when they end. Counted with the gap, such runs had half of a
// zone's machines quarantined as slow after a partition.
func (m *Machine) MarkUnmeasured() {
	for _, a := range m.Attempts {
		a.Unmeasured = true
	}
}
