package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/standby"
)

// peerNetwork connects three nodes. Each direction between two of them can be cut.
type peerNetwork struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
}

// peerNetworkClient is one node's side of a mesh.
type peerNetworkClient struct {
	network *peerNetwork
	from    string
}

func (e peerNetworkClient) to(name string) (*node, error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	n := e.network.nodes[name]
	if n == nil || e.network.cut[e.from+">"+name] {
		return nil, errors.New("cut")
	}
	return n, nil
}

func (m *peerNetwork) setCut(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[from+">"+to] = cut
}

// setPartitioned cuts both directions between a node and others, or heals them.
func (m *peerNetwork) setPartitioned(name string, cut bool, others ...string) {
	for _, other := range others {
		m.setCut(name, other, cut)
		m.setCut(other, name, cut)
	}
}

func (e peerNetworkClient) Job(ctx context.Context, name, id string) (api.JobState, error) {
	n, err := e.to(name)
	if err != nil {
		return api.JobState{}, err
	}
	return n.PeerJob(ctx, id)
}

func (e peerNetworkClient) Ping(ctx context.Context, name string, from cancellation.Position) (membership.PeerStatus, error) {
	n, err := e.to(name)
	if err != nil {
		return membership.PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (e peerNetworkClient) ForwardHeartbeat(ctx context.Context, name string, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	n, err := e.to(name)
	if err != nil {
		return api.HeartbeatResponse{}, err
	}
	return n.ForwardedHeartbeat(ctx, hb)
}

func (e peerNetworkClient) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := e.to(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}

func (e peerNetworkClient) Vote(ctx context.Context, name string, term uint64) (bool, error) {
	n, err := e.to(name)
	if err != nil {
		return false, err
	}
	return n.PeerVote(ctx, term)
}

func (e peerNetworkClient) Promise(ctx context.Context, name string, term uint64) (time.Duration, error) {
	n, err := e.to(name)
	if err != nil {
		return 0, err
	}
	return n.PeerPromise(ctx, term)
}

// standbyCluster is a cluster of three nodes with failover between them, with machines that
// run tasks all the time, and a checker of the leaders' commands.
type standbyCluster struct {
	*simulatedCluster
	network *peerNetwork
	agents  []*worker
	// rounds counts how often each machine's tasks were advanced.
	rounds map[string]int

	// mu guards what follows.
	mu sync.Mutex
	// latestTerm is the highest term in which a task was started, and FirstStart when the
	// first of each term was.
	latestTerm uint64
	firstStart map[uint64]time.Time
	// LastStart is when the last task was started.
	lastStart time.Time
	// reportsOnlyTo is the only node that a machine sends heartbeats to, and neverReportsTo
	// one that it sends none to; "" if there is no such limit.
	reportsOnlyTo, neverReportsTo map[string]string
	gates                         map[string]*gate
	jobs                          int
	// voteLifetimeS is how long a vote is valid; 0: the nodes know no votes.
	voteLifetimeS float64
}

// simulateStandby runs a test once the first leader has its lease quorum.
func simulateStandby(t *testing.T, voteLifetimeS float64, f func(s *standbyCluster)) {
	t.Helper()
	simulate(t, func(w *simulatedCluster) {
		w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
		w.teams[0].LimitCPUs = 100
		s := &standbyCluster{
			simulatedCluster: w,
			network:          &peerNetwork{nodes: map[string]*node{}, cut: map[string]bool{}},
			rounds:           map[string]int{},
			firstStart:       map[uint64]time.Time{},
			reportsOnlyTo:    map[string]string{},
			neverReportsTo:   map[string]string{},
			gates:            map[string]*gate{},
			voteLifetimeS:    voteLifetimeS,
		}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 3 {
			s.startNode(fmt.Sprint("n", i))
		}
		for i := range 4 {
			s.agents = append(s.agents, w.worker(fmt.Sprint("i-", i), "a", true))
		}
		done := make(chan struct{})
		go func() { s.runMachines(ctx); close(done) }()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(20 * time.Second) // until a leader needs its lease quorum
		f(s)
	})
}

// startNode starts a node, or starts it again.
func (s *standbyCluster) startNode(name string) {
	s.standby = nil
	if s.voteLifetimeS > 0 {
		s.standby = &standby.Settings{VoteLifetimeS: s.voteLifetimeS}
	}
	s.gates[name] = &gate{Fake: s.store}
	n := s.startWith(name, s.gates[name], peerNetworkClient{s.network, name})
	n.inspect(func(c *Controller) { c.Policy.MinCPUs = 1000 })
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.nodes[name] = n
}

// endNode ends a node until the test starts it again.
func (s *standbyCluster) endNode(name string) {
	s.network.mu.Lock()
	n := s.network.nodes[name]
	delete(s.network.nodes, name)
	s.network.mu.Unlock()
	if n != nil {
		n.crash()
	}
}

// runningNodes returns the nodes that are up.
func (s *standbyCluster) runningNodes() (nodes []*node) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	for _, name := range []string{"n0", "n1", "n2"} {
		if n := s.network.nodes[name]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// leader is the node with the highest term that holds the leader lease.
func (s *standbyCluster) leader() (best *node, term uint64) {
	for _, n := range s.runningNodes() {
		n.tryInspect(func(c *Controller) {
			if c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.term.Number > term {
				best, term = n, c.leaderTerm.term.Number
			}
		})
	}
	return best, term
}

// runMachines submits a job of two tasks every 900 ms, runs the machines, and checks that no
// task is on two of them.
func (s *standbyCluster) runMachines(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%3 == 0 {
			s.submitAnywhere(ctx, s.newJob())
		}
		for _, k := range s.agents {
			s.runAgent(k)
		}
		s.checkRuns()
		time.Sleep(300 * time.Millisecond)
	}
}

// submitAnywhere submits a job to the first node that accepts it, if any does.
func (s *standbyCluster) submitAnywhere(ctx context.Context, job *api.JobSpec) {
	for _, n := range s.runningNodes() {
		sctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		_, _, err := n.Submit(sctx, job)
		cancel()
		if err == nil {
			return
		}
	}
}

// checkRuns checks that no task is on two machines.
func (s *standbyCluster) checkRuns() {
	machineOf := map[string]string{}
	for _, k := range s.agents {
		for _, task := range k.running() {
			if machineOf[task] != "" {
				s.t.Errorf("%s runs on %s and %s", task, machineOf[task], k.status.Machine)
			}
			machineOf[task] = k.status.Machine
		}
	}
}

// runAgent ends tasks that have run for a while, and sends a machine's heartbeat to the first
// node that responds.
func (s *standbyCluster) runAgent(k *worker) {
	if s.rounds[k.status.Machine]++; s.rounds[k.status.Machine]%5 == 0 {
		k.exit(api.CauseDone)
	}
	for _, n := range s.runningNodes() {
		name := n.Settings.Node
		s.mu.Lock()
		only, never := s.reportsOnlyTo[k.status.Machine], s.neverReportsTo[k.status.Machine]
		s.mu.Unlock()
		if only != "" && only != name || never == name {
			continue
		}
		commands, err := k.sendHeartbeat(n)
		if err != nil {
			continue
		}
		s.checkStarts(k.status.Term, commands)
		k.applyCommands(commands)
		return
	}
}

// checkStarts checks and records the starts that a machine was commanded in a term: none may
// follow one of a later term.
func (s *standbyCluster) checkStarts(term uint64, commands []api.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range commands {
		if cmd.Verb != api.VerbStart {
			continue
		}
		if term < s.latestTerm {
			s.t.Errorf("a task was started in term %d after one in term %d", term, s.latestTerm)
		}
		s.latestTerm, s.lastStart = max(s.latestTerm, term), time.Now()
		if s.firstStart[term].IsZero() {
			s.firstStart[term] = time.Now()
		}
	}
}

// newJob is a job that was not submitted yet.
func (s *standbyCluster) newJob() *api.JobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs++
	return spec(fmt.Sprint("job-", s.jobs), 2)
}

// startTimes returns when the first task was started in a term, and when the last in any.
func (s *standbyCluster) startTimes(term uint64) (first, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstStart[term], s.lastStart
}

// A leader that ends for good is replaced within seconds, and without votes only when its
// lease has expired.
func TestFailoverAfterLeaderEnds(t *testing.T) {
	for _, c := range []struct {
		name          string
		voteLifetimeS float64
		least, most   time.Duration
	}{
		{name: "without votes", voteLifetimeS: 0, least: 25 * time.Second, most: 40 * time.Second},
		{name: "votes of 3 s", voteLifetimeS: 3, least: 2 * time.Second, most: 8 * time.Second},
		{name: "votes of 2 s", voteLifetimeS: 2, least: 2 * time.Second, most: 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateStandby(t, c.voteLifetimeS, func(s *standbyCluster) {
				n, term := s.leader()
				startTime := time.Now()
				s.endNode(n.Settings.Node)
				time.Sleep(45 * time.Second)
				at, _ := s.startTimes(term + 1)
				if took := at.Sub(startTime); at.IsZero() || took < c.least || took > c.most {
					t.Errorf("next start after %v, want %v to %v", took, c.least, c.most)
				} else {
					t.Logf("next start after %v", took)
				}
			})
		})
	}
}

// partitionCase is a partition of the leader from some of the others.
type partitionCase struct {
	name string
	cut  func(m *peerNetwork, leader string, others []string)
	// wantOther is set if another node must lead after twelve seconds, wantSame if the same
	// node must, in the same term.
	wantOther, wantSame bool
}

// A partition that leaves the leader its lease quorum, or lets it go on for its machines, is
// no reason for a failover; any other replaces it, and it decides nothing more.
func TestFailoverInPartitions(t *testing.T) {
	for _, c := range []partitionCase{
		{
			name: "from one standby",
			cut: func(m *peerNetwork, leader string, others []string) {
				m.setPartitioned(leader, true, others[0])
			},
			wantSame: true,
		},
		{
			name: "one way, from a standby",
			cut: func(m *peerNetwork, leader string, others []string) {
				m.setCut(others[0], leader, true)
			},
			wantSame: true,
		},
		{
			name: "from both, not from the store",
			cut: func(m *peerNetwork, leader string, others []string) {
				m.setPartitioned(leader, true, others...)
			},
			wantOther: true,
		},
		{
			name: "all from each other",
			cut: func(m *peerNetwork, leader string, others []string) {
				m.setPartitioned(leader, true, others...)
				m.setPartitioned(others[0], true, others[1])
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateStandby(t, 3, func(s *standbyCluster) { testPartition(s.t, s, c) })
		})
	}
}

func testPartition(t *testing.T, s *standbyCluster, c partitionCase) {
	t.Helper()
	n, term := s.leader()
	leader, others := n.Settings.Node, followersOf(n)
	c.cut(s.network, leader, others)
	time.Sleep(12 * time.Second)
	next, nextTerm := s.leader()
	if next == nil {
		t.Fatal("nobody leads")
	}
	if c.wantOther && next == n {
		t.Errorf("%s still leads in term %d, want another node", leader, nextTerm)
	}
	if c.wantSame && (next != n || nextTerm != term) {
		t.Errorf("got leader %s in term %d, want %s in term %d", next.Settings.Node, nextTerm, leader, term)
	}
	time.Sleep(10 * time.Second)
	if _, last := s.startTimes(nextTerm); time.Since(last) > 3*time.Second {
		t.Errorf("no start in term %d for %v, want at most 3s", nextTerm, time.Since(last))
	}
	s.network.setPartitioned(leader, false, others...)
	s.network.setPartitioned(others[0], false, others[1])
	time.Sleep(20 * time.Second)
	if next, _ = s.leader(); next == nil {
		t.Error("nobody leads once the partition is healed")
	}
}

// followersOf are the names of the two nodes beside a leader.
func followersOf(leader *node) []string {
	return slices.DeleteFunc([]string{"n0", "n1", "n2"}, func(name string) bool {
		return name == leader.Settings.Node
	})
}

// A leader that is partitioned from the others, and perhaps from the store, still reaches a
// part of the machines, and has work for them. From when it is replaced it starts nothing,
// however soon the next leader does, and whenever it last read from the store.
func TestReplacedLeaderStartsNoTasks(t *testing.T) {
	replaced := 0
	for offset := range 20 {
		simulateStandby(t, 3+float64(offset%2)*3, func(s *standbyCluster) {
			if partitionBusyLeader(s.t, s, time.Duration(offset)*130*time.Millisecond, offset%4 < 2) {
				replaced++
			}
		})
	}
	if replaced < 20 {
		t.Errorf("replaced %d times, want 20", replaced)
	}
}

// partitionBusyLeader partitions a leader that has more work than its machines can run, some
// time after the start of the test, and reports whether it was replaced.
func partitionBusyLeader(t *testing.T, s *standbyCluster, after time.Duration, storeToo bool) bool {
	t.Helper()
	n, term := s.leader()
	leader := n.Settings.Node
	time.Sleep(after)
	for range 40 { // more than the machines can run
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, _, err := n.Submit(ctx, s.newJob()); err != nil {
			t.Error(err)
		}
		cancel()
	}
	time.Sleep(time.Second)
	s.mu.Lock()
	s.reportsOnlyTo["i-0"], s.reportsOnlyTo["i-1"] = leader, leader
	s.neverReportsTo["i-2"], s.neverReportsTo["i-3"] = leader, leader
	s.mu.Unlock()
	s.network.setPartitioned(leader, true, followersOf(n)...)
	if storeToo {
		// It does not learn of the next term, and nothing else holds it back.
		s.gates[leader].set(true)
		n.inspect(func(c *Controller) { c.leaderTerm.cancellationsConfirmedAt = time.Now().Add(time.Hour) })
	}
	time.Sleep(13 * time.Second)
	_, nextTerm := s.leader()
	return nextTerm > term
}

// A leader that needs no lease quorum decides by its leader lease alone, and so is replaced
// only when that has expired.
func TestLeaderWithoutLeaseQuorum(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, _ := s.leader()
		for _, other := range s.runningNodes() {
			other.inspect(func(c *Controller) {
				c.failover.lastNewTermAt = time.Now().Add(time.Hour)
				c.failover.voter.Init(1000) // as if started after all terms to come
			})
		}
		n.inspect(func(c *Controller) { c.leaderTerm.stepDown() })
		time.Sleep(5 * time.Second)
		s.checkReplacedByLeaseExpiry()
	})
}

// checkReplacedByLeaseExpiry ends the leader, which must need no lease quorum and so be
// replaced only when its lease has expired.
func (s *standbyCluster) checkReplacedByLeaseExpiry() {
	s.t.Helper()
	n, term := s.leader()
	n.inspect(func(c *Controller) { s.checkEqual("quorum required", c.leaderTerm.quorumRequired, false) })
	startTime := time.Now()
	s.endNode(n.Settings.Node)
	time.Sleep(45 * time.Second)
	at, _ := s.startTimes(term + 1)
	if took := at.Sub(startTime); took < 20*time.Second {
		s.t.Errorf("next start after %v, want at least 20s", took)
	}
}

// While the store is down nobody is replaced, and the machines keep their tasks; a leader
// that ended meanwhile is replaced once the store is back.
func TestFailoverAndStoreOutage(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, term := s.leader()
		s.store.SetDown(true)
		time.Sleep(12 * time.Second)
		epochs := 0
		for _, k := range s.agents {
			epochs += int(k.status.AgentEpoch)
		}
		s.checkEqual("sum of agent epochs", epochs, len(s.agents))
		s.store.SetDown(false)
		time.Sleep(5 * time.Second)
		if next, now := s.leader(); next != n || now != term {
			t.Errorf("replaced during an outage: got term %d, want %d", now, term)
		}
		s.store.SetDown(true)
		s.endNode(n.Settings.Node)
		time.Sleep(10 * time.Second)
		s.store.SetDown(false)
		startTime := time.Now()
		time.Sleep(20 * time.Second)
		at, _ := s.startTimes(term + 1)
		if took := at.Sub(startTime); took < 0 || took > 8*time.Second {
			t.Errorf("next start %v after the outage, want 0 to 8s", took)
		}
	})
}

// In a group in which one node knows no votes the leader needs no lease quorum, and is
// replaced when its lease has expired.
func TestFailoverNeedsVotesOfAllNodes(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, _ := s.leader()
		last := "n2"
		if n.Settings.Node == last {
			last = "n1"
		}
		s.endNode(last)
		s.voteLifetimeS = 0
		s.startNode(last)
		s.endNode(n.Settings.Node) // restarted at once, in a new term without a lease quorum
		s.voteLifetimeS = 3
		s.startNode(n.Settings.Node)
		time.Sleep(10 * time.Second)
		s.checkReplacedByLeaseExpiry()
	})
}

// Nodes end, restart and are partitioned at random; leaders never contradict each other, and
// in the end one of them starts tasks.
func TestFailoverUnderRandomFaults(t *testing.T) {
	terms := uint64(0)
	for seed := range uint64(15) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulateStandby(t, 2+float64(seed%3), func(s *standbyCluster) {
				random := rand.New(rand.NewPCG(seed, 21))
				for range 12 {
					s.injectRandomFault(random)
					time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				time.Sleep(45 * time.Second)
				_, term := s.leader()
				if first, _ := s.startTimes(term); term == 0 || first.IsZero() {
					t.Errorf("no start in term %d in the end", term)
				}
				terms += term
			})
		})
	}
	t.Logf("%d terms in all", terms)
}

// injectRandomFault ends a node or the leader, or cuts one or all links of a node, for a
// random time, and heals that.
func (s *standbyCluster) injectRandomFault(random *rand.Rand) {
	names := []string{"n0", "n1", "n2"}
	name := names[random.IntN(3)]
	away := time.Duration(random.IntN(9000)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		s.endNode(name)
		time.Sleep(away)
		s.startNode(name)
	case 1:
		if n, _ := s.leader(); n != nil {
			name = n.Settings.Node
			s.endNode(name)
			time.Sleep(2 * away)
			s.startNode(name)
		}
	case 2:
		other := names[random.IntN(3)]
		s.network.setCut(name, other, true)
		time.Sleep(2 * away)
		s.network.setCut(name, other, false)
	case 3:
		s.network.setPartitioned(name, true, names...)
		time.Sleep(2 * away)
		s.network.setPartitioned(name, false, names...)
	}
}

// A leader that drains hands over at once, with and without votes, and is not elected again.
func TestPlannedHandover(t *testing.T) {
	for _, voteLifetimeS := range []float64{0, 3} {
		simulateStandby(t, voteLifetimeS, func(s *standbyCluster) {
			n, term := s.leader()
			startTime := time.Now()
			n.Drain(context.Background())
			if n.Ready() {
				t.Error("a draining leader is ready for users")
			}
			time.Sleep(time.Second)
			s.endNode(n.Settings.Node)
			time.Sleep(4 * time.Second)
			at, _ := s.startTimes(term + 1)
			if took := at.Sub(startTime); took < 0 || took > 2*time.Second {
				t.Errorf("next start after %v, want 0 to 2s", took)
			}
		})
	}
}
