package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest"
)

const (
	zone               = "local"
	controllersPerCell = 3
	taskCPUs           = 2
	taskDuration       = 4 * time.Second
	tasksPerJob        = 4
)

var machineType = api.MachineType{Name: "local-16", CPUs: machineCPUs, MemoryGB: 64, CacheGB: 80, FetchGBs: 100, Price: 1, SpotPrice: 0.4, BootS: 2, Zones: []string{zone}}

// testbed is all cells with their users.
type testbed struct {
	cells   []*cell
	ledger  *ledger
	links   []*link
	users   sync.WaitGroup
	stop    chan struct{}
	closers []func()
	// ports counts the addresses given to controllers.
	ports int

	mu   sync.Mutex
	jobs []*userJob
	// idleSum sums up, of what was sampled while jobs waited anywhere, the part of all
	// CPUs that was idle.
	idleSum, idleSamples float64
	waitingUsers         atomic.Int64
	kills, cuts          int
	verbose              bool
}

// cell is one cell: its controllers, its machines and its state service.
type cell struct {
	testbed  *testbed
	name     string
	nodes    []*process
	machines []*machine
}

// host is a loopback address of this process's own, and firstPort the first that it gives a
// controller; both lie apart from what the system gives to listeners and connections. A
// controller must find its port free, also when it comes back. Once it was a simulated
// machine's, which answers anything: users took their jobs for accepted, and machines
// reported to it.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

const firstPort = 20000

// nextAddr is an address for a controller that none has yet.
func (tb *testbed) nextAddr() string {
	tb.ports++
	return fmt.Sprintf("%s:%d", host(), firstPort+tb.ports)
}

func newTestbed(c *cli, dir string) (*testbed, error) {
	tb := &testbed{ledger: newLedger(), stop: make(chan struct{}), verbose: c.Direct}
	for i := range c.Cells {
		cell, err := tb.newCell(fmt.Sprintf("cell-%d", i), c.Machines)
		if err != nil {
			return nil, err
		}
		tb.cells = append(tb.cells, cell)
	}
	for _, cell := range tb.cells {
		if err := tb.writeFiles(c, dir, cell); err != nil {
			return nil, err
		}
		for _, p := range cell.nodes {
			if err := p.start(c.Binary); err != nil {
				return nil, err
			}
		}
		for _, m := range cell.machines {
			go m.run(tb.stop)
		}
	}
	return tb, nil
}

func (tb *testbed) newCell(name string, machines int) (*cell, error) {
	c := &cell{testbed: tb, name: name}
	for i := range controllersPerCell {
		c.nodes = append(c.nodes, &process{name: fmt.Sprintf("%s-n%d", name, i), apiAddr: tb.nextAddr(), cellsAddr: tb.nextAddr()})
	}
	for i := range machines {
		m, err := newMachine(c, fmt.Sprintf("i-%s-%03d", name, i))
		if err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
	}
	return c, nil
}

// lendingPolicy keeps the machines rented, since there are no others, and lends soon, since the
// tasks are short.
const lendingPolicy = `
min_cpus = 100000.0
spill_after_s = 1.5
spill_gain_s = 1.0
spill_cooldown_s = 20.0
guest_share = 0.9
`

// writeFiles writes the files that a cell's controllers start from.
func (tb *testbed) writeFiles(c *cli, dir string, cell *cell) error {
	env, err := loadtest.New(machineType)
	if err != nil {
		return err
	}
	peers := map[string]string{}
	for _, p := range cell.nodes {
		peers[p.name] = tb.nextAddr()
	}
	cellsFile := ""
	if !c.Alone {
		if cellsFile, err = tb.writeCellsFile(dir, cell); err != nil {
			return err
		}
	}
	policyFile := filepath.Join(dir, "policy.star")
	if err := os.WriteFile(policyFile, []byte(lendingPolicy), 0o644); err != nil {
		return err
	}
	for _, p := range cell.nodes {
		s := config.Settings{Node: p.name, Zone: zone, APIAddr: p.apiAddr, PeerListen: peers[p.name],
			Outside: config.Outside{Cloud: env.Cloud, State: env.State},
			Site: config.SiteInfo{Nodes: controllersPerCell, Zones: []string{zone},
				Teams:   []config.Team{{Name: "red", CPUs: 24, LimitCPUs: 128}, {Name: "blue", CPUs: 24, LimitCPUs: 128}},
				Workers: config.Workers{HeartbeatS: heartbeatInterval.Seconds(), LeaseS: taskLease.Seconds(), CancelS: 30},
				State:   config.StateLimits{RPS: 400, WriteRPS: 100, ValueKB: 16, TxnOps: 20},
				Cloud:   config.CloudLimits{RPS: 5, ListLagS: 4},
				Limits:  config.Limits{Cores: 0.5, RAMMB: 98, FDLimit: 800}}}
		for _, other := range cell.nodes {
			if other != p {
				s.Peers = append(s.Peers, config.Peer{Node: other.name, Zone: zone, Addr: peers[other.name]})
			}
		}
		raw, err := json.Marshal(s)
		if err != nil {
			return err
		}
		path := filepath.Join(dir, p.name+".json")
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			return err
		}
		p.args = []string{"--policy", policyFile}
		if cellsFile != "" {
			p.args = append(p.args, "--cells", cellsFile)
		}
		p.args = append(append(p.args, c.Extra...), "--config", path)
		p.logPath = filepath.Join(dir, p.name+".log")
	}
	return nil
}

// writeCellsFile writes the file of cells as one of them sees them, with each way to another
// cell's controller through a link that can be cut.
func (tb *testbed) writeCellsFile(dir string, cell *cell) (string, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "cell = %q\n[listen]\n", cell.name)
	for _, p := range cell.nodes {
		fmt.Fprintf(&text, "%s = %q\n", p.name, p.cellsAddr)
	}
	for _, other := range tb.cells {
		if other == cell {
			continue
		}
		fmt.Fprintf(&text, "[[neighbour]]\ncell = %q\naddresses = [", other.name)
		for i, p := range other.nodes {
			l, err := newLink(p.cellsAddr)
			if err != nil {
				return "", err
			}
			l.from, l.to = cell.name, other.name
			tb.links = append(tb.links, l)
			tb.closers = append(tb.closers, func() { l.ln.Close() })
			if i > 0 {
				text.WriteString(", ")
			}
			fmt.Fprintf(&text, "%q", l.ln.Addr())
		}
		text.WriteString("]\n")
	}
	path := filepath.Join(dir, cell.name+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o644)
}

// injectFaults kills controllers and cuts links until it is stopped.
func (tb *testbed) injectFaults(c *cli, random *rand.Rand, stop <-chan struct{}) {
	every := func(mean time.Duration, what func()) {
		for mean > 0 {
			tb.mu.Lock()
			wait := time.Duration(float64(mean) * (0.5 + random.Float64()))
			tb.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(wait):
				what()
			}
		}
	}
	pick := func(n int) int {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		return random.IntN(n)
	}
	go every(c.Kills, func() {
		cell := tb.cells[pick(len(tb.cells))]
		p := cell.nodes[pick(len(cell.nodes))]
		away := time.Duration(200+pick(6000)) * time.Millisecond
		tb.kills++
		tb.logf("kill %s for %v", p.name, away)
		p.kill()
		time.Sleep(away)
		if err := p.start(c.Binary); err != nil {
			fmt.Fprintln(os.Stderr, "cellsload:", err)
		}
	})
	every(c.Cuts, func() {
		if len(tb.links) == 0 {
			return
		}
		one := tb.links[pick(len(tb.links))]
		lasting := time.Duration(1000+pick(9000)) * time.Millisecond
		tb.cuts++
		tb.logf("cut %s to %s for %v", one.from, one.to, lasting)
		for _, cut := range []bool{true, false} {
			for _, l := range tb.links {
				if l.from == one.from && l.to == one.to {
					l.setCut(cut)
				}
			}
			if cut {
				time.Sleep(lasting)
			}
		}
	})
}

func (tb *testbed) logf(format string, args ...any) {
	if tb.verbose {
		fmt.Printf(format+"\n", args...)
	}
}

// heal lets all troubles end.
func (tb *testbed) heal() {
	time.Sleep(7 * time.Second) // what is away comes back
	for _, l := range tb.links {
		l.setCut(false)
	}
}

// sampleIdle looks twice a second at how much room is idle while jobs wait.
func (tb *testbed) sampleIdle(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		if tb.waitingUsers.Load() == 0 {
			continue
		}
		used, total := 0.0, 0.0
		for _, c := range tb.cells {
			for _, m := range c.machines {
				used += float64(m.usedCPUs.Load())
				total += machineCPUs
			}
		}
		tb.mu.Lock()
		tb.idleSum += 1 - used/total
		tb.idleSamples++
		tb.mu.Unlock()
	}
}

// close stops all that was started.
func (tb *testbed) close() {
	close(tb.stop)
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			p.kill()
		}
	}
	for _, f := range tb.closers {
		f()
	}
}
