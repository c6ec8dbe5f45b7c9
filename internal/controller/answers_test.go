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
	txns        *tally
}

// tally counts what the nodes ask of the store, by second.
type tally struct {
	mu              sync.Mutex
	writes, watches map[int64]int
}

func (y *tally) add(m map[int64]int, n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	m[time.Now().Unix()] += n
}

// most is the largest count of a second.
func (y *tally) most(m map[int64]int) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	most := 0
	for _, n := range m {
		most = max(most, n)
	}
	return most
}

// trip carries a request out after its way there, and its answer after its way back.
func trip[T any](ctx context.Context, y *way, f func() (T, error)) (T, error) {
	var none T
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
	y.txns.add(y.txns.writes, len(txn.Ops))
	return trip(ctx, y, func() (store.Result, error) { return y.gate.Txn(ctx, txn) })
}

func (y *way) Range(ctx context.Context, prefix, from string, most int) (store.Page, error) {
	return trip(ctx, y, func() (store.Page, error) { return y.gate.Range(ctx, prefix, from, most) })
}

func (y *way) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (store.Changes, error) {
	y.txns.add(y.txns.watches, 1)
	return y.gate.Watch(ctx, prefix, from, block)
}

// townHost is a scripted machine that reports by itself, whose tasks end after their
// time and with its lease.
type townHost struct {
	*worker
	began map[string]time.Time
	// sent is when its last report was sent, leased when the last answered one was.
	sent, leased time.Time
	// changed wakes it to report.
	changed chan struct{}
	// starts counts the starts that it was ordered.
	starts atomic.Int64
}

// town is three nodes with their machines and users, who note all they are told.
type town struct {
	*world
	told  *told
	links *links
	ways  []*way
	tally *tally
	hosts []*townHost
	// takes is how long tasks run, by job; others run until ended.
	takes sync.Map
	users sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	over  atomic.Bool
}

func newTown(w *world, hosts int) *town {
	w.zones = map[string]string{"n0": "a", "n1": "a", "n2": "a"}
	w.teams[0].CPUsMax = 1000
	tn := &town{world: w, told: newTold(w.t), links: &links{}, nodes: make([]*node, 3),
		tally: &tally{writes: map[int64]int{}, watches: map[int64]int{}}}
	for i := range 3 {
		y := &way{there: time.Duration(2+3*i) * time.Millisecond, back: time.Duration(1+2*i) * time.Millisecond, txns: tn.tally}
		y.gate.Fake = w.store
		tn.ways = append(tn.ways, y)
		tn.begin(i)
	}
	for i := range hosts {
		h := &townHost{worker: w.worker(fmt.Sprintf("i-%d", i+1), "a", false), began: map[string]time.Time{}, leased: time.Now(), changed: make(chan struct{}, 1)}
		tn.hosts = append(tn.hosts, h)
		tn.users.Go(func() { tn.live(h) })
	}
	time.Sleep(3 * time.Second)
	return tn
}

// begin starts a node, or starts it anew after a crash.
func (tn *town) begin(i int) {
	name := fmt.Sprint("n", i)
	n := tn.links.add(name, tn.startWith(name, tn.ways[i], tn.links))
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.nodes[i] = n
}

// at is a node as it is at present.
func (tn *town) at(i int) *node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	return tn.nodes[i%len(tn.nodes)]
}

func (tn *town) all() []*node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	return slices.Clone(tn.nodes)
}

// leader is the number of the node that leads, or -1.
func (tn *town) leader() int {
	for i, n := range tn.all() {
		if st, err := n.Standing(context.Background(), CancelPosition{}); err == nil && st.Term > 0 {
			return i
		}
	}
	return -1
}

// live has a machine report once a second and at every change.
func (tn *town) live(h *townHost) {
	for changed := false; !tn.over.Load(); {
		now := time.Now()
		if h.lapse(now); h.end(tn, now, "") || changed || now.Sub(h.sent) >= time.Second {
			h.tell(tn)
		}
		for _, ref := range h.running() {
			id, _, _ := strings.Cut(ref, "/")
			if end, at := tn.told.end(id); end == api.JobWithdrawn && now.Sub(at) > 30*time.Second {
				tn.t.Errorf("%s is on %s %v after its user was told that it is cancelled", ref, h.rep.Machine, now.Sub(at))
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

// tell sends a report to whichever node answers it.
func (h *townHost) tell(tn *town) {
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
func (h *townHost) lapse(now time.Time) {
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
func (h *townHost) end(tn *town, now time.Time, named string) (any bool) {
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
		tn.told.completed(t.Task)
		any = true
	}
	return any
}

// finish ends the tasks of a job now, wherever they run.
func (tn *town) finish(id string) {
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
func (tn *town) background(f func()) { tn.users.Go(f) }

// crowd asks about a job at all nodes in turn, with gap between two questions
// whether or not they are answered; some repeat the submission.
func (tn *town) crowd(s *api.JobSpec, gap, span time.Duration) {
	submitted := func() bool {
		tn.told.mu.Lock()
		defer tn.told.mu.Unlock()
		return tn.told.of(s.ID).submitted
	}
	tn.background(func() {
		for i := 0; time.Duration(i)*gap < span; i++ {
			n := tn.at(i)
			tn.background(func() {
				switch {
				case i%5 == 4 && submitted():
					tn.told.submit(n, s)
				case i%17 == 3:
					tn.told.resubmitInvalid(n, s.ID)
				default:
					tn.told.ask(n, s.ID)
				}
			})
			time.Sleep(gap)
		}
	})
}

func (tn *town) accept(i int, s *api.JobSpec) {
	if err := insist(func() error { _, err := tn.told.submit(tn.at(i), s); return err }); err != nil {
		tn.t.Errorf("submission of %s: %v", s.ID, err)
	}
}

func (tn *town) cancel(i int, id string) string {
	var st api.JobState
	if err := insist(func() (err error) { st, err = tn.told.cancel(tn.at(i), id); return err }); err != nil {
		tn.t.Errorf("cancellation of %s: %v", id, err)
	}
	return st.Phase
}

// finally waits for the users and sees that all nodes tell the same of a job.
func (tn *town) finally(want map[string]string) {
	for id, phase := range want {
		for i := range 3 {
			st, err := tn.told.ask(tn.at(i), id)
			if got := st.Phase; err != nil || got != phase {
				tn.t.Errorf("%s at node %d in the end: %q, %v, want %s", id, i, got, err, phase)
			}
		}
	}
}

// close ends machines and users.
func (tn *town) close() {
	tn.over.Store(true)
	tn.users.Wait()
}

// Users ask at all nodes within milliseconds, repeat the submission and cancel,
// just when a job is accepted, ends or is cancelled. No node may tell anything
// older: not the leader whose watch lags, nor one that has just begun or ceased to
// lead.
func TestAnswersNeverGetOlder(t *testing.T) {
	for _, c := range []struct {
		name string
		// before comes well before the moment, trouble at the moment.
		before, trouble func(tn *town)
		// step is how much later the users act in each try.
		step time.Duration
	}{
		{name: "calm", step: 13 * time.Millisecond},
		{name: "blind", step: 100 * time.Millisecond, trouble: func(tn *town) {
			tn.store.SetBlind(true)
			time.Sleep(1500 * time.Millisecond)
			tn.store.SetBlind(false)
		}},
		{name: "newly elected", step: 60 * time.Millisecond, trouble: func(tn *town) {
			tn.at(0).crash()
			tn.begin(0)
		}},
		{name: "another one", step: 700 * time.Millisecond, trouble: func(tn *town) {
			tn.ways[0].set(true)
			time.Sleep(9 * time.Second)
			tn.ways[0].set(false)
		}},
		{name: "former leader", step: 60 * time.Millisecond, before: func(tn *town) {
			tn.ways[0].set(true)
			time.Sleep(9 * time.Second)
		}, trouble: func(tn *town) { tn.ways[0].set(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for try := range 10 {
				play(t, func(w *world) {
					tn := newTown(w, 2)
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
						tn.crowd(s, 4*time.Millisecond, 900*time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					tn.background(func() { tn.finish("job-1") })
					tn.background(func() { tn.accept(2, stays) })
					tn.background(func() { tn.cancel(try, "job-3") })
					tn.background(func() { tn.accept(try, atOnce); tn.cancel(try+1, "job-4") })
					time.Sleep(12 * time.Second)
					w.same("enough was told", tn.told.answers() > 200, true)
					tn.finally(map[string]string{"job-1": "done", "job-2": "running", "job-3": "withdrawn", "job-4": "withdrawn"})
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
func (tn *town) written(key string) uint64 {
	e, err := tn.store.Get(context.Background(), key)
	if err != nil {
		tn.t.Error(err)
	}
	return e.Mark
}

// starts is how many starts the machines were ordered.
func (tn *town) starts() (n int64) {
	for _, h := range tn.hosts {
		n += h.starts.Load()
	}
	return n
}

// held is how many tasks are on machines, in whatever state.
func (tn *town) held() (n int) {
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
		act  func(tn *town, by int) error
		want string
		// starts and held are of the machines in the end.
		starts int64
		held   int
	}{
		{"acceptance", store.ActivePrefix + "job-1", accepts("job-1"), []int{0, 1}, func(tn *town, by int) error {
			_, err := tn.told.submit(tn.at(by), spec("job-1", 2))
			return err
		}, "running", 2, 2},
		{"cancellation", store.FinalPrefix + "job-1", cancels("job-1"), []int{0, 2}, func(tn *town, by int) error {
			_, err := tn.told.cancel(tn.at(by), "job-1")
			return err
		}, "withdrawn", 2, 0},
		{"end", store.FinalPrefix + "job-1", ends("job-1"), []int{0}, func(tn *town, _ int) error {
			tn.finish("job-1")
			return nil
		}, "done", 2, 0},
	} {
		for _, by := range c.by {
			for _, refused := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprint(c.name, " by n", by, ", then refused for ", refused), func(t *testing.T) {
					play(t, func(w *world) {
						tn := newTown(w, 2)
						defer tn.close()
						if c.name != "acceptance" {
							tn.accept(1, spec("job-1", 2))
							time.Sleep(3 * time.Second)
						}
						w.store.Lose(once(c.lose))
						tn.crowd(spec("job-1", 2), 7*time.Millisecond, 3*time.Second)
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
							_, told := tn.told.end("job-1")
							w.same("told in time", told.Sub(tn.told.doneAt("job-1")) < 3*time.Second, true)
						}
						if c.want != "running" {
							tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.reign.jobs), 0) })
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
	accept := func(tn *town) { tn.accept(0, spec("job-1", 1)) }
	cancel := func(tn *town) { tn.cancel(0, "job-1") }
	end := func(tn *town) { tn.finish("job-1") }
	for _, c := range []struct {
		name    string
		hold    func(store.Txn) bool
		every   bool // held back until the release, not only the first
		running bool // to begin with
		blind   bool // the watches show nothing meanwhile
		acts    []func(tn *town)
		want    string // "": either end
	}{
		{"acceptance, repeated", accepts("job-1"), false, false, false, []func(*town){accept}, "running"},
		{"acceptance, cancelled since", accepts("job-1"), false, false, false, []func(*town){accept, cancel}, "withdrawn"},
		{"acceptance, ended since", accepts("job-1"), false, false, false, []func(*town){accept, func(*town) { time.Sleep(2 * time.Second) }, end}, "done"},
		{"cancellation, repeated", cancels("job-1"), false, true, false, []func(*town){cancel}, "withdrawn"},
		{"cancellation, given up, ended since", cancels("job-1"), true, true, false, []func(*town){func(tn *town) { tn.told.cancel(tn.at(0), "job-1") }, func(tn *town) {
			if len(tn.hosts[0].running())+len(tn.hosts[1].running()) > 0 {
				end(tn)
			}
		}}, ""},
		{"end, repeated", ends("job-1"), false, true, false, []func(*town){end}, "done"},
		{"end, cancelled since", ends("job-1"), false, true, false, []func(*town){end, cancel}, ""},
		{"end, cancelled since at another node", ends("job-1"), false, true, true, []func(*town){end, func(tn *town) { tn.cancel(1, "job-1") }}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			late, seen := 0, map[string]int{}
			for release := 100 * time.Millisecond; release < 9*time.Second; release += 420 * time.Millisecond {
				play(t, func(w *world) {
					tn := newTown(w, 2)
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
					tn.crowd(spec("job-1", 1), 60*time.Millisecond, 14*time.Second)
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
					if end, _ := tn.told.end("job-1"); want == "" {
						want = end
					}
					seen[want]++
					tn.finally(map[string]string{"job-1": want})
					if before != 0 {
						w.same("written once", tn.written(final), before)
					}
					if want != "running" {
						w.same("on machines", tn.held(), 0)
						tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.reign.jobs), 0) })
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
