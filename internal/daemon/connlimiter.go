package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connLimiter bounds the open connections of a server. When there are too many, the
// one that has been idle for longest makes room: workers and users that are
// still there speak every few seconds, so what sits idle for longer is nobody's
// loss, and nobody is kept waiting in front of the door.
type connLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]bool
	// idle holds the connections without a request, the longest idle first.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, open: map[net.Conn]bool{}, idle: list.New(), elements: map[net.Conn]*list.Element{}}
}

// watch is an http.Server's ConnState.
func (c *connLimiter) watch(conn net.Conn, state http.ConnState) {
	if out := c.connStateChanged(conn, state); out != nil {
		out.Close()
	}
}

// connStateChanged takes a change in, and returns the connection to close, if any.
func (c *connLimiter) connStateChanged(conn net.Conn, state http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return nil
	case http.StateActive:
		return nil
	}
	c.open[conn] = true
	c.elements[conn] = c.idle.PushBack(conn)
	if len(c.open) <= c.limit {
		return nil
	}
	// The newest is last: it goes only if all others are busy.
	e := c.idle.Front()
	out := c.idle.Remove(e).(net.Conn)
	delete(c.elements, out)
	delete(c.open, out)
	return out
}
