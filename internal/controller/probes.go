package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/failuredetector"
)

// Prober checks directly whether a machine is alive.
type Prober interface {
	// Probe requests a heartbeat from the machine at an address.
	Probe(ctx context.Context, addr string) (*api.Heartbeat, error)
}

// probeTimeout is the time limit of a probe, and of a resync.
const probeTimeout = time.Second

// detectFailures sends probes and resyncs to suspect machines, and terminates machines that are
// confirmed dead or to which commands cannot be delivered. If a zone may be partitioned, it reads which
// leases other nodes renew.
func (lt *leaderTerm) detectFailures(now time.Time) {
	zones := lt.detector.CountZones(lt.machines, now)
	for _, m := range lt.machines {
		verdict := lt.detector.Check(m, zones[m.Zone], now)
		switch verdict.Request.Kind {
		case failuredetector.Probe:
			lt.sendProbe(verdict.Request)
		case failuredetector.Resync:
			lt.sendResync(verdict.Request)
		case failuredetector.NoRequest:
		}
		if verdict.Partitioned {
			lt.readRenewals(now)
		}
		if verdict.EvacuationReason != "" {
			lt.evacuate(m, string(verdict.EvacuationReason))
			lt.scaleIn(m)
		}
	}
}

// sendProbe probes a machine in a goroutine, which sends a probeResultMsg.
func (lt *leaderTerm) sendProbe(request failuredetector.Request) {
	// Read here, since only the owner goroutine may access the fields of a machine.
	addr, prober := request.Machine.Addr, lt.c.Prober
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		hb, err := prober.Probe(ctx, addr)
		lt.sendToOwner(probeResultMsg{leaderTerm: lt, request: request, heartbeat: hb, err: err})
	}()
}

// probeResultMsg carries the outcome of a probe to the owner goroutine.
type probeResultMsg struct {
	leaderTerm *leaderTerm
	request    failuredetector.Request
	heartbeat  *api.Heartbeat
	err        error
}

func (m probeResultMsg) apply(c *Controller) {
	lt, machine := m.leaderTerm, m.request.Machine
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	switch lt.detector.ProbeResult(m.request, m.heartbeat, m.err, c.holdsLease(), now) {
	case failuredetector.Restarted:
		lt.evacuate(machine, string(failuredetector.ReasonRestarted))
		if machine.Phase() < cluster.Terminating {
			lt.scaleIn(machine)
		}
	case failuredetector.NewHeartbeat:
		if _, err := lt.handleHeartbeat(m.heartbeat, solicited, now); err != nil {
			c.Log.Debug("heartbeat in probe response not applied", "machine", machine.Name, "err", err)
		}
	case failuredetector.Ignored, failuredetector.Failed, failuredetector.Alive:
	}
}
