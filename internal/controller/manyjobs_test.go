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

// leaderPeaks holds the highest numbers of jobs and of queued record writes seen in the leader's
// memory.
type leaderPeaks struct{ jobs, pendingRecords int }

// sample updates the peaks from the leader's state.
func (p *leaderPeaks) sample(tn *userCluster) {
	tn.t.Helper()
	tn.nodeAt(0).inspect(func(c *Controller) {
		lt := c.leaderTerm
		if lt == nil {
			tn.t.Error("the leader has stepped down")
			return
		}
		backlog := lt.recordWriter.Backlog()
		pending := backlog.Finishing + backlog.Deletes + backlog.Completions + backlog.Unresolved
		p.jobs = max(p.jobs, len(lt.jobs))
		p.pendingRecords = max(p.pendingRecords, pending)
	})
}

// runSmallJob submits a job of one task and polls it in the background until its end. One of every four
// users cancels the job after up to four seconds and then polls all nodes.
func (tn *userCluster) runSmallJob(i int) {
	s := spec(fmt.Sprint("job-", i), 1)
	tn.taskDurations.Store(s.ID, 2*time.Second)
	tn.runInBackground(func() {
		tn.submitUntilAccepted(i, s)
		tn.pollUntilFinal(i, s.ID, 700*time.Millisecond)
		if i%4 != 1 {
			return
		}
		time.Sleep(time.Duration(i*37%4000) * time.Millisecond)
		tn.cancelUntilConfirmed(i/4, s.ID)
		for k := range 6 {
			tn.runInBackground(func() { tn.poll(k, s.ID) })
		}
	})
}

// checkJobsEnded checks that users received each job's final phase in time, and that all nodes report
// it. It returns the number of cancelled jobs.
func (tn *userCluster) checkJobsEnded(jobs int) (cancelled int) {
	tn.t.Helper()
	const maxDelay = 3*time.Second + 700*time.Millisecond
	want := map[string]string{}
	late := 0
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		end, at := tn.checker.end(id)
		want[id] = end
		if end == api.JobCancelled {
			cancelled++
		} else if at.Sub(tn.checker.doneAt(id)) > maxDelay {
			late++
		}
		tn.checkEqual("final phase reported for "+id, end != "", true)
	}
	tn.checkEqual("final phases reported late", late, 0)
	tn.checkFinalPhases(want)
	tn.checkNoneOverdue()
	return cancelled
}

// checkNothingLeft checks that ended jobs leave no state in the leader's memory, and no active or
// completion records.
func (tn *userCluster) checkNothingLeft() {
	tn.t.Helper()
	tn.nodeAt(0).inspect(func(c *Controller) {
		if c.leaderTerm == nil {
			return
		}
		tn.checkEqual("jobs left", len(c.leaderTerm.jobs), 0)
		for _, m := range c.leaderTerm.machines {
			tn.checkEqual("attempts left", len(m.Attempts), 0)
		}
	})
	for _, prefix := range []string{records.ActivePrefix + "job-", records.CompletionPrefix} {
		page, err := tn.store.Range(context.Background(), prefix, "", 10)
		if err != nil || len(page.Entries) > 0 {
			tn.t.Errorf("records under %s: got %v, %v, want none", prefix, page.Entries, err)
		}
	}
}

// Four small jobs arrive per second for three minutes, and up to a quarter of them are cancelled. The
// requests, writes and watches per second, and the state in the leader's memory, must stay bounded: they
// must not grow with the total number of jobs.
func TestLoadOfManySmallJobsIsBounded(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 10)
		defer tn.close()
		const jobs = 720
		var peaks leaderPeaks
		tn.requestCounts.reset()
		for i := range jobs {
			tn.runSmallJob(i)
			// Four jobs arrive within some milliseconds, so that one watch may deliver them all.
			time.Sleep(8 * time.Millisecond)
			if i%4 == 3 {
				time.Sleep(968 * time.Millisecond)
				peaks.sample(tn)
			}
		}
		time.Sleep(15 * time.Second)
		cancelled := tn.checkJobsEnded(jobs)
		maxRequests, _ := tn.requestCounts.maxAndSum(tn.requestCounts.requests)
		maxWrites, writes := tn.requestCounts.maxAndSum(tn.requestCounts.writes)
		maxWatches, watches := tn.requestCounts.maxAndSum(tn.requestCounts.watches)
		for _, b := range []struct {
			name       string
			got, limit int
		}{
			{"requests in a second", maxRequests, 45},
			{"writes in a second", maxWrites, 25},
			// Per job, the active record is written and deleted, and the terminal record
			// written; a cancellation also writes CancelKey. The rest is for machines.
			{"writes", writes, 3*jobs + cancelled + 60},
			{"watches in a second", maxWatches, 10},
			{"watches", watches, 700},
			{"jobs in memory", peaks.jobs, 16},
			{"queued record writes", peaks.pendingRecords, 20},
		} {
			if b.got > b.limit {
				t.Errorf("%s: got %d, want at most %d", b.name, b.got, b.limit)
			}
		}
		w.checkEqual("more than 100 cancelled", cancelled > 100, true)
		tn.checkNothingLeft()
	})
}

// changeLeaders waits for a while, and then causes three leader changes: the leader restarts at once; the
// key-value store rejects the requests of the leader only, so that it steps down; the leader stays down
// until its lease has expired.
func (tn *userCluster) changeLeaders(after time.Duration) {
	time.Sleep(after)
	i := tn.awaitLeader()
	tn.crash(i)
	tn.startNode(i)
	time.Sleep(25 * time.Second)
	i = tn.awaitLeader()
	tn.stores[i].setClosed(true)
	time.Sleep(15 * time.Second)
	tn.stores[i].setClosed(false)
	time.Sleep(10 * time.Second)
	i = tn.awaitLeader()
	tn.crash(i)
	time.Sleep(40 * time.Second)
	tn.startNode(i)
}

// loseEveryFifthResponse makes the store lose the response to every fifth transaction with operations.
// The function that it returns counts the responses lost so far.
func (w *simulatedCluster) loseEveryFifthResponse() (lost func() int) {
	writes, dropped := 0, 0
	w.store.LoseResponses(func(txn kv.Txn) bool {
		if len(txn.Ops) == 0 {
			return false
		}
		writes++
		if writes%5 != 0 {
			return false
		}
		dropped++
		return true
	})
	return func() int { return dropped }
}

// cancelsJob reports whether user i cancels their job, as one of every ten does.
func cancelsJob(i int) bool { return i%10 == 3 }

// runRepeatedJob submits a job and polls it in the background until its end. It cancels the job if
// cancelsJob reports true, and repeats the submission two seconds later.
func (tn *userCluster) runRepeatedJob(i int) {
	s := spec(fmt.Sprint("job-", i), 1+i%3)
	tn.taskDurations.Store(s.ID, time.Duration(2+i%7)*time.Second)
	tn.runInBackground(func() {
		tn.submitUntilAccepted(i, s)
		tn.pollUntilFinal(i, s.ID, 1500*time.Millisecond)
		if cancelsJob(i) {
			time.Sleep(time.Duration(i%4) * time.Second)
			tn.cancelUntilConfirmed(i+1, s.ID)
		}
		time.Sleep(2 * time.Second)
		tn.submitUntilAccepted(i+2, s)
	})
}

// Accepted jobs that are not cancelled must stay known to all nodes and complete, although the leader
// changes in different ways and the store loses responses meanwhile.
func TestAcceptedJobsCompleteAcrossLeaderChanges(t *testing.T) {
	for shift := time.Duration(0); shift < 4*time.Second; shift += 700 * time.Millisecond {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 5)
				defer tn.close()
				time.Sleep(10 * time.Second)
				lost := w.loseEveryFifthResponse()
				tn.runInBackground(func() { tn.changeLeaders(15*time.Second + shift) })
				const jobs = 60
				for i := range jobs {
					tn.runRepeatedJob(i)
					time.Sleep(1700 * time.Millisecond)
				}
				time.Sleep(75 * time.Second)
				w.store.LoseResponses(nil)
				want := map[string]string{}
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					want[id] = "done"
					if cancelsJob(i) {
						want[id], _ = tn.checker.end(id)
					}
				}
				tn.checkFinalPhases(want)
				tn.checkNoneOverdue()
				w.checkEqual("tasks on machines", tn.countTasks(), 0)
				w.checkEqual("more than 20 responses lost", lost() > 20, true)
			})
		})
	}
}
