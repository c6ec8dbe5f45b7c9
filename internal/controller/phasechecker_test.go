package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
)

// The part of an answerChecker that compares the phases of jobs that have not ended with the tasks on the machines.

// taskRun is the time from when a task was first seen running on a machine until it was last.
type taskRun struct{ since, lastSeen time.Time }

// runGap is more than the time after which a running task is seen again.
const runGap = 100 * time.Millisecond

// recordRunning records that a task runs on a machine now.
func (c *answerChecker) recordRunning(task string) {
	id, _, _ := strings.Cut(task, "/")
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.logOf(id).runs
	run := runs[task]
	if now.Sub(run.lastSeen) > runGap {
		run.since = now
	}
	run.lastSeen = now
	runs[task] = run
}

// pendingViolation describes the violation if a task has run for longer than a state may lag. It is allowed
// at a node that has not answered for maxPhaseWait.
func (log *answerLog) pendingViolation(response userResponse, now time.Time) string {
	if since := log.failingSince[response.node]; !since.IsZero() && now.Sub(since) >= maxPhaseWait {
		return ""
	}
	for task, run := range log.runs {
		if now.Sub(run.lastSeen) <= runGap && response.sentAt.Sub(run.since) > stateLag {
			return fmt.Sprintf("answered as pending, but %s has run for %v", task, now.Sub(run.since))
		}
	}
	return ""
}

// runningViolation describes the violation if no task has completed, and none has run within a task lease and
// the time that a state may lag.
func (log *answerLog) runningViolation(now time.Time) string {
	if len(log.completedTasks) > 0 {
		return ""
	}
	for _, run := range log.runs {
		if now.Sub(run.lastSeen) <= simulatedLease+stateLag {
			return ""
		}
	}
	return "answered as running, but no task has run lately"
}

// An answerChecker reports a phase that the machines contradict.
func TestAnswerCheckerComparesPhasesWithMachines(t *testing.T) {
	for _, c := range []struct {
		name  string
		phase string
		// ranFor and endedFor are for how long a task has run, and since when it does not any more.
		ranFor, endedFor time.Duration
		// failingFor is for how long the node has not answered, at the end of that run.
		failingFor time.Duration
		want       string
	}{
		{"pending, nothing has run", api.JobPending, 0, 0, 0, ""},
		{"running, nothing has run", api.JobRunning, 0, 0, 0, "no task has run lately"},
		{"pending within the lag", api.JobPending, stateLag - time.Second, 0, 0, ""},
		{"pending after the lag", api.JobPending, stateLag + time.Second, 0, 0, "answered as pending"},
		{"pending after the end", api.JobPending, time.Minute, time.Second, 0, ""},
		{"pending, no answer for long", api.JobPending, 10 * time.Second, 0, maxPhaseWait, ""},
		{"pending, no answer", api.JobPending, 10 * time.Second, 0, maxPhaseWait - stateLag, "answered as pending"},
		{"running", api.JobRunning, time.Second, 0, 0, ""},
		{"running within a lease of the end", api.JobRunning, time.Second, simulatedLease, 0, ""},
		{"running after that", api.JobRunning, time.Second, simulatedLease + 2*stateLag, 0, "no task has run lately"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []string
				checker := &answerChecker{fail: func(s string) { got = append(got, s) }, jobs: map[string]*answerLog{}}
				checker.recordRequest("job-1", func(log *answerLog) { log.submitted, log.taskCount = true, 1 })
				if c.failingFor > 0 {
					checker.recordResponse("job-1", userResponse{node: "n0", err: api.ErrUnavailable})
					time.Sleep(c.failingFor - c.ranFor)
				}
				for end := time.Now().Add(c.ranFor); time.Now().Before(end); time.Sleep(runGap / 2) {
					checker.recordRunning("job-1/0")
				}
				time.Sleep(c.endedFor)
				response := userResponse{verb: "query", node: "n0", sentAt: time.Now()}
				response.requestNumber = checker.recordRequest("job-1", nil)
				response.state = api.JobState{ID: "job-1", Phase: c.phase}
				checker.recordResponse("job-1", response)
				if all := strings.Join(got, "; "); (c.want == "") != (all == "") || !strings.Contains(all, c.want) {
					t.Errorf("got violations %q, want %q", all, c.want)
				}
			})
		})
	}
}
