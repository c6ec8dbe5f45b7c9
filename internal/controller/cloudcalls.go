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

// Requests to the cloud run in goroutines, which send the outcomes as messages to the owner goroutine.

const (
	// cloudTimeout is the time limit of each request to the cloud.
	cloudTimeout = 5 * time.Second
	// maxLaunchAttempts is how often a launch request is sent while its outcome is unknown.
	maxLaunchAttempts = 6
	// maxLaunchBackoff is the longest pause between two of these attempts.
	maxLaunchBackoff = 8 * time.Second
)

// fleetView returns the part of the term's state that the autoscaler reads.
func (lt *leaderTerm) fleetView(now time.Time) autoscaler.View {
	return autoscaler.View{
		Now:          now,
		Machines:     lt.machines,
		Provisioning: lt.provisioning,
		Teams:        lt.allTeams(),
		Jobs:         lt.jobs,
		Types:        lt.c.machineTypes.load(),
		Unfenced:     lt.unfenced,
	}
}

// allTeams returns the cell's own teams and those of guest jobs, since both have accepted jobs.
func (lt *leaderTerm) allTeams() []*queue.Team[*cluster.Job] {
	if len(lt.loans.guestFairShareOrder) == 0 {
		return lt.fairShareOrder
	}
	return slices.Concat(lt.fairShareOrder, lt.loans.guestFairShareOrder)
}

// scaleFleet runs the autoscaler and executes its commands.
func (lt *leaderTerm) scaleFleet(now time.Time) {
	view := lt.fleetView(now)
	lt.applyScaling(lt.autoscaler.Tick(&view), now)
}

// applyScaling executes the commands of the autoscaler.
func (lt *leaderTerm) applyScaling(commands autoscaler.Commands, now time.Time) {
	lt.sendTermination(commands.Terminate)
	if commands.List {
		go lt.listMachines()
	}
	for _, drained := range commands.Drains {
		lt.c.Log.Debug("machine draining", "machine", drained.Machine.Name,
			"count", len(drained.Machine.Attempts), "spare", drained.SpareCPUs)
	}
	for _, launch := range commands.Launches {
		go lt.sendLaunch(launch)
	}
	for _, stop := range commands.Stops {
		lt.requestStop(stop.Attempt, stop.Grace, now)
	}
}

// scaleIn requests the termination of a machine, or queues it while another such request is in flight.
func (lt *leaderTerm) scaleIn(m *cluster.Machine) { lt.sendTermination(lt.autoscaler.ScaleIn(m)) }

// sendLaunch sends a launch request until its outcome is known, at most maxLaunchAttempts times. The
// request's name makes it idempotent, so that it can be repeated.
func (lt *leaderTerm) sendLaunch(launch autoscaler.Launch) {
	backoff := time.Second
	for range maxLaunchAttempts {
		ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
		machines, err := lt.c.Cloud.Launch(ctx, launch.Request)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(launchedMsg{leaderTerm: lt, launch: launch, machines: machines})
			return
		}
		lt.c.Log.Debug("launch request failed", "name", launch.Request.Name, "err", err)
		sleep(lt.ctx, backoff)
		backoff = min(2*backoff, maxLaunchBackoff)
	}
	// If the request was applied after all, the cloud's list or a heartbeat shows the machines.
	lt.sendToOwner(launchedMsg{leaderTerm: lt, launch: launch})
}

// launchedMsg carries the outcome of a launch request to the owner goroutine.
type launchedMsg struct {
	leaderTerm *leaderTerm
	launch     autoscaler.Launch
	// machines are the names of the launched machines, none if the cloud has no capacity or the
	// outcome is unknown.
	machines []string
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
		if lt.machines[name] == nil && lt.provisioning[name] == nil && !lt.terminated.Contains(name) {
			lt.provisioning[name] = m.launch.ProvisioningMachine(now)
		}
	}
	if c.holdsLease() {
		// Capacity that is still missing is requested immediately.
		view := lt.fleetView(now)
		lt.applyScaling(lt.autoscaler.ScaleOut(&view), now)
	}
}

// sendTermination requests the termination of machines. Without names it does nothing.
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

// terminatedMsg carries the outcome of a request to terminate machines to the owner goroutine.
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
		c.Log.Debug("machine termination request failed", "machines", m.names, "err", m.err)
		lt.autoscaler.TerminationEnded(m.names)
		return
	}
	lt.autoscaler.TerminationEnded(nil)
	for _, name := range m.names {
		delete(lt.provisioning, name)
		lt.terminated.Add(name, true)
		if machine := lt.machines[name]; machine != nil {
			lt.removeTerminated(machine)
		}
	}
	lt.sendTermination(lt.autoscaler.NextTermination())
}
