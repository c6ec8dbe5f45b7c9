package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Offer is a machine type that the cloud offers in a zone, at the regular or the spot price.
type Offer struct {
	Type  string
	Zone  string
	Spot  bool
	CPUs  float64
	Price float64
	// BootTime is the usual boot time of the machine type.
	BootTime time.Duration
}

// plannedLaunch is a number of machines to launch from an offer.
type plannedLaunch struct {
	Offer
	Count int
}

// offerCPUs returns the CPUs of a machine of an offer.
func offerCPUs(offer Offer) float64 { return offer.CPUs }

// planLaunches covers missing capacity with the offers of the lowest price for it. capacity returns that of
// a machine of an offer, in the unit of missing; it is positive. It plans at most maxRequests requests of at
// most maxCount machines each, one for each offer. How many machines the cloud can provide from an offer is
// unknown, so a request to a more expensive offer is added only if the remaining capacity fills a whole
// request; a smaller remainder waits for the response to the first requests. The caller excludes offers that
// are unavailable.
func planLaunches(
	missing float64, offers []Offer, capacity func(Offer) float64, maxCount, maxRequests int,
) []plannedLaunch {
	offers = slices.Clone(offers)
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Price/capacity(a), b.Price/capacity(b)), cmp.Compare(a.CPUs, b.CPUs),
			cmp.Compare(a.Zone, b.Zone))
	})
	var requests []plannedLaunch
	for _, offer := range offers {
		small := missing < float64(maxCount)*capacity(offer)
		if len(requests) == maxRequests || missing <= 0 || (len(requests) > 0 && small) {
			break
		}
		count := min(int(math.Ceil(missing/capacity(offer))), maxCount)
		requests = append(requests, plannedLaunch{Offer: offer, Count: count})
		missing -= float64(count) * capacity(offer)
	}
	return requests
}

// CapacityPool identifies machines whose availability in the cloud is the same: those of one type, zone
// and price model.
type CapacityPool struct {
	Type string
	Zone string
	Spot bool
}

// Pool returns the capacity pool that the offer's machines come from.
func (o Offer) Pool() CapacityPool { return CapacityPool{Type: o.Type, Zone: o.Zone, Spot: o.Spot} }
