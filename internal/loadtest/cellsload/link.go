package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"example.org/ivytrestle/internal/loadtest/localprocess"
)

const linkDialTimeout = time.Second

// link forwards connections from one cell to a listener of another cell's controller. While it is
// cut, it closes all connections.
type link struct {
	// from and to are the names of the cells.
	from, to string
	ln       net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func newLink(from, to, target string) (*link, error) {
	ln, err := localprocess.Listen()
	if err != nil {
		return nil, err
	}
	l := &link{from: from, to: to, ln: ln, target: target, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	dialer := net.Dialer{Timeout: linkDialTimeout}
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		out, err := dialer.DialContext(context.Background(), "tcp", l.target)
		if cut || err != nil {
			closeQuietly(in)
			if err == nil {
				closeQuietly(out)
			}
			continue
		}
		l.mu.Lock()
		l.conns[in], l.conns[out] = true, true
		l.mu.Unlock()
		go l.forward(in, out)
		go l.forward(out, in)
	}
}

// forward copies data from one connection to another until either is closed or fails, and closes
// both.
func (l *link) forward(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	closeQuietly(to)
	closeQuietly(from)
	l.mu.Lock()
	delete(l.conns, to)
	delete(l.conns, from)
	l.mu.Unlock()
}

// setCut cuts the link and closes its connections, or restores it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			closeQuietly(conn)
		}
	}
}
