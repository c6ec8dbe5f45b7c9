package completion

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/config"
)

func TestTasks(t *testing.T) {
	var odd, even Tasks
	for task := range 21 {
		if task%2 == 0 {
			even = even.With(task)
		} else {
			odd = odd.With(task)
		}
	}
	if got := slices.Collect(odd.All()); len(got) != 10 || got[0] != 1 || got[9] != 19 || odd.Has(20) || odd.Has(400) {
		t.Errorf("odd tasks: got %v, want 1, 3 … 19", got)
	}
	all := odd.Union(even)
	for _, c := range []struct {
		tasks Tasks
		count int
		want  bool
	}{
		{all, 21, true}, {all, 20, true}, {all, 22, false},
		{odd, 2, false}, {odd.Union(nil), 9, false}, {nil, 1, false},
	} {
		if got := c.tasks.ContainsAll(c.count); got != c.want {
			t.Errorf("%v contains all of %d: got %v, want %v", c.tasks, c.count, got, c.want)
		}
	}
}

// The log forgets a job that is no longer shown, and takes no more jobs and tasks than its limit allows.
func TestLogIsBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	l := NewLog(config.Workers{LeaseS: 10}, config.Limits{})
	l.AddDone("job-1", 3, start)
	l.AddDone("job-2", 0, start)
	l.AddDone("job-1", 3, start.Add(15*time.Second))
	l.AddDone("job-3", 0, start.Add(25*time.Second))
	if !l.Tasks("job-1").Has(3) || l.Tasks("job-2") != nil || !l.Tasks("job-3").Has(0) {
		t.Errorf("after 25 s: got %v, %v and %v, want the tasks of job-1 and job-3",
			l.Tasks("job-1"), l.Tasks("job-2"), l.Tasks("job-3"))
	}
	for i := range 2 * minBytes / entryBytes {
		l.AddDone(fmt.Sprint("many-", i), 99_999, start.Add(25*time.Second))
	}
	if l.bytes > l.maxBytes || len(l.jobs) < 50 {
		t.Errorf("got %d bytes in %d jobs, want at most %d and at least 50", l.bytes, len(l.jobs), l.maxBytes)
	}
	for _, addr := range []string{"a", "b", "c", "b", "d"} {
		l.AddUnfinished("job-3", addr, start.Add(25*time.Second))
	}
	if got := l.Addrs("job-3"); !slices.Equal(got, []string{"d", "b", "c"}) {
		t.Errorf("addresses: got %v, want d, b and c", got)
	}
	l.AddDone("job-4", 0, start.Add(time.Hour))
	if len(l.jobs) != 1 || l.bytes != entryBytes+1 {
		t.Errorf("an hour later: got %d jobs, %d bytes, want 1, %d", len(l.jobs), l.bytes, entryBytes+1)
	}
}
