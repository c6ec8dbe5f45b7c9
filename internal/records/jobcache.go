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

// jobCache holds the jobs whose records this node has read or written. The record of an
// active job never changes while it keeps its version, and a job that is done stays done.
// So a transaction that compares the cached versions of all active jobs that a new one
// depends on, directly or indirectly, shows in one request that they were accepted and that
// none is cancelled. Reading them one by one would use up the users' request rate: the jobs
// of a pipeline are submitted within a second or two.
type jobCache struct {
	jobs *lru.Cache[string, cachedJob]
	// maxCompares is how many compares a transaction may have.
	maxCompares int
}

// cachedJob is an accepted job that was not cancelled when its record was cached.
type cachedJob struct {
	// ModRevision is the version of the active record, or 0 if the job is done.
	modRevision uint64
	dependsOn   []string
}

const (
	// maxCachedJobs bounds the jobs in a cache, and maxCachedDependencies the
	// dependencies of each.
	maxCachedJobs         = 2048
	maxCachedDependencies = 32
	// comparesPerOp is how many compares a transaction may have for each operation
	// that the limits allow.
	comparesPerOp = 4
	// reservedCompares are the compares that a new job itself takes.
	reservedCompares = 2
)

// newJobCache makes an empty cache.
func newJobCache(limits config.KVLimits) *jobCache {
	jobs, err := lru.New[string, cachedJob](maxCachedJobs)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &jobCache{jobs: jobs, maxCompares: comparesPerOp * limits.TxnOps}
}

// compares returns the compares that hold only while some jobs are accepted and neither they
// nor any of their dependencies is cancelled. It returns false if the cache lacks one of
// those, or if they are too many for a transaction.
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

// applyRead caches a record that was read.
func (c *jobCache) applyRead(e kv.Entry) {
	switch {
	case c == nil || e.Key == CancelKey:
	case strings.HasPrefix(e.Key, ActivePrefix):
		id := strings.TrimPrefix(e.Key, ActivePrefix)
		if e.ModRevision != 0 && !isGuestRecord(e) {
			c.add(id, e.ModRevision, decodeDependencySet(e))
		} else {
			c.jobs.Remove(id) // it has ended; its terminal record says how
		}
	case strings.HasPrefix(e.Key, TerminalPrefix):
		var terminal TerminalRecord
		if json.Unmarshal(e.Value, &terminal) == nil {
			c.addIfDone(strings.TrimPrefix(e.Key, TerminalPrefix), terminal)
		}
	}
}

// addIfDone caches that a job is done, which it stays. A cancelled job is not cached.
func (c *jobCache) addIfDone(id string, terminal TerminalRecord) {
	if c != nil && terminal.Phase == api.JobDone {
		c.add(id, 0, dependencySet{})
	}
}

// applyWrite caches the active records of a transaction that was applied at a revision.
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

// add caches a job, unless its dependencies are listed elsewhere or would take much memory.
func (c *jobCache) add(id string, modRevision uint64, set dependencySet) {
	if set.list != nil || len(set.ids) > maxCachedDependencies {
		return
	}
	job := cachedJob{modRevision: modRevision}
	for _, dependency := range set.ids {
		// A clone, so that the cache does not keep in memory what the name is a part of.
		job.dependsOn = append(job.dependsOn, strings.Clone(dependency))
	}
	c.jobs.Add(strings.Clone(id), job)
}
