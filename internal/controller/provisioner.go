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

// provisioner rents machines for what waits and gives back what is not needed. It
// is a part of the leadership and speaks to the cloud through goroutines that
// answer by messages.
type provisioner struct {
	leaderTerm *leaderTerm
	named      int
	renting    int
	asked      float64 // CPUs of rentals whose outcome is not known yet
	// pendingRentals are the rentals that are not answered yet, by name.
	pendingRentals map[string]fleet.Purchase
	blocked        map[fleet.Kind]time.Time
	returns        []string
	sending        bool
	nextList       time.Time
	listing        bool
	peak           peak
	surplus        float64
	// roomSince is since when there has been room to spare.
	roomSince time.Time
}

const (
	// minimumStay is what the cloud charges at the least.
	minimumStay  = 30 * time.Second
	maxRenting   = 3
	listInterval = 5 * time.Second
	// blockedFor is how long a kind of machine that was refused is left alone.
	blockedFor = 15 * time.Second
)

func (f *provisioner) init(lt *leaderTerm) {
	f.leaderTerm = lt
	f.blocked = map[fleet.Kind]time.Time{}
	f.pendingRentals = map[string]fleet.Purchase{}
}

func (f *provisioner) tick(now time.Time) {
	f.sendReturns()
	f.list(now)
	f.rent(now)
	f.move(now)
}

// demand is the CPUs that the teams need now to be in time, each within its limit.
// What is within a team's guarantee should start at once and counts in full; beyond
// it, a job whose tasks can run one after the other counts for the part of its
// tasks that have to run at the same time.
func (f *provisioner) demand() float64 {
	bootedAt := time.Now().Add(f.longestBoot())
	sum := 0.0
	for _, t := range f.leaderTerm.allTeams() {
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
func (f *provisioner) longestBoot() time.Duration {
	boot := 0.0
	for _, mt := range f.leaderTerm.c.types.load() {
		boot = max(boot, mt.BootS)
	}
	return config.Seconds(boot)
}

// rent covers what is lacking.
func (f *provisioner) rent(now time.Time) {
	lt := f.leaderTerm
	used, total := 0.0, 0.0
	for _, m := range lt.machines {
		used += m.usedCPUs
		if !m.evacuating && !m.terminated {
			total += m.cpus
		}
	}
	booting := f.asked
	for _, e := range lt.provisioning {
		if !e.terminating {
			booting += e.cpus
		}
	}
	want := max(f.demand()*(1+lt.c.Policy.Headroom), lt.c.Policy.MinCPUs)
	f.surplus = total - f.peak.add(now, want, lt.c.Policy.Hold)
	f.drain(now)
	if lt.unfenced > 0 {
		return
	}
	offers := f.offers(now)
	f.cover(want-total-booting, offers)
	f.rentConstrained(offers, now)
}

// cover rents what is lacking of some offers.
func (f *provisioner) cover(lack float64, offers []fleet.Offer) {
	if lack <= 0 || f.renting >= maxRenting {
		return
	}
	for _, p := range fleet.Plan(lack, offers, cloud.MaxRent, maxRenting-f.renting) {
		f.named++
		f.renting++
		f.asked += float64(p.Count) * p.CPUs
		req := cloud.Rental{Name: f.leaderTerm.rentalName(f.named), Type: p.Type, Zone: p.Zone, Spot: p.Spot, Count: p.Count}
		f.pendingRentals[req.Name] = p
		go f.leaderTerm.sendRental(req, p.Offer)
	}
}

// peak is the highest demand of the last while. Jobs come in bursts that fill
// the fleet for less time than a machine takes to boot, so machines are kept
// for the last burst's like.
type peak struct {
	at   []time.Time
	want []float64
}

// add records the present demand and returns the highest since hold ago.
func (p *peak) add(now time.Time, want float64, hold time.Duration) float64 {
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
func (f *provisioner) drain(now time.Time) {
	spare := f.surplus
	var draining, rest []*machine
	for _, m := range f.leaderTerm.machines {
		switch {
		case m.evacuating || m.terminated:
		case m.draining:
			draining = append(draining, m)
			spare -= m.cpus
		case m.isSchedulable(now) && now.Sub(m.addedAt) > minimumStay:
			rest = append(rest, m)
		}
	}
	byWorth := func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(f.cpuPrice(a), f.cpuPrice(b)), cmp.Compare(a.usedCPUs, b.usedCPUs), cmp.Compare(a.name, b.name))
	}
	slices.SortFunc(draining, byWorth)
	for i := len(draining) - 1; i >= 0 && spare < 0; i-- {
		draining[i].draining = false
		spare += draining[i].cpus
	}
	if spare <= 0 {
		f.roomSince = now
		return
	}
	slices.SortFunc(rest, byWorth)
	if now.Sub(f.roomSince) < drainAfter || len(rest) == 0 || spare < rest[0].cpus {
		return
	}
	for _, m := range rest {
		if spare < m.cpus {
			return
		}
		spare -= m.cpus
		m.draining = true
		f.leaderTerm.c.Log.Debug("machine drained", "machine", m.name, "tasks", len(m.attempts), "spare", spare)
	}
}

// moveAfter keeps tasks that have just begun, and those that will soon end,
// where they are.
const (
	moveAfter  = 30 * time.Second
	moveUnless = 20 * time.Second
	moveMargin = 5 * time.Second
	// ampleRoom is how many times what a machine holds must be free
	// elsewhere, so that what is moved need not wait there.
	ampleRoom = 3
)

// move stops the tasks on draining machines that can go on elsewhere from
// where they were.
func (f *provisioner) move(now time.Time) {
	room := 0.0
	for _, m := range f.leaderTerm.machines {
		if m.isSchedulable(now) {
			room += m.freeCPUs()
		}
	}
	for _, m := range f.leaderTerm.machines {
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
			if ran > moveAfter && left > moveUnless+s.Save() &&
				(a.job.infeasible || now.Add(left*5/4+s.Save()+3*f.leaderTerm.c.Settings.Site.Workers.Report()+moveMargin).Before(aim)) {
				room -= s.CPUs
				f.leaderTerm.stop(a, 2*s.Save()+time.Second, now)
			}
		}
	}
}

// offers are the kinds of machine that were not refused lately.
func (f *provisioner) offers(now time.Time) []fleet.Offer {
	var all []fleet.Offer
	for _, mt := range f.leaderTerm.c.types.load() {
		for _, z := range mt.Zones {
			for _, spot := range []bool{true, false} {
				o := fleet.Offer{Type: mt.Name, Zone: z, Spot: spot, CPUs: mt.CPUs, Price: mt.Price,
					Boot: time.Duration(mt.BootS * float64(time.Second))}
				if spot {
					if !f.leaderTerm.c.Policy.UseSpot || mt.SpotPrice <= 0 {
						continue
					}
					o.Price = mt.SpotPrice
				}
				if mt.CPUs > 0 && now.After(f.blocked[o.Kind()]) {
					all = append(all, o)
				}
			}
		}
	}
	return all
}

// sendRental sends a rental until its outcome is known. The name makes repeats safe.
func (lt *leaderTerm) sendRental(req cloud.Rental, o fleet.Offer) {
	wait := time.Second
	for range 6 {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		hosts, err := lt.c.Cloud.Rent(ctx, req)
		cancel()
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			lt.sendToOwner(rentedMsg{lt, req, o, hosts})
			return
		}
		lt.c.Log.Debug("rental", "name", req.Name, "err", err)
		sleep(lt.ctx, wait)
		wait = min(2*wait, 8*time.Second)
	}
	// If it was carried out after all, the list or a report shows it.
	lt.sendToOwner(rentedMsg{leaderTerm: lt, req: req, o: o})
}

type rentedMsg struct {
	leaderTerm *leaderTerm
	req        cloud.Rental
	o          fleet.Offer
	hosts      []string
}

func (m rentedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	now := time.Now()
	lt.provisioner.renting--
	delete(lt.provisioner.pendingRentals, m.req.Name)
	lt.provisioner.asked -= float64(m.req.Count) * m.o.CPUs
	if len(m.hosts) < m.req.Count {
		lt.provisioner.blocked[m.o.Kind()] = now.Add(blockedFor)
	}
	if len(m.hosts) > 0 {
		c.Log.Info("machines rented", "type", m.req.Type, "zone", m.req.Zone, "spot", m.req.Spot,
			"asked", m.req.Count, "got", len(m.hosts))
	}
	for _, h := range m.hosts {
		if lt.machines[h] == nil && !lt.terminated.Contains(h) {
			lt.provisioning[h] = &provisioning{typ: m.req.Type, zone: m.req.Zone, spot: m.req.Spot, since: now, boot: m.o.Boot, cpus: m.o.CPUs}
		}
	}
	if c.holdsLease() {
		lt.provisioner.rent(now) // what is still lacking is asked for at once
	}
}

// idle picks the machines to give back: empty for long enough, the dearest
// first, as far as what remains covers the demand.
func (f *provisioner) idle(now time.Time) []*machine {
	var out []*machine
	for _, m := range f.leaderTerm.machines {
		if m.evacuating || m.terminated || !m.fenced || m.cpus == 0 || len(m.attempts) > 0 ||
			(!m.draining && now.Sub(m.idleSince) < f.leaderTerm.c.Policy.IdleReturn) || now.Sub(m.addedAt) < minimumStay {
			continue
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(f.cpuPrice(a), f.cpuPrice(b)), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, m := range out {
		if f.surplus < m.cpus {
			break
		}
		f.surplus -= m.cpus
		n++
	}
	return out[:n]
}

// cheapest is the lowest price of a CPU.
func (f *provisioner) cheapest() float64 {
	best := math.Inf(1)
	for _, mt := range f.leaderTerm.c.types.load() {
		for _, p := range []float64{mt.Price, mt.SpotPrice} {
			if p > 0 && mt.CPUs > 0 {
				best = min(best, p/mt.CPUs)
			}
		}
	}
	return best
}

func (f *provisioner) cpuPrice(m *machine) float64 {
	mt, ok := f.leaderTerm.c.types.load()[m.typ]
	if !ok || mt.CPUs == 0 {
		return 0
	}
	if m.spot {
		return mt.SpotPrice / mt.CPUs
	}
	return mt.Price / mt.CPUs
}

// giveBack returns a machine to the cloud.
func (f *provisioner) giveBack(m *machine) {
	m.terminating = true
	f.returns = append(f.returns, m.name)
	f.sendReturns()
}

func (f *provisioner) sendReturns() {
	if f.sending || len(f.returns) == 0 {
		return
	}
	n := min(len(f.returns), cloud.MaxReturn)
	names := slices.Clone(f.returns[:n])
	f.returns = f.returns[n:]
	f.sending = true
	lt := f.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		defer cancel()
		err := lt.c.Cloud.Return(ctx, names)
		lt.sendToOwner(returnedMsg{lt, names, err})
	}()
}

type returnedMsg struct {
	leaderTerm *leaderTerm
	names      []string
	err        error
}

func (m returnedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	lt.provisioner.sending = false
	if m.err != nil {
		c.Log.Debug("machines not returned", "machines", m.names, "err", m.err)
		lt.provisioner.returns = append(lt.provisioner.returns, m.names...)
		return
	}
	for _, name := range m.names {
		delete(lt.provisioning, name)
		lt.terminated.Add(name, true)
		if mc := lt.machines[name]; mc != nil {
			lt.machineTerminated(mc)
		}
	}
	lt.provisioner.sendReturns()
}

// list reads the cloud's list from time to time: for machines that nobody
// expected, that never came up, or that have stopped.
func (f *provisioner) list(now time.Time) {
	if f.listing || now.Before(f.nextList) {
		return
	}
	f.listing = true
	lt := f.leaderTerm
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 5*time.Second)
		defer cancel()
		hosts, err := lt.c.Cloud.List(ctx)
		lt.sendToOwner(listedMsg{lt, hosts, err})
	}()
}

type listedMsg struct {
	leaderTerm *leaderTerm
	hosts      []cloud.Machine
	err        error
}

func (m listedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	f := &lt.provisioner
	now := time.Now()
	f.listing, f.nextList = false, now.Add(listInterval)
	if m.err != nil {
		c.Log.Debug("machines not listed", "err", m.err)
		return
	}
	for i := range m.hosts {
		lt.listed(&m.hosts[i], now)
	}
}

// listed processes one machine of the cloud's list, which lags.
func (lt *leaderTerm) listed(h *cloud.Machine, now time.Time) {
	if lt.terminated.Contains(h.Name) {
		return
	}
	if m := lt.machines[h.Name]; m != nil {
		if h.Phase == cloud.PhaseFailed && !m.terminating && now.Sub(m.lastSeen) > 2*lt.c.Settings.Site.Workers.Report() {
			lt.evacuate(m, "stopped")
			lt.provisioner.giveBack(m)
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
		lt.provisioner.returns = append(lt.provisioner.returns, h.Name)
	}
}
