// Package httpd serves an http.Handler on connections that are idle most of the time. A plain
// request, that is, a GET or POST request of HTTP/1.1 that fits into a buffer and uses no special
// features, is read with one system call, parsed by net/http, and answered with one more system
// call. Idle connections hold no buffer. A connection with any other request is handed over to an
// http.Server.
//
// An http.Server alone is too expensive: it monitors each connection while it serves a request, and
// sets three deadlines for each request. On the smallest controllers this took more CPU time than
// serving the requests.
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
	// bufferSize is the maximum size of a plain request, including its header.
	bufferSize = 16 << 10
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 8 << 10
	// idleTimeout limits the time between requests on a connection.
	idleTimeout = 90 * time.Second
	// readTimeout limits the time that a request takes to arrive.
	readTimeout = 15 * time.Second
	// writeTimeout limits the time that it takes to send a response to a plain request.
	writeTimeout = 30 * time.Second
	// deadlineRefresh is how much later a new deadline must be to replace the current one.
	// Without this limit, each request would set two deadlines.
	deadlineRefresh = 15 * time.Second
	// netHTTPHeaderTimeout and netHTTPWriteTimeout are timeouts of the http.Server.
	netHTTPHeaderTimeout = 10 * time.Second
	netHTTPWriteTimeout  = 15 * time.Second
	// acceptRetryDelay is the delay after a temporary error of Accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves a handler. Its fields must be set before Serve is called; ConnState is optional.
type Server struct {
	Handler http.Handler
	// ConnState is called when a connection's state changes, as in an http.Server.
	ConnState func(net.Conn, http.ConnState)
	Log       *slog.Logger

	buffers sync.Pool
	readers sync.Pool
}

// Serve serves the connections of a listener until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.buffers.New = func() any { return new([bufferSize]byte) }
	s.readers.New = func() any { return bufio.NewReader(nil) }
	fallback := newFallbackListener(listener.Addr())
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
		conn, err := listener.Accept()
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

// connection is the state of a connection that is served without net/http's server.
type connection struct {
	server     *Server
	conn       *netio.Conn
	remoteAddr string
	// partial holds the bytes of a request that is incomplete or not yet parsed.
	partial []byte
	// needsNetHTTP is set if the request in partial is not plain.
	needsNetHTTP bool
	// readDeadline and writeDeadline are the deadlines currently set on conn.
	readDeadline, writeDeadline time.Time
}

// serveConn serves the plain requests of a connection, and hands the connection over to fallback at the
// first request that is not plain.
func (s *Server) serveConn(conn *netio.Conn, fallback *fallbackListener) {
	c := &connection{server: s, conn: conn, remoteAddr: conn.RemoteAddr().String()}
	s.notifyState(conn, http.StateNew)
	c.updateReadDeadline(idleTimeout)
	err := conn.ReadLoop(c.readRequests)
	s.notifyState(conn, http.StateClosed)
	if err == nil && c.needsNetHTTP {
		_ = conn.SetDeadline(time.Time{}) // fails only if conn is closed; net/http's reads then fail too
		fallback.handOver(conn, c.partial)
		return
	}
	closeConn(conn)
}

// closeConn closes a connection that is no longer used. Errors are ignored: there is nothing left to do.
func closeConn(conn net.Conn) { _ = conn.Close() }

func (s *Server) notifyState(conn net.Conn, state http.ConnState) {
	if s.ConnState != nil {
		s.ConnState(conn, state)
	}
}

// updateReadDeadline sets the read deadline to timeout from now. It keeps a current deadline that is
// at most deadlineRefresh earlier.
func (c *connection) updateReadDeadline(timeout time.Duration) {
	if deadline := time.Now().Add(timeout); deadline.Sub(c.readDeadline) > deadlineRefresh ||
		c.readDeadline.After(deadline) {
		c.readDeadline = deadline
		_ = c.conn.SetReadDeadline(deadline) // fails only if closed, and then reads fail too
	}
}

// readRequests is a step of ReadLoop: it reads and serves the requests that have arrived.
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
	req, rest, plain := c.server.parseRequest(p)
	c.partial = nil
	if len(rest) > 0 {
		c.partial = bytes.Clone(rest)
	}
	c.server.buffers.Put(buf) // released before the request is served
	for {
		switch {
		case !plain:
			c.needsNetHTTP = true
			return netio.StopLoop
		case req == nil && c.partial != nil:
			c.updateReadDeadline(readTimeout)
			return netio.ReadAgain // the rest of the request may have arrived
		case req == nil:
			c.server.notifyState(c.conn, http.StateIdle)
			c.updateReadDeadline(idleTimeout)
		}
		if req == nil {
			// If the buffer was not filled, nothing is left to read: clients send their next request
			// only after the response to this one.
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
			req, c.partial, plain = c.server.parseRequest(c.partial)
		}
	}
}

var endOfHeader = []byte("\r\n\r\n")

// parseRequest parses the first request in p and returns the bytes after it as rest. If the request is
// incomplete, req is nil. If an http.Server must serve it, plain is false. In both cases rest is p.
func (s *Server) parseRequest(p []byte) (req *http.Request, rest []byte, plain bool) {
	headerEnd := bytes.Index(p, endOfHeader)
	if headerEnd < 0 || headerEnd > maxHeaderBytes {
		return nil, p, headerEnd < 0 && len(p) < bufferSize
	}
	headerEnd += len(endOfHeader)
	reader := s.readers.Get().(*bufio.Reader)
	reader.Reset(bytes.NewReader(p[:headerEnd]))
	req, err := http.ReadRequest(reader)
	reader.Reset(nil)
	s.readers.Put(reader)
	if err != nil || !req.ProtoAtLeast(1, 1) || req.ContentLength < 0 || len(req.TransferEncoding) > 0 ||
		req.Header["Expect"] != nil || req.Header["Upgrade"] != nil || req.Host == "" || req.Header["Trailer"] != nil ||
		(req.Method != http.MethodGet && req.Method != http.MethodPost) ||
		req.ContentLength > bufferSize-int64(headerEnd) {
		return nil, p, false
	}
	end := headerEnd + int(req.ContentLength)
	if len(p) < end {
		return nil, p, true
	}
	req.Body = http.NoBody
	if end > headerEnd {
		// Cloned since the handler may keep the body after p's buffer is reused.
		req.Body = io.NopCloser(bytes.NewReader(bytes.Clone(p[headerEnd:end])))
	}
	return req, p[end:], true
}

// respond calls the handler and sends its response. It reports whether the connection stays open.
func (c *connection) respond(req *http.Request) (keepOpen bool) {
	req.RemoteAddr = c.remoteAddr
	w := &bufferedResponse{header: http.Header{}}
	if !c.callHandler(w, req) {
		return false
	}
	if now := time.Now(); c.writeDeadline.Sub(now) < writeTimeout-deadlineRefresh {
		c.writeDeadline = now.Add(writeTimeout)
		_ = c.conn.SetWriteDeadline(c.writeDeadline) // fails only if closed, and then Write fails too
	}
	closing := req.Close || w.header.Get("Connection") == "close"
	if _, err := c.conn.Write(w.encode(closing)); err != nil {
		return false
	}
	return !closing
}

// callHandler calls the handler and reports whether it returned normally. If the handler panics, only
// its connection is closed, as in an http.Server.
func (c *connection) callHandler(w http.ResponseWriter, req *http.Request) (ok bool) {
	defer func() {
		if value := recover(); value != nil && !isAbort(value) {
			c.server.Log.Error("handler panicked", "path", req.URL.Path, "panic", value, "stack", string(debug.Stack()))
		}
	}()
	c.server.Handler.ServeHTTP(w, req)
	return true
}

// isAbort reports whether a panic's value is http.ErrAbortHandler, by which a handler aborts its
// request.
func isAbort(value any) bool {
	err, ok := value.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// bufferedResponse is an http.ResponseWriter that buffers a response, so that one write sends it.
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

// encode returns the encoded response. closing is set if the connection will be closed after it.
func (w *bufferedResponse) encode(closing bool) []byte {
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
		for _, value := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(w.body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, w.body...)
}

// fallbackListener is the listener of the http.Server. It accepts the connections that are handed
// over: those with a request that is not plain, and those that are not a *netio.Conn.
type fallbackListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFallbackListener(addr net.Addr) *fallbackListener {
	return &fallbackListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// handOver passes a connection to Accept, with the bytes that have been read from it.
func (l *fallbackListener) handOver(conn net.Conn, prefix []byte) {
	select {
	case l.conns <- &prefixedConn{Conn: conn, prefix: prefix}:
	case <-l.done:
		closeConn(conn)
	}
}

// Accept implements net.Listener.
func (l *fallbackListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *fallbackListener) Close() error {
	l.close()
	return nil
}

func (l *fallbackListener) close() { l.once.Do(func() { close(l.done) }) }

// Addr implements net.Listener.
func (l *fallbackListener) Addr() net.Addr { return l.addr }

// prefixedConn is a connection whose reads first return the bytes that were read before it was handed
// over.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) > 0 {
		n := copy(p, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}
