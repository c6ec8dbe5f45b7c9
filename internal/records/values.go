package records

import (
	"bytes"
	"encoding/json"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
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

// TerminalRecord is a job that is over.
type TerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Ended is when the job was done; zero if it is cancelled, or if a version
	// wrote the record that did not tell.
	Ended time.Time `json:"ended,omitzero"`
}

// JobState is the state reported to users of a job that is over.
func (f TerminalRecord) JobState(id string) api.JobState {
	st := api.JobState{ID: id, Phase: f.Phase}
	if f.Phase == api.JobDone {
		st.Done, st.Ended = f.Tasks, f.Ended
	}
	return st
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
