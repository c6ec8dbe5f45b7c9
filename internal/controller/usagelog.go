package controller

import (
	"log/slog"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// usageLogInterval is how often the fleet usage is logged.
const usageLogInterval = 5 * time.Second

// logUsage logs, at debug level, the CPUs of the fleet by use, and the CPUs of pending tasks by job
// class.
func (lt *leaderTerm) logUsage(now time.Time) {
	if now.Before(lt.nextUsageLog) || !lt.c.Log.Enabled(lt.ctx, slog.LevelDebug) {
		return
	}
	lt.nextUsageLog = now.Add(usageLogInterval)
	var usage fleetUsage
	for _, m := range lt.machines {
		usage.total += m.CPUs
		if m.IsSchedulable(now) {
			usage.schedulable += m.CPUs
		}
		for _, a := range m.Attempts {
			usage.addAttempt(a)
		}
	}
	pending := map[string]float64{}
	for _, j := range lt.jobs {
		pending[j.Spec.Class] += float64(j.Flight.Untaken()) * j.Spec.CPUs
	}
	lt.c.Log.Debug("fleet usage",
		"machines", len(lt.machines),
		"unfenced", lt.unfenced,
		"provisioning", len(lt.provisioning),
		"cpus", usage.total,
		"schedulable", usage.schedulable,
		"running", usage.running,
		"pulling", usage.pulling,
		"commanded", usage.commanded,
		"saving", usage.saving,
		"exited", usage.exited,
		"jobs", len(lt.jobs),
		"pending", pending)
}

// fleetUsage holds the total CPUs of all machines, of the schedulable machines, and of the attempts
// in each phase.
type fleetUsage struct {
	total, schedulable                          float64
	commanded, pulling, running, saving, exited float64
}

// addAttempt adds the CPUs of an attempt to those of its phase, unless its job is unknown.
func (u *fleetUsage) addAttempt(a *cluster.Attempt) {
	if a.Job == nil {
		return
	}
	cpus := a.Job.Spec.CPUs
	switch {
	case a.Exited:
		u.exited += cpus
	case a.Phase == api.TaskRunning:
		u.running += cpus
	case a.Phase == api.TaskPulling:
		u.pulling += cpus
	case a.Phase == api.TaskSaving:
		u.saving += cpus
	default:
		u.commanded += cpus
	}
}
