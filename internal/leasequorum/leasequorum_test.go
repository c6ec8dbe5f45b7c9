package leasequorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the size of the group, a leader's grants and the promises of those who replace
// it cannot be had at the same time.
func TestVoteAndPromiseQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		others := n - 1
		if remaining := others - RequiredPromises(n); remaining >= RequiredVotes(n) && RequiredVotes(n) > 0 {
			t.Errorf("%d controllers: %d promises leave %d that can grant, and %d grants are needed", n, RequiredPromises(n), remaining, RequiredVotes(n))
		}
	}
	if RequiredVotes(3) != 1 || RequiredPromises(3) != 2 || RequiredVotes(5) != 2 || RequiredPromises(5) != 3 {
		t.Error("not the least that is safe")
	}
}

// simulation is a group on simulated time: each controller has a clock that runs a little
// fast or slow, processes end and come back, and messages take their time.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	size         int
	voteLifetime time.Duration
	voters       []*Voter
	drift        []float64
	// term is the one on record.
	term uint64
	// leaders are those of each term that may still decide.
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
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * (1 + s.drift[node])))
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.events = append(s.events, simulatedEvent{s.now + d, do})
}

// delay is how long a message takes; now and then it is held up.
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
				v.Begin(term)
			}
		})
	})
}

// requestVote has a leader ask another controller for a grant.
func (s *simulation) requestVote(l *simulatedLeader, node int) {
	sentAt := s.clock(l.node)
	s.schedule(s.delay(), func() {
		granted := s.voters[node].Vote(l.term, s.clock(node))
		s.schedule(s.delay(), func() {
			if granted {
				l.votes.Add(string(rune('a'+node)), sentAt)
			}
		})
	})
}

// takeOver has a controller collect promises against the present term, wait, and take over.
func (s *simulation) takeOver(node int) {
	term, promised := s.term, 0
	longest := time.Duration(0)
	startedAt := s.clock(node)
	countPromise := func(wait time.Duration) {
		promised++
		if expiry := s.clock(node).Add(wait).Sub(startedAt); expiry > longest {
			longest = expiry
		}
		if promised == RequiredPromises(s.size) {
			var tryElection func()
			tryElection = func() {
				if s.clock(node).Sub(startedAt) < longest {
					s.schedule(20*time.Millisecond, tryElection)
					return
				}
				if s.term == term { // the transaction's guard
					s.term++
					s.leaders = append(s.leaders, &simulatedLeader{node, s.term, NewVoteSet(s.voteLifetime)})
				}
			}
			tryElection()
		}
	}
	for other := range s.size {
		if other == int(s.leaders[len(s.leaders)-1].node) {
			continue
		}
		if other == node {
			countPromise(s.voters[node].Promise(term, s.clock(node)))
			continue
		}
		s.schedule(s.delay(), func() {
			wait := s.voters[other].Promise(term, s.clock(other))
			s.schedule(s.delay(), func() { countPromise(wait) })
		})
	}
}

// termsWithQuorum are the leaders that may decide at this moment. One decides up to effectDelay
// after it has looked.
func (s *simulation) termsWithQuorum() (terms []uint64) {
	for _, l := range s.leaders {
		if l.votes.HasQuorum(RequiredVotes(s.size), s.clock(l.node).Add(-effectDelay)) {
			terms = append(terms, l.term)
		}
	}
	return terms
}

// Two leaders never decide at the same time, with clocks that run apart, processes that end
// and come back, messages that are late, and several who want to take over.
func TestAtMostOneLeaderHasQuorum(t *testing.T) {
	takeovers := 0
	for seed := range uint64(120) {
		s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), size: 3 + 2*int(seed%2), voteLifetime: 3 * time.Second, term: 1}
		for range s.size {
			s.drift = append(s.drift, (s.random.Float64()-0.5)/1000)
			s.voters = append(s.voters, nil)
		}
		s.term = 0
		for node := range s.size {
			s.restart(node)
		}
		s.now = 20 * time.Second
		s.term = 1
		s.leaders = []*simulatedLeader{{0, 1, NewVoteSet(s.voteLifetime)}}
		for ; s.now < 4*time.Minute; s.now += 20 * time.Millisecond {
			due := s.events
			s.events = nil
			for _, e := range due {
				if e.at <= s.now {
					e.run()
				} else {
					s.events = append(s.events, e)
				}
			}
			if s.now%time.Second == 0 {
				for _, l := range s.leaders[max(0, len(s.leaders)-2):] { // the last one goes on for a while
					for node := range s.size {
						if node != l.node {
							s.requestVote(l, node)
						}
					}
				}
			}
			switch s.random.IntN(600) {
			case 0:
				s.restart(s.random.IntN(s.size))
			case 1, 2:
				s.takeOver((s.leaders[len(s.leaders)-1].node + 1 + s.random.IntN(s.size-1)) % s.size)
			}
			if terms := s.termsWithQuorum(); len(terms) > 1 {
				t.Fatalf("seed %d, after %v: leaders of terms %v decide", seed, s.now, terms)
			}
		}
		takeovers += len(s.leaders) - 1
	}
	if takeovers < 300 {
		t.Errorf("only %d takeovers", takeovers)
	}
}
