package loan

// Action is what home does about one of its loans.
type Action int

// What home does about one of its loans.
const (
	// ActionNone leaves it lent.
	ActionNone Action = iota
	// ActionReclaim puts the job's plain record back.
	ActionReclaim
	// ActionDone and ActionCancel record the job's end.
	ActionDone
	ActionCancel
)

// HomeStep decides what home does about a loan by what its host says. A cancelled job
// ends at home only once none of its tasks is on a machine of the host: until then the
// grant must count against its team's limit.
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

// ConfirmedBy tells whether home can say of a loan that its host names and home does not
// know as lent that it is settled. A leader knows all loans of earlier terms from the
// records, and its own; a later one's it cannot know.
func ConfirmedBy(term uint64, e Epoch) bool { return uint64(e>>32) <= term }
