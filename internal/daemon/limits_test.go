package daemon

import (
	"testing"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// If connections and requests in flight reach their limits, the process must not run out of
// memory: they must fit in what the idle process, the fleet and its jobs leave.
func TestConnectionAndRequestLimitsFitInMemory(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		limits config.Limits
		// fleetBytes is the largest amount of memory seen in use by a leader of this size.
		fleetBytes float64
		want       int
	}{
		{config.Limits{RAMMB: 65, FDLimit: 800}, 34 * mb, 560},
		{config.Limits{RAMMB: 98, FDLimit: 800}, 42 * mb, 560},
		{config.Limits{RAMMB: 152, FDLimit: 1183}, 83 * mb, 828},
		{config.Limits{RAMMB: 322, FDLimit: 2887}, 114 * mb, 2020},
		{config.Limits{RAMMB: 28, FDLimit: 800}, 12 * mb, 330},
	} {
		n := maxConnections(c.limits)
		if n != c.want {
			t.Errorf("%v MB, %d sockets: got %d connections, want %d", c.limits.RAMMB, c.limits.FDLimit, n, c.want)
		}
		held := float64(n*bytesPerConnection) + api.MaxInFlightBytes + c.fleetBytes
		if held > c.limits.RAMMB*mb {
			t.Errorf("%v MB, %d sockets: got up to %.0f MB in use, want no more than the limit",
				c.limits.RAMMB, c.limits.FDLimit, held/mb)
		}
	}
	if n := maxConnections(config.Limits{RAMMB: 3, FDLimit: 64}); n < minOpenConnections {
		t.Errorf("smallest limits: got %d connections, want %d or more", n, minOpenConnections)
	}
}
