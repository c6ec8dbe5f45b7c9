package controller

import (
	"context"
	"math"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/recordwriter"
)

const (
	recordWriteTimeout = 2 * time.Second
	// outcomeReadTimeout limits one try to read how a job ended.
	outcomeReadTimeout   = 4 * time.Second
	outcomeRetryInterval = 300 * time.Millisecond
)

// writeRecords sends the record writer's next batch if it is ready and has changes to write.
func (lt *leaderTerm) writeRecords(now time.Time) {
	if !lt.recordWriter.Ready(now) {
		return
	}
	deps := &lt.dependencies
	deps.pendingCancels = slices.DeleteFunc(deps.pendingCancels, func(j *cluster.Job) bool { return j.Ended })
	b := lt.recordWriter.NextBatch(now, deps.pendingCancels)
	deps.pendingCancels = deps.pendingCancels[len(b.DerivedCancels):]
	lt.rejectOversized(b.Oversized)
	if b.IsEmpty() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, recordWriteTimeout)
		defer cancel()
		res, err := lt.c.Store.Txn(ctx, b.Txn)
		lt.sendToOwner(batchWrittenMsg{leaderTerm: lt, batch: b, sent: now, result: res, err: err})
	}()
}

// batchWrittenMsg carries the result of a batch's transaction.
type batchWrittenMsg struct {
	leaderTerm *leaderTerm
	batch      *recordwriter.Batch
	// sent is when the transaction was sent.
	sent   time.Time
	result kv.Result
	err    error
}

func (m batchWrittenMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	out := lt.recordWriter.Apply(m.batch, now, m.result, m.err)
	switch {
	case out.TooLarge:
		c.Log.Error("record batch rejected as too large", "count", len(m.batch.Txn.Ops), "bytes", m.batch.Bytes)
	case m.err != nil:
		c.Log.Debug("record batch not written", "err", m.err)
	case m.result.Succeeded:
		recordLatency(lt.counts.recorded, now.Sub(m.sent))
	case out.TermLost:
		lt.stepDown()
	}
	lt.applyOutcome(out)
	lt.writeRecords(now)
}

// applyOutcome updates the jobs and machines of a batch after its result has been received.
func (lt *leaderTerm) applyOutcome(out recordwriter.Outcome) {
	for _, j := range out.Finished {
		lt.jobFinished(j)
	}
	for _, j := range out.Cancelled {
		if !j.Ended {
			lt.cancelJob(j)
		}
	}
	if out.ShardsWritten {
		lt.dispatchUntil = time.Now().Add(dispatchWindow)
	}
	deps := &lt.dependencies
	if len(out.RetryCancels) > 0 {
		deps.pendingCancels = slices.Concat(out.RetryCancels, deps.pendingCancels)
	}
	for _, j := range out.Conflicting {
		deps.pendingCancels = slices.DeleteFunc(deps.pendingCancels, func(o *cluster.Job) bool { return o == j })
	}
	lt.rejectOversized(out.Oversized)
	lt.resolveNextOutcome()
}

// rejectOversized evacuates the machines whose entry does not fit a registry shard. The next leader
// could not find them in the registry, so they are never assigned a task. Shards that cannot be
// rewritten are only logged.
func (lt *leaderTerm) rejectOversized(oversized recordwriter.Oversized) {
	for _, m := range oversized.Machines {
		lt.c.Log.Error("machine entry too large for registry", "machine", m.Name)
		lt.evacuate(m, "registry entry too large")
	}
	for _, key := range oversized.Shards {
		lt.c.Log.Error("registry shard not rewritten: machine entry too large", "key", key)
	}
}

// jobFinished removes a job whose terminal record has phase done, and logs its statistics.
func (lt *leaderTerm) jobFinished(j *cluster.Job) {
	if j.Ended {
		return
	}
	lt.removeJob(j)
	now := time.Now()
	terminal := records.TerminalRecord{Phase: api.JobDone, Tasks: j.Spec.Tasks, Ended: now}
	lt.c.finalStates.Add(j.Spec.ID, terminal.JobState(j.Spec.ID))
	lt.dependencies.jobDone(j.Spec.ID, now)
	for first, written := range j.CompletionChunks {
		if written {
			lt.recordWriter.DeleteKey(records.CompletionKey(j.Spec.ID, first))
		}
	}
	lt.dependencyLists.deleteList(j)
	lt.c.Log.Debug("job done",
		"job", j.Spec.ID,
		"class", j.Spec.Class,
		"tasks", j.Spec.Tasks,
		"lost", j.LostTasks,
		"firstStart", j.SinceRunnable(j.FirstStart),
		"lastStart", j.SinceRunnable(j.LastStart),
		"estimate", j.Spec.EstimateS,
		"longest", j.LongestRun.Round(time.Second/10),
		"late", math.Round(time.Since(j.Objectives[0]).Seconds()))
}

// resolveNextOutcome starts reading the outcome of the next job whose active record has changed,
// unless another read is in progress.
func (lt *leaderTerm) resolveNextOutcome() {
	if id, ok := lt.recordWriter.NextUnresolved(); ok {
		go lt.resolveOutcome(id)
	}
}

// resolveOutcome reads how a job ended, with retries. It uses the leader's request budget, not that of
// users' requests.
func (lt *leaderTerm) resolveOutcome(id string) {
	recordStore := records.Records{Store: lt.c.Store}
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, outcomeReadTimeout)
		rec, err := recordStore.Lookup(ctx, id)
		cancel()
		if err == nil {
			lt.sendToOwner(outcomeResolvedMsg{leaderTerm: lt, record: rec})
			return
		}
		sleep(lt.ctx, outcomeRetryInterval)
	}
}

// outcomeResolvedMsg carries the records of a job.
type outcomeResolvedMsg struct {
	leaderTerm *leaderTerm
	record     records.JobRecord
}

func (m outcomeResolvedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	lt.recordWriter.Resolved()
	defer lt.resolveNextOutcome()
	j, final := lt.jobs[m.record.ID], m.record.Final
	if j == nil || j.Ended {
		return
	}
	switch {
	case final.Phase == api.JobDone:
		lt.jobFinished(j)
	case final.Phase == api.JobCancelled && !final.DerivedCancel:
		lt.cancelJob(j)
	case j.CancelPending:
		lt.dependencies.pendingCancels = append(lt.dependencies.pendingCancels, j)
	default:
		lt.recordWriter.RetryFinish(j)
	}
}
