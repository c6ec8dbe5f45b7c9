package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// answerChecker checks what every node answers users about every job. Requests and answers are
// numbered in the order in which they were sent and received, so that the rules also hold
// within one instant of the fake clock. The first violations fail the test.
type answerChecker struct {
	fail func(string)

	mu         sync.Mutex
	lastNumber int
	violations int
	answered   int
	jobs       map[string]*answerLog
}

// answerLog is what is known of one job independently of the nodes: what its user has
// requested, what its tasks have done, and what was answered.
type answerLog struct {
	taskCount            int
	completedTasks       map[string]bool
	doneAt               time.Time
	submitted, cancelled bool
	// firstAcceptance is the number of the first answer with the job as accepted, firstEnd
	// that of the first with its end; 0 if there was none.
	firstAcceptance, firstEnd int
	end                       string
	endAt                     time.Time
	// byPhase counts the answers by phase; lines are the last ones.
	byPhase       map[string]int
	recentAnswers []string
}

func newAnswerChecker(t *testing.T) *answerChecker {
	t.Helper()
	return &answerChecker{
		fail: func(s string) { t.Helper(); t.Error(s) },
		jobs: map[string]*answerLog{},
	}
}

// logOf is the answer log of a job; the caller holds the lock.
func (h *answerChecker) logOf(id string) *answerLog {
	j := h.jobs[id]
	if j == nil {
		j = &answerLog{completedTasks: map[string]bool{}, byPhase: map[string]int{}}
		h.jobs[id] = j
	}
	return j
}

// recordRequest numbers a request. Its change is what the user wants, recorded before any
// answer can follow from it.
func (h *answerChecker) recordRequest(id string, change func(*answerLog)) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if change != nil {
		change(h.logOf(id))
	}
	h.lastNumber++
	return h.lastNumber
}

// recordCompletion records that a task has ended by itself on its machine.
func (h *answerChecker) recordCompletion(task string) {
	id, _, _ := strings.Cut(task, "/")
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.logOf(id)
	if j.completedTasks[task] = true; len(j.completedTasks) == j.taskCount && j.doneAt.IsZero() {
		j.doneAt = time.Now()
	}
}

// userResponse is the outcome of one user's request, which has the given number.
type userResponse struct {
	requestNumber int
	verb          string
	node          string
	state         api.JobState
	created       bool
	err           error
}

// recordResponse checks an answer that was received now. An error other than ErrUnknownJob is
// no answer.
func (h *answerChecker) recordResponse(id string, a userResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastNumber++
	j := h.logOf(id)
	unknown := errors.Is(a.err, api.ErrUnknownJob)
	if a.err != nil && !unknown {
		return
	}
	h.answered++
	phase := a.state.Phase
	if unknown {
		phase = "unknown"
	}
	j.byPhase[phase]++
	j.recentAnswers = append(j.recentAnswers, fmt.Sprintf("%s #%d-#%d %s at %s: %s",
		time.Now().Format("05.000"), a.requestNumber, h.lastNumber, a.verb, a.node, phase))
	if len(j.recentAnswers) > 12 {
		j.recentAnswers = j.recentAnswers[1:]
	}
	if rule := j.violation(id, a, unknown); rule != "" {
		if h.violations++; h.violations <= 3 {
			h.fail(fmt.Sprintf("%s: %s\n\t%s", id, rule, strings.Join(j.recentAnswers, "\n\t")))
		}
	}
	if unknown {
		return
	}
	if j.firstAcceptance == 0 {
		j.firstAcceptance = h.lastNumber
	}
	if a.state.Final() && j.firstEnd == 0 {
		j.firstEnd, j.end, j.endAt = h.lastNumber, a.state.Phase, time.Now()
	}
}

// violation names the rule that an answer breaks, or is "".
func (j *answerLog) violation(id string, a userResponse, unknown bool) string {
	later := func(than int) bool { return than != 0 && a.requestNumber > than }
	switch {
	case unknown && later(j.firstAcceptance):
		return "forgotten"
	case unknown:
		return ""
	case !j.submitted:
		return "invented"
	case a.state.ID != id:
		return "another job's state"
	case a.created && later(j.firstAcceptance):
		return "accepted once more"
	case a.state.Final() && j.end != "" && j.end != a.state.Phase:
		return "another end than before"
	case a.state.Phase == api.JobCancelled && !j.cancelled:
		return "cancelled though nobody has cancelled it"
	case a.state.Phase == api.JobDone && len(j.completedTasks) < j.taskCount:
		return "done before its tasks are"
	case !a.state.Final() && later(j.firstEnd):
		return "something older than its end"
	case a.verb == "cancel" && !a.state.Final():
		return "a cancellation answered with neither end"
	}
	return ""
}

// queryJob requests the state of a job, as submit, resubmitInvalid and cancel request something
// else, with the time for which a user waits for the answer.
func (h *answerChecker) queryJob(n *node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	a := userResponse{requestNumber: h.recordRequest(id, nil), verb: "question", node: n.Settings.Node}
	a.state, a.err = n.Job(ctx, id)
	h.recordResponse(id, a)
	return a.state, a.err
}

func (h *answerChecker) submit(n *node, s *api.JobSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	a := userResponse{verb: "submission", node: n.Settings.Node}
	a.requestNumber = h.recordRequest(s.ID, func(j *answerLog) { j.submitted, j.taskCount = true, s.Tasks })
	a.state, a.created, a.err = n.Submit(ctx, s)
	h.recordResponse(s.ID, a)
	return a.err
}

// resubmitInvalid repeats a submission with a field missing.
func (h *answerChecker) resubmitInvalid(n *node, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	a := userResponse{requestNumber: h.recordRequest(id, nil), verb: "invalid repeat", node: n.Settings.Node}
	a.state, a.err = n.RecordedJob(ctx, id)
	h.recordResponse(id, a)
}

func (h *answerChecker) cancel(n *node, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a := userResponse{verb: "cancel", node: n.Settings.Node}
	a.requestNumber = h.recordRequest(id, func(j *answerLog) { j.cancelled = true })
	a.state, a.err = n.Cancel(ctx, id)
	h.recordResponse(id, a)
	return a.err
}

// cancelRequested reports whether a user has requested the cancellation of a job.
func (h *answerChecker) cancelRequested(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.logOf(id).cancelled
}

// retryUntilAnswered repeats a user's request once a second until it is answered, for a minute at
// most.
func retryUntilAnswered(f func() error) error {
	var err error
	for startTime := time.Now(); time.Since(startTime) < time.Minute; time.Sleep(time.Second) {
		if err = f(); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return err
		}
	}
	return err
}

// answers counts the answers of all users.
func (h *answerChecker) answers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered
}

// end is the phase in which a job ended by the first answer that had its end, and when that
// was received.
func (h *answerChecker) end(id string) (string, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.logOf(id)
	return j.end, j.endAt
}

// doneAt is when the last of a job's tasks ended.
func (h *answerChecker) doneAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.logOf(id).doneAt
}

// answerStep is an answer that a node gives in a test of the checker's rules.
type answerStep struct {
	requestNumber int // of the request; 0: sent after all answers before it
	verb          string
	phase         string
}

// unknownJob stands for the answer that a job is unknown.
const unknownJob = "unknown"

// answerCheckerCases are answers about a job of two tasks, and a part of the violation that
// the checker must find in them, or "" for none.
var answerCheckerCases = []struct {
	name                 string
	submitted, cancelled bool
	completed            int
	steps                []answerStep
	want                 string
}{
	{
		name:      "no violation",
		submitted: true,
		cancelled: true,
		completed: 2,
		steps: []answerStep{
			{0, "q", unknownJob},
			{0, "q", "pending"},
			{0, "q", "running"},
			{0, "q", "pending"},
			{0, "cancel", "done"},
			{0, "q", "done"},
		},
	},
	{
		name:      "requested before the end was answered",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "q", "pending"}, {0, "cancel", "withdrawn"}, {1, "q", "running"}},
	},
	{
		name:      "requested before it was answered as accepted",
		submitted: true,
		steps:     []answerStep{{0, "q", "pending"}, {1, "q", unknownJob}},
	},
	{
		name:  "never submitted",
		steps: []answerStep{{0, "q", "pending"}},
		want:  "invented",
	},
	{
		name:      "unknown after it was accepted",
		submitted: true,
		steps:     []answerStep{{0, "q", "pending"}, {0, "q", unknownJob}},
		want:      "forgotten",
	},
	{
		name:      "unknown after its end",
		submitted: true,
		completed: 2,
		steps:     []answerStep{{0, "q", "done"}, {0, "q", unknownJob}},
		want:      "forgotten",
	},
	{
		name:      "running after the end",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "cancel", "withdrawn"}, {0, "q", "running"}},
		want:      "something older",
	},
	{
		name:      "pending after the end",
		submitted: true,
		completed: 2,
		steps:     []answerStep{{0, "q", "done"}, {0, "submission", "pending"}},
		want:      "something older",
	},
	{
		name:      "another end",
		submitted: true,
		cancelled: true,
		completed: 2,
		steps:     []answerStep{{0, "cancel", "withdrawn"}, {1, "q", "done"}},
		want:      "another end",
	},
	{
		name:      "nobody cancelled",
		submitted: true,
		steps:     []answerStep{{0, "q", "withdrawn"}},
		want:      "nobody has cancelled",
	},
	{
		name:      "one task missing",
		submitted: true,
		completed: 1,
		steps:     []answerStep{{0, "q", "done"}},
		want:      "before its tasks",
	},
	{
		name:      "cancellation without an end",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "cancel", "pending"}},
		want:      "neither end",
	},
	{
		name:      "accepted twice",
		submitted: true,
		steps:     []answerStep{{0, "q", "pending"}, {0, "created", "pending"}},
		want:      "once more",
	},
}

// The rules that the other tests rely on must themselves be seen to fail.
func TestAnswerCheckerRules(t *testing.T) {
	for _, c := range answerCheckerCases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			h := &answerChecker{fail: func(s string) { got = append(got, s) }, jobs: map[string]*answerLog{}}
			h.recordRequest("job-1", func(j *answerLog) {
				j.submitted, j.cancelled, j.taskCount = c.submitted, c.cancelled, 2
			})
			for i := range c.completed {
				h.recordCompletion(fmt.Sprint("job-1/", i))
			}
			for _, s := range c.steps {
				a := userResponse{requestNumber: s.requestNumber, verb: s.verb, created: s.verb == "created"}
				a.state = api.JobState{ID: "job-1", Phase: s.phase}
				if s.requestNumber == 0 {
					a.requestNumber = h.recordRequest("job-1", nil)
				}
				if s.phase == unknownJob {
					a.err = api.ErrUnknownJob
				}
				h.recordResponse("job-1", a)
			}
			if all := strings.Join(got, "; "); (c.want == "") != (all == "") || !strings.Contains(all, c.want) {
				t.Errorf("got violations %q, want %q", all, c.want)
			}
		})
	}
}
