package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// scanMachines terminates machines that are dead, idle, or empty after an evacuation.
func (lt *leaderTerm) scanMachines(now time.Time) {
	lt.detectFailures(now)
	for _, m := range lt.machines {
		if m.Phase() == cluster.Evacuating && m.IsEmpty() {
			lt.scaleIn(m)
		}
	}
	view := lt.fleetView(now)
	for _, m := range lt.autoscaler.IdleMachines(&view) {
		lt.evacuate(m, "idle")
		lt.scaleIn(m)
	}
}

// evacuate stops assigning tasks to a machine. The machine is terminated once it is empty.
func (lt *leaderTerm) evacuate(m *cluster.Machine, reason string) {
	if !m.Advance(cluster.Evacuating) {
		return
	}
	m.EvacuationReason = reason
	lt.c.Log.Info("machine evacuating", "machine", m.Name, "type", m.Type, "reason", reason, "count", len(m.Attempts))
}

// removeTerminated removes a machine whose termination the cloud has confirmed, and the attempts on
// it. Only a confirmed termination or a newer heartbeat shows that a task is off its machine.
func (lt *leaderTerm) removeTerminated(m *cluster.Machine) {
	m.Advance(cluster.Terminated)
	lt.terminated.Add(m.Name, true)
	delete(lt.machines, m.Name)
	lt.markFenced(m)
	for _, a := range m.Attempts {
		lt.removeAttempt(a)
	}
	for _, j := range lt.jobs {
		j.Flight.Leave(m.Name)
	}
	lt.recordWriter.Deregister(m)
	lt.c.Log.Info("machine terminated", "machine", m.Name, "reason", m.EvacuationReason)
}

// markFenced marks a registered machine as fenced: it rejects commands of earlier terms, because it
// has this term's fencing token or is terminated. Jobs accepted before this term start only once all
// machines of the registry are fenced.
func (lt *leaderTerm) markFenced(m *cluster.Machine) {
	if m.Fenced || m.Registration != cluster.Registered {
		return
	}
	m.Fenced = true
	lt.unfenced--
	lt.unfencedCPUs -= m.CPUs
	lt.unfencedGPUs -= m.GPUs
	if lt.unfenced == 0 {
		lt.c.Log.Info("takeover: all machines fenced or terminated", "term", lt.term.Number,
			"after", time.Since(lt.startedAt).Round(time.Millisecond))
	}
}

// addMachine adds a machine that has sent its first heartbeat or was read from the registry.
func (lt *leaderTerm) addMachine(name, typeName, zone string, spot bool, now time.Time) *cluster.Machine {
	m := &cluster.Machine{
		Name:              name,
		Type:              typeName,
		Zone:              zone,
		Spot:              spot,
		Token:             lt.term.Tokens().First,
		TotalUnattributed: &lt.unattributed,
		LastSeen:          now,
		AddedAt:           now,
		IdleSince:         now,
		Attempts:          map[cluster.AttemptKey]*cluster.Attempt{},
		TaskErrorsByJob:   map[string]int{},
	}
	if machineType, ok := lt.c.machineTypes.load()[typeName]; ok {
		m.CPUs, m.GPUs, m.MemoryGB = machineType.CPUs, machineType.GPUs, machineType.MemoryGB
	}
	lt.machines[name] = m
	delete(lt.provisioning, name)
	return m
}
