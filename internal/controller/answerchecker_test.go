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

// answerChecker checks the answers of all nodes to users about all jobs. Requests and answers share
// one sequence of numbers, in the order in which they were sent and received, so that events at the
// same instant of the fake clock are ordered too. The first three violations are reported as test
// errors.
type answerChecker struct {
	// fail reports a violation.
	fail func(string)

	mu sync.Mutex
	// lastNumber is the number of the latest request or answer.
	lastNumber int
	violations int
	// answered is the number of answers received.
	answered int
	// jobs holds the answer log of each job.
	jobs map[string]*answerLog
}

// answerLog holds what is known about one job independently of the nodes: what users have
// requested, which tasks have completed on their machines, and which answers users have received.
type answerLog struct {
	taskCount      int
	completedTasks map[string]bool
	// doneAt is when the last task completed.
	doneAt               time.Time
	submitted, cancelled bool
	// firstAcceptance is the number of the first answer that showed the job as accepted, firstEnd
	// that of the first answer that showed it as ended; 0 if there was none.
	firstAcceptance, firstEnd int
	// end is the phase in the first answer that showed the job as ended, endAt when it was
	// received.
	end   string
	endAt time.Time
	// byPhase counts the answers by phase.
	byPhase map[string]int
	// runs holds, by task, the last run on a machine.
	runs map[string]taskRun
	// failingSince holds, by node, since when the node has not answered requests about the job.
	failingSince map[string]time.Time
	// recentAnswers describes the last 12 answers, for the report of a violation.
	recentAnswers []string
}

// newAnswerChecker returns a checker that reports violations as errors of the test.
func newAnswerChecker(t *testing.T) *answerChecker {
	t.Helper()
	return &answerChecker{
		fail: func(s string) { t.Helper(); t.Error(s) },
		jobs: map[string]*answerLog{},
	}
}

// logOf returns the answer log of a job. The caller holds the lock.
func (c *answerChecker) logOf(id string) *answerLog {
	log := c.jobs[id]
	if log == nil {
		log = &answerLog{
			completedTasks: map[string]bool{},
			byPhase:        map[string]int{},
			runs:           map[string]taskRun{},
			failingSince:   map[string]time.Time{},
		}
		c.jobs[id] = log
	}
	return log
}

// recordRequest records a request before it is sent, and returns its number. change, which may be
// nil, records in the job's log what the user requests.
func (c *answerChecker) recordRequest(id string, change func(*answerLog)) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change != nil {
		change(c.logOf(id))
	}
	c.lastNumber++
	return c.lastNumber
}

// recordCompletion records that a task has run to completion on its machine.
func (c *answerChecker) recordCompletion(task string) {
	id, _, _ := strings.Cut(task, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.logOf(id)
	if log.completedTasks[task] = true; len(log.completedTasks) == log.taskCount && log.doneAt.IsZero() {
		log.doneAt = time.Now()
	}
}

// userResponse is the outcome of a user's request.
type userResponse struct {
	requestNumber int
	verb          string
	node          string
	sentAt        time.Time
	state         api.JobState
	created       bool
	err           error
}

// recordResponse checks and records an answer that was received now. Errors other than
// ErrUnknownJob do not count as answers.
func (c *answerChecker) recordResponse(id string, response userResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	log := c.logOf(id)
	unknown := errors.Is(response.err, api.ErrUnknownJob)
	if response.err != nil && !unknown {
		if log.failingSince[response.node].IsZero() {
			log.failingSince[response.node] = time.Now()
		}
		return
	}
	defer delete(log.failingSince, response.node)
	c.answered++
	phase := response.state.Phase
	if unknown {
		phase = "unknown"
	}
	log.byPhase[phase]++
	log.recentAnswers = append(log.recentAnswers, fmt.Sprintf("%s #%d-#%d %s at %s: %s",
		time.Now().Format("05.000"), response.requestNumber, c.lastNumber, response.verb, response.node, phase))
	if len(log.recentAnswers) > 12 {
		log.recentAnswers = log.recentAnswers[1:]
	}
	if rule := log.violation(id, response, unknown); rule != "" {
		if c.violations++; c.violations <= 3 {
			c.fail(fmt.Sprintf("%s: %s\n\t%s", id, rule, strings.Join(log.recentAnswers, "\n\t")))
		}
	}
	if unknown {
		return
	}
	if log.firstAcceptance == 0 {
		log.firstAcceptance = c.lastNumber
	}
	if response.state.Final() && log.firstEnd == 0 {
		log.firstEnd, log.end, log.endAt = c.lastNumber, response.state.Phase, time.Now()
	}
}

// violation describes the rule that an answer breaks; it returns "" if the answer breaks none.
// unknown means that the answer was ErrUnknownJob.
func (log *answerLog) violation(id string, response userResponse, unknown bool) string {
	sentAfter := func(answer int) bool { return answer != 0 && response.requestNumber > answer }
	switch {
	case unknown && sentAfter(log.firstAcceptance):
		return "answered as unknown after it was answered as accepted"
	case unknown:
		return ""
	case !log.submitted:
		return "answered as accepted, but it was never submitted"
	case response.state.ID != id:
		return fmt.Sprintf("got the state of job %q", response.state.ID)
	case response.created && sentAfter(log.firstAcceptance):
		return "answered as newly created after it was answered as accepted"
	case response.state.Final() && log.end != "" && log.end != response.state.Phase:
		return fmt.Sprintf("got end %q after end %q was answered", response.state.Phase, log.end)
	case response.state.Phase == api.JobCancelled && !log.cancelled:
		return "answered as cancelled, but nobody requested its cancellation"
	case response.state.Phase == api.JobDone && len(log.completedTasks) < log.taskCount:
		return fmt.Sprintf("answered as done with %d of %d tasks completed", len(log.completedTasks), log.taskCount)
	case !response.state.Final() && sentAfter(log.firstEnd):
		return fmt.Sprintf("got phase %q after end %q was answered", response.state.Phase, log.end)
	case response.verb == "cancel" && !response.state.Final():
		return fmt.Sprintf("got phase %q as answer to a cancellation, want a final phase", response.state.Phase)
	case response.state.Phase == api.JobPending && !response.sentAt.IsZero():
		return log.pendingViolation(response, time.Now())
	case response.state.Phase == api.JobRunning && !response.sentAt.IsZero():
		return log.runningViolation(time.Now())
	}
	return ""
}

// queryJob requests the state of a job from a node, with a user's timeout, and records the answer.
func (c *answerChecker) queryJob(n *node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	response := userResponse{requestNumber: c.recordRequest(id, nil), verb: "query", node: n.Settings.Node}
	response.sentAt = time.Now()
	response.state, response.err = n.Job(ctx, id)
	c.recordResponse(id, response)
	return response.state, response.err
}

// submit submits a job to a node, and records the answer.
func (c *answerChecker) submit(n *node, s *api.JobSpec) error {
	_, err := c.repeat(n, s)
	return err
}

// repeat is submit for a job that may have been submitted before, and also returns its state.
func (c *answerChecker) repeat(n *node, s *api.JobSpec) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	response := userResponse{verb: "submission", node: n.Settings.Node}
	response.requestNumber = c.recordRequest(s.ID, func(log *answerLog) {
		log.submitted, log.taskCount = true, s.Tasks
	})
	response.sentAt = time.Now()
	response.state, response.created, response.err = n.Submit(ctx, s)
	c.recordResponse(s.ID, response)
	return response.state, response.err
}

// repeatInvalid requests the state of the recorded job, as the HTTP server does when a submission
// with a missing field is repeated, and records the answer.
func (c *answerChecker) repeatInvalid(n *node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	response := userResponse{
		requestNumber: c.recordRequest(id, nil),
		verb:          "invalid resubmission",
		node:          n.Settings.Node,
	}
	response.sentAt = time.Now()
	response.state, response.err = n.RecordedJob(ctx, id)
	c.recordResponse(id, response)
	return response.state, response.err
}

// cancel requests the cancellation of a job from a node, and records the answer.
func (c *answerChecker) cancel(n *node, id string) error { return c.cancelWith(n, id, n.Cancel) }

// cancelFromRecords cancels a job as a node of the version in production does: it decides from the records
// alone.
func (c *answerChecker) cancelFromRecords(n *node, id string) error {
	return c.cancelWith(n, id, n.cancelFromRecords)
}

// userCancelTimeout is the time limit of the users' API for a cancellation.
const userCancelTimeout = 4750 * time.Millisecond

// cancelWith requests the cancellation of a job from a node by calling cancelJob, and records the answer.
func (c *answerChecker) cancelWith(
	n *node, id string, cancelJob func(ctx context.Context, id string) (api.JobState, error),
) error {
	ctx, cancel := context.WithTimeout(context.Background(), userCancelTimeout)
	defer cancel()
	response := userResponse{verb: "cancel", node: n.Settings.Node}
	response.requestNumber = c.recordRequest(id, func(log *answerLog) { log.cancelled = true })
	response.state, response.err = cancelJob(ctx, id)
	c.recordResponse(id, response)
	return response.err
}

// cancelRequested reports whether a user has requested the cancellation of a job.
func (c *answerChecker) cancelRequested(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logOf(id).cancelled
}

// retryUntilAnswered repeats a user's request once a second, for at most a minute, until it is
// answered, and returns the error of the last attempt. ErrUnknownJob is an answer.
func retryUntilAnswered(f func() error) error {
	var err error
	for startTime := time.Now(); time.Since(startTime) < time.Minute; time.Sleep(time.Second) {
		if err = f(); err == nil || errors.Is(err, api.ErrUnknownJob) {
			return err
		}
	}
	return err
}

// answers returns the number of answers that all users have received.
func (c *answerChecker) answers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// end returns the phase of a job in the first answer that showed it as ended, and when that answer
// was received.
func (c *answerChecker) end(id string) (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.logOf(id)
	return log.end, log.endAt
}

// doneAt returns when the last of a job's tasks completed; zero if some have not.
func (c *answerChecker) doneAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logOf(id).doneAt
}

// answerStep is a request and the phase in its answer, in a test of the checker's rules.
type answerStep struct {
	// requestNumber is the number of the request; 0 if it is sent after all earlier answers.
	requestNumber int
	// verb is the kind of request; "created" is a submission answered as newly created.
	verb  string
	phase string
}

// unknownJob is the phase in an answerStep that stands for ErrUnknownJob.
const unknownJob = "unknown"

// answerCheckerCases are answers about a job of two tasks; want is part of the violation that the
// checker must report, or "" if it must report none.
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
			{0, "query", unknownJob},
			{0, "query", "pending"},
			{0, "query", "running"},
			{0, "query", "pending"},
			{0, "cancel", "done"},
			{0, "query", "done"},
		},
	},
	{
		name:      "requested before the end was answered",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "query", "pending"}, {0, "cancel", "withdrawn"}, {1, "query", "running"}},
	},
	{
		name:      "requested before it was answered as accepted",
		submitted: true,
		steps:     []answerStep{{0, "query", "pending"}, {1, "query", unknownJob}},
	},
	{
		name:  "never submitted",
		steps: []answerStep{{0, "query", "pending"}},
		want:  "never submitted",
	},
	{
		name:      "unknown after it was accepted",
		submitted: true,
		steps:     []answerStep{{0, "query", "pending"}, {0, "query", unknownJob}},
		want:      "unknown after it was answered as accepted",
	},
	{
		name:      "unknown after its end",
		submitted: true,
		completed: 2,
		steps:     []answerStep{{0, "query", "done"}, {0, "query", unknownJob}},
		want:      "unknown after it was answered as accepted",
	},
	{
		name:      "running after the end",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "cancel", "withdrawn"}, {0, "query", "running"}},
		want:      `got phase "running" after end "withdrawn"`,
	},
	{
		name:      "pending after the end",
		submitted: true,
		completed: 2,
		steps:     []answerStep{{0, "query", "done"}, {0, "submission", "pending"}},
		want:      `got phase "pending" after end "done"`,
	},
	{
		name:      "another end",
		submitted: true,
		cancelled: true,
		completed: 2,
		steps:     []answerStep{{0, "cancel", "withdrawn"}, {1, "query", "done"}},
		want:      `got end "done" after end "withdrawn"`,
	},
	{
		name:      "nobody cancelled",
		submitted: true,
		steps:     []answerStep{{0, "query", "withdrawn"}},
		want:      "nobody requested its cancellation",
	},
	{
		name:      "one task missing",
		submitted: true,
		completed: 1,
		steps:     []answerStep{{0, "query", "done"}},
		want:      "done with 1 of 2 tasks",
	},
	{
		name:      "cancellation without an end",
		submitted: true,
		cancelled: true,
		steps:     []answerStep{{0, "cancel", "pending"}},
		want:      `got phase "pending" as answer to a cancellation`,
	},
	{
		name:      "accepted twice",
		submitted: true,
		steps:     []answerStep{{0, "query", "pending"}, {0, "created", "pending"}},
		want:      "as newly created after it was answered as accepted",
	},
}

// An answerChecker must report violations of its rules and must not report allowed answers, because
// the tests with simulated users rely on it.
func TestAnswerCheckerRules(t *testing.T) {
	for _, c := range answerCheckerCases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			checker := &answerChecker{fail: func(s string) { got = append(got, s) }, jobs: map[string]*answerLog{}}
			checker.recordRequest("job-1", func(log *answerLog) {
				log.submitted, log.cancelled, log.taskCount = c.submitted, c.cancelled, 2
			})
			for i := range c.completed {
				checker.recordCompletion(fmt.Sprint("job-1/", i))
			}
			for _, s := range c.steps {
				response := userResponse{requestNumber: s.requestNumber, verb: s.verb, created: s.verb == "created"}
				response.state = api.JobState{ID: "job-1", Phase: s.phase}
				if s.requestNumber == 0 {
					response.requestNumber = checker.recordRequest("job-1", nil)
				}
				if s.phase == unknownJob {
					response.err = api.ErrUnknownJob
				}
				checker.recordResponse("job-1", response)
			}
			if all := strings.Join(got, "; "); (c.want == "") != (all == "") || !strings.Contains(all, c.want) {
				t.Errorf("got violations %q, want %q", all, c.want)
			}
		})
	}
}
