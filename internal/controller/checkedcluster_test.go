package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// checkedCluster is a simulated cluster with two controllers and simulated machines, which all run
// in the background, and with a checker that observes which tasks the machines run.
type checkedCluster struct {
	*simulatedCluster
	checker *runChecker
	// ctx is cancelled when the test function returns, before the nodes are stopped.
	ctx context.Context
	// goroutines counts the goroutines of machines, users and injected faults, which run until ctx
	// is cancelled.
	goroutines sync.WaitGroup

	mu    sync.Mutex
	links *peerLinks
	names []string
	nodes map[string]*node
	gates map[string]*slowGate
	hosts []*host
}

// slowGate is a connection to the key-value store that delays each page of a range request.
type slowGate struct{ *gate }

func (g *slowGate) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	page, err := g.gate.Range(ctx, prefix, from, limit)
	sleepUnlessZero(ctx, 150*time.Millisecond)
	return page, err
}

// simulateChecked runs f with two controllers, of which n0 leads, and the given number of machines.
func simulateChecked(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 0, f)
	})
}

// simulateSlowHeartbeats is like simulateChecked, but machines send a heartbeat only every 5 s, so
// that the leader sends them their starts in command batches.
func simulateSlowHeartbeats(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 5, f)
	})
}

// newCheckedCluster runs f with two controllers and the given number of machines, which send a
// heartbeat every heartbeatS seconds; values below 1 mean 1.
func newCheckedCluster(t *testing.T, machines int, heartbeatS float64, f func(s *checkedCluster)) {
	t.Helper()
	w := newSimulatedCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &checkedCluster{
		simulatedCluster: w,
		ctx:              ctx,
		links:            &peerLinks{},
		names:            []string{"n0", "n1"},
		nodes:            map[string]*node{},
		gates:            map[string]*slowGate{},
	}
	w.heartbeatS = heartbeatS
	w.commandSender = s
	w.late = newLateMessages(ctx, t.Name())
	s.checker = &runChecker{
		cluster:   w,
		startedAt: time.Now(),
		jobs:      map[string]*observedJob{},
		runs:      map[run]bool{},
		started:   map[run]bool{},
		hosts:     map[string]*host{},
	}
	defer func() {
		cancel()
		s.goroutines.Wait()
		w.late.goroutines.Wait()
	}()
	s.goroutines.Go(s.runMachines)
	s.startNode("n0")
	s.startNode("n1")
	for i := range machines {
		s.addMachine(fmt.Sprint("i-", i+1), []string{"a", "b"}[i%2], false)
	}
	time.Sleep(2*time.Second + 1500*time.Millisecond*time.Duration(heartbeatS))
	f(s)
}

// startNode starts a controller, which uses the same gate to the store as earlier ones of its name.
func (s *checkedCluster) startNode(name string) {
	s.mu.Lock()
	if s.gates[name] == nil {
		s.gates[name] = &slowGate{gate: &gate{Fake: s.store}}
	}
	g := s.gates[name]
	s.mu.Unlock()
	n := s.links.add(name, s.startWith(name, g, s.links))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = n
}

// crash stops a controller without a handover.
func (s *checkedCluster) crash(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		n.crash()
		s.links.nodes.Delete(name)
		delete(s.nodes, name)
	}
}

// node returns the controller of the given name, or nil if it is not running.
func (s *checkedCluster) node(name string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// leader returns the name of the leader that has loaded its state, or "" if there is none.
func (s *checkedCluster) leader() string {
	for _, name := range s.names {
		if n := s.node(name); n != nil {
			isLeader := false
			n.tryInspect(func(c *Controller) { isLeader = c.holdsLease() && c.leaderTerm.loaded })
			if isLeader {
				return name
			}
		}
	}
	return ""
}

// handOver makes the other controller the leader by closing the leader's gate to the store for 8 s,
// without an orderly handover.
func (s *checkedCluster) handOver() {
	if name := s.leader(); name != "" {
		s.gates[name].setClosed(true)
		s.goroutines.Go(func() {
			sleepUnlessZero(s.ctx, 8*time.Second)
			s.gates[name].setClosed(false)
		})
	}
}

// restartLeader crashes the leader and starts it again after the given time.
func (s *checkedCluster) restartLeader(after time.Duration) {
	if name := s.leader(); name != "" {
		s.crash(name)
		time.Sleep(after)
		s.startNode(name)
	}
}

// retryRequest sends a user's request to the controllers in turn, once a second, until one responds
// without an error. It starts with the controller at index first, modulo their number, and reports
// a test error after 60 attempts.
func (s *checkedCluster) retryRequest(what string, first int, request func(ctx context.Context, n *node) error) {
	s.t.Helper()
	err := errors.New("no controller is running")
	for try := first; try < first+60; try++ {
		if n := s.node(s.names[try%len(s.names)]); n != nil {
			s.late.sent("user request", func(ctx context.Context) { _ = request(ctx, n) })
			ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
			err = request(ctx, n)
			cancel()
			if err == nil {
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Second)
	}
	s.t.Errorf("%s: got error %v on all attempts, want success", what, err)
}

// submitJob submits a job whose tasks each run for the given time.
func (s *checkedCluster) submitJob(duration time.Duration, spec *api.JobSpec) {
	s.t.Helper()
	s.checker.mu.Lock()
	s.checker.jobs[spec.ID] = &observedJob{
		spec:        spec,
		duration:    duration,
		starts:      map[string]int{},
		completions: map[string]int{},
	}
	s.checker.mu.Unlock()
	s.retryRequest("submit "+spec.ID, spec.Tasks, func(ctx context.Context, n *node) error {
		_, _, err := n.Submit(ctx, spec)
		return err
	})
}

// cancel cancels jobs concurrently, as several users may do.
func (s *checkedCluster) cancel(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.checker.mu.Lock()
		s.checker.jobs[id].cancelRequestedAt = time.Now()
		s.checker.mu.Unlock()
		s.goroutines.Go(func() {
			s.retryRequest("cancel "+id, int(id[len(id)-1]), func(ctx context.Context, n *node) error {
				state, err := n.Cancel(ctx, id)
				if err == nil {
					s.checker.recordPhase(id, state.Phase)
				}
				return err
			})
		})
	}
}

// awaitAllEnded records that all faults are healed, and waits until all jobs are done or cancelled.
// It reports a test error for each job that has not ended within the given time.
func (s *checkedCluster) awaitAllEnded(within time.Duration) {
	s.t.Helper()
	s.checker.mu.Lock()
	s.checker.faultsHealed = true
	ids := slices.Sorted(maps.Keys(s.checker.jobs))
	s.checker.mu.Unlock()
	deadline := time.Now().Add(within)
	for _, id := range ids {
		for phase := ""; ; {
			if n := s.node(s.names[0]); n != nil {
				phase = s.phase(n, id)
				if phase == api.JobDone || phase == api.JobCancelled {
					s.checker.recordPhase(id, phase)
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Errorf("%s: got phase %q after all faults were healed, want done or cancelled", id, phase)
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// addMachine adds a machine, which starts to send heartbeats at once.
func (s *checkedCluster) addMachine(name, zone string, spot bool) *host {
	machine := &host{
		worker:           s.worker(name, zone, spot),
		s:                s,
		remaining:        map[run]time.Duration{},
		lastAcknowledged: time.Now(),
		nextHeartbeat:    time.Now(),
	}
	s.checker.mu.Lock()
	s.checker.hosts[name] = machine
	s.hosts = append(s.hosts, machine)
	s.checker.mu.Unlock()
	return machine
}

// runMachines runs all machines until the test ends. One loop advances them all: the race detector
// does not cope with a very large number of timers in a synctest bubble.
func (s *checkedCluster) runMachines() {
	for s.ctx.Err() == nil {
		s.checker.mu.Lock()
		hosts := slices.Clone(s.hosts)
		s.checker.mu.Unlock()
		for _, machine := range hosts {
			machine.step(time.Now())
		}
		s.checker.checkRuns()
		sleepUnlessZero(s.ctx, tick)
	}
}

// machinesRunning returns the machines that run tasks of a job.
func (s *checkedCluster) machinesRunning(job string) (machines []*host) {
	for _, machine := range s.hosts {
		s.checker.mu.Lock()
		s.checker.dropTerminated()
		for r := range s.checker.runs {
			if r.machine == machine.status.Machine && r.job() == job && !slices.Contains(machines, machine) {
				machines = append(machines, machine)
			}
		}
		s.checker.mu.Unlock()
	}
	return machines
}

// SendCommands implements CommandSender.
func (s *checkedCluster) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	hb, err := s.deliverToMachine(ctx, addr, func(machine *host) bool {
		if batch.Token < machine.status.Token || batch.AgentEpoch != machine.status.AgentEpoch {
			return false
		}
		machine.changed = machine.changed || batch.Token > machine.status.Token
		machine.status.Token = batch.Token
		machine.applyCommands(batch.Commands)
		return true
	})
	if err != nil {
		return 0, err
	}
	return hb.Seq, nil
}

// Resync implements CommandSender.
func (s *checkedCluster) Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	return s.deliverToMachine(ctx, addr, func(machine *host) bool {
		if term < machine.status.Token {
			return false
		}
		machine.changed = machine.changed || term > machine.status.Token
		machine.status.Token = term
		return true
	})
}

// errNoConnection means that no connection to a machine was made, so that nothing was sent.
var errNoConnection = errors.New("no connection")

// deliverToMachine delivers a request to a machine and returns the machine's status after it was
// applied. A hung or slow machine applies it late, even if the sender has timed out by then. apply
// is called with the machine's lock held and reports whether the machine accepted the request.
func (s *checkedCluster) deliverToMachine(
	ctx context.Context, addr string, apply func(*host) bool,
) (*api.Heartbeat, error) {
	s.checker.mu.Lock()
	machine := s.checker.hosts[addr]
	s.checker.mu.Unlock()
	if machine == nil || s.cloud.terminated(addr) {
		return nil, api.ErrCommandsNotApplied
	}
	machine.mu.Lock()
	isUnreachable := machine.cut || machine.commandsUndelivered
	requestDelay, responseDelay := machine.commandDelay, machine.commandResponseDelay
	machine.mu.Unlock()
	if isUnreachable {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, errNoConnection)
	}
	response := make(chan *api.Heartbeat, 1)
	// s.goroutines does not count this goroutine, because controllers may still call this function
	// while the test waits for s.goroutines. It waits for nothing once s.ctx is cancelled.
	go func() {
		sleepUnlessZero(s.ctx, requestDelay)
		machine.lockWhenResponsive()
		var hb *api.Heartbeat
		if s.ctx.Err() == nil && !s.cloud.terminated(addr) && apply(machine) {
			machine.status.Seq++
			status := machine.status
			status.Tasks = slices.Clone(machine.status.Tasks)
			hb = &status
		}
		machine.mu.Unlock()
		sleepUnlessZero(s.ctx, responseDelay)
		response <- hb
	}()
	select {
	case hb := <-response:
		if hb == nil {
			return nil, api.ErrCommandsNotApplied
		}
		return hb, nil
	case <-ctx.Done():
		return nil, api.ErrCommandsOutcomeUnknown
	}
}
