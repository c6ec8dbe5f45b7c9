package cluster

// Phase is a machine's lifecycle phase. It only advances.
type Phase int

const (
	// Active machines may be assigned tasks if they are schedulable; see IsSchedulable.
	Active Phase = iota
	// Evacuating machines are assigned no tasks and are terminated once they are empty.
	Evacuating
	// Terminating machines have been selected for termination, which the cloud has yet to confirm.
	Terminating
	// Terminated machines are confirmed as terminated by the cloud, and no task runs on them.
	Terminated
)

// Phase returns the machine's phase. New machines are active.
func (m *Machine) Phase() Phase { return m.phase }

// Advance moves the machine to a later phase and reports whether it did. It may skip phases, and does
// nothing if the machine is already in the given phase or a later one.
func (m *Machine) Advance(to Phase) bool {
	if to <= m.phase || to > Terminated {
		return false
	}
	m.phase = to
	return true
}
