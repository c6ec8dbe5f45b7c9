package autoscaler

import (
	"time"

	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
)

// MachineList is the cloud's list of machines, as read at one time. It may be out of date: it describes
// a time up to maxListLagFactor times the cloud's list lag before the request, and may describe an
// earlier time than the list read before it.
type MachineList struct {
	Machines []cloud.Machine
	// RequestedAt is a time before the first request for the list was sent.
	RequestedAt time.Time
}

// maxListLagFactor is the longest lag of the list, as a multiple of the usual one.
const maxListLagFactor = 2

// describesAfter reports whether a list certainly describes the fleet as it was at a time, or later.
func (a *Autoscaler) describesAfter(list MachineList, at time.Time) bool {
	maxLag := maxListLagFactor * config.Duration(a.cloudLimits.ListLagS)
	return !list.RequestedAt.Add(-maxLag).Before(at)
}

// RemoveVanished removes the machines that were terminated by the cloud before their first heartbeat,
// and returns their names. These are the machines that are missing in a list although it describes a
// time at which they had been launched. No other event ends the provisioning of such a machine: it
// sends no heartbeat, and the cloud does not list it any longer. receivedAt is when the list arrived.
func (a *Autoscaler) RemoveVanished(
	provisioning map[string]*ProvisioningMachine, list MachineList, receivedAt time.Time,
) []string {
	for name, vanishedAt := range a.vanished {
		if a.describesAfter(list, vanishedAt) {
			delete(a.vanished, name) // this list and all later ones are newer
		}
	}
	listed := make(map[string]bool, len(list.Machines))
	for i := range list.Machines {
		listed[list.Machines[i].Name] = true
	}
	var names []string
	for name, machine := range provisioning {
		if listed[name] || !a.describesAfter(list, machine.LaunchedBy) {
			continue
		}
		delete(provisioning, name)
		a.vanished[name] = receivedAt
		names = append(names, name)
	}
	return names
}

// HasVanished reports whether a machine is known to be terminated although a list that may be older than
// the one that showed this still contains it.
func (a *Autoscaler) HasVanished(name string) bool {
	_, vanished := a.vanished[name]
	return vanished
}
