package membership

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/config"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestTable(names ...string) Table {
	peers := make([]config.Peer, 0, len(names))
	for _, name := range names {
		peers = append(peers, config.Peer{Node: name})
	}
	return NewTable(peers, start)
}

// A node is reachable only if its last answer is recent, and unreachable only after several failed
// pings. A node with few failed pings or an old answer is neither.
func TestReachabilityOfMember(t *testing.T) {
	tests := []struct {
		name        string
		failedPings int
		sinceLast   time.Duration
		reachable   bool
		unreachable bool
	}{
		{"answered just now", 0, PingInterval, true, false},
		{"answered long ago", 0, 3 * PingInterval, false, false},
		{"one ping failed", 1, PingInterval, false, false},
		{"pings failed up to the limit", FailedPingThreshold, PingInterval, false, false},
		{"pings failed beyond the limit", FailedPingThreshold + 1, PingInterval, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var member Member
			member.ApplyPingResponse(PeerStatus{}, start, start)
			member.ApplyPingResult(test.failedPings, false)
			if got := member.IsReachable(start.Add(test.sinceLast)); got != test.reachable {
				t.Errorf("reachable: got %t, want %t", got, test.reachable)
			}
			if got := member.IsUnreachable(); got != test.unreachable {
				t.Errorf("unreachable: got %t, want %t", got, test.unreachable)
			}
		})
	}
	var none *Member
	if none.IsReachable(start) || none.IsUnreachable() {
		t.Error("an unknown node counts as reachable or unreachable, want neither")
	}
}

// A leader of an earlier term may still answer pings, so the reachable node with the highest term
// is the leader. A node whose last ping failed or whose last answer is old does not count.
func TestHighestTermLeaderIgnoresUnreachableNodes(t *testing.T) {
	table := newTestTable("n1", "n2", "n3")
	for name, term := range map[string]uint64{"n1": 4, "n2": 5, "n3": 6} {
		table.Members[name].ApplyPingResponse(PeerStatus{Term: term}, start, start)
	}
	table.Members["n3"].ApplyPingResult(1, false)
	if got := table.HighestTermLeader(start); got != "n2" {
		t.Errorf("got %q, want n2", got)
	}
	if got := table.HighestTermLeader(start.Add(time.Minute)); got != "" {
		t.Errorf("without recent answers: got %q, want none", got)
	}
}

// A node must not take the beginning of a store outage for a partition: the store counts as lost
// only after kvUnreachableAfter. From its next answer on, it no longer counts as lost.
func TestKVLostAfterTimeout(t *testing.T) {
	table := newTestTable("n1")
	table.ApplyKVHealth(true, start)
	failed := start.Add(KVCheckInterval)
	table.ApplyKVHealth(false, failed)
	table.ApplyKVHealth(false, failed.Add(KVCheckInterval)) // changes nothing
	if table.KVLost(failed.Add(kvUnreachableAfter - 1)) {
		t.Error("store counts as lost before kvUnreachableAfter")
	}
	if !table.KVLost(failed.Add(kvUnreachableAfter)) {
		t.Error("store does not count as lost after kvUnreachableAfter")
	}
	table.ApplyKVHealth(true, failed.Add(kvUnreachableAfter))
	if table.KVLost(failed.Add(time.Hour)) {
		t.Error("store counts as lost although it has answered again")
	}
}

// KVReachableFor counts from the first answer of the store, and is 0 once the last answer is old.
func TestKVReachableFor(t *testing.T) {
	table := newTestTable()
	if got := table.KVReachableFor(start); got != 0 {
		t.Errorf("before any answer: got %v, want 0", got)
	}
	table.ApplyKVHealth(true, start)
	if got := table.KVReachableFor(start); got != time.Millisecond {
		t.Errorf("at the first answer: got %v, want %v", got, time.Millisecond)
	}
	last := start.Add(KVCheckInterval)
	table.ApplyKVHealth(true, last)
	if got := table.KVReachableFor(last); got != KVCheckInterval {
		t.Errorf("at the second answer: got %v, want %v", got, KVCheckInterval)
	}
	if got := table.KVReachableFor(last.Add(2 * KVCheckInterval)); got != 0 {
		t.Errorf("long after the last answer: got %v, want 0", got)
	}
}

// Only a node that the store has answered for kvHealthyAfter may replace a leader that the store
// does not answer. Otherwise the end of a store outage, which some nodes notice before others,
// would be taken for a partition.
func TestKVHealthyMember(t *testing.T) {
	table := newTestTable("n1", "n2", "n3")
	table.Members["n1"].ApplyPingResponse(PeerStatus{KVReachableFor: kvHealthyAfter - 1}, start, start)
	if reachable, healthy := table.KVHealthyMember(start); reachable != 1 || healthy != "" {
		t.Errorf("got %d reachable and %q healthy, want 1 and none", reachable, healthy)
	}
	table.Members["n2"].ApplyPingResponse(PeerStatus{KVReachableFor: kvHealthyAfter}, start, start)
	if reachable, healthy := table.KVHealthyMember(start); reachable != 2 || healthy != "n2" {
		t.Errorf("got %d reachable and %q healthy, want 2 and n2", reachable, healthy)
	}
}

// A follower relies on a leader's list of cancellations only some time after TermSeenAt, so this
// must be the time of the first response in the term, and must not advance with later responses.
func TestTermSeenAtChangesWithTerm(t *testing.T) {
	var member Member
	member.ApplyPingResponse(PeerStatus{Term: 3}, start, start)
	member.ApplyPingResponse(PeerStatus{Term: 3}, start.Add(time.Second), start.Add(time.Second))
	if !member.TermSeenAt.Equal(start) {
		t.Errorf("same term: got %v, want %v", member.TermSeenAt, start)
	}
	member.ApplyPingResponse(PeerStatus{Term: 4}, start.Add(time.Minute), start.Add(time.Minute))
	if want := start.Add(time.Minute); !member.TermSeenAt.Equal(want) {
		t.Errorf("next term: got %v, want %v", member.TermSeenAt, want)
	}
}
