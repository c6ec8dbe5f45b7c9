package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/queue"
)

// maxOrders bounds the orders of one answer: a line of an answer must stay
// below 64 KiB.
const maxOrders = 200

// report processes a worker's report and answers with its orders. Orders go in
// answers only: an answer that comes late is dropped by the worker, while an
// order sent by itself could be carried out minutes later.
func (r *leadership) report(rep *api.Report, now time.Time) (api.ReportAnswer, error) {
	return r.processReport(rep, ownReport, now)
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
func (r *leadership) processReport(rep *api.Report, from origin, now time.Time) (api.ReportAnswer, error) {
	ans := api.ReportAnswer{Term: r.term.Number, Orders: []api.Order{}}
	if rep.Term > r.term.Number {
		// The machine has seen a later term than this one.
		r.depose()
		return ans, &api.NotLeaderError{}
	}
	if !r.loaded {
		// This keeps the lease and makes the machine heard. What is known to be
		// cancelled must not live on by it.
		ans.Orders = r.c.stopCancelled(rep, nil)
		return ans, nil
	}
	if r.returned.Contains(rep.Machine) {
		return ans, api.ErrUnavailable // given back; this was held up on its way
	}
	m := r.machines[rep.Machine]
	if rep.Term < r.term.Number && (m != nil || r.expected[rep.Machine] == nil) {
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
		m = r.addMachine(strings.Clone(rep.Machine), strings.Clone(rep.Type), strings.Clone(rep.Zone), rep.Spot, now)
		r.c.Log.Info("machine up", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot)
	}
	if rep.Session < m.session || (rep.Session == m.session && rep.Seq <= m.seq) {
		return ans, nil // older than what is known
	}
	ans.Orders = r.processNew(m, rep, from, ans.Orders, now)
	return ans, nil
}

// processNew updates the state of a machine by a report that is newer than all
// before it, and adds the orders that answer it.
func (r *leadership) processNew(m *machine, rep *api.Report, from origin, orders []api.Order, now time.Time) []api.Order {
	r.updateMachine(m, rep, now)
	orders = r.reconcile(m, rep, from, orders, now)
	if m.unheeded == 0 {
		m.probeFails = 0
	}
	r.enrollUnknown(m)
	if rep.Term == r.term.Number {
		r.countHeard(m)
		if from == ownReport {
			orders = r.place(m, orders, now)
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
func (r *leadership) updateMachine(m *machine, rep *api.Report, now time.Time) {
	if m.session != 0 && rep.Session > m.session {
		if r.punctual(now.Add(-r.c.Settings.Site.Workers.Lease() - r.hearable())) {
			m.unheeded++ // its lease has ended although it was answered
		}
		m.asked = nil
	}
	m.reports++
	if now.Sub(m.lastReport) > r.hearable() {
		m.markUnmeasured()
	}
	m.lastReport = now
	m.session, m.seq, m.lastSeen = rep.Session, rep.Seq, now
	if m.addr != rep.Addr {
		m.addr = strings.Clone(rep.Addr)
	}
	if m.cpus == 0 {
		if mt, ok := r.c.types.load()[m.typ]; ok {
			m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
		}
	}
	if rep.NoticeS != nil {
		r.notice(m, *rep.NoticeS, now)
	}
}

// enrollUnknown has a machine written to the roster if it is not on it. No
// earlier leader has started anything there, so it counts as heard.
func (r *leadership) enrollUnknown(m *machine) {
	if m.roster != rosterNone || m.cpus <= 0 || m.leaving {
		return
	}
	m.roster = rosterWriting
	m.heard = true
	r.recorder.enroll(m)
}

// lateAnswer is how long before an answer this node may have been held up and the
// answer have gone out too late for it: workers drop what comes after four seconds.
const lateAnswer = 4 * time.Second

// heed checks whether a report shows that the orders of the last answer were
// carried out. To a machine whose reports arrive while answers do not reach it,
// starts would otherwise be sent again and again.
func (r *leadership) heed(m *machine, now time.Time) {
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
	if !r.punctual(m.askedAt.Add(-lateAnswer)) {
		return // the answer may have come too late, by this node's fault
	}
	// One answer may be lost; after a second, the machine is asked first.
	if m.unheeded++; m.unheeded > 1 {
		m.pauseUntil = now.Add(min(r.c.Settings.Site.Workers.Report()<<min(m.unheeded, 5), 30*time.Second))
	}
	m.nextProbe = now
	r.c.Log.Debug("orders not carried out", "machine", m.name, "orders", len(m.asked), "times", m.unheeded)
}

// notice handles the cloud's notice that it will take the machine.
func (r *leadership) notice(m *machine, seconds float64, now time.Time) {
	left := time.Duration(seconds * float64(time.Second))
	first := m.reclaim.IsZero()
	m.reclaim = now.Add(left)
	if !first {
		return
	}
	r.leave(m, "taken by the cloud")
	for _, a := range m.attempts {
		if a.exited || a.job == nil {
			continue
		}
		s := &a.job.spec
		if s.CheckpointS > 0 {
			r.stop(a, left, now)
		} else if a.runningAt.IsZero() || a.runningAt.Add(s.Estimate()).After(m.reclaim) {
			// It would not end in time; elsewhere it can begin now.
			r.stop(a, 0, now)
		}
	}
}

// stop marks an attempt to be stopped by the answers to its machine's reports.
func (r *leadership) stop(a *attempt, grace time.Duration, now time.Time) {
	if a.stop != nil && a.stop.grace <= grace {
		return
	}
	a.stop = &stopOrder{grace: grace, since: now}
}

// reconcile brings the machine's attempts in line with its report.
func (r *leadership) reconcile(m *machine, rep *api.Report, from origin, orders []api.Order, now time.Time) []api.Order {
	// Stops go before reaps: a machine that has ended more tasks than an answer
	// holds orders would run what is cancelled on, while its lease is renewed.
	reaps := r.updateAttempts(m, rep, now)
	if from == ownReport {
		r.heed(m, now)
	}
	for key, a := range m.attempts {
		if a.seen != m.reports {
			if !a.mayCome(rep) && !(from == drawnReport && a.onItsWay(rep)) {
				r.unreported(a)
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
			r.stop(a, 0, now)
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
func (r *leadership) updateAttempts(m *machine, rep *api.Report, now time.Time) []api.Order {
	var reaps []api.Order
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		a := m.attempts[key]
		if a == nil {
			a = r.adopt(m, key, t, now)
		}
		a.seen = m.reports
		r.update(a, t, now)
		if a.exited && r.reapable(a) && len(reaps) < maxOrders {
			reaps = append(reaps, api.Order{Verb: api.VerbReap, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return reaps
}

// unreported removes an attempt that a newer report does not name, which shows
// that it is off the machine: reaped, killed with its session, or never begun.
func (r *leadership) unreported(a *attempt) {
	if !a.exited && !a.noted && a.phase == "" {
		r.c.Log.Debug("start lost", "machine", a.machine.name, "task", a.key.ref, "attempt", a.key.id)
	}
	r.offMachine(a)
}

// hasImage notes that a machine has a job's image.
func (r *leadership) hasImage(m *machine, s *api.JobSpec, now time.Time) {
	m.images.use(s, r.c.types.load()[m.typ].CacheGB, now)
}

// adopt adds an attempt that this leader did not start.
func (r *leadership) adopt(m *machine, key attemptKey, t *api.TaskReport, now time.Time) *attempt {
	key.ref = strings.Clone(key.ref)
	a := &attempt{key: key, machine: m, phase: t.Phase, sentAt: now}
	m.attempts[key] = a
	id, task, ok := splitRef(key.ref)
	if j := r.jobs[id]; ok && j != nil && task < j.spec.Tasks {
		a.job, a.task = j, task
	}
	if a.job != nil && (t.Phase == api.TaskRunning || t.Phase == api.TaskSaving || t.Cause == api.CauseDone) {
		r.hasImage(m, &a.job.spec, now)
	}
	if t.Phase == api.TaskExited {
		a.exited = true
		return a
	}
	a.charge(1)
	if a.job != nil && (a.job.live[task] == nil || a.job.live[task].key.id < key.id) {
		// Of two attempts the later one is kept: it was begun only when the
		// earlier one was known to be off its machine.
		a.job.live[task] = a
		a.job.flight.Take(task)
		a.job.flight.Join(m.name)
	}
	return a
}

// update applies what a report says of an attempt.
func (r *leadership) update(a *attempt, t *api.TaskReport, now time.Time) {
	was := a.phase
	a.phase = t.Phase
	if a.phase == api.TaskRunning && was != api.TaskRunning {
		a.runningAt = now
		if a.job != nil {
			if a.job.firstStart.IsZero() {
				a.job.firstStart = now
				record(r.counts.firstStart, now.Sub(a.job.since))
			}
			a.job.lastStart = now
			r.hasImage(a.machine, &a.job.spec, now)
		}
	}
	if t.Phase != api.TaskExited {
		return
	}
	if !a.exited {
		a.exited = true
		a.charge(-1)
	}
	if a.noted {
		return
	}
	a.noted = true
	r.exit(a, t, now)
}

// exit handles the end of an attempt by its cause.
func (r *leadership) exit(a *attempt, t *api.TaskReport, now time.Time) {
	j, m := a.job, a.machine
	if j == nil {
		return
	}
	if t.Cause == api.CauseDone {
		if !a.runningAt.IsZero() {
			r.ran(a, now.Sub(a.runningAt), now)
		}
		r.taskDone(j, a.task, now)
		j.faulty = 0
		m.pause = 0
		clear(m.errorJobs)
		r.hasImage(m, &j.spec, now)
	}
	r.release(a)
	switch t.Cause {
	case api.CauseError:
		r.failed(a, now)
	case api.CauseNoRoom, api.CauseBusy, api.CauseNoSuch:
		r.c.Log.Debug("start refused", "machine", m.name, "task", a.key.ref, "why", t.Cause)
		m.pauseUntil = now.Add(time.Second)
	}
}

// release gives an attempt's task back to its job, unless it is done or held
// by another attempt.
func (r *leadership) release(a *attempt) {
	j := a.job
	if j == nil || j.live[a.task] != a {
		return
	}
	delete(j.live, a.task)
	if !j.done.Test(uint(a.task)) {
		j.lost++
		r.counts.lost++
		j.flight.Release(a.task)
	}
}

// offMachine removes an attempt that is no longer on its machine.
func (r *leadership) offMachine(a *attempt) {
	delete(a.machine.attempts, a.key)
	if !a.exited {
		a.exited = true
		a.charge(-1)
	}
	r.release(a)
}

// reapable tells whether an exited attempt may be dropped from the reports: a
// completed one only once that is on record, so that a new leader finds it.
func (r *leadership) reapable(a *attempt) bool {
	j := a.job
	return j == nil || j.over || !j.done.Test(uint(a.task)) || j.durable.Test(uint(a.task))
}

// failed handles a task that ended with an error. Mostly the machine is at
// fault; a job whose tasks fail on several machines and complete on none is.
func (r *leadership) failed(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	j.errors[m.name]++
	j.barred[a.task] = m.name
	if j.doneCount == 0 && len(j.errors) >= 3 {
		j.faulty++
		hold := min(5*time.Second<<min(j.faulty, 4), time.Minute)
		j.heldUntil = now.Add(hold)
		if j.faulty == 1 {
			r.c.Log.Info("job fails on every machine", "job", j.spec.ID, "machines", len(j.errors))
			for name := range j.errors {
				if o := r.machines[name]; o != nil {
					delete(o.errorJobs, j.spec.ID)
				}
			}
		}
		return
	}
	m.errorJobs[j.spec.ID]++
	m.pause = min(max(2*m.pause, time.Second), 30*time.Second)
	m.pauseUntil = now.Add(m.pause)
	if len(m.errorJobs) >= 2 || (j.doneCount > 0 && m.errorJobs[j.spec.ID] >= 2) {
		if !m.leaving {
			r.c.Log.Info("machine quarantined", "machine", m.name, "jobs", len(m.errorJobs))
			r.leave(m, "fails tasks")
			for _, o := range m.attempts {
				if !o.exited && o.job != nil {
					r.stop(o, o.job.spec.Save()*2, now)
				}
			}
		}
	}
}

// place pulls tasks for a machine with free room.
func (r *leadership) place(m *machine, orders []api.Order, now time.Time) []api.Order {
	if !m.open(now) || !r.mayStart(now) {
		return orders
	}
	m.lookFetches()
	for len(orders) < maxOrders {
		j := r.pick(m, now)
		if j == nil {
			break
		}
		j.flight.Join(m.name)
		task, ok := j.flight.PullExcept(m.name, func(t int) bool { return j.barred[t] == m.name })
		if !ok {
			break
		}
		a := &attempt{key: attemptKey{j.taskRef(task), r.nextAttempt()}, machine: m, job: j, task: task,
			sentSession: m.session, sentAt: now}
		m.attempts[a.key] = a
		if !m.images.has(j.spec.Image) {
			m.fetching[j.spec.Image] = true
		}
		j.passed = time.Time{}
		j.live[task] = a
		a.charge(1)
		r.counts.started++
		orders = append(orders, api.Order{Verb: api.VerbStart, Task: a.key.ref, Attempt: a.key.id})
	}
	return orders
}

// pick chooses the job whose flight this machine serves next. What the teams'
// guarantees cover comes first: no team waits for another there, so the job
// that must begin soonest is taken. What they borrow is served by the teams in
// turn by shares, urgent work before the rest.
func (r *leadership) pick(m *machine, now time.Time) *job {
	if m.freeCPUs() < slack && m.gpus <= m.usedGPUs {
		return nil
	}
	if j := r.behindFirst(m, now); j != nil {
		return j
	}
	for _, suited := range []bool{true, false} {
		var best *job
		for _, t := range r.turns {
			j := r.first(t, m, true, suited, now)
			if j != nil && (best == nil || queue.Before(j, best)) {
				best = j
			}
		}
		if best != nil {
			return best
		}
		queue.Turns(r.turns)
		for _, t := range r.turns {
			j := r.first(t, m, false, suited, now)
			if j != nil && (best == nil || queue.Urgency(j) < queue.Urgency(best)) {
				best = j
			}
		}
		if best != nil {
			return best
		}
	}
	return r.loans.pickGuest(m, now)
}

// Jobs that cannot be in time give way to those that can, but not without
// end, or under lasting overload the largest would never run. One that has had
// no start for a part of the time in which every job must begin goes before
// all; and of all starts, one in behindShare goes to the job that has waited
// longest, once that is long.
const (
	beginWithin = 90 * time.Second
	longWait    = 2 * time.Minute
	behindShare = 8
)

// behindFirst is the job that goes before all others on a machine, if any.
func (r *leadership) behindFirst(m *machine, now time.Time) *job {
	var best *job
	turn := r.attempts%behindShare == 0
	if !turn && r.overlooked == 0 {
		return nil
	}
	for _, t := range r.turns {
		for _, j := range t.Items() {
			if j.flight.Untaken() == 0 || !(j.overlooked && !j.begun() || turn && j.behind(now)) {
				continue
			}
			if (best == nil || j.since.Before(best.since)) && r.eligible(j, m, now) {
				best = j
			}
		}
	}
	return best
}

// first is the first job of a team's queue that this machine may serve, among
// those whose next task is within the guarantee or among the others, and among
// those that the machine suits or among all.
func (r *leadership) first(t *queue.Team[*job], m *machine, guaranteed, suited bool, now time.Time) *job {
	for _, j := range t.Items() {
		if j.flight.Untaken() > 0 && t.Guaranteed(j.spec.CPUs, j.spec.GPUs) == guaranteed &&
			r.eligible(j, m, now) && (!(suited || j.hurries(now)) || r.suits(j, m, now)) && !r.betterElsewhere(j, m, now) {
			return j
		}
	}
	return nil
}

// eligible tells whether the next task of a job may start on a machine.
func (r *leadership) eligible(j *job, m *machine, now time.Time) bool {
	s := &j.spec
	switch {
	case j.over || j.finishing || j.handover || j.lent != nil || now.Before(j.heldUntil):
		return false
	case j.guest != nil && !j.withinGrant():
		return false
	case r.unheard > 0 && j.mark <= r.term.Mark:
		// A machine not heard in this term may hold any task that was
		// accepted before it.
		return false
	case !m.fits(s) || !typeAllowed(s, m.typ) || (s.Zone != "" && s.Zone != m.zone) || (m.spot && !s.Spot):
		return false
	case !j.team.Allowed(s.CPUs, s.GPUs, r.unheardCPUs+r.foreignCPUs, r.unheardGPUs):
		return false
	case j.errors[m.name] >= 2 || j.onlyBarred(m) || !(m.canFetch(s.Image, r.fetches) || r.quickFetch(j, m)):
		return false
	}
	if s.OneZone {
		for z, n := range j.zones {
			if n > 0 && z != m.zone {
				return false
			}
		}
	}
	return !s.Spread || j.zones[m.zone] < (s.Tasks+1)/2
}

// betterElsewhere tells whether machines that suit a job better have room for
// all that waits of it. They are left to pull it at their next reports: the
// work gathers where its image is, on cheap machines and on those in use, and
// the others become empty and go back to the cloud. A job that has waited
// for its grace is taken by anybody.
func (r *leadership) betterElsewhere(j *job, m *machine, now time.Time) bool {
	if now.Sub(j.waiting) > r.grace {
		return false
	}
	if now.Sub(j.room.at) >= tickInterval {
		r.findRoom(j, now)
	}
	return j.room.below(r.placementCost(j, m)-0.5) >= j.flight.Untaken()
}

// room is how many tasks of a job the open machines have room for, by how well
// they suit it. It is looked at by each machine that might take the job, so it
// is found once a tick: looking through the whole fleet each time took a
// leader of 700 machines most of its processor when a job came.
type room struct {
	at    time.Time
	costs []float64
	// slots are sums: what the machines up to each cost have room for.
	slots []int
}

// below is the room on machines of at most a cost.
func (o *room) below(cost float64) int {
	n, found := slices.BinarySearch(o.costs, cost)
	for found && n < len(o.costs) && o.costs[n] == cost {
		n++
	}
	if n == 0 {
		return 0
	}
	return o.slots[n-1]
}

// findRoom looks through the fleet for room for a job.
func (r *leadership) findRoom(j *job, now time.Time) {
	type place struct {
		cost  float64
		slots int
	}
	var places []place
	for _, m := range r.machines {
		if m.open(now) && m.fits(&j.spec) && (!m.spot || j.spec.Spot) {
			places = append(places, place{r.placementCost(j, m), m.slots(&j.spec)})
		}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.cost, b.cost) })
	j.room = room{at: now, costs: j.room.costs[:0], slots: j.room.slots[:0]}
	sum := 0
	for _, p := range places {
		sum += p.slots
		j.room.costs = append(j.room.costs, p.cost)
		j.room.slots = append(j.room.slots, sum)
	}
}

// quickFetch tells whether an image is fetched sooner than the machine would
// report again.
func (r *leadership) quickFetch(j *job, m *machine) bool {
	rate := r.c.types.load()[m.typ].FetchGBs
	return rate > 0 && j.spec.ImageGB/rate < 2*r.c.Settings.Site.Workers.ReportS
}

// misplaced is what it counts for, in seconds, if work that saves nothing is on a
// machine that the cloud may take back, or work that does on one of the others,
// where it takes the room of that which does not. Nearly all jobs that were late
// while the fleet had room had lost tasks to machines taken.
const misplaced = 8

// placementCost is how badly a machine suits a job, in seconds lost: the time to
// fetch the image, and a measure of what it costs to keep the machine.
func (r *leadership) placementCost(j *job, m *machine) float64 {
	mt := r.c.types.load()[m.typ]
	lost := 0.0
	if !m.images.has(j.spec.Image) && mt.FetchGBs > 0 {
		lost += j.spec.ImageGB / mt.FetchGBs
	}
	if m.usedCPUs < slack {
		lost += 4
	}
	if p := r.provisioner.cpuPrice(m); p > 0 {
		lost += p/r.provisioner.cheapest() - 1
	}
	if m.spot != (j.spec.CheckpointS > 0) {
		lost += misplaced
	}
	return lost + m.freeCPUs()/m.cpus
}

// onlyBarred tells whether every untaken task of a job failed on a machine.
func (j *job) onlyBarred(m *machine) bool {
	if len(j.barred) == 0 {
		return false
	}
	n := 0
	for task, name := range j.barred {
		if name == m.name && !j.done.Test(uint(task)) && j.live[task] == nil {
			n++
		}
	}
	return n >= j.flight.Untaken()
}
