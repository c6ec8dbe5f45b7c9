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
func (r *leadership) scanMachines(now time.Time) {
	r.silences(now)
	for _, m := range r.machines {
		if m.leaving && !m.returning && !m.gone && m.empty() {
			r.provisioner.giveBack(m)
		}
	}
	idle := r.provisioner.idle(now)
	for _, m := range idle {
		r.leave(m, "idle")
		r.provisioner.giveBack(m)
	}
}

// leave stops giving a machine tasks.
func (r *leadership) leave(m *machine, why string) {
	if m.leaving {
		return
	}
	m.leaving, m.why = true, why
	r.c.Log.Info("machine leaves", "machine", m.name, "type", m.typ, "why", why, "tasks", len(m.attempts))
}

// machineGone removes a machine whose return the cloud has confirmed.
// Only this, or a newer report, shows that a task is off its machine.
func (r *leadership) machineGone(m *machine) {
	m.gone = true
	r.returned.Add(m.name, true)
	delete(r.machines, m.name)
	r.countHeard(m)
	for _, a := range m.attempts {
		r.offMachine(a)
	}
	for _, j := range r.jobs {
		j.flight.Leave(m.name)
	}
	r.recorder.dropMember(m)
	r.c.Log.Info("machine gone", "machine", m.name, "why", m.why)
}

// countHeard notes that a machine can no longer surprise this term.
func (r *leadership) countHeard(m *machine) {
	if m.heard || m.roster != rosterDurable {
		return
	}
	m.heard = true
	r.unheard--
	r.unheardCPUs -= m.cpus
	r.unheardGPUs -= m.gpus
	if r.unheard == 0 {
		r.c.Log.Info("takeover: all machines heard or gone", "term", r.term.Number,
			"after", time.Since(r.began).Round(time.Millisecond))
	}
}

func (r *leadership) addMachine(name, typ, zone string, spot bool, now time.Time) *machine {
	m := &machine{name: name, foreignSum: &r.foreignCPUs, typ: typ, zone: zone, spot: spot, lastSeen: now, since: now, idle: now,
		attempts: map[attemptKey]*attempt{}, errorJobs: map[string]int{}}
	if mt, ok := r.c.types.load()[typ]; ok {
		m.cpus, m.gpus, m.memory = mt.CPUs, mt.GPUs, mt.MemoryGB
	}
	r.machines[name] = m
	delete(r.expected, name)
	return m
}
