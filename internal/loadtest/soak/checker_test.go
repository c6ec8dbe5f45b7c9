package main

import (
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is some seconds after testStart.
func at(seconds float64) time.Time { return testStart.Add(config.Duration(seconds)) }

// testSite has one team with a limit of 8 CPUs, and cancellations that take up to 20 s.
var testSite = config.SiteInfo{
	Teams:   []config.Team{{Name: "red", CPUs: 4, LimitCPUs: 8}},
	Workers: config.Workers{HeartbeatS: 1, LeaseS: 7, CancelS: 20},
}

var (
	machineA = &machineSpec{name: "i-1", machineType: smallType, zone: "a"}
	machineB = &machineSpec{name: "i-2", machineType: smallType, zone: "b"}
	spotA    = &machineSpec{name: "i-3", machineType: largeType, zone: "a", spot: true}
)

// told returns an answer at a time, one tenth of a second after the request.
func told(op operation, seconds float64, status int, phase string) answer {
	return answer{
		operation: op,
		job:       "job-1",
		node:      "n0",
		sent:      at(seconds - 0.1),
		received:  at(seconds),
		status:    status,
		phase:     phase,
	}
}

// ran returns a run of a task of job-1. A run that ends at 0 has not ended.
func ran(task int, machine *machineSpec, started, ended float64, done bool) *taskRun {
	r := &taskRun{job: "job-1", task: task, machine: machine, started: at(started), done: done}
	if ended > 0 {
		r.ended = at(ended)
	}
	return r
}

// goodHistory is one of a job with two tasks that breaks no rule.
func goodHistory() *history {
	return &history{
		jobs: map[string]*jobSpec{"job-1": {Submission: loadtest.Submission{
			ID:       "job-1",
			Team:     "red",
			Tasks:    2,
			TaskCPUs: 2,
		}}},
		answers: []answer{
			told(opPoll, 0.5, statusNotFound, ""),
			told(opSubmit, 1, statusCreated, "pending"),
			told(opPoll, 3, statusOK, "running"),
			told(opMalformed, 4, statusOK, "running"),
			told(opPoll, 12, statusOK, phaseDone),
			told(opRepeat, 13, statusOK, phaseDone),
		},
		runs:          []*taskRun{ran(0, machineA, 2, 10, true), ran(1, machineA, 2, 11, true)},
		troublesEnded: at(5),
		ended:         at(30),
	}
}

// cancelledHistory is one of a job that its user cancels, and that breaks no rule.
func cancelledHistory() *history {
	h := goodHistory()
	h.answers = []answer{
		told(opSubmit, 1, statusCreated, "pending"),
		told(opCancel, 4, statusOK, phaseCancelled),
		told(opPoll, 12, statusOK, phaseCancelled),
	}
	h.runs = []*taskRun{ran(0, machineA, 2, 6, false)}
	return h
}

// pollsOf adds polls of a job every five seconds from second 20, with the same status.
func pollsOf(h *history, job string, to float64, status int) {
	for s := 20.0; s <= to; s += 5 {
		a := told(opPoll, s, status, "")
		if a.job = job; status == statusOK {
			a.phase = "running"
		}
		h.answers = append(h.answers, a)
	}
}

// brokenHistories has, for each rule, a change to goodHistory that breaks it.
var brokenHistories = []struct {
	name  string
	rule  rule
	apply func(h *history)
}{
	{"a task on two machines", ruleRanTwice, func(h *history) {
		h.runs = append(h.runs, ran(0, machineB, 5, 9, false))
	}},
	{"a team above its limit", ruleQuota, func(h *history) { h.jobs["job-1"].TaskCPUs = 5 }},
	{"a zone that is not allowed", ruleWrongPlace, func(h *history) { h.jobs["job-1"].Zone = "b" }},
	{"a type that is not allowed", ruleWrongPlace, func(h *history) { h.jobs["job-1"].Types = []string{largeType} }},
	{"a spot machine that is not allowed", ruleWrongPlace, func(h *history) {
		h.jobs["job-1"].NoSpot = true
		h.runs[0].machine = spotA
	}},
	{"two zones for a job bound to one", ruleWrongPlace, func(h *history) {
		h.jobs["job-1"].OneZone = true
		h.runs[1].machine = machineB
	}},
	{"too many tasks in a zone", ruleWrongPlace, func(h *history) { h.jobs["job-1"].Spread = true }},
	{"404 after acceptance", ruleUnknown, func(h *history) {
		h.answers = append(h.answers, told(opPoll, 6, statusNotFound, ""))
	}},
	{"cancellation gets 404 after acceptance", ruleUnknown, func(h *history) {
		h.answers = append(h.answers, told(opCancel, 6, statusNotFound, ""))
	}},
	{"malformed repeat gets 400", ruleRejected, func(h *history) {
		h.answers = append(h.answers, told(opMalformed, 6, statusBadRequest, ""))
	}},
	{"oversized repeat gets 422", ruleRejected, func(h *history) {
		h.answers = append(h.answers, told(opOversized, 6, statusUnschedulable, ""))
	}},
	{"polls fail for 90 s while others get answers", rulePollsFail, func(h *history) {
		h.troublesEnded, h.ended = at(300), at(310)
		pollsOf(h, "job-1", 115, 0)
		pollsOf(h, "job-2", 115, statusNotFound)
	}},
	{"no answer for 75 s after the troubles", ruleNotAnswered, func(h *history) {
		h.ended = at(100)
		pollsOf(h, "job-1", 100, 503)
	}},
	{"a task that never completes", ruleNeverRan, func(h *history) {
		h.runs[1].done = false
		h.answers = h.answers[:4]
	}},
	{"no task begins", ruleBeginsLate, func(h *history) {
		h.runs, h.answers, h.ended = nil, h.answers[:2], at(100)
	}},
	{"a state of a job that nobody submitted", ruleInvented, func(h *history) {
		a := told(opPoll, 6, statusOK, "pending")
		a.job = "job-7"
		h.answers = append(h.answers, a)
	}},
	{"done before the last task", ruleNotDone, func(h *history) { h.runs[1].ended = at(12.5) }},
	{"done and then running", ruleWentBack, func(h *history) {
		h.answers = append(h.answers, told(opPoll, 14, statusOK, "running"))
	}},
	{"done and then cancelled", ruleWentBack, func(h *history) {
		h.answers = append(h.answers, told(opCancel, 14, statusOK, phaseCancelled))
	}},
	{"cancelled without a request", ruleWentBack, func(h *history) {
		h.answers[4].phase, h.answers[5].phase = phaseCancelled, phaseCancelled
	}},
	{"pending while a task runs", ruleRunningPending, func(h *history) {
		h.answers = slices.Insert(h.answers, 4, told(opPoll, 7, statusOK, phasePending))
	}},
	{"a repeated submission gets pending while a task runs", ruleRunningPending, func(h *history) {
		h.answers = slices.Insert(h.answers, 4, told(opRepeat, 7, statusOK, phasePending))
	}},
	{"running before any task has run", ruleIdleRunning, func(h *history) {
		h.answers = slices.Insert(h.answers, 2, told(opPoll, 1.5, statusOK, phaseRunning))
	}},
	{"running long after a task has run", ruleIdleRunning, func(h *history) {
		h.runs = []*taskRun{ran(0, machineA, 2, 3, false), ran(1, machineA, 25, 27, true)}
		h.answers[4] = told(opPoll, 20, statusOK, phaseRunning)
	}},
	{"no task starts", ruleNothingRan, func(h *history) { h.runs = nil }},
	{"no job is done", ruleNothingIsDone, func(h *history) { h.answers = h.answers[:4] }},
}

// brokenCancellations has changes to cancelledHistory that break a rule.
var brokenCancellations = []struct {
	name  string
	rule  rule
	apply func(h *history)
}{
	{"a task of a cancelled job goes on", ruleRanCancelled, func(h *history) { h.runs[0].ended = at(25) }},
	{"a task of a cancelled job never ends", ruleRanCancelled, func(h *history) { h.runs[0].ended = time.Time{} }},
	{"a task of a cancelled job starts late", ruleRanCancelled, func(h *history) {
		h.runs = append(h.runs, ran(1, machineA, 26, 27, false))
	}},
	{"cancelled after all tasks were done", ruleDoneCancelled, func(h *history) {
		h.runs = []*taskRun{ran(0, machineA, 2, 2.2, true), ran(1, machineA, 2, 2.4, true)}
		for _, run := range h.runs {
			run.shownAt = at(2.5)
		}
		h.answers[1] = told(opCancel, 6, statusOK, phaseCancelled)
	}},
	{"cancelled and then running", ruleWentBack, func(h *history) { h.answers[2].phase = "running" }},
}

// checkReports checks that the rule is among the violations of a history.
func checkReports(t *testing.T, h *history, want rule) {
	t.Helper()
	violations := check(testSite, h)
	if !slices.ContainsFunc(violations, func(v violation) bool { return v.rule == want }) {
		t.Errorf("got violations%s, want %s", summarize(violations), want)
	}
}

func TestCheckerReportsEachBrokenRule(t *testing.T) {
	for _, broken := range brokenHistories {
		t.Run(broken.name, func(t *testing.T) {
			h := goodHistory()
			broken.apply(h)
			checkReports(t, h, broken.rule)
		})
	}
	for _, broken := range brokenCancellations {
		t.Run(broken.name, func(t *testing.T) {
			h := cancelledHistory()
			broken.apply(h)
			checkReports(t, h, broken.rule)
		})
	}
}

// What no controller and no machine knows any more cannot be told.
func TestCheckerAllowsForgottenCompletions(t *testing.T) {
	h := cancelledHistory()
	h.runs = []*taskRun{ran(0, machineA, 1, 1.2, true), ran(1, machineA, 1, 1.2, true)}
	for _, run := range h.runs {
		run.shownAt = at(1.5)
	}
	h.answers[1] = told(opCancel, 5, statusOK, phaseCancelled)
	checkReports(t, h, ruleDoneCancelled)
	h.runs[1].forgottenAt = at(4)
	for _, v := range check(testSite, h) {
		if v.rule == ruleDoneCancelled {
			t.Errorf("got %v, want none", v)
		}
	}
}

// A controller that has not answered the user for long calls a job pending without knowing its phase.
func TestCheckerAllowsPendingAfterUnansweredQuestions(t *testing.T) {
	for seconds, allowed := range map[float64]bool{30: false, 48: true} {
		h := goodHistory()
		h.runs[0].ended, h.runs[1].ended = at(60), at(60)
		h.answers = append(h.answers[:4], told(opPoll, 6, 503, ""),
			told(opPoll, seconds, statusOK, phasePending), told(opPoll, 61, statusOK, phaseDone))
		h.ended = at(70)
		violations := check(testSite, h)
		if allowed && len(violations) > 0 {
			t.Errorf("after %v s: got %v, want none", seconds, violations)
		}
		if !allowed {
			checkReports(t, h, ruleRunningPending)
		}
	}
}

func TestCheckerReportsNothingForGoodHistories(t *testing.T) {
	if violations := check(testSite, goodHistory()); len(violations) > 0 {
		t.Errorf("got %v, want none", violations)
	}
	// Its only job is cancelled, so none is done.
	violations := check(testSite, cancelledHistory())
	if len(violations) != 1 || violations[0].rule != ruleNothingIsDone {
		t.Errorf("cancelled job: got %v, want only %s", violations, ruleNothingIsDone)
	}
}

// Two failed polls with nobody asking in between are no spell of failures.
func TestCheckerAllowsRarePollsToFail(t *testing.T) {
	h := goodHistory()
	h.troublesEnded, h.ended = at(300), at(310)
	h.answers = append(h.answers, told(opPoll, 20, 503, ""), told(opPoll, 115, 503, ""))
	pollsOf(h, "job-2", 115, statusNotFound)
	if violations := check(testSite, h); len(violations) > 0 {
		t.Errorf("got %v, want none", violations)
	}
}

// What concurrent requests are told breaks no rule.
func TestCheckerAllowsConcurrentAnswers(t *testing.T) {
	for name, add := range map[string]answer{
		"404 to a poll sent before the acceptance": {
			operation: opPoll, status: statusNotFound, sent: at(0.9), received: at(2),
		},
		"running to a poll sent before it was done": {
			operation: opPoll, status: statusOK, phase: "running", sent: at(11.8), received: at(12.5),
		},
		"running after pending at another node": {
			operation: opPoll, status: statusOK, phase: "pending", sent: at(3.2), received: at(3.3),
		},
	} {
		h := goodHistory()
		add.job, add.node = "job-1", "n1"
		h.answers = append(h.answers, add)
		if violations := check(testSite, h); len(violations) > 0 {
			t.Errorf("%s: got %v, want none", name, violations)
		}
	}
}
