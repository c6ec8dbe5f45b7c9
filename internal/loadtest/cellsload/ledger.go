package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ledger records where each task is, in all cells, and what must not happen to it.
type ledger struct {
	mu sync.Mutex
	// machineOf has the machine of each task that is on one.
	machineOf map[string]string
	// jobStarts is when the first task of each job started.
	jobStarts map[string]time.Time
	homeCells map[string]*cell
	// ranElsewhere has the jobs that ran in another cell than their home.
	ranElsewhere map[string]bool
	doneTasks    map[string]bool
	// startedTwice counts the starts of tasks that were on a machine already, doneTwice the
	// tasks that completed a second time.
	startedTwice, doneTwice int
	// firstResponses and firstStarts are when a machine first got a response, and a start, of
	// each term.
	firstResponses, firstStarts map[uint64]time.Time
	problems                    []string
}

func newLedger() *ledger {
	return &ledger{
		machineOf:      map[string]string{},
		jobStarts:      map[string]time.Time{},
		homeCells:      map[string]*cell{},
		ranElsewhere:   map[string]bool{},
		doneTasks:      map[string]bool{},
		firstResponses: map[uint64]time.Time{},
		firstStarts:    map[uint64]time.Time{},
	}
}

// responseApplied records that a machine applied a response of a term.
func (l *ledger) responseApplied(term uint64) { l.recordFirst(l.firstResponses, term) }

// startApplied records that a machine started a task under a term.
func (l *ledger) startApplied(term uint64) { l.recordFirst(l.firstStarts, term) }

func (l *ledger) recordFirst(times map[uint64]time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if times[term].IsZero() {
		times[term] = time.Now()
	}
}

// latestTerm returns the latest term of which a machine has applied a response.
func (l *ledger) latestTerm() (latest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for term := range l.firstResponses {
		latest = max(latest, term)
	}
	return latest
}

// firstAfter returns when the first response and the first start of a later term were applied;
// zero times stand for none.
func (l *ledger) firstAfter(term uint64) (response, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, at := range l.firstResponses {
		if t > term {
			response = at
		}
	}
	for t, at := range l.firstStarts {
		if t > term {
			start = at
		}
	}
	return response, start
}

// setHome records the cell to which a job is submitted.
func (l *ledger) setHome(job string, c *cell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homeCells[job] = c
}

func (l *ledger) taskStarted(task string, c *cell, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.machineOf[task]; other != "" {
		l.startedTwice++
		l.problems = append(l.problems, fmt.Sprintf("%s begins on %s while it is on %s", task, machine, other))
	}
	l.machineOf[task] = machine
	job, _, _ := strings.Cut(task, "/")
	if l.jobStarts[job].IsZero() {
		l.jobStarts[job] = time.Now()
	}
	if l.homeCells[job] != c {
		l.ranElsewhere[job] = true
	}
}

func (l *ledger) taskRemoved(task string, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.machineOf, task)
	if !done {
		return
	}
	if l.doneTasks[task] {
		l.doneTwice++
	}
	l.doneTasks[task] = true
}
