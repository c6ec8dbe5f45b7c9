package cancellation

import "time"

// Reader is how far a node has read another one's log. The zero Reader has read
// nothing.
type Reader struct {
	position Position
	// All cancellations that were added to the other's log from completeSince until
	// knownUntil are known here. knownUntil is when the last request was sent whose
	// response held the rest of the log.
	completeSince, knownUntil time.Time
}

// Apply applies the delta in the response to a request sent at a time.
func (r *Reader) Apply(incarnation string, d *Delta, sent, now time.Time) {
	if incarnation == "" {
		return // of a version that keeps no log
	}
	if r.position.Incarnation != incarnation || d.First != r.position.Number+1 {
		*r = Reader{completeSince: now.Add(-d.CompleteFor)}
	}
	r.position = Position{Incarnation: incarnation, Number: d.LastNumber()}
	if !d.More {
		r.knownUntil = sent
	}
}

// CompleteSince is since when all cancellations of the other's log are known here.
func (r *Reader) CompleteSince() time.Time { return r.completeSince }

// KnownUntil is until when all cancellations of the other's log are known here.
func (r *Reader) KnownUntil() time.Time { return r.knownUntil }
