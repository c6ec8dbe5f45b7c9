package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
)

// ActiveRecord is the record of an accepted job that has not ended. Once written, it changes only
// when the job is lent or returned, or when the cancellation of a lent job is requested.
type ActiveRecord struct {
	Spec     api.JobSpec `json:"spec"`
	Accepted time.Time   `json:"accepted"`
	// DependencyList identifies the records that list the dependencies if this one has no room
	// for them. Spec.DependsOn then holds only DependencyListPlaceholder.
	DependencyList *DependencyList `json:"awaits_list,omitempty"`
	// Lent is set while the job is lent to another cell, and Guest if the job runs here on
	// behalf of another cell. Spec is then empty, and Lent or Guest holds the spec.
	Lent  *loan.Lent  `json:"lent,omitempty"`
	Guest *loan.Guest `json:"guest,omitempty"`
	// LoanCount is how often the job has been lent.
	LoanCount int `json:"lends,omitempty"`
}

// isGuestRecord reports whether an active record is that of a guest: a job that runs here on behalf
// of another cell. For the users of this cell, no job of that name was accepted.
func isGuestRecord(e kv.Entry) bool {
	if !bytes.Contains(e.Value, []byte(`"guest"`)) {
		return false // nearly all records are of this kind and are not decoded
	}
	var rec ActiveRecord
	return json.Unmarshal(e.Value, &rec) == nil && rec.Guest != nil
}

// decodeRecord decodes the value of an entry. Its error contains the key.
func decodeRecord(e kv.Entry, into any) error {
	if err := json.Unmarshal(e.Value, into); err != nil {
		return fmt.Errorf("decode record %s: %w", e.Key, err)
	}
	return nil
}

// TerminalRecord records how a job ended.
type TerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Ended is when the job was done. It is zero for a cancelled job, and in records of versions
	// that did not write it.
	Ended time.Time `json:"ended,omitzero"`
}

// JobState returns the state of the ended job as shown to users.
func (rec TerminalRecord) JobState(id string) api.JobState {
	st := api.JobState{ID: id, Phase: rec.Phase}
	if rec.Phase == api.JobDone {
		st.Done, st.EndedAt = rec.Tasks, rec.Ended
	}
	return st
}

// CompletionRecord is a bit set of the completed tasks in a part of a job.
type CompletionRecord struct {
	Done []byte `json:"done"`
}

// RegistryShardRecord is a shard of the registry, which lists the machines that may hold tasks.
// Machines that register at the same time share a shard: with one record per machine, registering
// a large fleet would wait for the write rate.
type RegistryShardRecord struct {
	Machines []MachineRecord `json:"machines"`
}

// MachineRecord is the registry entry of a machine that may hold tasks.
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

// LeaseRenewalRecord lists the machines whose task leases a node renews on behalf of a leader that
// cannot reach them.
type LeaseRenewalRecord struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// DependencyList identifies the records that list a job's dependencies. Their keys contain the
// digest of the names: two submissions of one job with different dependencies never write the same
// keys, and a repeated submission finds what the first has written.
type DependencyList struct {
	Digest      string `json:"digest"`
	RecordCount int    `json:"records"`
}

// DependencyRecord is one record of a dependency list.
type DependencyRecord struct {
	Jobs []string `json:"jobs"`
}

const (
	bytesPerKB = 1024
	// reservedKeyBytes is reserved for the keys of a transaction.
	reservedKeyBytes = 2048
	// fixedFieldBytes is an upper bound on the encoded size of a record without the names in it.
	fixedFieldBytes = 1024
	// nameOverheadBytes is the size of a name in a JSON list beyond the name itself: two quotes
	// and a comma.
	nameOverheadBytes = len(`"",`)
	// maxEscapedBytes is the longest encoding of a byte in a JSON string.
	maxEscapedBytes = len(`\u0000`)
	// encodingMarginBytes is added to the measured size of a record, in case the stored encoding
	// is longer.
	encodingMarginBytes = 32
	// growthMarginBytes is added to the measured size of a record whose numbers may grow.
	growthMarginBytes = 256
)

// JobFits reports whether the record of an accepted job fits a value of valueKB KiB. If its
// dependencies do not fit, they can be listed in separate records.
func JobFits(spec *api.JobSpec, valueKB float64) bool {
	rec := ActiveRecord{Spec: *spec, Accepted: time.Unix(0, 1).UTC()}
	if rec.fits(valueKB) {
		return true
	}
	return len(spec.DependsOn) > 0 && rec.withDependencyList(maxSizeDependencyList).fits(valueKB)
}

// fits reports whether the record fits a value of valueKB KiB and a transaction. A valueKB of 0
// means that the size of values is not limited.
func (rec ActiveRecord) fits(valueKB float64) bool {
	spec := &rec.Spec
	// fixedFieldBytes covers all other fields, which are short and bounded.
	nameBytes := len(spec.Class) + len(spec.Image) + len(spec.Zone) + len(spec.Team)
	for _, names := range [][]string{spec.Types, spec.DependsOn} {
		for _, name := range names {
			nameBytes += len(name) + nameOverheadBytes
		}
	}
	capacity := float64(kv.MaxTxnBytes - reservedKeyBytes)
	if valueKB > 0 {
		capacity = min(capacity, valueKB*bytesPerKB)
	}
	if float64(maxEscapedBytes*nameBytes) < capacity-fixedFieldBytes {
		return true // fits even if every byte is escaped, so it need not be encoded
	}
	raw, err := json.Marshal(rec)
	return err == nil && float64(len(raw)+encodingMarginBytes) <= capacity
}

// RecordFits reports whether an active record whose numbers may grow fits a value of valueKB KiB
// and half of a transaction. Unlike in fits, a valueKB of 0 does not mean that there is no limit.
func RecordFits(rec ActiveRecord, valueKB float64) bool {
	raw, err := json.Marshal(rec)
	return err == nil && float64(len(raw)+growthMarginBytes) <= min(valueKB*bytesPerKB, kv.MaxTxnBytes/2)
}
