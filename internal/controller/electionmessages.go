package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/election"
)

// The election's calls become messages. They have no context: what the election says to a
// controller that has ended is dropped.

type leaderChangedMsg struct{ node string }

func (m leaderChangedMsg) apply(c *Controller) {
	if c.leader != m.node {
		c.Log.Info("leader", "node", m.node)
	}
	c.leader = m.node
}

type electionWonMsg struct {
	term        election.Term
	leaseExpiry time.Time
}

func (m electionWonMsg) apply(c *Controller) {
	c.endTerm()
	if c.draining {
		return
	}
	c.leaderTerm = newLeaderTerm(c, m.term, m.leaseExpiry)
}

type leaseRenewedMsg electionWonMsg

func (m leaseRenewedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term && m.leaseExpiry.After(lt.leaseExpiry) {
		lt.leaseExpiry = m.leaseExpiry
	}
}

type leaseLostMsg struct{ term election.Term }

func (m leaseLostMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term {
		c.endTerm()
	}
	c.leader = ""
}

// LeaderChanged implements election.Observer.
func (c *Controller) LeaderChanged(node string) { c.send(context.Background(), leaderChangedMsg{node}) }

// ElectionWon implements election.Observer.
func (c *Controller) ElectionWon(t election.Term, until time.Time) {
	c.send(context.Background(), electionWonMsg{t, until})
}

// LeaseRenewed implements election.Observer.
func (c *Controller) LeaseRenewed(t election.Term, until time.Time) {
	c.send(context.Background(), leaseRenewedMsg{t, until})
}

// LeaseLost implements election.Observer.
func (c *Controller) LeaseLost(t election.Term) { c.send(context.Background(), leaseLostMsg{t}) }
