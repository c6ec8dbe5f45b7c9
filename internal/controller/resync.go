package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/failuredetector"
)

// A takeover is complete once every machine in the registry has sent a heartbeat with the new term or
// is terminated. Agent-initiated heartbeats would take one and a half heartbeat intervals for this,
// so the new leader resyncs the machines, up to maxConcurrentDials at a time. A resync carries no
// commands and only raises the machine's fencing token, so it may arrive late or twice. The machine
// responds with a heartbeat of the new term.

// maxConcurrentDials returns how many machines a leader connects to at the same time, for each of
// resyncs, probes and command batches. It grows with the node's limit of file descriptors. If many
// machines fail together, each of them occupies a connection until its request times out, and the
// requests to machines that are alive must not wait for these.
func maxConcurrentDials(fdLimit int) int { return min(max(fdLimit/fdsPerDial, minDials), maxDials) }

const (
	// fdsPerDial is the number of file descriptors of the node's limit for each concurrent dial.
	fdsPerDial = 24
	// minDials and maxDials are the bounds of maxConcurrentDials.
	minDials = 16
	maxDials = 256
)

// resyncNext sends resyncs to the queued machines until the limit of resyncs in flight is reached.
func (lt *leaderTerm) resyncNext(now time.Time) {
	for {
		request := lt.detector.NextResync(now)
		if request.Kind == failuredetector.NoRequest {
			return
		}
		lt.sendResync(request)
	}
}

// sendResync requests a heartbeat with this term from a machine, in a goroutine that sends a
// resyncResultMsg.
func (lt *leaderTerm) sendResync(request failuredetector.Request) {
	addr, token := request.Machine.Addr, request.Machine.Token
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		hb, err := lt.c.CommandSender.Resync(ctx, addr, token)
		lt.sendToOwner(resyncResultMsg{leaderTerm: lt, request: request, heartbeat: hb, err: err})
	}()
}

// resyncResultMsg carries the outcome of a resync to the owner goroutine.
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
			c.Log.Debug("heartbeat in resync response not applied", "machine", machine.Name, "err", err)
		}
	case failuredetector.Ignored, failuredetector.Restarted, failuredetector.Alive:
	}
	if c.leaderTerm == lt {
		lt.resyncNext(now)
	}
}
