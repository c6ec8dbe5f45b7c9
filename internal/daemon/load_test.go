package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest"
	"example.org/ivytrestle/internal/policy"
)

// The outside of the controller runs in a process of its own, so that a profile
// shows the controller alone: this test binary, started once more.
const environmentVar = "IVYTRESTLE_LOADTEST_ENVIRONMENT"

func TestMain(m *testing.M) {
	if os.Getenv(environmentVar) != "" {
		if err := outside(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// outside simulates the environment: each line of its input is a plan to start or asks for
// the counts, until its input ends.
func outside() error {
	env, err := loadtest.New(api.MachineType{Name: "m", CPUs: 32, MemoryGB: 128, CacheGB: 80, FetchGBs: 1, Price: 1, SpotPrice: 0.4,
		BootS: 20, Zones: []string{"a"}})
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(config.Outside{Cloud: env.Cloud, State: env.State}); err != nil {
		return err
	}
	in := json.NewDecoder(os.Stdin)
	for {
		var p *loadtest.Plan
		if err := in.Decode(&p); err != nil {
			return nil // the parent has ended
		}
		if p != nil {
			env.Start(*p)
		}
		if err := out.Encode(env.Counts()); err != nil {
			return err
		}
	}
}

// One operation is a second of a controller that leads alone, in real time:
//
//	go test -run '^$' -bench Second -benchtime 15x -cpuprofile cpu.out ./internal/daemon
//
// cpu-ms/s is what the processor does for it, of 1000 that a whole core has.
func BenchmarkSecond(b *testing.B) {
	for _, c := range []struct {
		name  string
		plan  loadtest.Plan
		cores float64
	}{
		{"220machines-1s", loadtest.Plan{Machines: 220, HeartbeatInterval: time.Second, JobEvery: 700 * time.Millisecond, Tasks: 90, Run: 25 * time.Second, Polls: 20}, 1},
		{"190machines-5s", loadtest.Plan{Machines: 190, HeartbeatInterval: 5 * time.Second, JobEvery: 2 * time.Second, Tasks: 70, Run: 35 * time.Second, Polls: 8}, 1},
	} {
		b.Run(c.name, func(b *testing.B) { second(b, c.plan, c.cores) })
	}
}

func second(b *testing.B, plan loadtest.Plan, cores float64) {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), environmentVar+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { stdin.Close(); cmd.Wait() }()
	out, in := json.NewDecoder(bufio.NewReader(stdout)), json.NewEncoder(stdin)
	s := &config.Settings{Node: "n0", Zone: "a", APIAddr: "127.0.0.1:18080", PeerListen: "127.0.0.1:0", Site: config.SiteInfo{
		Teams:   []config.Team{{Name: "red", CPUs: 1e4, LimitCPUs: 1e5}},
		Workers: config.Workers{HeartbeatS: plan.HeartbeatInterval.Seconds(), LeaseS: 24, CancelS: 49},
		State:   config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 4},
		Limits: config.Limits{Cores: cores, RAMMB: 65, FDLimit: 800}}}
	if err := out.Decode(&s.Outside); err != nil {
		b.Fatal(err)
	}
	pol, err := policy.Parse("", "")
	if err != nil {
		b.Fatal(err)
	}
	pol.MinCPUs = 1e6 // no machine is given back
	go Run(b.Context(), s, pol, Parts{}, slog.New(slog.DiscardHandler))
	plan.API = s.APIAddr
	ask := func(p *loadtest.Plan) (c loadtest.Counts) {
		if err := in.Encode(p); err != nil {
			b.Fatal(err)
		}
		if err := out.Decode(&c); err != nil {
			b.Fatal(err)
		}
		return c
	}
	time.Sleep(2 * time.Second)
	ask(&plan)
	time.Sleep(plan.Run + 5*time.Second)
	before, cpu := ask(nil), processor()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	used, after := processor()-cpu, ask(nil)
	runtime.ReadMemStats(&m1)
	per := func(v int64) float64 { return float64(v) / float64(b.N) }
	b.ReportMetric(float64(used.Microseconds())/1000/float64(b.N), "cpu-ms/s")
	b.ReportMetric(per(after.Heartbeats-before.Heartbeats), "reports/s")
	b.ReportMetric(per(after.Started-before.Started), "starts/s")
	b.ReportMetric(per(after.Polls-before.Polls), "polls/s")
	b.ReportMetric(per(after.Failed-before.Failed), "failed/s")
	b.ReportMetric(per(int64(m1.Mallocs-m0.Mallocs)), "allocs/s")
	b.ReportMetric(per(int64(m1.NumGC-m0.NumGC)), "gc/s")
	b.ReportMetric(float64(m1.HeapInuse)/(1<<20), "heap-MB")
	b.ReportMetric(0, "ns/op")
}

// processor is the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
