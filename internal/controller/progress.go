package controller

import (
	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/store"
)

// addProgress adds the done tasks of changed jobs.
func (w *recorder) addProgress(b *batch, allowed int) {
	if w.perChunk == 0 {
		return
	}
	size := (w.perChunk/8+2)/3*4 + 100
	for len(w.dirty) > 0 && len(b.txn.Ops) < allowed && (b.bytes+size < w.maxBytes || len(b.txn.Ops) == 0) {
		j := w.dirty[0]
		if !j.completionDirty || j.finishing || j.ended {
			w.dirty = w.dirty[1:]
			j.completionDirty = false
			continue
		}
		first, ok := j.unrecorded(w.perChunk)
		if !ok {
			j.completionDirty = false
			w.dirty = w.dirty[1:]
			continue
		}
		words := j.doneBytes(first, w.perChunk)
		b.put(store.ProgressKey(j.spec.ID, first), store.ProgressRecord{Done: words})
		// The record must not outlive its job: once that is over, another
		// node has dropped the key guarded on here.
		b.txn.Guards = append(b.txn.Guards, store.Guard{Key: store.ActivePrefix + j.spec.ID, Mark: j.modRevision})
		j.completionChunks[first] = true
		j.holds(first, 8*len(words))
		b.progressed = append(b.progressed, progressed{j, first, words})
		// One record of a job at a time: the next is looked for when this
		// one is on record.
		j.completionDirty = false
		w.dirty = w.dirty[1:]
	}
}

// unrecorded finds the first part of a job with done tasks not on record whose
// record may be written.
func (j *job) unrecorded(per int) (first int, ok bool) {
	for from := 0; per > 0; from = first + per {
		t, ok := j.done.Difference(j.recorded).NextSet(uint(from))
		if !ok {
			return 0, false
		}
		if first = int(t) / per * per; j.replaceable(first, per) {
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

// replaceable tells whether the record that begins at first may be written with
// per tasks. One written under larger limits covers more: written over, the
// tasks beyond would no longer count as done for the next leader. They are first put on
// record under keys of their own, which all lie further on.
func (j *job) replaceable(first, per int) bool {
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

func (j *job) doneBytes(first, per int) []byte {
	n := min(per, j.spec.Tasks-first)
	words := make([]byte, (n+7)/8)
	for i, ok := j.done.NextSet(uint(first)); ok && i < uint(first+n); i, ok = j.done.NextSet(i + 1) {
		at := int(i) - first
		words[at/8] |= 1 << (at % 8)
	}
	return words
}
