// Package records holds what ivytrestle keeps in the key-value store: the keys, the values with
// their JSON names, and the transactions by which any node accepts, looks up and cancels jobs.
// What earlier versions wrote stays readable; golden_test.go holds it.
package records

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
)

// Records accepts, cancels and looks up jobs. Every node may do so, whoever
// leads: each change is one guarded transaction.
type Records struct {
	Store kv.Service
	// Limits are the service's; zero: none are known.
	Limits config.StateLimits
	// terminalCache remembers how jobs ended that others await; scans and longLists bound
	// what takes much memory. All may be nil.
	terminalCache    *lru.Cache[string, TerminalRecord]
	scans, longLists chan struct{}
	// derivedWrites bounds the cancellations that are written as they follow from
	// others; nil: none is.
	derivedWrites chan struct{}
	// cache may be nil.
	cache *jobCache
}

// NewRecords makes the Records that serve a node's users.
func NewRecords(s kv.Service, limits config.StateLimits) Records {
	ends, err := lru.New[string, TerminalRecord](maxCachedTerminal)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return Records{Store: s, Limits: limits, terminalCache: ends,
		scans: make(chan struct{}, maxScans), longLists: make(chan struct{}, maxLongLists),
		derivedWrites: make(chan struct{}, 1), cache: newJobCache(limits)}
}

// requestTimeout bounds one request to the service on a user's behalf. What takes two
// of them has it for each: a first that waited for its turn must not be done in
// vain because there is no time left for the second.
const requestTimeout = 800 * time.Millisecond

func (r *Records) getEntry(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, key)
	if err == nil {
		r.cache.applyRead(e)
	}
	return e, err
}

func (r *Records) commit(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := r.Store.Txn(ctx, txn)
	if err == nil && res.Succeeded {
		r.cache.applyWrite(txn, res.Revision)
	}
	return res, err
}

// maxPageEntries is how many keys a range is asked for at a time.
const maxPageEntries = 1000

func (r *Records) readPage(ctx context.Context, prefix, from string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return r.Store.Range(ctx, prefix, from, maxPageEntries)
}

// readRange reads all keys with a prefix.
func (r *Records) readRange(ctx context.Context, prefix string) ([]kv.Entry, error) {
	var entries []kv.Entry
	for from := ""; ; {
		p, err := r.readPage(ctx, prefix, from)
		if err != nil {
			return nil, err
		}
		entries = append(entries, p.Entries...)
		if !p.More || len(p.Entries) == 0 {
			return entries, nil
		}
		from = p.Entries[len(p.Entries)-1].Key
	}
}

// EachKey tells of all keys with a prefix.
func (r *Records) EachKey(ctx context.Context, prefix string, tell func(key string)) error {
	for from := ""; ; {
		p, err := r.readPage(ctx, prefix, from)
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			from = e.Key
			tell(from)
		}
		if !p.More || len(p.Entries) == 0 {
			return nil
		}
	}
}

// maxScans bounds the ranges over all active jobs, and maxLongLists the
// submissions that name many jobs, that are held in memory at the same time.
const (
	maxScans     = 2
	maxLongLists = 4
)

// acquire waits for one of some slots; without any there is no bound.
func acquire(ctx context.Context, slots chan struct{}) (release func(), err error) {
	if slots == nil {
		return func() {}, nil
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: too many at a time", kv.ErrNotApplied)
	}
}
