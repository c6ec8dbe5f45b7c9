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

// dependentSpec is a job that depends on others.
func dependentSpec(id, team string, tasks int, dependsOn ...string) *api.JobSpec {
	s := teamSpec(id, team, tasks)
	s.DependsOn = dependsOn
	return s
}

// submitDiamond submits a pipeline of two teams: job-1, then job-2 and job-3, then job-4, then job-5,
// which depends on job-1 as well.
func (s *checkedCluster) submitDiamond(takes time.Duration) {
	s.submitJob(takes, teamSpec("job-1", "red", 4))
	s.submitJob(takes, dependentSpec("job-2", "red", 3, "job-1"))
	s.submitJob(takes*2, dependentSpec("job-3", "blue", 2, "job-1"))
	s.submitJob(takes, dependentSpec("job-4", "red", 2, "job-2", "job-3"))
	s.submitJob(takes, dependentSpec("job-5", "blue", 1, "job-4", "job-1"))
}

var diamondJobs = []string{"job-1", "job-2", "job-3", "job-4", "job-5"}

// recordPhases has the run checker record, every second, the phases that both nodes answer for jobs.
func (s *checkedCluster) recordPhases(ids ...string) {
	for _, id := range ids {
		s.goroutines.Go(func() {
			for s.ctx.Err() == nil {
				for _, name := range s.names {
					if n := s.node(name); n != nil {
						s.recordPhase(n, id)
					}
				}
				sleep(s.ctx, time.Second)
			}
		})
	}
}

// recordPhase has the run checker record the phase that a node answers for a job, if it answers one.
func (s *checkedCluster) recordPhase(n *node, id string) {
	sentAt := time.Now()
	phase := s.phase(n, id)
	if slices.Contains([]string{"pending", "running", "done", "withdrawn"}, phase) {
		s.checker.recordPhaseSince(id, phase, sentAt)
	}
}

// A pipeline runs in its order whatever happens to the leaders: no task starts before the ends of all
// jobs that its job depends on are recorded, also while records are delayed or responses are lost.
func TestPipelineRunsInOrder(t *testing.T) {
	faults := []struct {
		name   string
		inject func(s *checkedCluster)
	}{
		{"no fault", func(*checkedCluster) {}},
		{"terminal records delayed", func(s *checkedCluster) { s.store.Delay(writesPrefix(records.TerminalPrefix)) }},
		{"responses lost", func(s *checkedCluster) { s.store.LoseResponses(writesPrefix(records.TerminalPrefix)) }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for _, c := range leaderChangeCases(0, 16*time.Second, 1700*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					simulateChecked(t, 4, func(s *checkedCluster) {
						s.submitDiamond(3 * time.Second)
						s.recordPhases(diamondJobs...)
						time.Sleep(c.offset)
						f.inject(s)
						time.Sleep(time.Second)
						c.change(s)
						time.Sleep(3 * time.Second)
						s.store.ApplyDelayed()
						s.store.LoseResponses(nil)
						s.awaitAllEnded(3 * time.Minute)
						for _, id := range diamondJobs {
							s.checkEqual("phase of "+id, s.phase(s.node("n0"), id), api.JobDone)
						}
						s.checkEqual("started again when done", s.checker.restartedAfterCompletion(), []string(nil))
					})
				})
			}
		})
	}
}

// runCascade cancels a job of a diamond around a leader change, submits two jobs that depend on it,
// and checks that just the wanted jobs are cancelled.
func (s *checkedCluster) runCascade(c leaderChangeCase, victim string, wantCancelled []string) {
	s.submitDiamond(8 * time.Second)
	s.submitJob(2*time.Second, teamSpec("job-9", "blue", 2)) // depends on nothing
	s.recordPhases(append(diamondJobs, "job-6", "job-7")...)
	time.Sleep(3 * time.Second)
	if c.offset < 0 {
		s.goroutines.Go(func() { c.change(s) })
		time.Sleep(-c.offset)
		s.cancel(victim)
	} else {
		s.cancel(victim)
		time.Sleep(c.offset)
		s.goroutines.Go(func() { c.change(s) })
	}
	s.submitJob(2*time.Second, dependentSpec("job-6", "red", 1, victim))
	s.submitJob(2*time.Second, dependentSpec("job-7", "blue", 1, "job-6", "job-9"))
	time.Sleep(45 * time.Second)
	s.awaitAllEnded(2 * time.Minute)
	for _, id := range append(diamondJobs, "job-6", "job-7", "job-9") {
		want := api.JobDone
		if slices.Contains(wantCancelled, id) {
			want = api.JobCancelled
		}
		s.checkEqual("phase of "+id, s.phase(s.node("n0"), id), want)
	}
}

// A cancellation cancels all that depends on the job, directly or through others, also when the leader
// changes meanwhile, and jobs that are submitted at that moment at another node. Jobs that are done
// before it and those that do not depend on it are not affected.
func TestCancellationCascadesToDependents(t *testing.T) {
	for _, v := range []struct {
		job           string
		wantCancelled []string
	}{
		{"job-1", []string{"job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7"}},
		{"job-2", []string{"job-2", "job-4", "job-5", "job-6", "job-7"}},
		{"job-4", []string{"job-4", "job-5", "job-6", "job-7"}},
	} {
		t.Run(v.job, func(t *testing.T) {
			for _, c := range leaderChangeCases(-600*time.Millisecond, 1200*time.Millisecond, 150*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					simulateChecked(t, 4, func(s *checkedCluster) { s.runCascade(c, v.job, v.wantCancelled) })
				})
			}
		})
	}
}

// submitAfter submits a job that depends on others, and returns the status code and the reason or the
// job's phase that its user sees.
func submitAfter(n *node, id string, dependsOn ...string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	st, created, err := n.Submit(ctx, dependentSpec(id, "red", 1, dependsOn...))
	var unschedulable *api.UnschedulableError
	switch {
	case errors.As(err, &unschedulable):
		return "422 " + unschedulable.Reason
	case err != nil:
		return "503"
	case !created:
		return "200 " + st.Phase
	}
	return "201 " + st.Phase
}

// Submissions with dependencies: one on a job that was never accepted is rejected, but not in an outage
// and not for a job that is known; one on a cancelled job is accepted and cancelled at once; one on a
// job that is done no longer waits for it.
func TestSubmissionsWithDependencies(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		check := func(name, want, id string, dependsOn ...string) {
			w.t.Helper()
			w.checkEqual(name, submitAfter(n, id, dependsOn...), want)
		}
		w.submit(n, spec("job-1", 1))
		k.heartbeatFor(n, 3)
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 4)
		w.checkEqual("phase of the first job", w.phase(n, "job-1"), api.JobDone)
		w.submit(n, spec("job-2", 1))
		w.submit(n, dependentSpec("job-3", "red", 1, "job-2"))
		check("one never accepted", "422 awaits job-99, which was never accepted", "job-10", "job-1", "job-99")
		w.checkEqual("active record", w.store.Has(records.ActivePrefix+"job-10"), false)
		check("known job, whatever it depends on", "200 pending", "job-3", "job-99")
		check("all done", "201 pending", "job-11", "job-1")
		check("in any phase", "201 pending", "job-12", "job-1", "job-2", "job-3")
		const count = 40
		many := make([]string, count, count+1)
		for i := range many {
			many[i] = fmt.Sprint("job-5", i)
			w.submit(n, spec(many[i], 1))
		}
		check("many", "201 pending", "job-13", many...)
		check("many, one never accepted", "422 awaits job-98, which was never accepted", "job-14",
			append(many, "job-98")...)
		if _, err := n.Cancel(context.Background(), "job-2"); err != nil {
			t.Fatal(err)
		}
		check("on a cancelled job", "201 withdrawn", "job-15", "job-2")
		check("on a dependent of a cancelled job", "201 withdrawn", "job-16", "job-12")
		time.Sleep(2 * time.Second)
		for _, id := range []string{"job-3", "job-12", "job-15", "job-16"} {
			w.checkEqual("phase of "+id, w.phase(n, id), api.JobCancelled)
		}
		check("again", "200 withdrawn", "job-15", "job-2")
		w.store.SetDown(true)
		check("in an outage", "503", "job-17", "job-99")
		w.store.SetDown(false)
		time.Sleep(4 * time.Second)
		n.inspect(func(c *Controller) {
			j := c.leaderTerm.jobs["job-11"]
			w.checkEqual("unresolved dependencies", len(j.DependsOn), 0)
			w.checkEqual("in the queue", slices.Contains(c.leaderTerm.teams["red"].Items(), j), true)
		})
	})
}

// A cancellation that arrives too late, and is answered with done, does not affect the job's
// dependents.
func TestCancellationAnsweredWithDone(t *testing.T) {
	simulateChecked(t, 2, func(s *checkedCluster) {
		s.submitJob(2*time.Second, teamSpec("job-1", "red", 1))
		s.submitJob(2*time.Second, dependentSpec("job-2", "red", 1, "job-1"))
		for s.phase(s.node("n0"), "job-1") != api.JobDone {
			time.Sleep(100 * time.Millisecond)
		}
		s.cancel("job-1")
		s.awaitAllEnded(time.Minute)
		s.checkEqual("phase of the dependent", s.phase(s.node("n0"), "job-2"), api.JobDone)
	})
}

// While nobody leads, a node that reads a job which depends on a cancelled one cancels it: its user
// must see that in time.
func TestDependentsAreCancelledWhileNobodyLeads(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		leader, b := w.start("n0"), w.start("n1")
		w.submit(leader, spec("job-1", 1))
		w.submit(leader, dependentSpec("job-2", "red", 1, "job-1"))
		w.submit(leader, dependentSpec("job-3", "red", 1, "job-2"))
		leader.crash()
		if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		w.checkEqual("phase of the indirect dependent", w.phase(b, "job-3"), api.JobCancelled)
		w.checkEqual("phase of the dependent", w.phase(b, "job-2"), api.JobCancelled)
		_, created, err := b.Submit(context.Background(), dependentSpec("job-4", "red", 1, "job-3"))
		if err != nil || !created {
			t.Errorf("submission of a dependent: got created %v, %v, want true and no error", created, err)
		}
		w.checkEqual("phase of the new dependent", w.phase(b, "job-4"), api.JobCancelled)
	})
}

// A job that waits for its dependencies reserves nothing of its team's quota, adds nothing to the
// demand of the autoscaler and does not count as starved; its time counts from when it could run.
func TestJobThatWaitsForDependenciesReservesNothing(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 1))
		w.submit(n, dependentSpec("job-2", "red", 100, "job-1"))
		k.heartbeatFor(n, 100)
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			view := lt.fleetView(time.Now())
			w.checkEqual("demand", lt.autoscaler.Demand(&view), 1.0)
			w.checkEqual("in the queue", len(lt.teams["red"].Items()), 1)
			w.checkEqual("starved", lt.starvedJobs, 0)
			counts, _ := lt.pendingReasons(time.Now())
			w.checkEqual("pending reasons", counts, map[string]int{"awaits others": 1})
		})
		st, err := n.Job(context.Background(), "job-2")
		w.checkEqual("waits for the jobs", st.DependsOn, []string{"job-1"})
		w.checkEqual("phase", st.Phase, api.JobPending)
		if err != nil {
			t.Error(err)
		}
		k.exit(api.CauseDone)
		k.heartbeatFor(n, 3)
		w.checkEqual("running", len(k.running()), 4)
		n.inspect(func(c *Controller) {
			j := c.leaderTerm.jobs["job-2"]
			w.checkEqual("became runnable less than 5 s ago", time.Since(j.RunnableSince) < 5*time.Second, true)
			w.checkEqual("next objective more than 80 s ahead", time.Until(j.Objectives[0]) > 80*time.Second, true)
			view := c.leaderTerm.fleetView(time.Now())
			w.checkEqual("demand", c.leaderTerm.autoscaler.Demand(&view), 16.0)
		})
	})
}

// A pipeline's deadline and priority reach all its stages, those of other branches and teams too, as
// the latest time to start that leaves time for their dependents.
func TestDeadlineAndPriorityReachEarlierStages(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.commandSender = nil
		n := w.start("n0")
		for _, s := range []*api.JobSpec{
			spec("job-1", 1),
			dependentSpec("job-2", "red", 1, "job-1"),
			dependentSpec("job-3", "blue", 1, "job-1"),
			spec("job-8", 1),
		} {
			s.Class = "stage" // without objectives of its own
			w.submit(n, s)
		}
		last := dependentSpec("job-4", "red", 1, "job-2", "job-3")
		last.DeadlineS, last.Priority, last.Class = 300, "urgent", "stage"
		w.submit(n, last)
		accepted := time.Now()
		time.Sleep(1500 * time.Millisecond) // the queues are sorted once a second
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			takes := 30*time.Second + time.Second + expectedStageLag // estimate, a heartbeat, and the lag
			for id, stages := range map[string]int{"job-4": 0, "job-2": 1, "job-3": 1, "job-1": 2} {
				j := lt.jobs[id]
				want := accepted.Add(300*time.Second - time.Duration(stages)*takes)
				if d := j.Objectives[0].Sub(want); d < -time.Second || d > time.Second {
					t.Errorf("objective of %s: got %v, want %v", id, j.Objectives[0], want)
				}
				w.checkEqual("priority rank of "+id, j.PriorityRank, api.PriorityRank("urgent"))
			}
			w.checkEqual("priority rank in another pipeline", lt.jobs["job-8"].PriorityRank, api.PriorityRank("low"))
			w.checkEqual("first in the queue", lt.teams["red"].Items()[0].ID(), "job-1")
		})
	})
}

// pipelineShape names a shape of pipelines, and the jobs that their job number i > 0 depends on.
type pipelineShape struct {
	name      string
	dependsOn func(i int) []string
}

func chainDependencies(i int) []string { return []string{fmt.Sprint("job-", i-1)} }

func fanDependencies(int) []string { return []string{"job-0"} }

// meshDependencies has each job of a level of 20 depend on all of the level before.
func meshDependencies(i int) []string {
	ids := make([]string, 0, 20)
	for o := max(0, i-i%20-20); o < max(1, i-i%20); o++ {
		ids = append(ids, fmt.Sprint("job-", o))
	}
	return ids
}

// ladderDependencies has each job of a level of two depend on both of the level before: a pipeline of
// diamonds.
func ladderDependencies(i int) []string {
	if i <= 2 {
		return []string{"job-0"}
	}
	level := (i - 1) / 2
	return []string{fmt.Sprint("job-", 2*level-1), fmt.Sprint("job-", 2*level)}
}

// submitPipeline submits jobs of a pipeline with deadlines.
func (p pipelineShape) submitPipeline(w *simulatedCluster, n *node, jobs int) {
	w.t.Helper()
	w.submit(n, spec("job-0", 1))
	for i := 1; i < jobs; i++ {
		s := dependentSpec(fmt.Sprint("job-", i), "red", 1, p.dependsOn(i)...)
		s.DeadlineS = float64(100000 - i*100)
		if _, _, err := n.Submit(context.Background(), s); err != nil {
			w.t.Fatal(err)
		}
	}
}

// jobsHeld counts the jobs in memory, those with dependents, and the cancellations still to write.
func (lt *leaderTerm) jobsHeld() int {
	return len(lt.jobs) + len(lt.dependencies.dependents) + len(lt.dependencies.pendingCancels)
}

// A new leader loads large pipelines, and the cancellation of their first job cancels all the others
// in time.
func TestLargePipelinesAreLoadedAndCancelled(t *testing.T) {
	for _, shape := range []pipelineShape{
		{"chain", chainDependencies}, {"fan", fanDependencies}, {"mesh", meshDependencies},
	} {
		t.Run(shape.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				const jobs = 200
				shape.submitPipeline(w, n, jobs)
				n.crash()
				n = w.start("n0")
				time.Sleep(2 * time.Second)
				n.inspect(func(c *Controller) {
					w.checkEqual("in the queue", len(c.leaderTerm.teams["red"].Items()), 1)
				})
				if _, err := n.Cancel(context.Background(), "job-0"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				p, err := w.store.Range(context.Background(), records.ActivePrefix+"job-", "", 500)
				if err != nil || len(p.Entries) > 0 {
					t.Errorf("active records: got %d, %v, want none", len(p.Entries), err)
				}
				for i := range jobs {
					if got := w.phase(n, fmt.Sprint("job-", i)); got != api.JobCancelled {
						t.Fatalf("phase of job-%d: got %s, want %s", i, got, api.JobCancelled)
					}
				}
				n.inspect(func(c *Controller) { w.checkEqual("left in memory", c.leaderTerm.jobsHeld(), 0) })
			})
		})
	}
}

// With small transactions and more ends of jobs than the write rate allows, the dependents of a
// cancelled job are still cancelled in time.
func TestCancellationsCascadeUnderLoad(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.storeLimits = config.KVLimits{RPS: 100, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
		n := w.start("n0")
		w.submit(n, spec("job-1", 1))
		for i := range 20 {
			w.submit(n, dependentSpec(fmt.Sprint("job-2", i), "red", 1, "job-1"))
		}
		n.inspect(func(c *Controller) { c.leaderTerm.teams["blue"].LimitCPUs = 1000 })
		ks := make([]*worker, 30)
		for i := range ks {
			ks[i] = w.worker(fmt.Sprint("i-", i), "a", false)
		}
		for i := range 200 {
			s := spec(fmt.Sprint("job-3", i), 1)
			s.Team = "blue"
			if _, _, err := n.Submit(context.Background(), s); err != nil {
				t.Fatal(err)
			}
		}
		runTasks := func(seconds int) {
			for range seconds {
				for _, k := range ks {
					k.heartbeat(n)
					k.exit(api.CauseDone)
				}
				time.Sleep(time.Second)
			}
		}
		runTasks(3)
		n.inspect(func(c *Controller) { c.leaderTerm.jobs["job-1"].BackoffUntil = time.Now().Add(time.Hour) })
		if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		runTasks(20)
		n.inspect(func(c *Controller) {
			w.checkEqual("more than 20 ends to write", c.leaderTerm.recordWriter.Backlog().Finishing > 20, true)
		})
		for i := range 20 {
			w.checkEqual("phase of a dependent", w.phase(n, fmt.Sprint("job-2", i)), api.JobCancelled)
		}
	})
}

// When the transactions that cancel dependents are not applied, lose their responses, or are applied
// late, the dependents are cancelled in time all the same.
func TestCancellationsCascadeWhenRecordsFail(t *testing.T) {
	isCascade := func(txn kv.Txn) bool {
		return writesPrefix(records.TerminalPrefix)(txn) && !writesPrefix(records.CancelKey)(txn)
	}
	for _, f := range []struct {
		name   string
		inject func(w *simulatedCluster)
	}{
		{"responses lost", func(w *simulatedCluster) { w.store.LoseResponses(isCascade) }},
		{"never applied", func(w *simulatedCluster) { w.store.Delay(isCascade) }},
		{"applied late", func(w *simulatedCluster) {
			w.store.Delay(isCascade)
			time.AfterFunc(5*time.Second, func() { w.store.ApplyDelayed() })
		}},
		{"outage", func(w *simulatedCluster) {
			time.AfterFunc(100*time.Millisecond, func() { w.store.SetDown(true) })
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				w.submit(n, spec("job-1", 1))
				w.submit(n, dependentSpec("job-2", "red", 1, "job-1"))
				w.submit(n, dependentSpec("job-3", "blue", 1, "job-2"))
				w.submit(n, dependentSpec("job-4", "red", 1, "job-1"))
				f.inject(w)
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
					w.checkEqual("active record of "+id, w.store.Has(records.ActivePrefix+id), false)
				}
				for i := range 4 { // not before the check of the records: a poll cancels the job, too
					id := fmt.Sprint("job-", i+1)
					w.checkEqual("phase of "+id, w.phase(n, id), api.JobCancelled)
				}
				n.inspect(func(c *Controller) { w.checkEqual("left in memory", c.leaderTerm.jobsHeld(), 0) })
			})
		})
	}
}

// When only spot machines have free capacity, which a job must not use, others are launched for it;
// for a job that depends on another, once that has started.
func TestMachinesAreLaunchedForJobsThatMayNotUseSpot(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		spot := w.worker("i-1", "a", true)
		spot.heartbeatFor(n, 4)
		onDemand := func(zone string) int {
			w.cloud.mu.Lock()
			defer w.cloud.mu.Unlock()
			sum := 0
			for _, launch := range w.cloud.launches {
				if !launch.Spot && (zone == "" || launch.Zone == zone) {
					sum += launch.Count
				}
			}
			return sum
		}
		n.inspect(func(c *Controller) { c.Policy.MinCPUs = 0 })
		spot.heartbeatFor(n, 20) // launches that the cloud rejected may be repeated
		w.cloud.mu.Lock()
		w.cloud.capacity, w.cloud.launches = 10, nil
		w.cloud.mu.Unlock()
		first, second := spec("job-1", 1), dependentSpec("job-2", "red", 2, "job-1")
		second.Spot = false
		w.submit(n, first)
		w.submit(n, second)
		w.checkEqual("launched before its dependency has started", onDemand(""), 0)
		spot.heartbeatFor(n, 5)
		w.checkEqual("running", len(spot.running()), 1)
		w.checkEqual("launched in time", onDemand(""), 1)
		zone := spec("job-3", 6)
		zone.Spot, zone.Zone = false, "b"
		w.submit(n, zone)
		spot.heartbeatFor(n, 8)
		w.checkEqual("launched in its zone", onDemand("b"), 2)
		before := onDemand("")
		spot.heartbeatFor(n, 8)
		w.checkEqual("launched while those are provisioning", onDemand(""), before)
	})
}

// countAllocations counts the allocations of f, as a measure of its work.
func countAllocations(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// addStage adds job number i of a pipeline with a deadline, 0 for none.
func (p pipelineShape) addStage(lt *leaderTerm, i int, deadlineS float64) {
	s := spec(fmt.Sprint("job-", i), 1)
	if i > 0 {
		s.DependsOn = p.dependsOn(i)
	}
	// The branches of a diamond differ in length.
	s.Class, s.DeadlineS, s.EstimateS = "stage", deadlineS, float64(10+20*(i%2))
	record := records.ActiveRecord{Spec: *s, Accepted: time.Now()}
	lt.addRecord(records.ActivePrefix+s.ID, record, uint64(1000+i))
}

// measure counts the allocations by which the deadline of a pipeline's last job reaches the others,
// and a cancellation of the first job its dependents. It checks that each is cancelled just once.
func (p pipelineShape) measure(w *simulatedCluster, c *Controller, jobs int) (deadline, cancel uint64) {
	w.t.Helper()
	lt := c.leaderTerm
	for i := range jobs {
		p.addStage(lt, i, 0)
	}
	deadline = countAllocations(func() { p.addStage(lt, jobs, 600) })
	if len(lt.jobs["job-0"].DependentDeadlines) == 0 {
		w.t.Error("deadlines of the first job's dependents: got none, want the pipeline's")
	}
	cancel = countAllocations(func() { c.recordCancellation("job-0") })
	pending := map[*cluster.Job]bool{}
	for _, j := range lt.dependencies.pendingCancels {
		pending[j] = true
	}
	w.checkEqual("cancelled, each once", []int{len(pending), len(lt.dependencies.pendingCancels)}, []int{jobs, jobs})
	for j := range pending {
		lt.cancelJob(j)
	}
	w.checkEqual("left in memory", len(lt.jobs)+len(lt.dependencies.dependents), 0)
	lt.dependencies.pendingCancels = nil
	c.finalStates.Purge()
	return deadline, cancel
}

// In chains, fans and ladders of diamonds of thousands of jobs a deadline and a cancellation reach each
// job once: twice the jobs are no more than about twice the work. Since the branches of a diamond
// differ in length, a job that is visited before all its dependents are would be visited again, and
// all that it depends on, too.
func TestWorkIsLinearInPipelineSize(t *testing.T) {
	const jobs, maxGrowth = 1500, 3
	for _, shape := range []pipelineShape{
		{"chain", chainDependencies}, {"fan", fanDependencies}, {"ladder", ladderDependencies},
	} {
		t.Run(shape.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				var deadline, cancel, deadlineOfTwice, cancelOfTwice uint64
				n.inspect(func(c *Controller) { shape.measure(w, c, 10) })
				n.inspect(func(c *Controller) { deadline, cancel = shape.measure(w, c, jobs) })
				n.inspect(func(c *Controller) { deadlineOfTwice, cancelOfTwice = shape.measure(w, c, 2*jobs) })
				if limit := maxGrowth*deadline + 100; deadlineOfTwice > limit {
					t.Errorf("work of a deadline in twice the jobs: got %d, want at most %d", deadlineOfTwice, limit)
				}
				if limit := maxGrowth*cancel + 100; cancelOfTwice > limit {
					t.Errorf("work of a cancellation in twice the jobs: got %d, want at most %d", cancelOfTwice, limit)
				}
			})
		})
	}
}

// As many dependents as the cascade's share of the write rate allows for are cancelled within the time
// that a cancellation has, however small transactions are.
func TestWideFanIsCancelledInTime(t *testing.T) {
	for _, lim := range []config.KVLimits{
		{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 12},
		{RPS: 120, WriteRPS: 25, ValueKB: 2, TxnOps: 3},
		{RPS: 80, WriteRPS: 10, ValueKB: 2, TxnOps: 4},
	} {
		t.Run(fmt.Sprint(lim.WriteRPS, " ", lim.TxnOps), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				const cancelS = 30
				w.storeLimits = lim
				w.store.SetLimits(int(lim.ValueKB*1024), lim.TxnOps)
				n := w.start("n0")
				w.submit(n, spec("job-0", 1))
				jobs := int(0.95 * cancelS * lim.WriteRPS * 0.2) // two changes each, of 0.4 of the rate
				for i := range jobs {
					w.submit(n, dependentSpec(fmt.Sprint("job-", 1+i), "red", 1, "job-0"))
				}
				if _, err := n.Cancel(context.Background(), "job-0"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(cancelS * time.Second)
				left := w.keysUnder(records.ActivePrefix + "job-")
				if len(left) > 0 {
					t.Errorf("active records: got %d of %d, want none", len(left), jobs)
				}
				w.checkEqual("rejected for size", w.store.RejectedAsTooLarge(), []string(nil))
			})
		})
	}
}
