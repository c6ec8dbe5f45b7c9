package controller

import (
	"math"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
)

// guestTeam returns the queue of a home cell's guests, which has no guarantee, and creates it if
// necessary.
func (l *loans) guestTeam(home string) *queue.Team[*cluster.Job] {
	t := l.guestTeams[home]
	if t == nil {
		// The queue needs no limits: the budgets of the loans bound its use, and guests
		// are preempted for the guarantees of the cell's own teams.
		t = &queue.Team[*cluster.Job]{
			Name:      "guests of " + home,
			LimitCPUs: math.MaxFloat64,
			LimitGPUs: math.MaxFloat64,
		}
		l.guestTeams[home] = t
		l.guestFairShareOrder = append(l.guestFairShareOrder, t)
	}
	return t
}

// nextGuest returns the guest that a machine serves next if no job of the cell itself is
// eligible, or nil.
func (l *loans) nextGuest(m *cluster.Machine, now time.Time) *cluster.Job {
	if len(l.guestFairShareOrder) == 0 {
		return nil
	}
	queue.SortByShare(l.guestFairShareOrder)
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			if j.Flight.Untaken() > 0 && l.leaderTerm.isEligible(j, m, now) {
				return j
			}
		}
	}
	return nil
}

// buildAdvert returns the cell's spare capacity: the free capacity of its machines, less the
// demand of queued tasks, of its own jobs and of guests. The CPUs are also bounded by the part
// of policy.Spill.GuestShare that guests do not use yet.
func (l *loans) buildAdvert(now time.Time) loan.Advert {
	lt := l.leaderTerm
	advert := loan.Advert{CancelS: lt.c.Settings.Site.Workers.CancelS}
	capacity := l.schedulableCapacity(now)
	advert.CPUs, advert.GPUs = capacity.freeCPUs, capacity.freeGPUs
	guests := 0.0
	for _, j := range lt.jobs {
		if j.Lent != nil || j.CancelPending || len(j.DependsOn) > 0 {
			continue
		}
		cpus := float64(j.Flight.Untaken()) * j.Spec.CPUs
		if j.Guest != nil {
			cpus = min(cpus, j.Guest.Budget.CPUs)
			guests += float64(len(j.ActiveAttempts))*j.Spec.CPUs + cpus
		}
		advert.CPUs -= cpus
		advert.GPUs -= float64(j.Flight.Untaken()) * j.Spec.GPUs
	}
	advert.CPUs = max(0, min(advert.CPUs, lt.c.Policy.Spill.GuestShare*capacity.cpus-guests))
	advert.GPUs = max(0, advert.GPUs)
	for _, t := range lt.c.machineTypes.load() {
		advert.Types = append(advert.Types, t)
	}
	slices.SortFunc(advert.Types, func(x, y api.MachineType) int { return strings.Compare(x.Name, y.Name) })
	advert.Accepting = advert.CPUs > 0 && lt.unfenced == 0 && l.enabled()
	return advert
}

// guestStartTimeout is how long a guest may wait for its first start before it is returned to
// its home cell.
const guestStartTimeout = 20 * time.Second

// reviewGuests records the completion of guests, returns those that have waited too long for
// their first start, and preempts guests for the guarantees of the cell's own teams.
func (l *loans) reviewGuests(now time.Time) {
	lt := l.leaderTerm
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			switch {
			case j.HandoverPending || lt.unfenced > 0:
			case j.DoneCount == j.Spec.Tasks:
				l.guestDone(j) // the record of its end is missing
			case now.Sub(j.WaitingSince) > guestStartTimeout && !j.Started():
				l.returnGuest(j)
			}
		}
	}
	l.preemptGuests(now)
}

// shortageDuration is how long guarantees must lack capacity before guests are preempted.
const shortageDuration = time.Second

// preemptGuests stops as many tasks of guests as the guarantees of the cell's teams require, the
// most recently started first.
func (l *loans) preemptGuests(now time.Time) {
	if len(l.guestFairShareOrder) == 0 {
		return
	}
	shortage := l.guaranteeShortage(now)
	if shortage <= 0 {
		l.shortageSince = time.Time{}
		return
	}
	if l.shortageSince.IsZero() {
		l.shortageSince = now
	}
	if now.Sub(l.shortageSince) < shortageDuration {
		return
	}
	var running []*cluster.Attempt
	for _, t := range l.guestFairShareOrder {
		for _, j := range t.Items() {
			for _, a := range j.ActiveAttempts {
				if a.Stop != nil {
					shortage -= j.Spec.CPUs // already being stopped
				} else {
					running = append(running, a)
				}
			}
		}
	}
	slices.SortFunc(running, func(a, b *cluster.Attempt) int { return b.SentAt.Compare(a.SentAt) })
	for _, a := range running {
		if shortage <= 0 {
			return
		}
		shortage -= a.Job.Spec.CPUs
		l.counts.Stopped++
		l.leaderTerm.requestStop(a, 2*a.Job.Spec.SaveDuration(), now)
	}
}

// guaranteeShortage returns how many CPUs are missing for the queued tasks within the teams'
// guarantees. A negative result is the number of CPUs that would remain free.
func (l *loans) guaranteeShortage(now time.Time) float64 {
	lt := l.leaderTerm
	shortage := -l.schedulableCapacity(now).freeCPUs
	for _, t := range lt.fairShareOrder {
		left := t.GuaranteedCPUs - t.UsedCPUs
		for _, j := range t.Items() {
			if left <= 0 {
				break
			}
			if j.Finishing || j.BackoffCount > 0 || now.Before(j.BackoffUntil) {
				continue
			}
			cpus := min(left, float64(j.Flight.Untaken())*j.Spec.CPUs)
			left -= cpus
			shortage += cpus
		}
	}
	return shortage
}

// schedulableCapacity is the total and free capacity of the schedulable machines at a time.
type schedulableCapacity struct {
	at                       time.Time
	cpus, freeCPUs, freeGPUs float64
}

// schedulableCapacity returns the capacity of the schedulable machines. It is computed at most
// once per leaderTickInterval.
func (l *loans) schedulableCapacity(now time.Time) schedulableCapacity {
	if now.Sub(l.cachedCapacity.at) < leaderTickInterval {
		return l.cachedCapacity
	}
	l.cachedCapacity = schedulableCapacity{at: now}
	for _, m := range l.leaderTerm.machines {
		if m.IsSchedulable(now) {
			l.cachedCapacity.cpus += m.CPUs
			l.cachedCapacity.freeCPUs += m.FreeCPUs()
			l.cachedCapacity.freeGPUs += m.GPUs - m.UsedGPUs
		}
	}
	return l.cachedCapacity
}
