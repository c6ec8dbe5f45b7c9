package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// oldShard is a shard as an earlier version writes it under larger limits.
func (w *cluster) oldShard(key string, n int) {
	w.t.Helper()
	var rec records.RegistryShardRecord
	for i := range n {
		name := fmt.Sprintf("i-%06d", i)
		rec.Machines = append(rec.Machines, records.MachineRecord{Name: name, Addr: name, Type: "small", Zone: "a", CPUs: 4, MemoryGB: 16})
	}
	if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Put: key, Value: rec}}}); err != nil {
		w.t.Fatal(err)
	}
}

// inUse lists the machines that may be given tasks.
func inUse(n *node) (names []string) {
	n.look(func(c *Controller) {
		if c.leaderTerm == nil {
			return
		}
		for name, m := range c.leaderTerm.machines {
			if m.registration == registered && !m.terminated {
				names = append(names, name)
			}
		}
	})
	return names
}

// A shard of the version in production may hold more machines than the service
// takes by now in one value. When it is written again it is split, and whatever
// is cut off between, refused, lost or late, each machine is on some shard.
func TestLargeShardIsSplit(t *testing.T) {
	for _, l := range []limits{{3, 1, 25}, {5, 1, 25}, {12, 2, 25}} {
		for _, trouble := range []string{"none", "answers lost", "late", "leader crashes"} {
			t.Run(l.String()+" "+trouble, func(t *testing.T) {
				simulate(t, func(w *cluster) {
					w.oldShard(records.MachinePrefix+"0-1", 26)
					w.state = l.settings()
					w.enforce(l) // from now on
					a := w.start("n0")
					var ks []*worker
					for i := range 26 {
						ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
					}
					reportAll(ks, a, 3)
					w.same("read", len(inUse(a)), 26)
					w.same("not written without need", w.keysUnder(records.MachinePrefix), []string{records.MachinePrefix + "0-1"})
					w.dead.Store(ks[0].rep.Machine, true)
					for i := range 100 {
						switch {
						case trouble == "answers lost" && i%3 == 0:
							w.store.Lose(touches(records.MachinePrefix))
						case trouble == "late" && i%4 == 0:
							w.store.Hold(touches(records.MachinePrefix))
						case trouble == "late" && i%4 == 3:
							w.store.Release()
						case trouble == "leader crashes" && i%25 == 22:
							a.crash()
							a = w.start("n0")
						default:
							w.store.Lose(nil)
						}
						for range 4 {
							for _, k := range ks[1:] {
								k.report(a)
							}
							time.Sleep(250 * time.Millisecond)
							used := inUse(a)
							on := w.roster()
							for _, name := range used {
								if !slices.Contains(on, name) {
									w.t.Fatalf("second %d: %s may be in use and is on no shard", i, name)
								}
							}
						}
					}
					w.store.Lose(nil)
					w.store.Release()
					reportAll(ks[1:], a, 10)
					w.same("in use", len(inUse(a)), 25)
					if w.store.Has(records.MachinePrefix + "0-1") {
						w.t.Errorf("the large shard is still there: %v", w.keysUnder(records.MachinePrefix))
					}
					a.crash()
					b := w.start("n0")
					reportAll(ks[1:], b, 3)
					w.same("read by the next leader", len(inUse(b)), 25)
					w.neverTooLarge()
				})
			})
		}
	}
}

// doneOnRecord are the done tasks of a job as the next leader reads them.
func (w *cluster) doneOnRecord(id string) map[int]bool {
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

// A progress record written under larger limits speaks of more tasks than a new
// one may. It is not written over before those beyond are on record elsewhere:
// at no moment, whatever is lost or late, does the next leader find less done.
func TestLongProgressRecord(t *testing.T) {
	for _, trouble := range []string{"none", "answers lost", "leader crashes"} {
		t.Run(trouble, func(t *testing.T) {
			simulate(t, func(w *cluster) {
				const tasks, before = 30000, 14000 // new records hold 4096
				w.store.SetLimits(8<<10, 12)
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.01, 0.01
				bits := make([]byte, tasks/8)
				was := map[int]bool{}
				for i := range before {
					if i%7 != 0 {
						bits[i/8] |= 1 << (i % 8)
						was[i] = true
					}
				}
				if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{
					{Put: records.ActivePrefix + s.ID, Value: records.ActiveRecord{Spec: *s, Accepted: time.Now()}},
					{Put: records.CompletionKey(s.ID, 0), Value: records.CompletionRecord{Done: bits}},
				}}); err != nil {
					w.t.Fatal(err)
				}
				l := limits{3, 1, 25}
				w.state = l.settings()
				w.enforce(l)
				a := w.start("n0")
				ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false)}
				reportAll(ks, a, 4)
				for i := range 12 {
					switch {
					case trouble == "answers lost" && i%2 == 0:
						w.store.Lose(touches(records.CompletionPrefix))
					case trouble == "leader crashes" && i%4 == 3:
						a.crash()
						a = w.start("n0")
						reportAll(ks, a, 3)
					default:
						w.store.Lose(nil)
					}
					exitAll(ks)
					for range 20 {
						for _, k := range ks {
							k.report(a)
						}
						time.Sleep(100 * time.Millisecond)
						on := w.doneOnRecord(s.ID)
						for task := range was {
							if !on[task] {
								w.t.Fatalf("round %d: task %d was done and is not on record", i, task)
							}
						}
						was = on
					}
				}
				if len(was) < before-before/7+1000 {
					w.t.Errorf("%d tasks are on record", len(was))
				}
				if p, err := w.store.Get(context.Background(), records.CompletionKey(s.ID, 0)); err != nil || len(p.Value) > 1<<10 {
					w.t.Errorf("the long record was never written again: %d bytes, %v", len(p.Value), err)
				}
				w.neverTooLarge()
			})
		})
	}
}

// The service may be smaller than the settings say. What it refuses for its size
// does not come again unchanged: batches, shards and progress records shrink, and
// work goes on.
func TestRefusedForSize(t *testing.T) {
	for _, real := range []limits{{2, 1, 25}, {3, 1, 25}, {12, 1, 25}} {
		t.Run(real.String(), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 200
				w.state = limits{20, 16, 100}.settings()
				w.enforce(real)
				a := w.start("n0")
				var ks []*worker
				for i := range 24 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
				}
				reportAll(ks, a, 8)
				w.same("on the roster", len(w.roster()), 24)
				w.submit(a, spec("job-1", 90))
				for i := range 30 {
					w.submit(a, spec(fmt.Sprintf("small-%d", i), 1))
				}
				for range 4 {
					reportAll(ks, a, 8)
					exitAll(ks)
				}
				reportAll(ks, a, 20)
				w.same("still active", w.keysUnder(records.ActivePrefix), []string(nil))
				if n := len(w.store.TooLarge()); n == 0 || n > 12 {
					w.t.Errorf("refused for size %d times: %v", n, w.store.TooLarge())
				}
			})
		})
	}
}

// A progress record that is refused for its size comes again with fewer tasks.
func TestProgressRefusedForSize(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.state = limits{20, 16, 100}.settings()
		w.store.SetLimits(1<<10, 20)
		a := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false)}
		reportAll(ks, a, 3)
		s := spec("job-1", 40000)
		s.CPUs, s.MemoryGB = 0.001, 0.001
		w.submit(a, s)
		for range 4 {
			reportAll(ks, a, 3)
			exitAll(ks)
		}
		reportAll(ks, a, 8)
		done := 0
		a.look(func(c *Controller) { done = c.leaderTerm.jobs["job-1"].doneCount })
		if on := w.doneOnRecord("job-1"); len(on) != done || done < 800 {
			w.t.Errorf("%d tasks are on record, %d done", len(on), done)
		}
		if n := len(w.store.TooLarge()); n == 0 || n > 8 {
			w.t.Errorf("refused for size %d times: %v", n, w.store.TooLarge())
		}
	})
}

// A machine whose entry fits no record is never given a task, since the next
// leader would not know of it, and goes back; the others are not held up.
func TestEntryFitsNoShard(t *testing.T) {
	simulate(t, func(w *cluster) {
		l := limits{5, 1, 25}
		w.state = l.settings()
		w.enforce(l)
		a := w.start("n0")
		long := w.worker(strings.Repeat("i", 1100), "a", false)
		ks := []*worker{long, w.worker("i-2", "a", false)}
		reportAll(ks, a, 3)
		w.submit(a, spec("job-1", 8))
		reportAll(ks, a, 6)
		w.same("on it", long.running(), []string(nil))
		w.same("on the other", len(ks[1].running()), 4)
		w.same("on the roster", w.roster(), []string{"i-2"})
		w.same("given back", w.cloud.gone(long.rep.Machine), true)
		w.neverTooLarge()
	})
}
