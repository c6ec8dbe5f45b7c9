package records

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// errUnknownDependency matches every UnknownDependencyError.
var errUnknownDependency = errors.New("dependency never accepted")

// UnknownDependencyError reports a dependency that no node has accepted.
type UnknownDependencyError struct{ ID string }

// Error implements error. The text is shown to users.
func (e *UnknownDependencyError) Error() string {
	return "awaits " + e.ID + ", which was never accepted"
}

// Is makes errors.Is match errUnknownDependency.
func (e *UnknownDependencyError) Is(target error) bool { return target == errUnknownDependency }

// maxSingleReads is how many jobs are read with one request each. More are read as ranges, which
// take few requests however many jobs there are.
const maxSingleReads = 24

// dependencySearch traverses the direct and indirect dependencies of jobs.
type dependencySearch struct {
	records *Records
	// singleReads counts the jobs that were read with one request each.
	singleReads int
	// active holds the dependencies of all active jobs, once they are read as a range.
	active map[string]dependencySet
	// inactive lists the jobs found that have no active record.
	inactive []string
}

// dependencySet is what an active job depends on: IDs, or the list that contains them.
type dependencySet struct {
	ids  []string
	list *DependencyList
}

// walk visits jobs and, through those that are active, all their direct and indirect dependencies.
func (s *dependencySearch) walk(ctx context.Context, ids []string) error {
	if len(ids) > maxSingleReads {
		s.singleReads = maxSingleReads // read all active jobs at once
	}
	visited := make(map[string]bool, len(ids))
	for pending := slices.Clone(ids); len(pending) > 0; {
		id := pending[len(pending)-1]
		if pending = pending[:len(pending)-1]; visited[id] {
			continue
		}
		visited[id] = true
		next, isActive, err := s.dependenciesOf(ctx, id)
		if err != nil {
			return err
		}
		if !isActive {
			s.inactive = append(s.inactive, id)
		}
		pending = append(pending, next...)
	}
	return nil
}

// dependenciesOf returns the IDs of the jobs on which a job depends, and whether it is active.
func (s *dependencySearch) dependenciesOf(ctx context.Context, id string) (ids []string, isActive bool, err error) {
	set, isActive, err := s.findActive(ctx, id)
	if err != nil || !isActive {
		return nil, false, err
	}
	ids, err = s.records.dependencyIDs(ctx, id, set)
	return ids, true, err
}

// findActive returns what a job depends on, and whether it is active. It reads the active record of
// the job or, after maxSingleReads such reads, those of all jobs.
func (s *dependencySearch) findActive(ctx context.Context, id string) (set dependencySet, isActive bool, err error) {
	if s.active == nil && s.singleReads < maxSingleReads {
		s.singleReads++
		e, err := s.records.getEntry(ctx, ActivePrefix+id)
		if err != nil || e.ModRevision == 0 || isGuestRecord(e) {
			return dependencySet{}, false, err
		}
		return decodeDependencySet(e), true, nil
	}
	if s.active == nil {
		if s.active, err = s.records.readActiveDependencies(ctx); err != nil {
			return dependencySet{}, false, err
		}
	}
	set, isActive = s.active[id]
	return set, isActive, nil
}

// dependencyIDs returns the IDs of a job's dependencies. It reads them if they are in a list.
func (r *Records) dependencyIDs(ctx context.Context, id string, set dependencySet) ([]string, error) {
	if set.list == nil {
		return set.ids, nil
	}
	return r.ReadDependencies(ctx, id, set.list)
}

// checkDependencies reports whether one of the given dependencies of a job, or an indirect one, is
// cancelled. It fails with UnknownDependencyError if one of those given was never accepted.
func (r *Records) checkDependencies(ctx context.Context, ids []string) (cancelled bool, err error) {
	search := dependencySearch{records: r}
	if err := search.walk(ctx, ids); err != nil {
		return false, err
	}
	terminals, err := r.TerminalRecords(ctx, search.inactive)
	if err != nil {
		return false, err
	}
	for _, id := range search.inactive {
		terminal, found := terminals[id]
		if !found && slices.Contains(ids, id) {
			return false, &UnknownDependencyError{ID: id}
		}
		cancelled = cancelled || terminal.Phase == api.JobCancelled
	}
	return cancelled, nil
}

// dependencyState is what the records show about the dependencies of an active job.
type dependencyState int

const (
	// dependenciesEnded means that the job waits for no other one.
	dependenciesEnded dependencyState = iota
	// dependencyActive means that a direct dependency has not ended, and none is cancelled.
	dependencyActive
	// dependencyCancelled means that a direct or indirect dependency is cancelled.
	dependencyCancelled
)

// readDependencyState reads the records of the dependencies of an active job.
func (r *Records) readDependencyState(ctx context.Context, e kv.Entry) (dependencyState, error) {
	ids, err := r.dependencyIDs(ctx, strings.TrimPrefix(e.Key, ActivePrefix), decodeDependencySet(e))
	if err != nil {
		return dependenciesEnded, err
	}
	search := dependencySearch{records: r}
	if err := search.walk(ctx, ids); err != nil {
		return dependenciesEnded, err
	}
	terminals, err := r.TerminalRecords(ctx, search.inactive)
	for _, terminal := range terminals {
		if terminal.Phase == api.JobCancelled {
			return dependencyCancelled, err
		}
	}
	inactive := make(map[string]bool, len(search.inactive))
	for _, id := range search.inactive {
		inactive[id] = true
	}
	if slices.ContainsFunc(ids, func(id string) bool { return !inactive[id] }) {
		return dependencyActive, err
	}
	return dependenciesEnded, err
}

// decodeDependencySet returns what the job of an active record depends on.
func decodeDependencySet(e kv.Entry) dependencySet {
	if !bytes.Contains(e.Value, []byte(`"Awaits"`)) {
		return dependencySet{} // most jobs have no dependencies and are not decoded
	}
	var rec ActiveRecord
	if json.Unmarshal(e.Value, &rec) != nil {
		return dependencySet{}
	}
	return dependencySet{ids: rec.Spec.DependsOn, list: rec.DependencyList}
}

// readActiveDependencies reads the dependencies of all active jobs.
func (r *Records) readActiveDependencies(ctx context.Context) (map[string]dependencySet, error) {
	release, err := acquireSlot(ctx, r.scanSlots)
	if err != nil {
		return nil, err
	}
	defer release()
	active := map[string]dependencySet{}
	err = r.forEachEntry(ctx, ActivePrefix, func(e kv.Entry) {
		if !isGuestRecord(e) {
			active[strings.Clone(strings.TrimPrefix(e.Key, ActivePrefix))] = decodeDependencySet(e)
		}
	})
	if err != nil {
		return nil, err
	}
	return active, nil
}
