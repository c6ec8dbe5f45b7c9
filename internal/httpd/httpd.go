// Package httpd serves an http.Handler on connections that are mostly idle. A plain
// request that fits a buffer is read with one system call, parsed by net/http, and
// responded to with one more; idle connections hold no buffer. A connection with any
// other request is handed over to a server of net/http.
//
// The server of net/http watches each connection while its request is served, and sets
// three deadlines for each request; on the smallest controllers that took more processor
// time than serving the requests.
package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"example.org/ivytrestle/internal/netio"
)

const (
	// bufferSize is the size of the largest plain request, maxHeaderBytes that of its header.
	bufferSize     = 16 << 10
	maxHeaderBytes = 8 << 10
	// idleTimeout bounds the time between requests on a connection, and readTimeout the
	// time that a request takes to arrive. Deadlines are renewed only once
	// deadlineRefresh has passed, or each request would set two.
	idleTimeout     = 90 * time.Second
	readTimeout     = 15 * time.Second
	writeTimeout    = 30 * time.Second
	deadlineRefresh = 15 * time.Second
	// Timeouts of the server of net/http.
	netHTTPHeaderTimeout = 10 * time.Second
	netHTTPWriteTimeout  = 15 * time.Second
	// acceptRetryDelay is the pause after a temporary error of accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves a handler. All fields must be set before Serve, ConnState if wanted.
type Server struct {
	Handler http.Handler
	// ConnState is called on each change of a connection's state, as in an http.Server.
	ConnState func(net.Conn, http.ConnState)
	Log       *slog.Logger

	buffers sync.Pool
	readers sync.Pool
}

// Serve serves the connections of a listener until that is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.buffers.New = func() any { return new([bufferSize]byte) }
	s.readers.New = func() any { return bufio.NewReader(nil) }
	fallback := newFallbackListener(ln.Addr())
	defer fallback.close()
	netHTTP := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: netHTTPHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      netHTTPWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.ConnState,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
	go func() { _ = netHTTP.Serve(fallback) }() // returns when fallback is closed
	for {
		conn, err := ln.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.Log.Debug("accept failed", "err", err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		plain, ok := conn.(*netio.Conn)
		if !ok {
			fallback.handOver(conn, nil)
			continue
		}
		go s.serveConn(plain, fallback)
	}
}

// connection is the state of a connection that is served here.
type connection struct {
	server     *Server
	conn       *netio.Conn
	remoteAddr string
	// partial is what has arrived of a request; needsNetHTTP is set if that is not plain.
	partial      []byte
	needsNetHTTP bool
	// The deadlines that are set.
	readDeadline, writeDeadline time.Time
}

func (s *Server) serveConn(conn *netio.Conn, fallback *fallbackListener) {
	c := &connection{server: s, conn: conn, remoteAddr: conn.RemoteAddr().String()}
	s.notifyState(conn, http.StateNew)
	c.extendReadDeadline(idleTimeout)
	err := conn.ReadLoop(c.readRequests)
	s.notifyState(conn, http.StateClosed)
	if err == nil && c.needsNetHTTP {
		_ = conn.SetDeadline(time.Time{}) // fails only if conn is closed, which net/http finds
		fallback.handOver(conn, c.partial)
		return
	}
	closeConn(conn)
}

// closeConn closes a connection that is not used any more; an error changes nothing.
func closeConn(conn net.Conn) { _ = conn.Close() }

func (s *Server) notifyState(conn net.Conn, st http.ConnState) {
	if s.ConnState != nil {
		s.ConnState(conn, st)
	}
}

// extendReadDeadline sets the read deadline, unless the present one is close enough.
func (c *connection) extendReadDeadline(d time.Duration) {
	if deadline := time.Now().Add(d); deadline.Sub(c.readDeadline) > deadlineRefresh || c.readDeadline.After(deadline) {
		c.readDeadline = deadline
		_ = c.conn.SetReadDeadline(deadline) // fails only if closed, and then reading does too
	}
}

// readRequests reads the requests that have arrived, and serves them.
func (c *connection) readRequests(read func(p []byte) (int, error)) netio.LoopAction {
	buf := c.server.buffers.Get().(*[bufferSize]byte)
	n, err := read(buf[:])
	if err != nil {
		c.server.buffers.Put(buf)
		if errors.Is(err, netio.ErrNoData) {
			return netio.WaitForData
		}
		return netio.StopLoop
	}
	p := buf[:n]
	if c.partial != nil {
		p = append(c.partial, p...)
	} else {
		c.server.notifyState(c.conn, http.StateActive)
	}
	req, rest, plain := c.server.parse(p)
	c.partial = nil
	if len(rest) > 0 {
		c.partial = bytes.Clone(rest)
	}
	c.server.buffers.Put(buf) // not held while the request is served
	for {
		switch {
		case !plain:
			c.needsNetHTTP = true
			return netio.StopLoop
		case req == nil && c.partial != nil:
			c.extendReadDeadline(readTimeout)
			return netio.ReadAgain // the rest may have arrived
		case req == nil:
			c.server.notifyState(c.conn, http.StateIdle)
			c.extendReadDeadline(idleTimeout)
		}
		if req == nil {
			// A client sends no further request before the response to this one.
			if n < bufferSize {
				return netio.WaitForData
			}
			return netio.ReadAgain
		}
		if !c.respond(req) {
			return netio.StopLoop
		}
		req, plain = nil, true
		if c.partial != nil {
			req, c.partial, plain = c.server.parse(c.partial)
		}
	}
}

var endOfHeader = []byte("\r\n\r\n")

// parse parses a request, and returns the bytes that follow it. The request is nil if it
// is incomplete, and plain is unset if net/http must serve it; rest is then all of p.
func (s *Server) parse(p []byte) (req *http.Request, rest []byte, plain bool) {
	headerEnd := bytes.Index(p, endOfHeader)
	if headerEnd < 0 || headerEnd > maxHeaderBytes {
		return nil, p, headerEnd < 0 && len(p) < bufferSize
	}
	headerEnd += len(endOfHeader)
	r := s.readers.Get().(*bufio.Reader)
	r.Reset(bytes.NewReader(p[:headerEnd]))
	req, err := http.ReadRequest(r)
	r.Reset(nil)
	s.readers.Put(r)
	if err != nil || !req.ProtoAtLeast(1, 1) || req.ContentLength < 0 || len(req.TransferEncoding) > 0 ||
		req.Header["Expect"] != nil || req.Header["Upgrade"] != nil || req.Host == "" || req.Header["Trailer"] != nil ||
		(req.Method != http.MethodGet && req.Method != http.MethodPost) ||
		req.ContentLength > bufferSize-int64(headerEnd) {
		return nil, p, false
	}
	n := headerEnd + int(req.ContentLength)
	if len(p) < n {
		return nil, p, true
	}
	req.Body = http.NoBody
	if n > headerEnd {
		// The handler may keep the body for longer than this buffer is reserved.
		req.Body = io.NopCloser(bytes.NewReader(bytes.Clone(p[headerEnd:n])))
	}
	return req, p[n:], true
}

// respond serves a request, and reports whether the connection stays open.
func (c *connection) respond(req *http.Request) (keepOpen bool) {
	req.RemoteAddr = c.remoteAddr
	w := &bufferedResponse{header: http.Header{}}
	if !c.callHandler(w, req) {
		return false
	}
	if now := time.Now(); c.writeDeadline.Sub(now) < writeTimeout-deadlineRefresh {
		c.writeDeadline = now.Add(writeTimeout)
		_ = c.conn.SetWriteDeadline(c.writeDeadline) // fails only if closed, and then Write does too
	}
	closes := req.Close || w.header.Get("Connection") == "close"
	if _, err := c.conn.Write(w.encode(closes)); err != nil {
		return false
	}
	return !closes
}

// callHandler calls the handler. If that panics, only its connection is closed, as in an
// http.Server.
func (c *connection) callHandler(w http.ResponseWriter, req *http.Request) (ok bool) {
	defer func() {
		if v := recover(); v != nil && !isAbort(v) {
			c.server.Log.Error("handler panicked", "path", req.URL.Path, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	c.server.Handler.ServeHTTP(w, req)
	return true
}

// isAbort reports whether a handler panicked to abort its request.
func isAbort(v any) bool {
	err, ok := v.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// bufferedResponse buffers a response, so that it is sent with one write.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, p...)
	return len(p), nil
}

// encode returns the response as sent; closes is set if the connection closes after it.
func (w *bufferedResponse) encode(closes bool) []byte {
	w.WriteHeader(http.StatusOK)
	out := make([]byte, 0, 160+len(w.body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(w.status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(w.status)...)
	out = append(out, "\r\n"...)
	for name, values := range w.header {
		if name == "Content-Length" || name == "Connection" {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if closes {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(w.body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, w.body...)
}

// fallbackListener is the listener of the server of net/http: it accepts the connections
// with requests that are not plain.
type fallbackListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFallbackListener(addr net.Addr) *fallbackListener {
	return &fallbackListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// handOver passes a connection to Accept, with the bytes that were read of it.
func (h *fallbackListener) handOver(conn net.Conn, read []byte) {
	select {
	case h.conns <- &prefixedConn{Conn: conn, prefix: read}:
	case <-h.done:
		closeConn(conn)
	}
}

// Accept implements net.Listener.
func (h *fallbackListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *fallbackListener) Close() error {
	h.close()
	return nil
}

func (h *fallbackListener) close() { h.once.Do(func() { close(h.done) }) }

// Addr implements net.Listener.
func (h *fallbackListener) Addr() net.Addr { return h.addr }

// prefixedConn is a connection whose first bytes have been read already.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (r *prefixedConn) Read(p []byte) (int, error) {
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	return r.Conn.Read(p)
}
