package controller

import (
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/loan"
)

// CellsStatus is the operators' view of the loans to and from other cells.
type CellsStatus struct {
	Cell       string            `json:"cell"`
	Enabled    bool              `json:"enabled"`
	Neighbours []NeighbourStatus `json:"neighbours"`
	// Lent and Guests are the loans to and from other cells, at most maxLoansInStatus of each.
	Lent   []LoanStatus `json:"lent"`
	Guests []LoanStatus `json:"guests"`
	// EndedGuests is how many guests have ended whose home cell has yet to record it.
	EndedGuests int        `json:"ended_guests"`
	Counts      LoanCounts `json:"counts"`
}

// NeighbourStatus is the state of the exchange with another cell.
type NeighbourStatus struct {
	Cell             string  `json:"cell"`
	Unreachable      bool    `json:"lost,omitempty"`
	LastResponseAgeS float64 `json:"heard_s_ago"`
	RoundTripMs      int64   `json:"delay_ms"`
	SpareCPUs        float64 `json:"spare_cpus"`
	Accepting        bool    `json:"accepting"`
	LastError        string  `json:"last_error,omitempty"`
	Lent             int     `json:"lent"`
	Guests           int     `json:"guests"`
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
	// PendingReason is the reason why it is pending, if it is.
	PendingReason string `json:"waits,omitempty"`
}

// LoanCounts are the leader's counts of loans since its term began.
type LoanCounts struct {
	Lent      int64 `json:"lent"`
	Reclaimed int64 `json:"taken_back"`
	Done      int64 `json:"done_away"`
	Cancelled int64 `json:"withdrawn_away"`
	Accepted  int64 `json:"guests_accepted"`
	Returned  int64 `json:"guests_given_back"`
	Stopped   int64 `json:"guest_tasks_stopped"`
	// RecordsChanged is how many changes of loans were put on record.
	RecordsChanged int64 `json:"records_changed"`
}

// maxLoansInStatus bounds the loans in a status.
const maxLoansInStatus = 50

// status is the operators' view, or nil where there are no other cells.
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
		ns := NeighbourStatus{
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
			ns.LastResponseAgeS = now.Sub(n.lastResponse).Seconds()
		}
		s.Neighbours = append(s.Neighbours, ns)
	}
	slices.SortFunc(s.Neighbours, func(a, b NeighbourStatus) int { return strings.Compare(a.Cell, b.Cell) })
	return s
}

// sortAndTruncateLoans sorts loans by job and returns the first maxLoansInStatus.
func sortAndTruncateLoans(all []LoanStatus) []LoanStatus {
	slices.SortFunc(all, func(a, b LoanStatus) int { return strings.Compare(a.Job, b.Job) })
	return all[:min(len(all), maxLoansInStatus)]
}

// lentStatus is the status of a job that runs in another cell.
func (l *loans) lentStatus(j *cluster.Job) LoanStatus {
	s := LoanStatus{
		Job:     j.Spec.ID,
		Cell:    j.Lent.Host,
		Epoch:   j.Lent.Epoch.String(),
		Phase:   j.Remote.Phase.String(),
		CPUs:    j.Lent.Budget.CPUs,
		Done:    j.Remote.Done,
		Running: j.Remote.Running,
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
	case j.Remote.Phase == loan.PhaseUnknown:
		s.PendingReason = "not accepted yet"
	}
	return s
}

// guestStatus is the status of a job that runs here for another cell.
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
