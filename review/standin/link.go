package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate is a link that can be cut. While it is cut, whatever is sent over it is held back.
type gate struct {
	mu  sync.Mutex
	cut bool
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// wait waits while the link is cut, or until the context ends.
func (g *gate) wait(ctx context.Context) {
	for g.isCut() && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// serve serves HTTP on a free loopback port until the process ends, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // never closed
	return listener.Addr().String(), nil
}

// gatedHandler serves requests that arrive over a link. While the link is cut, requests and answers
// are held back; a sender that gives up gets no answer.
type gatedHandler struct {
	gate *gate
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.gate.wait(r.Context())
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	h.next.ServeHTTP(held, r)
	h.gate.wait(r.Context())
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body.Bytes()) // fails only if the other side has closed the connection
}

// heldAnswer keeps an answer until the link carries it.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// forward carries the connections that a free loopback port accepts to an address, over the given
// links, and returns its own address.
func forward(target string, gates ...*gate) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go carry(conn, target, gates)
		}
	}()
	return listener.Addr().String(), nil
}

// carry connects a connection with a target. If nobody listens there, the connection is reset.
func carry(conn net.Conn, target string, gates []*gate) {
	defer func() { _ = conn.Close() }() // not used any more
	for _, g := range gates {
		g.wait(context.Background())
	}
	var dialer net.Dialer
	other, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed either way
		}
		return
	}
	defer func() { _ = other.Close() }() // not used any more
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			pump(pair[0], pair[1], gates)
			done <- struct{}{}
		}()
	}
	<-done
}

// pump copies bytes in one direction, as long as the links carry them.
func pump(from, to net.Conn, gates []*gate) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for _, g := range gates {
			g.wait(context.Background())
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
