package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"example.org/ivytrestle/internal/store"
)

// snapshot is what a new leader reads of the store.
type snapshot struct {
	ring       uint64
	cancelMark uint64
	active     []store.Entry
	progress   []store.Entry
	machines   []store.Entry
}

// load reads the store until it succeeds.
func (r *reign) load() {
	for r.ctx.Err() == nil {
		snap, err := r.read()
		if err == nil {
			r.post(loadedMsg{r, snap})
			r.watch(snap.ring)
			return
		}
		r.c.Log.Debug("takeover: read", "err", err)
		pause(r.ctx, 200*time.Millisecond)
	}
}

func (r *reign) read() (*snapshot, error) {
	var s snapshot
	var err error
	// The active jobs come first: their revision is where the watch begins.
	if s.active, s.ring, err = r.readAll(store.ActivePrefix); err != nil {
		return nil, err
	}
	if s.progress, _, err = r.readAll(store.ProgressPrefix); err != nil {
		return nil, err
	}
	if s.machines, _, err = r.readAll(store.MachinePrefix); err != nil {
		return nil, err
	}
	s.active = slices.DeleteFunc(s.active, func(e store.Entry) bool {
		if e.Key == store.CancelKey {
			s.cancelMark = e.Mark
			return true
		}
		return false
	})
	return &s, nil
}

func (r *reign) readAll(prefix string) (rows []store.Entry, ring uint64, err error) {
	from := ""
	for {
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		p, err := r.c.Store.Range(ctx, prefix, from, 500)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if ring == 0 {
			ring = p.Ring
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, ring, nil
		}
		from = p.Rows[len(p.Rows)-1].Key
	}
}

type loadedMsg struct {
	r *reign
	s *snapshot
}

func (m loadedMsg) apply(c *Controller) {
	r := m.r
	if c.reign != r {
		return
	}
	now := time.Now()
	r.cancelMark = m.s.cancelMark
	for _, e := range m.s.active {
		r.addJob(e.Key, e.Value, e.Mark)
	}
	for _, e := range m.s.progress {
		r.addProgress(e, now)
	}
	for _, e := range m.s.machines {
		name := e.Key[len(store.MachinePrefix):]
		var rec store.MachineRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			c.Log.Error("roster record", "key", e.Key, "err", err)
		}
		mc := r.addMachine(name, rec.Type, rec.Zone, rec.Spot, now)
		mc.addr = rec.Addr
		mc.cpus, mc.gpus, mc.memory = rec.CPUs, rec.GPUs, rec.MemoryGB
		mc.roster = rosterDurable
		r.toGreet = append(r.toGreet, mc)
		r.unheard++
		r.unheardCPUs += mc.cpus
		r.unheardGPUs += mc.gpus
	}
	r.loaded, r.listening = true, now
	if c.Director != nil {
		r.greetNext(now)
	}
	c.Log.Info("takeover: read", "term", r.term.Number, "jobs", len(r.jobs), "machines", r.unheard)
}

func (r *reign) addProgress(e store.Entry, now time.Time) {
	id, first, ok := store.ParseProgressKey(e.Key)
	if !ok {
		return
	}
	j := r.jobs[id]
	if j == nil {
		r.recorder.drop(e.Key)
		return
	}
	var rec store.ProgressRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		r.c.Log.Error("progress record", "key", e.Key, "err", err)
		return
	}
	j.chunks[first] = true
	for i, b := range rec.Done {
		for bit := range 8 {
			if task := first + i*8 + bit; b&(1<<bit) != 0 && task < j.spec.Tasks {
				j.durable.Set(uint(task))
				r.taskDone(j, task, now)
			}
		}
	}
}
