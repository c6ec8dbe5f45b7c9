// Package netio makes TCP connections that read and write without notifying the runtime's
// scheduler. Package net notifies it before each system call, since a call might block;
// calls on a non-blocking socket never do. In a process that sleeps between short pieces
// of work, the notification wakes the runtime's monitoring thread, which then polls a few
// times before it sleeps again: most of a controller's system calls were that thread's,
// and the smallest machines charge for each. The figures are in docs/measurements.md.
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

	// Arguments and results of readFD and writeFD. They are fields so that the functions
	// passed to the runtime's poller are allocated once and not for each call.
	readBuf    []byte
	readCount  int
	readErr    syscall.Errno
	readFD     func(fd uintptr) bool
	writeBuf   []byte
	writeCount int
	writeErr   syscall.Errno
	writeFD    func(fd uintptr) bool
}

// Wrap returns a Conn for a TCP connection of package net, and any other connection
// unchanged.
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

// retryingSyscall makes a system call on a non-blocking socket, and retries it when a
// signal has interrupted it.
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

// LoopAction is what Each does after a step.
type LoopAction int

// What Each may do after a step.
const (
	// WaitForData waits until more arrives.
	WaitForData LoopAction = iota
	// ReadAgain calls the step at once, since more may have arrived already.
	ReadAgain
	// StopLoop returns from Each.
	StopLoop
)

// ErrNoData means that nothing has arrived yet.
var ErrNoData = errors.New("nothing to read")

// ReadLoop calls step whenever data may have arrived, until step returns Stop or the
// connection's deadline expires. A step reads with the function passed to it, which does
// not block; so it needs a buffer only while it reads.
//
// Where a loop of Read tries to read once more before it waits, a step may return Wait at
// once if nothing else can have arrived: the poller reports what arrives later. If the
// peer's close arrived together with the data read, it is detected only by a write or
// when the deadline expires.
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

// opError returns the error that package net returns for a failed system call.
func (c *Conn) opError(op string, err syscall.Errno) error {
	return &net.OpError{
		Op:     op,
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError(op, err),
	}
}

// noKeepAlive turns off TCP keep-alive, which costs four system calls per connection: the
// users of these connections detect dead ones by deadlines.
const noKeepAlive = -1

// Listen listens on a TCP address; the connections that it accepts are Conns.
func Listen(addr string) (net.Listener, error) {
	ln, err := (&net.ListenConfig{KeepAlive: noKeepAlive}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener{ln}, nil
}

// listener accepts Conns.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Dialer returns a function that dials a Conn within a timeout, such as an http.Transport
// takes; a timeout of 0 is none.
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
