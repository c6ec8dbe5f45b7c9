package localprocess

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkMode is what a link does with connections and their data.
type LinkMode int

// The modes of a link.
const (
	// Open forwards all data.
	Open LinkMode = iota
	// Refused closes connections and refuses new ones.
	Refused
	// Silent drops all data. The connections are reset when the mode ends.
	Silent
	// Held keeps all data and delivers it, in order, when the mode ends, even if the sender has
	// closed the connection meanwhile.
	Held
)

// String implements fmt.Stringer.
func (m LinkMode) String() string {
	return [...]string{"open", "refused", "silent", "held"}[m]
}

const (
	linkDialTimeout = time.Second
	linkBufferBytes = 16 << 10
)

// Link forwards the connections of one party to the listener of another.
type Link struct {
	// Addr is the address of the link.
	Addr   string
	target string

	mu       sync.Mutex
	listener net.Listener
	mode     LinkMode
	// modeChanged is closed when the mode changes.
	modeChanged chan struct{}
	conns       map[net.Conn]bool
	closed      bool
	affected    atomic.Int64
}

// NewLink opens a link to an address.
func NewLink(target string) (*Link, error) {
	l := &Link{
		Addr:        NextAddr(),
		target:      target,
		modeChanged: make(chan struct{}),
		conns:       map[net.Conn]bool{},
	}
	return l, l.listen()
}

// listen opens the listener. The caller holds the lock, or has not shared the link yet.
func (l *Link) listen() error {
	listener, err := ListenOn(l.Addr)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
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
func (l *Link) add(in, out net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == Refused {
		l.affected.Add(1)
		return false
	}
	l.conns[in], l.conns[out] = true, true
	return true
}

// forward copies data from one connection to another until one of them ends, and closes both.
func (l *Link) forward(to, from net.Conn) {
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
func (l *Link) awaitDelivery() bool {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.modeChanged
		l.mu.Unlock()
		if mode == Open {
			return true
		}
		l.affected.Add(1)
		if mode != Held {
			return false
		}
		<-changed
	}
}

// SetMode changes the mode of the link.
func (l *Link) SetMode(mode LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if mode == l.mode {
		if mode != Open {
			l.affected.Add(1) // another fault has cut the link already
		}
		return
	}
	if l.mode == Silent || mode == Refused {
		for conn := range l.conns {
			l.affected.Add(1)
			reset(conn)
		}
	}
	if mode != Open {
		l.affected.Add(int64(len(l.conns)))
	}
	if mode == Refused {
		l.affected.Add(1)
		closeQuietly(l.listener)
	} else if l.mode == Refused {
		l.relisten()
	}
	l.mode = mode
	close(l.modeChanged)
	l.modeChanged = make(chan struct{})
}

// relisten opens the listener again. The port is free, but the system may still be closing it.
func (l *Link) relisten() {
	const attempts = 100
	for range attempts {
		if l.listen() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("link " + l.Addr + ": port still in use")
}

// Close ends the link for good.
func (l *Link) Close() error {
	l.SetMode(Open)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		reset(conn)
	}
	return l.listener.Close()
}

// reset closes a connection so that the peer's next read or write fails.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	closeQuietly(conn)
}

// Affected returns the number of connections and pieces of data that modes other than Open have affected.
func (l *Link) Affected() int64 { return l.affected.Load() }
