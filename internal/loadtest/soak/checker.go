package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"example.org/ivytrestle/internal/config"
)

// rule names a rule of the protocol, or a form of it.
type rule string

// The rules that the checker knows.
const (
	ruleRanTwice     rule = "ran_twice"
	ruleQuota        rule = "quota"
	ruleWrongPlace   rule = "wrong_place"
	ruleRanCancelled rule = "ran_cancelled"
	// The five forms of forgotten: an accepted job gets 404; a repeated submission of it gets 400 or
	// 422; for 90 s every poll for it fails while most others get answers; once all troubles are over,
	// no question about it is answered for 75 s; it neither runs nor stays known.
	ruleUnknown     rule = "forgotten, form 1"
	ruleRejected    rule = "forgotten, form 2"
	rulePollsFail   rule = "forgotten, form 3"
	ruleNotAnswered rule = "forgotten, form 4"
	ruleNeverRan    rule = "forgotten, form 5"
	ruleInvented    rule = "invented"
	ruleNotDone     rule = "not_done"
	ruleWentBack    rule = "went_back"
	// ruleDoneCancelled is broken if a job is called cancelled although all its tasks had completed, and a
	// controller had got heartbeats that show it, before its user asked to cancel it. It is not if a machine
	// has forgotten a completed task before it was recorded: the controller may have ended since.
	ruleDoneCancelled rule = "cancelled after it was done"
	// ruleRunningPending is broken if a job is called pending although a task of it has run for longer than a
	// state may lag, and ruleIdleRunning if it is called running although no task has run for that long and a
	// lease.
	ruleRunningPending rule = "called pending while it runs"
	ruleIdleRunning    rule = "called running while nothing runs"

	ruleNothingRan    rule = "nothing_ran"
	ruleBeginsLate    rule = "begins late after troubles"
	ruleNothingIsDone rule = "no job was done"
)

// Time limits of the rules.
const (
	pollsFailLimit   = 90 * time.Second
	notAnsweredLimit = 75 * time.Second
	// maxPollGap is twice the interval of a user who waits for a job. If nobody asks for longer, the
	// polls before and after are no spell in which every poll fails.
	maxPollGap = 10 * time.Second
	// stateLag is how far the state of a job that users are told may lag.
	stateLag = 3 * time.Second
	// runLag is stateLag and the time that a heartbeat and an answer take.
	runLag = stateLag + time.Second
	// unknownPhaseLimit is how long a controller that cannot tell whether a job runs leaves the questions of
	// its user unanswered, before it calls the job pending.
	unknownPhaseLimit = 40 * time.Second
	// beginLimit is how long after the troubles a job may wait for its first task.
	beginLimit = 90 * time.Second
)

// violation is a rule that was broken.
type violation struct {
	rule rule
	text string
}

// String implements fmt.Stringer.
func (v violation) String() string { return string(v.rule) + ": " + v.text }

// checker finds the rules that a history breaks. It trusts only what users and machines saw.
type checker struct {
	site       config.SiteInfo
	history    *history
	violations []violation
	// answersOf and runsOf hold the answers and the runs by job. The answers are sorted by the time at
	// which they were received, the runs by their start.
	answersOf map[string][]answer
	runsOf    map[string][]*taskRun
	jobIDs    []string
}

// check returns the violations of a history. Nothing may be added to it any more.
func check(site config.SiteInfo, h *history) []violation {
	c := &checker{site: site, history: h, answersOf: map[string][]answer{}, runsOf: map[string][]*taskRun{}}
	slices.SortStableFunc(h.answers, func(a, b answer) int { return a.received.Compare(b.received) })
	slices.SortStableFunc(h.runs, func(a, b *taskRun) int { return a.started.Compare(b.started) })
	for _, a := range h.answers {
		c.answersOf[a.job] = append(c.answersOf[a.job], a)
	}
	for _, r := range h.runs {
		c.runsOf[r.job] = append(c.runsOf[r.job], r)
	}
	c.jobIDs = slices.Sorted(maps.Keys(c.answersOf))
	c.checkRunsTogether()
	for _, id := range c.jobIDs {
		c.checkAnswers(id)
		c.checkPhases(id)
		c.checkRunningPhases(id)
		c.checkCancellation(id)
		c.checkDoneCancelled(id)
		c.checkProgress(id)
	}
	c.checkPollsFail()
	c.checkWork()
	return c.violations
}

func (c *checker) report(r rule, format string, args ...any) {
	c.violations = append(c.violations, violation{r, fmt.Sprintf(format, args...)})
}

// checkRunsTogether checks what depends on the tasks that run at the same time.
func (c *checker) checkRunsTogether() {
	for i, run := range c.history.runs {
		spec := c.history.jobs[run.job]
		if spec == nil {
			continue // machines reject tasks of jobs that were never submitted
		}
		c.checkPlace(run, spec)
		used := spec.TaskCPUs
		for _, other := range c.history.runs[:i] {
			if !other.onMachineAt(run.started) {
				continue
			}
			if other.job == run.job && other.task == run.task {
				c.report(ruleRanTwice, "%s/%d started on %s while on %s",
					run.job, run.task, run.machine.name, other.machine.name)
			}
			if o := c.history.jobs[other.job]; o != nil && o.Team == spec.Team {
				used += o.TaskCPUs
			}
		}
		if limit := c.teamLimit(spec.Team); used > limit {
			c.report(ruleQuota, "team %s used %g of %g CPUs when %s/%d started",
				spec.Team, used, limit, run.job, run.task)
		}
	}
}

func (c *checker) teamLimit(name string) float64 {
	for _, team := range c.site.Teams {
		if team.Name == name {
			return team.LimitCPUs
		}
	}
	return 0
}

// checkPlace checks that a task may run on its machine, given the other tasks of its job that run.
func (c *checker) checkPlace(run *taskRun, spec *jobSpec) {
	m := run.machine
	allowed := (spec.Types == nil || slices.Contains(spec.Types, m.machineType)) &&
		(spec.Zone == "" || spec.Zone == m.zone) && (!m.spot || !spec.NoSpot)
	if !allowed {
		c.report(ruleWrongPlace, "%s/%d started on %+v", run.job, run.task, *m)
	}
	inZone := 1
	for _, other := range c.runsOf[run.job] {
		switch {
		case other == run || other.started.After(run.started) || !other.onMachineAt(run.started):
		case other.machine.zone == m.zone:
			inZone++
		case spec.OneZone:
			c.report(ruleWrongPlace, "%s/%d started in zone %s while another task is in zone %s",
				run.job, run.task, m.zone, other.machine.zone)
		}
	}
	if most := (spec.Tasks + 1) / 2; spec.Spread && inZone > most {
		c.report(ruleWrongPlace, "%s: %d of %d tasks in zone %s, at most %d may be",
			run.job, inZone, spec.Tasks, m.zone, most)
	}
}

// acceptedAt returns when a user was first told that a job is accepted, or the zero time.
func (c *checker) acceptedAt(id string) time.Time {
	for _, a := range c.answersOf[id] {
		if a.isState() {
			return a.received
		}
	}
	return time.Time{}
}

// checkAnswers checks the answers about a job before and after its acceptance.
func (c *checker) checkAnswers(id string) {
	accepted := c.acceptedAt(id)
	if c.history.jobs[id] == nil {
		if !accepted.IsZero() {
			c.report(ruleInvented, "%s was never submitted and got an answer with its state", id)
		}
		return
	}
	if accepted.IsZero() {
		return
	}
	for _, a := range c.answersOf[id] {
		if !a.sent.After(accepted) {
			continue
		}
		switch a.status {
		case statusNotFound:
			c.report(ruleUnknown, "%s of %s at %s got 404 %v after its acceptance",
				a.operation, id, a.node, a.sent.Sub(accepted).Round(time.Millisecond))
		case statusBadRequest, statusUnschedulable:
			c.report(ruleRejected, "%s of %s at %s got %d %v after its acceptance",
				a.operation, id, a.node, a.status, a.sent.Sub(accepted).Round(time.Millisecond))
		}
	}
}

// checkPhases checks that no answer is older than one that was received before it was requested, and
// that a job is called done only after all its tasks, and cancelled only if its user cancelled it.
func (c *checker) checkPhases(id string) {
	var final answer
	for _, a := range c.answersOf[id] {
		if !final.received.IsZero() && a.isState() && a.sent.After(final.received) && a.phase != final.phase {
			c.report(ruleWentBack, "%s was called %s by %s and then %s by %s",
				id, final.phase, final.node, a.phase, a.node)
		}
		if !a.isFinal() {
			continue
		}
		if final.received.IsZero() {
			final = a
		} else if final.phase != a.phase {
			c.report(ruleWentBack, "%s was called %s by %s and %s by %s", id, final.phase, final.node, a.phase, a.node)
		}
		if a.phase == phaseCancelled && !c.wasCancelled(id, a.received) {
			c.report(ruleWentBack, "%s is called cancelled by %s without a request", id, a.node)
		}
		if done := c.tasksDone(id, a.received); a.phase == phaseDone && c.history.jobs[id] != nil &&
			done < c.history.jobs[id].Tasks {
			c.report(ruleNotDone, "%s is called done by %s with %d of %d tasks",
				id, a.node, done, c.history.jobs[id].Tasks)
		}
	}
}

// checkRunningPhases checks that a job is called pending only while no task of it runs, and running only if one
// has run lately or completed.
func (c *checker) checkRunningPhases(id string) {
	failingSince := map[string]time.Time{} // by node
	for _, a := range c.answersOf[id] {
		if !a.answersQuestion() {
			if failingSince[a.node].IsZero() {
				failingSince[a.node] = a.received
			}
			continue
		}
		since := failingSince[a.node]
		delete(failingSince, a.node)
		isAssumed := !since.IsZero() && a.received.Sub(since) >= unknownPhaseLimit
		switch {
		case a.phase == phasePending && !isAssumed:
			c.checkPending(a)
		case a.phase == phaseRunning:
			c.checkRunning(a)
		}
	}
}

// checkPending checks an answer that calls a job pending.
func (c *checker) checkPending(a answer) {
	for _, run := range c.runsOf[a.job] {
		if run.onMachineAt(a.sent.Add(-runLag)) && run.onMachineAt(a.received) {
			c.report(ruleRunningPending, "%s is called pending by %s to a %s while task %d has run for %v on %s",
				a.job, a.node, a.operation, run.task, a.sent.Sub(run.started).Round(time.Millisecond), run.machine.name)
			return
		}
	}
}

// checkRunning checks an answer that calls a job running.
func (c *checker) checkRunning(a answer) {
	from := a.sent.Add(-runLag - config.Duration(c.site.Workers.LeaseS))
	for _, run := range c.runsOf[a.job] {
		if !run.started.After(a.received) && (run.done || run.ended.IsZero() || run.ended.After(from)) {
			return
		}
	}
	c.report(ruleIdleRunning, "%s is called running by %s to a %s while no task has run since %v before",
		a.job, a.node, a.operation, a.sent.Sub(from))
}

// wasCancelled reports whether a user had begun to cancel a job before a time.
func (c *checker) wasCancelled(id string, before time.Time) bool {
	return slices.ContainsFunc(c.answersOf[id], func(a answer) bool {
		return a.operation == opCancel && a.sent.Before(before)
	})
}

// tasksDone returns the number of a job's tasks that had completed at a time.
func (c *checker) tasksDone(id string, at time.Time) int {
	done := map[int]bool{}
	for _, run := range c.runsOf[id] {
		if run.done && !run.ended.After(at) {
			done[run.task] = true
		}
	}
	return len(done)
}

// checkCancellation checks that no task of a cancelled job is on a machine once the time that a
// cancellation may take has passed.
func (c *checker) checkCancellation(id string) {
	for _, a := range c.answersOf[id] {
		if !a.isState() || a.phase != phaseCancelled {
			continue
		}
		limit := a.received.Add(config.Duration(c.site.Workers.CancelS))
		for _, run := range c.runsOf[id] {
			ended := run.ended
			if ended.IsZero() {
				ended = c.history.ended
			}
			if ended.After(limit) {
				c.report(ruleRanCancelled, "%s/%d was on %s %v after its cancellation was confirmed",
					id, run.task, run.machine.name, ended.Sub(a.received).Round(time.Millisecond))
			}
		}
		return
	}
}

// checkDoneCancelled checks that a job is not called cancelled if it was done before its user first asked.
func (c *checker) checkDoneCancelled(id string) {
	spec := c.history.jobs[id]
	first := c.history.ended
	for _, a := range c.answersOf[id] {
		if a.operation == opCancel && a.sent.Before(first) {
			first = a.sent
		}
	}
	if spec == nil {
		return
	}
	shown := map[int]bool{}
	for _, run := range c.runsOf[id] {
		isShown := !run.shownAt.IsZero() && run.shownAt.Before(first) && run.forgottenAt.IsZero()
		if run.done && isShown && first.Sub(run.ended) > stateLag {
			shown[run.task] = true
		}
	}
	if len(shown) < spec.Tasks {
		return
	}
	for _, a := range c.answersOf[id] {
		if a.isState() && a.phase == phaseCancelled {
			c.report(ruleDoneCancelled, "%s is called cancelled by %s, and was done before", id, a.node)
			return
		}
	}
}

// checkProgress checks that an accepted job is answered for, begins and ends after the troubles.
func (c *checker) checkProgress(id string) {
	accepted := c.acceptedAt(id)
	spec := c.history.jobs[id]
	if accepted.IsZero() || spec == nil || c.history.troublesEnded.IsZero() {
		return
	}
	c.checkAnswered(id, accepted)
	if c.wasCancelled(id, c.history.ended) {
		return
	}
	from := later(accepted, c.history.troublesEnded)
	if runs := c.runsOf[id]; len(runs) == 0 || runs[0].started.Sub(from) > beginLimit {
		if c.history.ended.Sub(from) > beginLimit {
			c.report(ruleBeginsLate, "%s had not begun %v after it could", id, beginLimit)
		}
	}
	if done := c.tasksDone(id, c.history.ended); done < spec.Tasks {
		c.report(ruleNeverRan, "%s: %d of %d tasks done at the end", id, done, spec.Tasks)
	}
}

// checkAnswered checks that, after the troubles, questions about a job are answered.
func (c *checker) checkAnswered(id string, accepted time.Time) {
	answered := later(accepted, c.history.troublesEnded)
	for _, a := range c.answersOf[id] {
		if a.sent.Before(answered) {
			continue
		}
		if a.answersQuestion() {
			answered = a.received
		} else if a.received.Sub(answered) >= notAnsweredLimit {
			c.report(ruleNotAnswered, "%s: no question answered for %v after the troubles", id, notAnsweredLimit)
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkPollsFail looks for jobs whose polls all fail for pollsFailLimit while most others are answered.
func (c *checker) checkPollsFail() {
	for _, id := range c.jobIDs {
		accepted := c.acceptedAt(id)
		if accepted.IsZero() {
			continue
		}
		failed := make([]answer, 0, len(c.answersOf[id]))
		for _, a := range c.answersOf[id] {
			switch {
			case a.operation != opPoll || a.sent.Before(accepted):
				continue
			case a.answersQuestion():
				failed = nil
				continue
			}
			if n := len(failed); n > 0 && a.sent.Sub(failed[n-1].sent) > maxPollGap {
				failed = nil
			}
			failed = append(failed, a)
			since := failed[0].sent
			if a.received.Sub(since) >= pollsFailLimit && c.mostOthersAnswered(id, since, a.received) {
				c.report(rulePollsFail, "%s: every poll failed for %v:%s", id, pollsFailLimit, describePolls(failed))
				failed = nil
			}
		}
	}
}

// describePolls lists polls with their nodes, statuses and times, which count from the first.
func describePolls(polls []answer) string {
	text := ""
	for _, a := range polls {
		text += fmt.Sprintf(" %.1f s %s %d;", a.sent.Sub(polls[0].sent).Seconds(), a.node, a.status)
	}
	return text
}

// mostOthersAnswered reports whether more than half of the polls of other jobs in a spell were answered.
func (c *checker) mostOthersAnswered(id string, from, to time.Time) bool {
	polls, answered := 0, 0
	for _, a := range c.history.answers {
		if a.job == id || a.operation != opPoll || a.sent.Before(from) || a.received.After(to) {
			continue
		}
		polls++
		if a.answersQuestion() {
			answered++
		}
	}
	return 2*answered > polls
}

// checkWork checks that the run tested anything.
func (c *checker) checkWork() {
	if len(c.history.runs) == 0 {
		c.report(ruleNothingRan, "no task was started")
	}
	if !slices.ContainsFunc(c.history.answers, func(a answer) bool { return a.isState() && a.phase == phaseDone }) {
		c.report(ruleNothingIsDone, "no user was told that a job is done")
	}
}

// summarize counts violations by rule, in the order of their names.
func summarize(violations []violation) string {
	counts := map[rule]int{}
	for _, v := range violations {
		counts[v.rule]++
	}
	text := ""
	for _, r := range slices.SortedFunc(maps.Keys(counts), cmp.Compare[rule]) {
		text += fmt.Sprintf(" %s: %d;", r, counts[r])
	}
	return cmp.Or(text, " none")
}
