package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// mixed is a deployment of two nodes, one of the version in production and one of
// this, and machines that report to whoever answers them.
type mixed struct {
	*cluster
	l   *links
	old *oldNode
	new *node
	// oldGate and newGate are their ways to the store.
	oldGate, newGate *gate
	ks               []*worker
	// takes is for how many seconds each task runs, ran how long it has, by
	// machine and attempt.
	takes int
	ran   map[string]int
	// ended are the tasks that have completed.
	ended map[string]bool
	// mute is a machine that sends no reports, or nil.
	mute *worker
	// awaits are the jobs that others await; early tells what of them began before
	// these were done on record.
	awaits map[string][]string
	early  []string
	// heard is when a machine's last answered report was sent; a lease later it
	// kills its tasks.
	heard map[string]time.Time
	// heir is who has taken the old node's place.
	heir *node
	// down says that the store is out, enrolled what the roster held last.
	down     bool
	enrolled []string
}

// farZone is the zone of the node that does not lead and of machines beyond a cut.
const farZone = "b"

// playMixed plays a meeting of two versions on some machines; oldLeads says which
// of them leads first. The old node is n0.
func playMixed(t *testing.T, machines int, oldLeads bool, f func(v *mixed)) {
	t.Helper()
	playMixedIn(t, func(*cluster) {}, machines, oldLeads, f)
}

// playMixedIn is playMixed in a world that is prepared first.
func playMixedIn(t *testing.T, prepare func(w *cluster), machines int, oldLeads bool, f func(v *mixed)) {
	t.Helper()
	simulate(t, func(w *cluster) {
		prepare(w)
		v := &mixed{cluster: w, l: &links{}, takes: 5, ran: map[string]int{}, heard: map[string]time.Time{}, ended: map[string]bool{}, oldGate: &gate{Fake: w.store}, newGate: &gate{Fake: w.store}}
		if oldLeads {
			v.beginOld()
		}
		v.beginNew()
		if !oldLeads {
			v.beginOld()
		}
		for i := range machines {
			v.ks = append(v.ks, w.worker(fmt.Sprint("i-", i+1), "a", false))
		}
		time.Sleep(10 * time.Second)
		w.same("the old one leads", v.old.leads(), oldLeads)
		f(v)
		v.old.crash()
		v.new.crash()
		if v.heir != nil {
			v.heir.crash()
		}
		time.Sleep(time.Second)
	})
}

func (v *mixed) beginOld() {
	v.old = v.startOld("n0", v.oldGate, v.l)
	time.Sleep(500 * time.Millisecond)
}

func (v *mixed) beginNew() { v.new = v.l.add("n1", v.startWith("n1", v.newGate, v.l)) }

// newLeads tells whether the node of this version leads.
func (v *mixed) newLeads() (leads bool) {
	v.new.look(func(c *Controller) { leads = c.holdsLease() && c.leaderTerm.loaded })
	return leads
}

// seconds lets machines report and tasks run. No task is on two machines, none that
// has completed begins again, and each machine with tasks is on the roster.
func (v *mixed) seconds(n int) {
	v.t.Helper()
	for range n {
		for _, k := range v.ks {
			if name := k.rep.Machine; k != v.mute && k.tryAll(v.reached(k)...) {
				v.heard[name] = time.Now()
			} else if time.Since(v.heard[name]) >= gapLease {
				k.expire()
			}
			v.advance(k)
		}
		v.check()
		time.Sleep(time.Second)
	}
}

// reached are the nodes that a machine reaches.
func (v *mixed) reached(k *worker) []heartbeatReceiver {
	var first heartbeatReceiver = v.old
	if v.heir != nil {
		first = v.heir
	}
	// Beyond a cut is the node that does not lead.
	switch far := k.rep.Zone == farZone; {
	case !v.l.cut.Load():
		return []heartbeatReceiver{first, v.new}
	case far == v.old.leads():
		return []heartbeatReceiver{v.new}
	}
	return []heartbeatReceiver{first}
}

// replaceOld ends the old node and starts this version in its place.
func (v *mixed) replaceOld() {
	v.old.crash()
	v.heir = v.l.add("n0", v.startWith("n0", v.oldGate, v.l))
}

// tryAll sends one report, to each node in turn until one answers.
func (k *worker) tryAll(nodes ...heartbeatReceiver) bool {
	for _, n := range nodes {
		if commands, err := k.send(n); err == nil {
			k.obey(commands)
			return true
		}
	}
	return false
}

// expire is the end of a machine's lease.
func (k *worker) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.rep.Tasks) > 0 {
		k.rep.Tasks = nil
		k.rep.AgentEpoch++
	}
}

// advance lets a machine's tasks run for a second.
func (v *mixed) advance(k *worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.rep.Tasks {
		t := &k.rep.Tasks[i]
		key := fmt.Sprint(k.rep.Machine, t.Attempt)
		if t.Phase == api.TaskExited {
			continue
		}
		if v.ran[key] == 0 && v.ended[t.Task] {
			v.t.Errorf("%s begins again on %s after it has completed", t.Task, k.rep.Machine)
		}
		if v.ran[key] == 0 && !v.mayBegin(t.Task) {
			v.early = append(v.early, t.Task)
		}
		if v.ran[key]++; v.ran[key] > v.takes {
			t.Phase, t.Cause = api.TaskExited, api.CauseDone
			v.ended[t.Task] = true
		}
	}
}

// mayBegin tells whether all that a task's job awaits is done on record.
func (v *mixed) mayBegin(task string) bool {
	id, _, _ := splitRef(task)
	return !slices.ContainsFunc(v.awaits[id], func(id string) bool { return !v.store.Has("f/" + id) })
}

func (v *mixed) check() {
	v.t.Helper()
	if !v.down {
		v.enrolled = v.roster()
	}
	on := map[string]string{}
	for _, k := range v.ks {
		tasks := k.running()
		if len(tasks) > 0 && !slices.Contains(v.enrolled, k.rep.Machine) {
			v.t.Errorf("%s runs tasks and is on no shard", k.rep.Machine)
		}
		for _, task := range tasks {
			if on[task] != "" {
				v.t.Errorf("%s runs on %s and %s", task, on[task], k.rep.Machine)
			}
			on[task] = k.rep.Machine
		}
	}
}

// running lists the tasks of a job that are on machines.
func (v *mixed) running(id string) []string { return runningOf(v.ks, id) }

// phases is what both nodes tell of a job.
func (v *mixed) phases(id string) (told []string) {
	v.t.Helper()
	st, err := v.old.Job(context.Background(), id)
	if err != nil {
		st.Phase = err.Error()
	}
	return []string{st.Phase, v.phase(v.new, id)}
}

func (v *mixed) bothTell(id, phase string) {
	v.t.Helper()
	v.same(id, v.phases(id), []string{phase, phase})
}

// handOver passes the leadership from one version to the other, each in its way. One
// machine is not heard for the next seconds: only the roster tells of it.
func (v *mixed) handOver() {
	v.t.Helper()
	toNew := v.old.leads()
	if toNew {
		v.mute = v.ks[0]
		v.oldGate.set(true) // it is why it resigns
		v.old.resign("n1")
		v.seconds(1)
		v.oldGate.set(false)
	} else {
		v.newGate.set(true)
		for i := 0; i < 15 && !v.old.leads(); i++ {
			v.seconds(1)
		}
		v.newGate.set(false)
	}
	v.mute = v.ks[0]
	v.seconds(4)
	v.mute = nil
	v.same("one leads after a change", []bool{v.old.leads(), v.newLeads()}, []bool{!toNew, toNew})
}

// outage has the store answer nobody, or all again.
func (v *mixed) outage(down bool) {
	v.store.SetDown(down)
	v.down = down
}

// term is the number of the present term.
func (v *mixed) term() int {
	v.t.Helper()
	e, err := v.store.Get(context.Background(), "term")
	var term oldTerm
	if err := errors.Join(err, json.Unmarshal(e.Value, &term)); err != nil {
		v.t.Fatal(err)
	}
	return int(term.Number)
}

// pipeline submits a job and two that await one another after it, at the node of this
// version.
func (v *mixed) pipeline() {
	v.t.Helper()
	v.awaits = map[string][]string{"job-2": {"job-1"}, "job-3": {"job-2"}}
	v.submit(v.new, spec("job-1", 2))
	v.submit(v.new, after("job-2", "blue", 4, "job-1"))
	v.submit(v.new, after("job-3", "red", 2, "job-2"))
}

// awaiting is how many jobs the leader's status counts that wait for others.
func (v *mixed) awaiting() int {
	v.t.Helper()
	st, err := v.new.Status(context.Background())
	s, ok := st.(Status)
	if err != nil || !ok || s.Leading == nil {
		v.t.Fatalf("no leader's status: %v, %v", st, err)
	}
	return s.Leading.Waits["awaits others"]
}

// cancelNew cancels a job at the node of this version.
func (v *mixed) cancelNew(id string) {
	v.t.Helper()
	st, err := v.new.Cancel(context.Background(), id)
	v.same("cancelled "+id, []any{st.Phase, err}, []any{api.JobCancelled, nil})
}

// The leadership goes to and fro between the versions while jobs of either are
// accepted, run, done and cancelled by either. Each takes over what the other has
// recorded of jobs, progress and roster.
func TestLeadershipPassesBetweenVersions(t *testing.T) {
	for _, oldLeads := range []bool{true, false} {
		for changes := range 4 {
			t.Run(fmt.Sprintf("old leads first %v, %d changes", oldLeads, changes), func(t *testing.T) {
				playMixed(t, 3, oldLeads, func(v *mixed) {
					v.old.submit(spec("job-1", 14))
					v.submit(v.new, spec("job-2", 6))
					v.seconds(4)
					for i := range changes {
						v.old.submit(spec(fmt.Sprint("job-3", i), 40))
						v.submit(v.new, spec(fmt.Sprint("job-4", i), 40))
						v.handOver()
						v.seconds(4)
						v.old.cancel(fmt.Sprint("job-3", i))
						v.cancelNew(fmt.Sprint("job-4", i))
						v.seconds(2 + i)
						v.same("cancelled ones run", len(v.running(fmt.Sprint("job-3", i)))+len(v.running(fmt.Sprint("job-4", i))), 0)
					}
					v.seconds(30)
					v.bothTell("job-1", "done")
					v.bothTell("job-2", "done")
					for i := range changes {
						v.bothTell(fmt.Sprint("job-3", i), "withdrawn")
						v.bothTell(fmt.Sprint("job-4", i), "withdrawn")
					}
					v.same("terms", v.term(), changes+1) // nobody had to begin anew
					v.same("progress left", v.keysUnder(records.CompletionPrefix), []string(nil))
				})
			})
		}
	}
}

// A process of the version in production ends while it leads. Its lease ends, the
// new version leads and writes its records; then what the old one sent is carried
// out late, and the process returns: none of it counts, and it follows.
func TestOldProcessReturns(t *testing.T) {
	for _, late := range []struct {
		name string
		ops  func(v *mixed) []kv.Op
	}{
		{"progress", func(*mixed) []kv.Op { return []kv.Op{{Put: "p/job-1/0", Value: oldCompletionRecord{[]byte{1}}}} }},
		{"end", func(*mixed) []kv.Op {
			return []kv.Op{{Put: "f/job-1", Value: oldTerminalRecord{"done", 30}}, {Delete: "a/job-1"}}
		}},
		{"shard", func(v *mixed) []kv.Op {
			var ops []kv.Op
			for _, key := range v.keysUnder("m/") {
				ops = append(ops, kv.Op{Delete: key})
			}
			return append(ops, kv.Op{Put: "m/1-9", Value: oldShard{}})
		}},
		{"leadership", func(v *mixed) []kv.Op {
			return []kv.Op{{Put: "leader", Value: oldLeaderRecord{"n0", v.old.incarnation}}}
		}},
	} {
		t.Run(late.name, func(t *testing.T) {
			playMixed(t, 3, true, func(v *mixed) {
				v.takes = 12
				v.old.submit(spec("job-1", 30))
				v.seconds(15)
				var modRevision uint64
				v.old.inspect(func(o *oldNode) { modRevision = o.leaderTerm.modRevision })
				v.old.crash()
				for i := 0; i < 40 && !v.newLeads(); i++ {
					v.seconds(1)
				}
				v.seconds(8)
				done := len(v.doneOnRecord("job-1"))
				v.same("some are done", done > 0, true)
				res, err := v.store.Txn(context.Background(), kv.Txn{Compares: []kv.Compare{{Key: "term", ModRevision: modRevision}}, Ops: late.ops(v)})
				v.same("carried out late", []any{res.Succeeded, err}, []any{false, nil})
				v.beginOld()
				v.seconds(10)
				v.same("leads", []bool{v.old.leads(), v.newLeads()}, []bool{false, true})
				v.same("done are fewer", len(v.doneOnRecord("job-1")) < done && v.store.Has("a/job-1"), false)
				v.seconds(30)
				v.bothTell("job-1", "done")
			})
		})
	}
}

// What a leader of this version has written is carried out late, under an old leader
// that has written since: none of it counts.
func TestLateRecordsUnderAnOldLeader(t *testing.T) {
	for _, prefix := range []string{records.CompletionPrefix, records.TerminalPrefix, records.MachinePrefix} {
		t.Run(prefix, func(t *testing.T) {
			playMixed(t, 3, false, func(v *mixed) {
				v.submit(v.new, spec("job-2", 2))
				v.submit(v.new, spec("job-1", 20))
				v.seconds(4)
				v.store.Hold(func(txn kv.Txn) bool { return txn.Records && touches(prefix)(txn) })
				v.ks = append(v.ks, v.worker("i-9", "a", false)) // for the roster
				v.seconds(8)
				v.handOver()
				v.store.Hold(nil)
				v.seconds(6)
				results := v.store.Release()
				v.same("some are late", len(results) > 0, true)
				for _, res := range results {
					v.same("carried out late", res.Succeeded, false)
				}
				v.seconds(3)
				v.handOver()
				v.seconds(40)
				v.bothTell("job-1", "done")
				v.bothTell("job-2", "done")
			})
		})
	}
}

// An upgrade is reversed while jobs are stored that await others. The version in
// production knows nothing of that: it starts them too early, and it cancels none
// with what it needs. That is a limit of going back (docs/operations.md). What is
// tested is that a leader of this version that follows starts nothing more of them
// before its time, keeps what runs, and takes all with a cancelled job; and that
// nothing goes wrong if no job waits any more when the old one leads.
func TestUpgradeReversed(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait says that operators go back once no job awaits others.
		wait bool
		// then is what happens after the new version leads again.
		then func(v *mixed)
		want string
	}{
		{"no job waits any more", true, func(*mixed) {}, "done"},
		{"they go on", false, func(*mixed) {}, "done"},
		{"the first is cancelled", false, func(v *mixed) { v.cancelNew("job-1") }, "withdrawn"},
		{"the first is cancelled at the old node", false, func(v *mixed) { v.same("cancelled", v.old.cancel("job-1"), "withdrawn") }, "withdrawn"},
	} {
		t.Run(c.name, func(t *testing.T) {
			playMixed(t, 3, false, func(v *mixed) {
				v.takes = 25
				v.pipeline()
				v.seconds(3)
				v.same("status counts what awaits others", v.awaiting(), 2)
				for c.wait && v.awaiting() > 0 {
					v.seconds(1)
				}
				v.handOver()
				v.seconds(4)
				early := slices.Clone(v.early)
				v.same("began too early under the old leader", len(early) > 0, !c.wait)
				v.handOver()
				v.seconds(2)
				if !c.wait {
					running := v.running("job-2")
					lost := v.ks[slices.IndexFunc(v.ks, func(k *worker) bool { return len(runningOf([]*worker{k}, "job-2")) > 0 })]
					lost.exit(api.CauseHalted) // what it ran is to begin again, in its time
					v.seconds(2)
					v.same("those that ran elsewhere go on", len(v.running("job-2")) < len(running), true)
				}
				c.then(v)
				v.seconds(4)
				if c.want == "withdrawn" {
					v.same("of cancelled jobs", len(v.running("job-1"))+len(v.running("job-2"))+len(v.running("job-3")), 0)
				}
				v.seconds(150)
				v.same("began too early at last", v.early, early)
				for _, id := range []string{"job-1", "job-2", "job-3"} {
					v.bothTell(id, c.want)
				}
			})
		})
	}
}

// What a leader of this version cancels with a job that it needs goes without a
// change of the cancel key, by which an old leader tells cancellations from what
// another leader has done. It never meets one: they are guarded on the term, and the
// old leader reads the active jobs after its own began. What is left then is
// cancelled by a node of this version that reads it, with the cancel key, or by the
// next leader of this version.
func TestDerivedCancellationsAndAnOldLeader(t *testing.T) {
	all := []string{"job-1", "job-2", "job-3"}
	for _, late := range []bool{false, true} {
		for _, atOld := range []bool{false, true} {
			t.Run(fmt.Sprintf("late %v, cancelled at the old node %v", late, atOld), func(t *testing.T) {
				playMixed(t, 3, false, func(v *mixed) {
					v.takes = 100
					v.pipeline()
					v.seconds(4)
					if late {
						v.store.Hold(func(txn kv.Txn) bool { return txn.Records && touches(records.TerminalPrefix)(txn) })
					}
					if atOld {
						v.same("cancelled", v.old.cancel("job-1"), "withdrawn")
					} else {
						v.cancelNew("job-1")
					}
					v.seconds(3)
					v.same("job-2 is left", v.store.Has("a/job-2"), late)
					v.handOver()
					v.store.Hold(nil)
					v.seconds(4)
					for _, res := range v.store.Release() {
						v.same("carried out late", res.Succeeded, false)
					}
					v.seconds(2)
					if late {
						// Users are told what the old leader knows.
						v.bothTell("job-2", "pending")
						v.bothTell("job-3", "pending")
						st, err := v.new.RecordedJob(context.Background(), "job-2")
						v.same("read at the new node", []any{st.Phase, err}, []any{"withdrawn", nil})
						v.seconds(3)
						v.bothTell("job-2", "withdrawn")
						v.same("runs of job-2", len(v.running("job-2")), 0)
						v.same("terms", v.term(), 2)
						v.new.crash()
						v.old.crash()
						v.beginOld()
						v.beginNew() // they know only what is on record
						v.seconds(10)
						v.handOver()
						v.seconds(3)
					}
					for _, id := range all {
						v.bothTell(id, "withdrawn")
						v.same("runs of "+id, len(v.running(id)), 0)
					}
					if late {
						return
					}
					v.same("terms", v.term(), 2)
				})
			})
		}
	}
}

// Users cancel at a node of one version while the store refuses the leader, which is
// of the other, and then the store is out for longer than a cancellation may take. A
// node of the version in production vouches for the cancellations in its log only if
// the log was whole when the store last answered the leader: one that was started anew
// vouches for nothing.
func TestOldNodeVouchesForCancellations(t *testing.T) {
	elsewhere := func(v *mixed) {
		other := v.startWith("n9", v.store, nil)
		_, err := other.Cancel(context.Background(), "job-1")
		v.same("cancelled by a node that ends", err, nil)
		other.crash()
	}
	for _, c := range []struct {
		name   string
		cancel func(v *mixed)
		// kept says that what was not cancelled lives on.
		kept bool
	}{
		{"cancelled at the old node", func(v *mixed) { v.old.cancel("job-1") }, true},
		{"read by the old node", func(v *mixed) { elsewhere(v); v.same("told", v.phases("job-1")[0], "withdrawn") }, true},
		{"it ends at once and returns", func(v *mixed) { v.old.cancel("job-1"); v.old.crash(); v.beginOld() }, false},
		{"it ends for good", func(v *mixed) { v.old.cancel("job-1"); v.old.crash() }, false},
		{"it cannot be reached", func(v *mixed) { v.l.cut.Store(true); v.old.cancel("job-1") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			playMixed(t, 1, false, func(v *mixed) {
				v.takes = 1000
				v.submit(v.new, spec("job-1", 2))
				v.submit(v.new, spec("job-2", 1))
				v.seconds(4)
				v.same("running", len(v.ks[0].running()), 3)
				v.newGate.set(true)
				c.cancel(v)
				v.outage(true)
				v.seconds(30)
				v.same("of the cancelled job", len(v.running("job-1")), 0)
				v.same("the other job lives on", len(v.running("job-2")) == 1, c.kept)
				v.outage(false)
			})
		})
	}
}

// The log of a node of this version tells an old leader that the store refuses what
// users have cancelled, in the form in which that reads it.
func TestOldLeaderHearsOfCancellations(t *testing.T) {
	playMixed(t, 1, true, func(v *mixed) {
		v.takes = 1000
		for i := range 4 {
			v.submit(v.new, spec(fmt.Sprint("job-", i+1), 1))
		}
		v.seconds(4)
		v.same("running", len(v.ks[0].running()), 4)
		v.oldGate.set(true)
		v.cancelNew("job-1")
		v.seconds(2)
		v.cancelNew("job-2")
		v.cancelNew("job-1")
		v.seconds(2)
		v.same("go on", v.ks[0].running(), []string{"job-3/0", "job-4/0"})
		v.old.inspect(func(o *oldNode) { v.same("read so far", o.logPositions["n1"].Number, 2) })
		v.new.crash()
		v.beginNew()
		v.cancelNew("job-3")
		v.seconds(2)
		v.same("go on beside a new process", v.ks[0].running(), []string{"job-4/0"})
		st, err := v.new.PeerStatus(context.Background(), cancellation.Position{})
		v.same("whole only since it began", []any{st.Cancellations.CompleteFor < 5*time.Second, err}, []any{true, nil})
	})
}

// A leader of this version that follows an old one may find tasks of a job that began
// too early. The job that it needs is cancelled, of which the leader hears from the
// other node only, since the store is out: its tasks end in time all the same.
func TestBegunTooEarlyAndCancelledInAnOutage(t *testing.T) {
	playMixed(t, 3, false, func(v *mixed) {
		v.takes = 1000
		v.pipeline()
		v.seconds(3)
		v.handOver()
		v.seconds(4)
		v.handOver()
		v.seconds(10)
		v.same("begun too early", len(v.running("job-2"))+len(v.running("job-3")), 6)
		v.newGate.set(true)
		v.old.cancel("job-1")
		v.outage(true)
		v.seconds(30)
		v.same("run on", len(v.running("job-1"))+len(v.running("job-2"))+len(v.running("job-3")), 0)
		v.outage(false)
	})
}

// zonesApart lets nothing pass between the nodes, nor between the leader's and the
// machines of the other zone.
func (v *mixed) zonesApart() {
	v.l.cut.Store(true)
	for _, k := range v.ks {
		if k.rep.Zone == farZone {
			v.dead.Store(k.rep.Machine, true)
		}
	}
}

func (v *mixed) zonesJoin() {
	v.l.cut.Store(false)
	v.dead.Clear()
}

// readableByOldLeader checks that what a node of this version relays is read by a
// leader of the version in production, which takes the batch with the highest number.
func (v *mixed) readableByOldLeader(name string) {
	v.t.Helper()
	page, err := v.store.Range(context.Background(), "relay/"+name+"/up/", "", 6)
	var parts []oldPart
	for _, e := range page.Entries {
		var p oldPart
		err = errors.Join(err, json.Unmarshal(e.Value, &p))
		parts = append(parts, p)
	}
	if err != nil || len(parts) == 0 {
		v.t.Fatal("nothing relayed", err)
	}
	highest := slices.MaxFunc(parts, func(a, b oldPart) int { return int(a.Batch) - int(b.Batch) })
	for i := range highest.Of {
		if i >= len(parts) || parts[i].Batch != highest.Batch || parts[i].Index != i {
			v.t.Errorf("record %d of batch %d is missing: %+v", i, highest.Batch, parts)
		}
	}
}

// A cut keeps the leader, of this version, from the old node and from machines that
// report to that. The old node keeps them alive, all in one record, and relays their
// reports in as many records as it needs: the leader does not return them, their tasks
// go on, they are given more, and cancelled ones end. In the cut the node may be
// started anew, or replaced by the new version, or return as the old one: whoever
// relays is heard, whatever earlier batches have left beside it.
func TestOldFollowerBeyondTheCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts int
		then  func(v *mixed)
		// begun is how many of three tasks begin there then.
		begun int
	}{
		{"one record", 1, func(*mixed) {}, 3},
		{"three records", 3, func(*mixed) {}, 3},
		{"nothing relayed", 0, func(*mixed) {}, 0},
		{"started anew", 1, func(v *mixed) { v.old.crash(); v.beginOld() }, 3},
		{"started anew after three records", 3, func(v *mixed) { v.old.crash(); v.beginOld() }, 3},
		{"replaced by the new version after three records", 3, func(v *mixed) { v.replaceOld() }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			playMixed(t, 1, false, func(v *mixed) {
				v.takes = 1000
				v.old.inspect(func(o *oldNode) { o.parts = c.parts })
				for i := range 3 {
					v.ks = append(v.ks, v.worker(fmt.Sprint("i-2", i), farZone, false))
				}
				there := func(id string, tasks int) {
					s := spec(id, tasks)
					s.Zone = farZone
					v.submit(v.new, s)
				}
				v.submit(v.new, spec("job-1", 2))
				there("job-2", 6)
				v.seconds(5)
				v.same("begun", len(v.running("job-1"))+len(v.running("job-2")), 8)
				v.zonesApart()
				v.seconds(20)
				v.same("go on", len(v.running("job-1"))+len(v.running("job-2")), 8)
				c.then(v)
				v.seconds(4)
				there("job-3", 3)
				v.seconds(10)
				v.same("begun beyond the cut", len(v.running("job-3")), c.begun)
				v.same("machines returned", v.cloud.returned, []string(nil))
				if v.heir != nil {
					v.readableByOldLeader("n0")
				}
				v.cancelNew("job-2")
				v.seconds(8)
				v.same("of the cancelled job", len(v.running("job-2")), 0)
				v.zonesJoin()
				v.seconds(5)
				there("job-4", 4)
				v.seconds(8)
				v.same("after the cut", len(v.running("job-3"))+len(v.running("job-4")), 7)
			})
		})
	}
}

// largest is the size of the largest value under a prefix.
func (v *mixed) largest(prefix string) (size int) {
	v.t.Helper()
	page, err := v.store.Range(context.Background(), prefix, "", 1000)
	if err != nil {
		v.t.Fatal(err)
	}
	for _, e := range page.Entries {
		size = max(size, len(e.Value))
	}
	return size
}

// The state service is to have smaller limits, to which this version keeps from the
// start. The one in production reads what this has split, and writes it again in large
// values as long as the service takes them; this one splits them again, also once the
// limits have fallen. Nothing of it is lost: what is on record as done stays so, and
// each machine with tasks is on the roster.
func TestLimitsToComeBetweenVersions(t *testing.T) {
	const tasks, machines = 9000, 12
	next := limits{ops: 6, valueKB: 1, writes: 25}
	for _, oldLeads := range []bool{false, true} {
		t.Run(fmt.Sprintf("old leads first %v", oldLeads), func(t *testing.T) {
			prepare := func(w *cluster) {
				w.state = next.settings()
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 100
				w.store.SetLimits(16<<10, 20)
			}
			playMixedIn(t, prepare, machines, oldLeads, func(v *mixed) {
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.04, 0.04
				v.submit(v.new, s)
				v.takes = 8
				done := 0
				more := func(seconds int) {
					for range seconds {
						v.seconds(1)
						if now := len(v.doneOnRecord("job-1")); now >= done {
							done = now
						} else if v.store.Has("a/job-1") {
							v.t.Fatalf("%d tasks are done on record, and %d were", now, done)
						}
					}
				}
				more(12)
				for i := 0; i < 3 || v.old.leads(); i++ {
					if v.old.leads() {
						v.old.inspect(func(o *oldNode) {
							v.same("one shard", o.leaderTerm.mergeShards(), true)
							v.same("knows all machines", len(o.leaderTerm.machines), machines)
							v.same("knows all that is done", len(o.leaderTerm.jobs["job-1"].done) >= done, true)
						})
						more(4)
						v.same("too large to come", v.largest(records.MachinePrefix) > 1024 && v.largest(records.CompletionPrefix) > 1024, true)
					}
					v.same("on the roster", len(v.roster()), machines)
					v.handOver()
					more(2)
				}
				v.enforce(next)
				v.same("goes on", v.store.Has("a/job-1"), true)
				v.dead.Store(v.ks[0].rep.Machine, true)
				v.ks = v.ks[1:]
				for i := 0; i < 150 && v.store.Has("a/job-1"); i++ {
					more(1)
				}
				v.bothTell("job-1", "done")
				v.seconds(20)
				v.same("on the roster at last", len(v.roster()), machines-1)
				v.same("still too large", v.largest(records.MachinePrefix) > 1024, false)
				v.neverTooLarge()
			})
		})
	}
}

// The reverse: a cut keeps the old leader from a node of this version, which keeps its
// machines alive under its term. It starts nothing, stops what is cancelled, and what it
// writes means to the old leader what it should, though it takes several records.
func TestNewFollowerBeyondTheCut(t *testing.T) {
	prepare := func(w *cluster) { w.state = limits{ops: 6, valueKB: 1, writes: 25}.settings() }
	playMixedIn(t, prepare, 1, true, func(v *mixed) {
		v.takes = 1000
		var there []string
		for i := range 90 {
			there = append(there, fmt.Sprintf("i-with-a-long-name-%06d", i))
			v.ks = append(v.ks, v.worker(there[i], farZone, false))
		}
		v.submit(v.new, spec("job-1", 8))
		v.submit(v.new, spec("job-2", 8))
		v.seconds(4)
		v.same("running", len(v.running("job-1"))+len(v.running("job-2")), 16)
		v.zonesApart()
		v.submit(v.new, spec("job-3", 1))
		v.seconds(20)
		v.same("go on", len(v.running("job-1"))+len(v.running("job-2")), 16)
		page, err := v.store.Range(context.Background(), "keep/", "", 100) // no more are read
		v.same("kept machines in several records", []any{len(page.Entries) > 1, page.More, err}, []any{true, false, nil})
		var kept []string
		for _, e := range page.Entries {
			var k oldLeaseExtension
			v.same(e.Key, []any{json.Unmarshal(e.Value, &k), k.Term}, []any{nil, v.term()})
			kept = append(kept, k.Hosts...)
		}
		slices.Sort(kept)
		v.same("kept machines", kept, there)
		v.readableByOldLeader("n1")
		v.cancelNew("job-1")
		v.seconds(6)
		v.same("of the cancelled job", len(v.running("job-1")), 0)
		v.same("of the other", len(v.running("job-2")), 8)
		v.same("terms", v.term(), 1)
		v.zonesJoin()
		v.seconds(4)
		v.same("after the cut", len(v.running("job-2"))+len(v.running("job-3")), 9)
	})
}

// A record of a lent job, or of a guest, under a leader of the version in production: it
// places nothing of it, calls a lent job pending and not lost, and the next leader of this
// version finds the loan as it was.
func TestLoansUnderAnOldLeader(t *testing.T) {
	playMixed(t, 2, true, func(v *mixed) {
		v.old.skippedRecords = []string{records.ActivePrefix + "job-1", records.ActivePrefix + "job-2"}
		lent, guest := spec("job-1", 2), spec("job-2", 2)
		v.put(records.ActivePrefix+"job-1", records.ActiveRecord{Accepted: time.Now(), LoanCount: 1,
			Lent: &loan.Lent{Host: "cell-b", Epoch: 5, Spec: *lent, Budget: loan.Budget{CPUs: 2}, Since: time.Now()}})
		v.put(records.ActivePrefix+"job-2", records.ActiveRecord{Accepted: time.Now(),
			Guest: &loan.Guest{Home: "cell-b", Epoch: 6, Spec: *guest, Budget: loan.Budget{CPUs: 2}, Since: time.Now()}})
		v.seconds(8)
		v.same("begun under the old leader", len(v.running("job-1"))+len(v.running("job-2")), 0)
		v.bothTell("job-1", "pending")
		v.handOver()
		v.seconds(4)
		v.new.look(func(c *Controller) {
			lt := c.leaderTerm
			v.same("lent", []any{lt.jobs["job-1"].lent.Host, lt.teams["red"].UsedCPUs}, []any{"cell-b", 2.0})
			v.same("guest", lt.jobs["job-2"].guest.Home, "cell-b")
		})
		v.same("begun of the lent job", len(v.running("job-1")), 0)
	})
}
