package controller

import (
	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// addCompletions adds the done tasks of changed jobs.
func (rw *recordWriter) addCompletions(b *batch, allowed int) {
	if rw.tasksPerChunk == 0 {
		return
	}
	size := (rw.tasksPerChunk/8+2)/3*4 + 100
	for len(rw.dirtyJobs) > 0 && len(b.txn.Ops) < allowed && (b.bytes+size < rw.maxBytes || len(b.txn.Ops) == 0) {
		j := rw.dirtyJobs[0]
		if !j.completionDirty || j.finishing || j.ended {
			rw.dirtyJobs = rw.dirtyJobs[1:]
			j.completionDirty = false
			continue
		}
		first, ok := j.nextUnrecordedChunk(rw.tasksPerChunk)
		if !ok {
			j.completionDirty = false
			rw.dirtyJobs = rw.dirtyJobs[1:]
			continue
		}
		words := j.completionBytes(first, rw.tasksPerChunk)
		b.put(records.CompletionKey(j.spec.ID, first), records.CompletionRecord{Done: words})
		// The record must not outlive its job: once that is over, another
		// node has dropped the key guarded on here.
		b.txn.Compares = append(b.txn.Compares, kv.Compare{Key: records.ActivePrefix + j.spec.ID, ModRevision: j.modRevision})
		j.completionChunks[first] = true
		j.holds(first, 8*len(words))
		b.completions = append(b.completions, completionWrite{j, first, words})
		// One record of a job at a time: the next is looked for when this
		// one is on record.
		j.completionDirty = false
		rw.dirtyJobs = rw.dirtyJobs[1:]
	}
}

// nextUnrecordedChunk finds the first part of a job with done tasks not on record whose
// record may be written.
func (j *job) nextUnrecordedChunk(per int) (first int, ok bool) {
	for from := 0; per > 0; from = first + per {
		t, ok := j.done.Difference(j.recorded).NextSet(uint(from))
		if !ok {
			return 0, false
		}
		if first = int(t) / per * per; j.mayRewriteRecord(first, per) {
			return first, true
		}
	}
	return 0, false
}

// holds notes that the store may have a record that begins at first and covers
// so many tasks.
func (j *job) holds(first, tasks int) {
	if j.chunkSizes == nil {
		j.chunkSizes = map[int]int{}
	}
	j.chunkSizes[first] = max(j.chunkSizes[first], tasks)
}

// mayRewriteRecord tells whether the record that begins at first may be written with
// per tasks. One written under larger limits covers more: written over, the
// tasks beyond would no longer count as done for the next leader. They are first put on
// record under keys of their own, which all lie further on.
func (j *job) mayRewriteRecord(first, per int) bool {
	extent := j.chunkSizes[first]
	if extent <= per {
		return true
	}
	moving := j.moving[first]
	if moving == nil {
		moving = bitset.New(uint(j.spec.Tasks))
		for t, ok := j.recorded.NextSet(uint(first + per)); ok && t < uint(first+extent); t, ok = j.recorded.NextSet(t + 1) {
			moving.Set(t)
		}
		j.recorded.InPlaceDifference(moving)
		if j.moving == nil {
			j.moving = map[int]*bitset.BitSet{}
		}
		j.moving[first] = moving
	}
	return moving.DifferenceCardinality(j.recorded) == 0
}

func (j *job) completionBytes(first, per int) []byte {
	n := min(per, j.spec.Tasks-first)
	words := make([]byte, (n+7)/8)
	for i, ok := j.done.NextSet(uint(first)); ok && i < uint(first+n); i, ok = j.done.NextSet(i + 1) {
		at := int(i) - first
		words[at/8] |= 1 << (at % 8)
	}
	return words
}
