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
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/relay"
)

// The records as the first version that others had to work beside knows them, as
// far as a scripted node needs them. internal/store/golden_test.go holds all their
// fields. Whatever else a record holds is passed over, as that version does.

type oldSpec struct {
	ID    string  `json:"NameId"`
	Class string  `json:"Jobclass"`
	Team  string  `json:"Owner"`
	Shape string  `json:"Shape"`
	Rank  string  `json:"Precedence"`
	Tasks int     `json:"Shoots"`
	CPUs  float64 `json:"Cores"`
	GPUs  float64 `json:"Cards"`
	Mem   float64 `json:"MemoryGb"`
	Image string  `json:"Rootstock"`
	Pull  float64 `json:"PullGb"`
	Spot  bool    `json:"Windfall,omitempty"`
	Takes float64 `json:"ExpectS"`
}

type oldActive struct {
	Spec     oldSpec   `json:"spec"`
	Accepted time.Time `json:"accepted"`
}

type oldFinal struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

type oldProgress struct {
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

type oldHolder struct {
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

// oldNode is a scripted node of the version in production: what the others, the
// store, users and machines see of one. It knows nothing of jobs that await others,
// and what it does not know it neither heeds nor writes.
type oldNode struct {
	w           *cluster
	name        string
	st          *gate
	links       *links
	incarnation string
	began       time.Time
	// passesOver are the records without a team or tasks, which the version in
	// production logs and passes over; each other one must be readable.
	passesOver []string

	mu sync.Mutex
	// cancels is its log of cancellations.
	cancels []string
	// kvStateSince is since when the store has answered; zero: it does not.
	storeSince time.Time
	leader     string
	leadership *oldLeadership
	// What it knows of the other nodes' logs.
	read map[string]cancellation.Position

	// As a follower beyond a cut.
	lost     int
	verified time.Time
	term     uint64
	mark     uint64
	active   map[string]bool
	kept     map[string]time.Time
	relayed  map[string]*api.Heartbeat
	orders   map[string]*peer.RelayOrders
	outcomes []*peer.RelayOutcome
	batch    uint64
	got      uint64
	// parts is into how many records it packs a batch; 0: it relays nothing.
	parts int
}

// startOld starts a scripted node of the version in production.
func (w *cluster) startOld(name string, st *gate, l *links) *oldNode {
	o := &oldNode{w: w, name: name, st: st, links: l, began: time.Now(), incarnation: fmt.Sprint("old", time.Now().UnixNano()),
		read: map[string]cancellation.Position{}, kept: map[string]time.Time{}, relayed: map[string]*api.Heartbeat{}, orders: map[string]*peer.RelayOrders{}, parts: 1}
	l.nodes.Store(name, o)
	w.running.Go(func() {
		for w.ctx.Err() == nil && o.running() {
			o.tick(w.ctx)
			sleep(w.ctx, 200*time.Millisecond)
		}
	})
	return o
}

// crash ends the process: it neither answers nor writes any more.
func (o *oldNode) crash() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.links == nil {
		return
	}
	o.links.nodes.CompareAndDelete(o.name, linked(o))
	o.links, o.leadership = nil, nil
}

func (o *oldNode) running() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.links != nil
}

// look lets a test look at what it holds.
func (o *oldNode) look(f func(o *oldNode)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

func (o *oldNode) leads() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leadership != nil
}

// others are the nodes that it knows of.
func (o *oldNode) others() []string {
	return slices.DeleteFunc([]string{"n0", "n1"}, func(name string) bool { return name == o.name })
}

// tick is what it does five times a second.
func (o *oldNode) tick(ctx context.Context) {
	o.ping(ctx)
	leadership, ch := o.watch(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	e, err := o.st.Get(ctx, "leader")
	switch {
	case o.links == nil:
		return
	case err != nil:
		o.storeSince = time.Time{}
	case o.storeSince.IsZero():
		o.storeSince = time.Now()
	}
	if err != nil {
		return
	}
	var h oldHolder
	if e.ModRevision != 0 && json.Unmarshal(e.Value, &h) != nil {
		o.w.t.Error("leader key cannot be read")
	}
	o.leader = h.Node
	switch {
	case e.ModRevision == 0 || h.Node == o.name && (o.leadership == nil || h.Incarnation != o.incarnation):
		o.takeOver(ctx, e.ModRevision)
	case h.Node != o.name:
		o.leadership = nil
		if o.lost > 2 {
			o.keep(ctx)
		}
	case o.leadership == leadership:
		leadership.tick(ctx, ch)
	}
}

// watch is what has changed of the active jobs for the present leadership. The lock must
// not be held while time passes: others would wait for it outside the fake clock.
func (o *oldNode) watch(ctx context.Context) (*oldLeadership, kv.Changes) {
	o.mu.Lock()
	r, from := o.leadership, uint64(0)
	if r != nil {
		from = r.from
	}
	o.mu.Unlock()
	if r == nil {
		return nil, kv.Changes{}
	}
	wctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	ch, err := o.st.Watch(wctx, "a/", from, 50*time.Millisecond)
	if err != nil {
		return r, kv.Changes{}
	}
	return r, ch
}

// ping asks the others what they know of cancellations.
func (o *oldNode) ping(ctx context.Context) {
	o.mu.Lock()
	l := o.links
	o.mu.Unlock()
	if l == nil {
		return
	}
	for _, name := range o.others() {
		pctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		o.mu.Lock()
		from := o.read[name]
		o.mu.Unlock()
		st, err := l.Ping(pctx, name, from)
		cancel()
		o.mu.Lock()
		if o.lost++; err == nil {
			o.lost = 0
			if st.Incarnation == from.Incarnation && st.Cancellations.First != from.Number+1 {
				// It would take what it knew of the log for nothing.
				o.w.t.Errorf("%s: the log goes on with %d after %d", name, st.Cancellations.First, from.Number)
			}
			o.read[name] = cancellation.Position{Incarnation: st.Incarnation, Number: st.Cancellations.First + uint64(len(st.Cancellations.IDs)) - 1}
			for _, id := range st.Cancellations.IDs {
				o.cancelled(id)
			}
		}
		o.mu.Unlock()
	}
}

// cancelled notes a cancellation.
func (o *oldNode) cancelled(id string) {
	if !slices.Contains(o.cancels, id) {
		o.cancels = append(o.cancels, id)
	}
	if o.leadership == nil {
		return
	}
	if j := o.leadership.jobs[id]; j != nil {
		for key := range j.progress {
			o.leadership.drops = append(o.leadership.drops, kv.Op{Delete: key})
		}
		delete(o.leadership.jobs, id)
	}
}

// PeerStatus implements linked.
func (o *oldNode) PeerStatus(_ context.Context, from cancellation.Position) (PeerStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := PeerStatus{Leader: o.leader, Incarnation: o.incarnation, CancellationsKnownAge: -1}
	if !o.storeSince.IsZero() {
		st.KVReachableFor = max(time.Since(o.storeSince), time.Millisecond)
	}
	if o.leadership != nil {
		st.Term, st.CancellationsKnownAge = o.leadership.term, 0
	}
	if from.Incarnation != o.incarnation {
		from.Number = 0
	}
	n := min(from.Number, uint64(len(o.cancels)))
	st.Cancellations = cancellation.Delta{IDs: slices.Clone(o.cancels[n:]), First: n + 1, CompleteFor: time.Since(o.began)}
	return st, nil
}

// LeaderResigned implements linked.
func (o *oldNode) LeaderResigned(ctx context.Context, node string, _ uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, err := o.st.Get(ctx, "leader"); err == nil && o.links != nil && o.leader == node {
		o.takeOver(ctx, e.ModRevision)
	}
	return nil
}

// resign hands the leadership over.
func (o *oldNode) resign(to string) {
	o.mu.Lock()
	r, l := o.leadership, o.links
	o.leadership, o.leader = nil, to
	o.mu.Unlock()
	if err := l.Resign(context.Background(), to, o.name, r.term); err != nil {
		o.w.t.Error(err)
	}
	time.Sleep(time.Second)
}

// PeerJob implements linked: it reads the store.
func (o *oldNode) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	return o.Job(ctx, id)
}

// Job is what its users are told of a job. A record under a/ that goes between the
// two reads is under f/ by then.
func (o *oldNode) Job(ctx context.Context, id string) (api.JobState, error) {
	for _, prefix := range []string{"a/", "f/"} {
		e, err := o.st.Get(ctx, prefix+id)
		if err != nil {
			return api.JobState{}, err
		}
		var f oldFinal
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
				o.cancelled(id)
				o.mu.Unlock()
			}
			return api.JobState{ID: id, Phase: f.Phase}, nil
		}
	}
	return api.JobState{}, api.ErrUnknownJob
}

// submit accepts a job. It knows no field for awaited jobs.
func (o *oldNode) submit(s *api.JobSpec) {
	o.w.t.Helper()
	rec := oldActive{oldSpec{ID: s.ID, Class: s.Class, Team: s.Team, Shape: s.Shape, Rank: s.Priority, Tasks: s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs,
		Mem: s.MemoryGB, Image: s.Image, Pull: s.ImageGB, Spot: s.Spot, Takes: s.EstimateS}, time.Now().UTC()}
	res, err := o.st.Txn(context.Background(), kv.Txn{Compares: []kv.Compare{{Key: "a/" + s.ID}, {Key: "f/" + s.ID}},
		Ops: []kv.Op{{Put: "a/" + s.ID, Value: rec}}})
	if err != nil || !res.Succeeded {
		o.w.t.Fatal("submit", s.ID, res, err)
	}
	time.Sleep(200 * time.Millisecond)
}

// cancel cancels a job by its own transaction, and tells its user the end.
func (o *oldNode) cancel(id string) string {
	ctx := context.Background()
	for {
		e, err := o.st.Get(ctx, "a/"+id)
		if err != nil {
			o.w.t.Fatal("cancel", id, err)
		}
		if e.ModRevision == 0 {
			st, _ := o.Job(ctx, id)
			return st.Phase
		}
		var rec oldActive
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			o.w.t.Fatal(err)
		}
		res, err := o.st.Txn(ctx, kv.Txn{Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
			Ops: []kv.Op{{Put: "a/!cancel", Value: id}, {Put: "f/" + id, Value: oldFinal{"withdrawn", rec.Spec.Tasks}}, {Delete: e.Key}}})
		if err == nil && res.Succeeded {
			o.mu.Lock()
			o.cancelled(id)
			o.mu.Unlock()
			return api.JobCancelled
		}
	}
}

// oldLeadership is what it knows as leader of one term.
type oldLeadership struct {
	o                *oldNode
	term, mark, from uint64
	lease            uint64
	jobs             map[string]*oldJob
	machines         map[string]*oldMachine
	// shards are the keys of the roster that it has read, with what is on them.
	shards   map[string][]string
	written  int
	attempts uint64
	renewed  time.Time
	// drops are progress records of jobs that are over.
	drops []kv.Op
}

type oldJob struct {
	spec oldSpec
	mark uint64
	done map[int]bool
	// on is where its tasks are.
	on map[int]string
	// progress are its progress records.
	progress map[string]bool
}

type oldMachine struct {
	rec          oldMachineRecord
	session, seq uint64
	heard        bool
}

// campaign takes the leadership: the leader key under a lease and the next term in
// one transaction. Then it reads what it needs.
func (o *oldNode) takeOver(ctx context.Context, leaderMark uint64) {
	e, err := o.st.Get(ctx, "term")
	var t oldTerm
	if err != nil || e.ModRevision != 0 && json.Unmarshal(e.Value, &t) != nil {
		return
	}
	t.Number++
	lease, err := o.st.GrantLease(ctx, 30*time.Second)
	if err != nil {
		return
	}
	res, err := o.st.Txn(ctx, kv.Txn{Compares: []kv.Compare{{Key: "leader", ModRevision: leaderMark}, {Key: "term", ModRevision: e.ModRevision}},
		Ops: []kv.Op{{Put: "leader", Value: oldHolder{o.name, o.incarnation}, Lease: lease}, {Put: "term", Value: t}}})
	if err != nil || !res.Succeeded {
		return
	}
	r := &oldLeadership{o: o, term: t.Number, mark: res.Revision, lease: lease, jobs: map[string]*oldJob{}, machines: map[string]*oldMachine{}, shards: map[string][]string{}}
	if r.load(ctx) {
		o.leadership, o.leader = r, o.name
	}
}

// load reads active jobs, progress and roster.
func (r *oldLeadership) load(ctx context.Context) bool {
	active, err1 := r.o.st.Range(ctx, "a/", "", 500)
	progress, err2 := r.o.st.Range(ctx, "p/", "", 500)
	shards, err3 := r.o.st.Range(ctx, "m/", "", 500)
	if errors.Join(err1, err2, err3) != nil {
		return false
	}
	r.from = active.Revision
	for _, e := range active.Entries {
		if e.Key != "a/!cancel" { // all else under a/ is taken for a job
			r.addJob(e.Key, e.Value, e.ModRevision)
		}
	}
	for _, e := range progress.Entries {
		r.addProgress(e)
	}
	for _, e := range shards.Entries {
		var s oldShard
		if err := json.Unmarshal(e.Value, &s); err != nil {
			r.o.w.t.Error(e.Key, err)
		}
		for _, m := range s.Machines {
			r.shards[e.Key] = append(r.shards[e.Key], m.Name)
			r.machines[m.Name] = &oldMachine{rec: m}
		}
	}
	return true
}

func (r *oldLeadership) addJob(key string, value []byte, modRevision uint64) {
	var rec oldActive
	err := json.Unmarshal(value, &rec)
	if err == nil && rec.Spec.Tasks < 1 && rec.Spec.Team == "" && slices.Contains(r.o.passesOver, key) {
		return
	}
	if err != nil || rec.Spec.Tasks < 1 || "a/"+rec.Spec.ID != key {
		r.o.w.t.Errorf("the version in production cannot read %s: %s", key, value)
		return
	}
	if r.jobs[rec.Spec.ID] == nil && !slices.Contains(r.o.cancels, rec.Spec.ID) {
		r.jobs[rec.Spec.ID] = &oldJob{spec: rec.Spec, mark: modRevision, done: map[int]bool{}, on: map[int]string{}, progress: map[string]bool{}}
	}
}

// addCompletion takes a progress record in, which may begin at any task and have any
// length.
func (r *oldLeadership) addProgress(e kv.Entry) {
	id, first, _ := strings.Cut(strings.TrimPrefix(e.Key, "p/"), "/")
	from, err := strconv.Atoi(first)
	var p oldProgress
	if err != nil || json.Unmarshal(e.Value, &p) != nil {
		r.o.w.t.Errorf("the version in production cannot read %s", e.Key)
		return
	}
	j := r.jobs[id]
	if j == nil {
		r.drops = append(r.drops, kv.Op{Delete: e.Key})
		return
	}
	j.progress[e.Key] = true
	for i := range 8 * len(p.Done) {
		if p.Done[i/8]&(1<<(i%8)) != 0 && from+i < j.spec.Tasks {
			j.done[from+i] = true
		}
	}
}

// tick renews the leadership and follows the active jobs.
func (r *oldLeadership) tick(ctx context.Context, ch kv.Changes) {
	if time.Since(r.renewed) > 3*time.Second && r.o.st.RenewLease(ctx, r.lease) == nil {
		r.renewed = time.Now()
	}
	if len(r.drops) > 0 && r.write(kv.Txn{Ops: r.drops}) {
		r.drops = nil
	}
	r.from = max(r.from, ch.Revision)
	for _, e := range ch.Events {
		var id string
		switch {
		case e.Put == "a/!cancel":
			if err := json.Unmarshal(e.Value, &id); err != nil {
				r.o.w.t.Error(err)
			}
			r.o.cancelled(id)
		case e.Put != "":
			r.addJob(e.Put, e.Value, e.ModRevision)
		case r.jobs[strings.TrimPrefix(e.Delete, "a/")] != nil:
			// It takes it that another leads, and begins a term anew.
			r.o.w.t.Errorf("%s goes without a cancellation under the old leader of term %d", e.Delete, r.term)
			r.o.leadership = nil
			return
		}
	}
}

// write writes under its term, or ends its leadership.
func (r *oldLeadership) write(txn kv.Txn) bool {
	txn.Compares = append(txn.Compares, kv.Compare{Key: "term", ModRevision: r.mark})
	res, err := r.o.st.Txn(context.Background(), txn)
	if err == nil && slices.Contains(res.FailedKeys, "term") {
		r.o.leadership = nil
	}
	return err == nil && res.Succeeded
}

// Heartbeat takes a worker's report in.
func (o *oldNode) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	o.mu.Lock()
	r, leader, l := o.leadership, o.leader, o.links
	if l != nil && r == nil {
		defer o.mu.Unlock()
		return o.extendLease(hb)
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
	r := o.leadership
	if r == nil || hb.Term > r.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	response := api.HeartbeatResponse{Term: r.term, Commands: []api.Command{}}
	m := r.machines[hb.Machine]
	if hb.Term < r.term {
		return response, nil // so that it learns the term
	}
	if m == nil {
		m = &oldMachine{rec: oldMachineRecord{hb.Machine, hb.Addr, hb.Type, hb.Zone, hb.Spot, 4, 0, 16}}
		if !r.write(kv.Txn{Ops: []kv.Op{r.newShard([]oldMachineRecord{m.rec})}}) {
			return response, nil
		}
		r.machines[hb.Machine] = m
	}
	if hb.AgentEpoch < m.session || hb.AgentEpoch == m.session && hb.Seq <= m.seq {
		return response, nil
	}
	m.session, m.seq, m.heard = hb.AgentEpoch, hb.Seq, true
	response.Commands = r.place(m, hb, r.reconcile(hb))
	return response, nil
}

// newShard is a shard of the roster under a name of its own.
func (r *oldLeadership) newShard(machines []oldMachineRecord) kv.Op {
	r.written++
	key := fmt.Sprintf("m/%d-%d", r.term, r.written)
	for _, m := range machines {
		r.shards[key] = append(r.shards[key], m.Name)
	}
	return kv.Op{Put: key, Value: oldShard{machines}}
}

// merge writes all machines on one shard that has room for them under its limits,
// and drops the others.
func (r *oldLeadership) merge() bool {
	var txn kv.Txn
	for key := range r.shards {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	r.shards = map[string][]string{}
	var all []oldMachineRecord
	for _, name := range slices.Sorted(maps.Keys(r.machines)) {
		all = append(all, r.machines[name].rec)
	}
	txn.Ops = append(txn.Ops, r.newShard(all))
	return r.write(txn)
}

// reconcile takes in what a machine's tasks do.
func (r *oldLeadership) reconcile(hb *api.Heartbeat) (commands []api.Command) {
	shown := map[string]bool{}
	zero := 0.0
	for _, t := range hb.Tasks {
		shown[t.Task] = true
		id, i, _ := splitRef(t.Task)
		j := r.jobs[id]
		switch {
		case j == nil && t.Phase == api.TaskExited:
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		case j == nil:
			commands = append(commands, api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		case t.Phase != api.TaskExited:
			j.on[i] = hb.Machine
		case t.Cause != api.CauseDone || r.completed(j, i):
			delete(j.on, i)
			commands = append(commands, api.Command{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		}
	}
	for id, j := range r.jobs {
		for i, machine := range j.on {
			if machine == hb.Machine && !shown[fmt.Sprint(id, "/", i)] {
				delete(j.on, i)
			}
		}
	}
	return commands
}

// completed records that a task is done: its result is dropped only then.
func (r *oldLeadership) completed(j *oldJob, task int) bool {
	if j.done[task] {
		return true
	}
	j.done[task] = true
	guard := []kv.Compare{{Key: "a/" + j.spec.ID, ModRevision: j.mark}}
	if len(j.done) < j.spec.Tasks {
		key := "p/" + j.spec.ID + "/0"
		bits := make([]byte, (j.spec.Tasks+7)/8)
		for i := range j.done {
			bits[i/8] |= 1 << (i % 8)
		}
		if !r.write(kv.Txn{Compares: guard, Ops: []kv.Op{{Put: key, Value: oldProgress{bits}}}}) {
			delete(j.done, task)
			return false
		}
		j.progress[key] = true
		return true
	}
	txn := kv.Txn{Compares: guard, Ops: []kv.Op{{Put: "f/" + j.spec.ID, Value: oldFinal{"done", j.spec.Tasks}}, {Delete: "a/" + j.spec.ID}}}
	for key := range j.progress {
		txn.Ops = append(txn.Ops, kv.Op{Delete: key})
	}
	if !r.write(txn) {
		delete(j.done, task)
		return false
	}
	delete(r.jobs, j.spec.ID)
	return true
}

// mostOrders bounds the orders of one answer.
const mostOrders = 200

// place starts what waits, of any active job, within machine and team. Work of
// earlier terms waits until all machines on the roster are heard.
func (r *oldLeadership) place(m *oldMachine, hb *api.Heartbeat, commands []api.Command) []api.Command {
	free, used := m.rec.CPUs, map[string]float64{}
	for _, t := range hb.Tasks {
		if id, _, _ := splitRef(t.Task); t.Phase != api.TaskExited && r.jobs[id] != nil {
			free -= r.jobs[id].spec.CPUs
		}
	}
	all := true
	for _, o := range r.machines {
		all = all && (o.heard || r.o.w.cloud.gone(o.rec.Name))
	}
	for _, j := range r.jobs {
		used[j.spec.Team] += j.spec.CPUs * float64(len(j.on))
	}
	jobs := slices.SortedFunc(maps.Values(r.jobs), func(a, b *oldJob) int { return int(a.mark) - int(b.mark) })
	for _, j := range jobs {
		most := 0.0
		for _, t := range r.o.w.teams {
			if t.Name == j.spec.Team {
				most = t.LimitCPUs
			}
		}
		for i := range j.spec.Tasks {
			if len(commands) >= mostOrders {
				return commands
			}
			if j.done[i] || j.on[i] != "" || free < j.spec.CPUs || used[j.spec.Team]+j.spec.CPUs > most || !all && j.mark <= r.mark {
				continue
			}
			free -= j.spec.CPUs
			used[j.spec.Team] += j.spec.CPUs
			j.on[i] = m.rec.Name
			r.attempts++
			commands = append(commands, api.Command{Verb: api.VerbStart, Task: fmt.Sprint(j.spec.ID, "/", i), Attempt: r.term<<32 | r.attempts})
		}
	}
	return commands
}

// keep is what it does beyond a cut: it reads whether the leader still leads and
// which jobs are active, writes which machines it keeps alive, all in one record,
// relays their reports and takes the leader's orders in.
func (o *oldNode) keep(ctx context.Context) {
	now := time.Now()
	e, err1 := o.st.Get(ctx, "term")
	page, err2 := o.st.Range(ctx, "a/", "", 500)
	var t oldTerm
	if errors.Join(err1, err2, json.Unmarshal(e.Value, &t)) != nil {
		return
	}
	o.term, o.mark, o.verified, o.active = t.Number, e.ModRevision, now, map[string]bool{}
	for _, row := range page.Entries {
		o.active[strings.TrimPrefix(row.Key, "a/")] = true
	}
	guard := []kv.Compare{{Key: "term", ModRevision: o.mark}}
	k := oldLeaseExtension{Term: o.term}
	for name, seen := range o.kept {
		if now.Sub(seen) < 8*time.Second {
			k.Hosts = append(k.Hosts, name)
		}
	}
	if len(k.Hosts) > 0 {
		o.st.Txn(ctx, kv.Txn{Compares: guard, Ops: []kv.Op{{Put: "keep/" + o.name, Value: k}}})
	}
	o.takeOrders(ctx)
	if len(o.relayed)+len(o.outcomes) == 0 || o.parts == 0 {
		return
	}
	o.batch++
	up := &peer.RelayUp{Term: o.term, Incarnation: o.incarnation, Batch: o.batch, Got: o.got, Outcomes: o.outcomes}
	for _, hb := range o.relayed {
		up.Reports = append(up.Reports, peer.PackReport(hb))
	}
	parts, err := relay.Pack(up, o.batch, 1, 8<<10)
	if err != nil {
		o.w.t.Error(err)
		return
	}
	data, txn := parts[0].Data, kv.Txn{Compares: guard}
	for i := range o.parts {
		piece := data[len(data)*i/o.parts : len(data)*(i+1)/o.parts]
		txn.Ops = append(txn.Ops, kv.Op{Put: fmt.Sprint("relay/", o.name, "/up/", i), Value: oldPart{o.batch, i, o.parts, piece}})
	}
	if _, err := o.st.Txn(ctx, txn); err == nil {
		clear(o.relayed)
	}
}

// takeOrders reads what the leader has written for its machines.
func (o *oldNode) takeOrders(ctx context.Context) {
	e, err := o.st.Get(ctx, "relay/"+o.name+"/down")
	var p relay.Part
	var down peer.RelayDown
	if err != nil || e.ModRevision == 0 || json.Unmarshal(e.Value, &p) != nil {
		return
	}
	if err := relay.Unpack([]relay.Part{p}, &down); err != nil {
		o.w.t.Error(err)
	}
	if down.Incarnation != o.incarnation || down.Batch <= o.got {
		return
	}
	o.got, o.outcomes = down.Batch, nil
	for _, commands := range down.Orders {
		o.orders[commands.Machine] = commands
	}
}

// renewOnBehalf answers a report in the leader's stead, for a bounded time. It starts
// nothing but what the leader has ordered through the store.
func (o *oldNode) extendLease(hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	if o.lost <= 2 || time.Since(o.verified) > 13*time.Second || hb.Term > o.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	own := *hb
	own.Tasks = slices.Clone(hb.Tasks)
	o.kept[hb.Machine], o.relayed[hb.Machine] = time.Now(), &own
	response := api.HeartbeatResponse{Term: o.term, Commands: []api.Command{}}
	zero := 0.0
	for _, t := range hb.Tasks {
		if id, _, _ := splitRef(t.Task); t.Phase != api.TaskExited && !o.active[id] {
			response.Commands = append(response.Commands, api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	if p := o.orders[hb.Machine]; p != nil && p.Session == hb.AgentEpoch && hb.Seq > p.Base {
		response.Commands = append(response.Commands, peer.UnpackOrders(p.Orders)...)
		o.outcomes = append(o.outcomes, &peer.RelayOutcome{Machine: hb.Machine, Session: p.Session, Base: p.Base, Handed: hb.Seq})
		delete(o.orders, hb.Machine)
	}
	return response, nil
}
