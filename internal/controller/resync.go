package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
)

// A takeover waits until every machine on the roster has reported with the new
// term. Waiting for their reports takes a round and a half of them; so the new
// leader resyncs the machines itself, a few at a time. A resync carries no
// orders: it may come late, or twice, and only raises the machine's token. Its
// answer is the machine's report, with this term.

// maxConcurrentDials is how many machines a leader speaks to directly at a time, for each of resyncs,
// probes and starts. It is a part of the node's sockets: where many machines fall
// together, each holds one until its time is up, and those that live must not wait for
// their turn behind them.
func maxConcurrentDials(sockets int) int { return min(max(sockets/24, minDials), mostDials) }

const (
	minDials  = 16
	mostDials = 256
)

// resyncNext resyncs the machines that are still to be resynced.
func (lt *leaderTerm) resyncNext(now time.Time) {
	for len(lt.toResync) > 0 && lt.resyncing < lt.maxDials {
		m := lt.toResync[0]
		lt.toResync = lt.toResync[1:]
		if m.fenced || m.terminated || m.terminating || m.addr == "" {
			continue
		}
		lt.resync(m, now)
	}
}

// resync asks a machine for a report with this term. One that does not answer is asked
// again like any silent machine.
func (lt *leaderTerm) resync(m *machine, now time.Time) {
	lt.resyncing++
	m.nextProbe = now.Add(probeInterval)
	addr, term := m.addr, lt.term.Number
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, probeTimeout)
		defer cancel()
		hb, err := lt.c.CommandSender.Resync(ctx, addr, term)
		lt.sendToOwner(resyncResultMsg{lt, m, now, hb, err})
	}()
}

type resyncResultMsg struct {
	leaderTerm *leaderTerm
	machine    *machine
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
	case m.machine.terminated:
	case m.err != nil:
		c.Log.Debug("resync", "machine", m.machine.name, "err", m.err)
		if !m.machine.fenced && lt.notPausedSince(m.sentAt) {
			m.machine.probeFails++
		}
	case c.holdsLease() && m.heartbeat.Machine == m.machine.name:
		if _, err := lt.handleHeartbeat(m.heartbeat, solicited, now); err != nil {
			c.Log.Debug("resync", "machine", m.machine.name, "err", err)
		}
	}
	if c.leaderTerm == lt {
		lt.resyncNext(now)
	}
}
