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

// currentLeader returns the current leader according to this node's state, or "" if it is unknown.
// While the store does not answer this node, the leader that the election last reported may be out
// of date, so the reachable node that leads in the highest term is preferred.
func (c *Controller) currentLeader(now time.Time) string {
	reported := c.leader
	if reported == c.Settings.Node {
		reported = ""
	}
	if reported != "" && c.membership.KVReachable {
		return reported
	}
	return cmp.Or(c.membership.HighestTermLeader(now), reported)
}

const (
	// pingTimeout is the time limit of a ping.
	pingTimeout = 800 * time.Millisecond
	// kvCheckTimeout is the time limit of a health check of the key-value store.
	kvCheckTimeout = 1200 * time.Millisecond
	// resignTimeout is the time limit of notifying the successor of a resignation.
	resignTimeout = 2 * time.Second
)

// kvHealthLoop checks at intervals whether the key-value store answers this node. The value that it
// reads is not used.
func (c *Controller) kvHealthLoop(ctx context.Context) {
	for ctx.Err() == nil {
		checkCtx, cancel := context.WithTimeout(ctx, kvCheckTimeout)
		_, err := c.Store.Get(checkCtx, election.LeaderKey)
		cancel()
		if c.send(ctx, kvHealthMsg{err == nil}) != nil {
			return
		}
		sleep(ctx, membership.KVCheckInterval)
	}
}

// kvHealthMsg contains the result of a health check of the key-value store.
type kvHealthMsg struct{ ok bool }

func (m kvHealthMsg) apply(c *Controller) {
	c.membership.ApplyKVHealth(m.ok, time.Now())
}

// pingLoop pings another node at intervals. If the node is the leader and does not answer, it also
// verifies the leader's term, so that leases can be renewed on the leader's behalf.
func (c *Controller) pingLoop(ctx context.Context, node string) {
	failed := 0
	var from cancellation.Position
	for ctx.Err() == nil {
		sentAt := time.Now()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		status, err := c.Peers.Ping(pingCtx, node, from)
		cancel()
		failed++
		if err == nil || errors.Is(err, api.ErrUnavailable) {
			failed = 0
		}
		result := pingResultMsg{
			node:              node,
			status:            status,
			sentAt:            sentAt,
			failedPings:       failed,
			connectionRefused: errors.Is(err, ErrConnectionRefused),
		}
		if c.send(ctx, result) != nil {
			return
		}
		if err == nil {
			from = cancellation.Position{Incarnation: status.Incarnation, Number: status.Cancellations.LastNumber()}
		}
		if failed >= membership.FailedPingThreshold {
			c.verifyUnreachableLeader(ctx, node)
		}
		sleep(ctx, membership.PingInterval)
	}
}

// pingResultMsg contains the outcome of a ping.
type pingResultMsg struct {
	node string
	// status is the response. It is used only if failedPings is 0.
	status membership.PeerStatus
	sentAt time.Time
	// failedPings is the number of consecutive failed pings, or 0 if this one was answered.
	failedPings       int
	connectionRefused bool
}

func (m pingResultMsg) apply(c *Controller) {
	now := time.Now()
	member := c.membership.Members[m.node]
	if member == nil {
		return
	}
	member.ApplyPingResult(m.failedPings, m.connectionRefused)
	if m.failedPings > 0 {
		return
	}
	member.ApplyPingResponse(m.status, m.sentAt, now)
	for _, id := range m.status.Cancellations.IDs {
		c.recordCancellation(id)
	}
	if c.leaderTerm != nil {
		c.leaderTerm.downlink.handleRestart(c.leaderTerm, m.node, m.status.Incarnation)
	}
	if m.node == c.leader {
		c.leaseRenewer.reset(m.node, m.status.Tokens(), m.cancellationsKnownAt(c, member, now))
	}
}

// cancellationsKnownAt returns the time before which the leader had all cancellations, according to
// its response to a ping, or the zero time if this node cannot rely on the response.
//
// The response states what the leader itself has in memory. Cancellations of earlier terms may be
// missing from every log that has reached this node, because a new leader only loads the jobs that
// are still active. After a task lease and two heartbeat intervals, every machine that is still
// alive has learned from the new leader which of its tasks to stop. Until then this node does not
// rely on the response.
func (m pingResultMsg) cancellationsKnownAt(c *Controller, leader *membership.Member, now time.Time) time.Time {
	workers := c.Settings.Site.Workers
	if m.status.CancellationsKnownAge < 0 {
		return time.Time{}
	}
	if m.status.Tokens().First > 1 && now.Sub(leader.TermSeenAt) < workers.Lease()+2*workers.HeartbeatInterval() {
		return time.Time{}
	}
	return m.sentAt.Add(-m.status.CancellationsKnownAge)
}

// checkKVAccess makes the node unready, and makes it resign if it leads, if the key-value store
// does not answer it but answers other nodes. Such a node cannot serve users or lead. If the store
// does not answer and no other node is reachable, the node becomes unready but does not resign.
func (c *Controller) checkKVAccess(now time.Time) {
	if c.draining {
		return
	}
	table := &c.membership
	if !table.KVLost(now) {
		if c.unready.Swap(false) {
			c.Log.Info("key-value store reachable again")
		}
		return
	}
	reachable, healthy := table.KVHealthyMember(now)
	// If no other node is reachable, it is unknown whether the store is down for all nodes. The
	// node becomes unready in that case too, because others may still be able to serve users.
	if unready := healthy != "" || (reachable == 0 && len(table.Members) > 0); unready != c.unready.Load() {
		c.unready.Store(unready)
		c.Log.Info("key-value store unreachable", "answersOthers", healthy != "", "nodesReached", reachable)
	}
	if c.leaderTerm != nil && healthy != "" {
		c.resign(healthy)
	}
}

// resign steps down and then notifies the successor. The successor may take over at once, because
// this node does not act as leader any more after it has stepped down.
func (c *Controller) resign(successor string) {
	term := c.leaderTerm.term.Number
	c.Log.Info("leader resigns", "term", term, "node", successor)
	c.leaderTerm.stepDown()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		defer cancel()
		if err := c.Peers.Resign(ctx, successor, c.Settings.Node, term); err != nil {
			c.Log.Debug("notice of resignation failed", "node", successor, "err", err)
		}
	}()
}

// LeaderResigned handles a leader's notice that it has stopped acting in a term.
func (c *Controller) LeaderResigned(ctx context.Context, node string, term uint64) error {
	return c.send(ctx, resignationMsg{node, term})
}

// resignationMsg contains a leader's notice that it has stopped acting in a term.
type resignationMsg struct {
	node string
	term uint64
}

func (m resignationMsg) apply(c *Controller) {
	c.Log.Info("leader resigned", "leader", m.node, "term", m.term)
	c.notifyResignation(m.node, m.term)
}

// notifyResignation notifies the election that a leader no longer acts in a term. The notice is
// dropped if the queue is full; the election then waits for the lease to expire.
func (c *Controller) notifyResignation(leader string, term uint64) {
	select {
	case c.resignations <- election.Resignation{Node: leader, Term: term}:
	default:
	}
}

// PeerStatus handles another node's ping. It returns this node's status, with the part of its
// cancellation log after a position.
func (c *Controller) PeerStatus(ctx context.Context, from cancellation.Position) (membership.PeerStatus, error) {
	m := pingMsg{from, make(chan membership.PeerStatus, 1)}
	return request(ctx, c, m, m.reply)
}

// pingMsg requests this node's status, with the part of its cancellation log after a position.
type pingMsg struct {
	from  cancellation.Position
	reply chan membership.PeerStatus
}

func (m pingMsg) apply(c *Controller) {
	now := time.Now()
	status := membership.PeerStatus{
		Leader:                c.leader,
		Incarnation:           c.uplink.incarnation,
		CancellationsKnownAge: -1,
		SupportsLoans:         c.Cells != nil,
		SupportsLeaseQuorum:   c.Standby != nil,
	}
	if m.from.Incarnation != status.Incarnation {
		m.from.Number = 0
	}
	status.Cancellations = c.cancellations.DeltaSince(m.from.Number, now)
	if c.holdsLease() {
		status.Term, status.FirstToken = c.leaderTerm.term.Number, c.leaderTerm.term.Tokens().First
		status.QuorumRequired = c.leaderTerm.quorumRequired
		if c.leaderTerm.loaded {
			status.CancellationsKnownAge = now.Sub(c.leaderTerm.cancellationsKnownAt(now))
		}
	}
	status.KVReachableFor = c.membership.KVReachableFor(now)
	m.reply <- status
}
