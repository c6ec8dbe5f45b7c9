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

// full is a leader whose machines are all busy, with jobs that wait.
func full(b *testing.B, machines, jobs int) (*leaderTerm, []*api.Heartbeat) {
	b.Helper()
	pol, err := policy.Parse("", "")
	if err != nil {
		b.Fatal(err)
	}
	s := &config.Settings{Node: "n0", Site: config.SiteInfo{
		Teams:   []config.Team{{Name: "red", CPUs: 1e4, LimitCPUs: 1e5}, {Name: "blue", CPUs: 1e4, LimitCPUs: 1e5}},
		Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
		State:   config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12}}}
	c := New(Config{Settings: s, Policy: pol, Store: kvtest.New(), Cloud: &fakeCloud{}, Log: slog.New(slog.DiscardHandler)})
	c.types.set([]api.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64, Price: 1, Zones: []string{"a"}}})
	now := time.Now()
	lt := newLeaderTerm(c, election.Term{Number: 1, ModRevision: 1}, now.Add(time.Hour))
	lt.cancel() // nothing of it runs by itself
	lt.loaded, c.leaderTerm = true, lt
	for i := range jobs {
		sp := spec(fmt.Sprint("job-", i), max(100, 40*machines/jobs)) // more than fits
		sp.Team = []string{"red", "blue"}[i%2]
		lt.addRecord(records.ActivePrefix+sp.ID, records.ActiveRecord{Spec: *sp, Accepted: now}, uint64(i+2))
	}
	reports := make([]*api.Heartbeat, machines)
	for i := range reports {
		k := &worker{status: api.Heartbeat{Machine: fmt.Sprint("i-", i), Addr: "x", Type: "small", Zone: "a", AgentEpoch: 1, Term: 1}}
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
		reports[i] = &k.status
	}
	return lt, reports
}

// The cost of a report should depend on what it changes, not on how many
// machines and jobs there are.
func BenchmarkReport(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{{100, 40}, {400, 40}, {1100, 40}, {1100, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", n.machines, n.jobs), func(b *testing.B) {
			lt, reports := full(b, n.machines, n.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hb := reports[i%len(reports)]
				hb.Seq++
				if _, err := lt.handleAgentHeartbeat(hb, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// One task ends and another begins in its place.
func BenchmarkPull(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{{100, 40}, {400, 40}, {1100, 40}, {1100, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", n.machines, n.jobs), func(b *testing.B) {
			lt, reports := full(b, n.machines, n.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hb := reports[i%len(reports)]
				hb.Seq++
				hb.Tasks[0].Phase, hb.Tasks[0].Cause = api.TaskExited, api.CauseHalted
				response, err := lt.handleAgentHeartbeat(hb, now)
				if err != nil {
					b.Fatal(err)
				}
				hb.Tasks = hb.Tasks[1:]
				for _, o := range response.Commands {
					if o.Verb == api.VerbStart {
						hb.Tasks = append(hb.Tasks, api.TaskStatus{Task: o.Task, Attempt: o.Attempt, Phase: api.TaskRunning})
					}
				}
			}
		})
	}
}

// What an idle machine's report costs while jobs wait that it may not serve,
// since better machines have room.
func BenchmarkTick(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{{100, 40}, {400, 40}, {1100, 40}, {1100, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", n.machines, n.jobs), func(b *testing.B) {
			lt, _ := full(b, n.machines, n.jobs)
			now := time.Now().Add(2 * time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				lt.detector.DetectPause(nil, now)
				for _, m := range lt.machines {
					m.LastSeen, m.LastHeartbeat = now, now
				}
				lt.deferInfeasible(now)
				lt.countImageLocations(now)
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

// A job of one task comes and is taken while most machines have room: the
// cost of finding it a machine.
func BenchmarkPlaceIdle(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{{100, 1}, {400, 1}, {1100, 1}, {1100, 40}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", n.machines, n.jobs), func(b *testing.B) {
			lt, reports := full(b, n.machines, 0)
			now := time.Now()
			for i := range n.jobs {
				sp := spec(fmt.Sprint("job-w", i), 20_000)
				sp.Types = nil
				sp.Team = "red"
				lt.addRecord(records.ActivePrefix+sp.ID, records.ActiveRecord{Spec: *sp, Accepted: now}, uint64(i+2))
			}
			lt.grace = time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := lt.machines[reports[i%len(reports)].Machine]
				if j := lt.nextJob(m, now); j != nil {
					j.Flight.Join(m.Name)
				}
			}
		})
	}
}
