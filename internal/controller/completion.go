package controller

import (
	"example.org/ivytrestle/internal/cluster"
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
		wasDirty := j.CompletionDirty
		j.CompletionDirty = false
		if !wasDirty || j.Finishing || j.Ended {
			continue
		}
		if first, ok := j.NextUnrecordedChunk(rw.tasksPerChunk); ok {
			rw.addCompletion(b, j, first)
		}
	}
}

// addCompletion adds the completion record of a job's chunk that begins at first.
func (rw *recordWriter) addCompletion(b *batch, j *cluster.Job, first int) {
	bits := j.CompletionBytes(first, rw.tasksPerChunk)
	b.addPut(records.CompletionKey(j.Spec.ID, first), records.CompletionRecord{Done: bits})
	// The record must not outlive its job: once that has ended, another node has
	// deleted the key compared here.
	b.txn.Compares = append(b.txn.Compares, kv.Compare{
		Key:         records.ActivePrefix + j.Spec.ID,
		ModRevision: j.ModRevision,
	})
	j.CompletionChunks[first] = true
	j.RecordExtent(first, 8*len(bits))
	b.completions = append(b.completions, completionWrite{job: j, first: first, bits: bits})
}

// completionWritten marks the tasks of a written completion record as recorded, and queues
// the job if more of its completed tasks are not on record.
func (rw *recordWriter) completionWritten(w completionWrite) {
	j := w.job
	j.CompletionChunkSizes[w.first] = 8 * len(w.bits)
	delete(j.MigratingCompletion, w.first)
	for i, octet := range w.bits {
		for bit := range 8 {
			if octet&(1<<bit) != 0 {
				j.Recorded.Set(uint(w.first + i*8 + bit))
			}
		}
	}
	if _, more := j.NextUnrecordedChunk(rw.tasksPerChunk); more && !j.Ended && !j.Finishing {
		rw.queueCompletion(j)
	}
}
