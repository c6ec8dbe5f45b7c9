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

// The following types are the records of the version in production, the first version with which later
// ones must work in one cluster. They have only the fields that a scripted node needs; the golden tests
// have all of them. Other fields of a record are ignored, as they are by that version.

// oldSpec is the specification of a job.
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

// oldActiveRecord is the record of an active job, under a/.
type oldActiveRecord struct {
	Spec     oldSpec   `json:"spec"`
	Accepted time.Time `json:"accepted"`
}

// oldTerminalRecord is the record of a job in a final phase, under f/.
type oldTerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

// oldCompletionRecord is a bitmap of the done tasks of a job, under p/. The key names the task of the
// first bit.
type oldCompletionRecord struct {
	Done []byte `json:"done"`
}

// oldShard is a part of the registry of machines, under m/.
type oldShard struct {
	Machines []oldMachineRecord `json:"machines"`
}

// oldMachineRecord is one machine of a shard.
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

// oldLeaseExtension lists the machines whose leases a follower renews on behalf of the leader, under
// keep/.
type oldLeaseExtension struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// oldLeaderRecord is the value of the leader key.
type oldLeaderRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// oldTerm is the value of the term key.
type oldTerm struct {
	Number uint64 `json:"number"`
}

// oldPart is one record of a relayed batch, under relay/.
type oldPart struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}

// oldNode is a scripted node of the version in production. It models how that version behaves
// towards other nodes, the key-value store, users and machines. It does not support dependencies of
// jobs, and neither applies nor writes fields that the version does not have.
type oldNode struct {
	sim         *simulatedCluster
	name        string
	store       *gate
	links       *peerLinks
	incarnation string
	startedAt   time.Time
	// skippedRecords holds the keys of active records without a team and tasks, which the version
	// in production logs and skips. The test fails if it cannot read any other active record.
	skippedRecords []string

	mu sync.Mutex
	// cancellationLog holds the cancelled jobs in the order in which the node recorded them.
	cancellationLog []string
	// kvReachableSince is since when the store has responded, or zero if it does not respond.
	kvReachableSince time.Time
	// leader is the name of the leader according to the store.
	leader string
	// leaderTerm is the node's state as leader, or nil if it does not lead.
	leaderTerm *oldLeaderTerm
	// logPositions holds, by node, up to where its cancellation log has been read.
	logPositions map[string]cancellation.Position

	// The following fields are the node's state as a follower in a network partition.

	// missedPings is the number of consecutive pings without a response.
	missedPings int
	// verifiedAt is when the term and the active jobs were last read from the store.
	verifiedAt time.Time
	// term is the number of the current term, modRevision the mod revision of the term key.
	term, modRevision uint64
	activeJobs        map[string]bool
	// renewedMachines holds, by machine, when the node last renewed its lease.
	renewedMachines map[string]time.Time
	// relayedHeartbeats holds, by machine, the last heartbeat that is yet to be relayed.
	relayedHeartbeats map[string]*api.Heartbeat
	// relayedCommands holds, by machine, commands of the leader that are yet to be delivered.
	relayedCommands map[string]*peer.RelayOrders
	// outcomes are those of delivered commands, until the leader writes the next downlink batch.
	outcomes []*peer.RelayOutcome
	// uplinkBatch is the last batch written, downlinkBatch the last one read.
	uplinkBatch, downlinkBatch uint64
	// uplinkRecords is the number of records per batch of the uplink; 0 means that nothing is
	// relayed.
	uplinkRecords int
}

// startOld starts a scripted node of the version in production.
func (w *simulatedCluster) startOld(name string, store *gate, peers *peerLinks) *oldNode {
	o := &oldNode{
		sim:               w,
		name:              name,
		store:             store,
		links:             peers,
		startedAt:         time.Now(),
		incarnation:       fmt.Sprint("old", time.Now().UnixNano()),
		logPositions:      map[string]cancellation.Position{},
		renewedMachines:   map[string]time.Time{},
		relayedHeartbeats: map[string]*api.Heartbeat{},
		relayedCommands:   map[string]*peer.RelayOrders{},
		uplinkRecords:     1,
	}
	peers.nodes.Store(name, o)
	w.nodeGoroutines.Go(func() {
		for w.ctx.Err() == nil && o.running() {
			o.tick(w.ctx)
			sleep(w.ctx, 200*time.Millisecond)
		}
	})
	return o
}

// crash ends the process: the node no longer responds or writes.
func (o *oldNode) crash() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.links == nil {
		return
	}
	o.links.nodes.CompareAndDelete(o.name, peerNode(o))
	o.links, o.leaderTerm = nil, nil
}

// running reports whether the process has not crashed.
func (o *oldNode) running() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.links != nil
}

// inspect calls f with the node, locked.
func (o *oldNode) inspect(f func(o *oldNode)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

// leads reports whether the node leads.
func (o *oldNode) leads() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaderTerm != nil
}

// otherNodes returns the names of the other nodes.
func (o *oldNode) otherNodes() []string {
	return slices.DeleteFunc([]string{"n0", "n1"}, func(name string) bool { return name == o.name })
}

// tick does one round of the node's periodic work, up to five times a second: it pings the other nodes,
// reads the leader key, and acts as leader or as follower.
func (o *oldNode) tick(ctx context.Context) {
	o.ping(ctx)
	lt, changes := o.watch(ctx)
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
		o.sim.t.Errorf("value of the leader key: got %s, want a leader record", e.Value)
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
		lt.tick(ctx, changes)
	}
}

// watch returns the current leader term and the changes of the active jobs since its last watch. The
// lock must not be held during the watch: goroutines that wait for a mutex stop the fake clock.
func (o *oldNode) watch(ctx context.Context) (*oldLeaderTerm, kv.Changes) {
	o.mu.Lock()
	lt, from := o.leaderTerm, uint64(0)
	if lt != nil {
		from = lt.watchedRevision
	}
	o.mu.Unlock()
	if lt == nil {
		return nil, kv.Changes{}
	}
	watchCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	changes, err := o.store.Watch(watchCtx, "a/", from, 50*time.Millisecond)
	if err != nil {
		return lt, kv.Changes{}
	}
	return lt, changes
}

// ping reads the new entries of the other nodes' cancellation logs.
func (o *oldNode) ping(ctx context.Context) {
	o.mu.Lock()
	peers := o.links
	o.mu.Unlock()
	if peers == nil {
		return
	}
	for _, name := range o.otherNodes() {
		pingCtx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		o.mu.Lock()
		from := o.logPositions[name]
		o.mu.Unlock()
		status, err := peers.Ping(pingCtx, name, from)
		cancel()
		o.mu.Lock()
		if o.missedPings++; err == nil {
			o.missedPings = 0
			if status.Incarnation == from.Incarnation && status.Cancellations.First != from.Number+1 {
				// The version in production would discard what it has read of this log.
				o.sim.t.Errorf("first entry of the cancellation log of %s: got %d, want %d",
					name, status.Cancellations.First, from.Number+1)
			}
			o.logPositions[name] = cancellation.Position{
				Incarnation: status.Incarnation,
				Number:      status.Cancellations.First + uint64(len(status.Cancellations.IDs)) - 1,
			}
			for _, id := range status.Cancellations.IDs {
				o.recordCancellation(id)
			}
		}
		o.mu.Unlock()
	}
}

// recordCancellation appends a cancellation to the log unless it is there already, and drops the job
// from the leader's state.
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

// PeerStatus implements peerNode.
func (o *oldNode) PeerStatus(_ context.Context, from cancellation.Position) (membership.PeerStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := membership.PeerStatus{Leader: o.leader, Incarnation: o.incarnation, CancellationsKnownAge: -1}
	if !o.kvReachableSince.IsZero() {
		status.KVReachableFor = max(time.Since(o.kvReachableSince), time.Millisecond)
	}
	if o.leaderTerm != nil {
		status.Term, status.CancellationsKnownAge = o.leaderTerm.term, 0
	}
	if from.Incarnation != o.incarnation {
		from.Number = 0
	}
	n := min(from.Number, uint64(len(o.cancellationLog)))
	status.Cancellations = cancellation.Delta{
		IDs:         slices.Clone(o.cancellationLog[n:]),
		First:       n + 1,
		CompleteFor: time.Since(o.startedAt),
	}
	return status, nil
}

// LeaderResigned implements peerNode.
func (o *oldNode) LeaderResigned(ctx context.Context, node string, _ uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, err := o.store.Get(ctx, "leader"); err == nil && o.links != nil && o.leader == node {
		o.takeOver(ctx, e.ModRevision)
	}
	return nil
}

// resign ends the leader term and notifies the given successor.
func (o *oldNode) resign(to string) {
	o.mu.Lock()
	lt, peers := o.leaderTerm, o.links
	o.leaderTerm, o.leader = nil, to
	o.mu.Unlock()
	if err := peers.Resign(context.Background(), to, o.name, lt.term); err != nil {
		o.sim.t.Errorf("resignation of %s in favour of %s: %v", o.name, to, err)
	}
	time.Sleep(time.Second)
}

// PeerJob implements peerNode. It reads the job from the store.
func (o *oldNode) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	return o.Job(ctx, id)
}

// Job returns the state of a job for a user. It reads a/ before f/: a job that ends between the two
// reads is under f/ by then.
func (o *oldNode) Job(ctx context.Context, id string) (api.JobState, error) {
	for _, prefix := range []string{"a/", "f/"} {
		e, err := o.store.Get(ctx, prefix+id)
		if err != nil {
			return api.JobState{}, err
		}
		var terminal oldTerminalRecord
		switch {
		case e.ModRevision == 0:
		case prefix == "a/":
			return api.JobState{ID: id, Phase: "pending"}, nil
		default:
			if err := json.Unmarshal(e.Value, &terminal); err != nil {
				return api.JobState{}, err
			}
			if terminal.Phase == api.JobCancelled {
				o.mu.Lock()
				o.recordCancellation(id)
				o.mu.Unlock()
			}
			return api.JobState{ID: id, Phase: terminal.Phase}, nil
		}
	}
	return api.JobState{}, api.ErrUnknownJob
}

// submit accepts a job. Its dependencies are not stored, since the version has no field for them.
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
		o.sim.t.Fatalf("submission of %s at the old node: got %+v, %v, want success", s.ID, res, err)
	}
	time.Sleep(200 * time.Millisecond)
}

// cancel cancels a job in one transaction, which it retries until it succeeds or the job is no longer
// active. It returns the job's final phase: "withdrawn", unless the job had already ended in another.
func (o *oldNode) cancel(id string) string {
	ctx := context.Background()
	for {
		e, err := o.store.Get(ctx, "a/"+id)
		if err != nil {
			o.sim.t.Fatalf("active record of %s to cancel: %v", id, err)
		}
		if e.ModRevision == 0 {
			state, _ := o.Job(ctx, id)
			return state.Phase
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

// oldLeaderTerm is the state of an oldNode as leader in one term.
type oldLeaderTerm struct {
	node *oldNode
	// term is the number of the term, modRevision the mod revision of the term key.
	term, modRevision uint64
	// watchedRevision is the revision up to which changes of active jobs have been applied.
	watchedRevision uint64
	leaderLease     uint64
	jobs            map[string]*oldJob
	machines        map[string]*oldMachine
	// shards holds, by key, the machines of each registry shard that was read or written.
	shards map[string][]string
	// shardsWritten counts the shards written in this term.
	shardsWritten int
	// lastAttempt is the number of the last attempt in this term.
	lastAttempt uint64
	// renewedAt is when the leader lease was last renewed.
	renewedAt time.Time
	// staleRecordDeletes delete the completion records of jobs that have ended.
	staleRecordDeletes []kv.Op
}

type oldJob struct {
	spec        oldSpec
	modRevision uint64
	done        map[int]bool
	// machineOf holds, by task, the machine on which the task runs.
	machineOf map[int]string
	// completionKeys holds the keys of the job's completion records.
	completionKeys map[string]bool
}

type oldMachine struct {
	record          oldMachineRecord
	agentEpoch, seq uint64
	// fenced is set after the first heartbeat in this term.
	fenced bool
}

// takeOver begins a leader term. In one transaction it writes the leader key, attached to a lease, and
// the next term; then it reads the records.
func (o *oldNode) takeOver(ctx context.Context, leaderModRevision uint64) {
	e, err := o.store.Get(ctx, "term")
	var term oldTerm
	if err != nil || e.ModRevision != 0 && json.Unmarshal(e.Value, &term) != nil {
		return
	}
	term.Number++
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
			{Put: "term", Value: term},
		},
	})
	if err != nil || !res.Succeeded {
		return
	}
	lt := &oldLeaderTerm{
		node:        o,
		term:        term.Number,
		modRevision: res.Revision,
		leaderLease: lease,
		jobs:        map[string]*oldJob{},
		machines:    map[string]*oldMachine{},
		shards:      map[string][]string{},
	}
	if lt.load(ctx) {
		o.leaderTerm, o.leader = lt, o.name
	}
}

// load reads the active jobs, completion records and registry. It reports whether all reads succeeded.
func (lt *oldLeaderTerm) load(ctx context.Context) bool {
	active, err1 := lt.node.store.Range(ctx, "a/", "", 500)
	completions, err2 := lt.node.store.Range(ctx, "p/", "", 500)
	shards, err3 := lt.node.store.Range(ctx, "m/", "", 500)
	if errors.Join(err1, err2, err3) != nil {
		return false
	}
	lt.watchedRevision = active.Revision
	for _, e := range active.Entries {
		if e.Key != "a/!cancel" { // all other keys under a/ are jobs
			lt.addJob(e.Key, e.Value, e.ModRevision)
		}
	}
	for _, e := range completions.Entries {
		lt.addCompletion(e)
	}
	for _, e := range shards.Entries {
		var shard oldShard
		if err := json.Unmarshal(e.Value, &shard); err != nil {
			lt.node.sim.t.Errorf("registry shard %s: %v", e.Key, err)
		}
		for _, m := range shard.Machines {
			lt.shards[e.Key] = append(lt.shards[e.Key], m.Name)
			lt.machines[m.Name] = &oldMachine{record: m}
		}
	}
	return true
}

// addJob adds a job from its active record unless it is cancelled.
func (lt *oldLeaderTerm) addJob(key string, value []byte, modRevision uint64) {
	var rec oldActiveRecord
	err := json.Unmarshal(value, &rec)
	if err == nil && rec.Spec.Tasks < 1 && rec.Spec.Team == "" && slices.Contains(lt.node.skippedRecords, key) {
		return
	}
	if err != nil || rec.Spec.Tasks < 1 || "a/"+rec.Spec.ID != key {
		lt.node.sim.t.Errorf("active record %s: got %s, which the version in production cannot read", key, value)
		return
	}
	if lt.jobs[rec.Spec.ID] == nil && !slices.Contains(lt.node.cancellationLog, rec.Spec.ID) {
		lt.jobs[rec.Spec.ID] = &oldJob{
			spec:           rec.Spec,
			modRevision:    modRevision,
			done:           map[int]bool{},
			machineOf:      map[int]string{},
			completionKeys: map[string]bool{},
		}
	}
}

// addCompletion applies a completion record, which may begin at any task and have any length. Records
// of jobs that are not active are deleted later.
func (lt *oldLeaderTerm) addCompletion(e kv.Entry) {
	id, first, _ := strings.Cut(strings.TrimPrefix(e.Key, "p/"), "/")
	from, err := strconv.Atoi(first)
	var rec oldCompletionRecord
	if err != nil || json.Unmarshal(e.Value, &rec) != nil {
		lt.node.sim.t.Errorf("completion record %s: got %s, which the version in production cannot read",
			e.Key, e.Value)
		return
	}
	j := lt.jobs[id]
	if j == nil {
		lt.staleRecordDeletes = append(lt.staleRecordDeletes, kv.Op{Delete: e.Key})
		return
	}
	j.completionKeys[e.Key] = true
	for i := range 8 * len(rec.Done) {
		if rec.Done[i/8]&(1<<(i%8)) != 0 && from+i < j.spec.Tasks {
			j.done[from+i] = true
		}
	}
}

// tick renews the leader lease, deletes stale records, and applies the changes of the active jobs.
func (lt *oldLeaderTerm) tick(ctx context.Context, changes kv.Changes) {
	if time.Since(lt.renewedAt) > 3*time.Second && lt.node.store.RenewLease(ctx, lt.leaderLease) == nil {
		lt.renewedAt = time.Now()
	}
	if len(lt.staleRecordDeletes) > 0 && lt.write(kv.Txn{Ops: lt.staleRecordDeletes}) {
		lt.staleRecordDeletes = nil
	}
	lt.watchedRevision = max(lt.watchedRevision, changes.Revision)
	for _, e := range changes.Events {
		var id string
		switch {
		case e.Put == "a/!cancel":
			if err := json.Unmarshal(e.Value, &id); err != nil {
				lt.node.sim.t.Errorf("value of the cancel key: %v", err)
			}
			lt.node.recordCancellation(id)
		case e.Put != "":
			lt.addJob(e.Put, e.Value, e.ModRevision)
		case lt.jobs[strings.TrimPrefix(e.Delete, "a/")] != nil:
			// The version in production concludes that another node leads, and begins a new term.
			lt.node.sim.t.Errorf("key %s was deleted without a cancellation in term %d of the old leader",
				e.Delete, lt.term)
			lt.node.leaderTerm = nil
			return
		}
	}
}

// write applies a transaction if the term is still the current one, and steps down if it is not. It
// reports whether the transaction succeeded.
func (lt *oldLeaderTerm) write(txn kv.Txn) bool {
	txn.Compares = append(txn.Compares, kv.Compare{Key: "term", ModRevision: lt.modRevision})
	res, err := lt.node.store.Txn(context.Background(), txn)
	if err == nil && slices.Contains(res.FailedKeys, "term") {
		lt.node.leaderTerm = nil
	}
	return err == nil && res.Succeeded
}

// Heartbeat handles a worker agent's heartbeat, as leader or on behalf of the leader.
func (o *oldNode) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	o.mu.Lock()
	lt, leader, peers := o.leaderTerm, o.leader, o.links
	if peers != nil && lt == nil {
		defer o.mu.Unlock()
		return o.renewOnBehalf(hb)
	}
	o.mu.Unlock()
	if peers == nil {
		return api.HeartbeatResponse{}, errors.New("no connection")
	}
	if lt == nil {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: leader}
	}
	return o.ForwardedHeartbeat(ctx, hb)
}

// ForwardedHeartbeat implements peerNode.
func (o *oldNode) ForwardedHeartbeat(_ context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lt := o.leaderTerm
	if lt == nil || hb.Token > lt.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	response := api.HeartbeatResponse{Token: lt.term, Commands: []api.Command{}}
	m := lt.machines[hb.Machine]
	if hb.Token < lt.term {
		return response, nil // only passes the new term to the agent
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
		if !lt.write(kv.Txn{Ops: []kv.Op{lt.newShard([]oldMachineRecord{m.record})}}) {
			return response, nil
		}
		lt.machines[hb.Machine] = m
	}
	if hb.AgentEpoch < m.agentEpoch || hb.AgentEpoch == m.agentEpoch && hb.Seq <= m.seq {
		return response, nil
	}
	m.agentEpoch, m.seq, m.fenced = hb.AgentEpoch, hb.Seq, true
	response.Commands = lt.assignTasks(m, hb, lt.reconcile(hb))
	return response, nil
}

// newShard returns the write of a registry shard under a new key.
func (lt *oldLeaderTerm) newShard(machines []oldMachineRecord) kv.Op {
	lt.shardsWritten++
	key := fmt.Sprintf("m/%d-%d", lt.term, lt.shardsWritten)
	for _, m := range machines {
		lt.shards[key] = append(lt.shards[key], m.Name)
	}
	return kv.Op{Put: key, Value: oldShard{machines}}
}

// mergeShards writes all machines to one shard, whose size the limits of that version allow, and
// deletes the other shards. It reports whether the transaction succeeded.
func (lt *oldLeaderTerm) mergeShards() bool {
	var txn kv.Txn
	for key := range lt.shards {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	lt.shards = map[string][]string{}
	all := make([]oldMachineRecord, 0, len(lt.machines))
	for _, name := range slices.Sorted(maps.Keys(lt.machines)) {
		all = append(all, lt.machines[name].record)
	}
	txn.Ops = append(txn.Ops, lt.newShard(all))
	return lt.write(txn)
}

// reconcile applies the status of a machine's tasks, and returns commands that stop tasks of unknown
// jobs and reap exited tasks.
func (lt *oldLeaderTerm) reconcile(hb *api.Heartbeat) (commands []api.Command) {
	reported := map[string]bool{}
	zero := 0.0
	for _, t := range hb.Tasks {
		reported[t.Task] = true
		id, i, _ := cluster.ParseTaskRef(t.Task)
		j := lt.jobs[id]
		switch {
		case j == nil && t.Phase == api.TaskExited:
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		case j == nil:
			stop := api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
			commands = append(commands, stop)
		case t.Phase != api.TaskExited:
			j.machineOf[i] = hb.Machine
		case t.Cause != api.CauseDone || lt.recordCompletion(j, i):
			delete(j.machineOf, i)
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		}
	}
	for id, j := range lt.jobs {
		for i, machine := range j.machineOf {
			if machine == hb.Machine && !reported[fmt.Sprint(id, "/", i)] {
				delete(j.machineOf, i)
			}
		}
	}
	return commands
}

// recordCompletion records that a task is done, and ends the job with its last task. It reports
// whether the completion is on record; the task is reaped only then.
func (lt *oldLeaderTerm) recordCompletion(j *oldJob, task int) bool {
	if j.done[task] {
		return true
	}
	j.done[task] = true
	jobUnchanged := []kv.Compare{{Key: "a/" + j.spec.ID, ModRevision: j.modRevision}}
	if len(j.done) < j.spec.Tasks {
		key := "p/" + j.spec.ID + "/0"
		bits := make([]byte, (j.spec.Tasks+7)/8)
		for i := range j.done {
			bits[i/8] |= 1 << (i % 8)
		}
		if !lt.write(kv.Txn{Compares: jobUnchanged, Ops: []kv.Op{{Put: key, Value: oldCompletionRecord{bits}}}}) {
			delete(j.done, task)
			return false
		}
		j.completionKeys[key] = true
		return true
	}
	txn := kv.Txn{
		Compares: jobUnchanged,
		Ops: []kv.Op{
			{Put: "f/" + j.spec.ID, Value: oldTerminalRecord{Phase: "done", Tasks: j.spec.Tasks}},
			{Delete: "a/" + j.spec.ID},
		},
	}
	for key := range j.completionKeys {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	if !lt.write(txn) {
		delete(j.done, task)
		return false
	}
	delete(lt.jobs, j.spec.ID)
	return true
}

// oldMaxCommands is the maximum number of commands in one heartbeat response.
const oldMaxCommands = 200

// assignTasks appends starts of pending tasks to the commands, within the machine's CPUs and the
// teams' limits, in the order of the last change of the jobs' records. Jobs of earlier terms stay
// pending until all machines of the registry are fenced or terminated.
func (lt *oldLeaderTerm) assignTasks(m *oldMachine, hb *api.Heartbeat, commands []api.Command) []api.Command {
	free, used := m.record.CPUs, map[string]float64{}
	for _, t := range hb.Tasks {
		if id, _, _ := cluster.ParseTaskRef(t.Task); t.Phase != api.TaskExited && lt.jobs[id] != nil {
			free -= lt.jobs[id].spec.CPUs
		}
	}
	for _, j := range lt.jobs {
		used[j.spec.Team] += j.spec.CPUs * float64(len(j.machineOf))
	}
	allFenced := lt.allFenced()
	jobs := slices.SortedFunc(maps.Values(lt.jobs), func(a, b *oldJob) int {
		return int(a.modRevision) - int(b.modRevision)
	})
	for _, j := range jobs {
		if !allFenced && j.modRevision <= lt.modRevision {
			continue
		}
		limit := lt.teamLimit(j.spec.Team)
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
			lt.lastAttempt++
			commands = append(commands, api.Command{
				Verb:    api.VerbStart,
				Task:    fmt.Sprint(j.spec.ID, "/", i),
				Attempt: lt.term<<32 | lt.lastAttempt,
			})
		}
	}
	return commands
}

// allFenced reports whether all machines of the registry are fenced or terminated.
func (lt *oldLeaderTerm) allFenced() bool {
	for _, m := range lt.machines {
		if !m.fenced && !lt.node.sim.cloud.terminated(m.record.Name) {
			return false
		}
	}
	return true
}

// teamLimit returns a team's limit in CPUs, or 0 if the team does not exist.
func (lt *oldLeaderTerm) teamLimit(name string) float64 {
	for _, team := range lt.node.sim.teams {
		if team.Name == name {
			return team.LimitCPUs
		}
	}
	return 0
}

// renewAndRelay does a follower's work in a partition. It reads the term and the active jobs, writes
// in one record which machines' leases it renews, reads the leader's commands, and relays the
// machines' heartbeats.
func (o *oldNode) renewAndRelay(ctx context.Context) {
	now := time.Now()
	e, err1 := o.store.Get(ctx, "term")
	page, err2 := o.store.Range(ctx, "a/", "", 500)
	var term oldTerm
	if errors.Join(err1, err2, json.Unmarshal(e.Value, &term)) != nil {
		return
	}
	o.term, o.modRevision, o.verifiedAt, o.activeJobs = term.Number, e.ModRevision, now, map[string]bool{}
	for _, entry := range page.Entries {
		o.activeJobs[strings.TrimPrefix(entry.Key, "a/")] = true
	}
	sameTerm := []kv.Compare{{Key: "term", ModRevision: o.modRevision}}
	extension := oldLeaseExtension{Term: o.term}
	for name, renewedAt := range o.renewedMachines {
		if now.Sub(renewedAt) < 8*time.Second {
			extension.Hosts = append(extension.Hosts, name)
		}
	}
	if len(extension.Hosts) > 0 {
		// If the write fails, the next tick repeats it.
		_, _ = o.store.Txn(ctx, kv.Txn{Compares: sameTerm, Ops: []kv.Op{{Put: "keep/" + o.name, Value: extension}}})
	}
	o.readDownlink(ctx)
	if len(o.relayedHeartbeats)+len(o.outcomes) > 0 && o.uplinkRecords > 0 {
		o.writeUplink(ctx, sameTerm)
	}
}

// writeUplink relays heartbeats and the outcomes of commands to the leader, in one batch of
// uplinkRecords records.
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
		up.Reports = append(up.Reports, peer.HeartbeatToProto(hb))
	}
	parts, err := relay.Pack(up, o.uplinkBatch, 1, 8<<10)
	if err != nil {
		o.sim.t.Errorf("packing uplink batch %d: %v", o.uplinkBatch, err)
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
	var part relay.Part
	var down peer.RelayDown
	if err != nil || e.ModRevision == 0 || json.Unmarshal(e.Value, &part) != nil {
		return
	}
	if err := relay.Unpack([]relay.Part{part}, &down); err != nil {
		o.sim.t.Errorf("downlink of %s: %v", o.name, err)
	}
	if down.Incarnation != o.incarnation || down.Batch <= o.downlinkBatch {
		return
	}
	o.downlinkBatch, o.outcomes = down.Batch, nil
	for _, commands := range down.Orders {
		o.relayedCommands[commands.Machine] = commands
	}
}

// renewOnBehalf responds to a heartbeat under the leader's term while the leader is unreachable and
// the term and active jobs were read in the last 13 s. It stops tasks of jobs that are not active, and
// delivers commands that the leader has written to the store.
func (o *oldNode) renewOnBehalf(hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	if o.missedPings <= 2 || time.Since(o.verifiedAt) > 13*time.Second || hb.Token > o.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	copied := *hb
	copied.Tasks = slices.Clone(hb.Tasks)
	o.renewedMachines[hb.Machine], o.relayedHeartbeats[hb.Machine] = time.Now(), &copied
	response := api.HeartbeatResponse{Token: o.term, Commands: []api.Command{}}
	zero := 0.0
	for _, t := range hb.Tasks {
		if id, _, _ := cluster.ParseTaskRef(t.Task); t.Phase != api.TaskExited && !o.activeJobs[id] {
			stop := api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
			response.Commands = append(response.Commands, stop)
		}
	}
	if relayed := o.relayedCommands[hb.Machine]; relayed != nil &&
		relayed.Session == hb.AgentEpoch && hb.Seq > relayed.Base {
		response.Commands = append(response.Commands, peer.CommandsFromProto(relayed.Orders)...)
		o.outcomes = append(o.outcomes, &peer.RelayOutcome{
			Machine: hb.Machine,
			Session: relayed.Session,
			Base:    relayed.Base,
			Handed:  hb.Seq,
		})
		delete(o.relayedCommands, hb.Machine)
	}
	return response, nil
}
