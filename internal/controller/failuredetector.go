package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// Prober requests a heartbeat from a machine directly, to learn whether it is alive.
type Prober interface {
	Probe(ctx context.Context, addr string) (*api.Heartbeat, error)
}

const (
	probeTimeout  = time.Second
	probeInterval = time.Second
	// deadAfterProbes is how many probes in a row must fail for a machine to count as dead.
	deadAfterProbes = 2
	// undeliveredAfter is how many responses in a row a machine may leave unapplied while it
	// answers probes.
	undeliveredAfter = 4
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

// detectFailures terminates the machines that are confirmed dead, or to which commands cannot be
// delivered. A dead machine is detected by a missed heartbeat and two failed probes. Waiting for
// its task lease to expire would delay its tasks by that much more, and a new leader that waits
// for it to be fenced can start no job accepted before its term. A machine whose heartbeats arrive
// while it applies no commands is probed in the same way. Where most of a zone is suspect at once,
// a partition is the more likely cause, and a node on the other side may renew the machines' task
// leases on behalf of the leader: they are given the time in which even that ends.
func (lt *leaderTerm) detectFailures(now time.Time) {
	zones := lt.countZones(now)
	for _, m := range lt.machines {
		if m.Phase() >= cluster.Terminating || !lt.isSuspect(m, now) {
			continue
		}
		lt.probe(m, now)
		partitioned := lt.isLikelyPartitioned(m, zones[m.Zone])
		if partitioned {
			lt.readRenewals(now)
		}
		if !lt.isConfirmedDead(m, partitioned, now) {
			continue
		}
		reason := "silent"
		if m.UnappliedResponses > 0 {
			reason = "deaf" // heartbeats arrive, responses do not
		}
		lt.evacuate(m, reason)
		lt.autoscaler.scaleIn(m)
	}
}

// isSuspect tells whether a machine may be dead, or its commands undelivered.
func (lt *leaderTerm) isSuspect(m *cluster.Machine, now time.Time) bool {
	silentFor := now.Sub(m.LastSeen)
	if !m.Fenced {
		return silentFor > takeoverGrace // no heartbeat in this term
	}
	return m.UnappliedResponses > 0 || silentFor > lt.c.Settings.Site.Workers.HeartbeatInterval()*5/4+time.Second
}

// zoneCount counts a zone's machines: all, those that are suspect, and those with a fresh
// heartbeat.
type zoneCount struct{ all, suspect, fresh int }

// countZones counts the machines of each zone that are not being terminated.
func (lt *leaderTerm) countZones(now time.Time) map[string]zoneCount {
	zones := map[string]zoneCount{}
	for _, m := range lt.machines {
		if m.Phase() >= cluster.Terminating {
			continue
		}
		count := zones[m.Zone]
		count.all++
		if lt.isSuspect(m, now) {
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
func (lt *leaderTerm) isLikelyPartitioned(m *cluster.Machine, zone zoneCount) bool {
	if zone.suspect >= minPartitionSuspects && zone.suspect*5 > zone.all*3 {
		return true
	}
	// When all heartbeats stop at once, the first machines to miss one are not dead: hardly
	// any other has sent one since either. Of all machines, this share should have a fresh one.
	expectedFresh := min(1, freshHeartbeatAge.Seconds()/lt.c.Settings.Site.Workers.HeartbeatS)
	return m.Fenced && float64(zone.fresh) < expectedFresh*float64(zone.all)/5 && zone.all >= minZoneMachines
}

// isConfirmedDead tells whether a suspect machine is to be terminated.
func (lt *leaderTerm) isConfirmedDead(m *cluster.Machine, partitioned bool, now time.Time) bool {
	workers := lt.c.Settings.Site.Workers
	switch silentFor := now.Sub(m.LastSeen); {
	case !m.Fenced && now.Sub(lt.heartbeatsSince) > workers.Lease()+2*workers.HeartbeatInterval():
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
			m.ProbeFails >= deadAfterProbes ||
			m.UnappliedResponses >= undeliveredAfter
	}
}

// probe probes a suspect machine, unless it was probed less than probeInterval ago. One that is not
// fenced is resynced instead, which fences it as well.
func (lt *leaderTerm) probe(m *cluster.Machine, now time.Time) {
	if now.Before(m.NextProbe) || lt.probing >= lt.maxDials {
		return
	}
	if !m.Fenced && lt.c.CommandSender != nil && m.Addr != "" {
		if lt.resyncing < lt.maxDials {
			lt.resync(m, now)
		}
		return
	}
	m.NextProbe = now.Add(probeInterval)
	p := lt.c.Prober
	if p == nil || m.Addr == "" {
		m.ProbeFails++
		return
	}
	lt.probing++
	// The goroutine reads no field of the machine: these belong to the owner's goroutine.
	addr, msg := m.Addr, probeResultMsg{
		leaderTerm:   lt,
		machine:      m,
		sentAt:       now,
		agentEpoch:   m.AgentEpoch,
		heartbeatSeq: m.HeartbeatSeq,
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		msg.heartbeat, msg.err = p.Probe(ctx, addr)
		lt.sendToOwner(msg)
	}()
}

// probeResultMsg is the outcome of a probe.
type probeResultMsg struct {
	leaderTerm *leaderTerm
	machine    *cluster.Machine
	sentAt     time.Time
	// AgentEpoch and HeartbeatSeq are of the machine's newest heartbeat when the probe was sent.
	agentEpoch, heartbeatSeq uint64
	heartbeat                *api.Heartbeat
	err                      error
}

func (m probeResultMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	m.leaderTerm.probing--
	if m.machine.Phase() == cluster.Terminated {
		return
	}
	if m.err != nil || m.heartbeat.Machine != m.machine.Name {
		m.probeFailed()
		return
	}
	if m.showsRestart() {
		// The machine was started anew under its name before it was missed. All its
		// heartbeats would be taken for older ones, and its tasks for running, without end.
		// Only its termination shows that they are off the machine.
		m.leaderTerm.evacuate(m.machine, "started anew")
		if m.machine.Phase() < cluster.Terminating {
			m.leaderTerm.autoscaler.scaleIn(m.machine)
		}
		return
	}
	if m.machine.Fenced && m.heartbeat.AgentEpoch > m.machine.AgentEpoch && c.holdsLease() {
		// Its task lease has expired while it reached no controller, and its tasks have ended
		// with that. Its own heartbeats may not arrive for long.
		if _, err := m.leaderTerm.handleHeartbeat(m.heartbeat, solicited, time.Now()); err != nil {
			c.Log.Debug("probe answer not applied", "machine", m.machine.Name, "err", err)
		}
		return
	}
	// The machine is alive, but its heartbeats do not arrive. What they would report is not
	// known, so only its suspicion ends.
	m.machine.ProbeFails = 0
	m.machine.LastSeen = time.Now()
}

// probeFailed counts the failure against the machine, unless it was seen since or this node was
// paused.
func (m probeResultMsg) probeFailed() {
	suspect := m.machine.LastSeen.Before(m.sentAt) || m.machine.UnappliedResponses > 0
	if suspect && m.leaderTerm.notPausedSince(m.sentAt) {
		m.machine.ProbeFails++
	}
}

// showsRestart tells whether the heartbeat is older, by its numbers, than one that was applied
// before the probe was sent.
func (m probeResultMsg) showsRestart() bool {
	return m.heartbeat.AgentEpoch < m.agentEpoch ||
		m.heartbeat.AgentEpoch == m.agentEpoch && m.heartbeat.Seq < m.heartbeatSeq
}
