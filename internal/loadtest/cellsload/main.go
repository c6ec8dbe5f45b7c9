// Cellsload measures spillover on loopback: three cells of real controller processes
// around simulated key-value stores and machines, under load that crowds on one cell after
// the other, with controllers killed and links between cells cut. It counts tasks that
// were on two machines at once, jobs without or with two final states, and how long jobs
// wait and how many CPUs are idle, with and without spillover. It is a tool, not a
// test, and runs for some minutes.
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
	// startupTime lets leaders be elected and machines send their first heartbeats.
	startupTime = 5 * time.Second
	// resultsTimeout is how long users wait for their last results.
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
	// Takeovers and Away measure one cell whose leader ends and is not started again soon.
	Takeovers int           `help:"Instead: end the leader of one cell so many times and measure the takeovers."`
	Away      time.Duration `default:"40s" help:"How long an ended leader stays away."`
	Graceful  bool          `name:"orderly" help:"Stop the leader gracefully instead of killing it."`
	Extra     []string      `help:"Further arguments of each controller." placeholder:"ARG"`
}

// Run plays the load as often as requested.
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
	began := time.Now()
	stop := make(chan struct{})
	faults := &faultInjector{testbed: tb, cli: c, stop: stop, random: rand.New(rand.NewPCG(seed, 1))}
	go faults.run()
	go tb.sampleIdle(stop)
	tb.submitJobs(c)
	close(stop)
	tb.endFaults()
	tb.awaitResults(resultsTimeout)
	r := tb.result(seed, time.Since(began))
	if r.hasViolations() {
		fmt.Println("files and logs are left in", dir)
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
