package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/store"
)

// snapshot is what a new leader reads of the store.
type snapshot struct {
	asked      time.Time
	ring       uint64
	cancelMark uint64
	active     []store.Entry
	progress   []store.Entry
	machines   []store.Entry
	loans      []store.Entry
}

// load reads the store until it succeeds.
func (r *leadership) load() {
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

func (r *leadership) read() (*snapshot, error) {
	s := snapshot{asked: time.Now()}
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
	if r.c.Cells != nil {
		if s.loans, _, err = r.readAll(loan.Prefix); err != nil {
			return nil, err
		}
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

func (r *leadership) readAll(prefix string) (rows []store.Entry, ring uint64, err error) {
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
	leadership *leadership
	snapshot   *snapshot
}

func (m loadedMsg) apply(c *Controller) {
	r := m.leadership
	if c.leadership != r {
		return
	}
	now := time.Now()
	r.cancelMark = m.snapshot.cancelMark
	for _, e := range m.snapshot.loans {
		r.loans.addRecord(e)
	}
	for _, e := range m.snapshot.active {
		r.addJob(e.Key, e.Value, e.Mark)
	}
	for _, e := range m.snapshot.progress {
		r.addProgress(e, now)
	}
	var waiting []*job
	for _, j := range r.jobs {
		if len(j.spec.Awaits) > 0 {
			r.pipeline.awaitJobs(j)
			waiting = append(waiting, j)
		}
	}
	r.pipeline.propagateDeadlines(waiting...)
	for _, e := range m.snapshot.machines {
		r.addShard(e, now)
	}
	r.loaded, r.listening, r.cancellationsConfirmedAt = true, now, m.snapshot.asked
	go r.awaitsLists.sweep()
	if c.Director != nil {
		r.resyncNext(now)
	}
	c.Log.Info("takeover: read", "term", r.term.Number, "jobs", len(r.jobs), "machines", r.unheard)
}

// addShard adds the machines of a shard of the roster.
func (r *leadership) addShard(e store.Entry, now time.Time) {
	var rec store.RosterRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		r.c.Log.Error("roster record", "key", e.Key, "err", err)
		return
	}
	s := &shard{key: e.Key}
	for _, one := range rec.Machines {
		if r.machines[one.Name] != nil {
			continue // a shard that was written late
		}
		m := r.addMachine(one.Name, one.Type, one.Zone, one.Spot, now)
		m.addr = one.Addr
		m.cpus, m.gpus, m.memory = one.CPUs, one.GPUs, one.MemoryGB
		m.roster, m.shard = rosterDurable, s
		s.members = append(s.members, m)
		r.toResync = append(r.toResync, m)
		r.unheard++
		r.unheardCPUs += m.cpus
		r.unheardGPUs += m.gpus
	}
	if len(s.members) < len(rec.Machines) {
		s.stale = true
		r.recorder.stale = append(r.recorder.stale, s)
	}
}

func (r *leadership) addProgress(e store.Entry, now time.Time) {
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
	j.holds(first, 8*len(rec.Done))
	for i, b := range rec.Done {
		for bit := range 8 {
			if task := first + i*8 + bit; b&(1<<bit) != 0 && task < j.spec.Tasks {
				j.durable.Set(uint(task))
				r.taskDone(j, task, now)
			}
		}
	}
}
