package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// writeOldShard writes a registry shard of count machines, as an earlier version does under larger
// limits.
func (w *simulatedCluster) writeOldShard(key string, count int) {
	w.t.Helper()
	var rec records.RegistryShardRecord
	for i := range count {
		name := fmt.Sprintf("i-%06d", i)
		rec.Machines = append(rec.Machines,
			records.MachineRecord{Name: name, Addr: name, Type: "small", Zone: "a", CPUs: 4, MemoryGB: 16})
	}
	if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Put: key, Value: rec}}}); err != nil {
		w.t.Fatal(err)
	}
}

// numberedWorkers returns machines in zone a with the names that writeOldShard uses.
func (w *simulatedCluster) numberedWorkers(count int) []*worker {
	workers := make([]*worker, count)
	for i := range workers {
		workers[i] = w.worker(fmt.Sprintf("i-%06d", i), "a", false)
	}
	return workers
}

// assignableMachines returns the names of the registered machines, which may be assigned tasks.
func assignableMachines(n *node) (names []string) {
	n.inspect(func(c *Controller) {
		if c.leaderTerm == nil {
			return
		}
		for name, m := range c.leaderTerm.machines {
			if m.Registration == cluster.Registered && m.Phase() != cluster.Terminated {
				names = append(names, name)
			}
		}
	})
	return names
}

// Faults injected while records are written under smaller limits than before.
const (
	noFault       = "none"
	responsesLost = "responses lost"
	writesDelayed = "writes delayed"
	leaderCrashes = "leader crashes"
)

// oldShardKey is the key of the shard that an earlier version has written.
const oldShardKey = records.MachinePrefix + "0-1"

// shardSplit is a run in which the leader splits a large shard of an earlier version.
type shardSplit struct {
	*simulatedCluster
	leader *node
	fault  string
}

// injectFault starts or ends the fault, depending on the second of the run.
func (ss *shardSplit) injectFault(second int) {
	switch {
	case ss.fault == responsesLost && second%3 == 0:
		ss.store.LoseResponses(writesPrefix(records.MachinePrefix))
	case ss.fault == writesDelayed && second%4 == 0:
		ss.store.Delay(writesPrefix(records.MachinePrefix))
	case ss.fault == writesDelayed && second%4 == 3:
		ss.store.ApplyDelayed()
	case ss.fault == leaderCrashes && second%25 == 22:
		ss.leader.crash()
		ss.leader = ss.start("n0")
	default:
		ss.store.LoseResponses(nil)
	}
}

// checkRegistered fails the test if a machine that may be assigned tasks is in no shard.
func (ss *shardSplit) checkRegistered(second int) {
	ss.t.Helper()
	assignable := assignableMachines(ss.leader)
	inShards := ss.registeredMachines()
	for _, name := range assignable {
		if !slices.Contains(inShards, name) {
			ss.t.Fatalf("second %d: %s may be assigned tasks and is in no shard", second, name)
		}
	}
}

// run starts 26 machines, one of which then fails, so that the shard becomes stale and is rewritten.
func (ss *shardSplit) run() {
	ss.t.Helper()
	workers := ss.numberedWorkers(26)
	heartbeatAll(workers, ss.leader, 3)
	ss.checkEqual("machines read", len(assignableMachines(ss.leader)), 26)
	ss.checkEqual("shards before a change", ss.keysUnder(records.MachinePrefix), []string{oldShardKey})
	ss.dead.Store(workers[0].status.Machine, true)
	for second := range 100 {
		ss.injectFault(second)
		for range 4 {
			for _, k := range workers[1:] {
				k.heartbeat(ss.leader)
			}
			time.Sleep(250 * time.Millisecond)
			ss.checkRegistered(second)
		}
	}
	ss.store.LoseResponses(nil)
	ss.store.ApplyDelayed()
	heartbeatAll(workers[1:], ss.leader, 10)
	ss.checkEqual("assignable machines", len(assignableMachines(ss.leader)), 25)
	if ss.store.Has(oldShardKey) {
		ss.t.Errorf("shards: got %v, want them without %s", ss.keysUnder(records.MachinePrefix), oldShardKey)
	}
	ss.leader.crash()
	next := ss.start("n0")
	heartbeatAll(workers[1:], next, 3)
	ss.checkEqual("machines read by the next leader", len(assignableMachines(next)), 25)
	ss.checkNothingTooLarge()
}

// A shard written by an earlier version may hold more machines than the key-value store now accepts in
// one value. When it is rewritten, it must be split. Each machine must be in some shard at all times,
// even if responses are lost, writes are delayed or the leader crashes meanwhile.
func TestLargeShardIsSplit(t *testing.T) {
	for _, l := range []limits{{3, 1, 25}, {5, 1, 25}, {12, 2, 25}} {
		for _, fault := range []string{noFault, responsesLost, writesDelayed, leaderCrashes} {
			t.Run(l.String()+" "+fault, func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) {
					w.writeOldShard(oldShardKey, 26)
					w.storeLimits = l.kvLimits()
					w.enforceLimits(l) // after the old shard has been written
					ss := &shardSplit{simulatedCluster: w, leader: w.start("n0"), fault: fault}
					ss.run()
				})
			})
		}
	}
}

// recordedTasks returns the completed tasks of a job by its completion records, as a new leader would
// read them.
func (w *simulatedCluster) recordedTasks(id string) map[int]bool {
	w.t.Helper()
	done := map[int]bool{}
	page, err := w.store.Range(context.Background(), records.CompletionPrefix+id+"/", "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range page.Entries {
		_, first, ok := records.ParseCompletionKey(e.Key)
		var rec records.CompletionRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil || !ok {
			w.t.Fatal(e.Key, err)
		}
		for i := range 8 * len(rec.Done) {
			if rec.Done[i/8]&(1<<(i%8)) != 0 {
				done[first+i] = true
			}
		}
	}
	return done
}

// oversizedCompletion is a run that begins with a completion record larger than the limits now allow.
type oversizedCompletion struct {
	*simulatedCluster
	leader  *node
	workers []*worker
	fault   string
	spec    *api.JobSpec
	// done are the tasks that were recorded as completed at the last check.
	done map[int]bool
}

// writeRecords writes an active record for the job, and one completion record in which six of every
// seven tasks before completedBefore are completed.
func (lc *oversizedCompletion) writeRecords(completedBefore int) {
	lc.t.Helper()
	bits := make([]byte, lc.spec.Tasks/8)
	lc.done = map[int]bool{}
	for i := range completedBefore {
		if i%7 != 0 {
			bits[i/8] |= 1 << (i % 8)
			lc.done[i] = true
		}
	}
	_, err := lc.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{
		{Put: records.ActivePrefix + lc.spec.ID, Value: records.ActiveRecord{Spec: *lc.spec, Accepted: time.Now()}},
		{Put: records.CompletionKey(lc.spec.ID, 0), Value: records.CompletionRecord{Done: bits}},
	}})
	if err != nil {
		lc.t.Fatal(err)
	}
}

// injectFault starts or ends the fault, depending on the round.
func (lc *oversizedCompletion) injectFault(round int) {
	switch {
	case lc.fault == responsesLost && round%2 == 0:
		lc.store.LoseResponses(writesPrefix(records.CompletionPrefix))
	case lc.fault == leaderCrashes && round%4 == 3:
		lc.leader.crash()
		lc.leader = lc.start("n0")
		heartbeatAll(lc.workers, lc.leader, 3)
	default:
		lc.store.LoseResponses(nil)
	}
}

// checkDone fails the test if a task that was recorded as completed no longer is.
func (lc *oversizedCompletion) checkDone(round int) {
	lc.t.Helper()
	recorded := lc.recordedTasks(lc.spec.ID)
	for task := range lc.done {
		if !recorded[task] {
			lc.t.Fatalf("round %d: task %d is no longer recorded as completed", round, task)
		}
	}
	lc.done = recorded
}

// run completes tasks in rounds, and checks the records ten times a second.
func (lc *oversizedCompletion) run() {
	lc.t.Helper()
	heartbeatAll(lc.workers, lc.leader, 4)
	for round := range 12 {
		lc.injectFault(round)
		exitAll(lc.workers)
		for range 20 {
			for _, k := range lc.workers {
				k.heartbeat(lc.leader)
			}
			time.Sleep(100 * time.Millisecond)
			lc.checkDone(round)
		}
	}
}

// A completion record written under larger limits covers more tasks than a new record can. It must not
// be overwritten before its further tasks are in other records. Otherwise a new leader would find fewer
// completed tasks, for instance after lost responses or a crash.
func TestOversizedCompletionRecordLosesNoTasks(t *testing.T) {
	const tasks, completedBefore = 30000, 14000 // a new record covers 4096 tasks
	for _, fault := range []string{noFault, responsesLost, leaderCrashes} {
		t.Run(fault, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.store.SetLimits(8<<10, 12)
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.01, 0.01
				lc := &oversizedCompletion{simulatedCluster: w, fault: fault, spec: s}
				lc.writeRecords(completedBefore)
				l := limits{3, 1, 25}
				w.storeLimits = l.kvLimits()
				w.enforceLimits(l)
				lc.leader = w.start("n0")
				lc.workers = []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false)}
				lc.run()
				if minDone := completedBefore - completedBefore/7 + 1000; len(lc.done) < minDone {
					w.t.Errorf("recorded tasks: got %d, want at least %d", len(lc.done), minDone)
				}
				record, err := w.store.Get(context.Background(), records.CompletionKey(s.ID, 0))
				if err != nil || len(record.Value) > 1<<10 {
					w.t.Errorf("oversized record was not rewritten: got %d bytes, %v, want at most %d",
						len(record.Value), err, 1<<10)
				}
				w.checkNothingTooLarge()
			})
		})
	}
}

// The key-value store may have smaller limits than the settings. What it rejects for its size must not
// be retried at the same size: batches, shards and completion records must shrink until they are
// accepted.
func TestWritesRejectedForSizeShrink(t *testing.T) {
	for _, actual := range []limits{{2, 1, 25}, {3, 1, 25}, {12, 1, 25}} {
		t.Run(actual.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.storeLimits = limits{20, 16, 100}.kvLimits()
				w.enforceLimits(actual)
				leader := w.start("n0")
				workers := w.numberedWorkers(24)
				heartbeatAll(workers, leader, 8)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				w.submit(leader, spec("job-1", 90))
				for i := range 30 {
					w.submit(leader, spec(fmt.Sprintf("small-%d", i), 1))
				}
				for range 4 {
					heartbeatAll(workers, leader, 8)
					exitAll(workers)
				}
				heartbeatAll(workers, leader, 20)
				w.checkEqual("active records", w.keysUnder(records.ActivePrefix), []string(nil))
				if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 12 {
					w.t.Errorf("rejected for size %d times: %v", n, w.store.RejectedAsTooLarge())
				}
			})
		})
	}
}

// A completion record that is rejected for its size must be retried with fewer tasks.
func TestCompletionRejectedForSizeIsSplit(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = limits{20, 16, 100}.kvLimits()
		w.store.SetLimits(1<<10, 20)
		leader := w.start("n0")
		workers := []*worker{w.worker("i-1", "a", false)}
		heartbeatAll(workers, leader, 3)
		s := spec("job-1", 40000)
		s.CPUs, s.MemoryGB = 0.001, 0.001
		w.submit(leader, s)
		for range 4 {
			heartbeatAll(workers, leader, 3)
			exitAll(workers)
		}
		heartbeatAll(workers, leader, 8)
		done := 0
		leader.inspect(func(c *Controller) { done = c.leaderTerm.jobs["job-1"].DoneCount })
		if recorded := w.recordedTasks("job-1"); len(recorded) != done || done < 800 {
			w.t.Errorf("recorded tasks: got %d, want the %d completed ones, at least 800", len(recorded), done)
		}
		if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 8 {
			w.t.Errorf("rejected for size %d times: %v", n, w.store.RejectedAsTooLarge())
		}
	})
}

// A machine whose entry does not fit a shard must be terminated, and never assigned a task, since the
// next leader could not find it in the registry. Other machines must be registered without delay.
func TestMachineThatFitsNoShardIsTerminated(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{5, 1, 25}
		w.storeLimits = l.kvLimits()
		w.enforceLimits(l)
		leader := w.start("n0")
		long := w.worker(strings.Repeat("i", 1100), "a", false)
		workers := []*worker{long, w.worker("i-2", "a", false)}
		heartbeatAll(workers, leader, 3)
		w.submit(leader, spec("job-1", 8))
		heartbeatAll(workers, leader, 6)
		w.checkEqual("tasks on the oversized machine", long.running(), []string(nil))
		w.checkEqual("tasks on the other machine", len(workers[1].running()), 4)
		w.checkEqual("registered machines", w.registeredMachines(), []string{"i-2"})
		w.checkEqual("terminated", w.cloud.terminated(long.status.Machine), true)
		w.checkNothingTooLarge()
	})
}
