package localprocess

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// startEcho starts a server that sends back each line, and returns a link to it.
func startEcho(t *testing.T) *Link {
	t.Helper()
	l, _ := startCountingEcho(t, nil)
	return l
}

// startCountingEcho is startEcho with a repeating link. It also returns the lines that the server gets.
func startCountingEcho(t *testing.T, drawCopy func() (time.Duration, bool)) (*Link, <-chan string) {
	t.Helper()
	received := make(chan string, 10)
	listener, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					received <- lines.Text()
					_, _ = conn.Write([]byte(lines.Text() + "\n"))
				}
			}()
		}
	}()
	l, err := NewRepeatingLink(listener.Addr().String(), drawCopy)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l, received
}

// dial opens a connection through a link.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}

// exchange sends a line, and returns the line that comes back in time, or "".
func exchange(t *testing.T, conn net.Conn, line string, wait time.Duration) string {
	t.Helper()
	if _, err := conn.Write([]byte(line + "\n")); err != nil {
		return ""
	}
	return receive(conn, wait)
}

func receive(conn net.Conn, wait time.Duration) string {
	buffer := make([]byte, 100)
	_ = conn.SetReadDeadline(time.Now().Add(wait)) // fails only if closed, and then the read fails too
	n, err := conn.Read(buffer)
	if err != nil || n == 0 {
		return ""
	}
	return string(buffer[:n-1])
}

const (
	shortWait = 100 * time.Millisecond
	longWait  = 5 * time.Second
)

func TestLinkForwardsAgainAfterEachMode(t *testing.T) {
	for _, mode := range []LinkMode{Refused, Silent, Held} {
		l := startEcho(t)
		if got := exchange(t, dial(t, l), "before", longWait); got != "before" {
			t.Errorf("%s: got %q, want the echo", mode, got)
		}
		l.SetMode(mode)
		l.SetMode(Open)
		if got := exchange(t, dial(t, l), "after", longWait); got != "after" {
			t.Errorf("%s: got %q after the mode has ended, want the echo", mode, got)
		}
		if l.Affected() == 0 {
			t.Errorf("%s: affected nothing, want the open connection", mode)
		}
	}
}

func TestHeldLinkDeliversLate(t *testing.T) {
	l := startEcho(t)
	conn := dial(t, l)
	l.SetMode(Held)
	if got := exchange(t, conn, "held", shortWait); got != "" {
		t.Errorf("got %q while held, want nothing", got)
	}
	l.SetMode(Open)
	if got := receive(conn, longWait); got != "held" {
		t.Errorf("got %q, want what was held", got)
	}
}

func TestSilentLinkLosesDataAndResetsItsConnections(t *testing.T) {
	l := startEcho(t)
	conn := dial(t, l)
	l.SetMode(Silent)
	if got := exchange(t, conn, "lost", shortWait); got != "" {
		t.Errorf("got %q while silent, want nothing", got)
	}
	l.SetMode(Open)
	if got := exchange(t, conn, "more", longWait); got != "" {
		t.Errorf("got %q, want a reset connection", got)
	}
}

func TestRefusedLinkRefusesConnections(t *testing.T) {
	l := startEcho(t)
	l.SetMode(Refused)
	if conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr); err == nil {
		closeQuietly(conn)
		t.Error("got a connection, want it refused")
	}
}

func TestRepeatingLinkDeliversCopyLater(t *testing.T) {
	l, received := startCountingEcho(t, func() (time.Duration, bool) { return shortWait, true })
	if got := exchange(t, dial(t, l), "once", longWait); got != "once" {
		t.Fatalf("got %q, want the echo", got)
	}
	for range 2 {
		select {
		case line := <-received:
			if line != "once" {
				t.Errorf("server got %q, want the line and its copy", line)
			}
		case <-time.After(longWait):
			t.Fatal("server got no copy")
		}
	}
}
