// Package completion implements what a node knows about the completed tasks of jobs apart from the
// records in the key-value store. A completed task stays completed, so facts from heartbeats of any age,
// agent epoch or term, and from any node, can be united. The package does no I/O and reads no clock.
package completion

import (
	"slices"
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
// as leader, and which machines have shown other tasks of the same jobs. A worker agent repeats a completed
// task in its heartbeats until the completion is recorded, so the log forgets a job that was not shown for
// a while. It is not safe for concurrent use.
type Log struct {
	jobs map[string]*entry
	// bytes is the approximate size of all entries.
	bytes, maxBytes int
	retention       time.Duration
	nextSweep       time.Time
}

type entry struct {
	tasks Tasks
	// addrs are the addresses of the machines that have shown other tasks last, the latest first.
	addrs []string
	// shownAt is when a heartbeat last showed a task of the job.
	shownAt time.Time
}

const (
	// memoryDivisor is the inverse of the fraction of the memory limit that the log may take.
	memoryDivisor = 32
	// minBytes is the least limit: completed tasks of 4,096 jobs.
	minBytes = 4096 * entryBytes
	// entryBytes is the approximate size of an entry without its tasks, with all its addresses.
	entryBytes = 288
	// MaxAddrs is the maximum number of addresses that are kept of a job.
	MaxAddrs = 3
)

// NewLog returns an empty log, which retains a job for two task leases.
func NewLog(workers config.Workers, limits config.Limits) *Log {
	return &Log{
		jobs:      map[string]*entry{},
		maxBytes:  max(minBytes, int(limits.RAMMB*(1<<20))/memoryDivisor),
		retention: 2 * workers.Lease(),
	}
}

// AddDone adds a completed task of a job, unless the log is full.
func (l *Log) AddDone(id string, task int, now time.Time) {
	e := l.entry(id, now)
	if e == nil || e.tasks.Has(task) {
		return
	}
	growth := max(0, task/8+1-len(e.tasks))
	if l.bytes+growth > l.maxBytes {
		return
	}
	e.tasks = e.tasks.With(task)
	l.bytes += growth
}

// AddUnfinished adds that the machine at an address has a task of a job that has not completed.
func (l *Log) AddUnfinished(id, addr string, now time.Time) {
	e := l.entry(id, now)
	if e == nil || len(e.addrs) > 0 && e.addrs[0] == addr {
		return
	}
	e.addrs = slices.DeleteFunc(e.addrs, func(other string) bool { return other == addr })
	e.addrs = slices.Insert(e.addrs, 0, strings.Clone(addr))
	e.addrs = e.addrs[:min(len(e.addrs), MaxAddrs)]
}

// entry returns the entry of a job that is shown now, or nil if the log is full.
func (l *Log) entry(id string, now time.Time) *entry {
	if !now.Before(l.nextSweep) {
		l.sweep(now)
	}
	e := l.jobs[id]
	if e == nil {
		if l.bytes+entryBytes > l.maxBytes {
			return nil
		}
		e = &entry{}
		l.jobs[strings.Clone(id)] = e
		l.bytes += entryBytes
	}
	e.shownAt = now
	return e
}

// sweep forgets the jobs that were not shown within the retention time.
func (l *Log) sweep(now time.Time) {
	l.nextSweep = now.Add(l.retention)
	for id, e := range l.jobs {
		if now.Sub(e.shownAt) > l.retention {
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

// Addrs returns the addresses of the machines that have lately shown tasks of a job which had not completed.
func (l *Log) Addrs(id string) []string {
	if e := l.jobs[id]; e != nil {
		return slices.Clone(e.addrs)
	}
	return nil
}
