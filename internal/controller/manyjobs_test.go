package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// Small jobs come four a second for minutes, a quarter of them cancelled. What that
// costs must not grow: the writes and watches of a second, and the jobs in memory.
func TestLoadOfManySmallJobsIsBounded(t *testing.T) {
	simulate(t, func(w *cluster) {
		tn := newUserCluster(w, 10)
		defer tn.close()
		const jobs = 720
		want := map[string]string{}
		inMemory, lists := 0, 0
		tn.tally.reset()
		for i := range jobs {
			s := spec(fmt.Sprint("job-", i), 1)
			tn.takes.Store(s.ID, 2*time.Second)
			tn.background(func() {
				tn.accept(i, s)
				tn.follow(i, s.ID, 700*time.Millisecond)
				if i%4 == 1 {
					time.Sleep(time.Duration(i*37%4000) * time.Millisecond)
					tn.cancel(i/4, s.ID)
					for k := range 6 {
						tn.background(func() { tn.checker.ask(tn.at(k), s.ID) })
					}
				}
			})
			// Four within some milliseconds, since one watch may show them all.
			if time.Sleep(8 * time.Millisecond); i%4 == 3 {
				time.Sleep(968 * time.Millisecond)
				tn.at(0).look(func(c *Controller) {
					lt := c.leaderTerm
					if lt == nil {
						t.Error("the leader leads no more")
						return
					}
					inMemory = max(inMemory, len(lt.jobs))
					lists = max(lists, len(lt.recordWriter.finishing)+len(lt.recordWriter.pendingDeletes)+len(lt.recordWriter.dirtyJobs)+len(lt.recordWriter.outcomeUnknown))
				})
			}
		}
		time.Sleep(15 * time.Second)
		late, cancelled := 0, 0
		for i := range jobs {
			id := fmt.Sprint("job-", i)
			end, at := tn.checker.end(id)
			if want[id] = end; end == api.JobCancelled {
				cancelled++
			} else if at.Sub(tn.checker.doneAt(id)) > 3*time.Second+700*time.Millisecond {
				late++
			}
			w.same("an end", end != "", true)
		}
		w.same("told late of an end", late, 0)
		tn.finally(want)
		tn.gone()
		mostRequests, _ := tn.tally.counts(tn.tally.requests)
		mostWrites, writes := tn.tally.counts(tn.tally.writes)
		mostWatches, watches := tn.tally.counts(tn.tally.watches)
		for _, b := range []struct {
			what      string
			got, most int
		}{
			{"requests in a second", mostRequests, 45},
			{"writes in a second", mostWrites, 25},
			// Its record, its end in the record's place, and the mark of a
			// cancellation; a few for machines.
			{"writes", writes, 3*jobs + cancelled + 60},
			{"watches in a second", mostWatches, 10},
			{"watches", watches, 700},
			{"jobs in memory", inMemory, 16},
			{"records to write", lists, 20},
		} {
			if b.got > b.most {
				t.Errorf("%s: %d, more than %d", b.what, b.got, b.most)
			}
		}
		w.same("cancelled in time", cancelled > 100, true)
		tn.at(0).look(func(c *Controller) {
			if c.leaderTerm == nil {
				return
			}
			w.same("jobs left", len(c.leaderTerm.jobs), 0)
			for _, m := range c.leaderTerm.machines {
				w.same("attempts left", len(m.attempts), 0)
			}
		})
		for _, prefix := range []string{records.ActivePrefix + "job-", records.CompletionPrefix} {
			p, err := w.store.Range(context.Background(), prefix, "", 10)
			if err != nil || len(p.Entries) > 0 {
				t.Errorf("records left under %s: %v, %v", prefix, p.Entries, err)
			}
		}
	})
}

// Whatever is accepted and not cancelled stays known and is done in the end, with
// changes of leader of every kind and answers lost meanwhile.
func TestAcceptedJobsCompleteAcrossLeaderChanges(t *testing.T) {
	for shift := time.Duration(0); shift < 4*time.Second; shift += 700 * time.Millisecond {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			simulate(t, func(w *cluster) {
				tn := newUserCluster(w, 5)
				defer tn.close()
				time.Sleep(10 * time.Second)
				// Every fifth transaction's answer is lost.
				writes, lost := 0, 0
				w.store.Lose(func(txn kv.Txn) bool {
					if len(txn.Ops) == 0 {
						return false
					}
					if writes++; writes%5 == 0 {
						lost++
					}
					return writes%5 == 0
				})
				tn.background(func() {
					time.Sleep(15*time.Second + shift)
					i := tn.leader() // back at once
					tn.crash(i)
					tn.begin(i)
					time.Sleep(25 * time.Second)
					i = tn.leader() // refused alone: resigns
					tn.ways[i].set(true)
					time.Sleep(15 * time.Second)
					tn.ways[i].set(false)
					time.Sleep(10 * time.Second)
					i = tn.leader() // away until its lease is over
					tn.crash(i)
					time.Sleep(40 * time.Second)
					tn.begin(i)
				})
				const jobs = 60
				want := map[string]string{}
				for i := range jobs {
					s := spec(fmt.Sprint("job-", i), 1+i%3)
					tn.takes.Store(s.ID, time.Duration(2+i%7)*time.Second)
					want[s.ID] = "done"
					tn.background(func() {
						tn.accept(i, s)
						tn.follow(i, s.ID, 1500*time.Millisecond)
						if i%10 == 3 {
							time.Sleep(time.Duration(i%4) * time.Second)
							tn.cancel(i+1, s.ID)
						}
						time.Sleep(2 * time.Second)
						tn.accept(i+2, s)
					})
					time.Sleep(1700 * time.Millisecond)
				}
				time.Sleep(75 * time.Second)
				w.store.Lose(nil)
				for i := range jobs {
					if id := fmt.Sprint("job-", i); i%10 == 3 {
						want[id], _ = tn.checker.end(id)
					}
				}
				tn.finally(want)
				tn.gone()
				w.same("on machines", tn.held(), 0)
				w.same("answers lost", lost > 20, true)
			})
		})
	}
}
