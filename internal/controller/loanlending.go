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

// reviewLending requests the reclaim of loans and lends jobs to neighbours. A neighbour whose
// setting workers.cancel_s is longer than this cell's gets no loans, since it may not stop
// cancelled tasks within this cell's limit.
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

// noWaitLimit is the bound on predicted waits while no machine can be launched. It exceeds every
// prediction.
const noWaitLimit = time.Duration(1<<62 - 1)

// predictedStart is a queued job and its predicted wait for a start in this cell.
type predictedStart struct {
	job  *cluster.Job
	wait time.Duration
}

// predictedStarts predicts the wait of each queued job, in the order of the queue: the work that
// runs or is queued before it divided by the CPUs of the cell, and at most the time until a newly
// launched machine could start it.
func (l *loans) predictedStarts(now time.Time) []predictedStart {
	lt := l.leaderTerm
	capacity := l.schedulableCapacity(now)
	free, work := capacity.freeCPUs, 0.0
	for _, j := range lt.jobs {
		// On average, half of the run time of a running task remains.
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
	if types := lt.c.machineTypes.load(); lt.autoscaler.CanLaunch(types, now) {
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

// lendTo lends jobs to a neighbour, those with the longest predicted waits first, as long as the
// limits on loans and the neighbour's spare capacity allow. A job is lent only if it would start
// there sooner by at least policy.Spill.MinGain.
func (l *loans) lendTo(n *neighbour, predictions []predictedStart, now time.Time) {
	lent, offers := 0, 0
	for _, j := range l.leaderTerm.jobs {
		switch {
		case j.Lent != nil && j.Lent.Host == n.cell:
			if lent++; j.RemoteState.Phase == loan.PhaseUnknown {
				offers++
			}
		case j.HandoverPending:
			offers++
		}
	}
	policy := &l.leaderTerm.c.Policy.Spill
	spare := n.advert.CPUs
	for i := len(predictions) - 1; i >= 0 && lent < l.leaderTerm.c.Cells.MaxLoans && offers < maxOffers; i-- {
		j := predictions[i].job
		startDelay := n.roundTripTime + transferTime + fetchTime(&j.Spec, n.advert.Types)
		if predictions[i].wait-startDelay < policy.MinGain || now.Sub(j.RunnableSince) < policy.MinWait ||
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

// lendable reports whether a job may be lent to a neighbour, given the state of the job and the
// neighbour's machine types.
func (l *loans) lendable(j *cluster.Job, n *neighbour, now time.Time) bool {
	lt := l.leaderTerm
	policy := &lt.c.Policy.Spill
	switch {
	case j.Lent != nil || j.Guest != nil || j.HandoverPending:
		return false
	case j.Ended || j.Finishing || j.CancelPending || len(j.DependsOn) > 0:
		return false
	case l.pendingChanges[loanName(lt.c.Cells.Cell, j.Spec.ID)]:
		return false // the watch has shown a change whose transaction has no response yet
	case j.Started() || j.LostTasks > 0 || j.Done.Any() || len(j.CompletionChunks) > 0:
		return false
	case !records.RecordFits(
		records.ActiveRecord{Lent: &loan.Lent{Host: n.cell, Spec: j.Spec}},
		lt.c.Settings.Site.State.ValueKB,
	):
		return false
	case j.LoanCount >= policy.MaxLoansPerJob || now.Sub(j.LastReclaimed[n.cell]) < policy.Cooldown:
		return false
	}
	return slices.ContainsFunc(n.advert.Types, func(t api.MachineType) bool { return taskFits(&j.Spec, t) })
}

// computeBudget returns the budget of a loan, in whole tasks: the least of the job's demand, the
// rest of its team's limit and the spare CPUs of the neighbour.
func (l *loans) computeBudget(j *cluster.Job, spare float64) loan.Budget {
	s := &j.Spec
	lt := l.leaderTerm
	tasks := 0
	for tasks < s.Tasks {
		cpus, gpus := float64(tasks+1)*s.CPUs, float64(tasks+1)*s.GPUs
		if cpus > spare+cluster.Epsilon || !lt.withinLimit(j.Team, cpus, gpus) {
			break
		}
		tasks++
		if s.CPUs <= 0 {
			break
		}
	}
	return loan.Budget{CPUs: float64(tasks) * s.CPUs, GPUs: float64(tasks) * s.GPUs}
}

// fetchTime returns how long the type of machine with the slowest network needs to fetch a job's
// image.
func fetchTime(s *api.JobSpec, types []api.MachineType) time.Duration {
	longestS := 0.0
	for _, t := range types {
		if t.FetchGBs > 0 {
			longestS = max(longestS, s.ImageGB/t.FetchGBs)
		}
	}
	return config.Duration(longestS)
}

// requestReclaims requests the reclaim of loans that have not started at their host and that
// would fit into this cell's free capacity besides the queued jobs.
func (l *loans) requestReclaims(predictions []predictedStart, now time.Time) {
	lt := l.leaderTerm
	free, requested := l.schedulableCapacity(now).freeCPUs, 0
	for _, p := range predictions {
		free -= float64(p.job.Flight.Untaken()) * p.job.Spec.CPUs
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
		if j.Lent == nil || j.ReclaimRequested || j.RemoteState.Phase != loan.PhaseAccepted ||
			cpus > free || lt.unfenced > 0 {
			continue
		}
		j.ReclaimRequested = true
		free -= cpus
		requested++
		lt.c.Log.Info("loan reclaim requested", "job", j.Spec.ID, "cell", j.Lent.Host)
	}
}
