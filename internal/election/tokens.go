package election

import "math"

// TokenRange is the range of fencing tokens of one term, both ends included. Machines compare
// tokens: they reject commands with a lower token than the highest one that they have seen. The
// ranges of later terms lie above those of earlier ones.
type TokenRange struct{ First, Last uint64 }

// NewTokenRange returns the range that ends at a term's number. first is 0 if the term was begun by
// a version whose terms have a single token, which is the term's number.
func NewTokenRange(first, number uint64) TokenRange {
	if first == 0 {
		first = number
	}
	return TokenRange{First: first, Last: number}
}

// Contains reports whether a token belongs to the term.
func (r TokenRange) Contains(token uint64) bool { return r.First <= token && token <= r.Last }

// maxTermNumber bounds the numbers of terms with several tokens, since the numbers of attempts have
// 32 bits for that of the term.
const maxTermNumber = math.MaxUint32

// next returns the record of the term that follows the one in r and has the given number of tokens.
// The number of a term is its last token, because versions whose terms have a single token take the
// next number as their token.
func (r TermRecord) next(tokens uint64) TermRecord {
	next := TermRecord{Number: r.Number + 1}
	if tokens > 1 && next.Number+tokens <= maxTermNumber {
		next.FirstToken = next.Number
		next.Number += tokens - 1
	}
	return next
}

// Tokens returns the fencing tokens of the term.
func (t Term) Tokens() TokenRange { return NewTokenRange(t.FirstToken, t.Number) }

// Tokens returns the fencing tokens of the term in the record.
func (r TermRecord) Tokens() TokenRange { return NewTokenRange(r.FirstToken, r.Number) }
