package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest"
	"example.org/ivytrestle/internal/loadtest/localprocess"
)

const (
	zone               = "local"
	controllersPerCell = 3
	taskCPUs           = 2
	taskDuration       = 4 * time.Second
	tasksPerJob        = 4
	idleSampleInterval = 500 * time.Millisecond
)

var machineType = api.MachineType{
	Name:      "local-16",
	CPUs:      machineCPUs,
	MemoryGB:  64,
	CacheGB:   80,
	FetchGBs:  100,
	Price:     1,
	SpotPrice: 0.4,
	BootS:     2,
	Zones:     []string{zone},
}

// testbed holds all cells, the links between them and their users.
type testbed struct {
	cells   []*cell
	ledger  *ledger
	links   []*link
	users   sync.WaitGroup
	stop    chan struct{}
	closers []io.Closer

	mu   sync.Mutex
	jobs []*userJob
	// idleSum is the sum of the idle fraction of all CPUs over idleSamples samples, which are taken
	// only while some user waits for a job to end.
	idleSum, idleSamples float64
	waitingUsers         atomic.Int64
	kills, cuts          int
	verbose              bool
}

// cell holds the controllers and machines of one cell.
type cell struct {
	testbed  *testbed
	name     string
	nodes    []*process
	machines []*machine
}

// process is a controller of a cell.
type process struct {
	localprocess.Process
	// apiAddr is the controller's address for users and machines, cellsAddr that for other cells.
	apiAddr, cellsAddr string
}

func newTestbed(c *cli, dir string) (*testbed, error) {
	tb := &testbed{ledger: newLedger(), stop: make(chan struct{}), verbose: c.Verbose}
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
			if err := p.Start(c.Binary); err != nil {
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
		c.nodes = append(c.nodes, &process{
			Process:   localprocess.Process{Name: fmt.Sprintf("%s-n%d", name, i)},
			apiAddr:   localprocess.NextAddr(),
			cellsAddr: localprocess.NextAddr(),
		})
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

// lendingPolicy sets min_cpus high enough that no machine is terminated, since the simulated cloud
// cannot launch others. Jobs are lent early, since the tasks are short.
const lendingPolicy = `
min_cpus = 100000.0
spill_after_s = 1.5
spill_gain_s = 1.0
spill_cooldown_s = 20.0
guest_share = 0.9
`

// writeFiles writes the configuration files of a cell's controllers and sets their arguments.
func (tb *testbed) writeFiles(c *cli, dir string, cell *cell) error {
	env, err := loadtest.New(machineType)
	if err != nil {
		return err
	}
	services := config.Services{Cloud: env.CloudAddr, State: env.KVAddr}
	peerAddrs := map[string]string{}
	for _, p := range cell.nodes {
		peerAddrs[p.Name] = localprocess.NextAddr()
	}
	policyFile := filepath.Join(dir, "policy.star")
	if err := os.WriteFile(policyFile, []byte(lendingPolicy), 0o644); err != nil {
		return err
	}
	commonArgs := []string{"--policy", policyFile}
	if !c.Alone {
		cellsFile, err := tb.writeCellsFile(dir, cell)
		if err != nil {
			return err
		}
		commonArgs = append(commonArgs, "--cells", cellsFile)
	}
	for _, p := range cell.nodes {
		raw, err := json.Marshal(cell.settings(p, services, peerAddrs))
		if err != nil {
			return err
		}
		path := filepath.Join(dir, p.Name+".json")
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			return err
		}
		p.Args = append(append([]string{}, commonArgs...), c.Extra...)
		p.Args = append(p.Args, "--config", path)
		p.LogPath = filepath.Join(dir, p.Name+".log")
	}
	return nil
}

// settings returns the settings of one of the cell's controllers.
func (c *cell) settings(p *process, services config.Services, peerAddrs map[string]string) config.Settings {
	s := config.Settings{
		Node:       p.Name,
		Zone:       zone,
		APIAddr:    p.apiAddr,
		PeerListen: peerAddrs[p.Name],
		Services:   services,
		Site: config.SiteInfo{
			Nodes: controllersPerCell,
			Zones: []string{zone},
			Teams: []config.Team{
				{Name: "red", CPUs: 24, LimitCPUs: 128},
				{Name: "blue", CPUs: 24, LimitCPUs: 128},
			},
			Workers: config.Workers{
				HeartbeatS: heartbeatInterval.Seconds(),
				LeaseS:     taskLease.Seconds(),
				CancelS:    30,
			},
			State:  config.KVLimits{RPS: 400, WriteRPS: 100, ValueKB: 16, TxnOps: 20},
			Cloud:  config.CloudLimits{RPS: 5, ListLagS: 4},
			Limits: config.Limits{Cores: 0.5, RAMMB: 98, FDLimit: 800},
		},
	}
	for _, other := range c.nodes {
		if other != p {
			s.Peers = append(s.Peers, config.Peer{Node: other.Name, Zone: zone, Addr: peerAddrs[other.Name]})
		}
	}
	return s
}

// writeCellsFile writes a cell's cells file, in which each address of another cell's controller is
// that of a link that can be cut, and returns the file's path.
func (tb *testbed) writeCellsFile(dir string, cell *cell) (string, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "cell = %q\n[listen]\n", cell.name)
	for _, p := range cell.nodes {
		fmt.Fprintf(&text, "%s = %q\n", p.Name, p.cellsAddr)
	}
	for _, other := range tb.cells {
		if other == cell {
			continue
		}
		fmt.Fprintf(&text, "[[neighbour]]\ncell = %q\naddresses = [", other.name)
		for i, p := range other.nodes {
			l, err := newLink(cell.name, other.name, p.cellsAddr)
			if err != nil {
				return "", err
			}
			tb.links = append(tb.links, l)
			tb.closers = append(tb.closers, l)
			if i > 0 {
				text.WriteString(", ")
			}
			fmt.Fprintf(&text, "%q", l.Addr)
		}
		text.WriteString("]\n")
	}
	path := filepath.Join(dir, cell.name+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o644)
}

func (tb *testbed) logf(format string, args ...any) {
	if tb.verbose {
		fmt.Printf(format+"\n", args...)
	}
}

// sampleIdle samples the idle fraction of all CPUs while some user waits for a job to end.
func (tb *testbed) sampleIdle(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(idleSampleInterval):
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

// close stops the machines, kills the controllers and closes all listeners.
func (tb *testbed) close() {
	close(tb.stop)
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			p.Kill()
		}
	}
	for _, c := range tb.closers {
		closeQuietly(c)
	}
}
