package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/records"
)

// lateCancel is a situation in which a user cancels a job whose last task has just completed, or whose
// last task runs. Node n0 leads and the only machine sends it heartbeats. Task 0 has completed before, and
// its completion is recorded.
type lateCancel struct {
	name string
	// disturb begins the fault, at the moment in which the last task completes, and heal ends it.
	disturb, heal func(tn *userCluster)
	// healAfter is the time from the end of the last task until heal.
	healAfter time.Duration
	// at is the node at which the user cancels.
	at int
	// limit is how long the user of an unfinished job may have to repeat the request; if it is 0, the first
	// one has to be answered.
	limit time.Duration
}

const (
	// cancelDelay is the time from the end of the job until its cancellation: the lag that users accept,
	// and a little more.
	cancelDelay = stateLag + 300*time.Millisecond
	// cancelAnswerLimit is how long a user waits for the answer to a request (PROTOCOL).
	cancelAnswerLimit = 5 * time.Second
	// hangTime is for how long a node hangs.
	hangTime     = 9 * time.Second
	lateJob      = racedJob
	dependentJob = "job-2"
)

func doNothing(*userCluster) {}

func crashNode0(tn *userCluster) { tn.crash(0) }

func crashNode0Later(tn *userCluster) { time.AfterFunc(time.Second, func() { tn.crash(0) }) }

func startNode0(tn *userCluster) { tn.startNode(0) }

// hangNode0 stops the owner goroutine of node 0 for hangTime. The node accepts requests and does not answer
// them.
func hangNode0(tn *userCluster) {
	n := tn.nodeAt(0)
	tn.runInBackground(func() { n.inspect(func(*Controller) { time.Sleep(hangTime) }) })
}

func delayEnd(tn *userCluster) { tn.store.Delay(isCompletion) }

func writeEnd(tn *userCluster) {
	tn.store.Delay(nil)
	tn.store.ApplyDelayed()
}

func stopDelays(tn *userCluster) { tn.store.Delay(nil) }

func rejectNode0(tn *userCluster) { tn.stores[0].setClosed(true) }

func acceptNode0(tn *userCluster) { tn.stores[0].setClosed(false) }

// muteFor returns a fault in which heartbeats do not reach the given nodes.
func muteFor(nodes ...int) func(tn *userCluster) {
	return func(tn *userCluster) {
		for _, i := range nodes {
			tn.mute.Store(fmt.Sprint("n", i), true)
		}
	}
}

func unmute(tn *userCluster) { tn.mute.Clear() }

func partition(tn *userCluster) { tn.links.partitioned.Store(true) }

func endPartition(tn *userCluster) { tn.links.partitioned.Store(false) }

// both returns a function that calls the given ones.
func both(first, second func(tn *userCluster)) func(tn *userCluster) {
	return func(tn *userCluster) { first(tn); second(tn) }
}

var lateCancels = []lateCancel{
	{name: "sound leader", disturb: doNothing, heal: doNothing},
	{name: "beside a sound leader", disturb: doNothing, heal: doNothing, at: 2},
	{name: "leader whose write waits", disturb: delayEnd, heal: writeEnd, healAfter: 9 * time.Second},
	{name: "beside a leader whose write waits", disturb: delayEnd, heal: writeEnd, healAfter: 9 * time.Second, at: 1},
	{
		name:    "leader crashed, at the node that got the heartbeat",
		disturb: crashNode0, heal: startNode0, healAfter: 5 * time.Second, at: 1,
	},
	{
		name:    "leader crashed, at a node that heard nothing",
		disturb: both(muteFor(2), crashNode0), heal: both(unmute, startNode0), healAfter: 5 * time.Second, at: 2,
	},
	{name: "leader crashed for good", disturb: crashNode0, heal: doNothing, at: 1},
	{
		name:    "leader got the heartbeat and crashed before its write",
		disturb: both(both(delayEnd, muteFor(1, 2)), crashNode0Later),
		heal:    both(both(stopDelays, unmute), startNode0), healAfter: 7 * time.Second, at: 1,
		limit: 10 * time.Second,
	},
	{name: "leader hangs", disturb: hangNode0, heal: doNothing, at: 1},
	{
		name:    "leader hangs, at a node that heard nothing",
		disturb: both(muteFor(2), hangNode0), heal: unmute, healAfter: hangTime, at: 2,
	},
	{
		name:    "store rejects the leader alone, at another node",
		disturb: rejectNode0, heal: acceptNode0, healAfter: 25 * time.Second, at: 1,
	},
	{
		name:    "store rejects the leader alone, at the leader", // which cannot write
		disturb: rejectNode0, heal: acceptNode0, healAfter: 8 * time.Second, limit: 20 * time.Second,
	},
	{
		name:    "only the machine knows, which answers probes",
		disturb: muteFor(0, 1, 2), heal: unmute, healAfter: 7 * time.Second,
	},
	{
		name:    "beside the leader, only the machine knows",
		disturb: muteFor(0, 1, 2), heal: unmute, healAfter: 7 * time.Second, at: 2,
	},
	{
		name:    "leader crashed, the heartbeat is on its way",
		disturb: both(muteFor(0, 1, 2), crashNode0), heal: unmute, healAfter: cancelDelay + 2*time.Second, at: 1,
	},
	{
		name:    "nodes partitioned and the leader's write waits",
		disturb: both(delayEnd, partition), heal: both(writeEnd, endPartition), healAfter: 5 * time.Second,
	},
	{
		name:    "nodes partitioned, at another node", // which waits for heartbeats, in case the leader is lost
		disturb: partition, heal: endPartition, healAfter: 25 * time.Second, at: 1, limit: 12 * time.Second,
	},
}

// run plays the situation, in which the last task completes if finished is set, and returns the first
// answer to the cancellation and how long the user waited for it.
func (c *lateCancel) run(tn *userCluster, finished bool) (phase string, waited time.Duration) {
	tn.taskDurations.Store(dependentJob, time.Second)
	dependent := spec(dependentJob, 1)
	dependent.DependsOn = []string{lateJob}
	tn.submitUntilAccepted(1, spec(lateJob, 2))
	tn.submitUntilAccepted(1, dependent)
	time.Sleep(4 * time.Second)
	tn.completeTask(lateJob + "/0")
	time.Sleep(4 * time.Second)
	c.disturb(tn)
	if finished {
		tn.completeTask(lateJob + "/1")
	} else {
		// The dependent job is cancelled with the other one.
		tn.checker.recordRequest(dependentJob, func(log *answerLog) { log.cancelled = true })
	}
	tn.runInBackground(func() {
		time.Sleep(c.healAfter)
		c.heal(tn)
	})
	time.Sleep(cancelDelay)
	asked := time.Now()
	tn.cancelUntilConfirmed(c.at, lateJob)
	phase, _ = tn.checker.end(lateJob)
	return phase, time.Since(asked)
}

// completeTask completes a running task and makes its machine send a heartbeat.
func (tn *userCluster) completeTask(ref string) {
	tn.t.Helper()
	for _, agent := range tn.agents {
		agent.mu.Lock()
		completed := false
		for i := range agent.status.Tasks {
			if t := &agent.status.Tasks[i]; t.Task == ref && t.Phase == api.TaskRunning {
				t.Phase, t.Cause, completed = api.TaskExited, api.CauseDone, true
				tn.checker.recordCompletion(ref)
			}
		}
		agent.mu.Unlock()
		if completed {
			agent.statusChanged <- struct{}{}
			return
		}
	}
	tn.t.Errorf("%s to complete: not running", ref)
}

// Guards against calling a job withdrawn whose tasks completed before its user cancelled it: each node has
// to answer "done", whoever knows of the completion, and the jobs after it go on.
func TestCancellationOfFinishedJobIsAnsweredDone(t *testing.T) {
	for _, c := range lateCancels {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 1)
				defer tn.close()
				phase, waited := c.run(tn, true)
				if phase != api.JobDone || waited > time.Minute {
					t.Fatalf("answer: got %q after %v, want %q within a minute", phase, waited, api.JobDone)
				}
				time.Sleep(30 * time.Second)
				tn.checkFinalPhases(map[string]string{lateJob: api.JobDone, dependentJob: api.JobDone})
			})
		})
	}
}

// A job with a task that runs is cancelled in each of these situations by the first request that the store
// allows, and its tasks end in time.
func TestCancellationOfUnfinishedJobIsConfirmedSoon(t *testing.T) {
	for _, c := range lateCancels {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 1)
				defer tn.close()
				phase, waited := c.run(tn, false)
				limit := cmp.Or(c.limit, cancelAnswerLimit)
				if phase != api.JobCancelled || waited > limit {
					t.Errorf("answer: got %q after %v, want %q within %v", phase, waited, api.JobCancelled, limit)
				}
				time.Sleep(45 * time.Second)
				tn.checkNoneOverdue()
				tn.checkEqual("running tasks", strings.Join(tn.agents[0].running(), " "), "")
				tn.checkFinalPhases(map[string]string{lateJob: api.JobCancelled, dependentJob: api.JobCancelled})
			})
		})
	}
}

// A new leader has loaded the records, and has heard nothing yet of the machine on which the last task has
// completed, or runs. The machine's heartbeat arrives a second after the request.
func TestCancellationAtNewLeaderBeforeResync(t *testing.T) {
	for finished, want := range map[bool]string{true: api.JobDone, false: api.JobCancelled} {
		simulate(t, func(w *simulatedCluster) {
			tn := newUserCluster(w, 1)
			defer tn.close()
			tn.submitUntilAccepted(1, spec(lateJob, 2))
			time.Sleep(4 * time.Second)
			tn.stores[0].setClosed(true) // the leader resigns
			for tn.awaitLeader() == 0 {
				time.Sleep(50 * time.Millisecond)
			}
			muteFor(0, 1, 2)(tn)
			if finished {
				tn.completeJob(lateJob)
			}
			time.Sleep(cancelDelay)
			time.AfterFunc(time.Second, func() { unmute(tn) })
			next, asked := tn.awaitLeader(), time.Now()
			tn.cancelUntilConfirmed(next, lateJob)
			if waited := time.Since(asked); waited > cancelAnswerLimit {
				t.Errorf("finished %v: answered after %v, want at most %v", finished, waited, cancelAnswerLimit)
			}
			tn.stores[0].setClosed(false)
			time.Sleep(10 * time.Second)
			tn.checkFinalPhases(map[string]string{lateJob: want})
		})
	}
}

// The store rejects the leader alone, which hears of the end of a job, cannot write it and steps down. The
// machine falls silent after that heartbeat, so only the former leader knows of the end.
func TestFormerLeaderKeepsUnrecordedCompletions(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(1, spec(lateJob, 2))
		time.Sleep(4 * time.Second)
		rejectNode0(tn)
		tn.completeJob(lateJob)
		time.Sleep(500 * time.Millisecond)
		muteFor(0, 1, 2)(tn)
		w.unresponsive.Store(tn.agents[0].status.Machine, true)
		for tn.awaitLeader() == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		tn.cancelUntilConfirmed(2, lateJob)
		acceptNode0(tn)
		tn.checkFinalPhases(map[string]string{lateJob: api.JobDone})
	})
}

// A leader of the version in production is away, and the machine's heartbeat has shown the end to a node of
// the current version, which must not cancel the job before it leads itself.
func TestCancellationOfFinishedJobWhileOldLeaderIsAway(t *testing.T) {
	simulateMixedCluster(t, 1, true, func(mc *mixedCluster) {
		mc.submit(mc.new, spec(lateJob, 2))
		mc.runSeconds(4)
		mc.old.crash()
		mc.runSeconds(5) // the tasks complete
		_, err := mc.new.Cancel(context.Background(), lateJob)
		mc.checkEqual("end not recorded", errors.Is(err, errEndNotRecorded), true)
		for i := 0; i < 40 && !mc.newLeads(); i++ {
			mc.runSeconds(1)
		}
		mc.runSeconds(2)
		state, err := mc.new.Cancel(context.Background(), lateJob)
		mc.checkEqual("answer", []any{state.Phase, err}, []any{api.JobDone, nil})
	})
}

// oldLeaderState is the part of a job's state that a leader of the version in production sends.
type oldLeaderState struct {
	Phase         string
	Done, Running int
}

// What a leader of the version in production answers to a poll, used to decide on a cancellation.
func TestStatusFromStateOfOldLeader(t *testing.T) {
	check := completionCheck{job: records.ActiveJob{Tasks: 3}}
	for state, want := range map[oldLeaderState]completion.Verdict{
		{Phase: api.JobDone, Done: 3}:                completion.Ended,
		{Phase: api.JobCancelled}:                    completion.Ended,
		{Phase: api.JobRunning, Done: 2, Running: 1}: completion.Unfinished,
		{Phase: api.JobRunning, Done: 3}:             completion.Finished,
		{Phase: api.JobRunning, Done: 2}:             completion.Unknown,
		{Phase: api.JobPending}:                      completion.Unknown,
	} {
		got := check.statusFromState(api.JobState{Phase: state.Phase, Done: state.Done, Running: state.Running})
		if got.Verdict != want {
			t.Errorf("%+v: got verdict %v, want %v", state, got.Verdict, want)
		}
	}
}

// runningGuest waits until all tasks of one of the jobs run in a cell, and returns its id.
func (g *cellGroup) runningGuest(host *cell, ids []string) string {
	g.t.Helper()
	for range 100 {
		for _, id := range ids {
			if len(runningTasksOf(host.agents, id)) == g.job(id).spec.Tasks {
				return id
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatal("no job has all its tasks running at the host")
	return ""
}

// A guest's tasks have completed while its host's leader restarts and the machines hang. Its user cancels
// it at home: it has to end as done.
func TestCancellationOfFinishedGuestIsAnsweredDone(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.runningGuest(host, g.submitBurst(home, 100, 6, time.Minute))
		g.mu.Lock()
		host.hangUntil = time.Now().Add(2500 * time.Millisecond)
		g.mu.Unlock()
		for _, agent := range host.agents {
			agent.mu.Lock()
			for i := range agent.status.Tasks {
				if task := &agent.status.Tasks[i]; strings.HasPrefix(task.Task, id+"/") {
					task.Phase, task.Cause = api.TaskExited, api.CauseDone
				}
			}
			agent.mu.Unlock()
		}
		host.restartNode(0, 200*time.Millisecond)
		home.checkEqual("answer", g.cancel(id, 60), api.JobDone)
		g.awaitAllEnded(10 * time.Minute)
	})
}

// Cancellations of a finished job that are repeated at all nodes, and delivered once more minutes later,
// all get the same answer. So does a late copy of a heartbeat from before the end.
func TestRepeatedCancellationsOfFinishedJobAgree(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(1, spec(lateJob, 2))
		time.Sleep(4 * time.Second)
		agent := tn.agents[0]
		agent.mu.Lock()
		old := copyHeartbeat(&agent.status)
		agent.mu.Unlock()
		tn.crash(0)
		tn.completeJob(lateJob)
		time.Sleep(cancelDelay)
		for i := range 12 {
			tn.runInBackground(func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				_ = tn.checker.cancel(tn.nodeAt(i), lateJob)
				late := copyHeartbeat(&old)
				_, _ = agent.deliver(tn.nodeAt(i+1), &late)
			})
		}
		time.Sleep(5 * time.Second)
		tn.startNode(0)
		time.Sleep(2 * time.Minute)
		for i := range 3 {
			tn.cancelUntilConfirmed(i, lateJob)
		}
		tn.checkFinalPhases(map[string]string{lateJob: api.JobDone})
	})
}

// While the checks of many cancellations wait, further ones are to be repeated, and submissions are served.
func TestConcurrentCompletionChecksAreBounded(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		other := w.start("n1")
		const jobs = maxCompletionChecks + 8
		for i := range jobs {
			w.submit(n, spec(fmt.Sprint("job-", i), 1))
		}
		time.Sleep(stateLag)
		n.crash()
		errs := make(chan error, jobs)
		for i := range jobs {
			go func() {
				_, err := other.Cancel(context.Background(), fmt.Sprint("job-", i))
				errs <- err
			}()
		}
		rejected := 0
		for range jobs {
			if <-errs != nil {
				rejected++
			}
		}
		w.checkEqual("rejected", rejected, jobs-cap(other.completionChecks))
	})
}
