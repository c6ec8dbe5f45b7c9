// Package records holds what ivytrestle keeps in the key-value store: the keys, the values with
// their JSON names, and the transactions by which any node accepts, looks up and cancels jobs.
// What earlier versions wrote stays readable; golden_test.go holds it.
package records

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
)

// Prefixes of the service's keys. Active and final jobs are apart, so that a
// new leader reads only what still matters.
const (
	ActivePrefix       = "a/"
	TerminalPrefix     = "f/"
	CompletionPrefix   = "p/"
	MachinePrefix      = "m/"
	LeaseRenewalPrefix = "keep/"
	RelayPrefix        = "relay/"
	MachineTypesKey    = "types"
	// CancelKey changes in every transaction that cancels a job. It lies under
	// ActivePrefix, so a watch shows it together with the jobs cancelled.
	CancelKey = ActivePrefix + "!cancel"
)

// ActiveRecord is an accepted job that is not over. It never changes.
type ActiveRecord struct {
	Spec     api.JobSpec `json:"spec"`
	Accepted time.Time   `json:"accepted"`
	// DependencyList tells where the awaited jobs are listed if this record has no room for
	// them. Spec.Awaits then holds only DependenciesElsewhere.
	DependencyList *DependencyList `json:"awaits_list,omitempty"`
	// Lent is set while the job is lent to another cell, and Guest if it runs here for
	// one. Spec is then empty, and the job's description is there.
	Lent  *loan.Lent  `json:"lent,omitempty"`
	Guest *loan.Guest `json:"guest,omitempty"`
	// LoanCount is how often the job has been lent.
	LoanCount int `json:"lends,omitempty"`
}

// isGuestRecord tells whether an active record is of a job that runs for another cell. For
// the users of this one no such job was accepted.
func isGuestRecord(e kv.Entry) bool {
	if !bytes.Contains(e.Value, []byte(`"guest"`)) {
		return false // nearly all
	}
	var rec ActiveRecord
	return json.Unmarshal(e.Value, &rec) == nil && rec.Guest != nil
}

// ErrLent means that a job is lent to another cell, which has yet to confirm that it is
// cancelled. That it is to be is on record.
var ErrLent = errors.New("state service: the job is lent to another cell")

// Fits tells whether an accepted job's record fits a value of so many KiB. The jobs
// that it awaits need not: they may be listed in records of their own.
func Fits(spec *api.JobSpec, valueKB float64) bool {
	rec := ActiveRecord{Spec: *spec, Accepted: time.Unix(0, 1).UTC()}
	return rec.fits(valueKB) || len(spec.DependsOn) > 0 && rec.listedElsewhere(maxDependencyList).fits(valueKB)
}

// fits tells whether the record fits a value of so many KiB; 0: of any size.
func (rec ActiveRecord) fits(valueKB float64) bool {
	spec := &rec.Spec
	// Everything else in a record is bounded, and short.
	long := len(spec.Class) + len(spec.Image) + len(spec.Zone) + len(spec.Team)
	for _, names := range [][]string{spec.Types, spec.DependsOn} {
		for _, name := range names {
			long += len(name) + 3
		}
	}
	capacity := float64(kv.MaxTxnBytes - 2048) // its keys are in the transaction, too
	if valueKB > 0 {
		capacity = min(capacity, valueKB*1024)
	}
	if float64(6*long) < capacity-1024 {
		return true // even if every byte is escaped
	}
	raw, err := json.Marshal(rec)
	return err == nil && float64(len(raw)+32) <= capacity
}

// FitsRecord tells whether an active record fits a value of so many KiB.
func FitsRecord(rec ActiveRecord, valueKB float64) bool {
	raw, err := json.Marshal(rec)
	const margin = 256 // for numbers that may grow
	return err == nil && float64(len(raw)+margin) <= min(valueKB*1024, kv.MaxTxnBytes/2)
}

// TerminalRecord is a job that is over.
type TerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Ended is when the job was done; zero if it is cancelled, or if a version
	// wrote the record that did not tell.
	Ended time.Time `json:"ended,omitzero"`
}

// CompletionRecord holds the done tasks of a part of a job as a bit set.
type CompletionRecord struct {
	Done []byte `json:"done"`
}

// RegistryShardRecord is a shard of the roster: machines that may hold tasks. Machines
// that come together share one, or a large fleet would wait for its turn within
// the write rate, one record each.
type RegistryShardRecord struct {
	Machines []MachineRecord `json:"machines"`
}

// MachineRecord is a machine that may hold tasks.
type MachineRecord struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"memory_gb"`
}

// LeaseRenewalRecord names the machines whose leases a node extends for a leader
// that cannot reach them.
type LeaseRenewalRecord struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// CompletionKey is the key of the part of a job's progress that begins at task.
func CompletionKey(id string, task int) string {
	return CompletionPrefix + id + "/" + strconv.Itoa(task)
}

// ParseCompletionKey is the reverse of CompletionKey.
func ParseCompletionKey(key string) (id string, task int, ok bool) {
	id, first, ok := strings.Cut(strings.TrimPrefix(key, CompletionPrefix), "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(first)
	return id, task, err == nil && task >= 0
}

// JobState is the state reported to users of a job that is over.
func (f TerminalRecord) JobState(id string) api.JobState {
	st := api.JobState{ID: id, Phase: f.Phase}
	if f.Phase == api.JobDone {
		st.Done, st.Ended = f.Tasks, f.Ended
	}
	return st
}

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

// maxCachedTerminal is how many ends are remembered: more than one submission can name.
const maxCachedTerminal = 8192

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

// Accept makes a job's record. A job known already keeps its state, which is
// returned with created false.
func (r *Records) Accept(ctx context.Context, spec *api.JobSpec, now time.Time) (st api.JobState, created bool, err error) {
	a := r.newAcceptance(spec, now)
	if r.acceptInOneTxn(ctx, a) {
		return api.JobState{ID: spec.ID, Phase: api.JobPending}, true, nil
	}
	err = kv.Retry(ctx, func() error {
		st, created, err = r.tryAccept(ctx, a)
		return err
	})
	return st, created, err
}

// acceptInOneTxn accepts a job that awaits others in one transaction if this node has
// read or written the records of those. Where it fails or its outcome is unknown, all
// is looked at one by one.
func (r *Records) acceptInOneTxn(ctx context.Context, a *acceptance) bool {
	id := a.spec.ID
	if r.cache == nil || len(a.spec.DependsOn) == 0 || a.list != nil {
		return false
	}
	dependencies, ok := r.cache.compares(a.spec.DependsOn)
	if !ok {
		return false
	}
	res, err := r.commit(ctx, kv.Txn{
		Compares: append([]kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}, dependencies...),
		Ops:      []kv.Op{{Put: ActivePrefix + id, Value: a.record}},
	})
	return err == nil && res.Succeeded
}

// Lookup reads a job's record. A job that is active is reported as pending, since
// the record does not hold what runs.
func (r *Records) Lookup(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		st, found, err = r.tryLookup(ctx, id)
		return err
	})
	return st, found, err
}

// tryLookup reads the active record before the final one: a job that moves
// between the two reads is then seen at least once.
func (r *Records) tryLookup(ctx context.Context, id string) (api.JobState, bool, error) {
	if r.isPendingByCache(ctx, id) {
		return api.JobState{ID: id, Phase: api.JobPending}, true, nil
	}
	e, err := r.getEntry(ctx, ActivePrefix+id)
	if err != nil {
		return api.JobState{}, false, err
	}
	if e.ModRevision == 0 || isGuestRecord(e) {
		return r.TerminalState(ctx, id)
	}
	pending, err := r.cancelPending(ctx, e)
	if err != nil {
		return api.JobState{}, false, err
	}
	if pending {
		return r.deriveCancelled(ctx, id), true, nil
	}
	return api.JobState{ID: id, Phase: api.JobPending}, true, nil
}

// deriveCancelled returns the state of a job that needs a cancelled one. All who read the
// records come to it, whether or not it is written yet: a cancelled job stays cancelled,
// and what needs it never begins. While nobody leads, or a leader that knows nothing of
// awaited jobs, nobody else writes it; but one at a time, so that thousands of such jobs
// leave submissions their part of the write rate.
func (r *Records) deriveCancelled(ctx context.Context, id string) api.JobState {
	select {
	case r.derivedWrites <- struct{}{}:
		go func() {
			defer func() { <-r.derivedWrites }()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			defer cancel()
			r.Cancel(ctx, id) // what fails is tried again when somebody asks again
		}()
	default:
	}
	return api.JobState{ID: id, Phase: api.JobCancelled, Derived: true}
}

// isPendingByCache tells whether a job that awaits others is active and nothing that it needs
// is over: one comparison shows it, if this node has read or written their records.
// Otherwise it returns false, and all is to be read.
func (r *Records) isPendingByCache(ctx context.Context, id string) bool {
	if r.cache == nil {
		return false
	}
	compares, ok := r.cache.compares([]string{id})
	if !ok || len(compares) < 2 {
		return false // one read tells as much
	}
	res, err := r.commit(ctx, kv.Txn{Compares: compares})
	return err == nil && res.Succeeded
}

// TerminalState reads a job's final record.
func (r *Records) TerminalState(ctx context.Context, id string) (api.JobState, bool, error) {
	end, found, err := r.terminalRecord(ctx, id)
	if err != nil || !found {
		return api.JobState{}, false, err
	}
	return end.JobState(id), true, nil
}

func (r *Records) terminalRecord(ctx context.Context, id string) (end TerminalRecord, found bool, err error) {
	e, err := r.getEntry(ctx, TerminalPrefix+id)
	if err != nil || e.ModRevision == 0 {
		return end, false, err
	}
	if err := json.Unmarshal(e.Value, &end); err != nil {
		return end, false, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return end, true, nil
}

// Cancel ends a job unless it is over. It returns the job's final state.
func (r *Records) Cancel(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = kv.Retry(ctx, func() error {
		e, err := r.getEntry(ctx, ActivePrefix+id)
		if err != nil {
			return err
		}
		if e.ModRevision == 0 {
			st, found, err = r.TerminalState(ctx, id)
			return err
		}
		var rec ActiveRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		if rec.Guest != nil {
			st, found, err = r.TerminalState(ctx, id)
			return err
		}
		if rec.Lent != nil {
			return r.cancelLent(ctx, e, rec)
		}
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: rec.Spec.Tasks}
		res, err := r.commit(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}},
			// The cancel key comes first: a watch then tells why the record
			// goes before it tells that it is gone.
			Ops: []kv.Op{
				{Put: CancelKey, Value: id},
				{Put: TerminalPrefix + id, Value: terminal},
				{Delete: e.Key},
			},
		})
		if err != nil {
			return err
		}
		if !res.Succeeded {
			return fmt.Errorf("%w: job %s changed meanwhile", kv.ErrOutcomeUnknown, id)
		}
		st, found = terminal.JobState(id), true
		return nil
	})
	return st, found, err
}

// cancelLent notes that a lent job is to be cancelled. Its user is told only once the cell
// that has it has recorded that, and its tasks are gone there.
func (r *Records) cancelLent(ctx context.Context, e kv.Entry, rec ActiveRecord) error {
	if rec.Lent.Cancel {
		return ErrLent
	}
	asked := *rec.Lent
	asked.Cancel = true
	rec.Lent = &asked
	res, err := r.commit(ctx, kv.Txn{Compares: []kv.Compare{{Key: e.Key, ModRevision: e.ModRevision}}, Ops: []kv.Op{{Put: e.Key, Value: rec}}})
	if err != nil {
		return err
	}
	if !res.Succeeded {
		return fmt.Errorf("%w: %s changed meanwhile", kv.ErrOutcomeUnknown, e.Key)
	}
	return ErrLent
}
