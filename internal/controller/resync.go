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

// dials is how many machines a leader speaks to directly at a time, for each of resyncs,
// probes and starts. It is a part of the node's sockets: where many machines fall
// together, each holds one until its time is up, and those that live must not wait for
// their turn behind them.
func dials(sockets int) int { return min(max(sockets/24, leastDials), mostDials) }

const (
	leastDials = 16
	mostDials  = 256
)

// resyncNext resyncs the machines that are still to be resynced.
func (r *leadership) resyncNext(now time.Time) {
	for len(r.toResync) > 0 && r.resyncing < r.dials {
		m := r.toResync[0]
		r.toResync = r.toResync[1:]
		if m.heard || m.gone || m.returning || m.addr == "" {
			continue
		}
		r.resync(m, now)
	}
}

// resync asks a machine for a report with this term. One that does not answer is asked
// again like any silent machine.
func (r *leadership) resync(m *machine, now time.Time) {
	r.resyncing++
	m.nextProbe = now.Add(probeEvery)
	addr, term := m.addr, r.term.Number
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
		defer cancel()
		rep, err := r.c.Director.Resync(ctx, addr, term)
		r.post(resyncedMsg{r, m, now, rep, err})
	}()
}

type resyncedMsg struct {
	leadership *leadership
	machine    *machine
	asked      time.Time
	rep        *api.Report
	err        error
}

func (g resyncedMsg) apply(c *Controller) {
	r := g.leadership
	if c.leadership != r {
		return
	}
	r.resyncing--
	now := time.Now()
	switch {
	case g.machine.gone:
	case g.err != nil:
		c.Log.Debug("resync", "machine", g.machine.name, "err", g.err)
		if !g.machine.heard && r.punctual(g.asked) {
			g.machine.probeFails++
		}
	case c.valid() && g.rep.Machine == g.machine.name:
		if _, err := r.processReport(g.rep, drawnReport, now); err != nil {
			c.Log.Debug("resync", "machine", g.machine.name, "err", err)
		}
	}
	if c.leadership == r {
		r.resyncNext(now)
	}
}
