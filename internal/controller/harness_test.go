package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/standby"
)

// fakeCloud is a cloud that launches nothing by itself; tests script its responses.
type fakeCloud struct {
	mu              sync.Mutex
	types           []api.MachineType
	launches        []cloud.LaunchRequest
	terminatedNames []string
	machines        []cloud.Machine
	// capacity is the number of machines that each launch request gets.
	capacity           int
	loseLaunchResponse bool
	rejectTerminate    bool
	launched           map[string][]string
}

func (f *fakeCloud) Types(context.Context) ([]api.MachineType, error) { return f.types, nil }

func (f *fakeCloud) Launch(_ context.Context, r cloud.LaunchRequest) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.launches = append(f.launches, r)
	if f.capacity == 0 {
		return nil, cloud.ErrNoCapacity
	}
	if f.launched[r.Name] == nil {
		for range min(r.Count, f.capacity) {
			machine := fmt.Sprintf("i-9%05d", len(f.launched)*100+len(f.launched[r.Name]))
			f.launched[r.Name] = append(f.launched[r.Name], machine)
		}
	}
	if f.loseLaunchResponse {
		f.loseLaunchResponse = false
		return nil, errors.New("no response")
	}
	return f.launched[r.Name], nil
}

func (f *fakeCloud) Terminate(_ context.Context, names []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejectTerminate {
		return errors.New("terminate rejected")
	}
	f.terminatedNames = append(f.terminatedNames, names...)
	return nil
}

func (f *fakeCloud) List(context.Context) ([]cloud.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines), nil
}

func (f *fakeCloud) terminated(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.terminatedNames, name)
}

// simulatedCluster is a simulated deployment on a fake clock: nodes, store, cloud and scripted
// machines.
type simulatedCluster struct {
	t     *testing.T
	store *kvtest.Fake
	cloud *fakeCloud
	teams []config.Team
	// commandSender sends commands outside heartbeat responses; nil: none are sent.
	commandSender CommandSender
	// heartbeatS is the heartbeat interval in seconds, at least 1.
	heartbeatS float64
	// cancelS is how long a cancellation may take, in seconds; 0 means 30.
	cancelS float64
	// storeLimits holds the limits of the key-value store as the nodes know them; the zero value
	// means those of a usual site.
	storeLimits config.KVLimits
	// cells and link are set if there are other cells.
	cells      *cells.Settings
	cellClient CellLink
	// standby is set if a failover may elect a leader before the lease of the last one
	// expires.
	standby *standby.Settings
	// zones maps each node to its zone.
	zones map[string]string
	// dead holds the machines that fail probes, tardy those that do not respond to one before
	// it times out.
	dead, unresponsive sync.Map
	// machines maps addresses to scripted machines.
	machines sync.Map
	// ctx ends with the cluster, and ends all nodes; running counts the goroutines that run
	// until then.
	ctx            context.Context
	nodeGoroutines sync.WaitGroup
}

// Probe implements Prober.
func (w *simulatedCluster) Probe(ctx context.Context, addr string) (*api.Heartbeat, error) {
	if _, tardy := w.unresponsive.Load(addr); tardy {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, dead := w.dead.Load(addr); dead {
		return nil, errors.New("no response")
	}
	k, ok := w.machines.Load(addr)
	if !ok {
		return nil, errors.New("no such machine")
	}
	m := k.(*worker)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status.Seq++
	hb := m.status
	hb.Tasks = slices.Clone(m.status.Tasks)
	return &hb, nil
}

// maxRequestDuration is longer than any request of a node takes that has its own timeout.
const maxRequestDuration = 30 * time.Second

// newSimulatedCluster makes a cluster without nodes. At the end of the test, also of one that failed
// half-way, its nodes are stopped and waited for: time stands still once the test's own
// goroutine has returned, and a goroutine that then waits for time is reported as a deadlock.
func newSimulatedCluster(t *testing.T) *simulatedCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	small := api.MachineType{
		Name:      "small",
		CPUs:      4,
		MemoryGB:  16,
		Price:     1,
		SpotPrice: 0.4,
		BootS:     20,
		Zones:     []string{"a", "b"},
	}
	w := &simulatedCluster{
		t:     t,
		ctx:   ctx,
		store: kvtest.New(),
		cloud: &fakeCloud{types: []api.MachineType{small}, launched: map[string][]string{}},
		teams: []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 16}, {Name: "blue", CPUs: 8, LimitCPUs: 8}},
	}
	t.Cleanup(func() {
		cancel()
		w.nodeGoroutines.Wait()
		time.Sleep(maxRequestDuration)
	})
	return w
}

// gate is one node's access to the store, which can be closed for that node alone.
type gate struct {
	*kvtest.Fake
	mu     sync.Mutex
	closed bool
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return kv.ErrNotApplied
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := g.err(); err != nil {
		return kv.Entry{}, err
	}
	return g.Fake.Get(ctx, key)
}

func (g *gate) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	if err := g.err(); err != nil {
		return kv.Result{}, err
	}
	return g.Fake.Txn(ctx, txn)
}

func (g *gate) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	if err := g.err(); err != nil {
		return kv.Page{}, err
	}
	return g.Fake.Range(ctx, prefix, from, limit)
}

func (g *gate) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := g.err(); err != nil {
		return 0, err
	}
	return g.Fake.GrantLease(ctx, ttl)
}

func (g *gate) RenewLease(ctx context.Context, lease uint64) error {
	if err := g.err(); err != nil {
		return err
	}
	return g.Fake.RenewLease(ctx, lease)
}

// Watch blocks while the gate is closed, also if it was called before that: it returns the
// changes it saw meanwhile once the gate is open again.
func (g *gate) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	ch, err := g.Fake.Watch(ctx, prefix, from, block)
	for g.err() != nil {
		select {
		case <-ctx.Done():
			return kv.Changes{}, kv.ErrOutcomeUnknown
		case <-time.After(100 * time.Millisecond):
		}
	}
	return ch, err
}

// node is a controller that can be crashed.
type node struct {
	*Controller
	crash context.CancelFunc
}

// inspectMsg lets a test read the state that the controller's goroutine owns.
type inspectMsg struct {
	f    func(*Controller)
	done chan struct{}
}

func (m inspectMsg) apply(c *Controller) { m.f(c); close(m.done) }

// inspect calls f with the state of a running node.
func (n *node) inspect(f func(*Controller)) {
	if !n.tryInspect(f) {
		panic("inspected a controller that has ended")
	}
}

// tryInspect is look for a node that may end meanwhile; it reports whether f was called.
func (n *node) tryInspect(f func(*Controller)) bool {
	m := inspectMsg{f, make(chan struct{})}
	if n.send(context.Background(), m) != nil {
		return false
	}
	_, err := await(context.Background(), n.Controller, m.done)
	return err == nil
}

func (w *simulatedCluster) start(name string) *node {
	return w.startWith(name, w.store, nil)
}

func (w *simulatedCluster) startWith(name string, st kv.Service, peers PeerClient) *node {
	w.t.Helper()
	pol, err := policy.Parse("", "")
	if err != nil {
		w.t.Fatal(err)
	}
	pol.MinCPUs = 100 // the autoscaler finds no machine to scale in
	log := slog.New(slog.DiscardHandler)
	c := New(Config{
		Settings:      w.settings(name, peers != nil),
		Policy:        pol,
		Store:         st,
		Cloud:         w.cloud,
		Peers:         peers,
		Prober:        w,
		CommandSender: w.commandSender,
		Log:           log,
		Cells:         w.cells,
		CellClient:    w.cellClient,
		Standby:       w.standby,
	})
	elector := &election.Elector{
		Node:          name,
		Incarnation:   fmt.Sprint(time.Now().UnixNano()),
		Store:         st,
		LeaseDuration: pol.LeaderLease,
		RenewInterval: 3 * time.Second,
		Observer:      c,
		Log:           log,
		StepDowns:     c.StepDowns(),
		Resignations:  c.Resignations(),
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.nodeGoroutines.Go(func() { c.Run(ctx) })
	w.nodeGoroutines.Go(func() { elector.Run(ctx) })
	time.Sleep(500 * time.Millisecond)
	return &node{c, cancel}
}

// settings returns the settings of a node, with the other nodes as its peers if it has any.
// Node n2 is part of the cluster only if it has a zone.
func (w *simulatedCluster) settings(name string, hasPeers bool) *config.Settings {
	s := &config.Settings{
		Node: name,
		Zone: w.zones[name],
		Site: config.SiteInfo{
			Teams:      w.teams,
			Objectives: []config.Objective{{Kind: "finished", Class: "c", WithinS: 90}},
			Workers: config.Workers{
				HeartbeatS: max(1, w.heartbeatS),
				LeaseS:     max(10, 5*w.heartbeatS),
				CancelS:    cmp.Or(w.cancelS, 30),
			},
			State:  cmp.Or(w.storeLimits, config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12}),
			Cloud:  config.CloudLimits{RPS: 5, ListLagS: 4},
			Limits: config.Limits{FDLimit: 2400},
		},
	}
	if !hasPeers {
		return s
	}
	for _, other := range []string{"n0", "n1", "n2"} {
		if other != name && (other != "n2" || w.zones["n2"] != "") {
			s.Peers = append(s.Peers, config.Peer{Node: other, Zone: w.zones[other]})
		}
	}
	return s
}

// simulate runs a test on the fake clock with an empty cluster, which ends with the test.
func simulate(t *testing.T, f func(w *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(newSimulatedCluster(t)) })
}

func spec(id string, tasks int) *api.JobSpec {
	return &api.JobSpec{ID: id, Class: "c", Team: "red", Shape: "array", Priority: "low", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", EstimateS: 30, Spot: true}
}

func (w *simulatedCluster) submit(n *node, s *api.JobSpec) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, _, err := n.Submit(ctx, s); err != nil {
		w.t.Fatalf("submit %s: %v", s.ID, err)
	}
	time.Sleep(200 * time.Millisecond)
}

// phase is a job's phase as a node answers it to a user, or the error's text.
func (w *simulatedCluster) phase(n *node, id string) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	st, err := n.Job(ctx, id)
	if err != nil {
		return err.Error()
	}
	return st.Phase
}

// worker is a scripted worker agent. Its heartbeats are sent by the test.
type worker struct {
	cluster *simulatedCluster
	mu      sync.Mutex
	status  api.Heartbeat
}

func (w *simulatedCluster) worker(name, zone string, spot bool) *worker {
	k := &worker{cluster: w, status: api.Heartbeat{
		Machine:    name,
		Addr:       name,
		Type:       "small",
		Zone:       zone,
		Spot:       spot,
		AgentEpoch: 1,
	}}
	w.machines.Store(name, k)
	return k
}

// heartbeatReceiver is a node of any version as worker agents reach it.
type heartbeatReceiver interface {
	Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error)
}

// heartbeat sends a heartbeat and applies the commands of its response, as an agent does.
func (k *worker) heartbeat(n heartbeatReceiver) []api.Command {
	commands, err := k.sendHeartbeat(n)
	if err != nil {
		return nil
	}
	k.applyCommands(commands)
	return commands
}

// sendHeartbeat sends a heartbeat; the commands of its response are lost unless the test applies them.
func (k *worker) sendHeartbeat(n heartbeatReceiver) ([]api.Command, error) {
	k.mu.Lock()
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	k.mu.Unlock()
	return k.deliver(n, &hb)
}

// deliver sends a given heartbeat, which may be a copy of an earlier one. A response with an
// earlier fencing token is rejected.
func (k *worker) deliver(n heartbeatReceiver, hb *api.Heartbeat) ([]api.Command, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	response, err := n.Heartbeat(ctx, hb)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil && response.Term >= k.status.Term {
		k.status.Term = response.Term
		return response.Commands, nil
	}
	return nil, errors.Join(err, errors.New("response rejected"))
}

// applyCommands applies commands as an agent does.
func (k *worker) applyCommands(commands []api.Command) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyCommandsLocked(commands)
}

// applyCommandsLocked is obey with the lock held.
func (k *worker) applyCommandsLocked(commands []api.Command) {
	for _, cmd := range commands {
		i := taskIndex(k.status.Tasks, cmd)
		switch {
		case cmd.Verb == api.VerbStart && i < 0:
			started := api.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, Phase: api.TaskRunning}
			k.status.Tasks = append(k.status.Tasks, started)
		case cmd.Verb == api.VerbStop && i >= 0:
			k.status.Tasks[i].Phase, k.status.Tasks[i].Cause = api.TaskExited, api.CauseHalted
		case cmd.Verb == api.VerbReap && i >= 0:
			k.status.Tasks = slices.Delete(k.status.Tasks, i, i+1)
		}
	}
}

// taskIndex returns the index of the attempt that a command names, or -1.
func taskIndex(tasks []api.TaskStatus, cmd api.Command) int {
	return slices.IndexFunc(tasks, func(t api.TaskStatus) bool {
		return t.Task == cmd.Task && t.Attempt == cmd.Attempt
	})
}

// heartbeatFor sends a heartbeat once a second for some seconds.
func (k *worker) heartbeatFor(n heartbeatReceiver, seconds int) {
	for range seconds {
		k.heartbeat(n)
		time.Sleep(time.Second)
	}
}

// exit ends every running task with the given cause.
func (k *worker) exit(cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		if k.status.Tasks[i].Phase == api.TaskRunning {
			k.status.Tasks[i].Phase, k.status.Tasks[i].Cause = api.TaskExited, cause
		}
	}
}

// running lists the tasks on the machine that have not exited.
func (k *worker) running() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, t := range k.status.Tasks {
		if t.Phase != api.TaskExited {
			out = append(out, t.Task)
		}
	}
	slices.Sort(out)
	return out
}

// checkEqual fails the test unless got and want are equal as JSON.
func (w *simulatedCluster) checkEqual(what string, got, want any) {
	w.t.Helper()
	g, _ := json.Marshal(got)
	e, _ := json.Marshal(want)
	if string(g) != string(e) {
		w.t.Errorf("%s: got %s, want %s", what, g, e)
	}
}
