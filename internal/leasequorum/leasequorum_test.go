package leasequorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the size of the group, a leader cannot have a quorum of votes once those who replace
// it have the promises that they need, and neither is larger than it must be.
func TestVoteAndPromiseQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		votes, promises := RequiredVotes(n), RequiredPromises(n)
		if remaining := n - 1 - promises; remaining >= votes && votes > 0 {
			t.Errorf("%d controllers: %d promises leave %d that can vote, and %d votes are a quorum",
				n, promises, remaining, votes)
		}
	}
	for _, c := range []struct{ controllers, votes, promises int }{{3, 1, 2}, {5, 2, 3}} {
		votes, promises := RequiredVotes(c.controllers), RequiredPromises(c.controllers)
		if votes != c.votes || promises != c.promises {
			t.Errorf("%d controllers: got %d votes and %d promises, want %d and %d",
				c.controllers, votes, promises, c.votes, c.promises)
		}
	}
}

// simulation is a group in simulated time: each controller has a clock that runs a little fast or
// slow, processes end and restart, and messages are delayed.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	size         int
	voteLifetime time.Duration
	voters       []*Voter
	clockDrift   []float64
	// term is the term on record.
	term uint64
	// leaders are those of all terms, in order.
	leaders []*simulatedLeader
	events  []simulatedEvent
}

type simulatedLeader struct {
	node  int
	term  uint64
	votes *VoteSet
}

type simulatedEvent struct {
	at  time.Duration
	run func()
}

// clock is what a controller's clock shows.
func (s *simulation) clock(node int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * (1 + s.clockDrift[node])))
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.events = append(s.events, simulatedEvent{at: s.now + d, run: do})
}

// delay is how long a message takes; one in ten is late.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(10) == 0 {
		return time.Duration(s.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(s.random.IntN(50)) * time.Millisecond
}

func (s *simulation) restart(node int) {
	v := NewVoter(s.voteLifetime, s.clock(node))
	s.voters[node] = v
	s.schedule(s.delay(), func() {
		term := s.term
		s.schedule(s.delay(), func() {
			if s.voters[node] == v {
				v.Init(term)
			}
		})
	})
}

// requestVote makes a leader request the vote of another controller.
func (s *simulation) requestVote(l *simulatedLeader, node int) {
	sentAt := s.clock(l.node)
	s.schedule(s.delay(), func() {
		voted := s.voters[node].Vote(l.term, s.clock(node))
		s.schedule(s.delay(), func() {
			if voted {
				l.votes.Add(string(rune('a'+node)), sentAt)
			}
		})
	})
}

// takeover is a controller's attempt to replace the leader of a term.
type takeover struct {
	simulation *simulation
	node       int
	term       uint64
	startedAt  time.Time
	promises   int
	// maxWait is for how long, from startedAt, votes may still be valid.
	maxWait time.Duration
}

// startTakeover makes a controller collect promises against the present term, wait until the votes
// given have expired, and become leader.
func (s *simulation) startTakeover(node int) {
	t := &takeover{simulation: s, node: node, term: s.term, startedAt: s.clock(node)}
	term := s.term
	for other := range s.size {
		if other == s.leaders[len(s.leaders)-1].node {
			continue
		}
		if other == node {
			t.addPromise(s.voters[node].Promise(term, s.clock(node)))
			continue
		}
		s.schedule(s.delay(), func() {
			wait := s.voters[other].Promise(term, s.clock(other))
			s.schedule(s.delay(), func() { t.addPromise(wait) })
		})
	}
}

// addPromise adds a promise after which votes may be valid for a while.
func (t *takeover) addPromise(wait time.Duration) {
	t.promises++
	t.maxWait = max(t.maxWait, t.simulation.clock(t.node).Add(wait).Sub(t.startedAt))
	if t.promises == RequiredPromises(t.simulation.size) {
		t.elect()
	}
}

// elect makes the controller the leader once the votes have expired, unless another one has
// become leader since.
func (t *takeover) elect() {
	s := t.simulation
	if s.clock(t.node).Sub(t.startedAt) < t.maxWait {
		s.schedule(step, t.elect)
		return
	}
	if s.term == t.term { // what the transaction compares
		s.term++
		votes := NewVoteSet(s.voteLifetime)
		s.leaders = append(s.leaders, &simulatedLeader{node: t.node, term: s.term, votes: votes})
	}
}

// termsWithQuorum are the terms of the leaders that may act now. A leader acts up to
// actionMargin after it has checked its votes.
func (s *simulation) termsWithQuorum() (terms []uint64) {
	for _, l := range s.leaders {
		if l.votes.HasQuorum(RequiredVotes(s.size), s.clock(l.node).Add(-actionMargin)) {
			terms = append(terms, l.term)
		}
	}
	return terms
}

// step is the resolution of simulated time.
const step = 20 * time.Millisecond

// newSimulation makes a group whose first leader has just been elected.
func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 3)),
		size:         3 + 2*int(seed%2),
		voteLifetime: 3 * time.Second,
	}
	for range s.size {
		s.clockDrift = append(s.clockDrift, (s.random.Float64()-0.5)/1000)
		s.voters = append(s.voters, nil)
	}
	for node := range s.size {
		s.restart(node)
	}
	s.now = 20 * time.Second
	s.term = 1
	s.leaders = []*simulatedLeader{{node: 0, term: 1, votes: NewVoteSet(s.voteLifetime)}}
	return s
}

// advance runs what is due, has the last two leaders request votes every second, and now and
// then restarts a controller or has one take over.
func (s *simulation) advance() {
	s.runDue()
	if s.now%time.Second == 0 {
		s.requestAllVotes()
	}
	switch s.random.IntN(600) {
	case 0:
		s.restart(s.random.IntN(s.size))
	case 1, 2:
		s.startTakeover((s.leaders[len(s.leaders)-1].node + 1 + s.random.IntN(s.size-1)) % s.size)
	}
}

// runDue runs the events that are due. What they schedule runs in a later step.
func (s *simulation) runDue() {
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at <= s.now {
			e.run()
		} else {
			s.events = append(s.events, e)
		}
	}
}

// requestAllVotes has the last two leaders request all votes: one that is replaced goes on for a
// while.
func (s *simulation) requestAllVotes() {
	for _, l := range s.leaders[max(0, len(s.leaders)-2):] {
		for node := range s.size {
			if node != l.node {
				s.requestVote(l, node)
			}
		}
	}
}

// Two leaders never have a quorum at the same time, with clocks that drift, processes that end
// and restart, messages that are late, and several controllers that want to take over.
func TestAtMostOneLeaderHasQuorum(t *testing.T) {
	const minTakeovers = 300
	takeovers := 0
	for seed := range uint64(120) {
		s := newSimulation(seed)
		for ; s.now < 4*time.Minute; s.now += step {
			s.advance()
			if terms := s.termsWithQuorum(); len(terms) > 1 {
				t.Fatalf("seed %d, after %v: leaders of terms %v have a quorum", seed, s.now, terms)
			}
		}
		takeovers += len(s.leaders) - 1
	}
	if takeovers < minTakeovers {
		t.Errorf("%d takeovers, want at least %d", takeovers, minTakeovers)
	}
}
