package daemon

import (
	"net"
	"net/http"
	"slices"
	"testing"
)

// At the limit, a connection that is idle or has not sent a request yet must be closed in favour
// of a new one. A connection with a request in progress must stay open.
func TestLongestIdleConnectionIsClosedAtLimit(t *testing.T) {
	c := newConnLimiter(3)
	conns := make([]net.Conn, 6)
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	const none = -1
	checkClosed := func(i int, state http.ConnState, want int) {
		t.Helper()
		closed := c.recordState(conns[i], state)
		if got := slices.Index(conns, closed); got != want {
			t.Errorf("connection %d %v: closed connection %d, want %d", i, state, got, want)
		}
	}
	checkClosed(0, http.StateNew, none)
	checkClosed(1, http.StateNew, none)
	checkClosed(0, http.StateActive, none)
	checkClosed(2, http.StateNew, none)
	checkClosed(0, http.StateIdle, none)
	checkClosed(3, http.StateNew, 1) // idle for longest
	checkClosed(2, http.StateActive, none)
	checkClosed(3, http.StateActive, none)
	checkClosed(4, http.StateNew, 0)
	checkClosed(4, http.StateActive, none)
	checkClosed(5, http.StateNew, 5) // all others are busy
	checkClosed(4, http.StateClosed, none)
	checkClosed(5, http.StateNew, none)
	if len(c.open) != 3 || c.idle.Len() != 1 {
		t.Errorf("got %d open and %d idle, want 3 and 1", len(c.open), c.idle.Len())
	}
}
