// Package netio provides TCP connections that read and write without notifying the runtime's
// scheduler. Package net notifies the scheduler before each system call, since a call might block,
// although calls on a non-blocking socket never do. In a process that sleeps between short pieces of
// work, the notification wakes the runtime's monitoring thread, which then polls a few times before
// it sleeps again. Most of a controller's system calls were made by that thread, and on the smallest
// machines each system call is expensive. For the figures see docs/measurements.md.
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

// Conn is a TCP connection. At most one goroutine may read and one may write at a time.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	// readFD and writeFD are passed to the runtime's poller. They take their arguments and return
	// their results in fields, so that they are allocated once per connection and not per call.
	readBuf    []byte
	readCount  int
	readErr    syscall.Errno
	readFD     func(fd uintptr) bool
	writeBuf   []byte
	writeCount int
	writeErr   syscall.Errno
	writeFD    func(fd uintptr) bool
}

// Wrap returns a Conn for a TCP connection of package net. It returns any other connection unchanged.
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

// retryingSyscall makes a system call on a non-blocking socket, and repeats it if a signal interrupts
// it.
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

// LoopAction is returned by a step of ReadLoop and determines what ReadLoop does next.
type LoopAction int

// Actions after a step of ReadLoop.
const (
	// WaitForData waits until more data arrives before it calls the step again.
	WaitForData LoopAction = iota
	// ReadAgain calls the step again immediately, since more data may already have arrived.
	ReadAgain
	// StopLoop ends ReadLoop.
	StopLoop
)

// ErrNoData means that no data has arrived yet.
var ErrNoData = errors.New("no data available yet")

// ReadLoop calls step whenever data may have arrived, until step returns StopLoop, the connection's
// read deadline expires or the connection is closed. A step reads with the function passed to it,
// which returns ErrNoData instead of blocking. So a step needs a buffer only while it reads.
//
// A loop that calls Read makes an extra system call before it waits. A step can avoid it by returning
// WaitForData if no more data can have arrived: the poller reports data that arrives later. However,
// if the peer's close arrived together with the data read, it is detected only by a write or when
// the deadline expires.
func (c *Conn) ReadLoop(step func(read func(p []byte) (int, error)) LoopAction) error {
	var socket uintptr
	read := func(p []byte) (int, error) {
		n, errno := retryingSyscall(syscall.SYS_READ, socket, p)
		switch {
		case errno == syscall.EAGAIN:
			return 0, ErrNoData
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
			case WaitForData:
				return false
			case StopLoop:
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

// opError returns the same error as package net for a failed system call.
func (c *Conn) opError(op string, err syscall.Errno) error {
	return &net.OpError{
		Op:     op,
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError(op, err),
	}
}

// noKeepAlive disables TCP keep-alive, which costs four system calls per connection. It is not needed:
// the users of these connections detect dead peers by deadlines.
const noKeepAlive = -1

// Listen listens on a TCP address. The listener's Accept returns connections of type *Conn.
func Listen(addr string) (net.Listener, error) {
	ln, err := (&net.ListenConfig{KeepAlive: noKeepAlive}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener{ln}, nil
}

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Dialer returns a function for an http.Transport's DialContext that returns connections of type *Conn.
// A timeout of 0 means no timeout.
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
