package controller

import "github.com/bits-and-blooms/bitset"

// completionBytes is the bit set of the completed tasks of the chunk that begins at first.
func (j *job) completionBytes(first, tasksPerChunk int) []byte {
	count := min(tasksPerChunk, j.spec.Tasks-first)
	bits := make([]byte, (count+7)/8)
	for task, ok := j.done.NextSet(uint(first)); ok && task < uint(first+count); task, ok = j.done.NextSet(task + 1) {
		offset := int(task) - first
		bits[offset/8] |= 1 << (offset % 8)
	}
	return bits
}

// mayRewriteRecord reports whether the record that begins at first may be written with
// tasksPerChunk tasks. One written under larger limits covers more: once it is
// overwritten, the next leader would no longer count the tasks beyond as done. They are
// first put on record under keys of their own, which all lie further on.
func (j *job) mayRewriteRecord(first, tasksPerChunk int) bool {
	extent := j.completionChunkSizes[first]
	if extent <= tasksPerChunk {
		return true
	}
	moving := j.migratingCompletion[first]
	if moving == nil {
		moving = bitset.New(uint(j.spec.Tasks))
		end := uint(first + extent)
		task, ok := j.recorded.NextSet(uint(first + tasksPerChunk))
		for ok && task < end {
			moving.Set(task)
			task, ok = j.recorded.NextSet(task + 1)
		}
		j.recorded.InPlaceDifference(moving)
		if j.migratingCompletion == nil {
			j.migratingCompletion = map[int]*bitset.BitSet{}
		}
		j.migratingCompletion[first] = moving
	}
	return moving.DifferenceCardinality(j.recorded) == 0
}

// nextUnrecordedChunk finds the first chunk of a job with completed tasks that are not on
// record and whose record may be written.
func (j *job) nextUnrecordedChunk(tasksPerChunk int) (first int, ok bool) {
	for from := 0; tasksPerChunk > 0; from = first + tasksPerChunk {
		task, ok := j.done.Difference(j.recorded).NextSet(uint(from))
		if !ok {
			return 0, false
		}
		if first = int(task) / tasksPerChunk * tasksPerChunk; j.mayRewriteRecord(first, tasksPerChunk) {
			return first, true
		}
	}
	return 0, false
}

// recordExtent records that the store may have a completion record that begins at first and
// covers so many tasks.
func (j *job) recordExtent(first, tasks int) {
	if j.completionChunkSizes == nil {
		j.completionChunkSizes = map[int]int{}
	}
	j.completionChunkSizes[first] = max(j.completionChunkSizes[first], tasks)
}
