package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/leasequorum"
	"example.org/ivytrestle/internal/membership"
)

// failover is the state of a node as a participant in failover, the replacement of a leader before
// its lease at the key-value store expires. A node regularly votes for the leader; each vote is
// valid for a short time. When the node suspects that the leader has failed, it
//
//  1. collects promises of the other nodes not to vote in the leader's term any longer,
//  2. promises the same,
//  3. waits until the votes given have expired, and
//  4. notifies the election that the leader no longer acts.
//
// docs/standby.md explains why this is safe.
type failover struct {
	// voter is nil if failover is disabled.
	voter *leasequorum.Voter
	// inProgress is set while this node attempts to replace the leader.
	inProgress bool
	// nextAttempt is the earliest time of the next attempt to replace the leader.
	nextAttempt time.Time
	// lastNewTermAt is when this node last stepped down to get votes in a new term.
	lastNewTermAt time.Time
}

const (
	// voteInterval is the time between two of the leader's requests for a node's vote.
	voteInterval = time.Second
	// voteTimeout is the time limit of a request for a vote or a promise.
	voteTimeout = 800 * time.Millisecond
	// failoverRetryInterval is the pause after an attempt to replace the leader.
	failoverRetryInterval = time.Second
	// missingVotesTimeout is how long a leader waits for a quorum of votes, while all nodes
	// support votes, before it begins a new term to get them.
	missingVotesTimeout = 3 * time.Second
	// minNewTermInterval is the shortest time between two terms that are begun to get votes.
	minNewTermInterval = 5 * time.Minute
)

// start creates the voter and starts the goroutines of failover, if it is enabled.
func (f *failover) start(ctx context.Context, c *Controller) {
	if c.Standby == nil {
		return
	}
	f.voter = leasequorum.NewVoter(c.Standby.VoteLifetime(), time.Now())
	go c.readVoterTerm(ctx)
	if c.Peers == nil {
		return
	}
	for _, peer := range c.Settings.Peers {
		go c.requestVotesLoop(ctx, peer.Node)
	}
}

// readVoterTerm reads the current term from the store, so that the voter does not vote in it: an
// earlier process of this node may have promised not to.
func (c *Controller) readVoterTerm(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, kvCheckTimeout)
		entry, err := c.Store.Get(readCtx, election.TermKey)
		cancel()
		var term election.TermRecord
		if err == nil && entry.ModRevision != 0 {
			err = json.Unmarshal(entry.Value, &term)
		}
		if err == nil {
			c.sendOrDrop(ctx, voterTermMsg{term.Number})
			return
		}
		c.Log.Debug("read of term key failed", "err", err)
		sleep(ctx, membership.KVCheckInterval)
	}
}

// voterTermMsg contains the term that was read from the store after the process started.
type voterTermMsg struct{ term uint64 }

func (m voterTermMsg) apply(c *Controller) { c.failover.voter.Init(m.term) }

// tick starts an attempt to replace the leader if this node suspects that it has failed. It is
// called on followers only.
func (f *failover) tick(c *Controller, now time.Time) {
	if f.voter == nil || f.inProgress || now.Before(f.nextAttempt) || !c.membership.KVReachable {
		return
	}
	leader := c.membership.Members[c.leader]
	if leader == nil || !leader.QuorumRequired || leader.Term == 0 ||
		leader.FailedPings < membership.FailedPingThreshold {
		return
	}
	var others []string
	for name := range c.membership.Members {
		if name != c.leader {
			others = append(others, name)
		}
	}
	f.inProgress = true
	c.Log.Info("leader suspected", "leader", c.leader, "term", leader.Term, "count", leader.FailedPings)
	go c.collectPromises(c.leader, leader.Term, others)
}

// collectPromises requests the other nodes' promises not to vote in a term any longer. Nodes that
// reach the leader of the term do not promise.
func (c *Controller) collectPromises(leader string, term uint64, others []string) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	sentAt := time.Now()
	waits := make(chan time.Duration, len(others))
	for _, node := range others {
		go func() {
			wait, err := c.Peers.Promise(ctx, node, term)
			if err != nil {
				if !errors.Is(err, api.ErrUnavailable) {
					c.Log.Debug("promise request failed", "node", node, "err", err)
				}
				wait = noPromise
			}
			waits <- wait
		}()
	}
	m := promisesCollectedMsg{leader: leader, term: term}
	for range others {
		if wait := <-waits; wait != noPromise {
			m.promises++
			if expiry := sentAt.Add(voteTimeout + wait); expiry.After(m.votesExpireAt) {
				m.votesExpireAt = expiry
			}
		}
	}
	c.sendOrDrop(context.Background(), m)
}

// noPromise takes the place of the wait if a node has not promised.
const noPromise = -1

// promisesCollectedMsg contains the result of requesting the other nodes' promises.
type promisesCollectedMsg struct {
	leader string
	term   uint64
	// promises is the number of other nodes that have promised.
	promises int
	// votesExpireAt is when all votes of these nodes have expired.
	votesExpireAt time.Time
}

func (m promisesCollectedMsg) apply(c *Controller) {
	f, now := &c.failover, time.Now()
	required := leasequorum.RequiredPromises(len(c.Settings.Peers) + 1)
	if m.promises+1 < required || !m.leaderStillSuspected(c) {
		f.inProgress, f.nextAttempt = false, now.Add(failoverRetryInterval)
		return
	}
	// This node promises only after enough others have, because it can no longer vote in the
	// term afterwards.
	if expiry := now.Add(f.voter.Promise(m.term, now)); expiry.After(m.votesExpireAt) {
		m.votesExpireAt = expiry
	}
	wait := m.votesExpireAt.Sub(now)
	c.Log.Info("failover scheduled", "leader", m.leader, "term", m.term, "after", wait.Round(time.Millisecond))
	time.AfterFunc(wait, func() {
		c.sendOrDrop(context.Background(), votesExpiredMsg{m.leader, m.term})
	})
}

// leaderStillSuspected reports whether the leader for which promises were collected still leads in
// the same term, according to this node's state, and still does not answer pings.
func (m promisesCollectedMsg) leaderStillSuspected(c *Controller) bool {
	leader := c.membership.Members[m.leader]
	return c.leader == m.leader && c.leaderTerm == nil &&
		leader.FailedPings >= membership.FailedPingThreshold && leader.Term == m.term
}

// votesExpiredMsg means that the votes for a leader have expired and cannot be renewed, so that the
// leader can no longer act in its term.
type votesExpiredMsg struct {
	leader string
	term   uint64
}

func (m votesExpiredMsg) apply(c *Controller) {
	c.failover.inProgress, c.failover.nextAttempt = false, time.Now().Add(failoverRetryInterval)
	if c.leader != m.leader || c.leaderTerm != nil {
		return // another leader has been elected in the meantime
	}
	c.notifyResignation(m.leader, m.term)
}

// PeerPromise handles another node's request for a promise not to vote in a term any longer. It
// returns for how long this node's votes may still be valid, or api.ErrUnavailable if this node
// does not promise.
func (c *Controller) PeerPromise(ctx context.Context, term uint64) (time.Duration, error) {
	m := promiseRequestMsg{term, make(chan time.Duration, 1)}
	wait, err := request(ctx, c, m, m.reply)
	if err == nil && wait == noPromise {
		return 0, api.ErrUnavailable
	}
	return wait, err
}

// promiseRequestMsg requests this node's promise not to vote in a term any longer. A node that
// leads, or that reaches the leader of the term, does not promise.
type promiseRequestMsg struct {
	term  uint64
	reply chan time.Duration
}

func (m promiseRequestMsg) apply(c *Controller) {
	voter, now := c.failover.voter, time.Now()
	if voter == nil || c.leaderTerm != nil {
		m.reply <- noPromise
		return
	}
	for _, member := range c.membership.Members {
		if member.Term == m.term && member.IsReachable(now) {
			m.reply <- noPromise
			return
		}
	}
	m.reply <- voter.Promise(m.term, now)
}
