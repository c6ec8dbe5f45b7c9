package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

const (
	probeInterval = time.Second
	// deadAfterFailedProbes is how many probes in a row must fail for a machine to count as dead.
	deadAfterFailedProbes = 2
	// undeliveredAfterResponses is how many responses in a row a machine may leave unapplied while it
	// answers probes.
	undeliveredAfterResponses = 4
	// freshHeartbeatAge is the age up to which a heartbeat counts as fresh. In a zone of fewer
	// than minZoneMachines, nothing is concluded from how many there are of these.
	freshHeartbeatAge = 2 * time.Second
	minZoneMachines   = 10
	// takeoverGrace is how long machines have to find a new leader before they are probed.
	takeoverGrace = 1500 * time.Millisecond
)

// minPartitionSuspects is how many machines of a zone must be suspect, beside more than three
// fifths of all, for the zone to count as partitioned.
const minPartitionSuspects = 3

// Settings are what a Detector needs to know of its node and of the worker agents.
type Settings struct {
	Workers config.Workers
	// MaxDials is the limit of the probes in flight, and of the resyncs.
	MaxDials int
	// CanProbe and CanResync tell whether the owner can send such requests. A probe that cannot
	// be sent counts as failed.
	CanProbe, CanResync bool
}

// Detector is the failure detector of one leader term.
type Detector struct {
	settings Settings
	lastTick time.Time
	// lastPause is when the last process pause was detected.
	lastPause time.Time
	// heartbeatsSince is since when heartbeats reach this node as leader.
	heartbeatsSince time.Time
	// probing and resyncing are the numbers of requests in flight.
	probing, resyncing int
	// toResync are the machines that a new leader has yet to resync.
	toResync []*cluster.Machine
}

// New returns the failure detector of a new leader term.
func New(s Settings) *Detector { return &Detector{settings: s} }

// HeartbeatsStarted records that heartbeats reach this node as leader from now on.
func (d *Detector) HeartbeatsStarted(now time.Time) { d.heartbeatsSince = now }

// HeartbeatTimeout is the longest time between two heartbeats of a machine without a fault.
func (d *Detector) HeartbeatTimeout() time.Duration {
	return 2*d.settings.Workers.HeartbeatInterval() + time.Second
}

// Reason is why a machine is to be evacuated and terminated.
type Reason string

const (
	// ReasonSilent is that its heartbeats have stopped.
	ReasonSilent Reason = "silent"
	// ReasonUndelivered is that its heartbeats arrive and responses to them do not.
	ReasonUndelivered Reason = "deaf"
	// ReasonRestarted is that its agent was started anew under the machine's name.
	ReasonRestarted Reason = "started anew"
)

// CheckResult is what the owner is to do about a machine, in the order of the fields.
type CheckResult struct {
	// Request is the request to send; its Kind is NoRequest if there is none.
	Request Request
	// Partitioned is set if the machine is suspect, and more likely partitioned with others of
	// its zone than dead: another node may renew its task lease.
	Partitioned bool
	// EvacuationReason is why the machine is to be evacuated and terminated; empty if it is not.
	EvacuationReason Reason
}

// Check judges a machine, by its own state and the counts of its zone. A dead machine is detected
// by a missed heartbeat and two failed probes. Waiting for its task lease to expire would delay its
// tasks by that much more, and a new leader that waits for it to be fenced can start no job accepted
// before its term. A machine whose heartbeats arrive while it applies no commands is probed in the
// same way. Where most of a zone is suspect at once, a partition is the more likely cause, and a
// node on the other side may renew the machines' task leases on behalf of the leader: they are
// given the time in which even that ends.
func (d *Detector) Check(m *cluster.Machine, zone ZoneCount, now time.Time) CheckResult {
	if m.Phase() >= cluster.Terminating || !d.isSuspect(m, now) {
		return CheckResult{}
	}
	v := CheckResult{Request: d.nextRequest(m, now), Partitioned: d.isLikelyPartitioned(m, zone)}
	if !d.shouldTerminate(m, v.Partitioned, now) {
		return v
	}
	v.EvacuationReason = ReasonSilent
	if m.UnappliedResponses > 0 {
		v.EvacuationReason = ReasonUndelivered
	}
	return v
}

// isSuspect tells whether a machine may be dead, or its commands undelivered.
func (d *Detector) isSuspect(m *cluster.Machine, now time.Time) bool {
	silentFor := now.Sub(m.LastSeen)
	if !m.Fenced {
		return silentFor > takeoverGrace // no heartbeat in this term
	}
	return m.UnappliedResponses > 0 || silentFor > d.settings.Workers.HeartbeatInterval()*5/4+time.Second
}

// ZoneCount counts a zone's machines: all, those that are suspect, and those with a fresh
// heartbeat.
type ZoneCount struct{ all, suspect, fresh int }

// CountZones counts the machines of each zone that are not being terminated.
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

// isLikelyPartitioned tells whether a suspect machine is more likely partitioned, with others of
// its zone, than dead.
func (d *Detector) isLikelyPartitioned(m *cluster.Machine, zone ZoneCount) bool {
	if zone.suspect >= minPartitionSuspects && zone.suspect*5 > zone.all*3 {
		return true
	}
	// When all heartbeats stop at once, the first machines to miss one are not dead: hardly
	// any other has sent one since either. Of all machines, this share should have a fresh one.
	expectedFresh := min(1, freshHeartbeatAge.Seconds()/d.settings.Workers.HeartbeatS)
	return m.Fenced && float64(zone.fresh) < expectedFresh*float64(zone.all)/5 && zone.all >= minZoneMachines
}

// shouldTerminate tells whether a suspect machine is to be terminated.
func (d *Detector) shouldTerminate(m *cluster.Machine, partitioned bool, now time.Time) bool {
	workers := d.settings.Workers
	switch silentFor := now.Sub(m.LastSeen); {
	case !m.Fenced && now.Sub(d.heartbeatsSince) > workers.Lease()+2*workers.HeartbeatInterval():
		// It keeps every job accepted before this term from starting. One to which commands
		// are undelivered shows the old fencing token in heartbeat after heartbeat and may even
		// answer probes, but its task lease has expired by now. One whose task lease another
		// node renews would have been fenced through the key-value store.
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
