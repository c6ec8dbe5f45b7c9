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

// checkedCluster is a deployment whose machines and controllers run by themselves, with a
// checker of what the machines run.
type checkedCluster struct {
	*simulatedCluster
	checker *runChecker
	// ctx ends when the test does, before the nodes do; tasks are the goroutines of machines,
	// users and injected faults, which end with it.
	ctx        context.Context
	goroutines sync.WaitGroup

	mu    sync.Mutex
	links *peerLinks
	names []string
	nodes map[string]*node
	gates map[string]*slowGate
	hosts []*host
}

// slowGate is an access to the store that delays each page of a range.
type slowGate struct{ *gate }

func (g *slowGate) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	page, err := g.gate.Range(ctx, prefix, from, limit)
	sleepUnlessZero(ctx, 150*time.Millisecond)
	return page, err
}

// simulateChecked runs a test with two controllers; the first leads.
func simulateChecked(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 0, f)
	})
}

// simulateSlowHeartbeats is simulateChecked with machines that send a heartbeat every 5 s, and so
// get their starts in command batches.
func simulateSlowHeartbeats(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 5, f)
	})
}

// newCheckedCluster runs f with two controllers and some machines that send a heartbeat every
// heartbeatS seconds, at least 1.
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
	s.checker = &runChecker{
		cluster:   w,
		startedAt: time.Now(),
		jobs:      map[string]*observedJob{},
		runs:      map[run]bool{},
		hosts:     map[string]*host{},
	}
	defer func() {
		cancel()
		s.goroutines.Wait()
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

// startNode starts a controller.
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

// crash ends a controller at once.
func (s *checkedCluster) crash(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		n.crash()
		s.links.nodes.Delete(name)
		delete(s.nodes, name)
	}
}

// node returns a controller by its name, or nil if it does not run.
func (s *checkedCluster) node(name string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// leader returns the name of the leader, or "".
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

// handOver makes the other controller the leader: the store rejects the requests of the leader alone
// for a while.
func (s *checkedCluster) handOver() {
	if name := s.leader(); name != "" {
		s.gates[name].setClosed(true)
		s.goroutines.Go(func() {
			sleepUnlessZero(s.ctx, 8*time.Second)
			s.gates[name].setClosed(false)
		})
	}
}

// restartLeader ends the leader, and starts it again after a while.
func (s *checkedCluster) restartLeader(after time.Duration) {
	if name := s.leader(); name != "" {
		s.crash(name)
		time.Sleep(after)
		s.startNode(name)
	}
}

// retryRequest sends a user's request to the controllers in turn until one responds without an
// error; first selects the first of them.
func (s *checkedCluster) retryRequest(what string, first int, request func(ctx context.Context, n *node) error) {
	s.t.Helper()
	err := errors.New("no controller")
	for try := first; try < first+60; try++ {
		if n := s.node(s.names[try%len(s.names)]); n != nil {
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
	s.t.Errorf("%s: %v", what, err)
}

// submitJob submits a job each of whose tasks runs for a given time.
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

// cancel cancels jobs, as users do at the same time.
func (s *checkedCluster) cancel(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.checker.mu.Lock()
		s.checker.jobs[id].cancelRequestedAt = time.Now()
		s.checker.mu.Unlock()
		s.goroutines.Go(func() {
			s.retryRequest("cancel "+id, int(id[len(id)-1]), func(ctx context.Context, n *node) error {
				st, err := n.Cancel(ctx, id)
				if err == nil {
					s.checker.recordPhase(id, st.Phase)
				}
				return err
			})
		})
	}
}

// awaitAllEnded notes that all faults are healed, and waits until all jobs have ended.
func (s *checkedCluster) awaitAllEnded(within time.Duration) {
	s.t.Helper()
	s.checker.mu.Lock()
	s.checker.faultsHealed = true
	ids := slices.Sorted(maps.Keys(s.checker.jobs))
	s.checker.mu.Unlock()
	deadline := time.Now().Add(within)
	for _, id := range ids {
		for last := ""; ; {
			if n := s.node(s.names[0]); n != nil {
				last = s.phase(n, id)
				if last == api.JobDone || last == api.JobCancelled {
					s.checker.recordPhase(id, last)
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Errorf("%s: got phase %q after all faults were healed, want done or cancelled", id, last)
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// addMachine adds a machine that is up from now on.
func (s *checkedCluster) addMachine(name, zone string, spot bool) *host {
	k := &host{
		worker:           s.worker(name, zone, spot),
		s:                s,
		remaining:        map[run]time.Duration{},
		lastAcknowledged: time.Now(),
		nextHeartbeat:    time.Now(),
	}
	s.checker.mu.Lock()
	s.checker.hosts[name] = k
	s.hosts = append(s.hosts, k)
	s.checker.mu.Unlock()
	return k
}

// runMachines runs all machines until the test ends. One clock drives them all: the race
// detector cannot follow a bubble with very many timers.
func (s *checkedCluster) runMachines() {
	for s.ctx.Err() == nil {
		s.checker.mu.Lock()
		hosts := slices.Clone(s.hosts)
		s.checker.mu.Unlock()
		for _, k := range hosts {
			k.step(time.Now())
		}
		s.checker.checkRuns()
		sleepUnlessZero(s.ctx, tick)
	}
}

// machinesRunning lists the machines that run a job's tasks.
func (s *checkedCluster) machinesRunning(job string) (ks []*host) {
	for _, k := range s.hosts {
		s.checker.mu.Lock()
		s.checker.dropTerminated()
		for r := range s.checker.runs {
			if r.machine == k.status.Machine && r.job() == job && !slices.Contains(ks, k) {
				ks = append(ks, k)
			}
		}
		s.checker.mu.Unlock()
	}
	return ks
}

// SendCommands implements CommandSender.
func (s *checkedCluster) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	hb, err := s.deliverToMachine(ctx, addr, func(k *host) bool {
		if batch.Term < k.status.Term || batch.AgentEpoch != k.status.AgentEpoch {
			return false
		}
		k.changed = k.changed || batch.Term > k.status.Term
		k.status.Term = batch.Term
		k.applyCommands(batch.Commands)
		return true
	})
	if err != nil {
		return 0, err
	}
	return hb.Seq, nil
}

// Resync implements CommandSender.
func (s *checkedCluster) Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	return s.deliverToMachine(ctx, addr, func(k *host) bool {
		if term < k.status.Term {
			return false
		}
		k.changed = k.changed || term > k.status.Term
		k.status.Term = term
		return true
	})
}

// deliverToMachine delivers a request to a machine; a hung or slow one applies it late, even
// if its sender has timed out by then.
func (s *checkedCluster) deliverToMachine(
	ctx context.Context, addr string, apply func(*host) bool,
) (*api.Heartbeat, error) {
	s.checker.mu.Lock()
	k := s.checker.hosts[addr]
	s.checker.mu.Unlock()
	if k == nil || s.cloud.terminated(addr) {
		return nil, api.ErrCommandsNotApplied
	}
	k.mu.Lock()
	isUnreachable := k.cut || k.commandsUndelivered
	requestDelay, responseDelay := k.commandDelay, k.commandResponseDelay
	k.mu.Unlock()
	if isUnreachable {
		<-ctx.Done()
		return nil, api.ErrCommandsNotApplied // no connection
	}
	response := make(chan *api.Heartbeat, 1)
	// Controllers call this while the test ends, so tasks does not count it: it waits for
	// nothing once s.ctx has ended.
	go func() {
		sleepUnlessZero(s.ctx, requestDelay)
		k.lockWhenResponsive()
		var hb *api.Heartbeat
		if s.ctx.Err() == nil && !s.cloud.terminated(addr) && apply(k) {
			k.status.Seq++
			status := k.status
			status.Tasks = slices.Clone(k.status.Tasks)
			hb = &status
		}
		k.mu.Unlock()
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
