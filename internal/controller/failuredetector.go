package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// Prober asks a machine directly for its report, to learn whether it is alive.
type Prober interface {
	Probe(ctx context.Context, addr string) (*api.Heartbeat, error)
}

const (
	probeTimeout  = time.Second
	probeInterval = time.Second
	// deadAfterProbes is how many probes in a row must fail.
	deadAfterProbes = 2
	// undeliveredAfter is how many times in a row a machine may carry out no orders
	// while it answers probes.
	undeliveredAfter = 4
	// freshHeartbeatAge is how recent a report is that came just now. Among minZoneMachines
	// nothing is read from how many of those there are.
	freshHeartbeatAge = 2 * time.Second
	minZoneMachines   = 10
	// takeoverGrace is what machines are given to find a new leader before they
	// are probed.
	takeoverGrace = 1500 * time.Millisecond
)

// detectFailures gives back the machines that have fallen silent or deaf. A machine
// that is dead is noticed after a missed report and two probes that failed;
// waiting for its lease would cost its tasks that much more, and a new leader
// that waits for it to be heard can start nothing old. One whose reports arrive
// while it carries out no orders is deaf, and is asked in the same way. Where
// most of a zone is silent or deaf at once, the network is the more likely
// cause, and a node on the other side may extend the machines' leases: they are
// given the time in which even that ends.
func (lt *leaderTerm) detectFailures(now time.Time) {
	zones := lt.countZones(now)
	for _, m := range lt.machines {
		if m.terminated || m.terminating || !lt.isSuspect(m, now) {
			continue
		}
		lt.probe(m, now)
		partitioned := lt.isLikelyPartitioned(m, zones[m.zone])
		if partitioned {
			lt.readRenewals(now)
		}
		if !lt.isConfirmedDead(m, partitioned, now) {
			continue
		}
		reason := "silent"
		if m.unappliedResponses > 0 {
			reason = "deaf"
		}
		lt.evacuate(m, reason)
		lt.autoscaler.scaleIn(m)
	}
}

// isSuspect tells whether a machine may be dead or deaf.
func (lt *leaderTerm) isSuspect(m *machine, now time.Time) bool {
	if !m.fenced {
		return now.Sub(m.lastSeen) > takeoverGrace // not heard of in this term
	}
	return m.unappliedResponses > 0 || now.Sub(m.lastSeen) > lt.c.Settings.Site.Workers.HeartbeatInterval()*5/4+time.Second
}

// zoneCount counts a zone's machines: all, those that are suspect, and those that
// have reported just now.
type zoneCount struct{ all, suspect, fresh int }

func (lt *leaderTerm) countZones(now time.Time) map[string]zoneCount {
	zones := map[string]zoneCount{}
	for _, m := range lt.machines {
		if m.terminated || m.terminating {
			continue
		}
		count := zones[m.zone]
		count.all++
		if lt.isSuspect(m, now) {
			count.suspect++
		}
		if now.Sub(m.lastHeartbeat) < freshHeartbeatAge {
			count.fresh++
		}
		zones[m.zone] = count
	}
	return zones
}

// isLikelyPartitioned tells whether a suspect machine is more likely cut off, with others of
// its zone, than dead.
func (lt *leaderTerm) isLikelyPartitioned(m *machine, zone zoneCount) bool {
	if zone.suspect >= 3 && zone.suspect*5 > zone.all*3 {
		return true
	}
	// The first to be missed when all fall silent at once are not dead: nearly
	// nobody has reported since. So many should have reported just now.
	expectedFresh := min(1, freshHeartbeatAge.Seconds()/lt.c.Settings.Site.Workers.HeartbeatS)
	return m.fenced && float64(zone.fresh) < expectedFresh*float64(zone.all)/5 && zone.all >= minZoneMachines
}

// isConfirmedDead tells whether a suspect machine is to be returned.
func (lt *leaderTerm) isConfirmedDead(m *machine, partitioned bool, now time.Time) bool {
	workers := lt.c.Settings.Site.Workers
	switch silentFor := now.Sub(m.lastSeen); {
	case !m.fenced && now.Sub(lt.heartbeatsSince) > workers.Lease()+2*workers.HeartbeatInterval():
		// It holds every earlier job back. A deaf one shows the old token
		// in report after report and may even answer probes, but its
		// lease has ended by now. One whose lease another node extends would
		// have been heard through the store.
		return true
	case now.Before(m.leaseRenewedUntil):
		return false
	case silentFor > config.Duration(workers.CancelS):
		return true
	case partitioned:
		return false
	default:
		return silentFor > workers.Lease()+2*workers.HeartbeatInterval() || m.probeFails >= deadAfterProbes || m.unappliedResponses >= undeliveredAfter
	}
}

// probe asks a silent machine, unless it was asked just now.
func (lt *leaderTerm) probe(m *machine, now time.Time) {
	if now.Before(m.nextProbe) || lt.probing >= lt.maxDials {
		return
	}
	if !m.fenced && lt.c.CommandSender != nil && m.addr != "" {
		if lt.resyncing < lt.maxDials {
			lt.resync(m, now)
		}
		return
	}
	m.nextProbe = now.Add(probeInterval)
	p := lt.c.Prober
	if p == nil || m.addr == "" {
		m.probeFails++
		return
	}
	lt.probing++
	// The machine is the owner's.
	msg := probeResultMsg{leaderTerm: lt, machine: m, sentAt: now, agentEpoch: m.agentEpoch, heartbeatSeq: m.heartbeatSeq}
	addr := m.addr
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		msg.heartbeat, msg.err = p.Probe(ctx, addr)
		lt.sendToOwner(msg)
	}()
}

type probeResultMsg struct {
	leaderTerm *leaderTerm
	machine    *machine
	sentAt     time.Time
	// agentEpoch and seq are of the machine's last report when it was asked.
	agentEpoch, heartbeatSeq uint64
	heartbeat                *api.Heartbeat
	err                      error
}

func (m probeResultMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	m.leaderTerm.probing--
	if m.machine.terminated {
		return
	}
	if m.err != nil || m.heartbeat.Machine != m.machine.name {
		if (m.machine.lastSeen.Before(m.sentAt) || m.machine.unappliedResponses > 0) && m.leaderTerm.notPausedSince(m.sentAt) {
			m.machine.probeFails++
		}
		return
	}
	if m.heartbeat.AgentEpoch < m.agentEpoch || m.heartbeat.AgentEpoch == m.agentEpoch && m.heartbeat.Seq < m.heartbeatSeq {
		// It answers, and says less than it did: it was started anew, back
		// before anybody missed it. All its reports would be taken for older
		// ones, and its tasks for running, without end. Nothing shows that
		// they are off the machine but its return.
		m.leaderTerm.evacuate(m.machine, "started anew")
		if !m.machine.terminating {
			m.leaderTerm.autoscaler.scaleIn(m.machine)
		}
		return
	}
	if m.machine.fenced && m.heartbeat.AgentEpoch > m.machine.agentEpoch && c.holdsLease() {
		// Its lease has ended while it reached no controller, and its tasks
		// with that. Its reports may not come for long.
		if _, err := m.leaderTerm.handleHeartbeat(m.heartbeat, solicited, time.Now()); err != nil {
			c.Log.Debug("probe", "machine", m.machine.name, "err", err)
		}
		return
	}
	// Alive, but its reports do not get here; what they would say is not
	// known, so only the silence is taken back.
	m.machine.probeFails = 0
	m.machine.lastSeen = time.Now()
}
