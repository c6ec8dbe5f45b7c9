package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/standby"
)

// peerNetwork simulates the network between three nodes. Each direction of a link can be cut.
type peerNetwork struct {
	mu sync.Mutex
	// nodes holds the running nodes by name.
	nodes map[string]*node
	// cut holds the directions that are cut, as "from>to".
	cut map[string]bool
}

// peerNetworkClient is the PeerClient of one node.
type peerNetworkClient struct {
	network *peerNetwork
	from    string
}

// to returns another node if it is running and can be reached.
func (p peerNetworkClient) to(name string) (*node, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	n := p.network.nodes[name]
	if n == nil || p.network.cut[p.from+">"+name] {
		return nil, fmt.Errorf("node %s cannot be reached from %s", name, p.from)
	}
	return n, nil
}

// setCut cuts one direction of a link, or restores it.
func (n *peerNetwork) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[from+">"+to] = cut
}

// setPartitioned cuts the links between a node and others in both directions, or restores them.
func (n *peerNetwork) setPartitioned(name string, cut bool, others ...string) {
	for _, other := range others {
		n.setCut(name, other, cut)
		n.setCut(other, name, cut)
	}
}

func (p peerNetworkClient) Job(ctx context.Context, name string, q JobQuery) (JobAnswer, error) {
	n, err := p.to(name)
	if err != nil {
		return JobAnswer{}, err
	}
	return n.PeerJob(ctx, q)
}

func (p peerNetworkClient) Completion(
	ctx context.Context, name, id string, known completion.Tasks,
) (CompletionStatus, error) {
	n, err := p.to(name)
	if err != nil {
		return CompletionStatus{}, err
	}
	return n.PeerCompletion(ctx, id, known)
}

func (p peerNetworkClient) Ping(
	ctx context.Context, name string, from cancellation.Position,
) (membership.PeerStatus, error) {
	n, err := p.to(name)
	if err != nil {
		return membership.PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (p peerNetworkClient) ForwardHeartbeat(
	ctx context.Context, name string, hb *api.Heartbeat,
) (api.HeartbeatResponse, error) {
	n, err := p.to(name)
	if err != nil {
		return api.HeartbeatResponse{}, err
	}
	return n.ForwardedHeartbeat(ctx, hb)
}

func (p peerNetworkClient) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := p.to(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}

func (p peerNetworkClient) Vote(ctx context.Context, name string, term uint64) (bool, error) {
	n, err := p.to(name)
	if err != nil {
		return false, err
	}
	return n.PeerVote(ctx, term)
}

func (p peerNetworkClient) Promise(ctx context.Context, name string, term uint64) (time.Duration, error) {
	n, err := p.to(name)
	if err != nil {
		return 0, err
	}
	return n.PeerPromise(ctx, term)
}

// standbyCluster is a simulated cluster of three nodes with failover. Its machines run tasks all the
// time, and the commands of the leaders are checked.
type standbyCluster struct {
	*simulatedCluster
	network *peerNetwork
	agents  []*worker
	// rounds counts, by machine, the calls of runAgent.
	rounds map[string]int

	// mu guards the fields below.
	mu sync.Mutex
	// latestTerm is the highest term in which a task was started.
	latestTerm uint64
	// firstStart is when the first task was started in each term.
	firstStart map[uint64]time.Time
	// lastStart is when the last task was started in any term.
	lastStart time.Time
	// reportsOnlyTo holds, by machine, the only node to which it sends heartbeats; "" if not
	// restricted.
	reportsOnlyTo map[string]string
	// neverReportsTo holds, by machine, a node to which it sends no heartbeats; "" if not
	// restricted.
	neverReportsTo map[string]string
	// gates holds each node's connection to the key-value store.
	gates map[string]*gate
	// jobs is the number of jobs that were created.
	jobs int
	// voteLifetimeS is the lifetime of a vote in seconds; 0 disables failover on nodes that are
	// started.
	voteLifetimeS float64
}

// simulateStandby starts a cluster and calls f when the first leader has had time to require a
// lease quorum.
func simulateStandby(t *testing.T, voteLifetimeS float64, f func(s *standbyCluster)) {
	t.Helper()
	simulate(t, func(w *simulatedCluster) {
		w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
		w.late = newLateMessages(w.ctx, t.Name())
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
		time.Sleep(20 * time.Second) // until the leader requires a lease quorum
		f(s)
	})
}

// startNode starts or restarts a node.
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

// endNode ends a node. startNode can restart it.
func (s *standbyCluster) endNode(name string) {
	s.network.mu.Lock()
	n := s.network.nodes[name]
	delete(s.network.nodes, name)
	s.network.mu.Unlock()
	if n != nil {
		n.crash()
	}
}

// runningNodes returns the nodes that are running, in the order of their names.
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

// leader returns the node that holds the leader lease in the highest term and has loaded its
// records, or nil.
func (s *standbyCluster) leader() (leader *node, term uint64) {
	for _, n := range s.runningNodes() {
		n.tryInspect(func(c *Controller) {
			if c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.term.Number > term {
				leader, term = n, c.leaderTerm.term.Number
			}
		})
	}
	return leader, term
}

// runMachines submits a job of two tasks every 900 ms, runs the machines, and checks that no
// task runs on two of them.
func (s *standbyCluster) runMachines(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%3 == 0 {
			s.submitAnywhere(ctx, s.newJob())
		}
		for _, agent := range s.agents {
			s.runAgent(agent)
		}
		s.checkRuns()
		time.Sleep(300 * time.Millisecond)
	}
}

// submitAnywhere submits a job to the first node that accepts it, if any does.
func (s *standbyCluster) submitAnywhere(ctx context.Context, job *api.JobSpec) {
	for _, n := range s.runningNodes() {
		submitCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		_, _, err := n.Submit(submitCtx, job)
		cancel()
		if err == nil {
			return
		}
	}
}

// checkRuns checks that no task runs on two machines.
func (s *standbyCluster) checkRuns() {
	machineOf := map[string]string{}
	for _, agent := range s.agents {
		for _, task := range agent.running() {
			if machineOf[task] != "" {
				s.t.Errorf("task %s runs on both %s and %s", task, machineOf[task], agent.status.Machine)
			}
			machineOf[task] = agent.status.Machine
		}
	}
}

// runAgent simulates one round of a machine: its tasks exit in every fifth round, and its heartbeat
// is sent to the first node that responds.
func (s *standbyCluster) runAgent(agent *worker) {
	if s.rounds[agent.status.Machine]++; s.rounds[agent.status.Machine]%5 == 0 {
		agent.exit(api.CauseDone)
	}
	for _, n := range s.runningNodes() {
		name := n.Settings.Node
		s.mu.Lock()
		only, never := s.reportsOnlyTo[agent.status.Machine], s.neverReportsTo[agent.status.Machine]
		s.mu.Unlock()
		if only != "" && only != name || never == name {
			continue
		}
		commands, err := agent.sendHeartbeat(n)
		if err != nil {
			continue
		}
		s.checkStarts(agent.status.Token, commands)
		agent.applyCommands(commands)
		return
	}
}

// checkStarts records the start commands that a machine received in a term, and checks that no task
// is started in a term after one was started in a later term.
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

// newJob returns a job of two tasks with a new ID.
func (s *standbyCluster) newJob() *api.JobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs++
	return spec(fmt.Sprint("job-", s.jobs), 2)
}

// startTimes returns when the first task was started in a term, and when the last task was started
// in any term.
func (s *standbyCluster) startTimes(term uint64) (first, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstStart[term], s.lastStart
}

// awaitFailover waits until a leader that ended must have been replaced, and returns when its lease
// began to run out: at its end, or with a later copy of a renewal. Votes end the lease sooner.
func (s *standbyCluster) awaitFailover(ended time.Time, lease uint64) time.Time {
	const longestFailover = 45 * time.Second
	time.Sleep(longestFailover)
	for s.voteLifetimeS == 0 && s.late.lastRenewal(lease).After(ended) {
		ended = s.late.lastRenewal(lease)
		time.Sleep(longestFailover - time.Since(ended))
	}
	return ended
}

// leaderLease returns the lease of the leader key.
func (s *standbyCluster) leaderLease() uint64 {
	entry, err := s.store.Get(s.ctx, election.LeaderKey)
	if err != nil {
		s.t.Error(err)
	}
	return entry.Lease
}

// A leader that ends and does not restart is replaced within seconds. If failover is disabled, it
// is replaced only after its lease has expired.
func TestFailoverAfterLeaderEnds(t *testing.T) {
	for _, c := range []struct {
		name               string
		voteLifetimeS      float64
		minDelay, maxDelay time.Duration
	}{
		{name: "without votes", voteLifetimeS: 0, minDelay: 25 * time.Second, maxDelay: 40 * time.Second},
		{name: "votes of 3 s", voteLifetimeS: 3, minDelay: 2 * time.Second, maxDelay: 8 * time.Second},
		{name: "votes of 2 s", voteLifetimeS: 2, minDelay: 2 * time.Second, maxDelay: 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateStandby(t, c.voteLifetimeS, func(s *standbyCluster) {
				n, term := s.leader()
				ended, lease := time.Now(), s.leaderLease()
				s.endNode(n.Settings.Node)
				startTime := s.awaitFailover(ended, lease)
				firstStart, _ := s.startTimes(term + 1)
				if took := firstStart.Sub(startTime); firstStart.IsZero() || took < c.minDelay || took > c.maxDelay {
					t.Errorf("first start in the next term after %v, want %v to %v", took, c.minDelay, c.maxDelay)
				} else {
					t.Logf("first start in the next term after %v", took)
				}
			})
		})
	}
}

// partitionCase is a network partition between the nodes, and its expected result after 12 seconds.
type partitionCase struct {
	name string
	// cut cuts links between the leader and the other nodes.
	cut func(network *peerNetwork, leader string, others []string)
	// wantOther is set if another node must lead.
	wantOther bool
	// wantSame is set if the same node must still lead in the same term.
	wantSame bool
}

// A leader that keeps its lease quorum in a partition is not replaced. A leader that is cut off from
// all other nodes is replaced if these still reach each other, and then no longer starts tasks. In
// every case, some leader starts tasks during the partition, and some node leads after it.
func TestFailoverInPartitions(t *testing.T) {
	for _, c := range []partitionCase{
		{
			name: "from one standby",
			cut: func(network *peerNetwork, leader string, others []string) {
				network.setPartitioned(leader, true, others[0])
			},
			wantSame: true,
		},
		{
			name: "one way, from a standby",
			cut: func(network *peerNetwork, leader string, others []string) {
				network.setCut(others[0], leader, true)
			},
			wantSame: true,
		},
		{
			name: "from both, not from the store",
			cut: func(network *peerNetwork, leader string, others []string) {
				network.setPartitioned(leader, true, others...)
			},
			wantOther: true,
		},
		{
			name: "all from each other",
			cut: func(network *peerNetwork, leader string, others []string) {
				network.setPartitioned(leader, true, others...)
				network.setPartitioned(others[0], true, others[1])
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateStandby(t, 3, func(s *standbyCluster) { testPartition(s.t, s, c) })
		})
	}
}

// testPartition applies a partition, checks which node leads and that it starts tasks, and then
// heals the partition and checks that a node leads.
func testPartition(t *testing.T, s *standbyCluster, c partitionCase) {
	t.Helper()
	n, term := s.leader()
	leader, others := n.Settings.Node, followersOf(n)
	c.cut(s.network, leader, others)
	time.Sleep(12 * time.Second)
	next, nextTerm := s.leader()
	if next == nil {
		t.Fatal("no node leads")
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
		t.Error("no node leads after the partition was healed")
	}
}

// followersOf returns the names of the two nodes other than the leader.
func followersOf(leader *node) []string {
	return slices.DeleteFunc([]string{"n0", "n1", "n2"}, func(name string) bool {
		return name == leader.Settings.Node
	})
}

// A leader that has been replaced must start no tasks. In this test it is partitioned from the other
// nodes, and in half of the runs from the store too, but still reaches half of the machines and has
// pending tasks for them. The time of the partition varies, because it matters when the leader last
// received votes and read from the store. runMachines checks the order of the starts.
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

// partitionBusyLeader gives the leader more work than the machines can run, partitions it from the
// other nodes, and if storeToo is set from the store, and reports whether it was replaced.
func partitionBusyLeader(t *testing.T, s *standbyCluster, after time.Duration, storeToo bool) bool {
	t.Helper()
	n, term := s.leader()
	leader := n.Settings.Node
	time.Sleep(after)
	for range 40 { // more jobs than the machines can run
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
		// The leader cannot read the next term from the store. Treating its cancellations as
		// confirmed leaves the lease quorum as the only check that can stop its starts.
		s.gates[leader].setClosed(true)
		n.inspect(func(c *Controller) { c.leaderTerm.cancellationsConfirmedAt = time.Now().Add(time.Hour) })
	}
	time.Sleep(13 * time.Second)
	_, nextTerm := s.leader()
	return nextTerm > term
}

// A leader that does not require a lease quorum acts on its leader lease alone. It must not be
// replaced before that lease has expired.
func TestLeaderWithoutLeaseQuorum(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, _ := s.leader()
		for _, other := range s.runningNodes() {
			other.inspect(func(c *Controller) {
				c.failover.lastNewTermAt = time.Now().Add(time.Hour)
				// As if the process had been started in term 1000: it votes in no term up to that.
				c.failover.voter.Init(1000)
			})
		}
		n.inspect(func(c *Controller) { c.leaderTerm.stepDown() })
		time.Sleep(5 * time.Second)
		s.checkReplacedByLeaseExpiry()
	})
}

// checkReplacedByLeaseExpiry ends the leader and checks that it required no lease quorum, and that
// no task is started in the next term before the ended leader's lease has expired.
func (s *standbyCluster) checkReplacedByLeaseExpiry() {
	s.t.Helper()
	n, term := s.leader()
	n.inspect(func(c *Controller) { s.checkEqual("quorum required", c.leaderTerm.quorumRequired, false) })
	startTime := time.Now()
	s.endNode(n.Settings.Node)
	time.Sleep(45 * time.Second)
	firstStart, _ := s.startTimes(term + 1)
	if took := firstStart.Sub(startTime); took < 20*time.Second {
		s.t.Errorf("first start in the next term after %v, want at least 20s", took)
	}
}

// During an outage of the store the leader is not replaced, and the machines keep their tasks: no
// agent begins a new epoch. A leader that ends during an outage is replaced when the store is
// available again.
func TestFailoverAndStoreOutage(t *testing.T) {
	simulateStandby(t, 3, func(s *standbyCluster) {
		n, term := s.leader()
		s.store.SetDown(true)
		time.Sleep(12 * time.Second)
		epochs := 0
		for _, agent := range s.agents {
			epochs += int(agent.status.AgentEpoch)
		}
		s.checkEqual("sum of agent epochs", epochs, len(s.agents))
		s.store.SetDown(false)
		time.Sleep(5 * time.Second)
		if next, nextTerm := s.leader(); next != n || nextTerm != term {
			t.Errorf("leader was replaced during a store outage: got term %d, want %d", nextTerm, term)
		}
		s.store.SetDown(true)
		s.endNode(n.Settings.Node)
		time.Sleep(10 * time.Second)
		s.store.SetDown(false)
		startTime := time.Now()
		time.Sleep(20 * time.Second)
		firstStart, _ := s.startTimes(term + 1)
		if took := firstStart.Sub(startTime); took < 0 || took > 8*time.Second {
			t.Errorf("first start in the next term %v after the outage, want 0 to 8s", took)
		}
	})
}

// If failover is disabled on one node, the leader does not require a lease quorum, and is replaced
// only when its lease has expired.
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
		// The leader restarts at once and begins a new term without a lease quorum.
		s.endNode(n.Settings.Node)
		s.voteLifetimeS = 3
		s.startNode(n.Settings.Node)
		time.Sleep(10 * time.Second)
		s.checkReplacedByLeaseExpiry()
	})
}

// Nodes restart and are partitioned at random. runMachines checks throughout that no task runs on
// two machines and that no leader starts tasks after its successor has. After the faults, a leader
// must start tasks again.
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
					t.Errorf("no task was started in term %d after the faults", term)
				}
				terms += term
			})
		})
	}
	t.Logf("%d terms in total", terms)
}

// injectRandomFault restarts a random node or the leader after a random time, or cuts one direction
// of a link or all links of a node for a random time.
func (s *standbyCluster) injectRandomFault(random *rand.Rand) {
	names := []string{"n0", "n1", "n2"}
	name := names[random.IntN(3)]
	outage := time.Duration(random.IntN(9000)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		s.endNode(name)
		time.Sleep(outage)
		s.startNode(name)
	case 1:
		if n, _ := s.leader(); n != nil {
			name = n.Settings.Node
			s.endNode(name)
			time.Sleep(2 * outage)
			s.startNode(name)
		}
	case 2:
		other := names[random.IntN(3)]
		s.network.setCut(name, other, true)
		time.Sleep(2 * outage)
		s.network.setCut(name, other, false)
	case 3:
		s.network.setPartitioned(name, true, names...)
		time.Sleep(2 * outage)
		s.network.setPartitioned(name, false, names...)
	}
}

// A leader that drains hands over to another node at once, with failover enabled or disabled, and is
// not elected again.
func TestPlannedHandover(t *testing.T) {
	for _, voteLifetimeS := range []float64{0, 3} {
		simulateStandby(t, voteLifetimeS, func(s *standbyCluster) {
			n, term := s.leader()
			startTime := time.Now()
			n.Drain(context.Background())
			if n.Ready() {
				t.Error("a draining leader still reports ready")
			}
			time.Sleep(time.Second)
			s.endNode(n.Settings.Node)
			time.Sleep(4 * time.Second)
			firstStart, _ := s.startTimes(term + 1)
			if took := firstStart.Sub(startTime); took < 0 || took > 2*time.Second {
				t.Errorf("first start in the next term after %v, want 0 to 2s", took)
			}
		})
	}
}
