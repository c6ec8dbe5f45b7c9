package netio

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// closeQuietly closes a connection or listener that a test no longer uses, and ignores errors.
func closeQuietly(c io.Closer) { _ = c.Close() }

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(ln)
	near, err = Dialer(0)(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(near) })
	t.Cleanup(func() { closeQuietly(far) })
	if _, ok := near.(*Conn); !ok {
		t.Fatalf("dialed a %T, want a *Conn", near)
	}
	if _, ok := far.(*Conn); !ok {
		t.Fatalf("accepted a %T, want a *Conn", far)
	}
	return near, far
}

// A transfer that is larger than the sockets' buffers arrives complete, although each side must wait
// for the other.
func TestTransferLargerThanSocketBuffers(t *testing.T) {
	near, far := connect(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		if _, err := near.Write(sent); err != nil {
			t.Errorf("write: %v", err)
		}
		closeQuietly(near)
	}()
	got, err := io.ReadAll(far)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("got %d bytes, error %v; want the %d bytes sent", len(got), err, len(sent))
	}
}

func setReadDeadline(t *testing.T, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

// A Conn returns the same errors as a connection of package net.
func TestErrorsMatchPackageNet(t *testing.T) {
	near, far := connect(t)
	setReadDeadline(t, near, time.Now().Add(-time.Second))
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the deadline: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	setReadDeadline(t, near, time.Time{})
	closeQuietly(far)
	if _, err := near.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // readers compare without unwrapping
		t.Errorf("read at the end: got error %v, want %v", err, io.EOF)
	}
	closeQuietly(near)
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read when closed: got error %v, want %v", err, net.ErrClosed)
	}
	if _, err := near.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write when closed: got error %v, want %v", err, net.ErrClosed)
	}
}

// ReadLoop returns when another goroutine closes the connection.
func TestCloseEndsEach(t *testing.T) {
	near, _ := connect(t)
	waiting := make(chan bool, 1)
	done := make(chan error, 1)
	go func() {
		done <- near.(*Conn).ReadLoop(func(read func([]byte) (int, error)) LoopAction {
			if _, err := read(make([]byte, 8)); !errors.Is(err, ErrNoData) {
				return StopLoop
			}
			waiting <- true
			return WaitForData
		})
	}()
	<-waiting
	closeQuietly(near)
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("ReadLoop: got error %v, want %v", err, net.ErrClosed)
	}
}
