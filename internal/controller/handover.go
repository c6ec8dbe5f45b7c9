package controller

import (
	"context"
	"time"
)

// Leave hands the leadership over, if this node has it, before its process ends: it stops to
// act, and tells another node that it has, which takes over without waiting for the lease.
// It also has users sent elsewhere. It returns when that is done or the context ends.
func (c *Controller) Leave(ctx context.Context) {
	c.shut.Store(true)
	m := leaveMsg{make(chan heir, 1)}
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

// heir is the node that is to take over from a leader of a term; none: an empty name.
type heir struct {
	node string
	term uint64
}

// leaveMsg ends the leadership and asks who is to have it next.
type leaveMsg struct{ reply chan heir }

func (m leaveMsg) apply(c *Controller) {
	c.leaving = true
	if !c.valid() {
		m.reply <- heir{}
		return
	}
	h := heir{term: c.leadership.term.Number}
	now, longest := time.Now(), time.Duration(0)
	for name, n := range c.peerTable.nodes {
		if n.reached(now) && n.StoreOK > longest {
			h.node, longest = name, n.StoreOK
		}
	}
	if h.node == "" {
		c.Log.Info("leadership ended, no other node in reach", "term", h.term)
	} else {
		c.Log.Info("leadership handed over", "term", h.term, "to", h.node)
	}
	c.endLeadership() // from here on this node acts for nobody
	m.reply <- h
}
