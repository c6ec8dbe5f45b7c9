package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// runChecker follows from outside what the machines of a test really run. It fails the test
// where a rule of the protocol is broken, by whichever process.
type runChecker struct {
	cluster      *simulatedCluster
	startedAt    time.Time
	mu           sync.Mutex
	jobs         map[string]*observedJob
	runs         map[run]bool
	hosts        map[string]*host
	violations   int
	restarted    []string // tasks started again after they had completed
	faultsHealed bool     // no fault is injected any more
}

// run is an attempt at a task that is on a machine.
type run struct {
	machine, task string
	attempt       uint64
}

func (r run) job() string { return r.task[:strings.LastIndexByte(r.task, '/')] }

// observedJob is what users and machines observe of a job.
type observedJob struct {
	spec *api.JobSpec
	// duration is how long its tasks run.
	duration time.Duration
	// cancelledAt is when its user first got the answer that it is cancelled, and
	// cancelRequestedAt when the user first requested that.
	cancelledAt       time.Time
	cancelRequestedAt time.Time
	// doneAt is when its user first got the answer that it is done.
	doneAt time.Time
	// durationStep is how much longer each task runs than the one before it.
	durationStep time.Duration
	// starts and done count starts and completions by task.
	starts, completions map[string]int
	// pendingFor is for how long a task has been pending while a machine had free capacity for
	// it.
	pendingFor time.Duration
}

// maxPendingTime is for how long a job may be pending while a machine that fits has free
// capacity and its team is under its limit.
const maxPendingTime = 90 * time.Second

// fail reports a broken rule. Only the first five fail the test with a message.
func (h *runChecker) fail(format string, args ...any) {
	h.cluster.t.Helper()
	if h.violations++; h.violations <= 5 {
		h.cluster.t.Errorf("%7.2fs: %s", time.Since(h.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// dropTerminated drops the runs on machines that were terminated.
func (h *runChecker) dropTerminated() {
	for r := range h.runs {
		if h.cluster.cloud.terminated(r.machine) {
			delete(h.runs, r)
		}
	}
}

// recordStart records that a task is on a machine from now on, and checks that it may start
// there.
func (h *runChecker) recordStart(k *host, task string, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropTerminated()
	r := run{k.status.Machine, task, attempt}
	p := h.jobs[r.job()]
	if p == nil {
		h.fail("%s starts on %s, and nobody submitted it", task, r.machine)
		return
	}
	h.checkOnlyRun(r)
	h.checkTeamLimit(r, p.spec)
	h.checkPlacement(r, p.spec, &k.status)
	h.checkNotCancelled(r, p)
	h.checkDependencies(r, p.spec)
	if p.starts[task]++; p.completions[task] > 0 {
		h.restarted = append(h.restarted, task)
	}
	h.runs[r] = true
}

// checkOnlyRun checks that the task is on no machine when it starts.
func (h *runChecker) checkOnlyRun(r run) {
	h.cluster.t.Helper()
	for other := range h.runs {
		if other.task == r.task {
			h.fail("%s starts on %s as attempt %x while it is on %s as attempt %x",
				r.task, r.machine, r.attempt, other.machine, other.attempt)
		}
	}
}

// checkTeamLimit checks that the start keeps the job's team within its limit.
func (h *runChecker) checkTeamLimit(r run, s *api.JobSpec) {
	h.cluster.t.Helper()
	used := 0.0
	for other := range h.runs {
		if o := h.jobs[other.job()].spec; o.Team == s.Team {
			used += o.CPUs
		}
	}
	for _, team := range h.cluster.teams {
		if team.Name == s.Team && used+s.CPUs > team.LimitCPUs+cluster.Epsilon {
			h.fail("%s starts on %s: team %s uses %v CPUs, limit %v",
				r.task, r.machine, s.Team, used+s.CPUs, team.LimitCPUs)
		}
	}
}

// checkPlacement checks the job's constraints on zone, type and kind of its machines.
func (h *runChecker) checkPlacement(r run, s *api.JobSpec, machine *api.Heartbeat) {
	h.cluster.t.Helper()
	here, elsewhere := 0, 0
	for other := range h.runs {
		switch {
		case other.job() != s.ID:
		case h.hosts[other.machine].status.Zone == machine.Zone:
			here++
		default:
			elsewhere++
		}
	}
	switch {
	case s.Zone != "" && s.Zone != machine.Zone,
		machine.Spot && !s.Spot,
		s.Types != nil && !slices.Contains(s.Types, machine.Type),
		s.OneZone && elsewhere > 0,
		s.Spread && here+1 > (s.Tasks+1)/2:
		h.fail("%s starts on %s in zone %s (%d of the job there, %d elsewhere)",
			r.task, r.machine, machine.Zone, here, elsewhere)
	}
}

// checkNotCancelled checks that neither the job nor one that it depends on was cancelled so
// long ago that nothing of it may start.
func (h *runChecker) checkNotCancelled(r run, p *observedJob) {
	h.cluster.t.Helper()
	if !p.cancelledAt.IsZero() && time.Since(p.cancelledAt) > h.maxCancelTime() {
		h.fail("%s starts on %s %v after its cancellation", r.task, r.machine, time.Since(p.cancelledAt))
	}
	if at := h.dependencyCancelledAt(p.spec.ID); !at.IsZero() && time.Since(at) > h.maxCancelTime() {
		h.fail("%s starts on %s %v after the cancellation of a job that it depends on",
			r.task, r.machine, time.Since(at))
	}
}

// checkDependencies checks that all jobs that the job depends on are done on record.
func (h *runChecker) checkDependencies(r run, s *api.JobSpec) {
	h.cluster.t.Helper()
	for _, id := range s.DependsOn {
		dep := h.jobs[id]
		if dep == nil || len(dep.completions) < dep.spec.Tasks || !h.cluster.store.Has(records.TerminalPrefix+id) {
			h.fail("%s starts on %s too early: %s is not done on record", r.task, r.machine, id)
		}
	}
}

// recordEnd records that a task is off a machine.
func (h *runChecker) recordEnd(k *host, task string, attempt uint64, cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := run{k.status.Machine, task, attempt}
	if p := h.jobs[r.job()]; p != nil && cause == api.CauseDone {
		p.completions[task]++
	}
	delete(h.runs, r)
}

// isCompleted reports whether a task has completed, so that its result is durable.
func (h *runChecker) isCompleted(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.jobs[run{task: task}.job()]
	return p != nil && p.completions[task] > 0
}

// withDependencies lists a job and all that it depends on, directly or through others.
func (h *runChecker) withDependencies(id string) []string {
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

// dependencyCancelledAt is when a user first got the answer that a job is cancelled which the
// given one depends on; zero if none is.
func (h *runChecker) dependencyCancelledAt(id string) (at time.Time) {
	for _, a := range h.withDependencies(id)[1:] {
		p := h.jobs[a]
		if p == nil || p.cancelledAt.IsZero() || p.cancelRequestedAt.IsZero() {
			continue
		}
		if at.IsZero() || p.cancelledAt.Before(at) {
			at = p.cancelledAt
		}
	}
	return at
}

func (h *runChecker) maxCancelTime() time.Duration { return 30 * time.Second }

// checkRuns checks what is on the machines; it is called at every tick.
func (h *runChecker) checkRuns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropTerminated()
	for r := range h.runs {
		if p := h.jobs[r.job()]; !p.cancelledAt.IsZero() && time.Since(p.cancelledAt) > h.maxCancelTime() {
			h.fail("%s is on %s %v after its cancellation", r.task, r.machine, time.Since(p.cancelledAt))
		}
	}
	if h.faultsHealed {
		h.checkPending(tick)
	}
}

// checkPending fails the test if a job is pending for too long while there is free capacity
// for it.
func (h *runChecker) checkPending(since time.Duration) {
	byTeam, byMachine, running := map[string]float64{}, map[string]float64{}, map[string]int{}
	for r := range h.runs {
		s := h.jobs[r.job()].spec
		byTeam[s.Team] += s.CPUs
		byMachine[r.machine] += s.CPUs
		running[s.ID]++
	}
	for id, p := range h.jobs {
		s := p.spec
		blocked := slices.ContainsFunc(s.DependsOn, func(dep string) bool {
			return !h.cluster.store.Has(records.TerminalPrefix + dep)
		})
		if blocked || !p.cancelRequestedAt.IsZero() || len(p.completions)+running[id] >= s.Tasks {
			p.pendingFor = 0
			continue
		}
		// Where a job of one zone, or one that is spread, may start depends on its other tasks.
		if p.pendingFor += since; !h.hasCapacity(s, byTeam, byMachine) || s.OneZone || s.Spread {
			p.pendingFor = 0
		}
		if p.pendingFor > maxPendingTime {
			h.fail("%s is pending for more than %v while there is free capacity", id, maxPendingTime)
			p.pendingFor = -time.Hour
		}
	}
}

// hasCapacity reports whether a machine has free capacity for a task of the job, and the
// job's team is under its limit, given the CPUs in use by team and by machine.
func (h *runChecker) hasCapacity(s *api.JobSpec, byTeam, byMachine map[string]float64) bool {
	for _, team := range h.cluster.teams {
		if team.Name == s.Team && byTeam[s.Team]+s.CPUs > team.LimitCPUs {
			return false
		}
	}
	for _, k := range h.hosts {
		if !h.cluster.cloud.terminated(k.status.Machine) && byMachine[k.status.Machine]+s.CPUs <= 4 &&
			(s.Zone == "" || s.Zone == k.status.Zone) && (s.Spot || !k.status.Spot) {
			return true
		}
	}
	return false
}

// recordPhase checks the phase of a job that a user got as an answer.
func (h *runChecker) recordPhase(id, phase string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkPhase(id, phase)
}

// recordPhaseSince is recordPhase for a request sent at some time. If another user got the answer of
// the job's end since, or at that instant, this answer may be older.
func (h *runChecker) recordPhaseSince(id, phase string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.jobs[id]; p.cancelledAt.Before(sentAt) && p.doneAt.Before(sentAt) {
		h.checkPhase(id, phase)
	}
}

// checkPhase is recordPhase with the lock held.
func (h *runChecker) checkPhase(id, phase string) {
	p := h.jobs[id]
	if at := h.dependencyCancelledAt(id); phase != api.JobCancelled && !at.IsZero() && time.Since(at) > h.maxCancelTime() {
		h.fail("%s is orphaned: answered as %s %v after the cancellation of a job that it depends on",
			id, phase, time.Since(at))
	}
	switch {
	case !p.cancelledAt.IsZero() && phase != api.JobCancelled, !p.doneAt.IsZero() && phase != api.JobDone:
		h.fail("%s is answered as %s after its end", id, phase)
	case phase == api.JobCancelled && !h.cancelRequested(id):
		h.fail("%s is answered as cancelled, and nobody cancelled it", id)
	case phase == api.JobCancelled && p.cancelledAt.IsZero():
		p.cancelledAt = time.Now()
	case phase == api.JobDone:
		if p.doneAt.IsZero() {
			p.doneAt = time.Now()
		}
		if len(p.completions) < p.spec.Tasks {
			h.fail("%s is answered as done with %d of %d tasks", id, len(p.completions), p.spec.Tasks)
		}
	}
}

// cancelRequested reports whether a user has requested to cancel the job or one that it
// depends on.
func (h *runChecker) cancelRequested(id string) bool {
	return slices.ContainsFunc(h.withDependencies(id), func(a string) bool {
		return h.jobs[a] != nil && !h.jobs[a].cancelRequestedAt.IsZero()
	})
}

// tasksOnMachines lists the tasks of a job that are on machines.
func (h *runChecker) tasksOnMachines(job string) (tasks []string) {
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

// startedTwice lists the tasks that started more than once.
func (h *runChecker) startedTwice() (tasks []string) {
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

// restartedAfterCompletion lists the tasks that started again after they had completed.
func (h *runChecker) restartedAfterCompletion() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restarted
}

// tick is the step of simulated machines and of the checks on them.
const tick = 100 * time.Millisecond
