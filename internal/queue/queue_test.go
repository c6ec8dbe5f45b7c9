package queue

import (
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
	for _, i := range []item{
		{"hopeless", 0, t0, Infeasible, 0}, {"deferred", 0, t0, Deferred, 9}, {"later", 2, t0.Add(2), Feasible, 0},
		{"low", 3, t0.Add(1), Feasible, 0}, {"urgent", 1, t0.Add(3), Feasible, 0}, {"preferred", 3, t0.Add(9), Feasible, 0.5},
	} {
		q.Add(i)
	}
	got := ""
	for _, i := range q.Items() {
		got += i.id + " "
	}
	if got != "urgent preferred low later deferred hopeless " {
		t.Error(got)
	}
	q.Remove(item{id: "low"})
	if len(q.Items()) != 5 {
		t.Error("not removed")
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
		t.Error(served)
	}
}

func TestGuaranteeAndLimit(t *testing.T) {
	q := Team[item]{CPUs: 4, LimitCPUs: 8, UsedCPUs: 3}
	if !q.Guaranteed(1, 0) || q.Guaranteed(2, 0) || !q.Allowed(5, 0, 0, 0) || q.Allowed(6, 0, 0, 0) {
		t.Error("bounds are wrong")
	}
	// What may be running on machines not heard of counts against the limit.
	if q.Allowed(2, 0, 4, 0) || q.Allowed(1, 1, 0, 0) {
		t.Error("uncertain use or missing GPUs were not counted")
	}
}

func TestDeferInfeasibleDefersLargest(t *testing.T) {
	now := time.Unix(0, 0)
	load := func(aim int, work float64) *Load {
		return &Load{Deadline: now.Add(time.Duration(aim) * time.Second), CPUSeconds: work}
	}
	big, a, b, c := load(10, 80), load(10, 20), load(12, 30), load(20, 40)
	DeferInfeasible([]*Load{c, b, a, big}, 10, now)
	if !big.Defer || a.Defer || b.Defer || c.Defer {
		t.Errorf("deferred: big %v, others %v %v %v", big.Defer, a.Defer, b.Defer, c.Defer)
	}
	DeferInfeasible([]*Load{c, b, a, big}, 100, now)
	if big.Defer {
		t.Error("deferred although all can be in time")
	}
}
