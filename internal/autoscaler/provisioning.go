package autoscaler

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
)

// ProvisioningMachine is a machine that was launched or listed by the cloud and has sent no heartbeat
// yet.
type ProvisioningMachine struct {
	Type  string
	Zone  string
	Spot  bool
	Since time.Time
	CPUs  float64
	// Terminating is set while the machine is being terminated unused.
	Terminating bool
}

// ProvisioningMachine is a machine of the launch request, launched at a time.
func (l *Launch) ProvisioningMachine(at time.Time) *ProvisioningMachine {
	return &ProvisioningMachine{
		Type:  l.Request.Type,
		Zone:  l.Request.Zone,
		Spot:  l.Request.Spot,
		Since: at,
		CPUs:  l.Offer.CPUs,
	}
}

// ProvisioningFromList is a machine of the cloud's list that was not known; mt is its type.
func ProvisioningFromList(listed *cloud.Machine, mt api.MachineType, now time.Time) *ProvisioningMachine {
	return &ProvisioningMachine{
		Type:  listed.Type,
		Zone:  listed.Zone,
		Spot:  listed.Spot,
		Since: now.Add(-time.Duration(listed.AgeS * float64(time.Second))),
		CPUs:  mt.CPUs,
	}
}

// maxBootFactor is how many times as long as usual a machine may take to boot.
const maxBootFactor = 4

// TerminateOverdue has a listed machine terminated that has failed before its first heartbeat, or
// has sent none for too long; mt is its type. It reports whether it did. A machine that is up sends
// a heartbeat within seconds; one that boots may take several times as long as usual. The request is
// sent with the next tick or machine to scale in.
func (as *Autoscaler) TerminateOverdue(
	p *ProvisioningMachine, listed *cloud.Machine, mt api.MachineType, now time.Time,
) bool {
	overdue := now.Sub(p.Since) > maxBootFactor*bootTime(mt)+as.workers.Lease()
	if p.Terminating || (listed.Phase != cloud.PhaseFailed && !overdue) {
		return false
	}
	p.Terminating = true
	as.pendingTerminations = append(as.pendingTerminations, listed.Name)
	return true
}
