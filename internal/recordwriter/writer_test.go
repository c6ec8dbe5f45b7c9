package recordwriter

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

var (
	start         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	defaultLimits = config.KVLimits{WriteRPS: 100, TxnOps: 20, ValueKB: 16}
	termCompare   = kv.Compare{Key: "term", ModRevision: 7}
)

func newWriter(limits config.KVLimits) *Writer { return New(limits, termCompare, 3) }

// newJob returns a job whose tasks are all completed, but not recorded as completed.
func newJob(id string, tasks int) *cluster.Job {
	j := &cluster.Job{
		Spec:                 api.JobSpec{ID: id, Tasks: tasks},
		ModRevision:          5,
		Done:                 bitset.New(uint(tasks)),
		Recorded:             bitset.New(uint(tasks)),
		CompletionChunks:     map[int]bool{},
		CompletionChunkSizes: map[int]int{},
	}
	for task := range tasks {
		j.Done.Set(uint(task))
	}
	return j
}

func newJobs(count int) (jobs []*cluster.Job) {
	for i := range count {
		jobs = append(jobs, newJob(fmt.Sprint("job-", i), 1))
	}
	return jobs
}

func checkEqual[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// applySuccess applies the result of a successful transaction.
func applySuccess(t *testing.T, w *Writer, b *Batch, now time.Time) Outcome {
	t.Helper()
	if b.IsEmpty() {
		t.Fatal("the batch is empty")
	}
	return w.Apply(b, now, kv.Result{Succeeded: true}, nil)
}

func jobIDs(jobs []*cluster.Job) (ids []string) {
	for _, j := range jobs {
		ids = append(ids, j.Spec.ID)
	}
	return ids
}

// queuedChanges holds one change of each kind. queue queues it and returns the pending cancellations;
// ops is the number of operations that write it.
var queuedChanges = []struct {
	name  string
	queue func(w *Writer) []*cluster.Job
	ops   int
}{
	{"a job that is done", func(w *Writer) []*cluster.Job { w.FinishJob(newJob("j", 1)); return nil }, 2},
	{"a derived cancellation", func(*Writer) []*cluster.Job { return newJobs(1) }, 2},
	{"completed tasks", func(w *Writer) []*cluster.Job { w.QueueCompletion(newJob("j", 2)); return nil }, 1},
	{"a machine", func(w *Writer) []*cluster.Job { w.Register(&cluster.Machine{Name: "m"}); return nil }, 1},
	{"a deletion", func(w *Writer) []*cluster.Job { w.DeleteKey("k"); return nil }, 1},
	{"an empty shard", func(w *Writer) []*cluster.Job { w.MarkStale(&cluster.Shard{Key: "s"}); return nil }, 1},
	{"a stale shard", func(w *Writer) []*cluster.Job {
		w.MarkStale(&cluster.Shard{Key: "s", Machines: []*cluster.Machine{{Name: "m"}}})
		return nil
	}, 2},
}

func TestEveryBatchComparesTheTerm(t *testing.T) {
	for _, c := range queuedChanges {
		t.Run(c.name, func(t *testing.T) {
			w := newWriter(defaultLimits)
			b := w.NextBatch(start, c.queue(w))
			checkEqual(t, "operations", len(b.Txn.Ops), c.ops)
			checkEqual(t, "compares the term", slices.Contains(b.Txn.Compares, termCompare), true)
			checkEqual(t, "limited by the rate of records", b.Txn.SelfLimited, true)
			checkEqual(t, "ready while a batch is in flight", w.Ready(start), false)
			applySuccess(t, w, b, start)
			checkEqual(t, "ready after the result", w.Ready(start), true)
			checkEqual(t, "queued", w.Backlog(), Backlog{})
		})
	}
}

// Changes that were not written, or whose outcome is unknown, are written again. If another term has
// begun, they are not.
func TestUnwrittenChangesAreRetried(t *testing.T) {
	results := []struct {
		name string
		err  error
	}{
		{"not applied", kv.ErrNotApplied},
		{"outcome unknown", fmt.Errorf("lost: %w", kv.ErrOutcomeUnknown)},
		{"invalid", kv.ErrInvalid},
	}
	for _, c := range queuedChanges {
		for _, result := range results {
			t.Run(c.name+", "+result.name, func(t *testing.T) {
				w := newWriter(defaultLimits)
				b := w.NextBatch(start, c.queue(w))
				out := w.Apply(b, start, kv.Result{}, result.err)
				checkEqual(t, "too large", out.TooLarge, errors.Is(result.err, kv.ErrInvalid))
				checkEqual(t, "jobs in the outcome", len(out.Finished)+len(out.Cancelled)+len(out.Conflicting), 0)
				checkEqual(t, "ready at once", w.Ready(start), false)
				if len(out.Oversized.Machines) > 0 || len(out.Oversized.Shards) > 0 {
					return // the batch held only changes that are too large to write
				}
				later := start.Add(terminalRetryDelay)
				checkEqual(t, "ready later", w.Ready(later), true)
				retry := w.NextBatch(later, out.RetryCancels)
				checkEqual(t, "written again", len(retry.Txn.Ops) >= c.ops, true)
			})
		}
		t.Run(c.name+", term lost", func(t *testing.T) {
			w := newWriter(defaultLimits)
			b := w.NextBatch(start, c.queue(w))
			out := w.Apply(b, start, kv.Result{FailedKeys: []string{"other", termCompare.Key}}, nil)
			checkEqual(t, "outcome", out, Outcome{TermLost: true})
		})
	}
}

func TestCancellationsGoFirstInASeparateBatch(t *testing.T) {
	w := newWriter(config.KVLimits{WriteRPS: 100, TxnOps: 6, ValueKB: 16})
	pending := newJobs(5)
	w.FinishJob(newJob("done", 1))
	w.DeleteKey("k")
	now := start
	var batches [][]string
	for len(pending) > 0 {
		b := w.NextBatch(now, pending)
		pending = pending[len(b.DerivedCancels):]
		checkEqual(t, "operations of cancellations", len(b.Txn.Ops), opsPerCancellation*len(b.DerivedCancels))
		out := applySuccess(t, w, b, now)
		checkEqual(t, "jobs finished in the same batch", len(out.Finished), 0)
		batches = append(batches, jobIDs(out.Cancelled))
		now = now.Add(time.Second)
	}
	checkEqual(t, "cancelled jobs by batch", batches, [][]string{{"job-0", "job-1", "job-2"}, {"job-3", "job-4"}})
	checkEqual(t, "finished last", jobIDs(applySuccess(t, w, w.NextBatch(now, nil), now).Finished), []string{"done"})
}

// Cancellations are limited by a separate rate. Once it is used up, other changes are written.
func TestOtherChangesAreWrittenBeyondTheRateOfCancellations(t *testing.T) {
	w := newWriter(config.KVLimits{WriteRPS: 10, TxnOps: 20, ValueKB: 16})
	pending := newJobs(10)
	w.DeleteKey("k")
	b := w.NextBatch(start, pending)
	checkEqual(t, "cancellations within the rate", len(b.DerivedCancels), 2)
	pending = pending[2:]
	applySuccess(t, w, b, start)
	b = w.NextBatch(start, pending)
	checkEqual(t, "cancellations beyond the rate", len(b.DerivedCancels), 0)
	checkEqual(t, "operations", b.Txn.Ops, []kv.Op{{Delete: "k"}})
}

func TestRetriedCancellationsKeepTheirOrder(t *testing.T) {
	w := newWriter(defaultLimits)
	b := w.NextBatch(start, newJobs(3))
	out := w.Apply(b, start, kv.Result{}, kv.ErrOutcomeUnknown)
	checkEqual(t, "pending again", jobIDs(out.RetryCancels), []string{"job-0", "job-1", "job-2"})
}

func TestJobsWithAChangedRecordAreResolvedOneAtATime(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprint("cancelled ", cancelled), func(t *testing.T) {
			w := newWriter(defaultLimits)
			jobs := newJobs(4)
			var pending []*cluster.Job
			if cancelled {
				pending = jobs
			} else {
				for _, j := range jobs {
					w.FinishJob(j)
				}
			}
			b := w.NextBatch(start, pending)
			failed := []string{records.ActivePrefix + "job-1", records.ActivePrefix + "job-3"}
			out := w.Apply(b, start, kv.Result{FailedKeys: failed}, nil)
			checkEqual(t, "conflicting jobs", jobIDs(out.Conflicting), []string{"job-1", "job-3"})
			checkEqual(t, "cancellations to retry", len(out.RetryCancels), len(pending))
			checkEqual(t, "finishing", jobIDs(w.finishing), map[bool][]string{false: {"job-0", "job-2"}}[cancelled])

			id, ok := w.NextUnresolved()
			checkEqual(t, "first job to read", id, "job-1")
			checkEqual(t, "a job to read", ok, true)
			_, ok = w.NextUnresolved()
			checkEqual(t, "another job to read at the same time", ok, false)
			w.Resolved()
			id, _ = w.NextUnresolved()
			checkEqual(t, "next job to read", id, "job-3")
			w.Resolved()
			_, ok = w.NextUnresolved()
			checkEqual(t, "a job left to read", ok, false)
		})
	}
}

func TestJobIsQueuedOnce(t *testing.T) {
	w := newWriter(defaultLimits)
	j := newJob("j", 1)
	for range 3 {
		w.FinishJob(j)
		w.QueueCompletion(j)
	}
	checkEqual(t, "queued", w.Backlog(), Backlog{Finishing: 1, Completions: 1})
	j.Ended = true
	b := w.NextBatch(start, nil)
	checkEqual(t, "operations for a job that has ended", len(b.Txn.Ops), 0)
	checkEqual(t, "ready", w.Ready(start), true)
}

// If the store rejects a batch as invalid although it is within the configured limits, the writer lowers
// the limit that the batch may have exceeded. A single machine, or the replacement of a stale shard with
// a single machine, cannot be made smaller and is not retried. The end of a job is retried later.
func TestRejectedBatchIsMadeSmaller(t *testing.T) {
	machines := func(w *Writer, count int) {
		for i := range count {
			w.Register(&cluster.Machine{Name: fmt.Sprint("i-", i)})
		}
	}
	cases := []struct {
		name  string
		queue func(w *Writer)
		want  func(w *Writer, out Outcome) bool
	}{
		{"many operations", func(w *Writer) {
			for i := range 10 {
				w.DeleteKey(fmt.Sprint("k", i))
			}
		}, func(w *Writer, _ Outcome) bool { return w.maxOps == 5 }},
		{"many machines", func(w *Writer) { machines(w, 10) },
			func(w *Writer, _ Outcome) bool { return w.machinesPerShard == 5 && len(w.registering) == 10 }},
		{"one machine", func(w *Writer) { machines(w, 1) },
			func(w *Writer, out Outcome) bool {
				return len(out.Oversized.Machines) == 1 && len(w.registering) == 0
			}},
		{"a stale shard's successor", func(w *Writer) {
			w.MarkStale(&cluster.Shard{Key: "s", Machines: []*cluster.Machine{{Name: "m"}}})
		}, func(w *Writer, out Outcome) bool {
			return slices.Equal(out.Oversized.Shards, []string{"s"}) && len(w.staleShards) == 0
		}},
		{"completed tasks", func(w *Writer) { w.tasksPerChunk = 64; w.QueueCompletion(newJob("j", 64)) },
			func(w *Writer, _ Outcome) bool { return w.tasksPerChunk == 32 }},
		{"the end of a job", func(w *Writer) { w.FinishJob(newJob("j", 1)) },
			func(w *Writer, _ Outcome) bool { return !w.Ready(start.Add(terminalRetryDelay - 1)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWriter(defaultLimits)
			c.queue(w)
			out := w.Apply(w.NextBatch(start, nil), start, kv.Result{}, kv.ErrInvalid)
			checkEqual(t, "too large", out.TooLarge, true)
			if !c.want(w, out) {
				t.Errorf("outcome %+v, writer %+v", out, w)
			}
		})
	}
}
