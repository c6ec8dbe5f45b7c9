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

// countingStore counts the requests that reach the state service, and refuses those
// beyond a number.
type countingStore struct {
	*kvtest.Fake
	requests, writes atomic.Int64
	// most is how many requests are answered; 0: all.
	most int
}

func (c *countingStore) count() error {
	if n := c.requests.Add(1); c.most > 0 && int(n) > c.most {
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

func (c *countingStore) Range(ctx context.Context, prefix, from string, most int) (kv.Page, error) {
	if err := c.count(); err != nil {
		return kv.Page{}, err
	}
	return c.Fake.Range(ctx, prefix, from, most)
}

func (c *countingStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	if err := c.count(); err != nil {
		return kv.Result{}, err
	}
	c.writes.Add(int64(len(txn.Ops)))
	return c.Fake.Txn(ctx, txn)
}

func newCountingStore() *countingStore { return &countingStore{Fake: kvtest.New()} }

// putRecord writes a job's record as some node would: an active one, or a final one.
func putRecord(t *testing.T, s kv.Service, id, phase string, dependsOn ...string) {
	t.Helper()
	op := kv.Op{Put: records.TerminalPrefix + id, Value: records.TerminalRecord{Phase: phase, Tasks: 1}}
	if phase == api.JobPending {
		op = kv.Op{Put: records.ActivePrefix + id, Value: records.ActiveRecord{Spec: api.JobSpec{ID: id, Tasks: 1, DependsOn: dependsOn}}}
	}
	if _, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{op}}); err != nil {
		t.Fatal(err)
	}
}

// keysUnder are the keys with a prefix.
func keysUnder(t *testing.T, s kv.Service, prefix string) (keys []string) {
	t.Helper()
	recordStore := records.Records{Store: s}
	if err := recordStore.EachKey(t.Context(), prefix, func(key string) { keys = append(keys, key) }); err != nil {
		t.Fatal(err)
	}
	return keys
}

// putMaxDependencies are as many names as a submission has room for, all of jobs that are done.
func putMaxDependencies(t *testing.T, s kv.Service) (ids []string) {
	t.Helper()
	for size := 400; size+len(`"job-1000",`) <= api.MaxBody; size += len(`"job-1000",`) {
		ids = append(ids, fmt.Sprint("job-", 1000+len(ids)))
		putRecord(t, s, ids[len(ids)-1], api.JobDone)
	}
	return ids
}

var smallLimits = []config.StateLimits{
	{ValueKB: 1, TxnOps: 3}, {ValueKB: 2, TxnOps: 3}, {ValueKB: 2, TxnOps: 12}, {ValueKB: 16, TxnOps: 20}, {ValueKB: 128, TxnOps: 20},
}

// A job may name as many others as its submission has room for, however small the
// values of the state service are; no value and no transaction is too large.
func TestMoreAwaitedJobsThanARecordHolds(t *testing.T) {
	for _, limits := range smallLimits {
		t.Run(fmt.Sprintf("%v KiB, %d changes", limits.ValueKB, limits.TxnOps), func(t *testing.T) {
			st := newCountingStore()
			ids := putMaxDependencies(t, st)
			st.SetLimits(int(limits.ValueKB*1024), limits.TxnOps)
			recordStore := records.NewRecords(st, limits)
			spec := &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}
			if !records.Fits(spec, limits.ValueKB) {
				t.Fatal("does not fit")
			}
			st.requests.Store(0)
			accept := func(what, phase string, created bool) {
				t.Helper()
				got, isNew, err := recordStore.Accept(t.Context(), spec, time.Unix(1, 0))
				if err != nil || got.Phase != phase || isNew != created {
					t.Errorf("%s: %+v, %v, %v", what, got, isNew, err)
				}
			}
			accept("first", api.JobPending, true)
			if parts := len(keysUnder(t, st, records.DependencyPrefix)); int(st.requests.Load()) > 20+parts {
				t.Errorf("%d jobs in %d records: %d requests", len(ids), parts, int(st.requests.Load()))
			}
			a := activeRecord(t, st, "job-1")
			if got, err := recordStore.ReadDependencies(t.Context(), "job-1", a.DependencyList); err != nil || !slices.Equal(got, ids) {
				t.Errorf("%d of %d names, %v", len(got), len(ids), err)
			}
			if !slices.Equal(a.Spec.DependsOn, []string{records.DependenciesElsewhere}) {
				t.Errorf("a version that knows of no lists reads %d names", len(a.Spec.DependsOn))
			}
			st.writes.Store(0)
			accept("repeated", api.JobPending, false)
			spec.DependsOn = append(slices.Clone(ids), "job-999999")
			accept("repeated, naming what was never accepted", api.JobPending, false)
			spec.ID = "job-2"
			if _, _, err := recordStore.Accept(t.Context(), spec, time.Unix(1, 0)); !errors.As(err, new(*records.UnknownDependencyError)) {
				t.Errorf("never accepted: %v", err)
			}
			if int(st.writes.Load()) > 0 {
				t.Errorf("%d changes for repeats and refusals", int(st.writes.Load()))
			}
			putRecord(t, st, "job-999999", api.JobCancelled)
			accept("one of them is cancelled", api.JobCancelled, true)
			if keys := keysUnder(t, st, records.DependencyPrefix+"job-2/"); len(keys) > 0 {
				t.Errorf("left of a job that is over: %v", keys)
			}
			if refused := st.TooLarge(); len(refused) > 0 {
				t.Errorf("refused: %v", refused)
			}
		})
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

// Whichever transaction of a long list is not carried out, or only late, or its
// answer is lost, a job that is active has its whole list, and a repeated
// submission writes only what is missing.
func TestLongListCutAnywhere(t *testing.T) {
	limits := config.StateLimits{ValueKB: 1, TxnOps: 3}
	for cut := range 6 {
		for trouble, set := range map[string]func(*kvtest.Fake, func(kv.Txn) bool){"held": (*kvtest.Fake).Hold, "lost": (*kvtest.Fake).Lose} {
			t.Run(fmt.Sprint(trouble, " ", cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := newCountingStore()
					var ids []string
					for i := range 1000 { // 13 records
						ids = append(ids, fmt.Sprint("job-", 1000+i))
						putRecord(t, st, ids[i], api.JobDone)
					}
					spec := &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}
					recordStore := records.NewRecords(st, limits)
					n := 0
					set(st.Fake, func(kv.Txn) bool { n++; return n > cut })
					ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
					_, _, err := recordStore.Accept(ctx, spec, time.Unix(1, 0))
					cancel()
					if st.Has(records.ActivePrefix + "job-1") {
						checkWholeList(t, &recordStore, ids)
					} else if err == nil {
						t.Error("accepted without a record")
					}
					set(st.Fake, nil)
					other := records.NewRecords(st, limits) // at another node
					ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					if _, _, err := other.Accept(ctx, spec, time.Unix(2, 0)); err != nil {
						t.Fatal(err)
					}
					checkWholeList(t, &other, ids)
					list := activeRecord(t, st, "job-1").DependencyList
					if keys := len(keysUnder(t, st, records.DependencyPrefix)); keys != list.Records {
						t.Errorf("%d records", keys)
					}
					// The job ends, its list is removed, and then what was late comes.
					if _, _, err := other.Cancel(ctx, "job-1"); err != nil {
						t.Fatal(err)
					}
					for _, key := range list.Keys("job-1") {
						st.Txn(ctx, kv.Txn{Ops: []kv.Op{{Delete: key}}})
					}
					st.Release()
					if keys := keysUnder(t, st, records.DependencyPrefix); len(keys) > 0 {
						t.Errorf("written after its end: %v", keys)
					}
				})
			})
		}
	}
}

// checkWholeList checks that job-1 is read with all names, or not at all once a record lacks.
func checkWholeList(t *testing.T, recordStore *records.Records, ids []string) {
	t.Helper()
	list := activeRecord(t, recordStore.Store, "job-1").DependencyList
	if got, err := recordStore.ReadDependencies(t.Context(), "job-1", list); err != nil || !slices.Equal(got, ids) {
		t.Errorf("%d of %d names, %v", len(got), len(ids), err)
	}
}

// A list of which a record is missing is no shorter list.
func TestListWithoutARecord(t *testing.T) {
	st := newCountingStore()
	ids := putMaxDependencies(t, st)
	recordStore := records.NewRecords(st, config.StateLimits{ValueKB: 2, TxnOps: 12})
	if _, _, err := recordStore.Accept(t.Context(), &api.JobSpec{ID: "job-1", Tasks: 1, DependsOn: ids}, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	list := activeRecord(t, st, "job-1").DependencyList
	for _, i := range []int{0, 3, list.Records - 1} {
		key := list.Keys("job-1")[i]
		e, _ := st.Get(t.Context(), key)
		st.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Delete: key}}})
		if got, err := recordStore.ReadDependencies(t.Context(), "job-1", list); err == nil {
			t.Errorf("without record %d: %d names", i, len(got))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if got, _, err := recordStore.Lookup(ctx, "job-1"); err == nil {
			t.Errorf("without record %d: told %+v", i, got)
		}
		cancel()
		st.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Put: key, Value: e.Value}}})
	}
	checkWholeList(t, &recordStore, ids)
}

// pipelineShapes are what the job with a number awaits, by the form of the pipeline.
var pipelineShapes = map[string]func(i int) []string{
	"chain": func(i int) []string { return []string{fmt.Sprint("job-", i-1)} },
	"fan":   func(int) []string { return []string{"job-0"} },
	"diamonds": func(i int) []string { // a ladder of levels of two, each awaiting both before
		if i <= 2 {
			return []string{"job-0"}
		}
		level := (i - 1) / 2
		return []string{fmt.Sprint("job-", 2*level-1), fmt.Sprint("job-", 2*level)}
	},
}

// Whether a job is to be cancelled with one that it needs is known exactly, however
// far that is, and with a bounded number of requests: nobody else knows it while
// nobody leads, and a submission must be answered in time.
func TestCancelledFarBack(t *testing.T) {
	const jobs, mostRequests = 3000, 40
	for name, need := range pipelineShapes {
		t.Run(name, func(t *testing.T) {
			st := newCountingStore()
			putRecord(t, st, "job-0", api.JobPending)
			for i := 1; i < jobs; i++ {
				putRecord(t, st, fmt.Sprint("job-", i), api.JobPending, need(i)...)
			}
			recordStore := records.NewRecords(st, config.StateLimits{ValueKB: 2, TxnOps: 3})
			accept := func(id, want string) {
				t.Helper()
				st.requests.Store(0)
				spec := &api.JobSpec{ID: id, Tasks: 1, DependsOn: need(jobs)}
				if got, _, err := recordStore.Accept(t.Context(), spec, time.Unix(1, 0)); err != nil || got.Phase != want {
					t.Errorf("%s: %+v, %v", id, got, err)
				}
				if int(st.requests.Load()) > mostRequests {
					t.Errorf("%s: %d requests", id, int(st.requests.Load()))
				}
			}
			accept("job-9001", api.JobPending)
			if _, _, err := recordStore.Cancel(t.Context(), "job-0"); err != nil {
				t.Fatal(err)
			}
			accept("job-9002", api.JobCancelled)
			st.requests.Store(0)
			if got, _, err := recordStore.Lookup(t.Context(), "job-9001"); err != nil || got.Phase != api.JobCancelled || int(st.requests.Load()) > mostRequests {
				t.Errorf("asked for: %+v, %v, %d requests", got, err, int(st.requests.Load()))
			}
		})
	}
}

// Thousands of finished jobs are looked up in a request for each page that holds
// some of them; what a try has read the next one need not read again.
func TestManyFinishedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newCountingStore()
		var ids []string
		for i := range 40_000 {
			id := fmt.Sprintf("job-%06d", i)
			putRecord(t, st, id, api.JobDone)
			if i%10 == 0 {
				ids = append(ids, id)
			}
		}
		recordStore := records.NewRecords(st, config.StateLimits{ValueKB: 16, TxnOps: 12})
		submit := func(id string, dependsOn []string) error {
			st.requests.Store(0)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, _, err := recordStore.Accept(ctx, &api.JobSpec{ID: id, Tasks: 1, DependsOn: dependsOn}, time.Unix(1, 0))
			return err
		}
		tries := 1
		for st.most = 20; submit("job-1", ids) != nil && tries < 10; {
			tries++
		}
		if tries < 2 || tries > 4 {
			t.Errorf("%d tries of %d requests", tries, st.most)
		}
		if err := submit("job-2", ids); err != nil || int(st.requests.Load()) > 15 {
			t.Errorf("again: %d requests, %v", int(st.requests.Load()), err)
		}
		st.most = 0
		recordStore = records.NewRecords(st, recordStore.Limits) // that remembers nothing
		if err := submit("job-4", ids); err != nil || int(st.requests.Load()) > 50 {
			t.Errorf("in one try: %d requests, %v", int(st.requests.Load()), err)
		}
		t.Logf("%d names in one try: %d requests", len(ids), int(st.requests.Load()))
		for _, missing := range []string{"job-000000000", "job-0001", "job-020000000", "job-9", "job-0"} {
			var never *records.UnknownDependencyError
			if err := submit("job-3", append(slices.Clone(ids[:100]), missing)); !errors.As(err, &never) || !strings.HasSuffix(never.ID, missing) {
				t.Errorf("%s: %v", missing, err)
			}
		}
	})
}

// slowRanges is a store whose ranges take a second, and which counts how many are
// asked for at the same time.
type slowRanges struct {
	*kvtest.Fake
	now, most atomic.Int32
}

func (s *slowRanges) Range(ctx context.Context, prefix, from string, most int) (kv.Page, error) {
	if n := s.now.Add(1); n > s.most.Load() {
		s.most.Store(n)
	}
	defer s.now.Add(-1)
	time.Sleep(time.Second)
	return s.Fake.Range(ctx, prefix, from, most)
}

// However many submissions come that name many jobs, few are held in memory at the
// same time with all that is read for them; the others wait, or are refused for now.
func TestManyLongSubmissionsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &slowRanges{Fake: kvtest.New()}
		ids := putMaxDependencies(t, st.Fake)
		recordStore := records.NewRecords(st, config.StateLimits{ValueKB: 128, TxnOps: 12})
		var accepted, refused atomic.Int32
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				switch _, _, err := recordStore.Accept(ctx, &api.JobSpec{ID: fmt.Sprint("job-", i), Tasks: 1, DependsOn: ids}, time.Unix(1, 0)); {
				case err == nil:
					accepted.Add(1)
				case errors.Is(err, kv.ErrNotApplied):
					refused.Add(1)
				default:
					t.Error(err)
				}
			})
		}
		all.Wait()
		if most := st.most.Load(); most > 4 || accepted.Load() < 10 || accepted.Load()+refused.Load() != 20 {
			t.Errorf("%d at a time, %d accepted, %d refused", most, accepted.Load(), refused.Load())
		}
	})
}
