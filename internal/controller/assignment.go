package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/queue"
)

// assignTasks assigns tasks to a machine while it has free capacity, and appends their starts to
// the commands.
func (lt *leaderTerm) assignTasks(m *cluster.Machine, commands []api.Command, now time.Time) []api.Command {
	if !m.IsSchedulable(now) || !lt.mayStart(now) {
		return commands
	}
	m.UpdateFetching()
	for len(commands) < maxCommands {
		j := lt.nextJob(m, now)
		if j == nil {
			break
		}
		j.Flight.Join(m.Name)
		task, ok := j.Flight.PullExcept(m.Name, func(t int) bool { return j.ExcludedMachine[t] == m.Name })
		if !ok {
			break
		}
		a := &cluster.Attempt{
			Key:            cluster.AttemptKey{Ref: j.TaskRef(task), ID: lt.nextAttempt()},
			Machine:        m,
			Job:            j,
			Task:           task,
			SentAgentEpoch: m.AgentEpoch,
			SentAt:         now,
		}
		m.Attempts[a.Key] = a
		if !m.Images.Has(j.Spec.Image) {
			m.Fetching[j.Spec.Image] = true
		}
		j.SkippedSince = time.Time{}
		j.ActiveAttempts[task] = a
		a.Reserve()
		lt.counts.started++
		commands = append(commands, api.Command{Verb: api.VerbStart, Task: a.Key.Ref, Attempt: a.Key.ID})
	}
	return commands
}

// nextJob chooses the job whose flight this machine serves next. What the teams' guarantees
// cover is served first: no team waits for another there, so the job with the earliest latest
// start is taken. Beyond the guarantees the teams are served in the order of their fair share,
// urgent work before the rest. Either is tried first with the jobs that the machine prefers.
func (lt *leaderTerm) nextJob(m *cluster.Machine, now time.Time) *cluster.Job {
	if m.FreeCPUs() < cluster.Epsilon && m.GPUs <= m.UsedGPUs {
		return nil
	}
	if j := lt.nextStarvedJob(m, now); j != nil {
		return j
	}
	for _, preferred := range []bool{true, false} {
		if j := lt.nextGuaranteedJob(m, preferred, now); j != nil {
			return j
		}
		if j := lt.nextJobByShare(m, preferred, now); j != nil {
			return j
		}
	}
	return lt.loans.nextGuest(m, now)
}

// nextGuaranteedJob is the first job, over all teams, whose next task is within its team's
// guarantee.
func (lt *leaderTerm) nextGuaranteedJob(m *cluster.Machine, preferred bool, now time.Time) *cluster.Job {
	var best *cluster.Job
	for _, t := range lt.fairShareOrder {
		j := lt.nextJobOfTeam(t, m, true, preferred, now)
		if j != nil && (best == nil || queue.Before(j, best)) {
			best = j
		}
	}
	return best
}

// nextJobByShare is the most urgent of the jobs whose next task is beyond its team's guarantee; of
// equally urgent ones, that of the team which is first by fair share.
func (lt *leaderTerm) nextJobByShare(m *cluster.Machine, preferred bool, now time.Time) *cluster.Job {
	var best *cluster.Job
	queue.SortByShare(lt.fairShareOrder)
	for _, t := range lt.fairShareOrder {
		j := lt.nextJobOfTeam(t, m, false, preferred, now)
		if j != nil && (best == nil || queue.UrgencyRank(j) < queue.UrgencyRank(best)) {
			best = j
		}
	}
	return best
}

// Jobs that cannot be in time are placed behind those that can, but not for ever, or under
// lasting overload the largest would never run. A job without a start for starvedAfter, a part
// of the time within which every job must start, goes before all others. And of all starts, one
// in demotedStartInterval goes to the job that has waited longest, once it is starving.
const (
	starvedAfter         = 90 * time.Second
	demotedStartInterval = 8
)

// nextStarvedJob is the job that goes before all others on a machine, if any.
func (lt *leaderTerm) nextStarvedJob(m *cluster.Machine, now time.Time) *cluster.Job {
	starvedTurn := lt.attemptCount%demotedStartInterval == 0
	if !starvedTurn && lt.starved == 0 {
		return nil
	}
	var best *cluster.Job
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			goesFirst := j.Starved && !j.Started() || starvedTurn && j.Starving(now)
			if j.Flight.Untaken() == 0 || !goesFirst {
				continue
			}
			if (best == nil || j.RunnableSince.Before(best.RunnableSince)) && lt.isEligible(j, m, now) {
				best = j
			}
		}
	}
	return best
}

// nextJobOfTeam is the first job of a team's queue that this machine may serve, among those
// whose next task is within the guarantee or among the others, and among those that the machine
// prefers or among all. An urgent job is left to machines that prefer it in either case.
func (lt *leaderTerm) nextJobOfTeam(
	t *queue.Team[*cluster.Job], m *cluster.Machine, guaranteed, preferred bool, now time.Time,
) *cluster.Job {
	for _, j := range t.Items() {
		withinGuarantee := t.WithinGuarantee(j.Spec.CPUs, j.Spec.GPUs)
		if j.Flight.Untaken() == 0 || withinGuarantee != guaranteed || !lt.isEligible(j, m, now) {
			continue
		}
		if (preferred || j.IsUrgent(now)) && !lt.isPreferredMachine(j, m, now) {
			continue
		}
		if !lt.hasBetterMachines(j, m, now) {
			return j
		}
	}
	return nil
}

// maxFailuresOnMachine is how many tasks of a job may fail on a machine before it gets no more
// of them.
const maxFailuresOnMachine = 2

// isEligible tells whether the next task of a job may start on a machine.
func (lt *leaderTerm) isEligible(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	s := &j.Spec
	switch {
	case j.Ended || j.Finishing || j.Handover || j.Lent != nil || now.Before(j.BackoffUntil):
		return false
	case j.Guest != nil && !j.WithinBudget():
		return false
	case lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision:
		// A machine that is not fenced may hold any task accepted before this term.
		return false
	case !m.Fits(s) || !s.AllowsType(m.Type) || (s.Zone != "" && s.Zone != m.Zone) || (m.Spot && !s.Spot):
		return false
	case !j.Team.WithinLimit(s.CPUs, s.GPUs, lt.unfencedCPUs+lt.unattributedCPUs, lt.unfencedGPUs):
		return false
	case j.FailuresByMachine[m.Name] >= maxFailuresOnMachine || j.AllUntakenExcluded(m):
		return false
	case !m.CanFetch(s.Image, lt.maxFetches) && !lt.fetchesWithinTwoHeartbeats(j, m):
		return false
	}
	if s.OneZone {
		for z, n := range j.AttemptsByZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return !s.Spread || j.AttemptsByZone[m.Zone] < (s.Tasks+1)/2
}

// minCostDifference is by how many seconds the placement cost of a machine must be lower for it to be
// the better one.
const minCostDifference = 0.5

// hasBetterMachines tells whether machines with a lower placement cost have capacity for all
// pending tasks of a job. They are left to pull it at their next heartbeats: the work gathers
// where its image is, on cheap machines and on those in use, and the others become empty and are
// terminated. A job that has waited longer than lt.grace is assigned to any machine.
func (lt *leaderTerm) hasBetterMachines(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	if now.Sub(j.WaitingSince) > lt.grace {
		return false
	}
	if now.Sub(j.Capacity.ComputedAt) >= leaderTickInterval {
		lt.updateCapacity(j, now)
	}
	return j.Capacity.SlotsUpTo(lt.placementCost(j, m)-minCostDifference) >= j.Flight.Untaken()
}
