// Package cancellation keeps the log of cancellations that each node has, in the order in
// which it learned of them, and how far it has read the logs of others. It depends on neither
// nodes nor the store: its owner adds entries and carries deltas between nodes. Nothing in it
// is safe for concurrent use.
package cancellation

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
)

// Log holds the cancellations that this process knows of, in the order in which it learned of
// them. It drops those of which no worker can have a task any more.
type Log struct {
	entries []entry
	known   map[string]bool
	// lastNumber is the number of the newest entry, from 1 on.
	lastNumber uint64
	// completeSince is since when the log holds all cancellations that were added.
	completeSince time.Time
	retention     time.Duration
	// maxEntries bounds the log; beyond it the oldest entries are dropped.
	maxEntries int
}

type entry struct {
	id      string
	addedAt time.Time
}

const (
	// maxMemoryFraction is the part of the memory that a log may take, and entryBytes about
	// what an entry takes.
	maxMemoryFraction = 1.0 / 32
	entryBytes        = 128
	// maxDeltaBytes bounds a delta: half of what a message between controllers may hold,
	// in any version.
	maxDeltaBytes = 128 << 10
	// idOverheadBytes is what a message takes for an id, besides its bytes.
	idOverheadBytes = 4
)

// NewLog makes the log of a process that starts now. Entries are retained until no
// worker can have a task of theirs any more.
func NewLog(w config.Workers, lim config.Limits, now time.Time) *Log {
	return &Log{
		known:         map[string]bool{},
		completeSince: now,
		retention:     config.Duration(w.CancelS) + 2*w.Lease(),
		maxEntries:    lim.Entries(maxMemoryFraction, entryBytes),
	}
}

// Add adds a cancellation, unless the log holds it already.
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

// Position is how far a node has read another one's log.
type Position struct {
	// Incarnation names the process whose log it is.
	Incarnation string
	// Number is that of the last entry read.
	Number uint64
}

// Delta is what a node's log holds after a position.
type Delta struct {
	IDs []string
	// First is the number of the first of them, or of the next entry if there is none.
	First uint64
	// More is set if the log holds entries after these.
	More bool
	// CompleteFor is for how long the log has been complete.
	CompleteFor time.Duration
}

// LastNumber is the number of the delta's last entry, or of the one before First if the delta
// is empty.
func (d *Delta) LastNumber() uint64 { return d.First + uint64(len(d.IDs)) - 1 }

// DeltaSince returns what a reader lacks that has read the log up to a number.
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
