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
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/standby"
)

// simulatedCluster is a deployment on a fake clock: controllers, an in-memory store, a fake cloud
// and scripted machines.
type simulatedCluster struct {
	t     *testing.T
	store *kvtest.Fake
	cloud *fakeCloud
	teams []config.Team
	// commandSender sends commands outside heartbeat responses; with nil, commands are sent only in
	// heartbeat responses.
	commandSender CommandSender
	// heartbeatS is the heartbeat interval in seconds; values below 1 mean 1.
	heartbeatS float64
	// cancelS is the maximum time in seconds that a cancellation may take; 0 means 30.
	cancelS float64
	// noMinCPUs is set if the autoscaler of new nodes is to keep no minimum of machines.
	noMinCPUs bool
	// listLagS is the usual lag in seconds of the cloud's list; 0 means 4.
	listLagS float64
	// storeLimits holds the key-value store limits in the settings of the nodes; the zero value
	// means the defaults in the settings method.
	storeLimits config.KVLimits
	// cells and cellClient are set if there are other cells.
	cells      *cells.Settings
	cellClient CellLink
	// standby is set if failover is enabled, which may elect a leader before the lease of the
	// previous one expires.
	standby *standby.Settings
	// zones maps each node to its zone.
	zones map[string]string
	// dead holds the machines whose probes fail at once; unresponsive holds those whose probes
	// time out.
	dead, unresponsive sync.Map
	// machines maps addresses to scripted machines.
	machines sync.Map
	// tokensPerTerm is the minimum number of fencing tokens that each term of the nodes has.
	tokensPerTerm uint64
	// late delivers copies of messages of the nodes that are started; nil if there are none.
	late *lateMessages
	// wantContradictions is how often each node is to contradict an acknowledgement of its own.
	wantContradictions int64
	// controllers are the processes of nodes that were started.
	controllersMu sync.Mutex
	controllers   []*Controller
	// ctx is cancelled at the end of the test, which stops all nodes.
	ctx context.Context
	// nodeGoroutines counts the goroutines of the nodes, which run until the node crashes or ctx is
	// cancelled.
	nodeGoroutines sync.WaitGroup
}

// Probe implements Prober.
func (w *simulatedCluster) Probe(ctx context.Context, addr string) (*api.Heartbeat, error) {
	if _, unresponsive := w.unresponsive.Load(addr); unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, dead := w.dead.Load(addr); dead {
		return nil, fmt.Errorf("probe %s: machine is dead", addr)
	}
	value, ok := w.machines.Load(addr)
	if !ok {
		return nil, fmt.Errorf("probe %s: no machine has this address", addr)
	}
	agent := value.(*worker)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.status.Seq++
	hb := agent.status
	hb.Tasks = slices.Clone(agent.status.Tasks)
	return &hb, nil
}

// maxRequestDuration is longer than the timeout of any request that a node sends.
const maxRequestDuration = 30 * time.Second

// newSimulatedCluster creates a cluster without nodes. When the test ends, even if it fails early,
// the cleanup stops the nodes and waits for them: the fake clock stops once the test's main
// goroutine has returned, and synctest reports goroutines that then still wait on timers as
// deadlocked.
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
		if w.late != nil {
			w.late.goroutines.Wait()
		}
		time.Sleep(maxRequestDuration)
		w.checkAnswers()
	})
	return w
}

func (w *simulatedCluster) addController(c *Controller) {
	w.controllersMu.Lock()
	defer w.controllersMu.Unlock()
	w.controllers = append(w.controllers, c)
}

// checkAnswers checks that no node failed to find a job that it had acknowledged.
func (w *simulatedCluster) checkAnswers() {
	for _, c := range w.controllers {
		if count := c.answers.counts.contradictions.Load(); count != w.wantContradictions {
			w.t.Errorf("%s: got %d contradictions, want %d", c.Settings.Node, count, w.wantContradictions)
		}
	}
}

// gate is one node's connection to the key-value store. While it is closed, the store is
// unreachable for that node alone.
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

// err returns the error for a request sent now: kv.ErrNotApplied if the gate is closed, else nil.
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

// Watch returns no response while the gate is closed, even if the gate was closed after the call.
// Once the gate is open again, it returns the changes that the store reported in the meantime.
func (g *gate) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	changes, err := g.Fake.Watch(ctx, prefix, from, block)
	for g.err() != nil {
		select {
		case <-ctx.Done():
			return kv.Changes{}, kv.ErrOutcomeUnknown
		case <-time.After(100 * time.Millisecond):
		}
	}
	return changes, err
}

// node is a controller that can be crashed.
type node struct {
	*Controller
	crash context.CancelFunc
}

// inspectMsg calls f on the controller's owner goroutine, so that tests can access its state.
type inspectMsg struct {
	f    func(*Controller)
	done chan struct{}
}

func (m inspectMsg) apply(c *Controller) { m.f(c); close(m.done) }

// inspect calls f on the owner goroutine of a running node.
func (n *node) inspect(f func(*Controller)) {
	if !n.tryInspect(f) {
		panic("inspect: the controller has stopped")
	}
}

// tryInspect is like inspect for a node that may have stopped; it reports whether f was called.
func (n *node) tryInspect(f func(*Controller)) bool {
	m := inspectMsg{f, make(chan struct{})}
	if n.send(context.Background(), m) != nil {
		return false
	}
	_, err := await(context.Background(), n.Controller, m.done)
	return err == nil
}

// cancelFromRecords cancels a job as a node of the version in production does: it decides from the records
// alone.
func (n *node) cancelFromRecords(ctx context.Context, id string) (api.JobState, error) {
	state, found, err := n.records.Cancel(ctx, id)
	switch {
	case err == nil && !found:
		err = api.ErrUnknownJob
	case err == nil:
		err = n.publishFinalState(ctx, state)
	}
	return state, err
}

// start starts a node that has no peers.
func (w *simulatedCluster) start(name string) *node {
	return w.startWith(name, w.store, nil)
}

// startWith starts a node with its own access to the store and, unless peers is nil, with the other
// nodes as its peers. It returns after the node has had time to be elected.
func (w *simulatedCluster) startWith(name string, store kv.Service, peers PeerClient) *node {
	w.t.Helper()
	currentPolicy, err := policy.Parse("", "")
	if err != nil {
		w.t.Fatal(err)
	}
	currentPolicy.MinCPUs = 100 // keeps the autoscaler from terminating machines
	if w.noMinCPUs {
		currentPolicy.MinCPUs, currentPolicy.Headroom = 0, 0
	}
	log := slog.New(slog.DiscardHandler)
	nodeConfig := Config{
		Settings:      w.settings(name, peers != nil),
		Policy:        currentPolicy,
		Store:         store,
		Cloud:         w.cloud,
		Peers:         peers,
		Prober:        w,
		CommandSender: w.commandSender,
		Log:           log,
		Cells:         w.cells,
		CellClient:    w.cellClient,
		Standby:       w.standby,
	}
	w.addLateMessages(&nodeConfig)
	c := New(nodeConfig)
	w.addController(c)
	elector := &election.Elector{
		Node:          name,
		Incarnation:   fmt.Sprint(time.Now().UnixNano()),
		Store:         nodeConfig.Store,
		LeaseDuration: currentPolicy.LeaderLease,
		RenewInterval: 3 * time.Second,
		TokensPerTerm: max(w.tokensPerTerm, TokensPerTerm(c.Settings.Site.Workers)),
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

// settings returns the settings of a node, with the other nodes as its peers if hasPeers is set.
// The cluster has the nodes n0 and n1, and also n2 if zones has an entry for it.
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
			Cloud:  config.CloudLimits{RPS: 5, ListLagS: cmp.Or(w.listLagS, 4)},
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

// simulate runs f on a fake clock with a cluster that has no nodes yet and is stopped when f
// returns.
func simulate(t *testing.T, f func(w *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(newSimulatedCluster(t)) })
}

// spec returns a valid job of team red whose tasks need one CPU each.
func spec(id string, tasks int) *api.JobSpec {
	return &api.JobSpec{ID: id, Class: "c", Team: "red", Shape: "array", Priority: "low", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", EstimateS: 30, Spot: true}
}

// submit submits a job to a node and fails the test if the node rejects it.
func (w *simulatedCluster) submit(n *node, s *api.JobSpec) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, _, err := n.Submit(ctx, s); err != nil {
		w.t.Fatalf("submit %s: %v", s.ID, err)
	}
	time.Sleep(200 * time.Millisecond)
}

// phase returns the phase of a job that a node reports to a user, or the text of the error.
func (w *simulatedCluster) phase(n *node, id string) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	state, err := n.Job(ctx, id)
	if err != nil {
		return err.Error()
	}
	return state.Phase
}

// worker is a scripted worker agent; the test decides when it sends heartbeats.
type worker struct {
	cluster *simulatedCluster
	mu      sync.Mutex
	status  api.Heartbeat
}

// worker adds a scripted worker agent whose machine has type small.
func (w *simulatedCluster) worker(name, zone string, spot bool) *worker {
	agent := &worker{cluster: w, status: api.Heartbeat{
		Machine:    name,
		Addr:       name,
		Type:       "small",
		Zone:       zone,
		Spot:       spot,
		AgentEpoch: 1,
	}}
	w.machines.Store(name, agent)
	return agent
}

// heartbeatReceiver is the part of a node, of any version, to which worker agents send heartbeats.
type heartbeatReceiver interface {
	Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error)
}

// heartbeat sends a heartbeat and applies the commands in the response, as an agent does. It
// returns the commands, or nil if there was no valid response.
func (k *worker) heartbeat(n heartbeatReceiver) []api.Command {
	commands, err := k.sendHeartbeat(n)
	if err != nil {
		return nil
	}
	k.applyCommands(commands)
	return commands
}

// sendHeartbeat sends a heartbeat and returns the commands in the response. They are lost unless
// the test applies them.
func (k *worker) sendHeartbeat(n heartbeatReceiver) ([]api.Command, error) {
	k.mu.Lock()
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	k.mu.Unlock()
	return k.deliver(n, &hb)
}

// deliver sends the given heartbeat, which may be a copy of an earlier one, and returns the
// commands in the response. It rejects a response whose fencing token is lower than the agent's.
func (k *worker) deliver(n heartbeatReceiver, hb *api.Heartbeat) ([]api.Command, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	response, err := n.Heartbeat(ctx, hb)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil && response.Token >= k.status.Token {
		k.status.Token = response.Token
		return response.Commands, nil
	}
	return nil, errors.Join(err, fmt.Errorf("heartbeat of %s: response rejected", hb.Machine))
}

// applyCommands applies commands as an agent does.
func (k *worker) applyCommands(commands []api.Command) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyCommandsLocked(commands)
}

// applyCommandsLocked is applyCommands for a caller that holds the lock.
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

// heartbeatFor sends a heartbeat every second, and applies the commands in the responses, for the
// given number of seconds.
func (k *worker) heartbeatFor(n heartbeatReceiver, seconds int) {
	for range seconds {
		k.heartbeat(n)
		time.Sleep(time.Second)
	}
}

// exit makes every running task exit with the given cause.
func (k *worker) exit(cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		if k.status.Tasks[i].Phase == api.TaskRunning {
			k.status.Tasks[i].Phase, k.status.Tasks[i].Cause = api.TaskExited, cause
		}
	}
}

// running returns the sorted names of the tasks on the machine that have not exited.
func (k *worker) running() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tasks []string
	for _, t := range k.status.Tasks {
		if t.Phase != api.TaskExited {
			tasks = append(tasks, t.Task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// checkEqual reports a test error unless the JSON encodings of got and want are equal.
func (w *simulatedCluster) checkEqual(what string, got, want any) {
	w.t.Helper()
	gotJSON, _ := json.Marshal(got)
	wantJSON, _ := json.Marshal(want)
	if string(gotJSON) != string(wantJSON) {
		w.t.Errorf("%s: got %s, want %s", what, gotJSON, wantJSON)
	}
}
