// Package membership tracks the state of the other controllers, from their responses to pings, and
// whether this controller reaches the key-value store. It does no I/O and reads no clock: the
// caller sends the pings and passes their results with the times.
package membership

import (
	"time"

	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
)

// PeerStatus is the state that a node reports in its response to a ping.
type PeerStatus struct {
	// Term is the term in which the node currently leads, or 0.
	Term uint64
	// FirstToken is the first fencing token of the term, or 0 if the node's version does not tell it.
	FirstToken uint64
	// Leader is the leader that the node follows.
	Leader string
	// KVReachableFor is for how long the key-value store has answered the node, or 0.
	KVReachableFor time.Duration
	// Incarnation is the incarnation under which the node relays heartbeats.
	Incarnation string
	// Cancellations is the part of the node's cancellation log that was requested.
	Cancellations cancellation.Delta
	// CancellationsKnownAge is how long ago the node, as leader, last had all cancellations in
	// memory. It is negative if the node does not lead or has not loaded its records yet.
	CancellationsKnownAge time.Duration
	// SupportsLoans is set if the node's version can read the records of jobs that are lent
	// between cells.
	SupportsLoans bool
	// SupportsLeaseQuorum is set if the node responds to requests for votes and promises.
	SupportsLeaseQuorum bool
	// QuorumRequired is set if the node acts as leader only while it has a lease quorum.
	QuorumRequired bool
}

// Tokens returns the fencing tokens of the term in which the node leads.
func (s *PeerStatus) Tokens() election.TokenRange {
	return election.NewTokenRange(s.FirstToken, s.Term)
}

// Table holds the state of the other nodes, and whether this node reaches the key-value store.
type Table struct {
	Members map[string]*Member
	// kvAnsweredAt is when the store last answered.
	kvAnsweredAt time.Time
	// KVReachable is the result of the last health check of the store.
	KVReachable bool
	// kvStateSince is when KVReachable last changed.
	kvStateSince time.Time
}

// Member is another node, as of its last response to a ping.
type Member struct {
	PeerStatus
	Zone               string
	CancellationReader cancellation.Reader
	// TermSeenAt is when a response first contained the present value of Term.
	TermSeenAt time.Time
	// lastAnsweredPingAt is when the last ping that was answered was sent.
	lastAnsweredPingAt time.Time
	// FailedPings is the number of consecutive pings that were not answered.
	FailedPings int
	// ConnectionRefused is set if the node refused the connection for the last ping.
	ConnectionRefused bool
}

// NewTable returns a table of the other nodes, none of which has answered yet.
func NewTable(peers []config.Peer, now time.Time) Table {
	t := Table{Members: map[string]*Member{}, kvStateSince: now}
	for _, peer := range peers {
		t.Members[peer.Node] = &Member{Zone: peer.Zone}
	}
	return t
}

const (
	// PingInterval is the time between two pings of a node.
	PingInterval = time.Second
	// FailedPingThreshold is the number of consecutive failed pings at which a leader is
	// suspected to have failed. A node counts as unreachable when more pings than this fail.
	FailedPingThreshold = 2
	// KVCheckInterval is the time between two health checks of the key-value store.
	KVCheckInterval = 1500 * time.Millisecond
	// kvUnreachableAfter is for how long the store must not have answered this node before the
	// node counts as partitioned from it. Not all nodes notice the beginning of an outage of the
	// store at once; the wait keeps a node from taking it for a partition.
	kvUnreachableAfter = 5 * time.Second
	// kvHealthyAfter is for how long the store must have answered another node before that node
	// counts as healthy. Not all nodes notice the end of an outage at once; the wait keeps a node
	// from taking it for a partition.
	kvHealthyAfter = 8 * time.Second
)

// IsReachable reports whether the last ping was answered and is recent.
func (m *Member) IsReachable(now time.Time) bool {
	return m != nil && m.FailedPings == 0 && now.Sub(m.lastAnsweredPingAt) < 3*PingInterval
}

// IsUnreachable reports whether more than FailedPingThreshold consecutive pings have failed.
func (m *Member) IsUnreachable() bool { return m != nil && m.FailedPings > FailedPingThreshold }

// ApplyPingResult stores the outcome of a ping. failedPings is the number of consecutive failed
// pings, or 0 if this one was answered.
func (m *Member) ApplyPingResult(failedPings int, connectionRefused bool) {
	m.FailedPings, m.ConnectionRefused = failedPings, connectionRefused
}

// ApplyPingResponse stores the response to a ping that was sent at sentAt. Of the cancellations in
// it, only the position in the node's log is kept.
func (m *Member) ApplyPingResponse(status PeerStatus, sentAt, now time.Time) {
	if status.Term != m.Term {
		m.TermSeenAt = now
	}
	m.CancellationReader.Apply(status.Incarnation, &status.Cancellations, sentAt, now)
	status.Cancellations = cancellation.Delta{}
	m.PeerStatus, m.lastAnsweredPingAt = status, sentAt
}

// HighestTermLeader returns the reachable node that leads in the highest term, or "".
func (t *Table) HighestTermLeader(now time.Time) string {
	leader, term := "", uint64(0)
	for name, member := range t.Members {
		if member.IsReachable(now) && member.Term > term {
			leader, term = name, member.Term
		}
	}
	return leader
}

// LeaderAnsweredAt returns when the last ping was sent that a node answered as leader, or the zero time.
func (t *Table) LeaderAnsweredAt() time.Time {
	var at time.Time
	for _, member := range t.Members {
		if member.Term > 0 && member.lastAnsweredPingAt.After(at) {
			at = member.lastAnsweredPingAt
		}
	}
	return at
}

// KVHealthyMember returns the number of reachable nodes, and the name of one of them that the
// key-value store has answered for at least kvHealthyAfter, or "".
func (t *Table) KVHealthyMember(now time.Time) (reachable int, healthy string) {
	for name, member := range t.Members {
		if !member.IsReachable(now) {
			continue
		}
		reachable++
		if member.KVReachableFor >= kvHealthyAfter {
			healthy = name
		}
	}
	return reachable, healthy
}

// ApplyKVHealth stores whether the key-value store has answered a health check.
func (t *Table) ApplyKVHealth(ok bool, now time.Time) {
	if ok {
		t.kvAnsweredAt = now
	}
	if ok != t.KVReachable {
		t.KVReachable, t.kvStateSince = ok, now
	}
}

// KVLost reports whether this node has not reached the key-value store for at least
// kvUnreachableAfter.
func (t *Table) KVLost(now time.Time) bool {
	return !t.KVReachable && now.Sub(t.kvStateSince) >= kvUnreachableAfter
}

// KVReachableFor returns for how long the key-value store has answered this node's health checks,
// or 0 if the last one failed or is too old.
func (t *Table) KVReachableFor(now time.Time) time.Duration {
	if !t.KVReachable || now.Sub(t.kvAnsweredAt) >= 2*KVCheckInterval {
		return 0
	}
	return max(now.Sub(t.kvStateSince), time.Millisecond)
}
