package controller

import (
	"context"
	"time"
)

// Drain hands the leadership over, if this node has it, before its process ends: it stops to
// act, and tells another node that it has, which takes over without waiting for the lease.
// It also has users sent elsewhere. It returns when that is done or the context ends.
func (c *Controller) Drain(ctx context.Context) {
	c.unready.Store(true)
	m := drainMsg{make(chan successor, 1)}
	if c.send(ctx, m) != nil {
		return
	}
	h, err := await(ctx, c, m.reply)
	if err != nil || h.node == "" {
		return
	}
	if err := c.Peers.Resign(ctx, h.node, c.Settings.Node, h.term); err != nil {
		c.Log.Info("leadership not handed over", "to", h.node, "err", err)
	}
}

// successor is the node that is to take over from a leader of a term; none: an empty name.
type successor struct {
	node string
	term uint64
}

// drainMsg ends the leadership and asks who is to have it next.
type drainMsg struct{ reply chan successor }

func (m drainMsg) apply(c *Controller) {
	c.draining = true
	if !c.holdsLease() {
		m.reply <- successor{}
		return
	}
	h := successor{term: c.leaderTerm.term.Number}
	now, longest := time.Now(), time.Duration(0)
	for name, mb := range c.membership.members {
		if mb.isReachable(now) && mb.KVReachableFor > longest {
			h.node, longest = name, mb.KVReachableFor
		}
	}
	if h.node == "" {
		c.Log.Info("leadership ended, no other node in reach", "term", h.term)
	} else {
		c.Log.Info("leadership handed over", "term", h.term, "to", h.node)
	}
	c.endTerm() // from here on this node acts for nobody
	m.reply <- h
}
