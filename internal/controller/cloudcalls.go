package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/queue"
)

// Requests to the cloud run in goroutines, which send their outcomes as messages.

// Limits of requests to the cloud.
const (
	cloudTimeout      = 5 * time.Second
	maxLaunchAttempts = 6
	maxLaunchBackoff  = 8 * time.Second
)

// fleetView is what the autoscaler reads of the term's state.
func (lt *leaderTerm) fleetView(now time.Time) autoscaler.View {
	return autoscaler.View{
		Now:          now,
		Machines:     lt.machines,
		Provisioning: lt.provisioning,
		Teams:        lt.allTeams(),
		Jobs:         lt.jobs,
		Types:        lt.c.types.load(),
		Unfenced:     lt.unfenced,
	}
}

// allTeams are the cell's own teams and those of guests: both have accepted jobs.
func (lt *leaderTerm) allTeams() []*queue.Team[*cluster.Job] {
	if len(lt.loans.guestFairShareOrder) == 0 {
		return lt.fairShareOrder
	}
	return slices.Concat(lt.fairShareOrder, lt.loans.guestFairShareOrder)
}

// scaleFleet has the autoscaler decide what is due, and carries it out.
func (lt *leaderTerm) scaleFleet(now time.Time) {
	view := lt.fleetView(now)
	lt.applyScaling(lt.autoscaler.Tick(&view), now)
}

// applyScaling carries out what the autoscaler has decided.
func (lt *leaderTerm) applyScaling(commands autoscaler.Commands, now time.Time) {
	lt.sendTermination(commands.Terminate)
	if commands.List {
		go lt.listMachines()
	}
	for _, d := range commands.Drains {
		lt.c.Log.Debug("machine draining", "machine", d.Machine.Name,
			"count", len(d.Machine.Attempts), "spare", d.SpareCPUs)
	}
	for _, launch := range commands.Launches {
		go lt.sendLaunch(launch)
	}
	for _, stop := range commands.Stops {
		lt.requestStop(stop.Attempt, stop.Grace, now)
	}
}

// scaleIn has the cloud terminate a machine.
func (lt *leaderTerm) scaleIn(m *cluster.Machine) { lt.sendTermination(lt.autoscaler.ScaleIn(m)) }

// sendLaunch sends a launch request until its outcome is known, or maxLaunchAttempts times. The
// name makes repeats safe.
func (lt *leaderTerm) sendLaunch(launch autoscaler.Launch) {
	backoff := time.Second
	for range maxLaunchAttempts {
		ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
		hosts, err := lt.c.Cloud.Launch(ctx, launch.Request)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(launchedMsg{leaderTerm: lt, launch: launch, machines: hosts})
			return
		}
		lt.c.Log.Debug("launch request failed", "name", launch.Request.Name, "err", err)
		sleep(lt.ctx, backoff)
		backoff = min(2*backoff, maxLaunchBackoff)
	}
	// If it was applied after all, the list or a heartbeat shows it.
	lt.sendToOwner(launchedMsg{leaderTerm: lt, launch: launch})
}

// launchedMsg is the outcome of a launch request; without machines if it is not known.
type launchedMsg struct {
	leaderTerm *leaderTerm
	launch     autoscaler.Launch
	machines   []string
}

func (m launchedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	lt.autoscaler.LaunchEnded(m.launch, len(m.machines), now)
	if request := m.launch.Request; len(m.machines) > 0 {
		c.Log.Info("machines launched", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
			"requested", request.Count, "count", len(m.machines))
	}
	for _, name := range m.machines {
		if lt.machines[name] == nil && !lt.terminated.Contains(name) {
			lt.provisioning[name] = m.launch.ProvisioningMachine(now)
		}
	}
	if c.holdsLease() {
		// What is still missing is requested at once.
		view := lt.fleetView(now)
		lt.applyScaling(lt.autoscaler.ScaleOut(&view), now)
	}
}

// sendTermination requests the termination of machines, if there are any.
func (lt *leaderTerm) sendTermination(names []string) {
	if len(names) == 0 {
		return
	}
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
	if lt.hasEnded() {
		return
	}
	if m.err != nil {
		c.Log.Debug("machines not terminated", "machines", m.names, "err", m.err)
		lt.autoscaler.TerminationEnded(m.names)
		return
	}
	lt.autoscaler.TerminationEnded(nil)
	for _, name := range m.names {
		delete(lt.provisioning, name)
		lt.terminated.Add(name, true)
		if machine := lt.machines[name]; machine != nil {
			lt.machineTerminated(machine)
		}
	}
	lt.sendTermination(lt.autoscaler.NextTermination())
}

// listMachines reads the cloud's list of machines.
func (lt *leaderTerm) listMachines() {
	ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
	defer cancel()
	hosts, err := lt.c.Cloud.List(ctx)
	lt.sendToOwner(machinesListedMsg{leaderTerm: lt, machines: hosts, err: err})
}

// machinesListedMsg has the cloud's list of machines.
type machinesListedMsg struct {
	leaderTerm *leaderTerm
	machines   []cloud.Machine
	err        error
}

func (m machinesListedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	lt.autoscaler.ListEnded(now)
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
			lt.scaleIn(m)
		}
		return
	}
	mt := lt.c.types.load()[listed.Type]
	awaited := lt.provisioning[listed.Name]
	if awaited == nil {
		awaited = autoscaler.ProvisioningFromList(listed, mt, now)
		lt.provisioning[listed.Name] = awaited
	}
	if lt.autoscaler.TerminateOverdue(awaited, listed, mt, now) {
		age := time.Duration(listed.AgeS * float64(time.Second))
		lt.c.Log.Info("machine never sent a heartbeat", "machine", listed.Name,
			"phase", listed.Phase, "age", age.Round(time.Second))
	}
}
