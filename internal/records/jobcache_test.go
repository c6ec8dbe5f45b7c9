package records_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// countingFake counts the requests to a state service, and those of them that failed by
// their conditions.
type countingFake struct {
	*kvtest.Fake
	requests, conflicts atomic.Int64
}

func (c *countingFake) Get(ctx context.Context, key string) (kv.Entry, error) {
	c.requests.Add(1)
	return c.Fake.Get(ctx, key)
}

func (c *countingFake) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	c.requests.Add(1)
	res, err := c.Fake.Txn(ctx, txn)
	if err == nil && !res.Succeeded {
		c.conflicts.Add(1)
	}
	return res, err
}

// acceptPipeline submits a pipeline of six jobs: job-1, then job-2 to job-4, then job-5 and,
// unless it is left to the test, job-6.
func acceptPipeline(t *testing.T, r *records.Records) {
	t.Helper()
	for _, s := range []*api.JobSpec{specWithDependencies("job-1"), specWithDependencies("job-2", "job-1"), specWithDependencies("job-3", "job-1"),
		specWithDependencies("job-4", "job-1"), specWithDependencies("job-5", "job-2", "job-3", "job-4")} {
		if _, created, err := r.Accept(context.Background(), s, accepted); !created || err != nil {
			t.Fatal(s.ID, created, err)
		}
	}
}

func specWithDependencies(id string, dependsOn ...string) *api.JobSpec {
	s := plainSpec
	s.ID, s.DependsOn = id, dependsOn
	return &s
}

// Submissions of a pipeline's jobs waited for the users' request budget: each read
// all that it needed, directly or through others, one by one.
func TestPipelineTakesOneRequestAJob(t *testing.T) {
	cases := map[string]struct {
		ops    int
		atOnce bool
	}{
		// The last job has seven conditions, of four for each change allowed.
		"conditions fit": {2, true},
		"too many":       {1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := &countingFake{Fake: kvtest.New()}
			r := newRecords(st, config.StateLimits{TxnOps: c.ops})
			acceptPipeline(t, r)
			if _, created, err := r.Accept(context.Background(), specWithDependencies("job-6", "job-5"), accepted); !created || err != nil {
				t.Fatal(created, err)
			}
			if atOnce := int(st.requests.Load()) == 6; atOnce != c.atOnce {
				t.Errorf("%d requests for six jobs", int(st.requests.Load()))
			}
		})
	}
}

// A job that awaits many is not remembered, so that the cache stays small; it is read.
func TestJobThatAwaitsManyIsNotRemembered(t *testing.T) {
	for dependencies, remembered := range map[int]bool{32: true, 33: false} {
		st := &countingFake{Fake: kvtest.New()}
		r := newRecords(st, config.StateLimits{TxnOps: 20})
		var ids []string
		for i := range dependencies {
			ids = append(ids, fmt.Sprint("job-1", i))
			submitStatus(r, specWithDependencies(ids[i]))
		}
		submitStatus(r, specWithDependencies("job-2", ids...))
		st.requests.Store(0)
		if got := submitStatus(r, specWithDependencies("job-3", "job-2")); got != "201 pending" {
			t.Errorf("answer %s", got)
		}
		if atOnce := int(st.requests.Load()) == 1; atOnce != remembered {
			t.Errorf("%d awaited: %d requests", dependencies, int(st.requests.Load()))
		}
	}
}

// What a node remembers of jobs may be old: the job is accepted or refused as if all
// had been read.
func TestRememberedJobsChangeMeanwhile(t *testing.T) {
	cancel := func(id string) func(*testing.T, *records.Records) {
		return func(t *testing.T, other *records.Records) {
			if st, found, err := other.Cancel(context.Background(), id); !found || err != nil || st.Phase != api.JobCancelled {
				t.Fatal(st, found, err)
			}
		}
	}
	finish := func(ids ...string) func(*testing.T, *records.Records) {
		return func(t *testing.T, other *records.Records) {
			for _, id := range ids {
				txn := kv.Txn{Ops: []kv.Op{
					{Put: records.TerminalPrefix + id, Value: records.TerminalRecord{Phase: api.JobDone, Tasks: 1}},
					{Delete: records.ActivePrefix + id},
				}}
				if res, err := other.Store.Txn(context.Background(), txn); !res.Succeeded || err != nil {
					t.Fatal(res, err)
				}
			}
		}
	}
	accept := func(s *api.JobSpec) func(*testing.T, *records.Records) {
		return func(t *testing.T, other *records.Records) {
			if _, created, err := other.Accept(context.Background(), s, accepted); !created || err != nil {
				t.Fatal(created, err)
			}
		}
	}
	down := func(t *testing.T, other *records.Records) { other.Store.(*kvtest.Fake).SetDown(true) }
	cases := map[string]struct {
		meanwhile func(t *testing.T, other *records.Records)
		spec      *api.JobSpec
		want      string
	}{
		"nothing":                    {nil, specWithDependencies("job-6", "job-5"), "201 pending"},
		"named one cancelled":        {cancel("job-5"), specWithDependencies("job-6", "job-5"), "201 withdrawn"},
		"one before it cancelled":    {cancel("job-3"), specWithDependencies("job-6", "job-5"), "201 withdrawn"},
		"first cancelled":            {cancel("job-1"), specWithDependencies("job-6", "job-5"), "201 withdrawn"},
		"not what it needs":          {cancel("job-5"), specWithDependencies("job-6", "job-4"), "201 pending"},
		"first done":                 {finish("job-1"), specWithDependencies("job-6", "job-5"), "201 pending"},
		"named one done":             {finish("job-1", "job-2"), specWithDependencies("job-6", "job-2"), "201 pending"},
		"accepted elsewhere already": {accept(specWithDependencies("job-6", "job-5")), specWithDependencies("job-6", "job-5"), "200 pending"},
		"named one by another node":  {accept(specWithDependencies("job-7", "job-5")), specWithDependencies("job-6", "job-7"), "201 pending"},
		"never accepted":             {nil, specWithDependencies("job-6", "job-5", "job-9"), "422"},
		"outage":                     {down, specWithDependencies("job-6", "job-5"), "503"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := kvtest.New()
				r := newRecords(fake, config.StateLimits{TxnOps: 20})
				acceptPipeline(t, r)
				if c.meanwhile != nil {
					c.meanwhile(t, &records.Records{Store: fake})
				}
				if got := submitStatus(r, c.spec); got != c.want {
					t.Errorf("answer %s, want %s", got, c.want)
				}
				if pending := c.want == "201 pending" || c.want == "200 pending"; fake.Has(records.ActivePrefix+c.spec.ID) != pending {
					t.Errorf("active on record: %v", !pending)
				}
			})
		})
	}
}

// Questions about a job that waits, while the leader cannot be asked, used up the
// users' request budget: each read all that the job needs. Now one comparison answers
// them, unless something has changed.
func TestQuestionAboutAWaitingJob(t *testing.T) {
	cases := map[string]struct {
		change func(*records.Records) error
		want   string
		once   bool
	}{
		"unchanged": {func(*records.Records) error { return nil }, api.JobPending, true},
		"cancelled": {func(r *records.Records) error {
			_, _, err := r.Cancel(context.Background(), "job-5")
			return err
		}, api.JobCancelled, false},
		"one that it needs cancelled": {func(r *records.Records) error {
			_, _, err := r.Cancel(context.Background(), "job-1")
			return err
		}, api.JobCancelled, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := &countingFake{Fake: kvtest.New()}
			r := newRecords(st, config.StateLimits{TxnOps: 20})
			acceptPipeline(t, r)
			if err := c.change(&records.Records{Store: st.Fake}); err != nil {
				t.Fatal(err)
			}
			st.requests.Store(0)
			got, found, err := r.Lookup(context.Background(), "job-5")
			if got.Phase != c.want || !found || err != nil {
				t.Errorf("%+v, %v, %v", got, found, err)
			}
			if once := int(st.requests.Load()) == 1; once != c.once {
				t.Errorf("%d requests", int(st.requests.Load()))
			}
		})
	}
}

// A job that is remembered as done stays so, also for those who ask again.
func TestRememberedAsDone(t *testing.T) {
	fake := kvtest.New()
	r := newRecords(fake, config.StateLimits{TxnOps: 20})
	acceptPipeline(t, r)
	txn := kv.Txn{Ops: []kv.Op{
		{Put: records.TerminalPrefix + "job-1", Value: records.TerminalRecord{Phase: api.JobDone, Tasks: 1}},
		{Delete: records.ActivePrefix + "job-1"},
	}}
	if res, err := fake.Txn(context.Background(), txn); !res.Succeeded || err != nil {
		t.Fatal(res, err)
	}
	for range 3 {
		if st, found, err := r.Lookup(context.Background(), "job-1"); st.Phase != api.JobDone || !found || err != nil {
			t.Errorf("%+v, %v, %v", st, found, err)
		}
	}
}

// A transaction that fails counts towards the service's limits: what it has shown to
// be old is not guarded on again.
func TestOldVersionsAreTriedOnce(t *testing.T) {
	st := &countingFake{Fake: kvtest.New()}
	r := newRecords(st, config.StateLimits{TxnOps: 20})
	acceptPipeline(t, r)
	other := records.Records{Store: st.Fake}
	if _, _, err := other.Cancel(context.Background(), "job-5"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"job-6", "job-7", "job-8"} {
		if got := submitStatus(r, specWithDependencies(id, "job-5")); got != "201 withdrawn" {
			t.Errorf("%s: %s", id, got)
		}
	}
	if int(st.conflicts.Load()) != 1 {
		t.Errorf("%d transactions failed", int(st.conflicts.Load()))
	}
}

// submitStatus submits a job as a user sees it.
func submitStatus(r *records.Records, s *api.JobSpec) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	st, created, err := r.Accept(ctx, s, accepted)
	var never *records.UnknownDependencyError
	switch {
	case errors.As(err, &never):
		return "422"
	case err != nil:
		return "503"
	case !created:
		return fmt.Sprint("200 ", st.Phase)
	}
	return fmt.Sprint("201 ", st.Phase)
}

// The answer to the one transaction is lost, or it is carried out late, after a job
// that it guards on was cancelled.
func TestAcceptedAtOnceWithoutAnAnswer(t *testing.T) {
	submission := func(txn kv.Txn) bool { return len(txn.Ops) > 0 && txn.Ops[0].Put == records.ActivePrefix+"job-6" }
	t.Run("lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := kvtest.New()
			r := newRecords(fake, config.StateLimits{TxnOps: 20})
			acceptPipeline(t, r)
			fake.Lose(submission)
			if got := submitStatus(r, specWithDependencies("job-6", "job-5")); got != "200 pending" {
				t.Errorf("answer %s", got)
			}
		})
	})
	t.Run("late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := kvtest.New()
			r := newRecords(fake, config.StateLimits{TxnOps: 20})
			acceptPipeline(t, r)
			fake.Hold(submission)
			if got := submitStatus(r, specWithDependencies("job-6", "job-5")); got != "503" {
				t.Errorf("answer %s", got)
			}
			if _, _, err := r.Cancel(context.Background(), "job-5"); err != nil {
				t.Fatal(err)
			}
			// Held are this one and the repeats of one by one, which guard on less: only
			// the first is let through.
			if res := fake.Release(); len(res) == 0 || res[0].Succeeded {
				t.Errorf("carried out after a job that it awaits was cancelled: %+v", res)
			}
		})
	})
}

func newRecords(s kv.Service, limits config.StateLimits) *records.Records {
	r := records.NewRecords(s, limits)
	return &r
}

// A job whose awaited jobs are listed in records of their own is not remembered: its
// active record does not say what it awaits, so a cancellation among those would be
// overlooked. Nor is one accepted at once whose record has no room for its names.
func TestJobsWithAwaitsListsAreRead(t *testing.T) {
	st := &countingFake{Fake: kvtest.New()}
	r := newRecords(st, config.StateLimits{TxnOps: 20, ValueKB: 1})
	var ids []string
	for i := range 32 {
		ids = append(ids, fmt.Sprintf("job-1%024d", i))
		submitStatus(r, specWithDependencies(ids[i]))
	}
	if got := submitStatus(r, specWithDependencies("job-2", ids...)); got != "201 pending" {
		t.Fatal(got)
	}
	if rec := activeRecord(t, st, "job-2"); rec.DependencyList == nil || len(rec.Spec.DependsOn) != 1 {
		t.Fatalf("the record holds the names: %+v", rec)
	}
	if got := submitStatus(r, specWithDependencies("job-3", "job-2")); got != "201 pending" {
		t.Fatal(got)
	}
	other := newRecords(st.Fake, config.StateLimits{})
	if _, found, err := other.Cancel(context.Background(), ids[7]); !found || err != nil {
		t.Fatal(found, err)
	}
	if got := submitStatus(r, specWithDependencies("job-4", "job-2")); got != "201 withdrawn" {
		t.Errorf("after a cancellation: %s", got)
	}
}

// The end of a job is read once. A later search, which finds its active record gone,
// must leave it remembered, or each submission after that would read again.
func TestEndReadEarlierIsRemembered(t *testing.T) {
	st := &countingFake{Fake: kvtest.New()}
	putRecord(t, st, "job-1", api.JobDone)
	putRecord(t, st, "job-3", api.JobDone)
	r := newRecords(st, config.StateLimits{TxnOps: 20})
	for i, c := range []struct {
		awaits   []string
		requests int
	}{
		{[]string{"job-1"}, 3}, // two reads and the transaction
		{[]string{"job-1"}, 1},
		{[]string{"job-1", "job-3"}, 4},
		{[]string{"job-1"}, 1},
	} {
		st.requests.Store(0)
		if got := submitStatus(r, specWithDependencies(fmt.Sprint("job-2", i), c.awaits...)); got != "201 pending" || int(st.requests.Load()) != c.requests {
			t.Errorf("submission %d: %s after %d requests, want %d", i, got, int(st.requests.Load()), c.requests)
		}
	}
}
