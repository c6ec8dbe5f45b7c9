package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// awaiting puts a first job on record, and others of which each awaits what need says.
func (w *simulatedCluster) awaiting(jobs int, need func(i int) []string) (ids []string) {
	w.t.Helper()
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		s := spec(id, 1)
		if i > 0 {
			s.DependsOn = need(i)
		}
		w.put(records.ActivePrefix+id, records.ActiveRecord{Spec: *s, Accepted: time.Now()})
		ids = append(ids, id)
	}
	return ids
}

// told counts what a node tells of jobs.
func (w *simulatedCluster) told(n *node, ids []string) map[string]int {
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

// activeJobs counts the records of active jobs.
func (w *simulatedCluster) activeJobs() int {
	w.t.Helper()
	count := 0
	err := (&records.Records{Store: w.store}).ForEachKey(context.Background(), records.ActivePrefix+"job-", func(string) { count++ })
	if err != nil {
		w.t.Fatal(err)
	}
	return count
}

// However many jobs need a cancelled one, all are called cancelled within the time that
// a cancellation has, at every node, and never anything else afterwards: also while the
// write rate has let only a few be recorded, after a change of the leader, and while
// nobody leads. The records follow.
func TestCascadeOfThousandsIsToldAtOnce(t *testing.T) {
	const jobs = 3000
	for name, need := range map[string]func(i int) []string{
		"chain":  func(i int) []string { return []string{fmt.Sprint("job-", i-1)} },
		"fan":    func(int) []string { return []string{"job-0"} },
		"ladder": ladder,
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.state = config.KVLimits{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 12}
				ids := w.awaiting(jobs, need)
				some := []string{ids[1], ids[2], ids[jobs/2], ids[jobs-2], ids[jobs-1]}
				leader, other := w.start("n0"), w.start("n1")
				w.checkEqual("before", w.told(leader, some), map[string]int{api.JobPending: len(some)})
				if _, err := other.Cancel(context.Background(), ids[0]); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				all := map[string]int{api.JobCancelled: jobs}
				w.checkEqual("told by the leader", w.told(leader, ids), all)
				w.checkEqual("told by the other node", w.told(other, some), map[string]int{api.JobCancelled: len(some)})
				if left := w.activeJobs(); left < jobs*9/10 {
					t.Errorf("only %d records left: the write rate is not kept to", left)
				}
				leader.crash()
				w.checkEqual("while nobody leads", w.told(other, some), map[string]int{api.JobCancelled: len(some)})
				leader = w.start("n0")
				for range 20 {
					for phase, count := range w.told(leader, some) {
						if phase != api.JobCancelled && phase != api.ErrUnavailable.Error() {
							t.Errorf("%d called %s by the next leader", count, phase)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				w.checkEqual("told by the next leader", w.told(leader, ids), all)
				time.Sleep(15 * time.Minute)
				w.checkEqual("records left", w.activeJobs(), 0)
				w.checkEqual("told at last", w.told(leader, ids), all)
				leader.inspect(func(c *Controller) {
					w.checkEqual("in memory", len(c.leaderTerm.jobs)+len(c.leaderTerm.dependencies.pendingCancels)+len(c.leaderTerm.dependencies.dependents), 0)
				})
			})
		})
	}
}

// A leader that has yet to read how awaited jobs ended must not call a job pending that
// an earlier one has called cancelled.
func TestCascadeIsToldWhileEndsAreUnread(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		ids := w.awaiting(3, func(i int) []string { return []string{fmt.Sprint("job-", i-1)} })
		n := w.start("n0")
		if _, err := n.Cancel(context.Background(), ids[0]); err != nil {
			t.Fatal(err)
		}
		w.store.Delay(touches(records.TerminalPrefix)) // what follows is not recorded
		n.inspect(func(c *Controller) {
			dg := &c.leaderTerm.dependencies
			for _, j := range c.leaderTerm.jobs {
				j.CancelPending = false // as a leader has it that has not read the end yet
			}
			dg.pendingCancels, dg.lookingUp = nil, true
		})
		w.checkEqual("called", w.told(n, ids[1:]), map[string]int{api.JobCancelled: 2})
		n.inspect(func(c *Controller) { c.leaderTerm.dependencies.lookingUp = false })
		time.Sleep(2 * time.Second) // what is held is given up
	})
}

// A node that an older one has told of such a cancellation names it to the leader, as if
// it were on record. The leader goes on to record it: nobody else would.
func TestCascadeIsRecordedThoughOthersNameIt(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		ids := w.awaiting(3, func(i int) []string { return []string{fmt.Sprint("job-", i-1)} })
		n := w.start("n0")
		w.store.Delay(func(txn kv.Txn) bool { return txn.Records && touches(records.TerminalPrefix)(txn) })
		if _, err := n.Cancel(context.Background(), ids[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		n.inspect(func(c *Controller) {
			for _, id := range ids[1:] {
				c.recordCancellation(id)
			}
		})
		w.store.Delay(nil)
		time.Sleep(5 * time.Second)
		w.checkEqual("records left", w.activeJobs(), 0)
	})
}
