package controller

import (
	"cmp"
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/membership"
)

// currentLeader returns the node that leads, as far as this node knows, or "". Without the
// store the election's last notice may be out of date, so the highest term among the
// reachable nodes counts.
func (c *Controller) currentLeader(now time.Time) string {
	observed := c.leader
	if observed == c.Settings.Node {
		observed = ""
	}
	if observed != "" && c.membership.KVReachable {
		return observed
	}
	return cmp.Or(c.membership.HighestTermLeader(now), observed)
}

const (
	pingTimeout    = 800 * time.Millisecond
	kvCheckTimeout = 1200 * time.Millisecond
	// resignTimeout is the time limit of a resignation.
	resignTimeout = 2 * time.Second
)

// kvHealthLoop reads from the key-value store at intervals, only to learn whether it answers
// this node.
func (c *Controller) kvHealthLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sctx, cancel := context.WithTimeout(ctx, kvCheckTimeout)
		_, err := c.Store.Get(sctx, election.LeaderKey)
		cancel()
		if c.send(ctx, kvHealthMsg{err == nil}) != nil {
			return
		}
		sleep(ctx, membership.KVCheckInterval)
	}
}

// kvHealthMsg carries whether the store has answered a health check.
type kvHealthMsg struct{ ok bool }

func (m kvHealthMsg) apply(c *Controller) {
	c.membership.ApplyKVHealth(m.ok, time.Now())
}

// pingLoop pings another node. While that leads and is unreachable, it also verifies the
// leader's term for the renewal of leases on the leader's behalf.
func (c *Controller) pingLoop(ctx context.Context, node string) {
	failed := 0
	var from cancellation.Position
	for ctx.Err() == nil {
		sentAt := time.Now()
		pctx, cancel := context.WithTimeout(ctx, pingTimeout)
		st, err := c.Peers.Ping(pctx, node, from)
		cancel()
		failed++
		if err == nil || errors.Is(err, api.ErrUnavailable) {
			failed = 0
		}
		result := pingResultMsg{
			node:              node,
			status:            st,
			sentAt:            sentAt,
			failedPings:       failed,
			connectionRefused: errors.Is(err, ErrConnectionRefused),
		}
		if c.send(ctx, result) != nil {
			return
		}
		if err == nil {
			from = cancellation.Position{Incarnation: st.Incarnation, Number: st.Cancellations.LastNumber()}
		}
		if failed >= membership.UnreachablePings {
			c.verifyUnreachableLeader(ctx, node)
		}
		sleep(ctx, membership.PingInterval)
	}
}

// pingResultMsg carries the response to a ping, if FailedPings is 0, or its failure.
type pingResultMsg struct {
	node              string
	status            membership.PeerStatus
	sentAt            time.Time
	failedPings       int
	connectionRefused bool
}

func (m pingResultMsg) apply(c *Controller) {
	now := time.Now()
	mb := c.membership.Members[m.node]
	if mb == nil {
		return
	}
	mb.ApplyPing(m.failedPings, m.connectionRefused)
	if m.failedPings > 0 {
		return
	}
	mb.ApplyPong(m.status, m.sentAt, now)
	for _, id := range m.status.Cancellations.IDs {
		c.recordCancellation(id)
	}
	if c.leaderTerm != nil {
		c.leaderTerm.downlink.handleRestart(c.leaderTerm, m.node, m.status.Incarnation)
	}
	if m.node == c.leader {
		c.leaseRenewer.reset(m.node, m.status.Term, m.cancellationsKnownAt(c, mb, now))
	}
}

// cancellationsKnownAt returns the moment before which the leader knew all cancellations, as
// far as its response to a ping lets this node rely on it; zero: not at all.
//
// A response carries the leader's own knowledge. Cancellations of earlier terms need not be in
// any log that has reached this node: the leader only knows which jobs are left, and has
// communicated that to each machine that is still alive once a lease has passed.
func (m pingResultMsg) cancellationsKnownAt(c *Controller, leader *membership.Member, now time.Time) time.Time {
	w := c.Settings.Site.Workers
	if m.status.CancellationsKnownAge < 0 {
		return time.Time{}
	}
	if m.status.Term > 1 && now.Sub(leader.TermSeenAt) < w.Lease()+2*w.HeartbeatInterval() {
		return time.Time{}
	}
	return m.sentAt.Add(-m.status.CancellationsKnownAge)
}

// checkKVAccess makes a node unready, and has it step down as leader, if the key-value store
// does not answer it but answers others: it can only fail its users, and cannot lead.
func (c *Controller) checkKVAccess(now time.Time) {
	if c.draining {
		return
	}
	t := &c.membership
	if !t.KVLost(now) {
		if c.unready.Swap(false) {
			c.Log.Info("key-value store reachable again")
		}
		return
	}
	reachable, healthy := t.KVHealthyMember(now)
	// Without a reachable node it is unknown whether this is an outage for all; then, too,
	// other nodes serve users better, if any does.
	if unready := healthy != "" || (reachable == 0 && len(t.Members) > 0); unready != c.unready.Load() {
		c.unready.Store(unready)
		c.Log.Info("key-value store unreachable", "answersOthers", healthy != "", "nodesReached", reachable)
	}
	if c.leaderTerm != nil && healthy != "" {
		c.resign(healthy)
	}
}

// resign steps down, then notifies the successor, which may take over at once: from the step
// down on this node does not act as leader.
func (c *Controller) resign(successor string) {
	term := c.leaderTerm.term.Number
	c.Log.Info("leader resigns", "term", term, "node", successor)
	c.leaderTerm.stepDown()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		defer cancel()
		if err := c.Peers.Resign(ctx, successor, c.Settings.Node, term); err != nil {
			c.Log.Debug("resignation not delivered", "node", successor, "err", err)
		}
	}()
}

// LeaderResigned handles a leader's notice that it has stopped acting.
func (c *Controller) LeaderResigned(ctx context.Context, node string, term uint64) error {
	return c.send(ctx, resignationMsg{node, term})
}

// resignationMsg carries a leader's notice that it has stopped acting in a term.
type resignationMsg struct {
	node string
	term uint64
}

func (m resignationMsg) apply(c *Controller) {
	c.Log.Info("leader resigned", "leader", m.node, "term", m.term)
	c.notifyResignation(m.node, m.term)
}

// notifyResignation notifies the election that a leader no longer acts in a term.
func (c *Controller) notifyResignation(leader string, term uint64) {
	select {
	case c.resignations <- election.Resignation{Node: leader, Term: term}:
	default:
	}
}

// PeerStatus responds to another node's ping.
func (c *Controller) PeerStatus(ctx context.Context, from cancellation.Position) (membership.PeerStatus, error) {
	m := pingMsg{from, make(chan membership.PeerStatus, 1)}
	return request(ctx, c, m, m.reply)
}

// pingMsg requests this node's status, with its cancellation log from a position on.
type pingMsg struct {
	from  cancellation.Position
	reply chan membership.PeerStatus
}

func (m pingMsg) apply(c *Controller) {
	now := time.Now()
	st := membership.PeerStatus{
		Leader:                c.leader,
		Incarnation:           c.uplink.incarnation,
		CancellationsKnownAge: -1,
		SupportsLoans:         c.Cells != nil,
		SupportsLeaseQuorum:   c.Standby != nil,
	}
	if m.from.Incarnation != st.Incarnation {
		m.from.Number = 0
	}
	st.Cancellations = c.cancellations.DeltaSince(m.from.Number, now)
	if c.holdsLease() {
		st.Term, st.QuorumRequired = c.leaderTerm.term.Number, c.leaderTerm.quorumRequired
		if c.leaderTerm.loaded {
			st.CancellationsKnownAge = now.Sub(c.leaderTerm.cancellationsKnownAt(now))
		}
	}
	st.KVReachableFor = c.membership.KVReachableFor(now)
	m.reply <- st
}
