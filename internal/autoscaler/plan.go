package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Offer is a kind of machine that can be launched in a zone.
type Offer struct {
	Type  string
	Zone  string
	Spot  bool
	CPUs  float64
	Price float64
	// BootTime is how long such a machine takes to start.
	BootTime time.Duration
}

// plannedLaunch is a number of machines of an offer.
type plannedLaunch struct {
	Offer
	Count int
}

// planLaunches covers missing CPUs with the cheapest offers, in the order of the price of a CPU; the
// caller leaves out offers that were rejected lately. A request is for at most maxCount
// machines. How many an offer can provide is not known, so what remains waits for the response,
// and more expensive offers are requested at the same time only while much remains: at most
// maxRequests in all.
func planLaunches(missingCPUs float64, offers []Offer, maxCount, maxRequests int) []plannedLaunch {
	offers = slices.Clone(offers)
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Price/a.CPUs, b.Price/b.CPUs), cmp.Compare(a.CPUs, b.CPUs),
			cmp.Compare(a.Zone, b.Zone))
	})
	var requests []plannedLaunch
	for _, o := range offers {
		small := missingCPUs < float64(maxCount)*o.CPUs
		if len(requests) == maxRequests || missingCPUs <= 0 || (len(requests) > 0 && small) {
			break
		}
		n := min(int(math.Ceil(missingCPUs/o.CPUs)), maxCount)
		requests = append(requests, plannedLaunch{Offer: o, Count: n})
		missingCPUs -= float64(n) * o.CPUs
	}
	return requests
}

// CapacityPool is what the cloud's capacity depends on.
type CapacityPool struct {
	Type string
	Zone string
	Spot bool
}

// Pool names the offer's kind.
func (o Offer) Pool() CapacityPool { return CapacityPool{Type: o.Type, Zone: o.Zone, Spot: o.Spot} }
