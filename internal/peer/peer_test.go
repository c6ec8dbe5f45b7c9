package peer

import (
	"context"
	"errors"
	"example.org/ivytrestle/internal/netio"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

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

// newPipeClient is a client whose connection ends in a served pipe.
func newPipeClient(t *testing.T, h Handler) (*Client, net.Conn) {
	near, far := net.Pipe()
	c := NewClient("nowhere")
	c.out = &outbox{conn: near}
	go c.receive(near)
	if h != nil {
		go serveConn(t.Context(), far, h)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return c, far
}

func TestRequestsBetweenControllers(t *testing.T) {
	c, _ := newPipeClient(t, answers{term: 9})
	ctx := t.Context()
	if st, err := c.Job(ctx, "job-1"); err != nil || !st.Known || st.Phase != "done" || st.Done != 3 {
		t.Errorf("%v, %v", st, err)
	}
	if st, err := c.Job(ctx, "job-2"); err != nil || st.Known {
		t.Errorf("unknown job: %v, %v", st, err)
	}
	if _, err := c.Job(ctx, "job-3"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("no leader: %v", err)
	}
	if p, err := c.Ping(ctx, &Ping{}); err != nil || p.Term != 9 || p.Leader != "n1" {
		t.Errorf("ping: %v, %v", p, err)
	}
	hb := &Report{Machine: "i-1", Term: 9, Tasks: []*TaskReport{{Task: "job-1/2"}}}
	if a, err := c.ForwardHeartbeat(ctx, hb); err != nil || a.Term != 9 || a.Orders[0].Task != "job-1/2" {
		t.Errorf("report: %v, %v", a, err)
	}
	hb.Term = 10
	if _, err := c.ForwardHeartbeat(ctx, hb); !errors.Is(err, ErrUnavailable) {
		t.Errorf("report with a later term: %v", err)
	}
	if err := c.Resign(ctx, &Resignation{Node: "n1", Term: 9}); err != nil {
		t.Errorf("resign: %v", err)
	}
	if err := c.Resign(ctx, &Resignation{Node: "n1", Term: 8}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("resign from another term: %v", err)
	}
	if granted, err := c.Vote(ctx, 9); err != nil || !granted {
		t.Errorf("grant: %v, %v", granted, err)
	}
	if granted, err := c.Vote(ctx, 8); err != nil || granted {
		t.Errorf("grant of another term: %v, %v", granted, err)
	}
	if wait, err := c.Promise(ctx, 9); err != nil || wait != 1500*time.Millisecond {
		t.Errorf("promise: %v, %v", wait, err)
	}
	if _, err := c.Promise(ctx, 8); !errors.Is(err, ErrUnavailable) {
		t.Errorf("promise of another term: %v", err)
	}
}

// A peer that sends nonsense, or goes, fails the questions that wait; none may
// wait for ever.
func TestBrokenConnectionFailsPendingRequests(t *testing.T) {
	for name, breakIt := range map[string]func(net.Conn){
		"goes":              func(far net.Conn) { far.Close() },
		"oversized message": func(far net.Conn) { far.Write([]byte{0xff, 0xff, 0xff, 0xff}) },
		"nonsense":          func(far net.Conn) { far.Write([]byte{0, 0, 0, 2, 0xff, 0xff}) },
	} {
		c, far := newPipeClient(t, nil)
		go func() {
			io.ReadFull(far, make([]byte, 6))
			breakIt(far)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		if _, err := c.Ping(ctx, &Ping{}); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}

// blockedHandler cannot answer questions about jobs, as while the state service is away.
type blockedHandler struct{ answers }

func (s blockedHandler) Job(ctx context.Context, _ string) (*JobStatus, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Questions about jobs that wait hold up neither reports nor signs of life, and
// those beyond the bound are refused at once.
func TestHeartbeatsDoNotWaitBehindJobQueries(t *testing.T) {
	c, _ := newPipeClient(t, blockedHandler{answers{term: 9}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const more = 50
	refused := make(chan error, more)
	for range maxJobQueries + more {
		go func() {
			if _, err := c.Job(ctx, "job-1"); errors.Is(err, ErrUnavailable) {
				refused <- err
			}
		}()
	}
	for range more {
		<-refused
	}
	if _, err := c.Ping(ctx, &Ping{}); err != nil {
		t.Errorf("ping: %v", err)
	}
	hb := &Report{Machine: "i-1", Term: 9, Tasks: []*TaskReport{{Task: "job-1/2"}}}
	if _, err := c.ForwardHeartbeat(ctx, hb); err != nil {
		t.Errorf("report: %v", err)
	}
}

// Many questions at a time, over a socket: their messages go out together and
// arrive in pieces that end anywhere.
func TestConcurrentRequestsOverSocket(t *testing.T) {
	ln, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Serve(ctx, ln, answers{term: 9}, slog.New(slog.DiscardHandler))
	c := NewClient(ln.Addr().String())
	if _, err := c.Job(ctx, "job-1"); err != nil {
		t.Fatal(err)
	}
	hb := &Report{Term: 9, Tasks: []*TaskReport{{Task: strings.Repeat("job-1/", 900)}}}
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			response, err := c.ForwardHeartbeat(ctx, hb)
			if err != nil || response.Orders[0].Task != hb.Tasks[0].Task {
				t.Errorf("%v, %v", len(response.GetOrders()), err)
			}
		})
	}
	all.Wait()
}

// Connections beyond the bound are closed at once, and those that are open go on.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go Serve(t.Context(), ln, answers{}, slog.New(slog.DiscardHandler))
	first := NewClient(ln.Addr().String())
	if _, err := first.Job(t.Context(), "job-1"); err != nil {
		t.Fatal(err)
	}
	for range maxConns - 1 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	over, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer over.Close()
	if n, err := over.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes of one connection too many", n)
	}
	if _, err := first.Job(t.Context(), "job-1"); err != nil {
		t.Errorf("an open connection: %v", err)
	}
}
