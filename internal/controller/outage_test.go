package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// The key-value store rejects first only the leader and then all nodes, for longer than a
// cancellation may take, while users cancel and query jobs at all nodes. The reported phases must
// stay valid, and every query must be answered once the store is available again.
func TestReportedPhasesAroundAnOutage(t *testing.T) {
	simulateOutages(t, func(tn *userCluster, want map[string]string) { tn.checkFinalPhases(want) })
}

// In the same outages no task may run longer after its cancellation than a cancellation may take.
// The leader receives the cancellations from the other nodes while the store rejects only it.
func TestCancelledTasksAroundAnOutage(t *testing.T) {
	simulateOutages(t, func(tn *userCluster, _ map[string]string) { tn.checkNoneOverdue() })
}

// simulateOutages runs a check after each of several outages of the store. Before each outage the
// store rejects only the leader, for a different time.
func simulateOutages(t *testing.T, check func(tn *userCluster, want map[string]string)) {
	t.Helper()
	for _, rejected := range []time.Duration{
		0,
		300 * time.Millisecond,
		time.Second,
		3 * time.Second,
		6 * time.Second,
		8 * time.Second,
		11 * time.Second,
		15 * time.Second,
	} {
		t.Run(fmt.Sprint("leader rejected for ", rejected), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 6)
				defer tn.close()
				check(tn, runOutageWithUsers(w, tn, rejected))
			})
		})
	}
}

// runOutageWithUsers runs jobs during an outage of 35 s while users cancel half of them, and checks
// that every node answers queries 8 s after its end. It returns the expected final phases.
func runOutageWithUsers(w *simulatedCluster, tn *userCluster, rejected time.Duration) (want map[string]string) {
	w.t.Helper()
	const jobs = 20
	const outage = 35 * time.Second
	time.Sleep(10 * time.Second) // all nodes have pinged each other
	want = submitJobsHalfToCancel(tn, jobs)
	time.Sleep(3 * time.Second)
	w.checkEqual("running", tn.countTasks(), jobs)
	tn.runInBackground(func() {
		tn.stores[0].setClosed(true)
		time.Sleep(rejected)
		w.store.SetDown(true)
		time.Sleep(outage)
		w.store.SetDown(false)
		tn.stores[0].setClosed(false)
	})
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		tn.pollAll(spec(id, 1), 300*time.Millisecond, rejected+outage+5*time.Second)
		if i%2 == 0 {
			tn.runInBackground(func() {
				time.Sleep(time.Duration(i) * rejected / 14) // the last ones during the outage
				tn.cancelUntilConfirmed(i/2, id)
			})
		}
	}
	time.Sleep(rejected + outage + 8*time.Second)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		for k := range 3 {
			if _, err := tn.checker.queryJob(tn.nodeAt(k), id); err != nil {
				w.t.Errorf("%s at node %d, 8 s after the outage: got error %v, want none", id, k, err)
			}
		}
	}
	time.Sleep(60 * time.Second)
	w.checkEqual("tasks on machines", tn.countTasks(), 0)
	return want
}

// submitJobsHalfToCancel submits jobs of which the caller cancels every second one, and returns their
// expected final phases. The others run for at least 10 s.
func submitJobsHalfToCancel(tn *userCluster, jobs int) (want map[string]string) {
	want = map[string]string{}
	for i := range jobs {
		s := spec(fmt.Sprint("job-", i), 1)
		if i%2 == 0 {
			want[s.ID] = api.JobCancelled
		} else {
			want[s.ID] = api.JobDone
			tn.taskDurations.Store(s.ID, time.Duration(10+i)*time.Second)
		}
		tn.submitUntilAccepted(i, s)
	}
	return want
}
