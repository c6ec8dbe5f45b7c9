package recordwriter

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// shardEntryBytes is about how long a machine's entry is, in bytes.
const shardEntryBytes = 150

// shardOverheadBytes is what a shard takes beside its entries.
const shardOverheadBytes = 32

func (w *Writer) newShard(members []*cluster.Machine) *cluster.Shard {
	w.shardCount++
	return &cluster.Shard{
		Key:      fmt.Sprintf("%s%d-%d", records.MachinePrefix, w.termNumber, w.shardCount),
		Machines: slices.Clone(members),
	}
}

// fitShard is how many of the first machines a new shard holds, and its size.
func (w *Writer) fitShard(members []*cluster.Machine) (n, size int) {
	size = shardOverheadBytes
	for n < min(w.machinesPerShard, len(members)) {
		raw, err := json.Marshal(members[n].RegistryEntry())
		if err != nil {
			panic(err) // records hold only plain values
		}
		if size+len(raw)+1 > w.maxShardBytes {
			break
		}
		n, size = n+1, size+len(raw)+1
	}
	return n, size
}

// addShard adds a shard to a batch.
func (b *Batch) addShard(s *cluster.Shard) {
	var rec records.RegistryShardRecord
	for _, m := range s.Machines {
		rec.Machines = append(rec.Machines, m.RegistryEntry())
	}
	b.addPut(s.Key, rec)
	b.shards = append(b.shards, s)
}

// Deregister removes a terminated machine. Its shard is deleted with the last of
// its machines, and otherwise rewritten at low priority: an entry too many costs
// the next leader a resync, one too few could run a task twice.
func (w *Writer) Deregister(m *cluster.Machine) {
	s := m.Shard
	if s == nil {
		return
	}
	m.Shard = nil
	s.Machines = slices.DeleteFunc(s.Machines, func(o *cluster.Machine) bool { return o == m })
	if !s.Stale {
		w.MarkStale(s)
	}
}

// MarkStale queues a shard that names terminated machines, and is not queued yet, to be rewritten.
func (w *Writer) MarkStale(s *cluster.Shard) {
	s.Stale = true
	w.staleShards = append(w.staleShards, s)
}

// rewriteInterval keeps the rewriting of stale shards behind other records.
const rewriteInterval = time.Second

// rewriteStaleShards replaces a stale shard by one with its remaining machines, and deletes
// those without any. A shard written under larger limits may hold more machines than
// a new one: it then stays until all of them are on new ones, one after the other.
// Wherever this is interrupted, each machine is on one of them.
func (w *Writer) rewriteStaleShards(b *Batch, allowed int, now time.Time) {
	w.staleShards = slices.DeleteFunc(w.staleShards, func(s *cluster.Shard) bool {
		if len(s.Machines) > 0 || len(b.Txn.Ops) >= allowed {
			return false
		}
		b.addShardDeletes(s, allowed)
		return true
	})
	if len(w.staleShards) == 0 || now.Before(w.nextRewrite) || len(b.Txn.Ops)+2 > allowed || b.Bytes >= w.maxBytes {
		return
	}
	s := w.staleShards[0]
	n, size := w.fitShard(s.Machines)
	if n == 0 {
		b.Oversized.Shards = append(b.Oversized.Shards, w.abandonRewrite(s))
		return
	}
	if len(b.Txn.Ops) > 0 && b.Bytes+size > w.maxBytes {
		return
	}
	w.nextRewrite = now.Add(rewriteInterval)
	w.staleShards = w.staleShards[1:]
	next := w.newShard(s.Machines[:n])
	next.Replaces = s
	b.addShard(next)
	if next.Partial = n < len(s.Machines); !next.Partial {
		b.addShardDeletes(s, allowed)
	}
}

// abandonRewrite leaves a shard that no new one can replace as it is, until another of
// its machines is terminated. It returns the shard's key.
func (w *Writer) abandonRewrite(s *cluster.Shard) string {
	s.Stale = false
	w.staleShards = slices.DeleteFunc(w.staleShards, func(o *cluster.Shard) bool { return o == s })
	return s.Key
}

// addShardDeletes deletes a shard, and with it those that may have been written in its
// place. Of the latter, those beyond the allowed operations stay in the store.
func (b *Batch) addShardDeletes(s *cluster.Shard, allowed int) {
	b.addDelete(s.Key)
	for _, key := range s.PossiblyWritten {
		if len(b.Txn.Ops) < allowed {
			b.addDelete(key)
		}
	}
	b.replaced = append(b.replaced, s)
}

// requeueShards queues the shards of a batch that was not applied, or whose outcome is
// unknown.
func (w *Writer) requeueShards(b *Batch) {
	for _, s := range b.shards {
		if s.Replaces != nil {
			s.Replaces.PossiblyWritten = append(s.Replaces.PossiblyWritten, s.Key)
			if s.Partial {
				w.staleShards = append(w.staleShards, s.Replaces)
			}
			continue
		}
		// No task was started on these machines yet, so the record can be deleted in
		// case it was written, and they are registered anew.
		w.pendingDeletes = append(w.pendingDeletes, s.Key)
		w.registering = append(w.registering, s.Machines...)
	}
	w.staleShards = append(w.staleShards, b.replaced...)
}

// markShardsWritten marks the machines of a written batch's shards as registered.
func (w *Writer) markShardsWritten(b *Batch) {
	for _, s := range b.shards {
		if old := s.Replaces; s.Partial {
			old.Machines = slices.DeleteFunc(old.Machines, func(m *cluster.Machine) bool {
				return slices.Contains(s.Machines, m)
			})
			w.staleShards = append(w.staleShards, old)
		}
		s.Replaces, s.Partial = nil, false
		for _, m := range slices.Clone(s.Machines) {
			m.Registration, m.Shard = cluster.Registered, s
			if m.Phase() == cluster.Terminated {
				w.Deregister(m)
			}
		}
	}
}
