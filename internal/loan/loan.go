// Package loan is the protocol by which cells lend each other jobs: the records of which
// cell owns a job, the messages between cells, and the decisions of either side. It is
// pure: its callers read and write the records and send the messages. docs/spillover.md
// explains the protocol.
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

// EndKey returns the key of the record of a guest's end.
func EndKey(home, job string) string { return endPrefix + home + "/" + job }

// MinEpochKey returns the key of the minimum epoch of a home cell's loans.
func MinEpochKey(home string) string { return minEpochPrefix + home }

// GuestMarker is the prefix that distinguishes a cancelled guest from a cell's own job in
// the cancellation log.
const GuestMarker = "guest:"

// Epoch numbers the loans of a home cell. Epochs only grow: the upper half is the term
// of the home leader that made the loan, the lower half its count of loans.
type Epoch uint64

// countBits is the size of the lower half of an epoch.
const countBits = 32

// NewEpoch returns the epoch of a leader's loan; count starts at 1.
func NewEpoch(term uint64, count uint32) Epoch { return Epoch(term<<countBits | uint64(count)) }

// String returns the epoch as term and count.
func (e Epoch) String() string {
	return strconv.FormatUint(uint64(e>>countBits), 10) + "." + strconv.FormatUint(uint64(uint32(e)), 10)
}

// Budget is the part of its team's limit at home that a loan may use at a time.
type Budget struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus,omitempty"`
}

// Lent is the part of a job's active record at home that marks it as on loan. It alone
// holds the job's spec, so that a version without support of loans finds no job to start.
type Lent struct {
	Host   string      `json:"host"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	// Since is the time from which the user expects the job to run.
	Since time.Time `json:"since"`
	// Cancel is set once a user has requested the job's cancellation.
	Cancel bool `json:"cancel,omitempty"`
}

// Guest is the part of an active record at the host that marks the job as a guest.
type Guest struct {
	Home   string      `json:"home"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	Since  time.Time   `json:"since"`
}

// MinEpochRecord is the record of a home cell's minimum epoch: no loan with this epoch or a
// lower one is accepted any more.
type MinEpochRecord struct {
	Epoch Epoch `json:"epoch"`
}

// End is the record of how a guest ended.
type End struct {
	Epoch Epoch     `json:"epoch"`
	Phase string    `json:"phase"`
	Tasks int       `json:"tasks"`
	Ended time.Time `json:"ended,omitzero"`
}

// DesiredState is the state that home requests for a loan.
type DesiredState int

// The desired states of a loan.
const (
	// DesiredRun: accepted and running.
	DesiredRun DesiredState = iota
	// DesiredReclaim: closed, if no task of it has started.
	DesiredReclaim
	// DesiredCancel: cancelled.
	DesiredCancel
	// DesiredForget: removed, since home has recorded its end, or has no such loan.
	DesiredForget
)

// Offer is what a host needs to accept a loan.
type Offer struct {
	Spec   api.JobSpec
	Budget Budget
	Since  time.Time
}

// Entry is home's message about one of its loans. It includes the offer until the host
// has responded with the loan's state.
type Entry struct {
	Job     string
	Epoch   Epoch
	Desired DesiredState
	Offer   *Offer
}

// Request is a message of a home leader to a host.
type Request struct {
	Home    string
	Term    uint64
	Entries []Entry
}

// Phase is the phase of a loan at its host.
type Phase int

// The phases of a loan at its host.
const (
	// PhaseUnknown: the host has no record of it yet, or cannot tell.
	PhaseUnknown Phase = iota
	// PhaseAccepted: on record, no task started.
	PhaseAccepted
	// PhaseStarted: tasks have been started.
	PhaseStarted
	// PhaseDone: done, on record.
	PhaseDone
	// PhaseCancelled: cancelled, on record.
	PhaseCancelled
	// PhaseClosed: not on record, and never will be.
	PhaseClosed
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	names := [...]string{"unknown", "accepted", "begun", "done", "withdrawn", "closed"}
	if p < 0 || int(p) >= len(names) {
		return "phase " + strconv.Itoa(int(p))
	}
	return names[p]
}

// State is the state of a loan at its host.
type State struct {
	Job           string
	Epoch         Epoch
	Phase         Phase
	Done, Running int
	// Pending is set while the host's machines may have tasks of it.
	Pending bool
	Ended   time.Time
	// Reason is why it was not accepted.
	Reason string
}

// Advert is the spare capacity that a cell offers.
type Advert struct {
	Accepting bool
	CPUs      float64
	GPUs      float64
	CancelS   float64
	Types     []api.MachineType
}

// Response holds the states of all loans of a home cell at a host, and its spare capacity.
type Response struct {
	Host   string
	Term   uint64
	States []State
	Advert Advert
	// Refused is why the request was rejected, or empty.
	Refused string
}
