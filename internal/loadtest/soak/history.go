package main

import (
	"sync"
	"time"

	"example.org/ivytrestle/internal/loadtest"
)

// operation is a kind of a user's request.
type operation string

// The operations of users.
const (
	opSubmit operation = "submit"
	// opRepeat submits a job again that was submitted before, opMalformed does so with a field that is
	// invalid, and opOversized with a requirement that no machine meets.
	opRepeat    operation = "repeat"
	opMalformed operation = "malformed repeat"
	opOversized operation = "oversized repeat"
	opPoll      operation = "poll"
	opCancel    operation = "cancel"
)

// answer is a request of a user and the response to it.
type answer struct {
	operation operation
	job       string
	node      string
	sent      time.Time
	received  time.Time
	// status is the status code of the response, or 0 if there was none.
	status int
	// phase is the job's phase in a response with status 200 or 201.
	phase string
}

// isState reports whether the response tells the state of the job.
func (a answer) isState() bool { return a.status == statusOK || a.status == statusCreated }

// isFinal reports whether the response tells that the job has ended.
func (a answer) isFinal() bool {
	return a.isState() && (a.phase == phaseDone || a.phase == phaseCancelled)
}

// answersQuestion reports whether the response answers the question of the request, so that its user
// need not repeat it.
func (a answer) answersQuestion() bool {
	return a.isState() || a.status == statusBadRequest || a.status == statusUnschedulable || a.status == statusNotFound
}

// taskRun is one run of a task on a machine.
type taskRun struct {
	job     string
	task    int
	machine *machineSpec
	started time.Time
	// ended is when the task was off the machine, or zero while it is on it.
	ended time.Time
	// done is set if the task completed. shownAt is when a controller first answered a heartbeat that shows
	// it, or zero. forgottenAt is when its machine forgot it without a command, or zero.
	done                 bool
	shownAt, forgottenAt time.Time
}

// onMachineAt reports whether the task was on its machine at a time.
func (r taskRun) onMachineAt(t time.Time) bool {
	return !r.started.After(t) && (r.ended.IsZero() || r.ended.After(t))
}

// machineSpec describes a machine.
type machineSpec struct {
	name, machineType, zone string
	spot                    bool
}

// jobSpec is a job that a user submits, with the time that its tasks really take.
type jobSpec struct {
	loadtest.Submission
	duration time.Duration
}

// history is what users and machines saw in a run. The checker needs nothing else.
type history struct {
	mu sync.Mutex
	// jobs holds the jobs that users have begun to submit, by ID.
	jobs    map[string]*jobSpec
	answers []answer
	runs    []*taskRun
	// troublesEnded is when the last fault had ended and all nodes were up.
	troublesEnded time.Time
	ended         time.Time
}

func newHistory() *history { return &history{jobs: map[string]*jobSpec{}} }

// addJob records that a user begins to submit a job.
func (h *history) addJob(spec *jobSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[spec.ID] = spec
}

// job returns a job that a user has begun to submit, or nil.
func (h *history) job(id string) *jobSpec {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id]
}

func (h *history) addAnswer(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// taskStarted records that a task starts on a machine.
func (h *history) taskStarted(job string, task int, machine *machineSpec) *taskRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := &taskRun{job: job, task: task, machine: machine, started: time.Now()}
	h.runs = append(h.runs, run)
	return run
}

// taskEnded records that a task is off its machine.
func (h *history) taskEnded(run *taskRun, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.ended, run.done = time.Now(), done
}

// completionShown records that a controller has answered a heartbeat that shows a completed task.
func (h *history) completionShown(run *taskRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if run.shownAt.IsZero() {
		run.shownAt = time.Now()
	}
}

// completionForgotten records that a machine no longer shows a completed task, since its lease has expired
// or it has stopped.
func (h *history) completionForgotten(run *taskRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.forgottenAt = time.Now()
}

// doneAt returns when the last task of a job completed, or the zero time if one has not.
func (h *history) doneAt(spec *jobSpec) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	done := map[int]bool{}
	for _, run := range h.runs {
		if run.job == spec.ID && run.done && !done[run.task] {
			done[run.task] = true
			last = later(last, run.ended)
		}
	}
	if len(done) < spec.Tasks {
		return time.Time{}
	}
	return last
}
