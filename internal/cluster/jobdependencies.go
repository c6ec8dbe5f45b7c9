package cluster

import (
	"time"

	"example.org/ivytrestle/internal/records"
)

// DropEndedDependencies frees the names of ended dependencies once they outnumber the others by more
// than MaxEndedDependencies. A job may have thousands of dependencies and wait for the last one for a
// long time.
func (j *Job) DropEndedDependencies() {
	if len(j.Spec.DependsOn) <= 2*len(j.DependsOn)+MaxEndedDependencies {
		return
	}
	unfinished, dependsOn := make([]string, 0, len(j.DependsOn)), make(map[string]bool, len(j.DependsOn))
	for _, id := range j.Spec.DependsOn {
		if j.DependsOn[id] {
			unfinished = append(unfinished, id)
			dependsOn[id] = true
		}
	}
	j.Spec.DependsOn, j.DependsOn = unfinished, dependsOn
}

// RecordDependencyEnd updates LastDependencyEnd when a dependency is done.
func (j *Job) RecordDependencyEnd(at time.Time) {
	if at.After(j.LastDependencyEnd) {
		j.LastDependencyEnd = at
	}
}

// unfinishedDependencies returns the first unfinished dependencies, for the job's user.
func (j *Job) unfinishedDependencies() []string {
	var ids []string
	for _, id := range j.Spec.DependsOn {
		if j.DependsOn[id] && id != records.DependencyListPlaceholder && len(ids) < maxDependenciesShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// MaxEndedDependencies is the number of ended dependencies that are kept however few others remain.
const MaxEndedDependencies = 64

// maxDependenciesShown limits the dependencies shown to a user.
const maxDependenciesShown = 16
