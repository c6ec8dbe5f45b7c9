package autoscaler

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
)

// ProvisioningMachine is a machine that the cloud has launched or listed and that has not sent a
// heartbeat yet.
type ProvisioningMachine struct {
	Type string
	Zone string
	Spot bool
	// Since is when the machine was launched, as far as known.
	Since time.Time
	// LaunchedBy is a time at which the machine certainly had been launched: when its launch was
	// confirmed, or when it was first listed.
	LaunchedBy time.Time
	CPUs       float64
	// Terminating is set once the machine is to be terminated without having been used.
	Terminating bool
}

// ProvisioningMachine returns the state of a machine that the request launched, as confirmed at
// launchedAt.
func (l *Launch) ProvisioningMachine(launchedAt time.Time) *ProvisioningMachine {
	return &ProvisioningMachine{
		Type:       l.Request.Type,
		Zone:       l.Request.Zone,
		Spot:       l.Request.Spot,
		Since:      launchedAt,
		LaunchedBy: launchedAt,
		CPUs:       l.Offer.CPUs,
	}
}

// ProvisioningFromList returns the state of a machine that was found in the cloud's list, of the given
// machine type.
func ProvisioningFromList(listed *cloud.Machine, machineType api.MachineType, now time.Time) *ProvisioningMachine {
	return &ProvisioningMachine{
		Type:       listed.Type,
		Zone:       listed.Zone,
		Spot:       listed.Spot,
		Since:      now.Add(-time.Duration(listed.AgeS * float64(time.Second))),
		LaunchedBy: now,
		CPUs:       machineType.CPUs,
	}
}

// maxBootFactor is the longest allowed boot time, as a multiple of the usual one.
const maxBootFactor = 4

// TerminateOverdue queues a listed machine for termination if it failed before its first heartbeat or is
// overdue to send one, and reports whether it did. A machine sends its first heartbeat within seconds of
// booting, but booting may take several times as long as usual. A later Tick or ScaleIn returns the
// termination request.
func (a *Autoscaler) TerminateOverdue(
	machine *ProvisioningMachine, listed *cloud.Machine, machineType api.MachineType, now time.Time,
) bool {
	overdue := now.Sub(machine.Since) > maxBootFactor*bootTime(machineType)+a.workers.Lease()
	if machine.Terminating || (listed.Phase != cloud.PhaseFailed && !overdue) {
		return false
	}
	machine.Terminating = true
	a.terminations.queued = append(a.terminations.queued, listed.Name)
	return true
}
