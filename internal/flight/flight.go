// Package flight holds the list schedules of a job. Each member of a flight
// has the whole job's task list in Hu level order, rotated by its index, and
// pulls the next task that nobody has taken. The package is pure: it knows
// neither clocks nor machines.
package flight

import (
	"math"

	"github.com/bits-and-blooms/bitset"
)

// Flight is the group of members that run one job. The tasks of an array
// depend on nothing, so all are of one level and one rotation covers them.
type Flight struct {
	total   uint
	untaken *bitset.BitSet
	left    int
	// cursors holds for each member where its rotated list goes on, so that
	// no pull walks over the tasks finished before it.
	cursors map[string]uint
	joined  int
}

// New makes a flight without members for a job of n tasks.
func New(n int) *Flight {
	f := &Flight{total: uint(n), untaken: bitset.New(uint(n)), left: n, cursors: map[string]uint{}}
	f.untaken.FlipRange(0, uint(n))
	return f
}

// Untaken is the number of tasks that are neither done nor taken.
func (f *Flight) Untaken() int { return f.left }

// Member tells whether a machine is a member.
func (f *Flight) Member(name string) bool { _, ok := f.cursors[name]; return ok }

// Join makes a machine a member. Its list starts where its index rotates it
// to; successive indices are spread by the golden ratio.
func (f *Flight) Join(name string) {
	if f.Member(name) {
		return
	}
	_, frac := math.Modf(float64(f.joined) * (math.Sqrt(5) - 1) / 2)
	f.cursors[name] = uint(frac * float64(f.total))
	f.joined++
}

// Leave removes a member.
func (f *Flight) Leave(name string) { delete(f.cursors, name) }

// Pull takes the next untaken task in the member's list.
func (f *Flight) Pull(name string) (int, bool) { return f.PullExcept(name, nil) }

// PullExcept is Pull, passing over tasks that this member must not run.
func (f *Flight) PullExcept(name string, barred func(task int) bool) (int, bool) {
	cur, ok := f.cursors[name]
	if !ok || f.left == 0 {
		return 0, false
	}
	start := cur
	wrapped := false
	for {
		t, found := f.untaken.NextSet(cur)
		if !found || (wrapped && t >= start) {
			if wrapped {
				return 0, false
			}
			wrapped = true
			cur = 0
			continue
		}
		if barred == nil || !barred(int(t)) {
			f.untaken.Clear(t)
			f.left--
			f.cursors[name] = (t + 1) % f.total
			return int(t), true
		}
		cur = t + 1
	}
}

// Take marks a task as taken or done. It reports whether the task was untaken.
func (f *Flight) Take(task int) bool {
	if !f.untaken.Test(uint(task)) {
		return false
	}
	f.untaken.Clear(uint(task))
	f.left--
	return true
}

// Release gives a task back to the lists.
func (f *Flight) Release(task int) {
	if !f.untaken.Test(uint(task)) {
		f.untaken.Set(uint(task))
		f.left++
	}
}
