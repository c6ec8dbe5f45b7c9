package controller

import (
	"math"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
)

// guestTeam is the queue of a home cell's guests. They have no guarantee.
func (l *loans) guestTeam(home string) *queue.Team[*job] {
	t := l.guestTeams[home]
	if t == nil {
		// What it may use is bounded by the grants; the guarantees of the cell's own
		// teams go before it.
		t = &queue.Team[*job]{Name: "guests of " + home, LimitCPUs: math.MaxFloat64, LimitGPUs: math.MaxFloat64}
		l.guestTeams[home] = t
		l.guestFairShareOrder = append(l.guestFairShareOrder, t)
	}
	return t
}

// withinGrant tells whether a guest may start one more task. All that may be on a machine
// counts.
func (j *job) withinGrant() bool {
	running := 0
	for _, n := range j.zones {
		running += n
	}
	s, grant := &j.spec, &j.guest.Grant
	return float64(running+1)*s.CPUs <= grant.CPUs+epsilon && (s.GPUs == 0 || float64(running+1)*s.GPUs <= grant.GPUs+epsilon)
}

// pickGuest chooses the guest that a machine serves next, when no own job can use it.
func (l *loans) pickGuest(m *machine, now time.Time) *job {
	if len(l.guestFairShareOrder) == 0 {
		return nil
	}
	queue.SortByShare(l.guestFairShareOrder)
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			if j.flight.Untaken() > 0 && l.leaderTerm.eligible(j, m, now) {
				return j
			}
		}
	}
	return nil
}

// advert is what this cell has to spare: the free room on its machines, less what waits
// of its own jobs and of guests.
func (l *loans) advert(now time.Time) loan.Advert {
	lt := l.leaderTerm
	a := loan.Advert{CancelS: lt.c.Settings.Site.Workers.CancelS}
	room := l.openRoom(now)
	a.CPUs, a.GPUs = room.freeCPUs, room.freeGPUs
	guests := 0.0
	for _, j := range lt.jobs {
		if j.lent != nil || j.cancelPending || len(j.dependsOn) > 0 {
			continue
		}
		cpus := float64(j.flight.Untaken()) * j.spec.CPUs
		if j.guest != nil {
			cpus = min(cpus, j.guest.Grant.CPUs)
			guests += float64(len(j.activeAttempts))*j.spec.CPUs + cpus
		}
		a.CPUs -= cpus
		a.GPUs -= float64(j.flight.Untaken()) * j.spec.GPUs
	}
	a.CPUs = max(0, min(a.CPUs, lt.c.Policy.Spill.GuestShare*room.cpus-guests))
	a.GPUs = max(0, a.GPUs)
	for _, t := range lt.c.types.load() {
		a.Types = append(a.Types, t)
	}
	slices.SortFunc(a.Types, func(x, y api.MachineType) int { return strings.Compare(x.Name, y.Name) })
	a.Accepting = a.CPUs > 0 && lt.unfenced == 0 && l.enabled()
	return a
}

// giveBackAfter is how long a guest may wait here for its first start.
const giveBackAfter = 20 * time.Second

// scanHost looks once a second after the guests.
func (l *loans) scanHost(now time.Time) {
	lt := l.leaderTerm
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			switch {
			case j.handover || lt.unfenced > 0:
			case j.doneCount == j.spec.Tasks:
				l.guestDone(j) // it was not recorded yet
			case now.Sub(j.waitingSince) > giveBackAfter && !j.started():
				l.giveBack(j)
			}
		}
	}
	l.makeRoom(now)
}

// shortFor is how long a guarantee must lack room before guests are stopped for it.
const shortFor = time.Second

// makeRoom stops guests whose room a team's guarantee needs, those that began last first.
func (l *loans) makeRoom(now time.Time) {
	if len(l.guestFairShareOrder) == 0 {
		return
	}
	lack := l.lackOfGuarantees(now)
	if lack <= 0 {
		l.shortSince = time.Time{}
		return
	}
	if l.shortSince.IsZero() {
		l.shortSince = now
	}
	if now.Sub(l.shortSince) < shortFor {
		return
	}
	var running []*attempt
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			for _, a := range j.activeAttempts {
				if a.stop != nil {
					lack -= j.spec.CPUs // its room is about to be free
				} else {
					running = append(running, a)
				}
			}
		}
	}
	slices.SortFunc(running, func(a, b *attempt) int { return b.sentAt.Compare(a.sentAt) })
	for _, a := range running {
		if lack <= 0 {
			return
		}
		lack -= a.job.spec.CPUs
		l.counts.Stopped++
		l.leaderTerm.stop(a, 2*a.job.spec.Save(), now)
	}
}

// lackOfGuarantees is how many CPUs waiting work within the teams' guarantees lacks.
func (l *loans) lackOfGuarantees(now time.Time) float64 {
	lt := l.leaderTerm
	lack := -l.openRoom(now).freeCPUs
	for _, t := range lt.fairShareOrder {
		left := t.CPUs - t.UsedCPUs
		for _, j := range t.Items() {
			if left <= 0 {
				break
			}
			if j.finishing || j.failureRounds > 0 || now.Before(j.backoffUntil) {
				continue
			}
			cpus := min(left, float64(j.flight.Untaken())*j.spec.CPUs)
			left -= cpus
			lack += cpus
		}
	}
	return lack
}

// openRoom is what the open machines have, and have free.
type openRoom struct {
	at                       time.Time
	cpus, freeCPUs, freeGPUs float64
}

// openRoom sums up the open machines, once a tick.
func (l *loans) openRoom(now time.Time) openRoom {
	if now.Sub(l.room.at) < tickInterval {
		return l.room
	}
	l.room = openRoom{at: now}
	for _, m := range l.leaderTerm.machines {
		if m.isSchedulable(now) {
			l.room.cpus += m.cpus
			l.room.freeCPUs += m.freeCPUs()
			l.room.freeGPUs += m.gpus - m.usedGPUs
		}
	}
	return l.room
}
