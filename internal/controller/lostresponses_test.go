package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

func isAcceptance(id string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		return slices.ContainsFunc(txn.Ops, func(op kv.Op) bool { return op.Put == records.ActivePrefix+id })
	}
}

func isCancellation(id string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool { return !txn.Records && touches(records.TerminalPrefix+id)(txn) }
}

func isCompletion(id string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool { return txn.Records && touches(records.TerminalPrefix+id)(txn) }
}

// firstMatch matches the first transaction only.
func firstMatch(match func(kv.Txn) bool) func(kv.Txn) bool {
	done := false
	return func(txn kv.Txn) bool {
		if done {
			return false
		}
		done = match(txn)
		return done
	}
}

// A transaction is carried out and only its answer is lost, while others read what
// it wrote; the writer may then be refused for a while. It tells the same as they
// do, and neither fails what it has done nor does it once more.
func TestLostTransactionResponses(t *testing.T) {
	for _, c := range []struct {
		name, key string
		lose      func(kv.Txn) bool
		// by are the nodes that may write it; n0 leads.
		by   []int
		act  func(tn *userCluster, by int) error
		want string
		// starts and held are of the machines in the end.
		starts int64
		held   int
	}{
		{"acceptance", records.ActivePrefix + "job-1", isAcceptance("job-1"), []int{0, 1}, func(tn *userCluster, by int) error {
			_, err := tn.checker.submit(tn.at(by), spec("job-1", 2))
			return err
		}, "running", 2, 2},
		{"cancellation", records.TerminalPrefix + "job-1", isCancellation("job-1"), []int{0, 2}, func(tn *userCluster, by int) error {
			_, err := tn.checker.cancel(tn.at(by), "job-1")
			return err
		}, "withdrawn", 2, 0},
		{"end", records.TerminalPrefix + "job-1", isCompletion("job-1"), []int{0}, func(tn *userCluster, _ int) error {
			tn.finish("job-1")
			return nil
		}, "done", 2, 0},
	} {
		for _, by := range c.by {
			for _, refused := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprint(c.name, " by n", by, ", then refused for ", refused), func(t *testing.T) {
					simulate(t, func(w *cluster) {
						tn := newUserCluster(w, 2)
						defer tn.close()
						if c.name != "acceptance" {
							tn.accept(1, spec("job-1", 2))
							time.Sleep(3 * time.Second)
						}
						w.store.Lose(firstMatch(c.lose))
						tn.pollAll(spec("job-1", 2), 7*time.Millisecond, 3*time.Second)
						tn.background(func() {
							err := c.act(tn, by)
							if refused == 0 && err != nil {
								t.Errorf("told as if it had failed: %v", err)
							}
							if err != nil {
								err = insist(func() error { return c.act(tn, by) })
							}
							if err != nil {
								t.Errorf("in the end: %v", err)
							}
						})
						for !w.store.Has(c.key) {
							time.Sleep(time.Millisecond)
						}
						first := tn.written(c.key)
						tn.ways[by].set(refused > 0)
						time.Sleep(refused)
						tn.ways[by].set(false)
						time.Sleep(12 * time.Second)
						tn.finally(map[string]string{"job-1": c.want})
						w.same("written once", tn.written(c.key), first)
						w.same("starts", tn.starts(), c.starts)
						w.same("on machines", tn.held(), c.held)
						if c.want == "done" && refused == 0 {
							_, endedAt := tn.checker.end("job-1")
							w.same("told in time", endedAt.Sub(tn.checker.doneAt("job-1")) < 3*time.Second, true)
						}
						if c.want != "running" {
							tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.leaderTerm.jobs), 0) })
						}
					})
				})
			}
		}
	}
}

// A transaction without an answer is carried out late, when newer ones of the same
// controller have been: it must not bring a job back, end it anew, or change how it
// ended.
func TestDelayedTransactionsDoNotUndoNewerOnes(t *testing.T) {
	// Each act follows the one before by half a second.
	accept := func(tn *userCluster) { tn.accept(0, spec("job-1", 1)) }
	cancel := func(tn *userCluster) { tn.cancel(0, "job-1") }
	end := func(tn *userCluster) { tn.finish("job-1") }
	for _, c := range []struct {
		name    string
		hold    func(kv.Txn) bool
		every   bool // held back until the release, not only the first
		running bool // to begin with
		blind   bool // the watches show nothing meanwhile
		acts    []func(tn *userCluster)
		want    string // "": either end
	}{
		{"acceptance, repeated", isAcceptance("job-1"), false, false, false, []func(*userCluster){accept}, "running"},
		{"acceptance, cancelled since", isAcceptance("job-1"), false, false, false, []func(*userCluster){accept, cancel}, "withdrawn"},
		{"acceptance, ended since", isAcceptance("job-1"), false, false, false, []func(*userCluster){accept, func(*userCluster) { time.Sleep(2 * time.Second) }, end}, "done"},
		{"cancellation, repeated", isCancellation("job-1"), false, true, false, []func(*userCluster){cancel}, "withdrawn"},
		{"cancellation, given up, ended since", isCancellation("job-1"), true, true, false, []func(*userCluster){func(tn *userCluster) { tn.checker.cancel(tn.at(0), "job-1") }, func(tn *userCluster) {
			if len(tn.hosts[0].running())+len(tn.hosts[1].running()) > 0 {
				end(tn)
			}
		}}, ""},
		{"end, repeated", isCompletion("job-1"), false, true, false, []func(*userCluster){end}, "done"},
		{"end, cancelled since", isCompletion("job-1"), false, true, false, []func(*userCluster){end, cancel}, ""},
		{"end, cancelled since at another node", isCompletion("job-1"), false, true, true, []func(*userCluster){end, func(tn *userCluster) { tn.cancel(1, "job-1") }}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			late, seen := 0, map[string]int{}
			for release := 100 * time.Millisecond; release < 9*time.Second; release += 420 * time.Millisecond {
				simulate(t, func(w *cluster) {
					tn := newUserCluster(w, 2)
					defer tn.close()
					if c.running {
						tn.accept(0, spec("job-1", 1))
						time.Sleep(3 * time.Second)
					}
					if w.store.SetBlind(c.blind); c.every {
						w.store.Hold(c.hold)
					} else {
						w.store.Hold(firstMatch(c.hold))
					}
					tn.pollAll(spec("job-1", 1), 60*time.Millisecond, 14*time.Second)
					tn.background(func() {
						for _, act := range c.acts {
							act(tn)
							time.Sleep(500 * time.Millisecond)
						}
					})
					time.Sleep(release)
					final, before := records.TerminalPrefix+"job-1", uint64(0)
					if before = tn.written(final); before != 0 {
						late++
					}
					w.same("held back", w.store.Held() > 0, true)
					for _, res := range w.store.Release() {
						w.same("carried out over an end", before != 0 && res.Succeeded, false)
					}
					time.Sleep(13*time.Second - release)
					w.store.SetBlind(false)
					time.Sleep(3 * time.Second)
					want := c.want
					if end, _ := tn.checker.end("job-1"); want == "" {
						want = end
					}
					seen[want]++
					tn.finally(map[string]string{"job-1": want})
					if before != 0 {
						w.same("written once", tn.written(final), before)
					}
					if want != "running" {
						w.same("on machines", tn.held(), 0)
						tn.at(0).look(func(o *Controller) { w.same("jobs left", len(o.leaderTerm.jobs), 0) })
					}
				})
			}
			if c.want != "running" && late == 0 {
				t.Error("nothing was late")
			}
			if c.want == "" && (seen["done"] == 0 || seen["withdrawn"] == 0) {
				t.Errorf("ends seen: %v", seen)
			}
		})
	}
}
