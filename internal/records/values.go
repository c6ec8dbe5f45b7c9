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

// ActiveRecord is an accepted job that has not ended. Only a loan changes it.
type ActiveRecord struct {
	Spec     api.JobSpec `json:"spec"`
	Accepted time.Time   `json:"accepted"`
	// DependencyList names the records that list the dependencies if this one has no
	// space for them. Spec.DependsOn then holds only DependenciesElsewhere.
	DependencyList *DependencyList `json:"awaits_list,omitempty"`
	// Lent is set while the job is lent to another cell, and Guest if it runs here for
	// one. Spec is then empty, and the job's description is there.
	Lent  *loan.Lent  `json:"lent,omitempty"`
	Guest *loan.Guest `json:"guest,omitempty"`
	// LoanCount is how often the job has been lent.
	LoanCount int `json:"lends,omitempty"`
}

// isGuestRecord reports whether an active record is of a job that runs for another cell.
// For the users of this cell no such job was accepted.
func isGuestRecord(e kv.Entry) bool {
	if !bytes.Contains(e.Value, []byte(`"guest"`)) {
		return false // nearly all, without decoding them
	}
	var rec ActiveRecord
	return json.Unmarshal(e.Value, &rec) == nil && rec.Guest != nil
}

// decodeRecord decodes the value of an entry. Its error names the key.
func decodeRecord(e kv.Entry, into any) error {
	if err := json.Unmarshal(e.Value, into); err != nil {
		return fmt.Errorf("decode record %s: %w", e.Key, err)
	}
	return nil
}

// TerminalRecord is how a job ended.
type TerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Ended is when the job was done. It is zero if the job was cancelled, or if the
	// record is of a version that did not write it.
	Ended time.Time `json:"ended,omitzero"`
}

// JobState is the state of an ended job as users see it.
func (f TerminalRecord) JobState(id string) api.JobState {
	st := api.JobState{ID: id, Phase: f.Phase}
	if f.Phase == api.JobDone {
		st.Done, st.EndedAt = f.Tasks, f.Ended
	}
	return st
}

// CompletionRecord holds the completed tasks of a part of a job as a bit set.
type CompletionRecord struct {
	Done []byte `json:"done"`
}

// RegistryShardRecord is a shard of the registry: machines that may hold tasks. Machines
// that register at the same time share one: with a record each, a large fleet would wait
// for the write rate.
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

// LeaseRenewalRecord names the machines whose task leases a node renews on behalf of a
// leader that cannot reach them.
type LeaseRenewalRecord struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// DependencyList says which records list a job's dependencies. Its digest makes the keys
// depend on the names: two submissions of one job with different dependencies never write
// the same keys, and a repeated submission finds what the first has written.
type DependencyList struct {
	Digest  string `json:"digest"`
	Records int    `json:"records"`
}

// DependencyRecord is a part of a list of dependencies.
type DependencyRecord struct {
	Jobs []string `json:"jobs"`
}

const (
	bytesPerKB = 1024
	// txnKeyBytes is left in a transaction for its keys.
	txnKeyBytes = 2048
	// shortFieldBytes is more than all fields of a record take but the names in it.
	shortFieldBytes = 1024
	// quoteBytes is what a name takes in a JSON list besides itself.
	quoteBytes = len(`"",`)
	// maxEscapedBytes is what a byte takes in JSON at most.
	maxEscapedBytes = len(`\u0000`)
	// encodingMargin is left for the encoding of a record that was measured.
	encodingMargin = 32
	// growthMargin is left for numbers in a record that may grow.
	growthMargin = 256
)

// Fits reports whether an accepted job's record fits a value of valueKB KiB. Its
// dependencies need not: they may be listed in records of their own.
func Fits(spec *api.JobSpec, valueKB float64) bool {
	rec := ActiveRecord{Spec: *spec, Accepted: time.Unix(0, 1).UTC()}
	if rec.fits(valueKB) {
		return true
	}
	return len(spec.DependsOn) > 0 && rec.listedElsewhere(maxDependencyList).fits(valueKB)
}

// fits reports whether the record fits a value of valueKB KiB; 0: of any size that a
// transaction can hold.
func (rec ActiveRecord) fits(valueKB float64) bool {
	spec := &rec.Spec
	// All other fields of a record are bounded, and short.
	nameBytes := len(spec.Class) + len(spec.Image) + len(spec.Zone) + len(spec.Team)
	for _, names := range [][]string{spec.Types, spec.DependsOn} {
		for _, name := range names {
			nameBytes += len(name) + quoteBytes
		}
	}
	capacity := float64(kv.MaxTxnBytes - txnKeyBytes)
	if valueKB > 0 {
		capacity = min(capacity, valueKB*bytesPerKB)
	}
	if float64(maxEscapedBytes*nameBytes) < capacity-shortFieldBytes {
		return true // even if every byte is escaped, so that encoding it can be left out
	}
	raw, err := json.Marshal(rec)
	return err == nil && float64(len(raw)+encodingMargin) <= capacity
}

// FitsRecord reports whether an active record fits a value of valueKB KiB.
func FitsRecord(rec ActiveRecord, valueKB float64) bool {
	raw, err := json.Marshal(rec)
	return err == nil && float64(len(raw)+growthMargin) <= min(valueKB*bytesPerKB, kv.MaxTxnBytes/2)
}
