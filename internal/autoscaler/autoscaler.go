package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/queue"
)

// Autoscaler decides which machines to launch, to drain and to terminate. Its state is that of one
// term of a leader, which carries out what it decides.
type Autoscaler struct {
	policy  *policy.Policy
	workers config.Workers
	// term is in the names of launch requests, under which they are repeatable.
	term uint64
	// launchCount numbers the launch requests of the term.
	launchCount int
	// pendingLaunches are the launch requests that are not answered yet, by name;
	// launchingCPUs are their CPUs.
	pendingLaunches map[string]plannedLaunch
	launchingCPUs   float64
	// unavailableUntil is until when a kind of machine is not requested, because the cloud had
	// too few.
	unavailableUntil map[CapacityPool]time.Time
	// pendingTerminations are the machines whose termination is yet to be requested.
	pendingTerminations []string
	terminationInFlight bool
	nextListAt          time.Time
	listInFlight        bool
	peak                demandPeak
	// surplusCPUs are the CPUs of the fleet beyond the demand peak.
	surplusCPUs float64
	// surplusSince is since when there has been a surplus beyond the draining machines.
	surplusSince time.Time
}

// View is what the autoscaler reads of the leader's state. Of it, only Machine.Draining is changed.
type View struct {
	Now      time.Time
	Machines map[string]*cluster.Machine
	// Provisioning are the machines that were launched or listed but have sent no heartbeat.
	Provisioning map[string]*ProvisioningMachine
	// Teams are the cell's own teams in the order of fair share, then those of guests: both
	// have accepted jobs.
	Teams []*queue.Team[*cluster.Job]
	// Jobs are the active jobs, also those that are in no queue.
	Jobs map[string]*cluster.Job
	// Types are the machine types by name, nil while they are not known.
	Types map[string]api.MachineType
	// Unfenced is the number of machines that may still apply commands of earlier terms.
	Unfenced int
}

// Commands are what is to be carried out, in the order of the fields.
type Commands struct {
	// Terminate are the machines of a request to terminate, none without one. Its outcome goes
	// to TerminationEnded.
	Terminate []string
	// List is set if the cloud's list of machines is to be read. The outcome goes to ListEnded.
	List bool
	// Drains are the machines that are draining from now on.
	Drains []Drain
	// Launches are requests to launch machines. The outcome of each goes to LaunchEnded.
	Launches []Launch
	// Stops are the attempts that are to continue on other machines.
	Stops []Stop
}

// Launch is a request to launch machines of an offer.
type Launch struct {
	Request cloud.LaunchRequest
	Offer   Offer
}

// Drain is a machine that is draining from now on, and the surplus that is left without it.
type Drain struct {
	Machine   *cluster.Machine
	SpareCPUs float64
}

// Stop is an attempt to stop, and how long its task may take to save its state.
type Stop struct {
	Attempt *cluster.Attempt
	Grace   time.Duration
}

const (
	// minBilledTime is the shortest time that the cloud charges for.
	minBilledTime       = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableTTL is how long a kind of machine of which the cloud had too few is not
	// requested.
	unavailableTTL = 15 * time.Second
)

// New returns the autoscaler of a term. The policy is read at each decision.
func New(term uint64, p *policy.Policy, workers config.Workers) *Autoscaler {
	return &Autoscaler{
		policy:           p,
		workers:          workers,
		term:             term,
		pendingLaunches:  map[string]plannedLaunch{},
		unavailableUntil: map[CapacityPool]time.Time{},
	}
}

// Tick decides what is due, once each scan of the leader.
func (as *Autoscaler) Tick(v *View) Commands {
	terminate := as.NextTermination()
	list := as.startList(v.Now)
	commands := as.ScaleOut(v)
	commands.Terminate, commands.List = terminate, list
	commands.Stops = as.MoveCheckpointed(v)
	return commands
}

// ScaleOut launches what the demand lacks, after it has updated the surplus and what is drained.
// Nothing is launched while machines are unfenced.
func (as *Autoscaler) ScaleOut(v *View) Commands {
	total := 0.0
	for _, m := range v.Machines {
		if m.Phase() == cluster.Active {
			total += m.CPUs
		}
	}
	booting := as.launchingCPUs
	for _, p := range v.Provisioning {
		if !p.Terminating {
			booting += p.CPUs
		}
	}
	target := max(as.Demand(v)*(1+as.policy.Headroom), as.policy.MinCPUs)
	as.surplusCPUs = total - as.peak.add(v.Now, target, as.policy.DemandWindow)
	commands := Commands{Drains: as.Drain(v)}
	if v.Unfenced > 0 {
		return commands
	}
	offers := as.offers(v.Types, v.Now)
	commands.Launches = as.launch(target-total-booting, offers)
	commands.Launches = append(commands.Launches, as.scaleOutConstrained(v, offers)...)
	return commands
}

// launch requests missing CPUs from some offers.
func (as *Autoscaler) launch(missingCPUs float64, offers []Offer) []Launch {
	maxRequests := maxLaunchesInFlight - len(as.pendingLaunches)
	if missingCPUs <= 0 || maxRequests <= 0 {
		return nil
	}
	requests := planLaunches(missingCPUs, offers, cloud.MaxLaunch, maxRequests)
	launches := make([]Launch, 0, len(requests))
	for _, request := range requests {
		as.launchCount++
		as.launchingCPUs += float64(request.Count) * request.CPUs
		launch := Launch{
			Request: cloud.LaunchRequest{
				Name:  fmt.Sprintf("r-%d-%d", as.term, as.launchCount),
				Type:  request.Type,
				Zone:  request.Zone,
				Spot:  request.Spot,
				Count: request.Count,
			},
			Offer: request.Offer,
		}
		as.pendingLaunches[launch.Request.Name] = request
		launches = append(launches, launch)
	}
	return launches
}

// LaunchEnded applies the outcome of a launch request: how many machines the cloud launched, 0 if
// that is not known. A kind of which it had too few is not requested for a while.
func (as *Autoscaler) LaunchEnded(l Launch, launched int, now time.Time) {
	delete(as.pendingLaunches, l.Request.Name)
	as.launchingCPUs -= float64(l.Request.Count) * l.Offer.CPUs
	if launched < l.Request.Count {
		as.unavailableUntil[l.Offer.Pool()] = now.Add(unavailableTTL)
	}
}

// ScaleIn has the cloud terminate a machine. It returns the machines of the request to send now,
// none while another is in flight.
func (as *Autoscaler) ScaleIn(m *cluster.Machine) []string {
	m.Advance(cluster.Terminating)
	as.pendingTerminations = append(as.pendingTerminations, m.Name)
	return as.NextTermination()
}

// NextTermination returns the machines of the next request to terminate, none while one is in
// flight or if there is nothing to terminate. Its outcome goes to TerminationEnded.
func (as *Autoscaler) NextTermination() []string {
	if as.terminationInFlight || len(as.pendingTerminations) == 0 {
		return nil
	}
	n := min(len(as.pendingTerminations), cloud.MaxTerminate)
	names := slices.Clone(as.pendingTerminations[:n])
	as.pendingTerminations = as.pendingTerminations[n:]
	as.terminationInFlight = true
	return names
}

// TerminationEnded applies the outcome of a request to terminate machines: those that failed are
// requested again, with the next tick or machine to scale in.
func (as *Autoscaler) TerminationEnded(failed []string) {
	as.terminationInFlight = false
	as.pendingTerminations = append(as.pendingTerminations, failed...)
}

// startList tells whether to read the cloud's list of machines, every listInterval: for machines
// that are not known, that never sent a heartbeat, or that have stopped.
func (as *Autoscaler) startList(now time.Time) bool {
	if as.listInFlight || now.Before(as.nextListAt) {
		return false
	}
	as.listInFlight = true
	return true
}

// ListEnded notes that the cloud's list of machines was read, or could not be.
func (as *Autoscaler) ListEnded(now time.Time) {
	as.listInFlight, as.nextListAt = false, now.Add(listInterval)
}
