package records

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
)

// DependenciesElsewhere stands for the awaited jobs in an active record that has no room
// for them. It is no job's name, so a reader that does not know of lists waits for
// it and never starts the job.
const DependenciesElsewhere = "job-"

// digestBytes is how much of a hash a list's keys hold.
const digestBytes = 16

// maxDependencyList has the longest form that a list can have.
var maxDependencyList = &DependencyList{Digest: strings.Repeat("0", 2*digestBytes), Records: api.MaxBody}

// listedElsewhere is the record with a list in place of the names.
func (rec ActiveRecord) listedElsewhere(list *DependencyList) ActiveRecord {
	rec.Spec.DependsOn, rec.DependencyList = []string{DependenciesElsewhere}, list
	return rec
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
