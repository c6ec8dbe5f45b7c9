package autoscaler

import (
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/queue"
)

// Autoscaler decides which machines to launch, drain and terminate. Its state belongs to one term of a
// leader, which carries out the decisions.
type Autoscaler struct {
	policy      *policy.Policy
	workers     config.Workers
	cloudLimits config.CloudLimits
	// term is part of the names of launch requests, which makes them unique across terms.
	term uint64
	// launchCount numbers the launch requests of the term.
	launchCount int
	// pendingLaunches are the launch requests in flight, by name; launchingCPUs is the sum of
	// their CPUs.
	pendingLaunches map[string]plannedLaunch
	launchingCPUs   float64
	// unavailableUntil is the time until which nothing is requested from a capacity pool, because
	// the cloud launched fewer machines of it than requested.
	unavailableUntil map[CapacityPool]time.Time
	terminations     terminations
	nextListAt       time.Time
	listInFlight     bool
	// listRead is set once a read of the list has ended. Before, the machines that an earlier leader
	// launched are not known.
	listRead bool
	// vanished holds the machines that were terminated before their first heartbeat, with the time at
	// which this became known, while the list may still contain them.
	vanished map[string]time.Time
	peak     demandPeak
	// surplusCPUs are the fleet's CPUs in excess of the demand peak; negative if it has fewer.
	surplusCPUs float64
	// surplusSince is the time since which the surplus has exceeded the draining machines.
	surplusSince time.Time
}

// View is the part of the leader's state that the autoscaler reads. The methods that take a View change
// nothing in it but the Draining field of machines.
type View struct {
	Now      time.Time
	Machines map[string]*cluster.Machine
	// Provisioning are the machines that were launched or listed but have sent no heartbeat, by
	// name.
	Provisioning map[string]*ProvisioningMachine
	// Teams are the cell's own teams in fair-share order, followed by those of guests, whose jobs
	// have been accepted too.
	Teams []*queue.Team[*cluster.Job]
	// Jobs are all active jobs by ID, including those that are in no queue.
	Jobs map[string]*cluster.Job
	// Types are the machine types by name; nil until they have been read.
	Types map[string]api.MachineType
	// Unfenced is the number of machines that may still apply commands of earlier terms.
	Unfenced int
}

// Commands are the autoscaler's decisions. The leader carries them out in the order of the fields.
type Commands struct {
	// Terminate are the machines of a termination request, whose outcome is passed to
	// TerminationEnded. No request is sent if it is empty.
	Terminate []string
	// List is set if the cloud's list of machines is to be read. The outcome is passed to ListEnded.
	List bool
	// Drains are the machines that have started draining.
	Drains []Drain
	// Launches are launch requests. The outcome of each is passed to LaunchEnded.
	Launches []Launch
	// Stops are the attempts to stop, so that their tasks continue on other machines.
	Stops []Stop
}

// Launch is a request to launch machines of an offer.
type Launch struct {
	Request cloud.LaunchRequest
	Offer   Offer
}

// Drain is a machine that has started draining, and the surplus that remains without it.
type Drain struct {
	Machine   *cluster.Machine
	SpareCPUs float64
}

// Stop is an attempt to stop. Grace is the time in which its task may save its state.
type Stop struct {
	Attempt *cluster.Attempt
	Grace   time.Duration
}

const (
	// minBilledTime is the uptime that the cloud charges for even if a machine is terminated earlier.
	minBilledTime       = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableTTL is how long nothing is requested from a capacity pool after the cloud launched
	// fewer machines of it than requested.
	unavailableTTL = 15 * time.Second
)

// New returns the autoscaler for one term of a leader. It reads the policy at each decision.
func New(term uint64, p *policy.Policy, workers config.Workers, limits config.CloudLimits) *Autoscaler {
	return &Autoscaler{
		policy:           p,
		workers:          workers,
		cloudLimits:      limits,
		term:             term,
		pendingLaunches:  map[string]plannedLaunch{},
		unavailableUntil: map[CapacityPool]time.Time{},
		vanished:         map[string]time.Time{},
		terminations:     terminations{mayBeApplied: map[string]bool{}},
	}
}

// Tick makes the periodic scaling decisions. The leader calls it on each of its scans.
func (a *Autoscaler) Tick(view *View) Commands {
	terminate := a.NextTermination()
	list := a.startList(view.Now)
	commands := a.ScaleOut(view)
	commands.Terminate, commands.List = terminate, list
	commands.Stops = a.MoveCheckpointed(view)
	return commands
}

// ScaleOut updates the surplus, starts or reverts drains, and launches the machines that the demand
// lacks. Nothing is launched while machines are unfenced, or before the first read of the list has ended.
func (a *Autoscaler) ScaleOut(view *View) Commands {
	total := 0.0
	for _, m := range view.Machines {
		if m.Phase() == cluster.Active {
			total += m.CPUs
		}
	}
	booting := a.launchingCPUs
	for _, p := range view.Provisioning {
		if !p.Terminating {
			booting += p.CPUs
		}
	}
	target := max(a.Demand(view)*(1+a.policy.Headroom), a.policy.MinCPUs)
	a.surplusCPUs = total - a.peak.add(view.Now, target, a.policy.DemandWindow)
	commands := Commands{Drains: a.Drain(view)}
	if view.Unfenced > 0 || !a.listRead {
		return commands
	}
	offers := a.offers(view.Types, view.Now)
	commands.Launches = a.launch(target-total+a.strandedCPUs(view)-booting, offers, offerCPUs)
	commands.Launches = append(commands.Launches, a.scaleOutConstrained(view, offers)...)
	return commands
}

// launch returns the requests to launch the missing capacity from the offers, and counts them as in flight.
// capacity returns the capacity of a machine of an offer, in the same unit.
func (a *Autoscaler) launch(missing float64, offers []Offer, capacity func(Offer) float64) []Launch {
	maxRequests := maxLaunchesInFlight - len(a.pendingLaunches)
	if missing <= 0 || maxRequests <= 0 {
		return nil
	}
	requests := planLaunches(missing, offers, capacity, cloud.MaxLaunch, maxRequests)
	launches := make([]Launch, 0, len(requests))
	for _, request := range requests {
		a.launchCount++
		a.launchingCPUs += float64(request.Count) * request.CPUs
		launch := Launch{
			Request: cloud.LaunchRequest{
				Name:  fmt.Sprintf("r-%d-%d", a.term, a.launchCount),
				Type:  request.Type,
				Zone:  request.Zone,
				Spot:  request.Spot,
				Count: request.Count,
			},
			Offer: request.Offer,
		}
		a.pendingLaunches[launch.Request.Name] = request
		launches = append(launches, launch)
	}
	return launches
}

// LaunchEnded applies the outcome of a launch request. launched is the number of machines that the
// cloud launched, 0 if it is unknown. If it is less than requested, the capacity pool counts as
// unavailable for unavailableTTL.
func (a *Autoscaler) LaunchEnded(launch Launch, launched int, now time.Time) {
	delete(a.pendingLaunches, launch.Request.Name)
	a.launchingCPUs -= float64(launch.Request.Count) * launch.Offer.CPUs
	if launched < launch.Request.Count {
		a.unavailableUntil[launch.Offer.Pool()] = now.Add(unavailableTTL)
	}
}

// startList reports whether to read the cloud's list of machines now, and if so, marks the read as in
// flight. The list is read at listInterval, to find machines that are unknown, that never sent a
// heartbeat, or that have stopped.
func (a *Autoscaler) startList(now time.Time) bool {
	if a.listInFlight || now.Before(a.nextListAt) {
		return false
	}
	a.listInFlight = true
	return true
}

// ListEnded ends a read of the cloud's list of machines, whether it succeeded or failed.
func (a *Autoscaler) ListEnded(now time.Time) {
	a.listInFlight, a.listRead, a.nextListAt = false, true, now.Add(listInterval)
}
