package cluster

import "github.com/bits-and-blooms/bitset"

// CompletionBitmap is the bit set of the completed tasks of the chunk that begins at first.
func (j *Job) CompletionBitmap(first, tasksPerChunk int) []byte {
	count := min(tasksPerChunk, j.Spec.Tasks-first)
	bits := make([]byte, (count+7)/8)
	for task, ok := j.Done.NextSet(uint(first)); ok && task < uint(first+count); task, ok = j.Done.NextSet(task + 1) {
		offset := int(task) - first
		bits[offset/8] |= 1 << (offset % 8)
	}
	return bits
}

// mayRewriteRecord reports whether the record that begins at first may be written with
// tasksPerChunk tasks. One written under larger limits covers more: once it is
// overwritten, the next leader would no longer count the tasks beyond as done. They are
// first put on record under keys of their own, which all lie further on.
func (j *Job) mayRewriteRecord(first, tasksPerChunk int) bool {
	extent := j.CompletionChunkSizes[first]
	if extent <= tasksPerChunk {
		return true
	}
	moving := j.MigratingCompletion[first]
	if moving == nil {
		moving = bitset.New(uint(j.Spec.Tasks))
		end := uint(first + extent)
		task, ok := j.Recorded.NextSet(uint(first + tasksPerChunk))
		for ok && task < end {
			moving.Set(task)
			task, ok = j.Recorded.NextSet(task + 1)
		}
		j.Recorded.InPlaceDifference(moving)
		if j.MigratingCompletion == nil {
			j.MigratingCompletion = map[int]*bitset.BitSet{}
		}
		j.MigratingCompletion[first] = moving
	}
	return moving.DifferenceCardinality(j.Recorded) == 0
}

// NextUnrecordedChunk finds the first chunk of a job with completed tasks that are not on
// record and whose record may be written.
func (j *Job) NextUnrecordedChunk(tasksPerChunk int) (first int, ok bool) {
	for from := 0; tasksPerChunk > 0; from = first + tasksPerChunk {
		task, ok := j.Done.Difference(j.Recorded).NextSet(uint(from))
		if !ok {
			return 0, false
		}
		if first = int(task) / tasksPerChunk * tasksPerChunk; j.mayRewriteRecord(first, tasksPerChunk) {
			return first, true
		}
	}
	return 0, false
}

// RecordChunkSize records that the store may have a completion record that begins at first and
// covers so many tasks.
func (j *Job) RecordChunkSize(first, tasks int) {
	if j.CompletionChunkSizes == nil {
		j.CompletionChunkSizes = map[int]int{}
	}
	j.CompletionChunkSizes[first] = max(j.CompletionChunkSizes[first], tasks)
}
