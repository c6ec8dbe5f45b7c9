// Soak is a randomized fault test of real controller processes on the loopback interface, with
// simulated services, machines and users around them. Faults begin at random moments and overlap, while
// users submit, cancel, repeat and ask at all nodes. A checker then looks for broken rules of the
// protocol in what users and machines saw; it never asks the controllers. The seed selects the faults,
// their order and their times; when processes run is not repeatable, so neither is the course of a run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type cli struct {
	Binary   string        `default:"target/ivytrestle" help:"The controller's program."`
	First    uint64        `default:"1" help:"The first seed."`
	Seeds    int           `default:"1" help:"How many seeds are played."`
	Parallel int           `default:"1" help:"How many seeds are played at a time."`
	Faults   time.Duration `default:"40s" help:"For how long faults begin."`
	Workers  int           `default:"12" help:"Machines at the start."`
	Users    int           `default:"12" help:"Jobs at a time."`
	Only     []string      `help:"The kinds of faults; all if not set." placeholder:"KIND"`
}

var errFailed = errors.New("at least one seed failed")

// Run plays all seeds and prints their results.
func (c *cli) Run() error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var failures []error
	slots := make(chan struct{}, max(1, c.Parallel))
	var runs sync.WaitGroup
	for i := range c.Seeds {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			o := options{
				seed:    c.First + uint64(i),
				binary:  binary,
				faults:  c.Faults,
				workers: c.Workers,
				users:   c.Users,
				only:    c.Only,
			}
			r, err := run(o)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failures = append(failures, err)
			case r.failed():
				failures = append(failures, errFailed)
				fmt.Println(r)
			default:
				fmt.Println(r)
				_ = os.RemoveAll(r.logs) // a temporary directory
			}
		})
	}
	runs.Wait()
	return errors.Join(failures...)
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("soak"), kong.Description("Randomized fault test of real controllers."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
