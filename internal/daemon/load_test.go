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

// simulateEnvVar is the environment variable that makes the test binary simulate the controller's
// environment instead of running tests. The simulation runs in a separate process, so that a
// profile shows only the controller.
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

// simulateEnvironment simulates the controller's environment until its standard input ends. It
// writes the addresses of the services, then reads JSON values, each a plan to start or null, and
// responds to each with the counts.
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
		var plan *loadtest.Plan
		if err := in.Decode(&plan); errors.Is(err, io.EOF) {
			return nil // the parent process has exited or closed the pipe
		} else if err != nil {
			return err
		}
		if plan != nil {
			env.Start(*plan)
		}
		if err := out.Encode(env.Counts()); err != nil {
			return err
		}
	}
}

// BenchmarkSecond runs a single controller, as the leader, in real time. One operation is one
// second:
//
//	go test -run '^$' -bench Second -benchtime 15x -cpuprofile cpu.out ./internal/daemon
//
// The metric cpu-ms/s is the CPU time used; a whole core has 1000.
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
		{"190machines-polls", loadtest.Plan{
			Machines:          190,
			HeartbeatInterval: 5 * time.Second,
			JobInterval:       2 * time.Second,
			Tasks:             70,
			TaskDuration:      35 * time.Second,
			PollsPerSecond:    300,
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

// startEnvironment starts the simulation in a process that exits at the end of the benchmark.
func startEnvironment(b *testing.B) *environmentProcess {
	b.Helper()
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	// The process exits when its input is closed. The context of the benchmark ends earlier and
	// would kill it.
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
	env := &environmentProcess{in: json.NewEncoder(stdin), out: json.NewDecoder(bufio.NewReader(stdout))}
	if err := env.out.Decode(&env.services); err != nil {
		b.Fatal(err)
	}
	return env
}

// start starts a plan if it is not nil, and returns the counts.
func (e *environmentProcess) start(b *testing.B, plan *loadtest.Plan) (counts loadtest.Counts) {
	b.Helper()
	if err := e.in.Encode(plan); err != nil {
		b.Fatal(err)
	}
	if err := e.out.Decode(&counts); err != nil {
		b.Fatal(err)
	}
	return counts
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
	p.MinCPUs = 1e6 // more than there are, so that no machine is terminated
	// An error of Run shows up as failed requests in the counts.
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
	perSecond := func(count int64) float64 { return float64(count) / float64(b.N) }
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

// cpuTime returns the CPU time that this process has used, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
