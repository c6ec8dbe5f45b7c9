package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ledger knows where each task is, in all cells.
type ledger struct {
	mu        sync.Mutex
	machineOf map[string]string
	// jobStarts is when jobs began, away those that began in another cell than theirs.
	jobStarts    map[string]time.Time
	ranElsewhere map[string]bool
	// startedTwice are the starts of tasks that were on a machine, and doneTwice those that
	// completed and completed again.
	startedTwice, doneTwice int
	doneTasks               map[string]bool
	// firstResponses and firstStarts are when a machine was first answered, and told to
	// start a task, in each term.
	firstResponses, firstStarts map[uint64]time.Time
	homeCells                   map[string]*cell
	problems                    []string
}

func newLedger() *ledger {
	return &ledger{machineOf: map[string]string{}, jobStarts: map[string]time.Time{}, ranElsewhere: map[string]bool{}, doneTasks: map[string]bool{}, homeCells: map[string]*cell{},
		firstResponses: map[uint64]time.Time{}, firstStarts: map[uint64]time.Time{}}
}

// responseApplied notes an answer in a term, and decided an order to start a task.
func (l *ledger) responseApplied(term uint64) { l.setFirst(l.firstResponses, term) }
func (l *ledger) startApplied(term uint64)    { l.setFirst(l.firstStarts, term) }

func (l *ledger) setFirst(of map[uint64]time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if of[term].IsZero() {
		of[term] = time.Now()
	}
}

// latestTerm is the latest one that a machine has heard of.
func (l *ledger) latestTerm() (latest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for term := range l.firstResponses {
		latest = max(latest, term)
	}
	return latest
}

func (l *ledger) taskStarted(task string, c *cell, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if was := l.machineOf[task]; was != "" {
		l.startedTwice++
		l.problems = append(l.problems, fmt.Sprintf("%s begins on %s while it is on %s", task, machine, was))
	}
	l.machineOf[task] = machine
	id, _, _ := strings.Cut(task, "/")
	if l.jobStarts[id].IsZero() {
		l.jobStarts[id] = time.Now()
	}
	if l.homeCells[id] != c {
		l.ranElsewhere[id] = true
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
