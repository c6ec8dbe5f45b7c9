package records_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
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

// countingStore counts the requests to the store, and rejects those above a maximum.
type countingStore struct {
	*kvtest.Fake
	requests, writes atomic.Int64
	// maxRequests is how many requests are answered; 0 means all.
	maxRequests int
}

func (c *countingStore) count() error {
	if n := c.requests.Add(1); c.maxRequests > 0 && int(n) > c.maxRequests {
		return kv.ErrNotApplied
	}
	return nil
}

func (c *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := c.count(); err != nil {
		return kv.Entry{}, err
	}
	return c.Fake.Get(ctx, key)
}

func (c *countingStore) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	if err := c.count(); err != nil {
		return kv.Page{}, err
	}
	return c.Fake.Range(ctx, prefix, from, limit)
}

func (c *countingStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	if err := c.count(); err != nil {
		return kv.Result{}, err
	}
	c.writes.Add(int64(len(txn.Ops)))
	return c.Fake.Txn(ctx, txn)
}

// stateOf returns the phase of a job that has ended, and otherwise what its records show.
func stateOf(rec records.JobRecord) string {
	switch rec.Status {
	case records.Absent:
		return "absent"
	case records.Active:
		return "active"
	case records.Waiting:
		return "waiting"
	}
	return rec.Final.Phase
}

func newCountingStore() *countingStore { return &countingStore{Fake: kvtest.New()} }

// putRecord writes the record of a job: an active one if phase is pending, otherwise a terminal one.
func putRecord(t *testing.T, s kv.Service, id, phase string, dependsOn ...string) {
	t.Helper()
	op := kv.Op{Put: records.TerminalPrefix + id, Value: records.TerminalRecord{Phase: phase, Tasks: 1}}
	if phase == api.JobPending {
		spec := api.JobSpec{ID: id, Tasks: 1, DependsOn: dependsOn}
		op = kv.Op{Put: records.ActivePrefix + id, Value: records.ActiveRecord{Spec: spec}}
	}
	commit(t, s, op)
}

// commit commits operations without compares.
func commit(t *testing.T, s kv.Service, ops ...kv.Op) {
	t.Helper()
	if res, err := s.Txn(t.Context(), kv.Txn{Ops: ops}); err != nil || !res.Succeeded {
		t.Fatalf("commit %+v: %+v, %v", ops, res, err)
	}
}

// keysUnder returns the keys with a prefix.
func keysUnder(t *testing.T, s kv.Service, prefix string) (keys []string) {
	t.Helper()
	recs := records.Records{Store: s}
	if err := recs.ForEachKey(t.Context(), prefix, func(key string) { keys = append(keys, key) }); err != nil {
		t.Fatal(err)
	}
	return keys
}

// putMaxDependencies writes as many done jobs as one submission can name as dependencies, with 400
// bytes left for its other fields, and returns their names.
func putMaxDependencies(t *testing.T, s kv.Service) (ids []string) {
	t.Helper()
	for size := 400; size+len(`"job-1000",`) <= api.MaxBodyBytes; size += len(`"job-1000",`) {
		ids = append(ids, fmt.Sprint("job-", 1000+len(ids)))
		putRecord(t, s, ids[len(ids)-1], api.JobDone)
	}
	return ids
}

var testedLimits = []config.KVLimits{
	{ValueKB: 1, TxnOps: 3},
	{ValueKB: 2, TxnOps: 3},
	{ValueKB: 2, TxnOps: 12},
	{ValueKB: 16, TxnOps: 20},
	{ValueKB: 128, TxnOps: 20},
}

// A job may have as many dependencies as its submission has room for, however low the store's limit
// on the size of a value is. No value and no transaction may exceed the limits of the store.
func TestMoreDependenciesThanARecordHolds(t *testing.T) {
	for _, limits := range testedLimits {
		t.Run(fmt.Sprintf("%v KiB, %d operations", limits.ValueKB, limits.TxnOps), func(t *testing.T) {
			testMaxDependencies(t, limits)
		})
	}
}

func testMaxDependencies(t *testing.T, limits config.KVLimits) {
	t.Helper()
	store := newCountingStore()
	ids := putMaxDependencies(t, store)
	store.SetLimits(int(limits.ValueKB*1024), limits.TxnOps)
	recs := records.NewRecords(store, limits)
	spec := &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}
	if !records.JobFits(spec, limits.ValueKB) {
		t.Fatal("JobFits: got false, want true")
	}
	store.requests.Store(0)
	accept := func(submission, state string, created bool) {
		t.Helper()
		got, isNew, err := recs.Accept(t.Context(), spec, time.Unix(1, 0))
		if err != nil || stateOf(got) != state || isNew != created {
			t.Errorf("%s: got %+v, created %v, %v, want %s, created %v",
				submission, got, isNew, err, state, created)
		}
	}
	accept("first", "active", true)
	parts := len(keysUnder(t, store, records.DependencyPrefix))
	if n := int(store.requests.Load()); n > 20+parts {
		t.Errorf("%d jobs in %d records: %d requests, want at most %d", len(ids), parts, n, 20+parts)
	}
	rec := activeRecord(t, store, "job-1")
	checkDependencies(t, &recs, ids)
	// A version without support for lists takes the placeholder for the only dependency, and never
	// starts the job because no job has this name.
	if !slices.Equal(rec.Spec.DependsOn, []string{records.DependencyListPlaceholder}) {
		t.Errorf("active record: got %d dependencies, want only the placeholder", len(rec.Spec.DependsOn))
	}
	store.writes.Store(0)
	accept("repeated", "active", false)
	spec.DependsOn = append(slices.Clone(ids), "job-999999")
	accept("repeated, with a dependency that was never accepted", "active", false)
	spec.ID = "job-2"
	_, _, err := recs.Accept(t.Context(), spec, time.Unix(1, 0))
	if !errors.As(err, new(*records.UnknownDependencyError)) {
		t.Errorf("dependency never accepted: got %v, want UnknownDependencyError", err)
	}
	if n := store.writes.Load(); n > 0 {
		t.Errorf("repeated and rejected submissions: got %d operations, want 0", n)
	}
	putRecord(t, store, "job-999999", api.JobCancelled)
	accept("dependency cancelled", api.JobCancelled, true)
	if keys := keysUnder(t, store, records.DependencyPrefix+"job-2/"); len(keys) > 0 {
		t.Errorf("dependency list written for a cancelled job: %v", keys)
	}
	if rejected := store.RejectedAsTooLarge(); len(rejected) > 0 {
		t.Errorf("rejected as too large: %v", rejected)
	}
}

// activeRecord reads a job's active record.
func activeRecord(t *testing.T, s kv.Service, id string) (rec records.ActiveRecord) {
	t.Helper()
	e, err := s.Get(t.Context(), records.ActivePrefix+id)
	if err != nil || e.ModRevision == 0 {
		t.Fatalf("%s is not active: %v", id, err)
	}
	return decode(t, e.Key, e.Value, rec).(records.ActiveRecord)
}

// If the transactions that write a long list are applied late, or their responses are lost, an active
// job still has its complete list, and a repeated submission completes the list without excess
// records. Transactions that are applied after the job ended write no records.
func TestLongListInterruptedAnywhere(t *testing.T) {
	faults := map[string]func(*kvtest.Fake, func(kv.Txn) bool){
		"delayed":       (*kvtest.Fake).Delay,
		"response lost": (*kvtest.Fake).LoseResponses,
	}
	for applied := range 6 {
		for name, inject := range faults {
			t.Run(fmt.Sprint(name, " after ", applied), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testInterruptedList(t, applied, inject) })
			})
		}
	}
}

// testInterruptedList accepts a job with a long list while a fault affects all transactions but the
// first ones; applied is the number of those. Then it accepts the job at another node without the
// fault.
func testInterruptedList(t *testing.T, applied int, inject func(*kvtest.Fake, func(kv.Txn) bool)) {
	t.Helper()
	limits := config.KVLimits{ValueKB: 1, TxnOps: 3}
	store := newCountingStore()
	ids := make([]string, 1000) // 13 records
	for i := range ids {
		ids[i] = fmt.Sprint("job-", 1000+i)
		putRecord(t, store, ids[i], api.JobDone)
	}
	spec := &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}
	recs := records.NewRecords(store, limits)
	count := 0
	inject(store.Fake, func(kv.Txn) bool { count++; return count > applied })
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	_, _, err := recs.Accept(ctx, spec, time.Unix(1, 0))
	cancel()
	if store.Has(records.ActivePrefix + "job-1") {
		checkDependencies(t, &recs, ids)
	} else if err == nil {
		t.Error("job was accepted but has no active record")
	}
	inject(store.Fake, nil)
	other := records.NewRecords(store, limits) // at another node
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, _, err := other.Accept(ctx, spec, time.Unix(2, 0)); err != nil {
		t.Fatal(err)
	}
	checkDependencies(t, &other, ids)
	list := activeRecord(t, store, "job-1").DependencyList
	if keys := len(keysUnder(t, store, records.DependencyPrefix)); keys != list.RecordCount {
		t.Errorf("got %d records, want %d", keys, list.RecordCount)
	}
	// The job ends, its list is removed, and then the delayed transactions are applied.
	if _, _, err := other.Cancel(ctx, "job-1"); err != nil {
		t.Fatal(err)
	}
	for _, key := range list.Keys("job-1") {
		commit(t, store, kv.Op{Delete: key})
	}
	store.ApplyDelayed()
	if keys := keysUnder(t, store, records.DependencyPrefix); len(keys) > 0 {
		t.Errorf("records written after the job ended: %v", keys)
	}
}

// checkDependencies checks that the list of job-1 is read completely.
func checkDependencies(t *testing.T, recs *records.Records, ids []string) {
	t.Helper()
	list := activeRecord(t, recs.Store, "job-1").DependencyList
	got, err := recs.ReadDependencies(t.Context(), "job-1", list)
	if err != nil || !slices.Equal(got, ids) {
		t.Errorf("got %d of %d dependencies, %v", len(got), len(ids), err)
	}
}

// A list with a missing record must not be read as a shorter list: the job would start too early.
func TestListWithMissingRecord(t *testing.T) {
	store := newCountingStore()
	ids := putMaxDependencies(t, store)
	recs := records.NewRecords(store, config.KVLimits{ValueKB: 2, TxnOps: 12})
	spec := &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}
	if _, _, err := recs.Accept(t.Context(), spec, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	list := activeRecord(t, store, "job-1").DependencyList
	for _, i := range []int{0, 3, list.RecordCount - 1} {
		key := list.Keys("job-1")[i]
		e, err := store.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		commit(t, store, kv.Op{Delete: key})
		if got, err := recs.ReadDependencies(t.Context(), "job-1", list); err == nil {
			t.Errorf("without record %d: got %d dependencies, want an error", i, len(got))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if got, err := recs.Lookup(ctx, "job-1"); err == nil {
			t.Errorf("without record %d: got %+v, want an error", i, got)
		}
		cancel()
		commit(t, store, kv.Op{Put: key, Value: e.Value})
	}
	checkDependencies(t, &recs, ids)
}

// pipelineShapes maps the name of each pipeline shape to a function that returns the dependencies of
// job number i.
var pipelineShapes = map[string]func(i int) []string{
	"chain": func(i int) []string { return []string{fmt.Sprint("job-", i-1)} },
	"fan":   func(int) []string { return []string{"job-0"} },
	// Levels of two jobs, each of which depends on both of the level before.
	"diamonds": func(i int) []string {
		if i <= 2 {
			return []string{"job-0"}
		}
		level := (i - 1) / 2
		return []string{fmt.Sprint("job-", 2*level-1), fmt.Sprint("job-", 2*level)}
	},
}

// A job whose direct or indirect dependency is cancelled is reported as cancelled, and any other job
// is not. Without a leader only the node that is asked can derive this. The number of requests must
// be bounded, because a submission has to be answered in time.
func TestCancelledIndirectDependency(t *testing.T) {
	const jobs, maxRequests = 3000, 40
	for name, dependsOn := range pipelineShapes {
		t.Run(name, func(t *testing.T) {
			store := newCountingStore()
			putRecord(t, store, "job-0", api.JobPending)
			for i := 1; i < jobs; i++ {
				putRecord(t, store, fmt.Sprint("job-", i), api.JobPending, dependsOn(i)...)
			}
			recs := records.NewRecords(store, config.KVLimits{ValueKB: 2, TxnOps: 3})
			check := func(operation, want string, got records.JobRecord, err error) {
				t.Helper()
				if err != nil || stateOf(got) != want {
					t.Errorf("%s: got %+v, %v, want %s", operation, got, err, want)
				}
				if n := store.requests.Load(); n > maxRequests {
					t.Errorf("%s: %d requests, want at most %d", operation, n, maxRequests)
				}
				store.requests.Store(0)
			}
			accept := func(id, want string) {
				t.Helper()
				spec := &api.JobSpec{ID: id, Tasks: 1, DependsOn: dependsOn(jobs)}
				got, _, err := recs.Accept(t.Context(), spec, time.Unix(1, 0))
				check("accept "+id, want, got, err)
			}
			store.requests.Store(0)
			accept("job-9001", "active")
			if _, _, err := recs.Cancel(t.Context(), "job-0"); err != nil {
				t.Fatal(err)
			}
			store.requests.Store(0)
			accept("job-9002", api.JobCancelled)
			got, err := recs.Lookup(t.Context(), "job-9001")
			check("look up job-9001", api.JobCancelled, got, err)
		})
	}
}

// Thousands of ended jobs are looked up with one request per page of records that contains some of
// them. A retry must not read again what an earlier attempt has read.
func TestManyEndedDependencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		ids := putDoneJobs(t, store, 40_000)
		recs := records.NewRecords(store, config.KVLimits{ValueKB: 16, TxnOps: 12})
		submit := func(id string, dependsOn []string) (requests int, err error) {
			store.requests.Store(0)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			spec := &api.JobSpec{ID: id, Tasks: 1, DependsOn: dependsOn}
			_, _, err = recs.Accept(ctx, spec, time.Unix(1, 0))
			return int(store.requests.Load()), err
		}
		store.maxRequests = 20
		attempts := 1
		for ; attempts < 10; attempts++ {
			if _, err := submit("job-1", ids); err == nil {
				break
			}
		}
		if attempts < 2 || attempts > 4 {
			t.Errorf("got %d attempts of %d requests, want 2 to 4 attempts", attempts, store.maxRequests)
		}
		if n, err := submit("job-2", ids); err != nil || n > 15 {
			t.Errorf("repeated: got %d requests, %v, want at most 15", n, err)
		}
		store.maxRequests = 0
		recs = records.NewRecords(store, recs.Limits) // with an empty cache
		n, err := submit("job-4", ids)
		if err != nil || n > 50 {
			t.Errorf("in one attempt: got %d requests, %v, want at most 50", n, err)
		}
		t.Logf("%d dependencies in one attempt: %d requests", len(ids), n)
		for _, missing := range []string{"job-000000000", "job-0001", "job-020000000", "job-9", "job-0"} {
			_, err := submit("job-3", append(slices.Clone(ids[:100]), missing))
			var unknown *records.UnknownDependencyError
			if !errors.As(err, &unknown) || !strings.HasSuffix(unknown.ID, missing) {
				t.Errorf("%s: got %v, want UnknownDependencyError", missing, err)
			}
		}
	})
}

// putDoneJobs writes n done jobs, and returns the name of every tenth.
func putDoneJobs(t *testing.T, s kv.Service, n int) (ids []string) {
	t.Helper()
	for i := range n {
		id := fmt.Sprintf("job-%06d", i)
		putRecord(t, s, id, api.JobDone)
		if i%10 == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// slowRangeStore is a store whose ranges take a second. It counts the concurrent ranges.
type slowRangeStore struct {
	*kvtest.Fake
	inProgress, maxInProgress atomic.Int32
}

func (s *slowRangeStore) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	if n := s.inProgress.Add(1); n > s.maxInProgress.Load() {
		s.maxInProgress.Store(n)
	}
	defer s.inProgress.Add(-1)
	time.Sleep(time.Second)
	return s.Fake.Range(ctx, prefix, from, limit)
}

// However many submissions with many dependencies arrive, only a few may be processed at the same
// time, since all that is read for them is held in memory. The others wait or are rejected.
func TestManyLongSubmissionsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowRangeStore{Fake: kvtest.New()}
		ids := putMaxDependencies(t, store.Fake)
		recs := records.NewRecords(store, config.KVLimits{ValueKB: 128, TxnOps: 12})
		var accepted, rejected atomic.Int32
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				spec := &api.JobSpec{ID: fmt.Sprint("job-", i), Tasks: 1, DependsOn: ids}
				switch _, _, err := recs.Accept(ctx, spec, time.Unix(1, 0)); {
				case err == nil:
					accepted.Add(1)
				case errors.Is(err, kv.ErrNotApplied):
					rejected.Add(1)
				default:
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n := store.maxInProgress.Load(); n > 4 {
			t.Errorf("got %d concurrent ranges, want at most 4", n)
		}
		if accepted.Load() < 10 || accepted.Load()+rejected.Load() != 20 {
			t.Errorf("got %d accepted and %d rejected, want at least 10 accepted of 20",
				accepted.Load(), rejected.Load())
		}
	})
}
