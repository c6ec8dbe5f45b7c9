package cancellation

import "time"

// Reader is how far a node has read another one's log. The zero Reader has read
// nothing.
type Reader struct {
	position Position
	// completeSince is from when on all cancellations of the other's log are known,
	// and until when: when the last question was sent that was answered in full.
	completeSince, knownUntil time.Time
}

// Apply takes in an answer to a question sent at a time.
func (r *Reader) Apply(incarnation string, d *Delta, sent, now time.Time) {
	if incarnation == "" {
		return // one that keeps no log
	}
	if r.position.Incarnation != incarnation || d.First != r.position.Number+1 {
		*r = Reader{completeSince: now.Add(-d.CompleteFor)}
	}
	r.position = Position{Incarnation: incarnation, Number: d.LastNumber()}
	if !d.More {
		r.knownUntil = sent
	}
}

// CompleteSince is from when on all cancellations of the other's log are known here.
func (r *Reader) CompleteSince() time.Time { return r.completeSince }

// KnownUntil is before when all that the other has logged is known here.
func (r *Reader) KnownUntil() time.Time { return r.knownUntil }
