package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// runChecker follows what the machines of a test really run, from outside. It fails
// the test where a rule of the protocol is broken, whoever is to blame.
type runChecker struct {
	w         *cluster
	t0        time.Time
	mu        sync.Mutex
	jobs      map[string]*observedJob
	runs      map[run]bool
	hosts     map[string]*host
	broken    int
	restarted []string // tasks begun after they had completed
	healed    bool     // all troubles are over
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
	// cancelledAt is when its user was told that it is cancelled, and asked
	// when the user first wanted that.
	cancelledAt       time.Time
	cancelRequestedAt time.Time
	// doneAt is when its user was told that it is done.
	doneAt time.Time
	// apart is how much longer each task runs than the one before it.
	apart time.Duration
	// starts and done count starts and completions by task.
	starts, done map[string]int
	// pendingFor is for how long a task has waited beside a machine with room.
	pendingFor time.Duration
}

// maxPendingTime is for how long a job may wait while a machine that fits has room and
// its team is under its limit.
const maxPendingTime = 90 * time.Second

func (h *runChecker) fail(format string, args ...any) {
	h.w.t.Helper()
	if h.broken++; h.broken <= 5 {
		h.w.t.Errorf("%7.2fs: %s", time.Since(h.t0).Seconds(), fmt.Sprintf(format, args...))
	}
}

// dropTerminated drops what was on machines that the cloud has taken back.
func (h *runChecker) dropTerminated() {
	for r := range h.runs {
		if h.w.cloud.gone(r.machine) {
			delete(h.runs, r)
		}
	}
}

// recordStart takes in that a task is on a machine from now on.
func (h *runChecker) recordStart(k *host, task string, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropTerminated()
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
		if t.Name == s.Team && used+s.CPUs > t.LimitCPUs+epsilon {
			h.fail("%s starts on %s: team %s uses %v CPUs", task, r.machine, s.Team, used+s.CPUs)
		}
	}
	if !p.cancelledAt.IsZero() && time.Since(p.cancelledAt) > h.cancelTime() {
		h.fail("%s starts on %s %v after its cancellation", task, r.machine, time.Since(p.cancelledAt))
	}
	switch {
	case s.Zone != "" && s.Zone != k.rep.Zone, k.rep.Spot && !s.Spot, s.Types != nil && !slices.Contains(s.Types, k.rep.Type),
		s.OneZone && elsewhere > 0, s.Spread && here+1 > (s.Tasks+1)/2:
		h.fail("%s starts on %s in zone %s (%d of the job there, %d elsewhere)", task, r.machine, k.rep.Zone, here, elsewhere)
	}
	for _, id := range s.DependsOn {
		if a := h.jobs[id]; a == nil || len(a.done) < a.spec.Tasks || !h.w.store.Has(records.TerminalPrefix+id) {
			h.fail("%s starts on %s too early: %s is not done on record", task, r.machine, id)
		}
	}
	if at := h.dependencyCancelledAt(s.ID); !at.IsZero() && time.Since(at) > h.cancelTime() {
		h.fail("%s starts on %s %v after the cancellation of a job that it needs", task, r.machine, time.Since(at))
	}
	if p.starts[task]++; p.done[task] > 0 {
		h.restarted = append(h.restarted, task)
	}
	h.runs[r] = true
}

// recordEnd takes in that a task is off a machine.
func (h *runChecker) recordEnd(k *host, task string, attempt uint64, cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := run{k.rep.Machine, task, attempt}
	if p := h.jobs[r.job()]; p != nil && cause == api.CauseDone {
		p.done[task]++
	}
	delete(h.runs, r)
}

// isCompleted tells whether the result of a task is kept.
func (h *runChecker) isCompleted(task string) bool {
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
		for _, a := range p.spec.DependsOn {
			if !slices.Contains(ids, a) {
				ids = append(ids, a)
			}
		}
	}
	return ids
}

// dependencyCancelledAt is when the first user was told that a job is cancelled that
// another needs.
func (h *runChecker) dependencyCancelledAt(id string) (at time.Time) {
	for _, a := range h.before(id)[1:] {
		if p := h.jobs[a]; p != nil && !p.cancelledAt.IsZero() && !p.cancelRequestedAt.IsZero() && (at.IsZero() || p.cancelledAt.Before(at)) {
			at = p.cancelledAt
		}
	}
	return at
}

func (h *runChecker) cancelTime() time.Duration { return 30 * time.Second }

// checkRuns looks at what is on the machines; it is called at every tick.
func (h *runChecker) checkRuns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropTerminated()
	for r := range h.runs {
		if p := h.jobs[r.job()]; !p.cancelledAt.IsZero() && time.Since(p.cancelledAt) > h.cancelTime() {
			h.fail("%s is on %s %v after its cancellation", r.task, r.machine, time.Since(p.cancelledAt))
		}
	}
	if h.healed {
		h.checkPending(tick)
	}
}

// checkPending fails the test if a job waits for too long beside free room.
func (h *runChecker) checkPending(since time.Duration) {
	used, onHost, taken := map[string]float64{}, map[string]float64{}, map[string]int{}
	for r := range h.runs {
		s := h.jobs[r.job()].spec
		used[s.Team] += s.CPUs
		onHost[r.machine] += s.CPUs
		taken[s.ID]++
	}
	for id, p := range h.jobs {
		s := p.spec
		early := slices.ContainsFunc(s.DependsOn, func(a string) bool { return !h.w.store.Has(records.TerminalPrefix + a) })
		if early || !p.cancelRequestedAt.IsZero() || len(p.done)+taken[id] >= s.Tasks {
			p.pendingFor = 0
			continue
		}
		room := false
		for _, k := range h.hosts {
			room = room || !h.w.cloud.gone(k.rep.Machine) && onHost[k.rep.Machine]+s.CPUs <= 4 &&
				(s.Zone == "" || s.Zone == k.rep.Zone) && (s.Spot || !k.rep.Spot)
		}
		for _, t := range h.w.teams {
			room = room && (t.Name != s.Team || used[s.Team]+s.CPUs <= t.LimitCPUs)
		}
		if p.pendingFor += since; !room || s.OneZone || s.Spread {
			p.pendingFor = 0 // where those may start depends on their other tasks
		}
		if p.pendingFor > maxPendingTime {
			h.fail("%s waits beside free room", id)
			p.pendingFor = -time.Hour
		}
	}
}

// recordPhase takes in what a user was told of a job.
func (h *runChecker) recordPhase(id, phase string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkPhase(id, phase)
}

// answered is observed for a question asked at some time. If another user was told of
// the job's end since, or at that instant, the answer may be older.
func (h *runChecker) answered(id, phase string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.jobs[id]; p.cancelledAt.Before(sentAt) && p.doneAt.Before(sentAt) {
		h.checkPhase(id, phase)
	}
}

// checkPhase is observed with the lock held.
func (h *runChecker) checkPhase(id, phase string) {
	p := h.jobs[id]
	if at := h.dependencyCancelledAt(id); phase != api.JobCancelled && !at.IsZero() && time.Since(at) > h.cancelTime() {
		h.fail("%s is orphaned: called %s %v after the cancellation of a job that it needs", id, phase, time.Since(at))
	}
	switch {
	case !p.cancelledAt.IsZero() && phase != api.JobCancelled, !p.doneAt.IsZero() && phase != api.JobDone:
		h.fail("%s is called %s after its end", id, phase)
	case phase == api.JobCancelled && !slices.ContainsFunc(h.before(id), func(a string) bool { return h.jobs[a] != nil && !h.jobs[a].cancelRequestedAt.IsZero() }):
		h.fail("%s is called withdrawn, and nobody cancelled it", id)
	case phase == api.JobCancelled && p.cancelledAt.IsZero():
		p.cancelledAt = time.Now()
	case phase == api.JobDone:
		if p.doneAt.IsZero() {
			p.doneAt = time.Now()
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
	h.dropTerminated()
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
		for task, n := range p.starts {
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
	return h.restarted
}

const tick = 100 * time.Millisecond
