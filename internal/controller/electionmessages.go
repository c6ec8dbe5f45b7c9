package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/election"
)

// The methods of election.Observer run on the election's goroutine. Each sends one of the messages
// below to the owner goroutine, or drops it if the controller has ended.

// leaderChangedMsg contains the current leader, or "" if there is none.
type leaderChangedMsg struct{ node string }

func (m leaderChangedMsg) apply(c *Controller) {
	if c.leader != m.node {
		c.Log.Info("leader changed", "leader", m.node)
	}
	c.leader = m.node
}

// electionWonMsg starts a term in which this node leads.
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

// leaseRenewedMsg extends this node's leader lease in a term.
type leaseRenewedMsg electionWonMsg

func (m leaseRenewedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term && m.leaseExpiry.After(lt.leaseExpiry) {
		lt.leaseExpiry = m.leaseExpiry
	}
}

// leadershipLostMsg ends a term in which this node led. The leader is then unknown.
type leadershipLostMsg struct{ term election.Term }

func (m leadershipLostMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term {
		c.endTerm()
	}
	c.leader = ""
}

// LeaderChanged implements election.Observer.
func (c *Controller) LeaderChanged(node string) {
	c.sendOrDrop(context.Background(), leaderChangedMsg{node})
}

// ElectionWon implements election.Observer.
func (c *Controller) ElectionWon(term election.Term, leaseExpiry time.Time) {
	c.sendOrDrop(context.Background(), electionWonMsg{term, leaseExpiry})
}

// LeaseRenewed implements election.Observer.
func (c *Controller) LeaseRenewed(term election.Term, leaseExpiry time.Time) {
	c.sendOrDrop(context.Background(), leaseRenewedMsg{term, leaseExpiry})
}

// LeadershipLost implements election.Observer.
func (c *Controller) LeadershipLost(term election.Term) {
	c.sendOrDrop(context.Background(), leadershipLostMsg{term})
}
