package loan

// Action is a change of home's record of a lent job.
type Action int

// The actions of home.
const (
	// ActionNone changes nothing: the job stays lent.
	ActionNone Action = iota
	// ActionReclaim returns the job to its team's queue at home.
	ActionReclaim
	// ActionDone writes the terminal record of a job that is done.
	ActionDone
	// ActionCancel writes the terminal record of a job that is cancelled.
	ActionCancel
)

// HomeStep returns the action that home takes on a loan in a given state at its host. A state
// of another epoch is ignored. A cancelled job ends at home only once none of its tasks is on
// a machine of the host, because until then its budget must count against its team's limit.
func HomeStep(l *Lent, s State) Action {
	if s.Epoch != l.Epoch {
		return ActionNone
	}
	switch s.Phase {
	case PhaseDone:
		return ActionDone
	case PhaseCancelled:
		if s.Pending {
			return ActionNone
		}
		return ActionCancel
	case PhaseClosed:
		if l.Cancel {
			return ActionCancel
		}
		return ActionReclaim
	}
	return ActionNone
}

// CanConfirmEnd reports whether a home leader of the given term may conclude that a loan has
// ended if its lent jobs do not include it. This holds for loans of its own term and, since
// it has read the records, of earlier terms. A loan of a later term may have been made without
// its knowledge.
func CanConfirmEnd(term uint64, e Epoch) bool { return uint64(e>>countBits) <= term }
