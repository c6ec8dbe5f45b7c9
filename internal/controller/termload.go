package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

const (
	loadRetryDelay = 200 * time.Millisecond
	rangeTimeout   = 3 * time.Second
	// rangePageSize is the maximum number of entries that one request reads.
	rangePageSize = 500
)

// snapshot holds the records that a new leader reads from the key-value store.
type snapshot struct {
	// readAt is when the first request was sent.
	readAt time.Time
	// revision is the revision of the store after which the active jobs are watched.
	revision uint64
	// cancelRevision is the version of the cancel key.
	cancelRevision uint64
	active         []kv.Entry
	completions    []kv.Entry
	machines       []kv.Entry
	loans          []kv.Entry
}

// loadAndWatch reads the records, retrying until that succeeds, then watches the active jobs.
func (lt *leaderTerm) loadAndWatch() {
	for lt.ctx.Err() == nil {
		snap, err := lt.readSnapshot()
		if err == nil {
			lt.sendToOwner(snapshotLoadedMsg{leaderTerm: lt, snapshot: snap})
			lt.watchActiveJobs(snap.revision)
			return
		}
		lt.c.Log.Debug("loading records from key-value store failed", "term", lt.term.Number, "err", err)
		sleep(lt.ctx, loadRetryDelay)
	}
}

// readSnapshot reads all records that a leader needs.
func (lt *leaderTerm) readSnapshot() (*snapshot, error) {
	s := snapshot{readAt: time.Now()}
	var err error
	// The active jobs are read first because the watch begins after their revision.
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

// rangeAll reads all entries under a prefix. The revision is that of the store when the first page
// was read.
func (lt *leaderTerm) rangeAll(prefix string) (entries []kv.Entry, revision uint64, err error) {
	from := ""
	for {
		ctx, cancel := context.WithTimeout(lt.ctx, rangeTimeout)
		page, err := lt.c.Store.Range(ctx, prefix, from, rangePageSize)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return entries, revision, nil
		}
		from = page.Entries[len(page.Entries)-1].Key
	}
}

// snapshotLoadedMsg delivers the records read from the store to the owner goroutine.
type snapshotLoadedMsg struct {
	leaderTerm *leaderTerm
	snapshot   *snapshot
}

func (m snapshotLoadedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	lt.addSnapshot(m.snapshot, now)
	lt.loaded, lt.cancellationsConfirmedAt = true, m.snapshot.readAt
	lt.detector.HeartbeatsStarted(now)
	go lt.dependencyLists.sweep()
	if c.CommandSender != nil {
		lt.resyncNext(now)
	}
	c.Log.Info("records loaded", "term", lt.term.Number, "jobs", len(lt.jobs), "machines", lt.unfenced,
		"revision", m.snapshot.revision, "cancelRevision", m.snapshot.cancelRevision)
}

// addSnapshot adds the records of the store to the empty state of a new term. Jobs are added before
// the completion records that refer to them.
func (lt *leaderTerm) addSnapshot(snap *snapshot, now time.Time) {
	lt.cancelRevision = snap.cancelRevision
	for _, e := range snap.loans {
		lt.loans.addRecord(e)
	}
	for _, e := range snap.active {
		lt.applyActiveRecord(e.Key, e.Value, e.ModRevision)
	}
	for _, e := range snap.completions {
		lt.addCompletion(e, now)
	}
	var dependents []*cluster.Job
	for _, j := range lt.jobs {
		if len(j.Spec.DependsOn) > 0 {
			lt.dependencies.resolveDependencies(j)
			dependents = append(dependents, j)
		}
	}
	lt.dependencies.propagateDeadlines(dependents...)
	for _, e := range snap.machines {
		lt.addShard(e, now)
	}
}

// addShard adds the machines of a registry shard. All of them are unfenced.
func (lt *leaderTerm) addShard(e kv.Entry, now time.Time) {
	var rec records.RegistryShardRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		lt.c.Log.Error("registry record invalid", "key", e.Key, "err", err)
		return
	}
	s := &cluster.Shard{Key: e.Key}
	for _, entry := range rec.Machines {
		if lt.machines[entry.Name] != nil {
			continue // already added from another shard: one of the two was written late
		}
		m := lt.addMachine(entry.Name, entry.Type, entry.Zone, entry.Spot, now)
		m.Addr = entry.Addr
		m.CPUs, m.GPUs, m.MemoryGB = entry.CPUs, entry.GPUs, entry.MemoryGB
		m.Registration, m.Shard = cluster.Registered, s
		s.Machines = append(s.Machines, m)
		lt.detector.QueueResync(m)
		lt.unfenced++
		lt.unfencedCPUs += m.CPUs
		lt.unfencedGPUs += m.GPUs
	}
	if len(s.Machines) < len(rec.Machines) {
		lt.recordWriter.MarkStale(s)
	}
}

// addCompletion marks the tasks of a completion record as done. It deletes the record if its job
// has no active record.
func (lt *leaderTerm) addCompletion(e kv.Entry, now time.Time) {
	id, first, ok := records.ParseCompletionKey(e.Key)
	if !ok {
		return
	}
	j := lt.jobs[id]
	if j == nil {
		lt.recordWriter.DeleteKey(e.Key)
		return
	}
	var rec records.CompletionRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		lt.c.Log.Error("completion record invalid", "key", e.Key, "err", err)
		return
	}
	j.CompletionChunks[first] = true
	j.RecordChunkSize(first, 8*len(rec.Done))
	for i, b := range rec.Done {
		for bit := range 8 {
			if task := first + i*8 + bit; b&(1<<bit) != 0 && task < j.Spec.Tasks {
				j.Recorded.Set(uint(task))
				lt.completeTask(j, task, now)
			}
		}
	}
}
