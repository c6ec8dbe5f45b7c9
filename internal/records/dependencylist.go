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

// DependenciesElsewhere stands for the dependencies in an active record that has no space for
// them. It is no job's name, so a reader that does not know of lists waits for it and never
// starts the job.
const DependenciesElsewhere = "job-"

// digestBytes is how much of a hash a list's keys hold.
const digestBytes = 16

// maxDependencyList has the longest encoding that a list can have.
var maxDependencyList = &DependencyList{Digest: strings.Repeat("0", 2*digestBytes), Records: api.MaxBodyBytes}

// listedElsewhere is the record with a list in place of the names.
func (rec ActiveRecord) listedElsewhere(list *DependencyList) ActiveRecord {
	rec.Spec.DependsOn, rec.DependencyList = []string{DependenciesElsewhere}, list
	return rec
}

// splitDependencies divides dependencies into records for values of valueKB KiB.
func splitDependencies(ids []string, valueKB float64) (*DependencyList, []DependencyRecord) {
	capacity := kv.MaxTxnBytes / 2
	if valueKB > 0 {
		capacity = min(capacity, int(valueKB*bytesPerKB))
	}
	capacity -= len(`{"jobs":[]}`)
	var parts []DependencyRecord
	left := 0
	for _, id := range ids {
		size := len(id) + quoteBytes
		if len(parts) == 0 || size > left {
			parts, left = append(parts, DependencyRecord{}), capacity
		}
		last := &parts[len(parts)-1]
		last.Jobs = append(last.Jobs, id)
		left -= size
	}
	return &DependencyList{Digest: digest(parts), Records: len(parts)}, parts
}

// digest is a hash of the names in a list and of how they are divided.
func digest(parts []DependencyRecord) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strings.Join(part.Jobs, " ") + "\n")) // a hash.Hash never fails
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// maxListOps bounds the operations of a transaction that writes a list: a node's write rate
// allows no more at once, however low it is.
const maxListOps = kv.MinWriteBurst

// writeDependencies writes the records of a job's list that are not written yet. The job is
// accepted only afterwards; the next leader finds what is left of a submission that is never
// repeated. It returns false if the job has become known meanwhile.
func (r *Records) writeDependencies(
	ctx context.Context, id string, list *DependencyList, parts []DependencyRecord,
) (bool, error) {
	written := map[string]bool{}
	entries, err := r.readRange(ctx, list.prefix(id))
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		written[e.Key] = true
	}
	limit := maxListOps
	if r.Limits.TxnOps > 0 {
		limit = min(limit, r.Limits.TxnOps)
	}
	// Once the job is known no record is written any more, however late.
	txn, size := kv.Txn{Compares: absent(id)}, 0
	for i, key := range list.Keys(id) {
		if !written[key] {
			txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: parts[i]})
			size += txnBytes(parts[i])
		}
		isLast := i == len(parts)-1
		hasRoom := !isLast && len(txn.Ops) < limit && size+txnBytes(parts[i+1]) <= maxListTxnBytes
		if len(txn.Ops) == 0 || hasRoom {
			continue
		}
		res, err := r.commit(ctx, txn)
		if err != nil || !res.Succeeded {
			return false, err
		}
		txn, size = kv.Txn{Compares: absent(id)}, 0
	}
	return true, nil
}

// maxListTxnBytes bounds the parts of a list in one transaction, by what txnBytes returns.
const maxListTxnBytes = kv.MaxTxnBytes * 3 / 4

// txnBytes is about how much of a transaction a part of a list takes.
func txnBytes(part DependencyRecord) int {
	size := 200 // its key and the operation
	for _, id := range part.Jobs {
		size += len(id) + quoteBytes
	}
	return size
}

// ReadDependencies reads the list of a job's dependencies. It never returns a part of it.
func (r *Records) ReadDependencies(ctx context.Context, id string, list *DependencyList) ([]string, error) {
	entries, err := r.readRange(ctx, list.prefix(id))
	if err != nil {
		return nil, err
	}
	keys := list.Keys(id)
	if len(entries) != len(keys) {
		return nil, fmt.Errorf("%w: dependencies of job %s: found %d of %d records",
			kv.ErrOutcomeUnknown, id, len(entries), len(keys))
	}
	var ids []string
	for i, e := range entries {
		if e.Key != keys[i] {
			return nil, fmt.Errorf("%w: dependencies of job %s: found record %s in place of %s",
				kv.ErrOutcomeUnknown, id, e.Key, keys[i])
		}
		var part DependencyRecord
		if err := json.Unmarshal(e.Value, &part); err != nil {
			return nil, fmt.Errorf("%w: decode record %s: %w", kv.ErrOutcomeUnknown, e.Key, err)
		}
		ids = append(ids, part.Jobs...)
	}
	return ids, nil
}
