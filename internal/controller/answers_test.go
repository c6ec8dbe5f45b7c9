package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

// way is one node's way to the store. Requests take a while there and back, so
// that what others do can come between.
type way struct {
	gate
	there, back time.Duration
	tally       *tally
}

// tally counts what the nodes ask of the store, by second.
type tally struct {
	mu                        sync.Mutex
	requests, writes, watches map[int64]int
}

func (y *tally) add(m map[int64]int, n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	m[time.Now().Unix()] += n
}

// counts are the largest count of a second and the sum.
func (y *tally) counts(m map[int64]int) (most, sum int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, n := range m {
		most = max(most, n)
		sum += n
	}
	return most, sum
}

// reset begins anew.
func (y *tally) reset() {
	y.mu.Lock()
	defer y.mu.Unlock()
	clear(y.requests)
	clear(y.writes)
	clear(y.watches)
}

// trip carries a request out after its way there, and its answer after its way back.
func trip[T any](ctx context.Context, y *way, f func() (T, error)) (T, error) {
	var none T
	y.tally.add(y.tally.requests, 1)
	for _, leg := range []time.Duration{y.there, y.back} {
		select {
		case <-ctx.Done():
			return none, store.ErrUnknown
		case <-time.After(leg):
		}
		if leg == y.there && f != nil {
			v, err := f()
			if err != nil {
				return v, err
			}
			none, f = v, nil
		}
	}
	return none, nil
}

func (y *way) Get(ctx context.Context, key string) (store.Entry, error) {
	return trip(ctx, y, func() (store.Entry, error) { return y.gate.Get(ctx, key) })
}

func (y *way) Txn(ctx context.Context, txn store.Txn) (store.Result, error) {
	y.tally.add(y.tally.writes, len(txn.Ops))
	return trip(ctx, y, func() (store.Result, error) { return y.gate.Txn(ctx, txn) })
}

func (y *way) Range(ctx context.Context, prefix, from string, most int) (store.Page, error) {
	return trip(ctx, y, func() (store.Page, error) { return y.gate.Range(ctx, prefix, from, most) })
}

func (y *way) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (store.Changes, error) {
	y.tally.add(y.tally.requests, 1)
	y.tally.add(y.tally.watches, 1)
	return y.gate.Watch(ctx, prefix, from, block)
}

// userHost is a scripted machine that reports by itself, whose tasks end after their
// time and with its lease.
type userHost struct {
	*worker
	began map[string]time.Time
	// sent is when its last report was sent, leased when the last answered one was.
	sent, leased time.Time
	// changed wakes it to report.
	changed chan struct{}
	// starts counts the starts that it was ordered.
	starts atomic.Int64
}

// userCluster is three nodes with their machines and users, who note all they are told.
type userCluster struct {
	*cluster
	checker *answerChecker
	links   *links
	ways    []*way
	tally   *tally
	hosts   []*userHost
	// takes is how long tasks run, by job; others run until ended.
	takes sync.Map
	users sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// stayed are the tasks that were on machines for too long after a confirmed
	// cancellation.
	stayed []string
	over   atomic.Bool
}

func newUserCluster(w *cluster, hosts int) *userCluster {
	w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
	w.teams[0].CPUsMax = 1000
	tn := &userCluster{cluster: w, checker: newAnswerChecker(w.t), links: &links{}, nodes: make([]*node, 3),
		tally: &tally{requests: map[int64]int{}, writes: map[int64]int{}, watches: map[int64]int{}}}
	for i := range 3 {
		y := &way{there: time.Duration(2+3*i) * time.Millisecond, back: time.Duration(1+2*i) * time.Millisecond, tally: tn.tally}
		y.gate.Fake = w.store
		tn.ways = append(tn.ways, y)
		tn.begin(i)
	}
	for i := range hosts {
		h := &userHost{worker: w.worker(fmt.Sprintf("i-%d", i+1), "a", false), began: map[string]time.Time{}, leased: time.Now(), changed: make(chan struct{}, 1)}
		tn.hosts = append(tn.hosts, h)
		tn.users.Go(func() { tn.live(h) })
	}
	time.Sleep(3 * time.Second)
	return tn
}

// begin starts a node, or starts it anew after a crash.
func (tn *userCluster) begin(i int) {
	name := fmt.Sprint("n", i)
	n := tn.links.add(name, tn.startWith(name, tn.ways[i], tn.links))
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i] = n
}

// crash ends a node; users and machines no longer come to it.
func (tn *userCluster) crash(i int) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i].crash()
	tn.links.nodes.Delete(tn.nodes[i].Settings.Node)
	tn.nodes[i] = nil
}

// at is a node as it is at present, or the next if that is down.
func (tn *userCluster) at(i int) *node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	for tn.nodes[i%3] == nil {
		i++
	}
	return tn.nodes[i%3]
}

// all are the nodes that are up.
func (tn *userCluster) all() []*node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(tn.nodes), func(n *node) bool { return n == nil })
}

// leader waits until a node leads, and is its number.
func (tn *userCluster) leader() int {
	for {
		for i := range 3 {
			n := tn.at(i)
			st, err := n.PeerStatus(context.Background(), CancelPosition{})
			if err == nil && st.Term > 0 {
				return int(n.Settings.Node[1] - '0')
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// live has a machine report once a second and at every change.
func (tn *userCluster) live(h *userHost) {
	for changed := false; !tn.over.Load(); {
		now := time.Now()
		if h.lapse(now); h.end(tn, now, "") || changed || now.Sub(h.sent) >= time.Second {
			h.tell(tn)
		}
		for _, ref := range h.running() {
			id, _, _ := strings.Cut(ref, "/")
			if end, at := tn.checker.end(id); end == api.JobWithdrawn && now.Sub(at) > 30*time.Second {
				tn.stays(ref)
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

func (tn *userCluster) stays(ref string) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	if !slices.Contains(tn.stayed, ref) {
		tn.stayed = append(tn.stayed, ref)
	}
}

// gone sees that no task of a cancelled job has stayed for longer than it may.
func (tn *userCluster) gone() {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.same("on machines too long after a confirmed cancellation", tn.stayed, []string(nil))
}

// tell sends a report to whichever node answers it.
func (h *userHost) tell(tn *userCluster) {
	h.sent = time.Now()
	sent := h.sent
	for _, n := range tn.all() {
		orders, err := h.send(n)
		if err != nil {
			continue
		}
		h.leased = sent
		h.obey(orders)
		for _, o := range orders {
			if o.Verb == api.VerbStart {
				h.starts.Add(1)
			}
		}
		h.mu.Lock()
		for _, t := range h.rep.Tasks {
			if _, ok := h.began[t.Task]; !ok {
				h.began[t.Task] = time.Now()
			}
		}
		h.mu.Unlock()
		return
	}
}

// lapse ends the machine's lease if no report was answered in time.
func (h *userHost) lapse(now time.Time) {
	if now.Sub(h.leased) <= 10*time.Second {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rep.Session++
	h.rep.Tasks, h.leased = nil, now
	clear(h.began)
}

// end completes the tasks whose time is over, and those of the job named.
func (h *userHost) end(tn *userCluster, now time.Time, named string) (any bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.rep.Tasks {
		t := &h.rep.Tasks[i]
		id, _, _ := strings.Cut(t.Task, "/")
		takes, ok := tn.takes.Load(id)
		if t.Phase != api.TaskRunning || !(id == named || ok && now.Sub(h.began[t.Task]) >= takes.(time.Duration)) {
			continue
		}
		t.Phase, t.Cause = api.TaskExited, api.CauseDone
		tn.checker.completed(t.Task)
		any = true
	}
	return any
}

// finish ends the tasks of a job now, wherever they run.
func (tn *userCluster) finish(id string) {
	n := 0
	for _, h := range tn.hosts {
		if h.end(tn, time.Now(), id) {
			h.changed <- struct{}{}
			n++
		}
	}
	if n == 0 {
		tn.t.Errorf("%s has no task to end", id)
	}
}

// background does what some user does while the others go on.
func (tn *userCluster) background(f func()) { tn.users.Go(f) }

// pollAll asks about a job at all nodes in turn, with gap between two questions
// whether or not they are answered; some repeat the submission.
func (tn *userCluster) pollAll(s *api.JobSpec, gap, span time.Duration) {
	submitted := func() bool {
		tn.checker.mu.Lock()
		defer tn.checker.mu.Unlock()
		return tn.checker.of(s.ID).submitted
	}
	tn.background(func() {
		for i := 0; time.Duration(i)*gap < span; i++ {
			n := tn.at(i)
			tn.background(func() {
				switch {
				case i%5 == 4 && submitted():
					tn.checker.submit(n, s)
				case i%17 == 3:
					tn.checker.resubmitInvalid(n, s.ID)
				default:
					tn.checker.ask(n, s.ID)
				}
			})
			time.Sleep(gap)
		}
	})
}

func (tn *userCluster) accept(i int, s *api.JobSpec) {
	if err := insist(func() error { _, err := tn.checker.submit(tn.at(i), s); return err }); err != nil {
		tn.t.Errorf("submission of %s: %v", s.ID, err)
	}
}

func (tn *userCluster) cancel(i int, id string) string {
	var st api.JobState
	if err := insist(func() (err error) { st, err = tn.checker.cancel(tn.at(i), id); return err }); err != nil {
		tn.t.Errorf("cancellation of %s: %v", id, err)
	}
	return st.Phase
}

// finally waits for the users and sees that all nodes tell the same of a job.
func (tn *userCluster) finally(want map[string]string) {
	for id, phase := range want {
		for i := range 3 {
			st, err := tn.checker.ask(tn.at(i), id)
			if got := st.Phase; err != nil || got != phase {
				tn.t.Errorf("%s at node %d in the end: %q, %v, want %s", id, i, got, err, phase)
			}
		}
	}
}

// close ends machines, users and nodes, with what these have on the way.
func (tn *userCluster) close() {
	tn.over.Store(true)
	tn.users.Wait()
	tn.store.Lose(nil)
	for _, n := range tn.all() {
		n.crash()
	}
	time.Sleep(10 * time.Second)
}

// Users ask at all nodes within milliseconds, repeat the submission and cancel,
// just when a job is accepted, ends or is cancelled. No node may tell anything
// older: not the leader whose watch lags, nor one that has just begun or ceased to
// lead.
func TestAnswersNeverGetOlder(t *testing.T) {
	for _, c := range []struct {
		name string
		// before comes well before the moment, trouble at the moment.
		before, trouble func(tn *userCluster)
		// step is how much later the users act in each try.
		step time.Duration
	}{
		{name: "calm", step: 13 * time.Millisecond},
		{name: "blind", step: 100 * time.Millisecond, trouble: func(tn *userCluster) {
			tn.store.SetBlind(true)
			time.Sleep(1500 * time.Millisecond)
			tn.store.SetBlind(false)
		}},
		{name: "newly elected", step: 60 * time.Millisecond, trouble: func(tn *userCluster) {
			tn.crash(0)
			tn.begin(0)
		}},
		{name: "another one", step: 700 * time.Millisecond, trouble: func(tn *userCluster) {
			tn.ways[0].set(true)
			time.Sleep(9 * time.Second)
			tn.ways[0].set(false)
		}},
		{name: "former leader", step: 60 * time.Millisecond, before: func(tn *userCluster) {
			tn.ways[0].set(true)
			time.Sleep(9 * time.Second)
		}, trouble: func(tn *userCluster) { tn.ways[0].set(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for try := range 10 {
				simulate(t, func(w *cluster) {
					tn := newUserCluster(w, 2)
					defer tn.close()
					ends, stays, called, atOnce := spec("job-1", 2), spec("job-2", 1), spec("job-3", 2), spec("job-4", 1)
					tn.accept(0, ends)
					tn.accept(1, called)
					time.Sleep(3 * time.Second)
					w.same("running", w.phase(tn.at(0), "job-1")+w.phase(tn.at(0), "job-3"), "runningrunning")
					if c.before != nil {
						c.before(tn)
					}
					if c.trouble != nil {
						tn.background(func() { c.trouble(tn) })
					}
					time.Sleep(time.Duration(try) * c.step)
					for _, s := range []*api.JobSpec{ends, stays, called, atOnce} {
						tn.pollAll(s, 4*time.Millisecond, 900*time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					tn.background(func() { tn.finish("job-1") })
					tn.background(func() { tn.accept(2, stays) })
					tn.background(func() { tn.cancel(try, "job-3") })
					tn.background(func() { tn.accept(try, atOnce); tn.cancel(try+1, "job-4") })
					time.Sleep(12 * time.Second)
					w.same("enough was told", tn.checker.answers() > 200, true)
					tn.finally(map[string]string{"job-1": "done", "job-2": "running", "job-3": "withdrawn", "job-4": "withdrawn"})
					tn.gone()
					w.same("a job nobody submitted", w.phase(tn.at(try), "job-9"), api.ErrUnknownJob.Error())
				})
			}
		})
	}
}

// Matches of transactions.

func accepts(id string) func(store.Txn) bool {
	return func(txn store.Txn) bool {
		return slices.ContainsFunc(txn.Ops, func(op store.Op) bool { return op.Put == store.ActivePrefix+id })
	}
}

func cancels(id string) func(store.Txn) bool {
	return func(txn store.Txn) bool { return !txn.Records && touches(store.FinalPrefix+id)(txn) }
}

func ends(id string) func(store.Txn) bool {
	return func(txn store.Txn) bool { return txn.Records && touches(store.FinalPrefix+id)(txn) }
}

// once matches the first transaction only.
func once(match func(store.Txn) bool) func(store.Txn) bool {
	done := false
	return func(txn store.Txn) bool {
		if done {
			return false
		}
		done = match(txn)
		return done
	}
}

// written is the version of a record, 0 if there is none.
func (tn *userCluster) written(key string) uint64 {
	e, err := tn.store.Get(context.Background(), key)
	if err != nil {
		tn.t.Error(err)
	}
	return e.Mark
}

// starts is how many starts the machines were ordered.
func (tn *userCluster) starts() (n int64) {
	for _, h := range tn.hosts {
		n += h.starts.Load()
	}
	return n
}

// held is how many tasks are on machines, in whatever state.
func (tn *userCluster) held() (n int) {
	for _, h := range tn.hosts {
		h.mu.Lock()
		n += len(h.rep.Tasks)
		h.mu.Unlock()
	}
	return n
}

// A transaction is carried out and only its answer is lost, while others read what
// it wrote; the writer may then be refused for a while. It tells the same as they
// do, and neither fails what it has done nor does it once more.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name, key string
		lose      func(store.Txn) bool
		// by are the nodes that may write it; n0 leads.
		by   []int
		act  func(tn *userCluster, by int) error
		want string
		// starts and held are of the machines in the end.
		starts int64
		held   int
	}{
		{"acceptance", store.ActivePrefix + "job-1", accepts("job-1"), []int{0, 1}, func(tn *userCluster, by int) error {
			_, err := tn.checker.submit(tn.at(by), spec("job-1", 2))
			return err
		}, "running", 2, 2},
		{"cancellation", store.FinalPrefix + "job-1", cancels("job-1"), []int{0, 2}, func(tn *userCluster, by int) error {
			_, err := tn.checker.cancel(tn.at(by), "job-1")
			return err
		}, "withdrawn", 2, 0},
		{"end", store.FinalPrefix + "job-1", ends("job-1"), []int{0}, func(tn *userCluster, _ int) error {
			tn.finish("job-1")
			return nil
		}, "done", 2, 0},
	} {
		for _, by := range c.by {
			for _, refused := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprint(c.name, " by n", by, ", then refused for ", refused), func(t *testing.T) {
					simulate(t, func(w *cluster) {
						tn := newUserCluster(w, 2)
						defer tn.close()
						if c.name != "acceptance" {
							tn.accept(1, spec("job-1", 2))
							time.Sleep(3 * time.Second)
						}
						w.store.Lose(once(c.lose))
						tn.pollAll(spec("job-1", 2), 7*time.Millisecond, 3*time.Second)
						tn.background(func() {
							err := c.act(tn, by)
							if refused == 0 && err != nil {
								t.Errorf("told as if it had failed: %v", err)
							}
							if err != nil {
								err = insist(func() error { return c.act(tn, by) })
							}
							if err != nil {
								t.Errorf("in the end: %v", err)
							}
						})
						for !w.store.Has(c.key) {
							time.Sleep(time.Millisecond)
						}
						first := tn.written(c.key)
						tn.ways[by].set(refused > 0)
						time.Sleep(refused)
						tn.ways[by].set(false)
						time.Sleep(12 * time.Second)
						tn.finally(map[string]string{"job-1": c.want})
						w.same("written once", tn.written(c.key), first)
						w.same("starts", tn.starts(), c.starts)
						w.same("on machines", tn.held(), c.held)
						if c.want == "done" && refused == 0 {
							_, endedAt := tn.checker.end("job-1")
							w.same("told in time", endedAt.Sub(tn.checker.doneAt("job-1")) < 3*time.Second, true)
						}
						if c.want != "running" {
							tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.leadership.jobs), 0) })
						}
					})
				})
			}
		}
	}
}

// A transaction without an answer is carried out late, when newer ones of the same
// controller have been: it must not bring a job back, end it anew, or change how it
// ended.
func TestLateTransactions(t *testing.T) {
	// Each act follows the one before by half a second.
	accept := func(tn *userCluster) { tn.accept(0, spec("job-1", 1)) }
	cancel := func(tn *userCluster) { tn.cancel(0, "job-1") }
	end := func(tn *userCluster) { tn.finish("job-1") }
	for _, c := range []struct {
		name    string
		hold    func(store.Txn) bool
		every   bool // held back until the release, not only the first
		running bool // to begin with
		blind   bool // the watches show nothing meanwhile
		acts    []func(tn *userCluster)
		want    string // "": either end
	}{
		{"acceptance, repeated", accepts("job-1"), false, false, false, []func(*userCluster){accept}, "running"},
		{"acceptance, cancelled since", accepts("job-1"), false, false, false, []func(*userCluster){accept, cancel}, "withdrawn"},
		{"acceptance, ended since", accepts("job-1"), false, false, false, []func(*userCluster){accept, func(*userCluster) { time.Sleep(2 * time.Second) }, end}, "done"},
		{"cancellation, repeated", cancels("job-1"), false, true, false, []func(*userCluster){cancel}, "withdrawn"},
		{"cancellation, given up, ended since", cancels("job-1"), true, true, false, []func(*userCluster){func(tn *userCluster) { tn.checker.cancel(tn.at(0), "job-1") }, func(tn *userCluster) {
			if len(tn.hosts[0].running())+len(tn.hosts[1].running()) > 0 {
				end(tn)
			}
		}}, ""},
		{"end, repeated", ends("job-1"), false, true, false, []func(*userCluster){end}, "done"},
		{"end, cancelled since", ends("job-1"), false, true, false, []func(*userCluster){end, cancel}, ""},
		{"end, cancelled since at another node", ends("job-1"), false, true, true, []func(*userCluster){end, func(tn *userCluster) { tn.cancel(1, "job-1") }}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			late, seen := 0, map[string]int{}
			for release := 100 * time.Millisecond; release < 9*time.Second; release += 420 * time.Millisecond {
				simulate(t, func(w *cluster) {
					tn := newUserCluster(w, 2)
					defer tn.close()
					if c.running {
						tn.accept(0, spec("job-1", 1))
						time.Sleep(3 * time.Second)
					}
					if w.store.SetBlind(c.blind); c.every {
						w.store.Hold(c.hold)
					} else {
						w.store.Hold(once(c.hold))
					}
					tn.pollAll(spec("job-1", 1), 60*time.Millisecond, 14*time.Second)
					tn.background(func() {
						for _, act := range c.acts {
							act(tn)
							time.Sleep(500 * time.Millisecond)
						}
					})
					time.Sleep(release)
					final, before := store.FinalPrefix+"job-1", uint64(0)
					if before = tn.written(final); before != 0 {
						late++
					}
					w.same("held back", w.store.Held() > 0, true)
					for _, res := range w.store.Release() {
						w.same("carried out over an end", before != 0 && res.OK, false)
					}
					time.Sleep(13*time.Second - release)
					w.store.SetBlind(false)
					time.Sleep(3 * time.Second)
					want := c.want
					if end, _ := tn.checker.end("job-1"); want == "" {
						want = end
					}
					seen[want]++
					tn.finally(map[string]string{"job-1": want})
					if before != 0 {
						w.same("written once", tn.written(final), before)
					}
					if want != "running" {
						w.same("on machines", tn.held(), 0)
						tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.leadership.jobs), 0) })
					}
				})
			}
			if c.want != "running" && late == 0 {
				t.Error("nothing was late")
			}
			if c.want == "" && (seen["done"] == 0 || seen["withdrawn"] == 0) {
				t.Errorf("ends seen: %v", seen)
			}
		})
	}
}

// A cancellation, a question or a repeated submission meets the end of a job's last
// task, with no other trouble: by a few milliseconds earlier or later, at the leader
// and elsewhere. Whatever it is told, all are told from then on.
func TestRequestsAroundTheEnd(t *testing.T) {
	const jobs, tries, step = 8, 15, 3 * time.Millisecond
	for _, c := range []struct {
		name string
		act  func(tn *userCluster, at int, s *api.JobSpec)
		// ends are those that must be seen in the sweep.
		ends []string
	}{
		{"cancellation", func(tn *userCluster, at int, s *api.JobSpec) { tn.cancel(at, s.ID) }, []string{"done", "withdrawn"}},
		{"question", func(tn *userCluster, at int, s *api.JobSpec) { tn.checker.ask(tn.at(at), s.ID) }, []string{"done"}},
		{"submission", func(tn *userCluster, at int, s *api.JobSpec) { tn.accept(at, s) }, []string{"done"}},
	} {
		for by := range 2 {
			t.Run(fmt.Sprint(c.name, " at n", by), func(t *testing.T) {
				seen := map[string]int{}
				for try := range tries {
					simulate(t, func(w *cluster) {
						tn := newUserCluster(w, jobs/4)
						defer tn.close()
						var specs []*api.JobSpec
						for i := range jobs {
							specs = append(specs, spec(fmt.Sprint("job-", i), 1))
							tn.accept(i, specs[i])
						}
						time.Sleep(4 * time.Second)
						w.same("running", tn.held(), jobs)
						// A tick's place in the second must not decide.
						time.Sleep(time.Duration(try) * 7 * time.Millisecond)
						tn.background(func() {
							time.Sleep(80 * time.Millisecond)
							for _, s := range specs {
								tn.finish(s.ID)
							}
						})
						for i, s := range specs {
							tn.background(func() {
								time.Sleep(time.Duration(i*tries+try) * step) // over 360 ms
								c.act(tn, by, s)
								for k := range 12 {
									tn.background(func() { tn.checker.ask(tn.at(k), s.ID) })
									time.Sleep(time.Duration(k) * time.Millisecond)
								}
								tn.accept(by+1, s)
							})
						}
						time.Sleep(3080 * time.Millisecond)
						want := map[string]string{}
						for i, s := range specs {
							st, err := tn.checker.ask(tn.at(i), s.ID)
							if err != nil || !st.Final() {
								t.Errorf("%s, 3 s after its end: %v, %v", s.ID, st, err)
							}
							seen[st.Phase]++
							want[s.ID] = st.Phase
						}
						time.Sleep(2 * time.Second)
						tn.finally(want)
						w.same("on machines", tn.held(), 0)
						w.same("starts", tn.starts(), jobs)
					})
				}
				for _, phase := range c.ends {
					w := seen[phase]
					if w < jobs*tries/10 {
						t.Errorf("%s seen %d times: %v", phase, w, seen)
					}
				}
			})
		}
	}
}

// The store refuses the leader alone and then everybody, for longer than a
// cancellation has, while users cancel and ask at all nodes: what was told holds,
// and once the store is back all is answered.
func TestAnswersAroundAnOutage(t *testing.T) {
	aloneThenOut(t, func(tn *userCluster, want map[string]string) { tn.finally(want) })
}

// Nor does a task run on for longer than a cancellation has: the leader hears of what
// was cancelled through the others while it alone was refused.
func TestCancelledTasksAroundAnOutage(t *testing.T) {
	aloneThenOut(t, func(tn *userCluster, _ map[string]string) { tn.gone() })
}

func aloneThenOut(t *testing.T, judge func(tn *userCluster, want map[string]string)) {
	for _, alone := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 8 * time.Second, 11 * time.Second, 15 * time.Second} {
		t.Run(fmt.Sprint("alone for ", alone), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				tn := newUserCluster(w, 6)
				defer tn.close()
				time.Sleep(10 * time.Second) // all nodes know each other
				const jobs = 20
				want := map[string]string{}
				for i := range jobs {
					s := spec(fmt.Sprint("job-", i), 1)
					if want[s.ID] = "done"; i%2 == 0 {
						want[s.ID] = "withdrawn"
					} else {
						tn.takes.Store(s.ID, time.Duration(10+i)*time.Second)
					}
					tn.accept(i, s)
				}
				time.Sleep(3 * time.Second)
				w.same("running", tn.held(), jobs)
				tn.background(func() {
					tn.ways[0].set(true)
					time.Sleep(alone)
					w.store.SetDown(true)
					time.Sleep(35 * time.Second)
					w.store.SetDown(false)
					tn.ways[0].set(false)
				})
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					tn.pollAll(spec(id, 1), 300*time.Millisecond, alone+40*time.Second)
					if i%2 == 0 {
						tn.background(func() {
							time.Sleep(time.Duration(i) * alone / 14) // the last ones in the outage
							tn.cancel(i/2, id)
						})
					}
				}
				time.Sleep(alone + 43*time.Second)
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					for k := range 3 {
						if _, err := tn.checker.ask(tn.at(k), id); err != nil {
							t.Errorf("%s at node %d, 8 s after the outage: %v", id, k, err)
						}
					}
				}
				time.Sleep(60 * time.Second)
				w.same("on machines", tn.held(), 0)
				judge(tn, want)
			})
		})
	}
}

// follow has a job's user ask until told of its end, each time at another node.
func (tn *userCluster) follow(i int, id string, every time.Duration) {
	tn.background(func() {
		for ; !tn.over.Load(); i++ {
			if st, err := tn.checker.ask(tn.at(i), id); err == nil && st.Final() {
				return
			}
			time.Sleep(every)
		}
	})
}

// Small jobs come four a second for minutes, a quarter of them cancelled. What that
// costs must not grow: the writes and watches of a second, and the jobs in memory.
func TestManySmallJobs(t *testing.T) {
	simulate(t, func(w *cluster) {
		tn := newUserCluster(w, 10)
		defer tn.close()
		const jobs = 720
		want := map[string]string{}
		inMemory, lists := 0, 0
		tn.tally.reset()
		for i := range jobs {
			s := spec(fmt.Sprint("job-", i), 1)
			tn.takes.Store(s.ID, 2*time.Second)
			tn.background(func() {
				tn.accept(i, s)
				tn.follow(i, s.ID, 700*time.Millisecond)
				if i%4 == 1 {
					time.Sleep(time.Duration(i*37%4000) * time.Millisecond)
					tn.cancel(i/4, s.ID)
					for k := range 6 {
						tn.background(func() { tn.checker.ask(tn.at(k), s.ID) })
					}
				}
			})
			// Four within some milliseconds, since one watch may show them all.
			if time.Sleep(8 * time.Millisecond); i%4 == 3 {
				time.Sleep(968 * time.Millisecond)
				tn.at(0).look(func(c *Controller) {
					r := c.leadership
					if r == nil {
						t.Error("the leader leads no more")
						return
					}
					inMemory = max(inMemory, len(r.jobs))
					lists = max(lists, len(r.recorder.finishing)+len(r.recorder.drops)+len(r.recorder.dirty)+len(r.recorder.unsettled))
				})
			}
		}
		time.Sleep(15 * time.Second)
		late, cancelled := 0, 0
		for i := range jobs {
			id := fmt.Sprint("job-", i)
			end, at := tn.checker.end(id)
			if want[id] = end; end == api.JobWithdrawn {
				cancelled++
			} else if at.Sub(tn.checker.doneAt(id)) > 3*time.Second+700*time.Millisecond {
				late++
			}
			w.same("an end", end != "", true)
		}
		w.same("told late of an end", late, 0)
		tn.finally(want)
		tn.gone()
		mostRequests, _ := tn.tally.counts(tn.tally.requests)
		mostWrites, writes := tn.tally.counts(tn.tally.writes)
		mostWatches, watches := tn.tally.counts(tn.tally.watches)
		for _, b := range []struct {
			what      string
			got, most int
		}{
			{"requests in a second", mostRequests, 45},
			{"writes in a second", mostWrites, 25},
			// Its record, its end in the record's place, and the mark of a
			// cancellation; a few for machines.
			{"writes", writes, 3*jobs + cancelled + 60},
			{"watches in a second", mostWatches, 10},
			{"watches", watches, 700},
			{"jobs in memory", inMemory, 16},
			{"records to write", lists, 20},
		} {
			if b.got > b.most {
				t.Errorf("%s: %d, more than %d", b.what, b.got, b.most)
			}
		}
		w.same("cancelled in time", cancelled > 100, true)
		tn.at(0).look(func(c *Controller) {
			if c.leadership == nil {
				return
			}
			w.same("jobs left", len(c.leadership.jobs), 0)
			for _, m := range c.leadership.machines {
				w.same("attempts left", len(m.attempts), 0)
			}
		})
		for _, prefix := range []string{store.ActivePrefix + "job-", store.ProgressPrefix} {
			p, err := w.store.Range(context.Background(), prefix, "", 10)
			if err != nil || len(p.Rows) > 0 {
				t.Errorf("records left under %s: %v, %v", prefix, p.Rows, err)
			}
		}
	})
}

// Whatever is accepted and not cancelled stays known and is done in the end, with
// changes of leader of every kind and answers lost meanwhile.
func TestAcceptedJobsAreDoneAcrossLeaders(t *testing.T) {
	for shift := time.Duration(0); shift < 4*time.Second; shift += 700 * time.Millisecond {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				tn := newUserCluster(w, 5)
				defer tn.close()
				time.Sleep(10 * time.Second)
				// Every fifth transaction's answer is lost.
				writes, lost := 0, 0
				w.store.Lose(func(txn store.Txn) bool {
					if len(txn.Ops) == 0 {
						return false
					}
					if writes++; writes%5 == 0 {
						lost++
					}
					return writes%5 == 0
				})
				tn.background(func() {
					time.Sleep(15*time.Second + shift)
					i := tn.leader() // back at once
					tn.crash(i)
					tn.begin(i)
					time.Sleep(25 * time.Second)
					i = tn.leader() // refused alone: resigns
					tn.ways[i].set(true)
					time.Sleep(15 * time.Second)
					tn.ways[i].set(false)
					time.Sleep(10 * time.Second)
					i = tn.leader() // away until its lease is over
					tn.crash(i)
					time.Sleep(40 * time.Second)
					tn.begin(i)
				})
				const jobs = 60
				want := map[string]string{}
				for i := range jobs {
					s := spec(fmt.Sprint("job-", i), 1+i%3)
					tn.takes.Store(s.ID, time.Duration(2+i%7)*time.Second)
					want[s.ID] = "done"
					tn.background(func() {
						tn.accept(i, s)
						tn.follow(i, s.ID, 1500*time.Millisecond)
						if i%10 == 3 {
							time.Sleep(time.Duration(i%4) * time.Second)
							tn.cancel(i+1, s.ID)
						}
						time.Sleep(2 * time.Second)
						tn.accept(i+2, s)
					})
					time.Sleep(1700 * time.Millisecond)
				}
				time.Sleep(75 * time.Second)
				w.store.Lose(nil)
				for i := range jobs {
					if id := fmt.Sprint("job-", i); i%10 == 3 {
						want[id], _ = tn.checker.end(id)
					}
				}
				tn.finally(want)
				tn.gone()
				w.same("on machines", tn.held(), 0)
				w.same("answers lost", lost > 20, true)
			})
		})
	}
}
