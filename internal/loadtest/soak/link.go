package main

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/loadtest/localprocess"
)

// linkMode is what a link does with connections and their data.
type linkMode int

// The modes of a link.
const (
	// linkOpen forwards all data.
	linkOpen linkMode = iota
	// linkRefused closes connections and refuses new ones.
	linkRefused
	// linkSilent drops all data. The connections are reset when the mode ends.
	linkSilent
	// linkHeld keeps all data and delivers it, in order, when the mode ends, even if the sender has
	// closed the connection meanwhile.
	linkHeld
)

// String implements fmt.Stringer.
func (m linkMode) String() string {
	return [...]string{"open", "refused", "silent", "held"}[m]
}

const (
	linkDialTimeout = time.Second
	linkBufferBytes = 16 << 10
)

// link forwards the connections of one party to the listener of another.
type link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	mode     linkMode
	// modeChanged is closed when the mode changes.
	modeChanged chan struct{}
	conns       map[net.Conn]bool
	closed      bool
	// affected counts the connections and pieces of data that a mode other than linkOpen affected.
	affected atomic.Int64
}

// newLink opens a link to an address.
func newLink(target string) (*link, error) {
	l := &link{
		addr:        localprocess.NextAddr(),
		target:      target,
		modeChanged: make(chan struct{}),
		conns:       map[net.Conn]bool{},
	}
	return l, l.listen()
}

// listen opens the listener. The caller holds the lock, or has not shared the link yet.
func (l *link) listen() error {
	listener, err := localprocess.ListenOn(l.addr)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	dialer := net.Dialer{Timeout: linkDialTimeout}
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			out, err := dialer.DialContext(context.Background(), "tcp", l.target)
			if err != nil {
				reset(in)
				return
			}
			if !l.add(in, out) {
				reset(in)
				reset(out)
				return
			}
			go l.forward(out, in)
			l.forward(in, out)
		}()
	}
}

// add registers the two connections of a forwarded one, unless the link refuses connections.
func (l *link) add(in, out net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == linkRefused {
		l.affected.Add(1)
		return false
	}
	l.conns[in], l.conns[out] = true, true
	return true
}

// forward copies data from one connection to another until one of them ends, and closes both.
func (l *link) forward(to, from net.Conn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.awaitDelivery() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			l.awaitDelivery()
			break
		}
	}
	closeQuietly(to)
	closeQuietly(from)
	l.mu.Lock()
	delete(l.conns, to)
	delete(l.conns, from)
	l.mu.Unlock()
}

// awaitDelivery waits while data is held, and reports whether data is to be delivered.
func (l *link) awaitDelivery() bool {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.modeChanged
		l.mu.Unlock()
		if mode == linkOpen {
			return true
		}
		l.affected.Add(1)
		if mode != linkHeld {
			return false
		}
		<-changed
	}
}

// setMode changes the mode of the link.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if mode == l.mode {
		if mode != linkOpen {
			l.affected.Add(1) // another fault has cut the link already
		}
		return
	}
	if l.mode == linkSilent || mode == linkRefused {
		for conn := range l.conns {
			l.affected.Add(1)
			reset(conn)
		}
	}
	if mode != linkOpen {
		l.affected.Add(int64(len(l.conns)))
	}
	if mode == linkRefused {
		l.affected.Add(1)
		closeQuietly(l.listener)
	} else if l.mode == linkRefused {
		l.relisten()
	}
	l.mode = mode
	close(l.modeChanged)
	l.modeChanged = make(chan struct{})
}

// relisten opens the listener again. The port is free, but the system may still be closing it.
func (l *link) relisten() {
	const attempts = 100
	for range attempts {
		if l.listen() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("link " + l.addr + ": port still in use")
}

// close ends the link for good.
func (l *link) close() {
	l.setMode(linkOpen)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	closeQuietly(l.listener)
	for conn := range l.conns {
		reset(conn)
	}
}

// reset closes a connection so that the peer's next read or write fails.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	closeQuietly(conn)
}

// closeQuietly closes a resource that is no longer used and ignores the error, which has no effect.
func closeQuietly(c io.Closer) { _ = c.Close() }
