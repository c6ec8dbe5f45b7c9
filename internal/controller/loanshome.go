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

// neighbour is the state of the exchange with a cell that jobs may be lent to.
type neighbour struct {
	cell string
	// unreachable is set if the operators have declared the cell lost in the settings.
	unreachable      bool
	exchangeInFlight bool
	nextExchange     time.Time
	// lastResponse is when the cell last responded.
	lastResponse time.Time
	// roundTripTime is the time from the last successful request to its response.
	roundTripTime time.Duration
	// advert is the spare capacity in the last response.
	advert loan.Advert
	// lastError is why the last exchange failed, or empty if it succeeded.
	lastError string
	// failingSince is when exchanges began to fail.
	failingSince time.Time
	// toForget are the epochs, by job id, of loans in the last response that this cell no
	// longer has.
	toForget map[string]loan.Epoch
}

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// advertLifetime is how long an advert is used after its response arrived.
	advertLifetime = 4 * time.Second
	// maxOffers bounds the loans to a neighbour that it has not accepted yet.
	maxOffers = 4
	// maxReclaims bounds the loans whose reclaim is requested at the same time.
	maxReclaims = 4
	// transferTime is the approximate duration of the transactions of both cells.
	transferTime = time.Second
	// maxOfferBytes bounds the approximate size of the job specs in a request.
	maxOfferBytes = 64 << 10
	// offerBytes is the approximate size of a job spec without its class, image and types.
	offerBytes = 400
)

// applyLent updates a job whose active record marks it as lent.
func (l *loans) applyLent(j *cluster.Job, record *loan.Lent) {
	if j.Lent == nil || j.Lent.Epoch != record.Epoch {
		j.RemoteState = loan.State{}
		j.ReclaimRequested = false
	}
	j.HandoverPending = false
	l.reserve(j, record.Budget)
	j.Lent = record
	j.Team.Remove(j)
	if n := l.neighbours[record.Host]; n != nil {
		n.nextExchange = time.Time{}
	}
}

// jobReclaimed updates a job whose active record no longer marks it as lent.
func (l *loans) jobReclaimed(j *cluster.Job) {
	l.leaderTerm.c.Log.Info("loan taken back", "job", j.Spec.ID, "cell", j.Lent.Host, "reason", j.RemoteState.Reason)
	if j.LastReclaimed == nil {
		j.LastReclaimed = map[string]time.Time{}
	}
	j.LastReclaimed[j.Lent.Host] = time.Now()
	j.Lent, j.HandoverPending, j.ReclaimRequested = nil, false, false
	l.counts.Reclaimed++
	l.release(j)
	l.requeue(j)
}

// requeue adds a reclaimed job to the queue of its team again.
func (l *loans) requeue(j *cluster.Job) {
	j.WaitingSince = time.Now()
	j.Team.Remove(j)
	j.Team.Add(j)
	l.leaderTerm.dispatchUntil = j.WaitingSince.Add(dispatchWindow)
}

// reserve counts the budget of a job's loan as used by the job's team.
func (l *loans) reserve(j *cluster.Job, budget loan.Budget) {
	l.release(j)
	j.ReservedBudget = budget
	j.Team.UsedCPUs += budget.CPUs
	j.Team.UsedGPUs += budget.GPUs
}

// release undoes reserve.
func (l *loans) release(j *cluster.Job) {
	j.Team.UsedCPUs -= j.ReservedBudget.CPUs
	j.Team.UsedGPUs -= j.ReservedBudget.GPUs
	j.ReservedBudget = loan.Budget{}
}

// lendJob queues the change that marks a job as lent. From this call on, no task of the job
// starts in this cell.
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
	active := records.ActiveRecord{Accepted: j.AcceptedAt, Lent: record, LoanCount: j.LoanCount + 1}
	l.changeActive(j, active)
}

// changeActive queues the replacement of a job's active record.
func (l *loans) changeActive(j *cluster.Job, rec records.ActiveRecord) {
	lt := l.leaderTerm
	key := records.ActivePrefix + j.Spec.ID
	j.HandoverPending = l.enqueueChange(&loanChange{
		home: lt.c.Cells.Cell,
		job:  j.Spec.ID,
		build: func() (kv.Txn, bool) {
			return kv.Txn{
				Compares: []kv.Compare{lt.termCompare(), {Key: key, ModRevision: j.ModRevision}},
				Ops:      []kv.Op{{Put: key, Value: rec}},
			}, !j.Ended
		},
		done: func(revision uint64) {
			j.HandoverPending = false
			lt.applyLoan(j, rec, revision)
		},
	})
}

// exchangeWithNeighbours sends each neighbour whose exchange is due the desired states of all
// loans to it.
func (l *loans) exchangeWithNeighbours(now time.Time) {
	lt := l.leaderTerm
	for _, n := range l.neighbours {
		if n.unreachable {
			l.reclaimFromUnreachable(n)
			continue
		}
		if n.exchangeInFlight || now.Before(n.nextExchange) || lt.c.CellClient == nil {
			continue
		}
		n.exchangeInFlight, n.nextExchange = true, now.Add(exchangeInterval)
		req := l.buildRequest(n)
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, exchangeTimeout)
			defer cancel()
			response, err := lt.c.CellClient.Loans(ctx, n.cell, req)
			lt.sendToOwner(loanResponseMsg{leaderTerm: lt, neighbour: n, sent: now, response: response, err: err})
		}()
	}
}

// reclaimFromUnreachable reclaims all loans to a neighbour that the operators have declared
// lost, without its confirmation.
func (l *loans) reclaimFromUnreachable(n *neighbour) {
	for _, j := range l.leaderTerm.jobs {
		if j.Lent != nil && j.Lent.Host == n.cell && !j.HandoverPending {
			l.applyAction(j, loan.State{
				Job:    j.Spec.ID,
				Epoch:  j.Lent.Epoch,
				Phase:  loan.PhaseClosed,
				Reason: "the cell is configured as lost",
			})
		}
	}
}

// isStateKnown reports whether this cell knows whether tasks of a lent job run: its host has answered within
// stateLag, and knows it itself.
func (l *loans) isStateKnown(j *cluster.Job, now time.Time) bool {
	host := l.neighbours[j.Lent.Host]
	return host != nil && now.Sub(host.lastResponse) <= stateLag && !j.RemoteState.RunningUnknown
}

// buildRequest returns a request with the desired state of each loan to a neighbour.
func (l *loans) buildRequest(n *neighbour) *loan.Request {
	lt := l.leaderTerm
	req := &loan.Request{Home: lt.c.Cells.Cell, Term: lt.term.Number}
	bytesLeft := maxOfferBytes
	for id, j := range lt.jobs {
		if j.Lent == nil || j.Lent.Host != n.cell || j.HandoverPending {
			continue
		}
		e := loan.Entry{Job: id, Epoch: j.Lent.Epoch}
		switch {
		case j.Lent.Cancel:
			e.Desired = loan.DesiredCancel
		case j.ReclaimRequested:
			e.Desired = loan.DesiredReclaim
		}
		if j.RemoteState.Phase == loan.PhaseUnknown && e.Desired == loan.DesiredRun && bytesLeft > 0 {
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

// loanResponseMsg carries a neighbour's response to a request, or the error.
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

// RefusedError means that another cell rejected a request as a whole.
type RefusedError struct{ Cell, Reason string }

// Error returns a message with the cell and its reason.
func (e *RefusedError) Error() string {
	return "cell " + e.Cell + " rejected the loan request: " + e.Reason
}

// applyState updates a lent job from the state of the loan at its host. If this cell does not
// have the loan, its removal is requested of the host.
func (l *loans) applyState(n *neighbour, s loan.State) {
	lt := l.leaderTerm
	j := lt.jobs[s.Job]
	if j != nil && j.HandoverPending {
		return // the outcome of the pending change decides
	}
	if j == nil || j.Lent == nil || j.Lent.Host != n.cell || j.Lent.Epoch != s.Epoch {
		if s.Phase != loan.PhaseClosed && s.Phase != loan.PhaseUnknown && loan.CanConfirmEnd(lt.term.Number, s.Epoch) {
			n.toForget[s.Job] = s.Epoch
			n.nextExchange = time.Time{}
		}
		return
	}
	if s.Phase == loan.PhaseStarted {
		j.ReclaimRequested = false // the host does not return a job that has started
	}
	if s.Phase >= j.RemoteState.Phase {
		j.RemoteState = s
	}
	l.applyAction(j, s)
}

// applyAction queues the change of the job's record that the state of the loan requires.
func (l *loans) applyAction(j *cluster.Job, s loan.State) {
	switch loan.HomeStep(j.Lent, s) {
	case loan.ActionReclaim:
		j.RemoteState.Reason = s.Reason
		l.changeActive(j, records.ActiveRecord{Spec: j.Lent.Spec, Accepted: j.AcceptedAt, LoanCount: j.LoanCount})
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

// recordLentEnd queues the replacement of a lent job's active record by its terminal record.
func (l *loans) recordLentEnd(j *cluster.Job, terminal records.TerminalRecord) {
	lt, id := l.leaderTerm, j.Spec.ID
	active := records.ActivePrefix + id
	j.HandoverPending = l.enqueueChange(&loanChange{
		home: lt.c.Cells.Cell,
		job:  id,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.ModRevision}}}
			if terminal.Phase == api.JobCancelled {
				// As for any cancellation, the operation on the cancel key comes first, so
				// that a watch shows the reason before it shows that the active record
				// was deleted.
				txn.Ops = append(txn.Ops, kv.Op{Put: records.CancelKey, Value: id})
			}
			txn.Ops = append(txn.Ops, kv.Op{Put: records.TerminalPrefix + id, Value: terminal}, kv.Op{Delete: active})
			// From here on, other nodes may read the terminal record before this node
			// receives the result of the transaction.
			j.EndMayBeRecorded = true
			return txn, !j.Ended
		},
		done: func(uint64) { l.lentEndRecorded(j, terminal.Phase) },
	})
}

// lentEndRecorded updates a lent job after its terminal record was written.
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
		// The next response still lists the loan. The request after that one requests
		// the removal of the host's records of it.
		n.nextExchange = time.Time{}
	}
}
