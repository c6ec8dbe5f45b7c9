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

// delayedStore is one node's access to the store. Requests and responses take a while, so that
// what other nodes do can happen in between.
type delayedStore struct {
	gate
	requestDelay, responseDelay time.Duration
	counts                      *requestCounts
}

// requestCounts counts the requests of the nodes to the store, by second.
type requestCounts struct {
	mu                        sync.Mutex
	requests, writes, watches map[int64]int
}

func (y *requestCounts) add(m map[int64]int, n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	m[time.Now().Unix()] += n
}

// maxAndSum returns the largest count of a second, and the sum.
func (y *requestCounts) maxAndSum(m map[int64]int) (largest, sum int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, n := range m {
		largest = max(largest, n)
		sum += n
	}
	return largest, sum
}

// reset sets all counts to zero.
func (y *requestCounts) reset() {
	y.mu.Lock()
	defer y.mu.Unlock()
	clear(y.requests)
	clear(y.writes)
	clear(y.watches)
}

// roundTrip applies a request after its delay, and returns the response after its own. A
// failure is returned without delay.
func roundTrip[T any](ctx context.Context, y *delayedStore, apply func() (T, error)) (T, error) {
	var result T
	y.counts.add(y.counts.requests, 1)
	for _, delay := range []time.Duration{y.requestDelay, y.responseDelay} {
		select {
		case <-ctx.Done():
			return result, kv.ErrOutcomeUnknown
		case <-time.After(delay):
		}
		if delay == y.requestDelay && apply != nil {
			v, err := apply()
			if err != nil {
				return v, err
			}
			result, apply = v, nil
		}
	}
	return result, nil
}

func (y *delayedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	return roundTrip(ctx, y, func() (kv.Entry, error) { return y.gate.Get(ctx, key) })
}

func (y *delayedStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	y.counts.add(y.counts.writes, len(txn.Ops))
	return roundTrip(ctx, y, func() (kv.Result, error) { return y.gate.Txn(ctx, txn) })
}

func (y *delayedStore) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	return roundTrip(ctx, y, func() (kv.Page, error) { return y.gate.Range(ctx, prefix, from, limit) })
}

func (y *delayedStore) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	y.counts.add(y.counts.requests, 1)
	y.counts.add(y.counts.watches, 1)
	return y.gate.Watch(ctx, prefix, from, block)
}

// backgroundAgent is a machine that sends heartbeats by itself. Its tasks end after their time, and
// with its task lease.
type backgroundAgent struct {
	*worker
	startedAt map[string]time.Time
	// lastSent is when its last heartbeat was sent, lastAcknowledged when the last one with a
	// response was.
	lastSent, lastAcknowledged time.Time
	// statusChanged makes it send a heartbeat at once.
	statusChanged chan struct{}
	// starts counts the start commands that it received.
	starts atomic.Int64
}

// userCluster is three nodes with their machines and users, whose answers are all checked.
type userCluster struct {
	*simulatedCluster
	checker       *answerChecker
	links         *links
	stores        []*delayedStore
	requestCounts *requestCounts
	agents        []*backgroundAgent
	// taskDurations is how long tasks run, by job; others run until the test ends them.
	taskDurations sync.Map
	goroutines    sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// overdueTasks are the tasks that were on machines for too long after the confirmed
	// cancellation of their jobs.
	overdueTasks []string
	stopped      atomic.Bool
}

func newUserCluster(w *simulatedCluster, hosts int) *userCluster {
	w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
	w.teams[0].LimitCPUs = 1000
	tn := &userCluster{
		simulatedCluster: w,
		checker:          newAnswerChecker(w.t),
		links:            &links{},
		nodes:            make([]*node, 3),
		requestCounts: &requestCounts{
			requests: map[int64]int{},
			writes:   map[int64]int{},
			watches:  map[int64]int{},
		},
	}
	for i := range 3 {
		y := &delayedStore{
			requestDelay:  time.Duration(2+3*i) * time.Millisecond,
			responseDelay: time.Duration(1+2*i) * time.Millisecond,
			counts:        tn.requestCounts,
		}
		y.Fake = w.store
		tn.stores = append(tn.stores, y)
		tn.startNode(i)
	}
	for i := range hosts {
		h := &backgroundAgent{
			worker:           w.worker(fmt.Sprintf("i-%d", i+1), "a", false),
			startedAt:        map[string]time.Time{},
			lastAcknowledged: time.Now(),
			statusChanged:    make(chan struct{}, 1),
		}
		tn.agents = append(tn.agents, h)
		tn.goroutines.Go(func() { tn.runAgent(h) })
	}
	time.Sleep(3 * time.Second)
	return tn
}

// startNode starts a node, or starts it again after a crash.
func (tn *userCluster) startNode(i int) {
	name := fmt.Sprint("n", i)
	n := tn.links.add(name, tn.startWith(name, tn.stores[i], tn.links))
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i] = n
}

// crash ends a node; users and machines no longer reach it.
func (tn *userCluster) crash(i int) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i].crash()
	tn.links.nodes.Delete(tn.nodes[i].Settings.Node)
	tn.nodes[i] = nil
}

// nodeAt returns the current process of a node, or of the next node that is up.
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

// awaitLeader waits until a node leads, and returns its number.
func (tn *userCluster) awaitLeader() int {
	for {
		for i := range 3 {
			n := tn.nodeAt(i)
			st, err := n.PeerStatus(context.Background(), cancellation.Position{})
			if err == nil && st.Term > 0 {
				return int(n.Settings.Node[1] - '0')
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runAgent has a machine send a heartbeat once a second and at every change.
func (tn *userCluster) runAgent(h *backgroundAgent) {
	for changed := false; !tn.stopped.Load(); {
		now := time.Now()
		if h.expireLease(now); h.completeTasks(tn, now, "") || changed || now.Sub(h.lastSent) >= time.Second {
			h.heartbeatAnyNode(tn)
		}
		for _, ref := range h.running() {
			id, _, _ := strings.Cut(ref, "/")
			if end, at := tn.checker.end(id); end == api.JobCancelled && now.Sub(at) > 30*time.Second {
				tn.recordOverdue(ref)
			}
		}
		select {
		case <-h.statusChanged:
			changed = true
		case <-time.After(20 * time.Millisecond):
			changed = false
		}
	}
}

// recordOverdue records a task that is on a machine for too long after its cancellation.
func (tn *userCluster) recordOverdue(ref string) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	if !slices.Contains(tn.overdueTasks, ref) {
		tn.overdueTasks = append(tn.overdueTasks, ref)
	}
}

// checkNoneOverdue checks that no task of a cancelled job was on a machine for longer than it
// may be.
func (tn *userCluster) checkNoneOverdue() {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.checkEqual("on machines too long after a confirmed cancellation", tn.overdueTasks, []string(nil))
}

// heartbeatAnyNode sends a heartbeat to the first node that responds, and applies its
// commands.
func (h *backgroundAgent) heartbeatAnyNode(tn *userCluster) {
	h.lastSent = time.Now()
	sent := h.lastSent
	for _, n := range tn.runningNodes() {
		commands, err := h.sendHeartbeat(n)
		if err != nil {
			continue
		}
		h.lastAcknowledged = sent
		h.applyCommands(commands)
		for _, cmd := range commands {
			if cmd.Verb == api.VerbStart {
				h.starts.Add(1)
			}
		}
		h.mu.Lock()
		for _, t := range h.status.Tasks {
			if _, ok := h.startedAt[t.Task]; !ok {
				h.startedAt[t.Task] = time.Now()
			}
		}
		h.mu.Unlock()
		return
	}
}

// expireLease ends the tasks, and begins a new agent epoch, if no heartbeat had a response in
// time.
func (h *backgroundAgent) expireLease(now time.Time) {
	if now.Sub(h.lastAcknowledged) <= 10*time.Second {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status.AgentEpoch++
	h.status.Tasks, h.lastAcknowledged = nil, now
	clear(h.startedAt)
}

// completeTasks completes the tasks whose time is up, and those of the job named. It reports
// whether there were any.
func (h *backgroundAgent) completeTasks(tn *userCluster, now time.Time, named string) (completed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.status.Tasks {
		t := &h.status.Tasks[i]
		id, _, _ := strings.Cut(t.Task, "/")
		takes, ok := tn.taskDurations.Load(id)
		timeUp := ok && now.Sub(h.startedAt[t.Task]) >= takes.(time.Duration)
		if t.Phase != api.TaskRunning || id != named && !timeUp {
			continue
		}
		t.Phase, t.Cause = api.TaskExited, api.CauseDone
		tn.checker.completed(t.Task)
		completed = true
	}
	return completed
}

// completeJob completes the tasks of a job now, wherever they run. Only a job whose user has requested
// its cancellation may have none left: a heartbeat in the meantime stops them.
func (tn *userCluster) completeJob(id string) {
	tn.t.Helper()
	machines := 0
	for _, h := range tn.agents {
		if h.completeTasks(tn, time.Now(), id) {
			h.statusChanged <- struct{}{}
			machines++
		}
	}
	if machines == 0 && !tn.checker.cancelRequested(id) {
		tn.t.Errorf("%s has no running task to complete", id)
	}
}

// runInBackground runs what one user does while the others go on.
func (tn *userCluster) runInBackground(f func()) { tn.goroutines.Go(f) }

// pollAll requests a job's state at all nodes in turn, with gap between two requests whether
// or not they are answered; some requests repeat the submission. The checker records the
// answers; an error is an outcome that these users accept.
func (tn *userCluster) pollAll(s *api.JobSpec, gap, span time.Duration) {
	submitted := func() bool {
		tn.checker.mu.Lock()
		defer tn.checker.mu.Unlock()
		return tn.checker.of(s.ID).submitted
	}
	tn.runInBackground(func() {
		for i := 0; time.Duration(i)*gap < span; i++ {
			n := tn.nodeAt(i)
			tn.runInBackground(func() {
				switch {
				case i%5 == 4 && submitted():
					_ = tn.checker.submit(n, s)
				case i%17 == 3:
					tn.checker.resubmitInvalid(n, s.ID)
				default:
					_, _ = tn.checker.ask(n, s.ID)
				}
			})
			time.Sleep(gap)
		}
	})
}

// submitUntilAccepted submits a job at a node until it is accepted.
func (tn *userCluster) submitUntilAccepted(i int, s *api.JobSpec) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.submit(tn.nodeAt(i), s) }); err != nil {
		tn.t.Errorf("submission of %s: %v", s.ID, err)
	}
}

// cancelUntilConfirmed cancels a job at a node until that is confirmed.
func (tn *userCluster) cancelUntilConfirmed(i int, id string) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.cancel(tn.nodeAt(i), id) }); err != nil {
		tn.t.Errorf("cancellation of %s: %v", id, err)
	}
}

// checkFinalPhases checks that all nodes answer the wanted phases of some jobs.
func (tn *userCluster) checkFinalPhases(want map[string]string) {
	for id, phase := range want {
		for i := range 3 {
			st, err := tn.checker.ask(tn.nodeAt(i), id)
			if got := st.Phase; err != nil || got != phase {
				tn.t.Errorf("%s at node %d in the end: got %q, %v, want %q", id, i, got, err, phase)
			}
		}
	}
}

// close ends machines, users and nodes. The store loses no response any more.
func (tn *userCluster) close() {
	tn.stopped.Store(true)
	tn.goroutines.Wait()
	tn.store.LoseResponses(nil)
	for _, n := range tn.runningNodes() {
		n.crash()
	}
}

// modRevision is the mod revision of a record, 0 if there is none.
func (tn *userCluster) modRevision(key string) uint64 {
	e, err := tn.store.Get(context.Background(), key)
	if err != nil {
		tn.t.Error(err)
	}
	return e.ModRevision
}

// countStarts is the number of start commands that the machines received.
func (tn *userCluster) countStarts() (n int64) {
	for _, h := range tn.agents {
		n += h.starts.Load()
	}
	return n
}

// countTasks is the number of tasks on machines, in whatever phase.
func (tn *userCluster) countTasks() (n int) {
	for _, h := range tn.agents {
		h.mu.Lock()
		n += len(h.status.Tasks)
		h.mu.Unlock()
	}
	return n
}

// pollUntilFinal has a job's user request its state until the answer is its end, each time at
// another node.
func (tn *userCluster) pollUntilFinal(i int, id string, interval time.Duration) {
	tn.runInBackground(func() {
		for ; !tn.stopped.Load(); i++ {
			if st, err := tn.checker.ask(tn.nodeAt(i), id); err == nil && st.Final() {
				return
			}
			time.Sleep(interval)
		}
	})
}
