package records

import (
	"strings"
	"testing"

	"example.org/ivytrestle/internal/api"
)

// However large a value may be, a record must also fit the transaction that writes it. Otherwise the
// store would reject the submission at every retry.
func TestRecordFitsItsTransaction(t *testing.T) {
	for _, c := range []struct {
		name    string
		bytes   int
		valueKB float64
		want    bool
	}{
		{"large value", 60000, 128, true},
		{"transaction nearly full", 63000, 128, true},
		{"transaction too large", 64000, 128, false},
		{"small value", 700, 1, true},
		{"small value too large", 1000, 1, false},
		{"value nearly full", 60000, 59, true},
		{"value too large", 60000, 58, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := &api.JobSpec{ID: "job-1", Types: []string{strings.Repeat("t", c.bytes)}}
			if got := JobFits(spec, c.valueKB); got != c.want {
				t.Errorf("%d bytes of types, values of %v KiB: got %v, want %v", c.bytes, c.valueKB, got, c.want)
			}
		})
	}
}
