package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/fleet"
)

// Limits of requests to the cloud.
const (
	cloudTimeout      = 5 * time.Second
	maxLaunchAttempts = 6
	maxLaunchBackoff  = 8 * time.Second
)

// sendLaunch sends a launch request until its outcome is known, or maxLaunchAttempts times. The
// name makes repeats safe.
func (lt *leaderTerm) sendLaunch(req cloud.LaunchRequest, o fleet.Offer) {
	backoff := time.Second
	for range maxLaunchAttempts {
		ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
		hosts, err := lt.c.Cloud.Launch(ctx, req)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(launchedMsg{leaderTerm: lt, request: req, offer: o, machines: hosts})
			return
		}
		lt.c.Log.Debug("launch request failed", "name", req.Name, "err", err)
		sleep(lt.ctx, backoff)
		backoff = min(2*backoff, maxLaunchBackoff)
	}
	// If it was applied after all, the list or a heartbeat shows it.
	lt.sendToOwner(launchedMsg{leaderTerm: lt, request: req, offer: o})
}

// launchedMsg is the outcome of a launch request; without machines if it is not known.
type launchedMsg struct {
	leaderTerm *leaderTerm
	request    cloud.LaunchRequest
	offer      fleet.Offer
	machines   []string
}

func (m launchedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	now := time.Now()
	lt.autoscaler.launchesInFlight--
	delete(lt.autoscaler.pendingLaunches, m.request.Name)
	lt.autoscaler.launchingCPUs -= float64(m.request.Count) * m.offer.CPUs
	if len(m.machines) < m.request.Count {
		lt.autoscaler.unavailableUntil[m.offer.Kind()] = now.Add(unavailableTTL)
	}
	if len(m.machines) > 0 {
		c.Log.Info("machines launched", "type", m.request.Type, "zone", m.request.Zone, "spot", m.request.Spot,
			"requested", m.request.Count, "count", len(m.machines))
	}
	for _, name := range m.machines {
		if lt.machines[name] == nil && !lt.terminated.Contains(name) {
			lt.provisioning[name] = &provisioning{
				typ:   m.request.Type,
				zone:  m.request.Zone,
				spot:  m.request.Spot,
				since: now,
				boot:  m.offer.Boot,
				cpus:  m.offer.CPUs,
			}
		}
	}
	if c.holdsLease() {
		lt.autoscaler.scaleOut(now) // what is still missing is requested at once
	}
}

// terminateMachines requests the next terminations, one request at a time. A failed one is repeated.
func (as *autoscaler) terminateMachines() {
	if as.terminationsInFlight || len(as.terminations) == 0 {
		return
	}
	n := min(len(as.terminations), cloud.MaxTerminate)
	names := slices.Clone(as.terminations[:n])
	as.terminations = as.terminations[n:]
	as.terminationsInFlight = true
	lt := as.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
		defer cancel()
		err := lt.c.Cloud.Terminate(ctx, names)
		lt.sendToOwner(terminatedMsg{leaderTerm: lt, names: names, err: err})
	}()
}

// terminatedMsg is the outcome of a request to terminate machines.
type terminatedMsg struct {
	leaderTerm *leaderTerm
	names      []string
	err        error
}

func (m terminatedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	lt.autoscaler.terminationsInFlight = false
	if m.err != nil {
		c.Log.Debug("machines not terminated", "machines", m.names, "err", m.err)
		lt.autoscaler.terminations = append(lt.autoscaler.terminations, m.names...)
		return
	}
	for _, name := range m.names {
		delete(lt.provisioning, name)
		lt.terminated.Add(name, true)
		if machine := lt.machines[name]; machine != nil {
			lt.machineTerminated(machine)
		}
	}
	lt.autoscaler.terminateMachines()
}

// listMachines reads the cloud's list every listInterval: for machines that are not known, that
// never sent a heartbeat, or that have stopped.
func (as *autoscaler) listMachines(now time.Time) {
	if as.listing || now.Before(as.nextList) {
		return
	}
	as.listing = true
	lt := as.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
		defer cancel()
		hosts, err := lt.c.Cloud.List(ctx)
		lt.sendToOwner(machinesListedMsg{leaderTerm: lt, machines: hosts, err: err})
	}()
}

// machinesListedMsg has the cloud's list of machines.
type machinesListedMsg struct {
	leaderTerm *leaderTerm
	machines   []cloud.Machine
	err        error
}

func (m machinesListedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	as := &lt.autoscaler
	now := time.Now()
	as.listing, as.nextList = false, now.Add(listInterval)
	if m.err != nil {
		c.Log.Debug("machines not listed", "err", m.err)
		return
	}
	for i := range m.machines {
		lt.applyListedMachine(&m.machines[i], now)
	}
}

// applyListedMachine applies one machine of the cloud's list, which lags behind.
func (lt *leaderTerm) applyListedMachine(listed *cloud.Machine, now time.Time) {
	if lt.terminated.Contains(listed.Name) {
		return
	}
	if m := lt.machines[listed.Name]; m != nil {
		missedHeartbeats := now.Sub(m.LastSeen) > 2*lt.c.Settings.Site.Workers.HeartbeatInterval()
		if listed.Phase == cloud.PhaseFailed && m.Phase() < cluster.Terminating && missedHeartbeats {
			lt.evacuate(m, "stopped")
			lt.autoscaler.scaleIn(m)
		}
		return
	}
	mt := lt.c.types.load()[listed.Type]
	boot := time.Duration(mt.BootS * float64(time.Second))
	age := time.Duration(listed.AgeS * float64(time.Second))
	awaited := lt.provisioning[listed.Name]
	if awaited == nil {
		awaited = &provisioning{
			typ:   listed.Type,
			zone:  listed.Zone,
			spot:  listed.Spot,
			since: now.Add(-age),
			boot:  boot,
			cpus:  mt.CPUs,
		}
		lt.provisioning[listed.Name] = awaited
	}
	if awaited.terminating {
		return
	}
	// A machine that is up sends a heartbeat within seconds; one that boots may take several
	// times as long as usual.
	if listed.Phase == cloud.PhaseFailed || (now.Sub(awaited.since) > 4*boot+lt.c.Settings.Site.Workers.Lease()) {
		lt.c.Log.Info("machine never sent a heartbeat", "machine", listed.Name,
			"phase", listed.Phase, "age", age.Round(time.Second))
		awaited.terminating = true
		lt.autoscaler.terminations = append(lt.autoscaler.terminations, listed.Name)
	}
}
