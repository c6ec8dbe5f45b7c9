package recordwriter

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// shardEntryBytes is the approximate encoded size of a machine's entry in a shard.
const shardEntryBytes = 150

// shardOverheadBytes is the encoded size of a shard without its entries.
const shardOverheadBytes = 32

// newShard returns a shard of the given machines under a new key.
func (w *Writer) newShard(machines []*cluster.Machine) *cluster.Shard {
	w.shardCount++
	return &cluster.Shard{
		Key:      fmt.Sprintf("%s%d-%d", records.MachinePrefix, w.termNumber, w.shardCount),
		Machines: slices.Clone(machines),
	}
}

// fitShard returns the number of machines, counted from the start of the list, that fit a new shard,
// and the size of that shard in bytes.
func (w *Writer) fitShard(machines []*cluster.Machine) (n, size int) {
	size = shardOverheadBytes
	for n < min(w.machinesPerShard, len(machines)) {
		raw, err := json.Marshal(machines[n].RegistryEntry())
		if err != nil {
			panic(err) // impossible: records have only fields that JSON can encode
		}
		if size+len(raw)+1 > w.maxShardBytes {
			break
		}
		n, size = n+1, size+len(raw)+1
	}
	return n, size
}

// addShard adds an operation that writes a shard.
func (b *Batch) addShard(s *cluster.Shard) {
	var rec records.RegistryShardRecord
	for _, m := range s.Machines {
		rec.Machines = append(rec.Machines, m.RegistryEntry())
	}
	b.addPut(s.Key, rec)
	b.shards = append(b.shards, s)
}

// Deregister removes a terminated machine from the registry. If it was the last machine of its shard,
// the shard is deleted; otherwise the shard is rewritten at low priority. That can wait: an extra
// entry costs the next leader only a resync, whereas a missing one could cause a task to run twice.
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

// MarkStale queues a shard that names terminated machines to be rewritten or, if it has no other
// machines, deleted. The shard must not be queued already.
func (w *Writer) MarkStale(s *cluster.Shard) {
	s.Stale = true
	w.staleShards = append(w.staleShards, s)
}

// rewriteInterval is the minimum time between two rewrites of stale shards, so that these do not delay
// other records.
const rewriteInterval = time.Second

// rewriteStaleShards deletes the stale shards that have no machines left, and replaces one other stale
// shard by a new shard with its remaining machines. A shard written under larger limits may hold more
// machines than fit a new one. It then stays until new shards, written one after the other, hold all
// of its machines. Each machine is in at least one shard at any time, even if this is interrupted.
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
	if next.PartialReplacement = n < len(s.Machines); !next.PartialReplacement {
		b.addShardDeletes(s, allowed)
	}
}

// abandonRewrite removes a shard from the rewrite queue because no new shard can replace it. The shard
// stays unchanged until another of its machines is terminated. abandonRewrite returns the shard's key.
func (w *Writer) abandonRewrite(s *cluster.Shard) string {
	s.Stale = false
	w.staleShards = slices.DeleteFunc(w.staleShards, func(o *cluster.Shard) bool { return o == s })
	return s.Key
}

// addShardDeletes adds deletions of a shard and of those that may have been written to replace it.
// Of the latter, those that exceed the allowed number of operations stay in the store.
func (b *Batch) addShardDeletes(s *cluster.Shard, allowed int) {
	b.addDelete(s.Key)
	for _, key := range s.PossibleReplacementKeys {
		if len(b.Txn.Ops) < allowed {
			b.addDelete(key)
		}
	}
	b.replaced = append(b.replaced, s)
}

// requeueShards queues again the shard changes of a batch that was not applied or whose outcome is
// unknown.
func (w *Writer) requeueShards(b *Batch) {
	for _, s := range b.shards {
		if s.Replaces != nil {
			s.Replaces.PossibleReplacementKeys = append(s.Replaces.PossibleReplacementKeys, s.Key)
			if s.PartialReplacement {
				w.staleShards = append(w.staleShards, s.Replaces)
			}
			continue
		}
		// No task has been started on these machines, so the shard can be deleted in case it was
		// written. The machines are registered again under a new key.
		w.pendingDeletes = append(w.pendingDeletes, s.Key)
		w.registering = append(w.registering, s.Machines...)
	}
	w.staleShards = append(w.staleShards, b.replaced...)
}

// markShardsWritten marks the machines in a written batch's shards as registered. A machine that was
// terminated in the meantime is deregistered.
func (w *Writer) markShardsWritten(b *Batch) {
	for _, s := range b.shards {
		if old := s.Replaces; s.PartialReplacement {
			old.Machines = slices.DeleteFunc(old.Machines, func(m *cluster.Machine) bool {
				return slices.Contains(s.Machines, m)
			})
			w.staleShards = append(w.staleShards, old)
		}
		s.Replaces, s.PartialReplacement = nil, false
		for _, m := range slices.Clone(s.Machines) {
			m.Registration, m.Shard = cluster.Registered, s
			if m.Phase() == cluster.Terminated {
				w.Deregister(m)
			}
		}
	}
}
