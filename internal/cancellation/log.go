// Package cancellation implements the log of cancellations that each node keeps, in the order in
// which it received them, and the position up to which a node has read another node's log. It does
// no I/O: the caller adds entries and transfers deltas between nodes. Its types are not safe for
// concurrent use.
package cancellation

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
)

// Log holds the cancellations that this process has received, in that order. It drops entries once
// no worker can still have a task of their jobs.
type Log struct {
	entries []entry
	known   map[string]bool
	// lastNumber is the number of the newest entry. The first entry has the number 1.
	lastNumber uint64
	// completeSince is the time since which the log holds all cancellations that were added.
	completeSince time.Time
	retention     time.Duration
	// maxEntries is the maximum length of the log. The oldest entries are dropped first.
	maxEntries int
}

type entry struct {
	id      string
	addedAt time.Time
}

const (
	// maxMemoryFraction is the fraction of the memory limit that a log may take.
	maxMemoryFraction = 1.0 / 32
	// entryBytes is the approximate size of an entry in memory.
	entryBytes = 128
	// maxDeltaBytes is the maximum size of a delta: half the maximum size of a message between
	// controllers of any version.
	maxDeltaBytes = 128 << 10
	// idOverheadBytes is the size of an id's encoding in a message, without the id itself.
	idOverheadBytes = 4
)

// NewLog returns the empty log of a process that starts now. Entries are retained until no worker
// can still have a task of their jobs.
func NewLog(w config.Workers, lim config.Limits, now time.Time) *Log {
	return &Log{
		known:         map[string]bool{},
		completeSince: now,
		retention:     config.Duration(w.CancelS) + 2*w.Lease(),
		maxEntries:    lim.MaxEntries(maxMemoryFraction, entryBytes),
	}
}

// Add adds a cancellation unless the log already holds it, after dropping expired and excess entries.
func (l *Log) Add(id string, now time.Time) {
	expired := 0
	for ; expired < len(l.entries); expired++ {
		oldest := l.entries[expired]
		if now.Sub(oldest.addedAt) <= l.retention && len(l.entries)-expired < l.maxEntries {
			break
		}
		l.completeSince = oldest.addedAt
		delete(l.known, oldest.id)
	}
	l.entries = l.entries[expired:]
	if l.known[id] {
		return
	}
	id = strings.Clone(id)
	l.known[id] = true
	l.lastNumber++
	l.entries = append(l.entries, entry{id: id, addedAt: now})
}

// Position is the position up to which a node has read another node's log.
type Position struct {
	// Incarnation identifies the process that keeps the log.
	Incarnation string
	// Number is the number of the last entry read.
	Number uint64
}

// Delta holds the entries of a log after a position.
type Delta struct {
	// IDs are the ids of the cancelled jobs.
	IDs []string
	// First is the number of the first entry of the delta, or of the next entry that the log will
	// hold if the delta is empty.
	First uint64
	// More is set if the log holds further entries after these.
	More bool
	// CompleteFor is how long the log has been complete.
	CompleteFor time.Duration
}

// LastNumber returns the number of the delta's last entry, or First-1 if the delta is empty.
func (d *Delta) LastNumber() uint64 { return d.First + uint64(len(d.IDs)) - 1 }

// DeltaSince returns the entries after a number that the log still holds, as many as fit in a delta.
func (l *Log) DeltaSince(number uint64, now time.Time) Delta {
	oldest := l.lastNumber + 1 - uint64(len(l.entries))
	from := min(max(number+1, oldest), l.lastNumber+1)
	entries := l.entries[from-oldest:]
	d := Delta{First: from, CompleteFor: now.Sub(l.completeSince)}
	size := 0
	for _, e := range entries {
		if size += len(e.id) + idOverheadBytes; size > maxDeltaBytes {
			d.More = true
			break
		}
		d.IDs = append(d.IDs, e.id)
	}
	return d
}
