package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// poll requests a job's state from a node. The answer checker checks the response. The error is
// ignored, since a node may fail any single request.
func (tn *userCluster) poll(node int, id string) {
	_, _ = tn.checker.queryJob(tn.nodeAt(node), id)
}

// monotonicityCase is a fault during which users act on their jobs.
type monotonicityCase struct {
	name string
	// before runs to its end before the users act. fault starts right before that and runs
	// concurrently.
	before, fault func(tn *userCluster)
	// delayStep is the difference between successive tries in how long users act after the start
	// of fault.
	delayStep time.Duration
}

// isolateFirstNode makes the store reject the first node's requests, and waits until another node leads.
func isolateFirstNode(tn *userCluster) {
	tn.stores[0].setClosed(true)
	time.Sleep(9 * time.Second)
}

// reconnectFirstNode makes the store accept the first node's requests again.
func reconnectFirstNode(tn *userCluster) { tn.stores[0].setClosed(false) }

var monotonicityCases = []monotonicityCase{
	{name: "no fault", delayStep: 13 * time.Millisecond},
	{name: "watches delayed", delayStep: 100 * time.Millisecond, fault: func(tn *userCluster) {
		tn.store.SetWatchesStalled(true)
		time.Sleep(1500 * time.Millisecond)
		tn.store.SetWatchesStalled(false)
	}},
	{name: "leader restarts", delayStep: 60 * time.Millisecond, fault: func(tn *userCluster) {
		tn.crash(0)
		tn.startNode(0)
	}},
	{name: "another leader", delayStep: 700 * time.Millisecond, fault: func(tn *userCluster) {
		isolateFirstNode(tn)
		reconnectFirstNode(tn)
	}},
	{name: "former leader", delayStep: 60 * time.Millisecond, before: isolateFirstNode, fault: reconnectFirstNode},
}

// run polls four jobs at all nodes while the first completes, the second is accepted, the third is
// cancelled, and the fourth is cancelled right after its acceptance.
func (c *monotonicityCase) run(w *simulatedCluster, try int) {
	w.t.Helper()
	tn := newUserCluster(w, 2)
	defer tn.close()
	completed, accepted, cancelled := spec("job-1", 2), spec("job-2", 1), spec("job-3", 2)
	acceptedAndCancelled := spec("job-4", 1)
	tn.submitUntilAccepted(0, completed)
	tn.submitUntilAccepted(1, cancelled)
	time.Sleep(3 * time.Second)
	for _, s := range []*api.JobSpec{completed, cancelled} {
		w.checkEqual("phase of "+s.ID, w.phase(tn.nodeAt(0), s.ID), "running")
	}
	if c.before != nil {
		c.before(tn)
	}
	if c.fault != nil {
		tn.runInBackground(func() { c.fault(tn) })
	}
	time.Sleep(time.Duration(try) * c.delayStep)
	for _, s := range []*api.JobSpec{completed, accepted, cancelled, acceptedAndCancelled} {
		tn.pollAll(s, 4*time.Millisecond, 900*time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	tn.runInBackground(func() { tn.completeJob(completed.ID) })
	tn.runInBackground(func() { tn.submitUntilAccepted(2, accepted) })
	tn.runInBackground(func() { tn.cancelUntilConfirmed(try, cancelled.ID) })
	tn.runInBackground(func() {
		tn.submitUntilAccepted(try, acceptedAndCancelled)
		tn.cancelUntilConfirmed(try+1, acceptedAndCancelled.ID)
	})
	time.Sleep(12 * time.Second)
	w.checkEqual("more than 200 answers", tn.checker.answers() > 200, true)
	tn.checkFinalPhases(map[string]string{
		"job-1": "done",
		"job-2": "running",
		"job-3": "withdrawn",
		"job-4": "withdrawn",
	})
	tn.checkNoneOverdue()
	w.checkEqual("job that was never submitted", w.phase(tn.nodeAt(try), "job-9"), api.ErrUnknownJob.Error())
}

// Users poll all nodes every few milliseconds, repeat submissions and cancel jobs while a job is
// accepted, ends or is cancelled. No node may respond with an older state than another node has
// reported. The risk is a leader whose watch is delayed, and a node that has just been elected or has
// just stepped down.
func TestResponsesAreMonotonic(t *testing.T) {
	for _, c := range monotonicityCases {
		t.Run(c.name, func(t *testing.T) {
			for try := range 10 {
				simulate(t, func(w *simulatedCluster) { c.run(w, try) })
			}
		})
	}
}

// completionRace is a request that races with the end of a job's last task.
type completionRace struct {
	name    string
	request func(tn *userCluster, node int, s *api.JobSpec)
	// wantPhases are the final phases that the runs together must produce often enough.
	wantPhases []string
}

var completionRaces = []completionRace{
	{
		"cancellation",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.cancelUntilConfirmed(node, s.ID) },
		[]string{"done", "withdrawn"},
	},
	{
		"poll",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.poll(node, s.ID) },
		[]string{"done"},
	},
	{
		"submission",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.submitUntilAccepted(node, s) },
		[]string{"done"},
	},
}

const (
	raceJobs  = 8
	raceTries = 15
)

// send sends the request for a job after a delay, then polls the job at all nodes and repeats its
// submission. The delays of all jobs and tries are spread over 360 ms.
func (r *completionRace) send(tn *userCluster, node int, s *api.JobSpec, delay time.Duration) {
	tn.runInBackground(func() {
		time.Sleep(delay)
		r.request(tn, node, s)
		for k := range 12 {
			tn.runInBackground(func() { tn.poll(k, s.ID) })
			time.Sleep(time.Duration(k) * time.Millisecond)
		}
		tn.submitUntilAccepted(node+1, s)
	})
}

// run sends the request for each job around the time at which all tasks end, and counts the final
// phases.
func (r *completionRace) run(w *simulatedCluster, node, try int, seen map[string]int) {
	w.t.Helper()
	tn := newUserCluster(w, raceJobs/4)
	defer tn.close()
	specs := make([]*api.JobSpec, raceJobs)
	for i := range specs {
		specs[i] = spec(fmt.Sprint("job-", i), 1)
		tn.submitUntilAccepted(i, specs[i])
	}
	time.Sleep(4 * time.Second)
	w.checkEqual("running tasks", tn.countTasks(), raceJobs)
	// Each try begins at another point of the controller's tick, on which the result must not depend.
	time.Sleep(time.Duration(try) * 7 * time.Millisecond)
	tn.runInBackground(func() {
		time.Sleep(80 * time.Millisecond)
		for _, s := range specs {
			tn.completeJob(s.ID)
		}
	})
	for i, s := range specs {
		r.send(tn, node, s, time.Duration(i*raceTries+try)*3*time.Millisecond)
	}
	time.Sleep(3080 * time.Millisecond)
	want := map[string]string{}
	for i, s := range specs {
		state, err := tn.checker.queryJob(tn.nodeAt(i), s.ID)
		if err != nil || !state.Final() {
			w.t.Errorf("%s, 3 s after its end: got %v, %v, want a final state", s.ID, state, err)
		}
		seen[state.Phase]++
		want[s.ID] = state.Phase
	}
	time.Sleep(2 * time.Second)
	tn.checkFinalPhases(want)
	w.checkEqual("tasks on machines", tn.countTasks(), 0)
	w.checkEqual("starts", tn.countStarts(), raceJobs)
}

// A cancellation, a poll or a repeated submission races with the end of a job's last task, without any
// fault. It arrives some milliseconds earlier or later, at the leader or at another node. All responses
// after the first one with a final state must report the same state.
func TestRequestsRacingWithCompletion(t *testing.T) {
	for _, r := range completionRaces {
		for node := range 2 {
			t.Run(fmt.Sprint(r.name, " at n", node), func(t *testing.T) {
				seen := map[string]int{}
				for try := range raceTries {
					simulate(t, func(w *simulatedCluster) { r.run(w, node, try, seen) })
				}
				const minCount = raceJobs * raceTries / 10
				for _, phase := range r.wantPhases {
					if seen[phase] < minCount {
						t.Errorf("jobs in phase %s: got %d of %v, want at least %d", phase, seen[phase], seen, minCount)
					}
				}
			})
		}
	}
}
