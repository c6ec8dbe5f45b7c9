package cancellation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/config"
)

// readLog applies the next delta of a log to a reader, as another node does.
func readLog(l *Log, reader *Reader, incarnation string, now time.Time) []string {
	from := reader.position.Number
	if reader.position.Incarnation != incarnation {
		from = 0
	}
	d := l.DeltaSince(from, now)
	reader.Apply(incarnation, &d, now, now)
	return d.IDs
}

var (
	testWorkers = config.Workers{LeaseS: 10, CancelS: 30}
	start       = time.Unix(1_000_000, 0)
)

// at returns the time that is the given number of seconds after start.
func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// checkReader checks the period for which a reader has all cancellations.
func checkReader(t *testing.T, reader *Reader, completeSince, knownUntil time.Time) {
	t.Helper()
	if !reader.CompleteSince().Equal(completeSince) || !reader.KnownUntil().Equal(knownUntil) {
		t.Errorf("complete since %v until %v, want since %v until %v",
			reader.CompleteSince(), reader.KnownUntil(), completeSince, knownUntil)
	}
}

// checkRead reads a log and checks which cancellations the reader receives.
func checkRead(t *testing.T, l *Log, reader *Reader, now time.Time, want ...string) {
	t.Helper()
	if got := readLog(l, reader, "x", now); !slices.Equal(got, want) {
		t.Errorf("read %v, want %v", got, want)
	}
}

// A reader receives the entries of a log in order, each exactly once.
func TestReaderFollowsLog(t *testing.T) {
	l := NewLog(testWorkers, config.Limits{RAMMB: 65}, start)
	var reader Reader
	checkRead(t, l, &reader, at(1))
	checkReader(t, &reader, start, at(1))
	l.Add("job-1", at(2))
	l.Add("job-2", at(2))
	l.Add("job-1", at(3))
	checkRead(t, l, &reader, at(4), "job-1", "job-2")
	checkReader(t, &reader, start, at(4))
	checkRead(t, l, &reader, at(5))
	checkReader(t, &reader, start, at(5))
}

// Entries that do not fit in one delta are read in several, and the reader has all cancellations
// only after the last one. If entries are dropped before it has read them, it is not complete for
// the time before.
func TestReaderOfMoreThanOneDelta(t *testing.T) {
	l := NewLog(testWorkers, config.Limits{RAMMB: 65}, start)
	var reader Reader
	checkRead(t, l, &reader, at(5))
	name := func(i int) string { return fmt.Sprintf("many-%06d", i) }
	part := maxDeltaBytes / (len(name(0)) + idOverheadBytes)
	for i := range part + 1 {
		l.Add(name(i), at(6))
	}
	if ids := readLog(l, &reader, "x", at(7)); len(ids) != part {
		t.Fatalf("first delta: %d entries, want %d", len(ids), part)
	}
	checkReader(t, &reader, start, at(5))
	if ids := readLog(l, &reader, "x", at(8)); len(ids) != 1 {
		t.Fatalf("second delta: %d entries, want 1", len(ids))
	}
	checkReader(t, &reader, start, at(8))
	// More entries than the log can hold are added between two reads.
	for i := range l.maxEntries + 5 {
		l.Add(fmt.Sprint("more-", i), at(9))
	}
	if len(l.entries) > l.maxEntries || len(l.known) != len(l.entries) {
		t.Fatalf("holds %d entries and %d names, want at most %d of each", len(l.entries), len(l.known), l.maxEntries)
	}
	readLog(l, &reader, "x", at(10))
	if reader.completeSince.Before(at(9)) {
		t.Fatalf("complete since %v though entries were dropped at %v", reader.completeSince, at(9))
	}
}

// When old entries are dropped, a reader that has read them stays complete. The log of another
// process is read from its beginning, even if the entry numbers would continue.
func TestReaderOfTrimmedAndOfNewLog(t *testing.T) {
	var reader Reader
	l := NewLog(testWorkers, config.Limits{}, start)
	l.Add("job-1", at(1))
	readLog(l, &reader, "x", at(2))
	l.Add("job-2", at(200))
	checkRead(t, l, &reader, at(201), "job-2")
	if len(l.entries) != 1 || !reader.completeSince.Equal(start) {
		t.Fatalf("%d entries, complete since %v, want 1, since %v", len(l.entries), reader.completeSince, start)
	}
	l = NewLog(testWorkers, config.Limits{}, at(300))
	for _, id := range []string{"job-7", "job-8", "job-9"} {
		l.Add(id, at(301))
	}
	ids := readLog(l, &reader, "y", at(302))
	if len(ids) != 3 || reader.completeSince.Before(at(300)) {
		t.Fatalf("restarted: %v, complete since %v, want three, since %v", ids, reader.completeSince, at(300))
	}
}

// The cancellations of 4,000 jobs, one for each machine of a large fleet, fit in one delta, even if
// the memory limit is very low: a reader has all of them after one ping.
func TestLargeFleetFitsOneDelta(t *testing.T) {
	const cancelled = 4000
	l := NewLog(testWorkers, config.Limits{RAMMB: 3}, start)
	for i := range cancelled {
		l.Add(fmt.Sprintf("job-%06d", i), start)
	}
	var reader Reader
	if ids := readLog(l, &reader, "x", start); len(ids) != cancelled {
		t.Errorf("%d cancellations known, want %d", len(ids), cancelled)
	}
	checkReader(t, &reader, start, start)
}
