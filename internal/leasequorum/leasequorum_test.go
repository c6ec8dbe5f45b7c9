package leasequorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// For every group size, once a controller has the required promises, the other controllers are too
// few for a vote quorum. Both numbers are also as small as possible.
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

// simulation simulates a group of controllers. Each has a clock that runs slightly fast or slow,
// processes restart, and messages are delayed.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	size         int
	voteLifetime time.Duration
	voters       []*Voter
	clockDrift   []float64
	// term is the current term in the simulated key-value store.
	term uint64
	// leaders are the leaders of all terms, in order.
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

// clock returns the time on a controller's clock.
func (s *simulation) clock(node int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * (1 + s.clockDrift[node])))
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.events = append(s.events, simulatedEvent{at: s.now + delay, run: run})
}

// delay returns a random message delay: up to 50 ms, but up to 6 s for one message in ten.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(10) == 0 {
		return time.Duration(s.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(s.random.IntN(50)) * time.Millisecond
}

func (s *simulation) restart(node int) {
	voter := NewVoter(s.voteLifetime, s.clock(node))
	s.voters[node] = voter
	s.schedule(s.delay(), func() {
		term := s.term
		s.schedule(s.delay(), func() {
			if s.voters[node] == voter {
				voter.Init(term)
			}
		})
	})
}

// requestVote sends a leader's vote request to another controller.
func (s *simulation) requestVote(leader *simulatedLeader, node int) {
	sentAt := s.clock(leader.node)
	s.schedule(s.delay(), func() {
		granted := s.voters[node].Vote(leader.term, s.clock(node))
		s.schedule(s.delay(), func() {
			if granted {
				leader.votes.Add(string(rune('a'+node)), sentAt)
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
	// maxWait is for how long, counted from startedAt, votes may still be valid.
	maxWait time.Duration
}

// startTakeover has a controller collect promises for the current term, wait until the votes given
// in it have expired, and become the leader.
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

// addPromise counts a promise. wait is for how long votes of that controller may still be valid.
func (t *takeover) addPromise(wait time.Duration) {
	t.promises++
	t.maxWait = max(t.maxWait, t.simulation.clock(t.node).Add(wait).Sub(t.startedAt))
	if t.promises == RequiredPromises(t.simulation.size) {
		t.elect()
	}
}

// elect makes the controller the leader once the votes have expired, unless another controller
// has become the leader in the meantime.
func (t *takeover) elect() {
	s := t.simulation
	if s.clock(t.node).Sub(t.startedAt) < t.maxWait {
		s.schedule(step, t.elect)
		return
	}
	if s.term == t.term { // as the transaction at the key-value store compares
		s.term++
		votes := NewVoteSet(s.voteLifetime)
		s.leaders = append(s.leaders, &simulatedLeader{node: t.node, term: s.term, votes: votes})
	}
}

// termsWithQuorum returns the terms of the leaders that may act now. A leader may act up to
// actionMargin after it has checked its votes.
func (s *simulation) termsWithQuorum() (terms []uint64) {
	for _, leader := range s.leaders {
		if leader.votes.HasQuorum(RequiredVotes(s.size), s.clock(leader.node).Add(-actionMargin)) {
			terms = append(terms, leader.term)
		}
	}
	return terms
}

// step is the resolution of simulated time.
const step = 20 * time.Millisecond

// newSimulation returns a group whose first leader has just been elected.
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

// advance simulates one step. It runs the events that are due, and has the last two leaders
// request votes once per second. At random it restarts a controller or has one start a takeover.
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

// runDue runs the events that are due. Events that they schedule run in a later step.
func (s *simulation) runDue() {
	due := s.events
	s.events = nil
	for _, event := range due {
		if event.at <= s.now {
			event.run()
		} else {
			s.events = append(s.events, event)
		}
	}
}

// requestAllVotes has the last two leaders request the votes of all other controllers. The earlier
// one takes part because a leader that was replaced continues for a while.
func (s *simulation) requestAllVotes() {
	for _, leader := range s.leaders[max(0, len(s.leaders)-2):] {
		for node := range s.size {
			if node != leader.node {
				s.requestVote(leader, node)
			}
		}
	}
}

// Two leaders never have a quorum at the same time, although clocks drift, processes restart,
// messages arrive late, and several controllers attempt a takeover at once.
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
