package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Parts of the log lines that the leader of a home cell writes when it lends a job and when it
// reclaims one.
const (
	loanLogText    = "msg=loan job="
	reclaimLogText = `msg="loan taken back"`
)

// result holds the figures of one run.
type result struct {
	seed                            uint64
	duration                        time.Duration
	jobs, notAccepted, ranElsewhere int
	loans, reclaimed                int
	kills, cuts                     int
	// Violations: tasks that ran on two machines at once or completed twice, accepted jobs that a
	// controller reported as unknown, jobs without a final state or with two, and controllers that
	// exited unexpectedly.
	startedTwice, doneTwice                     int
	lost, withoutFinalState, withTwoFinalStates int
	unexpectedExits                             int64
	// Percentiles of the time from a job's submission to its first start, and to its end.
	waitP50, waitP95, waitP99 time.Duration
	doneP50, doneP95          time.Duration
	// idleShare is the mean idle fraction of all CPUs while some user waited for a job to end.
	idleShare float64
}

// hasViolations reports whether the run had any violation.
func (r *result) hasViolations() bool {
	return r.startedTwice+r.doneTwice+r.lost+r.withoutFinalState+r.withTwoFinalStates > 0 || r.unexpectedExits > 0
}

func (r *result) String() string {
	return strings.Join([]string{
		fmt.Sprintf("seed %d: %d jobs in %.0f s (%d not accepted), %d ran in another cell, "+
			"%d loans, %d reclaimed, %d kills, %d cuts",
			r.seed, r.jobs, r.duration.Seconds(), r.notAccepted, r.ranElsewhere,
			r.loans, r.reclaimed, r.kills, r.cuts),
		fmt.Sprintf("violations: %d tasks on two machines, %d done twice, %d jobs lost, "+
			"%d without and %d with two final states, %d unexpected controller exits",
			r.startedTwice, r.doneTwice, r.lost,
			r.withoutFinalState, r.withTwoFinalStates, r.unexpectedExits),
		fmt.Sprintf("first start after %.1f s (median), %.1f s (95%%), %.1f s (99%%)",
			r.waitP50.Seconds(), r.waitP95.Seconds(), r.waitP99.Seconds()),
		fmt.Sprintf("done after %.1f s, %.1f s (95%%)", r.doneP50.Seconds(), r.doneP95.Seconds()),
		fmt.Sprintf("idle while jobs waited %.0f%%", 100*r.idleShare),
	}, "; ")
}

// result computes the result of a run from the users' jobs, the ledger and the controllers' logs,
// and prints the problems that the ledger recorded.
func (tb *testbed) result(seed uint64, duration time.Duration) *result {
	l := tb.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	tb.mu.Lock()
	r := &result{
		seed:         seed,
		duration:     duration,
		jobs:         len(tb.jobs),
		ranElsewhere: len(l.ranElsewhere),
		kills:        tb.kills,
		cuts:         tb.cuts,
		startedTwice: l.startedTwice,
		doneTwice:    l.doneTwice,
		idleShare:    tb.idleSum / max(1, tb.idleSamples),
	}
	tb.mu.Unlock()
	r.countJobs(tb.jobs, l.jobStarts)
	r.loans, r.reclaimed = tb.countLogLines(loanLogText), tb.countLogLines(reclaimLogText)
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			r.unexpectedExits += p.UnexpectedExits()
		}
	}
	for _, problem := range l.problems {
		fmt.Println(problem)
	}
	return r
}

// countJobs counts the outcomes of jobs and computes the percentiles of their wait times and
// durations.
func (r *result) countJobs(jobs []*userJob, starts map[string]time.Time) {
	var waits, durations []time.Duration
	for _, j := range jobs {
		switch {
		case !j.accepted:
			r.notAccepted++
			continue
		case j.lost:
			r.lost++
		case len(j.finalPhases) == 0:
			r.withoutFinalState++
		case len(j.finalPhases) > 1:
			r.withTwoFinalStates++
		}
		if started := starts[j.id]; !started.IsZero() {
			waits = append(waits, started.Sub(j.submitted))
		}
		if !j.endedAt.IsZero() {
			durations = append(durations, j.endedAt.Sub(j.submitted))
		}
	}
	r.waitP50, r.waitP95, r.waitP99 = quantile(waits, 0.5), quantile(waits, 0.95), quantile(waits, 0.99)
	r.doneP50, r.doneP95 = quantile(durations, 0.5), quantile(durations, 0.95)
}

// quantile sorts the durations and returns their q-quantile, or 0 if there are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}

// countLogLines counts the occurrences of a text in the logs of all controllers.
func (tb *testbed) countLogLines(text string) (count int) {
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			raw, err := os.ReadFile(p.LogPath)
			if err != nil {
				continue
			}
			count += strings.Count(string(raw), text)
		}
	}
	return count
}
