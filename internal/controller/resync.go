package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// A takeover waits until every machine in the registry has reported with the new term. Waiting
// for agent-initiated heartbeats takes one and a half heartbeat intervals; so the new leader
// resyncs the machines itself, a few at a time. A resync carries no commands: it may arrive late,
// or twice, and only raises the machine's fencing token. Its answer is a heartbeat with this term.

// maxConcurrentDials is how many machines a leader connects to at a time, for each of resyncs,
// probes and command batches. It is a part of the node's sockets: where many machines fail
// together, each holds one until its request times out, and those that are alive must not queue
// behind them.
func maxConcurrentDials(sockets int) int { return min(max(sockets/socketsPerDial, minDials), maxDials) }

const (
	socketsPerDial = 24
	minDials       = 16
	maxDials       = 256
)

// resyncNext resyncs the machines that are still to be resynced.
func (lt *leaderTerm) resyncNext(now time.Time) {
	for len(lt.toResync) > 0 && lt.resyncing < lt.maxDials {
		m := lt.toResync[0]
		lt.toResync = lt.toResync[1:]
		if m.Fenced || m.Phase() >= cluster.Terminating || m.Addr == "" {
			continue
		}
		lt.resync(m, now)
	}
}

// resync solicits a heartbeat with this term from a machine. One that does not answer is resynced
// again like any suspect machine.
func (lt *leaderTerm) resync(m *cluster.Machine, now time.Time) {
	lt.resyncing++
	m.NextProbe = now.Add(probeInterval)
	addr, term := m.Addr, lt.term.Number
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		hb, err := lt.c.CommandSender.Resync(ctx, addr, term)
		lt.sendToOwner(resyncResultMsg{leaderTerm: lt, machine: m, sentAt: now, heartbeat: hb, err: err})
	}()
}

// resyncResultMsg is the outcome of a resync.
type resyncResultMsg struct {
	leaderTerm *leaderTerm
	machine    *cluster.Machine
	sentAt     time.Time
	heartbeat  *api.Heartbeat
	err        error
}

func (m resyncResultMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	lt.resyncing--
	now := time.Now()
	switch {
	case m.machine.Phase() == cluster.Terminated:
	case m.err != nil:
		c.Log.Debug("resync failed", "machine", m.machine.Name, "err", m.err)
		if !m.machine.Fenced && lt.notPausedSince(m.sentAt) {
			m.machine.ProbeFails++
		}
	case c.holdsLease() && m.heartbeat.Machine == m.machine.Name:
		if _, err := lt.handleHeartbeat(m.heartbeat, solicited, now); err != nil {
			c.Log.Debug("resync answer not applied", "machine", m.machine.Name, "err", err)
		}
	}
	if c.leaderTerm == lt {
		lt.resyncNext(now)
	}
}
