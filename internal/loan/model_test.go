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
	mark  int
	lent  *Lent
	final string
}

// hostRecords are the records at the host, each with its version.
type hostRecords struct {
	floor     Epoch
	floorMark int
	guest     Epoch
	guestMark int
	begun     bool
	end       *End
	endMark   int
}

type model struct {
	t      *testing.T
	random *rand.Rand
	trace  []string
	ring   int

	homeTerm, hostTerm uint64
	home               homeRecord
	host               hostRecords
	// homeLeaders and hostLeaders are those that act, the last of them entitled.
	homeLeaders []*homeLeader
	hostLeaders []*hostLeader

	requests []modelRequest
	answers  []modelAnswer
	// late are transactions that have no answer and may yet be carried out.
	late []func() bool

	cancelAsked                bool
	runsAtHome, runsAtHost     bool
	ranAtHome, ranAtHost, ends int
	lends                      int
}

// homeLeader is a home leader with what it knows.
type homeLeader struct {
	term  uint64
	view  homeRecord
	count uint32
	// unsure is a transaction whose outcome is not known: it is sent until it is.
	unsure func() bool
}

type hostLeader struct {
	term   uint64
	view   hostRecords
	unsure func() bool
}

type modelRequest struct {
	term  uint64
	entry Entry
}

type modelAnswer struct{ state State }

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

func (m *model) one(n int) bool { return m.random.IntN(n) == 0 }

// commit carries a transaction out now, late, or with its answer lost; known is false if
// the leader does not learn of the outcome.
func (m *model) commit(txn func() bool) (ok, known bool) {
	switch m.random.IntN(6) {
	case 0: // perhaps carried out later
		m.late = append(m.late, txn)
		return false, false
	case 1: // carried out, and the answer is lost
		txn()
		return false, false
	}
	return txn(), true
}

// homeTxn changes home's record if the leader's term and the version still hold.
func (m *model) homeTxn(l *homeLeader, what string, change func(r *homeRecord)) {
	mark := l.view.mark
	txn := func() bool {
		if l.term != m.homeTerm || m.home.mark != mark {
			return false
		}
		m.ring++
		change(&m.home)
		m.home.mark = m.ring
		m.logf("home %d: %s", l.term, what)
		if m.home.final == "done" {
			m.ends++
		}
		return true
	}
	l.unsure = txn
	m.retryHome(l)
}

func (m *model) retryHome(l *homeLeader) {
	if _, known := m.commit(l.unsure); known {
		l.unsure, l.view = nil, m.home // done, or refused by a guard: it reads again
	}
}

// hostTxn changes the host's records if the term and all versions still hold.
func (m *model) hostTxn(l *hostLeader, what string, change func(r *hostRecords)) {
	v := l.view
	txn := func() bool {
		h := &m.host
		if l.term != m.hostTerm || h.floorMark != v.floorMark || h.guestMark != v.guestMark || h.endMark != v.endMark {
			return false
		}
		m.ring++
		was := *h
		change(h)
		if h.floor != was.floor {
			h.floorMark = m.ring
		}
		if h.guest != was.guest {
			h.guestMark = m.ring
		}
		if h.end != was.end {
			h.endMark = m.ring
		}
		// The version of a record that does not exist is 0, whatever came before.
		if h.guest == 0 {
			h.guestMark = 0
		}
		if h.end == nil {
			h.endMark = 0
		}
		m.logf("host %d: %s, now guest %v end %v floor %v", l.term, what, h.guest, h.end, h.floor)
		return true
	}
	l.unsure = txn
	m.retryHost(l)
}

func (m *model) retryHost(l *hostLeader) {
	if _, known := m.commit(l.unsure); known {
		begun := l.view.begun
		l.unsure, l.view = nil, m.host
		l.view.begun = l.view.begun || begun && l.view.guest != 0
	}
}

// homeActs is one move of a home leader.
func (m *model) homeActs() {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.unsure != nil {
		m.retryHome(l)
		return
	}
	entitled := l.term == m.homeTerm
	if m.one(3) {
		l.view = m.home // its watch tells
	}
	switch {
	case l.view.final != "":
		l.view = m.home
	case l.view.lent != nil:
		e := Entry{Job: "job-1", Epoch: l.view.lent.Epoch, Desired: DesiredRun}
		if m.one(6) {
			e.Desired = DesiredReclaim
		}
		if l.view.lent.Cancel {
			e.Desired = DesiredCancel
		}
		if m.one(2) {
			e.Offer = &Offer{}
		}
		m.requests = append(m.requests, modelRequest{l.term, e})
	case m.lends < 12 && !m.runsAtHome && m.one(2):
		l.count++
		lent := &Lent{Host: "b", Epoch: NewEpoch(l.term, l.count)}
		m.lends++
		m.homeTxn(l, fmt.Sprint("lend ", lent.Epoch), func(r *homeRecord) { r.lent = lent })
	case entitled && m.one(40) && !m.runsAtHome:
		// A start is only carried out under the present term, and only by a leader
		// that knows the job to be its own.
		m.logf("home %d: starts", l.term)
		m.runsAtHome = true
		m.ranAtHome++
	case entitled && m.runsAtHome && m.one(3):
		m.homeTxn(l, "done at home", func(r *homeRecord) { r.final = "done"; m.runsAtHome = false })
	}
}

// cancelActs is a user's cancellation at any node.
func (m *model) cancelActs() {
	if !m.cancelAsked || m.home.final != "" {
		return
	}
	m.ring++
	if l := m.home.lent; l != nil {
		if l.Cancel {
			return
		}
		asked := *l
		asked.Cancel = true
		m.home.lent, m.home.mark = &asked, m.ring
		m.logf("user: cancellation of the loan noted")
		return
	}
	m.home.final, m.home.mark = "withdrawn", m.ring
	m.runsAtHome = false
	m.logf("user: cancelled at home")
}

// homeHears takes in an answer, of any age.
func (m *model) homeHears(a modelAnswer) {
	l := m.homeLeaders[m.random.IntN(len(m.homeLeaders))]
	if l.unsure != nil {
		return
	}
	if l.view.lent == nil || l.view.lent.Epoch != a.state.Epoch && m.one(2) {
		if ConfirmedBy(l.term, a.state.Epoch) && a.state.Phase != PhaseClosed && a.state.Phase != PhaseUnknown {
			m.requests = append(m.requests, modelRequest{l.term, Entry{Job: "job-1", Epoch: a.state.Epoch, Desired: DesiredForget}})
		}
		return
	}
	switch HomeStep(l.view.lent, a.state) {
	case ActionReclaim:
		m.homeTxn(l, fmt.Sprint("take back ", a.state.Epoch), func(r *homeRecord) { r.lent = nil })
	case ActionDone:
		m.homeTxn(l, "record done", func(r *homeRecord) { r.lent, r.final = nil, "done" })
	case ActionCancel:
		m.homeTxn(l, "record withdrawn", func(r *homeRecord) { r.lent, r.final = nil, "withdrawn" })
	}
}

// hostHears takes in a request, of any age.
func (m *model) hostHears(q modelRequest) {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.unsure != nil {
		m.retryHost(l)
		return
	}
	refuse := ""
	if m.one(5) {
		refuse = "no room"
	}
	v := l.view
	e := q.entry
	phase, step := HostStep(e, HostView{MinEpoch: v.floor, GuestEpoch: v.guest, Started: v.begun || m.runsAtHost, End: v.end, RefusalReason: refuse})
	m.answers = append(m.answers, modelAnswer{State{Job: e.Job, Epoch: e.Epoch, Phase: phase, Pending: m.runsAtHost}})
	switch step {
	case StepAccept:
		m.hostTxn(l, fmt.Sprint("accept ", e.Epoch), func(r *hostRecords) { r.guest = e.Epoch })
	case StepClose:
		m.hostTxn(l, fmt.Sprint("close ", e.Epoch), func(r *hostRecords) { r.guest, r.begun = 0, false; r.floor = max(r.floor, e.Epoch) })
	case StepCancel:
		m.hostTxn(l, fmt.Sprint("withdraw ", e.Epoch), func(r *hostRecords) {
			r.guest, r.begun, r.end = 0, false, &End{Epoch: e.Epoch, Phase: "withdrawn"}
		})
	case StepForget:
		m.hostTxn(l, fmt.Sprint("forget ", e.Epoch), func(r *hostRecords) { r.end = nil; r.floor = max(r.floor, e.Epoch) })
	case StepRaiseMinEpoch:
		m.hostTxn(l, fmt.Sprint("raise ", e.Epoch), func(r *hostRecords) { r.floor = max(r.floor, e.Epoch) })
	}
}

// hostActs is one move of a host leader by itself.
func (m *model) hostActs() {
	l := m.hostLeaders[m.random.IntN(len(m.hostLeaders))]
	if l.unsure != nil {
		m.retryHost(l)
		return
	}
	entitled := l.term == m.hostTerm
	switch {
	case l.view.guest == 0 && m.runsAtHost && entitled && m.host.guest == 0:
		m.runsAtHost = false // stopped: the job is no guest any more
	case l.view.guest == 0:
	case entitled && !m.runsAtHost && m.one(5):
		m.logf("host %d: starts %v", l.term, l.view.guest)
		m.runsAtHost, l.view.begun, m.host.begun = true, true, true
		m.ranAtHost++
	case entitled && m.runsAtHost && m.one(3):
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("done ", e), func(r *hostRecords) {
			r.guest, r.begun, r.end = 0, false, &End{Epoch: e, Phase: "done"}
			m.runsAtHost = false
		})
	case !l.view.begun && !m.runsAtHost && m.one(8): // it gives back what it has not begun
		e := l.view.guest
		m.hostTxn(l, fmt.Sprint("give back ", e), func(r *hostRecords) { r.guest = 0; r.floor = max(r.floor, e) })
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
func deliver[T any](m *model, queue *[]T, take func(T)) {
	if len(*queue) == 0 {
		return
	}
	i := m.random.IntN(len(*queue))
	msg := (*queue)[i]
	if m.one(2) || len(*queue) > 12 {
		*queue = append((*queue)[:i], (*queue)[i+1:]...)
	}
	take(msg)
}

func (m *model) check() {
	switch {
	case m.runsAtHome && m.runsAtHost:
		m.fail("the job runs in both cells")
	case m.ends > 1:
		m.fail("%d final answers", m.ends)
	case m.home.lent == nil && m.home.final == "" && m.host.guest != 0:
		m.fail("home owns the job, and the host has it as guest %v", m.host.guest)
	case m.home.final != "" && m.runsAtHost:
		m.fail("over at home while it runs at the host: its team may pass its limit")
	case m.runsAtHome && m.home.lent != nil:
		m.fail("lent while it runs at home")
	}
}

func (m *model) step() {
	switch m.random.IntN(12) {
	case 0, 1, 2:
		m.homeActs()
	case 3, 4:
		m.hostActs()
	case 5, 6, 7:
		deliver(m, &m.requests, m.hostHears)
	case 8, 9:
		deliver(m, &m.answers, m.homeHears)
	case 10:
		if len(m.late) > 0 && m.one(2) {
			i := m.random.IntN(len(m.late))
			m.late[i]()
			m.late = append(m.late[:i], m.late[i+1:]...)
		}
	case 11:
		switch m.random.IntN(24) {
		case 0:
			m.newHomeLeader()
		case 1:
			m.newHostLeader()
		case 2:
			m.cancelAsked = m.cancelAsked || m.one(12)
			m.cancelActs()
		}
	}
	m.check()
}

// finish lets all troubles end, and both cells act until the job is over.
func (m *model) finish() {
	m.newHomeLeader()
	m.newHostLeader()
	m.homeLeaders, m.hostLeaders = m.homeLeaders[1:], m.hostLeaders[1:]
	for range 20_000 {
		if m.home.final != "" && m.host.guest == 0 && m.host.end == nil {
			return
		}
		m.lends = 12
		m.homeActs()
		m.hostActs()
		m.cancelActs()
		deliver(m, &m.requests, m.hostHears)
		deliver(m, &m.answers, m.homeHears)
		if h := m.host; h.end != nil || h.guest != 0 { // what the host tells of by itself
			e := h.guest
			phase := PhaseAccepted
			if h.end != nil {
				e, phase = h.end.Epoch, PhaseCancelled
				if h.end.Phase == "done" {
					phase = PhaseDone
				}
			}
			m.homeHears(modelAnswer{State{Job: "job-1", Epoch: e, Phase: phase, Pending: m.runsAtHost}})
		}
		m.check()
	}
	m.fail("not over: home %+v host %+v", m.home, m.host)
}

// Whatever is lost, late, repeated or out of order, and however often leaders change, the
// job never runs in two cells, and comes to exactly one end that the host then forgets.
func TestOneOwner(t *testing.T) {
	const seeds, steps = 6000, 600
	lends, atHost := 0, 0
	for seed := range uint64(seeds) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 7))}
		m.newHomeLeader()
		m.newHostLeader()
		for range steps {
			m.step()
		}
		m.finish()
		lends += m.lends
		atHost += m.ranAtHost
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if atHost < seeds/4 {
		t.Errorf("only %d of %d jobs ran at the host: the model shows little", atHost, seeds)
	}
}
