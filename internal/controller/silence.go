package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/config"
)

// Prober asks a machine directly whether it is alive.
type Prober interface {
	Probe(ctx context.Context, addr string) error
}

const (
	probeTimeout = 1500 * time.Millisecond
	probeEvery   = 2 * time.Second
	// deadAfter is how many probes in a row must fail.
	deadAfter = 2
	// settleIn is what machines are given to find a new leader before they
	// are probed.
	settleIn = 1500 * time.Millisecond
)

// silences gives back the machines that have fallen silent. A machine that is
// dead is noticed after a missed report and two probes that failed; waiting
// for its lease would cost its tasks that much more, and a new leader that
// waits for it to be heard can start nothing old. Where most of a zone is
// silent at once, the network is the more likely cause, and a node on the other
// side may keep them alive: they are given the time in which even that ends.
func (r *reign) silences(now time.Time) {
	w := r.c.Settings.Site.Workers
	suspect := func(m *machine) bool {
		if m.session == 0 {
			return now.Sub(m.lastSeen) > settleIn // not heard of in this term
		}
		return now.Sub(m.lastSeen) > w.Report()*5/4+time.Second
	}
	all, quiet := map[string]int{}, map[string]int{}
	for _, m := range r.machines {
		if m.gone || m.returning {
			continue
		}
		all[m.zone]++
		if suspect(m) {
			quiet[m.zone]++
		}
	}
	for _, m := range r.machines {
		if m.gone || m.returning || !suspect(m) {
			continue
		}
		r.probe(m, now)
		cut := quiet[m.zone] >= 3 && quiet[m.zone]*5 > all[m.zone]*3
		if cut {
			r.readKept(now)
		}
		switch silent := now.Sub(m.lastSeen); {
		case now.Before(m.kept):
			continue
		case silent > w.Lease()+2*w.Report() && (!cut || !m.heard):
			// One not heard in this term holds every earlier job back, and
			// nobody keeps it alive under an earlier term.
		case silent > config.Seconds(w.CancelS):
		case m.probeFails >= deadAfter && !cut:
		default:
			continue
		}
		r.leave(m, "silent")
		r.renter.giveBack(m)
	}
}

// probe asks a silent machine, unless it was asked just now.
func (r *reign) probe(m *machine, now time.Time) {
	if now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = now.Add(probeEvery)
	p := r.c.Prober
	if p == nil || m.addr == "" {
		m.probeFails++
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
		defer cancel()
		r.post(probedMsg{r, m, now, p.Probe(ctx, m.addr)})
	}()
}

type probedMsg struct {
	r     *reign
	m     *machine
	asked time.Time
	err   error
}

func (p probedMsg) apply(c *Controller) {
	if c.reign != p.r || p.m.gone {
		return
	}
	if p.err != nil {
		if p.m.lastSeen.Before(p.asked) {
			p.m.probeFails++
		}
		return
	}
	// Alive, but its reports do not get here; what they would say is not
	// known, so only the silence is taken back.
	p.m.probeFails = 0
	p.m.lastSeen = time.Now()
}
