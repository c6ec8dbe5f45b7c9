package recordwriter

import (
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// addCompletions adds completion records of the dirty jobs.
func (w *Writer) addCompletions(b *Batch, allowed int) {
	if w.tasksPerChunk == 0 {
		return
	}
	size := (w.tasksPerChunk/8+2)/3*4 + opOverheadBytes
	for len(w.dirtyJobs) > 0 && len(b.Txn.Ops) < allowed &&
		(b.Bytes+size < w.maxBytes || len(b.Txn.Ops) == 0) {
		j := w.dirtyJobs[0]
		// One record of a job at a time: the next chunk is searched when this one is
		// on record.
		w.dirtyJobs = w.dirtyJobs[1:]
		wasDirty := j.CompletionDirty
		j.CompletionDirty = false
		if !wasDirty || j.Finishing || j.Ended {
			continue
		}
		if first, ok := j.NextUnrecordedChunk(w.tasksPerChunk); ok {
			w.addCompletion(b, j, first)
		}
	}
}

// addCompletion adds the completion record of a job's chunk that begins at first.
func (w *Writer) addCompletion(b *Batch, j *cluster.Job, first int) {
	bits := j.CompletionBytes(first, w.tasksPerChunk)
	b.addPut(records.CompletionKey(j.Spec.ID, first), records.CompletionRecord{Done: bits})
	// The record must not outlive its job: once that has ended, another node has
	// deleted the key compared here.
	b.Txn.Compares = append(b.Txn.Compares, kv.Compare{
		Key:         records.ActivePrefix + j.Spec.ID,
		ModRevision: j.ModRevision,
	})
	j.CompletionChunks[first] = true
	j.RecordExtent(first, 8*len(bits))
	b.completions = append(b.completions, completionWrite{job: j, first: first, bits: bits})
}

// markCompletionRecorded marks the tasks of a written completion record as recorded, and queues
// the job if more of its completed tasks are not on record.
func (w *Writer) markCompletionRecorded(written completionWrite) {
	j := written.job
	j.CompletionChunkSizes[written.first] = 8 * len(written.bits)
	delete(j.MigratingCompletion, written.first)
	for i, octet := range written.bits {
		for bit := range 8 {
			if octet&(1<<bit) != 0 {
				j.Recorded.Set(uint(written.first + i*8 + bit))
			}
		}
	}
	if _, more := j.NextUnrecordedChunk(w.tasksPerChunk); more && !j.Ended && !j.Finishing {
		w.QueueCompletion(j)
	}
}
