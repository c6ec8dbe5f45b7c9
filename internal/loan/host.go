package loan

// HostView is what a host's records say of one job of a home cell.
type HostView struct {
	MinEpoch Epoch
	// GuestEpoch is the epoch under which the job runs here, or 0; Begun is set once tasks
	// of it were started, or may have been.
	GuestEpoch Epoch
	Started    bool
	// End is how a guest ended, or nil.
	End *End
	// RefusalReason says why a loan of the job is not accepted, or "".
	RefusalReason string
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
	// StepCancel removes the guest's record and puts its end: withdrawn.
	StepCancel
	// StepForget removes the guest's end and raises the floor to its epoch.
	StepForget
	// StepRaiseMinEpoch raises the floor to the entry's epoch.
	StepRaiseMinEpoch
)

// HostStep decides what a host does about an entry, by its records, and how the loan
// stands until that is done. An epoch that is not accepted is closed by the floor, on
// record, before home is told: no late copy of the offer can then be accepted.
func HostStep(e Entry, h HostView) (Phase, Step) {
	switch {
	case h.End != nil && h.End.Epoch == e.Epoch:
		phase := PhaseCancelled
		if h.End.Phase == "done" {
			phase = PhaseDone
		}
		if e.Desired == DesiredForget {
			return phase, StepForget
		}
		return phase, StepNone
	case h.GuestEpoch != 0 && h.GuestEpoch == e.Epoch:
		return guestStep(e, h)
	case e.Epoch <= h.MinEpoch:
		return PhaseClosed, StepNone
	case h.GuestEpoch != 0 || h.End != nil:
		// Another loan of the same job is here. Home has made this one, so it has
		// given that one up, and will say so.
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Desired != DesiredRun || h.RefusalReason != "":
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Offer != nil:
		return PhaseUnknown, StepAccept
	}
	return PhaseUnknown, StepNone
}

// guestStep decides about a guest that is here.
func guestStep(e Entry, h HostView) (Phase, Step) {
	phase := PhaseAccepted
	if h.Started {
		phase = PhaseStarted
	}
	switch {
	case e.Desired == DesiredCancel || e.Desired == DesiredForget:
		return phase, StepCancel
	case e.Desired == DesiredReclaim && !h.Started:
		return phase, StepClose
	}
	return phase, StepNone
}
