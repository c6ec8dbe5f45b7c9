// Package loan holds what cells must agree on to lend each other jobs: the records that
// say which cell owns a job, the messages between cells, and the decisions that either
// side takes. It is pure: its users read and write the records and carry the messages.
// docs/spillover.md explains the protocol.
package loan

import (
	"strconv"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Prefix is the prefix of a cell's records about guests, besides their active records.
const Prefix = "loan/"

const (
	endPrefix      = Prefix + "end/"
	minEpochPrefix = Prefix + "floor/"
)

// EndKey is the key of the record that tells how a guest ended.
func EndKey(home, job string) string { return endPrefix + home + "/" + job }

// MinEpochKey is the key of the floor of a home cell's loans.
func MinEpochKey(home string) string { return minEpochPrefix + home }

// GuestMarker distinguishes the name of a cancelled guest from that of a cell's own job
// where cancellations are named.
const GuestMarker = "guest:"

// Epoch numbers the loans of a home cell. Epochs only grow: the upper half is the term
// of the home leader that made the loan.
type Epoch uint64

// NewEpoch is the epoch of a leader's loan with a count from 1 on.
func NewEpoch(term uint64, count uint32) Epoch { return Epoch(term<<32 | uint64(count)) }

// String writes an epoch as its term and count.
func (e Epoch) String() string {
	return strconv.FormatUint(uint64(e>>32), 10) + "." + strconv.FormatUint(uint64(uint32(e)), 10)
}

// Budget is what a loan may use at a time of its team's limit at home.
type Budget struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus,omitempty"`
}

// Lent is the part of a job's active record at home that says that it is lent. The
// job's description is only here, so that a version that does not know of loans finds
// nothing that it could start.
type Lent struct {
	Host   string      `json:"host"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	// Since is from when on its user expects the job to run.
	Since time.Time `json:"since"`
	// Cancel is set once a user has asked to cancel the job.
	Cancel bool `json:"cancel,omitempty"`
}

// Guest is the part of an active record at the host that says for whom the job runs.
type Guest struct {
	Home   string      `json:"home"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	Since  time.Time   `json:"since"`
}

// MinEpochRecord says that no loan of a home cell with this epoch or a lower one is accepted any
// more.
type MinEpochRecord struct {
	Epoch Epoch `json:"epoch"`
}

// End says how a guest ended.
type End struct {
	Epoch Epoch     `json:"epoch"`
	Phase string    `json:"phase"`
	Tasks int       `json:"tasks"`
	Ended time.Time `json:"ended,omitzero"`
}

// DesiredState is what home wants of a loan.
type DesiredState int

// What home wants of a loan.
const (
	// DesiredRun wants it to be accepted, and to run.
	DesiredRun DesiredState = iota
	// DesiredReclaim wants it back if it has not begun.
	DesiredReclaim
	// DesiredCancel wants it cancelled.
	DesiredCancel
	// DesiredForget says that home has recorded its end, or has no such loan.
	DesiredForget
)

// Offer is what a host must know to accept a loan.
type Offer struct {
	Spec   api.JobSpec
	Budget Budget
	Since  time.Time
}

// Entry is what home says of one of its loans. The offer comes with it until the host
// has told how the loan stands.
type Entry struct {
	Job     string
	Epoch   Epoch
	Desired DesiredState
	Offer   *Offer
}

// Request is all that a home leader says to a host at a time.
type Request struct {
	Home    string
	Term    uint64
	Entries []Entry
}

// Phase is how a loan stands at its host.
type Phase int

// The phases of a loan at its host.
const (
	// PhaseUnknown: the host has no record of it yet, or cannot tell.
	PhaseUnknown Phase = iota
	// PhaseAccepted: on record, and not begun.
	PhaseAccepted
	// PhaseStarted: tasks have been started.
	PhaseStarted
	// PhaseDone and PhaseCancelled: over, on record.
	PhaseDone
	PhaseCancelled
	// PhaseClosed: not on record, and never will be.
	PhaseClosed
)

// String names a phase for logs.
func (p Phase) String() string {
	names := [...]string{"unknown", "accepted", "begun", "done", "withdrawn", "closed"}
	if p < 0 || int(p) >= len(names) {
		return "phase " + strconv.Itoa(int(p))
	}
	return names[p]
}

// State is how a loan stands at its host.
type State struct {
	Job           string
	Epoch         Epoch
	Phase         Phase
	Done, Running int
	// Pending is set while tasks of it may be on machines of the host.
	Pending bool
	Ended   time.Time
	// Reason says why it was not accepted.
	Reason string
}

// Advert is what a cell has to spare.
type Advert struct {
	Accepting bool
	CPUs      float64
	GPUs      float64
	CancelS   float64
	Types     []api.MachineType
}

// Response is what a host says of all loans of a home cell, and of what it has to spare.
type Response struct {
	Host   string
	Term   uint64
	States []State
	Advert Advert
	// Refused says why the request was not taken in, or is empty.
	Refused string
}
