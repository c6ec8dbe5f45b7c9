package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/queue"
)

// assignTasks assigns tasks to a machine while it has free capacity, and appends their starts to
// the commands.
func (lt *leaderTerm) assignTasks(m *machine, commands []api.Command, now time.Time) []api.Command {
	if !m.isSchedulable(now) || !lt.mayStart(now) {
		return commands
	}
	m.updateFetching()
	for len(commands) < maxCommands {
		j := lt.nextJob(m, now)
		if j == nil {
			break
		}
		j.flight.Join(m.name)
		task, ok := j.flight.PullExcept(m.name, func(t int) bool { return j.excludedMachine[t] == m.name })
		if !ok {
			break
		}
		a := &attempt{
			key:            attemptKey{ref: j.taskRef(task), id: lt.nextAttempt()},
			machine:        m,
			job:            j,
			task:           task,
			sentAgentEpoch: m.agentEpoch,
			sentAt:         now,
		}
		m.attempts[a.key] = a
		if !m.images.has(j.spec.Image) {
			m.fetching[j.spec.Image] = true
		}
		j.skippedSince = time.Time{}
		j.activeAttempts[task] = a
		a.reserve(1)
		lt.counts.started++
		commands = append(commands, api.Command{Verb: api.VerbStart, Task: a.key.ref, Attempt: a.key.id})
	}
	return commands
}

// nextJob chooses the job whose flight this machine serves next. What the teams' guarantees
// cover is served first: no team waits for another there, so the job with the earliest latest
// start is taken. Beyond the guarantees the teams are served in the order of their fair share,
// urgent work before the rest. Either is tried first with the jobs that the machine prefers.
func (lt *leaderTerm) nextJob(m *machine, now time.Time) *job {
	if m.freeCPUs() < epsilon && m.gpus <= m.usedGPUs {
		return nil
	}
	if j := lt.nextStarved(m, now); j != nil {
		return j
	}
	for _, preferred := range []bool{true, false} {
		if j := lt.nextGuaranteed(m, preferred, now); j != nil {
			return j
		}
		if j := lt.nextByShare(m, preferred, now); j != nil {
			return j
		}
	}
	return lt.loans.nextGuest(m, now)
}

// nextGuaranteed is the first job, over all teams, whose next task is within its team's
// guarantee.
func (lt *leaderTerm) nextGuaranteed(m *machine, preferred bool, now time.Time) *job {
	var best *job
	for _, t := range lt.fairShareOrder {
		j := lt.nextJobOfTeam(t, m, true, preferred, now)
		if j != nil && (best == nil || queue.Before(j, best)) {
			best = j
		}
	}
	return best
}

// nextByShare is the most urgent of the jobs whose next task is beyond its team's guarantee; of
// equally urgent ones, that of the team which is first by fair share.
func (lt *leaderTerm) nextByShare(m *machine, preferred bool, now time.Time) *job {
	var best *job
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
// in starvedShare goes to the job that has waited longest, once it is starving.
const (
	starvedAfter = 90 * time.Second
	starvedShare = 8
)

// nextStarved is the job that goes before all others on a machine, if any.
func (lt *leaderTerm) nextStarved(m *machine, now time.Time) *job {
	starvedTurn := lt.attemptCount%starvedShare == 0
	if !starvedTurn && lt.starved == 0 {
		return nil
	}
	var best *job
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			goesFirst := j.starved && !j.started() || starvedTurn && j.starving(now)
			if j.flight.Untaken() == 0 || !goesFirst {
				continue
			}
			if (best == nil || j.runnableSince.Before(best.runnableSince)) && lt.isEligible(j, m, now) {
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
	t *queue.Team[*job], m *machine, guaranteed, preferred bool, now time.Time,
) *job {
	for _, j := range t.Items() {
		if j.flight.Untaken() == 0 || t.WithinGuarantee(j.spec.CPUs, j.spec.GPUs) != guaranteed || !lt.isEligible(j, m, now) {
			continue
		}
		if (preferred || j.isUrgent(now)) && !lt.prefers(j, m, now) {
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
func (lt *leaderTerm) isEligible(j *job, m *machine, now time.Time) bool {
	s := &j.spec
	switch {
	case j.ended || j.finishing || j.handover || j.lent != nil || now.Before(j.backoffUntil):
		return false
	case j.guest != nil && !j.withinBudget():
		return false
	case lt.unfenced > 0 && j.modRevision <= lt.term.ModRevision:
		// A machine that is not fenced may hold any task accepted before this term.
		return false
	case !m.fits(s) || !typeAllowed(s, m.machineType) || (s.Zone != "" && s.Zone != m.zone) || (m.spot && !s.Spot):
		return false
	case !j.team.WithinLimit(s.CPUs, s.GPUs, lt.unfencedCPUs+lt.unattributedCPUs, lt.unfencedGPUs):
		return false
	case j.failuresByMachine[m.name] >= maxFailuresOnMachine || j.allUntakenExcluded(m):
		return false
	case !m.canFetch(s.Image, lt.maxFetches) && !lt.fetchesBeforeHeartbeat(j, m):
		return false
	}
	if s.OneZone {
		for z, n := range j.attemptsByZone {
			if n > 0 && z != m.zone {
				return false
			}
		}
	}
	return !s.Spread || j.attemptsByZone[m.zone] < (s.Tasks+1)/2
}

// minCostGain is by how many seconds the placement cost of a machine must be lower for it to be
// the better one.
const minCostGain = 0.5

// hasBetterMachines tells whether machines with a lower placement cost have capacity for all
// pending tasks of a job. They are left to pull it at their next heartbeats: the work gathers
// where its image is, on cheap machines and on those in use, and the others become empty and are
// terminated. A job that has waited longer than lt.grace is assigned to any machine.
func (lt *leaderTerm) hasBetterMachines(j *job, m *machine, now time.Time) bool {
	if now.Sub(j.waitingSince) > lt.grace {
		return false
	}
	if now.Sub(j.capacity.computedAt) >= leaderTickInterval {
		lt.findCapacity(j, now)
	}
	return j.capacity.slotsUpTo(lt.placementCost(j, m)-minCostGain) >= j.flight.Untaken()
}
