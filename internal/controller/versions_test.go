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

// mixedCluster is a cluster of two nodes, one of the version in production (the old node) and one
// of the current version (the new node), and of machines that send their heartbeats to the first
// node that responds.
type mixedCluster struct {
	*simulatedCluster
	links *peerLinks
	old   *oldNode
	new   *node
	// oldGate and newGate are the accesses of the two nodes to the key-value store.
	oldGate, newGate *gate
	agents           []*worker
	// taskSeconds is the run time of every task.
	taskSeconds int
	// secondsRun holds, by machine and attempt, for how many seconds a task has run.
	secondsRun map[string]int
	// completed holds the tasks that have completed.
	completed map[string]bool
	// silentAgent is an agent that sends no heartbeats, or nil.
	silentAgent *worker
	// dependencies holds, by job, the jobs on which it depends.
	dependencies map[string][]string
	// startedEarly holds the tasks that started before all dependencies of their job had a
	// terminal record.
	startedEarly []string
	// lastAcknowledged holds, by machine, when the last heartbeat that got a response was sent.
	// The machine's task lease runs from then on; its tasks end when it expires.
	lastAcknowledged map[string]time.Time
	// successor is the node of the current version that has replaced the old node, or nil.
	successor *node
	// storeDown is set during an outage of the key-value store.
	storeDown bool
	// lastRegistered holds the machines of the registry as last read; it is not read during an
	// outage.
	lastRegistered []string
}

// followerZone is the zone of the follower, and of the machines on its side of a partition.
const followerZone = "b"

// simulateMixedCluster runs a test in a cluster of two versions with some machines; oldLeads selects
// which node leads first. The old node is n0.
func simulateMixedCluster(t *testing.T, machines int, oldLeads bool, f func(mc *mixedCluster)) {
	t.Helper()
	simulatePreparedMixedCluster(t, func(*simulatedCluster) {}, machines, oldLeads, f)
}

// simulatePreparedMixedCluster is simulateMixedCluster, but calls prepare before the nodes start.
func simulatePreparedMixedCluster(
	t *testing.T, prepare func(sim *simulatedCluster), machines int, oldLeads bool, f func(mc *mixedCluster),
) {
	t.Helper()
	simulate(t, func(sim *simulatedCluster) {
		prepare(sim)
		mc := &mixedCluster{
			simulatedCluster: sim,
			links:            &peerLinks{},
			taskSeconds:      5,
			secondsRun:       map[string]int{},
			lastAcknowledged: map[string]time.Time{},
			completed:        map[string]bool{},
			oldGate:          &gate{Fake: sim.store},
			newGate:          &gate{Fake: sim.store},
		}
		if oldLeads {
			mc.startOldNode()
		}
		mc.startNewNode()
		if !oldLeads {
			mc.startOldNode()
		}
		for i := range machines {
			mc.agents = append(mc.agents, sim.worker(fmt.Sprint("i-", i+1), "a", false))
		}
		time.Sleep(10 * time.Second)
		sim.checkEqual("the old node leads", mc.old.leads(), oldLeads)
		f(mc)
		mc.old.crash()
		mc.new.crash()
		if mc.successor != nil {
			mc.successor.crash()
		}
		time.Sleep(time.Second)
	})
}

func (mc *mixedCluster) startOldNode() {
	mc.old = mc.startOld("n0", mc.oldGate, mc.links)
	time.Sleep(500 * time.Millisecond)
}

func (mc *mixedCluster) startNewNode() {
	mc.new = mc.links.add("n1", mc.startWith("n1", mc.newGate, mc.links))
}

// newLeads reports whether the new node leads and has loaded the records.
func (mc *mixedCluster) newLeads() (leads bool) {
	mc.new.inspect(func(c *Controller) { leads = c.holdsLease() && c.leaderTerm.loaded })
	return leads
}

// runSeconds lets machines send heartbeats and run their tasks for n seconds, and checks the
// invariants in each of them.
func (mc *mixedCluster) runSeconds(n int) {
	mc.t.Helper()
	for range n {
		for _, agent := range mc.agents {
			name := agent.status.Machine
			if agent != mc.silentAgent && agent.heartbeatAny(mc.reachableNodes(agent)...) {
				mc.lastAcknowledged[name] = time.Now()
			} else if time.Since(mc.lastAcknowledged[name]) >= faultTaskLease {
				agent.expireLease()
			}
			mc.advanceTasks(agent)
		}
		mc.checkInvariants()
		time.Sleep(time.Second)
	}
}

// reachableNodes returns the nodes that a machine reaches. In a partition the machines of
// followerZone reach only the follower, and all others only the leader.
func (mc *mixedCluster) reachableNodes(agent *worker) []heartbeatReceiver {
	var first heartbeatReceiver = mc.old
	if mc.successor != nil {
		first = mc.successor
	}
	switch withFollower := agent.status.Zone == followerZone; {
	case !mc.links.partitioned.Load():
		return []heartbeatReceiver{first, mc.new}
	case withFollower == mc.old.leads():
		return []heartbeatReceiver{mc.new}
	}
	return []heartbeatReceiver{first}
}

// upgradeOldNode crashes the old node and starts the current version in its place.
func (mc *mixedCluster) upgradeOldNode() {
	mc.old.crash()
	mc.successor = mc.links.add("n0", mc.startWith("n0", mc.oldGate, mc.links))
}

// heartbeatAny sends one heartbeat to each node in turn until one responds, and reports whether one
// did.
func (k *worker) heartbeatAny(nodes ...heartbeatReceiver) bool {
	for _, n := range nodes {
		if commands, err := k.sendHeartbeat(n); err == nil {
			k.applyCommands(commands)
			return true
		}
	}
	return false
}

// expireLease ends the machine's tasks and, if there were any, begins a new agent epoch.
func (k *worker) expireLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.status.Tasks) > 0 {
		k.status.Tasks = nil
		k.status.AgentEpoch++
	}
}

// advanceTasks runs a machine's tasks for one second. No task may start again once it has
// completed; early starts are recorded.
func (mc *mixedCluster) advanceTasks(agent *worker) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for i := range agent.status.Tasks {
		t := &agent.status.Tasks[i]
		key := fmt.Sprint(agent.status.Machine, t.Attempt)
		if t.Phase == api.TaskExited {
			continue
		}
		if mc.secondsRun[key] == 0 && mc.completed[t.Task] {
			mc.t.Errorf("%s started on %s after it had completed", t.Task, agent.status.Machine)
		}
		if mc.secondsRun[key] == 0 && !mc.mayStart(t.Task) {
			mc.startedEarly = append(mc.startedEarly, t.Task)
		}
		if mc.secondsRun[key]++; mc.secondsRun[key] > mc.taskSeconds {
			t.Phase, t.Cause = api.TaskExited, api.CauseDone
			mc.completed[t.Task] = true
		}
	}
}

// mayStart reports whether all dependencies of a task's job have a terminal record.
func (mc *mixedCluster) mayStart(task string) bool {
	id, _, _ := cluster.ParseTaskRef(task)
	return !slices.ContainsFunc(mc.dependencies[id], func(id string) bool { return !mc.store.Has("f/" + id) })
}

// checkInvariants checks that no task runs on two machines, and that each machine with tasks is in
// the registry.
func (mc *mixedCluster) checkInvariants() {
	mc.t.Helper()
	if !mc.storeDown {
		mc.lastRegistered = mc.registeredMachines()
	}
	machineOf := map[string]string{}
	for _, agent := range mc.agents {
		tasks := agent.running()
		if len(tasks) > 0 && !slices.Contains(mc.lastRegistered, agent.status.Machine) {
			mc.t.Errorf("%s runs tasks, but is not in the registry", agent.status.Machine)
		}
		for _, task := range tasks {
			if machineOf[task] != "" {
				mc.t.Errorf("%s runs on both %s and %s", task, machineOf[task], agent.status.Machine)
			}
			machineOf[task] = agent.status.Machine
		}
	}
}

// runningTasks returns the tasks of a job that run on machines.
func (mc *mixedCluster) runningTasks(id string) []string { return runningTasksOf(mc.agents, id) }

// countRunning counts the tasks of some jobs that run on machines.
func (mc *mixedCluster) countRunning(ids ...string) (count int) {
	for _, id := range ids {
		count += len(mc.runningTasks(id))
	}
	return count
}

// phases returns a job's phase according to the old and to the new node, or the text of the error.
func (mc *mixedCluster) phases(id string) []string {
	mc.t.Helper()
	state, err := mc.old.Job(context.Background(), id)
	if err != nil {
		state.Phase = err.Error()
	}
	return []string{state.Phase, mc.phase(mc.new, id)}
}

// checkPhases checks that both nodes return the given phase for a job.
func (mc *mixedCluster) checkPhases(id, phase string) {
	mc.t.Helper()
	mc.checkEqual("phases of "+id+" at the old and the new node", mc.phases(id), []string{phase, phase})
}

// handOver makes the other node lead: the old one resigns, and the new one hands over once the
// store rejects its requests. One machine then sends no heartbeats for some seconds, so that the
// leader has it only from the registry.
func (mc *mixedCluster) handOver() {
	mc.t.Helper()
	toNew := mc.old.leads()
	if toNew {
		mc.silentAgent = mc.agents[0]
		mc.oldGate.setClosed(true) // a leader resigns when the store rejects its requests
		mc.old.resign("n1")
		mc.runSeconds(1)
		mc.oldGate.setClosed(false)
	} else {
		mc.newGate.setClosed(true)
		for i := 0; i < 15 && !mc.old.leads(); i++ {
			mc.runSeconds(1)
		}
		mc.newGate.setClosed(false)
	}
	mc.silentAgent = mc.agents[0]
	mc.runSeconds(4)
	mc.silentAgent = nil
	leading := []bool{mc.old.leads(), mc.newLeads()}
	mc.checkEqual("old and new node lead after a handover", leading, []bool{!toNew, toNew})
}

// setStoreDown begins or ends an outage of the key-value store for all nodes.
func (mc *mixedCluster) setStoreDown(down bool) {
	mc.store.SetDown(down)
	mc.storeDown = down
}

// term returns the number of the current term.
func (mc *mixedCluster) term() int {
	mc.t.Helper()
	e, err := mc.store.Get(context.Background(), "term")
	var term oldTerm
	if err := errors.Join(err, json.Unmarshal(e.Value, &term)); err != nil {
		mc.t.Fatal(err)
	}
	return int(term.Number)
}

// submitPipeline submits three jobs at the new node: job-2 depends on job-1, and job-3 on job-2.
func (mc *mixedCluster) submitPipeline() {
	mc.t.Helper()
	mc.dependencies = map[string][]string{"job-2": {"job-1"}, "job-3": {"job-2"}}
	mc.submit(mc.new, spec("job-1", 2))
	mc.submit(mc.new, dependentSpec("job-2", "blue", 4, "job-1"))
	mc.submit(mc.new, dependentSpec("job-3", "red", 2, "job-2"))
}

// countAwaitingDependencies returns the number of jobs that wait for their dependencies according
// to the leader's status.
func (mc *mixedCluster) countAwaitingDependencies() int {
	mc.t.Helper()
	status, err := mc.new.Status(context.Background())
	s, ok := status.(Status)
	if err != nil || !ok || s.Leading == nil {
		mc.t.Fatalf("status of the new node: got %v, %v, want a leader's", status, err)
	}
	return s.Leading.Waits["awaits others"]
}

// cancelAtNewNode cancels a job at the new node.
func (mc *mixedCluster) cancelAtNewNode(id string) {
	mc.t.Helper()
	state, err := mc.new.Cancel(context.Background(), id)
	mc.checkEqual("cancellation of "+id, []any{state.Phase, err}, []any{api.JobCancelled, nil})
}

// The leadership alternates between the versions while both accept, run, complete and cancel jobs.
// Each leader must take over the jobs, completion records and registry that the other has written.
func TestVersionsTakeTurnsToLead(t *testing.T) {
	for _, tokens := range mixedTokensPerTerm {
		for _, oldLeads := range []bool{true, false} {
			for changes := range 4 {
				name := fmt.Sprintf("old leads first %v, %d changes, %d tokens per term", oldLeads, changes, tokens)
				t.Run(name, func(t *testing.T) { testLeadershipAlternates(t, tokens, oldLeads, changes) })
			}
		}
	}
}

// mixedTokensPerTerm are the numbers of fencing tokens that the terms of the new nodes have. Those of
// the old nodes have one.
var mixedTokensPerTerm = []uint64{1, 16}

// withTokens returns a function that prepares a cluster whose new nodes have the given number of
// fencing tokens per term.
func withTokens(tokens uint64) func(sim *simulatedCluster) {
	return func(sim *simulatedCluster) { sim.tokensPerTerm = tokens }
}

// testLeadershipAlternates hands the leadership over the given number of times.
func testLeadershipAlternates(t *testing.T, tokens uint64, oldLeads bool, changes int) {
	t.Helper()
	simulatePreparedMixedCluster(t, withTokens(tokens), 3, oldLeads, func(mc *mixedCluster) {
		mc.old.submit(spec("job-1", 14))
		mc.submit(mc.new, spec("job-2", 6))
		mc.runSeconds(4)
		for i := range changes {
			mc.old.submit(spec(fmt.Sprint("job-3", i), 40))
			mc.submit(mc.new, spec(fmt.Sprint("job-4", i), 40))
			mc.handOver()
			mc.runSeconds(4)
			mc.old.cancel(fmt.Sprint("job-3", i))
			mc.cancelAtNewNode(fmt.Sprint("job-4", i))
			mc.runSeconds(2 + i)
			running := mc.countRunning(fmt.Sprint("job-3", i), fmt.Sprint("job-4", i))
			mc.checkEqual("tasks of cancelled jobs", running, 0)
		}
		mc.runSeconds(30)
		mc.checkPhases("job-1", "done")
		mc.checkPhases("job-2", "done")
		for i := range changes {
			mc.checkPhases(fmt.Sprint("job-3", i), "withdrawn")
			mc.checkPhases(fmt.Sprint("job-4", i), "withdrawn")
		}
		wantTerm := uint64(0)
		for i := range changes + 1 {
			if (i%2 == 0) == oldLeads {
				wantTerm++
			} else {
				wantTerm += tokens
			}
		}
		mc.checkEqual("term", mc.term(), wantTerm) // no node had to begin an additional term
		mc.checkEqual("completion records left", mc.keysUnder(records.CompletionPrefix), []string(nil))
	})
}

// The old node crashes while it leads, and the new node leads once the leader lease has expired.
// A transaction that the old leader sent earlier must fail if it is applied now, and the old node
// must follow after its restart.
func TestOldProcessRestarts(t *testing.T) {
	for _, late := range []struct {
		name string
		ops  func(mc *mixedCluster) []kv.Op
	}{
		{"completion record", func(*mixedCluster) []kv.Op {
			return []kv.Op{{Put: "p/job-1/0", Value: oldCompletionRecord{[]byte{1}}}}
		}},
		{"terminal record", func(*mixedCluster) []kv.Op {
			return []kv.Op{{Put: "f/job-1", Value: oldTerminalRecord{"done", 30}}, {Delete: "a/job-1"}}
		}},
		{"shard", func(mc *mixedCluster) []kv.Op {
			var ops []kv.Op
			for _, key := range mc.keysUnder("m/") {
				ops = append(ops, kv.Op{Delete: key})
			}
			return append(ops, kv.Op{Put: "m/1-9", Value: oldShard{}})
		}},
		{"leader record", func(mc *mixedCluster) []kv.Op {
			return []kv.Op{{Put: "leader", Value: oldLeaderRecord{"n0", mc.old.incarnation}}}
		}},
	} {
		t.Run(late.name, func(t *testing.T) {
			simulateMixedCluster(t, 3, true, func(mc *mixedCluster) {
				mc.taskSeconds = 12
				mc.old.submit(spec("job-1", 30))
				mc.runSeconds(15)
				var modRevision uint64
				mc.old.inspect(func(o *oldNode) { modRevision = o.leaderTerm.modRevision })
				mc.old.crash()
				for i := 0; i < 40 && !mc.newLeads(); i++ {
					mc.runSeconds(1)
				}
				mc.runSeconds(8)
				done := len(mc.recordedTasks("job-1"))
				mc.checkEqual("some tasks are on record as done", done > 0, true)
				res, err := mc.store.Txn(context.Background(), kv.Txn{
					Compares: []kv.Compare{{Key: "term", ModRevision: modRevision}},
					Ops:      late.ops(mc),
				})
				mc.checkEqual("late transaction succeeds", []any{res.Succeeded, err}, []any{false, nil})
				mc.startOldNode()
				mc.runSeconds(10)
				mc.checkEqual("old and new node lead", []bool{mc.old.leads(), mc.newLeads()}, []bool{false, true})
				lost := len(mc.recordedTasks("job-1")) < done && mc.store.Has("a/job-1")
				mc.checkEqual("recorded completions lost", lost, false)
				mc.runSeconds(30)
				mc.checkPhases("job-1", "done")
			})
		})
	}
}

// Transactions of the new node as leader are applied only after the old node has taken over and
// written records. All of them must fail.
func TestLateRecordsUnderOldLeader(t *testing.T) {
	for _, prefix := range []string{records.CompletionPrefix, records.TerminalPrefix, records.MachinePrefix} {
		t.Run(prefix, func(t *testing.T) {
			simulateMixedCluster(t, 3, false, func(mc *mixedCluster) {
				mc.submit(mc.new, spec("job-2", 2))
				mc.submit(mc.new, spec("job-1", 20))
				mc.runSeconds(4)
				mc.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && writesPrefix(prefix)(txn) })
				mc.agents = append(mc.agents, mc.worker("i-9", "a", false)) // causes a write to the registry
				mc.runSeconds(8)
				mc.handOver()
				mc.store.Delay(nil)
				mc.runSeconds(6)
				results := mc.store.ApplyDelayed()
				mc.checkEqual("some transactions were delayed", len(results) > 0, true)
				for _, res := range results {
					mc.checkEqual("late transaction succeeds", res.Succeeded, false)
				}
				mc.runSeconds(3)
				mc.handOver()
				mc.runSeconds(40)
				mc.checkPhases("job-1", "done")
				mc.checkPhases("job-2", "done")
			})
		})
	}
}

// An upgrade is rolled back while jobs with dependencies are stored. The version in production does
// not support dependencies: it starts these jobs too early, and does not cancel the dependents of a
// cancelled job. That is a known limit of a rollback (docs/operations.md). The next leader of the
// current version must not start further tasks too early, must keep the running ones, and must cancel
// all dependents of a cancelled job. A rollback must have none of these effects if it begins when
// no job waits for its dependencies.
func TestUpgradeRolledBack(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is set if the rollback begins only when no job waits for its dependencies.
		wait bool
		// then runs after the new node leads again.
		then func(mc *mixedCluster)
		want string
	}{
		{"rolled back when no job awaits dependencies", true, func(*mixedCluster) {}, "done"},
		{"no cancellation", false, func(*mixedCluster) {}, "done"},
		{"job-1 is cancelled at the new node", false, func(mc *mixedCluster) {
			mc.cancelAtNewNode("job-1")
		}, "withdrawn"},
		{"job-1 is cancelled at the old node", false, func(mc *mixedCluster) {
			mc.checkEqual("phase of the cancelled job", mc.old.cancel("job-1"), "withdrawn")
		}, "withdrawn"},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateMixedCluster(t, 3, false, func(mc *mixedCluster) {
				mc.taskSeconds = 25
				mc.submitPipeline()
				mc.runSeconds(3)
				mc.checkEqual("jobs pending for dependencies", mc.countAwaitingDependencies(), 2)
				for c.wait && mc.countAwaitingDependencies() > 0 {
					mc.runSeconds(1)
				}
				mc.handOver()
				mc.runSeconds(4)
				early := slices.Clone(mc.startedEarly)
				mc.checkEqual("some tasks started too early under the old leader", len(early) > 0, !c.wait)
				mc.handOver()
				mc.runSeconds(2)
				if !c.wait {
					running := mc.runningTasks("job-2")
					agent := mc.agents[slices.IndexFunc(mc.agents, func(agent *worker) bool {
						return len(runningTasksOf([]*worker{agent}, "job-2")) > 0
					})]
					agent.exit(api.CauseHalted) // these tasks must start again, after job-1
					mc.runSeconds(2)
					mc.checkEqual("fewer tasks of job-2 run", len(mc.runningTasks("job-2")) < len(running), true)
				}
				c.then(mc)
				mc.runSeconds(4)
				if c.want == "withdrawn" {
					mc.checkEqual("running tasks of cancelled jobs", mc.countRunning("job-1", "job-2", "job-3"), 0)
				}
				mc.runSeconds(150)
				mc.checkEqual("tasks started too early by the end", mc.startedEarly, early)
				for _, id := range []string{"job-1", "job-2", "job-3"} {
					mc.checkPhases(id, c.want)
				}
			})
		})
	}
}

// When a leader of the current version cancels the dependents of a cancelled job, it does not write
// the cancel key, by which an old leader distinguishes cancellations from writes of another leader.
// An old leader never sees these cancellations: the transaction compares the term, and the old leader
// reads the active jobs only after its own term has begun. Dependents that are still active then must
// be cancelled, with the cancel key, by a node of the current version that reads them, or by the
// next leader of the current version.
func TestDerivedCancellationsAndOldLeader(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, atOld := range []bool{false, true} {
			t.Run(fmt.Sprintf("late %v, cancelled at the old node %v", late, atOld), func(t *testing.T) {
				simulateMixedCluster(t, 3, false, func(mc *mixedCluster) { mc.testDerivedCancellations(late, atOld) })
			})
		}
	}
}

// testDerivedCancellations cancels the first job of a pipeline at the old or at the new node, and
// then makes the old node lead. If late is set, the transactions that cancel the dependents are
// applied only then.
func (mc *mixedCluster) testDerivedCancellations(late, atOld bool) {
	mc.t.Helper()
	mc.taskSeconds = 100
	mc.submitPipeline()
	mc.runSeconds(4)
	if late {
		mc.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && writesPrefix(records.TerminalPrefix)(txn) })
	}
	if atOld {
		mc.checkEqual("phase of the cancelled job", mc.old.cancel("job-1"), "withdrawn")
	} else {
		mc.cancelAtNewNode("job-1")
	}
	mc.runSeconds(3)
	mc.checkEqual("job-2 is still active", mc.store.Has("a/job-2"), late)
	mc.handOver()
	mc.store.Delay(nil)
	mc.runSeconds(4)
	for _, res := range mc.store.ApplyDelayed() {
		mc.checkEqual("late transaction succeeds", res.Succeeded, false)
	}
	mc.runSeconds(2)
	if late {
		mc.checkRemainingCancelled()
	}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		mc.checkPhases(id, "withdrawn")
		mc.checkEqual("running tasks of "+id, len(mc.runningTasks(id)), 0)
	}
	if !late {
		mc.checkEqual("terms", mc.term(), 2)
	}
}

// checkRemainingCancelled checks that dependents which are still active under an old leader are
// cancelled when the new node reads them, and by the next leader of the current version.
func (mc *mixedCluster) checkRemainingCancelled() {
	mc.t.Helper()
	// Users of the old leader get its phases, as it has not seen the cancellations.
	for _, id := range []string{"job-2", "job-3"} {
		state, err := mc.old.Job(context.Background(), id)
		mc.checkEqual("phase of "+id+" at the old node", []any{state.Phase, err}, []any{"pending", nil})
	}
	state, err := mc.new.RecordedJob(context.Background(), "job-2")
	mc.checkEqual("phase of job-2 read at the new node", []any{state.Phase, err}, []any{"withdrawn", nil})
	mc.runSeconds(3)
	mc.checkPhases("job-2", "withdrawn")
	mc.checkEqual("running tasks of job-2", len(mc.runningTasks("job-2")), 0)
	mc.checkEqual("terms", mc.term(), 2)
	mc.new.crash()
	mc.old.crash()
	mc.startOldNode()
	mc.startNewNode() // both have only what is on record
	mc.runSeconds(10)
	mc.handOver()
	mc.runSeconds(3)
}

// Users cancel a job at the old node while the key-value store rejects the requests of the new
// node, which leads; then the store is down for longer than a cancellation may take. The leader
// can rely on the old node's cancellation log only if that was complete when the store last
// responded to the leader. After a restart of the old node it is not, and no task lease is renewed.
func TestOldNodeConfirmsCancellations(t *testing.T) {
	cancelAtThirdNode := func(mc *mixedCluster) {
		other := mc.startWith("n9", mc.store, mc.links)
		_, err := other.Cancel(context.Background(), "job-1")
		mc.checkEqual("error of the cancellation at a third node", err, nil)
		other.crash()
	}
	for _, c := range []struct {
		name   string
		cancel func(mc *mixedCluster)
		// kept is set if the job that was not cancelled keeps running.
		kept bool
	}{
		{"cancelled at the old node", func(mc *mixedCluster) { mc.old.cancel("job-1") }, true},
		{"read by the old node", func(mc *mixedCluster) {
			cancelAtThirdNode(mc)
			mc.checkEqual("phase at the old node", mc.phases("job-1")[0], "withdrawn")
		}, true},
		{"old node restarts at once", func(mc *mixedCluster) {
			mc.old.cancel("job-1")
			mc.old.crash()
			mc.startOldNode()
		}, false},
		{"old node never restarts", func(mc *mixedCluster) { mc.old.cancel("job-1"); mc.old.crash() }, false},
		{"old node is partitioned", func(mc *mixedCluster) {
			mc.links.partitioned.Store(true)
			mc.old.cancel("job-1")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateMixedCluster(t, 1, false, func(mc *mixedCluster) {
				mc.taskSeconds = 1000
				mc.submit(mc.new, spec("job-1", 2))
				mc.submit(mc.new, spec("job-2", 1))
				mc.runSeconds(4)
				mc.checkEqual("running", len(mc.agents[0].running()), 3)
				mc.newGate.setClosed(true)
				c.cancel(mc)
				mc.setStoreDown(true)
				mc.runSeconds(30)
				mc.checkEqual("tasks of the cancelled job", len(mc.runningTasks("job-1")), 0)
				mc.checkEqual("job-2 keeps running", len(mc.runningTasks("job-2")) == 1, c.kept)
				mc.setStoreDown(false)
			})
		})
	}
}

// An old leader whose requests the key-value store rejects must get the cancellations from the
// cancellation log of the new node, in the form that the version in production reads.
func TestOldLeaderReadsCancellationLog(t *testing.T) {
	simulateMixedCluster(t, 1, true, func(mc *mixedCluster) {
		mc.taskSeconds = 1000
		for i := range 4 {
			mc.submit(mc.new, spec(fmt.Sprint("job-", i+1), 1))
		}
		mc.runSeconds(4)
		mc.checkEqual("running", len(mc.agents[0].running()), 4)
		mc.oldGate.setClosed(true)
		mc.cancelAtNewNode("job-1")
		mc.runSeconds(2)
		mc.cancelAtNewNode("job-2")
		mc.cancelAtNewNode("job-1")
		mc.runSeconds(2)
		mc.checkEqual("running after two cancellations", mc.agents[0].running(), []string{"job-3/0", "job-4/0"})
		mc.old.inspect(func(o *oldNode) { mc.checkEqual("position in the log of n1", o.logPositions["n1"].Number, 2) })
		mc.new.crash()
		restartedAt := time.Now()
		mc.startNewNode()
		mc.cancelAtNewNode("job-3")
		mc.runSeconds(2)
		mc.checkEqual("running after the new node has restarted", mc.agents[0].running(), []string{"job-4/0"})
		status, err := mc.new.PeerStatus(context.Background(), cancellation.Position{})
		sinceStart := status.Cancellations.CompleteFor <= time.Since(restartedAt)
		mc.checkEqual("log complete only since the start", []any{sinceStart, err}, []any{true, nil})
	})
}

// A leader of the current version may take over tasks that an old leader started before their
// dependencies were done. The dependency is then cancelled while the store rejects the leader, and
// the store is down afterwards, so that the leader gets the cancellation only from the old node's
// log. The tasks of the dependents must end within the time limit of a cancellation, too.
func TestStartedTooEarlyAndCancelledInOutage(t *testing.T) {
	simulateMixedCluster(t, 3, false, func(mc *mixedCluster) {
		mc.taskSeconds = 1000
		mc.submitPipeline()
		mc.runSeconds(3)
		mc.handOver()
		mc.runSeconds(4)
		mc.handOver()
		mc.runSeconds(10)
		mc.checkEqual("started too early", mc.countRunning("job-2", "job-3"), 6)
		mc.newGate.setClosed(true)
		mc.old.cancel("job-1")
		mc.setStoreDown(true)
		mc.runSeconds(30)
		mc.checkEqual("tasks of cancelled jobs", mc.countRunning("job-1", "job-2", "job-3"), 0)
		mc.setStoreDown(false)
	})
}

// partitionZones cuts the links between the nodes, and makes the machines of followerZone fail
// probes. reachableNodes separates these machines from the leader.
func (mc *mixedCluster) partitionZones() {
	mc.links.partitioned.Store(true)
	for _, agent := range mc.agents {
		if agent.status.Zone == followerZone {
			mc.dead.Store(agent.status.Machine, true)
		}
	}
}

// healZones ends the partition.
func (mc *mixedCluster) healZones() {
	mc.links.partitioned.Store(false)
	mc.dead.Clear()
}

// checkUplinkReadable checks that a leader of the version in production, which reads the batch with
// the highest number, can read the uplink of a node of the current version.
func (mc *mixedCluster) checkUplinkReadable(name string) {
	mc.t.Helper()
	page, err := mc.store.Range(context.Background(), "relay/"+name+"/up/", "", 6)
	parts := make([]oldPart, 0, len(page.Entries))
	for _, e := range page.Entries {
		var p oldPart
		err = errors.Join(err, json.Unmarshal(e.Value, &p))
		parts = append(parts, p)
	}
	if err != nil || len(parts) == 0 {
		mc.t.Fatalf("uplink of %s: got %d parts, %v, want at least one", name, len(parts), err)
	}
	highest := slices.MaxFunc(parts, func(a, b oldPart) int { return int(a.Batch) - int(b.Batch) })
	for i := range highest.Of {
		if i >= len(parts) || parts[i].Batch != highest.Batch || parts[i].Index != i {
			mc.t.Errorf("record %d of batch %d is missing: %+v", i, highest.Batch, parts)
		}
	}
}

// A partition separates the new node, which leads, from the old node and the machines of its zone.
// The old node renews their leases on behalf of the leader, all in one record, and relays their
// heartbeats in one or more records. The leader must not terminate these machines; their tasks must
// continue, further tasks must start there, and cancelled tasks must end. In some cases the old node
// restarts or is upgraded meanwhile: the leader must then read the batches of the new process,
// although records of earlier batches are left.
func TestOldFollowerInPartition(t *testing.T) {
	for _, c := range []struct {
		name string
		// uplinkRecords is the number of records for a batch of the old node's uplink.
		uplinkRecords int
		// then runs after 20 s of the partition.
		then func(mc *mixedCluster)
		// started is how many of three tasks start in the follower's zone after that.
		started int
	}{
		{"one record", 1, func(*mixedCluster) {}, 3},
		{"three records", 3, func(*mixedCluster) {}, 3},
		{"nothing relayed", 0, func(*mixedCluster) {}, 0},
		{"restarted", 1, func(mc *mixedCluster) { mc.old.crash(); mc.startOldNode() }, 3},
		{"restarted after three records", 3, func(mc *mixedCluster) { mc.old.crash(); mc.startOldNode() }, 3},
		{"upgraded after three records", 3, func(mc *mixedCluster) { mc.upgradeOldNode() }, 3},
	} {
		for _, tokens := range mixedTokensPerTerm {
			t.Run(fmt.Sprintf("%s, %d tokens per term", c.name, tokens), func(t *testing.T) {
				simulatePreparedMixedCluster(t, withTokens(tokens), 1, false, func(mc *mixedCluster) {
					mc.taskSeconds = 1000
					mc.old.inspect(func(o *oldNode) { o.uplinkRecords = c.uplinkRecords })
					for i := range 3 {
						mc.agents = append(mc.agents, mc.worker(fmt.Sprint("i-2", i), followerZone, false))
					}
					submitToFollowerZone := func(id string, tasks int) {
						s := spec(id, tasks)
						s.Zone = followerZone
						mc.submit(mc.new, s)
					}
					mc.submit(mc.new, spec("job-1", 2))
					submitToFollowerZone("job-2", 6)
					mc.runSeconds(5)
					mc.checkEqual("started", mc.countRunning("job-1", "job-2"), 8)
					mc.partitionZones()
					mc.runSeconds(20)
					mc.checkEqual("running in the partition", mc.countRunning("job-1", "job-2"), 8)
					c.then(mc)
					mc.runSeconds(4)
					submitToFollowerZone("job-3", 3)
					mc.runSeconds(10)
					mc.checkEqual("tasks of job-3 started in the partition", len(mc.runningTasks("job-3")), c.started)
					mc.checkEqual("machines terminated", mc.cloud.terminatedNames, []string(nil))
					if mc.successor != nil {
						mc.checkUplinkReadable("n0")
					}
					mc.cancelAtNewNode("job-2")
					mc.runSeconds(8)
					mc.checkEqual("tasks of the cancelled job", len(mc.runningTasks("job-2")), 0)
					mc.healZones()
					mc.runSeconds(5)
					submitToFollowerZone("job-4", 4)
					mc.runSeconds(8)
					mc.checkEqual("running after the partition", mc.countRunning("job-3", "job-4"), 7)
				})
			})
		}
	}
}

// maxValueSize returns the size in bytes of the largest value under a prefix.
func (mc *mixedCluster) maxValueSize(prefix string) (size int) {
	mc.t.Helper()
	page, err := mc.store.Range(context.Background(), prefix, "", 1000)
	if err != nil {
		mc.t.Fatal(err)
	}
	for _, e := range page.Entries {
		size = max(size, len(e.Value))
	}
	return size
}

// The key-value store will get smaller limits, which the current version already observes. The
// version in production reads the records that the current one has split, and writes them again as
// large values while the store accepts these. The current version must split them again, also after
// the limits have become smaller. No recorded completion may be lost, and each machine with tasks
// must stay in the registry.
func TestFutureLimitsBetweenVersions(t *testing.T) {
	const tasks, machines = 9000, 12
	next := limits{txnOps: 6, valueKB: 1, writeRPS: 25}
	for _, oldLeads := range []bool{false, true} {
		t.Run(fmt.Sprintf("old leads first %v", oldLeads), func(t *testing.T) {
			prepare := func(sim *simulatedCluster) {
				sim.storeLimits = next.kvLimits()
				sim.teams[0].CPUs, sim.teams[0].LimitCPUs = 100, 100
				sim.store.SetLimits(16<<10, 20)
			}
			simulatePreparedMixedCluster(t, prepare, machines, oldLeads, func(mc *mixedCluster) {
				s := spec("job-1", tasks)
				s.CPUs, s.MemoryGB = 0.04, 0.04
				mc.submit(mc.new, s)
				mc.taskSeconds = 8
				done := mc.runCountingDone(12, 0)
				for i := 0; i < 3 || mc.old.leads(); i++ {
					if mc.old.leads() {
						done = mc.writeLargeValues(machines, done)
					}
					mc.checkEqual("registered machines", len(mc.registeredMachines()), machines)
					mc.handOver()
					done = mc.runCountingDone(2, done)
				}
				mc.enforceLimits(next)
				mc.checkEqual("job-1 is active", mc.store.Has("a/job-1"), true)
				mc.dead.Store(mc.agents[0].status.Machine, true)
				mc.agents = mc.agents[1:]
				for i := 0; i < 150 && mc.store.Has("a/job-1"); i++ {
					done = mc.runCountingDone(1, done)
				}
				mc.checkPhases("job-1", "done")
				mc.runSeconds(20)
				mc.checkEqual("registered machines at the end", len(mc.registeredMachines()), machines-1)
				mc.checkEqual("shards above the future limit", mc.maxValueSize(records.MachinePrefix) > 1024, false)
				mc.checkNothingTooLarge()
			})
		})
	}
}

// runCountingDone runs for some seconds and returns how many tasks of job-1 are on record as done.
// The number must not fall below done while the job is active.
func (mc *mixedCluster) runCountingDone(seconds, done int) int {
	mc.t.Helper()
	for range seconds {
		mc.runSeconds(1)
		if now := len(mc.recordedTasks("job-1")); now >= done {
			done = now
		} else if mc.store.Has("a/job-1") {
			mc.t.Fatalf("tasks of job-1 on record as done: got %d, want at least %d as before", now, done)
		}
	}
	return done
}

// writeLargeValues makes the old leader write values above the future limits, and checks that it has
// loaded all machines and completions. It returns the number of tasks of job-1 on record as done.
func (mc *mixedCluster) writeLargeValues(machines, done int) int {
	mc.t.Helper()
	mc.old.inspect(func(o *oldNode) {
		mc.checkEqual("shards merged into one", o.leaderTerm.mergeShards(), true)
		mc.checkEqual("machines loaded by the old leader", len(o.leaderTerm.machines), machines)
		mc.checkEqual("old leader has all completions", len(o.leaderTerm.jobs["job-1"].done) >= done, true)
	})
	done = mc.runCountingDone(4, done)
	tooLarge := mc.maxValueSize(records.MachinePrefix) > 1024 && mc.maxValueSize(records.CompletionPrefix) > 1024
	mc.checkEqual("values above the future limit", tooLarge, true)
	return done
}

// A partition separates the old node, which leads, from the new node, which renews the leases of the
// machines in its zone under the leader's term. The new node must start no tasks and must stop
// cancelled ones. The old leader must be able to read its lease extensions and its uplink, although
// these need several records.
func TestNewFollowerInPartition(t *testing.T) {
	prepare := func(sim *simulatedCluster) { sim.storeLimits = limits{txnOps: 6, valueKB: 1, writeRPS: 25}.kvLimits() }
	simulatePreparedMixedCluster(t, prepare, 1, true, func(mc *mixedCluster) {
		mc.taskSeconds = 1000
		machines := make([]string, 90)
		for i := range machines {
			machines[i] = fmt.Sprintf("i-with-a-long-name-%06d", i)
			mc.agents = append(mc.agents, mc.worker(machines[i], followerZone, false))
		}
		mc.submit(mc.new, spec("job-1", 8))
		mc.submit(mc.new, spec("job-2", 8))
		mc.runSeconds(4)
		mc.checkEqual("running", mc.countRunning("job-1", "job-2"), 16)
		mc.partitionZones()
		mc.submit(mc.new, spec("job-3", 1))
		mc.runSeconds(20)
		mc.checkEqual("running in the partition", mc.countRunning("job-1", "job-2"), 16)
		page, err := mc.store.Range(context.Background(), "keep/", "", 100) // an old leader reads at most 100
		mc.checkEqual("several lease extensions", []any{len(page.Entries) > 1, page.More, err}, []any{true, false, nil})
		renewed := make([]string, 0, len(machines))
		for _, e := range page.Entries {
			var extension oldLeaseExtension
			err := json.Unmarshal(e.Value, &extension)
			mc.checkEqual("term of "+e.Key, []any{err, extension.Term}, []any{nil, mc.term()})
			renewed = append(renewed, extension.Hosts...)
		}
		slices.Sort(renewed)
		mc.checkEqual("machines with renewed leases", renewed, machines)
		mc.checkUplinkReadable("n1")
		mc.cancelAtNewNode("job-1")
		mc.runSeconds(6)
		mc.checkEqual("tasks of the cancelled job", len(mc.runningTasks("job-1")), 0)
		mc.checkEqual("tasks of the other job", len(mc.runningTasks("job-2")), 8)
		mc.checkEqual("terms", mc.term(), 1)
		mc.healZones()
		mc.runSeconds(4)
		mc.checkEqual("running after the partition", mc.countRunning("job-2", "job-3"), 9)
	})
}

// Records of a lent job and of a guest job are stored while the old node leads. It must start no
// tasks of them and must report the lent job as pending, not as unknown. The next leader of the
// current version must load both loans unchanged.
func TestLoansUnderOldLeader(t *testing.T) {
	simulateMixedCluster(t, 2, true, func(mc *mixedCluster) {
		mc.old.skippedRecords = []string{records.ActivePrefix + "job-1", records.ActivePrefix + "job-2"}
		lent, guest := spec("job-1", 2), spec("job-2", 2)
		mc.put(records.ActivePrefix+"job-1", records.ActiveRecord{
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
		mc.put(records.ActivePrefix+"job-2", records.ActiveRecord{
			Accepted: time.Now(),
			Guest: &loan.Guest{
				Home:   "cell-b",
				Epoch:  6,
				Spec:   *guest,
				Budget: loan.Budget{CPUs: 2},
				Since:  time.Now(),
			},
		})
		mc.runSeconds(8)
		mc.checkEqual("started under the old leader", mc.countRunning("job-1", "job-2"), 0)
		mc.checkPhases("job-1", "pending")
		mc.handOver()
		mc.runSeconds(4)
		mc.new.inspect(func(c *Controller) {
			lt := c.leaderTerm
			lent := []any{lt.jobs["job-1"].Lent.Host, lt.teams["red"].UsedCPUs}
			mc.checkEqual("host of the lent job, and CPUs in use by its team", lent, []any{"cell-b", 2.0})
			mc.checkEqual("home of the guest job", lt.jobs["job-2"].Guest.Home, "cell-b")
		})
		mc.checkEqual("running tasks of the lent job", len(mc.runningTasks("job-1")), 0)
	})
}
