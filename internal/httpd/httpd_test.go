package httpd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/netio"
)

// echoRequest responds with a description of the request, and whether an http.Server served it.
func echoRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/panic" {
		panic("on purpose")
	}
	w.Header().Set("Content-Type", "text/plain")
	_, viaNetHTTP := w.(http.Flusher)
	// If this fails, the client gets no response, and the test fails.
	_, _ = fmt.Fprintf(w, "%s %s %d std=%v %.20s", r.Method, r.URL, len(body), viaNetHTTP, body)
}

func startServer(t *testing.T) string {
	t.Helper()
	ln, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: http.HandlerFunc(echoRequest), Log: slog.New(slog.DiscardHandler)}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		closeListener(t, ln)
		if err := <-done; !errors.Is(err, net.ErrClosed) {
			t.Errorf("serve: got error %v, want %v", err, net.ErrClosed)
		}
	})
	return ln.Addr().String()
}

func closeListener(t *testing.T, ln net.Listener) {
	t.Helper()
	if err := ln.Close(); err != nil {
		t.Errorf("close the listener: %v", err)
	}
}

// client is a client that can send requests in pieces.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) expectResponse(status int, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if resp.StatusCode != status || !strings.HasPrefix(string(raw), body) {
		c.t.Errorf("got %d %q, want %d %q", resp.StatusCode, raw, status, body)
	}
}

func TestPlainRequestsAreServedDirectly(t *testing.T) {
	c := dial(t, startServer(t))
	c.send("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n")
	c.expectResponse(200, "GET /a?b=c 0 std=false")
	c.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
	c.expectResponse(200, "POST /b 5 std=false hello")
	// In pieces; the last one ends the first request, holds the second and begins the third.
	for _, piece := range []string{
		"POST /c HT",
		"TP/1.1\r\nHost: x\r\nContent-Len",
		"gth: 4\r\n\r\nab",
		"cdGET /d HTTP/1.1\r\nHost: x\r\n\r\nGET /e HTT",
	} {
		c.send(piece)
		time.Sleep(5 * time.Millisecond)
	}
	c.expectResponse(200, "POST /c 4 std=false abcd")
	c.expectResponse(200, "GET /d 0 std=false")
	c.send("P/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	c.expectResponse(200, "GET /e 0 std=false")
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the last response: got error %v, want %v", err, io.EOF)
	}
}

// Requests that are not plain are served by an http.Server, on the same connection.
func TestOtherRequestsAreHandedOverToNetHTTP(t *testing.T) {
	addr := startServer(t)
	for _, c := range []struct {
		request, want string
		status        int
	}{
		{"POST /chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			"POST /chunked 3 std=true abc", 200},
		{"PUT /put HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab", "PUT /put 2 std=true ab", 200},
		{"GET /old HTTP/1.0\r\n\r\n", "GET /old 0 std=true", 200},
		{"GET /nohost HTTP/1.1\r\n\r\n", "400 Bad Request", 400},
		{"nonsense\r\n\r\n", "400 Bad Request", 400},
		{"POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("y", 40000),
			"POST /large 40000 std=true yyyy", 200},
		{"GET /many HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("z", 13000) + "\r\n\r\n",
			"431 ", 431},
	} {
		conn := dial(t, addr)
		conn.send(c.request)
		conn.expectResponse(c.status, c.want)
	}
	c := dial(t, addr)
	c.send("POST /expect HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	if line, err := c.reader.ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatal(line, err)
	}
	if line, err := c.reader.ReadString('\n'); err != nil {
		t.Fatal(line, err)
	}
	c.send("abc")
	c.expectResponse(200, "POST /expect 3 std=true abc")
	c.send("GET /after HTTP/1.1\r\nHost: x\r\n\r\n")
	c.expectResponse(200, "GET /after")
}

// If a handler panics, only its connection is closed, and the server keeps serving others.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	addr := startServer(t)
	c := dial(t, addr)
	c.send("GET /panic HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the last response: got error %v, want %v", err, io.EOF)
	}
	c = dial(t, addr)
	c.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.expectResponse(200, "GET /a")
}

// When a client closes its connection, the server closes it too. ConnState is called for each state
// of the connection.
func TestConnectionStatesUntilClientCloses(t *testing.T) {
	ln, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	states := make(chan http.ConnState, 16)
	s := &Server{
		Handler:   http.HandlerFunc(echoRequest),
		ConnState: func(_ net.Conn, state http.ConnState) { states <- state },
		Log:       slog.New(slog.DiscardHandler),
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		closeListener(t, ln)
		if err := <-done; !errors.Is(err, net.ErrClosed) {
			t.Errorf("serve: got error %v, want %v", err, net.ErrClosed)
		}
	})
	c := dial(t, ln.Addr().String())
	c.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.expectResponse(200, "GET /a")
	closeConn(c)
	for _, want := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateClosed} {
		if got := <-states; got != want {
			t.Fatalf("got state %v, want %v", got, want)
		}
	}
}
