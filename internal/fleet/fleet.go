// Package fleet decides what to rent. It is pure.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Offer is a kind of machine that can be rented in a zone.
type Offer struct {
	Type  string
	Zone  string
	Spot  bool
	CPUs  float64
	Price float64
	Boot  time.Duration
}

// LaunchRequest is a number of machines of an offer.
type LaunchRequest struct {
	Offer
	Count int
}

// Plan covers a lack of CPUs with the cheapest offers. Offers are tried in the
// order of the price of a CPU; the caller leaves out those that were refused
// lately. At most most machines are asked for at once. How many an offer can
// give is not known, so what remains waits for its answer, and dearer offers
// are asked at the same time only while much remains: at most asks in all.
func Plan(missingCPUs float64, offers []Offer, maxCount, maxRequests int) []LaunchRequest {
	offers = slices.Clone(offers)
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Price/a.CPUs, b.Price/b.CPUs), cmp.Compare(a.CPUs, b.CPUs),
			cmp.Compare(a.Zone, b.Zone))
	})
	var requests []LaunchRequest
	for _, o := range offers {
		if len(requests) == maxRequests || missingCPUs <= 0 || (len(requests) > 0 && missingCPUs < float64(maxCount)*o.CPUs) {
			break
		}
		n := min(int(math.Ceil(missingCPUs/o.CPUs)), maxCount)
		requests = append(requests, LaunchRequest{o, n})
		missingCPUs -= float64(n) * o.CPUs
	}
	return requests
}

// Kind is what the cloud's capacity depends on.
type Kind struct {
	Type string
	Zone string
	Spot bool
}

// Kind names the offer's kind.
func (o Offer) Kind() Kind { return Kind{o.Type, o.Zone, o.Spot} }
