// Package membership holds what a controller knows of the other controllers, by their responses to
// its pings, and whether the key-value store answers it. It does no I/O and has no clock: the
// owner pings, and applies the results with their times.
package membership

import (
	"time"

	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/config"
)

// PeerStatus is a node's state in its response to a ping.
type PeerStatus struct {
	// Term is the term in which the node leads at this moment, or 0.
	Term uint64
	// Leader is the node that it follows.
	Leader string
	// KVReachableFor is for how long the key-value store has answered it, or 0.
	KVReachableFor time.Duration
	// Incarnation is the one under which it relays heartbeats.
	Incarnation string
	// Cancellations is a part of its cancellation log.
	Cancellations cancellation.Delta
	// CancellationsKnownAge is how long ago it knew all cancellations as leader; negative:
	// not known.
	CancellationsKnownAge time.Duration
	// SupportsLoans is set if its version reads records of jobs that are lent between cells.
	SupportsLoans bool
	// SupportsLeaseQuorum is set if it votes and promises.
	SupportsLeaseQuorum bool
	// QuorumRequired is set if it acts as leader only while it has a lease quorum.
	QuorumRequired bool
}

// Table is what a node knows of the other nodes, and whether it reaches the key-value
// store itself.
type Table struct {
	Members map[string]*Member
	// kvAnsweredAt is when the store last answered, and kvStateSince since when KVReachable
	// has had its value.
	kvAnsweredAt time.Time
	KVReachable  bool
	kvStateSince time.Time
}

// Member is another node as of its last response.
type Member struct {
	PeerStatus
	Zone               string
	CancellationReader cancellation.Reader
	// TermSeenAt is when a response first named its present term.
	TermSeenAt time.Time
	// lastAnsweredPingAt is when the last ping that was answered was sent.
	lastAnsweredPingAt time.Time
	// FailedPings is the number of pings in a row that were not answered.
	FailedPings int
	// ConnectionRefused is set if it refuses connections from here.
	ConnectionRefused bool
}

// NewTable makes the table of the other nodes, none of which has answered yet.
func NewTable(peers []config.Peer, now time.Time) Table {
	t := Table{Members: map[string]*Member{}, kvStateSince: now}
	for _, p := range peers {
		t.Members[p.Node] = &Member{Zone: p.Zone}
	}
	return t
}

const (
	// PingInterval is the time between two pings of a node.
	PingInterval = time.Second
	// FailedPingThreshold is how many pings in a row must fail before a node counts as
	// unreachable.
	FailedPingThreshold = 2
	// KVCheckInterval is the time between two health checks of the key-value store.
	KVCheckInterval = 1500 * time.Millisecond
	// A node counts as partitioned from the store once that has not answered it for
	// kvUnreachableAfter, but has answered another node for kvHealthyAfter: both that long, so
	// that neither the beginning nor the end of an outage is taken for a partition.
	kvUnreachableAfter = 5 * time.Second
	kvHealthyAfter     = 8 * time.Second
)

// IsReachable reports whether the node has answered just now.
func (mb *Member) IsReachable(now time.Time) bool {
	return mb != nil && mb.FailedPings == 0 && now.Sub(mb.lastAnsweredPingAt) < 3*PingInterval
}

// IsUnreachable reports whether the node has not answered for a while.
func (mb *Member) IsUnreachable() bool { return mb != nil && mb.FailedPings > FailedPingThreshold }

// ApplyPingResult applies whether a ping was answered, with how many have failed in a row.
func (mb *Member) ApplyPingResult(failedPings int, connectionRefused bool) {
	mb.FailedPings, mb.ConnectionRefused = failedPings, connectionRefused
}

// ApplyPingResponse applies the response to a ping that was sent at sentAt. Of the cancellations only
// the position is kept.
func (mb *Member) ApplyPingResponse(status PeerStatus, sentAt, now time.Time) {
	if status.Term != mb.Term {
		mb.TermSeenAt = now
	}
	mb.CancellationReader.Apply(status.Incarnation, &status.Cancellations, sentAt, now)
	status.Cancellations = cancellation.Delta{}
	mb.PeerStatus, mb.lastAnsweredPingAt = status, sentAt
}

// HighestTermLeader returns the reachable node that leads in the highest term, or "".
func (t *Table) HighestTermLeader(now time.Time) string {
	leader, term := "", uint64(0)
	for name, mb := range t.Members {
		if mb.IsReachable(now) && mb.Term > term {
			leader, term = name, mb.Term
		}
	}
	return leader
}

// KVHealthyMember counts the reachable nodes, and names one that the key-value store has
// answered for a while, or none.
func (t *Table) KVHealthyMember(now time.Time) (reachable int, healthy string) {
	for name, mb := range t.Members {
		if !mb.IsReachable(now) {
			continue
		}
		reachable++
		if mb.KVReachableFor >= kvHealthyAfter {
			healthy = name
		}
	}
	return reachable, healthy
}

// ApplyKVHealth applies whether the key-value store has answered a health check.
func (t *Table) ApplyKVHealth(ok bool, now time.Time) {
	if ok {
		t.kvAnsweredAt = now
	}
	if ok != t.KVReachable {
		t.KVReachable, t.kvStateSince = ok, now
	}
}

// KVLost reports whether the key-value store has not answered this node for a while.
func (t *Table) KVLost(now time.Time) bool {
	return !t.KVReachable && now.Sub(t.kvStateSince) >= kvUnreachableAfter
}

// KVReachableFor is for how long the key-value store has answered this node; 0: it does not, or
// the last answer is old.
func (t *Table) KVReachableFor(now time.Time) time.Duration {
	if !t.KVReachable || now.Sub(t.kvAnsweredAt) >= 2*KVCheckInterval {
		return 0
	}
	return max(now.Sub(t.kvStateSince), time.Millisecond)
}
