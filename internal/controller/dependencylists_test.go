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

// manyDone are the names of so many jobs that are done.
func (w *simulatedCluster) manyDone(n int) (ids []string) {
	w.t.Helper()
	for i := range n {
		ids = append(ids, fmt.Sprint("job-", 1000+i))
		w.put(records.TerminalPrefix+ids[i], records.TerminalRecord{Phase: api.JobDone, Tasks: 1})
	}
	return ids
}

// put writes a key as some node would.
func (w *simulatedCluster) put(key string, value any) {
	w.t.Helper()
	if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Put: key, Value: value}}}); err != nil {
		w.t.Fatal(err)
	}
}

// A job whose awaited jobs do not fit its record waits for all of them, also the
// last in the list and under the next leader; it is cancelled with one of them, and
// nothing is left of its list once it is over.
func TestJobWithALongList(t *testing.T) {
	for _, end := range []string{api.JobDone, api.JobCancelled} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprint(end, " ", newLeader), func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) {
					w.state = config.KVLimits{RPS: 100, WriteRPS: 25, ValueKB: 2, TxnOps: 3}
					w.store.SetLimits(2048, 3)
					n := w.start("n0")
					k := w.worker("i-1", "a", false)
					w.submit(n, spec("job-1", 1))
					w.submit(n, after("job-2", "red", 1, append(w.manyDone(600), "job-1")...))
					w.submit(n, after("job-3", "red", 1, "job-2"))
					k.serve(n, 4)
					if newLeader {
						n.crash()
						n = w.start("n0")
					}
					k.serve(n, 6)
					w.checkEqual("begun", k.running(), []string{"job-1/0"})
					n.inspect(func(c *Controller) {
						if held := len(c.leaderTerm.jobs["job-2"].Spec.DependsOn); held > cluster.MaxEndedDependencies+2 {
							t.Errorf("%d names held while one job is waited for", held)
						}
					})
					w.checkEqual("told", w.phase(n, "job-2"), api.JobPending)
					st, _ := n.Job(context.Background(), "job-2")
					w.checkEqual("waits for", st.DependsOn, []string{"job-1"})
					if end == api.JobDone {
						k.exit(api.CauseDone)
						k.serve(n, 4)
						w.checkEqual("begun when done", k.running(), []string{"job-2/0"})
						k.exit(api.CauseDone)
					} else if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
						t.Fatal(err)
					}
					k.serve(n, 8)
					w.checkEqual("its end", w.phase(n, "job-2"), end)
					w.checkEqual("left of its list", w.keysUnder(records.DependencyPrefix), []string(nil))
					w.checkEqual("refused", w.store.RejectedAsTooLarge(), []string(nil))
				})
			})
		}
	}
}

// What is left of lists is removed by the next leader, but for the list of a job
// that is active and for those of jobs that may be about to be accepted.
func TestListsThatAreLeft(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.state = config.KVLimits{RPS: 100, WriteRPS: 25, ValueKB: 2, TxnOps: 3}
		n := w.start("n0")
		w.submit(n, spec("job-1", 1))
		w.submit(n, after("job-2", "red", 1, append(w.manyDone(300), "job-1")...))
		own := w.keysUnder(records.DependencyPrefix)
		w.put(records.DependencyPrefix+"job-2/other/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		w.put(records.DependencyPrefix+"job-1000/left/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		w.put(records.DependencyPrefix+"job-7/coming/00000", records.DependencyRecord{Jobs: []string{"job-1"}})
		n.crash()
		w.start("n0")
		time.Sleep(5 * time.Second)
		want := append(slices.Clone(own), records.DependencyPrefix+"job-7/coming/00000")
		w.checkEqual("kept", w.keysUnder(records.DependencyPrefix), want)
	})
}

// The times of a job that waited count from the end of the last job that it needs,
// also if an earlier leader saw that end; not from its acceptance, and not from the
// takeover. Of a record that an earlier version wrote the end is not known.
func TestTimesCountFromTheLastEnd(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, after("job-2", "red", 1, "job-1"))
		k.serve(n, 40)
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
		w.submit(n, after("job-3", "red", 1, "job-1", "job-8"))
		time.Sleep(3 * time.Second)
		n.inspect(func(c *Controller) {
			j := c.leaderTerm.jobs["job-2"]
			if d := j.RunnableSince.Sub(done); len(j.DependsOn) > 0 || d < 0 || d > 2*time.Second {
				t.Errorf("counts from %v after the end of what it awaited", d)
			}
			if d := j.Objectives[0].Sub(done); d < 88*time.Second || d > 92*time.Second {
				t.Errorf("should be complete %v after the end of what it awaited", d)
			}
			if j := c.leaderTerm.jobs["job-3"]; len(j.DependsOn) > 0 || j.RunnableSince.Sub(j.Accepted) > 2*time.Second || j.RunnableSince.Before(j.Accepted) {
				t.Errorf("submitted when all was done: counts from %v after its acceptance", j.RunnableSince.Sub(j.Accepted))
			}
		})
	})
}

// unreadableEnds is a store that does not tell how jobs ended while it is closed.
type unreadableEnds struct {
	*kvtest.Fake
	closed atomic.Bool
	asked  atomic.Int32
}

func (s *unreadableEnds) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.closed.Load() && strings.HasPrefix(key, records.TerminalPrefix) {
		s.asked.Add(1)
		return kv.Entry{}, kv.ErrNotApplied
	}
	return s.Fake.Get(ctx, key)
}

func (s *unreadableEnds) Range(ctx context.Context, prefix, from string, most int) (kv.Page, error) {
	if s.closed.Load() && prefix == records.TerminalPrefix {
		s.asked.Add(1)
		return kv.Page{}, kv.ErrNotApplied
	}
	return s.Fake.Range(ctx, prefix, from, most)
}

// A new leader that cannot read how awaited jobs ended starts nothing that needs
// them, does not ask more than a few times a second, and goes on once it can.
func TestEndsThatCannotBeRead(t *testing.T) {
	for _, many := range []int{1, 400} {
		t.Run(fmt.Sprint(many), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				st := &unreadableEnds{Fake: w.store}
				n := w.startWith("n0", st, nil)
				k := w.worker("i-1", "a", false)
				w.submit(n, after("job-1", "red", 1, w.manyDone(many)...))
				w.submit(n, after("job-2", "red", 1, "job-1"))
				n.crash()
				st.closed.Store(true)
				n = w.startWith("n0", st, nil)
				k.serve(n, 30)
				w.checkEqual("begun", k.running(), []string(nil))
				if sentAt := st.asked.Load(); sentAt < 5 || sentAt > 150 {
					t.Errorf("asked %d times", sentAt)
				}
				st.closed.Store(false)
				k.serve(n, 5)
				w.checkEqual("begun then", k.running(), []string{"job-1/0"})
			})
		})
	}
}

// A job that is submitted while what it needs is about to be cancelled with another
// is cancelled, too, at a node that hears of the leader as little as the leader of
// it; and so is one whose awaited jobs the leader does not know of yet.
func TestSubmittedDuringACascadeAtANodeCutOff(t *testing.T) {
	for name, trouble := range map[string]func(w *simulatedCluster){
		"the leader sees no change":     func(w *simulatedCluster) { w.store.SetWatchesBlind(true) },
		"the cascade is not written":    func(w *simulatedCluster) { w.store.Delay(func(txn kv.Txn) bool { return txn.Records }) },
		"the leader does both in order": func(*simulatedCluster) {},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				leader, other := w.start("n0"), w.start("n1")
				w.submit(leader, spec("job-1", 1))
				w.submit(other, after("job-2", "red", 1, "job-1"))
				w.submit(other, after("job-3", "blue", 1, "job-2"))
				trouble(w)
				if _, err := other.Cancel(context.Background(), "job-1"); err != nil {
					t.Fatal(err)
				}
				for i, n := range []*node{other, leader} {
					id := fmt.Sprint("job-", 4+i)
					st, created, err := n.Submit(context.Background(), after(id, "red", 1, "job-3"))
					if err != nil || !created || st.Phase != api.JobCancelled {
						t.Errorf("%s: %+v, %v, %v", id, st, created, err)
					}
				}
				time.Sleep(4 * time.Second)
				w.store.SetWatchesBlind(false)
				w.store.ApplyDelayed()
				time.Sleep(10 * time.Second)
				w.checkEqual("still active", w.keysUnder(records.ActivePrefix+"job-"), []string(nil))
				for _, n := range []*node{leader, other} {
					for i := range 5 {
						id := fmt.Sprint("job-", 1+i)
						w.checkEqual(id, w.phase(n, id), api.JobCancelled)
					}
				}
			})
		})
	}
}

// A job may name one that was accepted a moment ago by another node, of which the
// leader and the node that is asked have yet to hear.
func TestNamesOneAcceptedAMomentAgo(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		leader, other := w.start("n0"), w.start("n1")
		k := w.worker("i-1", "a", false)
		k.serve(leader, 2)
		w.store.SetWatchesBlind(true)
		w.submit(other, spec("job-1", 1))
		w.submit(leader, after("job-2", "red", 1, "job-1"))
		w.submit(other, after("job-3", "red", 1, "job-2", "job-1"))
		k.serve(leader, 5)
		w.checkEqual("begun unseen", k.running(), []string(nil))
		w.store.SetWatchesBlind(false)
		k.serve(leader, 6)
		w.checkEqual("begun", k.running(), []string{"job-1/0"})
		for _, id := range []string{"job-2/0", "job-3/0"} {
			k.exit(api.CauseDone)
			k.serve(leader, 4)
			w.checkEqual("begun next", k.running(), []string{id})
		}
	})
}
