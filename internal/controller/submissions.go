package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/records"
)

// Submit implements api.Backend. It rejects jobs that can never run, and writes the active record of
// the others.
func (c *Controller) Submit(ctx context.Context, spec *api.JobSpec) (api.JobState, bool, error) {
	answer := c.answers.begin(submitRequest, spec.ID)
	record, created, err := c.accept(ctx, spec, time.Now())
	if created && answer.acknowledged {
		answer.contradicted(fromStore) // its records were lost
	}
	state := stateOfRepeated(record)
	if err == nil && state.Final() {
		err = c.publishFinalState(ctx, state)
	}
	state, err = answer.decide(fromStore, state, err)
	return state, created, err
}

// accept writes the active record of a job that can run, or returns the records of a job that exists.
func (c *Controller) accept(
	ctx context.Context, spec *api.JobSpec, now time.Time,
) (records.JobRecord, bool, error) {
	types := c.machineTypes.load()
	if types == nil {
		return records.JobRecord{}, false, api.ErrUnavailable
	}
	reason := unschedulableReason(spec, c.Settings.Site.Teams, types)
	if reason == "" && !records.JobFits(spec, c.Settings.Site.State.ValueKB) {
		// The key-value store would reject the active record, also when the user retries.
		reason = "more names than a record holds"
	}
	if reason != "" {
		return records.JobRecord{}, false, &api.UnschedulableError{Reason: reason}
	}
	record, created, err := c.records.Accept(ctx, spec, now)
	var unknown *records.UnknownDependencyError
	if errors.As(err, &unknown) {
		err = &api.UnschedulableError{Reason: unknown.Error()}
	}
	return record, created, err
}

// unschedulableReason returns why a job can never be scheduled, or "" if it can.
func unschedulableReason(spec *api.JobSpec, teams []config.Team, types map[string]api.MachineType) string {
	for _, team := range teams {
		if team.Name != spec.Team {
			continue
		}
		if spec.CPUs > team.LimitCPUs+cluster.Epsilon || (spec.GPUs > 0 && spec.GPUs > team.LimitGPUs+cluster.Epsilon) {
			return "a task needs more than the team's limit"
		}
		for _, mt := range types {
			if taskFits(spec, mt) {
				return ""
			}
		}
		return "a task fits no allowed machine type"
	}
	return "unknown team"
}

// taskFits reports whether a task of a job is allowed on machines of a type and fits an empty one.
func taskFits(spec *api.JobSpec, mt api.MachineType) bool {
	return spec.AllowsType(mt.Name) && zoneAllowed(spec, mt.Zones) &&
		spec.CPUs <= mt.CPUs+cluster.Epsilon &&
		spec.GPUs <= mt.GPUs+cluster.Epsilon &&
		spec.MemoryGB <= mt.MemoryGB+cluster.Epsilon
}

// zoneAllowed reports whether a job's tasks may run in at least one of the zones.
func zoneAllowed(spec *api.JobSpec, zones []string) bool {
	if spec.Zone == "" {
		return len(zones) > 0
	}
	return slices.Contains(zones, spec.Zone)
}
