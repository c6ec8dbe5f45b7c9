package queue

import (
	"slices"
	"testing"
	"time"
)

type item struct {
	id          string
	rank        int
	latestStart time.Time
	feasibility Feasibility
	preference  float64
}

func (i item) ID() string               { return i.id }
func (i item) Rank() int                { return i.rank }
func (i item) LatestStart() time.Time   { return i.latestStart }
func (i item) Feasibility() Feasibility { return i.feasibility }
func (i item) Preference() float64      { return i.preference }

func TestItemsAreServedInOrder(t *testing.T) {
	t0 := time.Unix(0, 0)
	var q Team[item]
	for _, added := range []item{
		{id: "infeasible", latestStart: t0, feasibility: Infeasible},
		{id: "deferred", latestStart: t0, feasibility: Deferred, preference: 9},
		{id: "later", rank: 2, latestStart: t0.Add(2)},
		{id: "low", rank: 3, latestStart: t0.Add(1)},
		{id: "urgent", rank: 1, latestStart: t0.Add(3)},
		{id: "preferred", rank: 3, latestStart: t0.Add(9), preference: 0.5},
	} {
		q.Add(added)
	}
	got := make([]string, 0, len(q.Items()))
	for _, i := range q.Items() {
		got = append(got, i.id)
	}
	want := []string{"urgent", "preferred", "low", "later", "deferred", "infeasible"}
	if !slices.Equal(got, want) {
		t.Errorf("serving order: got %v, want %v", got, want)
	}
	q.Remove(item{id: "low"})
	if n := len(q.Items()); n != 5 {
		t.Errorf("%d jobs are queued after one of 6 was removed, want 5", n)
	}
}

func TestTeamsAreServedByShare(t *testing.T) {
	a, b := &Team[item]{Name: "a", Share: 1}, &Team[item]{Name: "b", Share: 3}
	served := map[string]int{}
	for range 40 {
		teams := []*Team[item]{b, a}
		SortByShare(teams)
		teams[0].UsedCPUs++
		served[teams[0].Name]++
	}
	if served["a"] != 10 || served["b"] != 30 {
		t.Errorf("served %v, want 10 of a and 30 of b", served)
	}
}

func TestGuaranteeAndLimit(t *testing.T) {
	q := Team[item]{GuaranteedCPUs: 4, LimitCPUs: 8, UsedCPUs: 3}
	for _, c := range []struct {
		name      string
		got, want bool
	}{
		{"at the guarantee", q.WithinGuarantee(1, 0), true},
		{"beyond the guarantee", q.WithinGuarantee(2, 0), false},
		{"at the limit", q.WithinLimit(5, 0, 0, 0), true},
		{"beyond the limit", q.WithinLimit(6, 0, 0, 0), false},
		// Tasks that may be running on unfenced machines count against the limit.
		{"beyond the limit with uncertain usage", q.WithinLimit(2, 0, 4, 0), false},
		{"GPUs beyond the limit", q.WithinLimit(1, 1, 0, 0), false},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
}

func TestDeferInfeasibleDefersLargest(t *testing.T) {
	now := time.Unix(0, 0)
	load := func(deadlineS int, work float64) *Load {
		return &Load{Deadline: now.Add(time.Duration(deadlineS) * time.Second), CPUSeconds: work}
	}
	// 10 CPUs provide 100, 120 and 200 CPU seconds by the three deadlines. Not all four jobs can
	// be in time, but the three smallest can.
	largest, a, b, c := load(10, 80), load(10, 20), load(12, 30), load(20, 40)
	DeferInfeasible([]*Load{c, b, a, largest}, 10, now)
	if !largest.Deferred || a.Deferred || b.Deferred || c.Deferred {
		t.Errorf("deferred: largest %v, others %v %v %v, want only the largest",
			largest.Deferred, a.Deferred, b.Deferred, c.Deferred)
	}
	DeferInfeasible([]*Load{c, b, a, largest}, 100, now)
	if largest.Deferred {
		t.Error("the largest job is deferred although all jobs can be in time")
	}
}
