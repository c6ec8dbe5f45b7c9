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

// jobCache remembers the jobs whose records this node has read or written. An active
// record never changes, and a job that is done stays done. So a transaction that
// guards on the remembered versions of all active jobs that a new one awaits, directly
// or through others, shows in one request that they were accepted and that none is
// cancelled. Read one by one they would use up the users' request budget: the jobs of
// a pipeline are submitted within a second or two.
type jobCache struct {
	jobs *lru.Cache[string, cachedJob]
	// maxCompares is how many conditions a transaction may have.
	maxCompares int
}

// cachedJob is an accepted job that is not cancelled as far as this node knows.
type cachedJob struct {
	// modRevision is the version of the active record, or 0 if the job is done.
	modRevision uint64
	dependsOn   []string
}

const (
	// maxCachedJobs bounds the jobs in a cache, and maxCachedDependencies the names that each
	// of them awaits.
	maxCachedJobs         = 2048
	maxCachedDependencies = 32
	// comparesPerOp is how many conditions a transaction may have for each change
	// that the limits allow.
	comparesPerOp = 4
	// reservedCompares are the conditions that a new job itself takes.
	reservedCompares = 2
)

// newJobCache makes an empty cache.
func newJobCache(limits config.StateLimits) *jobCache {
	jobs, err := lru.New[string, cachedJob](maxCachedJobs)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &jobCache{jobs: jobs, maxCompares: comparesPerOp * limits.TxnOps}
}

// compares returns the conditions under which jobs are accepted and neither they nor any
// that they need is cancelled. It returns false if this node cannot tell.
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
			continue // done, and with it all that it needed
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
			c.add(id, e.ModRevision, dependenciesOf(e))
		} else {
			c.jobs.Remove(id) // it is over; its final record tells more
		}
	case strings.HasPrefix(e.Key, TerminalPrefix):
		var f TerminalRecord
		if json.Unmarshal(e.Value, &f) == nil {
			c.jobEnded(strings.TrimPrefix(e.Key, TerminalPrefix), f)
		}
	}
}

// jobEnded caches how a job ended. One that is done stays so; one that is cancelled is
// not remembered.
func (c *jobCache) jobEnded(id string, end TerminalRecord) {
	if c != nil && end.Phase == api.JobDone {
		c.add(id, 0, dependencySet{})
	}
}

// applyWrite updates the cache by a transaction that was carried out at a revision.
func (c *jobCache) applyWrite(txn kv.Txn, revision uint64) {
	if c == nil {
		return
	}
	for _, op := range txn.Ops {
		if rec, ok := op.Value.(ActiveRecord); ok && rec.Spec.ID != "" {
			c.add(rec.Spec.ID, revision, dependencySet{rec.Spec.DependsOn, rec.DependencyList})
		}
	}
}

// add remembers a job, unless it awaits so many that they are listed elsewhere or
// would take much memory.
func (c *jobCache) add(id string, modRevision uint64, set dependencySet) {
	if set.list != nil || len(set.ids) > maxCachedDependencies {
		return
	}
	job := cachedJob{modRevision: modRevision}
	for _, a := range set.ids {
		job.dependsOn = append(job.dependsOn, strings.Clone(a))
	}
	c.jobs.Add(strings.Clone(id), job)
}
