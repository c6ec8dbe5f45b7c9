package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/leasequorum"
)

// requestVotesLoop requests another node's vote every voteInterval while this node leads.
func (c *Controller) requestVotesLoop(ctx context.Context, node string) {
	for ctx.Err() == nil {
		m := ownTermRequestMsg{make(chan uint64, 1)}
		term, err := request(ctx, c, m, m.reply)
		if err != nil {
			return
		}
		if term != 0 {
			sentAt := time.Now()
			voteCtx, cancel := context.WithTimeout(ctx, voteTimeout)
			granted, err := c.Peers.Vote(voteCtx, node, term)
			cancel()
			if err == nil && granted {
				c.sendOrDrop(ctx, voteGrantedMsg{node, term, sentAt})
			}
		}
		sleep(ctx, voteInterval)
	}
}

// ownTermRequestMsg requests the term in which this node leads, or 0 if it does not lead.
type ownTermRequestMsg struct{ reply chan uint64 }

func (m ownTermRequestMsg) apply(c *Controller) {
	term := uint64(0)
	if c.holdsLease() {
		term = c.leaderTerm.term.Number
	}
	m.reply <- term
}

// voteGrantedMsg contains another node's vote.
type voteGrantedMsg struct {
	node string
	term uint64
	// sentAt is when the vote was requested. The lifetime of the vote is counted from then.
	sentAt time.Time
}

func (m voteGrantedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term.Number == m.term {
		lt.votes.Add(m.node, m.sentAt)
	}
}

// hasVoteQuorum reports whether the leader has valid votes from a quorum of the other nodes.
func (lt *leaderTerm) hasVoteQuorum(now time.Time) bool {
	return lt.votes.HasQuorum(leasequorum.RequiredVotes(len(lt.c.Settings.Peers)+1), now)
}

// hasLeaseQuorum reports whether the leader may start tasks and launch and terminate machines. A
// leader that requires a lease quorum but lacks it may have been replaced. Until it has the quorum
// again, it only renews task leases and performs actions that the key-value store fences.
func (lt *leaderTerm) hasLeaseQuorum(now time.Time) bool {
	return !lt.quorumRequired || lt.hasVoteQuorum(now)
}

// checkLeaseQuorum makes the leader require a lease quorum once that is possible. A leader that has
// lacked the quorum for two vote lifetimes, and still reaches the key-value store, steps down so that
// a new term begins. Nodes that have promised not to vote in the old term can vote in the new one.
func (lt *leaderTerm) checkLeaseQuorum(now time.Time) {
	if lt.c.Standby == nil || len(lt.c.Settings.Peers) == 0 {
		return
	}
	if !lt.quorumRequired {
		lt.maybeRequireQuorum(now)
		return
	}
	if lt.hasVoteQuorum(now) {
		lt.quorumLostAt = time.Time{}
		return
	}
	if lt.quorumLostAt.IsZero() {
		lt.quorumLostAt = now
		lt.c.Log.Info("lease quorum lost", "term", lt.term.Number)
	}
	if now.Sub(lt.quorumLostAt) > 2*lt.c.Standby.VoteLifetime() && lt.c.membership.KVReachable {
		lt.c.Log.Info("leader steps down without lease quorum", "term", lt.term.Number)
		lt.stepDown()
	}
}

// maybeRequireQuorum makes the leader require a lease quorum if all other nodes are reachable and
// support it, and enough of them vote. Processes that were started after the term began do not vote
// in it, because an earlier process of the same node may have promised not to. If votes are still
// missing after missingVotesTimeout, the leader steps down so that a new term begins, in which these
// processes vote. It does so at most once per minNewTermInterval.
func (lt *leaderTerm) maybeRequireQuorum(now time.Time) {
	for _, member := range lt.c.membership.Members {
		if !member.SupportsLeaseQuorum || !member.IsReachable(now) {
			lt.quorumLostAt = time.Time{}
			return
		}
	}
	if lt.quorumRequired = lt.hasVoteQuorum(now); lt.quorumRequired {
		lt.quorumLostAt = time.Time{}
		lt.c.Log.Info("lease quorum required", "term", lt.term.Number)
		return
	}
	if lt.quorumLostAt.IsZero() {
		lt.quorumLostAt = now
	}
	f := &lt.c.failover
	waited := now.Sub(lt.quorumLostAt) > missingVotesTimeout && now.Sub(f.lastNewTermAt) > minNewTermInterval
	if waited && lt.c.membership.KVReachable {
		f.lastNewTermAt = now
		lt.c.Log.Info("leader steps down to get votes in a new term", "term", lt.term.Number)
		lt.stepDown()
	}
}

// PeerVote handles a leader's request for this node's vote in a term, and reports whether this node
// grants it.
func (c *Controller) PeerVote(ctx context.Context, term uint64) (bool, error) {
	m := voteRequestMsg{term, make(chan bool, 1)}
	return request(ctx, c, m, m.reply)
}

// voteRequestMsg requests this node's vote in a term.
type voteRequestMsg struct {
	term  uint64
	reply chan bool
}

func (m voteRequestMsg) apply(c *Controller) {
	voter := c.failover.voter
	m.reply <- voter != nil && voter.Vote(m.term, time.Now())
}
