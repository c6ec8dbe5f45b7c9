// Package peer carries requests between controllers: length-prefixed protobuf
// messages. A controller sends its requests to another over one TCP connection, on
// which it also receives the responses.
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

// ErrUnavailable means that the peer responded but cannot answer the request.
var ErrUnavailable = errors.New("peer: cannot answer the request")

// ErrConnectionRefused means that the connection to the peer was refused, by a packet filter or
// because no process listens on the address. In both cases the network to the peer's host works.
var ErrConnectionRefused = errors.New("peer: connection refused")

// Handler handles the requests of other controllers. If a method returns an error, the request
// fails with ErrUnavailable at the sender.
type Handler interface {
	// Job answers a query about a job.
	Job(ctx context.Context, q *JobQuery) (*JobStatus, error)
	// Completion returns what this node knows about the completed tasks of a job.
	Completion(ctx context.Context, q *CompletionQuery) (*CompletionStatus, error)
	// Ping returns the status of this node.
	Ping(ctx context.Context, p *Ping) (*Pong, error)
	// ForwardHeartbeat applies a forwarded heartbeat, if this node leads.
	ForwardHeartbeat(ctx context.Context, r *Report) (*ReportAnswer, error)
	// LeaderResigned records that the leader of a term has stepped down.
	LeaderResigned(ctx context.Context, r *Resignation) error
	// Loans applies the loan entries that another cell's leader sends.
	Loans(ctx context.Context, r *LoanRequest) (*LoanAnswer, error)
	// Vote requests this node's vote for the lease of a term's leader. The vote is valid for a
	// limited time.
	Vote(ctx context.Context, r *GrantRequest) (*GrantAnswer, error)
	// Promise stops this node from voting in a term or an earlier one, and returns for how long votes that it has
	// given may still be valid.
	Promise(ctx context.Context, r *PromiseRequest) (*PromiseAnswer, error)
}

const (
	// maxInFlight is the maximum number of requests in flight on one connection.
	maxInFlight = 256
	// maxJobQueries is the maximum number of job queries among them. Job queries wait for the
	// key-value store. Without this limit they would take all slots while the store is
	// unreachable, and block the pings and the heartbeats of a whole zone.
	maxJobQueries = 96
)

// Serve accepts connections from a listener until ctx ends, and handles their requests.
func Serve(ctx context.Context, ln net.Listener, h Handler, log *slog.Logger) error {
	go func() {
		<-ctx.Done()
		_ = ln.Close() // Accept fails even if Close returns an error
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

// maxConns is the maximum number of open connections of a listener. Each connection has a read
// buffer. A controller needs only one connection from each other controller.
const maxConns = 128

// acceptRetryDelay is the pause after a failed accept, for example if no file descriptor is free.
const acceptRetryDelay = 50 * time.Millisecond

// closeConn closes a connection. An error is ignored, since the connection is not used any more.
func closeConn(conn net.Conn) { _ = conn.Close() }

// server serves the requests of one connection.
type server struct {
	handler Handler
	out     *outbox
	// slots limits the requests in flight to maxInFlight.
	slots chan struct{}
	// jobSlots limits the job queries in flight to maxJobQueries.
	jobSlots chan struct{}
}

// serveConn reads requests from a connection and handles each in a goroutine.
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
	// The error needs no handling: the connection is closed in any case.
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

// serve handles a request, sends the response and frees the request's slot.
func (s *server) serve(ctx context.Context, req *Request) {
	defer func() { <-s.slots }()
	resp := s.respond(ctx, req)
	resp.Seq = req.Seq
	if s.out.send(resp, responseTimeout) != nil {
		closeConn(s.out.conn)
	}
}

// respond handles a request. It rejects a job query immediately if none of the jobSlots is free.
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
	// idleTimeout is the minimum time without requests after which a connection is closed. A
	// peer that is alive sends a ping every second.
	idleTimeout = time.Minute
	// requestTimeout is the time limit for writing a request.
	requestTimeout = time.Second
	// responseTimeout is the time limit for writing a response.
	responseTimeout = 2 * time.Second
	// dialBackoff is the pause after a failed dial.
	dialBackoff = 500 * time.Millisecond
	// unresponsiveBackoff is the pause after a request to a peer that has stopped responding.
	unresponsiveBackoff = time.Second
)

// respond passes a request to the handler and returns the response.
func respond(ctx context.Context, h Handler, req *Request) *Response {
	resp := &Response{}
	var err error
	switch k := req.Kind.(type) {
	case *Request_Ping:
		resp.Pong, err = h.Ping(ctx, k.Ping)
	case *Request_Job:
		resp.Job, err = h.Job(ctx, k.Job)
	case *Request_Completion:
		resp.Completion, err = h.Completion(ctx, k.Completion)
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
		err = ErrUnavailable // a request that only a later version supports
	}
	if err != nil {
		return &Response{Unable: true}
	}
	return resp
}

// readFrames passes the messages of a connection to handle until reading or handle fails. A
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
		// More messages may have arrived. Only a read that finds no data shows that none is
		// left.
		return netio.ReadAgain
	})
	return errors.Join(err, frameErr)
}

// headerSize is the size in bytes of the length field before each message.
const headerSize = 4

// frameReader splits the byte stream of a connection into messages.
type frameReader struct {
	handle func(raw []byte) error
	// partial is the received part of an incomplete message.
	partial []byte
}

// feed adds received bytes and passes each message that is now complete to handle.
func (f *frameReader) feed(p []byte) error {
	if len(f.partial) > 0 {
		f.partial = append(f.partial, p...)
		p = f.partial
	}
	for len(p) >= headerSize {
		n := binary.BigEndian.Uint32(p)
		if n > maxMessage {
			return fmt.Errorf("peer: message of %d bytes exceeds limit of %d", n, maxMessage)
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

// outbox writes messages to a connection. Messages that are queued at the same time are written in
// one system call, which saves time when the process falls behind and many are queued.
type outbox struct {
	conn net.Conn

	mu sync.Mutex
	// queued holds the messages whose write has not begun.
	queued []byte
	// isWriting is set while a call of send writes messages.
	isWriting bool
	// deadline is the write deadline of conn.
	deadline time.Time
}

// send writes a message. If another call is writing, it only queues the message for that call.
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
			_ = o.conn.SetWriteDeadline(o.deadline) // if this fails, so does Write
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

// Client sends requests to one peer over one connection, which it dials when a request needs it.
type Client struct {
	addr string

	mu sync.Mutex
	// out writes to the connection; nil while there is none.
	out *outbox
	// seq is the sequence number of the last request.
	seq uint64
	// pending holds, by sequence number, the channels of the requests without a response.
	pending   map[uint64]chan *Response
	isDialing bool
	// backoffUntil is the time until which requests fail without being sent.
	backoffUntil time.Time
	// connectionRefused is set if the last dial failed because the connection was refused.
	connectionRefused bool
	// lastResponse is when the peer last responded to any request.
	lastResponse time.Time
}

// NewClient returns a client of the peer at an address.
func NewClient(addr string) *Client {
	return &Client{addr: addr, pending: map[uint64]chan *Response{}}
}

// query sends a request and returns the part of the response that get selects. The error is ErrUnavailable
// if the peer's response does not have this part.
func query[T any](ctx context.Context, c *Client, req *Request, get func(*Response) *T) (*T, error) {
	resp, err := c.roundTrip(ctx, req)
	if err != nil {
		return nil, err
	}
	answer := get(resp)
	if answer == nil {
		return nil, ErrUnavailable
	}
	return answer, nil
}

// Job requests the state of a job.
func (c *Client) Job(ctx context.Context, q *JobQuery) (*JobStatus, error) {
	return query(ctx, c, &Request{Kind: &Request_Job{Job: q}}, (*Response).GetJob)
}

// Completion asks what the peer knows about the completed tasks of a job.
func (c *Client) Completion(ctx context.Context, q *CompletionQuery) (*CompletionStatus, error) {
	return query(ctx, c, &Request{Kind: &Request_Completion{Completion: q}}, (*Response).GetCompletion)
}

// Ping requests the status of the peer.
func (c *Client) Ping(ctx context.Context, p *Ping) (*Pong, error) {
	return query(ctx, c, &Request{Kind: &Request_Ping{Ping: p}}, (*Response).GetPong)
}

// ForwardHeartbeat forwards a machine's heartbeat.
func (c *Client) ForwardHeartbeat(ctx context.Context, r *Report) (*ReportAnswer, error) {
	return query(ctx, c, &Request{Kind: &Request_Report{Report: r}}, (*Response).GetReport)
}

// Resign notifies the peer that this node has stepped down as leader.
func (c *Client) Resign(ctx context.Context, r *Resignation) error {
	_, err := c.roundTrip(ctx, &Request{Kind: &Request_Resignation{Resignation: r}})
	return err
}

// Loans sends loan entries to a controller of another cell.
func (c *Client) Loans(ctx context.Context, r *LoanRequest) (*LoanAnswer, error) {
	return query(ctx, c, &Request{Kind: &Request_Loans{Loans: r}}, (*Response).GetLoans)
}

// Vote requests the peer's vote for this node's lease as leader of a term, and reports whether the
// peer granted it.
func (c *Client) Vote(ctx context.Context, term uint64) (bool, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Grant{Grant: &GrantRequest{Term: term}}})
	if err != nil {
		return false, err
	}
	return resp.Grant.GetGranted(), nil
}

// Promise requests the peer's promise not to vote in a term any more, and returns for how long
// votes that the peer has given may still be valid.
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

// roundTrip sends a request and waits for the response.
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
		return nil, fmt.Errorf("peer: send request: %w", err)
	}
	select {
	case resp := <-ch:
		if resp == nil {
			return nil, errors.New("peer: connection lost before the response")
		}
		if resp.Unable {
			return nil, ErrUnavailable
		}
		return resp, nil
	case <-ctx.Done():
		// A peer that has responded to no request since this one was sent has stopped
		// responding. Further requests to it fail immediately for unresponsiveBackoff, so
		// that each user does not wait for a timeout.
		c.mu.Lock()
		unresponsive := c.lastResponse.Before(sent)
		if unresponsive {
			c.backoffUntil = time.Now().Add(unresponsiveBackoff)
		}
		c.mu.Unlock()
		if unresponsive {
			c.drop(out.conn)
		}
		return nil, fmt.Errorf("peer: wait for response: %w", ctx.Err())
	}
}

// register adds a pending request, whose response ch will receive. It returns the connection, which
// it dials if there is none, and the request's sequence number.
func (c *Client) register(ctx context.Context, ch chan *Response) (*outbox, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.backoffUntil) || c.isDialing {
		if c.connectionRefused {
			return nil, 0, ErrConnectionRefused
		}
		return nil, 0, errors.New("peer: not connected, backing off or dialing")
	}
	if c.out == nil {
		c.isDialing = true
		c.mu.Unlock()
		conn, err := netio.Dialer(0)(ctx, "tcp", c.addr)
		c.mu.Lock()
		c.isDialing = false
		c.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		if err != nil {
			c.backoffUntil = time.Now().Add(dialBackoff)
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

// unregister removes a pending request.
func (c *Client) unregister(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}

// receive passes responses to the pending requests until the connection fails.
func (c *Client) receive(conn net.Conn) {
	// The error needs no handling: drop closes the connection in any case.
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

// drop closes a connection. If it is the current one, all pending requests fail.
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
