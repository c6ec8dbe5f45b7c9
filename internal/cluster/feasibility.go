package cluster

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// The functions below decide which machines a job can use. Both the scheduler, which starts tasks, and
// the autoscaler, which counts capacity and launches machines, rely on them: a machine that only one of
// the two regards as usable would leave the job waiting next to capacity that it never gets.

// AllowsPool reports whether a task of the job may start on machines of a type, in a zone and at the
// regular or the spot price, given where the job's other tasks are.
func (j *Job) AllowsPool(typ, zone string, spot bool) bool {
	return j.Spec.AllowsType(typ) && (!spot || j.Spec.Spot) && j.AllowsZone(zone)
}

// AllowsZone reports whether a task of the job may start in a zone, given where the job's other tasks are.
func (j *Job) AllowsZone(zone string) bool {
	s := &j.Spec
	if s.Zone != "" && s.Zone != zone {
		return false
	}
	if s.OneZone {
		for other, attempts := range j.AttemptsByZone {
			if attempts > 0 && other != zone {
				return false
			}
		}
	}
	return !s.Spread || j.AttemptsByZone[zone] < s.MaxTasksPerZone()
}

// CanUse reports whether a machine has free capacity for a task of the job, and the job's untaken tasks
// may use it.
func (j *Job) CanUse(m *Machine, now time.Time) bool {
	return m.Fits(&j.Spec) && j.AllowsPool(m.Type, m.Zone, m.Spot) && !j.Avoids(m.Name, now)
}

// TypeSlots returns for how many tasks of a job an empty machine of a type has capacity.
func TypeSlots(typ api.MachineType, s *api.JobSpec) int {
	m := Machine{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB}
	return m.Slots(s)
}
