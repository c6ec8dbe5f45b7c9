package election

import "testing"

// Guards against a term whose fencing tokens a machine has seen in an earlier one, also when versions
// with and without ranges of tokens lead in turn.
func TestTokensOfTermsDoNotOverlap(t *testing.T) {
	for _, c := range []struct {
		name string
		// last is the number of the term before the first one that is begun.
		last uint64
		// tokensPerTerm are the numbers of tokens of the terms that follow.
		tokensPerTerm []uint64
		want          []TokenRange
	}{
		{"single tokens", 0, []uint64{0, 1}, []TokenRange{{1, 1}, {2, 2}}},
		{"ranges", 3, []uint64{8, 8}, []TokenRange{{4, 11}, {12, 19}}},
		{"rollout and rollback", 3, []uint64{8, 1, 1, 8}, []TokenRange{{4, 11}, {12, 12}, {13, 13}, {14, 21}}},
		{"no numbers left for a range", maxTermNumber - 8, []uint64{8, 1}, []TokenRange{
			{maxTermNumber - 7, maxTermNumber - 7}, {maxTermNumber - 6, maxTermNumber - 6},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := TermRecord{Number: c.last}
			for i, tokens := range c.tokensPerTerm {
				record = record.next(tokens)
				if got := record.Tokens(); got != c.want[i] {
					t.Errorf("term %d: got tokens %v, want %v", i, got, c.want[i])
				}
			}
		})
	}
}
