package controller

import (
	"time"
)

type expected struct {
	typ   string
	zone  string
	spot  bool
	since time.Time
	boot  time.Duration
	cpus  float64
	// returning is set while the machine is being given back unused.
	returning bool
}

// scanMachines gives back the machines that are silent, bad or idle.
func (lt *leaderTerm) scanMachines(now time.Time) {
	lt.silences(now)
	for _, m := range lt.machines {
		if m.leaving && !m.returning && !m.gone && m.empty() {
			lt.provisioner.giveBack(m)
		}
	}
	idle := lt.provisioner.idle(now)
	for _, m := range idle {
		lt.leave(m, "idle")
		lt.provisioner.giveBack(m)
	}
}

// leave stops giving a machine tasks.
func (lt *leaderTerm) leave(m *machine, why string) {
	if m.leaving {
		return
	}
	m.leaving, m.why = true, why
	lt.c.Log.Info("machine leaves", "machine", m.name, "type", m.typ, "why", why, "tasks", len(m.attempts))
}

// machineGone removes a machine whose return the cloud has confirmed.
// Only this, or a newer report, shows that a task is off its machine.
func (lt *leaderTerm) machineGone(m *machine) {
	m.gone = true
	lt.returned.Add(m.name, true)
	delete(lt.machines, m.name)
	lt.markFenced(m)
	for _, a := range m.attempts {
		lt.offMachine(a)
	}
	for _, j := range lt.jobs {
		j.flight.Leave(m.name)
	}
	lt.recorder.dropMember(m)
	lt.c.Log.Info("machine gone", "machine", m.name, "why", m.why)
}

// markFenced notes that a machine can no longer surprise this term.
func (lt *leaderTerm) markFenced(m *machine) {
	if m.fenced || m.roster != rosterDurable {
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
	m := &machine{name: name, foreignSum: &lt.foreignCPUs, typ: typ, zone: zone, spot: spot, lastSeen: now, since: now, idle: now,
		attempts: map[attemptKey]*attempt{}, errorJobs: map[string]int{}}
	if mt, ok := lt.c.types.load()[typ]; ok {
		m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
	}
	lt.machines[name] = m
	delete(lt.expected, name)
	return m
}
