package loan

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The model plays the protocol between a home cell and a host with one job: leaders that
// are deposed and go on for a while, transactions that are carried out late or whose
// answer is lost, messages that are lost, repeated and reordered.

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

type model struct {
	t        *testing.T
	random   *rand.Rand
	trace    []string
	revision int

	homeTerm, hostTerm uint64
	home               homeRecord
	host               hostRecords
	// homeLeaders and hostLeaders are those that act, the last of them entitled.
	homeLeaders []*homeLeader
	hostLeaders []*hostLeader

	requests  []modelRequest
	responses []modelResponse
	// delayed are transactions that have no answer and may yet be carried out.
	delayed []func() bool

	cancelRequested                  bool
	runsAtHome, runsAtHost           bool
	startsAtHome, startsAtHost, ends int
	loans                            int
}

// homeLeader is a home leader with what it knows.
type homeLeader struct {
	term  uint64
	view  homeRecord
	count uint32
	// outcomeUnknown is a transaction whose outcome is not known: it is sent until it is.
	outcomeUnknown func() bool
}

type hostLeader struct {
	term           uint64
	view           hostRecords
	outcomeUnknown func() bool
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

func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

// commit carries a transaction out now, late, or with its answer lost; known is false if
// the leader does not learn of the outcome.
func (m *model) commit(txn func() bool) (ok, known bool) {
	switch m.random.IntN(6) {
	case 0: // perhaps carried out later
		m.delayed = append(m.delayed, txn)
		return false, false
	case 1: // carried out, and the answer is lost
		txn()
		return false, false
	}
	return txn(), true
}

// homeTxn changes home's record if the leader's term and the version still hold.
func (m *model) homeTxn(l *homeLeader, what string, change func(r *homeRecord)) {
	modRevision := l.view.modRevision
	txn := func() bool {
		if l.term != m.homeTerm || m.home.modRevision != modRevision {
			return false
		}
		m.revision++
		change(&m.home)
		m.home.modRevision = m.revision
		m.logf("home %d: %s", l.term, what)
		if m.home.terminalPhase == "done" {
			m.ends++
		}
		return true
	}
	l.outcomeUnknown = txn
	m.retryHomeTxn(l)
}

func (m *model) retryHomeTxn(l *homeLeader) {
	if _, known := m.commit(l.outcomeUnknown); known {
		l.outcomeUnknown, l.view = nil, m.home // done, or refused by a guard: it reads again
	}
}

// hostTxn changes the host's records if the term and all versions still hold.
func (m *model) hostTxn(l *hostLeader, what string, change func(r *hostRecords)) {
	view := l.view
	txn := func() bool {
		records := &m.host
		if l.term != m.hostTerm || records.minEpochModRevision != view.minEpochModRevision || records.guestModRevision != view.guestModRevision || records.endModRevision != view.endModRevision {
			return false
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
		// The version of a record that does not exist is 0, whatever came before.
		if records.guest == 0 {
			records.guestModRevision = 0
		}
		if records.end == nil {
			records.endModRevision = 0
		}
		m.logf("host %d: %s, now guest %v end %v floor %v", l.term, what, records.guest, records.end, records.minEpoch)
		return true
	}
	l.outcomeUnknown = txn
	m.retryHostTxn(l)
}

func (m *model) retryHostTxn(l *hostLeader) {
	if _, known := m.commit(l.outcomeUnknown); known {
		wasStarted := l.view.isStarted
		l.outcomeUnknown, l.view = nil, m.host
		l.view.isStarted = l.view.isStarted || wasStarted && l.view.guest != 0
	}
}

// stepHome is one move of a home leader.
func (m *model) stepHome() {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.outcomeUnknown != nil {
		m.retryHomeTxn(l)
		return
	}
	entitled := l.term == m.homeTerm
	if m.oneIn(3) {
		l.view = m.home // its watch tells
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
	case m.loans < 12 && !m.runsAtHome && m.oneIn(2):
		l.count++
		lent := &Lent{Host: "b", Epoch: NewEpoch(l.term, l.count)}
		m.loans++
		m.homeTxn(l, fmt.Sprint("lend ", lent.Epoch), func(r *homeRecord) { r.lent = lent })
	case entitled && m.oneIn(40) && !m.runsAtHome:
		// A start is only carried out under the present term, and only by a leader
		// that knows the job to be its own.
		m.logf("home %d: starts", l.term)
		m.runsAtHome = true
		m.startsAtHome++
	case entitled && m.runsAtHome && m.oneIn(3):
		m.homeTxn(l, "done at home", func(r *homeRecord) { r.terminalPhase = "done"; m.runsAtHome = false })
	}
}

// applyCancellation is a user's cancellation at any node.
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
		m.logf("user: cancellation of the loan noted")
		return
	}
	m.home.terminalPhase, m.home.modRevision = "withdrawn", m.revision
	m.runsAtHome = false
	m.logf("user: cancelled at home")
}

// handleResponse takes in an answer, of any age.
func (m *model) handleResponse(a modelResponse) {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.outcomeUnknown != nil {
		return
	}
	if l.view.lent == nil || l.view.lent.Epoch != a.state.Epoch && m.oneIn(2) {
		if ConfirmedBy(l.term, a.state.Epoch) && a.state.Phase != PhaseClosed && a.state.Phase != PhaseUnknown {
			m.requests = append(m.requests, modelRequest{l.term, Entry{Job: "job-1", Epoch: a.state.Epoch, Desired: DesiredForget}})
		}
		return
	}
	switch HomeStep(l.view.lent, a.state) {
	case ActionReclaim:
		m.homeTxn(l, fmt.Sprint("take back ", a.state.Epoch), func(r *homeRecord) { r.lent = nil })
	case ActionDone:
		m.homeTxn(l, "record done", func(r *homeRecord) { r.lent, r.terminalPhase = nil, "done" })
	case ActionCancel:
		m.homeTxn(l, "record withdrawn", func(r *homeRecord) { r.lent, r.terminalPhase = nil, "withdrawn" })
	}
}

// handleRequest takes in a request, of any age.
func (m *model) handleRequest(q modelRequest) {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.outcomeUnknown != nil {
		m.retryHostTxn(l)
		return
	}
	refusalReason := ""
	if m.oneIn(5) {
		refusalReason = "no room"
	}
	view := l.view
	e := q.entry
	phase, step := HostStep(e, HostView{MinEpoch: view.minEpoch, GuestEpoch: view.guest, Started: view.isStarted || m.runsAtHost, End: view.end, RefusalReason: refusalReason})
	m.responses = append(m.responses, modelResponse{State{Job: e.Job, Epoch: e.Epoch, Phase: phase, Pending: m.runsAtHost}})
	switch step {
	case StepAccept:
		m.hostTxn(l, fmt.Sprint("accept ", e.Epoch), func(r *hostRecords) { r.guest = e.Epoch })
	case StepClose:
		m.hostTxn(l, fmt.Sprint("close ", e.Epoch), func(r *hostRecords) { r.guest, r.isStarted = 0, false; r.minEpoch = max(r.minEpoch, e.Epoch) })
	case StepCancel:
		m.hostTxn(l, fmt.Sprint("withdraw ", e.Epoch), func(r *hostRecords) {
			r.guest, r.isStarted, r.end = 0, false, &End{Epoch: e.Epoch, Phase: "withdrawn"}
		})
	case StepForget:
		m.hostTxn(l, fmt.Sprint("forget ", e.Epoch), func(r *hostRecords) { r.end = nil; r.minEpoch = max(r.minEpoch, e.Epoch) })
	case StepRaiseMinEpoch:
		m.hostTxn(l, fmt.Sprint("raise ", e.Epoch), func(r *hostRecords) { r.minEpoch = max(r.minEpoch, e.Epoch) })
	}
}

// stepHost is one move of a host leader by itself.
func (m *model) stepHost() {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.outcomeUnknown != nil {
		m.retryHostTxn(l)
		return
	}
	entitled := l.term == m.hostTerm
	switch {
	case l.view.guest == 0 && m.runsAtHost && entitled && m.host.guest == 0:
		m.runsAtHost = false // stopped: the job is no guest any more
	case l.view.guest == 0:
	case entitled && !m.runsAtHost && m.oneIn(5):
		m.logf("host %d: starts %v", l.term, l.view.guest)
		m.runsAtHost, l.view.isStarted, m.host.isStarted = true, true, true
		m.startsAtHost++
	case entitled && m.runsAtHost && m.oneIn(3):
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("done ", e), func(r *hostRecords) {
			r.guest, r.isStarted, r.end = 0, false, &End{Epoch: e, Phase: "done"}
			m.runsAtHost = false
		})
	case !l.view.isStarted && !m.runsAtHost && m.oneIn(8): // it gives back what it has not begun
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("give back ", e), func(r *hostRecords) { r.guest = 0; r.minEpoch = max(r.minEpoch, e) })
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

// deliver hands over one of some messages, and mostly drops it then.
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

func (m *model) checkInvariants() {
	switch {
	case m.runsAtHome && m.runsAtHost:
		m.fail("the job runs in both cells")
	case m.ends > 1:
		m.fail("%d final answers", m.ends)
	case m.home.lent == nil && m.home.terminalPhase == "" && m.host.guest != 0:
		m.fail("home owns the job, and the host has it as guest %v", m.host.guest)
	case m.home.terminalPhase != "" && m.runsAtHost:
		m.fail("over at home while it runs at the host: its team may pass its limit")
	case m.runsAtHome && m.home.lent != nil:
		m.fail("lent while it runs at home")
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

// runToEnd lets all troubles end, and both cells act until the job is over.
func (m *model) runToEnd() {
	m.newHomeLeader()
	m.newHostLeader()
	m.homeLeaders, m.hostLeaders = m.homeLeaders[1:], m.hostLeaders[1:]
	for range 20_000 {
		if m.home.terminalPhase != "" && m.host.guest == 0 && m.host.end == nil {
			return
		}
		m.loans = 12
		m.stepHome()
		m.stepHost()
		m.applyCancellation()
		deliver(m, &m.requests, m.handleRequest)
		deliver(m, &m.responses, m.handleResponse)
		if h := m.host; h.end != nil || h.guest != 0 { // what the host tells of by itself
			e := h.guest
			phase := PhaseAccepted
			if h.end != nil {
				e, phase = h.end.Epoch, PhaseCancelled
				if h.end.Phase == "done" {
					phase = PhaseDone
				}
			}
			m.handleResponse(modelResponse{State{Job: "job-1", Epoch: e, Phase: phase, Pending: m.runsAtHost}})
		}
		m.checkInvariants()
	}
	m.fail("not over: home %+v host %+v", m.home, m.host)
}

// Whatever is lost, late, repeated or out of order, and however often leaders change, the
// job never runs in two cells, and comes to exactly one end that the host then forgets.
func TestJobHasOneOwnerUnderAllFaults(t *testing.T) {
	const seeds, steps = 6000, 600
	lends, atHost := 0, 0
	for seed := range uint64(seeds) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 7))}
		m.newHomeLeader()
		m.newHostLeader()
		for range steps {
			m.step()
		}
		m.runToEnd()
		lends += m.loans
		atHost += m.startsAtHost
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if atHost < seeds/4 {
		t.Errorf("only %d of %d jobs ran at the host: the model shows little", atHost, seeds)
	}
}
