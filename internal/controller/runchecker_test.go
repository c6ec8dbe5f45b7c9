package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

// runChecker follows what the machines of a test really run, from outside. It fails
// the test where a rule of the protocol is broken, whoever is to blame.
type runChecker struct {
	w      *cluster
	t0     time.Time
	mu     sync.Mutex
	jobs   map[string]*observedJob
	runs   map[run]bool
	hosts  map[string]*host
	broken int
	again  []string // tasks begun after they had completed
	calm   bool     // all troubles are over
}

// run is an attempt at a task that is on a machine.
type run struct {
	machine, task string
	attempt       uint64
}

func (r run) job() string { return r.task[:strings.LastIndexByte(r.task, '/')] }

// observedJob is what users and machines know of a job.
type observedJob struct {
	spec *api.JobSpec
	// takes is how long its tasks run.
	takes time.Duration
	// withdrawn is when its user was told that it is cancelled, and asked
	// when the user first wanted that.
	withdrawn time.Time
	asked     time.Time
	// finished is when its user was told that it is done.
	finished time.Time
	// apart is how much longer each task runs than the one before it.
	apart time.Duration
	// begun and done count starts and completions by task.
	begun, done map[string]int
	// waits is for how long a task has waited beside a machine with room.
	waits time.Duration
}

// mostWait is for how long a job may wait while a machine that fits has room and
// its team is under its limit.
const mostWait = 90 * time.Second

func (h *runChecker) fail(format string, args ...any) {
	h.w.t.Helper()
	if h.broken++; h.broken <= 5 {
		h.w.t.Errorf("%7.2fs: %s", time.Since(h.t0).Seconds(), fmt.Sprintf(format, args...))
	}
}

// purge drops what was on machines that the cloud has taken back.
func (h *runChecker) purge() {
	for r := range h.runs {
		if h.w.cloud.gone(r.machine) {
			delete(h.runs, r)
		}
	}
}

// start takes in that a task is on a machine from now on.
func (h *runChecker) start(k *host, task string, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.purge()
	r := run{k.rep.Machine, task, attempt}
	p := h.jobs[r.job()]
	if p == nil {
		h.fail("%s starts on %s, and nobody submitted it", task, r.machine)
		return
	}
	s := p.spec
	here, elsewhere, used := 0, 0, 0.0
	for o := range h.runs {
		if o.task == task {
			h.fail("%s starts on %s as attempt %x while it is on %s as attempt %x", task, r.machine, attempt, o.machine, o.attempt)
		}
		if other := h.jobs[o.job()]; other.spec.Team == s.Team {
			used += other.spec.CPUs
		}
		if o.job() == s.ID {
			if h.hosts[o.machine].rep.Zone == k.rep.Zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	for _, t := range h.w.teams {
		if t.Name == s.Team && used+s.CPUs > t.CPUsMax+slack {
			h.fail("%s starts on %s: team %s uses %v CPUs", task, r.machine, s.Team, used+s.CPUs)
		}
	}
	if !p.withdrawn.IsZero() && time.Since(p.withdrawn) > h.cancelTime() {
		h.fail("%s starts on %s %v after its cancellation", task, r.machine, time.Since(p.withdrawn))
	}
	switch {
	case s.Zone != "" && s.Zone != k.rep.Zone, k.rep.Spot && !s.Spot, s.Types != nil && !slices.Contains(s.Types, k.rep.Type),
		s.OneZone && elsewhere > 0, s.Spread && here+1 > (s.Tasks+1)/2:
		h.fail("%s starts on %s in zone %s (%d of the job there, %d elsewhere)", task, r.machine, k.rep.Zone, here, elsewhere)
	}
	for _, id := range s.Awaits {
		if a := h.jobs[id]; a == nil || len(a.done) < a.spec.Tasks || !h.w.store.Has(store.FinalPrefix+id) {
			h.fail("%s starts on %s too early: %s is not done on record", task, r.machine, id)
		}
	}
	if at := h.withdrawnBefore(s.ID); !at.IsZero() && time.Since(at) > h.cancelTime() {
		h.fail("%s starts on %s %v after the cancellation of a job that it needs", task, r.machine, time.Since(at))
	}
	if p.begun[task]++; p.done[task] > 0 {
		h.again = append(h.again, task)
	}
	h.runs[r] = true
}

// end takes in that a task is off a machine.
func (h *runChecker) end(k *host, task string, attempt uint64, cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := run{k.rep.Machine, task, attempt}
	if p := h.jobs[r.job()]; p != nil && cause == api.CauseDone {
		p.done[task]++
	}
	delete(h.runs, r)
}

// completed tells whether the result of a task is kept.
func (h *runChecker) completed(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.jobs[run{task: task}.job()]
	return p != nil && p.done[task] > 0
}

// before lists a job and all that it needs, directly or through others.
func (h *runChecker) before(id string) []string {
	ids := []string{id}
	for i := 0; i < len(ids); i++ {
		p := h.jobs[ids[i]]
		if p == nil {
			continue
		}
		for _, a := range p.spec.Awaits {
			if !slices.Contains(ids, a) {
				ids = append(ids, a)
			}
		}
	}
	return ids
}

// withdrawnBefore is when the first user was told that a job is cancelled that
// another needs.
func (h *runChecker) withdrawnBefore(id string) (at time.Time) {
	for _, a := range h.before(id)[1:] {
		if p := h.jobs[a]; p != nil && !p.withdrawn.IsZero() && !p.asked.IsZero() && (at.IsZero() || p.withdrawn.Before(at)) {
			at = p.withdrawn
		}
	}
	return at
}

func (h *runChecker) cancelTime() time.Duration { return 30 * time.Second }

// look looks at what is on the machines; it is called at every tick.
func (h *runChecker) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.purge()
	for r := range h.runs {
		if p := h.jobs[r.job()]; !p.withdrawn.IsZero() && time.Since(p.withdrawn) > h.cancelTime() {
			h.fail("%s is on %s %v after its cancellation", r.task, r.machine, time.Since(p.withdrawn))
		}
	}
	if h.calm {
		h.waiting(tick)
	}
}

// waiting fails the test if a job waits for too long beside free room.
func (h *runChecker) waiting(since time.Duration) {
	used, onHost, taken := map[string]float64{}, map[string]float64{}, map[string]int{}
	for r := range h.runs {
		s := h.jobs[r.job()].spec
		used[s.Team] += s.CPUs
		onHost[r.machine] += s.CPUs
		taken[s.ID]++
	}
	for id, p := range h.jobs {
		s := p.spec
		early := slices.ContainsFunc(s.Awaits, func(a string) bool { return !h.w.store.Has(store.FinalPrefix + a) })
		if early || !p.asked.IsZero() || len(p.done)+taken[id] >= s.Tasks {
			p.waits = 0
			continue
		}
		room := false
		for _, k := range h.hosts {
			room = room || !h.w.cloud.gone(k.rep.Machine) && onHost[k.rep.Machine]+s.CPUs <= 4 &&
				(s.Zone == "" || s.Zone == k.rep.Zone) && (s.Spot || !k.rep.Spot)
		}
		for _, t := range h.w.teams {
			room = room && (t.Name != s.Team || used[s.Team]+s.CPUs <= t.CPUsMax)
		}
		if p.waits += since; !room || s.OneZone || s.Spread {
			p.waits = 0 // where those may start depends on their other tasks
		}
		if p.waits > mostWait {
			h.fail("%s waits beside free room", id)
			p.waits = -time.Hour
		}
	}
}

// observed takes in what a user was told of a job.
func (h *runChecker) observed(id, phase string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tell(id, phase)
}

// answered is observed for a question asked at some time. If another user was told of
// the job's end since, or at that instant, the answer may be older.
func (h *runChecker) answered(id, phase string, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.jobs[id]; p.withdrawn.Before(asked) && p.finished.Before(asked) {
		h.tell(id, phase)
	}
}

// tell is observed with the lock held.
func (h *runChecker) tell(id, phase string) {
	p := h.jobs[id]
	if at := h.withdrawnBefore(id); phase != api.JobWithdrawn && !at.IsZero() && time.Since(at) > h.cancelTime() {
		h.fail("%s is orphaned: called %s %v after the cancellation of a job that it needs", id, phase, time.Since(at))
	}
	switch {
	case !p.withdrawn.IsZero() && phase != api.JobWithdrawn, !p.finished.IsZero() && phase != api.JobDone:
		h.fail("%s is called %s after its end", id, phase)
	case phase == api.JobWithdrawn && !slices.ContainsFunc(h.before(id), func(a string) bool { return h.jobs[a] != nil && !h.jobs[a].asked.IsZero() }):
		h.fail("%s is called withdrawn, and nobody cancelled it", id)
	case phase == api.JobWithdrawn && p.withdrawn.IsZero():
		p.withdrawn = time.Now()
	case phase == api.JobDone:
		if p.finished.IsZero() {
			p.finished = time.Now()
		}
		if len(p.done) < p.spec.Tasks {
			h.fail("%s is called done with %d of %d tasks", id, len(p.done), p.spec.Tasks)
		}
	}
}

// onMachines lists the tasks of a job that are on machines.
func (h *runChecker) onMachines(job string) (tasks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.purge()
	for r := range h.runs {
		if r.job() == job {
			tasks = append(tasks, r.task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// begunTwice lists the tasks that have begun more than once.
func (h *runChecker) begunTwice() (tasks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.jobs {
		for task, n := range p.begun {
			if n > 1 {
				tasks = append(tasks, task)
			}
		}
	}
	slices.Sort(tasks)
	return tasks
}

// begunWhenDone lists the tasks that began again after they had completed.
func (h *runChecker) begunWhenDone() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.again
}

// host is a machine that behaves as the protocol's worker does, by itself.
type host struct {
	*worker
	s *checkedCluster
	// heard is when the last answered report was sent, sent and next when the
	// last one was and the next one is.
	heard, sent, next time.Time
	at                int
	inFlight, changed bool
	left              map[run]time.Duration
	// What the troubles do to it: cut and mute machines reach no controller,
	// and nothing reaches cut and deaf ones. What comes to a hung one waits.
	cut, mute, deaf bool
	hung            time.Time
	// orderDelay holds up direct orders, answerDelay their answers, and
	// linkDelay the answers to reports.
	orderDelay, answerDelay, linkDelay time.Duration
	// reports are copies of all that it sent.
	reports []api.Report
}

// checkedCluster is a deployment whose machines and controllers act by themselves.
type checkedCluster struct {
	*cluster
	h   *runChecker
	ctx context.Context

	smu   sync.Mutex
	links *links
	names []string
	up    map[string]*node
	gates map[string]*slowGate
	hosts []*host
}

// slowGate is a way to the store over which a page takes a while.
type slowGate struct{ *gate }

func (g *slowGate) Range(ctx context.Context, prefix, from string, most int) (store.Page, error) {
	page, err := g.gate.Range(ctx, prefix, from, most)
	idle(ctx, 150*time.Millisecond)
	return page, err
}

// simulateChecked runs a test with two controllers; the first leads.
func simulateChecked(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 0, f)
	})
}

// simulateSeldom is simulateChecked with machines that report every 5 s, and so get their
// starts by direct orders.
func simulateSeldom(t *testing.T, machines int, f func(s *checkedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		newCheckedCluster(t, machines, 5, f)
	})
}

func newCheckedCluster(t *testing.T, machines int, reportS float64, f func(s *checkedCluster)) {
	w := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &checkedCluster{cluster: w, ctx: ctx, links: &links{}, names: []string{"n0", "n1"}, up: map[string]*node{}, gates: map[string]*slowGate{}}
	w.reportS = reportS
	w.director = s
	s.h = &runChecker{w: w, t0: time.Now(), jobs: map[string]*observedJob{}, runs: map[run]bool{}, hosts: map[string]*host{}}
	go s.live()
	s.begin("n0")
	s.begin("n1")
	for i := range machines {
		s.add(fmt.Sprint("i-", i+1), []string{"a", "b"}[i%2], false)
	}
	time.Sleep(2*time.Second + 1500*time.Millisecond*time.Duration(reportS))
	f(s)
	cancel()
	for _, name := range s.names {
		s.crash(name)
	}
	time.Sleep(10 * time.Second)
}

// begin starts a controller, crash ends one.
func (s *checkedCluster) begin(name string) {
	s.smu.Lock()
	if s.gates[name] == nil {
		s.gates[name] = &slowGate{gate: &gate{Fake: s.store}}
	}
	g := s.gates[name]
	s.smu.Unlock()
	n := s.links.add(name, s.startWith(name, g, s.links))
	s.smu.Lock()
	defer s.smu.Unlock()
	s.up[name] = n
}

func (s *checkedCluster) crash(name string) {
	s.smu.Lock()
	defer s.smu.Unlock()
	if n := s.up[name]; n != nil {
		n.crash()
		s.links.nodes.Delete(name)
		delete(s.up, name)
	}
}

func (s *checkedCluster) node(name string) *node {
	s.smu.Lock()
	defer s.smu.Unlock()
	return s.up[name]
}

// leader is the node that leads, or "".
func (s *checkedCluster) leader() string {
	for _, name := range s.names {
		if n := s.node(name); n != nil {
			leads := false
			n.look(func(c *Controller) { leads = c.valid() && c.leadership.loaded })
			if leads {
				return name
			}
		}
	}
	return ""
}

// handOver makes the leadership pass to the other controller: the store refuses
// the leader alone for a while.
func (s *checkedCluster) handOver() {
	if name := s.leader(); name != "" {
		s.gates[name].set(true)
		go func() {
			idle(s.ctx, 8*time.Second)
			s.gates[name].set(false)
		}()
	}
}

// restart ends the leader, which is back after a while.
func (s *checkedCluster) restart(after time.Duration) {
	if name := s.leader(); name != "" {
		s.crash(name)
		time.Sleep(after)
		s.begin(name)
	}
}

// users repeats a request at the controllers, one after the other, until it is
// answered; first says which comes first.
func (s *checkedCluster) users(what string, first int, ask func(ctx context.Context, n *node) error) {
	s.t.Helper()
	err := errors.New("no controller")
	for try := first; try < first+60; try++ {
		if n := s.node(s.names[try%len(s.names)]); n != nil {
			ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
			err = ask(ctx, n)
			cancel()
			if err == nil {
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Second)
	}
	s.t.Errorf("%s: %v", what, err)
}

// order submits a job whose tasks run for some time.
func (s *checkedCluster) order(takes time.Duration, spec *api.JobSpec) {
	s.t.Helper()
	s.h.mu.Lock()
	s.h.jobs[spec.ID] = &observedJob{spec: spec, takes: takes, begun: map[string]int{}, done: map[string]int{}}
	s.h.mu.Unlock()
	s.users("submit "+spec.ID, spec.Tasks, func(ctx context.Context, n *node) error {
		_, _, err := n.Submit(ctx, spec)
		return err
	})
}

// cancel cancels jobs, as users do at the same time.
func (s *checkedCluster) cancel(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.h.mu.Lock()
		s.h.jobs[id].asked = time.Now()
		s.h.mu.Unlock()
		go s.users("cancel "+id, int(id[len(id)-1]), func(ctx context.Context, n *node) error {
			st, err := n.Abort(ctx, id)
			if err == nil {
				s.h.observed(id, st.Phase)
			}
			return err
		})
	}
}

// settle says that all troubles are over, and waits until all jobs are.
func (s *checkedCluster) settle(within time.Duration) {
	s.t.Helper()
	s.h.mu.Lock()
	s.h.calm = true
	var ids []string
	for id := range s.h.jobs {
		ids = append(ids, id)
	}
	s.h.mu.Unlock()
	slices.Sort(ids)
	deadline := time.Now().Add(within)
	for _, id := range ids {
		for last := ""; ; {
			if n := s.node(s.names[0]); n != nil {
				last = s.phase(n, id)
				if last == api.JobDone || last == api.JobWithdrawn {
					s.h.observed(id, last)
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Errorf("%s: %s after the troubles", id, last)
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// add is a machine that is up from now on.
func (s *checkedCluster) add(name, zone string, spot bool) *host {
	k := &host{worker: s.worker(name, zone, spot), s: s, left: map[run]time.Duration{}, heard: time.Now(), next: time.Now()}
	s.h.mu.Lock()
	s.h.hosts[name] = k
	s.hosts = append(s.hosts, k)
	s.h.mu.Unlock()
	return k
}

const tick = 100 * time.Millisecond

// live is what the machines do. One clock drives them all: the race detector
// cannot follow a bubble with very many timers.
func (s *checkedCluster) live() {
	for s.ctx.Err() == nil {
		s.h.mu.Lock()
		hosts := slices.Clone(s.hosts)
		s.h.mu.Unlock()
		for _, k := range hosts {
			k.live(time.Now())
		}
		s.h.look()
		idle(s.ctx, tick)
	}
}

// live is what a machine does at a tick, until it is returned.
func (k *host) live(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.hung) || k.s.cloud.gone(k.rep.Machine) {
		return
	}
	k.expire(now)
	k.advance()
	due := !now.Before(k.next) || k.changed && now.Sub(k.sent) >= 500*time.Millisecond
	if due && !k.inFlight {
		k.post(now)
	}
}

func (k *host) lease() time.Duration {
	return max(10*time.Second, time.Duration(5*k.s.reportS*float64(time.Second)))
}

// expire kills the tasks when the lease has ended.
func (k *host) expire(now time.Time) {
	if now.Sub(k.heard) <= k.lease() {
		return
	}
	for _, t := range k.rep.Tasks {
		if t.Phase != api.TaskExited {
			k.s.h.end(k, t.Task, t.Attempt, "killed")
		}
	}
	k.rep.Tasks = nil
	clear(k.left)
	k.rep.Session++
	k.heard, k.changed = now, true
}

// advance brings the tasks on by a tick.
func (k *host) advance() {
	for i := range k.rep.Tasks {
		t := &k.rep.Tasks[i]
		if t.Phase == api.TaskExited {
			continue
		}
		r := run{k.rep.Machine, t.Task, t.Attempt}
		if k.left[r] -= tick; k.left[r] > 0 {
			continue
		}
		cause := api.CauseDone
		if t.Phase == api.TaskSaving {
			cause, t.Saved = api.CauseHalted, true
		}
		k.exitTask(t, cause)
	}
}

func (k *host) exitTask(t *api.TaskReport, cause string) {
	t.Phase, t.Cause = api.TaskExited, cause
	k.changed = true
	k.s.h.end(k, t.Task, t.Attempt, cause)
}

// post sends a report to the machine's controller.
func (k *host) post(now time.Time) {
	k.rep.Seq++
	rep := k.rep
	rep.Tasks = slices.Clone(k.rep.Tasks)
	k.reports = append(k.reports, rep)
	k.sent, k.inFlight, k.changed = now, true, false
	every := time.Duration(max(1, k.s.reportS) * float64(time.Second))
	k.next = now.Add(every - every/4 + every/2*time.Duration(rep.Seq*7%10)/10)
	n := k.s.node(k.s.names[k.at])
	if k.cut || k.mute {
		n = nil
	}
	go func() {
		ans, err := api.ReportAnswer{}, errors.New("no connection")
		if n != nil {
			ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
			own := rep
			own.Tasks = slices.Clone(rep.Tasks)
			ans, err = n.Report(ctx, &own)
			cancel()
		}
		k.answered(now, rep.Session, ans, err)
	}()
}

// answered takes in what became of a report.
func (k *host) answered(sent time.Time, session uint64, ans api.ReportAnswer, err error) {
	k.mu.Lock()
	delay := k.linkDelay
	k.mu.Unlock()
	idle(k.s.ctx, delay)
	k.awake()
	defer k.mu.Unlock()
	var other *api.NotLeaderError
	lost := (k.deaf || k.cut) && !k.mute
	if lost || time.Since(sent) >= 4*time.Second {
		err = errors.New("no answer")
		k.mu.Unlock()
		idle(k.s.ctx, time.Until(sent.Add(4*time.Second)))
		k.mu.Lock()
	}
	k.inFlight = false
	switch {
	case err == nil:
		if session != k.rep.Session || ans.Term < k.rep.Term {
			return
		}
		k.changed = k.changed || ans.Term > k.rep.Term
		k.rep.Term, k.heard = ans.Term, sent
		k.obey(ans.Orders)
	case errors.As(err, &other) && slices.Contains(k.s.names, other.Leader) && other.Leader != k.s.names[k.at]:
		k.at = slices.Index(k.s.names, other.Leader)
		k.next = time.Now()
	default:
		k.at = (k.at + 1) % len(k.s.names)
		k.next, k.changed = time.Now().Add(time.Second), false
		k.sent = time.Now().Add(500 * time.Millisecond) // not sooner, whatever changes
	}
}

// idle is pause, but sets no timer for no time: the race detector fails on
// timers that are due when a bubble's goroutine selects on them.
func idle(ctx context.Context, d time.Duration) {
	if d > 0 {
		pause(ctx, d)
	}
}

// awake waits while the machine hangs, and returns with its lock held.
func (k *host) awake() {
	for {
		k.mu.Lock()
		rest := time.Until(k.hung)
		if rest <= 0 || k.s.ctx.Err() != nil {
			return
		}
		k.mu.Unlock()
		idle(k.s.ctx, rest)
	}
}

// obey carries orders out as a worker does.
func (k *host) obey(orders []api.Order) {
	if k.s.cloud.gone(k.rep.Machine) {
		return
	}
	for _, o := range orders {
		i := slices.IndexFunc(k.rep.Tasks, func(t api.TaskReport) bool { return t.Task == o.Task && t.Attempt == o.Attempt })
		r := run{k.rep.Machine, o.Task, o.Attempt}
		switch {
		case o.Verb == api.VerbStart && i < 0:
			k.begin(r)
		case o.Verb == api.VerbStop && i >= 0 && k.rep.Tasks[i].Phase != api.TaskExited:
			k.s.h.mu.Lock()
			p := k.s.h.jobs[r.job()].spec
			k.s.h.mu.Unlock()
			if t := &k.rep.Tasks[i]; t.Phase == api.TaskRunning && p.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= p.SaveS && p.SaveS > 0 {
				t.Phase, k.left[r], k.changed = api.TaskSaving, p.Save(), true
			} else if t.Phase == api.TaskRunning || o.GraceS == nil || *o.GraceS == 0 {
				k.exitTask(t, api.CauseHalted)
			}
		case o.Verb == api.VerbReap && i >= 0 && k.rep.Tasks[i].Phase == api.TaskExited:
			k.rep.Tasks = slices.Delete(k.rep.Tasks, i, i+1)
		}
	}
}

// begin starts a task, or refuses it.
func (k *host) begin(r run) {
	t := api.TaskReport{Task: r.task, Attempt: r.attempt, Phase: api.TaskRunning}
	k.s.h.mu.Lock()
	p := k.s.h.jobs[r.job()]
	used := 0.0
	for _, o := range k.rep.Tasks {
		if o.Phase == api.TaskExited {
			continue
		}
		used += k.s.h.jobs[run{task: o.Task}.job()].spec.CPUs
		if o.Task == r.task {
			t.Phase, t.Cause = api.TaskExited, api.CauseBusy
		}
	}
	k.s.h.mu.Unlock()
	k.changed = true
	switch {
	case t.Phase == api.TaskExited:
	case p == nil:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoSuch
	case used+p.spec.CPUs > 4:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoRoom
	default:
		k.s.h.start(k, r.task, r.attempt)
		_, i, _ := splitRef(r.task)
		if k.left[r] = p.takes + time.Duration(i)*p.apart; k.s.h.completed(r.task) {
			k.left[r] = 0 // its result is kept
		}
	}
	k.rep.Tasks = append(k.rep.Tasks, t)
}

// trouble changes what goes wrong with a machine. What it does to probes is up
// to the cluster.
func (k *host) trouble(f func(*host)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k)
	name := k.rep.Machine
	k.s.dead.Delete(name)
	k.s.tardy.Delete(name)
	if k.cut {
		k.s.dead.Store(name, true)
	}
	if k.deaf {
		k.s.tardy.Store(name, true)
	}
	if rest := time.Until(k.hung); rest > 0 {
		k.s.tardy.Store(name, true)
		go func() {
			idle(k.s.ctx, rest)
			k.trouble(func(*host) {})
		}()
	}
}

func (k *host) hang(d time.Duration) { k.trouble(func(k *host) { k.hung = time.Now().Add(d) }) }

// well ends all troubles of a machine.
func (k *host) well() {
	k.trouble(func(k *host) {
		k.cut, k.mute, k.deaf = false, false, false
		k.orderDelay, k.answerDelay, k.linkDelay = 0, 0, 0
	})
}

// holders are the machines on which a job's tasks are.
func (s *checkedCluster) holders(job string) (ks []*host) {
	for _, k := range s.hosts {
		s.h.mu.Lock()
		s.h.purge()
		for r := range s.h.runs {
			if r.machine == k.rep.Machine && r.job() == job && !slices.Contains(ks, k) {
				ks = append(ks, k)
			}
		}
		s.h.mu.Unlock()
	}
	return ks
}

// Order implements Director: the way of orders straight to machines.
func (s *checkedCluster) Order(ctx context.Context, addr string, o *api.DirectOrders) (uint64, error) {
	rep, err := s.direct(ctx, addr, func(k *host) bool {
		if o.Term < k.rep.Term || o.Session != k.rep.Session {
			return false
		}
		k.changed = k.changed || o.Term > k.rep.Term
		k.rep.Term = o.Term
		k.obey(o.Orders)
		return true
	})
	if err != nil {
		return 0, err
	}
	return rep.Seq, nil
}

// Resync implements Director.
func (s *checkedCluster) Resync(ctx context.Context, addr string, term uint64) (*api.Report, error) {
	return s.direct(ctx, addr, func(k *host) bool {
		if term < k.rep.Term {
			return false
		}
		k.changed = k.changed || term > k.rep.Term
		k.rep.Term = term
		return true
	})
}

// direct brings something to a machine; a hung or slow one does it late, even if
// its sender has given up by then.
func (s *checkedCluster) direct(ctx context.Context, addr string, do func(*host) bool) (*api.Report, error) {
	s.h.mu.Lock()
	k := s.h.hosts[addr]
	s.h.mu.Unlock()
	if k == nil || s.cloud.gone(addr) {
		return nil, api.ErrNotDone
	}
	k.mu.Lock()
	closed, orderDelay, answerDelay := k.cut || k.deaf, k.orderDelay, k.answerDelay
	k.mu.Unlock()
	if closed {
		<-ctx.Done()
		return nil, api.ErrNotDone // no connection
	}
	out := make(chan *api.Report, 1)
	go func() {
		idle(s.ctx, orderDelay)
		k.awake()
		var rep *api.Report
		if s.ctx.Err() == nil && !s.cloud.gone(addr) && do(k) {
			k.rep.Seq++
			own := k.rep
			own.Tasks = slices.Clone(k.rep.Tasks)
			rep = &own
		}
		k.mu.Unlock()
		idle(s.ctx, answerDelay)
		out <- rep
	}()
	select {
	case rep := <-out:
		if rep == nil {
			return nil, api.ErrNotDone
		}
		return rep, nil
	case <-ctx.Done():
		return nil, api.ErrUnconfirmed
	}
}
