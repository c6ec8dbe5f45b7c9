package controller

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/fleet"
)

// autoscaler launches machines for pending work and terminates those that are not needed. It is a
// part of the leader's term; requests to the cloud run in goroutines, which send their outcomes
// as messages.
type autoscaler struct {
	leaderTerm *leaderTerm
	// launchCount numbers the launch requests of the term.
	launchCount      int
	launchesInFlight int
	// launchingCPUs are the CPUs of launch requests whose outcome is not known yet.
	launchingCPUs float64
	// pendingLaunches are the launch requests that are not answered yet, by name.
	pendingLaunches map[string]fleet.LaunchRequest
	// unavailableUntil is until when a kind of machine is not requested, because the cloud had
	// too few.
	unavailableUntil map[fleet.Kind]time.Time
	// terminations are the machines whose termination is yet to be requested.
	terminations         []string
	terminationsInFlight bool
	nextList             time.Time
	listing              bool
	peak                 demandPeak
	// surplus are the CPUs of the fleet beyond the demand peak.
	surplus float64
	// surplusSince is since when there has been a surplus beyond the draining machines.
	surplusSince time.Time
}

const (
	// minUptime is the shortest time that the cloud charges for.
	minUptime           = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableTTL is how long a kind of machine of which the cloud had too few is not
	// requested.
	unavailableTTL = 15 * time.Second
)

// init sets up the autoscaler for a term.
func (as *autoscaler) init(lt *leaderTerm) {
	as.leaderTerm = lt
	as.unavailableUntil = map[fleet.Kind]time.Time{}
	as.pendingLaunches = map[string]fleet.LaunchRequest{}
}

// tick does what is due, once each tick of the leader.
func (as *autoscaler) tick(now time.Time) {
	as.terminateMachines()
	as.listMachines(now)
	as.scaleOut(now)
	as.moveCheckpointed(now)
}

// scaleOut launches what the demand lacks, after it has updated the surplus and what is drained.
// Nothing is launched while machines are unfenced.
func (as *autoscaler) scaleOut(now time.Time) {
	lt := as.leaderTerm
	used, total := 0.0, 0.0
	for _, m := range lt.machines {
		used += m.UsedCPUs
		if m.Phase() == cluster.Active {
			total += m.CPUs
		}
	}
	booting := as.launchingCPUs
	for _, booted := range lt.provisioning {
		if !booted.terminating {
			booting += booted.cpus
		}
	}
	target := max(as.demand()*(1+lt.c.Policy.Headroom), lt.c.Policy.MinCPUs)
	as.surplus = total - as.peak.add(now, target, lt.c.Policy.DrainDelay)
	as.drain(now)
	if lt.unfenced > 0 {
		return
	}
	offers := as.offers(now)
	as.launch(target-total-booting, offers)
	as.scaleOutConstrained(offers, now)
}

// launch requests missing CPUs from some offers.
func (as *autoscaler) launch(missingCPUs float64, offers []fleet.Offer) {
	if missingCPUs <= 0 || as.launchesInFlight >= maxLaunchesInFlight {
		return
	}
	for _, request := range fleet.Plan(missingCPUs, offers, cloud.MaxLaunch, maxLaunchesInFlight-as.launchesInFlight) {
		as.launchCount++
		as.launchesInFlight++
		as.launchingCPUs += float64(request.Count) * request.CPUs
		launch := cloud.LaunchRequest{
			Name:  as.leaderTerm.launchName(as.launchCount),
			Type:  request.Type,
			Zone:  request.Zone,
			Spot:  request.Spot,
			Count: request.Count,
		}
		as.pendingLaunches[launch.Name] = request
		go as.leaderTerm.sendLaunch(launch, request.Offer)
	}
}

// offers are the kinds of machine that may be launched now.
func (as *autoscaler) offers(now time.Time) []fleet.Offer {
	var offers []fleet.Offer
	for _, mt := range as.leaderTerm.c.types.load() {
		if mt.CPUs <= 0 {
			continue
		}
		offer := fleet.Offer{
			Type: mt.Name,
			CPUs: mt.CPUs,
			Boot: time.Duration(mt.BootS * float64(time.Second)),
		}
		useSpot := as.leaderTerm.c.Policy.UseSpot && mt.SpotPrice > 0
		for _, zone := range mt.Zones {
			offer.Zone = zone
			if offer.Spot, offer.Price = true, mt.SpotPrice; useSpot && as.isAvailable(offer, now) {
				offers = append(offers, offer)
			}
			if offer.Spot, offer.Price = false, mt.Price; as.isAvailable(offer, now) {
				offers = append(offers, offer)
			}
		}
	}
	return offers
}

// isAvailable tells whether the cloud has not lately had too few machines of a kind.
func (as *autoscaler) isAvailable(offer fleet.Offer, now time.Time) bool {
	return now.After(as.unavailableUntil[offer.Kind()])
}

// lowestCPUPrice is the lowest price of a CPU over all types of machine.
func (as *autoscaler) lowestCPUPrice() float64 {
	lowest := math.Inf(1)
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, price := range []float64{mt.Price, mt.SpotPrice} {
			if price > 0 && mt.CPUs > 0 {
				lowest = min(lowest, price/mt.CPUs)
			}
		}
	}
	return lowest
}

// cpuPrice is the price of a CPU of a machine, 0 if its type is not known.
func (as *autoscaler) cpuPrice(m *cluster.Machine) float64 {
	mt, ok := as.leaderTerm.c.types.load()[m.Type]
	if !ok || mt.CPUs == 0 {
		return 0
	}
	if m.Spot {
		return mt.SpotPrice / mt.CPUs
	}
	return mt.Price / mt.CPUs
}
