package store

import (
	"encoding/json"
	"slices"
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// jobCache remembers the jobs whose records this node has read or written. An active
// record never changes, and a job that is done stays done. So a transaction that
// guards on the remembered versions of all active jobs that a new one awaits, directly
// or through others, shows in one request that they were accepted and that none is
// cancelled. Read one by one they would use up the users' request budget: the jobs of
// a pipeline are submitted within a second or two.
type jobCache struct {
	jobs *lru.Cache[string, cachedJob]
	// maxGuards is how many conditions a transaction may have.
	maxGuards int
}

// cachedJob is an accepted job that is not cancelled as far as this node knows.
type cachedJob struct {
	// mark is the version of the active record, or 0 if the job is done.
	mark      uint64
	dependsOn []string
}

const (
	// jobsCached bounds the jobs in a cache, and maxCachedDependencies the names that each
	// of them awaits.
	jobsCached            = 2048
	maxCachedDependencies = 32
	// guardsPerOp is how many conditions a transaction may have for each change
	// that the limits allow.
	guardsPerOp = 4
	// ownGuards are the conditions that a new job itself takes.
	ownGuards = 2
)

// newJobCache makes an empty cache.
func newJobCache(lim config.StateLimits) *jobCache {
	jobs, err := lru.New[string, cachedJob](jobsCached)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &jobCache{jobs: jobs, maxGuards: guardsPerOp * lim.TxnOps}
}

// guards returns the conditions under which jobs are accepted and neither they nor any
// that they need is cancelled. It returns false if this node cannot tell.
func (c *jobCache) guards(ids []string) ([]Guard, bool) {
	var guards []Guard
	seen := map[string]bool{}
	for todo := slices.Clone(ids); len(todo) > 0; {
		id := todo[len(todo)-1]
		if todo = todo[:len(todo)-1]; seen[id] {
			continue
		}
		seen[id] = true
		job, ok := c.jobs.Get(id)
		if !ok || len(guards) >= c.maxGuards-ownGuards {
			return nil, false
		}
		if job.mark == 0 {
			continue // done, and with it all that it needed
		}
		guards = append(guards, Guard{Key: ActivePrefix + id, Mark: job.mark})
		todo = append(todo, job.dependsOn...)
	}
	return guards, true
}

// read caches a record that was read.
func (c *jobCache) read(e Entry) {
	switch {
	case c == nil || e.Key == CancelKey:
	case strings.HasPrefix(e.Key, ActivePrefix):
		id := strings.TrimPrefix(e.Key, ActivePrefix)
		if e.Mark != 0 && !isGuest(e) {
			c.add(id, e.Mark, dependenciesOf(e))
		} else {
			c.jobs.Remove(id) // it is over; its final record tells more
		}
	case strings.HasPrefix(e.Key, FinalPrefix):
		var f FinalRecord
		if json.Unmarshal(e.Value, &f) == nil {
			c.ended(strings.TrimPrefix(e.Key, FinalPrefix), f)
		}
	}
}

// ended caches how a job ended. One that is done stays so; one that is cancelled is
// not remembered.
func (c *jobCache) ended(id string, end FinalRecord) {
	if c != nil && end.Phase == api.JobDone {
		c.add(id, 0, dependencySet{})
	}
}

// wrote updates the cache by a transaction that was carried out at a revision.
func (c *jobCache) wrote(txn Txn, ring uint64) {
	if c == nil {
		return
	}
	for _, op := range txn.Ops {
		if rec, ok := op.Value.(ActiveRecord); ok && rec.Spec.ID != "" {
			c.add(rec.Spec.ID, ring, dependencySet{rec.Spec.DependsOn, rec.DependencyList})
		}
	}
}

// add remembers a job, unless it awaits so many that they are listed elsewhere or
// would take much memory.
func (c *jobCache) add(id string, mark uint64, needs dependencySet) {
	if needs.list != nil || len(needs.ids) > maxCachedDependencies {
		return
	}
	job := cachedJob{mark: mark}
	for _, a := range needs.ids {
		job.dependsOn = append(job.dependsOn, strings.Clone(a))
	}
	c.jobs.Add(strings.Clone(id), job)
}
