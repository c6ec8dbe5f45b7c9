package cancellation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/config"
)

// readLog reads a log as another node does.
func readLog(l *Log, p *Reader, incarnation string, now time.Time) []string {
	from := p.position.Number
	if p.position.Incarnation != incarnation {
		from = 0
	}
	d := l.Since(from, now)
	p.Apply(incarnation, &d, now, now)
	return d.IDs
}

// A log is read in order and once; what it has dropped, or lost with its
// process, counts as not known.
func TestReaderFollowsLog(t *testing.T) {
	w := config.Workers{LeaseS: 10, CancelS: 30}
	start := time.Unix(1_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := NewLog(w, config.Limits{RAMMB: 65}, start)
	var p Reader
	if ids := readLog(l, &p, "x", at(1)); len(ids) != 0 || !p.completeSince.Equal(start) || !p.knownUntil.Equal(at(1)) {
		t.Fatalf("empty: %v %+v", ids, p)
	}
	l.Add("job-1", at(2))
	l.Add("job-2", at(2))
	l.Add("job-1", at(3))
	if ids := readLog(l, &p, "x", at(4)); !slices.Equal(ids, []string{"job-1", "job-2"}) || !p.completeSince.Equal(start) || !p.knownUntil.Equal(at(4)) {
		t.Fatalf("two: %v %+v", ids, p)
	}
	if ids := readLog(l, &p, "x", at(5)); len(ids) != 0 || !p.completeSince.Equal(start) {
		t.Fatalf("again: %v %+v", ids, p)
	}
	// Far too many at once: they come in parts, and the last of them counts.
	name := func(i int) string { return fmt.Sprintf("many-%06d", i) }
	part := maxDeltaBytes / (len(name(0)) + idOverhead)
	for i := range part + 1 {
		l.Add(name(i), at(6))
	}
	if ids := readLog(l, &p, "x", at(7)); len(ids) != part || !p.knownUntil.Equal(at(5)) {
		t.Fatalf("part: %d %+v", len(ids), p)
	}
	if ids := readLog(l, &p, "x", at(8)); len(ids) != 1 || !p.knownUntil.Equal(at(8)) || !p.completeSince.Equal(start) {
		t.Fatalf("rest: %v %+v", ids, p)
	}
	// More than it can hold while nobody asked: from then on it is not whole.
	for i := range l.maxEntries + 5 {
		l.Add(fmt.Sprint("more-", i), at(9))
	}
	if len(l.entries) > l.maxEntries || len(l.known) != len(l.entries) {
		t.Fatalf("holds %d and %d", len(l.entries), len(l.known))
	}
	readLog(l, &p, "x", at(10))
	if p.completeSince.Before(at(9)) {
		t.Fatalf("whole from %v on though entries were dropped", p.completeSince)
	}
	// Old ones are forgotten, and the reader that has them is not troubled.
	var q Reader
	l = NewLog(w, config.Limits{}, start)
	l.Add("job-1", at(1))
	readLog(l, &q, "x", at(2))
	l.Add("job-2", at(200))
	if ids := readLog(l, &q, "x", at(201)); len(l.entries) != 1 || !slices.Equal(ids, []string{"job-2"}) || !q.completeSince.Equal(start) {
		t.Fatalf("old: %v %+v", ids, q)
	}
	// Another process has another log, though the numbers fit.
	l = NewLog(w, config.Limits{}, at(300))
	l.Add("job-7", at(301))
	l.Add("job-8", at(301))
	l.Add("job-9", at(301))
	if ids := readLog(l, &q, "y", at(302)); len(ids) != 3 || q.completeSince.Before(at(300)) {
		t.Fatalf("restarted: %v %+v", ids, q)
	}
}

// What 4,000 machines' jobs may lose at once is one answer's news, even for a process
// with next to no memory: their cancellations are all known after one ping.
func TestLargeFleetFitsOneDelta(t *testing.T) {
	const cancelled = 4000
	start := time.Unix(1_000_000, 0)
	l := NewLog(config.Workers{LeaseS: 10, CancelS: 30}, config.Limits{RAMMB: 3}, start)
	for i := range cancelled {
		l.Add(fmt.Sprintf("job-%06d", i), start)
	}
	var p Reader
	if ids := readLog(l, &p, "x", start); len(ids) != cancelled || !p.completeSince.Equal(start) || !p.knownUntil.Equal(start) {
		t.Errorf("%d of %d known, whole from %v", len(ids), cancelled, p.completeSince)
	}
}
