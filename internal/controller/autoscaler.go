package controller

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/fleet"
)

// autoscaler rents machines for what waits and gives back what is not needed. It
// is a part of the leadership and speaks to the cloud through goroutines that
// answer by messages.
type autoscaler struct {
	leaderTerm       *leaderTerm
	launchCount      int
	launchesInFlight int
	launchingCPUs    float64 // CPUs of rentals whose outcome is not known yet
	// pendingLaunches are the rentals that are not answered yet, by name.
	pendingLaunches      map[string]fleet.LaunchRequest
	unavailableUntil     map[fleet.Kind]time.Time
	terminations         []string
	terminationsInFlight bool
	nextList             time.Time
	listing              bool
	peak                 demandPeak
	surplus              float64
	// surplusSince is since when there has been room to spare.
	surplusSince time.Time
}

const (
	// minUptime is what the cloud charges at the least.
	minUptime           = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableTTL is how long a kind of machine that was refused is left alone.
	unavailableTTL = 15 * time.Second
)

func (as *autoscaler) init(lt *leaderTerm) {
	as.leaderTerm = lt
	as.unavailableUntil = map[fleet.Kind]time.Time{}
	as.pendingLaunches = map[string]fleet.LaunchRequest{}
}

func (as *autoscaler) tick(now time.Time) {
	as.terminateMachines()
	as.listMachines(now)
	as.scaleOut(now)
	as.moveCheckpointed(now)
}

// scaleOut covers what is lacking.
func (as *autoscaler) scaleOut(now time.Time) {
	lt := as.leaderTerm
	used, total := 0.0, 0.0
	for _, m := range lt.machines {
		used += m.usedCPUs
		if !m.evacuating && !m.terminated {
			total += m.cpus
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

// launch rents what is lacking of some offers.
func (as *autoscaler) launch(missingCPUs float64, offers []fleet.Offer) {
	if missingCPUs <= 0 || as.launchesInFlight >= maxLaunchesInFlight {
		return
	}
	for _, request := range fleet.Plan(missingCPUs, offers, cloud.MaxLaunch, maxLaunchesInFlight-as.launchesInFlight) {
		as.launchCount++
		as.launchesInFlight++
		as.launchingCPUs += float64(request.Count) * request.CPUs
		launch := cloud.LaunchRequest{Name: as.leaderTerm.launchName(as.launchCount), Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
		as.pendingLaunches[launch.Name] = request
		go as.leaderTerm.sendLaunch(launch, request.Offer)
	}
}

// offers are the kinds of machine that were not refused lately.
func (as *autoscaler) offers(now time.Time) []fleet.Offer {
	var offers []fleet.Offer
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, zone := range mt.Zones {
			for _, spot := range []bool{true, false} {
				offer := fleet.Offer{Type: mt.Name, Zone: zone, Spot: spot, CPUs: mt.CPUs, Price: mt.Price,
					Boot: time.Duration(mt.BootS * float64(time.Second))}
				if spot {
					if !as.leaderTerm.c.Policy.UseSpot || mt.SpotPrice <= 0 {
						continue
					}
					offer.Price = mt.SpotPrice
				}
				if mt.CPUs > 0 && now.After(as.unavailableUntil[offer.Kind()]) {
					offers = append(offers, offer)
				}
			}
		}
	}
	return offers
}

// lowestCPUPrice is the lowest price of a CPU.
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

func (as *autoscaler) cpuPrice(m *machine) float64 {
	mt, ok := as.leaderTerm.c.types.load()[m.typ]
	if !ok || mt.CPUs == 0 {
		return 0
	}
	if m.spot {
		return mt.SpotPrice / mt.CPUs
	}
	return mt.Price / mt.CPUs
}
