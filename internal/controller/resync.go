package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/failuredetector"
)

// A takeover waits until every machine in the registry has reported with the new term. Waiting
// for agent-initiated heartbeats takes one and a half heartbeat intervals; so the new leader
// resyncs the machines itself, a few at a time. A resync carries no commands: it may arrive late,
// or twice, and only raises the machine's fencing token. Its answer is a heartbeat with this term.

// maxConcurrentDials is how many machines a leader connects to at a time, for each of resyncs,
// probes and command batches. It is a part of the node's sockets: where many machines fail
// together, each holds one until its request times out, and those that are alive must not queue
// behind them.
func maxConcurrentDials(sockets int) int { return min(max(sockets/fdsPerDial, minDials), maxDials) }

const (
	fdsPerDial = 24
	minDials   = 16
	maxDials   = 256
)

// resyncNext resyncs the machines that are still to be resynced.
func (lt *leaderTerm) resyncNext(now time.Time) {
	for {
		request := lt.detector.NextResync(now)
		if request.Kind == failuredetector.NoRequest {
			return
		}
		lt.sendResync(request)
	}
}

// sendResync solicits a heartbeat with this term from a machine.
func (lt *leaderTerm) sendResync(request failuredetector.Request) {
	addr, term := request.Machine.Addr, lt.term.Number
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		hb, err := lt.c.CommandSender.Resync(ctx, addr, term)
		lt.sendToOwner(resyncResultMsg{leaderTerm: lt, request: request, heartbeat: hb, err: err})
	}()
}

// resyncResultMsg is the outcome of a resync.
type resyncResultMsg struct {
	leaderTerm *leaderTerm
	request    failuredetector.Request
	heartbeat  *api.Heartbeat
	err        error
}

func (m resyncResultMsg) apply(c *Controller) {
	lt, machine := m.leaderTerm, m.request.Machine
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	switch lt.detector.ResyncResult(m.request, m.heartbeat, m.err, now) {
	case failuredetector.Failed:
		c.Log.Debug("resync failed", "machine", machine.Name, "err", m.err)
	case failuredetector.NewHeartbeat:
		if !c.holdsLease() {
			break
		}
		if _, err := lt.handleHeartbeat(m.heartbeat, solicited, now); err != nil {
			c.Log.Debug("resync answer not applied", "machine", machine.Name, "err", err)
		}
	case failuredetector.Ignored, failuredetector.Restarted, failuredetector.Alive:
	}
	if c.leaderTerm == lt {
		lt.resyncNext(now)
	}
}
