package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/relay"
)

// The records as the version in production knows them, the first that others had to work
// beside, as far as a scripted node needs them. The golden tests hold all their fields.
// Whatever else a record holds is ignored, as that version does.
type oldSpec struct {
	ID        string  `json:"NameId"`
	Class     string  `json:"Jobclass"`
	Team      string  `json:"Owner"`
	Shape     string  `json:"Shape"`
	Priority  string  `json:"Precedence"`
	Tasks     int     `json:"Shoots"`
	CPUs      float64 `json:"Cores"`
	GPUs      float64 `json:"Cards"`
	MemoryGB  float64 `json:"MemoryGb"`
	Image     string  `json:"Rootstock"`
	ImageGB   float64 `json:"PullGb"`
	Spot      bool    `json:"Windfall,omitempty"`
	EstimateS float64 `json:"ExpectS"`
}

type oldActiveRecord struct {
	Spec     oldSpec   `json:"spec"`
	Accepted time.Time `json:"accepted"`
}

type oldTerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

type oldCompletionRecord struct {
	Done []byte `json:"done"`
}

type oldShard struct {
	Machines []oldMachineRecord `json:"machines"`
}

type oldMachineRecord struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"memory_gb"`
}

type oldLeaseExtension struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

type oldLeaderRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

type oldTerm struct {
	Number uint64 `json:"number"`
}

type oldPart struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}

// oldNode is a scripted node of the version in production: what the other nodes, the store,
// users and machines see of one. It knows no dependencies of jobs, and what it does not know
// it neither applies nor writes.
type oldNode struct {
	sim         *simulatedCluster
	name        string
	store       *gate
	links       *links
	incarnation string
	startedAt   time.Time
	// skippedRecords are the records without a team or tasks, which the version in production
	// logs and skips; each other one must be readable.
	skippedRecords []string

	mu sync.Mutex
	// cancellationLog has the cancellations in the order in which it learned of them.
	cancellationLog []string
	// kvReachableSince is since when the store has responded; zero: it does not.
	kvReachableSince time.Time
	leader           string
	leaderTerm       *oldLeaderTerm
	// logPositions are up to where it has read the other nodes' cancellation logs.
	logPositions map[string]cancellation.Position

	// What follows is its state as a follower in a network partition.
	missedPings       int
	verifiedAt        time.Time
	term              uint64
	modRevision       uint64
	activeJobs        map[string]bool
	renewedMachines   map[string]time.Time
	relayedHeartbeats map[string]*api.Heartbeat
	relayedCommands   map[string]*peer.RelayOrders
	outcomes          []*peer.RelayOutcome
	uplinkBatch       uint64
	downlinkBatch     uint64
	// uplinkRecords is the number of records into which it packs a batch; 0: it relays nothing.
	uplinkRecords int
}

// startOld starts a scripted node of the version in production.
func (w *simulatedCluster) startOld(name string, st *gate, l *links) *oldNode {
	o := &oldNode{
		sim:               w,
		name:              name,
		store:             st,
		links:             l,
		startedAt:         time.Now(),
		incarnation:       fmt.Sprint("old", time.Now().UnixNano()),
		logPositions:      map[string]cancellation.Position{},
		renewedMachines:   map[string]time.Time{},
		relayedHeartbeats: map[string]*api.Heartbeat{},
		relayedCommands:   map[string]*peer.RelayOrders{},
		uplinkRecords:     1,
	}
	l.nodes.Store(name, o)
	w.running.Go(func() {
		for w.ctx.Err() == nil && o.running() {
			o.tick(w.ctx)
			sleep(w.ctx, 200*time.Millisecond)
		}
	})
	return o
}

// crash ends the process: it neither responds nor writes any more.
func (o *oldNode) crash() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.links == nil {
		return
	}
	o.links.nodes.CompareAndDelete(o.name, linked(o))
	o.links, o.leaderTerm = nil, nil
}

func (o *oldNode) running() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.links != nil
}

// inspect calls f with the node's state.
func (o *oldNode) inspect(f func(o *oldNode)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

func (o *oldNode) leads() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaderTerm != nil
}

// otherNodes are the names of the other nodes.
func (o *oldNode) otherNodes() []string {
	return slices.DeleteFunc([]string{"n0", "n1"}, func(name string) bool { return name == o.name })
}

// tick does what the node does five times a second.
func (o *oldNode) tick(ctx context.Context) {
	o.ping(ctx)
	lt, ch := o.watch(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	e, err := o.store.Get(ctx, "leader")
	switch {
	case o.links == nil:
		return
	case err != nil:
		o.kvReachableSince = time.Time{}
	case o.kvReachableSince.IsZero():
		o.kvReachableSince = time.Now()
	}
	if err != nil {
		return
	}
	var record oldLeaderRecord
	if e.ModRevision != 0 && json.Unmarshal(e.Value, &record) != nil {
		o.sim.t.Error("leader key cannot be read")
	}
	o.leader = record.Node
	switch {
	case e.ModRevision == 0 || record.Node == o.name && (o.leaderTerm == nil || record.Incarnation != o.incarnation):
		o.takeOver(ctx, e.ModRevision)
	case record.Node != o.name:
		o.leaderTerm = nil
		if o.missedPings > 2 {
			o.renewAndRelay(ctx)
		}
	case o.leaderTerm == lt:
		lt.tick(ctx, ch)
	}
}

// watch returns the changes of the active jobs for the present leader term. The lock must not
// be held while time passes: others would wait for it outside the fake clock.
func (o *oldNode) watch(ctx context.Context) (*oldLeaderTerm, kv.Changes) {
	o.mu.Lock()
	r, from := o.leaderTerm, uint64(0)
	if r != nil {
		from = r.watchedRevision
	}
	o.mu.Unlock()
	if r == nil {
		return nil, kv.Changes{}
	}
	wctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	ch, err := o.store.Watch(wctx, "a/", from, 50*time.Millisecond)
	if err != nil {
		return r, kv.Changes{}
	}
	return r, ch
}

// ping requests from the other nodes the cancellations that they have learned of.
func (o *oldNode) ping(ctx context.Context) {
	o.mu.Lock()
	l := o.links
	o.mu.Unlock()
	if l == nil {
		return
	}
	for _, name := range o.otherNodes() {
		pctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		o.mu.Lock()
		from := o.logPositions[name]
		o.mu.Unlock()
		st, err := l.Ping(pctx, name, from)
		cancel()
		o.mu.Lock()
		if o.missedPings++; err == nil {
			o.missedPings = 0
			if st.Incarnation == from.Incarnation && st.Cancellations.First != from.Number+1 {
				// It would discard what it knew of the log.
				o.sim.t.Errorf("%s: got a log from %d on, want %d", name, st.Cancellations.First, from.Number+1)
			}
			o.logPositions[name] = cancellation.Position{
				Incarnation: st.Incarnation,
				Number:      st.Cancellations.First + uint64(len(st.Cancellations.IDs)) - 1,
			}
			for _, id := range st.Cancellations.IDs {
				o.recordCancellation(id)
			}
		}
		o.mu.Unlock()
	}
}

// recordCancellation appends a cancellation to the log, and drops the job.
func (o *oldNode) recordCancellation(id string) {
	if !slices.Contains(o.cancellationLog, id) {
		o.cancellationLog = append(o.cancellationLog, id)
	}
	if o.leaderTerm == nil {
		return
	}
	if j := o.leaderTerm.jobs[id]; j != nil {
		for key := range j.completionKeys {
			o.leaderTerm.staleRecordDeletes = append(o.leaderTerm.staleRecordDeletes, kv.Op{Delete: key})
		}
		delete(o.leaderTerm.jobs, id)
	}
}

// PeerStatus implements linked.
func (o *oldNode) PeerStatus(_ context.Context, from cancellation.Position) (membership.PeerStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := membership.PeerStatus{Leader: o.leader, Incarnation: o.incarnation, CancellationsKnownAge: -1}
	if !o.kvReachableSince.IsZero() {
		st.KVReachableFor = max(time.Since(o.kvReachableSince), time.Millisecond)
	}
	if o.leaderTerm != nil {
		st.Term, st.CancellationsKnownAge = o.leaderTerm.term, 0
	}
	if from.Incarnation != o.incarnation {
		from.Number = 0
	}
	n := min(from.Number, uint64(len(o.cancellationLog)))
	st.Cancellations = cancellation.Delta{
		IDs:         slices.Clone(o.cancellationLog[n:]),
		First:       n + 1,
		CompleteFor: time.Since(o.startedAt),
	}
	return st, nil
}

// LeaderResigned implements linked.
func (o *oldNode) LeaderResigned(ctx context.Context, node string, _ uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, err := o.store.Get(ctx, "leader"); err == nil && o.links != nil && o.leader == node {
		o.takeOver(ctx, e.ModRevision)
	}
	return nil
}

// resign hands over to another node.
func (o *oldNode) resign(to string) {
	o.mu.Lock()
	r, l := o.leaderTerm, o.links
	o.leaderTerm, o.leader = nil, to
	o.mu.Unlock()
	if err := l.Resign(context.Background(), to, o.name, r.term); err != nil {
		o.sim.t.Error(err)
	}
	time.Sleep(time.Second)
}

// PeerJob implements linked: it reads the store.
func (o *oldNode) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	return o.Job(ctx, id)
}

// Job is the state of a job as its users get it. A record under a/ that is deleted between the
// two reads is under f/ by then.
func (o *oldNode) Job(ctx context.Context, id string) (api.JobState, error) {
	for _, prefix := range []string{"a/", "f/"} {
		e, err := o.store.Get(ctx, prefix+id)
		if err != nil {
			return api.JobState{}, err
		}
		var f oldTerminalRecord
		switch {
		case e.ModRevision == 0:
		case prefix == "a/":
			return api.JobState{ID: id, Phase: "pending"}, nil
		default:
			if err := json.Unmarshal(e.Value, &f); err != nil {
				return api.JobState{}, err
			}
			if f.Phase == api.JobCancelled {
				o.mu.Lock()
				o.recordCancellation(id)
				o.mu.Unlock()
			}
			return api.JobState{ID: id, Phase: f.Phase}, nil
		}
	}
	return api.JobState{}, api.ErrUnknownJob
}

// submit accepts a job. It knows no field for dependencies.
func (o *oldNode) submit(s *api.JobSpec) {
	o.sim.t.Helper()
	rec := oldActiveRecord{
		Spec: oldSpec{
			ID:        s.ID,
			Class:     s.Class,
			Team:      s.Team,
			Shape:     s.Shape,
			Priority:  s.Priority,
			Tasks:     s.Tasks,
			CPUs:      s.CPUs,
			GPUs:      s.GPUs,
			MemoryGB:  s.MemoryGB,
			Image:     s.Image,
			ImageGB:   s.ImageGB,
			Spot:      s.Spot,
			EstimateS: s.EstimateS,
		},
		Accepted: time.Now().UTC(),
	}
	res, err := o.store.Txn(context.Background(), kv.Txn{Compares: []kv.Compare{{Key: "a/" + s.ID}, {Key: "f/" + s.ID}},
		Ops: []kv.Op{{Put: "a/" + s.ID, Value: rec}}})
	if err != nil || !res.Succeeded {
		o.sim.t.Fatal("submit", s.ID, res, err)
	}
	time.Sleep(200 * time.Millisecond)
}

// cancel cancels a job by its own transaction, and returns its final phase.
func (o *oldNode) cancel(id string) string {
	ctx := context.Background()
	for {
		e, err := o.store.Get(ctx, "a/"+id)
		if err != nil {
			o.sim.t.Fatal("cancel", id, err)
		}
		if e.ModRevision == 0 {
			st, _ := o.Job(ctx, id)
			return st.Phase
		}
		var rec oldActiveRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			o.sim.t.Fatal(err)
		}
		res, err := o.store.Txn(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
			Ops: []kv.Op{
				{Put: "a/!cancel", Value: id},
				{Put: "f/" + id, Value: oldTerminalRecord{Phase: "withdrawn", Tasks: rec.Spec.Tasks}},
				{Delete: e.Key},
			},
		})
		if err == nil && res.Succeeded {
			o.mu.Lock()
			o.recordCancellation(id)
			o.mu.Unlock()
			return api.JobCancelled
		}
	}
}

// oldLeaderTerm is its state as leader of one term.
type oldLeaderTerm struct {
	node                               *oldNode
	term, modRevision, watchedRevision uint64
	leaderLease                        uint64
	jobs                               map[string]*oldJob
	machines                           map[string]*oldMachine
	// shards are the keys of the registry that it has read or written, with the machines on them.
	shards        map[string][]string
	shardsWritten int
	lastAttempt   uint64
	renewedAt     time.Time
	// staleRecordDeletes deletes the completion records of jobs that have ended.
	staleRecordDeletes []kv.Op
}

type oldJob struct {
	spec        oldSpec
	modRevision uint64
	done        map[int]bool
	// machineOf is the machine of each task that is on one.
	machineOf map[int]string
	// completionKeys are the keys of its completion records.
	completionKeys map[string]bool
}

type oldMachine struct {
	record          oldMachineRecord
	agentEpoch, seq uint64
	fenced          bool
}

// takeOver begins a leader term: it writes the leader key under a lease and the next term in
// one transaction, and then reads the records.
func (o *oldNode) takeOver(ctx context.Context, leaderModRevision uint64) {
	e, err := o.store.Get(ctx, "term")
	var t oldTerm
	if err != nil || e.ModRevision != 0 && json.Unmarshal(e.Value, &t) != nil {
		return
	}
	t.Number++
	lease, err := o.store.GrantLease(ctx, 30*time.Second)
	if err != nil {
		return
	}
	res, err := o.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: "leader", ModRevision: leaderModRevision},
			{Key: "term", ModRevision: e.ModRevision},
		},
		Ops: []kv.Op{
			{Put: "leader", Value: oldLeaderRecord{Node: o.name, Incarnation: o.incarnation}, Lease: lease},
			{Put: "term", Value: t},
		},
	})
	if err != nil || !res.Succeeded {
		return
	}
	r := &oldLeaderTerm{
		node:        o,
		term:        t.Number,
		modRevision: res.Revision,
		leaderLease: lease,
		jobs:        map[string]*oldJob{},
		machines:    map[string]*oldMachine{},
		shards:      map[string][]string{},
	}
	if r.load(ctx) {
		o.leaderTerm, o.leader = r, o.name
	}
}

// load reads active jobs, completion records and the registry.
func (r *oldLeaderTerm) load(ctx context.Context) bool {
	active, err1 := r.node.store.Range(ctx, "a/", "", 500)
	completions, err2 := r.node.store.Range(ctx, "p/", "", 500)
	shards, err3 := r.node.store.Range(ctx, "m/", "", 500)
	if errors.Join(err1, err2, err3) != nil {
		return false
	}
	r.watchedRevision = active.Revision
	for _, e := range active.Entries {
		if e.Key != "a/!cancel" { // the version takes every other key under a/ for a job
			r.addJob(e.Key, e.Value, e.ModRevision)
		}
	}
	for _, e := range completions.Entries {
		r.addCompletion(e)
	}
	for _, e := range shards.Entries {
		var s oldShard
		if err := json.Unmarshal(e.Value, &s); err != nil {
			r.node.sim.t.Error(e.Key, err)
		}
		for _, m := range s.Machines {
			r.shards[e.Key] = append(r.shards[e.Key], m.Name)
			r.machines[m.Name] = &oldMachine{record: m}
		}
	}
	return true
}

func (r *oldLeaderTerm) addJob(key string, value []byte, modRevision uint64) {
	var rec oldActiveRecord
	err := json.Unmarshal(value, &rec)
	if err == nil && rec.Spec.Tasks < 1 && rec.Spec.Team == "" && slices.Contains(r.node.skippedRecords, key) {
		return
	}
	if err != nil || rec.Spec.Tasks < 1 || "a/"+rec.Spec.ID != key {
		r.node.sim.t.Errorf("the version in production cannot read %s: %s", key, value)
		return
	}
	if r.jobs[rec.Spec.ID] == nil && !slices.Contains(r.node.cancellationLog, rec.Spec.ID) {
		r.jobs[rec.Spec.ID] = &oldJob{
			spec:           rec.Spec,
			modRevision:    modRevision,
			done:           map[int]bool{},
			machineOf:      map[int]string{},
			completionKeys: map[string]bool{},
		}
	}
}

// addCompletion applies a completion record, which may begin at any task and have any length.
func (r *oldLeaderTerm) addCompletion(e kv.Entry) {
	id, first, _ := strings.Cut(strings.TrimPrefix(e.Key, "p/"), "/")
	from, err := strconv.Atoi(first)
	var p oldCompletionRecord
	if err != nil || json.Unmarshal(e.Value, &p) != nil {
		r.node.sim.t.Errorf("the version in production cannot read %s", e.Key)
		return
	}
	j := r.jobs[id]
	if j == nil {
		r.staleRecordDeletes = append(r.staleRecordDeletes, kv.Op{Delete: e.Key})
		return
	}
	j.completionKeys[e.Key] = true
	for i := range 8 * len(p.Done) {
		if p.Done[i/8]&(1<<(i%8)) != 0 && from+i < j.spec.Tasks {
			j.done[from+i] = true
		}
	}
}

// tick renews the leader lease and applies the changes of the active jobs.
func (r *oldLeaderTerm) tick(ctx context.Context, ch kv.Changes) {
	if time.Since(r.renewedAt) > 3*time.Second && r.node.store.RenewLease(ctx, r.leaderLease) == nil {
		r.renewedAt = time.Now()
	}
	if len(r.staleRecordDeletes) > 0 && r.write(kv.Txn{Ops: r.staleRecordDeletes}) {
		r.staleRecordDeletes = nil
	}
	r.watchedRevision = max(r.watchedRevision, ch.Revision)
	for _, e := range ch.Events {
		var id string
		switch {
		case e.Put == "a/!cancel":
			if err := json.Unmarshal(e.Value, &id); err != nil {
				r.node.sim.t.Error(err)
			}
			r.node.recordCancellation(id)
		case e.Put != "":
			r.addJob(e.Put, e.Value, e.ModRevision)
		case r.jobs[strings.TrimPrefix(e.Delete, "a/")] != nil:
			// It concludes that another node leads, and begins a new term.
			r.node.sim.t.Errorf("%s deleted without a cancellation under the old leader of term %d", e.Delete, r.term)
			r.node.leaderTerm = nil
			return
		}
	}
}

// write writes under its term, and steps down if that is no longer the current one.
func (r *oldLeaderTerm) write(txn kv.Txn) bool {
	txn.Compares = append(txn.Compares, kv.Compare{Key: "term", ModRevision: r.modRevision})
	res, err := r.node.store.Txn(context.Background(), txn)
	if err == nil && slices.Contains(res.FailedKeys, "term") {
		r.node.leaderTerm = nil
	}
	return err == nil && res.Succeeded
}

// Heartbeat handles a worker agent's heartbeat.
func (o *oldNode) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	o.mu.Lock()
	r, leader, l := o.leaderTerm, o.leader, o.links
	if l != nil && r == nil {
		defer o.mu.Unlock()
		return o.renewOnBehalf(hb)
	}
	o.mu.Unlock()
	if l == nil {
		return api.HeartbeatResponse{}, errors.New("no connection")
	}
	if r == nil {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: leader}
	}
	return o.ForwardedHeartbeat(ctx, hb)
}

// ForwardedHeartbeat implements linked.
func (o *oldNode) ForwardedHeartbeat(_ context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.leaderTerm
	if r == nil || hb.Term > r.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	response := api.HeartbeatResponse{Term: r.term, Commands: []api.Command{}}
	m := r.machines[hb.Machine]
	if hb.Term < r.term {
		return response, nil // so that it learns the term
	}
	if m == nil {
		m = &oldMachine{record: oldMachineRecord{
			Name:     hb.Machine,
			Addr:     hb.Addr,
			Type:     hb.Type,
			Zone:     hb.Zone,
			Spot:     hb.Spot,
			CPUs:     4,
			MemoryGB: 16,
		}}
		if !r.write(kv.Txn{Ops: []kv.Op{r.newShard([]oldMachineRecord{m.record})}}) {
			return response, nil
		}
		r.machines[hb.Machine] = m
	}
	if hb.AgentEpoch < m.agentEpoch || hb.AgentEpoch == m.agentEpoch && hb.Seq <= m.seq {
		return response, nil
	}
	m.agentEpoch, m.seq, m.fenced = hb.AgentEpoch, hb.Seq, true
	response.Commands = r.assignTasks(m, hb, r.reconcile(hb))
	return response, nil
}

// newShard is a shard of the registry under a key of its own.
func (r *oldLeaderTerm) newShard(machines []oldMachineRecord) kv.Op {
	r.shardsWritten++
	key := fmt.Sprintf("m/%d-%d", r.term, r.shardsWritten)
	for _, m := range machines {
		r.shards[key] = append(r.shards[key], m.Name)
	}
	return kv.Op{Put: key, Value: oldShard{machines}}
}

// mergeShards writes all machines on one shard, which has space for them under its limits, and
// deletes the others.
func (r *oldLeaderTerm) mergeShards() bool {
	var txn kv.Txn
	for key := range r.shards {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	r.shards = map[string][]string{}
	all := make([]oldMachineRecord, 0, len(r.machines))
	for _, name := range slices.Sorted(maps.Keys(r.machines)) {
		all = append(all, r.machines[name].record)
	}
	txn.Ops = append(txn.Ops, r.newShard(all))
	return r.write(txn)
}

// reconcile applies the status of a machine's tasks.
func (r *oldLeaderTerm) reconcile(hb *api.Heartbeat) (commands []api.Command) {
	shown := map[string]bool{}
	zero := 0.0
	for _, t := range hb.Tasks {
		shown[t.Task] = true
		id, i, _ := cluster.ParseTaskRef(t.Task)
		j := r.jobs[id]
		switch {
		case j == nil && t.Phase == api.TaskExited:
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		case j == nil:
			stop := api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
			commands = append(commands, stop)
		case t.Phase != api.TaskExited:
			j.machineOf[i] = hb.Machine
		case t.Cause != api.CauseDone || r.recordCompletion(j, i):
			delete(j.machineOf, i)
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		}
	}
	for id, j := range r.jobs {
		for i, machine := range j.machineOf {
			if machine == hb.Machine && !shown[fmt.Sprint(id, "/", i)] {
				delete(j.machineOf, i)
			}
		}
	}
	return commands
}

// recordCompletion records that a task is done, and reports whether it is on record: its
// result is reaped only then.
func (r *oldLeaderTerm) recordCompletion(j *oldJob, task int) bool {
	if j.done[task] {
		return true
	}
	j.done[task] = true
	unchanged := []kv.Compare{{Key: "a/" + j.spec.ID, ModRevision: j.modRevision}}
	if len(j.done) < j.spec.Tasks {
		key := "p/" + j.spec.ID + "/0"
		bits := make([]byte, (j.spec.Tasks+7)/8)
		for i := range j.done {
			bits[i/8] |= 1 << (i % 8)
		}
		if !r.write(kv.Txn{Compares: unchanged, Ops: []kv.Op{{Put: key, Value: oldCompletionRecord{bits}}}}) {
			delete(j.done, task)
			return false
		}
		j.completionKeys[key] = true
		return true
	}
	txn := kv.Txn{
		Compares: unchanged,
		Ops: []kv.Op{
			{Put: "f/" + j.spec.ID, Value: oldTerminalRecord{Phase: "done", Tasks: j.spec.Tasks}},
			{Delete: "a/" + j.spec.ID},
		},
	}
	for key := range j.completionKeys {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	if !r.write(txn) {
		delete(j.done, task)
		return false
	}
	delete(r.jobs, j.spec.ID)
	return true
}

// oldMaxCommands bounds the commands of one heartbeat response.
const oldMaxCommands = 200

// assignTasks starts pending tasks of any active job, within the machine's capacity and the
// team's limit. Jobs of earlier terms stay pending until all machines of the registry are
// fenced.
func (r *oldLeaderTerm) assignTasks(m *oldMachine, hb *api.Heartbeat, commands []api.Command) []api.Command {
	free, used := m.record.CPUs, map[string]float64{}
	for _, t := range hb.Tasks {
		if id, _, _ := cluster.ParseTaskRef(t.Task); t.Phase != api.TaskExited && r.jobs[id] != nil {
			free -= r.jobs[id].spec.CPUs
		}
	}
	for _, j := range r.jobs {
		used[j.spec.Team] += j.spec.CPUs * float64(len(j.machineOf))
	}
	allFenced := r.allFenced()
	jobs := slices.SortedFunc(maps.Values(r.jobs), func(a, b *oldJob) int {
		return int(a.modRevision) - int(b.modRevision)
	})
	for _, j := range jobs {
		if !allFenced && j.modRevision <= r.modRevision {
			continue
		}
		limit := r.teamLimit(j.spec.Team)
		for i := range j.spec.Tasks {
			if len(commands) >= oldMaxCommands {
				return commands
			}
			fits := free >= j.spec.CPUs && used[j.spec.Team]+j.spec.CPUs <= limit
			if j.done[i] || j.machineOf[i] != "" || !fits {
				continue
			}
			free -= j.spec.CPUs
			used[j.spec.Team] += j.spec.CPUs
			j.machineOf[i] = m.record.Name
			r.lastAttempt++
			commands = append(commands, api.Command{
				Verb:    api.VerbStart,
				Task:    fmt.Sprint(j.spec.ID, "/", i),
				Attempt: r.term<<32 | r.lastAttempt,
			})
		}
	}
	return commands
}

// allFenced reports whether all machines of the registry are fenced or terminated.
func (r *oldLeaderTerm) allFenced() bool {
	for _, m := range r.machines {
		if !m.fenced && !r.node.sim.cloud.terminated(m.record.Name) {
			return false
		}
	}
	return true
}

// teamLimit is a team's limit in CPUs, 0 if there is no such team.
func (r *oldLeaderTerm) teamLimit(name string) float64 {
	for _, team := range r.node.sim.teams {
		if team.Name == name {
			return team.LimitCPUs
		}
	}
	return 0
}

// renewAndRelay does what a follower does in a partition: it reads the term and which jobs are
// active, writes in one record which machines' leases it renews, relays their heartbeats, and
// reads the leader's commands.
func (o *oldNode) renewAndRelay(ctx context.Context) {
	now := time.Now()
	e, err1 := o.store.Get(ctx, "term")
	page, err2 := o.store.Range(ctx, "a/", "", 500)
	var t oldTerm
	if errors.Join(err1, err2, json.Unmarshal(e.Value, &t)) != nil {
		return
	}
	o.term, o.modRevision, o.verifiedAt, o.activeJobs = t.Number, e.ModRevision, now, map[string]bool{}
	for _, entry := range page.Entries {
		o.activeJobs[strings.TrimPrefix(entry.Key, "a/")] = true
	}
	sameTerm := []kv.Compare{{Key: "term", ModRevision: o.modRevision}}
	extension := oldLeaseExtension{Term: o.term}
	for name, seen := range o.renewedMachines {
		if now.Sub(seen) < 8*time.Second {
			extension.Hosts = append(extension.Hosts, name)
		}
	}
	if len(extension.Hosts) > 0 {
		// Written again with the next tick if it fails.
		_, _ = o.store.Txn(ctx, kv.Txn{Compares: sameTerm, Ops: []kv.Op{{Put: "keep/" + o.name, Value: extension}}})
	}
	o.readDownlink(ctx)
	if len(o.relayedHeartbeats)+len(o.outcomes) > 0 && o.uplinkRecords > 0 {
		o.writeUplink(ctx, sameTerm)
	}
}

// writeUplink relays heartbeats and the outcomes of commands, in as many records as the test
// wants.
func (o *oldNode) writeUplink(ctx context.Context, compares []kv.Compare) {
	o.uplinkBatch++
	up := &peer.RelayUp{
		Term:        o.term,
		Incarnation: o.incarnation,
		Batch:       o.uplinkBatch,
		Got:         o.downlinkBatch,
		Outcomes:    o.outcomes,
	}
	for _, hb := range o.relayedHeartbeats {
		up.Reports = append(up.Reports, peer.PackReport(hb))
	}
	parts, err := relay.Pack(up, o.uplinkBatch, 1, 8<<10)
	if err != nil {
		o.sim.t.Error(err)
		return
	}
	data, txn := parts[0].Data, kv.Txn{Compares: compares}
	for i := range o.uplinkRecords {
		txn.Ops = append(txn.Ops, kv.Op{
			Put: fmt.Sprint("relay/", o.name, "/up/", i),
			Value: oldPart{
				Batch: o.uplinkBatch,
				Index: i,
				Of:    o.uplinkRecords,
				Data:  data[len(data)*i/o.uplinkRecords : len(data)*(i+1)/o.uplinkRecords],
			},
		})
	}
	if _, err := o.store.Txn(ctx, txn); err == nil {
		clear(o.relayedHeartbeats)
	}
}

// readDownlink reads the commands that the leader has written for this node's machines.
func (o *oldNode) readDownlink(ctx context.Context) {
	e, err := o.store.Get(ctx, "relay/"+o.name+"/down")
	var p relay.Part
	var down peer.RelayDown
	if err != nil || e.ModRevision == 0 || json.Unmarshal(e.Value, &p) != nil {
		return
	}
	if err := relay.Unpack([]relay.Part{p}, &down); err != nil {
		o.sim.t.Error(err)
	}
	if down.Incarnation != o.incarnation || down.Batch <= o.downlinkBatch {
		return
	}
	o.downlinkBatch, o.outcomes = down.Batch, nil
	for _, commands := range down.Orders {
		o.relayedCommands[commands.Machine] = commands
	}
}

// renewOnBehalf responds to a heartbeat under the leader's term, for a bounded time. It starts
// only what the leader has commanded through the store.
func (o *oldNode) renewOnBehalf(hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	if o.missedPings <= 2 || time.Since(o.verifiedAt) > 13*time.Second || hb.Term > o.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	own := *hb
	own.Tasks = slices.Clone(hb.Tasks)
	o.renewedMachines[hb.Machine], o.relayedHeartbeats[hb.Machine] = time.Now(), &own
	response := api.HeartbeatResponse{Term: o.term, Commands: []api.Command{}}
	zero := 0.0
	for _, t := range hb.Tasks {
		if id, _, _ := cluster.ParseTaskRef(t.Task); t.Phase != api.TaskExited && !o.activeJobs[id] {
			stop := api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
			response.Commands = append(response.Commands, stop)
		}
	}
	if p := o.relayedCommands[hb.Machine]; p != nil && p.Session == hb.AgentEpoch && hb.Seq > p.Base {
		response.Commands = append(response.Commands, peer.UnpackOrders(p.Orders)...)
		o.outcomes = append(o.outcomes, &peer.RelayOutcome{
			Machine: hb.Machine,
			Session: p.Session,
			Base:    p.Base,
			Handed:  hb.Seq,
		})
		delete(o.relayedCommands, hb.Machine)
	}
	return response, nil
}
