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

// Batch is one transaction with the changes that it records.
type Batch struct {
	// Txn is the transaction. It compares the term.
	Txn kv.Txn
	// Bytes is about how large the transaction is.
	Bytes int
	// DerivedCancels are the first of the pending cancellations, which the batch records: jobs
	// cancelled because they depend on a cancelled one.
	DerivedCancels []*cluster.Job
	// Oversized is what was found to fit in no shard when the batch was built.
	Oversized Oversized

	finished []*cluster.Job
	shards   []*cluster.Shard
	// replaced are the shards that this batch deletes.
	replaced []*cluster.Shard
	deletes  []string
	// completions are the chunks of completed tasks that the transaction records.
	completions []completionWrite
}

// IsEmpty tells whether there is nothing to write.
func (b *Batch) IsEmpty() bool { return len(b.Txn.Ops) == 0 }

// Oversized is what no shard of the registry can hold.
type Oversized struct {
	// Machines are rejected: the next leader would not know of them, so they must never be
	// given a task.
	Machines []*cluster.Machine
	// Shards are the keys of stale shards that no new one can replace. They stay as they are.
	Shards []string
}

// completionWrite is one completion record: the job's tasks from first on, as a bit set.
type completionWrite struct {
	job   *cluster.Job
	first int
	bits  []byte
}

// addCancellations adds the first of the pending cancellations, if the write rate allows.
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
		j.Ending = true
		n++
	}
	b.DerivedCancels = slices.Clone(pending[:n])
	w.cancelLimiter.AllowN(now, len(b.Txn.Ops))
}

// addChanges adds all changes but cancellations.
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

// addFinished adds the terminal records of jobs whose tasks are all done.
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
		// From now on others may read its terminal record before this node learns that it
		// was written.
		j.Ending = true
	}
}

// addRegistrations adds new machines to the registry.
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

// addDeletes adds the deletion of records that are no longer needed.
func (w *Writer) addDeletes(b *Batch, allowed int) {
	for len(w.pendingDeletes) > 0 && len(b.Txn.Ops) < allowed {
		b.addDelete(w.pendingDeletes[0])
		b.deletes = append(b.deletes, w.pendingDeletes[0])
		w.pendingDeletes = w.pendingDeletes[1:]
	}
}

// addPut adds a value, and its size.
func (b *Batch) addPut(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // records hold only plain values
	}
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Put: key, Value: json.RawMessage(raw)})
	b.Bytes += len(raw) + 2*len(key) + opOverheadBytes
}

// addDelete adds the deletion of a key, and its size.
func (b *Batch) addDelete(key string) {
	b.Txn.Ops = append(b.Txn.Ops, kv.Op{Delete: key})
	b.Bytes += 2*len(key) + opOverheadBytes
}
