package loan

// Held is what a host's records say of one job of a home cell.
type Held struct {
	Floor Epoch
	// Guest is the epoch under which the job runs here, or 0; Begun is set once tasks
	// of it were started, or may have been.
	Guest Epoch
	Begun bool
	// End is how a guest ended, or nil.
	End *End
	// Refuse says why a loan of the job is not accepted, or "".
	Refuse string
}

// Step is a change of a host's records.
type Step int

// The changes of a host's records.
const (
	StepNone Step = iota
	// StepAccept puts the guest's record.
	StepAccept
	// StepClose removes the guest's record and raises the floor to its epoch.
	StepClose
	// StepWithdraw removes the guest's record and puts its end: withdrawn.
	StepWithdraw
	// StepForget removes the guest's end and raises the floor to its epoch.
	StepForget
	// StepRaise raises the floor to the entry's epoch.
	StepRaise
)

// HostStep decides what a host does about an entry, by its records, and how the loan
// stands until that is done. An epoch that is not accepted is closed by the floor, on
// record, before home is told: no late copy of the offer can then be accepted.
func HostStep(e Entry, h Held) (Phase, Step) {
	switch {
	case h.End != nil && h.End.Epoch == e.Epoch:
		phase := PhaseWithdrawn
		if h.End.Phase == "done" {
			phase = PhaseDone
		}
		if e.Want == WantForget {
			return phase, StepForget
		}
		return phase, StepNone
	case h.Guest != 0 && h.Guest == e.Epoch:
		return guestStep(e, h)
	case e.Epoch <= h.Floor:
		return PhaseClosed, StepNone
	case h.Guest != 0 || h.End != nil:
		// Another loan of the same job is here. Home has made this one, so it has
		// given that one up, and will say so.
		return PhaseUnknown, StepRaise
	case e.Want != WantRun || h.Refuse != "":
		return PhaseUnknown, StepRaise
	case e.Offer != nil:
		return PhaseUnknown, StepAccept
	}
	return PhaseUnknown, StepNone
}

// guestStep decides about a guest that is here.
func guestStep(e Entry, h Held) (Phase, Step) {
	phase := PhaseAccepted
	if h.Begun {
		phase = PhaseBegun
	}
	switch {
	case e.Want == WantCancel || e.Want == WantForget:
		return phase, StepWithdraw
	case e.Want == WantBack && !h.Begun:
		return phase, StepClose
	}
	return phase, StepNone
}
