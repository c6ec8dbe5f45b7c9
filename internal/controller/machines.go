package controller

import (
	"time"
)

type provisioning struct {
	typ   string
	zone  string
	spot  bool
	since time.Time
	boot  time.Duration
	cpus  float64
	// terminating is set while the machine is being given back unused.
	terminating bool
}

// scanMachines gives back the machines that are silent, bad or idle.
func (lt *leaderTerm) scanMachines(now time.Time) {
	lt.detectFailures(now)
	for _, m := range lt.machines {
		if m.evacuating && !m.terminating && !m.terminated && m.empty() {
			lt.autoscaler.scaleIn(m)
		}
	}
	idle := lt.autoscaler.idleMachines(now)
	for _, m := range idle {
		lt.evacuate(m, "idle")
		lt.autoscaler.scaleIn(m)
	}
}

// evacuate stops giving a machine tasks.
func (lt *leaderTerm) evacuate(m *machine, reason string) {
	if m.evacuating {
		return
	}
	m.evacuating, m.reason = true, reason
	lt.c.Log.Info("machine leaves", "machine", m.name, "type", m.typ, "why", reason, "tasks", len(m.attempts))
}

// machineTerminated removes a machine whose return the cloud has confirmed.
// Only this, or a newer report, shows that a task is off its machine.
func (lt *leaderTerm) machineTerminated(m *machine) {
	m.terminated = true
	lt.terminated.Add(m.name, true)
	delete(lt.machines, m.name)
	lt.markFenced(m)
	for _, a := range m.attempts {
		lt.offMachine(a)
	}
	for _, j := range lt.jobs {
		j.flight.Leave(m.name)
	}
	lt.recordWriter.deregister(m)
	lt.c.Log.Info("machine gone", "machine", m.name, "why", m.reason)
}

// markFenced notes that a machine can no longer surprise this term.
func (lt *leaderTerm) markFenced(m *machine) {
	if m.fenced || m.registration != registered {
		return
	}
	m.fenced = true
	lt.unfenced--
	lt.unfencedCPUs -= m.cpus
	lt.unfencedGPUs -= m.gpus
	if lt.unfenced == 0 {
		lt.c.Log.Info("takeover: all machines heard or gone", "term", lt.term.Number,
			"after", time.Since(lt.startedAt).Round(time.Millisecond))
	}
}

func (lt *leaderTerm) addMachine(name, typ, zone string, spot bool, now time.Time) *machine {
	m := &machine{name: name, unattributedTotal: &lt.unattributedCPUs, typ: typ, zone: zone, spot: spot, lastSeen: now, addedAt: now, idleSince: now,
		attempts: map[attemptKey]*attempt{}, taskErrorsByJob: map[string]int{}}
	if mt, ok := lt.c.types.load()[typ]; ok {
		m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
	}
	lt.machines[name] = m
	delete(lt.provisioning, name)
	return m
}
