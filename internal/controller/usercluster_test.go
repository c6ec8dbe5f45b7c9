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

// storePath is one node's access to the store. Requests and responses take a while, so that
// what other nodes do can happen in between.
type storePath struct {
	gate
	requestDelay, responseDelay time.Duration
	tally                       *requestCounts
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

// counts returns the largest count of a second, and the sum.
func (y *requestCounts) counts(m map[int64]int) (largest, sum int) {
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
func roundTrip[T any](ctx context.Context, y *storePath, apply func() (T, error)) (T, error) {
	var result T
	y.tally.add(y.tally.requests, 1)
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

func (y *storePath) Get(ctx context.Context, key string) (kv.Entry, error) {
	return roundTrip(ctx, y, func() (kv.Entry, error) { return y.gate.Get(ctx, key) })
}

func (y *storePath) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	y.tally.add(y.tally.writes, len(txn.Ops))
	return roundTrip(ctx, y, func() (kv.Result, error) { return y.gate.Txn(ctx, txn) })
}

func (y *storePath) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	return roundTrip(ctx, y, func() (kv.Page, error) { return y.gate.Range(ctx, prefix, from, limit) })
}

func (y *storePath) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	y.tally.add(y.tally.requests, 1)
	y.tally.add(y.tally.watches, 1)
	return y.gate.Watch(ctx, prefix, from, block)
}

// userHost is a machine that sends heartbeats by itself. Its tasks end after their time, and
// with its task lease.
type userHost struct {
	*worker
	startedAt map[string]time.Time
	// lastSent is when its last heartbeat was sent, lastAcknowledged when the last one with a
	// response was.
	lastSent, lastAcknowledged time.Time
	// changed makes it send a heartbeat at once.
	changed chan struct{}
	// starts counts the start commands that it received.
	starts atomic.Int64
}

// userCluster is three nodes with their machines and users, whose answers are all checked.
type userCluster struct {
	*simulatedCluster
	checker *answerChecker
	links   *peerLinks
	ways    []*storePath
	tally   *requestCounts
	hosts   []*userHost
	// takes is how long tasks run, by job; others run until the test ends them.
	takes sync.Map
	users sync.WaitGroup

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
		links:            &peerLinks{},
		nodes:            make([]*node, 3),
		tally: &requestCounts{
			requests: map[int64]int{},
			writes:   map[int64]int{},
			watches:  map[int64]int{},
		},
	}
	for i := range 3 {
		y := &storePath{
			requestDelay:  time.Duration(2+3*i) * time.Millisecond,
			responseDelay: time.Duration(1+2*i) * time.Millisecond,
			tally:         tn.tally,
		}
		y.Fake = w.store
		tn.ways = append(tn.ways, y)
		tn.startNode(i)
	}
	for i := range hosts {
		h := &userHost{
			worker:           w.worker(fmt.Sprintf("i-%d", i+1), "a", false),
			startedAt:        map[string]time.Time{},
			lastAcknowledged: time.Now(),
			changed:          make(chan struct{}, 1),
		}
		tn.hosts = append(tn.hosts, h)
		tn.users.Go(func() { tn.runMachine(h) })
	}
	time.Sleep(3 * time.Second)
	return tn
}

// startNode starts a node, or starts it again after a crash.
func (tn *userCluster) startNode(i int) {
	name := fmt.Sprint("n", i)
	n := tn.links.add(name, tn.startWith(name, tn.ways[i], tn.links))
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

// leader waits until a node leads, and returns its number.
func (tn *userCluster) leader() int {
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

// runMachine has a machine send a heartbeat once a second and at every change.
func (tn *userCluster) runMachine(h *userHost) {
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
		case <-h.changed:
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
func (h *userHost) heartbeatAnyNode(tn *userCluster) {
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
func (h *userHost) expireLease(now time.Time) {
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
func (h *userHost) completeTasks(tn *userCluster, now time.Time, named string) (completed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.status.Tasks {
		t := &h.status.Tasks[i]
		id, _, _ := strings.Cut(t.Task, "/")
		takes, ok := tn.takes.Load(id)
		timeUp := ok && now.Sub(h.startedAt[t.Task]) >= takes.(time.Duration)
		if t.Phase != api.TaskRunning || id != named && !timeUp {
			continue
		}
		t.Phase, t.Cause = api.TaskExited, api.CauseDone
		tn.checker.recordCompletion(t.Task)
		completed = true
	}
	return completed
}

// finish completes the tasks of a job now, wherever they run. Only a job whose user has requested
// its cancellation may have none left: a heartbeat in the meantime stops them.
func (tn *userCluster) finish(id string) {
	tn.t.Helper()
	machines := 0
	for _, h := range tn.hosts {
		if h.completeTasks(tn, time.Now(), id) {
			h.changed <- struct{}{}
			machines++
		}
	}
	if machines == 0 && !tn.checker.cancelRequested(id) {
		tn.t.Errorf("%s has no running task to complete", id)
	}
}

// background runs what one user does while the others go on.
func (tn *userCluster) background(f func()) { tn.users.Go(f) }

// pollAll requests a job's state at all nodes in turn, with gap between two requests whether
// or not they are answered; some requests repeat the submission. The checker records the
// answers; an error is an outcome that these users accept.
func (tn *userCluster) pollAll(s *api.JobSpec, gap, span time.Duration) {
	submitted := func() bool {
		tn.checker.mu.Lock()
		defer tn.checker.mu.Unlock()
		return tn.checker.logOf(s.ID).submitted
	}
	tn.background(func() {
		for i := 0; time.Duration(i)*gap < span; i++ {
			n := tn.nodeAt(i)
			tn.background(func() {
				switch {
				case i%5 == 4 && submitted():
					_ = tn.checker.submit(n, s)
				case i%17 == 3:
					tn.checker.resubmitInvalid(n, s.ID)
				default:
					_, _ = tn.checker.queryJob(n, s.ID)
				}
			})
			time.Sleep(gap)
		}
	})
}

// accept submits a job at a node until it is accepted.
func (tn *userCluster) accept(i int, s *api.JobSpec) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.submit(tn.nodeAt(i), s) }); err != nil {
		tn.t.Errorf("submission of %s: %v", s.ID, err)
	}
}

// cancel cancels a job at a node until that is confirmed.
func (tn *userCluster) cancel(i int, id string) {
	tn.t.Helper()
	if err := retryUntilAnswered(func() error { return tn.checker.cancel(tn.nodeAt(i), id) }); err != nil {
		tn.t.Errorf("cancellation of %s: %v", id, err)
	}
}

// checkFinalPhases checks that all nodes answer the wanted phases of some jobs.
func (tn *userCluster) checkFinalPhases(want map[string]string) {
	for id, phase := range want {
		for i := range 3 {
			st, err := tn.checker.queryJob(tn.nodeAt(i), id)
			if got := st.Phase; err != nil || got != phase {
				tn.t.Errorf("%s at node %d in the end: got %q, %v, want %q", id, i, got, err, phase)
			}
		}
	}
}

// close ends machines, users and nodes. The store loses no response any more.
func (tn *userCluster) close() {
	tn.stopped.Store(true)
	tn.users.Wait()
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

// starts is the number of start commands that the machines received.
func (tn *userCluster) starts() (n int64) {
	for _, h := range tn.hosts {
		n += h.starts.Load()
	}
	return n
}

// tasksOnMachines is the number of tasks on machines, in whatever phase.
func (tn *userCluster) tasksOnMachines() (n int) {
	for _, h := range tn.hosts {
		h.mu.Lock()
		n += len(h.status.Tasks)
		h.mu.Unlock()
	}
	return n
}

// pollUntilFinal has a job's user request its state until the answer is its end, each time at
// another node.
func (tn *userCluster) pollUntilFinal(i int, id string, interval time.Duration) {
	tn.background(func() {
		for ; !tn.stopped.Load(); i++ {
			if st, err := tn.checker.queryJob(tn.nodeAt(i), id); err == nil && st.Final() {
				return
			}
			time.Sleep(interval)
		}
	})
}
