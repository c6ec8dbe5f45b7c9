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

// errUnknownDependency means that a job depends on one that no node has accepted.
var errUnknownDependency = errors.New("dependency never accepted")

// UnknownDependencyError names a dependency that no node has accepted.
type UnknownDependencyError struct{ ID string }

// Error implements error. Users are shown this text.
func (e *UnknownDependencyError) Error() string {
	return "awaits " + e.ID + ", which was never accepted"
}

// Is makes it an errUnknownDependency.
func (e *UnknownDependencyError) Is(target error) bool { return target == errUnknownDependency }

// maxSingleReads is how many jobs are read one by one. More are searched in ranges, which
// take few requests however many jobs there are.
const maxSingleReads = 24

// dependencySearch walks the dependencies of jobs, direct and indirect.
type dependencySearch struct {
	records     *Records
	singleReads int
	// active holds the dependencies of all active jobs, once they are read.
	active map[string]dependencySet
	// inactive are the jobs reached that are not active.
	inactive []string
}

// dependencySet is what an active job depends on: names, or a list of them.
type dependencySet struct {
	ids  []string
	list *DependencyList
}

// walk visits jobs and, of those that are active, all dependencies.
func (s *dependencySearch) walk(ctx context.Context, ids []string) error {
	if len(ids) > maxSingleReads {
		s.singleReads = maxSingleReads
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

// decodeDependencySet reads what a job depends on, and whether it is active.
func (s *dependencySearch) dependenciesOf(ctx context.Context, id string) (ids []string, isActive bool, err error) {
	set, isActive, err := s.findActive(ctx, id)
	if err != nil || !isActive {
		return nil, false, err
	}
	ids, err = s.records.dependencyIDs(ctx, id, set)
	return ids, true, err
}

// findActive reads a job's active record; after maxSingleReads of them it reads those of all jobs.
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

// dependencyIDs returns the names of a job's dependencies, which it reads if they are in a list.
func (r *Records) dependencyIDs(ctx context.Context, id string, set dependencySet) ([]string, error) {
	if set.list == nil {
		return set.ids, nil
	}
	return r.ReadDependencies(ctx, id, set.list)
}

// checkDependencies fails with UnknownDependencyError if one of some jobs was never accepted,
// and reports whether one of them is cancelled, or is to be with a dependency of its own.
func (r *Records) checkDependencies(ctx context.Context, ids []string) (cancelled bool, err error) {
	search := dependencySearch{records: r}
	if err := search.walk(ctx, ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, search.inactive)
	if err != nil {
		return false, err
	}
	for _, id := range search.inactive {
		end, found := ends[id]
		if !found && slices.Contains(ids, id) {
			return false, &UnknownDependencyError{ID: id}
		}
		cancelled = cancelled || end.Phase == api.JobCancelled
	}
	return cancelled, nil
}

// CancelPending reports whether a dependency of an active job, direct or indirect, is
// cancelled.
func (r *Records) hasCancelledDependency(ctx context.Context, e kv.Entry) (bool, error) {
	ids, err := r.dependencyIDs(ctx, strings.TrimPrefix(e.Key, ActivePrefix), decodeDependencySet(e))
	if err != nil {
		return false, err
	}
	search := dependencySearch{records: r}
	if err := search.walk(ctx, ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, search.inactive)
	for _, end := range ends {
		if end.Phase == api.JobCancelled {
			return true, err
		}
	}
	return false, err
}

// decodeDependencySet returns what the job of an active record depends on.
func decodeDependencySet(e kv.Entry) dependencySet {
	if !bytes.Contains(e.Value, []byte(`"Awaits"`)) {
		return dependencySet{} // most jobs have no dependencies, and need no decoding
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
