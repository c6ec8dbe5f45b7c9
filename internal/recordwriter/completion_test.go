package recordwriter

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

func TestCompletedTasksAreRecordedChunkByChunk(t *testing.T) {
	w, now := newWriter(defaultLimits), start
	w.tasksPerChunk = 16
	j := newJob("j", 40)
	w.QueueCompletion(j)
	var keys []string
	for w.Backlog().Completions > 0 {
		b := w.NextBatch(now, nil)
		want := kv.Compare{Key: records.ActivePrefix + "j", ModRevision: j.ModRevision}
		checkEqual(t, "compares the job's record", b.Txn.Compares, []kv.Compare{termCompare, want})
		keys = append(keys, b.Txn.Ops[0].Put)
		applySuccess(t, w, b, now)
		now = now.Add(completionInterval)
	}
	want := []string{records.CompletionKey("j", 0), records.CompletionKey("j", 16), records.CompletionKey("j", 32)}
	checkEqual(t, "keys of the completion records", keys, want)
	checkEqual(t, "recorded tasks", j.Recorded.Count(), uint(40))
}

func TestCompletionRecordsAreLimitedInRate(t *testing.T) {
	w := newWriter(defaultLimits)
	w.QueueCompletion(newJob("a", 2))
	applySuccess(t, w, w.NextBatch(start, nil), start)
	w.QueueCompletion(newJob("b", 2))
	for _, c := range []struct {
		after time.Duration
		ops   int
	}{{0, 0}, {completionInterval - 1, 0}, {completionInterval, 1}} {
		checkEqual(t, c.after.String(), len(w.NextBatch(start.Add(c.after), nil).Txn.Ops), c.ops)
	}
}

// A completion record must not be written after its job has ended. So a record is not retried if the
// job's active record has changed.
func TestCompletionOfAChangedJobIsDropped(t *testing.T) {
	w := newWriter(defaultLimits)
	changed, other := newJob("changed", 2), newJob("other", 2)
	w.QueueCompletion(changed)
	w.QueueCompletion(other)
	b := w.NextBatch(start, nil)
	out := w.Apply(b, start, kv.Result{FailedKeys: []string{records.ActivePrefix + "changed"}}, nil)
	checkEqual(t, "jobs to resolve", len(out.Conflicting), 0)
	checkEqual(t, "jobs queued again", jobIDs(w.dirtyJobs), []string{"other"})
	checkEqual(t, "dirty", []bool{changed.CompletionDirty, other.CompletionDirty}, []bool{false, true})
	checkEqual(t, "chunk marked as written", changed.CompletionChunks[0], false)
}
