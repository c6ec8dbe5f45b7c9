package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

const (
	probeInterval = time.Second
	// deadAfterFailedProbes is how many consecutive probes of a suspect machine must fail for it to
	// count as dead.
	deadAfterFailedProbes = 2
	// undeliveredAfterResponses is how many consecutive responses must remain unapplied for a
	// machine to count as unable to receive commands, even if it answers probes.
	undeliveredAfterResponses = 4
	// freshHeartbeatAge is the age below which a heartbeat counts as fresh.
	freshHeartbeatAge = 2 * time.Second
	// minZoneMachines is the size of a zone below which its number of fresh heartbeats is not used to
	// infer a partition.
	minZoneMachines = 10
	// takeoverGrace is how long machines have to find a new leader before they are suspect.
	takeoverGrace = 1500 * time.Millisecond
)

// minPartitionSuspects is how many machines of a zone must be suspect for the zone to count as
// partitioned. They must also be more than three fifths of the zone's machines.
const minPartitionSuspects = 3

// Settings are the settings of a Detector.
type Settings struct {
	Workers config.Workers
	// MaxDials limits the probes in flight and, separately, the resyncs in flight.
	MaxDials int
	// CanProbe and CanResync are set if the owner can send requests of that kind. A probe that
	// cannot be sent counts as failed.
	CanProbe, CanResync bool
}

// Detector is the failure detector of one leader term.
type Detector struct {
	settings Settings
	lastTick time.Time
	// lastPause is when the last pause of this process was detected.
	lastPause time.Time
	// heartbeatsSince is the time since which this node receives heartbeats as leader.
	heartbeatsSince time.Time
	// probing and resyncing count the probes and resyncs in flight.
	probing, resyncing int
	// toResync is the queue of machines that a new leader has yet to resync.
	toResync []*cluster.Machine
}

// New returns the failure detector of a new leader term.
func New(s Settings) *Detector { return &Detector{settings: s} }

// HeartbeatsStarted records that this node receives heartbeats as leader from now on.
func (d *Detector) HeartbeatsStarted(now time.Time) { d.heartbeatsSince = now }

// HeartbeatTimeout returns the longest time between two heartbeats of a healthy machine.
func (d *Detector) HeartbeatTimeout() time.Duration {
	return 2*d.settings.Workers.HeartbeatInterval() + time.Second
}

// Reason is why a machine is to be evacuated and terminated.
type Reason string

const (
	// ReasonSilent means that no heartbeats arrive from the machine.
	ReasonSilent Reason = "silent"
	// ReasonUndelivered means that heartbeats arrive from the machine, but no responses reach it.
	ReasonUndelivered Reason = "deaf"
	// ReasonRestarted means that the worker agent was restarted under the machine's name.
	ReasonRestarted Reason = "started anew"
)

// CheckResult holds the actions that the owner must take for a machine, in the order of the fields.
type CheckResult struct {
	// Request is the request to send. Its Kind is NoRequest if there is none.
	Request Request
	// Partitioned is set if the machine is suspect, but a partition of its zone is more likely than
	// its failure. Another node may then renew its task lease.
	Partitioned bool
	// EvacuationReason is why the machine must be evacuated and terminated, or empty if it need not.
	EvacuationReason Reason
}

// Check determines the actions for a machine from its state and the counts of its zone.
//
// A machine is confirmed dead by a missed heartbeat and two failed probes. Waiting for its task lease
// to expire instead would delay its tasks, and a new leader waiting for it to be fenced cannot start
// jobs accepted before its term. A machine that sends heartbeats but applies no commands is probed
// too. If most of a zone is suspect at once, a partition is the more likely cause, and a node on the
// other side may renew the machines' task leases on behalf of the leader. They are then terminated
// only after the latest time at which such renewals end.
func (d *Detector) Check(m *cluster.Machine, zone ZoneCount, now time.Time) CheckResult {
	if m.Phase() >= cluster.Terminating || !d.isSuspect(m, now) {
		return CheckResult{}
	}
	result := CheckResult{Request: d.nextRequest(m, now), Partitioned: d.isLikelyPartitioned(m, zone)}
	if !d.shouldTerminate(m, result.Partitioned, now) {
		return result
	}
	result.EvacuationReason = ReasonSilent
	if m.UnappliedResponses > 0 {
		result.EvacuationReason = ReasonUndelivered
	}
	return result
}

// isSuspect reports whether a machine may be dead or unable to receive commands.
func (d *Detector) isSuspect(m *cluster.Machine, now time.Time) bool {
	silentFor := now.Sub(m.LastSeen)
	if !m.Fenced {
		return silentFor > takeoverGrace // no heartbeat in this term
	}
	return m.UnappliedResponses > 0 || silentFor > d.settings.Workers.HeartbeatInterval()*5/4+time.Second
}

// ZoneCount holds the number of machines in a zone, of suspect ones, and of those with a fresh
// heartbeat.
type ZoneCount struct{ all, suspect, fresh int }

// CountZones counts the machines in each zone that are neither terminating nor terminated.
func (d *Detector) CountZones(machines map[string]*cluster.Machine, now time.Time) map[string]ZoneCount {
	zones := map[string]ZoneCount{}
	for _, m := range machines {
		if m.Phase() >= cluster.Terminating {
			continue
		}
		count := zones[m.Zone]
		count.all++
		if d.isSuspect(m, now) {
			count.suspect++
		}
		if now.Sub(m.LastHeartbeat) < freshHeartbeatAge {
			count.fresh++
		}
		zones[m.Zone] = count
	}
	return zones
}

// isLikelyPartitioned reports whether a suspect machine is more likely to be partitioned together
// with others of its zone than dead.
func (d *Detector) isLikelyPartitioned(m *cluster.Machine, zone ZoneCount) bool {
	if zone.suspect >= minPartitionSuspects && zone.suspect*5 > zone.all*3 {
		return true
	}
	// When the heartbeats of a whole zone stop at once, the first machines to miss one are not dead:
	// few others have sent one since, either. expectedFresh is the share of machines that normally
	// have a fresh heartbeat.
	expectedFresh := min(1, freshHeartbeatAge.Seconds()/d.settings.Workers.HeartbeatS)
	return m.Fenced && float64(zone.fresh) < expectedFresh*float64(zone.all)/5 && zone.all >= minZoneMachines
}

// shouldTerminate reports whether a suspect machine must be terminated.
func (d *Detector) shouldTerminate(m *cluster.Machine, partitioned bool, now time.Time) bool {
	workers := d.settings.Workers
	switch silentFor := now.Sub(m.LastSeen); {
	case !m.Fenced && now.Sub(d.heartbeatsSince) > workers.Lease()+2*workers.HeartbeatInterval():
		// An unfenced machine prevents the start of all jobs accepted before this term. If it
		// cannot receive commands, it keeps sending heartbeats with the old fencing token and may
		// even answer probes, but its task lease has expired by now. If another node renewed its
		// task lease, it would have been fenced through the key-value store.
		return true
	case now.Before(m.LeaseRenewedUntil):
		return false
	case silentFor > config.Duration(workers.CancelS):
		return true
	case partitioned:
		return false
	default:
		return silentFor > workers.Lease()+2*workers.HeartbeatInterval() ||
			m.ProbeFails >= deadAfterFailedProbes ||
			m.UnappliedResponses >= undeliveredAfterResponses
	}
}
