package daemon

import (
	"testing"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// All that may be held at a time on the users' behalf fits the memory that is not
// needed by an idle process, a fleet and its jobs.
func TestBoundsFitTheMemory(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		lim config.Limits
		// fleet is what a leader was seen to hold at the most with this size.
		fleet float64
		want  int
	}{
		{config.Limits{RAMMB: 65, FDLimit: 800}, 34 * mb, 560},
		{config.Limits{RAMMB: 98, FDLimit: 800}, 42 * mb, 560},
		{config.Limits{RAMMB: 152, FDLimit: 1183}, 83 * mb, 828},
		{config.Limits{RAMMB: 322, FDLimit: 2887}, 114 * mb, 2020},
		{config.Limits{RAMMB: 28, FDLimit: 800}, 12 * mb, 330},
	} {
		n := connections(c.lim)
		if n != c.want {
			t.Errorf("%v MB, %d sockets: %d connections, want %d", c.lim.RAMMB, c.lim.FDLimit, n, c.want)
		}
		held := float64(n*bytesPerConnection) + api.MaxHeldRequests + c.fleet
		if held > c.lim.RAMMB*mb {
			t.Errorf("%v MB, %d sockets: up to %.0f MB held", c.lim.RAMMB, c.lim.FDLimit, held/mb)
		}
	}
	if n := connections(config.Limits{RAMMB: 3, FDLimit: 64}); n < minOpenConnections {
		t.Errorf("smallest: %d connections", n)
	}
}
