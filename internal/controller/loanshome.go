package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// neighbour is a cell that jobs may be lent to, as its last answer has it.
type neighbour struct {
	cell string
	// unreachable says that the operators have given the cell up.
	unreachable  bool
	busy         bool
	nextExchange time.Time
	// lastResponse is when it last answered, and delay how long that took.
	lastResponse time.Time
	delay        time.Duration
	advert       loan.Advert
	// lastError is why it did not, and refused why it would not; failing is since when.
	lastError    string
	failingSince time.Time
	// forget are loans that it names and that are settled here.
	forget map[string]loan.Epoch
}

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// advertLifetime is how long a cell's word on what it has to spare is relied on.
	advertLifetime = 4 * time.Second
	// maxOffers bounds the offers to a cell that are not answered, and maxReclaims the
	// loans that are wanted back at a time.
	maxOffers   = 4
	maxReclaims = 4
	// transferTime is what the transactions on both sides take.
	transferTime = time.Second
)

// jobLent takes in that a job is lent, by its record.
func (l *loans) jobLent(j *job, record *loan.Lent) {
	if j.lent == nil || j.lent.Epoch != record.Epoch {
		j.remote = loan.State{}
		j.reclaimRequested = false
	}
	j.handover = false
	l.reserve(j, record.Budget)
	j.lent = record
	j.team.Remove(j)
	if n := l.neighbours[record.Host]; n != nil {
		n.nextExchange = time.Time{}
	}
}

// jobReclaimed takes in that a job is this cell's own again.
func (l *loans) jobReclaimed(j *job) {
	l.leaderTerm.c.Log.Info("loan taken back", "job", j.spec.ID, "from", j.lent.Host, "reason", j.remote.Reason)
	if j.lastReclaimed == nil {
		j.lastReclaimed = map[string]time.Time{}
	}
	j.lastReclaimed[j.lent.Host] = time.Now()
	j.lent, j.handover, j.reclaimRequested = nil, false, false
	l.counts.Reclaimed++
	l.release(j)
	l.requeue(j)
}

// requeue puts a job that this cell owns back into its team's queue.
func (l *loans) requeue(j *job) {
	j.waitingSince = time.Now()
	j.team.Remove(j)
	j.team.Add(j)
	l.leaderTerm.dispatchUntil = j.waitingSince.Add(dispatchFor)
}

// reserve counts a loan's grant as used by its team, and release no more.
func (l *loans) reserve(j *job, budget loan.Budget) {
	l.release(j)
	j.reservedBudget = budget
	j.team.UsedCPUs += budget.CPUs
	j.team.UsedGPUs += budget.GPUs
}

func (l *loans) release(j *job) {
	j.team.UsedCPUs -= j.reservedBudget.CPUs
	j.team.UsedGPUs -= j.reservedBudget.GPUs
	j.reservedBudget = loan.Budget{}
}

// lendJob puts on record that a job is lent. From now on nothing of it starts here.
func (l *loans) lendJob(j *job, n *neighbour, budget loan.Budget) {
	lt := l.leaderTerm
	l.count++
	l.counts.Lent++
	spec := j.spec
	spec.DependsOn = nil
	record := &loan.Lent{Host: n.cell, Epoch: loan.NewEpoch(lt.term.Number, l.count), Spec: spec, Budget: budget, Since: j.runnableSince.UTC()}
	j.team.Remove(j)
	l.reserve(j, budget)
	lt.c.Log.Info("loan", "job", spec.ID, "class", spec.Class, "to", n.cell, "epoch", record.Epoch, "cpus", budget.CPUs)
	active := records.ActiveRecord{Accepted: j.accepted, Lent: record, LoanCount: j.loanCount + 1}
	l.changeActive(j, active)
}

// changeActive puts another record in the place of a job's active one.
func (l *loans) changeActive(j *job, rec records.ActiveRecord) {
	key := records.ActivePrefix + j.spec.ID
	j.handover = l.enqueueChange(&loanChange{home: l.leaderTerm.c.Cells.Cell, job: j.spec.ID,
		build: func() (kv.Txn, bool) {
			return kv.Txn{Compares: []kv.Compare{l.leaderTerm.termCompare(), {Key: key, ModRevision: j.modRevision}},
				Ops: []kv.Op{{Put: key, Value: rec}}}, !j.ended
		},
		done: func(revision uint64) {
			j.handover = false
			l.leaderTerm.applyLoan(j, rec, revision)
		}})
}

// exchangeWithNeighbours tells each neighbour of all loans to it.
func (l *loans) exchangeWithNeighbours(now time.Time) {
	lt := l.leaderTerm
	for _, n := range l.neighbours {
		if n.unreachable {
			l.reclaimFromUnreachable(n)
			continue
		}
		if n.busy || now.Before(n.nextExchange) || lt.c.Link == nil {
			continue
		}
		n.busy, n.nextExchange = true, now.Add(exchangeInterval)
		req := l.buildRequest(n)
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, exchangeTimeout)
			defer cancel()
			response, err := lt.c.Link.Loans(ctx, n.cell, req)
			lt.sendToOwner(loanResponseMsg{lt, n, now, response, err})
		}()
	}
}

// reclaimFromUnreachable takes back what was lent to a cell that the operators have given up.
func (l *loans) reclaimFromUnreachable(n *neighbour) {
	for _, j := range l.leaderTerm.jobs {
		if j.lent != nil && j.lent.Host == n.cell && !j.handover {
			l.applyAction(j, loan.State{Job: j.spec.ID, Epoch: j.lent.Epoch, Phase: loan.PhaseClosed, Reason: "the cell is lost"})
		}
	}
}

// maxOfferBytes bounds the descriptions of jobs in a request.
const maxOfferBytes = 64 << 10

// buildRequest says what is wanted of each loan to a neighbour.
func (l *loans) buildRequest(n *neighbour) *loan.Request {
	lt := l.leaderTerm
	req := &loan.Request{Home: lt.c.Cells.Cell, Term: lt.term.Number}
	bytesLeft := maxOfferBytes
	for id, j := range lt.jobs {
		if j.lent == nil || j.lent.Host != n.cell || j.handover {
			continue
		}
		e := loan.Entry{Job: id, Epoch: j.lent.Epoch}
		switch {
		case j.lent.Cancel:
			e.Desired = loan.DesiredCancel
		case j.reclaimRequested:
			e.Desired = loan.DesiredReclaim
		}
		if j.remote.Phase == loan.PhaseUnknown && e.Desired == loan.DesiredRun && bytesLeft > 0 {
			e.Offer = &loan.Offer{Spec: j.lent.Spec, Budget: j.lent.Budget, Since: j.lent.Since}
			bytesLeft -= offerBytes + len(j.lent.Spec.Class) + len(j.lent.Spec.Image) + 16*len(j.lent.Spec.Types)
		}
		req.Entries = append(req.Entries, e)
	}
	for job, epoch := range n.forget {
		req.Entries = append(req.Entries, loan.Entry{Job: job, Epoch: epoch, Desired: loan.DesiredForget})
	}
	return req
}

// offerBytes is about what the description of a job takes, besides long names.
const offerBytes = 400

// loanResponseMsg brings a neighbour's answer.
type loanResponseMsg struct {
	leaderTerm *leaderTerm
	neighbour  *neighbour
	sent       time.Time
	response   *loan.Response
	err        error
}

func (m loanResponseMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	l, n, now := &m.leaderTerm.loans, m.neighbour, time.Now()
	n.busy = false
	if m.err == nil && m.response.Refused != "" {
		m.err = &RefusedError{Cell: n.cell, Reason: m.response.Refused}
	}
	if m.err != nil {
		if n.lastError == "" {
			n.failingSince = now
			c.Log.Info("cell does not answer", "cell", n.cell, "err", m.err)
		}
		n.lastError = m.err.Error()
		return
	}
	if n.lastError != "" {
		c.Log.Info("cell answers again", "cell", n.cell, "after", now.Sub(n.failingSince).Round(time.Second))
	}
	n.lastError, n.lastResponse, n.delay, n.advert = "", now, now.Sub(m.sent), m.response.Advert
	clear(n.forget)
	for _, s := range m.response.States {
		l.applyState(n, s)
	}
}

// RefusedError is another cell's refusal of a whole request.
type RefusedError struct{ Cell, Reason string }

func (e *RefusedError) Error() string { return "cell " + e.Cell + " refuses: " + e.Reason }

// applyState takes in how a loan stands at its host.
func (l *loans) applyState(n *neighbour, s loan.State) {
	lt := l.leaderTerm
	j := lt.jobs[s.Job]
	if j != nil && j.handover {
		return // what is on its way decides
	}
	if j == nil || j.lent == nil || j.lent.Host != n.cell || j.lent.Epoch != s.Epoch {
		if s.Phase != loan.PhaseClosed && s.Phase != loan.PhaseUnknown && loan.ConfirmedBy(lt.term.Number, s.Epoch) {
			n.forget[s.Job] = s.Epoch
			n.nextExchange = time.Time{}
		}
		return
	}
	if s.Phase == loan.PhaseStarted {
		j.reclaimRequested = false // it stays where it runs
	}
	if s.Phase >= j.remote.Phase {
		j.remote = s
	}
	l.applyAction(j, s)
}

// applyAction carries out what follows from how a loan stands.
func (l *loans) applyAction(j *job, s loan.State) {
	switch loan.HomeStep(j.lent, s) {
	case loan.ActionReclaim:
		j.remote.Reason = s.Reason
		l.changeActive(j, records.ActiveRecord{Spec: j.lent.Spec, Accepted: j.accepted, LoanCount: j.loanCount})
	case loan.ActionDone:
		l.recordLentEnd(j, records.TerminalRecord{Phase: api.JobDone, Tasks: j.spec.Tasks, Ended: time.Now().UTC()})
	case loan.ActionCancel:
		l.recordLentEnd(j, records.TerminalRecord{Phase: api.JobCancelled, Tasks: j.spec.Tasks})
	}
}

// recordLentEnd records how a lent job ended.
func (l *loans) recordLentEnd(j *job, terminal records.TerminalRecord) {
	lt, id := l.leaderTerm, j.spec.ID
	active := records.ActivePrefix + id
	j.handover = l.enqueueChange(&loanChange{home: lt.c.Cells.Cell, job: id,
		build: func() (kv.Txn, bool) {
			txn := kv.Txn{Compares: []kv.Compare{lt.termCompare(), {Key: active, ModRevision: j.modRevision}}}
			if terminal.Phase == api.JobCancelled {
				// As with a user's own cancellation, a watch sees why the record goes.
				txn.Ops = append(txn.Ops, kv.Op{Put: records.CancelKey, Value: id})
			}
			txn.Ops = append(txn.Ops, kv.Op{Put: records.TerminalPrefix + id, Value: terminal}, kv.Op{Delete: active})
			// From now on others may read of its end before this node knows of it.
			j.ending = true
			return txn, !j.ended
		},
		done: func(uint64) {
			switch {
			case j.ended:
			case terminal.Phase == api.JobDone:
				j.doneCount = j.spec.Tasks
				l.counts.Done++
				lt.jobFinished(j)
			default:
				l.counts.Cancelled++
				lt.cancelJob(j)
			}
			if n := l.neighbours[j.lent.Host]; n != nil {
				n.nextExchange = time.Time{} // it names the loan once more, and is told to forget it
			}
		}})
}
