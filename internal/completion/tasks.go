package completion

import (
	"iter"
	"math/bits"
	"slices"
)

// Tasks is a set of tasks of a job, as a bitmap: task i is bit i%8 of byte i/8. Completion records and
// messages between controllers hold it in this form.
type Tasks []byte

// With returns the set with one more task. It may change the receiver.
func (t Tasks) With(task int) Tasks {
	if missing := task/8 + 1 - len(t); missing > 0 {
		t = append(t, make(Tasks, missing)...)
	}
	t[task/8] |= 1 << (task % 8)
	return t
}

// Has reports whether the set holds a task.
func (t Tasks) Has(task int) bool { return task/8 < len(t) && t[task/8]&(1<<(task%8)) != 0 }

// Union returns a new set with the tasks of both sets.
func (t Tasks) Union(other Tasks) Tasks {
	longer, shorter := t, other
	if len(longer) < len(shorter) {
		longer, shorter = shorter, longer
	}
	union := slices.Clone(longer)
	for i, b := range shorter {
		union[i] |= b
	}
	return union
}

// All returns the tasks of the set in ascending order.
func (t Tasks) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, b := range t {
			for ; b != 0; b &= b - 1 {
				if !yield(i*8 + bits.TrailingZeros8(b)) {
					return
				}
			}
		}
	}
}

// ContainsAll reports whether the set holds the first count tasks, that is all tasks of a job with count
// tasks.
func (t Tasks) ContainsAll(count int) bool {
	held := 0
	for task := range t.All() {
		if task < count {
			held++
		}
	}
	return held == count
}
