package autoscaler

import (
	"slices"
	"testing"
)

func TestPlan(t *testing.T) {
	spot := Offer{Type: "s", Spot: true, CPUs: 16, Price: 0.4}
	expensive := Offer{Type: "s", CPUs: 16, Price: 0.9}
	large := Offer{Type: "l", CPUs: 64, Price: 3}
	byPrice := []Offer{spot, large, expensive}
	for _, c := range []struct {
		name        string
		missingCPUs float64
		maxRequests int
		want        []int // machines requested of each offer of byPrice
	}{
		{"nothing missing", 0, 3, nil},
		{"covered by the cheapest offer", 17, 3, []int{2}},
		// A remainder that does not fill a whole request waits for the response to the first one.
		{"small remainder", 60 * 16, 3, []int{50}},
		{"large remainder", 1e4, 3, []int{50, 50, 50}},
		{"number of requests limited", 1e4, 2, []int{50, 50}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var want []plannedLaunch
			for i, count := range c.want {
				want = append(want, plannedLaunch{Offer: byPrice[i], Count: count})
			}
			got := planLaunches(c.missingCPUs, []Offer{expensive, large, spot}, offerCPUs, 50, c.maxRequests)
			if !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
