package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// poll asks a node for a job's state. The answer checker judges the response; the error is
// dropped, since a node may fail any single request.
func (tn *userCluster) poll(node int, id string) {
	_, _ = tn.checker.queryJob(tn.nodeAt(node), id)
}

// answerCase is a fault at the moment when users act on their jobs.
type answerCase struct {
	name string
	// before runs well before the moment, fault at the moment.
	before, fault func(tn *userCluster)
	// step is how much later the users act in each try.
	step time.Duration
}

func rejectFirstNode(tn *userCluster) {
	tn.ways[0].setClosed(true)
	time.Sleep(9 * time.Second)
}

func acceptFirstNode(tn *userCluster) { tn.ways[0].setClosed(false) }

var answerCases = []answerCase{
	{name: "no fault", step: 13 * time.Millisecond},
	{name: "watches delayed", step: 100 * time.Millisecond, fault: func(tn *userCluster) {
		tn.store.SetWatchesBlind(true)
		time.Sleep(1500 * time.Millisecond)
		tn.store.SetWatchesBlind(false)
	}},
	{name: "leader restarts", step: 60 * time.Millisecond, fault: func(tn *userCluster) {
		tn.crash(0)
		tn.startNode(0)
	}},
	{name: "another leader", step: 700 * time.Millisecond, fault: func(tn *userCluster) {
		rejectFirstNode(tn)
		acceptFirstNode(tn)
	}},
	{name: "former leader", step: 60 * time.Millisecond, before: rejectFirstNode, fault: acceptFirstNode},
}

// run polls four jobs at all nodes while one completes, one is accepted, one is cancelled, and
// one is cancelled as soon as it is accepted.
func (c *answerCase) run(w *simulatedCluster, try int) {
	w.t.Helper()
	tn := newUserCluster(w, 2)
	defer tn.close()
	completed, accepted, cancelled := spec("job-1", 2), spec("job-2", 1), spec("job-3", 2)
	acceptedAndCancelled := spec("job-4", 1)
	tn.accept(0, completed)
	tn.accept(1, cancelled)
	time.Sleep(3 * time.Second)
	for _, s := range []*api.JobSpec{completed, cancelled} {
		w.checkEqual("phase of "+s.ID, w.phase(tn.nodeAt(0), s.ID), "running")
	}
	if c.before != nil {
		c.before(tn)
	}
	if c.fault != nil {
		tn.background(func() { c.fault(tn) })
	}
	time.Sleep(time.Duration(try) * c.step)
	for _, s := range []*api.JobSpec{completed, accepted, cancelled, acceptedAndCancelled} {
		tn.pollAll(s, 4*time.Millisecond, 900*time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	tn.background(func() { tn.finish(completed.ID) })
	tn.background(func() { tn.accept(2, accepted) })
	tn.background(func() { tn.cancel(try, cancelled.ID) })
	tn.background(func() {
		tn.accept(try, acceptedAndCancelled)
		tn.cancel(try+1, acceptedAndCancelled.ID)
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

// Users ask all nodes within milliseconds, repeat the submission and cancel, just when a job is
// accepted, ends or is cancelled. No node may answer with an older state than another has: not
// the leader whose watch is delayed, nor a node that has just been elected or stepped down.
func TestResponsesAreMonotonic(t *testing.T) {
	for _, c := range answerCases {
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
	// wantPhases are those that must be seen in the sweep.
	wantPhases []string
}

var completionRaces = []completionRace{
	{
		"cancellation",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.cancel(node, s.ID) },
		[]string{"done", "withdrawn"},
	},
	{
		"poll",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.poll(node, s.ID) },
		[]string{"done"},
	},
	{
		"submission",
		func(tn *userCluster, node int, s *api.JobSpec) { tn.accept(node, s) },
		[]string{"done"},
	},
}

const (
	raceJobs  = 8
	raceTries = 15
)

// send sends the request for a job at one of many moments within 360 ms, then asks for its
// state and repeats its submission.
func (r *completionRace) send(tn *userCluster, node int, s *api.JobSpec, delay time.Duration) {
	tn.background(func() {
		time.Sleep(delay)
		r.request(tn, node, s)
		for k := range 12 {
			tn.background(func() { tn.poll(k, s.ID) })
			time.Sleep(time.Duration(k) * time.Millisecond)
		}
		tn.accept(node+1, s)
	})
}

// run races the request with the ends of all jobs and counts their phases in the end.
func (r *completionRace) run(w *simulatedCluster, node, try int, seen map[string]int) {
	w.t.Helper()
	tn := newUserCluster(w, raceJobs/4)
	defer tn.close()
	specs := make([]*api.JobSpec, raceJobs)
	for i := range specs {
		specs[i] = spec(fmt.Sprint("job-", i), 1)
		tn.accept(i, specs[i])
	}
	time.Sleep(4 * time.Second)
	w.checkEqual("running tasks", tn.tasksOnMachines(), raceJobs)
	// A tick's place in the second must not decide.
	time.Sleep(time.Duration(try) * 7 * time.Millisecond)
	tn.background(func() {
		time.Sleep(80 * time.Millisecond)
		for _, s := range specs {
			tn.finish(s.ID)
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
			w.t.Errorf("%s, 3 s after its end: got %v, %v, want an end", s.ID, state, err)
		}
		seen[state.Phase]++
		want[s.ID] = state.Phase
	}
	time.Sleep(2 * time.Second)
	tn.checkFinalPhases(want)
	w.checkEqual("tasks on machines", tn.tasksOnMachines(), 0)
	w.checkEqual("starts", tn.starts(), raceJobs)
}

// A cancellation, a poll or a repeated submission races with the end of a job's last task,
// without any fault: some milliseconds earlier or later, at the leader and elsewhere. Whatever
// the first response says, all say from then on.
func TestRequestsRacingWithCompletion(t *testing.T) {
	for _, r := range completionRaces {
		for node := range 2 {
			t.Run(fmt.Sprint(r.name, " at n", node), func(t *testing.T) {
				seen := map[string]int{}
				for try := range raceTries {
					simulate(t, func(w *simulatedCluster) { r.run(w, node, try, seen) })
				}
				for _, phase := range r.wantPhases {
					if seen[phase] < raceJobs*raceTries/10 {
						t.Errorf("%s: got %d times of %v, want at least %d",
							phase, seen[phase], seen, raceJobs*raceTries/10)
					}
				}
			})
		}
	}
}
