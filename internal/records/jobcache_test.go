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

// conflictCountingStore counts the requests to the store, and the transactions whose compares
// failed.
type conflictCountingStore struct {
	*kvtest.Fake
	requests, conflicts atomic.Int64
}

func (c *conflictCountingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	c.requests.Add(1)
	return c.Fake.Get(ctx, key)
}

func (c *conflictCountingStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	c.requests.Add(1)
	res, err := c.Fake.Txn(ctx, txn)
	if err == nil && !res.Succeeded {
		c.conflicts.Add(1)
	}
	return res, err
}

// acceptPipeline accepts a pipeline of five jobs: job-2 to job-4 depend on job-1, and job-5 depends
// on these three.
func acceptPipeline(t *testing.T, r *records.Records) {
	t.Helper()
	for _, spec := range []*api.JobSpec{
		specWithDependencies("job-1"),
		specWithDependencies("job-2", "job-1"),
		specWithDependencies("job-3", "job-1"),
		specWithDependencies("job-4", "job-1"),
		specWithDependencies("job-5", "job-2", "job-3", "job-4"),
	} {
		mustAccept(t, r, spec)
	}
}

// mustAccept accepts a job that does not exist yet.
func mustAccept(t *testing.T, r *records.Records, spec *api.JobSpec) {
	t.Helper()
	if _, created, err := r.Accept(t.Context(), spec, accepted); !created || err != nil {
		t.Fatalf("accept %s: created %v, %v", spec.ID, created, err)
	}
}

// mustCancel cancels a job that has not ended.
func mustCancel(t *testing.T, r *records.Records, id string) {
	t.Helper()
	if st, found, err := r.Cancel(t.Context(), id); !found || err != nil || st.Phase != api.JobCancelled {
		t.Fatalf("cancel %s: got %+v, found %v, %v", id, st, found, err)
	}
}

// recordDone writes the records of jobs that are done, as a leader would.
func recordDone(t *testing.T, s kv.Service, ids ...string) {
	t.Helper()
	for _, id := range ids {
		commit(t, s,
			kv.Op{Put: records.TerminalPrefix + id, Value: records.TerminalRecord{Phase: api.JobDone, Tasks: 1}},
			kv.Op{Delete: records.ActivePrefix + id},
		)
	}
}

func specWithDependencies(id string, dependsOn ...string) *api.JobSpec {
	spec := plainSpec
	spec.ID, spec.DependsOn = id, dependsOn
	return &spec
}

// Accepting a pipeline takes one request per job. If all direct and indirect dependencies were read
// one by one, submissions would wait for the users' request rate.
func TestPipelineTakesOneRequestPerJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		ops    int
		oneTxn bool
	}{
		// The last job takes seven compares. Four are allowed per operation.
		{"compares fit", 2, true},
		{"too many compares", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := &conflictCountingStore{Fake: kvtest.New()}
			r := newRecords(st, config.KVLimits{TxnOps: c.ops})
			acceptPipeline(t, r)
			mustAccept(t, r, specWithDependencies("job-6", "job-5"))
			if n := st.requests.Load(); (n == 6) != c.oneTxn {
				t.Errorf("got %d requests for six jobs, want exactly six: %v", n, c.oneTxn)
			}
		})
	}
}

// To bound the memory of the cache, a job with many dependencies is not cached but read.
func TestJobWithManyDependenciesIsNotCached(t *testing.T) {
	for dependencies, cached := range map[int]bool{32: true, 33: false} {
		t.Run(fmt.Sprint(dependencies, " dependencies"), func(t *testing.T) {
			st := &conflictCountingStore{Fake: kvtest.New()}
			r := newRecords(st, config.KVLimits{TxnOps: 20})
			ids := make([]string, dependencies)
			for i := range ids {
				ids[i] = fmt.Sprint("job-1", i)
				submitStatus(t, r, specWithDependencies(ids[i]))
			}
			submitStatus(t, r, specWithDependencies("job-2", ids...))
			st.requests.Store(0)
			if got := submitStatus(t, r, specWithDependencies("job-3", "job-2")); got != "201 active" {
				t.Errorf("got %s, want 201 active", got)
			}
			if n := st.requests.Load(); (n == 1) != cached {
				t.Errorf("got %d requests, want exactly one: %v", n, cached)
			}
		})
	}
}

// The jobs that a node has cached may have changed since. Submissions must be accepted or rejected
// as if all records had been read.
func TestCachedJobsChangeMeanwhile(t *testing.T) {
	type change func(t *testing.T, fake *kvtest.Fake)
	none := func(*testing.T, *kvtest.Fake) {}
	down := func(_ *testing.T, fake *kvtest.Fake) { fake.SetDown(true) }
	cancel := func(id string) change {
		return func(t *testing.T, fake *kvtest.Fake) { t.Helper(); mustCancel(t, &records.Records{Store: fake}, id) }
	}
	done := func(ids ...string) change {
		return func(t *testing.T, fake *kvtest.Fake) { t.Helper(); recordDone(t, fake, ids...) }
	}
	accept := func(id string, dependsOn ...string) change {
		return func(t *testing.T, fake *kvtest.Fake) {
			t.Helper()
			mustAccept(t, &records.Records{Store: fake}, specWithDependencies(id, dependsOn...))
		}
	}
	for _, c := range []struct {
		name      string
		meanwhile change
		dependsOn []string
		want      string
	}{
		{"nothing", none, []string{"job-5"}, "201 active"},
		{"dependency cancelled", cancel("job-5"), []string{"job-5"}, "201 withdrawn"},
		{"indirect dependency cancelled", cancel("job-3"), []string{"job-5"}, "201 withdrawn"},
		{"first cancelled", cancel("job-1"), []string{"job-5"}, "201 withdrawn"},
		{"other job cancelled", cancel("job-5"), []string{"job-4"}, "201 active"},
		{"first done", done("job-1"), []string{"job-5"}, "201 active"},
		{"dependency done", done("job-1", "job-2"), []string{"job-2"}, "201 active"},
		{"accepted by another node", accept("job-6", "job-5"), []string{"job-5"}, "200 waiting"},
		{"dependency accepted by another node", accept("job-7", "job-5"), []string{"job-7"}, "201 active"},
		{"dependency never accepted", none, []string{"job-5", "job-9"}, "422"},
		{"outage", down, []string{"job-5"}, "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := kvtest.New()
				r := newRecords(fake, config.KVLimits{TxnOps: 20})
				acceptPipeline(t, r)
				c.meanwhile(t, fake)
				if got := submitStatus(t, r, specWithDependencies("job-6", c.dependsOn...)); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
				pending := c.want == "201 active" || c.want == "200 waiting"
				if got := fake.Has(records.ActivePrefix + "job-6"); got != pending {
					t.Errorf("active record present: got %v, want %v", got, pending)
				}
			})
		})
	}
}

// While the leader is unreachable, a lookup of a job with dependencies takes one transaction unless
// something has changed. Reading all dependencies would use up the users' request rate.
func TestLookupOfJobWithDependencies(t *testing.T) {
	for _, c := range []struct {
		name      string
		cancelled string
		want      string
		oneTxn    bool
	}{
		{"unchanged", "", "waiting", true},
		{"cancelled", "job-5", api.JobCancelled, false},
		{"indirect dependency cancelled", "job-1", api.JobCancelled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := &conflictCountingStore{Fake: kvtest.New()}
			r := newRecords(st, config.KVLimits{TxnOps: 20})
			acceptPipeline(t, r)
			if c.cancelled != "" {
				mustCancel(t, &records.Records{Store: st.Fake}, c.cancelled)
			}
			st.requests.Store(0)
			got, err := r.Lookup(t.Context(), "job-5")
			if stateOf(got) != c.want || err != nil {
				t.Errorf("got %+v, %v, want %s", got, err, c.want)
			}
			if n := st.requests.Load(); (n == 1) != c.oneTxn {
				t.Errorf("got %d requests, want exactly one: %v", n, c.oneTxn)
			}
		})
	}
}

// A job that is cached as done stays done in repeated lookups.
func TestDoneJobStaysCached(t *testing.T) {
	fake := kvtest.New()
	r := newRecords(fake, config.KVLimits{TxnOps: 20})
	acceptPipeline(t, r)
	recordDone(t, fake, "job-1")
	for range 3 {
		if got, err := r.Lookup(t.Context(), "job-1"); stateOf(got) != api.JobDone || err != nil {
			t.Errorf("got %+v, %v, want %s", got, err, api.JobDone)
		}
	}
}

// A failed transaction counts towards the rate limits of the store: versions that turned out to be
// out of date must not be compared again.
func TestOldVersionsAreComparedOnce(t *testing.T) {
	st := &conflictCountingStore{Fake: kvtest.New()}
	r := newRecords(st, config.KVLimits{TxnOps: 20})
	acceptPipeline(t, r)
	mustCancel(t, &records.Records{Store: st.Fake}, "job-5")
	for _, id := range []string{"job-6", "job-7", "job-8"} {
		if got := submitStatus(t, r, specWithDependencies(id, "job-5")); got != "201 withdrawn" {
			t.Errorf("%s: got %s, want 201 withdrawn", id, got)
		}
	}
	if n := st.conflicts.Load(); n != 1 {
		t.Errorf("got %d failed transactions, want 1", n)
	}
}

// submitStatus submits a job and returns the HTTP status that its user would see, and what the records show.
func submitStatus(t *testing.T, r *records.Records, spec *api.JobSpec) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	rec, created, err := r.Accept(ctx, spec, accepted)
	var unknown *records.UnknownDependencyError
	switch {
	case errors.As(err, &unknown):
		return "422"
	case err != nil:
		return "503"
	case !created:
		return fmt.Sprint("200 ", stateOf(rec))
	}
	return fmt.Sprint("201 ", stateOf(rec))
}

// The outcome of a submission's only transaction is unknown. If it was applied and its response lost,
// the retry must find the job. If it is applied late, after a job whose version it compares was
// cancelled, it must fail.
func TestSubmissionOfUnknownOutcome(t *testing.T) {
	submission := func(txn kv.Txn) bool { return len(txn.Ops) > 0 && txn.Ops[0].Put == records.ActivePrefix+"job-6" }
	t.Run("response lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := kvtest.New()
			r := newRecords(fake, config.KVLimits{TxnOps: 20})
			acceptPipeline(t, r)
			fake.LoseResponses(submission)
			if got := submitStatus(t, r, specWithDependencies("job-6", "job-5")); got != "200 waiting" {
				t.Errorf("got %s, want 200 waiting", got)
			}
		})
	})
	t.Run("applied late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := kvtest.New()
			r := newRecords(fake, config.KVLimits{TxnOps: 20})
			acceptPipeline(t, r)
			fake.Delay(submission)
			if got := submitStatus(t, r, specWithDependencies("job-6", "job-5")); got != "503" {
				t.Errorf("got %s, want 503", got)
			}
			mustCancel(t, r, "job-5")
			// Only the first delayed transaction is checked: those of the retries compare fewer
			// keys.
			if res := fake.ApplyDelayed(); len(res) == 0 || res[0].Succeeded {
				t.Errorf("applied after a dependency was cancelled: %+v", res)
			}
		})
	})
}

func newRecords(s kv.Service, limits config.KVLimits) *records.Records {
	r := records.NewRecords(s, limits)
	return &r
}

// A job whose dependencies are listed in separate records must not be cached: its active record does
// not name them, so the cancellation of one would be missed. A job whose record has no room for its
// dependencies must not be accepted in one transaction.
func TestJobsWithDependencyListsAreRead(t *testing.T) {
	st := &conflictCountingStore{Fake: kvtest.New()}
	r := newRecords(st, config.KVLimits{TxnOps: 20, ValueKB: 1})
	ids := make([]string, 32)
	for i := range ids {
		ids[i] = fmt.Sprintf("job-1%024d", i)
		submitStatus(t, r, specWithDependencies(ids[i]))
	}
	if got := submitStatus(t, r, specWithDependencies("job-2", ids...)); got != "201 active" {
		t.Fatalf("got %s, want 201 active", got)
	}
	if rec := activeRecord(t, st, "job-2"); rec.DependencyList == nil || len(rec.Spec.DependsOn) != 1 {
		t.Fatalf("active record: got %+v, want a dependency list and only the placeholder", rec)
	}
	if got := submitStatus(t, r, specWithDependencies("job-3", "job-2")); got != "201 active" {
		t.Fatalf("got %s, want 201 active", got)
	}
	mustCancel(t, newRecords(st.Fake, config.KVLimits{}), ids[7])
	if got := submitStatus(t, r, specWithDependencies("job-4", "job-2")); got != "201 withdrawn" {
		t.Errorf("after a cancellation: got %s, want 201 withdrawn", got)
	}
}

// The terminal record of a job is read once. After a later search that finds the active record
// deleted, the job must still be cached; otherwise every later submission would read its records.
func TestTerminalRecordStaysCached(t *testing.T) {
	st := &conflictCountingStore{Fake: kvtest.New()}
	putRecord(t, st, "job-1", api.JobDone)
	putRecord(t, st, "job-3", api.JobDone)
	r := newRecords(st, config.KVLimits{TxnOps: 20})
	for i, c := range []struct {
		dependsOn []string
		requests  int64
	}{
		{[]string{"job-1"}, 3}, // two reads and the transaction
		{[]string{"job-1"}, 1},
		{[]string{"job-1", "job-3"}, 4},
		{[]string{"job-1"}, 1},
	} {
		st.requests.Store(0)
		got := submitStatus(t, r, specWithDependencies(fmt.Sprint("job-2", i), c.dependsOn...))
		if n := st.requests.Load(); got != "201 active" || n != c.requests {
			t.Errorf("submission %d: got %s after %d requests, want 201 active after %d", i, got, n, c.requests)
		}
	}
}
