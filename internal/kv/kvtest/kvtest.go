// Package kvtest provides an in-memory key-value store for tests, with scripted faults: it can
// reject requests, lose responses, apply transactions late, and stall watches.
package kvtest

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/kv"
)

// storedValue is the value of a key with its version and lease.
type storedValue struct {
	raw         json.RawMessage
	modRevision uint64
	lease       uint64
}

// logEntry is a change in the log that watches read.
type logEntry struct {
	kv.Event
	key string
}

// Fake is an in-memory kv.Service with scripted faults.
type Fake struct {
	mu          sync.Mutex
	keys        map[string]storedValue
	revision    uint64
	log         []logEntry
	changed     chan struct{}
	leaseTimers map[uint64]*time.Timer
	leaseTTLs   map[uint64]time.Duration
	lastLease   uint64
	down        bool
	delayed     []kv.Txn
	// delayMatch selects the transactions that are delayed until ApplyDelayed.
	delayMatch func(kv.Txn) bool
	// loseResponseMatch selects the transactions that are applied but whose response is lost.
	loseResponseMatch func(kv.Txn) bool
	// watchesStalled keeps watches from returning changes.
	watchesStalled bool
	// maxValueBytes and maxOps are the store's limits; maxOps 0 means no limits.
	maxValueBytes, maxOps int
	// rejectedAsTooLarge lists what was too large, for each request that exceeded the limits.
	rejectedAsTooLarge []string
}

// New returns an empty store.
func New() *Fake {
	return &Fake{
		keys:        map[string]storedValue{},
		revision:    1,
		changed:     make(chan struct{}),
		leaseTimers: map[uint64]*time.Timer{},
		leaseTTLs:   map[uint64]time.Duration{},
	}
}

// SetDown starts or ends an outage. During an outage leases do not expire; at its end each has
// its full TTL again.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	for id, t := range f.leaseTimers {
		if t.Stop(); !down {
			t.Reset(f.leaseTTLs[id])
		}
	}
}

// SetWatchesStalled keeps watches from returning changes while stalled is set.
func (f *Fake) SetWatchesStalled(stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchesStalled = stalled
	f.notifyWatchers()
}

// Delay delays the transactions that match until ApplyDelayed. Their callers get no response.
// A nil match delays no further transactions.
func (f *Fake) Delay(match func(kv.Txn) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayMatch = match
}

// LoseResponses applies the transactions that match but loses the responses. A nil match ends
// this.
func (f *Fake) LoseResponses(match func(kv.Txn) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponseMatch = match
}

// ApplyDelayed applies the delayed transactions, returns their results, and ends Delay.
func (f *Fake) ApplyDelayed() []kv.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	results := make([]kv.Result, 0, len(f.delayed))
	for _, txn := range f.delayed {
		// The caller gets ErrOutcomeUnknown in any case, so an error only
		// leaves an empty result.
		res, _ := f.apply(txn)
		results = append(results, res)
	}
	f.delayed, f.delayMatch = nil, nil
	return results
}

// DelayedCount returns the number of delayed transactions.
func (f *Fake) DelayedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.delayed)
}

// SetLimits makes the store reject, as the real one does, values of more than valueBytes,
// transactions of more than ops operations or comparesPerOp times as many compares, and
// transactions of more than kv.MaxTxnBytes. Values that are already stored are kept.
func (f *Fake) SetLimits(valueBytes, ops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxValueBytes, f.maxOps = valueBytes, ops
}

// RejectedAsTooLarge returns what was too large, for each transaction that was rejected for its
// size.
func (f *Fake) RejectedAsTooLarge() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.rejectedAsTooLarge)
}

// comparesPerOp is how many compares a transaction may have per allowed operation.
const comparesPerOp = 4

// checkLimits returns an error if a transaction exceeds the limits, whether or not its compares
// hold.
func (f *Fake) checkLimits(txn kv.Txn) error {
	if f.maxOps == 0 {
		return nil
	}
	var reason string
	if len(txn.Ops) > f.maxOps {
		reason = fmt.Sprintf("%d operations", len(txn.Ops))
	}
	if len(txn.Compares) > comparesPerOp*f.maxOps {
		reason = fmt.Sprintf("%d compares", len(txn.Compares))
	}
	for _, op := range txn.Ops {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		if op.Put != "" && len(raw) > f.maxValueBytes {
			reason = fmt.Sprintf("%s of %d bytes", op.Put, len(raw))
		}
	}
	encoded, err := json.Marshal(txn)
	if err != nil {
		return err
	}
	if len(encoded) > kv.MaxTxnBytes {
		reason = fmt.Sprintf("transaction of %d bytes", len(encoded))
	}
	if reason == "" {
		return nil
	}
	f.rejectedAsTooLarge = append(f.rejectedAsTooLarge, reason)
	return fmt.Errorf("%w: %s", kv.ErrInvalid, reason)
}

// Has reports whether a key exists.
func (f *Fake) Has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.keys[key]
	return ok
}

// notifyWatchers makes waiting watches read the log again.
func (f *Fake) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// outageError returns the error of every request during an outage, otherwise nil.
func (f *Fake) outageError() error {
	if f.down {
		return kv.ErrNotApplied
	}
	return nil
}

// Get implements kv.Service.
func (f *Fake) Get(_ context.Context, key string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.keys[key]
	return kv.Entry{Key: key, Value: v.raw, ModRevision: v.modRevision, Lease: v.lease}, f.outageError()
}

// Range implements kv.Service.
func (f *Fake) Range(_ context.Context, prefix, from string, limit int) (kv.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := kv.Page{Revision: f.revision}
	for k, v := range f.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			p.Entries = append(p.Entries, kv.Entry{Key: k, Value: v.raw, ModRevision: v.modRevision})
		}
	}
	slices.SortFunc(p.Entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Entries) > limit {
		p.Entries, p.More = p.Entries[:limit], true
	}
	return p, f.outageError()
}

// Txn implements kv.Service.
func (f *Fake) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	f.mu.Lock()
	if err := f.outageError(); err != nil {
		f.mu.Unlock()
		return kv.Result{}, err
	}
	if f.delayMatch != nil && f.delayMatch(txn) {
		f.delayed = append(f.delayed, txn)
		f.mu.Unlock()
		<-ctx.Done()
		return kv.Result{}, kv.ErrOutcomeUnknown
	}
	res, err := f.apply(txn)
	lost := res.Succeeded && f.loseResponseMatch != nil && f.loseResponseMatch(txn)
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return kv.Result{}, kv.ErrOutcomeUnknown
	}
	return res, err
}

// apply applies a transaction if it is within the limits and its compares hold.
func (f *Fake) apply(txn kv.Txn) (kv.Result, error) {
	if err := f.checkLimits(txn); err != nil {
		return kv.Result{}, err
	}
	res := kv.Result{Revision: f.revision}
	for _, compare := range txn.Compares {
		if f.keys[compare.Key].modRevision != compare.ModRevision {
			res.FailedKeys = append(res.FailedKeys, compare.Key)
		}
	}
	if len(res.FailedKeys) > 0 {
		return res, nil
	}
	res.Succeeded = true
	if len(txn.Ops) == 0 {
		return res, nil
	}
	for _, op := range txn.Ops {
		if op.Lease != 0 && f.leaseTimers[op.Lease] == nil {
			return kv.Result{}, kv.ErrNoLease
		}
	}
	f.revision++
	res.Revision = f.revision
	for _, op := range txn.Ops {
		if op.Delete != "" {
			f.remove(op.Delete)
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return kv.Result{}, err
		}
		f.keys[op.Put] = storedValue{raw: raw, modRevision: f.revision, lease: op.Lease}
		f.log = append(f.log, logEntry{
			Event: kv.Event{Put: op.Put, Value: raw, ModRevision: f.revision},
			key:   op.Put,
		})
	}
	f.notifyWatchers()
	return res, nil
}

// remove deletes a key at the current revision.
func (f *Fake) remove(key string) {
	if _, ok := f.keys[key]; ok {
		delete(f.keys, key)
		f.log = append(f.log, logEntry{Event: kv.Event{Delete: key, ModRevision: f.revision}, key: key})
	}
}

// GrantLease implements kv.Service.
func (f *Fake) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.outageError(); err != nil {
		return 0, err
	}
	f.lastLease++
	id := f.lastLease
	f.leaseTTLs[id] = ttl
	f.leaseTimers[id] = time.AfterFunc(ttl, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.leaseTimers, id)
		f.revision++
		for k, v := range f.keys {
			if v.lease == id {
				f.remove(k)
			}
		}
		f.notifyWatchers()
	})
	return id, nil
}

// RenewLease implements kv.Service.
func (f *Fake) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.outageError(); err != nil {
		return err
	}
	t := f.leaseTimers[lease]
	if t == nil {
		return kv.ErrNoLease
	}
	t.Reset(f.leaseTTLs[lease])
	return nil
}

// Watch implements kv.Service.
func (f *Fake) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (kv.Changes, error) {
	timeout := time.NewTimer(block)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		out := kv.Changes{Revision: f.revision}
		for _, c := range f.log {
			if c.ModRevision > from && strings.HasPrefix(c.key, prefix) {
				out.Events = append(out.Events, c.Event)
			}
		}
		ready := len(out.Events) > 0 && !f.watchesStalled && !f.down
		changed := f.changed
		f.mu.Unlock()
		if ready {
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return kv.Changes{Revision: from}, nil
		case <-ctx.Done():
			return kv.Changes{}, kv.ErrOutcomeUnknown
		}
	}
}
