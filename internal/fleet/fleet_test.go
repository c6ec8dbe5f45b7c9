package fleet

import "testing"

func TestPlan(t *testing.T) {
	spot := Offer{Type: "s", Spot: true, CPUs: 16, Price: 0.4}
	dear := Offer{Type: "s", CPUs: 16, Price: 0.9}
	large := Offer{Type: "l", CPUs: 64, Price: 3}
	all := []Offer{dear, large, spot}
	for _, c := range []struct {
		lack float64
		asks int
		want []int // machines of spot, large, dear
	}{
		{0, 3, nil},
		{17, 3, []int{2}},
		// The rest of a small lack waits for what the cheapest can give.
		{60 * 16, 3, []int{50}},
		{1e4, 3, []int{50, 50, 50}},
		{1e4, 2, []int{50, 50}},
	} {
		got := Plan(c.lack, all, 50, c.asks)
		if len(got) != len(c.want) {
			t.Errorf("lack %v: %v", c.lack, got)
			continue
		}
		for i, p := range got {
			if p.Count != c.want[i] || p.Offer != []Offer{spot, large, dear}[i] {
				t.Errorf("lack %v: purchase %d is %v", c.lack, i, p)
			}
		}
	}
}
