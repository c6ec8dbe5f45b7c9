package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// countRenewed has a follower publish that it renews the task leases of the given machines on the
// leader's behalf. It returns for how many machines the leader then reads a renewal.
func countRenewed(w *simulatedCluster, l limits, machines []string) (renewed int) {
	w.t.Helper()
	w.storeLimits = l.kvLimits()
	w.enforceLimits(l)
	n0 := w.start("n0")
	n0.inspect(func(c *Controller) {
		for _, name := range machines {
			c.leaderTerm.addMachine(name, "small", "a", false, time.Now())
		}
	})
	e, err := w.store.Get(context.Background(), election.TermKey)
	if err != nil {
		w.t.Fatal(err)
	}
	settings := &config.Settings{
		Node:  "n1",
		Peers: []config.Peer{{Node: "n0"}, {Node: "n2"}},
		Site:  config.SiteInfo{State: w.storeLimits},
	}
	n1 := New(Config{Settings: settings, Store: w.store, Log: n0.Log})
	n1.publishRenewals(context.Background(), machines, 1, e.ModRevision)
	n0.inspect(func(c *Controller) {
		c.leaderTerm.renewalsReadAt = time.Time{}
		c.leaderTerm.readRenewals(time.Now())
	})
	time.Sleep(100 * time.Millisecond)
	n0.inspect(func(c *Controller) {
		for _, m := range c.leaderTerm.machines {
			if m.LeaseRenewedUntil.After(time.Now()) {
				renewed++
			}
		}
	})
	return renewed
}

// machineNames returns count names of machines, numbered from 0.
func machineNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("i-%06d", i)
	}
	return names
}

// A list of lease renewals that does not fit in one record continues in further records, which leaders
// of all versions read. No more records are written than a leader reads.
func TestLeaseRenewalsFitRecords(t *testing.T) {
	for _, l := range limitSweep {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.checkEqual("renewed", countRenewed(w, l, machineNames(300)), 300)
				w.checkNothingTooLarge()
			})
		})
	}
	simulate(t, func(w *simulatedCluster) {
		// A name that fits in no record does not prevent the renewal of the others.
		names := append(machineNames(40), strings.Repeat("i", 1100))
		w.checkEqual("renewed", countRenewed(w, limits{3, 1, 8}, names), 40)
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		w.checkEqual("renewed in a large fleet", countRenewed(w, limits{3, 1, 8}, machineNames(5000)), 5000)
		if n := len(w.keysUnder(records.LeaseRenewalPrefix)); 3*n > maxRenewalRecords || n < 5000/100 {
			w.t.Errorf("records of one of three nodes: got %d, want %d to %d", n, 5000/100, maxRenewalRecords/3)
		}
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		// The key-value store enforces smaller limits than those in the settings.
		w.storeLimits = limits{12, 8, 25}.kvLimits()
		n0 := w.start("n0")
		w.enforceLimits(limits{12, 1, 25})
		e, err := w.store.Get(context.Background(), election.TermKey)
		if err != nil {
			w.t.Fatal(err)
		}
		n0.publishRenewals(context.Background(), machineNames(200), 1, e.ModRevision)
		w.checkEqual("more than two records", len(w.keysUnder(records.LeaseRenewalPrefix)) > 2, true)
		if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 3 {
			w.t.Errorf("rejected as too large: got %d times, want 1 to 3", n)
		}
	})
}

// heartbeatBothSides has the machine of each zone send a heartbeat to the node of its zone once per
// second, for the given number of seconds.
func heartbeatBothSides(n0, n1 *node, near, far *worker, seconds int) {
	for range seconds {
		near.heartbeat(n0)
		far.heartbeat(n1)
		time.Sleep(time.Second)
	}
}

// runBothSides sends heartbeats in rounds of the given number of seconds, and completes all running
// tasks at the end of each round. It returns how many tasks it completed on the machine far.
func runBothSides(n0, n1 *node, near, far *worker, rounds, seconds int) (completedFar int) {
	for range rounds {
		heartbeatBothSides(n0, n1, near, far, seconds)
		completedFar += len(far.running())
		far.exit(api.CauseDone)
		near.exit(api.CauseDone)
	}
	return completedFar
}

// relayUplinkEvents returns the number of changes to the records with the heartbeats that n1 relays.
func (w *simulatedCluster) relayUplinkEvents() int {
	w.t.Helper()
	changes, err := w.store.Watch(context.Background(), records.RelayPrefix+"n1/up/", 0, time.Second)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(changes.Events)
}

// While zones are partitioned, the relayed records do not exceed the limits of the key-value store, and
// the machines beyond the partition run tasks even with the smallest limits.
func TestRelayKeepsToSmallLimits(t *testing.T) {
	for _, l := range append([]limits{{2, 1, 8}, {3, 1, 2}}, limitSweep...) {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
				w.storeLimits = l.kvLimits()
				w.enforceLimits(l)
				_, n0, n1, _, near, far := w.partitionZones()
				s := spec("job-1", 400)
				s.CPUs, s.MemoryGB = 0.02, 0.02
				w.submit(n0, s)
				start := time.Now()
				eventsBefore := w.relayUplinkEvents()
				completedFar := runBothSides(n0, n1, near, far, 10, 8)
				heartbeatBothSides(n0, n1, near, far, 12)
				events := w.relayUplinkEvents() - eventsBefore
				rate := float64(events) / time.Since(start).Seconds()
				if maxRate := l.writeRPS * kv.RecordWriteShare; rate > maxRate {
					w.t.Errorf("changes per second to relayed heartbeats: got %v, want at most %v", rate, maxRate)
				}
				w.checkEqual("phase", w.phase(n0, "job-1"), "done")
				w.checkEqual("more than 100 tasks completed beyond the partition", completedFar > 100, true)
				w.checkNothingTooLarge()
			})
		})
	}
}

// If the key-value store enforces smaller limits than those in the settings, it rejects relayed batches
// as too large. The nodes then write smaller batches, and the machines beyond the partition still run
// tasks.
func TestRelayRejectedForSizeIsSplit(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
		w.storeLimits = limits{20, 16, 100}.kvLimits()
		_, n0, n1, _, near, far := w.partitionZones()
		w.enforceLimits(limits{20, 1, 100})
		s := spec("job-1", 700)
		s.CPUs, s.MemoryGB = 0.01, 0.01
		s.Image = strings.Repeat("image", 20)
		w.submit(n0, s)
		completedFar := runBothSides(n0, n1, near, far, 10, 12)
		heartbeatBothSides(n0, n1, near, far, 12)
		w.checkEqual("phase", w.phase(n0, "job-1"), "done")
		rejected := w.store.RejectedAsTooLarge()
		if n := len(rejected); completedFar < 100 || n == 0 || n > 16 {
			w.t.Errorf("completed beyond the partition: got %d tasks, want at least 100; "+
				"rejected as too large: got %d times, want 1 to 16: %v", completedFar, n, rejected)
		}
	})
}

// A heartbeat that is too large for any batch does not prevent those of other machines from being
// relayed.
func TestHeartbeatTooLargeToRelay(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{3, 1, 25}
		w.storeLimits = l.kvLimits()
		w.enforceLimits(l)
		_, n0, n1, _, _, far := w.partitionZones()
		other := w.worker("i-3", "b", false)
		for i := range cluster.MaxMachineAttempts {
			far.status.Tasks = append(far.status.Tasks, api.TaskStatus{
				Task:    fmt.Sprintf("job-%d/%d", i*i*7919%99991, i),
				Attempt: uint64(i * 104729),
				Phase:   api.TaskRunning,
			})
		}
		for range 12 {
			far.heartbeat(n1)
			other.heartbeat(n1)
			time.Sleep(time.Second)
		}
		relayed := 0
		n0.inspect(func(c *Controller) {
			if m := c.leaderTerm.machines["i-3"]; m != nil {
				relayed = m.HeartbeatCount
			}
		})
		if relayed < 3 {
			w.t.Errorf("relayed heartbeats of the other machine: got %d, want at least 3", relayed)
		}
		w.checkNothingTooLarge()
	})
}
