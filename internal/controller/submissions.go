package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/records"
)

const (
	// acceptTimeout limits the reads and writes of the job's records, and repeatedPollTimeout the search for
	// the phase of a job that was submitted before. Together they are less than a user waits for the answer.
	acceptTimeout       = 2500 * time.Millisecond
	repeatedPollTimeout = 1500 * time.Millisecond
	// maxRepeatedPolls is the maximum number of concurrent searches for the phase of jobs that were submitted
	// before. With maxCompletionChecks, it leaves slots of users' requests to new jobs.
	maxRepeatedPolls = 12
)

// errTooManyRepeats means that maxRepeatedPolls searches are in progress.
var errTooManyRepeats = fmt.Errorf("%w: too many repeated submissions in progress", api.ErrUnavailable)

// Submit implements api.Backend. It rejects jobs that can never run, and writes the active record of
// the others.
func (c *Controller) Submit(ctx context.Context, spec *api.JobSpec) (api.JobState, bool, error) {
	answer := c.answers.begin(submitRequest, spec.ID)
	acceptedAt := time.Now()
	record, created, err := c.accept(ctx, spec, acceptedAt)
	if err != nil {
		state, err := answer.decide(fromStore, api.JobState{}, err)
		return state, false, err
	}
	if created && answer.acknowledged {
		answer.contradicted(fromStore) // its records were lost
	}
	state, source := record.Final, fromStore
	switch {
	case record.Status == records.Ended:
		err = c.publishFinalState(ctx, state)
	case created || record.Accepted.Equal(acceptedAt):
		// If the record is there although this request has not created it, the response to the
		// transaction was lost.
		state = pendingState(spec.ID)
	default:
		state, source, err = c.stateOfRepeated(ctx, record, answer.failingSince)
	}
	state, err = answer.decide(source, state, err)
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
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
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
