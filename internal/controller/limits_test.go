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

// limits are those of the service that a test plays with.
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

// enforce has the service refuse what is beyond the limits.
func (w *simulatedCluster) enforce(l limits) { w.store.SetLimits(l.valueKB<<10, l.ops) }

// checkNothingTooLarge is checked at the end: nothing was refused for its size.
func (w *simulatedCluster) checkNothingTooLarge() {
	w.t.Helper()
	if refused := w.store.RejectedAsTooLarge(); len(refused) > 0 {
		w.t.Errorf("refused %d times for size: %v", len(refused), refused[:min(5, len(refused))])
	}
}

// heartbeatAll has machines report once a second.
func heartbeatAll(ks []*worker, n *node, seconds int) {
	for range seconds {
		for _, k := range ks {
			k.heartbeat(n)
		}
		time.Sleep(time.Second)
	}
}

func exitAll(ks []*worker) {
	for _, k := range ks {
		k.exit(api.CauseDone)
	}
}

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

// small are limits down to the least that any part of the program works with: a
// cancellation is three changes.
var small = []limits{{3, 1, 4}, {3, 1, 8}, {4, 1, 5}, {5, 1, 6}, {5, 2, 25}, {12, 8, 25}, {20, 64, 50}, {200, 64, 500}}

// Whatever the limits, jobs are accepted, run, done and cancelled, and a new
// leader takes over, without the service ever refusing anything for its size.
func TestSmallLimits(t *testing.T) {
	for _, l := range small {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.state = l.settings()
				w.enforce(l)
				a := w.start("n0")
				var ks []*worker
				for i := range 24 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
				}
				heartbeatAll(ks, a, 8)
				w.checkEqual("on the roster", len(w.registeredMachines()), 24)
				w.submit(a, spec("job-1", 60))
				w.submit(a, spec("job-2", 30))
				heartbeatAll(ks, a, 6)
				if len(runningOf(ks, "job-1"))+len(runningOf(ks, "job-2")) < 60 {
					w.t.Fatalf("only %d and %d run", len(runningOf(ks, "job-1")), len(runningOf(ks, "job-2")))
				}
				exitAll(ks[:8])
				heartbeatAll(ks, a, 6)
				st, err := a.Cancel(context.Background(), "job-2")
				w.checkEqual("cancelled", []any{st.Phase, err}, []any{api.JobCancelled, nil})
				heartbeatAll(ks, a, 6)
				w.checkEqual("of the cancelled job", runningOf(ks, "job-2"), []string(nil))
				a.crash()
				b := w.start("n0")
				heartbeatAll(ks, b, 8)
				for range 4 {
					exitAll(ks)
					heartbeatAll(ks, b, 5)
				}
				w.checkEqual("after a takeover", w.phase(b, "job-1"), "done")
				w.checkEqual("cancelled still", w.phase(b, "job-2"), api.JobCancelled)
				w.dead.Store(ks[0].status.Machine, true)
				w.dead.Store(ks[1].status.Machine, true)
				heartbeatAll(ks[2:], b, 40)
				w.checkEqual("on the roster at last", len(w.registeredMachines()), 22)
				w.checkEqual("progress left", w.keysUnder(records.CompletionPrefix), []string(nil))
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

// The limits change while jobs run and while a leader takes over; what keeps to
// both is never refused.
func TestLimitsChange(t *testing.T) {
	from, to := limits{20, 16, 25}, limits{5, 1, 6}
	for _, when := range []string{"while jobs run", "during a takeover"} {
		t.Run(when, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.state = to.settings() // the smaller of both
				w.enforce(from)
				w.oldShard(records.MachinePrefix+"0-1", 24)
				a := w.start("n0")
				var ks []*worker
				for i := range 26 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
				}
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
				w.checkEqual("on the roster", len(w.registeredMachines()), 25)
				if w.store.Has(records.MachinePrefix + "0-1") {
					w.t.Error("the large shard is still there")
				}
				w.checkNothingTooLarge()
			})
		})
	}
}

// Many ends at once, with names as long as they may come: batches keep to the
// changes of a transaction, shards to the size of their entries.
func TestManyChangesAtOnce(t *testing.T) {
	for _, l := range small {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.state = l.settings()
				w.enforce(l)
				a := w.start("n0")
				var ks []*worker
				for i := range 24 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d-%s", i, strings.Repeat("n", 10*i)), "a", false))
				}
				heartbeatAll(ks, a, 30)
				w.checkEqual("on the roster", len(w.registeredMachines()), 24)
				for i := range 60 {
					w.submit(a, spec(fmt.Sprintf("job-%d", i), 1))
				}
				heartbeatAll(ks, a, 10)
				exitAll(ks)
				heartbeatAll(ks, a, 90)
				w.checkEqual("still active", w.keysUnder(records.ActivePrefix), []string(nil))
				w.checkEqual("ends", len(w.keysUnder(records.TerminalPrefix)), 60)
				w.checkNothingTooLarge()
			})
		})
	}
}

// Types that do not fit a record are not stored in part: a node that starts
// without the cloud would tell users that their jobs never run.
func TestTypesFitARecord(t *testing.T) {
	for _, c := range []struct {
		types  int
		stored bool
	}{{3, true}, {40, false}} {
		simulate(t, func(w *simulatedCluster) {
			l := limits{3, 1, 8}
			w.state = l.settings()
			w.enforce(l)
			for i := range c.types - 1 {
				w.cloud.types = append(w.cloud.types, api.MachineType{Name: fmt.Sprintf("type-%d", i), CPUs: 4, MemoryGB: 16, Zones: []string{"a"}})
			}
			w.start("n0")
			time.Sleep(time.Second)
			w.checkEqual("stored", w.store.Has(records.MachineTypesKey), c.stored)
			w.checkNothingTooLarge()
		})
	}
}

// Where values may be large, the 64 KiB that a transaction has in all are what
// bounds a batch: shards of long entries beside each other, progress of many large
// jobs, ends of many jobs with long names.
func TestTransactionsFitInAll(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{400, 128, 2000}
		w.state = l.settings()
		w.enforce(l)
		a := w.start("n0")
		time.Sleep(time.Second)
		var txns []kv.Txn
		a.inspect(func(c *Controller) {
			lt := c.leaderTerm
			rec := lt.recordWriter
			for i := range 700 {
				m := lt.addMachine(fmt.Sprintf("i-%06d", i), "small", "a", false, time.Now())
				m.Addr = strings.Repeat("x", 10+i)
				rec.Register(m)
			}
			for i := range 8 {
				s := spec(fmt.Sprintf("large-%d", i), api.MaxTasks)
				lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
				for task := range api.MaxTasks - 1 {
					lt.jobs[s.ID].Done.Set(uint(task))
				}
				rec.QueueCompletion(lt.jobs[s.ID])
			}
			for i := range 500 {
				s := spec(fmt.Sprintf("%s-%d", strings.Repeat("j", 150), i), 1)
				lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s}, 1)
				rec.FinishJob(lt.jobs[s.ID])
			}
			now := time.Now()
			for range 400 {
				now = now.Add(time.Second)
				b := rec.NextBatch(now, nil)
				lt.rejectUnfit(b.Unfit)
				lt.applyOutcome(rec.Apply(b, now, kv.Result{Succeeded: true}, nil))
				txns = append(txns, b.Txn)
			}
			left := rec.Backlog()
			w.checkEqual("left", []int{left.Registering, left.Completions, left.Finishing}, []int{0, 0, 0})
		})
		most := 0
		for _, txn := range txns {
			raw, err := json.Marshal(txn)
			if err != nil {
				w.t.Fatal(err)
			}
			most = max(most, len(raw))
		}
		if most > kv.MaxTxnBytes || most < kv.MaxTxnBytes/4 {
			w.t.Errorf("transactions of up to %d bytes", most)
		}
	})
	if room := maxRelayRecordBytes(limits{400, 128, 2000}.settings(), maxRelayParts); maxRelayParts*(room+200) > kv.MaxTxnBytes {
		t.Errorf("relayed records of %d bytes", room)
	}
}
