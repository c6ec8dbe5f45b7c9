package controller

import (
	"context"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/store"
)

// verify reads how jobs ended whose record had changed when their end was written:
// mostly by this leader's own transaction, whose answer was lost.
func (w *recorder) verify(jobs []*job) {
	for _, j := range jobs {
		w.finishing = slices.DeleteFunc(w.finishing, func(o *job) bool { return o == j })
		w.leaderTerm.dependencies.pendingCancels = slices.DeleteFunc(w.leaderTerm.dependencies.pendingCancels, func(o *job) bool { return o == j })
		w.unsettled = append(w.unsettled, j.spec.ID)
	}
	w.settleNext()
}

// settleNext looks at one job at a time. After a while of lost answers there are
// many, and looked at side by side they used up each other's turns in the request
// budget: none was ever read to its end, and the fleet was kept for work long done.
func (w *recorder) settleNext() {
	if w.settling || len(w.unsettled) == 0 {
		return
	}
	w.settling = true
	go w.leaderTerm.settle(w.unsettled[0])
	w.unsettled = w.unsettled[1:]
}

// settle reads how a job ended, within the leader's own request budget.
func (lt *leaderTerm) settle(id string) {
	records := store.Records{Store: lt.c.Store}
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, 4*time.Second)
		st, found, err := records.Lookup(ctx, id)
		cancel()
		if err == nil {
			lt.sendToOwner(settledMsg{lt, id, st, found})
			return
		}
		sleep(lt.ctx, 300*time.Millisecond)
	}
}

type settledMsg struct {
	leaderTerm *leaderTerm
	id         string
	st         api.JobState
	found      bool
}

func (m settledMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	lt.recorder.settling = false
	defer lt.recorder.settleNext()
	j := lt.jobs[m.id]
	if j == nil || j.ended {
		return
	}
	switch {
	case m.found && m.st.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.found && m.st.Phase == api.JobCancelled && !m.st.Derived:
		lt.cancelJob(j)
	case j.cancelPending:
		lt.dependencies.pendingCancels = append(lt.dependencies.pendingCancels, j)
	default:
		lt.recorder.finishing = append(lt.recorder.finishing, j)
	}
}
