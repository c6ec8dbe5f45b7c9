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

// extendedBy has a node publish machines, and tells which of them a leader takes to have
// extended leases.
func extendedBy(w *simulatedCluster, l limits, hosts []string) (kept int) {
	w.state = l.settings()
	w.enforce(l)
	a := w.start("n0")
	a.inspect(func(c *Controller) {
		for _, name := range hosts {
			c.leaderTerm.addMachine(name, "small", "a", false, time.Now())
		}
	})
	e, err := w.store.Get(context.Background(), election.TermKey)
	if err != nil {
		w.t.Fatal(err)
	}
	b := New(Config{Settings: &config.Settings{Node: "n1", Peers: []config.Peer{{Node: "n0"}, {Node: "n2"}}, Site: config.SiteInfo{State: w.state}},
		Store: w.store, Log: a.Log})
	b.publishRenewals(context.Background(), hosts, 1, e.ModRevision)
	a.inspect(func(c *Controller) {
		c.leaderTerm.renewalsReadAt = time.Time{}
		c.leaderTerm.readRenewals(time.Now())
	})
	time.Sleep(100 * time.Millisecond)
	a.inspect(func(c *Controller) {
		for _, m := range c.leaderTerm.machines {
			if m.LeaseRenewedUntil.After(time.Now()) {
				kept++
			}
		}
	})
	return kept
}

// A list of extended leases that does not fit one record goes on in further ones,
// which leaders of any version read; no more are written than they read.
func TestLeaseExtensionsFitRecords(t *testing.T) {
	names := func(n int) (hosts []string) {
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("i-%06d", i))
		}
		return hosts
	}
	for _, l := range small {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.checkEqual("extended", extendedBy(w, l, names(300)), 300)
				w.checkNothingTooLarge()
			})
		})
	}
	simulate(t, func(w *simulatedCluster) {
		// One too long for any record does not hold up the others.
		w.checkEqual("extended", extendedBy(w, limits{3, 1, 8}, append(names(40), strings.Repeat("i", 1100))), 40)
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		w.checkEqual("extended of a large fleet", extendedBy(w, limits{3, 1, 8}, names(5000)), 5000)
		if n := len(w.keysUnder(records.LeaseRenewalPrefix)); 3*n > maxRenewalRecords || n < 5000/100 {
			w.t.Errorf("%d records of one node of three", n)
		}
		w.checkNothingTooLarge()
	})
	simulate(t, func(w *simulatedCluster) {
		// The service turns out smaller than the settings say.
		w.state = limits{12, 8, 25}.settings()
		a := w.start("n0")
		w.enforce(limits{12, 1, 25})
		e, _ := w.store.Get(context.Background(), election.TermKey)
		a.publishRenewals(context.Background(), names(200), 1, e.ModRevision)
		w.checkEqual("records", len(w.keysUnder(records.LeaseRenewalPrefix)) > 2, true)
		if n := len(w.store.RejectedAsTooLarge()); n == 0 || n > 3 {
			w.t.Errorf("refused %d times", n)
		}
	})
}

// What is relayed through the store while zones are apart keeps to the limits,
// and work goes on beyond the cut also with the smallest.
func TestSmallLimitsBeyondTheCut(t *testing.T) {
	for _, l := range append([]limits{{2, 1, 8}, {3, 1, 2}}, small...) {
		t.Run(l.String(), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
				w.state = l.settings()
				w.enforce(l)
				_, a, b, _, near, far := w.beyondTheCut()
				s := spec("job-1", 400)
				s.CPUs, s.MemoryGB = 0.02, 0.02
				w.submit(a, s)
				ran, began := 0, time.Now()
				ch, err := w.store.Watch(context.Background(), records.RelayPrefix+"n1/up/", 0, time.Second)
				if err != nil {
					w.t.Fatal(err)
				}
				before := len(ch.Events)
				for range 10 {
					for range 8 {
						near.heartbeat(a)
						far.heartbeat(b)
						time.Sleep(time.Second)
					}
					ran += len(far.running())
					far.exit(api.CauseDone)
					near.exit(api.CauseDone)
				}
				for range 12 {
					near.heartbeat(a)
					far.heartbeat(b)
					time.Sleep(time.Second)
				}
				ch, err = w.store.Watch(context.Background(), records.RelayPrefix+"n1/up/", 0, time.Second)
				if rate := float64(len(ch.Events)-before) / time.Since(began).Seconds(); err != nil || rate > l.writes*kv.RecordShare {
					w.t.Errorf("%v changes a second for relayed reports, %v", rate, err)
				}
				w.checkEqual("phase", w.phase(a, "job-1"), "done")
				w.checkEqual("ran beyond the cut", ran > 100, true)
				w.checkNothingTooLarge()
			})
		})
	}
}

// What is relayed and refused for its size comes again in smaller parts: work goes
// on beyond the cut although the service is smaller than the settings say.
func TestRelayRefusedForSize(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 16, 16
		w.state = limits{20, 16, 100}.settings()
		_, a, b, _, near, far := w.beyondTheCut()
		w.enforce(limits{20, 1, 100})
		s := spec("job-1", 700)
		s.CPUs, s.MemoryGB = 0.01, 0.01
		s.Image = strings.Repeat("image", 20)
		w.submit(a, s)
		ran := 0
		for range 10 {
			for range 12 {
				near.heartbeat(a)
				far.heartbeat(b)
				time.Sleep(time.Second)
			}
			ran += len(far.running())
			near.exit(api.CauseDone)
			far.exit(api.CauseDone)
		}
		for range 12 {
			near.heartbeat(a)
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("phase", w.phase(a, "job-1"), "done")
		if n := len(w.store.RejectedAsTooLarge()); ran < 100 || n == 0 || n > 16 {
			w.t.Errorf("%d ran beyond the cut, refused for size %d times: %v", ran, n, w.store.RejectedAsTooLarge())
		}
	})
}

// A report that fits no batch does not keep those of other machines from being
// relayed.
func TestReportTooLargeToRelay(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l := limits{3, 1, 25}
		w.state = l.settings()
		w.enforce(l)
		_, a, b, _, _, far := w.beyondTheCut()
		other := w.worker("i-3", "b", false)
		for i := range cluster.MaxAttempts {
			far.status.Tasks = append(far.status.Tasks, api.TaskStatus{Task: fmt.Sprintf("job-%d/%d", i*i*7919%99991, i), Attempt: uint64(i * 104729), Phase: api.TaskRunning})
		}
		heard := func() (n int) {
			a.inspect(func(c *Controller) {
				if m := c.leaderTerm.machines["i-3"]; m != nil {
					n = m.HeartbeatCount
				}
			})
			return n
		}
		for range 12 {
			far.heartbeat(b)
			other.heartbeat(b)
			time.Sleep(time.Second)
		}
		if n := heard(); n < 3 {
			w.t.Errorf("heard %d times of the other machine", n)
		}
		w.checkNothingTooLarge()
	})
}
