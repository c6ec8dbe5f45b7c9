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
		w.leadership.pipeline.pendingCancels = slices.DeleteFunc(w.leadership.pipeline.pendingCancels, func(o *job) bool { return o == j })
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
	go w.leadership.settle(w.unsettled[0])
	w.unsettled = w.unsettled[1:]
}

// settle reads how a job ended, within the leader's own request budget.
func (r *leadership) settle(id string) {
	records := store.Records{Store: r.c.Store}
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
		st, found, err := records.Lookup(ctx, id)
		cancel()
		if err == nil {
			r.post(settledMsg{r, id, st, found})
			return
		}
		pause(r.ctx, 300*time.Millisecond)
	}
}

type settledMsg struct {
	leadership *leadership
	id         string
	st         api.JobState
	found      bool
}

func (m settledMsg) apply(c *Controller) {
	r := m.leadership
	if c.leadership != r {
		return
	}
	r.recorder.settling = false
	defer r.recorder.settleNext()
	j := r.jobs[m.id]
	if j == nil || j.over {
		return
	}
	switch {
	case m.found && m.st.Phase == api.JobDone:
		r.finished(j)
	case m.found && m.st.Phase == api.JobWithdrawn && !m.st.Derived:
		r.withdraw(j)
	case j.cancelPending:
		r.pipeline.pendingCancels = append(r.pipeline.pendingCancels, j)
	default:
		r.recorder.finishing = append(r.recorder.finishing, j)
	}
}
