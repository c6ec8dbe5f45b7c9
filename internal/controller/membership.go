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
	// KVReachableFor is for how long the state service has answered it.
	KVReachableFor time.Duration
	// Incarnation is the one under which it relays reports.
	Incarnation string
	// Cancellations is what it knows of cancellations, and Known how long ago it knew
	// all of them as a leader; negative: it does not know.
	Cancellations         cancellation.Delta
	CancellationsKnownAge time.Duration
	// SupportsLoans is set if it knows records of jobs that are lent between cells.
	SupportsLoans bool
	// SupportsLeaseQuorum is set if it grants and promises, and Bound if it decides as leader
	// only while it is granted that.
	SupportsLeaseQuorum, QuorumRequired bool
}

// membership is what a node knows of the others and of its own way to the state
// service.
type membership struct {
	members map[string]*member
	// kvAnsweredAt is when the service last answered, kvStateSince since when it has
	// done so without a break, or has not.
	kvAnsweredAt time.Time
	kvReachable  bool
	kvStateSince time.Time
}

// member is another node as last heard of.
type member struct {
	PeerStatus
	zone    string
	cancels cancellation.Reader
	// termSeenAt is when it was first heard to lead in its term.
	termSeenAt  time.Time
	lastPong    time.Time
	failedPings int
	// connectionRefused is set if it refuses connections from here.
	connectionRefused bool
}

func newMembership(peers []config.Peer, now time.Time) membership {
	a := membership{members: map[string]*member{}, kvStateSince: now}
	for _, p := range peers {
		a.members[p.Node] = &member{zone: p.Zone}
	}
	return a
}

const (
	pingInterval = time.Second
	pingTimeout  = 800 * time.Millisecond
	// unreachablePings is how many pings in a row must fail.
	unreachablePings = 2
	kvCheckInterval  = 1500 * time.Millisecond
	kvCheckTimeout   = 1200 * time.Millisecond
	// kvUnreachableAfter is how long the service must not answer this node before
	// it takes itself for shut out, and kvHealthyAfter how long it must have
	// answered another one, so that neither the beginning nor the end of an
	// outage looks like that.
	kvUnreachableAfter = 5 * time.Second
	kvHealthyAfter     = 8 * time.Second
)

// isReachable tells whether the node has answered just now.
func (mb *member) isReachable(now time.Time) bool {
	return mb != nil && mb.failedPings == 0 && now.Sub(mb.lastPong) < 3*pingInterval
}

// isUnreachable tells whether the node has not answered for a while.
func (mb *member) isUnreachable() bool { return mb != nil && mb.failedPings > unreachablePings }

// currentLeader names the node that leads, as far as known here.
func (c *Controller) currentLeader(now time.Time) string {
	if c.leader != "" && c.leader != c.Settings.Node && c.membership.kvReachable {
		return c.leader
	}
	best, term := "", uint64(0)
	for name, mb := range c.membership.members {
		if mb.isReachable(now) && mb.Term > term {
			best, term = name, mb.Term
		}
	}
	if best == "" && c.leader != c.Settings.Node {
		return c.leader
	}
	return best
}

// kvHealthLoop asks the state service from time to time, only to know whether it
// answers this node.
func (c *Controller) kvHealthLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sctx, cancel := context.WithTimeout(ctx, kvCheckTimeout)
		_, err := c.Store.Get(sctx, election.LeaderKey)
		cancel()
		if c.send(ctx, kvHealthMsg{err == nil}) != nil {
			return
		}
		sleep(ctx, kvCheckInterval)
	}
}

type kvHealthMsg struct{ ok bool }

func (m kvHealthMsg) apply(c *Controller) {
	now := time.Now()
	a := &c.membership
	if m.ok {
		a.kvAnsweredAt = now
	}
	if m.ok != a.kvReachable {
		a.kvReachable, a.kvStateSince = m.ok, now
	}
}

// pingLoop pings another node, and while that leads and cannot be reached
// keeps what the lease extender must know up to date.
func (c *Controller) pingLoop(ctx context.Context, node string) {
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
		if c.send(ctx, pingResultMsg{node, st, sent, failed, errors.Is(err, ErrConnectionRefused)}) != nil {
			return
		}
		if err == nil {
			from = cancellation.Position{Incarnation: st.Incarnation, Number: st.Cancellations.LastNumber()}
		}
		if failed >= unreachablePings {
			c.renewOnBehalfLoop(ctx, node)
		}
		sleep(ctx, pingInterval)
	}
}

type pingResultMsg struct {
	node        string
	status      PeerStatus
	sent        time.Time
	failedPings int
	// connectionRefused is set if the connection was refused.
	connectionRefused bool
}

func (m pingResultMsg) apply(c *Controller) {
	now := time.Now()
	mb := c.membership.members[m.node]
	if mb == nil {
		return
	}
	mb.connectionRefused = m.connectionRefused
	if mb.failedPings = m.failedPings; m.failedPings > 0 {
		return
	}
	if m.status.Term != mb.Term {
		mb.termSeenAt = now
	}
	mb.cancels.Apply(m.status.Incarnation, &m.status.Cancellations, m.sent, now)
	for _, id := range m.status.Cancellations.IDs {
		c.recordCancellation(id)
	}
	m.status.Cancellations = cancellation.Delta{}
	mb.PeerStatus, mb.lastPong = m.status, m.sent
	if c.leaderTerm != nil {
		c.leaderTerm.downlink.restarted(c.leaderTerm, m.node, m.status.Incarnation)
	}
	if m.node == c.leader {
		// What the leader knows of cancellations it says itself. Those of
		// earlier terms are in no log that must have come here: it only knows
		// which jobs are left, and has told it to each machine that is still
		// alive when a lease has passed.
		known := m.sent.Add(-m.status.CancellationsKnownAge)
		if w := c.Settings.Site.Workers; m.status.CancellationsKnownAge < 0 || m.status.Term > 1 && now.Sub(mb.termSeenAt) < w.Lease()+2*w.HeartbeatInterval() {
			known = time.Time{}
		}
		c.leaseRenewer.reset(m.node, m.status.Term, known)
	}
}

// checkKVAccess draws the conclusions: a node that the state service refuses
// while it answers others can only fail its users, and cannot lead.
func (c *Controller) checkKVAccess(now time.Time) {
	if c.draining {
		return
	}
	a := &c.membership
	if a.kvReachable || now.Sub(a.kvStateSince) < kvUnreachableAfter {
		if c.unready.Swap(false) {
			c.Log.Info("state service reached again")
		}
		return
	}
	reached, successor := 0, ""
	for name, mb := range a.members {
		if !mb.isReachable(now) {
			continue
		}
		reached++
		if mb.KVReachableFor >= kvHealthyAfter {
			successor = name
		}
	}
	// With no other node in reach it cannot be told whether it is an outage;
	// then, too, users are better served elsewhere, if they are anywhere.
	if shut := successor != "" || (reached == 0 && len(a.members) > 0); shut != c.unready.Load() {
		c.unready.Store(shut)
		c.Log.Info("state service lost here", "answersOthers", successor != "", "nodesReached", reached)
	}
	if lt := c.leaderTerm; lt != nil && successor != "" {
		c.Log.Info("leadership resigned", "term", lt.term.Number, "to", successor)
		term := lt.term.Number
		lt.stepDown() // from here on this node acts for nobody
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := c.Peers.Resign(ctx, successor, c.Settings.Node, term); err != nil {
				c.Log.Debug("resignation not taken", "to", successor, "err", err)
			}
		}()
	}
}

// LeaderResigned handles the notice that a leader has stopped acting.
func (c *Controller) LeaderResigned(ctx context.Context, node string, term uint64) error {
	return c.send(ctx, resignationMsg{node, term})
}

type resignationMsg struct {
	node string
	term uint64
}

func (m resignationMsg) apply(c *Controller) {
	c.Log.Info("leader has resigned", "leader", m.node, "term", m.term)
	select {
	case c.resignations <- election.Resignation{Node: m.node, Term: m.term}:
	default:
	}
}

// PeerStatus is the state of this node, as the others are told.
func (c *Controller) PeerStatus(ctx context.Context, from cancellation.Position) (PeerStatus, error) {
	m := pingMsg{from, make(chan PeerStatus, 1)}
	if err := c.send(ctx, m); err != nil {
		return PeerStatus{}, err
	}
	return await(ctx, c, m.reply)
}

type pingMsg struct {
	from  cancellation.Position
	reply chan PeerStatus
}

func (m pingMsg) apply(c *Controller) {
	now := time.Now()
	st := PeerStatus{Leader: c.leader, Incarnation: c.uplink.incarnation, CancellationsKnownAge: -1, SupportsLoans: c.Cells != nil, SupportsLeaseQuorum: c.Standby != nil}
	if m.from.Incarnation != st.Incarnation {
		m.from.Number = 0
	}
	st.Cancellations = c.cancellations.Since(m.from.Number, now)
	if c.holdsLease() {
		st.Term, st.QuorumRequired = c.leaderTerm.term.Number, c.leaderTerm.quorumRequired
		if c.leaderTerm.loaded {
			st.CancellationsKnownAge = now.Sub(c.leaderTerm.cancellationsKnownAt(now))
		}
	}
	if c.membership.kvReachable && now.Sub(c.membership.kvAnsweredAt) < 2*kvCheckInterval {
		st.KVReachableFor = max(now.Sub(c.membership.kvStateSince), time.Millisecond)
	}
	m.reply <- st
}
