package loan

// Action is what home does about one of its loans.
type Action int

// The actions of home.
const (
	// ActionNone leaves the job on loan.
	ActionNone Action = iota
	// ActionReclaim restores the job's record without the loan.
	ActionReclaim
	// ActionDone records that the job is done.
	ActionDone
	// ActionCancel records that the job is cancelled.
	ActionCancel
)

// HomeStep decides what home does about a loan, given its state at the host. A cancelled
// job ends at home only once none of its tasks is on a machine of the host: until then
// the budget must count against its team's limit.
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

// CanConfirmEnd reports whether a home leader of some term can confirm that a loan is settled
// which its host names and which home does not know as lent. A leader knows its own loans
// and, from the records, those of earlier terms; it cannot know those of a later leader.
func CanConfirmEnd(term uint64, e Epoch) bool { return uint64(e>>32) <= term }
