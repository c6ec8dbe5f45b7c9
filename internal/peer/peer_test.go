package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/netio"
)

// answers is a Handler with fixed responses, of the leader of a term.
type answers struct{ term uint64 }

func (a answers) Job(_ context.Context, id string) (*JobStatus, error) {
	switch id {
	case "job-1":
		return &JobStatus{Known: true, Phase: "done", Done: 3}, nil
	case "job-2":
		return &JobStatus{}, nil
	}
	return nil, errors.New("not the leader")
}

func (a answers) Ping(context.Context, *Ping) (*Pong, error) {
	return &Pong{Term: a.term, Leader: "n1"}, nil
}

func (a answers) ForwardHeartbeat(_ context.Context, r *Report) (*ReportAnswer, error) {
	if r.Term > a.term {
		return nil, errors.New("not the leader")
	}
	return &ReportAnswer{Term: a.term, Orders: []*Order{{Verb: "reap", Task: r.Tasks[0].Task, Attempt: 7}}}, nil
}

func (a answers) Loans(context.Context, *LoanRequest) (*LoanAnswer, error) {
	return nil, ErrUnavailable
}

func (a answers) Vote(_ context.Context, r *GrantRequest) (*GrantAnswer, error) {
	return &GrantAnswer{Granted: r.Term == a.term}, nil
}

func (a answers) Promise(_ context.Context, r *PromiseRequest) (*PromiseAnswer, error) {
	if r.Term != a.term {
		return nil, ErrUnavailable
	}
	return &PromiseAnswer{WaitMs: 1500}, nil
}

func (a answers) LeaderResigned(_ context.Context, r *Resignation) error {
	if r.Term != a.term {
		return errors.New("another term")
	}
	return nil
}

// newPipeClient is a client on a pipe, whose other end is served unless h is nil.
func newPipeClient(t *testing.T, h Handler) (*Client, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	c := NewClient("nowhere")
	c.out = &outbox{conn: near}
	go c.receive(near)
	if h != nil {
		go serveConn(t.Context(), far, h)
	}
	t.Cleanup(func() { closeConn(near) })
	t.Cleanup(func() { closeConn(far) })
	return c, far
}

func TestRequestsBetweenControllers(t *testing.T) {
	c, _ := newPipeClient(t, answers{term: 9})
	ctx := t.Context()
	if st, err := c.Job(ctx, "job-1"); err != nil || !st.Known || st.Phase != "done" || st.Done != 3 {
		t.Errorf("known job: got %v, error %v; want done with 3 tasks", st, err)
	}
	if st, err := c.Job(ctx, "job-2"); err != nil || st.Known {
		t.Errorf("unknown job: got %v, error %v; want one that is not known", st, err)
	}
	if _, err := c.Job(ctx, "job-3"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("job, no leader: got error %v, want %v", err, ErrUnavailable)
	}
	if p, err := c.Ping(ctx, &Ping{}); err != nil || p.Term != 9 || p.Leader != "n1" {
		t.Errorf("ping: got %v, error %v; want term 9, leader n1", p, err)
	}
	hb := &Report{Machine: "i-1", Term: 9, Tasks: []*TaskReport{{Task: "job-1/2"}}}
	if a, err := c.ForwardHeartbeat(ctx, hb); err != nil || a.Term != 9 || a.Orders[0].Task != "job-1/2" {
		t.Errorf("heartbeat: got %v, error %v; want term 9, a command for job-1/2", a, err)
	}
	hb.Term = 10
	if _, err := c.ForwardHeartbeat(ctx, hb); !errors.Is(err, ErrUnavailable) {
		t.Errorf("heartbeat with a later term: got error %v, want %v", err, ErrUnavailable)
	}
	if err := c.Resign(ctx, &Resignation{Node: "n1", Term: 9}); err != nil {
		t.Errorf("resignation: got error %v, want none", err)
	}
	if err := c.Resign(ctx, &Resignation{Node: "n1", Term: 8}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("resignation from another term: got error %v, want %v", err, ErrUnavailable)
	}
	if granted, err := c.Vote(ctx, 9); err != nil || !granted {
		t.Errorf("vote: got %v, error %v; want true", granted, err)
	}
	if granted, err := c.Vote(ctx, 8); err != nil || granted {
		t.Errorf("vote in another term: got %v, error %v; want false", granted, err)
	}
	if wait, err := c.Promise(ctx, 9); err != nil || wait != 1500*time.Millisecond {
		t.Errorf("promise: got %v, error %v; want 1.5s", wait, err)
	}
	if _, err := c.Promise(ctx, 8); !errors.Is(err, ErrUnavailable) {
		t.Errorf("promise in another term: got error %v, want %v", err, ErrUnavailable)
	}
}

// A peer that closes the connection or sends a malformed message fails the pending
// requests; none may wait for ever.
func TestBrokenConnectionFailsPendingRequests(t *testing.T) {
	for name, sent := range map[string][]byte{
		"closed":            nil, // sends nothing
		"oversized message": {0xff, 0xff, 0xff, 0xff},
		"malformed message": {0, 0, 0, 2, 0xff, 0xff},
	} {
		c, far := newPipeClient(t, nil)
		go func() {
			if _, err := io.ReadFull(far, make([]byte, 6)); err != nil {
				t.Errorf("%s: read the request: %v", name, err)
			}
			if sent == nil {
				closeConn(far)
				return
			}
			if _, err := far.Write(sent); err != nil {
				t.Errorf("%s: write: %v", name, err)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		if _, err := c.Ping(ctx, &Ping{}); err == nil || ctx.Err() != nil {
			t.Errorf("%s: got error %v, context error %v; want an error in time", name, err, ctx.Err())
		}
		cancel()
	}
}

// blockedHandler does not respond to requests about jobs, as while the key-value store is
// unreachable.
type blockedHandler struct{ answers }

func (s blockedHandler) Job(ctx context.Context, _ string) (*JobStatus, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Requests about jobs that wait delay neither heartbeats nor pings, and those beyond the
// limit are rejected at once.
func TestHeartbeatsDoNotWaitBehindJobQueries(t *testing.T) {
	c, _ := newPipeClient(t, blockedHandler{answers{term: 9}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const excess = 50
	rejected := make(chan struct{}, excess)
	for range maxJobQueries + excess {
		go func() {
			if _, err := c.Job(ctx, "job-1"); errors.Is(err, ErrUnavailable) {
				rejected <- struct{}{}
			}
		}()
	}
	for range excess {
		<-rejected
	}
	if _, err := c.Ping(ctx, &Ping{}); err != nil {
		t.Errorf("ping: got error %v, want none", err)
	}
	hb := &Report{Machine: "i-1", Term: 9, Tasks: []*TaskReport{{Task: "job-1/2"}}}
	if _, err := c.ForwardHeartbeat(ctx, hb); err != nil {
		t.Errorf("heartbeat: got error %v, want none", err)
	}
}

// startServer serves a listener until ctx ends, by the end of the test at the latest, and
// returns its address.
func startServer(ctx context.Context, t *testing.T, ln net.Listener, h Handler) string {
	t.Helper()
	var served sync.WaitGroup
	t.Cleanup(served.Wait)
	served.Go(func() {
		if err := Serve(ctx, ln, h, slog.New(slog.DiscardHandler)); !errors.Is(err, context.Canceled) {
			t.Errorf("serve: got error %v, want %v", err, context.Canceled)
		}
	})
	return ln.Addr().String()
}

// Concurrent requests over a socket: their messages are written together and arrive in
// pieces that end anywhere.
func TestConcurrentRequestsOverSocket(t *testing.T) {
	ln, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewClient(startServer(ctx, t, ln, answers{term: 9}))
	if _, err := c.Job(ctx, "job-1"); err != nil {
		t.Fatal(err)
	}
	hb := &Report{Term: 9, Tasks: []*TaskReport{{Task: strings.Repeat("job-1/", 900)}}}
	var requests sync.WaitGroup
	for range 200 {
		requests.Go(func() {
			response, err := c.ForwardHeartbeat(ctx, hb)
			if err != nil || response.Orders[0].Task != hb.Tasks[0].Task {
				t.Errorf("got %d commands, error %v; want one for the task sent", len(response.GetOrders()), err)
			}
		})
	}
	requests.Wait()
}

// dial connects to an address until the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// Connections beyond the limit are closed at once, and those that are open stay.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := startServer(t.Context(), t, ln, answers{})
	first := NewClient(addr)
	if _, err := first.Job(t.Context(), "job-1"); err != nil {
		t.Fatal(err)
	}
	for range maxConns - 1 {
		dial(t, addr)
	}
	excess := dial(t, addr)
	if n, err := excess.Read(make([]byte, 1)); err == nil {
		t.Errorf("connection beyond the limit: read %d bytes, want an error", n)
	}
	if _, err := first.Job(t.Context(), "job-1"); err != nil {
		t.Errorf("open connection: got error %v, want none", err)
	}
}
