package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/peer"
)

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

// PeerJob implements peerNode. It reads the job from the store, and tells nothing about the certainty of the
// answer.
func (o *oldNode) PeerJob(ctx context.Context, q JobQuery) (JobAnswer, error) {
	state, err := o.Job(ctx, q.ID)
	return JobAnswer{State: state}, err
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
