package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/store"
)

// sheet is one record of the roster.
//
// A record is never written over: a transaction whose outcome is unknown may be
// carried out late, and would bring back an earlier list, without the machines
// added since. So each sheet has a name of its own, of the term and a counter.
// Whatever appears late only names machines that are on another sheet too, or
// are gone.
type sheet struct {
	key     string
	members []*machine
	torn    bool
	// replaces is the sheet whose place it takes, and perhaps are the names of
	// those that should have taken its own, with outcomes unknown. They go
	// only together with it, when the next is written: one of them may be all
	// that is left.
	replaces *sheet
	perhaps  []string
	// part is set if it takes over only some of those on the sheet that it
	// replaces, which stays until the rest of them is on record elsewhere too.
	part bool
}

// sheetLine is about how long a machine's entry is, in bytes.
const sheetLine = 150

func (w *recorder) newSheet(members []*machine) *sheet {
	w.sheets++
	return &sheet{key: fmt.Sprintf("%s%d-%d", store.MachinePrefix, w.r.term.Number, w.sheets), members: slices.Clone(members)}
}

// fitting is how many of the first machines a new sheet holds, and its size.
func (w *recorder) fitting(members []*machine) (n, size int) {
	const frame = 32 // of a sheet, beside its entries
	size = frame
	for n < min(w.perSheet, len(members)) {
		raw, err := json.Marshal(members[n].entry())
		if err != nil {
			panic(err) // records hold only plain values
		}
		if size+len(raw)+1 > w.sheetRoom {
			break
		}
		n, size = n+1, size+len(raw)+1
	}
	return n, size
}

// entry is a machine's entry on a sheet.
func (m *machine) entry() store.MachineRecord {
	return store.MachineRecord{Name: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		CPUs: m.cpus, GPUs: m.gpus, MemoryGB: m.memory}
}

// sheet adds a sheet to a batch.
func (b *batch) sheet(s *sheet) {
	var rec store.RosterRecord
	for _, m := range s.members {
		rec.Machines = append(rec.Machines, m.entry())
	}
	b.put(s.key, rec)
	b.sheets = append(b.sheets, s)
}

// tear takes in that a machine is gone. Its sheet is dropped with the last of
// its machines, and otherwise mended when there is time: an entry too many
// costs the next leader a question, one too few would be a task run twice.
func (w *recorder) tear(m *machine) {
	s := m.sheet
	if s == nil {
		return
	}
	m.sheet = nil
	s.members = slices.DeleteFunc(s.members, func(o *machine) bool { return o == m })
	if !s.torn {
		s.torn = true
		w.torn = append(w.torn, s)
	}
}

// mendEvery keeps the mending of the roster behind other records.
const mendEvery = time.Second

// mend replaces a torn sheet by one with those who are left, and drops those on
// which nobody is left. A sheet written under larger limits may hold more than a
// new one: it then stays until all of them are on new ones, one after the other.
// Whatever is cut off between, each machine is on one of them.
func (w *recorder) mend(b *batch, allowed int, now time.Time) {
	w.torn = slices.DeleteFunc(w.torn, func(s *sheet) bool {
		if len(s.members) > 0 || len(b.txn.Ops) >= allowed {
			return false
		}
		b.replace(s, allowed)
		return true
	})
	if len(w.torn) == 0 || now.Before(w.nextSheet) || len(b.txn.Ops)+2 > allowed || b.bytes >= w.maxBytes {
		return
	}
	s := w.torn[0]
	n, size := w.fitting(s.members)
	if n == 0 {
		w.keepTorn(s)
		return
	}
	if len(b.txn.Ops) > 0 && b.bytes+size > w.maxBytes {
		return
	}
	w.nextSheet = now.Add(mendEvery)
	w.torn = w.torn[1:]
	next := w.newSheet(s.members[:n])
	next.replaces = s
	b.sheet(next)
	if next.part = n < len(s.members); !next.part {
		b.replace(s, allowed)
	}
}

// keepTorn leaves a sheet as it is that no new one can replace, until another of
// its machines goes.
func (w *recorder) keepTorn(s *sheet) {
	w.r.c.Log.Error("sheet of the roster cannot be written again", "key", s.key)
	s.torn = false
	w.torn = slices.DeleteFunc(w.torn, func(o *sheet) bool { return o == s })
}

// replace drops a sheet in a batch. What finds no place stays behind.
func (b *batch) replace(s *sheet, allowed int) {
	b.delete(s.key)
	for _, key := range s.perhaps {
		if len(b.txn.Ops) < allowed {
			b.delete(key)
		}
	}
	b.replaced = append(b.replaced, s)
}

// unwritten takes in that a batch's sheets were not written, or may not have
// been.
func (w *recorder) unwritten(b *batch) {
	for _, s := range b.sheets {
		if s.replaces != nil {
			s.replaces.perhaps = append(s.replaces.perhaps, s.key)
			if s.part {
				w.torn = append(w.torn, s.replaces)
			}
			continue
		}
		// Nothing was started on these machines yet.
		w.drops = append(w.drops, s.key)
		w.enrolling = append(w.enrolling, s.members...)
	}
	w.torn = append(w.torn, b.replaced...)
}

// written takes in that a batch's sheets are on record.
func (w *recorder) written(b *batch) {
	for _, s := range b.sheets {
		if old := s.replaces; s.part {
			old.members = slices.DeleteFunc(old.members, func(m *machine) bool { return slices.Contains(s.members, m) })
			w.torn = append(w.torn, old)
		}
		s.replaces, s.part = nil, false
		for _, m := range slices.Clone(s.members) {
			m.roster, m.sheet = rosterDurable, s
			if m.gone {
				w.tear(m)
			}
		}
		w.r.dispatchUntil = time.Now().Add(dispatchFor)
	}
}
