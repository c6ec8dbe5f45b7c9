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

// DependencyListPlaceholder replaces the dependencies in an active record that has no room for
// them. No job can have this name, so a version without support for lists waits for a job that
// does not exist and never starts this one.
const DependencyListPlaceholder = "job-"

// digestBytes is how many bytes of the hash are part of a list's keys.
const digestBytes = 16

// maxSizeDependencyList has the longest encoding that a list can have: no list has more records than
// a submission has bytes.
var maxSizeDependencyList = &DependencyList{Digest: strings.Repeat("0", 2*digestBytes), RecordCount: api.MaxBodyBytes}

// withDependencyList returns the record with a list in place of the names.
func (rec ActiveRecord) withDependencyList(list *DependencyList) ActiveRecord {
	rec.Spec.DependsOn, rec.DependencyList = []string{DependencyListPlaceholder}, list
	return rec
}

// splitDependencies divides dependencies into records that each fit a value of valueKB KiB and half
// of a transaction. A valueKB of 0 means that the size of values is not limited.
func splitDependencies(ids []string, valueKB float64) (*DependencyList, []DependencyRecord) {
	capacity := kv.MaxTxnBytes / 2
	if valueKB > 0 {
		capacity = min(capacity, int(valueKB*bytesPerKB))
	}
	capacity -= len(`{"jobs":[]}`)
	var parts []DependencyRecord
	left := 0
	for _, id := range ids {
		size := len(id) + nameOverheadBytes
		if len(parts) == 0 || size > left {
			parts, left = append(parts, DependencyRecord{}), capacity
		}
		last := &parts[len(parts)-1]
		last.Jobs = append(last.Jobs, id)
		left -= size
	}
	return &DependencyList{Digest: digest(parts), RecordCount: len(parts)}, parts
}

// digest returns a hash of the names in a list and of their division into records.
func digest(parts []DependencyRecord) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strings.Join(part.Jobs, " ") + "\n")) // a hash.Hash never fails
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// maxListTxnOps bounds the operations of a transaction that writes a list. The write limiter of a
// node with a very low write rate never admits more at once.
const maxListTxnOps = kv.MinWriteBurst

// writeDependencies writes the records of a job's list that do not exist yet. It returns false if
// the job has come to exist in the meantime. The list is written before the job is accepted. If the
// submission is never completed, its records stay until a new leader finds that the job has ended or
// was accepted with another list.
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
	limit := maxListTxnOps
	if r.Limits.TxnOps > 0 {
		limit = min(limit, r.Limits.TxnOps)
	}
	// The compares keep a transaction that is applied late from writing to the list of an existing job.
	txn, size := kv.Txn{Compares: absentCompares(id)}, 0
	for i, key := range list.Keys(id) {
		if !written[key] {
			txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: parts[i]})
			size += estimatedOpBytes(parts[i])
		}
		isLast := i == len(parts)-1
		hasRoom := !isLast && len(txn.Ops) < limit && size+estimatedOpBytes(parts[i+1]) <= maxListTxnBytes
		if len(txn.Ops) == 0 || hasRoom {
			continue
		}
		res, err := r.commit(ctx, txn)
		if err != nil || !res.Succeeded {
			return false, err
		}
		txn, size = kv.Txn{Compares: absentCompares(id)}, 0
	}
	return true, nil
}

// maxListTxnBytes bounds the sum of estimatedOpBytes of a transaction that writes a list.
const maxListTxnBytes = kv.MaxTxnBytes * 3 / 4

// listOpOverheadBytes is the estimated encoded size of a put without its value.
const listOpOverheadBytes = 200

// estimatedOpBytes returns the approximate encoded size of the put of a list's record.
func estimatedOpBytes(part DependencyRecord) int {
	size := listOpOverheadBytes
	for _, id := range part.Jobs {
		size += len(id) + nameOverheadBytes
	}
	return size
}

// ReadDependencies reads the complete list of a job's dependencies. If a record is missing, it
// returns an error.
func (r *Records) ReadDependencies(ctx context.Context, id string, list *DependencyList) ([]string, error) {
	entries, err := r.readRange(ctx, list.prefix(id))
	if err != nil {
		return nil, err
	}
	keys := list.Keys(id)
	if len(entries) != len(keys) {
		return nil, fmt.Errorf("%w: dependency list of job %s: found %d of %d records",
			kv.ErrOutcomeUnknown, id, len(entries), len(keys))
	}
	var ids []string
	for i, e := range entries {
		if e.Key != keys[i] {
			return nil, fmt.Errorf("%w: dependency list of job %s: found record %s in place of %s",
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
