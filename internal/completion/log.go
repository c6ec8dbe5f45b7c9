// Package completion implements what a node knows about the completed tasks of jobs apart from the
// records in the key-value store. A completed task stays completed, so facts from heartbeats of any age,
// agent epoch or term, and from any node, can be united. The package does no I/O and reads no clock.
package completion

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
)

// Verdict is what a node knows about whether all tasks of a job have completed.
type Verdict int

const (
	// Unknown means that the node cannot tell.
	Unknown Verdict = iota
	// Unfinished means that a task had not completed lately, or that the job's records or another cell
	// decide on its cancellation.
	Unfinished
	// Finished means that all tasks have completed, while the end may not be recorded yet.
	Finished
	// Ended means that the end of the job is recorded.
	Ended
)

// Log holds the completed tasks that heartbeats to this node have shown, and that the node did not apply
// as leader. A worker agent repeats a completed task in its heartbeats until the completion is recorded,
// so the log forgets a job of which no task was added for a while. It is not safe for concurrent use.
type Log struct {
	jobs map[string]*entry
	// bytes is the approximate size of all entries.
	bytes, maxBytes int
	retention       time.Duration
	nextSweep       time.Time
}

type entry struct {
	tasks Tasks
	// addedAt is when a task was last added, also if the log held it already.
	addedAt time.Time
}

const (
	// memoryDivisor is the inverse of the fraction of the memory limit that the log may take.
	memoryDivisor = 32
	// minBytes is the least limit: completed tasks of 4,096 jobs.
	minBytes = 4096 * entryBytes
	// entryBytes is the approximate size of an entry without its tasks.
	entryBytes = 160
)

// NewLog returns an empty log, which retains a job for two task leases.
func NewLog(workers config.Workers, limits config.Limits) *Log {
	return &Log{
		jobs:      map[string]*entry{},
		maxBytes:  max(minBytes, int(limits.RAMMB*(1<<20))/memoryDivisor),
		retention: 2 * workers.Lease(),
	}
}

// Add adds a completed task of a job, unless the log is full.
func (l *Log) Add(id string, task int, now time.Time) {
	if !now.Before(l.nextSweep) {
		l.sweep(now)
	}
	e := l.jobs[id]
	if e == nil {
		if l.bytes+entryBytes > l.maxBytes {
			return
		}
		e = &entry{}
		l.jobs[strings.Clone(id)] = e
		l.bytes += entryBytes
	}
	e.addedAt = now
	growth := max(0, task/8+1-len(e.tasks))
	if e.tasks.Has(task) || l.bytes+growth > l.maxBytes {
		return
	}
	e.tasks = e.tasks.With(task)
	l.bytes += growth
}

// sweep forgets the jobs of which no task was added within the retention time.
func (l *Log) sweep(now time.Time) {
	l.nextSweep = now.Add(l.retention)
	for id, e := range l.jobs {
		if now.Sub(e.addedAt) > l.retention {
			l.bytes -= entryBytes + len(e.tasks)
			delete(l.jobs, id)
		}
	}
}

// Tasks returns the completed tasks of a job that the log holds. The caller must not change them.
func (l *Log) Tasks(id string) Tasks {
	if e := l.jobs[id]; e != nil {
		return e.tasks
	}
	return nil
}
