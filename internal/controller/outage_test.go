package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// The key-value store rejects the leader alone and then everybody, for longer than a cancellation
// has, while users cancel and query at all nodes: what was reported holds, and once the store is back
// every query is answered.
func TestReportedPhasesAroundAnOutage(t *testing.T) {
	simulateOutages(t, func(tn *userCluster, want map[string]string) { tn.checkFinalPhases(want) })
}

// Nor does a task run on for longer than a cancellation has: the leader learns of what was cancelled
// through the other nodes while it alone was rejected.
func TestCancelledTasksAroundAnOutage(t *testing.T) {
	simulateOutages(t, func(tn *userCluster, _ map[string]string) { tn.checkNoneOverdue() })
}

// simulateOutages runs a check after outages before which the store rejects the leader alone for
// various times.
func simulateOutages(t *testing.T, check func(tn *userCluster, want map[string]string)) {
	t.Helper()
	for _, alone := range []time.Duration{
		0,
		300 * time.Millisecond,
		time.Second,
		3 * time.Second,
		6 * time.Second,
		8 * time.Second,
		11 * time.Second,
		15 * time.Second,
	} {
		t.Run(fmt.Sprint("alone for ", alone), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 6)
				defer tn.close()
				check(tn, runOutageWithUsers(w, tn, alone))
			})
		})
	}
}

// runOutageWithUsers runs jobs through an outage of 35 s during which users cancel half of them, and
// checks that every node answers queries 8 s after it. It returns the final phases of the jobs.
func runOutageWithUsers(w *simulatedCluster, tn *userCluster, alone time.Duration) (want map[string]string) {
	w.t.Helper()
	const jobs = 20
	const outage = 35 * time.Second
	time.Sleep(10 * time.Second) // all nodes know each other
	want = submitJobsHalfToCancel(tn, jobs)
	time.Sleep(3 * time.Second)
	w.checkEqual("running", tn.tasksOnMachines(), jobs)
	tn.background(func() {
		tn.ways[0].set(true)
		time.Sleep(alone)
		w.store.SetDown(true)
		time.Sleep(outage)
		w.store.SetDown(false)
		tn.ways[0].set(false)
	})
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		tn.pollAll(spec(id, 1), 300*time.Millisecond, alone+outage+5*time.Second)
		if i%2 == 0 {
			tn.background(func() {
				time.Sleep(time.Duration(i) * alone / 14) // the last ones in the outage
				tn.cancel(i/2, id)
			})
		}
	}
	time.Sleep(alone + outage + 8*time.Second)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		for k := range 3 {
			if _, err := tn.checker.ask(tn.nodeAt(k), id); err != nil {
				w.t.Errorf("%s at node %d, 8 s after the outage: got error %v, want none", id, k, err)
			}
		}
	}
	time.Sleep(60 * time.Second)
	w.checkEqual("tasks on machines", tn.tasksOnMachines(), 0)
	return want
}

// submitJobsHalfToCancel submits jobs of which every second one is to be cancelled, and returns their
// final phases. The others run for 10 s and more.
func submitJobsHalfToCancel(tn *userCluster, jobs int) (want map[string]string) {
	want = map[string]string{}
	for i := range jobs {
		s := spec(fmt.Sprint("job-", i), 1)
		if i%2 == 0 {
			want[s.ID] = api.JobCancelled
		} else {
			want[s.ID] = api.JobDone
			tn.takes.Store(s.ID, time.Duration(10+i)*time.Second)
		}
		tn.accept(i, s)
	}
	return want
}
