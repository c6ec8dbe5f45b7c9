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

// Loans applies a request of another cell's leader, which lists the desired state of the
// jobs that it lends to this cell. Only the leader responds.
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

// loanRequestMsg is another cell's request; its reply is nil unless this node leads.
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

// respond applies a request and returns the state of all loans of its home cell.
func (l *loans) respond(req *loan.Request, now time.Time) *loan.Response {
	lt := l.leaderTerm
	if reason := l.requestRefusal(req); reason != "" {
		l.logOnce("loan request rejected", "cell", req.Home, "reason", reason)
		return &loan.Response{Refused: reason}
	}
	response := &loan.Response{Host: lt.c.Cells.Cell, Term: lt.term.Number, Advert: l.advertise(now)}
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
			l.applyStep(req.Home, e, step)
		}
		response.States = append(response.States, state)
	}
	if raiseTo > l.minEpochs[req.Home].epoch {
		l.raiseMinEpoch(req.Home, raiseTo)
	}
	response.States = append(response.States, l.unlistedGuests(req.Home, listed)...)
	return response
}

// requestRefusal is the reason for which a request as a whole is rejected, or "".
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

// logOnce logs a warning unless the same one was logged in this term.
func (l *loans) logOnce(message string, attrs ...any) {
	key := message + fmt.Sprintf(" %q", attrs)
	if l.loggedOnce[key] || len(l.loggedOnce) >= maxLoanNames {
		return
	}
	l.loggedOnce[key] = true
	l.leaderTerm.c.Log.Warn(message, attrs...)
}

// hostView is the state of a home cell's job according to this cell's records.
func (l *loans) hostView(home string, e loan.Entry, advert *loan.Advert) loan.HostView {
	lt := l.leaderTerm
	view := loan.HostView{MinEpoch: l.minEpochs[home].epoch}
	if end, ok := l.ends.Get([]byte(loanName(home, e.Job))); ok {
		view.End = &end.End
	}
	if j := lt.jobs[e.Job]; j != nil && j.Guest != nil && j.Guest.Home == home {
		view.GuestEpoch = j.Guest.Epoch
		// An unfenced machine may run tasks of it.
		view.Started = j.Started() || lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision
		return view
	}
	if e.Desired == loan.DesiredRun && e.Offer != nil && view.End == nil {
		view.RefusalReason = l.offerRefusal(home, e.Offer, advert)
	}
	return view
}

// offerRefusal is the reason for which an offer is not accepted, or "". It deducts what an
// accepted one needs from the advertised capacity.
func (l *loans) offerRefusal(home string, o *loan.Offer, advert *loan.Advert) string {
	lt, s := l.leaderTerm, &o.Spec
	if l.changing[loanName(home, s.ID)] {
		return "" // it is being accepted
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
	case guests+len(l.changing) >= lt.c.Cells.MaxLoans:
		return "too many loans"
	case !advert.Accepting || advert.CPUs < s.CPUs || advert.GPUs < s.GPUs:
		return "nothing to spare"
	case o.Budget.CPUs < s.CPUs || o.Budget.GPUs < s.GPUs:
		return "the grant holds no task"
	case !records.FitsRecord(rec, lt.c.Settings.Site.State.ValueKB):
		return "larger than a record"
	}
	if !slices.ContainsFunc(advert.Types, func(t api.MachineType) bool { return taskFits(s, t) }) {
		return "a task fits no machine type"
	}
	advert.CPUs -= min(o.Budget.CPUs, float64(s.Tasks)*s.CPUs)
	return ""
}

// fillProgress fills in the counts of a guest's tasks.
func (l *loans) fillProgress(j *cluster.Job, s *loan.State) {
	job := j.State()
	s.Done, s.Running, s.Pending = job.Done, job.Running, len(j.ActiveAttempts) > 0
}

// mayBeOnMachine reports whether tasks of a job may be on machines, also of a job that this
// cell no longer knows.
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

// unlistedGuests are the states of a home cell's loans that its request does not name. The
// next request then contains their desired state.
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

// applyStep queues the change of this cell's records that a step requires.
func (l *loans) applyStep(home string, e loan.Entry, step loan.Step) {
	j := l.leaderTerm.jobs[e.Job]
	switch step {
	case loan.StepAccept:
		l.acceptGuest(home, e)
	case loan.StepClose:
		l.returnGuest(j)
	case loan.StepCancel:
		l.endGuest(j, loan.End{Epoch: e.Epoch, Phase: api.JobCancelled, Tasks: j.Spec.Tasks})
	case loan.StepForget:
		l.forgetEnd(home, e)
	}
}

// acceptGuest writes a guest's active record, unless this cell has a record of the job or the
// minimum epoch has reached the loan's.
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
				lt.addRecord(active, rec, revision)
			}
		},
	})
}

// minEpochOp raises a home cell's minimum epoch in a transaction, on condition that its record
// has not changed.
func (l *loans) minEpochOp(txn *kv.Txn, home string, epoch loan.Epoch) {
	current := l.minEpochs[home]
	key := loan.MinEpochKey(home)
	txn.Compares = append(txn.Compares, kv.Compare{Key: key, ModRevision: current.modRevision})
	txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: loan.MinEpochRecord{Epoch: max(epoch, current.epoch)}})
}

// minEpochRaised updates the minimum epoch after its record was written.
func (l *loans) minEpochRaised(home string, epoch loan.Epoch, revision uint64) {
	l.minEpochs[home] = minEpoch{epoch: max(epoch, l.minEpochs[home].epoch), modRevision: revision}
}

// minEpochChange stands in place of a job id in the change that raises a minimum epoch. It
// is no valid job id, so no job's change collides with it.
const minEpochChange = "floor"

// raiseMinEpoch closes all loans of a home cell up to an epoch that this cell has not accepted.
func (l *loans) raiseMinEpoch(home string, epoch loan.Epoch) {
	l.enqueueChange(&loanChange{
		home: home,
		job:  minEpochChange,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{l.leaderTerm.termCompare()}}
			l.minEpochOp(&txn, home, epoch)
			return txn, epoch > l.minEpochs[home].epoch
		},
		done: func(revision uint64) { l.minEpochRaised(home, epoch, revision) },
	})
}

// returnGuest removes a guest that has not started.
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
			l.minEpochOp(&txn, home, epoch)
			return txn, true
		},
		done: func(revision uint64) {
			l.minEpochRaised(home, epoch, revision)
			l.counts.Returned++
			l.removeGuest(j, kv.Entry{})
		},
	})
}

// guestDone records that all tasks of a guest are done.
func (l *loans) guestDone(j *cluster.Job) {
	l.endGuest(j, loan.End{Epoch: j.Guest.Epoch, Phase: api.JobDone, Tasks: j.Spec.Tasks, Ended: time.Now().UTC()})
}

// endGuest records how a guest ended, for its home cell.
func (l *loans) endGuest(j *cluster.Job, end loan.End) {
	lt, home, id := l.leaderTerm, j.Guest.Home, j.Spec.ID
	active, key := records.ActivePrefix+id, loan.EndKey(home, id)
	l.enqueueChange(&loanChange{
		home: home,
		job:  id,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.ModRevision}}}
			if end.Phase == api.JobCancelled {
				// All nodes of this cell must learn of it before they renew task leases.
				txn.Ops = append(txn.Ops, kv.Op{Put: records.CancelKey, Value: loan.GuestMarker + id})
			}
			txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: end}, kv.Op{Delete: active})
			j.HandoverPending = true
			return txn, !j.Ended
		},
		done: func(revision uint64) {
			raw, err := json.Marshal(end)
			if err != nil {
				panic(err) // it holds only plain values
			}
			e := kv.Entry{Key: key, Value: raw, ModRevision: revision}
			l.addRecord(e)
			l.removeGuest(j, e)
		},
	})
}

// removeGuest removes a guest whose active record was deleted. Its tasks on machines are
// stopped by the responses to their heartbeats.
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

// forgetEnd deletes the record of a guest's end, once its home cell has recorded it.
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
			l.minEpochOp(&txn, home, e.Epoch)
			return txn, ok
		},
		done: func(revision uint64) {
			l.minEpochRaised(home, e.Epoch, revision)
			l.ends, _, _ = l.ends.Delete(name)
		},
	})
}
