package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// putDoneJobs writes the terminal records of count jobs that are done, and returns the jobs' ids.
func (w *simulatedCluster) putDoneJobs(count int) []string {
	w.t.Helper()
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprint("job-", 1000+i)
		w.put(records.TerminalPrefix+ids[i], records.TerminalRecord{Phase: api.JobDone, Tasks: 1})
	}
	return ids
}

// put writes a key to the key-value store.
func (w *simulatedCluster) put(key string, value any) {
	w.t.Helper()
	if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Put: key, Value: value}}}); err != nil {
		w.t.Fatal(err)
	}
}

// longListCase is a case of TestJobWithALongListOfDependencies.
type longListCase struct {
	name string
	// wantPhase is the final phase of the job's last dependency, and so of the job.
	wantPhase string
	// newLeader is set if the leader crashes before the dependency ends.
	newLeader bool
}

var longListCases = []longListCase{
	{"done", api.JobDone, false},
	{"done, new leader", api.JobDone, true},
	{"cancelled", api.JobCancelled, false},
	{"cancelled, new leader", api.JobCancelled, true},
}

func (c longListCase) run(w *simulatedCluster) {
	w.t.Helper()
	w.storeLimits = config.KVLimits{RPS: 100, WriteRPS: 25, ValueKB: 2, TxnOps: 3}
	w.store.SetLimits(2048, 3)
	n := w.start("n0")
	k := w.worker("i-1", "a", false)
	w.submit(n, spec("job-1", 1))
	w.submit(n, dependentSpec("job-2", "red", 1, append(w.putDoneJobs(600), "job-1")...))
	w.submit(n, dependentSpec("job-3", "red", 1, "job-2"))
	k.heartbeatFor(n, 4)
	if c.newLeader {
		n.crash()
		n = w.start("n0")
	}
	k.heartbeatFor(n, 6)
	w.checkEqual("running", k.running(), []string{"job-1/0"})
	n.inspect(func(c *Controller) {
		maxHeld := cluster.MaxEndedDependencies + 2
		if held := len(c.leaderTerm.jobs["job-2"].Spec.DependsOn); held > maxHeld {
			w.t.Errorf("dependency ids held with one unfinished dependency: got %d, want at most %d", held, maxHeld)
		}
	})
	w.checkEqual("phase", w.phase(n, "job-2"), api.JobPending)
	st, err := n.Job(context.Background(), "job-2")
	w.checkEqual("unfinished dependencies", []any{st.DependsOn, err}, []any{[]string{"job-1"}, nil})
	if c.wantPhase == api.JobDone {
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 4)
		w.checkEqual("running when job-1 is done", k.running(), []string{"job-2/0"})
		k.exit(api.CauseDone)
	} else if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
		w.t.Fatal(err)
	}
	k.heartbeatFor(n, 8)
	w.checkEqual("final phase", w.phase(n, "job-2"), c.wantPhase)
	w.checkEqual("dependency records left", w.keysUnder(records.DependencyPrefix), []string(nil))
	w.checkEqual("rejected for size", w.store.RejectedAsTooLarge(), []string(nil))
}

// A job whose dependencies do not fit into its active record has them in a separate list. It waits for
// all of them, including the last in the list, also if the leader changes. It is cancelled if one of
// them is. Its list is deleted once the job has ended.
func TestJobWithALongListOfDependencies(t *testing.T) {
	for _, c := range longListCases {
		t.Run(c.name, func(t *testing.T) { simulate(t, c.run) })
	}
}

// A new leader deletes stale dependency lists. It keeps the list that an active job's record names and
// the lists of unknown jobs, whose submissions may be about to complete.
func TestStaleDependencyListsAreRemoved(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = config.KVLimits{RPS: 100, WriteRPS: 25, ValueKB: 2, TxnOps: 3}
		n := w.start("n0")
		w.submit(n, spec("job-1", 1))
		w.submit(n, dependentSpec("job-2", "red", 1, append(w.putDoneJobs(300), "job-1")...))
		own := w.keysUnder(records.DependencyPrefix)
		w.put(records.DependencyPrefix+"job-2/other/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		w.put(records.DependencyPrefix+"job-1000/left/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		w.put(records.DependencyPrefix+"job-7/coming/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		n.crash()
		w.start("n0")
		time.Sleep(5 * time.Second)
		want := append(slices.Clone(own), records.DependencyPrefix+"job-7/coming/00000")
		w.checkEqual("dependency records", w.keysUnder(records.DependencyPrefix), want)
	})
}

// The times that the site's objectives set for a job count from the recorded end of its last dependency,
// not from the job's acceptance. That holds also if the dependency ended under an earlier leader: the
// times do not count from the takeover. A job that is accepted after the end of all its dependencies
// becomes runnable at once, even if a terminal record was written by an earlier version, which stored no
// end time.
func TestTimesCountFromTheEndOfTheLastDependency(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, dependentSpec("job-2", "red", 1, "job-1"))
		k.heartbeatFor(n, 40)
		k.exit(api.CauseDone)
		k.heartbeat(n)
		done := time.Now()
		for range 10 {
			if time.Sleep(100 * time.Millisecond); w.store.Has(records.TerminalPrefix + "job-1") {
				n.crash()
				break
			}
		}
		time.Sleep(30 * time.Second)
		w.put(records.TerminalPrefix+"job-8", map[string]any{"phase": "done", "tasks": 1}) // of an earlier version
		n = w.start("n0")
		w.submit(n, dependentSpec("job-3", "red", 1, "job-1", "job-8"))
		time.Sleep(3 * time.Second)
		n.inspect(func(c *Controller) {
			j := c.leaderTerm.jobs["job-2"]
			if delay := j.RunnableSince.Sub(done); len(j.DependsOn) > 0 || delay < 0 || delay > 2*time.Second {
				t.Errorf("job-2: got %d dependencies, runnable %v after their end, want 0, at most 2 s",
					len(j.DependsOn), delay)
			}
			if objective := j.Objectives[0].Sub(done); objective < 88*time.Second || objective > 92*time.Second {
				t.Errorf("objective of job-2: got %v after the end of its dependency, want 88 s to 92 s", objective)
			}
			j = c.leaderTerm.jobs["job-3"]
			if delay := j.RunnableSince.Sub(j.AcceptedAt); len(j.DependsOn) > 0 || delay > 2*time.Second || delay < 0 {
				t.Errorf("job-3, accepted when all dependencies were done: got %d dependencies, "+
					"runnable %v after its acceptance, want 0, at most 2 s", len(j.DependsOn), delay)
			}
		})
	})
}

// unreadableTerminalRecords is a key-value store that rejects reads of terminal records while
// rejectReads is set.
type unreadableTerminalRecords struct {
	*kvtest.Fake
	rejectReads atomic.Bool
	// rejected counts the rejected reads.
	rejected atomic.Int32
}

func (s *unreadableTerminalRecords) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.rejectReads.Load() && strings.HasPrefix(key, records.TerminalPrefix) {
		s.rejected.Add(1)
		return kv.Entry{}, kv.ErrNotApplied
	}
	return s.Fake.Get(ctx, key)
}

func (s *unreadableTerminalRecords) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	if s.rejectReads.Load() && prefix == records.TerminalPrefix {
		s.rejected.Add(1)
		return kv.Page{}, kv.ErrNotApplied
	}
	return s.Fake.Range(ctx, prefix, from, limit)
}

// A new leader that cannot read the terminal records of dependencies starts none of their dependents
// and retries the reads only a few times a second. It starts the dependents once the reads succeed.
func TestDependentsWaitWhileEndsCannotBeRead(t *testing.T) {
	for _, count := range []int{1, 400} {
		t.Run(fmt.Sprint(count, " dependencies"), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				store := &unreadableTerminalRecords{Fake: w.store}
				n := w.startWith("n0", store, nil)
				k := w.worker("i-1", "a", false)
				w.submit(n, dependentSpec("job-1", "red", 1, w.putDoneJobs(count)...))
				w.submit(n, dependentSpec("job-2", "red", 1, "job-1"))
				n.crash()
				store.rejectReads.Store(true)
				n = w.startWith("n0", store, nil)
				k.heartbeatFor(n, 30)
				w.checkEqual("running", k.running(), []string(nil))
				if reads := store.rejected.Load(); reads < 5 || reads > 150 {
					t.Errorf("reads of terminal records: got %d, want 5 to 150", reads)
				}
				store.rejectReads.Store(false)
				k.heartbeatFor(n, 5)
				w.checkEqual("running once the records are readable", k.running(), []string{"job-1/0"})
			})
		})
	}
}

// runSubmissionsDuringCascade submits a chain of three jobs, injects a fault and cancels the first job.
// It then submits a dependent of the third job at each of two nodes, and checks that all five jobs are
// cancelled.
func runSubmissionsDuringCascade(w *simulatedCluster, inject func(w *simulatedCluster)) {
	w.t.Helper()
	leader, other := w.start("n0"), w.start("n1")
	w.submit(leader, spec("job-1", 1))
	w.submit(other, dependentSpec("job-2", "red", 1, "job-1"))
	w.submit(other, dependentSpec("job-3", "blue", 1, "job-2"))
	inject(w)
	if _, err := other.Cancel(context.Background(), "job-1"); err != nil {
		w.t.Fatal(err)
	}
	for i, n := range []*node{other, leader} {
		id := fmt.Sprint("job-", 4+i)
		st, created, err := n.Submit(context.Background(), dependentSpec(id, "red", 1, "job-3"))
		if err != nil || !created || st.Phase != api.JobCancelled {
			w.t.Errorf("submission of %s: got %+v, created %v, %v, want it created and cancelled", id, st, created, err)
		}
	}
	time.Sleep(4 * time.Second)
	w.store.SetWatchesStalled(false)
	w.store.ApplyDelayed()
	time.Sleep(10 * time.Second)
	w.checkEqual("active records", w.keysUnder(records.ActivePrefix+"job-"), []string(nil))
	for _, n := range []*node{leader, other} {
		for i := range 5 {
			id := fmt.Sprint("job-", 1+i)
			w.checkEqual("phase of "+id+" at "+n.Settings.Node, w.phase(n, id), api.JobCancelled)
		}
	}
}

// A job that is submitted while a cancellation cascades to its dependencies is cancelled as well,
// whether the leader or a follower accepts it, and even if the watch has not delivered its dependencies
// to the leader yet. The two nodes cannot reach each other.
func TestJobsSubmittedDuringACascadeAreCancelled(t *testing.T) {
	for _, f := range []struct {
		name   string
		inject func(w *simulatedCluster)
	}{
		{"watches blind", func(w *simulatedCluster) { w.store.SetWatchesStalled(true) }},
		{"cascade delayed", func(w *simulatedCluster) {
			w.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited })
		}},
		{"no fault", func(*simulatedCluster) {}},
	} {
		t.Run(f.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) { runSubmissionsDuringCascade(w, f.inject) })
		})
	}
}

// A job may depend on a job that another node has just accepted and that the watches have not yet
// delivered to the leader and to the node that accepts the dependent.
func TestDependencyAcceptedAMomentAgo(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		leader, other := w.start("n0"), w.start("n1")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(leader, 2)
		w.store.SetWatchesStalled(true)
		w.submit(other, spec("job-1", 1))
		w.submit(leader, dependentSpec("job-2", "red", 1, "job-1"))
		w.submit(other, dependentSpec("job-3", "red", 1, "job-2", "job-1"))
		k.heartbeatFor(leader, 5)
		w.checkEqual("running while watches are blind", k.running(), []string(nil))
		w.store.SetWatchesStalled(false)
		k.heartbeatFor(leader, 6)
		w.checkEqual("running", k.running(), []string{"job-1/0"})
		for _, id := range []string{"job-2/0", "job-3/0"} {
			k.exit(api.CauseDone)
			k.heartbeatFor(leader, 4)
			w.checkEqual("running next", k.running(), []string{id})
		}
	})
}
