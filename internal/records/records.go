// Package records holds what ivytrestle keeps in the key-value store: the keys, the values with
// their JSON names, and the transactions by which any node accepts, looks up and cancels jobs.
// What earlier versions wrote stays readable; golden_test.go checks it.
//
// Every exported operation is retried as a whole by kv.Retry, here and nowhere deeper. Each is
// idempotent: where the outcome of a transaction is unknown, the retry reads the job's records
// and finds what was applied.
package records

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
)

// Records accepts, cancels and looks up jobs. Every node may do so, whichever leads: each
// change is one transaction with compares.
type Records struct {
	Store kv.Service
	// Limits are those of the store; zero: none are known.
	Limits config.KVLimits
	// terminalCache holds how dependencies ended; scans and longListSlots bound the
	// operations that take much memory. All three may be nil.
	terminalCache            *lru.Cache[string, TerminalRecord]
	scanSlots, longListSlots chan struct{}
	// derivedWriteSlots bounds the cancellations that are written because they follow from
	// others; nil: none is written.
	derivedWriteSlots chan struct{}
	// cache may be nil.
	cache *jobCache
}

const (
	// maxConcurrentScans bounds the ranges over all active jobs that are held in memory at a time.
	maxConcurrentScans = 2
	// maxConcurrentLongLists bounds the submissions with many dependencies at a time.
	maxConcurrentLongLists = 4
	// maxConcurrentDerivedWrites bounds the derived cancellations that are written at a time, so
	// that thousands of them leave submissions their part of the write rate.
	maxConcurrentDerivedWrites = 1
)

// NewRecords makes the Records that serve a node's users.
func NewRecords(s kv.Service, limits config.KVLimits) Records {
	terminal, err := lru.New[string, TerminalRecord](maxCachedTerminalRecords)
	if err != nil {
		panic(err) // only for a size that is not positive
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

// requestTimeout bounds one request to the store on a user's behalf. An operation of two
// requests has it for each: if the first waits long for the request rate, its result must
// not be lost because no time is left for the second.
const requestTimeout = 800 * time.Millisecond

// getEntry reads a key and caches its record.
func (r *Records) getEntry(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, key)
	if err == nil {
		r.cache.applyRead(e)
	}
	return e, err
}

// commit commits a transaction and caches the records that it has written.
func (r *Records) commit(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := r.Store.Txn(ctx, txn)
	if err == nil && res.Succeeded {
		r.cache.applyWrite(txn, res.Revision)
	}
	return res, err
}

// conflictError is the error of a transaction whose compares failed because a key changed
// since it was read. Like an unknown outcome it is resolved by a retry, which reads again.
func conflictError(key string) error {
	return fmt.Errorf("%w: %s changed since it was read", kv.ErrOutcomeUnknown, key)
}

// wrapError adds to an error which operation failed for which job.
func wrapError(operation, id string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s job %s: %w", operation, id, err)
}

// maxPageEntries is how many keys of a range are read at a time.
const maxPageEntries = 1000

// readPage reads the part of a range that begins after from. It has the time of two
// requests, for it may hold many.
func (r *Records) readPage(ctx context.Context, prefix, from string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return r.Store.Range(ctx, prefix, from, maxPageEntries)
}

// forEachEntry calls visit for all entries with a prefix, in the order of their keys.
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

// ForEachKey calls visit for all keys with a prefix, in their order.
func (r *Records) ForEachKey(ctx context.Context, prefix string, visit func(key string)) error {
	return r.forEachEntry(ctx, prefix, func(e kv.Entry) { visit(e.Key) })
}

// acquireSlot waits for one of some slots; without any there is no bound.
func acquireSlot(ctx context.Context, slots chan struct{}) (release func(), err error) {
	if slots == nil {
		return func() {}, nil
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: too many requests at a time", kv.ErrNotApplied)
	}
}
