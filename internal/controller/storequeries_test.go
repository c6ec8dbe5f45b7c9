package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// countingQueries makes the store count the queries and responses that nodes write.
func countingQueries(tn *userCluster) func() int {
	var mu sync.Mutex
	count := 0
	isQuery, isResponse := writesPrefix(records.QueryPrefix), writesPrefix(records.ResponsePrefix)
	tn.store.LoseResponses(func(txn kv.Txn) bool {
		mu.Lock()
		defer mu.Unlock()
		if isQuery(txn) || isResponse(txn) {
			count++
		}
		return false
	})
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// While nodes do not reach each other, users of a follower get the leader's answers through the store: also about
// more jobs than a record holds, about pending jobs, and about those that are accepted, end or are cancelled then.
func TestFollowerAsksUnreachableLeaderThroughStore(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		count := countingQueries(tn)
		running := records.MaxQueriedJobs(8) + 10
		tn.submitUntilAccepted(1, spec("job-1", 4)) // as many tasks as the machine takes
		time.Sleep(2 * time.Second)
		for i := range running {
			tn.submitUntilAccepted(1, spec(fmt.Sprint("job-1", i), 1))
		}
		time.Sleep(2 * stateLag)
		partition(tn)
		time.Sleep(storeQueryTime)
		before, begun := count(), time.Now()
		var unanswered sync.Map
		for i := range running {
			id := fmt.Sprint("job-1", i)
			tn.runInBackground(func() {
				for range 4 {
					if state, err := tn.checker.queryJob(tn.nodeAt(1), id); err == nil {
						tn.checkEqual("phase", state.Phase, api.JobPending)
						return
					}
					time.Sleep(time.Second)
				}
				unanswered.Store(id, true)
			})
		}
		time.Sleep(6 * time.Second)
		unanswered.Range(func(id, _ any) bool { t.Errorf("%v: not answered", id); return true })
		if n, most := count()-before, 2*2*int(time.Since(begun)/storeRoundInterval); n == 0 || n > most {
			t.Errorf("got %d queries and responses, want 1 to %d", n, most)
		}
		state, err := tn.checker.queryJob(tn.nodeAt(1), "job-1")
		tn.checkEqual("running job", []any{state.Phase, state.Running, err}, []any{api.JobRunning, 4, nil})
		tn.submitUntilAccepted(1, spec("job-2", 1))
		tn.cancelUntilConfirmed(0, "job-10")
		tn.completeJob("job-1")
		time.Sleep(stateLag + time.Second)
		want := map[string]string{"job-1": api.JobDone, "job-10": api.JobCancelled}
		for _, task := range tn.agents[0].running() {
			id, _, _ := strings.Cut(task, "/")
			want[id] = api.JobRunning
		}
		tn.checkEqual("jobs that have ended or run", len(want), 6)
		for id, phase := range want {
			state, err := tn.checker.queryJob(tn.nodeAt(1), id)
			tn.checkEqual("phase of "+id, []any{state.Phase, err}, []any{phase, nil})
		}
		endPartition(tn)
	})
}

// Requests beyond those of a round and the next one fail at once, so that they hold no slot of users' polls.
func TestRequestsThroughStoreAreBounded(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(1, spec("job-1", 1))
		time.Sleep(2 * stateLag)
		partition(tn)
		tn.store.Delay(writesPrefix(records.ResponsePrefix))
		time.Sleep(storeQueryTime)
		var slow atomic.Int32
		for range 4 * maxStoreQueries {
			tn.runInBackground(func() {
				asked := time.Now()
				_, err := tn.checker.queryJob(tn.nodeAt(1), "job-1")
				tn.checkEqual("unknown", errors.Is(err, errPhaseUnknown), true)
				if time.Since(asked) > storeRoundInterval/2 {
					slow.Add(1)
				}
			})
		}
		time.Sleep(2 * storeRoundTimeout)
		if n := slow.Load(); n == 0 || n > 1+maxStoreQueries {
			t.Errorf("got %d polls that waited for a round, want 1 to %d", n, 1+maxStoreQueries)
		}
		tn.store.Delay(nil)
		endPartition(tn)
	})
}

// Without a response, queries become rare. In calm nodes write none, and watch for none.
func TestQueriesThroughStoreAreBounded(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		count := countingQueries(tn)
		tn.submitUntilAccepted(1, spec("job-1", 1))
		poll := func(seconds int) {
			for range seconds {
				_, _ = tn.checker.queryJob(tn.nodeAt(1), "job-1")
				time.Sleep(time.Second)
			}
		}
		poll(20)
		tn.checkEqual("queries in calm", count(), 0)
		isWatched := false
		tn.nodeAt(0).inspect(func(c *Controller) { isWatched = c.leaderTerm.queryResponder.cancel != nil })
		tn.checkEqual("watched in calm", isWatched, false)
		partition(tn)
		tn.store.Delay(writesPrefix(records.ResponsePrefix))
		before := count()
		poll(90)
		if n := count() - before; n < 2 || n > 2*12 {
			t.Errorf("got %d queries and responses in 90 s, want 2 to %d", n, 2*12)
		}
		tn.store.Delay(nil)
		endPartition(tn)
		time.Sleep(2 * responderLinger)
		tn.nodeAt(0).inspect(func(c *Controller) { isWatched = c.leaderTerm.queryResponder.cancel != nil })
		tn.checkEqual("watched after the partition", isWatched, false)
	})
}

// A response to an earlier query, or to one of an earlier process of the node, is not taken for that to the present
// one: a copy of it may arrive at any time.
func TestLateResponseThroughStoreIsIgnored(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(1, spec("job-1", 1))
		time.Sleep(2 * stateLag)
		partition(tn)
		isResponse := writesPrefix(records.ResponsePrefix)
		tn.store.Delay(func(txn kv.Txn) bool { return len(txn.Compares) > 0 && isResponse(txn) }) // the leader's
		time.Sleep(storeQueryTime)
		n := tn.nodeAt(1)
		late := records.ResponseRecord{States: []records.QueriedState{{Job: "job-1", Phase: api.JobPending}}}
		for _, id := range []records.QueryID{
			{Incarnation: "earlier", Number: 1}, {Incarnation: n.uplink.incarnation, Number: 0},
		} {
			late.QueryID = id
			op := kv.Op{Put: records.ResponsePrefix + "n1", Value: late}
			time.AfterFunc(200*time.Millisecond, func() {
				if _, err := w.store.Txn(context.Background(), kv.Txn{Ops: []kv.Op{op}}); err != nil {
					t.Error(err)
				}
			})
			if state, err := tn.checker.queryJob(n, "job-1"); err == nil {
				t.Errorf("response to %+v: got %q, want none", id, state.Phase)
			}
			time.Sleep(maxStoreRoundPause)
		}
		tn.store.Delay(nil)
		endPartition(tn)
	})
}
