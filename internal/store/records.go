package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Prefixes of the service's keys. Active and final jobs are apart, so that a
// new leader reads only what still matters.
const (
	ActivePrefix         = "a/"
	FinalPrefix          = "f/"
	ProgressPrefix       = "p/"
	MachinePrefix        = "m/"
	LeaseExtensionPrefix = "keep/"
	RelayPrefix          = "relay/"
	TypesKey             = "types"
	// CancelKey changes in every transaction that cancels a job. It lies under
	// ActivePrefix, so a watch shows it together with the jobs cancelled.
	CancelKey = ActivePrefix + "!cancel"
)

// ActiveRecord is an accepted job that is not over. It never changes.
type ActiveRecord struct {
	Spec     api.JobSpec `json:"spec"`
	Accepted time.Time   `json:"accepted"`
}

// Fits tells whether an accepted job's record fits a value of so many KiB.
func Fits(spec *api.JobSpec, valueKB float64) bool {
	// Everything else in a record is bounded, and short.
	long := len(spec.Class) + len(spec.Image) + len(spec.Zone) + len(spec.Team)
	for _, names := range [][]string{spec.Types, spec.Awaits} {
		for _, name := range names {
			long += len(name) + 3
		}
	}
	room := min(valueKB*1024, MaxTxnBytes-2048) // its keys are in the transaction, too
	if float64(6*long) < room-1024 {
		return true // even if every byte is escaped
	}
	raw, err := json.Marshal(ActiveRecord{Spec: *spec, Accepted: time.Unix(0, 1).UTC()})
	return err == nil && float64(len(raw)+32) <= room
}

// FinalRecord is a job that is over.
type FinalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

// ProgressRecord holds the done tasks of a part of a job as a bit set.
type ProgressRecord struct {
	Done []byte `json:"done"`
}

// RosterRecord is a shard of the roster: machines that may hold tasks. Machines
// that come together share one, or a large fleet would wait for its turn within
// the write rate, one record each.
type RosterRecord struct {
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

// LeaseExtensionRecord names the machines whose leases a node extends for a leader
// that cannot reach them.
type LeaseExtensionRecord struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// ProgressKey is the key of the part of a job's progress that begins at task.
func ProgressKey(id string, task int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(task)
}

// ParseProgressKey is the reverse of ProgressKey.
func ParseProgressKey(key string) (id string, task int, ok bool) {
	id, first, ok := strings.Cut(strings.TrimPrefix(key, ProgressPrefix), "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(first)
	return id, task, err == nil && task >= 0
}

// FinalState is what a user is told of a job that is over.
func (f FinalRecord) FinalState(id string) api.JobState {
	st := api.JobState{ID: id, Phase: f.Phase}
	if f.Phase == api.JobDone {
		st.Done = f.Tasks
	}
	return st
}

// Records accepts, cancels and looks up jobs. Every node may do so, whoever
// leads: each change is one guarded transaction.
type Records struct {
	Store Service
}

// tryTimeout bounds one request to the service on a user's behalf. What takes two
// of them has it for each: a first that waited for its turn must not be done in
// vain because there is no time left for the second.
const tryTimeout = 800 * time.Millisecond

func (r *Records) get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return r.Store.Get(ctx, key)
}

func (r *Records) txn(ctx context.Context, txn Txn) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return r.Store.Txn(ctx, txn)
}

// Accept makes a job's record. A job known already keeps its state, which is
// returned with created false.
func (r *Records) Accept(ctx context.Context, spec *api.JobSpec, now time.Time) (st api.JobState, created bool, err error) {
	err = retry(ctx, func() error {
		txn := Txn{
			Guards: []Guard{{ActivePrefix + spec.ID, 0}, {FinalPrefix + spec.ID, 0}},
			Ops:    []Op{{Put: ActivePrefix + spec.ID, Value: ActiveRecord{Spec: *spec, Accepted: now.UTC()}}},
		}
		first := api.JobState{ID: spec.ID, Phase: api.JobPending}
		if len(spec.Awaits) > 0 {
			withdrawn, err := r.awaited(ctx, spec.Awaits)
			if errors.Is(err, errNeverAccepted) {
				// What is known already keeps its state whatever it names.
				known, found, lerr := r.lookup(ctx, spec.ID)
				if lerr == nil && found {
					st = known
					return nil
				}
				return cmp.Or(lerr, err)
			}
			if err != nil {
				return err
			}
			// One that is cancelled from now on finds the job among those that
			// need it, whoever leads then.
			if withdrawn {
				final := FinalRecord{Phase: api.JobWithdrawn, Tasks: spec.Tasks}
				txn.Ops = []Op{{Put: FinalPrefix + spec.ID, Value: final}}
				first = final.FinalState(spec.ID)
			}
		}
		res, err := r.txn(ctx, txn)
		if err != nil {
			return err
		}
		if res.OK {
			st, created = first, true
			return nil
		}
		// Known already; perhaps by this very transaction, whose answer
		// was lost.
		var found bool
		st, found, err = r.lookup(ctx, spec.ID)
		if err == nil && !found {
			err = fmt.Errorf("%w: job %s changed meanwhile", ErrUnknown, spec.ID)
		}
		return err
	})
	return st, created, err
}

// Lookup reads a job's record. A job that is active is told as pending, since
// the record does not hold what runs.
func (r *Records) Lookup(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = retry(ctx, func() error {
		st, found, err = r.lookup(ctx, id)
		return err
	})
	return st, found, err
}

// lookup reads the active record before the final one: a job that moves
// between the two reads is then seen at least once.
func (r *Records) lookup(ctx context.Context, id string) (api.JobState, bool, error) {
	e, err := r.get(ctx, ActivePrefix+id)
	if err != nil {
		return api.JobState{}, false, err
	}
	if e.Mark == 0 {
		return r.Final(ctx, id)
	}
	doomed, err := r.doomed(ctx, e)
	if err != nil {
		return api.JobState{}, false, err
	}
	if doomed {
		// While nobody leads, nobody else does this.
		return r.Cancel(ctx, id)
	}
	return api.JobState{ID: id, Phase: api.JobPending}, true, nil
}

// mostAwaited is how many awaited jobs are read one by one; more are looked for
// among all that are active.
const mostAwaited = 24

// errNeverAccepted means that a job names one that nobody has accepted.
var errNeverAccepted = errors.New("state service: never accepted")

// NeverAcceptedError names a job that another one awaits and nobody has accepted.
type NeverAcceptedError struct{ ID string }

func (e *NeverAcceptedError) Error() string { return "awaits " + e.ID + ", which was never accepted" }

// Is makes it an errNeverAccepted.
func (e *NeverAcceptedError) Is(target error) bool { return target == errNeverAccepted }

// awaited looks whether jobs were accepted and whether one of them is cancelled, or
// is to be with one that it needs itself.
func (r *Records) awaited(ctx context.Context, ids []string) (withdrawn bool, err error) {
	active := map[string]Entry{}
	if len(ids) > mostAwaited {
		if active, err = r.allActive(ctx); err != nil {
			return false, err
		}
	}
	for _, id := range ids {
		e, ok := active[id]
		if !ok {
			if e, err = r.get(ctx, ActivePrefix+id); err != nil {
				return false, err
			}
		}
		if e.Mark != 0 {
			doomed, err := r.doomed(ctx, e)
			if err != nil {
				return false, err
			}
			withdrawn = withdrawn || doomed
			continue
		}
		st, found, err := r.Final(ctx, id)
		if err != nil {
			return false, err
		}
		if !found {
			return false, &NeverAcceptedError{id}
		}
		withdrawn = withdrawn || st.Phase == api.JobWithdrawn
	}
	return withdrawn, nil
}

func (r *Records) allActive(ctx context.Context) (map[string]Entry, error) {
	all := map[string]Entry{}
	for from := ""; ; {
		ctx, cancel := context.WithTimeout(ctx, 2*tryTimeout)
		p, err := r.Store.Range(ctx, ActivePrefix, from, 500)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, e := range p.Rows {
			all[strings.TrimPrefix(e.Key, ActivePrefix)] = e
			from = e.Key
		}
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
	}
}

// mostSearched bounds how many jobs are looked at to find whether one is cancelled
// that another needs. A leader does so without bound, from its memory.
const mostSearched = 64

// doomed tells whether an active job needs one, directly or through others, that is
// cancelled.
func (r *Records) doomed(ctx context.Context, e Entry) (bool, error) {
	seen := map[string]bool{}
	for todo := awaitsOf(e); len(todo) > 0 && len(seen) < mostSearched; {
		id := todo[0]
		if todo = todo[1:]; seen[id] {
			continue
		}
		seen[id] = true
		a, err := r.get(ctx, ActivePrefix+id)
		if err != nil {
			return false, err
		}
		if a.Mark != 0 {
			todo = append(todo, awaitsOf(a)...)
			continue
		}
		st, _, err := r.Final(ctx, id)
		if err != nil {
			return false, err
		}
		if st.Phase == api.JobWithdrawn {
			return true, nil
		}
	}
	return false, nil
}

// awaitsOf are the jobs that an active job needs.
func awaitsOf(e Entry) []string {
	if !bytes.Contains(e.Value, []byte(`"Awaits"`)) {
		return nil // most need none
	}
	var rec ActiveRecord
	if json.Unmarshal(e.Value, &rec) != nil {
		return nil
	}
	return rec.Spec.Awaits
}

// Final reads a job's final record.
func (r *Records) Final(ctx context.Context, id string) (api.JobState, bool, error) {
	e, err := r.get(ctx, FinalPrefix+id)
	if err != nil || e.Mark == 0 {
		return api.JobState{}, false, err
	}
	var f FinalRecord
	if err := json.Unmarshal(e.Value, &f); err != nil {
		return api.JobState{}, false, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return f.FinalState(id), true, nil
}

// Cancel ends a job unless it is over. It returns the job's final state.
func (r *Records) Cancel(ctx context.Context, id string) (st api.JobState, found bool, err error) {
	err = retry(ctx, func() error {
		e, err := r.get(ctx, ActivePrefix+id)
		if err != nil {
			return err
		}
		if e.Mark == 0 {
			st, found, err = r.Final(ctx, id)
			return err
		}
		var rec ActiveRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		final := FinalRecord{Phase: api.JobWithdrawn, Tasks: rec.Spec.Tasks}
		res, err := r.txn(ctx, Txn{
			Guards: []Guard{{e.Key, e.Mark}},
			// The cancel key comes first: a watch then tells why the record
			// goes before it tells that it is gone.
			Ops: []Op{
				{Put: CancelKey, Value: id},
				{Put: FinalPrefix + id, Value: final},
				{Delete: e.Key},
			},
		})
		if err != nil {
			return err
		}
		if !res.OK {
			return fmt.Errorf("%w: job %s changed meanwhile", ErrUnknown, id)
		}
		st, found = final.FinalState(id), true
		return nil
	})
	return st, found, err
}

// retry repeats a request that failed until the context ends.
func retry(ctx context.Context, f func() error) error {
	wait := 40 * time.Millisecond
	for {
		err := f()
		if err == nil || !(errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown)) {
			return err
		}
		t := time.NewTimer(wait + rand.N(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-t.C:
		}
		wait = min(2*wait, 400*time.Millisecond)
	}
}
