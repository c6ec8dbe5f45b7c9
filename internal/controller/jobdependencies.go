package controller

import (
	"time"

	"example.org/ivytrestle/internal/records"
)

// dropEndedDependencies frees the names of dependencies that have ended once they are most: a job
// may name thousands of them, and wait long for another.
func (j *job) dropEndedDependencies() {
	if len(j.spec.DependsOn) <= 2*len(j.dependsOn)+maxSingleLookups {
		return
	}
	unfinished, dependsOn := make([]string, 0, len(j.dependsOn)), make(map[string]bool, len(j.dependsOn))
	for _, id := range j.spec.DependsOn {
		if j.dependsOn[id] {
			unfinished = append(unfinished, id)
			dependsOn[id] = true
		}
	}
	j.spec.DependsOn, j.dependsOn = unfinished, dependsOn
}

// recordDependencyEnd keeps when the last of the job's dependencies was done.
func (j *job) recordDependencyEnd(at time.Time) {
	if at.After(j.lastDependencyEnd) {
		j.lastDependencyEnd = at
	}
}

// unfinishedDependencies lists the dependencies that are not done, for the job's user.
func (j *job) unfinishedDependencies() []string {
	var ids []string
	for _, id := range j.spec.DependsOn {
		if j.dependsOn[id] && id != records.DependenciesElsewhere && len(ids) < maxDependenciesShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// maxSingleLookups is how many names of ended dependencies a pending job may keep in any case.
const maxSingleLookups = 64

// maxDependenciesShown bounds the names that a user is shown.
const maxDependenciesShown = 16
