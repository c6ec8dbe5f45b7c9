package netio

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// connect is both ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err = Dialer(0)(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	if _, ok := near.(*Conn); !ok {
		t.Fatalf("dialed a %T", near)
	}
	if _, ok := far.(*Conn); !ok {
		t.Fatalf("accepted a %T", far)
	}
	return near, far
}

// More than the sockets hold goes through whole, which takes waiting on both sides.
func TestTransferLargerThanSocketBuffers(t *testing.T) {
	near, far := connect(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		near.Write(sent)
		near.Close()
	}()
	got, err := io.ReadAll(far)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d, %v", len(got), len(sent), err)
	}
}

// Errors are those that package net's own connections give.
func TestErrorsMatchPackageNet(t *testing.T) {
	near, far := connect(t)
	near.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the deadline: %v", err)
	}
	near.SetReadDeadline(time.Time{})
	far.Close()
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	near.Close()
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read when closed: %v", err)
	}
	if _, err := near.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write when closed: %v", err)
	}
}

// A connection that another goroutine closes ends the wait for what arrives.
func TestCloseEndsEach(t *testing.T) {
	near, _ := connect(t)
	waiting := make(chan bool, 1)
	done := make(chan error, 1)
	go func() {
		done <- near.(*Conn).Each(func(read func([]byte) (int, error)) Next {
			if _, err := read(make([]byte, 8)); err != ErrNothing {
				return Stop
			}
			waiting <- true
			return Wait
		})
	}()
	<-waiting
	near.Close()
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}
