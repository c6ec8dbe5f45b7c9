package controller

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/fleet"
	"example.org/ivytrestle/internal/queue"
)

// autoscaler rents machines for what waits and gives back what is not needed. It
// is a part of the leadership and speaks to the cloud through goroutines that
// answer by messages.
type autoscaler struct {
	leaderTerm       *leaderTerm
	launchCount      int
	launchesInFlight int
	launchingCPUs    float64 // CPUs of rentals whose outcome is not known yet
	// pendingLaunches are the rentals that are not answered yet, by name.
	pendingLaunches      map[string]fleet.LaunchRequest
	unavailableUntil     map[fleet.Kind]time.Time
	terminations         []string
	terminationsInFlight bool
	nextList             time.Time
	listing              bool
	peak                 demandPeak
	surplus              float64
	// surplusSince is since when there has been room to spare.
	surplusSince time.Time
}

const (
	// minUptime is what the cloud charges at the least.
	minUptime           = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableTTL is how long a kind of machine that was refused is left alone.
	unavailableTTL = 15 * time.Second
)

func (as *autoscaler) init(lt *leaderTerm) {
	as.leaderTerm = lt
	as.unavailableUntil = map[fleet.Kind]time.Time{}
	as.pendingLaunches = map[string]fleet.LaunchRequest{}
}

func (as *autoscaler) tick(now time.Time) {
	as.terminateMachines()
	as.listMachines(now)
	as.scaleOut(now)
	as.moveCheckpointed(now)
}

// demand is the CPUs that the teams need now to be in time, each within its limit.
// What is within a team's guarantee should start at once and counts in full; beyond
// it, a job whose tasks can run one after the other counts for the part of its
// tasks that have to run at the same time.
func (as *autoscaler) demand() float64 {
	bootedAt := time.Now().Add(as.longestBoot())
	sum := 0.0
	for _, t := range as.leaderTerm.allTeams() {
		atOnce, inTime := t.UsedCPUs, t.UsedCPUs
		for _, j := range t.Items() {
			if j.finishing || j.failureRounds > 0 {
				continue
			}
			cpus := float64(j.flight.Untaken()) * j.spec.CPUs
			atOnce += cpus
			inTime += cpus / j.runsPerCPU(bootedAt)
		}
		guaranteed := min(atOnce, t.CPUs)
		sum += min(max(inTime, guaranteed), t.LimitCPUs)
	}
	return sum
}

// allTeams are the cell's own teams and those of guests: what was accepted is to run.
func (lt *leaderTerm) allTeams() []*queue.Team[*job] {
	if len(lt.loans.guestFairShareOrder) == 0 {
		return lt.fairShareOrder
	}
	return slices.Concat(lt.fairShareOrder, lt.loans.guestFairShareOrder)
}

// longestBoot is how long the slowest type of machine usually takes to boot.
func (as *autoscaler) longestBoot() time.Duration {
	boot := 0.0
	for _, mt := range as.leaderTerm.c.types.load() {
		boot = max(boot, mt.BootS)
	}
	return config.Duration(boot)
}

// scaleOut covers what is lacking.
func (as *autoscaler) scaleOut(now time.Time) {
	lt := as.leaderTerm
	used, total := 0.0, 0.0
	for _, m := range lt.machines {
		used += m.usedCPUs
		if !m.evacuating && !m.terminated {
			total += m.cpus
		}
	}
	booting := as.launchingCPUs
	for _, booted := range lt.provisioning {
		if !booted.terminating {
			booting += booted.cpus
		}
	}
	target := max(as.demand()*(1+lt.c.Policy.Headroom), lt.c.Policy.MinCPUs)
	as.surplus = total - as.peak.add(now, target, lt.c.Policy.DrainDelay)
	as.drain(now)
	if lt.unfenced > 0 {
		return
	}
	offers := as.offers(now)
	as.launch(target-total-booting, offers)
	as.scaleOutConstrained(offers, now)
}

// launch rents what is lacking of some offers.
func (as *autoscaler) launch(missingCPUs float64, offers []fleet.Offer) {
	if missingCPUs <= 0 || as.launchesInFlight >= maxLaunchesInFlight {
		return
	}
	for _, request := range fleet.Plan(missingCPUs, offers, cloud.MaxLaunch, maxLaunchesInFlight-as.launchesInFlight) {
		as.launchCount++
		as.launchesInFlight++
		as.launchingCPUs += float64(request.Count) * request.CPUs
		launch := cloud.LaunchRequest{Name: as.leaderTerm.launchName(as.launchCount), Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
		as.pendingLaunches[launch.Name] = request
		go as.leaderTerm.sendLaunch(launch, request.Offer)
	}
}

// demandPeak is the highest demand of the last while. Jobs come in bursts that fill
// the fleet for less time than a machine takes to boot, so machines are kept
// for the last burst's like.
type demandPeak struct {
	times []time.Time
	cpus  []float64
}

// add records the present demand and returns the highest since hold ago.
func (p *demandPeak) add(now time.Time, cpus float64, window time.Duration) float64 {
	// Only falling values are kept: a lower one before a higher one can never
	// be the highest again.
	for len(p.cpus) > 0 && p.cpus[len(p.cpus)-1] <= cpus {
		p.times, p.cpus = p.times[:len(p.times)-1], p.cpus[:len(p.cpus)-1]
	}
	p.times, p.cpus = append(p.times, now), append(p.cpus, cpus)
	for now.Sub(p.times[0]) > window {
		p.times, p.cpus = p.times[1:], p.cpus[1:]
	}
	return p.cpus[0]
}

// minSurplusTime is how long there must have been room to spare before a machine
// is drained.
const minSurplusTime = 6 * time.Second

// drain empties the machines that are worth least while there is room to spare,
// and takes them back into use when there is not.
func (as *autoscaler) drain(now time.Time) {
	spare := as.surplus
	var draining, inUse []*machine
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated:
		case m.draining:
			draining = append(draining, m)
			spare -= m.cpus
		case m.isSchedulable(now) && now.Sub(m.addedAt) > minUptime:
			inUse = append(inUse, m)
		}
	}
	mostExpensiveFirst := func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.usedCPUs, b.usedCPUs), cmp.Compare(a.name, b.name))
	}
	slices.SortFunc(draining, mostExpensiveFirst)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].draining = false
		spare += draining[i].cpus
	}
	if spare <= 0 {
		as.surplusSince = now
		return
	}
	slices.SortFunc(inUse, mostExpensiveFirst)
	if now.Sub(as.surplusSince) < minSurplusTime || len(inUse) == 0 || spare < inUse[0].cpus {
		return
	}
	for _, m := range inUse {
		if spare < m.cpus {
			return
		}
		spare -= m.cpus
		m.draining = true
		as.leaderTerm.c.Log.Debug("machine drained", "machine", m.name, "tasks", len(m.attempts), "spare", spare)
	}
}

// minRunBeforeMove keeps tasks that have just begun, and those that will soon end,
// where they are.
const (
	minRunBeforeMove    = 30 * time.Second
	minRemainingForMove = 20 * time.Second
	moveMargin          = 5 * time.Second
	// moveCapacityFactor is how many times what a machine holds must be free
	// elsewhere, so that what is moved need not wait there.
	moveCapacityFactor = 3
)

// moveCheckpointed stops the tasks on draining machines that can go on elsewhere from
// where they were.
func (as *autoscaler) moveCheckpointed(now time.Time) {
	freeCPUs := 0.0
	for _, m := range as.leaderTerm.machines {
		if m.isSchedulable(now) {
			freeCPUs += m.freeCPUs()
		}
	}
	for _, m := range as.leaderTerm.machines {
		if !m.draining || freeCPUs < moveCapacityFactor*m.usedCPUs {
			continue
		}
		for _, a := range m.attempts {
			if a.exited || a.job == nil || a.stop != nil || a.job.ended || a.job.spec.CheckpointS == 0 || a.phase != api.TaskRunning {
				continue
			}
			spec := &a.job.spec
			ran := now.Sub(a.runningAt)
			remaining := spec.Estimate() - ran
			objective := a.job.latestStart.Add(spec.Estimate())
			if ran > minRunBeforeMove && remaining > minRemainingForMove+spec.Save() &&
				(a.job.infeasible || now.Add(remaining*5/4+spec.Save()+3*as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()+moveMargin).Before(objective)) {
				freeCPUs -= spec.CPUs
				as.leaderTerm.stop(a, 2*spec.Save()+time.Second, now)
			}
		}
	}
}

// offers are the kinds of machine that were not refused lately.
func (as *autoscaler) offers(now time.Time) []fleet.Offer {
	var offers []fleet.Offer
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, zone := range mt.Zones {
			for _, spot := range []bool{true, false} {
				offer := fleet.Offer{Type: mt.Name, Zone: zone, Spot: spot, CPUs: mt.CPUs, Price: mt.Price,
					Boot: time.Duration(mt.BootS * float64(time.Second))}
				if spot {
					if !as.leaderTerm.c.Policy.UseSpot || mt.SpotPrice <= 0 {
						continue
					}
					offer.Price = mt.SpotPrice
				}
				if mt.CPUs > 0 && now.After(as.unavailableUntil[offer.Kind()]) {
					offers = append(offers, offer)
				}
			}
		}
	}
	return offers
}

// sendLaunch sends a rental until its outcome is known. The name makes repeats safe.
func (lt *leaderTerm) sendLaunch(req cloud.LaunchRequest, o fleet.Offer) {
	backoff := time.Second
	for range 6 {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		hosts, err := lt.c.Cloud.Launch(ctx, req)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(launchedMsg{lt, req, o, hosts})
			return
		}
		lt.c.Log.Debug("rental", "name", req.Name, "err", err)
		sleep(lt.ctx, backoff)
		backoff = min(2*backoff, 8*time.Second)
	}
	// If it was carried out after all, the list or a report shows it.
	lt.sendToOwner(launchedMsg{leaderTerm: lt, request: req, offer: o})
}

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
		c.Log.Info("machines rented", "type", m.request.Type, "zone", m.request.Zone, "spot", m.request.Spot,
			"asked", m.request.Count, "got", len(m.machines))
	}
	for _, name := range m.machines {
		if lt.machines[name] == nil && !lt.terminated.Contains(name) {
			lt.provisioning[name] = &provisioning{typ: m.request.Type, zone: m.request.Zone, spot: m.request.Spot, since: now, boot: m.offer.Boot, cpus: m.offer.CPUs}
		}
	}
	if c.holdsLease() {
		lt.autoscaler.scaleOut(now) // what is still lacking is asked for at once
	}
}

// idleMachines picks the machines to give back: empty for long enough, the dearest
// first, as far as what remains covers the demand.
func (as *autoscaler) idleMachines(now time.Time) []*machine {
	var idle []*machine
	for _, m := range as.leaderTerm.machines {
		if m.evacuating || m.terminated || !m.fenced || m.cpus == 0 || len(m.attempts) > 0 ||
			(!m.draining && now.Sub(m.idleSince) < as.leaderTerm.c.Policy.IdleReturn) || now.Sub(m.addedAt) < minUptime {
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, m := range idle {
		if as.surplus < m.cpus {
			break
		}
		as.surplus -= m.cpus
		n++
	}
	return idle[:n]
}

// lowestCPUPrice is the lowest price of a CPU.
func (as *autoscaler) lowestCPUPrice() float64 {
	lowest := math.Inf(1)
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, price := range []float64{mt.Price, mt.SpotPrice} {
			if price > 0 && mt.CPUs > 0 {
				lowest = min(lowest, price/mt.CPUs)
			}
		}
	}
	return lowest
}

func (as *autoscaler) cpuPrice(m *machine) float64 {
	mt, ok := as.leaderTerm.c.types.load()[m.typ]
	if !ok || mt.CPUs == 0 {
		return 0
	}
	if m.spot {
		return mt.SpotPrice / mt.CPUs
	}
	return mt.Price / mt.CPUs
}

// scaleIn returns a machine to the cloud.
func (as *autoscaler) scaleIn(m *machine) {
	m.terminating = true
	as.terminations = append(as.terminations, m.name)
	as.terminateMachines()
}

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
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		defer cancel()
		err := lt.c.Cloud.Terminate(ctx, names)
		lt.sendToOwner(terminatedMsg{lt, names, err})
	}()
}

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
		c.Log.Debug("machines not returned", "machines", m.names, "err", m.err)
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

// listMachines reads the cloud's list from time to time: for machines that nobody
// expected, that never came up, or that have stopped.
func (as *autoscaler) listMachines(now time.Time) {
	if as.listing || now.Before(as.nextList) {
		return
	}
	as.listing = true
	lt := as.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		defer cancel()
		hosts, err := lt.c.Cloud.List(ctx)
		lt.sendToOwner(machinesListedMsg{lt, hosts, err})
	}()
}

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

// applyListedMachine processes one machine of the cloud's list, which lags.
func (lt *leaderTerm) applyListedMachine(listed *cloud.Machine, now time.Time) {
	if lt.terminated.Contains(listed.Name) {
		return
	}
	if m := lt.machines[listed.Name]; m != nil {
		if listed.Phase == cloud.PhaseFailed && !m.terminating && now.Sub(m.lastSeen) > 2*lt.c.Settings.Site.Workers.HeartbeatInterval() {
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
		awaited = &provisioning{typ: listed.Type, zone: listed.Zone, spot: listed.Spot, since: now.Add(-age), boot: boot, cpus: mt.CPUs}
		lt.provisioning[listed.Name] = awaited
	}
	if awaited.terminating {
		return
	}
	// A machine that is up reports within seconds; one that boots may take
	// several times as long as usual.
	if listed.Phase == cloud.PhaseFailed || (now.Sub(awaited.since) > 4*boot+lt.c.Settings.Site.Workers.Lease()) {
		lt.c.Log.Info("machine never reported", "machine", listed.Name, "phase", listed.Phase, "age", age.Round(time.Second))
		awaited.terminating = true
		lt.autoscaler.terminations = append(lt.autoscaler.terminations, listed.Name)
	}
}
