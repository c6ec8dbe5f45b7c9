package controller

import (
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/store"
)

// scanHome looks once a second at what to lend and what to take back.
func (l *loans) scanHome(now time.Time) {
	r := l.leadership
	waits := l.predictedStarts(now)
	l.recall(waits, now)
	if !l.enabled() || r.unheard > 0 || !r.mayStart(now) {
		return
	}
	for _, n := range l.neighbours {
		if n.lost || now.Sub(n.heard) > advertLife || !n.advert.Accepting || n.advert.CancelS > r.c.Settings.Site.Workers.CancelS {
			continue
		}
		l.lendTo(n, waits, now)
	}
}

// predictedStart is when a job of the queue is expected to begin here.
type predictedStart struct {
	job  *job
	wait time.Duration
}

// predictedStarts goes through what waits in the order in which it is served, and sums up
// the work before each job by the CPUs there are.
func (l *loans) predictedStarts(now time.Time) []predictedStart {
	r := l.leadership
	room := l.openRoom(now)
	free, work := room.freeCPUs, 0.0
	for _, j := range r.jobs {
		// What runs is about half through.
		work += float64(len(j.live)) * j.spec.CPUs * j.spec.EstimateS / 2
	}
	var jobs []*job
	for _, t := range r.turns {
		for _, j := range t.Items() {
			if j.flight.Untaken() > 0 && !j.finishing {
				jobs = append(jobs, j)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		switch {
		case queue.Before(a, b):
			return -1
		case queue.Before(b, a):
			return 1
		}
		return 0
	})
	latest := time.Duration(1<<62 - 1)
	if len(r.provisioner.offers(now)) > 0 {
		latest = r.provisioner.longestBoot() + r.c.Settings.Site.Workers.Report()
	}
	out := make([]predictedStart, 0, len(jobs))
	for _, j := range jobs {
		want := float64(j.flight.Untaken()) * j.spec.CPUs
		out = append(out, predictedStart{j, min(loan.PredictedWait(work, room.cpus, free), latest)})
		free -= want
		work += want * j.spec.EstimateS
	}
	return out
}

// lendTo offers a neighbour the jobs that would gain most by it.
func (l *loans) lendTo(n *neighbour, waits []predictedStart, now time.Time) {
	out, offers := 0, 0
	for _, j := range l.leadership.jobs {
		switch {
		case j.lent != nil && j.lent.Host == n.cell:
			if out++; j.remote.Phase == loan.PhaseUnknown {
				offers++
			}
		case j.handover:
			offers++
		}
	}
	policy := &l.leadership.c.Policy.Spill
	spare := n.advert.CPUs
	for i := len(waits) - 1; i >= 0 && out < l.leadership.c.Cells.MaxLoans && offers < mostOffers; i-- {
		j := waits[i].job
		there := n.delay + transferTime + fetchTime(&j.spec, n.advert.Types)
		if waits[i].wait-there < policy.Gain || now.Sub(j.since) < policy.After || spare < j.spec.CPUs || !l.lendable(j, n, now) {
			continue
		}
		grant := l.grant(j, spare)
		if grant.CPUs < j.spec.CPUs {
			continue
		}
		spare -= grant.CPUs
		out++
		offers++
		l.lend(j, n, grant)
	}
}

// lendable tells whether a job may be lent to a neighbour at all.
func (l *loans) lendable(j *job, n *neighbour, now time.Time) bool {
	r := l.leadership
	policy := &r.c.Policy.Spill
	switch {
	case j.lent != nil || j.guest != nil || j.handover || j.over || j.finishing || j.cancelPending || len(j.awaits) > 0:
		return false
	case l.changing[loanName(r.c.Cells.Cell, j.spec.ID)]:
		return false // what the watch has shown already is yet to be answered
	case j.begun() || j.lost > 0 || j.done.Any() || len(j.chunks) > 0:
		return false
	case !store.FitsRecord(store.ActiveRecord{Lent: &loan.Lent{Host: n.cell, Spec: j.spec}}, r.c.Settings.Site.State.ValueKB):
		return false
	case j.lends >= policy.Lends || now.Sub(j.lentBefore[n.cell]) < policy.Cooldown:
		return false
	}
	return slices.ContainsFunc(n.advert.Types, func(t api.MachineType) bool { return taskFits(&j.spec, t) })
}

// grant is what a loan may use at a time: what the job wants, what its team may have, and
// what there is to spare, in whole tasks.
func (l *loans) grant(j *job, spare float64) loan.Grant {
	s := &j.spec
	r := l.leadership
	tasks := 0
	for tasks < s.Tasks && float64(tasks+1)*s.CPUs <= spare+slack &&
		j.team.Allowed(float64(tasks+1)*s.CPUs, float64(tasks+1)*s.GPUs, r.unheardCPUs+r.foreignCPUs, r.unheardGPUs) {
		tasks++
		if s.CPUs <= 0 {
			break
		}
	}
	return loan.Grant{CPUs: float64(tasks) * s.CPUs, GPUs: float64(tasks) * s.GPUs}
}

// fetchTime is how long the slowest type of machine needs to fetch a job's image.
func fetchTime(s *api.JobSpec, types []api.MachineType) time.Duration {
	longest := 0.0
	for _, t := range types {
		if t.FetchGBs > 0 {
			longest = max(longest, s.ImageGB/t.FetchGBs)
		}
	}
	return config.Seconds(longest)
}

// recall wants back what could start here at once and has not begun there.
func (l *loans) recall(waits []predictedStart, now time.Time) {
	r := l.leadership
	free, recalled := l.openRoom(now).freeCPUs, 0
	for _, w := range waits {
		free -= float64(w.job.flight.Untaken()) * w.job.spec.CPUs
	}
	for _, j := range r.jobs {
		if j.wantBack {
			recalled++
			free -= float64(j.spec.Tasks) * j.spec.CPUs
		}
	}
	for _, j := range r.jobs {
		if recalled >= mostRecalls {
			return
		}
		wants := float64(j.spec.Tasks) * j.spec.CPUs
		if j.lent == nil || j.wantBack || j.remote.Phase != loan.PhaseAccepted || wants > free || r.unheard > 0 {
			continue
		}
		j.wantBack = true
		free -= wants
		recalled++
		r.c.Log.Info("loan called back", "job", j.spec.ID, "from", j.lent.Host)
	}
}
