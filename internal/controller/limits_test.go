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
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/store"
)

// limits are those of the service that a test plays with.
type limits struct {
	ops, valueKB int
	writes       float64
}

func (l limits) String() string {
	return fmt.Sprintf("%d changes, %d KiB, %v writes", l.ops, l.valueKB, l.writes)
}

func (l limits) settings() config.StateLimits {
	return config.StateLimits{RPS: 100, WriteRPS: l.writes, ValueKB: float64(l.valueKB), TxnOps: l.ops}
}

// enforce has the service refuse what is beyond the limits.
func (w *cluster) enforce(l limits) { w.store.SetLimits(l.valueKB<<10, l.ops) }

// neverTooLarge is checked at the end: nothing was refused for its size.
func (w *cluster) neverTooLarge() {
	w.t.Helper()
	if refused := w.store.TooLarge(); len(refused) > 0 {
		w.t.Errorf("refused %d times for size: %v", len(refused), refused[:min(5, len(refused))])
	}
}

// reportAll has machines report once a second.
func reportAll(ks []*worker, n *node, seconds int) {
	for range seconds {
		for _, k := range ks {
			k.report(n)
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
			simulate(t, func(w *cluster) {
				w.teams[0].CPUs, w.teams[0].CPUsMax = 100, 200
				w.state = l.settings()
				w.enforce(l)
				a := w.start("n0")
				var ks []*worker
				for i := range 24 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
				}
				reportAll(ks, a, 8)
				w.same("on the roster", len(w.roster()), 24)
				w.submit(a, spec("job-1", 60))
				w.submit(a, spec("job-2", 30))
				reportAll(ks, a, 6)
				if len(runningOf(ks, "job-1"))+len(runningOf(ks, "job-2")) < 60 {
					w.t.Fatalf("only %d and %d run", len(runningOf(ks, "job-1")), len(runningOf(ks, "job-2")))
				}
				exitAll(ks[:8])
				reportAll(ks, a, 6)
				st, err := a.Abort(context.Background(), "job-2")
				w.same("cancelled", []any{st.Phase, err}, []any{api.JobWithdrawn, nil})
				reportAll(ks, a, 6)
				w.same("of the cancelled job", runningOf(ks, "job-2"), []string(nil))
				a.crash()
				b := w.start("n0")
				reportAll(ks, b, 8)
				for range 4 {
					exitAll(ks)
					reportAll(ks, b, 5)
				}
				w.same("after a takeover", w.phase(b, "job-1"), "done")
				w.same("cancelled still", w.phase(b, "job-2"), api.JobWithdrawn)
				w.dead.Store(ks[0].rep.Machine, true)
				w.dead.Store(ks[1].rep.Machine, true)
				reportAll(ks[2:], b, 40)
				w.same("on the roster at last", len(w.roster()), 22)
				w.same("progress left", w.keysUnder(store.ProgressPrefix), []string(nil))
				w.neverTooLarge()
			})
		})
	}
}

// keysUnder lists the keys with a prefix.
func (w *cluster) keysUnder(prefix string) (keys []string) {
	w.t.Helper()
	p, err := w.store.Range(context.Background(), prefix, "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range p.Rows {
		keys = append(keys, e.Key)
	}
	return keys
}

// oldShard is a shard as an earlier version writes it under larger limits.
func (w *cluster) oldShard(key string, n int) {
	w.t.Helper()
	var rec store.RosterRecord
	for i := range n {
		name := fmt.Sprintf("i-%06d", i)
		rec.Machines = append(rec.Machines, store.MachineRecord{Name: name, Addr: name, Type: "small", Zone: "a", CPUs: 4, MemoryGB: 16})
	}
	if _, err := w.store.Txn(context.Background(), store.Txn{Ops: []store.Op{{Put: key, Value: rec}}}); err != nil {
		w.t.Fatal(err)
	}
}

// inUse lists the machines that may be given tasks.
func inUse(n *node) (names []string) {
	n.look(func(c *Controller) {
		if c.leadership == nil {
			return
		}
		for name, m := range c.leadership.machines {
			if m.roster == rosterDurable && !m.gone {
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
					w.oldShard(store.MachinePrefix+"0-1", 26)
					w.state = l.settings()
					w.enforce(l) // from now on
					a := w.start("n0")
					var ks []*worker
					for i := range 26 {
						ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
					}
					reportAll(ks, a, 3)
					w.same("read", len(inUse(a)), 26)
					w.same("not written without need", w.keysUnder(store.MachinePrefix), []string{store.MachinePrefix + "0-1"})
					w.dead.Store(ks[0].rep.Machine, true)
					for i := range 100 {
						switch {
						case trouble == "answers lost" && i%3 == 0:
							w.store.Lose(touches(store.MachinePrefix))
						case trouble == "late" && i%4 == 0:
							w.store.Hold(touches(store.MachinePrefix))
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
					if w.store.Has(store.MachinePrefix + "0-1") {
						w.t.Errorf("the large shard is still there: %v", w.keysUnder(store.MachinePrefix))
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
	p, err := w.store.Range(context.Background(), store.ProgressPrefix+id+"/", "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range p.Rows {
		_, first, ok := store.ParseProgressKey(e.Key)
		var rec store.ProgressRecord
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
				if _, err := w.store.Txn(context.Background(), store.Txn{Ops: []store.Op{
					{Put: store.ActivePrefix + s.ID, Value: store.ActiveRecord{Spec: *s, Accepted: time.Now()}},
					{Put: store.ProgressKey(s.ID, 0), Value: store.ProgressRecord{Done: bits}},
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
						w.store.Lose(touches(store.ProgressPrefix))
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
				if p, err := w.store.Get(context.Background(), store.ProgressKey(s.ID, 0)); err != nil || len(p.Value) > 1<<10 {
					w.t.Errorf("the long record was never written again: %d bytes, %v", len(p.Value), err)
				}
				w.neverTooLarge()
			})
		})
	}
}

// The limits change while jobs run and while a leader takes over; what keeps to
// both is never refused.
func TestLimitsChange(t *testing.T) {
	from, to := limits{20, 16, 25}, limits{5, 1, 6}
	for _, when := range []string{"while jobs run", "during a takeover"} {
		t.Run(when, func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.teams[0].CPUs, w.teams[0].CPUsMax = 100, 200
				w.state = to.settings() // the smaller of both
				w.enforce(from)
				w.oldShard(store.MachinePrefix+"0-1", 24)
				a := w.start("n0")
				var ks []*worker
				for i := range 26 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d", i), "a", false))
				}
				reportAll(ks, a, 8)
				w.submit(a, spec("job-1", 80))
				reportAll(ks, a, 4)
				exitAll(ks[:10])
				if when == "during a takeover" {
					a.crash()
					w.enforce(to)
					a = w.start("n0")
				} else {
					w.enforce(to)
				}
				w.dead.Store(ks[3].rep.Machine, true)
				ks = slices.Delete(ks, 3, 4)
				reportAll(ks, a, 40)
				for range 4 {
					exitAll(ks)
					reportAll(ks, a, 6)
				}
				w.same("phase", w.phase(a, "job-1"), "done")
				w.same("on the roster", len(w.roster()), 25)
				if w.store.Has(store.MachinePrefix + "0-1") {
					w.t.Error("the large shard is still there")
				}
				w.neverTooLarge()
			})
		})
	}
}

// Many ends at once, with names as long as they may come: batches keep to the
// changes of a transaction, shards to the size of their entries.
func TestManyChangesAtOnce(t *testing.T) {
	for _, l := range small {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.teams[0].CPUs, w.teams[0].CPUsMax = 100, 200
				w.state = l.settings()
				w.enforce(l)
				a := w.start("n0")
				var ks []*worker
				for i := range 24 {
					ks = append(ks, w.worker(fmt.Sprintf("i-%06d-%s", i, strings.Repeat("n", 10*i)), "a", false))
				}
				reportAll(ks, a, 30)
				w.same("on the roster", len(w.roster()), 24)
				for i := range 60 {
					w.submit(a, spec(fmt.Sprintf("job-%d", i), 1))
				}
				reportAll(ks, a, 10)
				exitAll(ks)
				reportAll(ks, a, 90)
				w.same("still active", w.keysUnder(store.ActivePrefix), []string(nil))
				w.same("ends", len(w.keysUnder(store.FinalPrefix)), 60)
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
				w.teams[0].CPUs, w.teams[0].CPUsMax = 100, 200
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
				w.same("still active", w.keysUnder(store.ActivePrefix), []string(nil))
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
		a.look(func(c *Controller) { done = c.leadership.jobs["job-1"].doneCount })
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

// extendedBy has a node publish machines, and tells which of them a leader takes to have
// extended leases.
func extendedBy(w *cluster, l limits, hosts []string) (kept int) {
	w.state = l.settings()
	w.enforce(l)
	a := w.start("n0")
	a.look(func(c *Controller) {
		for _, name := range hosts {
			c.leadership.addMachine(name, "small", "a", false, time.Now())
		}
	})
	e, err := w.store.Get(context.Background(), election.TermKey)
	if err != nil {
		w.t.Fatal(err)
	}
	b := New(Config{Settings: &config.Settings{Node: "n1", Peers: []config.Peer{{Node: "n0"}, {Node: "n2"}}, Site: config.SiteInfo{State: w.state}},
		Store: w.store, Log: a.Log})
	b.publishExtensions(context.Background(), hosts, 1, e.Mark)
	a.look(func(c *Controller) {
		c.leadership.extensionsRead = time.Time{}
		c.leadership.readExtensions(time.Now())
	})
	time.Sleep(100 * time.Millisecond)
	a.look(func(c *Controller) {
		for _, m := range c.leadership.machines {
			if m.extendedUntil.After(time.Now()) {
				kept++
			}
		}
	})
	return kept
}

// A list of extended leases that does not fit one record goes on in further ones,
// which leaders of any version read; no more are written than they read.
func TestLeaseExtensionsFitRecords(t *testing.T) {
	names := func(n int) (hosts []string) {
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("i-%06d", i))
		}
		return hosts
	}
	for _, l := range small {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.same("extended", extendedBy(w, l, names(300)), 300)
				w.neverTooLarge()
			})
		})
	}
	simulate(t, func(w *cluster) {
		// One too long for any record does not hold up the others.
		w.same("extended", extendedBy(w, limits{3, 1, 8}, append(names(40), strings.Repeat("i", 1100))), 40)
		w.neverTooLarge()
	})
	simulate(t, func(w *cluster) {
		extendedBy(w, limits{3, 1, 8}, names(5000))
		if n := len(w.keysUnder(store.LeaseExtensionPrefix)); 3*n > 100 || n < 30 {
			w.t.Errorf("%d records of one node of three", n)
		}
		w.neverTooLarge()
	})
	simulate(t, func(w *cluster) {
		// The service turns out smaller than the settings say.
		w.state = limits{12, 8, 25}.settings()
		a := w.start("n0")
		w.enforce(limits{12, 1, 25})
		e, _ := w.store.Get(context.Background(), election.TermKey)
		a.publishExtensions(context.Background(), names(200), 1, e.Mark)
		w.same("records", len(w.keysUnder(store.LeaseExtensionPrefix)) > 2, true)
		if n := len(w.store.TooLarge()); n == 0 || n > 3 {
			w.t.Errorf("refused %d times", n)
		}
	})
}

// Types that do not fit a record are not stored in part: a node that starts
// without the cloud would tell users that their jobs never run.
func TestTypesFitARecord(t *testing.T) {
	for _, c := range []struct {
		types  int
		stored bool
	}{{3, true}, {40, false}} {
		simulate(t, func(w *cluster) {
			l := limits{3, 1, 8}
			w.state = l.settings()
			w.enforce(l)
			for i := range c.types - 1 {
				w.cloud.types = append(w.cloud.types, api.MachineType{Name: fmt.Sprintf("type-%d", i), CPUs: 4, MemoryGB: 16, Zones: []string{"a"}})
			}
			w.start("n0")
			time.Sleep(time.Second)
			w.same("stored", w.store.Has(store.TypesKey), c.stored)
			w.neverTooLarge()
		})
	}
}

// What is relayed through the store while zones are apart keeps to the limits,
// and work goes on beyond the cut also with the smallest.
func TestSmallLimitsBeyondTheCut(t *testing.T) {
	for _, l := range append([]limits{{2, 1, 8}, {3, 1, 2}}, small...) {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.teams[0].CPUs, w.teams[0].CPUsMax = 16, 16
				w.state = l.settings()
				w.enforce(l)
				_, a, b, _, near, far := w.beyondTheCut()
				s := spec("job-1", 400)
				s.CPUs, s.MemoryGB = 0.02, 0.02
				w.submit(a, s)
				ran, began := 0, time.Now()
				ch, err := w.store.Watch(context.Background(), store.RelayPrefix+"n1/up/", 0, time.Second)
				if err != nil {
					w.t.Fatal(err)
				}
				before := len(ch.Events)
				for range 10 {
					for range 8 {
						near.report(a)
						far.report(b)
						time.Sleep(time.Second)
					}
					ran += len(far.running())
					far.exit(api.CauseDone)
					near.exit(api.CauseDone)
				}
				for range 12 {
					near.report(a)
					far.report(b)
					time.Sleep(time.Second)
				}
				ch, err = w.store.Watch(context.Background(), store.RelayPrefix+"n1/up/", 0, time.Second)
				if rate := float64(len(ch.Events)-before) / time.Since(began).Seconds(); err != nil || rate > l.writes*store.RecordShare {
					w.t.Errorf("%v changes a second for relayed reports, %v", rate, err)
				}
				w.same("phase", w.phase(a, "job-1"), "done")
				w.same("ran beyond the cut", ran > 100, true)
				w.neverTooLarge()
			})
		})
	}
}

// What is relayed and refused for its size comes again in smaller parts: work goes
// on beyond the cut although the service is smaller than the settings say.
func TestRelayRefusedForSize(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.teams[0].CPUs, w.teams[0].CPUsMax = 16, 16
		w.state = limits{20, 16, 100}.settings()
		_, a, b, _, near, far := w.beyondTheCut()
		w.enforce(limits{20, 1, 100})
		s := spec("job-1", 700)
		s.CPUs, s.MemoryGB = 0.01, 0.01
		s.Image = strings.Repeat("image", 20)
		w.submit(a, s)
		ran := 0
		for range 10 {
			for range 12 {
				near.report(a)
				far.report(b)
				time.Sleep(time.Second)
			}
			ran += len(far.running())
			near.exit(api.CauseDone)
			far.exit(api.CauseDone)
		}
		for range 12 {
			near.report(a)
			far.report(b)
			time.Sleep(time.Second)
		}
		w.same("phase", w.phase(a, "job-1"), "done")
		if n := len(w.store.TooLarge()); ran < 100 || n == 0 || n > 16 {
			w.t.Errorf("%d ran beyond the cut, refused for size %d times: %v", ran, n, w.store.TooLarge())
		}
	})
}

// A report that fits no batch does not keep those of other machines from being
// relayed.
func TestReportTooLargeToRelay(t *testing.T) {
	simulate(t, func(w *cluster) {
		l := limits{3, 1, 25}
		w.state = l.settings()
		w.enforce(l)
		_, a, b, _, _, far := w.beyondTheCut()
		other := w.worker("i-3", "b", false)
		for i := range mostAttempts {
			far.rep.Tasks = append(far.rep.Tasks, api.TaskReport{Task: fmt.Sprintf("job-%d/%d", i*i*7919%99991, i), Attempt: uint64(i * 104729), Phase: api.TaskRunning})
		}
		heard := func() (n int) {
			a.look(func(c *Controller) {
				if m := c.leadership.machines["i-3"]; m != nil {
					n = m.reports
				}
			})
			return n
		}
		for range 12 {
			far.report(b)
			other.report(b)
			time.Sleep(time.Second)
		}
		if n := heard(); n < 3 {
			w.t.Errorf("heard %d times of the other machine", n)
		}
		w.neverTooLarge()
	})
}

// Where values may be large, the 64 KiB that a transaction has in all are what
// bounds a batch: shards of long entries beside each other, progress of many large
// jobs, ends of many jobs with long names.
func TestTransactionsFitInAll(t *testing.T) {
	simulate(t, func(w *cluster) {
		l := limits{400, 128, 2000}
		w.state = l.settings()
		w.enforce(l)
		a := w.start("n0")
		time.Sleep(time.Second)
		var txns []store.Txn
		a.look(func(c *Controller) {
			r := c.leadership
			rec := &r.recorder
			for i := range 700 {
				m := r.addMachine(fmt.Sprintf("i-%06d", i), "small", "a", false, time.Now())
				m.addr = strings.Repeat("x", 10+i)
				rec.enroll(m)
			}
			for i := range 8 {
				s := spec(fmt.Sprintf("large-%d", i), api.MaxTasks)
				r.addRecord(store.ActivePrefix+s.ID, store.ActiveRecord{Spec: *s}, 1)
				for task := range api.MaxTasks - 1 {
					r.jobs[s.ID].done.Set(uint(task))
				}
				rec.progress(r.jobs[s.ID])
			}
			for i := range 500 {
				s := spec(fmt.Sprintf("%s-%d", strings.Repeat("j", 150), i), 1)
				r.addRecord(store.ActivePrefix+s.ID, store.ActiveRecord{Spec: *s}, 1)
				rec.finish(r.jobs[s.ID])
			}
			now := time.Now()
			for range 400 {
				now = now.Add(time.Second)
				b := rec.next(now)
				rec.recorded(b)
				txns = append(txns, b.txn)
			}
			w.same("left", []int{len(rec.enrolling), len(rec.dirty), len(rec.finishing)}, []int{0, 0, 0})
		})
		most := 0
		for _, txn := range txns {
			raw, err := json.Marshal(txn)
			if err != nil {
				w.t.Fatal(err)
			}
			most = max(most, len(raw))
		}
		if most > store.MaxTxnBytes || most < store.MaxTxnBytes/4 {
			w.t.Errorf("transactions of up to %d bytes", most)
		}
	})
	if room := relayRoom(limits{400, 128, 2000}.settings(), relayParts); relayParts*(room+200) > store.MaxTxnBytes {
		t.Errorf("relayed records of %d bytes", room)
	}
}
