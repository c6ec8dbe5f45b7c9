package cancellation

import "time"

// Reader tracks how far a node has read another node's log. The zero Reader has read nothing.
type Reader struct {
	position Position
	// The node has all cancellations that were added to the other node's log between
	// completeSince and knownUntil. knownUntil is the send time of the latest request whose
	// response held the log up to its end.
	completeSince, knownUntil time.Time
}

// Apply applies the delta in the response to a request that was sent at the time sent.
func (r *Reader) Apply(incarnation string, d *Delta, sent, now time.Time) {
	if incarnation == "" {
		return // the other node's version keeps no log
	}
	if r.position.Incarnation != incarnation || d.First != r.position.Number+1 {
		*r = Reader{completeSince: now.Add(-d.CompleteFor)}
	}
	r.position = Position{Incarnation: incarnation, Number: d.LastNumber()}
	if !d.More {
		r.knownUntil = sent
	}
}

// CompleteSince returns the time since which the node has all cancellations of the other's log.
func (r *Reader) CompleteSince() time.Time { return r.completeSince }

// KnownUntil returns the time up to which the node has all cancellations of the other's log.
func (r *Reader) KnownUntil() time.Time { return r.knownUntil }
