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
	recordWriteTimeout   = 2 * time.Second
	outcomeReadTimeout   = 4 * time.Second
	outcomeRetryInterval = 300 * time.Millisecond
)

// writeRecords starts the next transaction of the record writer if there is anything to write.
func (lt *leaderTerm) writeRecords(now time.Time) {
	if !lt.recordWriter.Ready(now) {
		return
	}
	deps := &lt.dependencies
	deps.pendingCancels = slices.DeleteFunc(deps.pendingCancels, func(j *cluster.Job) bool { return j.Ended })
	b := lt.recordWriter.NextBatch(now, deps.pendingCancels)
	deps.pendingCancels = deps.pendingCancels[len(b.DerivedCancels):]
	lt.rejectUnfit(b.Unfit)
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

// batchWrittenMsg is the result of a batch's transaction, sent at sent.
type batchWrittenMsg struct {
	leaderTerm *leaderTerm
	batch      *recordwriter.Batch
	sent       time.Time
	result     kv.Result
	err        error
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
		c.Log.Error("records rejected as too large", "count", len(m.batch.Txn.Ops), "bytes", m.batch.Bytes)
	case m.err != nil:
		c.Log.Debug("records not written", "err", m.err)
	case m.result.Succeeded:
		recordLatency(lt.counts.recorded, now.Sub(m.sent))
	case out.TermLost:
		lt.stepDown()
	}
	lt.applyOutcome(out)
	lt.writeRecords(now)
}

// applyOutcome updates the jobs and machines that a batch is about.
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
	for _, j := range out.Changed {
		deps.pendingCancels = slices.DeleteFunc(deps.pendingCancels, func(o *cluster.Job) bool { return o == j })
	}
	lt.rejectUnfit(out.Unfit)
	lt.resolveNext()
}

// rejectUnfit evacuates the machines whose entry no shard can hold: the next leader would not know
// of them, so they are never given a task.
func (lt *leaderTerm) rejectUnfit(unfit recordwriter.Unfit) {
	for _, m := range unfit.Machines {
		lt.c.Log.Error("machine's entry too large for the registry", "machine", m.Name)
		lt.evacuate(m, "does not fit the roster")
	}
	for _, key := range unfit.Shards {
		lt.c.Log.Error("registry shard cannot be rewritten", "key", key)
	}
}

// jobFinished removes a job whose terminal record says that it is done.
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
	lt.dependencyLists.drop(j)
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

// resolveNext starts to read the outcome of the next job whose active record had changed.
func (lt *leaderTerm) resolveNext() {
	if id, ok := lt.recordWriter.NextUnresolved(); ok {
		go lt.resolveOutcomeOf(id)
	}
}

// resolveOutcomeOf reads how a job ended, within the leader's own request budget.
func (lt *leaderTerm) resolveOutcomeOf(id string) {
	recordStore := records.Records{Store: lt.c.Store}
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, outcomeReadTimeout)
		state, found, err := recordStore.Lookup(ctx, id)
		cancel()
		if err == nil {
			lt.sendToOwner(outcomeResolvedMsg{leaderTerm: lt, id: id, state: state, found: found})
			return
		}
		sleep(lt.ctx, outcomeRetryInterval)
	}
}

// outcomeResolvedMsg is a job's state as the store has it.
type outcomeResolvedMsg struct {
	leaderTerm *leaderTerm
	id         string
	state      api.JobState
	found      bool
}

func (m outcomeResolvedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	lt.recordWriter.Resolved()
	defer lt.resolveNext()
	j := lt.jobs[m.id]
	if j == nil || j.Ended {
		return
	}
	switch {
	case m.found && m.state.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.found && m.state.Phase == api.JobCancelled && !m.state.DerivedCancel:
		lt.cancelJob(j)
	case j.CancelPending:
		lt.dependencies.pendingCancels = append(lt.dependencies.pendingCancels, j)
	default:
		lt.recordWriter.RetryFinish(j)
	}
}
