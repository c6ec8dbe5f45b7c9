package records

import (
	"strings"
	"testing"

	"example.org/ivytrestle/internal/api"
)

// A record must fit the transaction that writes it, too, however large a value
// may be.
func TestRecordFitsItsTransaction(t *testing.T) {
	for _, c := range []struct {
		bytes   int
		valueKB float64
		want    bool
	}{{60000, 128, true}, {63000, 128, true}, {64000, 128, false}, {700, 1, true}, {1000, 1, false}, {60000, 59, true}, {60000, 58, false}} {
		s := &api.JobSpec{ID: "job-1", Types: []string{strings.Repeat("t", c.bytes)}}
		if got := Fits(s, c.valueKB); got != c.want {
			t.Errorf("%d bytes of types, values of %v KiB: %v", c.bytes, c.valueKB, got)
		}
	}
}
