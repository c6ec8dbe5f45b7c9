package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// snapshot is what a new leader reads of the store.
type snapshot struct {
	readAt         time.Time
	revision       uint64
	cancelRevision uint64
	active         []kv.Entry
	completions    []kv.Entry
	machines       []kv.Entry
	loans          []kv.Entry
}

// loadLoop reads the store until it succeeds.
func (lt *leaderTerm) loadLoop() {
	for lt.ctx.Err() == nil {
		snap, err := lt.readSnapshot()
		if err == nil {
			lt.sendToOwner(snapshotLoadedMsg{lt, snap})
			lt.watchActiveJobs(snap.revision)
			return
		}
		lt.c.Log.Debug("takeover: read", "err", err)
		sleep(lt.ctx, 200*time.Millisecond)
	}
}

func (lt *leaderTerm) readSnapshot() (*snapshot, error) {
	s := snapshot{readAt: time.Now()}
	var err error
	// The active jobs come first: their revision is where the watch begins.
	if s.active, s.revision, err = lt.rangeAll(records.ActivePrefix); err != nil {
		return nil, err
	}
	if s.completions, _, err = lt.rangeAll(records.CompletionPrefix); err != nil {
		return nil, err
	}
	if s.machines, _, err = lt.rangeAll(records.MachinePrefix); err != nil {
		return nil, err
	}
	if lt.c.Cells != nil {
		if s.loans, _, err = lt.rangeAll(loan.Prefix); err != nil {
			return nil, err
		}
	}
	s.active = slices.DeleteFunc(s.active, func(e kv.Entry) bool {
		if e.Key == records.CancelKey {
			s.cancelRevision = e.ModRevision
			return true
		}
		return false
	})
	return &s, nil
}

func (lt *leaderTerm) rangeAll(prefix string) (entries []kv.Entry, revision uint64, err error) {
	from := ""
	for {
		ctx, cancel := context.WithTimeout(lt.ctx, 3*time.Second)
		p, err := lt.c.Store.Range(ctx, prefix, from, 500)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = p.Revision
		}
		entries = append(entries, p.Entries...)
		if !p.More || len(p.Entries) == 0 {
			return entries, revision, nil
		}
		from = p.Entries[len(p.Entries)-1].Key
	}
}

type snapshotLoadedMsg struct {
	leaderTerm *leaderTerm
	snapshot   *snapshot
}

func (m snapshotLoadedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	now := time.Now()
	lt.cancelRevision = m.snapshot.cancelRevision
	for _, e := range m.snapshot.loans {
		lt.loans.addRecord(e)
	}
	for _, e := range m.snapshot.active {
		lt.addJob(e.Key, e.Value, e.ModRevision)
	}
	for _, e := range m.snapshot.completions {
		lt.addCompletion(e, now)
	}
	var waiting []*job
	for _, j := range lt.jobs {
		if len(j.spec.DependsOn) > 0 {
			lt.dependencies.resolveDependencies(j)
			waiting = append(waiting, j)
		}
	}
	lt.dependencies.propagateDeadlines(waiting...)
	for _, e := range m.snapshot.machines {
		lt.addShard(e, now)
	}
	lt.loaded, lt.heartbeatsSince, lt.cancellationsConfirmedAt = true, now, m.snapshot.readAt
	go lt.dependencyLists.sweep()
	if c.CommandSender != nil {
		lt.resyncNext(now)
	}
	c.Log.Info("takeover: read", "term", lt.term.Number, "jobs", len(lt.jobs), "machines", lt.unfenced)
}

// addShard adds the machines of a shard of the roster.
func (lt *leaderTerm) addShard(e kv.Entry, now time.Time) {
	var rec records.RegistryShardRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		lt.c.Log.Error("roster record", "key", e.Key, "err", err)
		return
	}
	s := &shard{key: e.Key}
	for _, one := range rec.Machines {
		if lt.machines[one.Name] != nil {
			continue // a shard that was written late
		}
		m := lt.addMachine(one.Name, one.Type, one.Zone, one.Spot, now)
		m.addr = one.Addr
		m.cpus, m.gpus, m.memory = one.CPUs, one.GPUs, one.MemoryGB
		m.registration, m.shard = registered, s
		s.machines = append(s.machines, m)
		lt.toResync = append(lt.toResync, m)
		lt.unfenced++
		lt.unfencedCPUs += m.cpus
		lt.unfencedGPUs += m.gpus
	}
	if len(s.machines) < len(rec.Machines) {
		s.stale = true
		lt.recordWriter.staleShards = append(lt.recordWriter.staleShards, s)
	}
}

func (lt *leaderTerm) addCompletion(e kv.Entry, now time.Time) {
	id, first, ok := records.ParseCompletionKey(e.Key)
	if !ok {
		return
	}
	j := lt.jobs[id]
	if j == nil {
		lt.recordWriter.deleteKey(e.Key)
		return
	}
	var rec records.CompletionRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		lt.c.Log.Error("progress record", "key", e.Key, "err", err)
		return
	}
	j.completionChunks[first] = true
	j.holds(first, 8*len(rec.Done))
	for i, b := range rec.Done {
		for bit := range 8 {
			if task := first + i*8 + bit; b&(1<<bit) != 0 && task < j.spec.Tasks {
				j.recorded.Set(uint(task))
				lt.taskDone(j, task, now)
			}
		}
	}
}
