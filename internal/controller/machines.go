package controller

import "time"

// provisioning is a machine that was launched or listed by the cloud and has sent no heartbeat
// yet.
type provisioning struct {
	typ   string
	zone  string
	spot  bool
	since time.Time
	// boot is how long machines of the type take to boot.
	boot time.Duration
	cpus float64
	// terminating is set while the machine is being terminated unused.
	terminating bool
}

// scanMachines terminates the machines that are dead, idle, or empty after their evacuation.
func (lt *leaderTerm) scanMachines(now time.Time) {
	lt.detectFailures(now)
	for _, m := range lt.machines {
		if m.evacuating && !m.terminating && !m.terminated && m.isEmpty() {
			lt.autoscaler.scaleIn(m)
		}
	}
	for _, m := range lt.autoscaler.idleMachines(now) {
		lt.evacuate(m, "idle")
		lt.autoscaler.scaleIn(m)
	}
}

// evacuate stops the assignment of tasks to a machine, which is terminated once it is empty.
func (lt *leaderTerm) evacuate(m *machine, reason string) {
	if m.evacuating {
		return
	}
	m.evacuating, m.reason = true, reason
	lt.c.Log.Info("machine evacuating", "machine", m.name, "type", m.machineType, "reason", reason, "count", len(m.attempts))
}

// machineTerminated removes a machine whose termination the cloud has confirmed. Only this, or a
// newer heartbeat, shows that a task is off its machine.
func (lt *leaderTerm) machineTerminated(m *machine) {
	m.terminated = true
	lt.terminated.Add(m.name, true)
	delete(lt.machines, m.name)
	lt.markFenced(m)
	for _, a := range m.attempts {
		lt.removeAttempt(a)
	}
	for _, j := range lt.jobs {
		j.flight.Leave(m.name)
	}
	lt.recordWriter.deregister(m)
	lt.c.Log.Info("machine terminated", "machine", m.name, "reason", m.reason)
}

// markFenced marks that a machine applies no command of an earlier term any more, because it
// has this term's fencing token or is terminated. Jobs accepted before this term start once all
// machines of the registry are fenced.
func (lt *leaderTerm) markFenced(m *machine) {
	if m.fenced || m.registration != registered {
		return
	}
	m.fenced = true
	lt.unfenced--
	lt.unfencedCPUs -= m.cpus
	lt.unfencedGPUs -= m.gpus
	if lt.unfenced == 0 {
		lt.c.Log.Info("takeover: all machines fenced or terminated", "term", lt.term.Number,
			"after", time.Since(lt.startedAt).Round(time.Millisecond))
	}
}

// addMachine adds a machine that has sent its first heartbeat or is in the registry.
func (lt *leaderTerm) addMachine(name, typ, zone string, spot bool, now time.Time) *machine {
	m := &machine{
		name:              name,
		machineType:       typ,
		zone:              zone,
		spot:              spot,
		unattributedTotal: &lt.unattributedCPUs,
		lastSeen:          now,
		addedAt:           now,
		idleSince:         now,
		attempts:          map[attemptKey]*attempt{},
		taskErrorsByJob:   map[string]int{},
	}
	if mt, ok := lt.c.types.load()[typ]; ok {
		m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
	}
	lt.machines[name] = m
	delete(lt.provisioning, name)
	return m
}
