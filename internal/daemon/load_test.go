package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// simulateEnvVar makes the test binary simulate the controller's environment. It runs in
// a process of its own, so that a profile shows the controller alone.
const simulateEnvVar = "IVYTRESTLE_LOADTEST_ENVIRONMENT"

func TestMain(m *testing.M) {
	if os.Getenv(simulateEnvVar) != "" {
		if err := simulateEnvironment(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// simulateEnvironment simulates the controller's environment: each value of its input is a
// plan to start, or null to request the counts, until its input ends.
func simulateEnvironment() error {
	env, err := loadtest.New(api.MachineType{
		Name:      "m",
		CPUs:      32,
		MemoryGB:  128,
		CacheGB:   80,
		FetchGBs:  1,
		Price:     1,
		SpotPrice: 0.4,
		BootS:     20,
		Zones:     []string{"a"},
	})
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(config.Services{Cloud: env.CloudAddr, State: env.KVAddr}); err != nil {
		return err
	}
	in := json.NewDecoder(os.Stdin)
	for {
		var p *loadtest.Plan
		if err := in.Decode(&p); errors.Is(err, io.EOF) {
			return nil // the parent has ended
		} else if err != nil {
			return err
		}
		if p != nil {
			env.Start(*p)
		}
		if err := out.Encode(env.Counts()); err != nil {
			return err
		}
	}
}

// BenchmarkSecond runs a controller that leads alone in real time; one operation is a
// second of it:
//
//	go test -run '^$' -bench Second -benchtime 15x -cpuprofile cpu.out ./internal/daemon
//
// cpu-ms/s is the processor time used, of 1000 that a whole core has.
func BenchmarkSecond(b *testing.B) {
	for _, c := range []struct {
		name string
		plan loadtest.Plan
	}{
		{"220machines-1s", loadtest.Plan{
			Machines:          220,
			HeartbeatInterval: time.Second,
			JobInterval:       700 * time.Millisecond,
			Tasks:             90,
			TaskDuration:      25 * time.Second,
			PollsPerSecond:    20,
		}},
		{"190machines-5s", loadtest.Plan{
			Machines:          190,
			HeartbeatInterval: 5 * time.Second,
			JobInterval:       2 * time.Second,
			Tasks:             70,
			TaskDuration:      35 * time.Second,
			PollsPerSecond:    8,
		}},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkSecond(b, c.plan) })
	}
}

// environmentProcess is the process that simulates the controller's environment.
type environmentProcess struct {
	in       *json.Encoder
	out      *json.Decoder
	services config.Services
}

func startEnvironment(b *testing.B) *environmentProcess {
	b.Helper()
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	// It ends with its input; the context of the benchmark would kill it before that.
	cmd := exec.CommandContext(context.WithoutCancel(b.Context()), self)
	cmd.Env = append(os.Environ(), simulateEnvVar+"=1")
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
	b.Cleanup(func() {
		closeQuietly(stdin)
		if err := cmd.Wait(); err != nil {
			b.Errorf("environment: %v", err)
		}
	})
	e := &environmentProcess{in: json.NewEncoder(stdin), out: json.NewDecoder(bufio.NewReader(stdout))}
	if err := e.out.Decode(&e.services); err != nil {
		b.Fatal(err)
	}
	return e
}

// start starts a plan, unless it is nil, and returns the counts.
func (e *environmentProcess) start(b *testing.B, p *loadtest.Plan) (c loadtest.Counts) {
	b.Helper()
	if err := e.in.Encode(p); err != nil {
		b.Fatal(err)
	}
	if err := e.out.Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c
}

func (e *environmentProcess) counts(b *testing.B) loadtest.Counts {
	b.Helper()
	return e.start(b, nil)
}

// startController runs a controller that launches no machines and terminates none.
func startController(b *testing.B, outside config.Services, heartbeatInterval time.Duration) *config.Settings {
	b.Helper()
	s := &config.Settings{
		Node:       "n0",
		Zone:       "a",
		APIAddr:    "127.0.0.1:18080",
		PeerListen: "127.0.0.1:0",
		Services:   outside,
		Site: config.SiteInfo{
			Teams:   []config.Team{{Name: "red", CPUs: 1e4, LimitCPUs: 1e5}},
			Workers: config.Workers{HeartbeatS: heartbeatInterval.Seconds(), LeaseS: 24, CancelS: 49},
			State:   config.KVLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
			Cloud:   config.CloudLimits{RPS: 5, ListLagS: 4},
			Limits:  config.Limits{Cores: 1, RAMMB: 65, FDLimit: 800},
		},
	}
	p, err := policy.Parse("", "")
	if err != nil {
		b.Fatal(err)
	}
	p.MinCPUs = 1e6 // no machine is terminated
	// An error shows as failed requests in the counts.
	go func() { _ = Run(b.Context(), s, p, Features{}, slog.New(slog.DiscardHandler)) }()
	return s
}

func benchmarkSecond(b *testing.B, plan loadtest.Plan) {
	b.Helper()
	env := startEnvironment(b)
	plan.API = startController(b, env.services, plan.HeartbeatInterval).APIAddr
	time.Sleep(2 * time.Second)
	env.start(b, &plan)
	time.Sleep(plan.TaskDuration + 5*time.Second)
	before, cpuBefore := env.counts(b), cpuTime()
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	cpu, after := cpuTime()-cpuBefore, env.counts(b)
	runtime.ReadMemStats(&memAfter)
	perSecond := func(v int64) float64 { return float64(v) / float64(b.N) }
	b.ReportMetric(float64(cpu.Microseconds())/1000/float64(b.N), "cpu-ms/s")
	b.ReportMetric(perSecond(after.Heartbeats-before.Heartbeats), "reports/s")
	b.ReportMetric(perSecond(after.Started-before.Started), "starts/s")
	b.ReportMetric(perSecond(after.Polls-before.Polls), "polls/s")
	b.ReportMetric(perSecond(after.Failed-before.Failed), "failed/s")
	b.ReportMetric(perSecond(int64(memAfter.Mallocs-memBefore.Mallocs)), "allocs/s")
	b.ReportMetric(perSecond(int64(memAfter.NumGC-memBefore.NumGC)), "gc/s")
	b.ReportMetric(float64(memAfter.HeapInuse)/(1<<20), "heap-MB")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
