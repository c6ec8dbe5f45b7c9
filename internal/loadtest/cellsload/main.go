// Cellsload measures spillover between cells on the loopback interface. It runs several cells
// (three by default) of real controller processes with simulated key-value stores and machines,
// puts a high load on one cell at a time and, if requested, kills controllers and cuts links between
// cells. It counts tasks that ran on two machines at once and jobs without a final state or with two,
// and measures how long jobs wait and how many CPUs are idle, with or without spillover. Instead, it
// can measure takeovers in a single cell. It is a measuring tool, not a test, and runs for some
// minutes.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
)

const (
	// startupTime is long enough to elect leaders and for machines to send their first heartbeats.
	startupTime = 5 * time.Second
	// resultsTimeout is how long the tool waits for the last jobs to finish after the load.
	resultsTimeout = 4 * time.Minute
)

type cli struct {
	Binary   string        `default:"target/ivytrestle" help:"The controller's program."`
	Cells    int           `default:"3" help:"How many cells there are."`
	Machines int           `default:"4" help:"How many machines each cell has."`
	Load     time.Duration `default:"60s" help:"How long jobs are submitted."`
	Phase    time.Duration `default:"20s" help:"How long the load crowds on one cell."`
	High     float64       `default:"5" help:"Jobs a second at the crowded cell."`
	Low      float64       `default:"0.4" help:"Jobs a second at each of the others."`
	Kills    time.Duration `help:"About how often a controller is killed; 0: never."`
	Cuts     time.Duration `help:"About how often a link between cells is cut; 0: never."`
	Alone    bool          `help:"Leave spillover off."`
	Repeat   int           `default:"1" help:"How many runs there are."`
	Seed     uint64        `default:"1" help:"Of the faults' times and places."`
	Verbose  bool          `name:"direct" help:"Print each fault."`
	// Takeovers selects the measurement of takeovers in a single cell, whose leader is ended and
	// started again after Away.
	Takeovers int           `help:"Instead: end the leader of one cell so many times and measure the takeovers."`
	Away      time.Duration `default:"40s" help:"How long an ended leader stays away."`
	Graceful  bool          `name:"orderly" help:"Stop the leader gracefully instead of killing it."`
	Extra     []string      `help:"Further arguments of each controller." placeholder:"ARG"`
}

// Run performs the requested number of runs and prints the result of each, or measures takeovers.
func (c *cli) Run() error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	c.Binary = binary
	if c.Takeovers > 0 {
		return c.measureTakeovers()
	}
	for i := range c.Repeat {
		result, err := c.runOnce(c.Seed + uint64(i))
		if err != nil {
			return err
		}
		fmt.Println(result)
	}
	return nil
}

func (c *cli) runOnce(seed uint64) (*result, error) {
	dir, err := os.MkdirTemp("", "cellsload")
	if err != nil {
		return nil, err
	}
	tb, err := newTestbed(c, dir)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	time.Sleep(startupTime)
	start := time.Now()
	stop := make(chan struct{})
	faults := &faultInjector{testbed: tb, cli: c, stop: stop, random: rand.New(rand.NewPCG(seed, 1))}
	go faults.run()
	go tb.sampleIdle(stop)
	tb.submitJobs(c)
	close(stop)
	tb.endFaults()
	tb.awaitResults(resultsTimeout)
	r := tb.result(seed, time.Since(start))
	if r.hasViolations() {
		fmt.Println("settings files and logs kept in", dir)
	} else {
		removeQuietly(dir)
	}
	return r, nil
}

func main() {
	k := kong.Parse(&cli{},
		kong.Name("cellsload"),
		kong.Description("Measures spillover between cells on this computer."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cellsload:", err)
		os.Exit(1)
	}
}
