// Package flight holds the list schedules of a job. Each member of a flight has the whole job's
// task list in Hu level order, rotated by its index, and pulls the next task that no member has
// taken. The package is pure: it depends on neither clocks nor machines.
package flight

import (
	"math"

	"github.com/bits-and-blooms/bitset"
)

// Flight is the group of members that run one job. The tasks of an array
// depend on nothing, so all are of one level and one rotation covers them.
type Flight struct {
	taskCount    uint
	untaken      *bitset.BitSet
	untakenCount int
	// cursors holds for each member where its rotated list continues, so that no pull
	// walks over the tasks completed before it.
	cursors   map[string]uint
	joinCount int
}

// New makes a flight without members for a job of n tasks.
func New(n int) *Flight {
	f := &Flight{taskCount: uint(n), untaken: bitset.New(uint(n)), untakenCount: n, cursors: map[string]uint{}}
	f.untaken.FlipRange(0, uint(n))
	return f
}

// Untaken is the number of tasks that are neither done nor taken.
func (f *Flight) Untaken() int { return f.untakenCount }

// IsMember reports whether a machine is a member.
func (f *Flight) IsMember(name string) bool {
	_, ok := f.cursors[name]
	return ok
}

// Join makes a machine a member. Its index rotates its list; the starts of successive indices
// are spread by the golden ratio.
func (f *Flight) Join(name string) {
	if f.IsMember(name) {
		return
	}
	_, frac := math.Modf(float64(f.joinCount) * (math.Sqrt(5) - 1) / 2)
	f.cursors[name] = uint(frac * float64(f.taskCount))
	f.joinCount++
}

// Leave removes a member.
func (f *Flight) Leave(name string) { delete(f.cursors, name) }

// Pull takes the next untaken task in the member's list.
func (f *Flight) Pull(name string) (int, bool) { return f.PullExcept(name, nil) }

// PullExcept is Pull without the tasks that this member must not run.
func (f *Flight) PullExcept(name string, excluded func(task int) bool) (int, bool) {
	cursor, ok := f.cursors[name]
	if !ok || f.untakenCount == 0 {
		return 0, false
	}
	start := cursor
	wrapped := false
	for {
		t, found := f.untaken.NextSet(cursor)
		if !found || (wrapped && t >= start) {
			if wrapped {
				return 0, false
			}
			wrapped = true
			cursor = 0
			continue
		}
		if excluded == nil || !excluded(int(t)) {
			f.untaken.Clear(t)
			f.untakenCount--
			f.cursors[name] = (t + 1) % f.taskCount
			return int(t), true
		}
		cursor = t + 1
	}
}

// Take marks a task as taken or done. It reports whether the task was untaken.
func (f *Flight) Take(task int) bool {
	if !f.untaken.Test(uint(task)) {
		return false
	}
	f.untaken.Clear(uint(task))
	f.untakenCount--
	return true
}

// Release returns a task to the lists.
func (f *Flight) Release(task int) {
	if !f.untaken.Test(uint(task)) {
		f.untaken.Set(uint(task))
		f.untakenCount++
	}
}
