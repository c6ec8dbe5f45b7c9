package cluster

// Phase is how far a machine is on its way out of the fleet. It only advances.
type Phase int

const (
	// Active machines may be assigned tasks, unless something else keeps them from it.
	Active Phase = iota
	// Evacuating machines get no tasks, and their termination follows.
	Evacuating
	// Terminating machines are to be terminated by the cloud, which has not confirmed it yet.
	Terminating
	// Terminated machines are those whose termination the cloud has confirmed: no task is on them.
	Terminated
)

// Phase is the machine's phase; a new machine is active.
func (m *Machine) Phase() Phase { return m.phase }

// Advance moves the machine to a later phase and reports whether it did. The phases between may
// be skipped; a machine never goes back.
func (m *Machine) Advance(to Phase) bool {
	if to <= m.phase || to > Terminated {
		return false
	}
	m.phase = to
	return true
}
