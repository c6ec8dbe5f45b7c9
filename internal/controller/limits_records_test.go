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

// oldShard writes a registry shard as an earlier version does under larger limits.
func (w *simulatedCluster) oldShard(key string, n int) {
	w.t.Helper()
	var rec records.RegistryShardRecord
	for i := range n {
		name := fmt.Sprintf("i-%06d", i)
		rec.Machines = append(rec.Machines,
			records.MachineRecord{Name: name, Addr: name, Type: "small", Zone: "a", CPUs: 4, MemoryGB: 16})
	}
	if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Put: key, Value: rec}}}); err != nil {
		w.t.Fatal(err)
	}
}

// numberedWorkers are machines of zone a, named as those of oldShard.
func (w *simulatedCluster) numberedWorkers(count int) []*worker {
	workers := make([]*worker, count)
	for i := range workers {
		workers[i] = w.worker(fmt.Sprintf("i-%06d", i), "a", false)
	}
	return workers
}

// inUse lists the machines that may be assigned tasks.
func inUse(n *node) (names []string) {
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

// Faults while records are written under smaller limits than before.
const (
	noFault       = "none"
	responsesLost = "responses lost"
	writesDelayed = "writes delayed"
	leaderCrashes = "leader crashes"
)

// oldShardKey is the shard of the earlier version.
const oldShardKey = records.MachinePrefix + "0-1"

// shardSplit is a run in which a leader splits the shard of an earlier version.
type shardSplit struct {
	*simulatedCluster
	leader *node
	fault  string
}

// injectFault begins or ends the fault in the given second.
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

// checkRegistered fails the test if a machine in use is on no shard.
func (ss *shardSplit) checkRegistered(second int) {
	ss.t.Helper()
	used := inUse(ss.leader)
	onShards := ss.registeredMachines()
	for _, name := range used {
		if !slices.Contains(onShards, name) {
			ss.t.Fatalf("second %d: %s may be in use and is on no shard", second, name)
		}
	}
}

// run has 26 machines send heartbeats, one of which then dies so that the shard is written again.
func (ss *shardSplit) run() {
	ss.t.Helper()
	workers := ss.numberedWorkers(26)
	heartbeatAll(workers, ss.leader, 3)
	ss.checkEqual("machines read", len(inUse(ss.leader)), 26)
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
	ss.checkEqual("machines in use", len(inUse(ss.leader)), 25)
	if ss.store.Has(oldShardKey) {
		ss.t.Errorf("shards: got %v, want them without %s", ss.keysUnder(records.MachinePrefix), oldShardKey)
	}
	ss.leader.crash()
	next := ss.start("n0")
	heartbeatAll(workers[1:], next, 3)
	ss.checkEqual("machines read by the next leader", len(inUse(next)), 25)
	ss.checkNothingTooLarge()
}

// A shard of the version in production may hold more machines than the key-value store now
// accepts in one value. When it is written again it is split, and whatever is cut off in
// between, rejected, lost or delayed, each machine is on some shard.
func TestLargeShardIsSplit(t *testing.T) {
	for _, l := range []limits{{3, 1, 25}, {5, 1, 25}, {12, 2, 25}} {
		for _, fault := range []string{noFault, responsesLost, writesDelayed, leaderCrashes} {
			t.Run(l.String()+" "+fault, func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) {
					w.oldShard(oldShardKey, 26)
					w.storeLimits = l.settings()
					w.enforce(l) // from now on
					ss := &shardSplit{simulatedCluster: w, leader: w.start("n0"), fault: fault}
					ss.run()
				})
			})
		}
	}
}

// doneOnRecord are the completed tasks of a job as the next leader reads them.
func (w *simulatedCluster) doneOnRecord(id string) map[int]bool {
	w.t.Helper()
	done := map[int]bool{}
	p, err := w.store.Range(context.Background(), records.CompletionPrefix+id+"/", "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range p.Entries {
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

// longCompletion is a run with a completion record written under larger limits.
type longCompletion struct {
	*simulatedCluster
	leader  *node
	workers []*worker
	fault   string
	spec    *api.JobSpec
	// done are the completed tasks on record at the last check.
	done map[int]bool
}

// writeRecords accepts the job with six of seven of the first tasks completed, all in one record.
func (lc *longCompletion) writeRecords(completedBefore int) {
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

// injectFault begins or ends the fault in the given round.
func (lc *longCompletion) injectFault(round int) {
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

// checkDone fails the test if a task that was on record as completed no longer is.
func (lc *longCompletion) checkDone(round int) {
	lc.t.Helper()
	onRecord := lc.doneOnRecord(lc.spec.ID)
	for task := range lc.done {
		if !onRecord[task] {
			lc.t.Fatalf("round %d: task %d was completed and is not on record", round, task)
		}
	}
	lc.done = onRecord
}

// run completes tasks in rounds and checks the records ten times a second.
func (lc *longCompletion) run() {
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

// A completion record written under larger limits covers more tasks than a new one may. It is
// not overwritten before those beyond are on record elsewhere: at no moment, whatever is lost or
// delayed, does the next leader find fewer completed tasks.
func TestLongCompletionRecordLosesNoTasks(t *testing.T) {
	const tasks, completedBefore = 30000, 14000 // new records hold 4096
	for _, fault := range []string{noFault, responsesLost, leaderCrashes} {
		t.Run(fault, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.store.SetLimits(8<<10, 12)
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.01, 0.01
				lc := &longCompletion{simulatedCluster: w, fault: fault, spec: s}
				lc.writeRecords(completedBefore)
				l := limits{3, 1, 25}
				w.storeLimits = l.settings()
				w.enforce(l)
				lc.leader = w.start("n0")
				lc.workers = []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false)}
				lc.run()
				if minDone := completedBefore - completedBefore/7 + 1000; len(lc.done) < minDone {
					w.t.Errorf("tasks on record: got %d, want at least %d", len(lc.done), minDone)
				}
				record, err := w.store.Get(context.Background(), records.CompletionKey(s.ID, 0))
				if err != nil || len(record.Value) > 1<<10 {
					w.t.Errorf("the long record was never rewritten: got %d bytes, %v, want at most %d",
						len(record.Value), err, 1<<10)
				}
				w.checkNothingTooLarge()
			})
		})
	}
}

// The key-value store may have smaller limits than the settings say. What it rejects for its size
// is not retried unchanged: batches, shards and completion records shrink, and work continues.
func TestWritesRejectedForSizeShrink(t *testing.T) {
	for _, actual := range []limits{{2, 1, 25}, {3, 1, 25}, {12, 1, 25}} {
		t.Run(actual.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.storeLimits = limits{20, 16, 100}.settings()
				w.enforce(actual)
				a := w.start("n0")
				ks := w.numberedWorkers(24)
				heartbeatAll(ks, a, 8)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				w.submit(a, spec("job-1", 90))
				for i := range 30 {
					w.submit(a, spec(fmt.Sprintf("small-%d", i), 1))
				}
				for range 4 {
					heartbeatAll(ks, a, 8)
					exitAll(ks)
				}
				heartbeatAll(ks, a, 20)
				w.checkEqual("active records", w.keysUnder(records.ActivePrefix), []string(nil))
				if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 12 {
					w.t.Errorf("rejected for size %d times: %v", n, w.store.RejectedAsTooLarge())
				}
			})
		})
	}
}

// A completion record that is rejected for its size is retried with fewer tasks.
func TestCompletionRejectedForSizeIsSplit(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = limits{20, 16, 100}.settings()
		w.store.SetLimits(1<<10, 20)
		a := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false)}
		heartbeatAll(ks, a, 3)
		s := spec("job-1", 40000)
		s.CPUs, s.MemoryGB = 0.001, 0.001
		w.submit(a, s)
		for range 4 {
			heartbeatAll(ks, a, 3)
			exitAll(ks)
		}
		heartbeatAll(ks, a, 8)
		done := 0
		a.inspect(func(c *Controller) { done = c.leaderTerm.jobs["job-1"].DoneCount })
		if on := w.doneOnRecord("job-1"); len(on) != done || done < 800 {
			w.t.Errorf("tasks on record: got %d, want the %d completed ones, at least 800", len(on), done)
		}
		if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 8 {
			w.t.Errorf("rejected for size %d times: %v", n, w.store.RejectedAsTooLarge())
		}
	})
}

// A machine whose entry fits no record is never assigned a task, since the next leader would not
// know of it, and is terminated; the others are not delayed.
func TestMachineThatFitsNoShardIsTerminated(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{5, 1, 25}
		w.storeLimits = l.settings()
		w.enforce(l)
		a := w.start("n0")
		long := w.worker(strings.Repeat("i", 1100), "a", false)
		ks := []*worker{long, w.worker("i-2", "a", false)}
		heartbeatAll(ks, a, 3)
		w.submit(a, spec("job-1", 8))
		heartbeatAll(ks, a, 6)
		w.checkEqual("tasks on it", long.running(), []string(nil))
		w.checkEqual("tasks on the other", len(ks[1].running()), 4)
		w.checkEqual("registered machines", w.registeredMachines(), []string{"i-2"})
		w.checkEqual("terminated", w.cloud.terminated(long.status.Machine), true)
		w.checkNothingTooLarge()
	})
}
