package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// putDependentJobs writes the active records of jobs, and returns their ids. Job 0 has no
// dependencies; job number i depends on the jobs that dependsOn returns.
func (w *simulatedCluster) putDependentJobs(jobs int, dependsOn func(i int) []string) (ids []string) {
	w.t.Helper()
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		s := spec(id, 1)
		if i > 0 {
			s.DependsOn = dependsOn(i)
		}
		w.put(records.ActivePrefix+id, records.ActiveRecord{Spec: *s, Accepted: time.Now()})
		ids = append(ids, id)
	}
	return ids
}

// phaseCounts polls jobs at a node, all at the same time, and counts the jobs in each phase.
func (w *simulatedCluster) phaseCounts(n *node, ids []string) map[string]int {
	w.t.Helper()
	phases := make(chan string, len(ids))
	for _, id := range ids {
		go func() { phases <- w.phase(n, id) }()
	}
	counts := map[string]int{}
	for range ids {
		counts[<-phases]++
	}
	return counts
}

// activeJobs returns the number of active records in the store.
func (w *simulatedCluster) activeJobs() int {
	w.t.Helper()
	count := 0
	recordStore := &records.Records{Store: w.store}
	err := recordStore.ForEachKey(w.t.Context(), records.ActivePrefix+"job-", func(string) { count++ })
	if err != nil {
		w.t.Fatal(err)
	}
	return count
}

// dependsOnPrevious makes each job depend on the one before it.
func dependsOnPrevious(i int) []string { return []string{fmt.Sprint("job-", i-1)} }

// Every node reports all dependents of a cancelled job, even thousands, as cancelled within the time
// allowed for a cancellation, and never in another phase afterwards. That holds while the write rate
// has allowed only few of the cancellations to be recorded, after a failover, and without a leader.
// Eventually all of them are recorded.
func TestCascadeOfThousandsIsReportedAtOnce(t *testing.T) {
	for name, dependsOn := range map[string]func(i int) []string{
		"chain":  dependsOnPrevious,
		"fan":    func(int) []string { return []string{"job-0"} },
		"ladder": ladderDependencies,
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) { checkCascadeOfThousands(w, dependsOn) })
		})
	}
}

func checkCascadeOfThousands(w *simulatedCluster, dependsOn func(i int) []string) {
	w.t.Helper()
	const jobs = 3000
	w.storeLimits = config.KVLimits{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 12}
	ids := w.putDependentJobs(jobs, dependsOn)
	sample := []string{ids[1], ids[2], ids[jobs/2], ids[jobs-2], ids[jobs-1]}
	allCancelled := map[string]int{api.JobCancelled: jobs}
	sampleCancelled := map[string]int{api.JobCancelled: len(sample)}
	leader, other := w.start("n0"), w.start("n1")
	w.checkEqual("before the cancellation", w.phaseCounts(leader, sample), map[string]int{api.JobPending: len(sample)})
	if _, err := other.Cancel(w.t.Context(), ids[0]); err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(time.Second)
	w.checkEqual("phases at the leader", w.phaseCounts(leader, ids), allCancelled)
	w.checkEqual("phases at the other node", w.phaseCounts(other, sample), sampleCancelled)
	if left := w.activeJobs(); left < jobs*9/10 {
		w.t.Errorf("active records left after a second: got %d, want at least %d: the write rate is exceeded",
			left, jobs*9/10)
	}
	leader.crash()
	w.checkEqual("phases without a leader", w.phaseCounts(other, sample), sampleCancelled)
	leader = w.start("n0")
	for range 20 {
		for phase, count := range w.phaseCounts(leader, sample) {
			if phase != api.JobCancelled && phase != api.ErrUnavailable.Error() {
				w.t.Errorf("next leader: got phase %s for %d jobs, want cancelled or unavailable", phase, count)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.checkEqual("phases at the next leader", w.phaseCounts(leader, ids), allCancelled)
	time.Sleep(15 * time.Minute)
	w.checkEqual("active records left", w.activeJobs(), 0)
	w.checkEqual("phases once recorded", w.phaseCounts(leader, ids), allCancelled)
	leader.inspect(func(c *Controller) {
		graph := &c.leaderTerm.dependencies
		inMemory := len(c.leaderTerm.jobs) + len(graph.pendingCancels) + len(graph.dependents)
		w.checkEqual("jobs and dependencies in memory", inMemory, 0)
	})
}

// A leader that is still reading the terminal records of dependencies must not report a job as pending
// that an earlier leader has reported as cancelled.
func TestCascadeIsReportedWhileTerminalRecordsAreUnread(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		ids := w.putDependentJobs(3, dependsOnPrevious)
		n := w.start("n0")
		if _, err := n.Cancel(w.t.Context(), ids[0]); err != nil {
			w.t.Fatal(err)
		}
		w.store.Delay(writesPrefix(records.TerminalPrefix)) // the cascade is not recorded
		n.inspect(func(c *Controller) {
			graph := &c.leaderTerm.dependencies
			for _, j := range c.leaderTerm.jobs {
				j.CancelPending = false // as at a leader that has not read the terminal record yet
			}
			graph.pendingCancels, graph.lookupInFlight = nil, true
		})
		w.checkEqual("phases", w.phaseCounts(n, ids[1:]), map[string]int{api.JobCancelled: 2})
		n.inspect(func(c *Controller) { c.leaderTerm.dependencies.lookupInFlight = false })
		time.Sleep(2 * time.Second) // the delayed writes time out
	})
}

// A follower that got a derived cancellation from an earlier leader reports it to the new leader as if
// it were recorded. The new leader must still record it, since no other node does.
func TestCascadeIsRecordedWhenPeersReportIt(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		ids := w.putDependentJobs(3, dependsOnPrevious)
		n := w.start("n0")
		w.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && writesPrefix(records.TerminalPrefix)(txn) })
		if _, err := n.Cancel(w.t.Context(), ids[0]); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(time.Second)
		n.inspect(func(c *Controller) {
			for _, id := range ids[1:] {
				c.recordCancellation(id)
			}
		})
		w.store.Delay(nil)
		time.Sleep(5 * time.Second)
		w.checkEqual("active records left", w.activeJobs(), 0)
	})
}
