package cancellation

import "time"

// Reader is how far a node has read another one's log. The zero Reader has read
// nothing.
type Reader struct {
	pos Position
	// whole is from when on all cancellations of the other's log are known,
	// and until when: when the last question was sent that was answered in full.
	whole, until time.Time
}

// Take takes in an answer to a question sent at a time.
func (r *Reader) Take(incarnation string, n *News, sent, now time.Time) {
	if incarnation == "" {
		return // one that keeps no log
	}
	if r.pos.Incarnation != incarnation || n.First != r.pos.Number+1 {
		*r = Reader{whole: now.Add(-n.Whole)}
	}
	r.pos = Position{Incarnation: incarnation, Number: n.Last()}
	if !n.More {
		r.until = sent
	}
}

// WholeSince is from when on all cancellations of the other's log are known here.
func (r *Reader) WholeSince() time.Time { return r.whole }

// KnownUntil is before when all that the other has logged is known here.
func (r *Reader) KnownUntil() time.Time { return r.until }
