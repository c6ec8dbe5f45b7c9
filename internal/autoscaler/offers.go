package autoscaler

import (
	"math"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// CanLaunch tells whether machines of any type may be launched now.
func (as *Autoscaler) CanLaunch(types map[string]api.MachineType, now time.Time) bool {
	return len(as.offers(types, now)) > 0
}

// offers are the kinds of machine that may be launched now.
func (as *Autoscaler) offers(types map[string]api.MachineType, now time.Time) []Offer {
	var offers []Offer
	for _, mt := range types {
		if mt.CPUs <= 0 {
			continue
		}
		offer := Offer{Type: mt.Name, CPUs: mt.CPUs, BootTime: bootTime(mt)}
		useSpot := as.policy.UseSpot && mt.SpotPrice > 0
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
func (as *Autoscaler) isAvailable(offer Offer, now time.Time) bool {
	return now.After(as.unavailableUntil[offer.Pool()])
}

// bootTime is how long machines of a type usually take to boot.
func bootTime(mt api.MachineType) time.Duration {
	return time.Duration(mt.BootS * float64(time.Second))
}

// LongestBoot is how long the slowest type of machine usually takes to boot.
func LongestBoot(types map[string]api.MachineType) time.Duration {
	boot := 0.0
	for _, mt := range types {
		boot = max(boot, mt.BootS)
	}
	return config.Duration(boot)
}

// LowestCPUPrice is the lowest price of a CPU over all types of machine.
func LowestCPUPrice(types map[string]api.MachineType) float64 {
	lowest := math.Inf(1)
	for _, mt := range types {
		for _, price := range []float64{mt.Price, mt.SpotPrice} {
			if price > 0 && mt.CPUs > 0 {
				lowest = min(lowest, price/mt.CPUs)
			}
		}
	}
	return lowest
}

// CPUPrice is the price of a CPU of a machine, 0 if its type is not known.
func CPUPrice(types map[string]api.MachineType, m *cluster.Machine) float64 {
	mt, ok := types[m.Type]
	if !ok || mt.CPUs == 0 {
		return 0
	}
	if m.Spot {
		return mt.SpotPrice / mt.CPUs
	}
	return mt.Price / mt.CPUs
}
