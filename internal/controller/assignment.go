package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/queue"
)

// assignTasks assigns tasks to a machine while it has free capacity, and appends the start commands
// to commands.
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
		task, ok := j.Flight.PullExcept(m.Name, func(t int) bool { return j.Exclusions.TaskExcluded(t, m.Name, now) })
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

// nextJob returns the job from which the machine takes its next task, or nil. Jobs that have waited
// too long come first. Then come tasks within the teams' guarantees, in one queue order over all
// teams: fair share does not apply to them. Then come tasks beyond the guarantees, urgent ones first
// and otherwise by the teams' fair share. These two steps are done for the jobs for which the
// machine is preferred, and then for all jobs. Guests come last.
func (lt *leaderTerm) nextJob(m *cluster.Machine, now time.Time) *cluster.Job {
	if m.FreeCPUs() < cluster.Epsilon && m.GPUs <= m.UsedGPUs {
		return nil
	}
	if j := lt.nextStarvedJob(m, now); j != nil {
		return j
	}
	for _, preferredOnly := range []bool{true, false} {
		if j := lt.nextGuaranteedJob(m, preferredOnly, now); j != nil {
			return j
		}
		if j := lt.nextJobByShare(m, preferredOnly, now); j != nil {
			return j
		}
	}
	return lt.loans.nextGuest(m, now)
}

// nextGuaranteedJob returns the first job in queue order, over all teams, whose next task is within
// its team's guarantee.
func (lt *leaderTerm) nextGuaranteedJob(m *cluster.Machine, preferredOnly bool, now time.Time) *cluster.Job {
	var best *cluster.Job
	for _, team := range lt.fairShareOrder {
		j := lt.nextJobOfTeam(team, m, true, preferredOnly, now)
		if j != nil && (best == nil || queue.Before(j, best)) {
			best = j
		}
	}
	return best
}

// nextJobByShare returns the most urgent job whose next task is beyond its team's guarantee. Among
// equally urgent jobs, it is the one whose team is first by fair share.
func (lt *leaderTerm) nextJobByShare(m *cluster.Machine, preferredOnly bool, now time.Time) *cluster.Job {
	var best *cluster.Job
	queue.SortByShare(lt.fairShareOrder)
	for _, team := range lt.fairShareOrder {
		j := lt.nextJobOfTeam(team, m, false, preferredOnly, now)
		if j != nil && (best == nil || queue.UrgencyRank(j) < queue.UrgencyRank(best)) {
			best = j
		}
	}
	return best
}

// Jobs that cannot meet their objectives are queued behind those that can. Without these limits,
// the largest of them would never run under lasting overload.
const (
	// starvedAfter is how long a job may wait for its first start before it precedes all others.
	// It is shorter than the time within which every job must start.
	starvedAfter = 90 * time.Second
	// For every demotedStartInterval-th start, jobs that are infeasible or deferred and have been
	// runnable for too long also precede all others.
	demotedStartInterval = 8
)

// nextStarvedJob returns the longest waiting job that precedes all others on a machine, or nil.
func (lt *leaderTerm) nextStarvedJob(m *cluster.Machine, now time.Time) *cluster.Job {
	isDemotedTurn := lt.attemptCount%demotedStartInterval == 0
	if !isDemotedTurn && lt.starvedJobs == 0 {
		return nil
	}
	var best *cluster.Job
	for _, team := range lt.fairShareOrder {
		for _, j := range team.Items() {
			isFirst := j.Starved && !j.Started() || isDemotedTurn && j.DemotedTooLong(now)
			if j.Flight.Untaken() == 0 || !isFirst {
				continue
			}
			if (best == nil || j.RunnableSince.Before(best.RunnableSince)) && lt.isEligible(j, m, now) {
				best = j
			}
		}
	}
	return best
}

// nextJobOfTeam returns the first job in a team's queue that may start a task on a machine, or nil.
// guaranteed selects the jobs whose next task is within the team's guarantee, or else those whose
// next task is beyond it. With preferredOnly, only jobs for which the machine is preferred count.
// That restriction always applies to jobs whose start objective is still ahead.
func (lt *leaderTerm) nextJobOfTeam(
	team *queue.Team[*cluster.Job], m *cluster.Machine, guaranteed, preferredOnly bool, now time.Time,
) *cluster.Job {
	for _, j := range team.Items() {
		withinGuarantee := team.WithinGuarantee(j.Spec.CPUs, j.Spec.GPUs)
		if j.Flight.Untaken() == 0 || withinGuarantee != guaranteed || !lt.isEligible(j, m, now) {
			continue
		}
		if (preferredOnly || j.HasUpcomingStartDeadline(now)) && !lt.isPreferredMachine(j, m, now) {
			continue
		}
		if !lt.hasBetterMachines(j, m, now) {
			return j
		}
	}
	return nil
}

// isEligible reports whether the next task of a job may start on a machine.
func (lt *leaderTerm) isEligible(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	s := &j.Spec
	switch {
	case j.Ended || j.Finishing || j.HandoverPending || j.Lent != nil || now.Before(j.BackoffUntil):
		return false
	case j.Guest != nil && !j.WithinBudget():
		return false
	case lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision:
		// An unfenced machine may still run any task of a job accepted before this term.
		return false
	case !j.CanUse(m, now) || !j.MayStartMoreOn(m, now):
		return false
	case !lt.withinLimit(j.Team, s.CPUs, s.GPUs):
		return false
	}
	return m.CanFetch(s.Image, lt.maxFetches) || lt.fetchesWithinTwoHeartbeats(j, m)
}

// withinLimit reports whether a team's usage would stay within its limit with more tasks of the given total
// size. What machines may run that are not fenced, or that hold tasks of unknown jobs, counts against every
// team.
func (lt *leaderTerm) withinLimit(team *queue.Team[*cluster.Job], cpus, gpus float64) bool {
	return team.WithinLimit(cpus, gpus, lt.unfencedCPUs+lt.unattributed.CPUs, lt.unfencedGPUs+lt.unattributed.GPUs)
}

// minCostDifference is the difference in placement cost, in seconds, from which on the cheaper of
// two machines counts as better.
const minCostDifference = 0.5

// hasBetterMachines reports whether machines with a lower placement cost than this one have capacity
// for all pending tasks of a job. They are then left to pull the tasks at their next heartbeats. This
// concentrates work on machines that have its image, are cheap or are already in use, so that the
// others become empty and can be terminated. A job that has waited longer than the placement delay
// is assigned to any machine.
func (lt *leaderTerm) hasBetterMachines(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	if now.Sub(j.WaitingSince) > lt.placementDelay {
		return false
	}
	if now.Sub(j.Capacity.ComputedAt) >= leaderTickInterval {
		lt.updateCapacity(j, now)
	}
	return j.Capacity.SlotsUpTo(lt.placementCost(j, m)-minCostDifference) >= j.Flight.Untaken()
}
