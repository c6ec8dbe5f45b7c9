package records

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// DependencyPrefix is the prefix of the records that list the awaited jobs of those
// whose active record has no room for them.
const DependencyPrefix = "awaits/"

// DependenciesElsewhere stands for the awaited jobs in an active record that has no room
// for them. It is no job's name, so a reader that does not know of lists waits for
// it and never starts the job.
const DependenciesElsewhere = "job-"

// DependencyList tells which records list a job's awaited jobs. Its digest makes the
// keys depend on the names: two submissions of one job that name others never
// write the same keys, and a repeated submission finds what the first has written.
type DependencyList struct {
	Digest  string `json:"digest"`
	Records int    `json:"records"`
}

// DependencyRecord is a part of a list of awaited jobs.
type DependencyRecord struct {
	Jobs []string `json:"jobs"`
}

// digestBytes is how much of a hash a list's keys hold.
const digestBytes = 16

// maxDependencyList has the longest form that a list can have.
var maxDependencyList = &DependencyList{Digest: strings.Repeat("0", 2*digestBytes), Records: api.MaxBody}

// listedElsewhere is the record with a list in place of the names.
func (rec ActiveRecord) listedElsewhere(list *DependencyList) ActiveRecord {
	rec.Spec.DependsOn, rec.DependencyList = []string{DependenciesElsewhere}, list
	return rec
}

func (l *DependencyList) prefix(id string) string {
	return DependencyPrefix + id + "/" + l.Digest + "/"
}

// Keys are the keys of the records of a job's list, in order.
func (l *DependencyList) Keys(id string) []string {
	keys := make([]string, l.Records)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%05d", l.prefix(id), i)
	}
	return keys
}

// ParseDependencyKey tells whose list a record belongs to.
func ParseDependencyKey(key string) (id, digest string, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, DependencyPrefix), "/")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// splitDependencies divides awaited jobs into records for values of so many KiB.
func splitDependencies(ids []string, valueKB float64) (*DependencyList, []DependencyRecord) {
	capacity := kv.MaxTxnBytes / 2
	if valueKB > 0 {
		capacity = min(capacity, int(valueKB*1024))
	}
	capacity -= len(`{"jobs":[]}`)
	var parts []DependencyRecord
	left := 0
	for _, id := range ids {
		size := len(id) + len(`"",`)
		if len(parts) == 0 || size > left {
			parts, left = append(parts, DependencyRecord{}), capacity
		}
		last := &parts[len(parts)-1]
		last.Jobs = append(last.Jobs, id)
		left -= size
	}
	hash := sha256.New()
	for _, part := range parts {
		fmt.Fprintln(hash, strings.Join(part.Jobs, " "))
	}
	return &DependencyList{Digest: hex.EncodeToString(hash.Sum(nil)[:digestBytes]), Records: len(parts)}, parts
}

// maxListOps bounds the changes of a transaction that writes a list: a node's write
// budget lets no more through at once, however small its part.
const maxListOps = kv.MinWriteBurst

// writeDependencies writes the records of a job's list that are not written yet. The job
// is accepted only afterwards; what is left of a submission that is never repeated
// is found by the next leader. It returns false if the job is known meanwhile.
func (r *Records) writeDependencies(ctx context.Context, id string, list *DependencyList, parts []DependencyRecord) (bool, error) {
	written := map[string]bool{}
	entries, err := r.readRange(ctx, list.prefix(id))
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		written[e.Key] = true
	}
	most := maxListOps
	if r.Limits.TxnOps > 0 {
		most = min(most, r.Limits.TxnOps)
	}
	// Once the job is known no record is written any more, however late.
	jobUnknown := []kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}
	txn, size := kv.Txn{Compares: jobUnknown}, 0
	for i, key := range list.Keys(id) {
		if !written[key] {
			txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: parts[i]})
			size += txnBytes(parts[i])
		}
		last := i == len(parts)-1
		if len(txn.Ops) == 0 || !last && len(txn.Ops) < most && size+txnBytes(parts[i+1]) <= kv.MaxTxnBytes*3/4 {
			continue
		}
		res, err := r.commit(ctx, txn)
		if err != nil || !res.Succeeded {
			return false, err
		}
		txn, size = kv.Txn{Compares: jobUnknown}, 0
	}
	return true, nil
}

// txnBytes is about how much of a transaction a part of a list takes.
func txnBytes(part DependencyRecord) int {
	size := 200
	for _, id := range part.Jobs {
		size += len(id) + len(`"",`)
	}
	return size
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

// maxPageEntries is how many keys a range is asked for at a time.
const maxPageEntries = 1000

func (r *Records) readPage(ctx context.Context, prefix, from string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return r.Store.Range(ctx, prefix, from, maxPageEntries)
}

// ReadDependencies reads the list of a job's awaited jobs. It never returns a part of it.
func (r *Records) ReadDependencies(ctx context.Context, id string, list *DependencyList) ([]string, error) {
	entries, err := r.readRange(ctx, list.prefix(id))
	if err != nil {
		return nil, err
	}
	keys := list.Keys(id)
	if len(entries) != len(keys) {
		return nil, fmt.Errorf("%w: %d of %d records list what %s awaits", kv.ErrOutcomeUnknown, len(entries), len(keys), id)
	}
	var ids []string
	for i, e := range entries {
		var part DependencyRecord
		if err := json.Unmarshal(e.Value, &part); err != nil || e.Key != keys[i] {
			return nil, fmt.Errorf("%w: record %s: %w", kv.ErrOutcomeUnknown, e.Key, err)
		}
		ids = append(ids, part.Jobs...)
	}
	return ids, nil
}

// errUnknownDependency means that a job names one that nobody has accepted.
var errUnknownDependency = errors.New("state service: never accepted")

// UnknownDependencyError names a job that another one awaits and nobody has accepted.
type UnknownDependencyError struct{ ID string }

func (e *UnknownDependencyError) Error() string {
	return "awaits " + e.ID + ", which was never accepted"
}

// Is makes it an errUnknownDependency.
func (e *UnknownDependencyError) Is(target error) bool { return target == errUnknownDependency }

// maxSingleReads is how many jobs are read one by one; more are looked for in
// ranges, which take few requests however many jobs there are.
const maxSingleReads = 24

// dependencySearch follows what jobs await, directly or through others.
type dependencySearch struct {
	records     *Records
	singleReads int
	// active is what all active jobs await, once it is read.
	active map[string]dependencySet
	// ended are the jobs found that are not active.
	ended []string
}

// dependencySet is what an active job awaits: names, or a list of them.
type dependencySet struct {
	ids  []string
	list *DependencyList
}

// walk looks at jobs and at all that they await and that is active.
func (s *dependencySearch) walk(ctx context.Context, ids []string) error {
	if len(ids) > maxSingleReads {
		s.singleReads = maxSingleReads
	}
	visited := make(map[string]bool, len(ids))
	for pending := slices.Clone(ids); len(pending) > 0; {
		id := pending[len(pending)-1]
		if pending = pending[:len(pending)-1]; visited[id] {
			continue
		}
		visited[id] = true
		next, isActive, err := s.dependenciesOf(ctx, id)
		if err != nil {
			return err
		}
		if !isActive {
			s.ended = append(s.ended, id)
		}
		pending = append(pending, next...)
	}
	return nil
}

// dependenciesOf reads what a job awaits, and whether it is active.
func (s *dependencySearch) dependenciesOf(ctx context.Context, id string) (ids []string, isActive bool, err error) {
	var a dependencySet
	if s.active == nil && s.singleReads < maxSingleReads {
		s.singleReads++
		e, err := s.records.getEntry(ctx, ActivePrefix+id)
		if err != nil || e.ModRevision == 0 || isGuestRecord(e) {
			return nil, false, err
		}
		a = dependenciesOf(e)
	} else {
		if s.active == nil {
			if s.active, err = s.records.readActiveDependencies(ctx); err != nil {
				return nil, false, err
			}
		}
		var ok bool
		if a, ok = s.active[id]; !ok {
			return nil, false, nil
		}
	}
	if a.list != nil {
		a.ids, err = s.records.ReadDependencies(ctx, id, a.list)
	}
	return a.ids, true, err
}

// checkDependencies looks whether jobs were accepted and whether one of them is cancelled, or
// is to be with one that it needs itself.
func (r *Records) checkDependencies(ctx context.Context, ids []string) (cancelled bool, err error) {
	s := dependencySearch{records: r}
	if err := s.walk(ctx, ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, s.ended)
	if err != nil {
		return false, err
	}
	for _, id := range s.ended {
		end, found := ends[id]
		if !found && slices.Contains(ids, id) {
			return false, &UnknownDependencyError{id}
		}
		cancelled = cancelled || end.Phase == api.JobCancelled
	}
	return cancelled, nil
}

// cancelPending tells whether an active job needs one, directly or through others,
// that is cancelled.
func (r *Records) cancelPending(ctx context.Context, e kv.Entry) (bool, error) {
	a := dependenciesOf(e)
	if a.list != nil {
		var err error
		if a.ids, err = r.ReadDependencies(ctx, strings.TrimPrefix(e.Key, ActivePrefix), a.list); err != nil {
			return false, err
		}
	}
	s := dependencySearch{records: r}
	if err := s.walk(ctx, a.ids); err != nil {
		return false, err
	}
	ends, err := r.TerminalRecords(ctx, s.ended)
	for _, end := range ends {
		if end.Phase == api.JobCancelled {
			return true, err
		}
	}
	return false, err
}

// dependenciesOf is what an active job needs.
func dependenciesOf(e kv.Entry) dependencySet {
	if !bytes.Contains(e.Value, []byte(`"Awaits"`)) {
		return dependencySet{} // most need none
	}
	var rec ActiveRecord
	if json.Unmarshal(e.Value, &rec) != nil {
		return dependencySet{}
	}
	return dependencySet{rec.Spec.DependsOn, rec.DependencyList}
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

// readActiveDependencies reads what all active jobs await.
func (r *Records) readActiveDependencies(ctx context.Context) (map[string]dependencySet, error) {
	release, err := acquire(ctx, r.scans)
	if err != nil {
		return nil, err
	}
	defer release()
	all := map[string]dependencySet{}
	for from := ""; ; {
		p, err := r.readPage(ctx, ActivePrefix, from)
		if err != nil {
			return nil, err
		}
		for _, e := range p.Entries {
			if from = e.Key; !isGuestRecord(e) {
				all[strings.Clone(strings.TrimPrefix(e.Key, ActivePrefix))] = dependenciesOf(e)
			}
		}
		if !p.More || len(p.Entries) == 0 {
			return all, nil
		}
	}
}

// TerminalRecords reads how jobs ended that are not active. What never ended is left out. What
// was read before a failure is returned with it.
func (r *Records) TerminalRecords(ctx context.Context, ids []string) (map[string]TerminalRecord, error) {
	ends := make(map[string]TerminalRecord, len(ids))
	var unread []string
	for _, id := range ids {
		if end, ok := r.cachedTerminal(id); ok {
			ends[id] = end
			r.cache.jobEnded(id, end)
		} else {
			unread = append(unread, id)
		}
	}
	if len(unread) > maxSingleReads {
		return ends, r.readTerminalRanges(ctx, unread, ends)
	}
	for _, id := range unread {
		end, found, err := r.terminalRecord(ctx, id)
		if err != nil {
			return ends, err
		}
		if found {
			ends[id] = end
			r.cacheTerminal(id, end)
		}
	}
	return ends, nil
}

// cacheTerminal notes how a job ended. That never changes, so what one try has read
// the next need not.
func (r *Records) cacheTerminal(id string, end TerminalRecord) {
	if r.terminalCache != nil {
		r.terminalCache.Add(strings.Clone(id), end)
	}
	r.cache.jobEnded(id, end)
}

func (r *Records) cachedTerminal(id string) (TerminalRecord, bool) {
	if r.terminalCache == nil {
		return TerminalRecord{}, false
	}
	return r.terminalCache.Get(id)
}

// readTerminalRanges reads how jobs ended, in ranges that each begin at one of them:
// it takes at most a request for each job, and one for each page of final records.
func (r *Records) readTerminalRanges(ctx context.Context, ids []string, ends map[string]TerminalRecord) error {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for len(ids) > 0 {
		p, err := r.readPage(ctx, TerminalPrefix, TerminalPrefix+predecessor(ids[0]))
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			id := strings.TrimPrefix(e.Key, TerminalPrefix)
			for len(ids) > 0 && ids[0] < id {
				ids = ids[1:] // never ended
			}
			if len(ids) == 0 || ids[0] != id {
				continue
			}
			var f TerminalRecord
			if err := json.Unmarshal(e.Value, &f); err != nil {
				return fmt.Errorf("record %s: %w", e.Key, err)
			}
			ends[id] = f
			r.cacheTerminal(id, f)
			ids = ids[1:]
		}
		if !p.More || len(p.Entries) == 0 {
			return nil
		}
	}
	return nil
}

// predecessor is a string that comes before a job's name and after all other names
// that do.
func predecessor(id string) string {
	last := len(id) - 1
	return id[:last] + string(id[last]-1) + "~"
}

// acceptance is what is needed to accept a job.
type acceptance struct {
	spec *api.JobSpec
	// record becomes the job's active record; list and parts are set if its
	// awaited jobs are listed elsewhere.
	record ActiveRecord
	list   *DependencyList
	parts  []DependencyRecord
}

func (r *Records) newAcceptance(spec *api.JobSpec, now time.Time) *acceptance {
	a := &acceptance{spec: spec, record: ActiveRecord{Spec: *spec, Accepted: now.UTC()}}
	if len(spec.DependsOn) > 0 && !a.record.fits(r.Limits.ValueKB) {
		a.list, a.parts = splitDependencies(spec.DependsOn, r.Limits.ValueKB)
		a.record = a.record.listedElsewhere(a.list)
	}
	return a
}

// tryAccept tries once to make a job's record.
func (r *Records) tryAccept(ctx context.Context, a *acceptance) (st api.JobState, created bool, err error) {
	id := a.spec.ID
	if len(a.spec.DependsOn) > maxSingleReads || a.list != nil {
		release, err := acquire(ctx, r.longLists)
		if err != nil {
			return st, false, err
		}
		defer release()
		// What is known already is not worth a long search, and must not have a
		// list written.
		if st, found, err := r.tryLookup(ctx, id); err != nil || found {
			return st, false, err
		}
	}
	cancelled, err := r.checkDependencies(ctx, a.spec.DependsOn)
	if errors.Is(err, errUnknownDependency) {
		// What is known already keeps its state whatever it names.
		if st, found, lookupErr := r.tryLookup(ctx, id); lookupErr != nil || found {
			return st, false, lookupErr
		}
	}
	if err != nil {
		return st, false, err
	}
	// One that is cancelled from now on finds the job among those that need it,
	// whoever leads then.
	if !cancelled && a.list != nil {
		if ok, err := r.writeDependencies(ctx, id, a.list, a.parts); err != nil {
			return st, false, err
		} else if !ok {
			return r.lookupAfterConflict(ctx, id)
		}
	}
	txn, first := a.transaction(cancelled)
	res, err := r.commit(ctx, txn)
	if err != nil {
		return st, false, err
	}
	if res.Succeeded {
		return first, true, nil
	}
	return r.lookupAfterConflict(ctx, id)
}

// transaction returns the transaction that makes the job's record, and the state
// that the job then has: withdrawn if a job that it awaits is.
func (a *acceptance) transaction(cancelled bool) (kv.Txn, api.JobState) {
	id := a.spec.ID
	txn := kv.Txn{Compares: []kv.Compare{{Key: ActivePrefix + id}, {Key: TerminalPrefix + id}}}
	if cancelled {
		terminal := TerminalRecord{Phase: api.JobCancelled, Tasks: a.spec.Tasks}
		txn.Ops = []kv.Op{{Put: TerminalPrefix + id, Value: terminal}}
		return txn, terminal.JobState(id)
	}
	txn.Ops = []kv.Op{{Put: ActivePrefix + id, Value: a.record}}
	return txn, api.JobState{ID: id, Phase: api.JobPending}
}

// lookupAfterConflict looks up a job that turned out to be known; perhaps by a transaction of
// this very submission, whose answer was lost.
func (r *Records) lookupAfterConflict(ctx context.Context, id string) (api.JobState, bool, error) {
	st, found, err := r.tryLookup(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: job %s changed meanwhile", kv.ErrOutcomeUnknown, id)
	}
	return st, false, err
}
