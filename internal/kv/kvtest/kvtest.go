// Package kvtest is a stand-in for the state service that tests script:
// it can refuse, lose answers, and carry transactions out late.
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

type storedValue struct {
	raw         json.RawMessage
	modRevision uint64
	lease       uint64
}

type change struct {
	kv.Event
	key string
}

// Fake is a state service in memory.
type Fake struct {
	mu             sync.Mutex
	keys           map[string]storedValue
	revision       uint64
	log            []change
	changed        chan struct{}
	leases         map[uint64]*time.Timer
	leaseLifetimes map[uint64]time.Duration
	lastLease      uint64
	down           bool
	delayed        []kv.Txn
	// delayMatch decides which transactions are kept back.
	delayMatch func(kv.Txn) bool
	// loseResponseMatch decides whose answers are lost after they are carried out.
	loseResponseMatch func(kv.Txn) bool
	// blind keeps watches from seeing anything.
	blind bool
	// maxValueBytes and ops are the service's limits; 0: none. tooLarge tells what
	// was beyond them.
	maxValueBytes, maxOps int
	tooLarge              []string
}

// New makes an empty store.
func New() *Fake {
	return &Fake{keys: map[string]storedValue{}, changed: make(chan struct{}), revision: 1,
		leases: map[uint64]*time.Timer{}, leaseLifetimes: map[uint64]time.Duration{}}
}

// SetDown makes an outage begin or end. During an outage leases do not run;
// after it they have their full time again.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	for id, t := range f.leases {
		if t.Stop(); !down {
			t.Reset(f.leaseLifetimes[id])
		}
	}
}

// SetBlind keeps watches from seeing changes until it is lifted.
func (f *Fake) SetBlind(blind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blind = blind
	f.notifyWatchers()
}

// Hold keeps back the transactions that match; their callers get no answer.
func (f *Fake) Hold(match func(kv.Txn) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayMatch = match
}

// Lose carries matching transactions out but loses their answers.
func (f *Fake) Lose(match func(kv.Txn) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponseMatch = match
}

// Release carries out what was held back, late, and tells the results.
func (f *Fake) Release() []kv.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kv.Result
	for _, txn := range f.delayed {
		res, _ := f.apply(txn)
		out = append(out, res)
	}
	f.delayed, f.delayMatch = nil, nil
	return out
}

// Held is the number of transactions kept back.
func (f *Fake) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.delayed)
}

// SetLimits has the service refuse values of more bytes, and transactions of
// more changes or of more than four times as many conditions, as the real one
// does. What is stored stays.
func (f *Fake) SetLimits(valueBytes, ops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxValueBytes, f.maxOps = valueBytes, ops
}

// TooLarge tells what was refused for its size, and why.
func (f *Fake) TooLarge() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.tooLarge)
}

// checkLimits refuses what is beyond the limits, whatever its conditions.
func (f *Fake) checkLimits(txn kv.Txn) error {
	if f.maxOps == 0 {
		return nil
	}
	var why string
	if len(txn.Ops) > f.maxOps {
		why = fmt.Sprintf("%d changes", len(txn.Ops))
	}
	if len(txn.Compares) > 4*f.maxOps {
		why = fmt.Sprintf("%d conditions", len(txn.Compares))
	}
	for _, op := range txn.Ops {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		if op.Put != "" && len(raw) > f.maxValueBytes {
			why = fmt.Sprintf("%s of %d bytes", op.Put, len(raw))
		}
	}
	all, err := json.Marshal(txn)
	if err != nil {
		return err
	}
	if len(all) > kv.MaxTxnBytes {
		why = fmt.Sprintf("%d bytes in all", len(all))
	}
	if why == "" {
		return nil
	}
	f.tooLarge = append(f.tooLarge, why)
	return fmt.Errorf("%w: %s", kv.ErrInvalid, why)
}

// Has tells whether a key exists.
func (f *Fake) Has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.keys[key]
	return ok
}

func (f *Fake) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) outageError() error {
	if f.down {
		return kv.ErrNotApplied
	}
	return nil
}

// Get implements store.Service.
func (f *Fake) Get(_ context.Context, key string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.keys[key]
	return kv.Entry{Key: key, Value: v.raw, ModRevision: v.modRevision, Lease: v.lease}, f.outageError()
}

// Range implements store.Service.
func (f *Fake) Range(_ context.Context, prefix, from string, most int) (kv.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := kv.Page{Revision: f.revision}
	for k, v := range f.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			p.Entries = append(p.Entries, kv.Entry{Key: k, Value: v.raw, ModRevision: v.modRevision})
		}
	}
	slices.SortFunc(p.Entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Entries) > most {
		p.Entries, p.More = p.Entries[:most], true
	}
	return p, f.outageError()
}

// Txn implements store.Service.
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

func (f *Fake) apply(txn kv.Txn) (kv.Result, error) {
	if err := f.checkLimits(txn); err != nil {
		return kv.Result{}, err
	}
	res := kv.Result{Revision: f.revision}
	for _, g := range txn.Compares {
		if f.keys[g.Key].modRevision != g.ModRevision {
			res.FailedKeys = append(res.FailedKeys, g.Key)
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
		if op.Lease != 0 && f.leases[op.Lease] == nil {
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
		f.keys[op.Put] = storedValue{raw, f.revision, op.Lease}
		f.log = append(f.log, change{kv.Event{Put: op.Put, Value: raw, ModRevision: f.revision}, op.Put})
	}
	f.notifyWatchers()
	return res, nil
}

func (f *Fake) remove(key string) {
	if _, ok := f.keys[key]; ok {
		delete(f.keys, key)
		f.log = append(f.log, change{kv.Event{Delete: key, ModRevision: f.revision}, key})
	}
}

// GrantLease implements store.Service.
func (f *Fake) GrantLease(_ context.Context, life time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.outageError(); err != nil {
		return 0, err
	}
	f.lastLease++
	id := f.lastLease
	f.leaseLifetimes[id] = life
	f.leases[id] = time.AfterFunc(life, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.leases, id)
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

// RenewLease implements store.Service.
func (f *Fake) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.outageError(); err != nil {
		return err
	}
	t := f.leases[lease]
	if t == nil {
		return kv.ErrNoLease
	}
	t.Reset(f.leaseLifetimes[lease])
	return nil
}

// Watch implements store.Service.
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
		ready := len(out.Events) > 0 && !f.blind && !f.down
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
