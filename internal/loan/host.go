package loan

// HostView is what a host has on record about one job of a home cell.
type HostView struct {
	// MinEpoch is the home cell's minimum epoch: loans with this epoch or a lower one that
	// are not on record are closed.
	MinEpoch Epoch
	// GuestEpoch is the epoch of the loan under which the job is a guest, or 0.
	GuestEpoch Epoch
	// Started is set if tasks of the guest have started, or may have.
	Started bool
	// End is the record of how the guest ended, or nil.
	End *End
	// RefusalReason is why the host does not accept the offered loan, or empty.
	RefusalReason string
}

// Step is a change of a host's records about a loan.
type Step int

// The changes of a host's records.
const (
	// StepNone changes nothing.
	StepNone Step = iota
	// StepAccept writes the guest's active record.
	StepAccept
	// StepClose deletes the guest's active record and raises the minimum epoch to the
	// epoch of the loan.
	StepClose
	// StepCancel deletes the guest's active record and records that it was cancelled.
	StepCancel
	// StepForget deletes the record of the guest's end and raises the minimum epoch to the
	// epoch of the loan.
	StepForget
	// StepRaiseMinEpoch raises the minimum epoch to the epoch of the loan, which closes a
	// loan that the host does not accept.
	StepRaiseMinEpoch
)

// HostStep returns the step that a host takes on an entry, given its records, and the phase
// that it reports until the step is committed. The host reports a loan that it does not accept
// as closed only once the raised minimum epoch is on record, so that a delayed copy of the
// offer cannot be accepted afterwards.
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
		// The host has records of another loan of the same job. Home no longer has that
		// loan, since it made this one, and will request that its records be removed.
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Desired != DesiredRun || h.RefusalReason != "":
		return PhaseUnknown, StepRaiseMinEpoch
	case e.Offer != nil:
		return PhaseUnknown, StepAccept
	}
	return PhaseUnknown, StepNone
}

// guestStep implements HostStep for an entry whose epoch is that of the guest on record.
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
