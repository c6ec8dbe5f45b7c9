package loan

// HostView is the content of a host's records about one job of a home cell.
type HostView struct {
	// MinEpoch is the minimum epoch: loans up to it are closed.
	MinEpoch Epoch
	// GuestEpoch is the epoch under which the job is a guest, or 0; Started is set once
	// tasks of it were started, or may have been.
	GuestEpoch Epoch
	Started    bool
	// End is how a guest ended, or nil.
	End *End
	// RefusalReason is why a loan of the job is not accepted, or empty.
	RefusalReason string
}

// Step is a change of a host's records.
type Step int

// The changes of a host's records.
const (
	// StepNone changes nothing.
	StepNone Step = iota
	// StepAccept writes the guest's record.
	StepAccept
	// StepClose removes the guest's record and raises the minimum epoch to its epoch.
	StepClose
	// StepCancel removes the guest's record and records its end as cancelled.
	StepCancel
	// StepForget removes the guest's end and raises the minimum epoch to its epoch.
	StepForget
	// StepRaiseMinEpoch raises the minimum epoch to the entry's epoch.
	StepRaiseMinEpoch
)

// HostStep decides, by a host's records, which step it takes on an entry, and the loan's
// phase until the step is committed. An epoch that is not accepted is closed by the
// minimum epoch, on record, before the response to home: no late copy of the offer can
// be accepted after it.
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
		// The host has another loan of the same job. Since home has made this one, it
		// has abandoned the other, which its entry for that loan will show.
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Desired != DesiredRun || h.RefusalReason != "":
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Offer != nil:
		return PhaseUnknown, StepAccept
	}
	return PhaseUnknown, StepNone
}

// guestStep is HostStep for a guest with the entry's epoch.
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
