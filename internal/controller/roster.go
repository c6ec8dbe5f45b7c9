package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/store"
)

// shard is one record of the roster.
//
// A record is never written over: a transaction whose outcome is unknown may be
// carried out late, and would bring back an earlier list, without the machines
// added since. So each shard has a name of its own, of the term and a counter.
// Whatever appears late only names machines that are on another shard too, or
// are gone.
type shard struct {
	key     string
	members []*machine
	stale   bool
	// replaces is the shard whose place it takes, and perhaps are the names of
	// those that should have taken its own, with outcomes unknown. They go
	// only together with it, when the next is written: one of them may be all
	// that is left.
	replaces *shard
	perhaps  []string
	// part is set if it takes over only some of those on the shard that it
	// replaces, which stays until the rest of them is on record elsewhere too.
	part bool
}

// shardEntryBytes is about how long a machine's entry is, in bytes.
const shardEntryBytes = 150

func (w *recorder) newShard(members []*machine) *shard {
	w.shards++
	return &shard{key: fmt.Sprintf("%s%d-%d", store.MachinePrefix, w.leaderTerm.term.Number, w.shards), members: slices.Clone(members)}
}

// fitting is how many of the first machines a new shard holds, and its size.
func (w *recorder) fitting(members []*machine) (n, size int) {
	const frame = 32 // of a shard, beside its entries
	size = frame
	for n < min(w.perShard, len(members)) {
		raw, err := json.Marshal(members[n].entry())
		if err != nil {
			panic(err) // records hold only plain values
		}
		if size+len(raw)+1 > w.shardRoom {
			break
		}
		n, size = n+1, size+len(raw)+1
	}
	return n, size
}

// entry is a machine's entry on a shard.
func (m *machine) entry() store.MachineRecord {
	return store.MachineRecord{Name: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		CPUs: m.cpus, GPUs: m.gpus, MemoryGB: m.memory}
}

// shard adds a shard to a batch.
func (b *batch) shard(s *shard) {
	var rec store.RosterRecord
	for _, m := range s.members {
		rec.Machines = append(rec.Machines, m.entry())
	}
	b.put(s.key, rec)
	b.shards = append(b.shards, s)
}

// dropMember removes a machine that is gone. Its shard is dropped with the last of
// its machines, and otherwise rewritten when there is time: an entry too many
// costs the next leader a question, one too few would be a task run twice.
func (w *recorder) dropMember(m *machine) {
	s := m.shard
	if s == nil {
		return
	}
	m.shard = nil
	s.members = slices.DeleteFunc(s.members, func(o *machine) bool { return o == m })
	if !s.stale {
		s.stale = true
		w.stale = append(w.stale, s)
	}
}

// rewriteInterval keeps the rewriting of stale shards behind other records.
const rewriteInterval = time.Second

// rewriteStale replaces a stale shard by one with those who are left, and drops those on
// which nobody is left. A shard written under larger limits may hold more than a
// new one: it then stays until all of them are on new ones, one after the other.
// Whatever is cut off between, each machine is on one of them.
func (w *recorder) rewriteStale(b *batch, allowed int, now time.Time) {
	w.stale = slices.DeleteFunc(w.stale, func(s *shard) bool {
		if len(s.members) > 0 || len(b.txn.Ops) >= allowed {
			return false
		}
		b.replace(s, allowed)
		return true
	})
	if len(w.stale) == 0 || now.Before(w.nextShard) || len(b.txn.Ops)+2 > allowed || b.bytes >= w.maxBytes {
		return
	}
	s := w.stale[0]
	n, size := w.fitting(s.members)
	if n == 0 {
		w.keepStale(s)
		return
	}
	if len(b.txn.Ops) > 0 && b.bytes+size > w.maxBytes {
		return
	}
	w.nextShard = now.Add(rewriteInterval)
	w.stale = w.stale[1:]
	next := w.newShard(s.members[:n])
	next.replaces = s
	b.shard(next)
	if next.part = n < len(s.members); !next.part {
		b.replace(s, allowed)
	}
}

// keepStale leaves a shard as it is that no new one can replace, until another of
// its machines goes.
func (w *recorder) keepStale(s *shard) {
	w.leaderTerm.c.Log.Error("shard of the roster cannot be written again", "key", s.key)
	s.stale = false
	w.stale = slices.DeleteFunc(w.stale, func(o *shard) bool { return o == s })
}

// replace drops a shard in a batch. What finds no place stays behind.
func (b *batch) replace(s *shard, allowed int) {
	b.delete(s.key)
	for _, key := range s.perhaps {
		if len(b.txn.Ops) < allowed {
			b.delete(key)
		}
	}
	b.replaced = append(b.replaced, s)
}

// unwritten handles a batch whose shards were not written, or may not have
// been.
func (w *recorder) unwritten(b *batch) {
	for _, s := range b.shards {
		if s.replaces != nil {
			s.replaces.perhaps = append(s.replaces.perhaps, s.key)
			if s.part {
				w.stale = append(w.stale, s.replaces)
			}
			continue
		}
		// Nothing was started on these machines yet.
		w.drops = append(w.drops, s.key)
		w.enrolling = append(w.enrolling, s.members...)
	}
	w.stale = append(w.stale, b.replaced...)
}

// written handles a batch whose shards are on record.
func (w *recorder) written(b *batch) {
	for _, s := range b.shards {
		if old := s.replaces; s.part {
			old.members = slices.DeleteFunc(old.members, func(m *machine) bool { return slices.Contains(s.members, m) })
			w.stale = append(w.stale, old)
		}
		s.replaces, s.part = nil, false
		for _, m := range slices.Clone(s.members) {
			m.roster, m.shard = rosterDurable, s
			if m.terminated {
				w.dropMember(m)
			}
		}
		w.leaderTerm.dispatchUntil = time.Now().Add(dispatchFor)
	}
}
