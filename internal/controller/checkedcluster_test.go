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
	*cluster
	h *runChecker
	// ctx ends when the test does, before the nodes do; tasks are the goroutines of machines,
	// users and injected faults, which end with it.
	ctx   context.Context
	tasks sync.WaitGroup

	mu    sync.Mutex
	links *links
	names []string
	nodes map[string]*node
	gates map[string]*slowGate
	hosts []*host
}

// slowGate is an access to the store over which a page of a range takes a while.
type slowGate struct{ *gate }

func (g *slowGate) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	page, err := g.gate.Range(ctx, prefix, from, limit)
	idle(ctx, 150*time.Millisecond)
	return page, err
}

// simulateChecked runs a test with two controllers; the first leads.
func simulateChecked(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 0, f)
	})
}

// simulateSeldom is simulateChecked with machines that send a heartbeat every 5 s, and so get
// their starts in command batches.
func simulateSeldom(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 5, f)
	})
}

func newCheckedCluster(t *testing.T, machines int, reportS float64, f func(s *checkedCluster)) {
	t.Helper()
	w := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &checkedCluster{
		cluster: w,
		ctx:     ctx,
		links:   &links{},
		names:   []string{"n0", "n1"},
		nodes:   map[string]*node{},
		gates:   map[string]*slowGate{},
	}
	w.reportS = reportS
	w.director = s
	s.h = &runChecker{
		w:     w,
		t0:    time.Now(),
		jobs:  map[string]*observedJob{},
		runs:  map[run]bool{},
		hosts: map[string]*host{},
	}
	defer func() {
		cancel()
		s.tasks.Wait()
	}()
	s.tasks.Go(s.runMachines)
	s.begin("n0")
	s.begin("n1")
	for i := range machines {
		s.add(fmt.Sprint("i-", i+1), []string{"a", "b"}[i%2], false)
	}
	time.Sleep(2*time.Second + 1500*time.Millisecond*time.Duration(reportS))
	f(s)
}

// begin starts a controller.
func (s *checkedCluster) begin(name string) {
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

func (s *checkedCluster) node(name string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// leader is the name of the node that leads, or "".
func (s *checkedCluster) leader() string {
	for _, name := range s.names {
		if n := s.node(name); n != nil {
			leads := false
			n.tryInspect(func(c *Controller) { leads = c.holdsLease() && c.leaderTerm.loaded })
			if leads {
				return name
			}
		}
	}
	return ""
}

// handOver makes the other controller lead: the store rejects the requests of the leader alone
// for a while.
func (s *checkedCluster) handOver() {
	if name := s.leader(); name != "" {
		s.gates[name].set(true)
		s.tasks.Go(func() {
			idle(s.ctx, 8*time.Second)
			s.gates[name].set(false)
		})
	}
}

// restart ends the leader, and starts it again after a while.
func (s *checkedCluster) restart(after time.Duration) {
	if name := s.leader(); name != "" {
		s.crash(name)
		time.Sleep(after)
		s.begin(name)
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

// order submits a job each of whose tasks runs for a given time.
func (s *checkedCluster) order(takes time.Duration, spec *api.JobSpec) {
	s.t.Helper()
	s.h.mu.Lock()
	s.h.jobs[spec.ID] = &observedJob{spec: spec, takes: takes, starts: map[string]int{}, done: map[string]int{}}
	s.h.mu.Unlock()
	s.retryRequest("submit "+spec.ID, spec.Tasks, func(ctx context.Context, n *node) error {
		_, _, err := n.Submit(ctx, spec)
		return err
	})
}

// cancel cancels jobs, as users do at the same time.
func (s *checkedCluster) cancel(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.h.mu.Lock()
		s.h.jobs[id].cancelRequestedAt = time.Now()
		s.h.mu.Unlock()
		s.tasks.Go(func() {
			s.retryRequest("cancel "+id, int(id[len(id)-1]), func(ctx context.Context, n *node) error {
				st, err := n.Cancel(ctx, id)
				if err == nil {
					s.h.recordPhase(id, st.Phase)
				}
				return err
			})
		})
	}
}

// settle says that all faults are healed, and waits until all jobs have ended.
func (s *checkedCluster) settle(within time.Duration) {
	s.t.Helper()
	s.h.mu.Lock()
	s.h.healed = true
	ids := slices.Sorted(maps.Keys(s.h.jobs))
	s.h.mu.Unlock()
	deadline := time.Now().Add(within)
	for _, id := range ids {
		for last := ""; ; {
			if n := s.node(s.names[0]); n != nil {
				last = s.phase(n, id)
				if last == api.JobDone || last == api.JobCancelled {
					s.h.recordPhase(id, last)
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

// add adds a machine that is up from now on.
func (s *checkedCluster) add(name, zone string, spot bool) *host {
	k := &host{
		worker:           s.worker(name, zone, spot),
		s:                s,
		remaining:        map[run]time.Duration{},
		lastAcknowledged: time.Now(),
		nextHeartbeat:    time.Now(),
	}
	s.h.mu.Lock()
	s.h.hosts[name] = k
	s.hosts = append(s.hosts, k)
	s.h.mu.Unlock()
	return k
}

// runMachines runs all machines until the test ends. One clock drives them all: the race
// detector cannot follow a bubble with very many timers.
func (s *checkedCluster) runMachines() {
	for s.ctx.Err() == nil {
		s.h.mu.Lock()
		hosts := slices.Clone(s.hosts)
		s.h.mu.Unlock()
		for _, k := range hosts {
			k.step(time.Now())
		}
		s.h.checkRuns()
		idle(s.ctx, tick)
	}
}

// holders lists the machines on which a job's tasks are.
func (s *checkedCluster) holders(job string) (ks []*host) {
	for _, k := range s.hosts {
		s.h.mu.Lock()
		s.h.dropTerminated()
		for r := range s.h.runs {
			if r.machine == k.rep.Machine && r.job() == job && !slices.Contains(ks, k) {
				ks = append(ks, k)
			}
		}
		s.h.mu.Unlock()
	}
	return ks
}

// SendCommands implements CommandSender.
func (s *checkedCluster) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	hb, err := s.deliverToMachine(ctx, addr, func(k *host) bool {
		if batch.Term < k.rep.Term || batch.AgentEpoch != k.rep.AgentEpoch {
			return false
		}
		k.changed = k.changed || batch.Term > k.rep.Term
		k.rep.Term = batch.Term
		k.obey(batch.Commands)
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
		if term < k.rep.Term {
			return false
		}
		k.changed = k.changed || term > k.rep.Term
		k.rep.Term = term
		return true
	})
}

// deliverToMachine delivers a request to a machine; a hung or slow one applies it late, even
// if its sender has timed out by then.
func (s *checkedCluster) deliverToMachine(
	ctx context.Context, addr string, apply func(*host) bool,
) (*api.Heartbeat, error) {
	s.h.mu.Lock()
	k := s.h.hosts[addr]
	s.h.mu.Unlock()
	if k == nil || s.cloud.gone(addr) {
		return nil, api.ErrCommandsNotApplied
	}
	k.mu.Lock()
	closed, orderDelay, answerDelay := k.cut || k.deaf, k.orderDelay, k.answerDelay
	k.mu.Unlock()
	if closed {
		<-ctx.Done()
		return nil, api.ErrCommandsNotApplied // no connection
	}
	out := make(chan *api.Heartbeat, 1)
	// Controllers call this while the test ends, so tasks does not count it: it waits for
	// nothing once s.ctx has ended.
	go func() {
		idle(s.ctx, orderDelay)
		k.lockWhenResponsive()
		var hb *api.Heartbeat
		if s.ctx.Err() == nil && !s.cloud.gone(addr) && apply(k) {
			k.rep.Seq++
			own := k.rep
			own.Tasks = slices.Clone(k.rep.Tasks)
			hb = &own
		}
		k.mu.Unlock()
		idle(s.ctx, answerDelay)
		out <- hb
	}()
	select {
	case hb := <-out:
		if hb == nil {
			return nil, api.ErrCommandsNotApplied
		}
		return hb, nil
	case <-ctx.Done():
		return nil, api.ErrCommandsOutcomeUnknown
	}
}
