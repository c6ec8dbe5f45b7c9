package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link forwards connections to an address. It can refuse them, or withhold what the server answers.
type link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// muted is set while the answers of the server are dropped.
	muted bool
}

func newLink(target string) (*link, error) {
	l := &link{addr: nextAddr(), target: target, conns: map[net.Conn]bool{}}
	return l, l.open()
}

// open accepts connections.
func (l *link) open() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", l.addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// refuse closes all connections, and refuses new ones until open is called.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeQuietly(l.listener)
	for conn := range l.conns {
		closeQuietly(conn)
	}
	clear(l.conns)
}

// mute sets whether the server's answers are dropped.
func (l *link) mute(muted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = muted
}

func (l *link) isMuted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.muted
}

func (l *link) serve(in net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		closeQuietly(in)
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(out, in) // ends with the connection
		closeQuietly(out)
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := out.Read(buf)
		if err != nil {
			closeQuietly(in)
			return
		}
		if l.isMuted() {
			continue
		}
		if _, err := in.Write(buf[:n]); err != nil {
			closeQuietly(out)
			return
		}
	}
}
