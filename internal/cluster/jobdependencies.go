package cluster

import (
	"time"

	"example.org/ivytrestle/internal/records"
)

// DropEndedDependencies frees the names of dependencies that have ended once they are most: a job
// may name thousands of them, and wait long for another.
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

// RecordDependencyEnd keeps when the last of the job's dependencies was done.
func (j *Job) RecordDependencyEnd(at time.Time) {
	if at.After(j.LastDependencyEnd) {
		j.LastDependencyEnd = at
	}
}

// unfinishedDependencies lists the dependencies that are not done, for the job's user.
func (j *Job) unfinishedDependencies() []string {
	var ids []string
	for _, id := range j.Spec.DependsOn {
		if j.DependsOn[id] && id != records.DependencyListPlaceholder && len(ids) < maxDependenciesShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// MaxEndedDependencies is how many names of ended dependencies a pending job may keep in any case.
const MaxEndedDependencies = 64

// maxDependenciesShown bounds the names that a user is shown.
const maxDependenciesShown = 16
