package controller

import (
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// maxOrders bounds the orders of one answer: a line of an answer must stay
// below 64 KiB.
const maxOrders = 200

// report processes a worker's report and answers with its orders. Orders go in
// answers only: an answer that comes late is dropped by the worker, while an
// order sent by itself could be carried out minutes later.
func (lt *leaderTerm) report(rep *api.Report, now time.Time) (api.ReportAnswer, error) {
	return lt.processReport(rep, ownReport, now)
}

// origin is how a report came about.
type origin int

const (
	// ownReport is one that the worker sent by itself. It does so only once the
	// answer to its last one was carried out or given up.
	ownReport origin = iota
	// drawnReport answers a resync. There is no answer in which orders could
	// go, and the orders of the last answer may still be on their way to the
	// worker when it is drawn up: it does not show that they were not
	// carried out.
	drawnReport
)

// processReport updates the leader's state by a report and returns the answer to it.
func (lt *leaderTerm) processReport(rep *api.Report, from origin, now time.Time) (api.ReportAnswer, error) {
	ans := api.ReportAnswer{Term: lt.term.Number, Orders: []api.Order{}}
	if rep.Term > lt.term.Number {
		// The machine has seen a later term than this one.
		lt.stepDown()
		return ans, &api.NotLeaderError{}
	}
	if !lt.loaded {
		// This keeps the lease and makes the machine heard. What is known to be
		// cancelled must not live on by it.
		ans.Orders = lt.c.stopCancelled(rep, nil)
		return ans, nil
	}
	if lt.returned.Contains(rep.Machine) {
		return ans, api.ErrUnavailable // given back; this was held up on its way
	}
	m := lt.machines[rep.Machine]
	if rep.Term < lt.term.Number && (m != nil || lt.expected[rep.Machine] == nil) {
		// A token never falls, so this is the first report of a machine that
		// has yet to hear of this term, one of a machine that no answer
		// reaches, or a copy of an old report that comes late. These look
		// alike: it is answered, so that the machine learns the term, and
		// otherwise changes nothing. Above all it is no sign of life, and
		// brings no machine back that an earlier leader returned.
		return ans, nil
	}
	if m == nil {
		// The report's strings share its body's memory.
		m = lt.addMachine(strings.Clone(rep.Machine), strings.Clone(rep.Type), strings.Clone(rep.Zone), rep.Spot, now)
		lt.c.Log.Info("machine up", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot)
	}
	if rep.Session < m.session || (rep.Session == m.session && rep.Seq <= m.seq) {
		return ans, nil // older than what is known
	}
	ans.Orders = lt.processNew(m, rep, from, ans.Orders, now)
	return ans, nil
}

// processNew updates the state of a machine by a report that is newer than all
// before it, and adds the orders that answer it.
func (lt *leaderTerm) processNew(m *machine, rep *api.Report, from origin, orders []api.Order, now time.Time) []api.Order {
	lt.updateMachine(m, rep, now)
	orders = lt.reconcile(m, rep, from, orders, now)
	if m.unheeded == 0 {
		m.probeFails = 0
	}
	lt.enrollUnknown(m)
	if rep.Term == lt.term.Number {
		lt.countHeard(m)
		if from == ownReport {
			orders = lt.place(m, orders, now)
		}
	}
	if from == ownReport {
		m.asked, m.askedAt = orders, now
	}
	if m.usedCPUs > slack || len(m.attempts) > 0 {
		m.idle = now
	}
	return orders
}

// updateMachine records what a new report says of the machine itself.
func (lt *leaderTerm) updateMachine(m *machine, rep *api.Report, now time.Time) {
	if m.session != 0 && rep.Session > m.session {
		if lt.punctual(now.Add(-lt.c.Settings.Site.Workers.Lease() - lt.hearable())) {
			m.unheeded++ // its lease has ended although it was answered
		}
		m.asked = nil
	}
	m.reports++
	if now.Sub(m.lastReport) > lt.hearable() {
		m.markUnmeasured()
	}
	m.lastReport = now
	m.session, m.seq, m.lastSeen = rep.Session, rep.Seq, now
	if m.addr != rep.Addr {
		m.addr = strings.Clone(rep.Addr)
	}
	if m.cpus == 0 {
		if mt, ok := lt.c.types.load()[m.typ]; ok {
			m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
		}
	}
	if rep.NoticeS != nil {
		lt.notice(m, *rep.NoticeS, now)
	}
}

// enrollUnknown has a machine written to the roster if it is not on it. No
// earlier leader has started anything there, so it counts as heard.
func (lt *leaderTerm) enrollUnknown(m *machine) {
	if m.roster != rosterNone || m.cpus <= 0 || m.leaving {
		return
	}
	m.roster = rosterWriting
	m.heard = true
	lt.recorder.enroll(m)
}

// lateAnswer is how long before an answer this node may have been held up and the
// answer have gone out too late for it: workers drop what comes after four seconds.
const lateAnswer = 4 * time.Second

// heed checks whether a report shows that the orders of the last answer were
// carried out. To a machine whose reports arrive while answers do not reach it,
// starts would otherwise be sent again and again.
func (lt *leaderTerm) heed(m *machine, now time.Time) {
	if len(m.asked) == 0 {
		return
	}
	for _, o := range m.asked {
		a := m.attempts[attemptKey{o.Task, o.Attempt}]
		shown := a != nil && a.seen == m.reports
		if (o.Verb == api.VerbStart) == shown || (shown && o.Verb == api.VerbStop && a.phase != api.TaskRunning) {
			m.unheeded = 0
			return
		}
	}
	if !lt.punctual(m.askedAt.Add(-lateAnswer)) {
		return // the answer may have come too late, by this node's fault
	}
	// One answer may be lost; after a second, the machine is asked first.
	if m.unheeded++; m.unheeded > 1 {
		m.pauseUntil = now.Add(min(lt.c.Settings.Site.Workers.Report()<<min(m.unheeded, 5), 30*time.Second))
	}
	m.nextProbe = now
	lt.c.Log.Debug("orders not carried out", "machine", m.name, "orders", len(m.asked), "times", m.unheeded)
}

// notice handles the cloud's notice that it will take the machine.
func (lt *leaderTerm) notice(m *machine, seconds float64, now time.Time) {
	left := time.Duration(seconds * float64(time.Second))
	first := m.reclaim.IsZero()
	m.reclaim = now.Add(left)
	if !first {
		return
	}
	lt.leave(m, "taken by the cloud")
	for _, a := range m.attempts {
		if a.exited || a.job == nil {
			continue
		}
		s := &a.job.spec
		if s.CheckpointS > 0 {
			lt.stop(a, left, now)
		} else if a.runningAt.IsZero() || a.runningAt.Add(s.Estimate()).After(m.reclaim) {
			// It would not end in time; elsewhere it can begin now.
			lt.stop(a, 0, now)
		}
	}
}

// stop marks an attempt to be stopped by the answers to its machine's reports.
func (lt *leaderTerm) stop(a *attempt, grace time.Duration, now time.Time) {
	if a.stop != nil && a.stop.grace <= grace {
		return
	}
	a.stop = &stopOrder{grace: grace, since: now}
}

// reconcile brings the machine's attempts in line with its report.
func (lt *leaderTerm) reconcile(m *machine, rep *api.Report, from origin, orders []api.Order, now time.Time) []api.Order {
	// Stops go before reaps: a machine that has ended more tasks than an answer
	// holds orders would run what is cancelled on, while its lease is renewed.
	reaps := lt.updateAttempts(m, rep, now)
	if from == ownReport {
		lt.heed(m, now)
	}
	for key, a := range m.attempts {
		if a.seen != m.reports {
			if !a.mayCome(rep) && !(from == drawnReport && a.onItsWay(rep)) {
				lt.unreported(a)
			}
			continue
		}
		if a.exited || len(orders) >= maxOrders {
			continue
		}
		// A version that knows nothing of jobs that await others may have started
		// one too early; one that is to be cancelled is stopped, also while the
		// store cannot be written; so is one that another cell owns.
		if a.job == nil || a.job.over || a.job.cancelPending || a.job.lent != nil || a.job.live[a.task] != a {
			lt.stop(a, 0, now)
		}
		if a.stop != nil {
			grace := max(0, a.stop.grace-now.Sub(a.stop.since)).Seconds()
			orders = append(orders, api.Order{Verb: api.VerbStop, Task: key.ref, Attempt: key.id, GraceS: &grace})
		}
	}
	return append(orders, reaps[:min(len(reaps), maxOrders-len(orders))]...)
}

// updateAttempts updates the attempts that a report names, and returns the
// orders to reap those that have ended.
func (lt *leaderTerm) updateAttempts(m *machine, rep *api.Report, now time.Time) []api.Order {
	var reaps []api.Order
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		a := m.attempts[key]
		if a == nil {
			a = lt.adopt(m, key, t, now)
		}
		a.seen = m.reports
		lt.update(a, t, now)
		if a.exited && lt.reapable(a) && len(reaps) < maxOrders {
			reaps = append(reaps, api.Order{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return reaps
}

// unreported removes an attempt that a newer report does not name, which shows
// that it is off the machine: reaped, killed with its session, or never begun.
func (lt *leaderTerm) unreported(a *attempt) {
	if !a.exited && !a.noted && a.phase == "" {
		lt.c.Log.Debug("start lost", "machine", a.machine.name, "task", a.key.ref, "attempt", a.key.id)
	}
	lt.offMachine(a)
}

// hasImage notes that a machine has a job's image.
func (lt *leaderTerm) hasImage(m *machine, s *api.JobSpec, now time.Time) {
	m.images.use(s, lt.c.types.load()[m.typ].CacheGB, now)
}
