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

// failover is a node's part in replacing a leader before its lease at the key-value store
// expires. The node votes for the leader, each time for a short while. When it suspects the
// leader it collects the promises of the other nodes to vote no more in that term, promises the
// same, waits until the votes have expired, and notifies the election that the leader no longer
// acts. docs/standby.md says why that is safe.
type failover struct {
	// voter is nil where failover is switched off.
	voter *leasequorum.Voter
	// inProgress is set from the suspicion of the leader until the attempt to replace it has ended.
	inProgress  bool
	nextAttempt time.Time
	// lastNewTermAt is when this node last gave up a term to get votes in the next.
	lastNewTermAt time.Time
}

const (
	voteInterval = time.Second
	voteTimeout  = 800 * time.Millisecond
	// failoverRetryInterval is the pause after an attempt to replace the leader.
	failoverRetryInterval = time.Second
	// missingVotesTimeout is how long votes may be missing, although all nodes support them, before
	// the leader begins a new term to get them; minNewTermInterval is the pause between two such
	// terms.
	missingVotesTimeout = 3 * time.Second
	minNewTermInterval  = 5 * time.Minute
)

// start starts the goroutines of failover, if it is switched on.
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

// readVoterTerm reads the latest term from the store, so that the voter does not vote in it: an
// earlier process of this node may have promised that.
func (c *Controller) readVoterTerm(ctx context.Context) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, kvCheckTimeout)
		e, err := c.Store.Get(rctx, election.TermKey)
		cancel()
		var term election.TermRecord
		if err == nil && e.ModRevision != 0 {
			err = json.Unmarshal(e.Value, &term)
		}
		if err == nil {
			c.sendOrDrop(ctx, voterTermMsg{term.Number})
			return
		}
		c.Log.Debug("read of term failed", "err", err)
		sleep(ctx, membership.KVCheckInterval)
	}
}

// voterTermMsg carries the term of the store when this process began.
type voterTermMsg struct{ term uint64 }

func (m voterTermMsg) apply(c *Controller) { c.failover.voter.Init(m.term) }

// tick starts to replace the leader, on a node that does not lead, once it is suspected.
func (f *failover) tick(c *Controller, now time.Time) {
	if f.voter == nil || f.inProgress || now.Before(f.nextAttempt) || !c.membership.KVReachable {
		return
	}
	mb := c.membership.Members[c.leader]
	if mb == nil || !mb.QuorumRequired || mb.Term == 0 || mb.FailedPings < membership.FailedPingThreshold {
		return
	}
	var others []string
	for name := range c.membership.Members {
		if name != c.leader {
			others = append(others, name)
		}
	}
	f.inProgress = true
	c.Log.Info("leader suspected", "leader", c.leader, "term", mb.Term, "count", mb.FailedPings)
	go c.collectPromises(c.leader, mb.Term, others)
}

// collectPromises requests the other nodes' promises to vote no more in a term. Those that reach
// its leader do not promise.
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

// noPromise stands in place of a wait where there is no promise.
const noPromise = -1

// promisesCollectedMsg carries how many nodes have promised, and until when their votes may be
// valid.
type promisesCollectedMsg struct {
	leader        string
	term          uint64
	promises      int
	votesExpireAt time.Time
}

func (m promisesCollectedMsg) apply(c *Controller) {
	f, now := &c.failover, time.Now()
	required := leasequorum.RequiredPromises(len(c.Settings.Peers) + 1)
	if m.promises+1 < required || !m.leaderStillSuspected(c) {
		f.inProgress, f.nextAttempt = false, now.Add(failoverRetryInterval)
		return
	}
	// This node promises only once enough others have.
	if own := now.Add(f.voter.Promise(m.term, now)); own.After(m.votesExpireAt) {
		m.votesExpireAt = own
	}
	wait := m.votesExpireAt.Sub(now)
	c.Log.Info("failover scheduled", "leader", m.leader, "term", m.term, "after", wait.Round(time.Millisecond))
	time.AfterFunc(wait, func() {
		c.sendOrDrop(context.Background(), votesExpiredMsg{m.leader, m.term})
	})
}

// leaderStillSuspected reports whether the leader that the promises are about still leads in the
// same term, as far as this node knows, and is still unreachable.
func (m promisesCollectedMsg) leaderStillSuspected(c *Controller) bool {
	mb := c.membership.Members[m.leader]
	return c.leader == m.leader && c.leaderTerm == nil &&
		mb.FailedPings >= membership.FailedPingThreshold && mb.Term == m.term
}

// votesExpiredMsg means that all votes for a leader have expired: it cannot act any more in its
// term.
type votesExpiredMsg struct {
	leader string
	term   uint64
}

func (m votesExpiredMsg) apply(c *Controller) {
	c.failover.inProgress, c.failover.nextAttempt = false, time.Now().Add(failoverRetryInterval)
	if c.leader != m.leader || c.leaderTerm != nil {
		return // another leader has been elected meanwhile
	}
	c.notifyResignation(m.leader, m.term)
}

// PeerPromise responds to a node that is replacing the leader of a term.
func (c *Controller) PeerPromise(ctx context.Context, term uint64) (time.Duration, error) {
	m := promiseRequestMsg{term, make(chan time.Duration, 1)}
	wait, err := request(ctx, c, m, m.reply)
	if err == nil && wait == noPromise {
		return 0, api.ErrUnavailable
	}
	return wait, err
}

// promiseRequestMsg requests this node's promise to vote no more in a term. A node that leads, or
// reaches the leader of that term, does not promise.
type promiseRequestMsg struct {
	term  uint64
	reply chan time.Duration
}

func (m promiseRequestMsg) apply(c *Controller) {
	v, now := c.failover.voter, time.Now()
	if v == nil || c.leaderTerm != nil {
		m.reply <- noPromise
		return
	}
	for _, mb := range c.membership.Members {
		if mb.Term == m.term && mb.IsReachable(now) {
			m.reply <- noPromise
			return
		}
	}
	m.reply <- v.Promise(m.term, now)
}
