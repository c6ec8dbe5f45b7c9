package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Parts of the log lines by which a home cell's leader says that it lent a job, and that it
// reclaimed one.
const (
	loanLogText    = "msg=loan job="
	reclaimLogText = `msg="loan taken back"`
)

// result is what one run has counted.
type result struct {
	seed                            uint64
	duration                        time.Duration
	jobs, notAccepted, ranElsewhere int
	loans, reclaimed                int
	kills, cuts                     int
	// What must not happen: tasks on two machines or done twice, jobs that a controller did
	// not know any more, jobs without or with two final states, controllers that ended by
	// themselves.
	startedTwice, doneTwice                     int
	lost, withoutFinalState, withTwoFinalStates int
	unexpectedExits                             int64
	// Quantiles of the time from submission to the first start, and to the end.
	waitP50, waitP95, waitP99 time.Duration
	doneP50, doneP95          time.Duration
	// idleShare is the part of all CPUs that was idle while jobs waited.
	idleShare float64
}

// hasViolations reports whether anything happened that must not.
func (r *result) hasViolations() bool {
	return r.startedTwice+r.doneTwice+r.lost+r.withoutFinalState+r.withTwoFinalStates > 0 || r.unexpectedExits > 0
}

func (r *result) String() string {
	return strings.Join([]string{
		fmt.Sprintf("seed %d: %d jobs in %.0f s (%d not accepted), %d ran in another cell, "+
			"%d loans, %d taken back, %d kills, %d cuts",
			r.seed, r.jobs, r.duration.Seconds(), r.notAccepted, r.ranElsewhere,
			r.loans, r.reclaimed, r.kills, r.cuts),
		fmt.Sprintf("wrong: %d tasks on two machines, %d done twice, %d jobs lost, "+
			"%d without and %d with two final answers, %d controllers ended by themselves",
			r.startedTwice, r.doneTwice, r.lost,
			r.withoutFinalState, r.withTwoFinalStates, r.unexpectedExits),
		fmt.Sprintf("first start after %.1f s (median), %.1f s (95%%), %.1f s (99%%)",
			r.waitP50.Seconds(), r.waitP95.Seconds(), r.waitP99.Seconds()),
		fmt.Sprintf("done after %.1f s, %.1f s (95%%)", r.doneP50.Seconds(), r.doneP95.Seconds()),
		fmt.Sprintf("idle while jobs waited %.0f%%", 100*r.idleShare),
	}, "; ")
}

// result counts what the users, the ledger and the controllers' logs show.
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
			r.unexpectedExits += p.unexpectedExits.Load()
		}
	}
	for _, problem := range l.problems {
		fmt.Println(problem)
	}
	return r
}

// countJobs counts how jobs ended for their users, and how long that took.
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

// quantile sorts the durations and returns one of their quantiles, 0 if there are none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// countLogLines counts the lines of all controllers' logs that contain a text.
func (tb *testbed) countLogLines(text string) (count int) {
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			raw, err := os.ReadFile(p.logPath)
			if err != nil {
				continue
			}
			count += strings.Count(string(raw), text)
		}
	}
	return count
}
