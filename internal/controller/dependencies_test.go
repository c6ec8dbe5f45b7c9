package controller

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// after is a job that awaits others.
func after(id, team string, tasks int, dependsOn ...string) *api.JobSpec {
	s := teamSpec(id, team, tasks)
	s.DependsOn = dependsOn
	return s
}

// diamond is a pipeline of two teams: 1, then 2 and 3, then 4, then 5, which awaits
// 1 as well.
func (s *checkedCluster) diamond(takes time.Duration) {
	s.submitJob(takes, teamSpec("job-1", "red", 4))
	s.submitJob(takes, after("job-2", "red", 3, "job-1"))
	s.submitJob(takes*2, after("job-3", "blue", 2, "job-1"))
	s.submitJob(takes, after("job-4", "red", 2, "job-2", "job-3"))
	s.submitJob(takes, after("job-5", "blue", 1, "job-4", "job-1"))
}

var diamondJobs = []string{"job-1", "job-2", "job-3", "job-4", "job-5"}

// follow tells the checker every second what a job is called at both nodes.
func (s *checkedCluster) follow(ids ...string) {
	for _, id := range ids {
		s.tasks.Go(func() {
			for s.ctx.Err() == nil {
				for _, name := range s.names {
					if n := s.node(name); n != nil {
						sentAt := time.Now()
						if p := s.phase(n, id); slices.Contains([]string{"pending", "running", "done", "withdrawn"}, p) {
							s.checker.recordPhaseSince(id, p, sentAt)
						}
					}
				}
				sleep(s.ctx, time.Second)
			}
		})
	}
}

// A pipeline runs in its order whatever happens to the leaders: no task starts
// before all that its job needs is done on record, also while records are late or
// their answers are lost.
func TestPipelineRunsInOrder(t *testing.T) {
	troubles := map[string]func(s *checkedCluster){
		"none":         func(*checkedCluster) {},
		"ends late":    func(s *checkedCluster) { s.store.Delay(touches(records.TerminalPrefix)) },
		"answers lost": func(s *checkedCluster) { s.store.LoseResponses(touches(records.TerminalPrefix)) },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			for _, c := range leaderChangeCases(0, 16*time.Second, 1700*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					simulateChecked(t, 4, func(s *checkedCluster) {
						s.diamond(3 * time.Second)
						s.follow(diamondJobs...)
						time.Sleep(c.offset)
						trouble(s)
						time.Sleep(time.Second)
						c.change(s)
						time.Sleep(3 * time.Second)
						s.store.ApplyDelayed()
						s.store.LoseResponses(nil)
						s.awaitAllEnded(3 * time.Minute)
						for _, id := range diamondJobs {
							s.checkEqual("end of "+id, s.phase(s.node("n0"), id), api.JobDone)
						}
						s.checkEqual("begun when done", s.checker.restartedWhenDone(), []string(nil))
					})
				})
			}
		})
	}
}

// A cancellation takes all that needs the job, directly or through others, also when
// the leader ends in the middle, and jobs that are submitted at that moment at
// another node. What is done before it and what does not need it goes on.
func TestCancellationTakesWhatFollows(t *testing.T) {
	for _, victim := range []string{"job-1", "job-2", "job-4"} {
		t.Run(victim, func(t *testing.T) {
			for _, c := range leaderChangeCases(-600*time.Millisecond, 1200*time.Millisecond, 150*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					simulateChecked(t, 4, func(s *checkedCluster) {
						off, change := c.offset, c.change
						s.diamond(8 * time.Second)
						s.submitJob(2*time.Second, teamSpec("job-9", "blue", 2)) // needs nothing
						s.follow(append(diamondJobs, "job-6", "job-7")...)
						time.Sleep(3 * time.Second)
						if off < 0 {
							s.tasks.Go(func() { change(s) })
							time.Sleep(-off)
							s.cancel(victim)
						} else {
							s.cancel(victim)
							time.Sleep(off)
							s.tasks.Go(func() { change(s) })
						}
						s.submitJob(2*time.Second, after("job-6", "red", 1, victim))
						s.submitJob(2*time.Second, after("job-7", "blue", 1, "job-6", "job-9"))
						time.Sleep(45 * time.Second)
						s.awaitAllEnded(2 * time.Minute)
						gone := []string{"job-4", "job-5", "job-6", "job-7"}
						switch victim {
						case "job-1":
							gone = append(gone, "job-2", "job-3")
						case "job-2":
							gone = append(gone, "job-2")
						}
						for _, id := range append(diamondJobs, "job-6", "job-7", "job-9") {
							want := api.JobDone
							if slices.Contains(gone, id) || id == victim {
								want = api.JobCancelled
							}
							s.checkEqual("end of "+id, s.phase(s.node("n0"), id), want)
						}
					})
				})
			}
		})
	}
}

// Submissions that name others: what was never accepted is refused, but not in an
// outage and not for a job that is known; what is cancelled takes the new job with
// it, which is accepted all the same; what is done is waited for no more.
func TestSubmissionsThatAwait(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		k.exit(api.CauseDone)
		k.serve(n, 4)
		w.checkEqual("first", w.phase(n, "job-1"), api.JobDone)
		w.submit(n, spec("job-2", 1))
		w.submit(n, after("job-3", "red", 1, "job-2"))
		submit := func(id string, dependsOn ...string) string {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			st, created, err := n.Submit(ctx, after(id, "red", 1, dependsOn...))
			var never *api.UnschedulableError
			switch {
			case errors.As(err, &never):
				return "422 " + never.Reason
			case err != nil:
				return "503"
			case !created:
				return "200 " + st.Phase
			}
			return "201 " + st.Phase
		}
		w.checkEqual("never accepted", submit("job-10", "job-1", "job-99"), "422 awaits job-99, which was never accepted")
		w.checkEqual("nothing stored", w.store.Has(records.ActivePrefix+"job-10"), false)
		w.checkEqual("known, whatever it names", submit("job-3", "job-99"), "200 pending")
		w.checkEqual("all done", submit("job-11", "job-1"), "201 pending")
		w.checkEqual("in any state", submit("job-12", "job-1", "job-2", "job-3"), "201 pending")
		var many []string
		for i := range 40 {
			w.submit(n, spec(fmt.Sprint("job-5", i), 1))
			many = append(many, fmt.Sprint("job-5", i))
		}
		w.checkEqual("many", submit("job-13", many...), "201 pending")
		w.checkEqual("many, one of them never", submit("job-14", append(many, "job-98")...), "422 awaits job-98, which was never accepted")
		if _, err := n.Cancel(context.Background(), "job-2"); err != nil {
			t.Fatal(err)
		}
		w.checkEqual("names a cancelled one", submit("job-15", "job-2"), "201 withdrawn")
		w.checkEqual("and one that needs it", submit("job-16", "job-12"), "201 withdrawn")
		time.Sleep(2 * time.Second)
		for _, id := range []string{"job-3", "job-12", "job-15", "job-16"} {
			w.checkEqual(id, w.phase(n, id), api.JobCancelled)
		}
		w.checkEqual("again", submit("job-15", "job-2"), "200 withdrawn")
		w.store.SetDown(true)
		w.checkEqual("in an outage", submit("job-17", "job-99"), "503")
		w.store.SetDown(false)
		time.Sleep(4 * time.Second)
		n.inspect(func(c *Controller) {
			w.checkEqual("may run", len(c.leaderTerm.jobs["job-11"].DependsOn), 0)
			w.checkEqual("in the queue", slices.Contains(c.leaderTerm.teams["red"].Items(), c.leaderTerm.jobs["job-11"]), true)
		})
	})
}

// A cancellation that comes too late, and is answered with done, lets the jobs after
// it go on.
func TestCancellationAnsweredWithDone(t *testing.T) {
	simulateChecked(t, 2, func(s *checkedCluster) {
		s.submitJob(2*time.Second, teamSpec("job-1", "red", 1))
		s.submitJob(2*time.Second, after("job-2", "red", 1, "job-1"))
		for s.phase(s.node("n0"), "job-1") != api.JobDone {
			time.Sleep(100 * time.Millisecond)
		}
		s.cancel("job-1")
		s.awaitAllEnded(time.Minute)
		s.checkEqual("after it", s.phase(s.node("n0"), "job-2"), api.JobDone)
	})
}

// While nobody leads, whoever reads a job that needs a cancelled one cancels it: its
// user must be told so in time.
func TestOrphansWhileNobodyLeads(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		leader, b := w.start("n0"), w.start("n1")
		w.submit(leader, spec("job-1", 1))
		w.submit(leader, after("job-2", "red", 1, "job-1"))
		w.submit(leader, after("job-3", "red", 1, "job-2"))
		leader.crash()
		if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		w.checkEqual("needs another that needs it", w.phase(b, "job-3"), api.JobCancelled)
		w.checkEqual("needs it", w.phase(b, "job-2"), api.JobCancelled)
		if _, created, err := b.Submit(context.Background(), after("job-4", "red", 1, "job-3")); err != nil || !created {
			t.Errorf("submitted after: %v", err)
		}
		w.checkEqual("after the last", w.phase(b, "job-4"), api.JobCancelled)
	})
}

// A job that waits holds nothing of its team's guarantee or limit, rents nothing and
// is no reason to go before others; its time counts from when it could run.
func TestWaitingHoldsNothing(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, after("job-2", "red", 100, "job-1"))
		k.serve(n, 100)
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			w.checkEqual("demand", lt.autoscaler.demand(), 1.0)
			w.checkEqual("in the queue", len(lt.teams["red"].Items()), 1)
			w.checkEqual("overlooked", lt.starved, 0)
			counts, _ := lt.pendingReasons(time.Now())
			w.checkEqual("why it waits", counts, map[string]int{"awaits others": 1})
		})
		st, err := n.Job(context.Background(), "job-2")
		w.checkEqual("waits for", st.DependsOn, []string{"job-1"})
		w.checkEqual("phase", st.Phase, api.JobPending)
		if err != nil {
			t.Error(err)
		}
		k.exit(api.CauseDone)
		k.serve(n, 3)
		w.checkEqual("begun", len(k.running()), 4)
		n.inspect(func(c *Controller) {
			j := c.leaderTerm.jobs["job-2"]
			w.checkEqual("since it could run", time.Since(j.RunnableSince) < 5*time.Second, true)
			w.checkEqual("its aim", time.Until(j.Objectives[0]) > 80*time.Second, true)
			w.checkEqual("demand", c.leaderTerm.autoscaler.demand(), 16.0)
		})
	})
}

// A pipeline's deadline and priority reach all its stages, those of other branches
// and teams too, as the latest time to begin that leaves time for what follows.
func TestUrgencyFlowsBackward(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.commandSender = nil
		n := w.start("n0")
		for _, s := range []*api.JobSpec{spec("job-1", 1), after("job-2", "red", 1, "job-1"), after("job-3", "blue", 1, "job-1"), spec("job-8", 1)} {
			s.Class = "stage" // without aims of its own
			w.submit(n, s)
		}
		last := after("job-4", "red", 1, "job-2", "job-3")
		last.DeadlineS, last.Priority, last.Class = 300, "urgent", "stage"
		w.submit(n, last)
		accepted := time.Now()
		time.Sleep(1500 * time.Millisecond) // the queues are put in order once a second
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			takes := 30*time.Second + time.Second + expectedStageLag // estimate, a report, and the lag
			for id, stages := range map[string]int{"job-4": 0, "job-2": 1, "job-3": 1, "job-1": 2} {
				j := lt.jobs[id]
				want := accepted.Add(300*time.Second - time.Duration(stages)*takes)
				if d := j.Objectives[0].Sub(want); d < -time.Second || d > time.Second {
					t.Errorf("%s should be complete %v from the wanted time", id, d)
				}
				w.checkEqual(id+" rank", j.PriorityRank, api.PriorityRank("urgent"))
			}
			w.checkEqual("of another pipeline", lt.jobs["job-8"].PriorityRank, api.PriorityRank("low"))
			w.checkEqual("served first", lt.teams["red"].Items()[0].ID(), "job-1")
		})
	})
}

// Long chains and wide fans are cancelled, and loaded by the next leader, with work
// in proportion to their size.
func TestLargePipelines(t *testing.T) {
	for name, need := range map[string]func(i int) []string{
		"chain": func(i int) []string { return []string{fmt.Sprint("job-", i-1)} },
		"fan":   func(int) []string { return []string{"job-0"} },
		"mesh": func(i int) []string {
			var ids []string
			for o := max(0, i-i%20-20); o < max(1, i-i%20); o++ {
				ids = append(ids, fmt.Sprint("job-", o))
			}
			return ids
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				const jobs = 200
				w.submit(n, spec("job-0", 1))
				for i := 1; i < jobs; i++ {
					s := after(fmt.Sprint("job-", i), "red", 1, need(i)...)
					s.DeadlineS = float64(100000 - i*100)
					if _, _, err := n.Submit(context.Background(), s); err != nil {
						t.Fatal(err)
					}
				}
				n.crash()
				n = w.start("n0")
				time.Sleep(2 * time.Second)
				n.inspect(func(c *Controller) { w.checkEqual("in the queue", len(c.leaderTerm.teams["red"].Items()), 1) })
				if _, err := n.Cancel(context.Background(), "job-0"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				p, err := w.store.Range(context.Background(), records.ActivePrefix+"job-", "", 500)
				if err != nil || len(p.Entries) > 0 {
					t.Errorf("%d jobs left, %v", len(p.Entries), err)
				}
				for i := range jobs {
					if got := w.phase(n, fmt.Sprint("job-", i)); got != api.JobCancelled {
						t.Fatalf("job-%d: %s", i, got)
					}
				}
				n.inspect(func(c *Controller) {
					w.checkEqual("left in memory", len(c.leaderTerm.jobs)+len(c.leaderTerm.dependencies.dependents)+len(c.leaderTerm.dependencies.pendingCancels), 0)
				})
			})
		})
	}
}

// With small transactions and more ends of jobs than the write rate has room for,
// what is cancelled with a job that it needs must still be so in time.
func TestCancellationsPassOnUnderLoad(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.state = config.KVLimits{RPS: 100, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
		n := w.start("n0")
		w.submit(n, spec("job-1", 1))
		for i := range 20 {
			w.submit(n, after(fmt.Sprint("job-2", i), "red", 1, "job-1"))
		}
		n.inspect(func(c *Controller) { c.leaderTerm.teams["blue"].LimitCPUs = 1000 })
		var ks []*worker
		for i := range 30 {
			ks = append(ks, w.worker(fmt.Sprint("i-", i), "a", false))
		}
		for i := range 200 {
			s := spec(fmt.Sprint("job-3", i), 1)
			s.Team = "blue"
			if _, _, err := n.Submit(context.Background(), s); err != nil {
				t.Fatal(err)
			}
		}
		work := func(seconds int) {
			for range seconds {
				for _, k := range ks {
					k.heartbeat(n)
					k.exit(api.CauseDone)
				}
				time.Sleep(time.Second)
			}
		}
		work(3)
		n.inspect(func(c *Controller) { c.leaderTerm.jobs["job-1"].BackoffUntil = time.Now().Add(time.Hour) })
		if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		work(20)
		n.inspect(func(c *Controller) { w.checkEqual("ends wait", c.leaderTerm.recordWriter.Backlog().Finishing > 20, true) })
		for i := range 20 {
			w.checkEqual("needs it", w.phase(n, fmt.Sprint("job-2", i)), api.JobCancelled)
		}
	})
}

// What cancels the jobs that need a cancelled one is not written, or its answer is
// lost, or it is carried out late: they are cancelled in time all the same.
func TestCancellationsPassOnWhenRecordsFail(t *testing.T) {
	derived := func(txn kv.Txn) bool {
		return touches(records.TerminalPrefix)(txn) && !touches(records.CancelKey)(txn)
	}
	for name, trouble := range map[string]func(w *simulatedCluster){
		"answers lost": func(w *simulatedCluster) { w.store.LoseResponses(derived) },
		"never":        func(w *simulatedCluster) { w.store.Delay(derived) },
		"late": func(w *simulatedCluster) {
			w.store.Delay(derived)
			time.AfterFunc(5*time.Second, func() { w.store.ApplyDelayed() })
		},
		"outage": func(w *simulatedCluster) { time.AfterFunc(100*time.Millisecond, func() { w.store.SetDown(true) }) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				for _, s := range []*api.JobSpec{spec("job-1", 1), after("job-2", "red", 1, "job-1"), after("job-3", "blue", 1, "job-2"), after("job-4", "red", 1, "job-1")} {
					w.submit(n, s)
				}
				trouble(w)
				if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(12 * time.Second)
				w.store.SetDown(false)
				w.store.Delay(nil)
				w.store.LoseResponses(nil)
				time.Sleep(10 * time.Second)
				for i := range 4 {
					id := fmt.Sprint("job-", i+1)
					w.checkEqual(id+" active", w.store.Has(records.ActivePrefix+id), false)
				}
				for i := range 4 { // not before: who asks for them ends them, too
					id := fmt.Sprint("job-", i+1)
					w.checkEqual(id, w.phase(n, id), api.JobCancelled)
				}
				n.inspect(func(c *Controller) {
					w.checkEqual("still to do", len(c.leaderTerm.jobs)+len(c.leaderTerm.dependencies.pendingCancels)+len(c.leaderTerm.dependencies.dependents), 0)
				})
			})
		})
	}
}

// When only cheap machines are left, which a job must not use, others are rented for
// it, though there is free room enough; for a job that awaits another, once that has
// begun.
func TestMachinesForJobsThatMayNotUseThose(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		cheap := w.worker("i-1", "a", true)
		cheap.serve(n, 4)
		ordinary := func(zone string) int {
			w.cloud.mu.Lock()
			defer w.cloud.mu.Unlock()
			sum := 0
			for _, r := range w.cloud.launches {
				if !r.Spot && (zone == "" || r.Zone == zone) {
					sum += r.Count
				}
			}
			return sum
		}
		n.inspect(func(c *Controller) { c.Policy.MinCPUs = 0 })
		cheap.serve(n, 20) // what was refused may be asked for again
		w.cloud.mu.Lock()
		w.cloud.capacity, w.cloud.launches = 10, nil
		w.cloud.mu.Unlock()
		first, second := spec("job-1", 1), after("job-2", "red", 2, "job-1")
		second.Spot = false
		w.submit(n, first)
		w.submit(n, second)
		w.checkEqual("before what it awaits has begun", ordinary(""), 0)
		cheap.serve(n, 5)
		w.checkEqual("begun", len(cheap.running()), 1)
		w.checkEqual("rented in time", ordinary(""), 1)
		zone := spec("job-3", 6)
		zone.Spot, zone.Zone = false, "b"
		w.submit(n, zone)
		cheap.serve(n, 8)
		w.checkEqual("in its zone", ordinary("b"), 2)
		before := ordinary("")
		cheap.serve(n, 8)
		w.checkEqual("not again while they boot", ordinary(""), before)
	})
}

// ladder is what the jobs of a pipeline of diamonds await: each of a level of two
// awaits both of the level before.
func ladder(i int) []string {
	if i <= 2 {
		return []string{"job-0"}
	}
	level := (i - 1) / 2
	return []string{fmt.Sprint("job-", 2*level-1), fmt.Sprint("job-", 2*level)}
}

// work is how often f allocates, as a measure of how much it does.
func work(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// In chains, fans and ladders of diamonds of thousands of jobs a deadline and a
// cancellation reach each job once: twice the jobs are no more than about twice the
// work. The branches of a diamond differ in length, so that a job that is looked at
// before all that need it are would be looked at again, and all before it, too.
func TestWorkInProportionToThePipeline(t *testing.T) {
	const jobs, mostGrowth = 1500, 3
	for name, need := range map[string]func(i int) []string{
		"chain":  func(i int) []string { return []string{fmt.Sprint("job-", i-1)} },
		"fan":    func(int) []string { return []string{"job-0"} },
		"ladder": ladder,
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				measure := func(jobs int) (deadline, cancel uint64) {
					n.inspect(func(c *Controller) {
						lt := c.leaderTerm
						add := func(id, dependsOn int, dueS float64) {
							s := spec(fmt.Sprint("job-", id), 1)
							if dependsOn > 0 {
								s.DependsOn = need(dependsOn)
							}
							s.Class, s.DeadlineS, s.EstimateS = "stage", dueS, float64(10+20*(id%2))
							lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s, Accepted: time.Now()}, uint64(1000+id))
						}
						for i := range jobs {
							add(i, i, 0)
						}
						deadline = work(func() { add(jobs, jobs, 600) })
						if len(lt.jobs["job-0"].DependentDeadlines) == 0 {
							t.Error("the deadline did not reach the first job")
						}
						cancel = work(func() { c.recordCancellation("job-0") })
						pending := map[*cluster.Job]bool{}
						for _, j := range lt.dependencies.pendingCancels {
							pending[j] = true
						}
						w.checkEqual("cancelled, each once", []int{len(pending), len(lt.dependencies.pendingCancels)}, []int{jobs, jobs})
						for j := range pending {
							lt.cancelJob(j)
						}
						w.checkEqual("left", len(lt.jobs)+len(lt.dependencies.dependents), 0)
						lt.dependencies.pendingCancels = nil
						c.finalStates.Purge()
					})
					return deadline, cancel
				}
				measure(10)
				deadline, cancel := measure(jobs)
				deadline2, cancel2 := measure(2 * jobs)
				if deadline2 > mostGrowth*deadline+100 || cancel2 > mostGrowth*cancel+100 {
					t.Errorf("%d and %d jobs: %d and %d for a deadline, %d and %d for a cancellation", jobs, 2*jobs, deadline, deadline2, cancel, cancel2)
				}
			})
		})
	}
}

// As many jobs as the share of the write rate holds are cancelled with the one that
// they need within the time that a cancellation has, however small transactions are.
func TestWideFanIsCancelledInTime(t *testing.T) {
	for _, lim := range []config.KVLimits{
		{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, {RPS: 120, WriteRPS: 25, ValueKB: 2, TxnOps: 3}, {RPS: 80, WriteRPS: 10, ValueKB: 2, TxnOps: 4},
	} {
		t.Run(fmt.Sprint(lim.WriteRPS, " ", lim.TxnOps), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				const cancelS = 30
				w.state = lim
				w.store.SetLimits(int(lim.ValueKB*1024), lim.TxnOps)
				n := w.start("n0")
				w.submit(n, spec("job-0", 1))
				jobs := int(0.95 * cancelS * lim.WriteRPS * 0.2) // two changes each, of 0.4 of the rate
				for i := range jobs {
					w.submit(n, after(fmt.Sprint("job-", 1+i), "red", 1, "job-0"))
				}
				if _, err := n.Cancel(context.Background(), "job-0"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(cancelS * time.Second)
				left := w.keysUnder(records.ActivePrefix + "job-")
				if len(left) > 0 {
					t.Errorf("%d of %d jobs left", len(left), jobs)
				}
				w.checkEqual("refused", w.store.RejectedAsTooLarge(), []string(nil))
			})
		})
	}
}
