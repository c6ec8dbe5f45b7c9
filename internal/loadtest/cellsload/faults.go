package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// restartTime is longer than the downtime of a killed controller (200 ms to 6.2 s).
const restartTime = 7 * time.Second

// faultInjector kills controllers and cuts links at random times until stop is closed.
type faultInjector struct {
	testbed *testbed
	cli     *cli
	stop    <-chan struct{}
	mu      sync.Mutex
	random  *rand.Rand
}

// run kills controllers in the background and cuts links until stop is closed.
func (f *faultInjector) run() {
	go f.repeat(f.cli.Kills, f.killController)
	f.repeat(f.cli.Cuts, f.cutLink)
}

// repeat injects faults until stop is closed, each after a random delay with this mean. If mean is
// zero, it injects none.
func (f *faultInjector) repeat(mean time.Duration, inject func()) {
	for mean > 0 {
		f.mu.Lock()
		wait := time.Duration(float64(mean) * (0.5 + f.random.Float64()))
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(wait):
			inject()
		}
	}
}

func (f *faultInjector) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// killController kills a random controller and starts it again after a random downtime.
func (f *faultInjector) killController() {
	tb := f.testbed
	cell := tb.cells[f.intN(len(tb.cells))]
	p := cell.nodes[f.intN(len(cell.nodes))]
	downtime := time.Duration(200+f.intN(6000)) * time.Millisecond
	tb.mu.Lock()
	tb.kills++
	tb.mu.Unlock()
	tb.logf("kill %s for %v", p.Name, downtime)
	p.Kill()
	time.Sleep(downtime)
	if err := p.Start(f.cli.Binary); err != nil {
		fmt.Fprintln(os.Stderr, "cellsload:", err)
	}
}

// cutLink cuts all links from one random cell to another for a random time.
func (f *faultInjector) cutLink() {
	tb := f.testbed
	if len(tb.links) == 0 {
		return
	}
	chosen := tb.links[f.intN(len(tb.links))]
	duration := time.Duration(1000+f.intN(9000)) * time.Millisecond
	tb.mu.Lock()
	tb.cuts++
	tb.mu.Unlock()
	tb.logf("cut %s to %s for %v", chosen.from, chosen.to, duration)
	tb.setCut(chosen.from, chosen.to, true)
	time.Sleep(duration)
	tb.setCut(chosen.from, chosen.to, false)
}

// setCut cuts or restores all links from one cell to another.
func (tb *testbed) setCut(from, to string, cut bool) {
	for _, l := range tb.links {
		if l.from == from && l.to == to {
			l.setCut(cut)
		}
	}
}

// endFaults waits until killed controllers have been started again, and then restores all links.
func (tb *testbed) endFaults() {
	time.Sleep(restartTime)
	for _, l := range tb.links {
		l.setCut(false)
	}
}
