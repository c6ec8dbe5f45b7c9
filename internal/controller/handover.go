package controller

import (
	"context"
	"time"
)

// Drain prepares the node for shutdown. The node becomes unready, so that users are routed to other
// nodes. If it leads, it stops acting as leader and then notifies a successor, which takes over
// without waiting for the lease to expire. Drain returns when the successor has been notified or the
// context ends, or at once if there is no successor to notify.
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

// successor is the node that replaces a leader that shuts down.
type successor struct {
	// node is the name of the successor, or "" if there is none.
	node string
	// term is the term of the leader that shuts down.
	term uint64
}

// drainMsg ends this node's term, if it leads, and requests the name of its successor. That is the
// reachable node with the longest uninterrupted connection to the key-value store.
type drainMsg struct{ reply chan successor }

func (m drainMsg) apply(c *Controller) {
	c.draining = true
	if !c.holdsLease() {
		m.reply <- successor{}
		return
	}
	next := successor{term: c.leaderTerm.term.Number}
	now, longest := time.Now(), time.Duration(0)
	for name, member := range c.membership.Members {
		if member.IsReachable(now) && member.KVReachableFor > longest {
			next.node, longest = name, member.KVReachableFor
		}
	}
	if next.node == "" {
		c.Log.Info("leader stops without successor", "term", next.term)
	} else {
		c.Log.Info("leader hands over", "term", next.term, "node", next.node)
	}
	c.endTerm() // before the reply, because the successor may act from then on
	m.reply <- next
}
