package controller

import (
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// reviewLending decides which jobs to lend and which loans to reclaim.
func (l *loans) reviewLending(now time.Time) {
	lt := l.leaderTerm
	predictions := l.predictedStarts(now)
	l.requestReclaims(predictions, now)
	if !l.enabled() || lt.unfenced > 0 || !lt.mayStart(now) {
		return
	}
	for _, n := range l.neighbours {
		if n.unreachable || now.Sub(n.lastResponse) > advertLifetime || !n.advert.Accepting ||
			n.advert.CancelS > lt.c.Settings.Site.Workers.CancelS {
			continue
		}
		l.lendTo(n, predictions, now)
	}
}

// noWaitLimit is the predicted wait where no machine can be launched to end it sooner.
const noWaitLimit = time.Duration(1<<62 - 1)

// predictedStart is how long a queued job is expected to wait for its start in this cell.
type predictedStart struct {
	job  *cluster.Job
	wait time.Duration
}

// predictedStarts predicts the wait of each queued job, in the order of the queue: the work
// before it, divided by the CPUs of the cell.
func (l *loans) predictedStarts(now time.Time) []predictedStart {
	lt := l.leaderTerm
	capacity := l.schedulableCapacity(now)
	free, work := capacity.freeCPUs, 0.0
	for _, j := range lt.jobs {
		// On average, half of a running task's time remains.
		work += float64(len(j.ActiveAttempts)) * j.Spec.CPUs * j.Spec.EstimateS / 2
	}
	var jobs []*cluster.Job
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			if j.Flight.Untaken() > 0 && !j.Finishing {
				jobs = append(jobs, j)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *cluster.Job) int {
		switch {
		case queue.Before(a, b):
			return -1
		case queue.Before(b, a):
			return 1
		}
		return 0
	})
	latest := noWaitLimit
	if types := lt.c.types.load(); lt.autoscaler.CanLaunch(types, now) {
		latest = autoscaler.LongestBoot(types) + lt.c.Settings.Site.Workers.HeartbeatInterval()
	}
	predictions := make([]predictedStart, 0, len(jobs))
	for _, j := range jobs {
		cpus := float64(j.Flight.Untaken()) * j.Spec.CPUs
		wait := min(loan.PredictedWait(work, capacity.cpus, free), latest)
		predictions = append(predictions, predictedStart{job: j, wait: wait})
		free -= cpus
		work += cpus * j.Spec.EstimateS
	}
	return predictions
}

// lendTo lends a neighbour the jobs that would gain most time by it.
func (l *loans) lendTo(n *neighbour, predictions []predictedStart, now time.Time) {
	lent, offers := 0, 0
	for _, j := range l.leaderTerm.jobs {
		switch {
		case j.Lent != nil && j.Lent.Host == n.cell:
			if lent++; j.Remote.Phase == loan.PhaseUnknown {
				offers++
			}
		case j.Handover:
			offers++
		}
	}
	policy := &l.leaderTerm.c.Policy.Spill
	spare := n.advert.CPUs
	for i := len(predictions) - 1; i >= 0 && lent < l.leaderTerm.c.Cells.MaxLoans && offers < maxOffers; i-- {
		j := predictions[i].job
		there := n.roundTripTime + transferTime + fetchTime(&j.Spec, n.advert.Types)
		if predictions[i].wait-there < policy.Gain || now.Sub(j.RunnableSince) < policy.After ||
			spare < j.Spec.CPUs || !l.lendable(j, n, now) {
			continue
		}
		budget := l.computeBudget(j, spare)
		if budget.CPUs < j.Spec.CPUs {
			continue
		}
		spare -= budget.CPUs
		lent++
		offers++
		l.lendJob(j, n, budget)
	}
}

// lendable reports whether a job may be lent to a neighbour at all.
func (l *loans) lendable(j *cluster.Job, n *neighbour, now time.Time) bool {
	lt := l.leaderTerm
	policy := &lt.c.Policy.Spill
	switch {
	case j.Lent != nil || j.Guest != nil || j.Handover:
		return false
	case j.Ended || j.Finishing || j.CancelPending || len(j.DependsOn) > 0:
		return false
	case l.pendingChanges[loanName(lt.c.Cells.Cell, j.Spec.ID)]:
		return false // the watch has shown a change whose response is outstanding
	case j.Started() || j.LostTasks > 0 || j.Done.Any() || len(j.CompletionChunks) > 0:
		return false
	case !records.FitsRecord(
		records.ActiveRecord{Lent: &loan.Lent{Host: n.cell, Spec: j.Spec}},
		lt.c.Settings.Site.State.ValueKB,
	):
		return false
	case j.LoanCount >= policy.Lends || now.Sub(j.LastReclaimed[n.cell]) < policy.Cooldown:
		return false
	}
	return slices.ContainsFunc(n.advert.Types, func(t api.MachineType) bool { return taskFits(&j.Spec, t) })
}

// computeBudget is what a loan may use at a time, in whole tasks: the least of the job's demand, its
// team's limit and the spare capacity.
func (l *loans) computeBudget(j *cluster.Job, spare float64) loan.Budget {
	s := &j.Spec
	lt := l.leaderTerm
	unknownCPUs := lt.unfencedCPUs + lt.unattributedCPUs
	tasks := 0
	for tasks < s.Tasks {
		cpus, gpus := float64(tasks+1)*s.CPUs, float64(tasks+1)*s.GPUs
		if cpus > spare+cluster.Epsilon || !j.Team.WithinLimit(cpus, gpus, unknownCPUs, lt.unfencedGPUs) {
			break
		}
		tasks++
		if s.CPUs <= 0 {
			break
		}
	}
	return loan.Budget{CPUs: float64(tasks) * s.CPUs, GPUs: float64(tasks) * s.GPUs}
}

// fetchTime is how long the slowest type of machine needs to fetch a job's image.
func fetchTime(s *api.JobSpec, types []api.MachineType) time.Duration {
	longest := 0.0
	for _, t := range types {
		if t.FetchGBs > 0 {
			longest = max(longest, s.ImageGB/t.FetchGBs)
		}
	}
	return config.Duration(longest)
}

// requestReclaims requests the reclaim of loans that could start in this cell at once and have
// not started at their host.
func (l *loans) requestReclaims(predictions []predictedStart, now time.Time) {
	lt := l.leaderTerm
	free, requested := l.schedulableCapacity(now).freeCPUs, 0
	for _, w := range predictions {
		free -= float64(w.job.Flight.Untaken()) * w.job.Spec.CPUs
	}
	for _, j := range lt.jobs {
		if j.ReclaimRequested {
			requested++
			free -= float64(j.Spec.Tasks) * j.Spec.CPUs
		}
	}
	for _, j := range lt.jobs {
		if requested >= maxReclaims {
			return
		}
		cpus := float64(j.Spec.Tasks) * j.Spec.CPUs
		if j.Lent == nil || j.ReclaimRequested || j.Remote.Phase != loan.PhaseAccepted ||
			cpus > free || lt.unfenced > 0 {
			continue
		}
		j.ReclaimRequested = true
		free -= cpus
		requested++
		lt.c.Log.Info("loan reclaim requested", "job", j.Spec.ID, "cell", j.Lent.Host)
	}
}
