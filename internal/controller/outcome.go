package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// resolveOutcomes reads how jobs ended whose record had changed when their end was written:
// mostly by this leader's own transaction, whose answer was lost.
func (rw *recordWriter) resolveOutcomes(jobs []*job) {
	for _, j := range jobs {
		rw.finishing = slices.DeleteFunc(rw.finishing, func(o *job) bool { return o == j })
		rw.leaderTerm.dependencies.pendingCancels = slices.DeleteFunc(rw.leaderTerm.dependencies.pendingCancels, func(o *job) bool { return o == j })
		rw.outcomeUnknown = append(rw.outcomeUnknown, j.spec.ID)
	}
	rw.resolveNext()
}

// resolveNext looks at one job at a time. After a while of lost answers there are
// many, and looked at side by side they used up each other's turns in the request
// budget: none was ever read to its end, and the fleet was kept for work long done.
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
		ctx, cancel := context.WithTimeout(lt.ctx, 4*time.Second)
		st, found, err := recordStore.Lookup(ctx, id)
		cancel()
		if err == nil {
			lt.sendToOwner(outcomeResolvedMsg{lt, id, st, found})
			return
		}
		sleep(lt.ctx, 300*time.Millisecond)
	}
}

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
	if j == nil || j.ended {
		return
	}
	switch {
	case m.found && m.state.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.found && m.state.Phase == api.JobCancelled && !m.state.Derived:
		lt.cancelJob(j)
	case j.cancelPending:
		lt.dependencies.pendingCancels = append(lt.dependencies.pendingCancels, j)
	default:
		lt.recordWriter.finishing = append(lt.recordWriter.finishing, j)
	}
}
