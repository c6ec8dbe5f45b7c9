package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/grant"
)

// replacement is a node's part in replacing a leader that is gone without waiting for its
// lease at the state service. It grants the leader that it decides, a little at a time;
// and when it does not hear the leader it has the others promise with it to grant that
// term nothing more, waits until what was granted has run out, and tells the election that
// the leader no longer acts. docs/standby.md says why that is safe.
type replacement struct {
	// voter is nil where this is switched off.
	voter *grant.Voter
	busy  bool
	next  time.Time
	// newTerm is when this node last gave up a term to be granted the next.
	newTerm time.Time
}

const (
	grantEvery   = time.Second
	grantTimeout = 800 * time.Millisecond
	// replaceAgain is how long after a vain try the others are asked again.
	replaceAgain = time.Second
	// bindAfter is how long nodes that know of grants may grant nothing before a new
	// term is begun for that, and newTermEvery how often that may be.
	bindAfter    = 3 * time.Second
	newTermEvery = 5 * time.Minute
)

// run begins what goes on beside the owner, if it is switched on.
func (p *replacement) run(ctx context.Context, c *Controller) {
	if c.Standby == nil {
		return
	}
	p.voter = grant.NewVoter(c.Standby.Grant(), time.Now())
	go c.readVoterTerm(ctx)
	if c.Peers == nil {
		return
	}
	for _, peer := range c.Settings.Peers {
		go c.requestGrants(ctx, peer.Node)
	}
}

// readVoterTerm reads the latest term from the store, so that the voter grants it nothing:
// an earlier process of this node may have promised that.
func (c *Controller) readVoterTerm(ctx context.Context) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, storeTimeout)
		e, err := c.Store.Get(rctx, election.TermKey)
		cancel()
		var term election.TermRecord
		if err == nil && e.Mark != 0 {
			err = json.Unmarshal(e.Value, &term)
		}
		if err == nil {
			c.send(ctx, voterTermMsg{term.Number}) // fails only when the node ends
			return
		}
		c.Log.Debug("term not read", "err", err)
		sleep(ctx, storeEvery)
	}
}

type voterTermMsg struct{ term uint64 }

func (m voterTermMsg) apply(c *Controller) { c.replacement.voter.Begin(m.term) }

// requestGrants asks another node for a grant every second while this one leads.
func (c *Controller) requestGrants(ctx context.Context, node string) {
	for ctx.Err() == nil {
		ask := leadingTermMsg{make(chan uint64, 1)}
		if c.send(ctx, ask) != nil {
			return
		}
		term, err := await(ctx, c, ask.reply)
		if err != nil {
			return
		}
		if term != 0 {
			asked := time.Now()
			gctx, cancel := context.WithTimeout(ctx, grantTimeout)
			granted, err := c.Peers.Grant(gctx, node, term)
			cancel()
			if err == nil && granted {
				c.send(ctx, grantedMsg{node, term, asked})
			}
		}
		sleep(ctx, grantEvery)
	}
}

// leadingTermMsg asks in which term this node leads, if it does.
type leadingTermMsg struct{ reply chan uint64 }

func (m leadingTermMsg) apply(c *Controller) {
	term := uint64(0)
	if c.holdsLease() {
		term = c.leaderTerm.term.Number
	}
	m.reply <- term
}

// grantedMsg brings another node's grant.
type grantedMsg struct {
	node  string
	term  uint64
	asked time.Time
}

func (m grantedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term.Number == m.term {
		lt.grants.Granted(m.node, m.asked)
	}
}

// granted tells whether the leader holds enough grants.
func (lt *leaderTerm) granted(now time.Time) bool {
	return lt.grants.Valid(grant.NeededGrants(len(lt.c.Settings.Peers)+1), now)
}

// mayDecide tells whether the leader may start tasks, and rent and return machines. One
// that is bound to grants and lacks them may have been replaced; all that it goes on with
// is what renews leases, and what the state service guards.
func (lt *leaderTerm) mayDecide(now time.Time) bool { return !lt.bound || lt.granted(now) }

// checkGrants binds the leader to grants once all other nodes know of them and enough have
// granted. One that lacks them for long, and is not replaced, begins a new term: those
// that have promised to grant the present one nothing more are not bound to that.
func (lt *leaderTerm) checkGrants(now time.Time) {
	if lt.c.Standby == nil || len(lt.c.Settings.Peers) == 0 {
		return
	}
	if !lt.bound {
		lt.bind(now)
		return
	}
	if lt.granted(now) {
		lt.ungranted = time.Time{}
		return
	}
	if lt.ungranted.IsZero() {
		lt.ungranted = now
		lt.c.Log.Info("grants lost, nothing is decided", "term", lt.term.Number)
	}
	if now.Sub(lt.ungranted) > 2*lt.c.Standby.Grant() && lt.c.peerTable.storeOK {
		lt.c.Log.Info("leadership given up without grants", "term", lt.term.Number)
		lt.stepDown()
	}
}

// bind binds the leader to grants once all other nodes know of them and enough of them
// grant. Processes that were begun after the term was grant it nothing, as they cannot know
// what earlier ones have promised: if there are too many of them, a new term is begun.
func (lt *leaderTerm) bind(now time.Time) {
	for _, n := range lt.c.peerTable.nodes {
		if !n.KnowsGrants || !n.reached(now) {
			lt.ungranted = time.Time{}
			return
		}
	}
	if lt.bound = lt.granted(now); lt.bound {
		lt.ungranted = time.Time{}
		lt.c.Log.Info("bound to grants", "term", lt.term.Number)
		return
	}
	if lt.ungranted.IsZero() {
		lt.ungranted = now
	}
	p := &lt.c.replacement
	if now.Sub(lt.ungranted) > bindAfter && now.Sub(p.newTerm) > newTermEvery && lt.c.peerTable.storeOK {
		p.newTerm = now
		lt.c.Log.Info("new term begun, to be granted", "term", lt.term.Number)
		lt.stepDown()
	}
}

// tick looks, on a node that does not lead, whether the leader is to be replaced.
func (p *replacement) tick(c *Controller, now time.Time) {
	n := c.peerTable.nodes[c.leader]
	if p.voter == nil || p.busy || n == nil || !n.Bound || n.Term == 0 || n.failed < unreachedAfter || !c.peerTable.storeOK || now.Before(p.next) {
		return
	}
	var others []string
	for name := range c.peerTable.nodes {
		if name != c.leader {
			others = append(others, name)
		}
	}
	p.busy = true
	c.Log.Info("leader suspected", "leader", c.leader, "term", n.Term, "failed", n.failed)
	go c.collectPromises(c.leader, n.Term, others)
}

// collectPromises asks the others to grant a term nothing more. Those that hear its leader
// do not.
func (c *Controller) collectPromises(leader string, term uint64, others []string) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	asked := time.Now()
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
	m := promisesMsg{leader: leader, term: term}
	for range others {
		if wait := <-waits; wait != noPromise {
			m.promises++
			if until := asked.Add(grantTimeout + wait); until.After(m.until) {
				m.until = until
			}
		}
	}
	c.send(context.Background(), m)
}

// noPromise is in place of a wait where there is no promise.
const noPromise = -1

// promisesMsg brings what others have promised, and until when what they have granted may
// be valid.
type promisesMsg struct {
	leader   string
	term     uint64
	promises int
	until    time.Time
}

func (m promisesMsg) apply(c *Controller) {
	p, now := &c.replacement, time.Now()
	n := c.peerTable.nodes[m.leader]
	if m.promises+1 < grant.NeededPromises(len(c.Settings.Peers)+1) || c.leader != m.leader || c.leaderTerm != nil || n.failed < unreachedAfter || n.Term != m.term {
		p.busy, p.next = false, now.Add(replaceAgain)
		return
	}
	if own := now.Add(p.voter.Promise(m.term, now)); own.After(m.until) {
		m.until = own
	}
	c.Log.Info("leader to be replaced", "leader", m.leader, "term", m.term, "in", m.until.Sub(now).Round(time.Millisecond))
	time.AfterFunc(m.until.Sub(now), func() { c.send(context.Background(), replaceMsg{m.leader, m.term}) })
}

// replaceMsg says that a leader may decide nothing any more in its term.
type replaceMsg struct {
	leader string
	term   uint64
}

func (m replaceMsg) apply(c *Controller) {
	c.replacement.busy, c.replacement.next = false, time.Now().Add(replaceAgain)
	if c.leader != m.leader || c.leaderTerm != nil {
		return // somebody else was quicker
	}
	select {
	case c.resignations <- election.Resignation{Node: m.leader, Term: m.term}:
	default:
	}
}

// PeerGrant answers a leader that asks to decide in its term.
func (c *Controller) PeerGrant(ctx context.Context, term uint64) (bool, error) {
	m := peerGrantMsg{term, make(chan bool, 1)}
	if err := c.send(ctx, m); err != nil {
		return false, err
	}
	return await(ctx, c, m.reply)
}

type peerGrantMsg struct {
	term  uint64
	reply chan bool
}

func (m peerGrantMsg) apply(c *Controller) {
	v := c.replacement.voter
	m.reply <- v != nil && v.Grant(m.term, time.Now())
}

// PeerPromise answers a node that wants to replace the leader of a term.
func (c *Controller) PeerPromise(ctx context.Context, term uint64) (time.Duration, error) {
	m := peerPromiseMsg{term, make(chan time.Duration, 1)}
	if err := c.send(ctx, m); err != nil {
		return 0, err
	}
	wait, err := await(ctx, c, m.reply)
	if err == nil && wait == noPromise {
		return 0, api.ErrUnavailable
	}
	return wait, err
}

type peerPromiseMsg struct {
	term  uint64
	reply chan time.Duration
}

// A node that hears the leader, or leads itself, promises nothing.
func (m peerPromiseMsg) apply(c *Controller) {
	v, now := c.replacement.voter, time.Now()
	if v == nil || c.leaderTerm != nil {
		m.reply <- noPromise
		return
	}
	for _, n := range c.peerTable.nodes {
		if n.Term == m.term && n.reached(now) {
			m.reply <- noPromise
			return
		}
	}
	m.reply <- v.Promise(m.term, now)
}
