package controller

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

// membership is what a node knows of the other nodes, and whether it reaches the key-value
// store itself.
type membership struct {
	members map[string]*member
	// kvAnsweredAt is when the store last answered, and kvStateSince since when kvReachable
	// has had its value.
	kvAnsweredAt time.Time
	kvReachable  bool
	kvStateSince time.Time
}

// member is another node as of its last response.
type member struct {
	PeerStatus
	zone    string
	cancels cancellation.Reader
	// termSeenAt is when a response first named its present term.
	termSeenAt time.Time
	// lastPong is when the last ping that was answered was sent.
	lastPong time.Time
	// failedPings is the number of pings in a row that were not answered.
	failedPings int
	// connectionRefused is set if it refuses connections from here.
	connectionRefused bool
}

// newMembership makes the table of the other nodes, none of which has answered yet.
func newMembership(peers []config.Peer, now time.Time) membership {
	ms := membership{members: map[string]*member{}, kvStateSince: now}
	for _, p := range peers {
		ms.members[p.Node] = &member{zone: p.Zone}
	}
	return ms
}

const (
	// pingInterval is the time between two pings of a node.
	pingInterval = time.Second
	// unreachablePings is how many pings in a row must fail before a node counts as
	// unreachable.
	unreachablePings = 2
	// kvCheckInterval is the time between two health checks of the key-value store.
	kvCheckInterval = 1500 * time.Millisecond
	// A node counts as partitioned from the store once that has not answered it for
	// kvUnreachableAfter, but has answered another node for kvHealthyAfter: both that long, so
	// that neither the beginning nor the end of an outage is taken for a partition.
	kvUnreachableAfter = 5 * time.Second
	kvHealthyAfter     = 8 * time.Second
)

// isReachable reports whether the node has answered just now.
func (mb *member) isReachable(now time.Time) bool {
	return mb != nil && mb.failedPings == 0 && now.Sub(mb.lastPong) < 3*pingInterval
}

// isUnreachable reports whether the node has not answered for a while.
func (mb *member) isUnreachable() bool { return mb != nil && mb.failedPings > unreachablePings }

// applyPing applies whether a ping was answered, with how many have failed in a row.
func (mb *member) applyPing(failedPings int, connectionRefused bool) {
	mb.failedPings, mb.connectionRefused = failedPings, connectionRefused
}

// applyPong applies the response to a ping that was sent at sentAt. Of the cancellations only
// the position is kept.
func (mb *member) applyPong(status PeerStatus, sentAt, now time.Time) {
	if status.Term != mb.Term {
		mb.termSeenAt = now
	}
	mb.cancels.Apply(status.Incarnation, &status.Cancellations, sentAt, now)
	status.Cancellations = cancellation.Delta{}
	mb.PeerStatus, mb.lastPong = status, sentAt
}

// highestTermLeader returns the reachable node that leads in the highest term, or "".
func (ms *membership) highestTermLeader(now time.Time) string {
	leader, term := "", uint64(0)
	for name, mb := range ms.members {
		if mb.isReachable(now) && mb.Term > term {
			leader, term = name, mb.Term
		}
	}
	return leader
}

// kvHealthyMember counts the reachable nodes, and names one that the key-value store has
// answered for a while, or none.
func (ms *membership) kvHealthyMember(now time.Time) (reachable int, healthy string) {
	for name, mb := range ms.members {
		if !mb.isReachable(now) {
			continue
		}
		reachable++
		if mb.KVReachableFor >= kvHealthyAfter {
			healthy = name
		}
	}
	return reachable, healthy
}

// applyKVHealth applies whether the key-value store has answered a health check.
func (ms *membership) applyKVHealth(ok bool, now time.Time) {
	if ok {
		ms.kvAnsweredAt = now
	}
	if ok != ms.kvReachable {
		ms.kvReachable, ms.kvStateSince = ok, now
	}
}

// kvLost reports whether the key-value store has not answered this node for a while.
func (ms *membership) kvLost(now time.Time) bool {
	return !ms.kvReachable && now.Sub(ms.kvStateSince) >= kvUnreachableAfter
}

// kvReachableFor is for how long the key-value store has answered this node; 0: it does not, or
// the last answer is old.
func (ms *membership) kvReachableFor(now time.Time) time.Duration {
	if !ms.kvReachable || now.Sub(ms.kvAnsweredAt) >= 2*kvCheckInterval {
		return 0
	}
	return max(now.Sub(ms.kvStateSince), time.Millisecond)
}
