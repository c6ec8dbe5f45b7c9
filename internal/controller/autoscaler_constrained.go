package controller

import (
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/fleet"
)

// Demand as a whole may be covered by machines on which some jobs must not run: cheap
// ones, or those of another zone or type. What such jobs lack is covered for itself.
// Otherwise, when only cheap machines were left of a fleet, a job that must not use
// them waited for ever beside free room.

// constrainedDemand is the demand of the jobs that may use the same machines only.
type constrainedDemand struct {
	spec *api.JobSpec
	cpus float64
}

// isConstrained tells whether a job may not use every machine.
func isConstrained(s *api.JobSpec) bool { return !s.Spot || s.Zone != "" || s.Types != nil }

func mayUse(s *api.JobSpec, typ, zone string, spot bool) bool {
	return typeAllowed(s, typ) && (s.Zone == "" || s.Zone == zone) && (!spot || s.Spot)
}

// constrainedDemands sums up what waits, by what machines it may use. A job that awaits
// others counts once all of them have begun: a machine boots meanwhile.
func (as *autoscaler) constrainedDemands(now time.Time) []*constrainedDemand {
	byKind := map[string]*constrainedDemand{}
	add := func(j *job, cpus float64) {
		key := j.spec.Zone + "|" + strings.Join(j.spec.Types, ",")
		if j.spec.Spot {
			key += "|spot"
		}
		demand := byKind[key]
		if demand == nil {
			demand = &constrainedDemand{spec: &j.spec}
			byKind[key] = demand
		}
		demand.cpus += cpus
	}
	minWait := 2 * as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()
	for _, team := range as.leaderTerm.allTeams() {
		available := team.LimitCPUs - team.UsedCPUs
		for _, j := range team.Items() {
			cpus := min(float64(j.flight.Untaken())*j.spec.CPUs, available)
			if cpus > 0 && isConstrained(&j.spec) && !j.finishing && j.failureRounds == 0 && now.Sub(j.runnableSince) > minWait {
				add(j, cpus)
				available -= cpus
			}
		}
	}
	for _, j := range as.leaderTerm.jobs {
		if len(j.dependsOn) > 0 && !j.cancelPending && isConstrained(&j.spec) && as.leaderTerm.dependencies.dependenciesStarted(j) {
			add(j, min(float64(j.spec.Tasks)*j.spec.CPUs, j.team.LimitCPUs))
		}
	}
	var demands []*constrainedDemand
	for _, demand := range byKind {
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b *constrainedDemand) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	return demands
}

// dependenciesStarted tells whether all that a job waits for has begun.
func (dg *dependencyGraph) dependenciesStarted(j *job) bool {
	for id := range j.dependsOn {
		if dependency := dg.leaderTerm.jobs[id]; dependency == nil || !dependency.started() {
			return false
		}
	}
	return true
}

// scaleOutConstrained covers what is lacking for jobs that may not use every machine: by
// machines that were to be drained, or by new ones.
func (as *autoscaler) scaleOutConstrained(offers []fleet.Offer, now time.Time) {
	for _, demand := range as.constrainedDemands(now) {
		missingCPUs, draining := as.missingFor(demand)
		for _, m := range draining {
			if missingCPUs <= 0 {
				break
			}
			m.draining = false
			missingCPUs -= float64(m.slots(demand.spec)) * demand.spec.CPUs
		}
		as.launch(missingCPUs, slices.DeleteFunc(slices.Clone(offers), func(o fleet.Offer) bool { return !mayUse(demand.spec, o.Type, o.Zone, o.Spot) }))
	}
}

// missingFor is how many CPUs a demand lacks on the machines at hand, on those that
// are expected and on those being rented. With it come the draining machines that
// could serve the demand, by name.
func (as *autoscaler) missingFor(demand *constrainedDemand) (missingCPUs float64, draining []*machine) {
	missingCPUs = demand.cpus
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated || m.cpus == 0 || !mayUse(demand.spec, m.typ, m.zone, m.spot):
		case m.draining:
			draining = append(draining, m)
		default:
			missingCPUs -= float64(m.slots(demand.spec)) * demand.spec.CPUs
		}
	}
	for _, booting := range as.leaderTerm.provisioning {
		if !booting.terminating && mayUse(demand.spec, booting.typ, booting.zone, booting.spot) {
			missingCPUs -= booting.cpus
		}
	}
	for _, request := range as.pendingLaunches {
		if mayUse(demand.spec, request.Type, request.Zone, request.Spot) {
			missingCPUs -= float64(request.Count) * request.CPUs
		}
	}
	slices.SortFunc(draining, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	return missingCPUs, draining
}
