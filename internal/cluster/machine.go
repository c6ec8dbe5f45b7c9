package cluster

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// RegistrationState is whether a machine is in the registry. Only a registered machine gets
// tasks, so that the next leader knows every machine that may hold some.
type RegistrationState int

const (
	// Unregistered machines are in no record.
	Unregistered RegistrationState = iota
	// Registering machines are queued for a record, or in one that may not be written yet.
	Registering
	// Registered machines are in a record.
	Registered
)

// Machine is a machine of the cloud that has sent a heartbeat or is in the registry.
type Machine struct {
	Name, Addr string
	// Type is the machine type by which the cloud launches it.
	Type string
	Zone string
	Spot bool
	// CPUs, gpus and memory (in GB) are the machine's size; 0 while its type is not known.
	CPUs, GPUs float64
	MemoryGB   float64

	// UsedCPUs, UsedGPUs and usedMemory are reserved by attempts.
	UsedCPUs, UsedGPUs, usedMemory float64

	// AgentEpoch and HeartbeatSeq are those of the newest heartbeat.
	AgentEpoch, HeartbeatSeq uint64
	// HeartbeatCount counts the heartbeats applied.
	HeartbeatCount int
	// LastCommands are the commands of the last response, sent at LastCommandsAt.
	LastCommands   []api.Command
	LastCommandsAt time.Time
	// UnappliedResponses counts the consecutive responses of which no command was
	// applied, and the agent epochs that ended although the machine was answered: both
	// show that responses do not arrive there.
	UnappliedResponses int
	Registration       RegistrationState
	// Shard is the record of the registry that names the machine.
	Shard *Shard
	// Fenced is set once the machine reports with this term's fencing token: from then on
	// it rejects the commands of earlier leaders.
	Fenced bool
	// LastSeen is when the machine last showed that it was alive, by a heartbeat or by its
	// answer to a probe, moved on by the pauses of this process since; LastHeartbeat is when
	// the last heartbeat arrived.
	LastSeen      time.Time
	LastHeartbeat time.Time
	// NextProbe is when a suspect machine may be probed next; ProbeFails counts the probes
	// that failed in a row.
	NextProbe  time.Time
	ProbeFails int
	// CommandInFlight is set while a command batch is in flight to the machine.
	CommandInFlight bool
	// RelayPending keeps new tasks off the machine while commands for it are relayed through
	// the key-value store.
	RelayPending bool
	// LastHeartbeatForwarded is set if another node forwarded the last heartbeat: the machine may be
	// out of this node's reach.
	LastHeartbeatForwarded bool
	// RedirectedAt is when the machine was last redirected to the node of its zone.
	RedirectedAt time.Time
	// LeaseRenewedUntil is until when another node is known to renew the machine's task
	// lease on behalf of the leader.
	LeaseRenewedUntil time.Time
	AddedAt           time.Time
	// IdleSince is when the machine was last seen to hold an attempt, or was added.
	IdleSince time.Time
	// PreemptAt is when the cloud takes the machine by its preemption notice; zero without
	// one.
	PreemptAt time.Time

	Attempts map[AttemptKey]*Attempt
	// unattributedAttempts counts the attempts whose job, and so whose quota, is not known.
	// unattributedCPUs is what the machine adds to the leader's TotalUnattributedCPUs for them.
	unattributedAttempts  int
	unattributedCPUs      float64
	TotalUnattributedCPUs *float64
	// Images is what the machine is believed to have cached; fetching are the images that
	// its tasks are waiting for.
	Images   ImageCache
	Fetching map[string]bool

	// phase is how far the machine is on its way out; see Phase and Advance.
	phase Phase
	// Draining machines get no tasks while there is capacity elsewhere. Unlike evacuating
	// ones they are taken back into use when that capacity is needed. It is no phase: a
	// machine that was draining when it is evacuated still has its tasks with checkpoints moved.
	Draining bool
	// EvacuationReason is why the machine is evacuated.
	EvacuationReason string

	// Slowdown is how long runs take here against elsewhere, over the last minMeasuredRuns
	// or so; MeasuredRuns counts the runs measured.
	Slowdown     float64
	MeasuredRuns int

	// TaskErrorsByJob counts tasks that failed since one last completed here.
	TaskErrorsByJob map[string]int
	// The machine gets no tasks before CordonedUntil; CordonDuration is the length of its
	// last cordon for a failed task, from which the next follows.
	CordonedUntil  time.Time
	CordonDuration time.Duration
}

// FreeCPUs are the CPUs that no attempt has reserved.
func (m *Machine) FreeCPUs() float64 { return m.CPUs - m.UsedCPUs }

// Epsilon is the difference below which two amounts of a resource count as equal: sums of
// floats are not exact.
const Epsilon = 1e-6

// Fits tells whether the machine has free capacity for one more task of a job.
func (m *Machine) Fits(s *api.JobSpec) bool {
	return len(m.Attempts) < MaxMachineAttempts &&
		m.UsedCPUs+s.CPUs <= m.CPUs+Epsilon &&
		m.UsedGPUs+s.GPUs <= m.GPUs+Epsilon &&
		m.usedMemory+s.MemoryGB <= m.MemoryGB+Epsilon
}

// MaxMachineAttempts bounds the attempts on a machine, and so the size of its heartbeats: one that
// exceeds a request's body of 64 KiB cannot be sent, and all tasks would end with the task
// lease. Only tasks that use next to nothing of a machine reach this bound.
const MaxMachineAttempts = 450

// Slots is how many more tasks of a job the machine has capacity for.
func (m *Machine) Slots(s *api.JobSpec) int {
	n := float64(max(0, MaxMachineAttempts-len(m.Attempts)))
	for _, f := range []struct{ free, each float64 }{
		{m.CPUs - m.UsedCPUs, s.CPUs}, {m.GPUs - m.UsedGPUs, s.GPUs}, {m.MemoryGB - m.usedMemory, s.MemoryGB},
	} {
		if f.each > 0 {
			n = min(n, math.Floor(f.free/f.each+Epsilon))
		}
	}
	return int(min(n, api.MaxTasks))
}

// UpdateFetching finds the images that the machine is fetching.
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

// CanFetch tells whether the machine has an image, is fetching it, or may begin to while it
// fetches fewer than limit.
func (m *Machine) CanFetch(image string, limit int) bool {
	return m.Images.Has(image) || m.Fetching[image] || len(m.Fetching) < limit
}

// IsSchedulable tells whether the machine may be assigned tasks.
func (m *Machine) IsSchedulable(now time.Time) bool {
	return m.Fenced && m.Registration == Registered &&
		m.phase == Active && !m.Draining && !m.RelayPending &&
		m.CPUs > 0 && m.PreemptAt.IsZero() && m.unattributedAttempts == 0 && !now.Before(m.CordonedUntil)
}

// adjustUnattributed adds n unattributed attempts, and keeps the leader's sum of the capacity
// that such attempts may use: the whole of each machine that holds any.
func (m *Machine) adjustUnattributed(n int) {
	m.unattributedAttempts += n
	inUse := 0.0
	if m.unattributedAttempts > 0 {
		inUse = m.CPUs
	}
	*m.TotalUnattributedCPUs += inUse - m.unattributedCPUs
	m.unattributedCPUs = inUse
}

// RegistryEntry is a machine's entry in a shard.
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

// IsEmpty tells whether no attempt is on the machine but those whose start has an unknown
// outcome.
func (m *Machine) IsEmpty() bool {
	for _, a := range m.Attempts {
		if a.DirectStart == nil || !a.DirectStart.OutcomeUnknown || a.LastSeenHeartbeat != 0 {
			return false
		}
	}
	return true
}

// MarkUnmeasured marks the runs on a machine whose heartbeats were delayed: when they ended is
// not known. Counted as long, such runs had half of a zone's machines quarantined after a
// partition.
func (m *Machine) MarkUnmeasured() {
	for _, a := range m.Attempts {
		a.Unmeasured = true
	}
}
