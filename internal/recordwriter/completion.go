package recordwriter

import (
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// addCompletions adds one completion record for each dirty job, as long as the batch has capacity.
func (w *Writer) addCompletions(b *Batch, allowed int) {
	if w.tasksPerChunk == 0 {
		return
	}
	size := (w.tasksPerChunk/8+2)/3*4 + opOverheadBytes
	for len(w.dirtyJobs) > 0 && len(b.Txn.Ops) < allowed &&
		(b.Bytes+size < w.maxBytes || len(b.Txn.Ops) == 0) {
		j := w.dirtyJobs[0]
		// A job has one completion record in flight at a time. The job is queued again for its
		// next chunk when this one has been written.
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

// addCompletion adds the completion record for the chunk of a job that begins at task first.
func (w *Writer) addCompletion(b *Batch, j *cluster.Job, first int) {
	bits := j.CompletionBitmap(first, w.tasksPerChunk)
	b.addPut(records.CompletionKey(j.Spec.ID, first), records.CompletionRecord{Done: bits})
	// A completion record must not be written after its job has ended. The active record compared
	// here is deleted when the job ends, so the transaction then fails.
	b.Txn.Compares = append(b.Txn.Compares, kv.Compare{
		Key:         records.ActivePrefix + j.Spec.ID,
		ModRevision: j.ModRevision,
	})
	j.CompletionChunks[first] = true
	j.RecordChunkSize(first, 8*len(bits))
	b.completions = append(b.completions, completionWrite{job: j, first: first, bits: bits})
}

// markCompletionRecorded marks the tasks of a written completion record as recorded, and queues the
// job again if it has other completed tasks that are not recorded.
func (w *Writer) markCompletionRecorded(written completionWrite) {
	j := written.job
	j.CompletionChunkSizes[written.first] = 8 * len(written.bits)
	delete(j.MigratingCompletion, written.first)
	for i, b := range written.bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				j.Recorded.Set(uint(written.first + i*8 + bit))
			}
		}
	}
	if _, more := j.NextUnrecordedChunk(w.tasksPerChunk); more && !j.Ended && !j.Finishing {
		w.QueueCompletion(j)
	}
}
