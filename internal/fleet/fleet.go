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

// Purchase is a number of machines of an offer.
type Purchase struct {
	Offer
	Count int
}

// Plan covers a lack of CPUs with the cheapest offers. Offers are tried in the
// order of the price of a CPU; the caller leaves out those that were refused
// lately. At most most machines are asked for at once.
func Plan(lack float64, offers []Offer, most int) []Purchase {
	if lack <= 0 || len(offers) == 0 {
		return nil
	}
	best := slices.MinFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Price/a.CPUs, b.Price/b.CPUs), cmp.Compare(a.CPUs, b.CPUs),
			cmp.Compare(a.Zone, b.Zone))
	})
	n := min(int(math.Ceil(lack/best.CPUs)), most)
	return []Purchase{{best, n}}
}

// Kind is what the cloud's capacity depends on.
type Kind struct {
	Type string
	Zone string
	Spot bool
}

// Kind names the offer's kind.
func (o Offer) Kind() Kind { return Kind{o.Type, o.Zone, o.Spot} }
