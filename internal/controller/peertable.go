package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
)

// PeerStatus is a node's state as it tells the others.
type PeerStatus struct {
	// Term is the term in which it leads at this moment, or 0.
	Term uint64
	// Leader is the node that it takes for the leader.
	Leader string
	// StoreOK is for how long the state service has answered it.
	StoreOK time.Duration
	// Incarnation is the one under which it relays reports.
	Incarnation string
	// Cancels is what it knows of cancellations, and Known how long ago it knew
	// all of them as a leader; negative: it does not know.
	Cancels cancellation.News
	Known   time.Duration
	// SupportsLoans is set if it knows records of jobs that are lent between cells.
	SupportsLoans bool
	// SupportsLeaseQuorum is set if it grants and promises, and Bound if it decides as leader
	// only while it is granted that.
	SupportsLeaseQuorum, QuorumRequired bool
}

// peerTable is what a node knows of the others and of its own way to the state
// service.
type peerTable struct {
	nodes map[string]*peerState
	// storeAt is when the service last answered, storeSince since when it has
	// done so without a break, or has not.
	storeAt    time.Time
	storeOK    bool
	storeSince time.Time
}

// peerState is another node as last heard of.
type peerState struct {
	PeerStatus
	zone    string
	cancels cancellation.Reader
	// termAt is when it was first heard to lead in its term.
	termAt time.Time
	seen   time.Time
	failed int
	// refused is set if it refuses connections from here.
	refused bool
}

func newPeerTable(peers []config.Peer, now time.Time) peerTable {
	a := peerTable{nodes: map[string]*peerState{}, storeSince: now}
	for _, p := range peers {
		a.nodes[p.Node] = &peerState{zone: p.Zone}
	}
	return a
}

const (
	pingEvery   = time.Second
	pingTimeout = 800 * time.Millisecond
	// unreachedAfter is how many pings in a row must fail.
	unreachedAfter = 2
	storeEvery     = 1500 * time.Millisecond
	storeTimeout   = 1200 * time.Millisecond
	// storeLostAfter is how long the service must not answer this node before
	// it takes itself for shut out, and storeSureAfter how long it must have
	// answered another one, so that neither the beginning nor the end of an
	// outage looks like that.
	storeLostAfter = 5 * time.Second
	storeSureAfter = 8 * time.Second
)

// reached tells whether the node has answered just now.
func (n *peerState) reached(now time.Time) bool {
	return n != nil && n.failed == 0 && now.Sub(n.seen) < 3*pingEvery
}

// lost tells whether the node has not answered for a while.
func (n *peerState) lost() bool { return n != nil && n.failed > unreachedAfter }

// leads names the node that leads, as far as known here.
func (c *Controller) leads(now time.Time) string {
	if c.leader != "" && c.leader != c.Settings.Node && c.peerTable.storeOK {
		return c.leader
	}
	best, term := "", uint64(0)
	for name, n := range c.peerTable.nodes {
		if n.reached(now) && n.Term > term {
			best, term = name, n.Term
		}
	}
	if best == "" && c.leader != c.Settings.Node {
		return c.leader
	}
	return best
}

// watchStore asks the state service from time to time, only to know whether it
// answers this node.
func (c *Controller) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		sctx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := c.Store.Get(sctx, election.LeaderKey)
		cancel()
		if c.send(ctx, storeMsg{err == nil}) != nil {
			return
		}
		sleep(ctx, storeEvery)
	}
}

type storeMsg struct{ ok bool }

func (m storeMsg) apply(c *Controller) {
	now := time.Now()
	a := &c.peerTable
	if m.ok {
		a.storeAt = now
	}
	if m.ok != a.storeOK {
		a.storeOK, a.storeSince = m.ok, now
	}
}

// watchPeer pings another node, and while that leads and cannot be reached
// keeps what the lease extender must know up to date.
func (c *Controller) watchPeer(ctx context.Context, node string) {
	failed := 0
	var from cancellation.Position
	for ctx.Err() == nil {
		sent := time.Now()
		pctx, cancel := context.WithTimeout(ctx, pingTimeout)
		st, err := c.Peers.Ping(pctx, node, from)
		cancel()
		failed++
		if err == nil || errors.Is(err, api.ErrUnavailable) {
			failed = 0
		}
		if c.send(ctx, peerMsg{node, st, sent, failed, errors.Is(err, ErrRefused)}) != nil {
			return
		}
		if err == nil {
			from = cancellation.Position{Incarnation: st.Incarnation, Number: st.Cancels.Last()}
		}
		if failed >= unreachedAfter {
			c.extendLeases(ctx, node)
		}
		sleep(ctx, pingEvery)
	}
}

type peerMsg struct {
	node   string
	st     PeerStatus
	sent   time.Time
	failed int
	// refused is set if the connection was refused.
	refused bool
}

func (m peerMsg) apply(c *Controller) {
	now := time.Now()
	n := c.peerTable.nodes[m.node]
	if n == nil {
		return
	}
	n.refused = m.refused
	if n.failed = m.failed; m.failed > 0 {
		return
	}
	if m.st.Term != n.Term {
		n.termAt = now
	}
	n.cancels.Take(m.st.Incarnation, &m.st.Cancels, m.sent, now)
	for _, id := range m.st.Cancels.IDs {
		c.cancelled(id)
	}
	m.st.Cancels = cancellation.News{}
	n.PeerStatus, n.seen = m.st, m.sent
	if c.leaderTerm != nil {
		c.leaderTerm.down.restarted(c.leaderTerm, m.node, m.st.Incarnation)
	}
	if m.node == c.leader {
		// What the leader knows of cancellations it says itself. Those of
		// earlier terms are in no log that must have come here: it only knows
		// which jobs are left, and has told it to each machine that is still
		// alive when a lease has passed.
		known := m.sent.Add(-m.st.Known)
		if w := c.Settings.Site.Workers; m.st.Known < 0 || m.st.Term > 1 && now.Sub(n.termAt) < w.Lease()+2*w.Report() {
			known = time.Time{}
		}
		c.extender.verify(m.node, m.st.Term, known)
	}
}

// checkStoreAccess draws the conclusions: a node that the state service refuses
// while it answers others can only fail its users, and cannot lead.
func (c *Controller) checkStoreAccess(now time.Time) {
	if c.draining {
		return
	}
	a := &c.peerTable
	if a.storeOK || now.Sub(a.storeSince) < storeLostAfter {
		if c.shut.Swap(false) {
			c.Log.Info("state service reached again")
		}
		return
	}
	reached, heir := 0, ""
	for name, n := range a.nodes {
		if !n.reached(now) {
			continue
		}
		reached++
		if n.StoreOK >= storeSureAfter {
			heir = name
		}
	}
	// With no other node in reach it cannot be told whether it is an outage;
	// then, too, users are better served elsewhere, if they are anywhere.
	if shut := heir != "" || (reached == 0 && len(a.nodes) > 0); shut != c.shut.Load() {
		c.shut.Store(shut)
		c.Log.Info("state service lost here", "answersOthers", heir != "", "nodesReached", reached)
	}
	if lt := c.leaderTerm; lt != nil && heir != "" {
		c.Log.Info("leadership resigned", "term", lt.term.Number, "to", heir)
		term := lt.term.Number
		lt.stepDown() // from here on this node acts for nobody
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := c.Peers.Resign(ctx, heir, c.Settings.Node, term); err != nil {
				c.Log.Debug("resignation not taken", "to", heir, "err", err)
			}
		}()
	}
}

// LeaderResigned handles the notice that a leader has stopped acting.
func (c *Controller) LeaderResigned(ctx context.Context, node string, term uint64) error {
	return c.send(ctx, resignedMsg{node, term})
}

type resignedMsg struct {
	node string
	term uint64
}

func (m resignedMsg) apply(c *Controller) {
	c.Log.Info("leader has resigned", "leader", m.node, "term", m.term)
	select {
	case c.resignations <- election.Resignation{Node: m.node, Term: m.term}:
	default:
	}
}

// PeerStatus is the state of this node, as the others are told.
func (c *Controller) PeerStatus(ctx context.Context, from cancellation.Position) (PeerStatus, error) {
	m := peerStatusMsg{from, make(chan PeerStatus, 1)}
	if err := c.send(ctx, m); err != nil {
		return PeerStatus{}, err
	}
	return await(ctx, c, m.reply)
}

type peerStatusMsg struct {
	from  cancellation.Position
	reply chan PeerStatus
}

func (m peerStatusMsg) apply(c *Controller) {
	now := time.Now()
	st := PeerStatus{Leader: c.leader, Incarnation: c.up.incarnation, Known: -1, SupportsLoans: c.Cells != nil, SupportsLeaseQuorum: c.Standby != nil}
	if m.from.Incarnation != st.Incarnation {
		m.from.Number = 0
	}
	st.Cancels = c.cancels.After(m.from.Number, now)
	if c.holdsLease() {
		st.Term, st.QuorumRequired = c.leaderTerm.term.Number, c.leaderTerm.quorumRequired
		if c.leaderTerm.loaded {
			st.Known = now.Sub(c.leaderTerm.cancellationsKnownAt(now))
		}
	}
	if c.peerTable.storeOK && now.Sub(c.peerTable.storeAt) < 2*storeEvery {
		st.StoreOK = max(now.Sub(c.peerTable.storeSince), time.Millisecond)
	}
	m.reply <- st
}
