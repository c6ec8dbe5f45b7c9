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
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// limits are the limits of the key-value store that a test varies: operations per transaction, size of
// a value in KiB, and writes per second.
type limits struct {
	txnOps, valueKB int
	writeRPS        float64
}

func (l limits) String() string {
	return fmt.Sprintf("%d changes, %d KiB, %v writes", l.txnOps, l.valueKB, l.writeRPS)
}

// kvLimits returns the settings for these limits.
func (l limits) kvLimits() config.KVLimits {
	return config.KVLimits{RPS: 100, WriteRPS: l.writeRPS, ValueKB: float64(l.valueKB), TxnOps: l.txnOps}
}

// enforceLimits makes the key-value store reject transactions that exceed the limits on operations and
// value size.
func (w *simulatedCluster) enforceLimits(l limits) { w.store.SetLimits(l.valueKB<<10, l.txnOps) }

// checkNothingTooLarge checks that the store has rejected no transaction for its size.
func (w *simulatedCluster) checkNothingTooLarge() {
	w.t.Helper()
	if rejected := w.store.RejectedAsTooLarge(); len(rejected) > 0 {
		w.t.Errorf("rejected for size: got %d times, want none: %v", len(rejected), rejected[:min(5, len(rejected))])
	}
}

// heartbeatAll makes each machine send a heartbeat once a second, for the given number of seconds.
func heartbeatAll(workers []*worker, n *node, seconds int) {
	for range seconds {
		for _, k := range workers {
			k.heartbeat(n)
		}
		time.Sleep(time.Second)
	}
}

// exitAll completes all tasks that run on the machines.
func exitAll(workers []*worker) {
	for _, k := range workers {
		k.exit(api.CauseDone)
	}
}

// runningTasksOf returns the tasks of a job that run on the machines, sorted.
func runningTasksOf(workers []*worker, id string) (tasks []string) {
	for _, k := range workers {
		for _, ref := range k.running() {
			if strings.HasPrefix(ref, id+"/") {
				tasks = append(tasks, ref)
			}
		}
	}
	slices.Sort(tasks)
	return tasks
}

// limitSweep are limits from the smallest that are supported upwards. A transaction must allow at least
// three operations, which is what a cancellation needs.
var limitSweep = []limits{
	{3, 1, 4}, {3, 1, 8}, {4, 1, 5}, {5, 1, 6}, {5, 2, 25}, {12, 8, 25}, {20, 64, 50}, {200, 64, 500},
}

// startWithLimits starts a node under the given limits of the store, with a team limit too high to be
// reached.
func (w *simulatedCluster) startWithLimits(l limits) *node {
	w.t.Helper()
	w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
	w.storeLimits = l.kvLimits()
	w.enforceLimits(l)
	return w.start("n0")
}

// Under all limits, jobs must be accepted, run, completed and cancelled, and a new leader must take
// over, without the key-value store rejecting a transaction for its size.
func TestNothingExceedsSmallLimits(t *testing.T) {
	for _, l := range limitSweep {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				leader := w.startWithLimits(l)
				workers := w.numberedWorkers(24)
				heartbeatAll(workers, leader, 8)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				w.submit(leader, spec("job-1", 60))
				w.submit(leader, spec("job-2", 30))
				heartbeatAll(workers, leader, 6)
				if n1, n2 := len(runningTasksOf(workers, "job-1")), len(runningTasksOf(workers, "job-2")); n1+n2 < 60 {
					w.t.Fatalf("running tasks: got %d and %d, want at least 60", n1, n2)
				}
				exitAll(workers[:8])
				heartbeatAll(workers, leader, 6)
				st, err := leader.Cancel(context.Background(), "job-2")
				w.checkEqual("cancelled", []any{st.Phase, err}, []any{api.JobCancelled, nil})
				heartbeatAll(workers, leader, 6)
				w.checkEqual("tasks of the cancelled job", runningTasksOf(workers, "job-2"), []string(nil))
				leader.crash()
				next := w.start("n0")
				heartbeatAll(workers, next, 8)
				for range 4 {
					exitAll(workers)
					heartbeatAll(workers, next, 5)
				}
				w.checkEqual("phase after a takeover", w.phase(next, "job-1"), "done")
				w.checkEqual("phase of the cancelled job", w.phase(next, "job-2"), api.JobCancelled)
				w.dead.Store(workers[0].status.Machine, true)
				w.dead.Store(workers[1].status.Machine, true)
				heartbeatAll(workers[2:], next, 40)
				w.checkEqual("registered machines in the end", len(w.registeredMachines()), 22)
				w.checkEqual("completion records", w.keysUnder(records.CompletionPrefix), []string(nil))
				w.checkNothingTooLarge()
			})
		})
	}
}

// keysUnder returns the keys with a prefix.
func (w *simulatedCluster) keysUnder(prefix string) (keys []string) {
	w.t.Helper()
	p, err := w.store.Range(context.Background(), prefix, "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range p.Entries {
		keys = append(keys, e.Key)
	}
	return keys
}

// The store's limits become smaller while jobs run or while a leader takes over. Transactions that are
// within both the old and the new limits must never be rejected.
func TestLimitsChange(t *testing.T) {
	from, to := limits{20, 16, 25}, limits{5, 1, 6}
	for _, when := range []string{"while jobs run", "during a takeover"} {
		t.Run(when, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.storeLimits = to.kvLimits() // the smaller ones
				w.enforceLimits(from)
				w.writeOldShard(records.MachinePrefix+"0-1", 24)
				leader := w.start("n0")
				workers := w.numberedWorkers(26)
				heartbeatAll(workers, leader, 8)
				w.submit(leader, spec("job-1", 80))
				heartbeatAll(workers, leader, 4)
				exitAll(workers[:10])
				if when == "during a takeover" {
					leader.crash()
					w.enforceLimits(to)
					leader = w.start("n0")
				} else {
					w.enforceLimits(to)
				}
				w.dead.Store(workers[3].status.Machine, true)
				workers = slices.Delete(workers, 3, 4)
				heartbeatAll(workers, leader, 40)
				for range 4 {
					exitAll(workers)
					heartbeatAll(workers, leader, 6)
				}
				w.checkEqual("phase", w.phase(leader, "job-1"), "done")
				w.checkEqual("registered machines", len(w.registeredMachines()), 25)
				if w.store.Has(records.MachinePrefix + "0-1") {
					w.t.Errorf("shards: got %v, want them without the large one", w.keysUnder(records.MachinePrefix))
				}
				w.checkNothingTooLarge()
			})
		})
	}
}

// Many jobs end at once, and names of machines are long. Batches must keep to the limit on operations,
// and shards, whose entries differ in size, to the limit on value size.
func TestManyChangesAtOnce(t *testing.T) {
	for _, l := range limitSweep {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				leader := w.startWithLimits(l)
				workers := make([]*worker, 24)
				for i := range workers {
					workers[i] = w.worker(fmt.Sprintf("i-%06d-%s", i, strings.Repeat("n", 10*i)), "a", false)
				}
				heartbeatAll(workers, leader, 30)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				for i := range 60 {
					w.submit(leader, spec(fmt.Sprintf("job-%d", i), 1))
				}
				heartbeatAll(workers, leader, 10)
				exitAll(workers)
				heartbeatAll(workers, leader, 90)
				w.checkEqual("active records", w.keysUnder(records.ActivePrefix), []string(nil))
				w.checkEqual("terminal records", len(w.keysUnder(records.TerminalPrefix)), 60)
				w.checkNothingTooLarge()
			})
		})
	}
}

// Machine types that do not fit a record must not be stored at all. If only some were stored, a node
// that starts while the cloud is unreachable would reject jobs for the others as unschedulable.
func TestTypesFitARecord(t *testing.T) {
	for _, c := range []struct {
		types  int
		stored bool
	}{{3, true}, {40, false}} {
		simulate(t, func(w *simulatedCluster) {
			l := limits{3, 1, 8}
			w.storeLimits = l.kvLimits()
			w.enforceLimits(l)
			for i := range c.types - 1 {
				w.cloud.types = append(w.cloud.types,
					api.MachineType{Name: fmt.Sprintf("type-%d", i), CPUs: 4, MemoryGB: 16, Zones: []string{"a"}})
			}
			w.start("n0")
			time.Sleep(time.Second)
			w.checkEqual("stored", w.store.Has(records.MachineTypesKey), c.stored)
			w.checkNothingTooLarge()
		})
	}
}

// queueLargeRecords queues registrations of machines with long addresses, completion records of jobs
// with many tasks, and terminal records of jobs with long names.
func (lt *leaderTerm) queueLargeRecords() {
	rw := lt.recordWriter
	for i := range 700 {
		m := lt.addMachine(fmt.Sprintf("i-%06d", i), "small", "a", false, time.Now())
		m.Addr = strings.Repeat("x", 10+i)
		rw.Register(m)
	}
	for i := range 8 {
		s := spec(fmt.Sprintf("large-%d", i), api.MaxTasks)
		lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
		for task := range api.MaxTasks - 1 {
			lt.jobs[s.ID].Done.Set(uint(task))
		}
		rw.QueueCompletion(lt.jobs[s.ID])
	}
	for i := range 500 {
		s := spec(fmt.Sprintf("%s-%d", strings.Repeat("j", 150), i), 1)
		lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
		rw.FinishJob(lt.jobs[s.ID])
	}
}

// If the limits on operations and value size are high, a batch is limited only by the 64 KiB of a whole
// transaction. Several shards with long entries, completion records of many large jobs and terminal
// records of many jobs with long names must all be split to fit it.
func TestBatchesFitTransactions(t *testing.T) {
	l := limits{400, 128, 2000}
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = l.kvLimits()
		w.enforceLimits(l)
		leader := w.start("n0")
		time.Sleep(time.Second)
		const batches = 400
		txns := make([]kv.Txn, 0, batches)
		leader.inspect(func(c *Controller) {
			lt := c.leaderTerm
			lt.queueLargeRecords()
			rw := lt.recordWriter
			now := time.Now()
			for range batches {
				now = now.Add(time.Second)
				b := rw.NextBatch(now, nil)
				lt.rejectOversized(b.Oversized)
				lt.applyOutcome(rw.Apply(b, now, kv.Result{Succeeded: true}, nil))
				txns = append(txns, b.Txn)
			}
			left := rw.Backlog()
			w.checkEqual("records left", []int{left.Registering, left.Completions, left.Finishing}, []int{0, 0, 0})
		})
		maxBytes := 0
		for _, txn := range txns {
			raw, err := json.Marshal(txn)
			if err != nil {
				w.t.Fatal(err)
			}
			maxBytes = max(maxBytes, len(raw))
		}
		if maxBytes > kv.MaxTxnBytes || maxBytes < kv.MaxTxnBytes/4 {
			w.t.Errorf("largest transaction: got %d bytes, want %d to %d", maxBytes, kv.MaxTxnBytes/4, kv.MaxTxnBytes)
		}
	})
	recordBytes := maxRelayRecordBytes(l.kvLimits(), maxRelayParts)
	if total := maxRelayParts * (recordBytes + 200); total > kv.MaxTxnBytes {
		t.Errorf("relayed records: got %d bytes in all, want at most %d", total, kv.MaxTxnBytes)
	}
}
