package controller

import (
	"context"
	"time"
)

// Drain prepares the end of the process: the node becomes unready, so that users are routed to
// others, and if it leads, it hands over to a successor. It stops acting, then notifies the
// successor, which takes over without waiting for the lease to expire. Drain returns when that is
// done or the context ends.
func (c *Controller) Drain(ctx context.Context) {
	c.unready.Store(true)
	m := drainMsg{make(chan successor, 1)}
	next, err := request(ctx, c, m, m.reply)
	if err != nil || next.node == "" {
		return
	}
	if err := c.Peers.Resign(ctx, next.node, c.Settings.Node, next.term); err != nil {
		c.Log.Info("handover failed", "term", next.term, "node", next.node, "err", err)
	}
}

// successor is the node that is to take over from the leader of a term. Its name is empty if there
// is none.
type successor struct {
	node string
	term uint64
}

// drainMsg ends this node's term, if it leads, and requests its successor: the reachable node that
// the store has answered longest.
type drainMsg struct{ reply chan successor }

func (m drainMsg) apply(c *Controller) {
	c.draining = true
	if !c.holdsLease() {
		m.reply <- successor{}
		return
	}
	next := successor{term: c.leaderTerm.term.Number}
	now, longest := time.Now(), time.Duration(0)
	for name, mb := range c.membership.Members {
		if mb.IsReachable(now) && mb.KVReachableFor > longest {
			next.node, longest = name, mb.KVReachableFor
		}
	}
	if next.node == "" {
		c.Log.Info("leader ends without successor", "term", next.term)
	} else {
		c.Log.Info("leader hands over", "term", next.term, "node", next.node)
	}
	c.endTerm() // the successor may act from the reply on, so this node no longer does
	m.reply <- next
}
