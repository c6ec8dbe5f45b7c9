package cluster

import "testing"

// A machine that returned to an earlier phase would be assigned tasks again, or terminated twice.
func TestPhasesOnlyAdvance(t *testing.T) {
	phases := []Phase{Active, Evacuating, Terminating, Terminated}
	for _, from := range phases {
		for _, to := range phases {
			m := &Machine{phase: from}
			want, wantPhase := to > from, max(from, to)
			if got := m.Advance(to); got != want {
				t.Errorf("from %d to %d: got allowed %t, want %t", from, to, got, want)
			}
			if got := m.Phase(); got != wantPhase {
				t.Errorf("from %d to %d: got phase %d, want %d", from, to, got, wantPhase)
			}
		}
	}
	m := &Machine{}
	if m.Advance(Terminated+1) || m.Phase() != Active {
		t.Errorf("advanced to a phase that does not exist: %d", m.Phase())
	}
}
