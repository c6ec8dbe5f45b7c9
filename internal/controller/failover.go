package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/leasequorum"
)

// failover is a node's part in replacing a leader that is gone without waiting for its
// lease at the state service. It grants the leader that it decides, a little at a time;
// and when it does not hear the leader it has the others promise with it to grant that
// term nothing more, waits until what was granted has run out, and tells the election that
// the leader no longer acts. docs/standby.md says why that is safe.
type failover struct {
	// voter is nil where this is switched off.
	voter       *leasequorum.Voter
	busy        bool
	nextAttempt time.Time
	// lastNewTerm is when this node last gave up a term to be granted the next.
	lastNewTerm time.Time
}

const (
	voteInterval = time.Second
	voteTimeout  = 800 * time.Millisecond
	// failoverRetryInterval is how long after a vain try the others are asked again.
	failoverRetryInterval = time.Second
	// quorumWait is how long nodes that know of grants may grant nothing before a new
	// term is begun for that, and newTermInterval how often that may be.
	quorumWait      = 3 * time.Second
	newTermInterval = 5 * time.Minute
)

// run begins what goes on beside the owner, if it is switched on.
func (f *failover) run(ctx context.Context, c *Controller) {
	if c.Standby == nil {
		return
	}
	f.voter = leasequorum.NewVoter(c.Standby.VoteLifetime(), time.Now())
	go c.readVoterTerm(ctx)
	if c.Peers == nil {
		return
	}
	for _, peer := range c.Settings.Peers {
		go c.requestVotes(ctx, peer.Node)
	}
}

// readVoterTerm reads the latest term from the store, so that the voter grants it nothing:
// an earlier process of this node may have promised that.
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
			c.send(ctx, voterTermMsg{term.Number}) // fails only when the node ends
			return
		}
		c.Log.Debug("term not read", "err", err)
		sleep(ctx, kvCheckInterval)
	}
}

type voterTermMsg struct{ term uint64 }

func (m voterTermMsg) apply(c *Controller) { c.failover.voter.Begin(m.term) }

// tick looks, on a node that does not lead, whether the leader is to be replaced.
func (f *failover) tick(c *Controller, now time.Time) {
	mb := c.membership.members[c.leader]
	if f.voter == nil || f.busy || mb == nil || !mb.QuorumRequired || mb.Term == 0 || mb.failedPings < unreachablePings || !c.membership.kvReachable || now.Before(f.nextAttempt) {
		return
	}
	var others []string
	for name := range c.membership.members {
		if name != c.leader {
			others = append(others, name)
		}
	}
	f.busy = true
	c.Log.Info("leader suspected", "leader", c.leader, "term", mb.Term, "failed", mb.failedPings)
	go c.collectPromises(c.leader, mb.Term, others)
}

// collectPromises asks the others to grant a term nothing more. Those that hear its leader
// do not.
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
					c.Log.Debug("no promise", "of", node, "err", err)
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
			if until := sentAt.Add(voteTimeout + wait); until.After(m.votesExpireAt) {
				m.votesExpireAt = until
			}
		}
	}
	c.send(context.Background(), m)
}

// noPromise is in place of a wait where there is no promise.
const noPromise = -1

// promisesCollectedMsg brings what others have promised, and until when what they have granted may
// be valid.
type promisesCollectedMsg struct {
	leader        string
	term          uint64
	promises      int
	votesExpireAt time.Time
}

func (m promisesCollectedMsg) apply(c *Controller) {
	f, now := &c.failover, time.Now()
	mb := c.membership.members[m.leader]
	if m.promises+1 < leasequorum.RequiredPromises(len(c.Settings.Peers)+1) || c.leader != m.leader || c.leaderTerm != nil || mb.failedPings < unreachablePings || mb.Term != m.term {
		f.busy, f.nextAttempt = false, now.Add(failoverRetryInterval)
		return
	}
	if own := now.Add(f.voter.Promise(m.term, now)); own.After(m.votesExpireAt) {
		m.votesExpireAt = own
	}
	c.Log.Info("leader to be replaced", "leader", m.leader, "term", m.term, "in", m.votesExpireAt.Sub(now).Round(time.Millisecond))
	time.AfterFunc(m.votesExpireAt.Sub(now), func() { c.send(context.Background(), leaseRevokedMsg{m.leader, m.term}) })
}

// leaseRevokedMsg says that a leader may decide nothing any more in its term.
type leaseRevokedMsg struct {
	leader string
	term   uint64
}

func (m leaseRevokedMsg) apply(c *Controller) {
	c.failover.busy, c.failover.nextAttempt = false, time.Now().Add(failoverRetryInterval)
	if c.leader != m.leader || c.leaderTerm != nil {
		return // somebody else was quicker
	}
	select {
	case c.resignations <- election.Resignation{Node: m.leader, Term: m.term}:
	default:
	}
}

// PeerPromise answers a node that wants to replace the leader of a term.
func (c *Controller) PeerPromise(ctx context.Context, term uint64) (time.Duration, error) {
	m := promiseRequestMsg{term, make(chan time.Duration, 1)}
	if err := c.send(ctx, m); err != nil {
		return 0, err
	}
	wait, err := await(ctx, c, m.reply)
	if err == nil && wait == noPromise {
		return 0, api.ErrUnavailable
	}
	return wait, err
}

type promiseRequestMsg struct {
	term  uint64
	reply chan time.Duration
}

// A node that hears the leader, or leads itself, promises nothing.
func (m promiseRequestMsg) apply(c *Controller) {
	v, now := c.failover.voter, time.Now()
	if v == nil || c.leaderTerm != nil {
		m.reply <- noPromise
		return
	}
	for _, mb := range c.membership.members {
		if mb.Term == m.term && mb.isReachable(now) {
			m.reply <- noPromise
			return
		}
	}
	m.reply <- v.Promise(m.term, now)
}
