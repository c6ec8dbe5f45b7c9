package localprocess

import (
	"bytes"
	"context"
	"io"
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
	// copyResponseTime is how long the connection of a copy stays open.
	copyResponseTime = 3 * time.Second
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
	// drawCopy decides, for each piece of data that a client sends, whether a copy arrives later.
	drawCopy func() (delay time.Duration, ok bool)
	copies   atomic.Int64
}

// NewLink opens a link to an address.
func NewLink(target string) (*Link, error) { return NewRepeatingLink(target, nil) }

// NewRepeatingLink opens a link to an address that delivers some of what clients send once more. drawCopy
// decides, for each piece of data, whether and after which delay; nil means never. A copy arrives on a
// connection of its own, whose responses are dropped. It is a whole message if the client has sent one at
// once; else the receiver finds it malformed.
func NewRepeatingLink(target string, drawCopy func() (delay time.Duration, ok bool)) (*Link, error) {
	l := &Link{
		Addr:        NextAddr(),
		target:      target,
		modeChanged: make(chan struct{}),
		conns:       map[net.Conn]bool{},
		drawCopy:    drawCopy,
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
			go l.forward(out, in, l.drawCopy)
			l.forward(in, out, nil)
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

// forward copies data from one connection to another until one of them ends, and closes both. drawCopy
// decides what arrives once more.
func (l *Link) forward(to, from net.Conn, drawCopy func() (delay time.Duration, ok bool)) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.awaitDelivery() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
			l.repeat(buffer[:n], drawCopy)
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

// repeat makes a copy of data arrive later if drawCopy decides so.
func (l *Link) repeat(data []byte, drawCopy func() (delay time.Duration, ok bool)) {
	if drawCopy == nil {
		return
	}
	if delay, ok := drawCopy(); ok {
		copied := bytes.Clone(data)
		time.AfterFunc(delay, func() { l.deliverCopy(copied) })
	}
}

// deliverCopy sends a copy of data on a connection of its own, unless the link is cut.
func (l *Link) deliverCopy(data []byte) {
	l.mu.Lock()
	open := !l.closed && l.mode == Open
	l.mu.Unlock()
	if !open {
		return
	}
	dialer := net.Dialer{Timeout: linkDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return // the receiver is down
	}
	defer closeQuietly(conn)
	if _, err := conn.Write(data); err != nil {
		return
	}
	l.copies.Add(1)
	// The sender of the original does not wait for the response to the copy, but a receiver might
	// give up a request whose connection is closed.
	_ = conn.SetReadDeadline(time.Now().Add(copyResponseTime)) // fails only if the connection is closed
	_, _ = io.Copy(io.Discard, conn)
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

// Copies returns the number of copies that have been delivered.
func (l *Link) Copies() int64 { return l.copies.Load() }
