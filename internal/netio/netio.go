// Package netio makes TCP connections that read and write without telling the
// runtime's scheduler. It is told before each system call of package net, since
// a call might block; those on a socket that does not block never do. On a
// process that sleeps between short pieces of work, being told wakes a watching
// thread, which then polls a few times before it sleeps again: most of the
// system calls of a controller were that thread's, and the smallest machines
// charge for each. The figures are in docs/measurements.md.
package netio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Conn is a TCP connection. It is for one reader and one writer at a time.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	// What a read and a write work on: kept here, so that the functions handed
	// to the runtime's poller are made once and not for each call.
	readBuf    []byte
	readCount  int
	readErr    syscall.Errno
	readFD     func(fd uintptr) bool
	writeBuf   []byte
	writeCount int
	writeErr   syscall.Errno
	writeFD    func(fd uintptr) bool
}

// Wrap makes a Conn of a connection, or returns it as it is if that is no TCP
// connection of package net.
func Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	c := &Conn{Conn: conn, raw: raw}
	c.readFD = func(fd uintptr) bool {
		c.readCount, c.readErr = retryingSyscall(syscall.SYS_READ, fd, c.readBuf)
		return c.readErr != syscall.EAGAIN
	}
	c.writeFD = func(fd uintptr) bool {
		for c.writeCount < len(c.writeBuf) {
			var n int
			if n, c.writeErr = retryingSyscall(syscall.SYS_WRITE, fd, c.writeBuf[c.writeCount:]); c.writeErr != 0 {
				return c.writeErr != syscall.EAGAIN
			}
			c.writeCount += n
		}
		return true
	}
	return c
}

// retryingSyscall makes a system call on a socket that does not block, and again if a
// signal came between.
func retryingSyscall(trap, fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, err := syscall.RawSyscall(trap, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		if err == syscall.EINTR {
			continue
		}
		if err != 0 {
			return 0, err
		}
		return int(n), 0
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.readBuf = p
	err := c.raw.Read(c.readFD)
	c.readBuf = nil
	switch {
	case err != nil:
		return 0, err
	case c.readErr != 0:
		return 0, c.opError("read", c.readErr)
	case c.readCount == 0:
		return 0, io.EOF
	}
	return c.readCount, nil
}

// Next is what a step of Each asks for.
type Next int

// What a step may ask for.
const (
	Wait  Next = iota // until more arrives
	Again             // there may be more already
	Stop
)

// ErrNothing means that nothing has arrived yet.
var ErrNothing = errors.New("nothing to read")

// Each calls step whenever something may have arrived, until that asks to stop
// or the connection's deadline passes. A step reads with the function that it is
// given, which does not wait; so it holds a buffer only while it reads.
//
// Where a loop of Read tries to read once more before it waits, a step may ask to
// wait at once if it knows that nothing else can have arrived: the poller tells of
// what arrives after it. If the connection's end came together with what was read,
// it is noticed only when something is written or the deadline passes.
func (c *Conn) Each(step func(read func(p []byte) (int, error)) Next) error {
	var socket uintptr
	read := func(p []byte) (int, error) {
		n, errno := retryingSyscall(syscall.SYS_READ, socket, p)
		switch {
		case errno == syscall.EAGAIN:
			return 0, ErrNothing
		case errno != 0:
			return 0, c.opError("read", errno)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
	return c.raw.Read(func(fd uintptr) bool {
		socket = fd
		for {
			switch step(read) {
			case Wait:
				return false
			case Stop:
				return true
			}
		}
	})
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeBuf, c.writeCount, c.writeErr = p, 0, 0
	err := c.raw.Write(c.writeFD)
	c.writeBuf = nil
	if err != nil {
		return c.writeCount, err
	}
	if c.writeErr != 0 {
		return c.writeCount, c.opError("write", c.writeErr)
	}
	return c.writeCount, nil
}

func (c *Conn) opError(op string, err syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, err)}
}

// noKeepAlive leaves out what package net sets for each connection so that the
// system finds dead ones: four calls each, and who uses these connections gives
// them up itself, by deadlines.
const noKeepAlive = -1

// Listen listens on a TCP address; what it accepts are Conns.
func Listen(addr string) (net.Listener, error) {
	ln, err := (&net.ListenConfig{KeepAlive: noKeepAlive}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener{ln}, nil
}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Dialer returns a function for an http.Transport that connects within a time.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: noKeepAlive}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
}
