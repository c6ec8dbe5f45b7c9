// Package peer carries requests between controllers: length-prefixed protobuf
// messages over one TCP connection for each direction.
package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/netio"
)

// maxMessage is the largest message between controllers, in bytes.
const maxMessage = 256 << 10

// ErrUnavailable means that the peer cannot answer the request.
var ErrUnavailable = errors.New("peer: not entitled to answer")

// ErrConnectionRefused means that connections to the peer are refused: by a packet
// filter, or because no process listens. Either way the network to its host works.
var ErrConnectionRefused = errors.New("peer: connection refused")

// Handler serves a peer's requests. An error lets the peer's request fail with
// ErrUnavailable.
type Handler interface {
	// Job returns the state of a job.
	Job(ctx context.Context, id string) (*JobStatus, error)
	// Ping returns the status of this node.
	Ping(ctx context.Context, p *Ping) (*Pong, error)
	// ForwardHeartbeat applies a forwarded heartbeat, if this node leads.
	ForwardHeartbeat(ctx context.Context, r *Report) (*ReportAnswer, error)
	// LeaderResigned records that the leader of a term has stepped down.
	LeaderResigned(ctx context.Context, r *Resignation) error
	// Loans applies the loan entries of another cell's leader.
	Loans(ctx context.Context, r *LoanRequest) (*LoanAnswer, error)
	// Vote backs the lease of a term's leader for a while.
	Vote(ctx context.Context, r *GrantRequest) (*GrantAnswer, error)
	// Promise ends this node's votes for a term, and returns how long its last one is
	// still valid.
	Promise(ctx context.Context, r *PromiseRequest) (*PromiseAnswer, error)
}

// maxInFlight bounds the requests in flight of one connection, and maxJobQueries those of
// them about jobs. The latter wait for the key-value store: while it is unreachable they
// would take all slots, and a whole zone's heartbeats and the pings would wait behind
// them.
const (
	maxInFlight   = 256
	maxJobQueries = 96
)

// Serve serves the peers that connect to a listener.
func Serve(ctx context.Context, ln net.Listener, h Handler, log *slog.Logger) error {
	go func() {
		<-ctx.Done()
		_ = ln.Close() // Accept returns all the same
	}()
	open := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("peer: accept: %w", err)
			}
			log.Debug("accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case open <- struct{}{}:
			go func() {
				defer func() { <-open }()
				serveConn(ctx, conn, h)
			}()
		default:
			log.Warn("peer connection rejected", "reason", "too many", "addr", conn.RemoteAddr())
			closeConn(conn)
		}
	}
}

// maxConns bounds the connections that a listener serves. Each controller keeps one to
// each other, and each connection has a buffer of its own.
const maxConns = 128

// acceptRetryDelay is the pause after a failed accept, as when file descriptors run out.
const acceptRetryDelay = 50 * time.Millisecond

// closeConn closes a connection that is not used any more; an error changes nothing.
func closeConn(conn net.Conn) { _ = conn.Close() }

// server serves the requests of one connection.
type server struct {
	handler Handler
	out     *outbox
	// slots and jobSlots bound the requests in flight, and those of them about jobs.
	slots, jobSlots chan struct{}
}

func serveConn(ctx context.Context, conn net.Conn, h Handler) {
	defer closeConn(conn)
	s := &server{
		handler:  h,
		out:      &outbox{conn: conn},
		slots:    make(chan struct{}, maxInFlight),
		jobSlots: make(chan struct{}, maxJobQueries),
	}
	deadline := time.Now().Add(2 * idleTimeout)
	if conn.SetReadDeadline(deadline) != nil {
		return // closed
	}
	// The error is that of the connection, which is closed either way.
	_ = readFrames(conn, func(raw []byte) error {
		if now := time.Now(); deadline.Sub(now) < idleTimeout {
			deadline = now.Add(2 * idleTimeout)
			if err := conn.SetReadDeadline(deadline); err != nil {
				return err
			}
		}
		var req Request
		if err := proto.Unmarshal(raw, &req); err != nil {
			return err
		}
		s.slots <- struct{}{}
		go s.serve(ctx, &req)
		return nil
	})
}

// serve responds to a request, whose slot it frees.
func (s *server) serve(ctx context.Context, req *Request) {
	defer func() { <-s.slots }()
	resp := s.respond(ctx, req)
	resp.Seq = req.Seq
	if s.out.send(resp, responseTimeout) != nil {
		closeConn(s.out.conn)
	}
}

// respond handles a request; one about a job without a free slot is rejected at once.
func (s *server) respond(ctx context.Context, req *Request) *Response {
	if _, ok := req.Kind.(*Request_Job); ok {
		select {
		case s.jobSlots <- struct{}{}:
			defer func() { <-s.jobSlots }()
		default:
			return &Response{Unable: true}
		}
	}
	return respond(ctx, s.handler, req)
}

// Timeouts of connections.
const (
	// idleTimeout is the shortest time after which a connection without requests is
	// closed; its peer pings every second.
	idleTimeout = time.Minute
	// requestTimeout and responseTimeout bound the writing of a message.
	requestTimeout  = time.Second
	responseTimeout = 2 * time.Second
	// dialBackoff is the pause after a failed dial, and unresponsiveBackoff that after a
	// request to a peer that has stopped responding.
	dialBackoff         = 500 * time.Millisecond
	unresponsiveBackoff = time.Second
)

func respond(ctx context.Context, h Handler, req *Request) *Response {
	resp := &Response{}
	var err error
	switch k := req.Kind.(type) {
	case *Request_Ping:
		resp.Pong, err = h.Ping(ctx, k.Ping)
	case *Request_Job:
		resp.Job, err = h.Job(ctx, k.Job.GetId())
	case *Request_Report:
		resp.Report, err = h.ForwardHeartbeat(ctx, k.Report)
	case *Request_Resignation:
		err = h.LeaderResigned(ctx, k.Resignation)
	case *Request_Loans:
		resp.Loans, err = h.Loans(ctx, k.Loans)
	case *Request_Grant:
		resp.Grant, err = h.Vote(ctx, k.Grant)
	case *Request_Promise:
		resp.Promise, err = h.Promise(ctx, k.Promise)
	default:
		err = ErrUnavailable // a request of a later version
	}
	if err != nil {
		return &Response{Unable: true}
	}
	return resp
}

// readFrames passes the messages of a connection to handle until either fails. The
// message is valid only until handle returns.
func readFrames(conn net.Conn, handle func(raw []byte) error) error {
	f := frameReader{handle: handle}
	buf := make([]byte, 16<<10)
	netioConn, ok := conn.(*netio.Conn)
	if !ok {
		for {
			n, err := conn.Read(buf)
			if err == nil {
				err = f.feed(buf[:n])
			}
			if err != nil {
				return err
			}
		}
	}
	var frameErr error
	err := netioConn.ReadLoop(func(read func([]byte) (int, error)) netio.LoopAction {
		n, err := read(buf)
		if errors.Is(err, netio.ErrNoData) {
			return netio.WaitForData
		}
		if err == nil {
			err = f.feed(buf[:n])
		}
		if err != nil {
			frameErr = err
			return netio.StopLoop
		}
		// Any number of messages may be queued, so only a read that finds nothing
		// shows that none is left.
		return netio.ReadAgain
	})
	return errors.Join(err, frameErr)
}

// headerSize is the size of the length before each message.
const headerSize = 4

// frameReader splits the bytes read from a connection into messages.
type frameReader struct {
	handle func(raw []byte) error
	// partial is the beginning of an incomplete message.
	partial []byte
}

// feed appends what was read, and passes the complete messages to handle.
func (f *frameReader) feed(p []byte) error {
	if len(f.partial) > 0 {
		f.partial = append(f.partial, p...)
		p = f.partial
	}
	for len(p) >= headerSize {
		n := binary.BigEndian.Uint32(p)
		if n > maxMessage {
			return fmt.Errorf("peer: message of %d bytes", n)
		}
		if len(p)-headerSize < int(n) {
			break
		}
		if err := f.handle(p[headerSize : headerSize+n]); err != nil {
			return err
		}
		p = p[headerSize+n:]
	}
	f.partial = append([]byte(nil), p...)
	return nil
}

// outbox writes messages to a connection. Those that are queued at the same time are
// written together: while a process lags, many are.
type outbox struct {
	conn net.Conn

	mu sync.Mutex
	// queued holds the messages that are not being written yet.
	queued    []byte
	isWriting bool
	// deadline is the write deadline of conn.
	deadline time.Time
}

// send writes a message, or queues it for the caller that is writing already.
func (o *outbox) send(m proto.Message, timeout time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	start := len(o.queued)
	queued, err := proto.MarshalOptions{}.MarshalAppend(append(o.queued, make([]byte, headerSize)...), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(queued[start:], uint32(len(queued)-start-headerSize))
	o.queued = queued
	if o.isWriting {
		return nil
	}
	o.isWriting = true
	defer func() { o.isWriting = false }()
	for len(o.queued) > 0 {
		o.mu.Unlock()
		runtime.Gosched() // lets other callers queue their messages first
		o.mu.Lock()
		batch := o.queued
		o.queued = nil
		if now := time.Now(); o.deadline.Sub(now) < timeout {
			o.deadline = now.Add(2 * timeout)
			_ = o.conn.SetWriteDeadline(o.deadline) // fails if closed, and then Write does too
		}
		o.mu.Unlock()
		_, err = o.conn.Write(batch)
		o.mu.Lock()
		if err != nil {
			o.queued = nil
			return err
		}
	}
	return nil
}

// Client sends requests to one peer. It keeps one connection, dialed when first needed.
type Client struct {
	addr string

	mu sync.Mutex
	// out is the connection, nil while there is none.
	out       *outbox
	seq       uint64
	pending   map[uint64]chan *Response
	isDialing bool
	downUntil time.Time
	// ConnectionRefused is set if the last dial was refused, rather than timed out.
	connectionRefused bool
	// lastResponse is when the peer last responded to any request.
	lastResponse time.Time
}

// NewClient returns a client of the peer at an address.
func NewClient(addr string) *Client {
	return &Client{addr: addr, pending: map[uint64]chan *Response{}}
}

// Job requests the state of a job.
func (c *Client) Job(ctx context.Context, id string) (*JobStatus, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Job{Job: &JobQuery{Id: id}}})
	if err != nil {
		return nil, err
	}
	if resp.Job == nil {
		return nil, ErrUnavailable
	}
	return resp.Job, nil
}

// Ping requests the status of the peer.
func (c *Client) Ping(ctx context.Context, p *Ping) (*Pong, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Ping{Ping: p}})
	if err != nil {
		return nil, err
	}
	if resp.Pong == nil {
		return nil, ErrUnavailable
	}
	return resp.Pong, nil
}

// ForwardHeartbeat forwards a machine's heartbeat.
func (c *Client) ForwardHeartbeat(ctx context.Context, r *Report) (*ReportAnswer, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Report{Report: r}})
	if err != nil {
		return nil, err
	}
	if resp.Report == nil {
		return nil, ErrUnavailable
	}
	return resp.Report, nil
}

// Resign notifies the peer that this node has stepped down as leader.
func (c *Client) Resign(ctx context.Context, r *Resignation) error {
	_, err := c.roundTrip(ctx, &Request{Kind: &Request_Resignation{Resignation: r}})
	return err
}

// Loans sends loan entries to the leader of another cell.
func (c *Client) Loans(ctx context.Context, r *LoanRequest) (*LoanAnswer, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Loans{Loans: r}})
	if err != nil {
		return nil, err
	}
	if resp.Loans == nil {
		return nil, ErrUnavailable
	}
	return resp.Loans, nil
}

// Vote requests the peer's vote for this node's lease as leader of a term.
func (c *Client) Vote(ctx context.Context, term uint64) (bool, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Grant{Grant: &GrantRequest{Term: term}}})
	if err != nil {
		return false, err
	}
	return resp.Grant.GetGranted(), nil
}

// Promise requests the peer's promise not to vote in a term any more, and returns how long
// its last vote is still valid.
func (c *Client) Promise(ctx context.Context, term uint64) (time.Duration, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Promise{Promise: &PromiseRequest{Term: term}}})
	if err != nil {
		return 0, err
	}
	if resp.Promise == nil {
		return 0, ErrUnavailable
	}
	return time.Duration(resp.Promise.WaitMs) * time.Millisecond, nil
}

func (c *Client) roundTrip(ctx context.Context, req *Request) (*Response, error) {
	ch := make(chan *Response, 1)
	out, seq, err := c.register(ctx, ch)
	if err != nil {
		return nil, err
	}
	defer c.unregister(seq)
	req.Seq = seq
	sent := time.Now()
	if err := out.send(req, requestTimeout); err != nil {
		c.drop(out.conn)
		return nil, fmt.Errorf("peer: %w", err)
	}
	select {
	case resp := <-ch:
		if resp == nil {
			return nil, errors.New("peer: connection lost")
		}
		if resp.Unable {
			return nil, ErrUnavailable
		}
		return resp, nil
	case <-ctx.Done():
		// Requests to a peer that has stopped responding fail at once for a while,
		// so that users do not wait for it one after the other. A peer that has
		// responded to other requests meanwhile is only slow with this one.
		c.mu.Lock()
		unresponsive := c.lastResponse.Before(sent)
		if unresponsive {
			c.downUntil = time.Now().Add(unresponsiveBackoff)
		}
		c.mu.Unlock()
		if unresponsive {
			c.drop(out.conn)
		}
		return nil, fmt.Errorf("peer: %w", ctx.Err())
	}
}

// register returns the connection, dialing it if there is none, and the number under which
// ch receives the response.
func (c *Client) register(ctx context.Context, ch chan *Response) (*outbox, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil) || c.isDialing {
		if c.connectionRefused {
			return nil, 0, ErrConnectionRefused
		}
		return nil, 0, errors.New("peer: not reachable just now")
	}
	if c.out == nil {
		c.isDialing = true
		c.mu.Unlock()
		conn, err := netio.Dialer(0)(ctx, "tcp", c.addr)
		c.mu.Lock()
		c.isDialing = false
		c.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		if err != nil {
			c.downUntil = time.Now().Add(dialBackoff)
			if c.connectionRefused {
				return nil, 0, ErrConnectionRefused
			}
			return nil, 0, fmt.Errorf("peer: %w", err)
		}
		c.out = &outbox{conn: conn}
		go c.receive(conn)
	}
	c.seq++
	c.pending[c.seq] = ch
	return c.out, c.seq, nil
}

func (c *Client) unregister(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}

// receive passes responses to the requests that wait for them, until the connection fails.
func (c *Client) receive(conn net.Conn) {
	// The error is that of the connection, which drop closes.
	_ = readFrames(conn, func(raw []byte) error {
		var resp Response
		if err := proto.Unmarshal(raw, &resp); err != nil {
			return err
		}
		c.mu.Lock()
		c.lastResponse = time.Now()
		ch := c.pending[resp.Seq]
		delete(c.pending, resp.Seq)
		c.mu.Unlock()
		if ch != nil {
			ch <- &resp
		}
		return nil
	})
	c.drop(conn)
}

// drop closes a connection and fails all requests that wait on it.
func (c *Client) drop(conn net.Conn) {
	closeConn(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out == nil || c.out.conn != conn {
		return
	}
	c.out = nil
	for seq, ch := range c.pending {
		delete(c.pending, seq)
		close(ch)
	}
}
