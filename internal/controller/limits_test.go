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

// limits are those of the key-value store that a test varies: changes of a transaction, size of a
// value, and writes a second.
type limits struct {
	ops, valueKB int
	writes       float64
}

func (l limits) String() string {
	return fmt.Sprintf("%d changes, %d KiB, %v writes", l.ops, l.valueKB, l.writes)
}

func (l limits) settings() config.KVLimits {
	return config.KVLimits{RPS: 100, WriteRPS: l.writes, ValueKB: float64(l.valueKB), TxnOps: l.ops}
}

// enforce has the key-value store reject what exceeds the limits.
func (w *simulatedCluster) enforce(l limits) { w.store.SetLimits(l.valueKB<<10, l.ops) }

// checkNothingTooLarge checks, at the end of a test, that nothing was rejected for its size.
func (w *simulatedCluster) checkNothingTooLarge() {
	w.t.Helper()
	if rejected := w.store.RejectedAsTooLarge(); len(rejected) > 0 {
		w.t.Errorf("rejected for size: got %d times, want none: %v", len(rejected), rejected[:min(5, len(rejected))])
	}
}

// heartbeatAll has machines send a heartbeat once a second.
func heartbeatAll(ks []*worker, n *node, seconds int) {
	for range seconds {
		for _, k := range ks {
			k.heartbeat(n)
		}
		time.Sleep(time.Second)
	}
}

// exitAll completes all running tasks of machines.
func exitAll(ks []*worker) {
	for _, k := range ks {
		k.exit(api.CauseDone)
	}
}

// runningOf lists the tasks of a job that run on machines.
func runningOf(ks []*worker, id string) (tasks []string) {
	for _, k := range ks {
		for _, ref := range k.running() {
			if strings.HasPrefix(ref, id+"/") {
				tasks = append(tasks, ref)
			}
		}
	}
	slices.Sort(tasks)
	return tasks
}

// limitSweep are limits down to the least that any part of the program works with: a cancellation
// is three changes.
var limitSweep = []limits{
	{3, 1, 4}, {3, 1, 8}, {4, 1, 5}, {5, 1, 6}, {5, 2, 25}, {12, 8, 25}, {20, 64, 50}, {200, 64, 500},
}

// startWithLimits starts a node with the given limits, and a team whose own limit is out of reach.
func (w *simulatedCluster) startWithLimits(l limits) *node {
	w.t.Helper()
	w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
	w.storeLimits = l.settings()
	w.enforce(l)
	return w.start("n0")
}

// Whatever the limits, jobs are accepted, run, done and cancelled, and a new leader takes over,
// without the key-value store ever rejecting anything for its size.
func TestNothingExceedsSmallLimits(t *testing.T) {
	for _, l := range limitSweep {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				a := w.startWithLimits(l)
				ks := w.numberedWorkers(24)
				heartbeatAll(ks, a, 8)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				w.submit(a, spec("job-1", 60))
				w.submit(a, spec("job-2", 30))
				heartbeatAll(ks, a, 6)
				if n1, n2 := len(runningOf(ks, "job-1")), len(runningOf(ks, "job-2")); n1+n2 < 60 {
					w.t.Fatalf("running tasks: got %d and %d, want at least 60", n1, n2)
				}
				exitAll(ks[:8])
				heartbeatAll(ks, a, 6)
				st, err := a.Cancel(context.Background(), "job-2")
				w.checkEqual("cancelled", []any{st.Phase, err}, []any{api.JobCancelled, nil})
				heartbeatAll(ks, a, 6)
				w.checkEqual("tasks of the cancelled job", runningOf(ks, "job-2"), []string(nil))
				a.crash()
				b := w.start("n0")
				heartbeatAll(ks, b, 8)
				for range 4 {
					exitAll(ks)
					heartbeatAll(ks, b, 5)
				}
				w.checkEqual("phase after a takeover", w.phase(b, "job-1"), "done")
				w.checkEqual("phase of the cancelled job", w.phase(b, "job-2"), api.JobCancelled)
				w.dead.Store(ks[0].status.Machine, true)
				w.dead.Store(ks[1].status.Machine, true)
				heartbeatAll(ks[2:], b, 40)
				w.checkEqual("registered machines in the end", len(w.registeredMachines()), 22)
				w.checkEqual("completion records", w.keysUnder(records.CompletionPrefix), []string(nil))
				w.checkNothingTooLarge()
			})
		})
	}
}

// keysUnder lists the keys with a prefix.
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

// The limits change while jobs run and while a leader takes over; what keeps to both is never
// rejected.
func TestLimitsChange(t *testing.T) {
	from, to := limits{20, 16, 25}, limits{5, 1, 6}
	for _, when := range []string{"while jobs run", "during a takeover"} {
		t.Run(when, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.storeLimits = to.settings() // the smaller of both
				w.enforce(from)
				w.oldShard(records.MachinePrefix+"0-1", 24)
				a := w.start("n0")
				ks := w.numberedWorkers(26)
				heartbeatAll(ks, a, 8)
				w.submit(a, spec("job-1", 80))
				heartbeatAll(ks, a, 4)
				exitAll(ks[:10])
				if when == "during a takeover" {
					a.crash()
					w.enforce(to)
					a = w.start("n0")
				} else {
					w.enforce(to)
				}
				w.dead.Store(ks[3].status.Machine, true)
				ks = slices.Delete(ks, 3, 4)
				heartbeatAll(ks, a, 40)
				for range 4 {
					exitAll(ks)
					heartbeatAll(ks, a, 6)
				}
				w.checkEqual("phase", w.phase(a, "job-1"), "done")
				w.checkEqual("registered machines", len(w.registeredMachines()), 25)
				if w.store.Has(records.MachinePrefix + "0-1") {
					w.t.Errorf("shards: got %v, want them without the large one", w.keysUnder(records.MachinePrefix))
				}
				w.checkNothingTooLarge()
			})
		})
	}
}

// Many jobs end at once, and names are as long as they may be: batches keep to the changes of a
// transaction, shards to the size of their entries.
func TestManyChangesAtOnce(t *testing.T) {
	for _, l := range limitSweep {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				a := w.startWithLimits(l)
				ks := make([]*worker, 24)
				for i := range ks {
					ks[i] = w.worker(fmt.Sprintf("i-%06d-%s", i, strings.Repeat("n", 10*i)), "a", false)
				}
				heartbeatAll(ks, a, 30)
				w.checkEqual("registered machines", len(w.registeredMachines()), 24)
				for i := range 60 {
					w.submit(a, spec(fmt.Sprintf("job-%d", i), 1))
				}
				heartbeatAll(ks, a, 10)
				exitAll(ks)
				heartbeatAll(ks, a, 90)
				w.checkEqual("active records", w.keysUnder(records.ActivePrefix), []string(nil))
				w.checkEqual("terminal records", len(w.keysUnder(records.TerminalPrefix)), 60)
				w.checkNothingTooLarge()
			})
		})
	}
}

// Machine types that do not fit a record are not stored in part: a node that starts without the
// cloud would reject jobs as unschedulable.
func TestTypesFitARecord(t *testing.T) {
	for _, c := range []struct {
		types  int
		stored bool
	}{{3, true}, {40, false}} {
		simulate(t, func(w *simulatedCluster) {
			l := limits{3, 1, 8}
			w.storeLimits = l.settings()
			w.enforce(l)
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

// queueLargeRecords queues the registration of machines with long addresses, completion records of
// large jobs, and terminal records of jobs with long names.
func (lt *leaderTerm) queueLargeRecords() {
	rw := lt.recordWriter
	for i := range 700 {
		m := lt.addMachine(fmt.Sprintf("i-%06d", i), "small", "a", false, time.Now())
		m.Addr = strings.Repeat("x", 10+i)
		rw.Register(m)
	}
	for i := range 8 {
		s := spec(fmt.Sprintf("large-%d", i), api.MaxTasks)
		lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
		for task := range api.MaxTasks - 1 {
			lt.jobs[s.ID].Done.Set(uint(task))
		}
		rw.QueueCompletion(lt.jobs[s.ID])
	}
	for i := range 500 {
		s := spec(fmt.Sprintf("%s-%d", strings.Repeat("j", 150), i), 1)
		lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
		rw.FinishJob(lt.jobs[s.ID])
	}
}

// Where values may be large, the 64 KiB that a transaction has in all bound a batch: shards of long
// entries beside each other, completion of many large jobs, ends of many jobs with long names.
func TestBatchesFitTransactions(t *testing.T) {
	l := limits{400, 128, 2000}
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = l.settings()
		w.enforce(l)
		a := w.start("n0")
		time.Sleep(time.Second)
		const batches = 400
		txns := make([]kv.Txn, 0, batches)
		a.inspect(func(c *Controller) {
			lt := c.leaderTerm
			lt.queueLargeRecords()
			rw := lt.recordWriter
			now := time.Now()
			for range batches {
				now = now.Add(time.Second)
				b := rw.NextBatch(now, nil)
				lt.rejectUnfit(b.Unfit)
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
	recordBytes := maxRelayRecordBytes(l.settings(), maxRelayParts)
	if total := maxRelayParts * (recordBytes + 200); total > kv.MaxTxnBytes {
		t.Errorf("relayed records: got %d bytes in all, want at most %d", total, kv.MaxTxnBytes)
	}
}
