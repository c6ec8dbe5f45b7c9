package daemon

import (
	"testing"

	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/peer"
)

// Each scope and certainty arrives as it was sent. A value of a later version, or none, is the one of the
// version in production, which sends none.
func TestJobQueriesBetweenVersions(t *testing.T) {
	for scope := controller.RecordsScope; scope <= controller.ClusterScope; scope++ {
		if got := fromProto(scopes, scopes[scope]); got != scope {
			t.Errorf("scope %d: got %d", scope, got)
		}
	}
	for certainty := controller.CertaintyUnspecified; certainty <= controller.PhaseNotKnown; certainty++ {
		if got := fromProto(certainties, certainties[certainty]); got != certainty {
			t.Errorf("certainty %d: got %d", certainty, got)
		}
	}
	const later = 99
	if got := fromProto(scopes, peer.JobQuery_Scope(later)); got != controller.RecordsScope {
		t.Errorf("later scope: got %d, want %d", got, controller.RecordsScope)
	}
	old := &peer.JobStatus{Known: true}
	if got := fromProto(certainties, old.GetCertainty()); got != controller.CertaintyUnspecified {
		t.Errorf("no certainty: got %d, want %d", got, controller.CertaintyUnspecified)
	}
}
