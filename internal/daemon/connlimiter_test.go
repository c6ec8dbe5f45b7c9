package daemon

import (
	"net"
	"net/http"
	"testing"
)

// Idle connections, and such on which nothing was ever asked, must not keep
// others out; busy ones stay.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	c := newConnLimiter(3)
	conns := make([]net.Conn, 6)
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	step := func(i int, s http.ConnState, want int) {
		t.Helper()
		out := c.connStateChanged(conns[i], s)
		if want < 0 && out != nil || want >= 0 && out != conns[want] {
			t.Errorf("connection %d %v: closed the wrong one", i, s)
		}
	}
	step(0, http.StateNew, -1)
	step(1, http.StateNew, -1)
	step(0, http.StateActive, -1)
	step(2, http.StateNew, -1)
	step(0, http.StateIdle, -1)
	step(3, http.StateNew, 1) // idle for longest
	step(2, http.StateActive, -1)
	step(3, http.StateActive, -1)
	step(4, http.StateNew, 0)
	step(4, http.StateActive, -1)
	step(5, http.StateNew, 5) // all others are busy
	step(4, http.StateClosed, -1)
	step(5, http.StateNew, -1)
	if len(c.open) != 3 || c.idle.Len() != 1 {
		t.Errorf("%d open, %d idle", len(c.open), c.idle.Len())
	}
}
