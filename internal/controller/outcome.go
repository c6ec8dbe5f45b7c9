package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

const (
	outcomeReadTimeout   = 4 * time.Second
	outcomeRetryInterval = 300 * time.Millisecond
)

// resolveOutcomes reads how jobs ended whose active record had changed when their terminal
// record was written: mostly by this leader's own transaction, whose response was lost.
func (rw *recordWriter) resolveOutcomes(jobs []*cluster.Job) {
	deps := &rw.leaderTerm.dependencies
	for _, j := range jobs {
		isJob := func(o *cluster.Job) bool { return o == j }
		rw.finishing = slices.DeleteFunc(rw.finishing, isJob)
		deps.pendingCancels = slices.DeleteFunc(deps.pendingCancels, isJob)
		rw.outcomeUnknown = append(rw.outcomeUnknown, j.Spec.ID)
	}
	rw.resolveNext()
}

// resolveNext reads the outcome of one job at a time. After a period of lost responses
// there are many, and when they were read concurrently, they used up each other's share
// of the request budget: none was ever read to its end, and the fleet was kept for work
// long done.
func (rw *recordWriter) resolveNext() {
	if rw.resolving || len(rw.outcomeUnknown) == 0 {
		return
	}
	rw.resolving = true
	go rw.leaderTerm.resolveOutcomeOf(rw.outcomeUnknown[0])
	rw.outcomeUnknown = rw.outcomeUnknown[1:]
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
	if c.leaderTerm != lt {
		return
	}
	lt.recordWriter.resolving = false
	defer lt.recordWriter.resolveNext()
	j := lt.jobs[m.id]
	if j == nil || j.Ended {
		return
	}
	switch {
	case m.found && m.state.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.found && m.state.Phase == api.JobCancelled && !m.state.Derived:
		lt.cancelJob(j)
	case j.CancelPending:
		lt.dependencies.pendingCancels = append(lt.dependencies.pendingCancels, j)
	default:
		lt.recordWriter.finishing = append(lt.recordWriter.finishing, j)
	}
}
