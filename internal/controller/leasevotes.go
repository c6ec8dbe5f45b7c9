package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/leasequorum"
)

// requestAllVotes requests another node's vote at intervals while this one leads.
func (c *Controller) requestVotesLoop(ctx context.Context, node string) {
	for ctx.Err() == nil {
		m := ownTermRequestMsg{make(chan uint64, 1)}
		term, err := request(ctx, c, m, m.reply)
		if err != nil {
			return
		}
		if term != 0 {
			sentAt := time.Now()
			vctx, cancel := context.WithTimeout(ctx, voteTimeout)
			granted, err := c.Peers.Vote(vctx, node, term)
			cancel()
			if err == nil && granted {
				c.sendOrDrop(ctx, voteGrantedMsg{node, term, sentAt})
			}
		}
		sleep(ctx, voteInterval)
	}
}

// ownTermRequestMsg requests the term in which this node leads; 0: it does not.
type ownTermRequestMsg struct{ reply chan uint64 }

func (m ownTermRequestMsg) apply(c *Controller) {
	term := uint64(0)
	if c.holdsLease() {
		term = c.leaderTerm.term.Number
	}
	m.reply <- term
}

// voteGrantedMsg carries another node's vote, and when it was requested: its validity is counted
// from there.
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

// hasVoteQuorum reports whether the leader has enough valid votes.
func (lt *leaderTerm) hasVoteQuorum(now time.Time) bool {
	return lt.votes.HasQuorum(leasequorum.RequiredVotes(len(lt.c.Settings.Peers)+1), now)
}

// hasLeaseQuorum reports whether the leader may start tasks and launch and terminate machines.
// One that requires a lease quorum and lacks it may have been replaced. It goes on only with what
// renews leases, and with what the key-value store fences.
func (lt *leaderTerm) hasLeaseQuorum(now time.Time) bool {
	return !lt.quorumRequired || lt.hasVoteQuorum(now)
}

// checkLeaseQuorum makes the leader require a lease quorum once that is possible. A leader that
// has lacked it for long, and is not replaced, steps down to begin a new term: promises to vote
// no more in the present one do not bind nodes in the next.
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

// maybeRequireQuorum makes the leader require a lease quorum once all other nodes support it and
// enough of them vote. Processes that began after the term did not vote in it, as they cannot
// know what earlier ones have promised: if they are too many, the leader begins a new term.
func (lt *leaderTerm) maybeRequireQuorum(now time.Time) {
	for _, mb := range lt.c.membership.Members {
		if !mb.SupportsLeaseQuorum || !mb.IsReachable(now) {
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

// PeerVote responds to a leader that requests this node's vote in its term.
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
	v := c.failover.voter
	m.reply <- v != nil && v.Vote(m.term, time.Now())
}
