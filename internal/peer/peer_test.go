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

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/netio"
)

// answers is a fake Handler. It responds like a leader in the given term that knows job-1 but not
// job-2. Queries of other jobs and loan requests fail.
type answers struct{ term uint64 }

func (a answers) Job(_ context.Context, q *JobQuery) (*JobStatus, error) {
	switch q.Id {
	case "job-1":
		return &JobStatus{Known: true, Phase: "done", Done: 3}, nil
	case "job-2":
		return &JobStatus{}, nil
	}
	return nil, errors.New("not the leader")
}

func (a answers) Completion(_ context.Context, q *CompletionQuery) (*CompletionStatus, error) {
	if q.Id != "job-1" {
		return nil, errors.New("stopped")
	}
	return &CompletionStatus{Verdict: CompletionStatus_FINISHED, Done: append(q.Done, 3), Addrs: []string{"a:1"}}, nil
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

// newPipeClient returns a client connected by a pipe, and the server's end of the pipe. Unless h is
// nil, h handles the requests that arrive there.
func newPipeClient(t *testing.T, h Handler) (*Client, net.Conn) {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	c := NewClient("unused address")
	c.out = &outbox{conn: clientEnd}
	go c.receive(clientEnd)
	if h != nil {
		go serveConn(t.Context(), serverEnd, h)
	}
	t.Cleanup(func() { closeConn(clientEnd) })
	t.Cleanup(func() { closeConn(serverEnd) })
	return c, serverEnd
}

func TestRequestsBetweenControllers(t *testing.T) {
	c, _ := newPipeClient(t, answers{term: 9})
	ctx := t.Context()
	if st, err := c.Job(ctx, &JobQuery{Id: "job-1"}); err != nil || !st.Known || st.Phase != "done" || st.Done != 3 {
		t.Errorf("known job: got %v, error %v; want done with 3 tasks", st, err)
	}
	if st, err := c.Job(ctx, &JobQuery{Id: "job-2"}); err != nil || st.Known {
		t.Errorf("unknown job: got %v, error %v; want Known false", st, err)
	}
	if _, err := c.Job(ctx, &JobQuery{Id: "job-3"}); !errors.Is(err, ErrUnavailable) {
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

func TestCompletionQueries(t *testing.T) {
	c, _ := newPipeClient(t, answers{term: 9})
	ctx := t.Context()
	status, err := c.Completion(ctx, &CompletionQuery{Id: "job-1", Done: []byte{5}})
	want := &CompletionStatus{Verdict: CompletionStatus_FINISHED, Done: []byte{5, 3}, Addrs: []string{"a:1"}}
	if err != nil || !proto.Equal(status, want) {
		t.Errorf("completed tasks: got %v, error %v; want %v", status, err, want)
	}
	if _, err := c.Completion(ctx, &CompletionQuery{Id: "job-2"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("completed tasks, unable: got error %v, want %v", err, ErrUnavailable)
	}
}

// If the peer closes the connection or sends a malformed message, the pending requests fail
// instead of waiting until their context ends.
func TestBrokenConnectionFailsPendingRequests(t *testing.T) {
	for name, sent := range map[string][]byte{
		"closed":            nil, // sends nothing
		"oversized message": {0xff, 0xff, 0xff, 0xff},
		"malformed message": {0, 0, 0, 2, 0xff, 0xff},
	} {
		c, serverEnd := newPipeClient(t, nil)
		go func() {
			if _, err := io.ReadFull(serverEnd, make([]byte, 6)); err != nil {
				t.Errorf("%s: read the request: %v", name, err)
			}
			if sent == nil {
				closeConn(serverEnd)
				return
			}
			if _, err := serverEnd.Write(sent); err != nil {
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

// blockedHandler blocks on job queries, as a controller does while the key-value store is
// unreachable.
type blockedHandler struct{ answers }

func (blockedHandler) Job(ctx context.Context, _ *JobQuery) (*JobStatus, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Blocked job queries must not delay heartbeats and pings. Job queries beyond maxJobQueries are
// rejected immediately.
func TestHeartbeatsDoNotWaitBehindJobQueries(t *testing.T) {
	c, _ := newPipeClient(t, blockedHandler{answers{term: 9}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const excess = 50
	rejected := make(chan struct{}, excess)
	for range maxJobQueries + excess {
		go func() {
			if _, err := c.Job(ctx, &JobQuery{Id: "job-1"}); errors.Is(err, ErrUnavailable) {
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

// startServer serves a listener until ctx ends and returns the listener's address. The test waits
// for the server to stop, so ctx must end with the test or before.
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

// Concurrent requests over a socket get their responses, although several messages are written at
// once and reads may end in the middle of a message.
func TestConcurrentRequestsOverSocket(t *testing.T) {
	ln, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewClient(startServer(ctx, t, ln, answers{term: 9}))
	if _, err := c.Job(ctx, &JobQuery{Id: "job-1"}); err != nil {
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

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// Connections beyond maxConns are closed immediately. Open connections are not affected.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := startServer(t.Context(), t, ln, answers{})
	first := NewClient(addr)
	if _, err := first.Job(t.Context(), &JobQuery{Id: "job-1"}); err != nil {
		t.Fatal(err)
	}
	for range maxConns - 1 {
		dial(t, addr)
	}
	excess := dial(t, addr)
	if n, err := excess.Read(make([]byte, 1)); err == nil {
		t.Errorf("connection beyond the limit: read %d bytes, want an error", n)
	}
	if _, err := first.Job(t.Context(), &JobQuery{Id: "job-1"}); err != nil {
		t.Errorf("open connection: got error %v, want none", err)
	}
}
