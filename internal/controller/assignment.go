package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/queue"
)

// assignTasks pulls tasks for a machine with free room.
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
		a := &attempt{key: attemptKey{j.taskRef(task), lt.nextAttempt()}, machine: m, job: j, task: task,
			sentAgentEpoch: m.agentEpoch, sentAt: now}
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

// nextJob chooses the job whose flight this machine serves next. What the teams'
// guarantees cover comes first: no team waits for another there, so the job
// that must begin soonest is taken. What they borrow is served by the teams in
// turn by shares, urgent work before the rest.
func (lt *leaderTerm) nextJob(m *machine, now time.Time) *job {
	if m.freeCPUs() < epsilon && m.gpus <= m.usedGPUs {
		return nil
	}
	if j := lt.nextStarved(m, now); j != nil {
		return j
	}
	for _, suited := range []bool{true, false} {
		var best *job
		for _, t := range lt.fairShareOrder {
			j := lt.nextJobOfTeam(t, m, true, suited, now)
			if j != nil && (best == nil || queue.Before(j, best)) {
				best = j
			}
		}
		if best != nil {
			return best
		}
		queue.SortByShare(lt.fairShareOrder)
		for _, t := range lt.fairShareOrder {
			j := lt.nextJobOfTeam(t, m, false, suited, now)
			if j != nil && (best == nil || queue.UrgencyRank(j) < queue.UrgencyRank(best)) {
				best = j
			}
		}
		if best != nil {
			return best
		}
	}
	return lt.loans.pickGuest(m, now)
}

// Jobs that cannot be in time give way to those that can, but not without
// end, or under lasting overload the largest would never run. One that has had
// no start for a part of the time in which every job must begin goes before
// all; and of all starts, one in starvedShare goes to the job that has waited
// longest, once that is long.
const (
	starvedAfter  = 90 * time.Second
	starvingAfter = 2 * time.Minute
	starvedShare  = 8
)

// nextStarved is the job that goes before all others on a machine, if any.
func (lt *leaderTerm) nextStarved(m *machine, now time.Time) *job {
	var best *job
	starvedTurn := lt.attemptCount%starvedShare == 0
	if !starvedTurn && lt.starved == 0 {
		return nil
	}
	for _, t := range lt.fairShareOrder {
		for _, j := range t.Items() {
			if j.flight.Untaken() == 0 || !(j.starved && !j.started() || starvedTurn && j.starving(now)) {
				continue
			}
			if (best == nil || j.runnableSince.Before(best.runnableSince)) && lt.eligible(j, m, now) {
				best = j
			}
		}
	}
	return best
}

// nextJobOfTeam is the first job of a team's queue that this machine may serve, among
// those whose next task is within the guarantee or among the others, and among
// those that the machine suits or among all.
func (lt *leaderTerm) nextJobOfTeam(t *queue.Team[*job], m *machine, guaranteed, suited bool, now time.Time) *job {
	for _, j := range t.Items() {
		if j.flight.Untaken() > 0 && t.Guaranteed(j.spec.CPUs, j.spec.GPUs) == guaranteed &&
			lt.eligible(j, m, now) && (!(suited || j.isUrgent(now)) || lt.prefers(j, m, now)) && !lt.betterElsewhere(j, m, now) {
			return j
		}
	}
	return nil
}

// eligible tells whether the next task of a job may start on a machine.
func (lt *leaderTerm) eligible(j *job, m *machine, now time.Time) bool {
	s := &j.spec
	switch {
	case j.ended || j.finishing || j.handover || j.lent != nil || now.Before(j.backoffUntil):
		return false
	case j.guest != nil && !j.withinBudget():
		return false
	case lt.unfenced > 0 && j.modRevision <= lt.term.ModRevision:
		// A machine not heard in this term may hold any task that was
		// accepted before it.
		return false
	case !m.fits(s) || !typeAllowed(s, m.typ) || (s.Zone != "" && s.Zone != m.zone) || (m.spot && !s.Spot):
		return false
	case !j.team.Allowed(s.CPUs, s.GPUs, lt.unfencedCPUs+lt.unattributedCPUs, lt.unfencedGPUs):
		return false
	case j.failuresByMachine[m.name] >= 2 || j.allUntakenExcluded(m) || !(m.canFetch(s.Image, lt.maxFetches) || lt.fetchesBeforeHeartbeat(j, m)):
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
func (lt *leaderTerm) betterElsewhere(j *job, m *machine, now time.Time) bool {
	if now.Sub(j.waitingSince) > lt.grace {
		return false
	}
	if now.Sub(j.capacity.computedAt) >= tickInterval {
		lt.findCapacity(j, now)
	}
	return j.capacity.slotsUpTo(lt.placementCost(j, m)-0.5) >= j.flight.Untaken()
}
