package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ledger tracks on which machine each task of all cells runs, and records violations: tasks that run
// on two machines or complete twice.
type ledger struct {
	mu sync.Mutex
	// machineOf maps each running task to its machine.
	machineOf map[string]string
	// jobStarts maps each job to the time at which its first task started.
	jobStarts map[string]time.Time
	// homeCells maps each job to the cell to which it was submitted.
	homeCells map[string]*cell
	// ranElsewhere is the set of jobs of which a task ran outside the home cell.
	ranElsewhere map[string]bool
	doneTasks    map[string]bool
	// startedTwice counts starts of tasks that were already running on a machine; doneTwice counts
	// completions of tasks that had been completed before.
	startedTwice, doneTwice int
	// firstResponses and firstStarts map each term to the time at which a machine first applied a
	// heartbeat response or command batch of that term, and first started a task under it.
	firstResponses, firstStarts map[uint64]time.Time
	// problems describes each start that startedTwice counts.
	problems []string
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

// responseApplied records that a machine applied a heartbeat response or command batch of a term.
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

// latestTerm returns the highest term recorded by responseApplied.
func (l *ledger) latestTerm() (latest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for term := range l.firstResponses {
		latest = max(latest, term)
	}
	return latest
}

// firstAfter returns the times of the first response and the first task start of a term later than
// the given one, or zero times if there are none. If there are several later terms, each time is of
// an arbitrary one of them.
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

// setHome records the home cell of a job, to which it is submitted.
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
		l.problems = append(l.problems, fmt.Sprintf("task %s started on %s while running on %s", task, machine, other))
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
