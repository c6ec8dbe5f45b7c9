package autoscaler

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// CanLaunch reports whether there is any offer from which machines may be launched now.
func (a *Autoscaler) CanLaunch(types map[string]api.MachineType, now time.Time) bool {
	return len(a.offers(types, now)) > 0
}

// offers returns the offers from which machines may be launched now: for each machine type and zone, at
// the regular price and, if the policy allows it, at the spot price.
func (a *Autoscaler) offers(types map[string]api.MachineType, now time.Time) []Offer {
	var offers []Offer
	for _, machineType := range types {
		if machineType.CPUs <= 0 {
			continue
		}
		offer := Offer{Type: machineType.Name, CPUs: machineType.CPUs, BootTime: bootTime(machineType)}
		useSpot := a.policy.UseSpot && machineType.SpotPrice > 0
		for _, zone := range machineType.Zones {
			offer.Zone = zone
			if offer.Spot, offer.Price = true, machineType.SpotPrice; useSpot && a.isAvailable(offer, now) {
				offers = append(offers, offer)
			}
			if offer.Spot, offer.Price = false, machineType.Price; a.isAvailable(offer, now) {
				offers = append(offers, offer)
			}
		}
	}
	return offers
}

// isAvailable reports whether an offer's capacity pool may be requested from. It may not for
// unavailableTTL after the cloud launched fewer machines of it than requested.
func (a *Autoscaler) isAvailable(offer Offer, now time.Time) bool {
	return now.After(a.unavailableUntil[offer.Pool()])
}

// bootTime returns the usual boot time of a machine type.
func bootTime(machineType api.MachineType) time.Duration {
	return time.Duration(machineType.BootS * float64(time.Second))
}

// LongestBoot returns the usual boot time of the machine type that is slowest to boot.
func LongestBoot(types map[string]api.MachineType) time.Duration {
	longestS := 0.0
	for _, machineType := range types {
		longestS = max(longestS, machineType.BootS)
	}
	return config.Duration(longestS)
}

// LowestCPUPrice returns the lowest price per CPU of all machine types, regular or spot, or +Inf if none
// has a price.
func LowestCPUPrice(types map[string]api.MachineType) float64 {
	lowest := math.Inf(1)
	for _, machineType := range types {
		for _, price := range []float64{machineType.Price, machineType.SpotPrice} {
			if price > 0 && machineType.CPUs > 0 {
				lowest = min(lowest, price/machineType.CPUs)
			}
		}
	}
	return lowest
}

// CPUPrice returns the price per CPU of a machine, or 0 if its type is unknown or has no CPUs.
func CPUPrice(types map[string]api.MachineType, m *cluster.Machine) float64 {
	machineType, ok := types[m.Type]
	if !ok || machineType.CPUs == 0 {
		return 0
	}
	if m.Spot {
		return machineType.SpotPrice / machineType.CPUs
	}
	return machineType.Price / machineType.CPUs
}
