package controller

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

// shardFrameBytes is what a shard takes beside its entries.
const shardFrameBytes = 32

func (rw *recordWriter) newShard(members []*cluster.Machine) *cluster.Shard {
	rw.shardCount++
	return &cluster.Shard{
		Key:      fmt.Sprintf("%s%d-%d", records.MachinePrefix, rw.leaderTerm.term.Number, rw.shardCount),
		Machines: slices.Clone(members),
	}
}

// shardPrefix is how many of the first machines a new shard holds, and its size.
func (rw *recordWriter) shardPrefix(members []*cluster.Machine) (n, size int) {
	size = shardFrameBytes
	for n < min(rw.machinesPerShard, len(members)) {
		raw, err := json.Marshal(members[n].RegistryEntry())
		if err != nil {
			panic(err) // records hold only plain values
		}
		if size+len(raw)+1 > rw.maxShardBytes {
			break
		}
		n, size = n+1, size+len(raw)+1
	}
	return n, size
}

// addShard adds a shard to a batch.
func (b *batch) addShard(s *cluster.Shard) {
	var rec records.RegistryShardRecord
	for _, m := range s.Machines {
		rec.Machines = append(rec.Machines, m.RegistryEntry())
	}
	b.addPut(s.Key, rec)
	b.shards = append(b.shards, s)
}

// deregister removes a terminated machine. Its shard is deleted with the last of
// its machines, and otherwise rewritten at low priority: an entry too many costs
// the next leader a resync, one too few could run a task twice.
func (rw *recordWriter) deregister(m *cluster.Machine) {
	s := m.Shard
	if s == nil {
		return
	}
	m.Shard = nil
	s.Machines = slices.DeleteFunc(s.Machines, func(o *cluster.Machine) bool { return o == m })
	if !s.Stale {
		s.Stale = true
		rw.staleShards = append(rw.staleShards, s)
	}
}

// rewriteInterval keeps the rewriting of stale shards behind other records.
const rewriteInterval = time.Second

// rewriteStale replaces a stale shard by one with its remaining machines, and deletes
// those without any. A shard written under larger limits may hold more machines than
// a new one: it then stays until all of them are on new ones, one after the other.
// Wherever this is interrupted, each machine is on one of them.
func (rw *recordWriter) rewriteStale(b *batch, allowed int, now time.Time) {
	rw.staleShards = slices.DeleteFunc(rw.staleShards, func(s *cluster.Shard) bool {
		if len(s.Machines) > 0 || len(b.txn.Ops) >= allowed {
			return false
		}
		b.addShardDeletes(s, allowed)
		return true
	})
	if len(rw.staleShards) == 0 || now.Before(rw.nextRewrite) || len(b.txn.Ops)+2 > allowed || b.bytes >= rw.maxBytes {
		return
	}
	s := rw.staleShards[0]
	n, size := rw.shardPrefix(s.Machines)
	if n == 0 {
		rw.keepStale(s)
		return
	}
	if len(b.txn.Ops) > 0 && b.bytes+size > rw.maxBytes {
		return
	}
	rw.nextRewrite = now.Add(rewriteInterval)
	rw.staleShards = rw.staleShards[1:]
	next := rw.newShard(s.Machines[:n])
	next.Replaces = s
	b.addShard(next)
	if next.Partial = n < len(s.Machines); !next.Partial {
		b.addShardDeletes(s, allowed)
	}
}

// keepStale leaves a shard that no new one can replace as it is, until another of
// its machines is terminated.
func (rw *recordWriter) keepStale(s *cluster.Shard) {
	rw.leaderTerm.c.Log.Error("registry shard cannot be rewritten", "key", s.Key)
	s.Stale = false
	rw.staleShards = slices.DeleteFunc(rw.staleShards, func(o *cluster.Shard) bool { return o == s })
}

// addShardDeletes deletes a shard, and with it those that may have been written in its
// place. Of the latter, those beyond the allowed operations stay in the store.
func (b *batch) addShardDeletes(s *cluster.Shard, allowed int) {
	b.addDelete(s.Key)
	for _, key := range s.PossiblyWritten {
		if len(b.txn.Ops) < allowed {
			b.addDelete(key)
		}
	}
	b.replaced = append(b.replaced, s)
}

// requeueShards queues the shards of a batch that was not applied, or whose outcome is
// unknown.
func (rw *recordWriter) requeueShards(b *batch) {
	for _, s := range b.shards {
		if s.Replaces != nil {
			s.Replaces.PossiblyWritten = append(s.Replaces.PossiblyWritten, s.Key)
			if s.Partial {
				rw.staleShards = append(rw.staleShards, s.Replaces)
			}
			continue
		}
		// No task was started on these machines yet, so the record can be deleted in
		// case it was written, and they are registered anew.
		rw.pendingDeletes = append(rw.pendingDeletes, s.Key)
		rw.registering = append(rw.registering, s.Machines...)
	}
	rw.staleShards = append(rw.staleShards, b.replaced...)
}

// shardsWritten marks the machines of a written batch's shards as registered.
func (rw *recordWriter) shardsWritten(b *batch) {
	for _, s := range b.shards {
		if old := s.Replaces; s.Partial {
			old.Machines = slices.DeleteFunc(old.Machines, func(m *cluster.Machine) bool {
				return slices.Contains(s.Machines, m)
			})
			rw.staleShards = append(rw.staleShards, old)
		}
		s.Replaces, s.Partial = nil, false
		for _, m := range slices.Clone(s.Machines) {
			m.Registration, m.Shard = cluster.Registered, s
			if m.Phase() == cluster.Terminated {
				rw.deregister(m)
			}
		}
		rw.leaderTerm.dispatchUntil = time.Now().Add(dispatchWindow)
	}
}
