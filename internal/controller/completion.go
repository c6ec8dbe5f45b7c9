package controller

import (
	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// addCompletions adds completion records of the dirty jobs.
func (rw *recordWriter) addCompletions(b *batch, allowed int) {
	if rw.tasksPerChunk == 0 {
		return
	}
	size := (rw.tasksPerChunk/8+2)/3*4 + opOverheadBytes
	for len(rw.dirtyJobs) > 0 && len(b.txn.Ops) < allowed &&
		(b.bytes+size < rw.maxBytes || len(b.txn.Ops) == 0) {
		j := rw.dirtyJobs[0]
		// One record of a job at a time: the next chunk is searched when this one is
		// on record.
		rw.dirtyJobs = rw.dirtyJobs[1:]
		wasDirty := j.completionDirty
		j.completionDirty = false
		if !wasDirty || j.finishing || j.ended {
			continue
		}
		if first, ok := j.nextUnrecordedChunk(rw.tasksPerChunk); ok {
			rw.addCompletion(b, j, first)
		}
	}
}

// addCompletion adds the completion record of a job's chunk that begins at first.
func (rw *recordWriter) addCompletion(b *batch, j *job, first int) {
	bits := j.completionBytes(first, rw.tasksPerChunk)
	b.addPut(records.CompletionKey(j.spec.ID, first), records.CompletionRecord{Done: bits})
	// The record must not outlive its job: once that has ended, another node has
	// deleted the key compared here.
	b.txn.Compares = append(b.txn.Compares, kv.Compare{
		Key:         records.ActivePrefix + j.spec.ID,
		ModRevision: j.modRevision,
	})
	j.completionChunks[first] = true
	j.recordExtent(first, 8*len(bits))
	b.completions = append(b.completions, completionWrite{job: j, first: first, bits: bits})
}

// completionWritten marks the tasks of a written completion record as recorded, and queues
// the job if more of its completed tasks are not on record.
func (rw *recordWriter) completionWritten(w completionWrite) {
	j := w.job
	j.completionChunkSizes[w.first] = 8 * len(w.bits)
	delete(j.migratingCompletion, w.first)
	for i, octet := range w.bits {
		for bit := range 8 {
			if octet&(1<<bit) != 0 {
				j.recorded.Set(uint(w.first + i*8 + bit))
			}
		}
	}
	if _, more := j.nextUnrecordedChunk(rw.tasksPerChunk); more && !j.ended && !j.finishing {
		rw.queueCompletion(j)
	}
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
