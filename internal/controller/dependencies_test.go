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

// dependentSpec returns the spec of a job that depends on other jobs.
func dependentSpec(id, team string, tasks int, dependsOn ...string) *api.JobSpec {
	s := teamSpec(id, team, tasks)
	s.DependsOn = dependsOn
	return s
}

// submitDiamond submits a pipeline of two teams in the shape of a diamond: job-2 and job-3 depend on
// job-1, and job-4 on both of them. job-5 depends on job-4 and job-1. A task runs for runTime, and
// one of job-3 for twice that.
func (s *checkedCluster) submitDiamond(runTime time.Duration) {
	s.submitJob(runTime, teamSpec("job-1", "red", 4))
	s.submitJob(runTime, dependentSpec("job-2", "red", 3, "job-1"))
	s.submitJob(runTime*2, dependentSpec("job-3", "blue", 2, "job-1"))
	s.submitJob(runTime, dependentSpec("job-4", "red", 2, "job-2", "job-3"))
	s.submitJob(runTime, dependentSpec("job-5", "blue", 1, "job-4", "job-1"))
}

var diamondJobs = []string{"job-1", "job-2", "job-3", "job-4", "job-5"}

// recordPhases starts to poll jobs at every node once a second, and has the run checker record the
// phases in the responses.
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

// recordPhase polls a job at a node, and has the run checker record the phase in the response. Errors
// are not recorded.
func (s *checkedCluster) recordPhase(n *node, id string) {
	sentAt := time.Now()
	phase := s.phase(n, id)
	if slices.Contains([]string{"pending", "running", "done", "withdrawn"}, phase) {
		s.checker.recordPhaseSince(id, phase, sentAt)
	}
}

// No task of a pipeline starts before the ends of all dependencies of its job are recorded, across
// every kind of leader change and also when the terminal records are delayed or the responses to
// their writes are lost.
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

// runCascade cancels a job of a diamond before or after the start of a leader change, then submits
// job-6, which depends on the cancelled job, and job-7, which depends on job-6 and job-9. It checks that
// exactly the wanted jobs are cancelled.
func (s *checkedCluster) runCascade(c leaderChangeCase, cancelledJob string, wantCancelled []string) {
	s.submitDiamond(8 * time.Second)
	s.submitJob(2*time.Second, teamSpec("job-9", "blue", 2)) // has no dependencies
	s.recordPhases(append(diamondJobs, "job-6", "job-7")...)
	time.Sleep(3 * time.Second)
	if c.offset < 0 {
		s.goroutines.Go(func() { c.change(s) })
		time.Sleep(-c.offset)
		s.cancel(cancelledJob)
	} else {
		s.cancel(cancelledJob)
		time.Sleep(c.offset)
		s.goroutines.Go(func() { c.change(s) })
	}
	s.submitJob(2*time.Second, dependentSpec("job-6", "red", 1, cancelledJob))
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

// A cancellation also cancels all direct and indirect dependents of the job, even if the leader
// changes meanwhile. That includes dependents that are submitted at another node while the cancellation
// cascades. Jobs that do not depend on the job, and jobs that are done before the cancellation, are not
// affected.
func TestCancellationCascadesToDependents(t *testing.T) {
	for _, cancellation := range []struct {
		job           string
		wantCancelled []string
	}{
		{"job-1", []string{"job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7"}},
		{"job-2", []string{"job-2", "job-4", "job-5", "job-6", "job-7"}},
		{"job-4", []string{"job-4", "job-5", "job-6", "job-7"}},
	} {
		t.Run(cancellation.job, func(t *testing.T) {
			for _, c := range leaderChangeCases(-600*time.Millisecond, 1200*time.Millisecond, 150*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					simulateChecked(t, 4, func(s *checkedCluster) {
						s.runCascade(c, cancellation.job, cancellation.wantCancelled)
					})
				})
			}
		})
	}
}

// submitAfter submits a job that depends on other jobs. It returns the status code that the user gets,
// with the job's phase or, for 422, the reason of the rejection.
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

// A submission with a dependency that was never accepted is rejected with 422, except in an outage of
// the key-value store (503) and for a job that was accepted before (200). A job that depends on a
// cancelled job is accepted and cancelled at once. A job does not wait for dependencies that are done.
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
		check("one dependency never accepted", "422 awaits job-99, which was never accepted",
			"job-10", "job-1", "job-99")
		w.checkEqual("active record", w.store.Has(records.ActivePrefix+"job-10"), false)
		check("repeat of a known job with other dependencies", "200 pending", "job-3", "job-99")
		check("all dependencies done", "201 pending", "job-11", "job-1")
		check("dependencies in different phases", "201 pending", "job-12", "job-1", "job-2", "job-3")
		const count = 40
		many := make([]string, count, count+1)
		for i := range many {
			many[i] = fmt.Sprint("job-5", i)
			w.submit(n, spec(many[i], 1))
		}
		check("many dependencies", "201 pending", "job-13", many...)
		check("many dependencies, one never accepted", "422 awaits job-98, which was never accepted", "job-14",
			append(many, "job-98")...)
		if _, err := n.Cancel(context.Background(), "job-2"); err != nil {
			t.Fatal(err)
		}
		check("depends on a cancelled job", "201 withdrawn", "job-15", "job-2")
		check("depends on a dependent of a cancelled job", "201 withdrawn", "job-16", "job-12")
		time.Sleep(2 * time.Second)
		for _, id := range []string{"job-3", "job-12", "job-15", "job-16"} {
			w.checkEqual("phase of "+id, w.phase(n, id), api.JobCancelled)
		}
		check("repeat of a cancelled dependent", "200 withdrawn", "job-15", "job-2")
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

// A cancellation that arrives after the job is done, and gets the response that it is done, does not
// cancel the job's dependents.
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

// Without a leader, a node that reads a job with a cancelled dependency cancels the job, so that its
// user sees the cancellation in time.
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

// A job that waits for its dependencies uses none of its team's quota, adds nothing to the demand of
// the autoscaler and does not count as starved. The times that the site's objectives set for it count
// from when it became runnable.
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
		w.checkEqual("unfinished dependencies", st.DependsOn, []string{"job-1"})
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

// The deadline and priority of a pipeline's last job apply to all jobs before it, in every branch and
// team. The deadline of each is earlier by the expected durations of the stages that follow it.
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
			s.Class = "stage" // a class without configured objectives
			w.submit(n, s)
		}
		last := dependentSpec("job-4", "red", 1, "job-2", "job-3")
		last.DeadlineS, last.Priority, last.Class = 300, "urgent", "stage"
		w.submit(n, last)
		accepted := time.Now()
		time.Sleep(1500 * time.Millisecond) // the queues are sorted once a second
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			stageDuration := 30*time.Second + time.Second + expectedStageLag // estimate, heartbeat interval, lag
			for id, stages := range map[string]int{"job-4": 0, "job-2": 1, "job-3": 1, "job-1": 2} {
				j := lt.jobs[id]
				want := accepted.Add(300*time.Second - time.Duration(stages)*stageDuration)
				if difference := j.Objectives[0].Sub(want); difference < -time.Second || difference > time.Second {
					t.Errorf("objective of %s: got %v, want %v", id, j.Objectives[0], want)
				}
				w.checkEqual("priority rank of "+id, j.PriorityRank, api.PriorityRank("urgent"))
			}
			w.checkEqual("priority rank in another pipeline", lt.jobs["job-8"].PriorityRank, api.PriorityRank("low"))
			w.checkEqual("first in the queue", lt.teams["red"].Items()[0].ID(), "job-1")
		})
	})
}

// pipelineShape is a named shape of pipelines. dependsOn returns the jobs that job number i > 0
// depends on; job 0 has no dependencies.
type pipelineShape struct {
	name      string
	dependsOn func(i int) []string
}

func chainDependencies(i int) []string { return []string{fmt.Sprint("job-", i-1)} }

func fanDependencies(int) []string { return []string{"job-0"} }

// meshDependencies divides the jobs into levels of 20. Each job depends on all jobs of the previous
// level, or on job-0 if it is in the first level.
func meshDependencies(i int) []string {
	ids := make([]string, 0, 20)
	for previous := max(0, i-i%20-20); previous < max(1, i-i%20); previous++ {
		ids = append(ids, fmt.Sprint("job-", previous))
	}
	return ids
}

// ladderDependencies divides the jobs after job-0 into levels of two. Each job depends on both jobs of
// the previous level, so that the pipeline is a chain of diamonds.
func ladderDependencies(i int) []string {
	if i <= 2 {
		return []string{"job-0"}
	}
	level := (i - 1) / 2
	return []string{fmt.Sprint("job-", 2*level-1), fmt.Sprint("job-", 2*level)}
}

// submitPipeline submits the jobs of a pipeline. All but the first have deadlines.
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

// jobEntriesInMemory counts the leader's entries for jobs: active jobs, jobs with dependents, and
// cancellations still to be written.
func (lt *leaderTerm) jobEntriesInMemory() int {
	return len(lt.jobs) + len(lt.dependencies.dependents) + len(lt.dependencies.pendingCancels)
}

// A new leader loads a large pipeline, and the cancellation of its first job cancels all other jobs in
// time.
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
				n.inspect(func(c *Controller) { w.checkEqual("left in memory", c.leaderTerm.jobEntriesInMemory(), 0) })
			})
		})
	}
}

// The dependents of a cancelled job are cancelled in time even if transactions are small and more jobs
// end than the write rate allows.
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

// Dependents are cancelled in time even if the transactions that cancel them are not applied, are
// applied late or lose their responses, or the key-value store has an outage.
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
				for i := range 4 { // after the check of the records, since polling a dependent cancels it
					id := fmt.Sprint("job-", i+1)
					w.checkEqual("phase of "+id, w.phase(n, id), api.JobCancelled)
				}
				n.inspect(func(c *Controller) { w.checkEqual("left in memory", c.leaderTerm.jobEntriesInMemory(), 0) })
			})
		})
	}
}

// If only spot machines have free capacity, on-demand machines are launched for a job that must not use
// spot machines. If the job has a dependency, they are launched once the dependency has started.
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
		spot.heartbeatFor(n, 20) // the time after which launches that the cloud rejected may be repeated
		w.cloud.mu.Lock()
		w.cloud.capacity, w.cloud.launches = 10, nil
		w.cloud.mu.Unlock()
		first, second := spec("job-1", 1), dependentSpec("job-2", "red", 2, "job-1")
		second.Spot = false
		w.submit(n, first)
		w.submit(n, second)
		w.checkEqual("machines launched before the dependency has started", onDemand(""), 0)
		spot.heartbeatFor(n, 5)
		w.checkEqual("running", len(spot.running()), 1)
		w.checkEqual("machines launched once the dependency has started", onDemand(""), 1)
		zonalJob := spec("job-3", 6)
		zonalJob.Spot, zonalJob.Zone = false, "b"
		w.submit(n, zonalJob)
		spot.heartbeatFor(n, 8)
		w.checkEqual("machines launched in the job's zone", onDemand("b"), 2)
		before := onDemand("")
		spot.heartbeatFor(n, 8)
		w.checkEqual("machines launched while those are provisioning", onDemand(""), before)
	})
}

// countAllocations returns how many heap objects f allocates, as a measure of its work.
func countAllocations(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// addStage adds job number i of a pipeline to the leader's state. A deadlineS of 0 means no deadline.
func (p pipelineShape) addStage(lt *leaderTerm, i int, deadlineS float64) {
	s := spec(fmt.Sprint("job-", i), 1)
	if i > 0 {
		s.DependsOn = p.dependsOn(i)
	}
	// Estimates differ so that the branches of a diamond differ in duration.
	s.Class, s.DeadlineS, s.EstimateS = "stage", deadlineS, float64(10+20*(i%2))
	record := records.ActiveRecord{Spec: *s, Accepted: time.Now()}
	lt.addActiveJob(records.ActivePrefix+s.ID, record, uint64(1000+i))
}

// measureAllocations counts the allocations for adding a last job whose deadline propagates through
// the pipeline, and for a cancellation of the first job that cascades to all others. It checks that
// each job is cancelled exactly once.
func (p pipelineShape) measureAllocations(w *simulatedCluster, c *Controller, jobs int) (deadline, cancel uint64) {
	w.t.Helper()
	lt := c.leaderTerm
	for i := range jobs {
		p.addStage(lt, i, 0)
	}
	deadline = countAllocations(func() { p.addStage(lt, jobs, 600) })
	if len(lt.jobs["job-0"].DependentDeadlines) == 0 {
		w.t.Error("deadlines propagated to the first job: got none, want the pipeline's")
	}
	cancel = countAllocations(func() { c.recordCancellation("job-0") })
	pending := map[*cluster.Job]bool{}
	for _, j := range lt.dependencies.pendingCancels {
		pending[j] = true
	}
	w.checkEqual("cancelled jobs and pending cancellations",
		[]int{len(pending), len(lt.dependencies.pendingCancels)}, []int{jobs, jobs})
	for j := range pending {
		lt.cancelJob(j)
	}
	w.checkEqual("left in memory", len(lt.jobs)+len(lt.dependencies.dependents), 0)
	lt.dependencies.pendingCancels = nil
	c.finalStates.Purge()
	return deadline, cancel
}

// Propagating a deadline and cascading a cancellation visit each job of a pipeline once, so the work
// about doubles when the number of jobs doubles. A ladder of diamonds guards against visits in the
// wrong order: its branches differ in duration, so a job that is visited before all its dependents
// would be visited again, and with it all its direct and indirect dependencies.
func TestWorkIsLinearInPipelineSize(t *testing.T) {
	const jobs, maxGrowth = 1500, 3
	for _, shape := range []pipelineShape{
		{"chain", chainDependencies}, {"fan", fanDependencies}, {"ladder", ladderDependencies},
	} {
		t.Run(shape.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				var deadline, cancel, doubledDeadline, doubledCancel uint64
				n.inspect(func(c *Controller) { shape.measureAllocations(w, c, 10) })
				n.inspect(func(c *Controller) { deadline, cancel = shape.measureAllocations(w, c, jobs) })
				n.inspect(func(c *Controller) {
					doubledDeadline, doubledCancel = shape.measureAllocations(w, c, 2*jobs)
				})
				if limit := maxGrowth*deadline + 100; doubledDeadline > limit {
					t.Errorf("allocations for a deadline with twice the jobs: got %d, want at most %d",
						doubledDeadline, limit)
				}
				if limit := maxGrowth*cancel + 100; doubledCancel > limit {
					t.Errorf("allocations for a cancellation with twice the jobs: got %d, want at most %d",
						doubledCancel, limit)
				}
			})
		})
	}
}

// The cancellations of all dependents are written to the store within the time allowed for a
// cancellation, provided that the share of the write rate that a cascade may use suffices for that many
// writes. This holds for all of these limits on transactions.
func TestWideFanIsCancelledInTime(t *testing.T) {
	for _, limits := range []config.KVLimits{
		{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 12},
		{RPS: 120, WriteRPS: 25, ValueKB: 2, TxnOps: 3},
		{RPS: 80, WriteRPS: 10, ValueKB: 2, TxnOps: 4},
	} {
		t.Run(fmt.Sprint(limits.WriteRPS, " ", limits.TxnOps), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				const cancelS = 30
				w.storeLimits = limits
				w.store.SetLimits(int(limits.ValueKB*1024), limits.TxnOps)
				n := w.start("n0")
				w.submit(n, spec("job-0", 1))
				// The cascade may use 0.4 of the write rate, and each cancellation takes two writes.
				jobs := int(0.95 * cancelS * limits.WriteRPS * 0.2)
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
