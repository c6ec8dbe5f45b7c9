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
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// mixedCluster is a deployment of two nodes, one of the version in production and one of this, and
// machines that send their heartbeats to whichever node responds.
type mixedCluster struct {
	*simulatedCluster
	links *links
	old   *oldNode
	new   *node
	// oldGate and newGate are their accesses to the store.
	oldGate, newGate *gate
	agents           []*worker
	// taskSeconds is for how many seconds each task runs, secondsRun for how many it has run,
	// by machine and attempt.
	taskSeconds int
	secondsRun  map[string]int
	// completed are the tasks that have completed.
	completed map[string]bool
	// silentAgent is a machine that sends no heartbeats, or nil.
	silentAgent *worker
	// dependencies are the jobs that others depend on; startedEarly are the tasks that started
	// before these were done on record.
	dependencies map[string][]string
	startedEarly []string
	// lastAcknowledged is when a machine's last heartbeat with a response was sent; a task
	// lease later it kills its tasks.
	lastAcknowledged map[string]time.Time
	// successor is the node that has replaced the old one, or nil.
	successor *node
	// storeDown is set during an outage of the store; registered is what the registry last
	// held.
	storeDown      bool
	lastRegistered []string
}

// followerZone is the zone of the node that does not lead, and of the machines on its side of a
// partition.
const followerZone = "b"

// simulateMixedCluster runs a test with two versions and some machines; oldLeads selects which of
// them leads first. The old node is n0.
func simulateMixedCluster(t *testing.T, machines int, oldLeads bool, f func(v *mixedCluster)) {
	t.Helper()
	simulatePreparedMixedCluster(t, func(*simulatedCluster) {}, machines, oldLeads, f)
}

// simulatePreparedMixedCluster is simulateMixedCluster in a cluster that is prepared first.
func simulatePreparedMixedCluster(t *testing.T, prepare func(w *simulatedCluster), machines int, oldLeads bool, f func(v *mixedCluster)) {
	t.Helper()
	simulate(t, func(w *simulatedCluster) {
		prepare(w)
		v := &mixedCluster{
			simulatedCluster: w,
			links:            &links{},
			taskSeconds:      5,
			secondsRun:       map[string]int{},
			lastAcknowledged: map[string]time.Time{},
			completed:        map[string]bool{},
			oldGate:          &gate{Fake: w.store},
			newGate:          &gate{Fake: w.store},
		}
		if oldLeads {
			v.startOldNode()
		}
		v.startNewNode()
		if !oldLeads {
			v.startOldNode()
		}
		for i := range machines {
			v.agents = append(v.agents, w.worker(fmt.Sprint("i-", i+1), "a", false))
		}
		time.Sleep(10 * time.Second)
		w.checkEqual("the old node leads", v.old.leads(), oldLeads)
		f(v)
		v.old.crash()
		v.new.crash()
		if v.successor != nil {
			v.successor.crash()
		}
		time.Sleep(time.Second)
	})
}

func (v *mixedCluster) startOldNode() {
	v.old = v.startOld("n0", v.oldGate, v.links)
	time.Sleep(500 * time.Millisecond)
}

func (v *mixedCluster) startNewNode() {
	v.new = v.links.add("n1", v.startWith("n1", v.newGate, v.links))
}

// newLeads reports whether the node of this version leads.
func (v *mixedCluster) newLeads() (leads bool) {
	v.new.inspect(func(c *Controller) { leads = c.holdsLease() && c.leaderTerm.loaded })
	return leads
}

// runSeconds lets machines send heartbeats and tasks run. No task is on two machines, none
// that has completed starts again, and each machine with tasks is registered.
func (v *mixedCluster) runSeconds(n int) {
	v.t.Helper()
	for range n {
		for _, k := range v.agents {
			if name := k.status.Machine; k != v.silentAgent && k.heartbeatAny(v.reachableNodes(k)...) {
				v.lastAcknowledged[name] = time.Now()
			} else if time.Since(v.lastAcknowledged[name]) >= faultTaskLease {
				k.expireLease()
			}
			v.advanceTasks(k)
		}
		v.checkInvariants()
		time.Sleep(time.Second)
	}
}

// reachableNodes are the nodes that a machine reaches.
func (v *mixedCluster) reachableNodes(k *worker) []heartbeatReceiver {
	var first heartbeatReceiver = v.old
	if v.successor != nil {
		first = v.successor
	}
	// In a partition the far zone has the node that does not lead.
	switch far := k.status.Zone == followerZone; {
	case !v.links.partitioned.Load():
		return []heartbeatReceiver{first, v.new}
	case far == v.old.leads():
		return []heartbeatReceiver{v.new}
	}
	return []heartbeatReceiver{first}
}

// upgradeOldNode ends the old node and starts this version in its place.
func (v *mixedCluster) upgradeOldNode() {
	v.old.crash()
	v.successor = v.links.add("n0", v.startWith("n0", v.oldGate, v.links))
}

// heartbeatAny sends one heartbeat to each node in turn until one responds.
func (k *worker) heartbeatAny(nodes ...heartbeatReceiver) bool {
	for _, n := range nodes {
		if commands, err := k.sendHeartbeat(n); err == nil {
			k.applyCommands(commands)
			return true
		}
	}
	return false
}

// expireLease ends the tasks, and begins a new agent epoch if there were any.
func (k *worker) expireLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.status.Tasks) > 0 {
		k.status.Tasks = nil
		k.status.AgentEpoch++
	}
}

// advanceTasks lets a machine's tasks run for a second.
func (v *mixedCluster) advanceTasks(k *worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		t := &k.status.Tasks[i]
		key := fmt.Sprint(k.status.Machine, t.Attempt)
		if t.Phase == api.TaskExited {
			continue
		}
		if v.secondsRun[key] == 0 && v.completed[t.Task] {
			v.t.Errorf("%s starts again on %s after it has completed", t.Task, k.status.Machine)
		}
		if v.secondsRun[key] == 0 && !v.mayStart(t.Task) {
			v.startedEarly = append(v.startedEarly, t.Task)
		}
		if v.secondsRun[key]++; v.secondsRun[key] > v.taskSeconds {
			t.Phase, t.Cause = api.TaskExited, api.CauseDone
			v.completed[t.Task] = true
		}
	}
}

// mayStart reports whether all that a task's job depends on is done on record.
func (v *mixedCluster) mayStart(task string) bool {
	id, _, _ := cluster.ParseTaskRef(task)
	return !slices.ContainsFunc(v.dependencies[id], func(id string) bool { return !v.store.Has("f/" + id) })
}

// checkInvariants checks that no task is on two machines, and that each machine with tasks is registered.
func (v *mixedCluster) checkInvariants() {
	v.t.Helper()
	if !v.storeDown {
		v.lastRegistered = v.registeredMachines()
	}
	machineOf := map[string]string{}
	for _, k := range v.agents {
		tasks := k.running()
		if len(tasks) > 0 && !slices.Contains(v.lastRegistered, k.status.Machine) {
			v.t.Errorf("%s runs tasks and is on no shard of the registry", k.status.Machine)
		}
		for _, task := range tasks {
			if machineOf[task] != "" {
				v.t.Errorf("%s runs on %s and %s", task, machineOf[task], k.status.Machine)
			}
			machineOf[task] = k.status.Machine
		}
	}
}

// runningTasks lists the tasks of a job that are on machines.
func (v *mixedCluster) runningTasks(id string) []string { return runningTasksOf(v.agents, id) }

// countRunning counts the tasks of some jobs that are on machines.
func (v *mixedCluster) countRunning(ids ...string) (count int) {
	for _, id := range ids {
		count += len(v.runningTasks(id))
	}
	return count
}

// phases are a job's phases as the two nodes answer them, or the errors' texts.
func (v *mixedCluster) phases(id string) []string {
	v.t.Helper()
	st, err := v.old.Job(context.Background(), id)
	if err != nil {
		st.Phase = err.Error()
	}
	return []string{st.Phase, v.phase(v.new, id)}
}

// checkPhases checks that both nodes answer the same phase of a job.
func (v *mixedCluster) checkPhases(id, phase string) {
	v.t.Helper()
	v.checkEqual(id, v.phases(id), []string{phase, phase})
}

// handOver makes the other version lead, each handing over in its way. One machine sends no
// heartbeats for the next seconds: only the registry has it.
func (v *mixedCluster) handOver() {
	v.t.Helper()
	toNew := v.old.leads()
	if toNew {
		v.silentAgent = v.agents[0]
		v.oldGate.set(true) // which is why it resigns
		v.old.resign("n1")
		v.runSeconds(1)
		v.oldGate.set(false)
	} else {
		v.newGate.set(true)
		for i := 0; i < 15 && !v.old.leads(); i++ {
			v.runSeconds(1)
		}
		v.newGate.set(false)
	}
	v.silentAgent = v.agents[0]
	v.runSeconds(4)
	v.silentAgent = nil
	v.checkEqual("leaders after a handover", []bool{v.old.leads(), v.newLeads()}, []bool{!toNew, toNew})
}

// setStoreDown begins an outage of the store for all, or ends it.
func (v *mixedCluster) setStoreDown(down bool) {
	v.store.SetDown(down)
	v.storeDown = down
}

// term is the number of the present term.
func (v *mixedCluster) term() int {
	v.t.Helper()
	e, err := v.store.Get(context.Background(), "term")
	var term oldTerm
	if err := errors.Join(err, json.Unmarshal(e.Value, &term)); err != nil {
		v.t.Fatal(err)
	}
	return int(term.Number)
}

// submitPipeline submits a job and two that depend on it, one after another, at the node of
// this version.
func (v *mixedCluster) submitPipeline() {
	v.t.Helper()
	v.dependencies = map[string][]string{"job-2": {"job-1"}, "job-3": {"job-2"}}
	v.submit(v.new, spec("job-1", 2))
	v.submit(v.new, dependentSpec("job-2", "blue", 4, "job-1"))
	v.submit(v.new, dependentSpec("job-3", "red", 2, "job-2"))
}

// countAwaitingDependencies is the number of jobs that the leader's status counts as pending for their
// dependencies.
func (v *mixedCluster) countAwaitingDependencies() int {
	v.t.Helper()
	st, err := v.new.Status(context.Background())
	s, ok := st.(Status)
	if err != nil || !ok || s.Leading == nil {
		v.t.Fatalf("no leader's status: %v, %v", st, err)
	}
	return s.Leading.Waits["awaits others"]
}

// cancelAtNewNode cancels a job at the node of this version.
func (v *mixedCluster) cancelAtNewNode(id string) {
	v.t.Helper()
	st, err := v.new.Cancel(context.Background(), id)
	v.checkEqual("cancelled "+id, []any{st.Phase, err}, []any{api.JobCancelled, nil})
}

// The versions take turns to lead while jobs of either are accepted, run, done and cancelled
// by either. Each takes over the jobs, completion records and registry of the other.
func TestVersionsTakeTurnsToLead(t *testing.T) {
	for _, oldLeads := range []bool{true, false} {
		for changes := range 4 {
			t.Run(fmt.Sprintf("old leads first %v, %d changes", oldLeads, changes), func(t *testing.T) {
				simulateMixedCluster(t, 3, oldLeads, func(v *mixedCluster) {
					v.old.submit(spec("job-1", 14))
					v.submit(v.new, spec("job-2", 6))
					v.runSeconds(4)
					for i := range changes {
						v.old.submit(spec(fmt.Sprint("job-3", i), 40))
						v.submit(v.new, spec(fmt.Sprint("job-4", i), 40))
						v.handOver()
						v.runSeconds(4)
						v.old.cancel(fmt.Sprint("job-3", i))
						v.cancelAtNewNode(fmt.Sprint("job-4", i))
						v.runSeconds(2 + i)
						running := v.countRunning(fmt.Sprint("job-3", i), fmt.Sprint("job-4", i))
						v.checkEqual("tasks of cancelled jobs", running, 0)
					}
					v.runSeconds(30)
					v.checkPhases("job-1", "done")
					v.checkPhases("job-2", "done")
					for i := range changes {
						v.checkPhases(fmt.Sprint("job-3", i), "withdrawn")
						v.checkPhases(fmt.Sprint("job-4", i), "withdrawn")
					}
					v.checkEqual("terms", v.term(), changes+1) // no node had to begin a new one
					v.checkEqual("completion records left", v.keysUnder(records.CompletionPrefix), []string(nil))
				})
			})
		}
	}
}

// A process of the version in production ends while it leads. Its leader lease expires, the
// new version leads and writes its records; then the transactions that the old one sent are
// applied late, and the process restarts: they all fail, and it follows.
func TestOldProcessRestarts(t *testing.T) {
	for _, late := range []struct {
		name string
		ops  func(v *mixedCluster) []kv.Op
	}{
		{"completion record", func(*mixedCluster) []kv.Op {
			return []kv.Op{{Put: "p/job-1/0", Value: oldCompletionRecord{[]byte{1}}}}
		}},
		{"terminal record", func(*mixedCluster) []kv.Op {
			return []kv.Op{{Put: "f/job-1", Value: oldTerminalRecord{"done", 30}}, {Delete: "a/job-1"}}
		}},
		{"shard", func(v *mixedCluster) []kv.Op {
			var ops []kv.Op
			for _, key := range v.keysUnder("m/") {
				ops = append(ops, kv.Op{Delete: key})
			}
			return append(ops, kv.Op{Put: "m/1-9", Value: oldShard{}})
		}},
		{"leader record", func(v *mixedCluster) []kv.Op {
			return []kv.Op{{Put: "leader", Value: oldLeaderRecord{"n0", v.old.incarnation}}}
		}},
	} {
		t.Run(late.name, func(t *testing.T) {
			simulateMixedCluster(t, 3, true, func(v *mixedCluster) {
				v.taskSeconds = 12
				v.old.submit(spec("job-1", 30))
				v.runSeconds(15)
				var modRevision uint64
				v.old.inspect(func(o *oldNode) { modRevision = o.leaderTerm.modRevision })
				v.old.crash()
				for i := 0; i < 40 && !v.newLeads(); i++ {
					v.runSeconds(1)
				}
				v.runSeconds(8)
				done := len(v.recordedTasks("job-1"))
				v.checkEqual("some are done", done > 0, true)
				res, err := v.store.Txn(context.Background(), kv.Txn{
					Compares: []kv.Compare{{Key: "term", ModRevision: modRevision}},
					Ops:      late.ops(v),
				})
				v.checkEqual("applied late", []any{res.Succeeded, err}, []any{false, nil})
				v.startOldNode()
				v.runSeconds(10)
				v.checkEqual("leads", []bool{v.old.leads(), v.newLeads()}, []bool{false, true})
				v.checkEqual("done are fewer", len(v.recordedTasks("job-1")) < done && v.store.Has("a/job-1"), false)
				v.runSeconds(30)
				v.checkPhases("job-1", "done")
			})
		})
	}
}

// The transactions of a leader of this version are applied late, under an old leader that has
// written since: they all fail.
func TestLateRecordsUnderOldLeader(t *testing.T) {
	for _, prefix := range []string{records.CompletionPrefix, records.TerminalPrefix, records.MachinePrefix} {
		t.Run(prefix, func(t *testing.T) {
			simulateMixedCluster(t, 3, false, func(v *mixedCluster) {
				v.submit(v.new, spec("job-2", 2))
				v.submit(v.new, spec("job-1", 20))
				v.runSeconds(4)
				v.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && writesPrefix(prefix)(txn) })
				v.agents = append(v.agents, v.worker("i-9", "a", false)) // to be registered
				v.runSeconds(8)
				v.handOver()
				v.store.Delay(nil)
				v.runSeconds(6)
				results := v.store.ApplyDelayed()
				v.checkEqual("some are late", len(results) > 0, true)
				for _, res := range results {
					v.checkEqual("applied late", res.Succeeded, false)
				}
				v.runSeconds(3)
				v.handOver()
				v.runSeconds(40)
				v.checkPhases("job-1", "done")
				v.checkPhases("job-2", "done")
			})
		})
	}
}

// An upgrade is rolled back while jobs with dependencies are stored. The version in
// production knows no dependencies: it starts such jobs too early, and it cancels none with
// a job that it depends on. That is a limit of a rollback (docs/operations.md). What is
// tested is that a leader of this version that follows starts nothing more of them before
// its time, keeps what runs, and cancels all that depend on a cancelled job; and that
// nothing goes wrong if no job is pending for others any more when the old one leads.
func TestUpgradeRolledBack(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is set if operators roll back once no job is pending for others.
		wait bool
		// then is what happens after the new version leads again.
		then func(v *mixedCluster)
		want string
	}{
		{"no job is pending any more", true, func(*mixedCluster) {}, "done"},
		{"they go on", false, func(*mixedCluster) {}, "done"},
		{"the first is cancelled", false, func(v *mixedCluster) { v.cancelAtNewNode("job-1") }, "withdrawn"},
		{"the first is cancelled at the old node", false, func(v *mixedCluster) {
			v.checkEqual("cancelled", v.old.cancel("job-1"), "withdrawn")
		}, "withdrawn"},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateMixedCluster(t, 3, false, func(v *mixedCluster) {
				v.taskSeconds = 25
				v.submitPipeline()
				v.runSeconds(3)
				v.checkEqual("pending for others by the status", v.countAwaitingDependencies(), 2)
				for c.wait && v.countAwaitingDependencies() > 0 {
					v.runSeconds(1)
				}
				v.handOver()
				v.runSeconds(4)
				early := slices.Clone(v.startedEarly)
				v.checkEqual("started too early under the old leader", len(early) > 0, !c.wait)
				v.handOver()
				v.runSeconds(2)
				if !c.wait {
					running := v.runningTasks("job-2")
					halted := v.agents[slices.IndexFunc(v.agents, func(k *worker) bool {
						return len(runningTasksOf([]*worker{k}, "job-2")) > 0
					})]
					halted.exit(api.CauseHalted) // its tasks must start again, in their time
					v.runSeconds(2)
					v.checkEqual("fewer tasks than before", len(v.runningTasks("job-2")) < len(running), true)
				}
				c.then(v)
				v.runSeconds(4)
				if c.want == "withdrawn" {
					v.checkEqual("tasks of cancelled jobs", v.countRunning("job-1", "job-2", "job-3"), 0)
				}
				v.runSeconds(150)
				v.checkEqual("started too early in the end", v.startedEarly, early)
				for _, id := range []string{"job-1", "job-2", "job-3"} {
					v.checkPhases(id, c.want)
				}
			})
		})
	}
}

// A leader of this version that cancels a job with one that it depends on does not write the
// cancel key, by which an old leader tells cancellations from what another leader has done.
// The old leader never sees such a cancellation: it is conditional on the term, and the old
// leader reads the active jobs after its own began. What is left then is cancelled by a node
// of this version that reads it, with the cancel key, or by the next leader of this version.
func TestDerivedCancellationsAndOldLeader(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, atOld := range []bool{false, true} {
			t.Run(fmt.Sprintf("late %v, cancelled at the old node %v", late, atOld), func(t *testing.T) {
				simulateMixedCluster(t, 3, false, func(v *mixedCluster) { v.testDerivedCancellations(late, atOld) })
			})
		}
	}
}

// testDerivedCancellations cancels the first job of a pipeline, at the old or at the new node,
// and then has the old node lead. If late is set, the transactions that cancel the others
// are delayed until then.
func (v *mixedCluster) testDerivedCancellations(late, atOld bool) {
	v.t.Helper()
	v.taskSeconds = 100
	v.submitPipeline()
	v.runSeconds(4)
	if late {
		v.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && writesPrefix(records.TerminalPrefix)(txn) })
	}
	if atOld {
		v.checkEqual("cancelled", v.old.cancel("job-1"), "withdrawn")
	} else {
		v.cancelAtNewNode("job-1")
	}
	v.runSeconds(3)
	v.checkEqual("job-2 is left", v.store.Has("a/job-2"), late)
	v.handOver()
	v.store.Delay(nil)
	v.runSeconds(4)
	for _, res := range v.store.ApplyDelayed() {
		v.checkEqual("applied late", res.Succeeded, false)
	}
	v.runSeconds(2)
	if late {
		v.checkRemainingCancelled()
	}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		v.checkPhases(id, "withdrawn")
		v.checkEqual("running tasks of "+id, len(v.runningTasks(id)), 0)
	}
	if !late {
		v.checkEqual("terms", v.term(), 2)
	}
}

// checkRemainingCancelled checks that jobs which an old leader does not know to be cancelled end with a
// read at the new node, and with the next leader of this version.
func (v *mixedCluster) checkRemainingCancelled() {
	v.t.Helper()
	// Users get what the old leader knows.
	v.checkPhases("job-2", "pending")
	v.checkPhases("job-3", "pending")
	st, err := v.new.RecordedJob(context.Background(), "job-2")
	v.checkEqual("read at the new node", []any{st.Phase, err}, []any{"withdrawn", nil})
	v.runSeconds(3)
	v.checkPhases("job-2", "withdrawn")
	v.checkEqual("running tasks of job-2", len(v.runningTasks("job-2")), 0)
	v.checkEqual("terms", v.term(), 2)
	v.new.crash()
	v.old.crash()
	v.startOldNode()
	v.startNewNode() // they know only what is on record
	v.runSeconds(10)
	v.handOver()
	v.runSeconds(3)
}

// Users cancel at a node of one version while the store rejects the leader, which is of the
// other, and then the store is down for longer than a cancellation may take. A node of the
// version in production confirms the cancellations in its log only if the log was complete
// when the store last responded to the leader: one that has restarted confirms nothing.
func TestOldNodeConfirmsCancellations(t *testing.T) {
	elsewhere := func(v *mixedCluster) {
		other := v.startWith("n9", v.store, nil)
		_, err := other.Cancel(context.Background(), "job-1")
		v.checkEqual("cancelled by a node that ends", err, nil)
		other.crash()
	}
	for _, c := range []struct {
		name   string
		cancel func(v *mixedCluster)
		// kept is set if the job that was not cancelled goes on.
		kept bool
	}{
		{"cancelled at the old node", func(v *mixedCluster) { v.old.cancel("job-1") }, true},
		{"read by the old node", func(v *mixedCluster) {
			elsewhere(v)
			v.checkEqual("phase at the old node", v.phases("job-1")[0], "withdrawn")
		}, true},
		{"it restarts at once", func(v *mixedCluster) {
			v.old.cancel("job-1")
			v.old.crash()
			v.startOldNode()
		}, false},
		{"it ends for good", func(v *mixedCluster) { v.old.cancel("job-1"); v.old.crash() }, false},
		{"it cannot be reached", func(v *mixedCluster) { v.links.partitioned.Store(true); v.old.cancel("job-1") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateMixedCluster(t, 1, false, func(v *mixedCluster) {
				v.taskSeconds = 1000
				v.submit(v.new, spec("job-1", 2))
				v.submit(v.new, spec("job-2", 1))
				v.runSeconds(4)
				v.checkEqual("running", len(v.agents[0].running()), 3)
				v.newGate.set(true)
				c.cancel(v)
				v.setStoreDown(true)
				v.runSeconds(30)
				v.checkEqual("tasks of the cancelled job", len(v.runningTasks("job-1")), 0)
				v.checkEqual("the other job goes on", len(v.runningTasks("job-2")) == 1, c.kept)
				v.setStoreDown(false)
			})
		})
	}
}

// An old leader that the store rejects learns what users have cancelled from the cancellation
// log of a node of this version, in the form in which it reads that.
func TestOldLeaderReadsCancellationLog(t *testing.T) {
	simulateMixedCluster(t, 1, true, func(v *mixedCluster) {
		v.taskSeconds = 1000
		for i := range 4 {
			v.submit(v.new, spec(fmt.Sprint("job-", i+1), 1))
		}
		v.runSeconds(4)
		v.checkEqual("running", len(v.agents[0].running()), 4)
		v.oldGate.set(true)
		v.cancelAtNewNode("job-1")
		v.runSeconds(2)
		v.cancelAtNewNode("job-2")
		v.cancelAtNewNode("job-1")
		v.runSeconds(2)
		v.checkEqual("running after cancellations", v.agents[0].running(), []string{"job-3/0", "job-4/0"})
		v.old.inspect(func(o *oldNode) { v.checkEqual("read so far", o.logPositions["n1"].Number, 2) })
		v.new.crash()
		v.startNewNode()
		v.cancelAtNewNode("job-3")
		v.runSeconds(2)
		v.checkEqual("running beside a new process", v.agents[0].running(), []string{"job-4/0"})
		st, err := v.new.PeerStatus(context.Background(), cancellation.Position{})
		sinceStart := st.Cancellations.CompleteFor < 5*time.Second
		v.checkEqual("complete only since it started", []any{sinceStart, err}, []any{true, nil})
	})
}

// A leader of this version that follows an old one may find tasks of a job that started too
// early. The job that it depends on is cancelled, which the leader learns from the other node
// only, since the store is down: its tasks end in time all the same.
func TestStartedTooEarlyAndCancelledInOutage(t *testing.T) {
	simulateMixedCluster(t, 3, false, func(v *mixedCluster) {
		v.taskSeconds = 1000
		v.submitPipeline()
		v.runSeconds(3)
		v.handOver()
		v.runSeconds(4)
		v.handOver()
		v.runSeconds(10)
		v.checkEqual("started too early", v.countRunning("job-2", "job-3"), 6)
		v.newGate.set(true)
		v.old.cancel("job-1")
		v.setStoreDown(true)
		v.runSeconds(30)
		v.checkEqual("tasks of cancelled jobs", v.countRunning("job-1", "job-2", "job-3"), 0)
		v.setStoreDown(false)
	})
}

// partitionZones cuts the links between the nodes, and between the leader and the machines of
// the other zone.
func (v *mixedCluster) partitionZones() {
	v.links.partitioned.Store(true)
	for _, k := range v.agents {
		if k.status.Zone == followerZone {
			v.dead.Store(k.status.Machine, true)
		}
	}
}

// healZones ends the partition of the zones.
func (v *mixedCluster) healZones() {
	v.links.partitioned.Store(false)
	v.dead.Clear()
}

// checkUplinkReadable checks that a leader of the version in production, which takes the batch
// with the highest number, can read what a node of this version relays.
func (v *mixedCluster) checkUplinkReadable(name string) {
	v.t.Helper()
	page, err := v.store.Range(context.Background(), "relay/"+name+"/up/", "", 6)
	parts := make([]oldPart, 0, len(page.Entries))
	for _, e := range page.Entries {
		var p oldPart
		err = errors.Join(err, json.Unmarshal(e.Value, &p))
		parts = append(parts, p)
	}
	if err != nil || len(parts) == 0 {
		v.t.Fatalf("got %d parts of the uplink, %v, want some", len(parts), err)
	}
	highest := slices.MaxFunc(parts, func(a, b oldPart) int { return int(a.Batch) - int(b.Batch) })
	for i := range highest.Of {
		if i >= len(parts) || parts[i].Batch != highest.Batch || parts[i].Index != i {
			v.t.Errorf("record %d of batch %d is missing: %+v", i, highest.Batch, parts)
		}
	}
}

// A partition separates the leader, of this version, from the old node and from machines that
// report to it. The old node renews their leases on behalf of the leader, all in one record,
// and relays their heartbeats in as many records as it needs: the leader does not terminate
// them, their tasks go on, they are given more, and cancelled ones end. Meanwhile the node may
// restart, or be replaced by the new version: the leader reads whichever node relays, whatever
// records earlier batches have left beside its own.
func TestOldFollowerInPartition(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts int
		then  func(v *mixedCluster)
		// started is how many of three tasks start there then.
		started int
	}{
		{"one record", 1, func(*mixedCluster) {}, 3},
		{"three records", 3, func(*mixedCluster) {}, 3},
		{"nothing relayed", 0, func(*mixedCluster) {}, 0},
		{"restarted", 1, func(v *mixedCluster) { v.old.crash(); v.startOldNode() }, 3},
		{"restarted after three records", 3, func(v *mixedCluster) { v.old.crash(); v.startOldNode() }, 3},
		{"replaced by the new version after three records", 3, func(v *mixedCluster) { v.upgradeOldNode() }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateMixedCluster(t, 1, false, func(v *mixedCluster) {
				v.taskSeconds = 1000
				v.old.inspect(func(o *oldNode) { o.uplinkRecords = c.parts })
				for i := range 3 {
					v.agents = append(v.agents, v.worker(fmt.Sprint("i-2", i), followerZone, false))
				}
				submitFar := func(id string, tasks int) {
					s := spec(id, tasks)
					s.Zone = followerZone
					v.submit(v.new, s)
				}
				v.submit(v.new, spec("job-1", 2))
				submitFar("job-2", 6)
				v.runSeconds(5)
				v.checkEqual("started", v.countRunning("job-1", "job-2"), 8)
				v.partitionZones()
				v.runSeconds(20)
				v.checkEqual("running in the partition", v.countRunning("job-1", "job-2"), 8)
				c.then(v)
				v.runSeconds(4)
				submitFar("job-3", 3)
				v.runSeconds(10)
				v.checkEqual("started in the far zone", len(v.runningTasks("job-3")), c.started)
				v.checkEqual("machines terminated", v.cloud.terminatedNames, []string(nil))
				if v.successor != nil {
					v.checkUplinkReadable("n0")
				}
				v.cancelAtNewNode("job-2")
				v.runSeconds(8)
				v.checkEqual("tasks of the cancelled job", len(v.runningTasks("job-2")), 0)
				v.healZones()
				v.runSeconds(5)
				submitFar("job-4", 4)
				v.runSeconds(8)
				v.checkEqual("running after the partition", v.countRunning("job-3", "job-4"), 7)
			})
		})
	}
}

// maxValueSize is the size of the largest value under a prefix.
func (v *mixedCluster) maxValueSize(prefix string) (size int) {
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

// The key-value store will have smaller limits, to which this version keeps from the start.
// The one in production reads what this has split, and writes it again in large values as
// long as the store accepts them; this one splits them again, also once the limits have
// fallen. Nothing of it is lost: what is on record as done stays so, and each machine with
// tasks is registered.
func TestFutureLimitsBetweenVersions(t *testing.T) {
	const tasks, machines = 9000, 12
	next := limits{txnOps: 6, valueKB: 1, writeRPS: 25}
	for _, oldLeads := range []bool{false, true} {
		t.Run(fmt.Sprintf("old leads first %v", oldLeads), func(t *testing.T) {
			prepare := func(w *simulatedCluster) {
				w.state = next.kvLimits()
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 100
				w.store.SetLimits(16<<10, 20)
			}
			simulatePreparedMixedCluster(t, prepare, machines, oldLeads, func(v *mixedCluster) {
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.04, 0.04
				v.submit(v.new, s)
				v.taskSeconds = 8
				done := v.runCountingDone(12, 0)
				for i := 0; i < 3 || v.old.leads(); i++ {
					if v.old.leads() {
						done = v.writeLargeValues(machines, done)
					}
					v.checkEqual("registered", len(v.registeredMachines()), machines)
					v.handOver()
					done = v.runCountingDone(2, done)
				}
				v.enforceLimits(next)
				v.checkEqual("job-1 is active", v.store.Has("a/job-1"), true)
				v.dead.Store(v.agents[0].status.Machine, true)
				v.agents = v.agents[1:]
				for i := 0; i < 150 && v.store.Has("a/job-1"); i++ {
					done = v.runCountingDone(1, done)
				}
				v.checkPhases("job-1", "done")
				v.runSeconds(20)
				v.checkEqual("registered in the end", len(v.registeredMachines()), machines-1)
				v.checkEqual("still too large", v.maxValueSize(records.MachinePrefix) > 1024, false)
				v.checkNothingTooLarge()
			})
		})
	}
}

// runCountingDone runs some seconds, and returns how many tasks of job-1 are done on record,
// which must not become fewer than before while it is active.
func (v *mixedCluster) runCountingDone(seconds, done int) int {
	v.t.Helper()
	for range seconds {
		v.runSeconds(1)
		if now := len(v.recordedTasks("job-1")); now >= done {
			done = now
		} else if v.store.Has("a/job-1") {
			v.t.Fatalf("got %d tasks done on record, want at least the %d of before", now, done)
		}
	}
	return done
}

// writeLargeValues has the old leader, which must know all machines and the tasks done, write
// values above the limits to come.
func (v *mixedCluster) writeLargeValues(machines, done int) int {
	v.t.Helper()
	v.old.inspect(func(o *oldNode) {
		v.checkEqual("one shard", o.leaderTerm.mergeShards(), true)
		v.checkEqual("knows all machines", len(o.leaderTerm.machines), machines)
		v.checkEqual("knows all that is done", len(o.leaderTerm.jobs["job-1"].done) >= done, true)
	})
	done = v.runCountingDone(4, done)
	tooLarge := v.maxValueSize(records.MachinePrefix) > 1024 && v.maxValueSize(records.CompletionPrefix) > 1024
	v.checkEqual("above the limits to come", tooLarge, true)
	return done
}

// The reverse: a partition separates the old leader from a node of this version, which renews
// the leases of its machines under the leader's term. It starts nothing, stops what is
// cancelled, and what it writes means to the old leader what it should, though it takes
// several records.
func TestNewFollowerInPartition(t *testing.T) {
	prepare := func(w *simulatedCluster) { w.state = limits{txnOps: 6, valueKB: 1, writeRPS: 25}.kvLimits() }
	simulatePreparedMixedCluster(t, prepare, 1, true, func(v *mixedCluster) {
		v.taskSeconds = 1000
		far := make([]string, 90)
		for i := range far {
			far[i] = fmt.Sprintf("i-with-a-long-name-%06d", i)
			v.agents = append(v.agents, v.worker(far[i], followerZone, false))
		}
		v.submit(v.new, spec("job-1", 8))
		v.submit(v.new, spec("job-2", 8))
		v.runSeconds(4)
		v.checkEqual("running", v.countRunning("job-1", "job-2"), 16)
		v.partitionZones()
		v.submit(v.new, spec("job-3", 1))
		v.runSeconds(20)
		v.checkEqual("running in the partition", v.countRunning("job-1", "job-2"), 16)
		page, err := v.store.Range(context.Background(), "keep/", "", 100) // no more are read
		v.checkEqual("several lease extensions", []any{len(page.Entries) > 1, page.More, err}, []any{true, false, nil})
		renewed := make([]string, 0, len(far))
		for _, e := range page.Entries {
			var extension oldLeaseExtension
			err := json.Unmarshal(e.Value, &extension)
			v.checkEqual(e.Key, []any{err, extension.Term}, []any{nil, v.term()})
			renewed = append(renewed, extension.Hosts...)
		}
		slices.Sort(renewed)
		v.checkEqual("machines with renewed leases", renewed, far)
		v.checkUplinkReadable("n1")
		v.cancelAtNewNode("job-1")
		v.runSeconds(6)
		v.checkEqual("tasks of the cancelled job", len(v.runningTasks("job-1")), 0)
		v.checkEqual("tasks of the other job", len(v.runningTasks("job-2")), 8)
		v.checkEqual("terms", v.term(), 1)
		v.healZones()
		v.runSeconds(4)
		v.checkEqual("running after the partition", v.countRunning("job-2", "job-3"), 9)
	})
}

// A record of a lent job, or of a guest, under a leader of the version in production: it
// starts nothing of it, answers that a lent job is pending and not unknown, and the next
// leader of this version finds the loan as it was.
func TestLoansUnderOldLeader(t *testing.T) {
	simulateMixedCluster(t, 2, true, func(v *mixedCluster) {
		v.old.skippedRecords = []string{records.ActivePrefix + "job-1", records.ActivePrefix + "job-2"}
		lent, guest := spec("job-1", 2), spec("job-2", 2)
		v.put(records.ActivePrefix+"job-1", records.ActiveRecord{
			Accepted:  time.Now(),
			LoanCount: 1,
			Lent: &loan.Lent{
				Host:   "cell-b",
				Epoch:  5,
				Spec:   *lent,
				Budget: loan.Budget{CPUs: 2},
				Since:  time.Now(),
			},
		})
		v.put(records.ActivePrefix+"job-2", records.ActiveRecord{
			Accepted: time.Now(),
			Guest: &loan.Guest{
				Home:   "cell-b",
				Epoch:  6,
				Spec:   *guest,
				Budget: loan.Budget{CPUs: 2},
				Since:  time.Now(),
			},
		})
		v.runSeconds(8)
		v.checkEqual("started under the old leader", v.countRunning("job-1", "job-2"), 0)
		v.checkPhases("job-1", "pending")
		v.handOver()
		v.runSeconds(4)
		v.new.inspect(func(c *Controller) {
			lt := c.leaderTerm
			v.checkEqual("lent", []any{lt.jobs["job-1"].Lent.Host, lt.teams["red"].UsedCPUs}, []any{"cell-b", 2.0})
			v.checkEqual("guest", lt.jobs["job-2"].Guest.Home, "cell-b")
		})
		v.checkEqual("running of the lent job", len(v.runningTasks("job-1")), 0)
	})
}
