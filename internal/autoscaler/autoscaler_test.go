package autoscaler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/queue"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet is an autoscaler with the state that it reads: one team, and one machine type with 4 CPUs
// that is offered in two zones, at the regular and the spot price.
type testFleet struct {
	*Autoscaler
	view *View
	team *queue.Team[*cluster.Job]
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	p := &policy.Policy{UseSpot: true, IdleTimeout: time.Minute, DemandWindow: 30 * time.Second}
	team := &queue.Team[*cluster.Job]{Name: "red", LimitCPUs: 1000}
	scaler := New(7, p, config.Workers{HeartbeatS: 2, LeaseS: 10}, config.CloudLimits{ListLagS: 4})
	scaler.surplusSince = start // no surplus before the test starts
	scaler.listRead = true
	return &testFleet{
		Autoscaler: scaler,
		team:       team,
		view: &View{
			Now:          start,
			Machines:     map[string]*cluster.Machine{},
			Provisioning: map[string]*ProvisioningMachine{},
			Teams:        []*queue.Team[*cluster.Job]{team},
			Jobs:         map[string]*cluster.Job{},
			Types: map[string]api.MachineType{"s": {
				Name: "s", CPUs: 4, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a", "b"},
			}},
		},
	}
}

// addMachine adds an active machine that was launched an hour ago and has been empty since.
func (f *testFleet) addMachine(name string, spot bool) *cluster.Machine {
	m := &cluster.Machine{
		Name: name, Type: "s", Zone: "a", Spot: spot, CPUs: 4, MemoryGB: 16,
		Fenced: true, Registration: cluster.Registered,
		AddedAt: start.Add(-time.Hour), IdleSince: start.Add(-time.Hour),
		Attempts: map[cluster.AttemptKey]*cluster.Attempt{},
	}
	f.view.Machines[name] = m
	return m
}

// addJob adds a pending job whose tasks need one CPU each and may use spot machines.
func (f *testFleet) addJob(id string, tasks int) *cluster.Job {
	j := &cluster.Job{
		Spec:          api.JobSpec{ID: id, Tasks: tasks, CPUs: 1, EstimateS: 100, Spot: true},
		Team:          f.team,
		RunnableSince: start.Add(-time.Minute),
		Objectives:    []time.Time{start.Add(100 * time.Second)}, // no time to run two tasks one after the other
		Flight:        flight.New(tasks),
		Done:          bitset.New(uint(tasks)),
	}
	j.UpdateFeasibility(start)
	f.view.Jobs[id] = j
	f.team.Add(j)
	return j
}

// formatLaunches returns the name, machine count, zone and price model of each launch request.
func formatLaunches(launches []Launch) []string {
	requested := make([]string, 0, len(launches))
	for _, l := range launches {
		requested = append(requested, fmt.Sprintf("%s %d %s spot=%t", l.Request.Name, l.Request.Count, l.Request.Zone,
			l.Request.Spot))
	}
	return requested
}

func checkStrings(t *testing.T, what string, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func machineNames(machines []*cluster.Machine) []string {
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
		{"empty fleet", func(*testFleet) {}, []string{"r-7-1 5 a spot=true"}},
		{"headroom", func(f *testFleet) { f.policy.Headroom = 0.5 }, []string{"r-7-1 8 a spot=true"}},
		{"minimum fleet size", func(f *testFleet) { f.policy.MinCPUs = 40 }, []string{"r-7-1 10 a spot=true"}},
		{"team limit", func(f *testFleet) { f.team.LimitCPUs = 8 }, []string{"r-7-1 2 a spot=true"}},
		{"spot machines disabled", func(f *testFleet) { f.policy.UseSpot = false }, []string{"r-7-1 5 a spot=false"}},
		{"one machine in the fleet", func(f *testFleet) { f.addMachine("m", true) }, []string{"r-7-1 4 a spot=true"}},
		{"evacuating machine does not count", func(f *testFleet) {
			f.addMachine("m", true).Advance(cluster.Evacuating)
		}, []string{"r-7-1 5 a spot=true"}},
		{"one machine booting", func(f *testFleet) {
			f.view.Provisioning["m"] = &ProvisioningMachine{Type: "s", Zone: "a", CPUs: 4}
		}, []string{"r-7-1 4 a spot=true"}},
		{"booting machine that is terminated does not count", func(f *testFleet) {
			f.view.Provisioning["m"] = &ProvisioningMachine{Type: "s", Zone: "a", CPUs: 4, Terminating: true}
		}, []string{"r-7-1 5 a spot=true"}},
		{"job in backoff needs capacity for one task", func(f *testFleet) {
			f.view.Jobs["job"].BackoffCount = 1
		}, []string{"r-7-1 1 a spot=true"}},
		{"job in backoff needs no second machine", func(f *testFleet) {
			f.view.Jobs["job"].BackoffCount = 1
			f.addMachine("m", true)
		}, nil},
		{"finishing job has no demand", func(f *testFleet) { f.view.Jobs["job"].Finishing = true }, nil},
		{"list of machines not read yet", func(f *testFleet) { f.listRead = false }, nil},
		{"unfenced machines", func(f *testFleet) { f.view.Unfenced = 1 }, nil},
		{"machine types unknown", func(f *testFleet) { f.view.Types = nil }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addJob("job", 20)
			c.change(f)
			checkStrings(t, "launches", formatLaunches(f.ScaleOut(f.view).Launches), c.want)
		})
	}
}

func TestDemandCountsSequentialTasksOnce(t *testing.T) {
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
		{"no time for a second task on a CPU", 120 * time.Second, 0, 0, time.Time{}, 1000, 20},
		{"time for four tasks one after the other", 420 * time.Second, 0, 0, time.Time{}, 1000, 5},
		{"objective for the start", 420 * time.Second, 0, 0, start, 1000, 20},
		{"partly within the guarantee", 420 * time.Second, 8, 0, time.Time{}, 1000, 8},
		{"entirely within the guarantee", 420 * time.Second, 50, 0, time.Time{}, 1000, 20},
		{"some tasks already running", 420 * time.Second, 0, 3, time.Time{}, 1000, 8},
		{"team limit", 120 * time.Second, 50, 3, time.Time{}, 12, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.team.GuaranteedCPUs, f.team.LimitCPUs, f.team.UsedCPUs = c.guarantee, c.limit, c.used
			j := f.addJob("job", 20)
			j.StartBy, j.Objectives = c.startBy, []time.Time{start.Add(c.objective)}
			j.UpdateFeasibility(start)
			if got := f.Demand(f.view); got != c.wantDemand {
				t.Errorf("got %v CPUs, want %v", got, c.wantDemand)
			}
		})
	}
}

func TestConstrainedJobsGetMatchingMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet, j *cluster.Job)
		want   []string
	}{
		{"only spot machines are free", func(*testFleet, *cluster.Job) {}, []string{"r-7-1 2 a spot=false"}},
		{"runnable for no more than two heartbeat intervals", func(_ *testFleet, j *cluster.Job) {
			j.RunnableSince = start.Add(-4 * time.Second)
		}, nil},
		{"another zone", func(_ *testFleet, j *cluster.Job) { j.Spec.Zone = "b" }, []string{"r-7-1 2 b spot=false"}},
		{"another type", func(_ *testFleet, j *cluster.Job) { j.Spec.Types = []string{"l"} }, nil},
		{"one regular machine is free", func(f *testFleet, _ *cluster.Job) { f.addMachine("o", false) },
			[]string{"r-7-1 1 a spot=false"}},
		{"one regular machine is draining", func(f *testFleet, _ *cluster.Job) {
			f.addMachine("o", false).Draining = true
		}, []string{"r-7-1 1 a spot=false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			for i := range 3 {
				f.addMachine(fmt.Sprint("m", i), true)
			}
			j := f.addJob("job", 8)
			j.Spec.Spot = false
			c.change(f, j)
			checkStrings(t, "launches", formatLaunches(f.ScaleOut(f.view).Launches), c.want)
			for _, m := range f.view.Machines {
				if m.Draining {
					t.Errorf("%s is draining", m.Name)
				}
			}
		})
	}
}

// Guards against a job that waits for ever next to free capacity that it must avoid, since its tasks failed
// there, and against machines launched although the job can use another one.
func TestMachinesThatAJobAvoidsDoNotCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet, j *cluster.Job)
		want   []string
	}{
		{"only the avoided machine is free", func(*testFleet, *cluster.Job) {}, []string{"r-7-1 1 a spot=true"}},
		{"constrained to a zone", func(_ *testFleet, j *cluster.Job) { j.Spec.Zone = "a" },
			[]string{"r-7-1 1 a spot=true"}},
		{"exclusion has ended", func(f *testFleet, _ *cluster.Job) { f.view.Now = start.Add(time.Minute) }, nil},
		{"runnable for no more than two heartbeat intervals", func(_ *testFleet, j *cluster.Job) {
			j.RunnableSince = start.Add(-4 * time.Second)
		}, nil},
		{"in backoff", func(_ *testFleet, j *cluster.Job) { j.BackoffCount = 1 }, nil},
		{"the avoided machine is full", func(f *testFleet, _ *cluster.Job) {
			f.view.Machines["m"].UsedCPUs, f.team.LimitCPUs = 4, 2
		}, nil},
		{"another machine is free", func(f *testFleet, _ *cluster.Job) { f.addMachine("o", true) }, nil},
		{"another machine is draining", func(f *testFleet, _ *cluster.Job) {
			f.addMachine("o", true).Draining = true
		}, nil},
		{"a machine is booting", func(f *testFleet, _ *cluster.Job) {
			f.view.Provisioning["o"] = &ProvisioningMachine{Type: "s", Zone: "a", CPUs: 4}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addMachine("m", true)
			j := f.addJob("job", 2)
			for task := range 2 {
				j.Exclusions.RecordFailure(task, "m", start)
			}
			c.change(f, j)
			checkStrings(t, "launches", formatLaunches(f.ScaleOut(f.view).Launches), c.want)
			if o := f.view.Machines["o"]; o != nil && o.Draining {
				t.Error("the other machine is still draining")
			}
			checkStrings(t, "while it is in flight", formatLaunches(f.ScaleOut(f.view).Launches), nil)
		})
	}
}

func TestPendingLaunchesCountForConstrainedJobs(t *testing.T) {
	f := newTestFleet(t)
	for i := range 3 {
		f.addMachine(fmt.Sprint("m", i), true)
	}
	f.addJob("job", 8).Spec.Spot = false
	launches := f.ScaleOut(f.view).Launches
	checkStrings(t, "first launch", formatLaunches(launches), []string{"r-7-1 2 a spot=false"})
	checkStrings(t, "while it is in flight", formatLaunches(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[0], 2, f.view.Now)
	for i := range 2 {
		f.view.Provisioning[fmt.Sprint("o", i)] = launches[0].ProvisioningMachine(f.view.Now)
	}
	checkStrings(t, "while the machines boot", formatLaunches(f.ScaleOut(f.view).Launches), nil)
}

func TestMachinesAreLaunchedOnceDependenciesHaveStarted(t *testing.T) {
	f := newTestFleet(t)
	for i := range 3 {
		f.addMachine(fmt.Sprint("m", i), true)
	}
	first, second := f.addJob("first", 1), f.addJob("second", 4)
	f.team.Remove(second)
	second.Spec.Spot = false
	second.DependsOn = map[string]bool{"first": true}
	checkStrings(t, "before the dependency starts", formatLaunches(f.ScaleOut(f.view).Launches), nil)
	first.FirstStart = start
	checkStrings(t, "after the dependency has started", formatLaunches(f.ScaleOut(f.view).Launches),
		[]string{"r-7-1 1 a spot=false"})
}

func TestLaunchesCountUntilTheirOutcome(t *testing.T) {
	f := newTestFleet(t)
	f.addJob("job", 20)
	launches := f.ScaleOut(f.view).Launches
	checkStrings(t, "first launch", formatLaunches(launches), []string{"r-7-1 5 a spot=true"})
	checkStrings(t, "while it is in flight", formatLaunches(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[0], 2, f.view.Now)
	for i := range 2 {
		f.view.Provisioning[fmt.Sprint("m", i)] = launches[0].ProvisioningMachine(f.view.Now)
	}
	// The cloud launched fewer machines than requested, so the rest is requested from another pool.
	launches = f.ScaleOut(f.view).Launches
	checkStrings(t, "second launch", formatLaunches(launches), []string{"r-7-2 3 b spot=true"})
	f.LaunchEnded(launches[0], 0, f.view.Now)
	launches = f.ScaleOut(f.view).Launches
	checkStrings(t, "third launch", formatLaunches(launches), []string{"r-7-3 3 a spot=false"})
	f.LaunchEnded(launches[0], 0, f.view.Now)
	f.view.Now = f.view.Now.Add(unavailableTTL)
	checkStrings(t, "while all pools but one are unavailable", formatLaunches(f.ScaleOut(f.view).Launches),
		[]string{"r-7-4 3 b spot=false"})
	if f.view.Now = f.view.Now.Add(time.Millisecond); !f.CanLaunch(f.view.Types, f.view.Now) {
		t.Error("no offer is available after unavailableTTL")
	}
}

func TestLaunchesInFlightAreLimited(t *testing.T) {
	f := newTestFleet(t)
	f.team.LimitCPUs = 1e6
	f.addJob("job", 10_000)
	launches := f.ScaleOut(f.view).Launches
	if len(launches) != maxLaunchesInFlight {
		t.Fatalf("%d launches, want %d", len(launches), maxLaunchesInFlight)
	}
	checkStrings(t, "while the maximum is in flight", formatLaunches(f.ScaleOut(f.view).Launches), nil)
	f.LaunchEnded(launches[1], launches[1].Request.Count, f.view.Now)
	if again := f.ScaleOut(f.view).Launches; len(again) != 1 {
		t.Errorf("%d launches after one ended, want 1", len(again))
	}
}

func TestOneTerminationRequestAtATime(t *testing.T) {
	f := newTestFleet(t)
	a, b := f.addMachine("a", true), f.addMachine("b", true)
	checkStrings(t, "no request in flight", f.ScaleIn(a), []string{"a"})
	checkStrings(t, "one request in flight", f.ScaleIn(b), nil)
	for _, m := range []*cluster.Machine{a, b} {
		if m.Phase() != cluster.Terminating {
			t.Errorf("machine %s is in phase %d, want %d", m.Name, m.Phase(), cluster.Terminating)
		}
	}
	checkStrings(t, "tick while a request is in flight", f.Tick(f.view).Terminate, nil)
	f.TerminationEnded([]string{"a"}) // the request failed
	checkStrings(t, "tick after a failed request", f.Tick(f.view).Terminate, []string{"b", "a"})
	f.TerminationEnded(nil)
	checkStrings(t, "no machine queued", f.NextTermination(), nil)
	for i := range cloud.MaxTerminate + 2 {
		f.ScaleIn(f.addMachine(fmt.Sprint("m", i), true))
	}
	f.TerminationEnded(nil)
	if n := len(f.NextTermination()); n != cloud.MaxTerminate {
		t.Errorf("first request is for %d machines, want %d", n, cloud.MaxTerminate)
	}
	f.TerminationEnded(nil)
	if n := len(f.NextTermination()); n != 1 {
		t.Errorf("last request is for %d machines, want 1", n)
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
		{"at the start", 0, false, true},
		{"while the list is being read", time.Minute, true, false},
		{"within the interval", time.Minute + listInterval - 1, false, false},
		{"after the interval", time.Minute + listInterval, false, true},
	} {
		f.view.Now = start.Add(step.at)
		if got := f.Tick(f.view).List; got != step.want {
			t.Errorf("%s: list read: got %t, want %t", step.name, got, step.want)
		}
		if step.end {
			f.ListEnded(f.view.Now)
		}
	}
}

// drainedWithin runs ScaleOut once per second for a duration, and returns the names of the machines that
// start draining.
func (f *testFleet) drainedWithin(d time.Duration) []string {
	var drained []string
	for end := f.view.Now.Add(d); f.view.Now.Before(end); {
		f.view.Now = f.view.Now.Add(time.Second)
		for _, drain := range f.ScaleOut(f.view).Drains {
			drained = append(drained, drain.Machine.Name)
		}
	}
	return drained
}

func TestMachinesBeyondTheDemandPeakAreDrained(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"spot-1", "spot-2"} {
		f.addMachine(name, true)
	}
	f.addMachine("full-price", false)
	f.addMachine("new", false).AddedAt = start.Add(time.Hour)
	job := f.addJob("job", 16)
	checkStrings(t, "all machines needed", f.drainedWithin(time.Minute), nil)
	f.team.Remove(job)
	f.addJob("rest", 10)
	checkStrings(t, "within the demand window", f.drainedWithin(f.policy.DemandWindow), nil)
	checkStrings(t, "before minSurplusDuration", f.drainedWithin(minSurplusDuration-time.Second), nil)
	checkStrings(t, "after minSurplusDuration", f.drainedWithin(time.Minute), []string{"full-price"})
	f.team.Add(job)
	checkStrings(t, "after the demand has risen", f.drainedWithin(time.Second), nil)
	if f.view.Machines["full-price"].Draining {
		t.Error("machine full-price is still draining")
	}
}

func TestIdleMachinesBeyondTheDemandPeakAreTerminated(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand int
		change func(m *cluster.Machine)
		want   []string
	}{
		{"most expensive first", 4, nil, []string{"full-price", "spot-1"}},
		{"all machines needed", 12, nil, nil},
		{"one machine not needed", 5, nil, []string{"full-price"}},
		{"recently used", 8, func(m *cluster.Machine) { m.IdleSince = start }, []string{"spot-1"}},
		{"recently used, but draining", 8, func(m *cluster.Machine) {
			m.IdleSince, m.Draining = start, true
		}, []string{"full-price"}},
		{"within the minimum billed time", 8, func(m *cluster.Machine) {
			m.AddedAt, m.Draining = start.Add(time.Second-minBilledTime), true
		}, []string{"spot-1"}},
		{"unfenced", 8, func(m *cluster.Machine) { m.Fenced = false }, []string{"spot-1"}},
		{"holding an attempt", 8, func(m *cluster.Machine) {
			m.Attempts[cluster.AttemptKey{ID: 1}] = &cluster.Attempt{}
		}, []string{"spot-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			for _, name := range []string{"spot-1", "spot-2"} {
				f.addMachine(name, true)
			}
			m := f.addMachine("full-price", false)
			f.addJob("job", c.demand)
			f.ScaleOut(f.view)
			if c.change != nil {
				c.change(m)
			}
			checkStrings(t, "idle machines", machineNames(f.IdleMachines(f.view)), c.want)
			if len(c.want) > 0 && c.demand != 4 {
				checkStrings(t, "idle machines within the remaining surplus", machineNames(f.IdleMachines(f.view)), nil)
			}
		})
	}
}

func TestAttemptsWorthMovingAreMoved(t *testing.T) {
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
		// 165 s of run time remain, which may take a quarter more (206.25 s). The transfer adds 3 s to save
		// the state, three heartbeat intervals of 2 s and a margin of 5 s: 220.25 s in total.
		{"just in time on another machine", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(-35 * time.Second)
			a.Job.Objectives = []time.Time{start.Add(221 * time.Second)}
			a.Job.UpdateFeasibility(start)
		}, true},
		{"too late on another machine", func(_ *testFleet, a *cluster.Attempt) {
			a.RunningAt = start.Add(-35 * time.Second)
			a.Job.Objectives = []time.Time{start.Add(220 * time.Second)}
			a.Job.UpdateFeasibility(start)
		}, false},
		{"late on any machine", func(_ *testFleet, a *cluster.Attempt) { a.Job.Infeasible = true }, true},
		{"already being stopped", func(_ *testFleet, a *cluster.Attempt) { a.Stop = &cluster.StopRequest{} }, false},
		{"exited", func(_ *testFleet, a *cluster.Attempt) { a.Exited = true }, false},
		{"saving its state", func(_ *testFleet, a *cluster.Attempt) { a.Phase = api.TaskSaving }, false},
		{"job unknown", func(_ *testFleet, a *cluster.Attempt) { a.Job = nil }, false},
		{"job ended", func(_ *testFleet, a *cluster.Attempt) { a.Job.Ended = true }, false},
		{"machine not draining", func(_ *testFleet, a *cluster.Attempt) { a.Machine.Draining = false }, false},
		{"too little capacity on other machines", func(f *testFleet, a *cluster.Attempt) {
			f.view.Machines["free"].UsedCPUs = 1.5
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addMachine("free", true)
			m := f.addMachine("draining", true)
			m.Draining, m.UsedCPUs = true, 1
			j := f.addJob("job", 1)
			j.Spec.EstimateS, j.Spec.CheckpointS, j.Spec.SaveS = 200, 10, 3
			j.Objectives = []time.Time{start.Add(time.Hour)}
			j.UpdateFeasibility(start)
			attempt := &cluster.Attempt{Machine: m, Job: j, Phase: api.TaskRunning, RunningAt: start.Add(-time.Minute)}
			m.Attempts[cluster.AttemptKey{ID: 1}] = attempt
			c.change(f, attempt)
			stops := f.MoveCheckpointed(f.view)
			if moved := len(stops) == 1; moved != c.want {
				t.Fatalf("%d attempts moved, want moved=%t", len(stops), c.want)
			}
			if c.want && (stops[0].Attempt != attempt || stops[0].Grace != 7*time.Second) {
				t.Errorf("got %+v, want the attempt with a grace of 7s: twice its time to save, plus 1s", stops[0])
			}
		})
	}
}

func TestMachinesWithoutHeartbeatAreTerminated(t *testing.T) {
	const limitS = 4*20 + 10 // maxBootFactor times the boot time, plus the task lease
	for _, c := range []struct {
		name        string
		phase       string
		ageS        float64
		terminating bool
		want        bool
	}{
		{"booting", "up", 1, false, false},
		{"at the limit", "up", limitS, false, false},
		{"beyond the limit", "up", limitS + 1, false, true},
		{"failed", cloud.PhaseFailed, 1, false, true},
		{"already being terminated", cloud.PhaseFailed, limitS + 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			machineType := f.view.Types["s"]
			listed := &cloud.Machine{Name: "m", Type: "s", Zone: "b", Spot: true, Phase: c.phase, AgeS: c.ageS}
			p := ProvisioningFromList(listed, machineType, start)
			p.Terminating = c.terminating
			if got := f.TerminateOverdue(p, listed, machineType, start); got != c.want {
				t.Errorf("terminated: got %t, want %t", got, c.want)
			}
			var want []string
			if c.want {
				want = []string{"m"}
			}
			checkStrings(t, "next termination request", f.NextTermination(), want)
			if p.Terminating != (c.want || c.terminating) {
				t.Errorf("Terminating: got %t, want %t", p.Terminating, c.want || c.terminating)
			}
		})
	}
}

func TestDemandPeakIsTheMaximumOfItsWindow(t *testing.T) {
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
		t.Errorf("lowest price: got %v, want 0.5", got)
	}
	for _, c := range []struct {
		typ  string
		spot bool
		want float64
	}{{"s", false, 2}, {"s", true, 0.5}, {"l", false, 0.9}, {"-", false, 0}, {"unknown", false, 0}} {
		if got := CPUPrice(types, &cluster.Machine{Type: c.typ, Spot: c.spot}); got != c.want {
			t.Errorf("price of type %s, spot=%t: got %v, want %v", c.typ, c.spot, got, c.want)
		}
	}
}
