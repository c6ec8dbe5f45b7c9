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
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
)

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
