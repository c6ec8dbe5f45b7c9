// Package flight distributes the tasks of a job among the machines that work on it, the members of
// its flight, by list scheduling. Each member has a list of all tasks in Hu level order, rotated by an
// offset that depends on the member's index, and pulls the next task that no member has taken. The
// package does no I/O and reads no clock.
package flight

import (
	"math"

	"github.com/bits-and-blooms/bitset"
)

// Flight holds the members that run one job and the job's untaken tasks. The tasks of a job do not
// depend on each other, so all have the same Hu level: a member's list is the tasks in ascending
// order from its offset on, wrapping around at the last task.
type Flight struct {
	taskCount    uint
	untaken      *bitset.BitSet
	untakenCount int
	// cursors holds the task at which each member's next pull starts its search, by member name, so
	// that a pull does not scan the tasks before it again.
	cursors map[string]uint
	// joinCount is the index of the next member to join.
	joinCount int
}

// New returns a flight without members for a job of taskCount tasks, all untaken.
func New(taskCount int) *Flight {
	f := &Flight{
		taskCount:    uint(taskCount),
		untaken:      bitset.New(uint(taskCount)),
		untakenCount: taskCount,
		cursors:      map[string]uint{},
	}
	f.untaken.FlipRange(0, uint(taskCount))
	return f
}

// Untaken returns the number of tasks that are neither completed nor taken by a member.
func (f *Flight) Untaken() int { return f.untakenCount }

// IsMember reports whether the machine of this name is a member.
func (f *Flight) IsMember(name string) bool {
	_, ok := f.cursors[name]
	return ok
}

// Join adds a machine to the flight, unless it is a member. The offset of its list is the fractional
// part of its index times the golden ratio, scaled to the number of tasks, which spreads the offsets
// of successive members evenly.
func (f *Flight) Join(name string) {
	if f.IsMember(name) {
		return
	}
	_, fraction := math.Modf(float64(f.joinCount) * (math.Sqrt(5) - 1) / 2)
	f.cursors[name] = uint(fraction * float64(f.taskCount))
	f.joinCount++
}

// Leave removes a member. The tasks that it has taken stay taken until they are released.
func (f *Flight) Leave(name string) { delete(f.cursors, name) }

// Pull takes the next untaken task in the member's list and reports whether there was one.
func (f *Flight) Pull(name string) (int, bool) { return f.PullExcept(name, nil) }

// PullExcept is like Pull, but skips the tasks for which excluded returns true.
func (f *Flight) PullExcept(name string, excluded func(task int) bool) (int, bool) {
	cursor, ok := f.cursors[name]
	if !ok || f.untakenCount == 0 {
		return 0, false
	}
	start := cursor
	wrapped := false
	for {
		task, found := f.untaken.NextSet(cursor)
		if !found || (wrapped && task >= start) {
			if wrapped {
				return 0, false
			}
			wrapped = true
			cursor = 0
			continue
		}
		if excluded == nil || !excluded(int(task)) {
			f.untaken.Clear(task)
			f.untakenCount--
			f.cursors[name] = (task + 1) % f.taskCount
			return int(task), true
		}
		cursor = task + 1
	}
}

// Take marks a task as taken or completed, and reports whether it was untaken before.
func (f *Flight) Take(task int) bool {
	if !f.untaken.Test(uint(task)) {
		return false
	}
	f.untaken.Clear(uint(task))
	f.untakenCount--
	return true
}

// Release makes a task untaken again, so that any member can pull it.
func (f *Flight) Release(task int) {
	if !f.untaken.Test(uint(task)) {
		f.untaken.Set(uint(task))
		f.untakenCount++
	}
}
