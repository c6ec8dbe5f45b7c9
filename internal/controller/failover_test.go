package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/standby"
)

// mesh connects three nodes, with each way between two of them to be cut.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
}

// meshEnd is one node's side of a mesh.
type meshEnd struct {
	mesh *mesh
	from string
}

func (e meshEnd) to(name string) (*node, error) {
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	n := e.mesh.nodes[name]
	if n == nil || e.mesh.cut[e.from+">"+name] {
		return nil, errors.New("cut")
	}
	return n, nil
}

func (m *mesh) set(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[from+">"+to] = cut
}

// apart cuts a node from others, or joins them, both ways.
func (m *mesh) apart(name string, cut bool, others ...string) {
	for _, other := range others {
		m.set(name, other, cut)
		m.set(other, name, cut)
	}
}

func (e meshEnd) Job(ctx context.Context, name, id string) (api.JobState, error) {
	n, err := e.to(name)
	if err != nil {
		return api.JobState{}, err
	}
	return n.PeerJob(ctx, id)
}

func (e meshEnd) Ping(ctx context.Context, name string, from cancellation.Position) (PeerStatus, error) {
	n, err := e.to(name)
	if err != nil {
		return PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (e meshEnd) ForwardHeartbeat(ctx context.Context, name string, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	n, err := e.to(name)
	if err != nil {
		return api.HeartbeatResponse{}, err
	}
	return n.ForwardedHeartbeat(ctx, hb)
}

func (e meshEnd) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := e.to(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}

func (e meshEnd) Vote(ctx context.Context, name string, term uint64) (bool, error) {
	n, err := e.to(name)
	if err != nil {
		return false, err
	}
	return n.PeerVote(ctx, term)
}

func (e meshEnd) Promise(ctx context.Context, name string, term uint64) (time.Duration, error) {
	n, err := e.to(name)
	if err != nil {
		return 0, err
	}
	return n.PeerPromise(ctx, term)
}

// standbyCluster is a cluster of three nodes that replace each other, with machines that
// work all the time, and a checker of what the leaders decide.
type standbyCluster struct {
	*cluster
	mesh *mesh
	ks   []*worker
	// ran is how often each machine's tasks have been looked at.
	ran map[string]int

	// state guards what follows.
	state sync.Mutex
	// latest is the highest term in which a start was ordered, and firstStart when the
	// first of each term was.
	latest     uint64
	firstStart map[uint64]time.Time
	// lastStart is when the last start was ordered.
	lastStart time.Time
	// only says to which node alone a machine reports, and never to which it does not.
	only, never map[string]string
	gates       map[string]*gate
	jobs        int
	grant       float64
}

func simulateStandby(t *testing.T, grantS float64, f func(s *standbyCluster)) {
	t.Helper()
	simulate(t, func(w *cluster) {
		w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
		w.teams[0].LimitCPUs = 100
		s := &standbyCluster{cluster: w, mesh: &mesh{nodes: map[string]*node{}, cut: map[string]bool{}}, ran: map[string]int{}, firstStart: map[uint64]time.Time{}, only: map[string]string{}, never: map[string]string{}, gates: map[string]*gate{}, grant: grantS}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 3 {
			s.begin(fmt.Sprint("n", i))
		}
		for i := range 4 {
			s.ks = append(s.ks, w.worker(fmt.Sprint("i-", i), "a", true))
		}
		done := make(chan struct{})
		go func() { s.live(ctx); close(done) }()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(20 * time.Second) // a leader is bound
		f(s)
	})
}

func (s *standbyCluster) begin(name string) {
	s.standby = nil
	if s.grant > 0 {
		s.standby = &standby.Settings{VoteLifetimeS: s.grant}
	}
	s.gates[name] = &gate{Fake: s.store}
	n := s.startWith(name, s.gates[name], meshEnd{s.mesh, name})
	n.look(func(c *Controller) { c.Policy.MinCPUs = 1000 })
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.mesh.nodes[name] = n
}

// end ends a node for good.
func (s *standbyCluster) end(name string) {
	s.mesh.mu.Lock()
	n := s.mesh.nodes[name]
	delete(s.mesh.nodes, name)
	s.mesh.mu.Unlock()
	if n != nil {
		n.crash()
	}
}

func (s *standbyCluster) all() (nodes []*node) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	for _, name := range []string{"n0", "n1", "n2"} {
		if n := s.mesh.nodes[name]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// leader is the node with the highest term that may act.
func (s *standbyCluster) leader() (best *node, term uint64) {
	for _, n := range s.all() {
		n.tryInspect(func(c *Controller) {
			if c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.term.Number > term {
				best, term = n, c.leaderTerm.term.Number
			}
		})
	}
	return best, term
}

// live submits a job of two tasks a second, and has the machines work. A start that is
// ordered in a term after one of a later term is a conflict, and so is a task on two
// machines.
func (s *standbyCluster) live(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%3 == 0 {
			job := s.nextJob()
			for _, n := range s.all() {
				sctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
				_, _, err := n.Submit(sctx, job)
				cancel()
				if err == nil {
					break
				}
			}
		}
		for _, k := range s.ks {
			s.work(k)
		}
		on := map[string]string{}
		for _, k := range s.ks {
			for _, task := range k.running() {
				if on[task] != "" {
					s.t.Errorf("%s runs on %s and %s", task, on[task], k.rep.Machine)
				}
				on[task] = k.rep.Machine
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// work ends tasks that have run for a while, and has a machine report.
func (s *standbyCluster) work(k *worker) {
	if s.ran[k.rep.Machine]++; s.ran[k.rep.Machine]%5 == 0 {
		k.exit(api.CauseDone)
	}
	for _, n := range s.all() {
		name := n.Settings.Node
		s.state.Lock()
		only, never := s.only[k.rep.Machine], s.never[k.rep.Machine]
		s.state.Unlock()
		if only != "" && only != name || never == name {
			continue
		}
		commands, err := k.send(n)
		if err != nil {
			continue
		}
		s.ordered(k.rep.Term, commands)
		k.obey(commands)
		return
	}
}

// ordered notes the starts that a machine was ordered in a term.
func (s *standbyCluster) ordered(term uint64, commands []api.Command) {
	s.state.Lock()
	defer s.state.Unlock()
	for _, o := range commands {
		if o.Verb != api.VerbStart {
			continue
		}
		if term < s.latest {
			s.t.Errorf("a start was ordered in term %d after one in term %d", term, s.latest)
		}
		s.latest, s.lastStart = max(s.latest, term), time.Now()
		if s.firstStart[term].IsZero() {
			s.firstStart[term] = time.Now()
		}
	}
}

// nextJob is a job that was not submitted yet.
func (s *standbyCluster) nextJob() *api.JobSpec {
	s.state.Lock()
	defer s.state.Unlock()
	s.jobs++
	return spec(fmt.Sprint("job-", s.jobs), 2)
}

// started is when the first start was ordered in a term, and when the last in any.
func (s *standbyCluster) started(term uint64) (first, last time.Time) {
	s.state.Lock()
	defer s.state.Unlock()
	return s.firstStart[term], s.lastStart
}

// A leader that ends and does not come back is replaced within seconds, and without grants
// only when its lease has ended.
func TestLeaderThatDoesNotComeBack(t *testing.T) {
	for _, c := range []struct {
		grant       float64
		least, most time.Duration
	}{{0, 25 * time.Second, 40 * time.Second}, {3, 2 * time.Second, 8 * time.Second}, {2, 2 * time.Second, 7 * time.Second}} {
		t.Run(fmt.Sprint(c.grant), func(t *testing.T) {
			simulateStandby(t, c.grant, func(s *standbyCluster) {
				n, term := s.leader()
				began := time.Now()
				s.end(n.Settings.Node)
				time.Sleep(45 * time.Second)
				at, _ := s.started(term + 1)
				if took := at.Sub(began); at.IsZero() || took < c.least || took > c.most {
					t.Errorf("next start after %v", took)
				} else {
					t.Logf("next start after %v", took)
				}
			})
		})
	}
}

// What cuts the leader from some, or lets it go on for its machines, is no reason to
// replace it, or replaces it without it deciding any more.
func TestReplacementAndCuts(t *testing.T) {
	for name, c := range map[string]struct {
		cut func(s *standbyCluster, leader string, others []string)
		// replaced tells whether another node is to lead after ten seconds, and kept
		// whether the same node is.
		replaced, kept bool
	}{
		"from one standby": {func(s *standbyCluster, leader string, others []string) {
			s.mesh.apart(leader, true, others[0])
		}, false, true},
		"one way, from the standbys": {func(s *standbyCluster, leader string, others []string) {
			s.mesh.set(others[0], leader, true)
		}, false, true},
		"from both, not from the store": {func(s *standbyCluster, leader string, others []string) {
			s.mesh.apart(leader, true, others...)
		}, true, false},
		"all from each other": {func(s *standbyCluster, leader string, others []string) {
			s.mesh.apart(leader, true, others...)
			s.mesh.apart(others[0], true, others[1])
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			simulateStandby(t, 3, func(s *standbyCluster) {
				n, term := s.leader()
				leader := n.Settings.Node
				var others []string
				for _, name := range []string{"n0", "n1", "n2"} {
					if name != leader {
						others = append(others, name)
					}
				}
				c.cut(s, leader, others)
				time.Sleep(12 * time.Second)
				next, now := s.leader()
				if next == nil {
					t.Fatal("nobody leads")
				}
				if c.replaced && next == n {
					t.Error("not replaced")
				}
				if c.kept && (next != n || now != term) {
					t.Errorf("replaced by %s in term %d", next.Settings.Node, now)
				}
				time.Sleep(10 * time.Second)
				if _, last := s.started(now); time.Since(last) > 3*time.Second {
					t.Errorf("nothing starts in term %d since %v", now, time.Since(last))
				}
				s.mesh.apart(leader, false, others...)
				s.mesh.apart(others[0], false, others[1])
				time.Sleep(20 * time.Second)
				if next, _ = s.leader(); next == nil {
					t.Error("nobody leads once the cut is over")
				}
			})
		})
	}
}

// A leader that is cut from the others, and perhaps from the store, goes on to reach a part
// of the machines, and has work for them. From when it is replaced it starts nothing,
// however soon the next leader does, and whenever it asked the store last.
func TestReplacedLeaderDecidesNothing(t *testing.T) {
	replaced := 0
	for off := range 20 {
		simulateStandby(t, 3+float64(off%2)*3, func(s *standbyCluster) {
			n, term := s.leader()
			leader := n.Settings.Node
			var others []string
			for _, name := range []string{"n0", "n1", "n2"} {
				if name != leader {
					others = append(others, name)
				}
			}
			time.Sleep(time.Duration(off) * 130 * time.Millisecond)
			for range 40 { // more than the machines can do
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, _, err := n.Submit(ctx, s.nextJob()); err != nil {
					t.Error(err)
				}
				cancel()
			}
			time.Sleep(time.Second)
			s.state.Lock()
			s.only["i-0"], s.only["i-1"] = leader, leader
			s.never["i-2"], s.never["i-3"] = leader, leader
			s.state.Unlock()
			s.mesh.apart(leader, true, others...)
			if off%4 < 2 {
				// It does not learn of the next term, and nothing else holds it back.
				s.gates[leader].set(true)
				n.look(func(c *Controller) { c.leaderTerm.cancellationsConfirmedAt = time.Now().Add(time.Hour) })
			}
			time.Sleep(13 * time.Second)
			if _, now := s.leader(); now > term {
				replaced++
			}
		})
	}
	if replaced < 20 {
		t.Errorf("replaced %d times of 20", replaced)
	}
}

// A leader that is not bound to grants decides by its lease alone, and so is replaced only
// when that has ended.
func TestLeaderThatIsNotBound(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, _ := s.leader()
		for _, other := range s.all() {
			other.look(func(c *Controller) {
				c.failover.lastNewTerm = time.Now().Add(time.Hour)
				c.failover.voter.Begin(1000) // as if begun after all terms to come
			})
		}
		n.look(func(c *Controller) { c.leaderTerm.stepDown() })
		time.Sleep(5 * time.Second)
		n, term := s.leader()
		n.look(func(c *Controller) { s.same("bound", c.leaderTerm.quorumRequired, false) })
		began := time.Now()
		s.end(n.Settings.Node)
		time.Sleep(45 * time.Second)
		at, _ := s.started(term + 1)
		if took := at.Sub(began); took < 20*time.Second {
			t.Errorf("replaced after %v", took)
		}
	})
}

// While the store is down nobody is replaced, and the machines keep their tasks; a leader
// that ended meanwhile is replaced once it is back.
func TestReplacementAndTheStore(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, term := s.leader()
		s.store.SetDown(true)
		time.Sleep(12 * time.Second)
		sessions := 0
		for _, k := range s.ks {
			sessions += int(k.rep.AgentEpoch)
		}
		s.same("sessions of the machines", sessions, len(s.ks))
		s.store.SetDown(false)
		time.Sleep(5 * time.Second)
		if next, now := s.leader(); next != n || now != term {
			t.Error("replaced by an outage")
		}
		s.store.SetDown(true)
		s.end(n.Settings.Node)
		time.Sleep(10 * time.Second)
		s.store.SetDown(false)
		began := time.Now()
		time.Sleep(20 * time.Second)
		at, _ := s.started(term + 1)
		if took := at.Sub(began); took < 0 || took > 8*time.Second {
			t.Errorf("next start %v after the outage", took)
		}
	})
}

// A group in which one does not know of grants goes on as before: its leader is bound to
// nothing, and is replaced when its lease has ended.
func TestReplacementNeedsAllNodes(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, _ := s.leader()
		last := "n2"
		if n.Settings.Node == last {
			last = "n1"
		}
		s.end(last)
		s.grant = 0
		s.begin(last)
		s.end(n.Settings.Node) // comes back at once, in a new term that is not bound
		s.grant = 3
		s.begin(n.Settings.Node)
		time.Sleep(10 * time.Second)
		n, term := s.leader()
		n.look(func(c *Controller) { s.same("bound", c.leaderTerm.quorumRequired, false) })
		began := time.Now()
		s.end(n.Settings.Node)
		time.Sleep(45 * time.Second)
		at, _ := s.started(term + 1)
		if took := at.Sub(began); took < 20*time.Second {
			t.Errorf("replaced after %v", took)
		}
	})
}

// Nodes end, come back and are cut from each other at random; leaders never contradict each
// other, and in the end there is one that works.
func TestReplacementUnderRandomTroubles(t *testing.T) {
	terms := uint64(0)
	for seed := range uint64(15) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulateStandby(t, 2+float64(seed%3), func(s *standbyCluster) {
				random := rand.New(rand.NewPCG(seed, 21))
				names := []string{"n0", "n1", "n2"}
				for range 12 {
					name := names[random.IntN(3)]
					away := time.Duration(random.IntN(9000)) * time.Millisecond
					switch random.IntN(4) {
					case 0:
						s.end(name)
						time.Sleep(away)
						s.begin(name)
					case 1:
						if n, _ := s.leader(); n != nil {
							name = n.Settings.Node
							s.end(name)
							time.Sleep(2 * away)
							s.begin(name)
						}
					case 2:
						other := names[random.IntN(3)]
						s.mesh.set(name, other, true)
						time.Sleep(2 * away)
						s.mesh.set(name, other, false)
					case 3:
						s.mesh.apart(name, true, names[0], names[1], names[2])
						time.Sleep(2 * away)
						s.mesh.apart(name, false, names[0], names[1], names[2])
					}
					time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				time.Sleep(45 * time.Second)
				_, term := s.leader()
				if first, _ := s.started(term); term == 0 || first.IsZero() {
					t.Errorf("nothing starts in term %d at last", term)
				}
				terms += term
			})
		})
	}
	t.Logf("%d terms in all", terms)
}

// A leader that is told to stop hands over at once, with and without grants, and does not
// take the leadership again.
func TestPlannedHandover(t *testing.T) {
	for _, grant := range []float64{0, 3} {
		simulateStandby(t, grant, func(s *standbyCluster) {
			n, term := s.leader()
			began := time.Now()
			n.Drain(context.Background())
			if n.Ready() {
				t.Error("users are still sent to it")
			}
			time.Sleep(time.Second)
			s.end(n.Settings.Node)
			time.Sleep(4 * time.Second)
			at, _ := s.started(term + 1)
			if took := at.Sub(began); took < 0 || took > 2*time.Second {
				t.Errorf("next start after %v", took)
			}
		})
	}
}
