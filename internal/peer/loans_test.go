package peer

import (
	"testing"

	"example.org/ivytrestle/internal/loan"
)

// The home cell learns whether the host knows if tasks of a loan run. A host of an earlier version does not say.
func TestLoanStateTellsWhetherRunningTasksAreKnown(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		states := []loan.State{{Job: "job-1", Phase: loan.PhaseStarted, Running: 2, RunningUnknown: unknown}}
		got := LoanResponseToProto(&loan.Response{States: states}).ToLoanResponse().States
		if len(got) != 1 || got[0] != states[0] {
			t.Errorf("got %+v, want %+v", got, states)
		}
	}
	old := &LoanAnswer{States: []*LoanState{{Job: "job-1", Phase: uint32(loan.PhaseStarted)}}}
	if old.ToLoanResponse().States[0].RunningUnknown {
		t.Error("host of an earlier version: got unknown, want known")
	}
}
