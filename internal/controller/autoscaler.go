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
	// ampleSince is since when there has been room to spare.
	ampleSince time.Time
}

const (
	// minUptime is what the cloud charges at the least.
	minUptime           = 30 * time.Second
	maxLaunchesInFlight = 3
	listInterval        = 5 * time.Second
	// unavailableFor is how long a kind of machine that was refused is left alone.
	unavailableFor = 15 * time.Second
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
	for _, e := range lt.provisioning {
		if !e.terminating {
			booting += e.cpus
		}
	}
	want := max(as.demand()*(1+lt.c.Policy.Headroom), lt.c.Policy.MinCPUs)
	as.surplus = total - as.peak.add(now, want, lt.c.Policy.DrainDelay)
	as.drain(now)
	if lt.unfenced > 0 {
		return
	}
	offers := as.offers(now)
	as.launch(want-total-booting, offers)
	as.scaleOutConstrained(offers, now)
}

// launch rents what is lacking of some offers.
func (as *autoscaler) launch(lack float64, offers []fleet.Offer) {
	if lack <= 0 || as.launchesInFlight >= maxLaunchesInFlight {
		return
	}
	for _, p := range fleet.Plan(lack, offers, cloud.MaxLaunch, maxLaunchesInFlight-as.launchesInFlight) {
		as.launchCount++
		as.launchesInFlight++
		as.launchingCPUs += float64(p.Count) * p.CPUs
		req := cloud.LaunchRequest{Name: as.leaderTerm.launchName(as.launchCount), Type: p.Type, Zone: p.Zone, Spot: p.Spot, Count: p.Count}
		as.pendingLaunches[req.Name] = p
		go as.leaderTerm.sendLaunch(req, p.Offer)
	}
}

// demandPeak is the highest demand of the last while. Jobs come in bursts that fill
// the fleet for less time than a machine takes to boot, so machines are kept
// for the last burst's like.
type demandPeak struct {
	at   []time.Time
	want []float64
}

// add records the present demand and returns the highest since hold ago.
func (p *demandPeak) add(now time.Time, want float64, hold time.Duration) float64 {
	// Only falling values are kept: a lower one before a higher one can never
	// be the highest again.
	for len(p.want) > 0 && p.want[len(p.want)-1] <= want {
		p.at, p.want = p.at[:len(p.at)-1], p.want[:len(p.want)-1]
	}
	p.at, p.want = append(p.at, now), append(p.want, want)
	for now.Sub(p.at[0]) > hold {
		p.at, p.want = p.at[1:], p.want[1:]
	}
	return p.want[0]
}

// drainAfter is how long there must have been room to spare before a machine
// is drained.
const drainAfter = 6 * time.Second

// drain empties the machines that are worth least while there is room to spare,
// and takes them back into use when there is not.
func (as *autoscaler) drain(now time.Time) {
	spare := as.surplus
	var draining, rest []*machine
	for _, m := range as.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated:
		case m.draining:
			draining = append(draining, m)
			spare -= m.cpus
		case m.isSchedulable(now) && now.Sub(m.addedAt) > minUptime:
			rest = append(rest, m)
		}
	}
	byWorth := func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.usedCPUs, b.usedCPUs), cmp.Compare(a.name, b.name))
	}
	slices.SortFunc(draining, byWorth)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].draining = false
		spare += draining[i].cpus
	}
	if spare <= 0 {
		as.ampleSince = now
		return
	}
	slices.SortFunc(rest, byWorth)
	if now.Sub(as.ampleSince) < drainAfter || len(rest) == 0 || spare < rest[0].cpus {
		return
	}
	for _, m := range rest {
		if spare < m.cpus {
			return
		}
		spare -= m.cpus
		m.draining = true
		as.leaderTerm.c.Log.Debug("machine drained", "machine", m.name, "tasks", len(m.attempts), "spare", spare)
	}
}

// moveInterval keeps tasks that have just begun, and those that will soon end,
// where they are.
const (
	moveInterval = 30 * time.Second
	moveMaxQueue = 20 * time.Second
	moveMargin   = 5 * time.Second
	// ampleRoom is how many times what a machine holds must be free
	// elsewhere, so that what is moved need not wait there.
	ampleRoom = 3
)

// moveCheckpointed stops the tasks on draining machines that can go on elsewhere from
// where they were.
func (as *autoscaler) moveCheckpointed(now time.Time) {
	room := 0.0
	for _, m := range as.leaderTerm.machines {
		if m.isSchedulable(now) {
			room += m.freeCPUs()
		}
	}
	for _, m := range as.leaderTerm.machines {
		if !m.draining || room < ampleRoom*m.usedCPUs {
			continue
		}
		for _, a := range m.attempts {
			if a.exited || a.job == nil || a.stop != nil || a.job.ended || a.job.spec.CheckpointS == 0 || a.phase != api.TaskRunning {
				continue
			}
			s := &a.job.spec
			ran := now.Sub(a.runningAt)
			left := s.Estimate() - ran
			aim := a.job.latestStart.Add(s.Estimate())
			if ran > moveInterval && left > moveMaxQueue+s.Save() &&
				(a.job.infeasible || now.Add(left*5/4+s.Save()+3*as.leaderTerm.c.Settings.Site.Workers.HeartbeatInterval()+moveMargin).Before(aim)) {
				room -= s.CPUs
				as.leaderTerm.stop(a, 2*s.Save()+time.Second, now)
			}
		}
	}
}

// offers are the kinds of machine that were not refused lately.
func (as *autoscaler) offers(now time.Time) []fleet.Offer {
	var all []fleet.Offer
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, z := range mt.Zones {
			for _, spot := range []bool{true, false} {
				o := fleet.Offer{Type: mt.Name, Zone: z, Spot: spot, CPUs: mt.CPUs, Price: mt.Price,
					Boot: time.Duration(mt.BootS * float64(time.Second))}
				if spot {
					if !as.leaderTerm.c.Policy.UseSpot || mt.SpotPrice <= 0 {
						continue
					}
					o.Price = mt.SpotPrice
				}
				if mt.CPUs > 0 && now.After(as.unavailableUntil[o.Kind()]) {
					all = append(all, o)
				}
			}
		}
	}
	return all
}

// sendLaunch sends a rental until its outcome is known. The name makes repeats safe.
func (lt *leaderTerm) sendLaunch(req cloud.LaunchRequest, o fleet.Offer) {
	wait := time.Second
	for range 6 {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		hosts, err := lt.c.Cloud.Launch(ctx, req)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(launchedMsg{lt, req, o, hosts})
			return
		}
		lt.c.Log.Debug("rental", "name", req.Name, "err", err)
		sleep(lt.ctx, wait)
		wait = min(2*wait, 8*time.Second)
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
		lt.autoscaler.unavailableUntil[m.offer.Kind()] = now.Add(unavailableFor)
	}
	if len(m.machines) > 0 {
		c.Log.Info("machines rented", "type", m.request.Type, "zone", m.request.Zone, "spot", m.request.Spot,
			"asked", m.request.Count, "got", len(m.machines))
	}
	for _, h := range m.machines {
		if lt.machines[h] == nil && !lt.terminated.Contains(h) {
			lt.provisioning[h] = &provisioning{typ: m.request.Type, zone: m.request.Zone, spot: m.request.Spot, since: now, boot: m.offer.Boot, cpus: m.offer.CPUs}
		}
	}
	if c.holdsLease() {
		lt.autoscaler.scaleOut(now) // what is still lacking is asked for at once
	}
}

// idleMachines picks the machines to give back: empty for long enough, the dearest
// first, as far as what remains covers the demand.
func (as *autoscaler) idleMachines(now time.Time) []*machine {
	var out []*machine
	for _, m := range as.leaderTerm.machines {
		if m.evacuating || m.terminated || !m.fenced || m.cpus == 0 || len(m.attempts) > 0 ||
			(!m.draining && now.Sub(m.idleSince) < as.leaderTerm.c.Policy.IdleReturn) || now.Sub(m.addedAt) < minUptime {
			continue
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(as.cpuPrice(a), as.cpuPrice(b)), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, m := range out {
		if as.surplus < m.cpus {
			break
		}
		as.surplus -= m.cpus
		n++
	}
	return out[:n]
}

// cheapest is the lowest price of a CPU.
func (as *autoscaler) cheapest() float64 {
	best := math.Inf(1)
	for _, mt := range as.leaderTerm.c.types.load() {
		for _, p := range []float64{mt.Price, mt.SpotPrice} {
			if p > 0 && mt.CPUs > 0 {
				best = min(best, p/mt.CPUs)
			}
		}
	}
	return best
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
		if mc := lt.machines[name]; mc != nil {
			lt.machineTerminated(mc)
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
		lt.machineListed(&m.machines[i], now)
	}
}

// machineListed processes one machine of the cloud's list, which lags.
func (lt *leaderTerm) machineListed(h *cloud.Machine, now time.Time) {
	if lt.terminated.Contains(h.Name) {
		return
	}
	if m := lt.machines[h.Name]; m != nil {
		if h.Phase == cloud.PhaseFailed && !m.terminating && now.Sub(m.lastSeen) > 2*lt.c.Settings.Site.Workers.HeartbeatInterval() {
			lt.evacuate(m, "stopped")
			lt.autoscaler.scaleIn(m)
		}
		return
	}
	mt := lt.c.types.load()[h.Type]
	boot := time.Duration(mt.BootS * float64(time.Second))
	age := time.Duration(h.AgeS * float64(time.Second))
	e := lt.provisioning[h.Name]
	if e == nil {
		e = &provisioning{typ: h.Type, zone: h.Zone, spot: h.Spot, since: now.Add(-age), boot: boot, cpus: mt.CPUs}
		lt.provisioning[h.Name] = e
	}
	if e.terminating {
		return
	}
	// A machine that is up reports within seconds; one that boots may take
	// several times as long as usual.
	if h.Phase == cloud.PhaseFailed || (now.Sub(e.since) > 4*boot+lt.c.Settings.Site.Workers.Lease()) {
		lt.c.Log.Info("machine never reported", "machine", h.Name, "phase", h.Phase, "age", age.Round(time.Second))
		e.terminating = true
		lt.autoscaler.terminations = append(lt.autoscaler.terminations, h.Name)
	}
}
