package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/leasequorum"
)

// requestVotes asks another node for a grant every second while this one leads.
func (c *Controller) requestVotes(ctx context.Context, node string) {
	for ctx.Err() == nil {
		ask := ownTermRequestMsg{make(chan uint64, 1)}
		if c.send(ctx, ask) != nil {
			return
		}
		term, err := await(ctx, c, ask.reply)
		if err != nil {
			return
		}
		if term != 0 {
			sentAt := time.Now()
			gctx, cancel := context.WithTimeout(ctx, voteTimeout)
			granted, err := c.Peers.Vote(gctx, node, term)
			cancel()
			if err == nil && granted {
				c.send(ctx, voteGrantedMsg{node, term, sentAt})
			}
		}
		sleep(ctx, voteInterval)
	}
}

// ownTermRequestMsg asks in which term this node leads, if it does.
type ownTermRequestMsg struct{ reply chan uint64 }

func (m ownTermRequestMsg) apply(c *Controller) {
	term := uint64(0)
	if c.holdsLease() {
		term = c.leaderTerm.term.Number
	}
	m.reply <- term
}

// voteGrantedMsg brings another node's grant.
type voteGrantedMsg struct {
	node   string
	term   uint64
	sentAt time.Time
}

func (m voteGrantedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term.Number == m.term {
		lt.votes.Add(m.node, m.sentAt)
	}
}

// voteQuorum tells whether the leader holds enough grants.
func (lt *leaderTerm) voteQuorum(now time.Time) bool {
	return lt.votes.HasQuorum(leasequorum.RequiredVotes(len(lt.c.Settings.Peers)+1), now)
}

// hasLeaseQuorum tells whether the leader may start tasks, and rent and return machines. One
// that is bound to grants and lacks them may have been replaced; all that it goes on with
// is what renews leases, and what the state service guards.
func (lt *leaderTerm) hasLeaseQuorum(now time.Time) bool {
	return !lt.quorumRequired || lt.voteQuorum(now)
}

// checkLeaseQuorum binds the leader to grants once all other nodes know of them and enough have
// granted. One that lacks them for long, and is not replaced, begins a new term: those
// that have promised to grant the present one nothing more are not bound to that.
func (lt *leaderTerm) checkLeaseQuorum(now time.Time) {
	if lt.c.Standby == nil || len(lt.c.Settings.Peers) == 0 {
		return
	}
	if !lt.quorumRequired {
		lt.requireQuorum(now)
		return
	}
	if lt.voteQuorum(now) {
		lt.quorumLostAt = time.Time{}
		return
	}
	if lt.quorumLostAt.IsZero() {
		lt.quorumLostAt = now
		lt.c.Log.Info("grants lost, nothing is decided", "term", lt.term.Number)
	}
	if now.Sub(lt.quorumLostAt) > 2*lt.c.Standby.VoteLifetime() && lt.c.membership.kvReachable {
		lt.c.Log.Info("leadership given up without grants", "term", lt.term.Number)
		lt.stepDown()
	}
}

// requireQuorum binds the leader to grants once all other nodes know of them and enough of them
// grant. Processes that were begun after the term was grant it nothing, as they cannot know
// what earlier ones have promised: if there are too many of them, a new term is begun.
func (lt *leaderTerm) requireQuorum(now time.Time) {
	for _, mb := range lt.c.membership.members {
		if !mb.SupportsLeaseQuorum || !mb.isReachable(now) {
			lt.quorumLostAt = time.Time{}
			return
		}
	}
	if lt.quorumRequired = lt.voteQuorum(now); lt.quorumRequired {
		lt.quorumLostAt = time.Time{}
		lt.c.Log.Info("bound to grants", "term", lt.term.Number)
		return
	}
	if lt.quorumLostAt.IsZero() {
		lt.quorumLostAt = now
	}
	f := &lt.c.failover
	if now.Sub(lt.quorumLostAt) > quorumWait && now.Sub(f.lastNewTerm) > newTermInterval && lt.c.membership.kvReachable {
		f.lastNewTerm = now
		lt.c.Log.Info("new term begun, to be granted", "term", lt.term.Number)
		lt.stepDown()
	}
}

// PeerVote answers a leader that asks to decide in its term.
func (c *Controller) PeerVote(ctx context.Context, term uint64) (bool, error) {
	m := voteRequestMsg{term, make(chan bool, 1)}
	if err := c.send(ctx, m); err != nil {
		return false, err
	}
	return await(ctx, c, m.reply)
}

type voteRequestMsg struct {
	term  uint64
	reply chan bool
}

func (m voteRequestMsg) apply(c *Controller) {
	v := c.failover.voter
	m.reply <- v != nil && v.Vote(m.term, time.Now())
}
