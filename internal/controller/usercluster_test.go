package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/kv"
)

// delayedStore is one node's access to the key-value store. Requests and responses are delayed, so
// that operations of other nodes can take place in between. Watches are not delayed.
type delayedStore struct {
	gate
	requestDelay, responseDelay time.Duration
	counts                      *requestCounts
}

// requestCounts counts the requests, written records and watches of all nodes by Unix second.
type requestCounts struct {
	mu                        sync.Mutex
	requests, writes, watches map[int64]int
}

// add adds n to the count of the current second in one of the maps of rc.
func (rc *requestCounts) add(counts map[int64]int, n int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	counts[time.Now().Unix()] += n
}

// maxAndSum returns, for one of the maps of rc, the largest count of any second and the sum of all
// counts.
func (rc *requestCounts) maxAndSum(counts map[int64]int) (largest, sum int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, n := range counts {
		largest = max(largest, n)
		sum += n
	}
	return largest, sum
}

// reset sets all counts to zero.
func (rc *requestCounts) reset() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	clear(rc.requests)
	clear(rc.writes)
	clear(rc.watches)
}

// roundTrip applies a request after the request delay, and returns the response after the response
// delay. An error is returned at once. If ctx ends first, the outcome is unknown.
func roundTrip[T any](ctx context.Context, ds *delayedStore, apply func() (T, error)) (T, error) {
	var result T
	ds.counts.add(ds.counts.requests, 1)
	for _, delay := range []time.Duration{ds.requestDelay, ds.responseDelay} {
		select {
		case <-ctx.Done():
			return result, kv.ErrOutcomeUnknown
		case <-time.After(delay):
		}
		if delay == ds.requestDelay && apply != nil {
			applied, err := apply()
			if err != nil {
				return applied, err
			}
			result, apply = applied, nil
		}
	}
	return result, nil
}

func (ds *delayedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	return roundTrip(ctx, ds, func() (kv.Entry, error) { return ds.gate.Get(ctx, key) })
}

func (ds *delayedStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	ds.counts.add(ds.counts.writes, len(txn.Ops))
	return roundTrip(ctx, ds, func() (kv.Result, error) { return ds.gate.Txn(ctx, txn) })
}

func (ds *delayedStore) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	return roundTrip(ctx, ds, func() (kv.Page, error) { return ds.gate.Range(ctx, prefix, from, limit) })
}

func (ds *delayedStore) Watch(
	ctx context.Context, prefix string, from uint64, block time.Duration,
) (kv.Changes, error) {
	ds.counts.add(ds.counts.requests, 1)
	ds.counts.add(ds.counts.watches, 1)
	return ds.gate.Watch(ctx, prefix, from, block)
}

// backgroundAgent is a worker agent that a goroutine runs (userCluster.runAgent). Its tasks complete
// after their duration, and end when the task lease expires.
type backgroundAgent struct {
	*worker
	// startedAt holds, by task, when the task started.
	startedAt map[string]time.Time
	// lastSent is when the last heartbeat was sent.
	lastSent time.Time
	// lastAcknowledged is when the last heartbeat that got a response was sent.
	lastAcknowledged time.Time
	// statusChanged makes the agent send a heartbeat at once.
	statusChanged chan struct{}
	// starts is the number of start commands received.
	starts atomic.Int64
}

// simulatedLease is the task lease of the machines.
const simulatedLease = 10 * time.Second

// userCluster is a cluster of three nodes with machines and users. Every answer that a user gets is
// checked.
type userCluster struct {
	*simulatedCluster
	checker *answerChecker
	links   *peerLinks
	// stores holds, by node, the node's access to the key-value store.
	stores        []*delayedStore
	requestCounts *requestCounts
	agents        []*backgroundAgent
	// taskDurations holds, by job, how long its tasks run. Tasks of other jobs run until
	// completeJob.
	taskDurations sync.Map
	// mute holds the nodes, by name, that heartbeats of machines do not reach.
	mute       sync.Map
	goroutines sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// overdueTasks holds the tasks that had not exited 30 s after the cancellation of their job
	// was confirmed.
	overdueTasks []string
	// stopped ends the machines, and the users that poll until a final phase.
	stopped atomic.Bool
}

// newUserCluster starts three nodes and the given number of machines.
func newUserCluster(sim *simulatedCluster, machines int) *userCluster {
	sim.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
	sim.teams[0].LimitCPUs = 1000
	tn := &userCluster{
		simulatedCluster: sim,
		checker:          newAnswerChecker(sim.t),
		links:            &peerLinks{},
		nodes:            make([]*node, 3),
		requestCounts: &requestCounts{
			requests: map[int64]int{},
			writes:   map[int64]int{},
			watches:  map[int64]int{},
		},
	}
	for i := range 3 {
		ds := &delayedStore{
			requestDelay:  time.Duration(2+3*i) * time.Millisecond,
			responseDelay: time.Duration(1+2*i) * time.Millisecond,
			counts:        tn.requestCounts,
		}
		ds.Fake = sim.store
		tn.stores = append(tn.stores, ds)
		tn.startNode(i)
	}
	for i := range machines {
		agent := &backgroundAgent{
			worker:           sim.worker(fmt.Sprintf("i-%d", i+1), "a", false),
			startedAt:        map[string]time.Time{},
			lastAcknowledged: time.Now(),
			statusChanged:    make(chan struct{}, 1),
		}
		tn.agents = append(tn.agents, agent)
		tn.goroutines.Go(func() { tn.runAgent(agent) })
	}
	time.Sleep(3 * time.Second)
	return tn
}

// startNode starts node i, also after a crash.
func (tn *userCluster) startNode(i int) {
	name := fmt.Sprint("n", i)
	n := tn.links.add(name, tn.startWith(name, tn.stores[i], tn.links))
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i] = n
}

// crash ends node i; users, machines and other nodes no longer reach it.
func (tn *userCluster) crash(i int) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i].crash()
	tn.links.nodes.Delete(tn.nodes[i].Settings.Node)
	tn.nodes[i] = nil
}

// nodeAt returns the current process of node i modulo 3 or, if that is down, of the next node that is
// up.
func (tn *userCluster) nodeAt(i int) *node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	for tn.nodes[i%3] == nil {
		i++
	}
	return tn.nodes[i%3]
}

// runningNodes returns the nodes that are up.
func (tn *userCluster) runningNodes() []*node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(tn.nodes), func(n *node) bool { return n == nil })
}

// awaitLeader waits until a node leads and returns its index.
func (tn *userCluster) awaitLeader() int {
	for {
		for i := range 3 {
			n := tn.nodeAt(i)
			status, err := n.PeerStatus(context.Background(), cancellation.Position{})
			if err == nil && status.Term > 0 {
				return int(n.Settings.Node[1] - '0')
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runAgent runs an agent until the cluster is closed. The agent sends a heartbeat once a second and
// whenever tasks complete. Tasks that have not exited 30 s after the cancellation of their job are
// recorded as overdue.
func (tn *userCluster) runAgent(agent *backgroundAgent) {
	for changed := false; !tn.stopped.Load(); {
		now := time.Now()
		agent.expireLease(now)
		if agent.completeTasks(tn, now, "") || changed || now.Sub(agent.lastSent) >= time.Second {
			agent.heartbeatAnyNode(tn)
		}
		for _, ref := range agent.running() {
			tn.checker.recordRunning(ref)
			id, _, _ := strings.Cut(ref, "/")
			if end, at := tn.checker.end(id); end == api.JobCancelled && now.Sub(at) > 30*time.Second {
				tn.recordOverdue(ref)
			}
		}
		select {
		case <-agent.statusChanged:
			changed = true
		case <-time.After(20 * time.Millisecond):
			changed = false
		}
	}
}

// recordOverdue records a task that has not exited in time after its job was cancelled.
func (tn *userCluster) recordOverdue(ref string) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	if !slices.Contains(tn.overdueTasks, ref) {
		tn.overdueTasks = append(tn.overdueTasks, ref)
	}
}

// checkNoneOverdue checks that no task was recorded as overdue.
func (tn *userCluster) checkNoneOverdue() {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.checkEqual("tasks on machines too long after a confirmed cancellation", tn.overdueTasks, []string(nil))
}

// heartbeatAnyNode sends a heartbeat to each running node in turn until one responds, and applies
// the commands of the response.
func (a *backgroundAgent) heartbeatAnyNode(tn *userCluster) {
	a.lastSent = time.Now()
	sent := a.lastSent
	for _, n := range tn.runningNodes() {
		if _, mute := tn.mute.Load(n.Settings.Node); mute {
			continue
		}
		commands, err := a.sendHeartbeat(n)
		if err != nil {
			continue
		}
		a.lastAcknowledged = sent
		a.applyCommands(commands)
		for _, cmd := range commands {
			if cmd.Verb == api.VerbStart {
				a.starts.Add(1)
			}
		}
		a.mu.Lock()
		for _, t := range a.status.Tasks {
			if _, ok := a.startedAt[t.Task]; !ok {
				a.startedAt[t.Task] = time.Now()
			}
		}
		a.mu.Unlock()
		return
	}
}

// expireLease ends the tasks and begins a new agent epoch if the task lease has expired.
func (a *backgroundAgent) expireLease(now time.Time) {
	if now.Sub(a.lastAcknowledged) <= simulatedLease {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status.AgentEpoch++
	a.status.Tasks, a.lastAcknowledged = nil, now
	clear(a.startedAt)
}

// completeTasks completes the running tasks of the given job, and those of other jobs whose duration
// has elapsed. It reports whether any task completed.
func (a *backgroundAgent) completeTasks(tn *userCluster, now time.Time, job string) (completed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.status.Tasks {
		t := &a.status.Tasks[i]
		id, _, _ := strings.Cut(t.Task, "/")
		duration, ok := tn.taskDurations.Load(id)
		elapsed := ok && now.Sub(a.startedAt[t.Task]) >= duration.(time.Duration)
		if t.Phase != api.TaskRunning || id != job && !elapsed {
			continue
		}
		t.Phase, t.Cause = api.TaskExited, api.CauseDone
		tn.checker.recordCompletion(t.Task)
		completed = true
	}
	return completed
}

// completeJob completes the running tasks of a job on all machines. There must be at least one, unless
// a user has requested the job's cancellation, which may have stopped them already.
func (tn *userCluster) completeJob(id string) {
	tn.t.Helper()
	machines := 0
	for _, agent := range tn.agents {
		if agent.completeTasks(tn, time.Now(), id) {
			agent.statusChanged <- struct{}{}
			machines++
		}
	}
	if machines == 0 && !tn.checker.cancelRequested(id) {
		tn.t.Errorf("running tasks of %s to complete: got none, want at least one", id)
	}
}

// runInBackground runs f, the actions of one user, in a goroutine. close waits for it.
func (tn *userCluster) runInBackground(f func()) { tn.goroutines.Go(f) }

// pollAll requests a job's state from all nodes in turn for the given time, once per interval, without
// waiting for the answers. Instead of a query, some requests are a repeated submission, which may be
// invalid. The checker checks the answers. Errors are ignored, since a node may fail any single
// request.
func (tn *userCluster) pollAll(s *api.JobSpec, interval, duration time.Duration) {
	submitted := func() bool {
		tn.checker.mu.Lock()
		defer tn.checker.mu.Unlock()
		return tn.checker.logOf(s.ID).submitted
	}
	tn.runInBackground(func() {
		for i := 0; time.Duration(i)*interval < duration; i++ {
			n := tn.nodeAt(i)
			tn.runInBackground(func() {
				switch {
				case i%5 == 4 && submitted():
					_ = tn.checker.submit(n, s)
				case i%17 == 3:
					_, _ = tn.checker.repeatInvalid(n, s.ID)
				default:
					_, _ = tn.checker.queryJob(n, s.ID)
				}
			})
			time.Sleep(interval)
		}
	})
}

// submitUntilAccepted submits a job at node i, or the next one that is up, until it is accepted.
func (tn *userCluster) submitUntilAccepted(i int, s *api.JobSpec) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.submit(tn.nodeAt(i), s) }); err != nil {
		tn.t.Errorf("submission of %s: got error %v, want none", s.ID, err)
	}
}

// cancelUntilConfirmed cancels a job at node i, or the next one that is up, until the cancellation is
// confirmed.
func (tn *userCluster) cancelUntilConfirmed(i int, id string) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.cancel(tn.nodeAt(i), id) }); err != nil {
		tn.t.Errorf("cancellation of %s: got error %v, want none", id, err)
	}
}

// cancelFromRecordsUntilConfirmed is like cancelUntilConfirmed for a node that decides from the records
// alone.
func (tn *userCluster) cancelFromRecordsUntilConfirmed(i int, id string) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.cancelFromRecords(tn.nodeAt(i), id) }); err != nil {
		tn.t.Errorf("cancellation of %s: got error %v, want none", id, err)
	}
}

// checkFinalPhases checks that all nodes return the wanted phases, given by job.
func (tn *userCluster) checkFinalPhases(want map[string]string) {
	for id, phase := range want {
		for i := range 3 {
			state, err := tn.checker.queryJob(tn.nodeAt(i), id)
			if got := state.Phase; err != nil || got != phase {
				tn.t.Errorf("final phase of %s at node %d: got %q, %v, want %q", id, i, got, err, phase)
			}
		}
	}
}

// close stops the machines, waits for the users, makes the key-value store deliver all responses
// again, and crashes all nodes.
func (tn *userCluster) close() {
	tn.stopped.Store(true)
	tn.goroutines.Wait()
	tn.store.LoseResponses(nil)
	for _, n := range tn.runningNodes() {
		n.crash()
	}
}

// modRevision returns the mod revision of a key, or 0 if the key does not exist.
func (tn *userCluster) modRevision(key string) uint64 {
	e, err := tn.store.Get(context.Background(), key)
	if err != nil {
		tn.t.Error(err)
	}
	return e.ModRevision
}

// countStarts returns the number of start commands that the machines have received.
func (tn *userCluster) countStarts() (n int64) {
	for _, agent := range tn.agents {
		n += agent.starts.Load()
	}
	return n
}

// countTasks returns the number of tasks on machines, in any phase.
func (tn *userCluster) countTasks() (n int) {
	for _, agent := range tn.agents {
		agent.mu.Lock()
		n += len(agent.status.Tasks)
		agent.mu.Unlock()
	}
	return n
}

// pollUntilFinal requests a job's state until its phase is final, from another node each time,
// beginning with node i.
func (tn *userCluster) pollUntilFinal(i int, id string, interval time.Duration) {
	tn.runInBackground(func() {
		for ; !tn.stopped.Load(); i++ {
			if state, err := tn.checker.queryJob(tn.nodeAt(i), id); err == nil && state.Final() {
				return
			}
			time.Sleep(interval)
		}
	})
}
