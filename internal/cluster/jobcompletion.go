package cluster

import "github.com/bits-and-blooms/bitset"

// CompletionBitmap returns the bitmap of the completed tasks in the chunk that begins at task first.
func (j *Job) CompletionBitmap(first, tasksPerChunk int) []byte {
	count := min(tasksPerChunk, j.Spec.Tasks-first)
	bits := make([]byte, (count+7)/8)
	for task, ok := j.Done.NextSet(uint(first)); ok && task < uint(first+count); task, ok = j.Done.NextSet(task + 1) {
		offset := int(task) - first
		bits[offset/8] |= 1 << (offset % 8)
	}
	return bits
}

// mayRewriteRecord reports whether the completion record that begins at task first may be written
// with tasksPerChunk tasks. A record written under larger limits covers more tasks, and after it is
// overwritten the next leader would not find the tasks beyond the new record done. These are first
// recorded in chunks with later keys.
func (j *Job) mayRewriteRecord(first, tasksPerChunk int) bool {
	recordedSize := j.CompletionChunkSizes[first]
	if recordedSize <= tasksPerChunk {
		return true
	}
	migrating := j.MigratingCompletion[first]
	if migrating == nil {
		migrating = bitset.New(uint(j.Spec.Tasks))
		end := uint(first + recordedSize)
		task, ok := j.Recorded.NextSet(uint(first + tasksPerChunk))
		for ok && task < end {
			migrating.Set(task)
			task, ok = j.Recorded.NextSet(task + 1)
		}
		j.Recorded.InPlaceDifference(migrating)
		if j.MigratingCompletion == nil {
			j.MigratingCompletion = map[int]*bitset.BitSet{}
		}
		j.MigratingCompletion[first] = migrating
	}
	return migrating.DifferenceCardinality(j.Recorded) == 0
}

// NextUnrecordedChunk returns the first task of the first chunk that has completed but unrecorded
// tasks and whose record may be written.
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

// RecordChunkSize notes that the store may have a completion record that begins at task first and
// covers the given number of tasks.
func (j *Job) RecordChunkSize(first, tasks int) {
	if j.CompletionChunkSizes == nil {
		j.CompletionChunkSizes = map[int]int{}
	}
	j.CompletionChunkSizes[first] = max(j.CompletionChunkSizes[first], tasks)
}
