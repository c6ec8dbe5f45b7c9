// Package loan implements the protocol by which cells lend each other jobs: the records
// that state which cell owns a job, the messages between cells, and the decisions of each
// side. It performs no I/O: its callers read and write the records and send the messages.
// docs/spillover.md explains the protocol.
package loan

import (
	"strconv"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Prefix is the key prefix of a cell's records about guests. The guests' active records are
// stored with those of the cell's own jobs instead.
const Prefix = "loan/"

const (
	endPrefix      = Prefix + "end/"
	minEpochPrefix = Prefix + "floor/"
)

// EndKey returns the key of the End record of a job lent by a home cell.
func EndKey(home, job string) string { return endPrefix + home + "/" + job }

// MinEpochKey returns the key of the MinEpochRecord of a home cell.
func MinEpochKey(home string) string { return minEpochPrefix + home }

// GuestMarker prefixes the job id of a cancelled guest in the cancellation log, to
// distinguish it from a job of the cell that has the same id.
const GuestMarker = "guest:"

// Epoch identifies a loan among all loans of its home cell. Epochs increase strictly: the
// upper 32 bits are the term of the home leader that made the loan, the lower 32 bits the
// number of the loan within that term.
type Epoch uint64

// countBits is the number of low bits of an epoch that hold the number of the loan within
// its term.
const countBits = 32

// NewEpoch returns the epoch of the count-th loan of a term. The count starts at 1.
func NewEpoch(term uint64, count uint32) Epoch { return Epoch(term<<countBits | uint64(count)) }

// String formats the epoch as TERM.COUNT.
func (e Epoch) String() string {
	return strconv.FormatUint(uint64(e>>countBits), 10) + "." + strconv.FormatUint(uint64(uint32(e)), 10)
}

// Budget is the capacity that the tasks of a loan may use at the same time. It counts
// against the limit of the job's team at home.
type Budget struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus,omitempty"`
}

// Lent is the part of a job's active record at home that marks the job as lent. While it is
// set, the record has the job's spec only here: a controller of a version without support
// for loans finds no spec in the record and so does not start the job a second time.
type Lent struct {
	Host   string      `json:"host"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	// Since is when the job became runnable: when it was accepted, or when the last job
	// that it depends on was done.
	Since time.Time `json:"since"`
	// Cancel is set once a user has requested the cancellation of the job.
	Cancel bool `json:"cancel,omitempty"`
}

// Guest is the part of an active record at the host that marks the job as lent by another
// cell.
type Guest struct {
	Home   string      `json:"home"`
	Epoch  Epoch       `json:"epoch"`
	Spec   api.JobSpec `json:"spec"`
	Budget Budget      `json:"grant"`
	Since  time.Time   `json:"since"`
}

// MinEpochRecord is a host's record of a home cell's minimum epoch: the host does not accept
// a loan with this epoch or a lower one.
type MinEpochRecord struct {
	Epoch Epoch `json:"epoch"`
}

// End is a host's record of how a guest ended. It is kept until home has recorded the end.
type End struct {
	Epoch Epoch     `json:"epoch"`
	Phase string    `json:"phase"`
	Tasks int       `json:"tasks"`
	Ended time.Time `json:"ended,omitzero"`
}

// DesiredState is the state that home requests of the host for a loan.
type DesiredState int

// The desired states of a loan.
const (
	// DesiredRun requests that the host accept the loan and run the job.
	DesiredRun DesiredState = iota
	// DesiredReclaim requests that the host close the loan if no task of it has started.
	DesiredReclaim
	// DesiredCancel requests that the host cancel the job.
	DesiredCancel
	// DesiredForget requests that the host delete its records of the loan: home has
	// recorded the end of the job or has no loan with this epoch.
	DesiredForget
)

// Offer holds what a host needs to accept a loan and run the job.
type Offer struct {
	Spec   api.JobSpec
	Budget Budget
	Since  time.Time
}

// Entry is the part of a Request about one loan. If DesiredRun is requested, the entry includes
// the offer until the host has reported a phase other than PhaseUnknown, unless the offers before
// it fill the request.
type Entry struct {
	Job     string
	Epoch   Epoch
	Desired DesiredState
	Offer   *Offer
}

// Request is a message from a home leader to a host, with the desired states of its loans.
type Request struct {
	Home    string
	Term    uint64
	Entries []Entry
}

// Phase is the phase of a loan at its host. Phases are ordered: home keeps the highest that
// the host has reported.
type Phase int

// The phases of a loan at its host.
const (
	// PhaseUnknown means that the host has not decided about the loan yet, or that its
	// decision is not on record yet.
	PhaseUnknown Phase = iota
	// PhaseAccepted means that the guest is on record and no task of it has started.
	PhaseAccepted
	// PhaseStarted means that tasks have started, or may have.
	PhaseStarted
	// PhaseDone means that all tasks are done and the end is on record.
	PhaseDone
	// PhaseCancelled means that the guest was cancelled and the end is on record.
	PhaseCancelled
	// PhaseClosed means that the host has no record of the loan and will not accept it.
	PhaseClosed
)

// String returns the name of the phase in the operators' status.
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
	// RunningUnknown is set if the host does not know whether tasks of the job run.
	RunningUnknown bool
	// Pending is set while tasks of the job may still be on machines of the host.
	Pending bool
	Ended   time.Time
	// Reason is why the loan was not accepted or was closed, if it was.
	Reason string
}

// Advert is the spare capacity that a cell offers to its neighbours.
type Advert struct {
	// Accepting is set while the cell accepts new loans.
	Accepting bool
	CPUs      float64
	GPUs      float64
	// CancelS is the cell's setting workers.cancel_s: within how many seconds the tasks of
	// a cancelled job are stopped.
	CancelS float64
	Types   []api.MachineType
}

// Response is a host's answer to a Request: the states of all loans of the home cell at this
// host, and the host's spare capacity.
type Response struct {
	Host   string
	Term   uint64
	States []State
	Advert Advert
	// Refused is why the whole request was rejected, or empty.
	Refused string
}
