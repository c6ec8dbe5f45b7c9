// Package cancellation keeps the log of cancellations that each node has: what it
// knows of them, in the order in which it learned of them, and how far others have
// read it. It knows neither nodes nor the store; its owner adds entries and carries
// news between nodes. Nothing in it is safe for concurrent use.
package cancellation

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
)

// Log is the cancellations that this process knows of, in the order in which it
// learned of them. It forgets those whose tasks must be long gone.
type Log struct {
	entries []entry
	known   map[string]bool
	// lastNumber is the number of the newest entry, from 1 on.
	lastNumber uint64
	// completeSince is from when on the log is whole.
	completeSince time.Time
	retention     time.Duration
	// maxEntries bounds the log.
	maxEntries int
}

type entry struct {
	id string
	at time.Time
}

const (
	// memoryShare is the part of the memory that a log may take, and entryBytes about
	// what one of its entries takes.
	memoryShare = 1.0 / 32
	entryBytes  = 128
	// maxDeltaBytes bounds what one answer carries of a log: half of what a message
	// between controllers may hold, in any version.
	maxDeltaBytes = 128 << 10
	// idOverhead is what a message takes for an id, besides its bytes.
	idOverhead = 4
)

// NewLog makes the log of a process that begins now. Entries are retained until no
// worker can have a task of theirs any more.
func NewLog(w config.Workers, lim config.Limits, now time.Time) *Log {
	return &Log{known: map[string]bool{}, completeSince: now, retention: config.Duration(w.CancelS) + 2*w.Lease(),
		maxEntries: lim.Entries(memoryShare, entryBytes)}
}

// Add notes a cancellation. One that is known already changes nothing.
func (l *Log) Add(id string, now time.Time) {
	expired := 0
	for expired < len(l.entries) && (now.Sub(l.entries[expired].at) > l.retention || len(l.entries)-expired >= l.maxEntries) {
		l.completeSince = l.entries[expired].at
		delete(l.known, l.entries[expired].id)
		expired++
	}
	l.entries = l.entries[expired:]
	if l.known[id] {
		return
	}
	id = strings.Clone(id)
	l.known[id] = true
	l.lastNumber++
	l.entries = append(l.entries, entry{id, now})
}

// Position is how far a node has read another one's log.
type Position struct {
	// Incarnation names the process whose log it is.
	Incarnation string
	// Number is that of the last entry read.
	Number uint64
}

// Delta is what a node's log holds beyond a position.
type Delta struct {
	IDs []string
	// First is the number of the first of them, or would be.
	First uint64
	// More is set if there are more than this.
	More bool
	// CompleteFor is for how long the log has been whole.
	CompleteFor time.Duration
}

// LastNumber is the number of the last entry that the news hold, or of the one before
// them if they hold none.
func (d *Delta) LastNumber() uint64 { return d.First + uint64(len(d.IDs)) - 1 }

// Since is what an asker lacks that has read the log up to a number.
func (l *Log) Since(number uint64, now time.Time) Delta {
	oldest := l.lastNumber + 1 - uint64(len(l.entries))
	from := min(max(number+1, oldest), l.lastNumber+1)
	entries := l.entries[from-oldest:]
	d := Delta{First: from, CompleteFor: now.Sub(l.completeSince)}
	size := 0
	for _, e := range entries {
		if size += len(e.id) + idOverhead; size > maxDeltaBytes {
			d.More = true
			break
		}
		d.IDs = append(d.IDs, e.id)
	}
	return d
}
