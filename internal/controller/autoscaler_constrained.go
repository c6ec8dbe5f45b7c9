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
	patience := 2 * as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()
	for _, team := range as.leaderTerm.allTeams() {
		room := team.LimitCPUs - team.UsedCPUs
		for _, j := range team.Items() {
			cpus := min(float64(j.flight.Untaken())*j.spec.CPUs, room)
			if cpus > 0 && isConstrained(&j.spec) && !j.finishing && j.failureRounds == 0 && now.Sub(j.runnableSince) > patience {
				add(j, cpus)
				room -= cpus
			}
		}
	}
	for _, j := range as.leaderTerm.jobs {
		if len(j.dependsOn) > 0 && !j.cancelPending && isConstrained(&j.spec) && as.leaderTerm.dependencies.dependenciesStarted(j) {
			add(j, min(float64(j.spec.Tasks)*j.spec.CPUs, j.team.LimitCPUs))
		}
	}
	var out []*constrainedDemand
	for _, demand := range byKind {
		out = append(out, demand)
	}
	slices.SortFunc(out, func(a, b *constrainedDemand) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	return out
}

// dependenciesStarted tells whether all that a job waits for has begun.
func (dg *dependencyGraph) dependenciesStarted(j *job) bool {
	for id := range j.dependsOn {
		if o := dg.leaderTerm.jobs[id]; o == nil || !o.started() {
			return false
		}
	}
	return true
}

// scaleOutConstrained covers what is lacking for jobs that may not use every machine: by
// machines that were to be drained, or by new ones.
func (as *autoscaler) scaleOutConstrained(offers []fleet.Offer, now time.Time) {
	for _, demand := range as.constrainedDemands(now) {
		lack, draining := as.uncovered(demand)
		for _, m := range draining {
			if lack <= 0 {
				break
			}
			m.draining = false
			lack -= float64(m.slots(demand.spec)) * demand.spec.CPUs
		}
		as.launch(lack, slices.DeleteFunc(slices.Clone(offers), func(o fleet.Offer) bool { return !mayUse(demand.spec, o.Type, o.Zone, o.Spot) }))
	}
}

// uncovered is how many CPUs a demand lacks on the machines at hand, on those that
// are expected and on those being rented. With it come the draining machines that
// could serve the demand, by name.
func (as *autoscaler) uncovered(demand *constrainedDemand) (lack float64, draining []*machine) {
	lack = demand.cpus
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated || m.cpus == 0 || !mayUse(demand.spec, m.typ, m.zone, m.spot):
		case m.draining:
			draining = append(draining, m)
		default:
			lack -= float64(m.slots(demand.spec)) * demand.spec.CPUs
		}
	}
	for _, e := range as.leaderTerm.provisioning {
		if !e.terminating && mayUse(demand.spec, e.typ, e.zone, e.spot) {
			lack -= e.cpus
		}
	}
	for _, rental := range as.pendingLaunches {
		if mayUse(demand.spec, rental.Type, rental.Zone, rental.Spot) {
			lack -= float64(rental.Count) * rental.CPUs
		}
	}
	slices.SortFunc(draining, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	return lack, draining
}
