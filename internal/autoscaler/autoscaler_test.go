package autoscaler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/queue"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet is an autoscaler with the state that it reads: one team, and one type of machine with
// 4 CPUs, spot or not, in two zones.
type testFleet struct {
	*Autoscaler
	view *View
	team *queue.Team[*cluster.Job]
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	p := &policy.Policy{UseSpot: true, IdleTimeout: time.Minute, DrainDelay: 30 * time.Second}
	team := &queue.Team[*cluster.Job]{Name: "red", LimitCPUs: 1000}
	as := New(7, p, config.Workers{HeartbeatS: 2, LeaseS: 10})
	as.surplusSince = start // there was none so far
	return &testFleet{
		Autoscaler: as,
		team:       team,
		view: &View{
			Now:          start,
			Machines:     map[string]*cluster.Machine{},
			Provisioning: map[string]*Provisioning{},
			Teams:        []*queue.Team[*cluster.Job]{team},
			Jobs:         map[string]*cluster.Job{},
			Types: map[string]api.MachineType{"s": {
				Name: "s", CPUs: 4, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a", "b"},
			}},
		},
	}
}

// machine adds an empty machine that is in use since long ago.
func (f *testFleet) machine(name string, spot bool) *cluster.Machine {
	m := &cluster.Machine{
		Name: name, Type: "s", Zone: "a", Spot: spot, CPUs: 4, MemoryGB: 16,
		Fenced: true, Registration: cluster.Registered,
		AddedAt: start.Add(-time.Hour), IdleSince: start.Add(-time.Hour),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
	}
	f.view.Machines[name] = m
	return m
}

// job adds a pending job of tasks of one CPU that may use spot machines.
func (f *testFleet) job(id string, tasks int) *cluster.Job {
	j := &cluster.Job{
		Spec:          api.JobSpec{ID: id, Tasks: tasks, CPUs: 1, EstimateS: 100, Spot: true},
		Team:          f.team,
		RunnableSince: start.Add(-time.Minute),
		Objectives:    []time.Time{start.Add(100 * time.Second)}, // no time for a second task in turn
		Flight:        flight.New(tasks),
	}
	j.UpdateFeasibility(start)
	f.view.Jobs[id] = j
	f.team.Add(j)
	return j
}

// counts are the machines requested, by zone and price model, in order.
func counts(launches []Launch) []string {
	requested := make([]string, 0, len(launches))
	for _, l := range launches {
		requested = append(requested, fmt.Sprintf("%s %d %s spot=%t", l.Request.Name, l.Request.Count, l.Request.Zone,
			l.Request.Spot))
	}
	return requested
}

func check(t *testing.T, what string, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func names(machines []*cluster.Machine) []string {
	list := make([]string, 0, len(machines))
	for _, m := range machines {
		list = append(list, m.Name)
	}
	return list
}

func TestScaleOutLaunchesWhatIsMissing(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet)
		want   []string
	}{
		{"all", func(*testFleet) {}, []string{"r-7-1 5 a spot=true"}},
		{"headroom", func(f *testFleet) { f.policy.Headroom = 0.5 }, []string{"r-7-1 8 a spot=true"}},
		{"least fleet", func(f *testFleet) { f.policy.MinCPUs = 40 }, []string{"r-7-1 10 a spot=true"}},
		{"limit of the team", func(f *testFleet) { f.team.LimitCPUs = 8 }, []string{"r-7-1 2 a spot=true"}},
		{"no spot machines", func(f *testFleet) { f.policy.UseSpot = false }, []string{"r-7-1 5 a spot=false"}},
		{"beside a machine", func(f *testFleet) { f.machine("m", true) }, []string{"r-7-1 4 a spot=true"}},
		{"a machine on its way out does not count", func(f *testFleet) {
			f.machine("m", true).Advance(cluster.Evacuating)
		}, []string{"r-7-1 5 a spot=true"}},
		{"beside one that boots", func(f *testFleet) {
			f.view.Provisioning["m"] = &Provisioning{Type: "s", Zone: "a", CPUs: 4}
		}, []string{"r-7-1 4 a spot=true"}},
		{"one that is terminated unused does not count", func(f *testFleet) {
			f.view.Provisioning["m"] = &Provisioning{Type: "s", Zone: "a", CPUs: 4, Terminating: true}
		}, []string{"r-7-1 5 a spot=true"}},
		{"a job in backoff demands nothing", func(f *testFleet) { f.view.Jobs["job"].BackoffCount = 1 }, nil},
		{"a job that ends demands nothing", func(f *testFleet) { f.view.Jobs["job"].Finishing = true }, nil},
		{"unfenced machines", func(f *testFleet) { f.view.Unfenced = 1 }, nil},
		{"types not known", func(f *testFleet) { f.view.Types = nil }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.job("job", 20)
			c.change(f)
			check(t, "launches", counts(f.ScaleOut(f.view).Launches), c.want)
		})
	}
}

func TestDemandCountsTasksThatCanRunInTurnOnce(t *testing.T) {
	for _, c := range []struct {
		name       string
		objective  time.Duration
		guarantee  float64
		used       float64
		startBy    time.Time
		limit      float64
		wantDemand float64
	}{
		// A machine that is launched now has booted in 20 s; a task runs for 100 s.
		{"no time for a second task", 120 * time.Second, 0, 0, time.Time{}, 1000, 20},
		{"time for four in turn", 420 * time.Second, 0, 0, time.Time{}, 1000, 5},
		{"an objective for the start", 420 * time.Second, 0, 0, start, 1000, 20},
		{"a part is guaranteed", 420 * time.Second, 8, 0, time.Time{}, 1000, 8},
		{"all is guaranteed", 420 * time.Second, 50, 0, time.Time{}, 1000, 20},
		{"beside what is running", 420 * time.Second, 0, 3, time.Time{}, 1000, 8},
		{"limit of the team", 120 * time.Second, 50, 3, time.Time{}, 12, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.team.CPUs, f.team.LimitCPUs, f.team.UsedCPUs = c.guarantee, c.limit, c.used
			j := f.job("job", 20)
			j.StartBy, j.Objectives = c.startBy, []time.Time{start.Add(c.objective)}
			j.UpdateFeasibility(start)
			if got := f.Demand(f.view); got != c.wantDemand {
				t.Errorf("got %v CPUs, want %v", got, c.wantDemand)
			}
		})
	}
}

func TestJobsThatMayNotUseSpotMachinesGetOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet, j *cluster.Job)
		want   []string
	}{
		{"spot machines alone are free", func(*testFleet, *cluster.Job) {}, []string{"r-7-1 2 a spot=false"}},
		{"pending for less than two heartbeat intervals", func(_ *testFleet, j *cluster.Job) {
			j.RunnableSince = start.Add(-4 * time.Second)
		}, nil},
		{"another zone", func(_ *testFleet, j *cluster.Job) { j.Spec.Zone = "b" }, []string{"r-7-1 2 b spot=false"}},
		{"another type", func(_ *testFleet, j *cluster.Job) { j.Spec.Types = []string{"l"} }, nil},
		{"one other is free", func(f *testFleet, _ *cluster.Job) { f.machine("o", false) },
			[]string{"r-7-1 1 a spot=false"}},
		{"one other is draining", func(f *testFleet, _ *cluster.Job) { f.machine("o", false).Draining = true },
			[]string{"r-7-1 1 a spot=false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			for i := range 3 {
				f.machine(fmt.Sprint("m", i), true)
			}
			j := f.job("job", 8)
			j.Spec.Spot = false
			c.change(f, j)
			check(t, "launches", counts(f.ScaleOut(f.view).Launches), c.want)
			for _, m := range f.view.Machines {
				if m.Draining {
					t.Errorf("%s is draining", m.Name)
				}
			}
		})
	}
}

func TestPendingLaunchesCountForConstrainedJobs(t *testing.T) {
	f := newTestFleet(t)
	for i := range 3 {
		f.machine(fmt.Sprint("m", i), true)
	}
	f.job("job", 8).Spec.Spot = false
	launches := f.ScaleOut(f.view).Launches
	check(t, "first", counts(launches), []string{"r-7-1 2 a spot=false"})
	check(t, "while it is in flight", counts(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[0], 2, f.view.Now)
	for i := range 2 {
		f.view.Provisioning[fmt.Sprint("o", i)] = launches[0].Provisioning(f.view.Now)
	}
	check(t, "while they boot", counts(f.ScaleOut(f.view).Launches), nil)
}

func TestJobIsProvidedForOnceItsDependenciesHaveStarted(t *testing.T) {
	f := newTestFleet(t)
	for i := range 3 {
		f.machine(fmt.Sprint("m", i), true)
	}
	first, second := f.job("first", 1), f.job("second", 4)
	f.team.Remove(second)
	second.Spec.Spot = false
	second.DependsOn = map[string]bool{"first": true}
	check(t, "before", counts(f.ScaleOut(f.view).Launches), nil)
	first.FirstStart = start
	check(t, "after", counts(f.ScaleOut(f.view).Launches), []string{"r-7-1 1 a spot=false"})
}

func TestLaunchesCountUntilTheirOutcome(t *testing.T) {
	f := newTestFleet(t)
	f.job("job", 20)
	launches := f.ScaleOut(f.view).Launches
	check(t, "first", counts(launches), []string{"r-7-1 5 a spot=true"})
	check(t, "while it is in flight", counts(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[0], 2, f.view.Now)
	for i := range 2 {
		f.view.Provisioning[fmt.Sprint("m", i)] = launches[0].Provisioning(f.view.Now)
	}
	// The cloud had too few of the kind, so what is missing is requested of another.
	launches = f.ScaleOut(f.view).Launches
	check(t, "second", counts(launches), []string{"r-7-2 3 b spot=true"})
	f.LaunchEnded(launches[0], 0, f.view.Now)
	launches = f.ScaleOut(f.view).Launches
	check(t, "third", counts(launches), []string{"r-7-3 3 a spot=false"})
	f.LaunchEnded(launches[0], 0, f.view.Now)
	f.view.Now = f.view.Now.Add(unavailableTTL)
	check(t, "while all kinds but one are unavailable", counts(f.ScaleOut(f.view).Launches),
		[]string{"r-7-4 3 b spot=false"})
	if f.view.Now = f.view.Now.Add(time.Millisecond); !f.CanLaunch(f.view.Types, f.view.Now) {
		t.Error("nothing can be launched after unavailableTTL")
	}
}

func TestNoMoreLaunchesThanMayBeInFlight(t *testing.T) {
	f := newTestFleet(t)
	f.team.LimitCPUs = 1e6
	f.job("job", 10_000)
	launches := f.ScaleOut(f.view).Launches
	if len(launches) != maxLaunchesInFlight {
		t.Fatalf("%d launches, want %d", len(launches), maxLaunchesInFlight)
	}
	check(t, "while they are in flight", counts(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[1], launches[1].Request.Count, f.view.Now)
	if again := f.ScaleOut(f.view).Launches; len(again) != 1 {
		t.Errorf("%d launches after one ended, want 1", len(again))
	}
}

func TestOneTerminationRequestAtATime(t *testing.T) {
	f := newTestFleet(t)
	a, b := f.machine("a", true), f.machine("b", true)
	check(t, "none in flight", f.ScaleIn(a), []string{"a"})
	check(t, "one in flight", f.ScaleIn(b), nil)
	for _, m := range []*cluster.Machine{a, b} {
		if m.Phase() != cluster.Terminating {
			t.Errorf("%s is in phase %d", m.Name, m.Phase())
		}
	}
	check(t, "tick", f.Tick(f.view).Terminate, nil)
	f.TerminationEnded([]string{"a"}) // it failed
	check(t, "tick after a failure", f.Tick(f.view).Terminate, []string{"b", "a"})
	f.TerminationEnded(nil)
	check(t, "nothing left", f.NextTermination(), nil)
	for i := range cloud.MaxTerminate + 2 {
		f.ScaleIn(f.machine(fmt.Sprint("m", i), true))
	}
	f.TerminationEnded(nil)
	if n := len(f.NextTermination()); n != cloud.MaxTerminate {
		t.Errorf("a request for %d machines, want %d", n, cloud.MaxTerminate)
	}
	f.TerminationEnded(nil)
	if n := len(f.NextTermination()); n != 1 {
		t.Errorf("the last request is for %d machines, want 1", n)
	}
}

func TestListIsReadEachInterval(t *testing.T) {
	f := newTestFleet(t)
	for _, step := range []struct {
		name string
		at   time.Duration
		end  bool
		want bool
	}{
		{"at once", 0, false, true},
		{"not while it is read", time.Minute, true, false},
		{"not within the interval", time.Minute + listInterval - 1, false, false},
		{"after the interval", time.Minute + listInterval, false, true},
	} {
		f.view.Now = start.Add(step.at)
		if got := f.Tick(f.view).List; got != step.want {
			t.Errorf("%s: got %t", step.name, got)
		}
		if step.end {
			f.ListEnded(f.view.Now)
		}
	}
}

// drainAfter ticks each second for a while, and returns the names of the machines drained meanwhile.
func (f *testFleet) drainAfter(d time.Duration) []string {
	var drained []string
	for end := f.view.Now.Add(d); f.view.Now.Before(end); {
		f.view.Now = f.view.Now.Add(time.Second)
		for _, d := range f.ScaleOut(f.view).Drained {
			drained = append(drained, d.Machine.Name)
		}
	}
	return drained
}

func TestMachinesBeyondTheDemandPeakAreDrained(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"spot-1", "spot-2"} {
		f.machine(name, true)
	}
	f.machine("full-price", false)
	f.machine("new", false).AddedAt = start.Add(time.Hour)
	job := f.job("job", 16)
	check(t, "all needed", f.drainAfter(time.Minute), nil)
	f.team.Remove(job)
	f.job("rest", 10)
	check(t, "within the window of the peak", f.drainAfter(f.policy.DrainDelay), nil)
	check(t, "surplus too short", f.drainAfter(minSurplusTime-time.Second), nil)
	check(t, "the most expensive machine", f.drainAfter(time.Minute), []string{"full-price"})
	f.team.Add(job)
	check(t, "demand rises", f.drainAfter(time.Second), nil)
	if f.view.Machines["full-price"].Draining {
		t.Error("the machine is still draining")
	}
}

func TestIdleMachinesBeyondTheDemandPeakEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand int
		change func(m *cluster.Machine)
		want   []string
	}{
		{"most expensive first", 4, nil, []string{"full-price", "spot-1"}},
		{"all are needed", 12, nil, nil},
		{"one is not needed", 5, nil, []string{"full-price"}},
		{"in use lately", 8, func(m *cluster.Machine) { m.IdleSince = start }, []string{"spot-1"}},
		{"in use lately, but draining", 8, func(m *cluster.Machine) {
			m.IdleSince, m.Draining = start, true
		}, []string{"full-price"}},
		{"paid for anyway", 8, func(m *cluster.Machine) {
			m.AddedAt, m.Draining = start.Add(time.Second-minUptime), true
		}, []string{"spot-1"}},
		{"unfenced", 8, func(m *cluster.Machine) { m.Fenced = false }, []string{"spot-1"}},
		{"with an attempt", 8, func(m *cluster.Machine) {
			m.Attempts[cluster.AttemptKey{ID: 1}] = &cluster.Attempt{}
		}, []string{"spot-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			for _, name := range []string{"spot-1", "spot-2"} {
				f.machine(name, true)
			}
			m := f.machine("full-price", false)
			f.job("job", c.demand)
			f.ScaleOut(f.view)
			if c.change != nil {
				c.change(m)
			}
			check(t, "idle", names(f.IdleMachines(f.view)), c.want)
			if len(c.want) > 0 && c.demand != 4 {
				check(t, "idle again, within the surplus that is left", names(f.IdleMachines(f.view)), nil)
			}
		})
	}
}

func TestAttemptsThatAreWorthMoving(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet, a *cluster.Attempt)
		want   bool
	}{
		{"in the middle of its run", func(*testFleet, *cluster.Attempt) {}, true},
		{"without checkpoints", func(_ *testFleet, a *cluster.Attempt) { a.Job.Spec.CheckpointS = 0 }, false},
		{"near its start", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(-minRunBeforeMove)
		}, false},
		{"near its end", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(minRemainingForMove + a.Job.Spec.SaveDuration() - a.Job.Spec.Estimate())
		}, false},
		// 165 s remain, a quarter more are allowed for, and the transfer takes 3 + 6 + 5 s.
		{"just in time elsewhere", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(-35 * time.Second)
			a.Job.Objectives = []time.Time{start.Add(221 * time.Second)}
			a.Job.UpdateFeasibility(start)
		}, true},
		{"not in time elsewhere", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(-35 * time.Second)
			a.Job.Objectives = []time.Time{start.Add(220 * time.Second)}
			a.Job.UpdateFeasibility(start)
		}, false},
		{"late in any case", func(_ *testFleet, a *cluster.Attempt) { a.Job.Infeasible = true }, true},
		{"stopped already", func(_ *testFleet, a *cluster.Attempt) { a.Stop = &cluster.StopRequest{} }, false},
		{"exited", func(_ *testFleet, a *cluster.Attempt) { a.Exited = true }, false},
		{"saving", func(_ *testFleet, a *cluster.Attempt) { a.Phase = api.TaskSaving }, false},
		{"job unknown", func(_ *testFleet, a *cluster.Attempt) { a.Job = nil }, false},
		{"job ended", func(_ *testFleet, a *cluster.Attempt) { a.Job.Ended = true }, false},
		{"machine in use", func(_ *testFleet, a *cluster.Attempt) { a.Machine.Draining = false }, false},
		{"no capacity elsewhere", func(f *testFleet, a *cluster.Attempt) {
			f.view.Machines["free"].UsedCPUs = 1.5
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.machine("free", true)
			m := f.machine("draining", true)
			m.Draining, m.UsedCPUs = true, 1
			j := f.job("job", 1)
			j.Spec.EstimateS, j.Spec.CheckpointS, j.Spec.SaveS = 200, 10, 3
			j.Objectives = []time.Time{start.Add(time.Hour)}
			j.UpdateFeasibility(start)
			a := &cluster.Attempt{Machine: m, Job: j, Phase: api.TaskRunning, RunningAt: start.Add(-time.Minute)}
			m.Attempts[cluster.AttemptKey{ID: 1}] = a
			c.change(f, a)
			stops := f.MoveCheckpointed(f.view)
			if moved := len(stops) == 1; moved != c.want {
				t.Fatalf("%d attempts moved, want moved=%t", len(stops), c.want)
			}
			if c.want && (stops[0].Attempt != a || stops[0].Grace != 7*time.Second) {
				t.Errorf("got %+v, want the attempt with twice its time to save and a second", stops[0])
			}
		})
	}
}

func TestMachinesWithoutHeartbeatAreTerminated(t *testing.T) {
	const limit = 4*20 + 10 // four times the time to boot, and the task lease
	for _, c := range []struct {
		name        string
		phase       string
		ageS        float64
		terminating bool
		want        bool
	}{
		{"boots", "up", 1, false, false},
		{"at the limit", "up", limit, false, false},
		{"beyond the limit", "up", limit + 1, false, true},
		{"failed", cloud.PhaseFailed, 1, false, true},
		{"requested already", cloud.PhaseFailed, limit + 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			mt := f.view.Types["s"]
			listed := &cloud.Machine{Name: "m", Type: "s", Zone: "b", Spot: true, Phase: c.phase, AgeS: c.ageS}
			p := ListedProvisioning(listed, mt, start)
			p.Terminating = c.terminating
			if got := f.TerminateOverdue(p, listed, mt, start); got != c.want {
				t.Errorf("terminated: got %t, want %t", got, c.want)
			}
			var want []string
			if c.want {
				want = []string{"m"}
			}
			check(t, "next request", f.NextTermination(), want)
			if p.Terminating != (c.want || c.terminating) {
				t.Errorf("terminating: got %t", p.Terminating)
			}
		})
	}
}

func TestDemandPeakIsTheHighestOfItsWindow(t *testing.T) {
	var p demandPeak
	const window = 10 * time.Second
	for _, step := range []struct {
		second     int
		cpus, want float64
	}{
		{0, 5, 5}, {1, 9, 9}, {2, 3, 9}, {6, 7, 9}, {11, 2, 9}, {12, 1, 7}, {16, 1, 7}, {17, 0, 2}, {28, 0, 0},
	} {
		if got := p.add(start.Add(time.Duration(step.second)*time.Second), step.cpus, window); got != step.want {
			t.Errorf("second %d: got %v, want %v", step.second, got, step.want)
		}
	}
}

func TestPrices(t *testing.T) {
	types := map[string]api.MachineType{
		"s": {Name: "s", CPUs: 4, Price: 8, SpotPrice: 2},
		"l": {Name: "l", CPUs: 10, Price: 9},
		"-": {Name: "-", Price: 1},
	}
	if got := LowestCPUPrice(types); got != 0.5 {
		t.Errorf("lowest: got %v, want 0.5", got)
	}
	for _, c := range []struct {
		typ  string
		spot bool
		want float64
	}{{"s", false, 2}, {"s", true, 0.5}, {"l", false, 0.9}, {"-", false, 0}, {"unknown", false, 0}} {
		if got := CPUPrice(types, &cluster.Machine{Type: c.typ, Spot: c.spot}); got != c.want {
			t.Errorf("%s, spot=%t: got %v, want %v", c.typ, c.spot, got, c.want)
		}
	}
}
