package records

import (
	"encoding/json"
	"slices"
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
)

// jobCache caches the jobs whose records this node has read or written. The record of an active job
// stays the same while its version does, and a job that is done stays done. So one transaction that
// compares the cached versions of all active jobs on which a new job depends, directly or
// indirectly, shows that they were accepted and that none is cancelled. Reading them one by one
// would use up the users' request rate, because the jobs of a pipeline are submitted within one or
// two seconds.
type jobCache struct {
	jobs *lru.Cache[string, cachedJob]
	// maxCompares is how many compares a transaction may have.
	maxCompares int
}

// cachedJob is an accepted job that was not cancelled when its record was cached.
type cachedJob struct {
	// modRevision is the version of the active record; 0 means that the job is done.
	modRevision uint64
	dependsOn   []string
}

const (
	// maxCachedJobs bounds the number of cached jobs.
	maxCachedJobs = 2048
	// maxCachedDependencies bounds the dependencies of a cached job; a job with more is not cached.
	maxCachedDependencies = 32
	// comparesPerOp is how many compares a transaction may have per allowed operation.
	comparesPerOp = 4
	// reservedCompares is how many compares absentCompares takes for the new job.
	reservedCompares = 2
)

// newJobCache returns an empty cache.
func newJobCache(limits config.KVLimits) *jobCache {
	jobs, err := lru.New[string, cachedJob](maxCachedJobs)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return &jobCache{jobs: jobs, maxCompares: comparesPerOp * limits.TxnOps}
}

// compares returns compares that hold only while the given jobs are accepted and neither they nor
// their direct and indirect dependencies are cancelled. It returns false if the cache lacks one of
// these jobs, or if a transaction cannot hold all the compares.
func (c *jobCache) compares(ids []string) ([]kv.Compare, bool) {
	var compares []kv.Compare
	visited := map[string]bool{}
	for pending := slices.Clone(ids); len(pending) > 0; {
		id := pending[len(pending)-1]
		if pending = pending[:len(pending)-1]; visited[id] {
			continue
		}
		visited[id] = true
		job, ok := c.jobs.Get(id)
		if !ok || len(compares) >= c.maxCompares-reservedCompares {
			return nil, false
		}
		if job.modRevision == 0 {
			continue // done, and so are all its dependencies
		}
		compares = append(compares, kv.Compare{Key: ActivePrefix + id, ModRevision: job.modRevision})
		pending = append(pending, job.dependsOn...)
	}
	return compares, true
}

// applyRead updates the cache with a record that was read.
func (c *jobCache) applyRead(e kv.Entry) {
	switch {
	case c == nil || e.Key == CancelKey:
	case strings.HasPrefix(e.Key, ActivePrefix):
		id := strings.TrimPrefix(e.Key, ActivePrefix)
		if e.ModRevision != 0 && !isGuestRecord(e) {
			c.add(id, e.ModRevision, decodeDependencySet(e))
		} else {
			c.jobs.Remove(id) // not active any more; its terminal record has the state
		}
	case strings.HasPrefix(e.Key, TerminalPrefix):
		var terminal TerminalRecord
		if json.Unmarshal(e.Value, &terminal) == nil {
			c.addIfDone(strings.TrimPrefix(e.Key, TerminalPrefix), terminal)
		}
	}
}

// addIfDone caches a job that is done, which is final. It does not cache a cancelled job.
func (c *jobCache) addIfDone(id string, terminal TerminalRecord) {
	if c != nil && terminal.Phase == api.JobDone {
		c.add(id, 0, dependencySet{})
	}
}

// applyWrite caches the active records written by a transaction that was applied at a revision.
func (c *jobCache) applyWrite(txn kv.Txn, revision uint64) {
	if c == nil {
		return
	}
	for _, op := range txn.Ops {
		if rec, ok := op.Value.(ActiveRecord); ok && rec.Spec.ID != "" {
			c.add(rec.Spec.ID, revision, dependencySet{ids: rec.Spec.DependsOn, list: rec.DependencyList})
		}
	}
}

// add caches a job, unless its dependencies are listed in separate records or would take much
// memory.
func (c *jobCache) add(id string, modRevision uint64, set dependencySet) {
	if set.list != nil || len(set.ids) > maxCachedDependencies {
		return
	}
	job := cachedJob{modRevision: modRevision}
	for _, dependency := range set.ids {
		// The clone keeps the cache from holding the buffer of which the name is a part.
		job.dependsOn = append(job.dependsOn, strings.Clone(dependency))
	}
	c.jobs.Add(strings.Clone(id), job)
}
