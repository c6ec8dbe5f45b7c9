package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connLimiter bounds the open connections of a server. Above the limit it closes the connection
// that has been idle longest, so that new connections need not wait. Live worker agents and users
// send a request every few seconds, so a connection that has been idle for long belongs to none of them.
type connLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]bool
	// idle lists the connections without a request in progress, the longest idle first.
	idle *list.List
	// idleElements holds the element of each connection in idle.
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

// onConnState is the server's ConnState callback. It closes a connection if the limit is exceeded.
func (c *connLimiter) onConnState(conn net.Conn, state http.ConnState) {
	if evicted := c.recordState(conn, state); evicted != nil {
		closeQuietly(evicted)
	}
}

// recordState records the new state of a connection. It returns the connection to close, or nil.
func (c *connLimiter) recordState(conn net.Conn, state http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.idleElements[conn]; element != nil {
		c.idle.Remove(element)
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
	// The connection just added is last in the list, so it is closed only if all others are busy.
	evicted := c.idle.Remove(c.idle.Front()).(net.Conn)
	delete(c.idleElements, evicted)
	delete(c.open, evicted)
	return evicted
}
