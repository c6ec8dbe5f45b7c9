package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// Loans applies a request of another cell's leader with the desired states of the jobs that it
// has lent to this cell. It returns api.ErrUnavailable unless this node is the leader.
func (c *Controller) Loans(ctx context.Context, req *loan.Request) (*loan.Response, error) {
	m := loanRequestMsg{req: req, reply: make(chan *loan.Response, 1)}
	if err := c.send(ctx, m); err != nil {
		return nil, err
	}
	response, err := await(ctx, c, m.reply)
	if err == nil && response == nil {
		err = api.ErrUnavailable
	}
	return response, err
}

// loanRequestMsg carries another cell's request. The reply is nil unless this node is a leader
// that has loaded its records and holds its lease.
type loanRequestMsg struct {
	req   *loan.Request
	reply chan *loan.Response
}

func (m loanRequestMsg) apply(c *Controller) {
	if c.leaderTerm == nil || !c.leaderTerm.loaded || !c.holdsLease() {
		m.reply <- nil
		return
	}
	m.reply <- c.leaderTerm.loans.respond(m.req, time.Now())
}

// respond applies a request and returns the states of all loans of its home cell.
func (l *loans) respond(req *loan.Request, now time.Time) *loan.Response {
	lt := l.leaderTerm
	if reason := l.requestRefusal(req); reason != "" {
		l.logOnce("loan request rejected", "cell", req.Home, "reason", reason)
		return &loan.Response{Refused: reason}
	}
	response := &loan.Response{Host: lt.c.Cells.Cell, Term: lt.term.Number, Advert: l.buildAdvert(now)}
	listed := map[string]bool{}
	raiseTo := loan.Epoch(0)
	for _, e := range req.Entries {
		listed[e.Job] = true
		view := l.hostView(req.Home, e, &response.Advert)
		phase, step := loan.HostStep(e, view)
		state := loan.State{Job: e.Job, Epoch: e.Epoch, Phase: phase, Reason: view.RefusalReason}
		if j := lt.jobs[e.Job]; j != nil && j.Guest != nil && j.Guest.Epoch == e.Epoch {
			l.fillProgress(j, &state)
		} else {
			state.Pending = l.mayBeOnMachine(e.Job)
		}
		if step == loan.StepRaiseMinEpoch {
			raiseTo = max(raiseTo, e.Epoch)
			l.logOnce("loan not accepted", "job", e.Job, "cell", req.Home, "reason", view.RefusalReason)
		} else {
			l.applyStep(req.Home, e, step, now)
		}
		response.States = append(response.States, state)
	}
	if raiseTo > l.minEpochs[req.Home].epoch {
		l.raiseMinEpoch(req.Home, raiseTo)
	}
	response.States = append(response.States, l.unlistedGuests(req.Home, listed)...)
	return response
}

// requestRefusal returns the reason why a request as a whole is rejected, or "".
func (l *loans) requestRefusal(req *loan.Request) string {
	cells := l.leaderTerm.c.Cells
	if cells == nil {
		return "no cells are configured here"
	}
	if cells.Neighbour(req.Home) == nil {
		return fmt.Sprintf("cell %q is not configured here", req.Home)
	}
	for _, e := range req.Entries {
		switch {
		case !api.ValidJobID(e.Job):
			return fmt.Sprintf("%q is no job id", e.Job)
		case e.Epoch == 0 || e.Desired < loan.DesiredRun || e.Desired > loan.DesiredForget:
			return fmt.Sprintf("the loan of %s is malformed", e.Job)
		case e.Offer != nil && !validOffer(e.Job, &e.Offer.Spec):
			return fmt.Sprintf("the description of %s is malformed", e.Job)
		}
	}
	return ""
}

// validOffer reports whether an offered job's spec is well-formed.
func validOffer(id string, s *api.JobSpec) bool {
	return s.ID == id && s.Tasks >= 1 && s.Tasks <= api.MaxTasks && s.CPUs >= 0
}

// logOnce logs a warning unless the same one was logged in this term, or maxRememberedRefusals
// others were.
func (l *loans) logOnce(message string, attrs ...any) {
	key := message + fmt.Sprintf(" %q", attrs)
	if l.loggedOnce[key] || len(l.loggedOnce) >= maxRememberedRefusals {
		return
	}
	l.loggedOnce[key] = true
	l.leaderTerm.c.Log.Warn(message, attrs...)
}

// hostView returns what this cell has on record about the job of an entry. It may deduct an
// offer from the advert, see offerRefusal.
func (l *loans) hostView(home string, e loan.Entry, advert *loan.Advert) loan.HostView {
	lt := l.leaderTerm
	view := loan.HostView{MinEpoch: l.minEpochs[home].epoch}
	if end, ok := l.ends.Get([]byte(loanName(home, e.Job))); ok {
		view.End = &end.End
	}
	if j := lt.jobs[e.Job]; j != nil && j.Guest != nil && j.Guest.Home == home {
		view.GuestEpoch = j.Guest.Epoch
		// An unfenced machine may run tasks of a guest that was accepted before this term.
		view.Started = j.Started() || lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision
		return view
	}
	if e.Desired == loan.DesiredRun && e.Offer != nil && view.End == nil {
		view.RefusalReason = l.offerRefusal(home, e.Offer, advert)
	}
	return view
}

// offerRefusal returns the reason why an offer is not accepted, or "". It deducts the CPUs that
// an accepted offer needs from the advert.
func (l *loans) offerRefusal(home string, o *loan.Offer, advert *loan.Advert) string {
	lt, s := l.leaderTerm, &o.Spec
	if l.pendingChanges[loanName(home, s.ID)] {
		return "" // its acceptance is being written
	}
	guests := 0
	for _, j := range lt.jobs {
		if j.Guest != nil && j.Guest.Home == home {
			guests++
		}
	}
	rec := records.ActiveRecord{Guest: &loan.Guest{Home: home, Spec: *s}}
	switch {
	case !l.enabled():
		return "a controller here does not know of loans"
	case lt.jobs[s.ID] != nil || l.endedIDs[s.ID]:
		return "a job of that name is here"
	case guests+len(l.pendingChanges) >= lt.c.Cells.MaxLoans:
		return "too many loans"
	case !advert.Accepting || advert.CPUs < s.CPUs || advert.GPUs < s.GPUs:
		return "nothing to spare"
	case o.Budget.CPUs < s.CPUs || o.Budget.GPUs < s.GPUs:
		return "the grant holds no task"
	case !records.RecordFits(rec, lt.c.Settings.Site.State.ValueKB):
		return "larger than a record"
	}
	if !slices.ContainsFunc(advert.Types, func(t api.MachineType) bool { return taskFits(s, t) }) {
		return "a task fits no machine type"
	}
	advert.CPUs -= min(o.Budget.CPUs, float64(s.Tasks)*s.CPUs)
	return ""
}

// fillProgress sets the task counts in the state of a guest.
func (l *loans) fillProgress(j *cluster.Job, s *loan.State) {
	job, known := l.leaderTerm.jobState(j, time.Now())
	s.Done, s.Running, s.Pending = job.Done, job.Running, len(j.ActiveAttempts) > 0
	s.RunningUnknown = !known
}

// mayBeOnMachine reports whether tasks of a job may be on machines, also for a job that is no
// longer in the leader's state. While a machine is unfenced, this is true for every job.
func (l *loans) mayBeOnMachine(id string) bool {
	lt := l.leaderTerm
	if lt.unfenced > 0 {
		return true
	}
	prefix := id + "/"
	for _, m := range lt.machines {
		for key, a := range m.Attempts {
			if !a.Exited && strings.HasPrefix(key.Ref, prefix) {
				return true
			}
		}
	}
	return false
}

// unlistedGuests returns the states of a home cell's loans that its request does not list, so
// that the next request includes their desired states.
func (l *loans) unlistedGuests(home string, listed map[string]bool) (states []loan.State) {
	for id, j := range l.leaderTerm.jobs {
		if j.Guest == nil || j.Guest.Home != home || listed[id] {
			continue
		}
		s := loan.State{Job: id, Epoch: j.Guest.Epoch, Phase: loan.PhaseAccepted}
		if j.Started() {
			s.Phase = loan.PhaseStarted
		}
		l.fillProgress(j, &s)
		states = append(states, s)
	}
	l.ends.Root().WalkPrefix([]byte(home+"/"), func(_ []byte, end loanEnd) bool {
		if !listed[end.job] {
			s := loan.State{
				Job:     end.job,
				Epoch:   end.Epoch,
				Phase:   loan.PhaseCancelled,
				Ended:   end.Ended,
				Pending: l.mayBeOnMachine(end.job),
			}
			if end.Phase == api.JobDone {
				s.Phase = loan.PhaseDone
			}
			states = append(states, s)
		}
		return false
	})
	return states
}

// applyStep queues the change of this cell's records for a step.
func (l *loans) applyStep(home string, e loan.Entry, step loan.Step, now time.Time) {
	j := l.leaderTerm.jobs[e.Job]
	switch step {
	case loan.StepAccept:
		l.acceptGuest(home, e)
	case loan.StepClose:
		l.returnGuest(j)
	case loan.StepCancel:
		if !l.mayCancelGuest(j, now) {
			return // home repeats the request
		}
		l.endGuest(j, loan.End{Epoch: e.Epoch, Phase: api.JobCancelled, Tasks: j.Spec.Tasks})
	case loan.StepForget:
		l.forgetEnd(home, e)
	}
}

// mayCancelGuest reports whether a guest may be cancelled at its home cell's request. One that is finished
// ends as done. If this leader cannot tell, the heartbeats that would show it may be on their way for
// completionWait after the first request.
func (l *loans) mayCancelGuest(j *cluster.Job, now time.Time) bool {
	if j.DoneCount == j.Spec.Tasks {
		return false
	}
	if j.CancelRequestedAt.IsZero() {
		j.CancelRequestedAt = now
	}
	return l.leaderTerm.isUnfinished(j, now) || now.Sub(j.CancelRequestedAt) >= completionWait
}

// acceptGuest queues the write of a guest's active record. It is written unless this cell has a
// record of a job with this id or the minimum epoch has reached the epoch of the loan.
func (l *loans) acceptGuest(home string, e loan.Entry) {
	lt := l.leaderTerm
	active := records.ActivePrefix + e.Job
	rec := records.ActiveRecord{
		Accepted: time.Now().UTC(),
		Guest: &loan.Guest{
			Home:   home,
			Epoch:  e.Epoch,
			Spec:   e.Offer.Spec,
			Budget: e.Offer.Budget,
			Since:  e.Offer.Since,
		},
	}
	l.enqueueChange(&loanChange{
		home: home,
		job:  e.Job,
		build: func() (kv.Txn, bool) {
			return kv.Txn{
				Compares: []kv.Compare{
					lt.termCompare(),
					{Key: loan.MinEpochKey(home), ModRevision: l.minEpochs[home].modRevision},
					{Key: active},
					{Key: records.TerminalPrefix + e.Job},
					{Key: loan.EndKey(home, e.Job)},
				},
				Ops: []kv.Op{{Put: active, Value: rec}},
			}, e.Epoch > l.minEpochs[home].epoch && lt.jobs[e.Job] == nil
		},
		done: func(revision uint64) {
			l.counts.Accepted++
			lt.c.Log.Info("guest accepted",
				"job", e.Job,
				"cell", home,
				"epoch", e.Epoch,
				"cpus", e.Offer.Budget.CPUs)
			if lt.jobs[e.Job] == nil {
				lt.addActiveJob(active, rec, revision)
			}
		},
	})
}

// addMinEpochUpdate adds to a transaction that it raises a home cell's minimum epoch, on
// condition that the record of it has not changed.
func (l *loans) addMinEpochUpdate(txn *kv.Txn, home string, epoch loan.Epoch) {
	current := l.minEpochs[home]
	key := loan.MinEpochKey(home)
	txn.Compares = append(txn.Compares, kv.Compare{Key: key, ModRevision: current.modRevision})
	txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: loan.MinEpochRecord{Epoch: max(epoch, current.epoch)}})
}

// minEpochRaised updates the minimum epoch in the state after its record was written.
func (l *loans) minEpochRaised(home string, epoch loan.Epoch, revision uint64) {
	l.minEpochs[home] = minEpoch{epoch: max(epoch, l.minEpochs[home].epoch), modRevision: revision}
}

// minEpochJobID takes the place of the job id in a change that only raises a minimum epoch. It
// is not a valid job id, so it cannot collide with the change of a job.
const minEpochJobID = "floor"

// raiseMinEpoch queues a raise of a home cell's minimum epoch. This closes all loans up to that
// epoch that this cell has not accepted.
func (l *loans) raiseMinEpoch(home string, epoch loan.Epoch) {
	l.enqueueChange(&loanChange{
		home: home,
		job:  minEpochJobID,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{l.leaderTerm.termCompare()}}
			l.addMinEpochUpdate(&txn, home, epoch)
			return txn, epoch > l.minEpochs[home].epoch
		},
		done: func(revision uint64) { l.minEpochRaised(home, epoch, revision) },
	})
}

// returnGuest queues the removal of a guest. The removal is dropped if a task of the guest has started.
func (l *loans) returnGuest(j *cluster.Job) {
	lt, home, epoch := l.leaderTerm, j.Guest.Home, j.Guest.Epoch
	active := records.ActivePrefix + j.Spec.ID
	l.enqueueChange(&loanChange{
		home: home,
		job:  j.Spec.ID,
		build: func() (kv.Txn, bool) {
			if j.Ended || j.Started() {
				return kv.Txn{}, false
			}
			j.HandoverPending = true
			txn := kv.Txn{
				Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.ModRevision}},
				Ops:      []kv.Op{{Delete: active}},
			}
			l.addMinEpochUpdate(&txn, home, epoch)
			return txn, true
		},
		done: func(revision uint64) {
			l.minEpochRaised(home, epoch, revision)
			l.counts.Returned++
			l.removeGuest(j, kv.Entry{})
		},
	})
}

// guestDone queues the record that all tasks of a guest are done.
func (l *loans) guestDone(j *cluster.Job) {
	l.endGuest(j, loan.End{Epoch: j.Guest.Epoch, Phase: api.JobDone, Tasks: j.Spec.Tasks, Ended: time.Now().UTC()})
}

// endGuest queues the replacement of a guest's active record by the record of its end, which
// is kept for its home cell.
func (l *loans) endGuest(j *cluster.Job, end loan.End) {
	lt, home, id := l.leaderTerm, j.Guest.Home, j.Spec.ID
	active, key := records.ActivePrefix+id, loan.EndKey(home, id)
	l.enqueueChange(&loanChange{
		home: home,
		job:  id,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.ModRevision}}}
			if end.Phase == api.JobCancelled {
				// All nodes of this cell must see the cancellation before they renew
				// task leases again.
				txn.Ops = append(txn.Ops, kv.Op{Put: records.CancelKey, Value: loan.GuestMarker + id})
			}
			txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: end}, kv.Op{Delete: active})
			j.HandoverPending = true
			return txn, !j.Ended
		},
		done: func(revision uint64) {
			raw, err := json.Marshal(end)
			if err != nil {
				panic(err) // cannot happen: the fields of loan.End always encode
			}
			e := kv.Entry{Key: key, Value: raw, ModRevision: revision}
			l.addRecord(e)
			l.removeGuest(j, e)
		},
	})
}

// removeGuest removes a guest whose active record was deleted from the state. The responses to
// the heartbeats of its machines then stop its tasks.
func (l *loans) removeGuest(j *cluster.Job, end kv.Entry) {
	if j.Ended {
		return
	}
	lt := l.leaderTerm
	lt.removeJob(j)
	if end.ModRevision != 0 {
		var recorded loan.End
		if err := json.Unmarshal(end.Value, &recorded); err == nil && recorded.Phase == api.JobCancelled {
			lt.c.recordCancellation(loan.GuestMarker + j.Spec.ID)
		}
	}
	for _, a := range j.ActiveAttempts {
		lt.terminateIfOutcomeUnknown(a)
	}
	for first := range j.CompletionChunks {
		lt.recordWriter.DeleteKey(records.CompletionKey(j.Spec.ID, first))
	}
	lt.c.Log.Info("guest ended",
		"job", j.Spec.ID,
		"cell", j.Guest.Home,
		"done", j.DoneCount,
		"tasks", j.Spec.Tasks)
}

// forgetEnd queues the deletion of the record of a guest's end, which its home cell has
// recorded, and raises the minimum epoch to the epoch of the loan.
func (l *loans) forgetEnd(home string, e loan.Entry) {
	name := []byte(loanName(home, e.Job))
	key := loan.EndKey(home, e.Job)
	l.enqueueChange(&loanChange{
		home: home,
		job:  e.Job,
		build: func() (kv.Txn, bool) {
			end, ok := l.ends.Get(name)
			txn := kv.Txn{
				Compares: []kv.Compare{l.leaderTerm.termCompare(), {Key: key, ModRevision: end.modRevision}},
				Ops:      []kv.Op{{Delete: key}},
			}
			l.addMinEpochUpdate(&txn, home, e.Epoch)
			return txn, ok
		},
		done: func(revision uint64) {
			l.minEpochRaised(home, e.Epoch, revision)
			l.ends, _, _ = l.ends.Delete(name)
		},
	})
}
