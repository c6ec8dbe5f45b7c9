package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connLimiter bounds the open connections of a server. When there are too many, it closes
// the one that has been idle for longest: worker agents and users that are alive send a
// request every few seconds, so none of them misses it, and no new connection has to wait.
type connLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]bool
	// idle holds the connections without a request, the longest idle first, and elements
	// their places in it.
	idle         *list.List
	idleElements map[net.Conn]*list.Element
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{
		limit:        limit,
		open:         map[net.Conn]bool{},
		idle:         list.New(),
		idleElements: map[net.Conn]*list.Element{},
	}
}

// onConnState has the form of an http.Server's ConnState.
func (c *connLimiter) onConnState(conn net.Conn, state http.ConnState) {
	if evicted := c.recordState(conn, state); evicted != nil {
		closeQuietly(evicted)
	}
}

// recordState records a state, and returns the connection to close, if any.
func (c *connLimiter) recordState(conn net.Conn, state http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.idleElements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.idleElements, conn)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return nil
	case http.StateActive:
		return nil
	}
	c.open[conn] = true
	c.idleElements[conn] = c.idle.PushBack(conn)
	if len(c.open) <= c.limit {
		return nil
	}
	// The newest is last, so it is closed only if all others are busy.
	evicted := c.idle.Remove(c.idle.Front()).(net.Conn)
	delete(c.idleElements, evicted)
	delete(c.open, evicted)
	return evicted
}
