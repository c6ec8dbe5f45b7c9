package loan

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The model simulates the protocol between a home cell and a host with one job: leaders
// that act for a while after their term, transactions that are applied late or whose
// response is lost, messages that are lost, repeated and reordered.

// maxLoans bounds how often the model lends the job.
const maxLoans = 12

// homeRecord is the job's record at home.
type homeRecord struct {
	modRevision   int
	lent          *Lent
	terminalPhase string
}

// hostRecords are the records at the host, each with its version.
type hostRecords struct {
	minEpoch            Epoch
	minEpochModRevision int
	guest               Epoch
	guestModRevision    int
	isStarted           bool
	end                 *End
	endModRevision      int
}

// model is the state of both cells, their leaders and the messages between them.
type model struct {
	t        *testing.T
	random   *rand.Rand
	trace    []string
	revision int

	homeTerm, hostTerm uint64
	home               homeRecord
	host               hostRecords
	// homeLeaders and hostLeaders are those that act; only the last holds the current term.
	homeLeaders []*homeLeader
	hostLeaders []*hostLeader

	requests  []modelRequest
	responses []modelResponse
	// delayed are transactions without a response that may yet be applied.
	delayed []func()

	cancelRequested                  bool
	runningAtHome, runningAtHost     bool
	startsAtHome, startsAtHost, ends int
	loans                            int
}

// homeLeader is a home leader with its view of the records.
type homeLeader struct {
	term  uint64
	view  homeRecord
	count uint32
	// OutcomeUnknown is a transaction whose outcome is not known: it is retried until it is.
	unresolvedTxn func()
}

// hostLeader is a host leader with its view of the records.
type hostLeader struct {
	term          uint64
	view          hostRecords
	unresolvedTxn func()
}

type modelRequest struct {
	term  uint64
	entry Entry
}

type modelResponse struct{ state State }

func (m *model) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(format, args...))
}

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	for _, line := range m.trace[max(0, len(m.trace)-60):] {
		m.t.Log(line)
	}
	m.t.Fatalf(format, args...)
}

// oneIn is true once in n times.
func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

// commit applies a transaction now, late, or with its response lost, and reports whether
// the leader learns of the outcome.
func (m *model) commit(txn func()) (isKnown bool) {
	switch m.random.IntN(6) {
	case 0: // may be applied later
		m.delayed = append(m.delayed, txn)
		return false
	case 1: // applied, and the response is lost
		txn()
		return false
	}
	txn()
	return true
}

// homeTxn changes home's record if the leader's term and the record's mod revision are
// unchanged.
func (m *model) homeTxn(l *homeLeader, what string, change func(r *homeRecord)) {
	modRevision := l.view.modRevision
	txn := func() {
		if l.term != m.homeTerm || m.home.modRevision != modRevision {
			return
		}
		m.revision++
		change(&m.home)
		m.home.modRevision = m.revision
		m.logf("home %d: %s", l.term, what)
		if m.home.terminalPhase == "done" {
			m.ends++
		}
	}
	l.unresolvedTxn = txn
	m.retryHomeTxn(l)
}

func (m *model) retryHomeTxn(l *homeLeader) {
	if m.commit(l.unresolvedTxn) {
		l.unresolvedTxn, l.view = nil, m.home // applied, or not since a compare failed: it reads again
	}
}

// hostTxn changes the host's records if the term and all mod revisions are unchanged.
func (m *model) hostTxn(l *hostLeader, what string, change func(r *hostRecords)) {
	view := l.view
	txn := func() {
		records := &m.host
		if l.term != m.hostTerm ||
			records.minEpochModRevision != view.minEpochModRevision ||
			records.guestModRevision != view.guestModRevision ||
			records.endModRevision != view.endModRevision {
			return
		}
		m.revision++
		before := *records
		change(records)
		if records.minEpoch != before.minEpoch {
			records.minEpochModRevision = m.revision
		}
		if records.guest != before.guest {
			records.guestModRevision = m.revision
		}
		if records.end != before.end {
			records.endModRevision = m.revision
		}
		// The mod revision of a missing record is 0, whatever was stored before.
		if records.guest == 0 {
			records.guestModRevision = 0
		}
		if records.end == nil {
			records.endModRevision = 0
		}
		m.logf("host %d: %s, now guest %v end %v minimum epoch %v",
			l.term, what, records.guest, records.end, records.minEpoch)
	}
	l.unresolvedTxn = txn
	m.retryHostTxn(l)
}

func (m *model) retryHostTxn(l *hostLeader) {
	if m.commit(l.unresolvedTxn) {
		wasStarted := l.view.isStarted
		l.unresolvedTxn, l.view = nil, m.host
		l.view.isStarted = l.view.isStarted || wasStarted && l.view.guest != 0
	}
}

// stepHome is one step of a home leader.
func (m *model) stepHome() {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.unresolvedTxn != nil {
		m.retryHomeTxn(l)
		return
	}
	isCurrent := l.term == m.homeTerm
	if m.oneIn(3) {
		l.view = m.home // an event of its watch
	}
	switch {
	case l.view.terminalPhase != "":
		l.view = m.home
	case l.view.lent != nil:
		e := Entry{Job: "job-1", Epoch: l.view.lent.Epoch, Desired: DesiredRun}
		if m.oneIn(6) {
			e.Desired = DesiredReclaim
		}
		if l.view.lent.Cancel {
			e.Desired = DesiredCancel
		}
		if m.oneIn(2) {
			e.Offer = &Offer{}
		}
		m.requests = append(m.requests, modelRequest{l.term, e})
	case m.loans < maxLoans && !m.runningAtHome && m.oneIn(2):
		l.count++
		lent := &Lent{Host: "b", Epoch: NewEpoch(l.term, l.count)}
		m.loans++
		m.homeTxn(l, fmt.Sprint("lend ", lent.Epoch), func(r *homeRecord) { r.lent = lent })
	case isCurrent && m.oneIn(40) && !m.runningAtHome:
		// A start is only applied under the current term, and only from a leader in
		// whose view the job is not on loan.
		m.logf("home %d: starts", l.term)
		m.runningAtHome = true
		m.startsAtHome++
	case isCurrent && m.runningAtHome && m.oneIn(3):
		m.homeTxn(l, "done at home", func(r *homeRecord) { r.terminalPhase = "done"; m.runningAtHome = false })
	}
}

// applyCancellation applies a user's cancellation at any node.
func (m *model) applyCancellation() {
	if !m.cancelRequested || m.home.terminalPhase != "" {
		return
	}
	m.revision++
	if l := m.home.lent; l != nil {
		if l.Cancel {
			return
		}
		cancelled := *l
		cancelled.Cancel = true
		m.home.lent, m.home.modRevision = &cancelled, m.revision
		m.logf("user: cancellation of the loan recorded")
		return
	}
	m.home.terminalPhase, m.home.modRevision = "withdrawn", m.revision
	m.runningAtHome = false
	m.logf("user: cancelled at home")
}

// handleResponse handles a response of any age at home.
func (m *model) handleResponse(a modelResponse) {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.unresolvedTxn != nil {
		return
	}
	if l.view.lent == nil || l.view.lent.Epoch != a.state.Epoch && m.oneIn(2) {
		if CanConfirmEnd(l.term, a.state.Epoch) && a.state.Phase != PhaseClosed && a.state.Phase != PhaseUnknown {
			forget := Entry{Job: "job-1", Epoch: a.state.Epoch, Desired: DesiredForget}
			m.requests = append(m.requests, modelRequest{l.term, forget})
		}
		return
	}
	switch HomeStep(l.view.lent, a.state) {
	case ActionReclaim:
		m.homeTxn(l, fmt.Sprint("reclaim ", a.state.Epoch), func(r *homeRecord) { r.lent = nil })
	case ActionDone:
		m.homeTxn(l, "record done", func(r *homeRecord) { r.lent, r.terminalPhase = nil, "done" })
	case ActionCancel:
		m.homeTxn(l, "record cancelled", func(r *homeRecord) { r.lent, r.terminalPhase = nil, "withdrawn" })
	}
}

// handleRequest handles a request of any age at the host.
func (m *model) handleRequest(q modelRequest) {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.unresolvedTxn != nil {
		m.retryHostTxn(l)
		return
	}
	refusalReason := ""
	if m.oneIn(5) {
		refusalReason = "no capacity"
	}
	view := l.view
	e := q.entry
	phase, step := HostStep(e, HostView{
		MinEpoch:      view.minEpoch,
		GuestEpoch:    view.guest,
		Started:       view.isStarted || m.runningAtHost,
		End:           view.end,
		RefusalReason: refusalReason,
	})
	state := State{Job: e.Job, Epoch: e.Epoch, Phase: phase, Pending: m.runningAtHost}
	m.responses = append(m.responses, modelResponse{state})
	switch step {
	case StepAccept:
		m.hostTxn(l, fmt.Sprint("accept ", e.Epoch), func(r *hostRecords) { r.guest = e.Epoch })
	case StepClose:
		m.hostTxn(l, fmt.Sprint("close ", e.Epoch), func(r *hostRecords) {
			r.guest, r.isStarted, r.minEpoch = 0, false, max(r.minEpoch, e.Epoch)
		})
	case StepCancel:
		m.hostTxn(l, fmt.Sprint("cancel ", e.Epoch), func(r *hostRecords) {
			r.guest, r.isStarted, r.end = 0, false, &End{Epoch: e.Epoch, Phase: "withdrawn"}
		})
	case StepForget:
		m.hostTxn(l, fmt.Sprint("forget ", e.Epoch), func(r *hostRecords) {
			r.end, r.minEpoch = nil, max(r.minEpoch, e.Epoch)
		})
	case StepRaiseMinEpoch:
		m.hostTxn(l, fmt.Sprint("raise ", e.Epoch), func(r *hostRecords) { r.minEpoch = max(r.minEpoch, e.Epoch) })
	}
}

// stepHost is one step of a host leader without a request.
func (m *model) stepHost() {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.unresolvedTxn != nil {
		m.retryHostTxn(l)
		return
	}
	isCurrent := l.term == m.hostTerm
	switch {
	case l.view.guest == 0 && m.runningAtHost && isCurrent && m.host.guest == 0:
		m.runningAtHost = false // stopped: the job is no guest any more
	case l.view.guest == 0:
	case isCurrent && !m.runningAtHost && m.oneIn(5):
		m.logf("host %d: starts %v", l.term, l.view.guest)
		m.runningAtHost, l.view.isStarted, m.host.isStarted = true, true, true
		m.startsAtHost++
	case isCurrent && m.runningAtHost && m.oneIn(3):
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("done ", e), func(r *hostRecords) {
			r.guest, r.isStarted, r.end = 0, false, &End{Epoch: e, Phase: "done"}
			m.runningAtHost = false
		})
	case !l.view.isStarted && !m.runningAtHost && m.oneIn(8): // it closes a loan that it has not started
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("close unstarted ", e), func(r *hostRecords) {
			r.guest, r.minEpoch = 0, max(r.minEpoch, e)
		})
	}
}

func (m *model) newHomeLeader() {
	m.homeTerm++
	m.homeLeaders = append(m.homeLeaders, &homeLeader{term: m.homeTerm, view: m.home})
	m.homeLeaders = m.homeLeaders[max(0, len(m.homeLeaders)-2):]
	m.logf("home: leader %d", m.homeTerm)
}

func (m *model) newHostLeader() {
	m.hostTerm++
	m.hostLeaders = append(m.hostLeaders, &hostLeader{term: m.hostTerm, view: m.host})
	m.hostLeaders = m.hostLeaders[max(0, len(m.hostLeaders)-2):]
	m.logf("host: leader %d", m.hostTerm)
}

// deliver passes one message of a queue to handle, and half of the time keeps it for another
// delivery, unless the queue is long.
func deliver[T any](m *model, queue *[]T, handle func(T)) {
	if len(*queue) == 0 {
		return
	}
	i := m.random.IntN(len(*queue))
	msg := (*queue)[i]
	if m.oneIn(2) || len(*queue) > 12 {
		*queue = append((*queue)[:i], (*queue)[i+1:]...)
	}
	handle(msg)
}

// checkInvariants fails the test unless one cell owns the job and it has one end at most.
func (m *model) checkInvariants() {
	switch {
	case m.runningAtHome && m.runningAtHost:
		m.fail("the job runs in both cells")
	case m.ends > 1:
		m.fail("the job ended %d times", m.ends)
	case m.home.lent == nil && m.home.terminalPhase == "" && m.host.guest != 0:
		m.fail("home owns the job, and the host has it as guest %v", m.host.guest)
	case m.home.terminalPhase != "" && m.runningAtHost:
		m.fail("ended at home while it runs at the host: its team may exceed its limit")
	case m.runningAtHome && m.home.lent != nil:
		m.fail("on loan while it runs at home")
	}
}

func (m *model) step() {
	switch m.random.IntN(12) {
	case 0, 1, 2:
		m.stepHome()
	case 3, 4:
		m.stepHost()
	case 5, 6, 7:
		deliver(m, &m.requests, m.handleRequest)
	case 8, 9:
		deliver(m, &m.responses, m.handleResponse)
	case 10:
		if len(m.delayed) > 0 && m.oneIn(2) {
			i := m.random.IntN(len(m.delayed))
			m.delayed[i]()
			m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
		}
	case 11:
		switch m.random.IntN(24) {
		case 0:
			m.newHomeLeader()
		case 1:
			m.newHostLeader()
		case 2:
			m.cancelRequested = m.cancelRequested || m.oneIn(12)
			m.applyCancellation()
		}
	}
	m.checkInvariants()
}

// runToEnd stops all faults, and lets both cells act until the job has ended.
func (m *model) runToEnd() {
	m.newHomeLeader()
	m.newHostLeader()
	m.homeLeaders, m.hostLeaders = m.homeLeaders[1:], m.hostLeaders[1:]
	for range 20_000 {
		if m.home.terminalPhase != "" && m.host.guest == 0 && m.host.end == nil {
			return
		}
		m.loans = maxLoans
		m.stepHome()
		m.stepHost()
		m.applyCancellation()
		deliver(m, &m.requests, m.handleRequest)
		deliver(m, &m.responses, m.handleResponse)
		if h := m.host; h.end != nil || h.guest != 0 { // the state that the host sends unsolicited
			e := h.guest
			phase := PhaseAccepted
			if h.end != nil {
				e, phase = h.end.Epoch, PhaseCancelled
				if h.end.Phase == "done" {
					phase = PhaseDone
				}
			}
			m.handleResponse(modelResponse{State{Job: "job-1", Epoch: e, Phase: phase, Pending: m.runningAtHost}})
		}
		m.checkInvariants()
	}
	m.fail("the job has not ended: home %+v host %+v", m.home, m.host)
}

// Whatever is lost, late, repeated or out of order, and however often leaders change, the
// job never runs in two cells, and has exactly one end, whose record the host then removes.
func TestJobHasOneOwnerUnderAllFaults(t *testing.T) {
	const seeds, steps = 6000, 600
	atHost := 0
	for seed := range uint64(seeds) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 7))}
		m.newHomeLeader()
		m.newHostLeader()
		for range steps {
			m.step()
		}
		m.runToEnd()
		atHost += m.startsAtHost
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if atHost < seeds/4 {
		t.Errorf("the job ran at the host for %d of %d seeds, want a quarter or the model shows little", atHost, seeds)
	}
}
