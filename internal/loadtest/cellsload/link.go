package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link passes connections on to a controller's listener, until it is cut.
type link struct {
	from, to string
	ln       net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		out, err := net.DialTimeout("tcp", l.target, time.Second)
		if cut || err != nil {
			in.Close()
			continue
		}
		l.mu.Lock()
		l.conns[in], l.conns[out] = true, true
		l.mu.Unlock()
		go l.forward(in, out)
		go l.forward(out, in)
	}
}

func (l *link) forward(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
	from.Close()
	l.mu.Lock()
	delete(l.conns, to)
	delete(l.conns, from)
	l.mu.Unlock()
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			conn.Close()
		}
	}
}
