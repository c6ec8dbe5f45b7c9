package recordwriter

import (
	"encoding/json"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// Batch is one transaction and the changes that it writes.
type Batch struct {
	// Txn is the transaction. It compares the term.
	Txn kv.Txn
	// Bytes is the approximate size of the transaction.
	Bytes int
	// DerivedCancels are the pending cancellations that the batch writes: jobs cancelled because
	// they depend on a cancelled one. They are the first elements of the list given to NextBatch.
	DerivedCancels []*cluster.Job
	// Oversized holds the machines and shards that were found too large when the batch was built.
	Oversized Oversized

	finished []*cluster.Job
	shards   []*cluster.Shard
	// replaced are the shards that this batch deletes.
	replaced []*cluster.Shard
	deletes  []string
	// completions are the completion records that the batch writes.
	completions []completionWrite
}

// IsEmpty reports whether the batch has no operations.
func (b *Batch) IsEmpty() bool { return len(b.Txn.Ops) == 0 }

// Oversized holds machines and shards that are too large for a registry record.
type Oversized struct {
	// Machines are machines whose entry does not fit a shard. The next leader could not find them
	// in the registry, so they must never be assigned a task.
	Machines []*cluster.Machine
	// Shards are the keys of stale shards that cannot be rewritten because an entry does not fit a
	// new shard. They stay unchanged in the store.
	Shards []string
}

// completionWrite is one completion record: a bit set of the job's completed tasks in the chunk that
// begins at first.
type completionWrite struct {
	job   *cluster.Job
	first int
	bits  []byte
}

// addCancellations adds as many pending cancellations as the batch and the write rate allow.
func (w *Writer) addCancellations(b *Batch, pending []*cluster.Job, now time.Time) {
	allowed := min(w.maxOps, int(w.cancelLimiter.TokensAt(now)))
	if len(pending) == 0 || allowed < opsPerCancellation {
		return
	}
	n := 0
	for n < len(pending) && len(b.Txn.Ops)+opsPerCancellation <= allowed && b.Bytes < w.maxBytes {
		j := pending[n]
		active := records.ActivePrefix + j.Spec.ID
		b.Txn.Compares = append(b.Txn.Compares, kv.Compare{Key: active, ModRevision: j.ModRevision})
		b.addPut(records.TerminalPrefix+j.Spec.ID, records.TerminalRecord{Phase: api.JobCancelled, Tasks: j.Spec.Tasks})
		b.addDelete(active)
		j.EndMayBeRecorded = true
		n++
	}
	b.DerivedCancels = slices.Clone(pending[:n])
	w.cancelLimiter.AllowN(now, len(b.Txn.Ops))
}

// addChanges adds changes of all kinds except cancellations.
func (w *Writer) addChanges(b *Batch, now time.Time) {
	allowed := min(w.maxOps, int(w.limiter.TokensAt(now)))
	w.addFinished(b, allowed, now)
	w.addRegistrations(b, allowed)
	w.addDeletes(b, allowed)
	if !now.Before(w.nextCompletion) {
		w.nextCompletion = now.Add(completionInterval)
		w.addCompletions(b, allowed/2)
	}
	w.rewriteStaleShards(b, allowed, now)
	w.limiter.AllowN(now, len(b.Txn.Ops))
}

// addFinished adds terminal records of jobs whose tasks are all completed.
func (w *Writer) addFinished(b *Batch, allowed int, now time.Time) {
	for len(w.finishing) > 0 && b.Bytes < w.maxBytes {
		j := w.finishing[0]
		if j.Ended {
			w.finishing = w.finishing[1:]
			continue
		}
		if len(b.Txn.Ops)+2 > allowed {
			return
		}
		w.finishing = w.finishing[1:]
		active := records.ActivePrefix + j.Spec.ID
		b.Txn.Compares = append(b.Txn.Compares, kv.Compare{Key: active, ModRevision: j.ModRevision})
		b.addPut(records.TerminalPrefix+j.Spec.ID, records.TerminalRecord{
			Phase: api.JobDone,
			Tasks: j.Spec.Tasks,
			Ended: now.UTC(),
		})
		b.addDelete(active)
		b.finished = append(b.finished, j)
		// From now on other nodes may read the terminal record before this node receives the
		// result of the write.
		j.EndMayBeRecorded = true
	}
}

// addRegistrations adds new shards with the machines that wait for registration.
func (w *Writer) addRegistrations(b *Batch, allowed int) {
	w.registering = slices.DeleteFunc(w.registering, func(m *cluster.Machine) bool {
		return m.Phase() == cluster.Terminated
	})
	for len(w.registering) > 0 && len(b.Txn.Ops) < allowed && b.Bytes < w.maxBytes {
		n, size := w.fitShard(w.registering)
		if n == 0 {
			b.Oversized.Machines = append(b.Oversized.Machines, w.registering[0])
			w.registering = w.registering[1:]
			continue
		}
		if len(b.Txn.Ops) > 0 && b.Bytes+size > w.maxBytes {
			return
		}
		b.addShard(w.newShard(w.registering[:n]))
		w.registering = w.registering[n:]
	}
}

// addDeletes adds deletions of obsolete records.
func (w *Writer) addDeletes(b *Batch, allowed int) {
	for len(w.pendingDeletes) > 0 && len(b.Txn.Ops) < allowed {
		b.addDelete(w.pendingDeletes[0])
		b.deletes = append(b.deletes, w.pendingDeletes[0])
		w.pendingDeletes = w.pendingDeletes[1:]
	}
}

// addPut adds an operation that writes a value, and its size.
func (b *Batch) addPut(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // impossible: records have only fields that JSON can encode
	}
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Put: key, Value: json.RawMessage(raw)})
	b.Bytes += len(raw) + 2*len(key) + opOverheadBytes
}

// addDelete adds an operation that deletes a key, and its size.
func (b *Batch) addDelete(key string) {
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Delete: key})
	b.Bytes += 2*len(key) + opOverheadBytes
}
