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

// errUnknownDependency means that a job names one that nobody has accepted.
var errUnknownDependency = errors.New("state service: never accepted")

// UnknownDependencyError names a job that another one awaits and nobody has accepted.
type UnknownDependencyError struct{ ID string }

func (e *UnknownDependencyError) Error() string {
	return "awaits " + e.ID + ", which was never accepted"
}

// Is makes it an errUnknownDependency.
func (e *UnknownDependencyError) Is(target error) bool { return target == errUnknownDependency }

// maxSingleReads is how many jobs are read one by one; more are looked for in
// ranges, which take few requests however many jobs there are.
const maxSingleReads = 24

// dependencySearch follows what jobs await, directly or through others.
type dependencySearch struct {
	records     *Records
	singleReads int
	// active is what all active jobs await, once it is read.
	active map[string]dependencySet
	// ended are the jobs found that are not active.
	ended []string
}

// dependencySet is what an active job awaits: names, or a list of them.
type dependencySet struct {
	ids  []string
	list *DependencyList
}

// walk looks at jobs and at all that they await and that is active.
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
			s.ended = append(s.ended, id)
		}
		pending = append(pending, next...)
	}
	return nil
}

// dependenciesOf reads what a job awaits, and whether it is active.
func (s *dependencySearch) dependenciesOf(ctx context.Context, id string) (ids []string, isActive bool, err error) {
	var a dependencySet
	if s.active == nil && s.singleReads < maxSingleReads {
		s.singleReads++
		e, err := s.records.getEntry(ctx, ActivePrefix+id)
		if err != nil || e.ModRevision == 0 || isGuestRecord(e) {
			return nil, false, err
		}
		a = dependenciesOf(e)
	} else {
		if s.active == nil {
			if s.active, err = s.records.readActiveDependencies(ctx); err != nil {
				return nil, false, err
			}
		}
		var ok bool
		if a, ok = s.active[id]; !ok {
			return nil, false, nil
		}
	}
	if a.list != nil {
		a.ids, err = s.records.ReadDependencies(ctx, id, a.list)
	}
	return a.ids, true, err
}

// checkDependencies looks whether jobs were accepted and whether one of them is cancelled, or
// is to be with one that it needs itself.
func (r *Records) checkDependencies(ctx context.Context, ids []string) (cancelled bool, err error) {
	s := dependencySearch{records: r}
	if err := s.walk(ctx, ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, s.ended)
	if err != nil {
		return false, err
	}
	for _, id := range s.ended {
		end, found := ends[id]
		if !found && slices.Contains(ids, id) {
			return false, &UnknownDependencyError{id}
		}
		cancelled = cancelled || end.Phase == api.JobCancelled
	}
	return cancelled, nil
}

// cancelPending tells whether an active job needs one, directly or through others,
// that is cancelled.
func (r *Records) cancelPending(ctx context.Context, e kv.Entry) (bool, error) {
	a := dependenciesOf(e)
	if a.list != nil {
		var err error
		if a.ids, err = r.ReadDependencies(ctx, strings.TrimPrefix(e.Key, ActivePrefix), a.list); err != nil {
			return false, err
		}
	}
	s := dependencySearch{records: r}
	if err := s.walk(ctx, a.ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, s.ended)
	for _, end := range ends {
		if end.Phase == api.JobCancelled {
			return true, err
		}
	}
	return false, err
}

// dependenciesOf is what an active job needs.
func dependenciesOf(e kv.Entry) dependencySet {
	if !bytes.Contains(e.Value, []byte(`"Awaits"`)) {
		return dependencySet{} // most need none
	}
	var rec ActiveRecord
	if json.Unmarshal(e.Value, &rec) != nil {
		return dependencySet{}
	}
	return dependencySet{rec.Spec.DependsOn, rec.DependencyList}
}

// readActiveDependencies reads what all active jobs await.
func (r *Records) readActiveDependencies(ctx context.Context) (map[string]dependencySet, error) {
	release, err := acquire(ctx, r.scans)
	if err != nil {
		return nil, err
	}
	defer release()
	all := map[string]dependencySet{}
	for from := ""; ; {
		p, err := r.readPage(ctx, ActivePrefix, from)
		if err != nil {
			return nil, err
		}
		for _, e := range p.Entries {
			if from = e.Key; !isGuestRecord(e) {
				all[strings.Clone(strings.TrimPrefix(e.Key, ActivePrefix))] = dependenciesOf(e)
			}
		}
		if !p.More || len(p.Entries) == 0 {
			return all, nil
		}
	}
}
