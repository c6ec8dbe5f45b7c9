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

// countRenewed has a follower publish the machines whose task leases it renews on behalf of the
// leader, and counts those that the leader then reads as renewed.
func countRenewed(w *simulatedCluster, l limits, machines []string) (renewed int) {
	w.t.Helper()
	w.storeLimits = l.settings()
	w.enforce(l)
	a := w.start("n0")
	a.inspect(func(c *Controller) {
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
	b := New(Config{Settings: settings, Store: w.store, Log: a.Log})
	b.publishRenewals(context.Background(), machines, 1, e.ModRevision)
	a.inspect(func(c *Controller) {
		c.leaderTerm.renewalsReadAt = time.Time{}
		c.leaderTerm.readRenewals(time.Now())
	})
	time.Sleep(100 * time.Millisecond)
	a.inspect(func(c *Controller) {
		for _, m := range c.leaderTerm.machines {
			if m.LeaseRenewedUntil.After(time.Now()) {
				renewed++
			}
		}
	})
	return renewed
}

// machineNames are names of machines, numbered from 0.
func machineNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("i-%06d", i)
	}
	return names
}

// A list of renewed task leases that does not fit one record is continued in further ones, which
// leaders of any version read; no more are written than they read.
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
		// A name too long for any record does not keep the others from being renewed.
		names := append(machineNames(40), strings.Repeat("i", 1100))
		w.checkEqual("renewed", countRenewed(w, limits{3, 1, 8}, names), 40)
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		w.checkEqual("renewed in a large fleet", countRenewed(w, limits{3, 1, 8}, machineNames(5000)), 5000)
		if n := len(w.keysUnder(records.LeaseRenewalPrefix)); 3*n > maxRenewalRecords || n < 5000/100 {
			w.t.Errorf("records of one node of three: got %d, want %d to %d", n, 5000/100, maxRenewalRecords/3)
		}
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		// The limits of the key-value store are smaller than the settings say.
		w.storeLimits = limits{12, 8, 25}.settings()
		a := w.start("n0")
		w.enforce(limits{12, 1, 25})
		e, err := w.store.Get(context.Background(), election.TermKey)
		if err != nil {
			w.t.Fatal(err)
		}
		a.publishRenewals(context.Background(), machineNames(200), 1, e.ModRevision)
		w.checkEqual("more than two records", len(w.keysUnder(records.LeaseRenewalPrefix)) > 2, true)
		if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 3 {
			w.t.Errorf("rejected for size: got %d times, want 1 to 3", n)
		}
	})
}

// heartbeatBothSides has the machine of each zone send a heartbeat to the node of its zone, once a
// second.
func heartbeatBothSides(a, b *node, near, far *worker, seconds int) {
	for range seconds {
		near.heartbeat(a)
		far.heartbeat(b)
		time.Sleep(time.Second)
	}
}

// runBothSides sends heartbeats for rounds of some seconds, and completes all running tasks at the
// end of each round. It returns how many it completed on the far side.
func runBothSides(a, b *node, near, far *worker, rounds, seconds int) (ranFar int) {
	for range rounds {
		heartbeatBothSides(a, b, near, far, seconds)
		ranFar += len(far.running())
		far.exit(api.CauseDone)
		near.exit(api.CauseDone)
	}
	return ranFar
}

// relayUplinkEvents counts the changes of the records that n1 relays to the leader.
func (w *simulatedCluster) relayUplinkEvents() int {
	w.t.Helper()
	changes, err := w.store.Watch(context.Background(), records.RelayPrefix+"n1/up/", 0, time.Second)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(changes.Events)
}

// What is relayed through the key-value store while zones are partitioned keeps to the limits, and
// work goes on beyond the partition with the smallest ones as well.
func TestRelayKeepsToSmallLimits(t *testing.T) {
	for _, l := range append([]limits{{2, 1, 8}, {3, 1, 2}}, limitSweep...) {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
				w.storeLimits = l.settings()
				w.enforce(l)
				_, a, b, _, near, far := w.partitionZones()
				s := spec("job-1", 400)
				s.CPUs, s.MemoryGB = 0.02, 0.02
				w.submit(a, s)
				start := time.Now()
				eventsBefore := w.relayUplinkEvents()
				ranFar := runBothSides(a, b, near, far, 10, 8)
				heartbeatBothSides(a, b, near, far, 12)
				events := w.relayUplinkEvents() - eventsBefore
				rate := float64(events) / time.Since(start).Seconds()
				if maxRate := l.writes * kv.RecordShare; rate > maxRate {
					w.t.Errorf("changes a second of relayed heartbeats: got %v, want at most %v", rate, maxRate)
				}
				w.checkEqual("phase", w.phase(a, "job-1"), "done")
				w.checkEqual("more than 100 tasks ran beyond the partition", ranFar > 100, true)
				w.checkNothingTooLarge()
			})
		})
	}
}

// What is relayed and rejected for its size is sent again in smaller parts: work goes on beyond the
// partition although the limits of the key-value store are smaller than the settings say.
func TestRelayRejectedForSizeIsSplit(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
		w.storeLimits = limits{20, 16, 100}.settings()
		_, a, b, _, near, far := w.partitionZones()
		w.enforce(limits{20, 1, 100})
		s := spec("job-1", 700)
		s.CPUs, s.MemoryGB = 0.01, 0.01
		s.Image = strings.Repeat("image", 20)
		w.submit(a, s)
		ranFar := runBothSides(a, b, near, far, 10, 12)
		heartbeatBothSides(a, b, near, far, 12)
		w.checkEqual("phase", w.phase(a, "job-1"), "done")
		rejected := w.store.RejectedAsTooLarge()
		if n := len(rejected); ranFar < 100 || n == 0 || n > 16 {
			w.t.Errorf("got %d tasks beyond the partition, %d rejections for size, want at least 100, 1 to 16: %v",
				ranFar, n, rejected)
		}
	})
}

// A heartbeat that fits no batch does not keep those of other machines from being relayed.
func TestHeartbeatTooLargeToRelay(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{3, 1, 25}
		w.storeLimits = l.settings()
		w.enforce(l)
		_, a, b, _, _, far := w.partitionZones()
		other := w.worker("i-3", "b", false)
		for i := range cluster.MaxMachineAttempts {
			far.status.Tasks = append(far.status.Tasks, api.TaskStatus{
				Task:    fmt.Sprintf("job-%d/%d", i*i*7919%99991, i),
				Attempt: uint64(i * 104729),
				Phase:   api.TaskRunning,
			})
		}
		for range 12 {
			far.heartbeat(b)
			other.heartbeat(b)
			time.Sleep(time.Second)
		}
		relayed := 0
		a.inspect(func(c *Controller) {
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
