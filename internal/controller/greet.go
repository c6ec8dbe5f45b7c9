package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
)

// A takeover waits until every machine on the roster has reported with the new
// term. Waiting for their reports takes a round and a half of them; so the new
// leader greets the machines itself, a few at a time. A greeting carries no
// orders: it may come late, or twice, and only raises the machine's token. Its
// answer is the machine's report, with this term.

// dials is how many machines a leader speaks to directly at a time, for each of
// greetings, probes and starts. It is a part of the node's sockets: where many
// machines fall together, each holds one until its time is up, and those that
// live must not wait for their turn behind them.
func dials(sockets int) int { return min(max(sockets/24, leastDials), mostDials) }

const (
	leastDials = 16
	mostDials  = 256
)

// greetNext greets the machines that are still to be greeted.
func (r *leadership) greetNext(now time.Time) {
	for len(r.toGreet) > 0 && r.greeting < r.dials {
		m := r.toGreet[0]
		r.toGreet = r.toGreet[1:]
		if m.heard || m.gone || m.returning || m.addr == "" {
			continue
		}
		r.greet(m, now)
	}
}

// greet greets a machine. One that does not answer is asked again like any
// silent machine.
func (r *leadership) greet(m *machine, now time.Time) {
	r.greeting++
	m.nextProbe = now.Add(probeEvery)
	addr, term := m.addr, r.term.Number
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
		defer cancel()
		rep, err := r.c.Director.Greet(ctx, addr, term)
		r.post(greetedMsg{r, m, now, rep, err})
	}()
}

type greetedMsg struct {
	r     *leadership
	m     *machine
	asked time.Time
	rep   *api.Report
	err   error
}

func (g greetedMsg) apply(c *Controller) {
	r := g.r
	if c.leadership != r {
		return
	}
	r.greeting--
	now := time.Now()
	switch {
	case g.m.gone:
	case g.err != nil:
		c.Log.Debug("greeting", "machine", g.m.name, "err", g.err)
		if !g.m.heard && r.punctual(g.asked) {
			g.m.probeFails++
		}
	case c.valid() && g.rep.Machine == g.m.name:
		if _, err := r.takeIn(g.rep, drawnReport, now); err != nil {
			c.Log.Debug("greeting", "machine", g.m.name, "err", err)
		}
	}
	if c.leadership == r {
		r.greetNext(now)
	}
}
