package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest/localprocess"
)

// strikeFunc begins a fault, and returns the functions that end it and that tell how much it has
// affected so far.
type strikeFunc func(st *site, f *fault) (end func(), affected func() int)

// fault is a fault that begins at a random moment and lasts for a while.
type fault struct {
	name string
	// begin is the time from the start of the faults, and duration is how long the fault lasts.
	begin, duration time.Duration
	strike          strikeFunc
	traits          faultTraits
	// mode is that of the cut links, random selects targets, and size is a number or a share.
	mode   localprocess.LinkMode
	target int
	size   float64

	// struckAt and endedAt are when the fault really began and ended, and affected counts the
	// processes, requests or messages that it affected.
	struckAt, endedAt time.Time
	affected          int
}

// describe describes the fault with its times, which count from a time.
func (f *fault) describe(from time.Time) string {
	return fmt.Sprintf("%5.1f s to %5.1f s: %s, affected %d",
		f.struckAt.Sub(from).Seconds(), f.endedAt.Sub(from).Seconds(), f.name, f.affected)
}

// faultKind is a kind of fault, with the bounds of its duration, in seconds, and of its size.
type faultKind struct {
	name                string
	shortestS, longestS float64
	minSize, maxSize    float64
	traits              faultTraits
	strike              strikeFunc
}

// faultTraits are properties of a kind of fault.
type faultTraits int

const (
	// cuts is set for cuts of links, which have a mode.
	cuts faultTraits = 1 << iota
	// atOnce is set if the fault affects something when it strikes, or never.
	atOnce
)

// faultKinds returns all kinds of faults of a site. Many last from a moment up to past a task lease.
func faultKinds(info config.SiteInfo) []faultKind {
	long := info.Workers.LeaseS + 4
	return []faultKind{
		{"leader killed", 0.2, long, 0, 0, atOnce, strikeKillLeader},
		{"node killed", 0.2, long, 0, 0, atOnce, strikeKill},
		{"leaders killed in series", 3, 9, 0, 0, 0, strikeKillSeries},
		{"leader paused", 0.5, 8, 0, 0, atOnce, strikePauseLeader},
		{"node paused", 0.5, long, 0, 0, atOnce, strikePause},
		{"store cut from node", 3, long, 0, 0, cuts, strikeCutStore},
		{"node cut from nodes", 3, long, 0, 0, cuts, strikeCutPeers},
		{"leader cut from users", 2, 6, 0, 0, cuts, strikeCutUsers},
		{"workers cut from leader", 4, long, 0, 0, cuts, strikeCutWorkers},
		{"leader cut from all", 3, long, 0, 0, cuts, strikeCutAll},
		{"store down", 1, 8, 0, 0, 0, strikeStoreDown},
		{"store slow", 3, 12, 0.05, 0.6, 0, strikeStoreSlow},
		{"store refuses leader", 2, 15, 0, 0, 0, strikeStoreRefuses},
		{"store over its rate", 2, 8, 0.3, 0.8, 0, strikeStoreRate},
		{"store loses answers", 3, 10, 0.1, 0.5, 0, strikeStoreLoses},
		{"store applies late", 3, 10, 0.1, 0.4, 0, strikeStoreLate},
		{"machines lost", 1, 2, 0.05, 0.2, atOnce, strikeMachines(workerLost)},
		{"machines hung", 2, long, 0.05, 0.3, atOnce, strikeMachines(workerHung)},
		{"machines deaf", 4, long, 0.05, 0.3, atOnce, strikeMachines(workerDeaf)},
		{"machines mute", 4, long, 0.05, 0.3, atOnce, strikeMachines(workerMute)},
	}
}

// The time between the beginnings of two faults, so that two or three overlap.
const (
	minFaultGap = time.Second
	maxFaultGap = 4500 * time.Millisecond
)

// cutModes are the modes in which links are cut.
var cutModes = []localprocess.LinkMode{localprocess.Refused, localprocess.Silent, localprocess.Held}

// scheduleFaults returns the faults of a run, in the order in which they begin. What a fault hits may
// depend on who leads then.
func scheduleFaults(info config.SiteInfo, o options) ([]*fault, error) {
	random := newLockedRand(o.seed, 3)
	kinds := slices.DeleteFunc(faultKinds(info), func(kind faultKind) bool {
		return len(o.only) > 0 && !slices.Contains(o.only, kind.name)
	})
	if len(kinds) == 0 {
		return nil, fmt.Errorf("no kind of fault is named %s", strings.Join(o.only, " or "))
	}
	var faults []*fault
	begin := time.Duration(0)
	for {
		begin += random.between(minFaultGap, maxFaultGap)
		if begin >= o.faults {
			return faults, nil
		}
		kind := kinds[random.intN(len(kinds))]
		f := &fault{
			name:     kind.name,
			begin:    begin,
			duration: random.between(config.Duration(kind.shortestS), config.Duration(kind.longestS)),
			strike:   kind.strike,
			traits:   kind.traits,
			target:   random.intN(nodeCount),
			size:     kind.minSize + random.float64()*(kind.maxSize-kind.minSize),
		}
		if kind.traits&cuts != 0 {
			f.mode = cutModes[random.intN(len(cutModes))]
			f.name += ", " + f.mode.String()
		}
		faults = append(faults, f)
	}
}

// strikeTimeout is how long a fault may take until it affects something: there may be no node that is
// up, or no request of the node that it concerns.
const strikeTimeout = 15 * time.Second

// injectFaults runs the faults at their times, and returns when all have ended.
func (st *site) injectFaults(faults []*fault) {
	start := time.Now()
	ended := make(chan struct{})
	for _, f := range faults {
		go func() {
			time.Sleep(f.begin - time.Since(start))
			f.inject(st)
			ended <- struct{}{}
		}()
	}
	for range faults {
		<-ended
	}
}

// inject begins the fault, and ends it after its duration and when it has affected something.
func (f *fault) inject(st *site) {
	const retryInterval = 100 * time.Millisecond
	f.struckAt = time.Now()
	latest := f.struckAt.Add(f.duration + strikeTimeout)
	end, affected := f.strike(st, f)
	for f.traits&atOnce != 0 && affected() == 0 && time.Now().Before(latest) {
		time.Sleep(retryInterval)
		f.struckAt = time.Now()
		end, affected = f.strike(st, f)
	}
	time.Sleep(f.duration - time.Since(f.struckAt))
	for affected() == 0 && time.Now().Before(latest) {
		time.Sleep(retryInterval)
	}
	end()
	f.endedAt, f.affected = time.Now(), affected()
}

// unstruck returns the names of the faults that affected nothing.
func unstruck(faults []*fault) []string {
	var names []string
	for _, f := range faults {
		if f.affected == 0 {
			names = append(names, f.name)
		}
	}
	slices.Sort(names)
	return names
}

// describeFaults lists faults with their times, which count from a time.
func describeFaults(faults []*fault, from time.Time) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, "  "+f.describe(from))
	}
	return strings.Join(lines, "\n")
}
