package controller

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/records"
)

// newBenchTerm returns a leader term with one machine type and two teams. Its goroutines do not run.
func newBenchTerm(b *testing.B, now time.Time) *leaderTerm {
	b.Helper()
	pol, err := policy.Parse("", "")
	if err != nil {
		b.Fatal(err)
	}
	c := New(Config{
		Settings: &config.Settings{
			Node: "n0",
			Site: config.SiteInfo{
				Teams: []config.Team{
					{Name: "red", CPUs: 1e4, LimitCPUs: 1e5},
					{Name: "blue", CPUs: 1e4, LimitCPUs: 1e5},
				},
				Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
				State:   config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
			},
		},
		Policy: pol,
		Store:  kvtest.New(),
		Cloud:  &fakeCloud{},
		Log:    slog.New(slog.DiscardHandler),
	})
	c.machineTypes.set([]api.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64, Price: 1, Zones: []string{"a"}}})
	lt := newLeaderTerm(c, election.Term{Number: 1, ModRevision: 1}, now.Add(time.Hour))
	lt.cancel()
	lt.loaded, c.leaderTerm = true, lt
	return lt
}

// newBusyTerm returns a leader term whose machines are all busy while jobs are pending, and the
// machines' last heartbeats. With 0 jobs all machines are idle.
func newBusyTerm(b *testing.B, machines, jobs int) (*leaderTerm, []*api.Heartbeat) {
	b.Helper()
	now := time.Now()
	lt := newBenchTerm(b, now)
	for i := range jobs {
		s := spec(fmt.Sprint("job-", i), max(100, 40*machines/jobs)) // more tasks than the machines have capacity for
		s.Team = []string{"red", "blue"}[i%2]
		lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s, Accepted: now}, uint64(i+2))
	}
	heartbeats := make([]*api.Heartbeat, machines)
	for i := range heartbeats {
		k := &worker{status: api.Heartbeat{
			Machine:    fmt.Sprint("i-", i),
			Addr:       "x",
			Type:       "small",
			Zone:       "a",
			AgentEpoch: 1,
			Token:      1,
		}}
		m := lt.addMachine(k.status.Machine, "small", "a", false, now)
		m.Fenced, m.Registration = true, cluster.Registered
		for range 3 {
			k.status.Seq++
			response, err := lt.handleAgentHeartbeat(&k.status, now.Add(time.Minute))
			if err != nil {
				b.Fatal(err)
			}
			k.applyCommandsLocked(response.Commands)
		}
		heartbeats[i] = &k.status
	}
	return lt, heartbeats
}

// benchSize is the size of a simulated cluster.
type benchSize struct{ machines, jobs int }

// busyClusterSizes are the sizes for benchmarks in which all machines are busy.
var busyClusterSizes = []benchSize{{100, 40}, {400, 40}, {1100, 40}, {1100, 400}}

// String returns the name of the size's sub-benchmark.
func (s benchSize) String() string {
	return fmt.Sprintf("machines=%d/jobs=%d", s.machines, s.jobs)
}

// BenchmarkReport measures a heartbeat that changes nothing. The cost of a heartbeat should depend on
// what it changes, not on the number of machines and jobs.
func BenchmarkReport(b *testing.B) {
	for _, size := range busyClusterSizes {
		b.Run(size.String(), func(b *testing.B) {
			lt, heartbeats := newBusyTerm(b, size.machines, size.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hb := heartbeats[i%len(heartbeats)]
				hb.Seq++
				if _, err := lt.handleAgentHeartbeat(hb, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPull measures a heartbeat that reports the end of a task and gets another one in its place.
func BenchmarkPull(b *testing.B) {
	for _, size := range busyClusterSizes {
		b.Run(size.String(), func(b *testing.B) {
			lt, heartbeats := newBusyTerm(b, size.machines, size.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hb := heartbeats[i%len(heartbeats)]
				hb.Seq++
				hb.Tasks[0].Phase, hb.Tasks[0].Cause = api.TaskExited, api.CauseHalted
				response, err := lt.handleAgentHeartbeat(hb, now)
				if err != nil {
					b.Fatal(err)
				}
				hb.Tasks = hb.Tasks[1:]
				for _, cmd := range response.Commands {
					if cmd.Verb == api.VerbStart {
						hb.Tasks = append(hb.Tasks, api.TaskStatus{
							Task:    cmd.Task,
							Attempt: cmd.Attempt,
							Phase:   api.TaskRunning,
						})
					}
				}
			}
		})
	}
}

// BenchmarkTick measures the part of the leader's periodic work that scans all machines and jobs. It
// leaves out dispatch, the relay, launches of machines and writes to the key-value store.
func BenchmarkTick(b *testing.B) {
	for _, size := range busyClusterSizes {
		b.Run(size.String(), func(b *testing.B) {
			lt, _ := newBusyTerm(b, size.machines, size.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				lt.detector.DetectPause(nil, now)
				for _, m := range lt.machines {
					m.LastSeen, m.LastHeartbeat = now, now
				}
				lt.deferInfeasible(now)
				lt.updateImageLocations(now)
				lt.scanMachines(now)
				lt.restartStragglers(now)
				view := lt.fleetView(now)
				lt.autoscaler.Drain(&view)
				for _, stop := range lt.autoscaler.MoveCheckpointed(&view) {
					lt.requestStop(stop.Attempt, stop.Grace, now)
				}
			}
		})
	}
}

// BenchmarkPlaceIdle measures the selection of a job for an idle machine, which then joins the job's
// flight (the set of machines that run its tasks), while all machines are idle.
func BenchmarkPlaceIdle(b *testing.B) {
	for _, size := range []benchSize{{100, 1}, {400, 1}, {1100, 1}, {1100, 40}} {
		b.Run(size.String(), func(b *testing.B) {
			lt, heartbeats := newBusyTerm(b, size.machines, 0)
			now := time.Now()
			for i := range size.jobs {
				s := spec(fmt.Sprint("job-w", i), 20_000)
				s.Types = nil
				s.Team = "red"
				lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s, Accepted: now}, uint64(i+2))
			}
			lt.placementDelay = time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := lt.machines[heartbeats[i%len(heartbeats)].Machine]
				if j := lt.nextJob(m, now); j != nil {
					j.Flight.Join(m.Name)
				}
			}
		})
	}
}
