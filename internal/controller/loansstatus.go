package controller

import (
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/loan"
)

// CellsStatus is the part of the leader's status about loans to and from other cells.
type CellsStatus struct {
	Cell string `json:"cell"`
	// Enabled is set once every node of the cell supports loans.
	Enabled    bool              `json:"enabled"`
	Neighbours []NeighbourStatus `json:"neighbours"`
	// Lent are the loans to other cells, at most maxLoansInStatus.
	Lent []LoanStatus `json:"lent"`
	// Guests are the loans from other cells, at most maxLoansInStatus.
	Guests []LoanStatus `json:"guests"`
	// EndedGuests is the number of ended guests whose end the home cell has not confirmed yet.
	EndedGuests int        `json:"ended_guests"`
	Counts      LoanCounts `json:"counts"`
}

// NeighbourStatus is the state of the exchange with another cell.
type NeighbourStatus struct {
	Cell string `json:"cell"`
	// Unreachable is set if the operators have declared the cell lost in the settings.
	Unreachable bool `json:"lost,omitempty"`
	// LastResponseAgeS is the number of seconds since the cell last responded; -1 if it has
	// not responded in this term.
	LastResponseAgeS float64 `json:"heard_s_ago"`
	// RoundTripMs is the round-trip time of the last successful exchange.
	RoundTripMs int64   `json:"delay_ms"`
	SpareCPUs   float64 `json:"spare_cpus"`
	Accepting   bool    `json:"accepting"`
	// LastError is why the last exchange failed, or empty if it succeeded.
	LastError string `json:"last_error,omitempty"`
	// Lent is the number of loans to the cell.
	Lent int `json:"lent"`
	// Guests is the number of loans from the cell.
	Guests int `json:"guests"`
}

// LoanStatus is the state of one loan.
type LoanStatus struct {
	Job     string  `json:"job"`
	Cell    string  `json:"cell"`
	Epoch   string  `json:"epoch"`
	Phase   string  `json:"phase"`
	CPUs    float64 `json:"cpus"`
	Done    int     `json:"done"`
	Running int     `json:"running"`
	// PendingReason is what the loan is waiting for, or empty.
	PendingReason string `json:"waits,omitempty"`
}

// LoanCounts counts events of loans since the leader's term began.
type LoanCounts struct {
	// Lent is the number of loans made to other cells.
	Lent int64 `json:"lent"`
	// Reclaimed is the number of loans that ended because the job was returned to this cell.
	Reclaimed int64 `json:"taken_back"`
	// Done is the number of lent jobs that were completed by the other cell.
	Done int64 `json:"done_away"`
	// Cancelled is the number of lent jobs that were cancelled.
	Cancelled int64 `json:"withdrawn_away"`
	// Accepted is the number of guests accepted.
	Accepted int64 `json:"guests_accepted"`
	// Returned is the number of guests returned before their first start.
	Returned int64 `json:"guests_given_back"`
	// Stopped is the number of tasks of guests whose preemption was requested.
	Stopped int64 `json:"guest_tasks_stopped"`
	// RecordsChanged is the number of transactions that changed records of loans.
	RecordsChanged int64 `json:"records_changed"`
}

// maxLoansInStatus bounds the loans listed in a status, for each direction.
const maxLoansInStatus = 50

// status returns the status of the loans, or nil if no neighbours are configured.
func (l *loans) status(now time.Time) *CellsStatus {
	lt := l.leaderTerm
	if lt.c.Cells == nil {
		return nil
	}
	s := &CellsStatus{Cell: lt.c.Cells.Cell, Enabled: l.enabled(), EndedGuests: l.ends.Len(), Counts: l.counts}
	lent, guests := map[string]int{}, map[string]int{}
	for _, j := range lt.jobs {
		switch {
		case j.Lent != nil:
			lent[j.Lent.Host]++
			s.Lent = append(s.Lent, l.lentStatus(j))
		case j.Guest != nil:
			guests[j.Guest.Home]++
			s.Guests = append(s.Guests, guestStatus(j))
		}
	}
	s.Lent, s.Guests = sortAndTruncateLoans(s.Lent), sortAndTruncateLoans(s.Guests)
	for _, n := range l.neighbours {
		neighbourStatus := NeighbourStatus{
			Cell:             n.cell,
			Unreachable:      n.unreachable,
			LastResponseAgeS: -1,
			RoundTripMs:      n.roundTripTime.Milliseconds(),
			SpareCPUs:        n.advert.CPUs,
			Accepting:        n.advert.Accepting,
			LastError:        n.lastError,
			Lent:             lent[n.cell],
			Guests:           guests[n.cell],
		}
		if !n.lastResponse.IsZero() {
			neighbourStatus.LastResponseAgeS = now.Sub(n.lastResponse).Seconds()
		}
		s.Neighbours = append(s.Neighbours, neighbourStatus)
	}
	slices.SortFunc(s.Neighbours, func(a, b NeighbourStatus) int { return strings.Compare(a.Cell, b.Cell) })
	return s
}

// sortAndTruncateLoans sorts loans by job id and returns the first maxLoansInStatus of them.
func sortAndTruncateLoans(all []LoanStatus) []LoanStatus {
	slices.SortFunc(all, func(a, b LoanStatus) int { return strings.Compare(a.Job, b.Job) })
	return all[:min(len(all), maxLoansInStatus)]
}

// lentStatus returns the status of a job that is lent to another cell.
func (l *loans) lentStatus(j *cluster.Job) LoanStatus {
	s := LoanStatus{
		Job:     j.Spec.ID,
		Cell:    j.Lent.Host,
		Epoch:   j.Lent.Epoch.String(),
		Phase:   j.RemoteState.Phase.String(),
		CPUs:    j.Lent.Budget.CPUs,
		Done:    j.RemoteState.Done,
		Running: j.RemoteState.Running,
	}
	n := l.neighbours[j.Lent.Host]
	switch {
	case n == nil:
		s.PendingReason = "its cell is not configured"
	case n.lastError != "":
		s.PendingReason = "its cell does not answer: " + n.lastError
	case j.Lent.Cancel:
		s.PendingReason = "to be cancelled there"
	case j.ReclaimRequested:
		s.PendingReason = "called back"
	case j.RemoteState.Phase == loan.PhaseUnknown:
		s.PendingReason = "not accepted yet"
	}
	return s
}

// guestStatus returns the status of a guest.
func guestStatus(j *cluster.Job) LoanStatus {
	state := j.State()
	s := LoanStatus{
		Job:     j.Spec.ID,
		Cell:    j.Guest.Home,
		Epoch:   j.Guest.Epoch.String(),
		Phase:   loan.PhaseAccepted.String(),
		CPUs:    j.Guest.Budget.CPUs,
		Done:    state.Done,
		Running: state.Running,
	}
	if j.Started() {
		s.Phase = loan.PhaseStarted.String()
	}
	return s
}
