// Package records defines what ivytrestle keeps in the key-value store: the keys, the values with
// their JSON names, and the transactions with which any node accepts, looks up and cancels jobs.
// Records written by earlier versions must stay readable; golden_test.go checks this.
//
// Accept, Cancel and Lookup are retried as a whole with kv.Retry; the functions that they call
// never retry. Accept, Cancel and Lookup are idempotent: if the outcome of a transaction is unknown,
// the next attempt reads the job's records and finds what was applied.
package records

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
)

// Records accepts, cancels and looks up jobs. Every node may do so, whether or not it leads:
// each change is one transaction with compares.
type Records struct {
	Store kv.Service
	// Limits are the store's limits; zero values are unknown limits.
	Limits config.KVLimits
	// terminalCache holds the terminal records of dependencies. scanSlots and longListSlots
	// bound the concurrent operations that take much memory. All three may be nil: then nothing
	// is cached or bounded.
	terminalCache            *lru.Cache[string, TerminalRecord]
	scanSlots, longListSlots chan struct{}
	// derivedWriteSlots bounds the concurrent writes of derived cancellations, those of jobs
	// that depend on a cancelled one. If it is nil, none is written.
	derivedWriteSlots chan struct{}
	// cache may be nil: then jobs are not cached.
	cache *jobCache
}

const (
	// maxConcurrentScans bounds how many scans over all active jobs hold their results in memory.
	maxConcurrentScans = 2
	// maxConcurrentLongLists bounds the concurrent submissions with many dependencies.
	maxConcurrentLongLists = 4
	// maxConcurrentDerivedWrites bounds the concurrent writes of derived cancellations, so that
	// thousands of them leave submissions their share of the write rate.
	maxConcurrentDerivedWrites = 1
)

// NewRecords returns the Records that serve a node's users.
func NewRecords(s kv.Service, limits config.KVLimits) Records {
	terminal, err := lru.New[string, TerminalRecord](maxCachedTerminalRecords)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return Records{
		Store:             s,
		Limits:            limits,
		terminalCache:     terminal,
		scanSlots:         make(chan struct{}, maxConcurrentScans),
		longListSlots:     make(chan struct{}, maxConcurrentLongLists),
		derivedWriteSlots: make(chan struct{}, maxConcurrentDerivedWrites),
		cache:             newJobCache(limits),
	}
}

// requestTimeout bounds one request to the store on a user's behalf. Each request of an operation
// has the full timeout: if the first waits long for the request rate, its result must not be lost
// because no time is left for the second.
const requestTimeout = 800 * time.Millisecond

// getEntry reads a key and updates the job cache with its record.
func (r *Records) getEntry(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, key)
	if err == nil {
		r.cache.applyRead(e)
	}
	return e, err
}

// commit commits a transaction and adds the records that it wrote to the job cache.
func (r *Records) commit(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := r.Store.Txn(ctx, txn)
	if err == nil && res.Succeeded {
		r.cache.applyWrite(txn, res.Revision)
	}
	return res, err
}

// conflictError returns the error of a transaction whose compares failed because a key changed
// since it was read. It wraps kv.ErrOutcomeUnknown, so that kv.Retry reads the key again.
func conflictError(key string) error {
	return fmt.Errorf("%w: key %s changed since it was read", kv.ErrOutcomeUnknown, key)
}

// wrapError adds the operation that failed and its job to an error.
func wrapError(operation, id string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s job %s: %w", operation, id, err)
}

// maxPageEntries is how many keys of a range are read per request.
const maxPageEntries = 1000

// readPage reads the page of a range that begins after from. Its timeout is doubled because a page
// may be large.
func (r *Records) readPage(ctx context.Context, prefix, from string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return r.Store.Range(ctx, prefix, from, maxPageEntries)
}

// forEachEntry calls visit for each entry with a prefix, in key order.
func (r *Records) forEachEntry(ctx context.Context, prefix string, visit func(kv.Entry)) error {
	for from := ""; ; {
		page, err := r.readPage(ctx, prefix, from)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			from = e.Key
			visit(e)
		}
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
	}
}

// readRange reads all entries with a prefix.
func (r *Records) readRange(ctx context.Context, prefix string) ([]kv.Entry, error) {
	var entries []kv.Entry
	err := r.forEachEntry(ctx, prefix, func(e kv.Entry) { entries = append(entries, e) })
	if err != nil {
		return nil, err
	}
	return entries, nil
}

// ForEachKey calls visit for each key with a prefix, in key order.
func (r *Records) ForEachKey(ctx context.Context, prefix string, visit func(key string)) error {
	return r.forEachEntry(ctx, prefix, func(e kv.Entry) { visit(e.Key) })
}

// acquireSlot waits for a free slot and returns the function that releases it. If slots is nil,
// there is no bound.
func acquireSlot(ctx context.Context, slots chan struct{}) (release func(), err error) {
	if slots == nil {
		return func() {}, nil
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: too many concurrent requests", kv.ErrNotApplied)
	}
}
