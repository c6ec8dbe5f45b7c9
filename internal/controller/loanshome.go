package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// neighbour is a cell that jobs may be lent to, as of its last response.
type neighbour struct {
	cell string
	// unreachable is set if the operators have declared the cell lost.
	unreachable      bool
	exchangeInFlight bool
	nextExchange     time.Time
	// lastResponse is when it last responded, and delay how long that took.
	lastResponse  time.Time
	roundTripTime time.Duration
	advert        loan.Advert
	// lastError is why the last exchange failed, or "", and failingSince since when
	// exchanges have failed.
	lastError    string
	failingSince time.Time
	// toForget are the loans in its response whose end is on record in this cell.
	toForget map[string]loan.Epoch
}

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// advertLifetime is how long a cell's advert of spare capacity is valid.
	advertLifetime = 4 * time.Second
	// maxOffers bounds the offers to a cell without a decision, and maxReclaims the loans
	// with a reclaim requested at a time.
	maxOffers   = 4
	maxReclaims = 4
	// transferTime is about how long the transactions on both sides take.
	transferTime = time.Second
	// maxOfferBytes bounds the job specs in a request, and offerBytes is about what one
	// takes, besides long names.
	maxOfferBytes = 64 << 10
	offerBytes    = 400
)

// applyLent updates a job whose active record says that it is lent.
func (l *loans) applyLent(j *cluster.Job, record *loan.Lent) {
	if j.Lent == nil || j.Lent.Epoch != record.Epoch {
		j.Remote = loan.State{}
		j.ReclaimRequested = false
	}
	j.Handover = false
	l.reserve(j, record.Budget)
	j.Lent = record
	j.Team.Remove(j)
	if n := l.neighbours[record.Host]; n != nil {
		n.nextExchange = time.Time{}
	}
}

// jobReclaimed updates a job whose active record says that it is no longer lent.
func (l *loans) jobReclaimed(j *cluster.Job) {
	l.leaderTerm.c.Log.Info("loan taken back", "job", j.Spec.ID, "cell", j.Lent.Host, "reason", j.Remote.Reason)
	if j.LastReclaimed == nil {
		j.LastReclaimed = map[string]time.Time{}
	}
	j.LastReclaimed[j.Lent.Host] = time.Now()
	j.Lent, j.Handover, j.ReclaimRequested = nil, false, false
	l.counts.Reclaimed++
	l.release(j)
	l.requeue(j)
}

// requeue adds a job that was lent to its team's queue again.
func (l *loans) requeue(j *cluster.Job) {
	j.WaitingSince = time.Now()
	j.Team.Remove(j)
	j.Team.Add(j)
	l.leaderTerm.dispatchUntil = j.WaitingSince.Add(dispatchWindow)
}

// reserve counts a loan's budget as used by its team.
func (l *loans) reserve(j *cluster.Job, budget loan.Budget) {
	l.release(j)
	j.ReservedBudget = budget
	j.Team.UsedCPUs += budget.CPUs
	j.Team.UsedGPUs += budget.GPUs
}

// release ends the reservation of a loan's budget.
func (l *loans) release(j *cluster.Job) {
	j.Team.UsedCPUs -= j.ReservedBudget.CPUs
	j.Team.UsedGPUs -= j.ReservedBudget.GPUs
	j.ReservedBudget = loan.Budget{}
}

// lendJob records that a job is lent. From now on none of its tasks starts in this cell.
func (l *loans) lendJob(j *cluster.Job, n *neighbour, budget loan.Budget) {
	lt := l.leaderTerm
	l.count++
	l.counts.Lent++
	spec := j.Spec
	spec.DependsOn = nil
	record := &loan.Lent{
		Host:   n.cell,
		Epoch:  loan.NewEpoch(lt.term.Number, l.count),
		Spec:   spec,
		Budget: budget,
		Since:  j.RunnableSince.UTC(),
	}
	j.Team.Remove(j)
	l.reserve(j, budget)
	lt.c.Log.Info("loan",
		"job", spec.ID,
		"class", spec.Class,
		"cell", n.cell,
		"epoch", record.Epoch,
		"cpus", budget.CPUs)
	active := records.ActiveRecord{Accepted: j.Accepted, Lent: record, LoanCount: j.LoanCount + 1}
	l.changeActive(j, active)
}

// changeActive replaces a job's active record.
func (l *loans) changeActive(j *cluster.Job, rec records.ActiveRecord) {
	lt := l.leaderTerm
	key := records.ActivePrefix + j.Spec.ID
	j.Handover = l.enqueueChange(&loanChange{
		home: lt.c.Cells.Cell,
		job:  j.Spec.ID,
		build: func() (kv.Txn, bool) {
			return kv.Txn{
				Compares: []kv.Compare{lt.termCompare(), {Key: key, ModRevision: j.ModRevision}},
				Ops:      []kv.Op{{Put: key, Value: rec}},
			}, !j.Ended
		},
		done: func(revision uint64) {
			j.Handover = false
			lt.applyLoan(j, rec, revision)
		},
	})
}

// exchangeWithNeighbours sends each neighbour the desired state of all loans to it.
func (l *loans) exchangeWithNeighbours(now time.Time) {
	lt := l.leaderTerm
	for _, n := range l.neighbours {
		if n.unreachable {
			l.reclaimFromUnreachable(n)
			continue
		}
		if n.exchangeInFlight || now.Before(n.nextExchange) || lt.c.Link == nil {
			continue
		}
		n.exchangeInFlight, n.nextExchange = true, now.Add(exchangeInterval)
		req := l.buildRequest(n)
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, exchangeTimeout)
			defer cancel()
			response, err := lt.c.Link.Loans(ctx, n.cell, req)
			lt.sendToOwner(loanResponseMsg{leaderTerm: lt, neighbour: n, sent: now, response: response, err: err})
		}()
	}
}

// reclaimFromUnreachable reclaims the loans to a cell that the operators have declared lost.
func (l *loans) reclaimFromUnreachable(n *neighbour) {
	for _, j := range l.leaderTerm.jobs {
		if j.Lent != nil && j.Lent.Host == n.cell && !j.Handover {
			l.applyAction(j, loan.State{
				Job:    j.Spec.ID,
				Epoch:  j.Lent.Epoch,
				Phase:  loan.PhaseClosed,
				Reason: "the cell is lost",
			})
		}
	}
}

// buildRequest lists the desired state of each loan to a neighbour.
func (l *loans) buildRequest(n *neighbour) *loan.Request {
	lt := l.leaderTerm
	req := &loan.Request{Home: lt.c.Cells.Cell, Term: lt.term.Number}
	bytesLeft := maxOfferBytes
	for id, j := range lt.jobs {
		if j.Lent == nil || j.Lent.Host != n.cell || j.Handover {
			continue
		}
		e := loan.Entry{Job: id, Epoch: j.Lent.Epoch}
		switch {
		case j.Lent.Cancel:
			e.Desired = loan.DesiredCancel
		case j.ReclaimRequested:
			e.Desired = loan.DesiredReclaim
		}
		if j.Remote.Phase == loan.PhaseUnknown && e.Desired == loan.DesiredRun && bytesLeft > 0 {
			e.Offer = &loan.Offer{Spec: j.Lent.Spec, Budget: j.Lent.Budget, Since: j.Lent.Since}
			bytesLeft -= offerBytes + len(j.Lent.Spec.Class) + len(j.Lent.Spec.Image) + 16*len(j.Lent.Spec.Types)
		}
		req.Entries = append(req.Entries, e)
	}
	for job, epoch := range n.toForget {
		req.Entries = append(req.Entries, loan.Entry{Job: job, Epoch: epoch, Desired: loan.DesiredForget})
	}
	return req
}

// loanResponseMsg is a neighbour's response to a request sent at sent.
type loanResponseMsg struct {
	leaderTerm *leaderTerm
	neighbour  *neighbour
	sent       time.Time
	response   *loan.Response
	err        error
}

func (m loanResponseMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	l, n, now := &m.leaderTerm.loans, m.neighbour, time.Now()
	n.exchangeInFlight = false
	if m.err == nil && m.response.Refused != "" {
		m.err = &RefusedError{Cell: n.cell, Reason: m.response.Refused}
	}
	if m.err != nil {
		if n.lastError == "" {
			n.failingSince = now
			c.Log.Info("loan exchange failing", "cell", n.cell, "err", m.err)
		}
		n.lastError = m.err.Error()
		return
	}
	if n.lastError != "" {
		c.Log.Info("loan exchange recovered", "cell", n.cell, "after", now.Sub(n.failingSince).Round(time.Second))
	}
	n.lastError, n.lastResponse, n.roundTripTime, n.advert = "", now, now.Sub(m.sent), m.response.Advert
	clear(n.toForget)
	for _, s := range m.response.States {
		l.applyState(n, s)
	}
}

// RefusedError is another cell's refusal of a whole request.
type RefusedError struct{ Cell, Reason string }

// Error names the cell and its reason.
func (e *RefusedError) Error() string { return "cell " + e.Cell + " refuses: " + e.Reason }

// applyState applies the state of a loan at its host.
func (l *loans) applyState(n *neighbour, s loan.State) {
	lt := l.leaderTerm
	j := lt.jobs[s.Job]
	if j != nil && j.Handover {
		return // the change that is being written decides
	}
	if j == nil || j.Lent == nil || j.Lent.Host != n.cell || j.Lent.Epoch != s.Epoch {
		if s.Phase != loan.PhaseClosed && s.Phase != loan.PhaseUnknown && loan.CanConfirmEnd(lt.term.Number, s.Epoch) {
			n.toForget[s.Job] = s.Epoch
			n.nextExchange = time.Time{}
		}
		return
	}
	if s.Phase == loan.PhaseStarted {
		j.ReclaimRequested = false // a job that has started stays at its host
	}
	if s.Phase >= j.Remote.Phase {
		j.Remote = s
	}
	l.applyAction(j, s)
}

// applyAction queues the change of records that follows from a loan's state at its host.
func (l *loans) applyAction(j *cluster.Job, s loan.State) {
	switch loan.HomeStep(j.Lent, s) {
	case loan.ActionReclaim:
		j.Remote.Reason = s.Reason
		l.changeActive(j, records.ActiveRecord{Spec: j.Lent.Spec, Accepted: j.Accepted, LoanCount: j.LoanCount})
	case loan.ActionDone:
		l.recordLentEnd(j, records.TerminalRecord{
			Phase: api.JobDone,
			Tasks: j.Spec.Tasks,
			Ended: time.Now().UTC(),
		})
	case loan.ActionCancel:
		l.recordLentEnd(j, records.TerminalRecord{Phase: api.JobCancelled, Tasks: j.Spec.Tasks})
	}
}

// recordLentEnd writes the terminal record of a lent job.
func (l *loans) recordLentEnd(j *cluster.Job, terminal records.TerminalRecord) {
	lt, id := l.leaderTerm, j.Spec.ID
	active := records.ActivePrefix + id
	j.Handover = l.enqueueChange(&loanChange{
		home: lt.c.Cells.Cell,
		job:  id,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.ModRevision}}}
			if terminal.Phase == api.JobCancelled {
				// As with a user's own cancellation, a watch sees why the record is deleted.
				txn.Ops = append(txn.Ops, kv.Op{Put: records.CancelKey, Value: id})
			}
			txn.Ops = append(txn.Ops, kv.Op{Put: records.TerminalPrefix + id, Value: terminal}, kv.Op{Delete: active})
			// From now on others may read its terminal record before this node learns that
			// it was written.
			j.Ending = true
			return txn, !j.Ended
		},
		done: func(uint64) { l.lentEndRecorded(j, terminal.Phase) },
	})
}

// lentEndRecorded updates a lent job whose terminal record was written.
func (l *loans) lentEndRecorded(j *cluster.Job, phase string) {
	switch {
	case j.Ended:
	case phase == api.JobDone:
		j.DoneCount = j.Spec.Tasks
		l.counts.Done++
		l.leaderTerm.jobFinished(j)
	default:
		l.counts.Cancelled++
		l.leaderTerm.cancelJob(j)
	}
	if n := l.neighbours[j.Lent.Host]; n != nil {
		// The next response names the loan once more, and the request after it says to forget it.
		n.nextExchange = time.Time{}
	}
}
