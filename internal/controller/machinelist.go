package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
)

// listMachines reads the cloud's list of machines and sends a machinesListedMsg.
func (lt *leaderTerm) listMachines() {
	ctx, cancel := context.WithTimeout(lt.ctx, cloudTimeout)
	defer cancel()
	requestedAt := time.Now()
	machines, err := lt.c.Cloud.List(ctx)
	list := autoscaler.MachineList{Machines: machines, RequestedAt: requestedAt}
	lt.sendToOwner(machinesListedMsg{leaderTerm: lt, list: list, err: err})
}

// machinesListedMsg carries the cloud's list of machines to the owner goroutine.
type machinesListedMsg struct {
	leaderTerm *leaderTerm
	list       autoscaler.MachineList
	err        error
}

func (m machinesListedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	lt.autoscaler.ListEnded(now)
	if m.err != nil {
		c.Log.Debug("machine list request failed", "err", m.err)
		return
	}
	for _, name := range lt.autoscaler.RemoveVanished(lt.provisioning, m.list, now) {
		c.Log.Info("machine gone before its first heartbeat", "machine", name)
	}
	for i := range m.list.Machines {
		lt.applyListedMachine(&m.list.Machines[i], now)
	}
}

// reasonOverdue is the evacuation reason of a machine whose first heartbeat arrived only after its termination
// had been requested because the heartbeat was overdue.
const reasonOverdue = "overdue"

// applyListedMachine applies one machine of the cloud's list, which may be out of date. It terminates
// a machine that has failed, or whose first heartbeat is overdue.
func (lt *leaderTerm) applyListedMachine(listed *cloud.Machine, now time.Time) {
	if lt.terminated.Contains(listed.Name) || lt.autoscaler.HasVanished(listed.Name) {
		return
	}
	if m := lt.machines[listed.Name]; m != nil {
		missedHeartbeats := now.Sub(m.LastSeen) > 2*lt.c.Settings.Site.Workers.HeartbeatInterval()
		if listed.Phase == cloud.PhaseFailed && m.Phase() < cluster.Terminating && missedHeartbeats {
			lt.evacuate(m, "stopped")
			lt.scaleIn(m)
		}
		return
	}
	machineType := lt.c.machineTypes.load()[listed.Type]
	provisioning := lt.provisioning[listed.Name]
	if provisioning == nil {
		provisioning = autoscaler.ProvisioningFromList(listed, machineType, now)
		lt.provisioning[listed.Name] = provisioning
	}
	if lt.autoscaler.TerminateOverdue(provisioning, listed, machineType, now) {
		age := time.Duration(listed.AgeS * float64(time.Second))
		lt.c.Log.Info("machine never sent a heartbeat", "machine", listed.Name,
			"phase", listed.Phase, "age", age.Round(time.Second))
	}
}
