// Package peer carries questions between controllers: length-prefixed
// protobuf messages over one TCP connection for each direction.
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

// maxMessage bounds a message between controllers.
const maxMessage = 256 << 10

// ErrUnavailable means that the peer is not entitled to answer.
var ErrUnavailable = errors.New("peer: not entitled to answer")

// ErrNotApplied means that the peer's connections are refused: by a packet filter,
// or since no process is there. Either way the network to its host works.
var ErrConnectionRefused = errors.New("peer: connection refused")

// Handler answers a peer's questions. An error tells the peer that this node is
// unable to answer.
type Handler interface {
	Job(ctx context.Context, id string) (*JobStatus, error)
	// Ping tells how this node stands.
	Ping(ctx context.Context, p *Ping) (*Pong, error)
	// ForwardHeartbeat answers a machine's report in the leader's name.
	ForwardHeartbeat(ctx context.Context, r *Report) (*ReportAnswer, error)
	// LeaderResigned takes in that the leader of a term has stopped to act.
	LeaderResigned(ctx context.Context, r *Resignation) error
	// Loans takes in what the leader of another cell says of the jobs that it lends.
	Loans(ctx context.Context, r *LoanRequest) (*LoanAnswer, error)
	// Vote lets the leader of a term decide for a while.
	Vote(ctx context.Context, r *GrantRequest) (*GrantAnswer, error)
	// Promise grants a term nothing more.
	Promise(ctx context.Context, r *PromiseRequest) (*PromiseAnswer, error)
}

// maxInFlight bounds the questions of one connection that are being answered,
// and maxJobQueries those of them about jobs. The latter wait for the state service;
// while it is away they would fill all places, and a whole zone's reports and
// the signs of life would wait behind them.
const (
	maxInFlight   = 256
	maxJobQueries = 96
)

// Serve answers the peers that connect to a listener.
func Serve(ctx context.Context, ln net.Listener, h Handler, log *slog.Logger) error {
	go func() { <-ctx.Done(); ln.Close() }()
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
			log.Debug("peer accept", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case open <- struct{}{}:
			go func() {
				defer func() { <-open }()
				serveConn(ctx, conn, h)
			}()
		default:
			log.Warn("too many connections of controllers", "from", conn.RemoteAddr())
			conn.Close()
		}
	}
}

// maxConns bounds the connections that a listener serves. Each controller keeps one to
// each other, and a buffer of its own.
const maxConns = 128

func serveConn(ctx context.Context, conn net.Conn, h Handler) {
	defer conn.Close()
	out := &outbox{conn: conn}
	slots, jobs := make(chan struct{}, maxInFlight), make(chan struct{}, maxJobQueries)
	deadline := time.Now().Add(2 * idleTimeout)
	conn.SetReadDeadline(deadline)
	readFrames(conn, func(raw []byte) error {
		if now := time.Now(); deadline.Sub(now) < idleTimeout {
			deadline = now.Add(2 * idleTimeout)
			conn.SetReadDeadline(deadline)
		}
		var req Request
		if err := proto.Unmarshal(raw, &req); err != nil {
			return err
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			resp := &Response{Unable: true}
			if _, ok := req.Kind.(*Request_Job); !ok {
				resp = respond(ctx, h, &req)
			} else {
				select {
				case jobs <- struct{}{}:
					resp = respond(ctx, h, &req)
					<-jobs
				default: // refused at once
				}
			}
			resp.Seq = req.Seq
			if out.send(resp, 2*time.Second) != nil {
				conn.Close()
			}
		}()
		return nil
	})
}

// idleTimeout is after how long at the least a connection on which nothing arrives
// is given up; its peer pings every second.
const idleTimeout = time.Minute

func respond(ctx context.Context, h Handler, req *Request) *Response {
	resp, err := &Response{}, error(nil)
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
		err = ErrUnavailable // a question of a later version
	}
	if err != nil {
		return &Response{Unable: true}
	}
	return resp
}

// readFrames hands over the messages that arrive until the connection fails or take
// does. What take is given is only its until it returns.
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
	err := netioConn.Each(func(read func([]byte) (int, error)) netio.Next {
		n, err := read(buf)
		if err == netio.ErrNothing {
			return netio.Wait
		}
		if err == nil {
			err = f.feed(buf[:n])
		}
		if err != nil {
			frameErr = err
			return netio.Stop
		}
		// Messages may be queued in any number, so only a read that finds
		// nothing shows that there is none left.
		return netio.Again
	})
	return errors.Join(err, frameErr)
}

// frameReader takes messages out of what is read from a connection.
type frameReader struct {
	handle func(raw []byte) error
	// partial is the beginning of a message that is not complete.
	partial []byte
}

// feed takes in what was read, and hands on the messages that are complete.
func (f *frameReader) feed(p []byte) error {
	if len(f.partial) > 0 {
		f.partial = append(f.partial, p...)
		p = f.partial
	}
	for len(p) >= 4 {
		n := binary.BigEndian.Uint32(p)
		if n > maxMessage {
			return fmt.Errorf("peer: message of %d bytes", n)
		}
		if len(p)-4 < int(n) {
			break
		}
		if err := f.handle(p[4 : 4+n]); err != nil {
			return err
		}
		p = p[4+n:]
	}
	f.partial = append([]byte(nil), p...)
	return nil
}

// outbox writes messages to a connection. Those that are ready at the same time
// go out together: while a process lags, many are.
type outbox struct {
	conn net.Conn

	mu        sync.Mutex
	queued    []byte
	isWriting bool
	deadline  time.Time
}

// send writes a message, or leaves it to the one who writes already.
func (o *outbox) send(m proto.Message, timeout time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	start := len(o.queued)
	queued, err := proto.MarshalOptions{}.MarshalAppend(append(o.queued, 0, 0, 0, 0), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(queued[start:], uint32(len(queued)-start-4))
	o.queued = queued
	if o.isWriting {
		return nil
	}
	o.isWriting = true
	defer func() { o.isWriting = false }()
	for len(o.queued) > 0 {
		o.mu.Unlock()
		runtime.Gosched() // others that are about to send come first
		o.mu.Lock()
		batch := o.queued
		o.queued = nil
		if now := time.Now(); o.deadline.Sub(now) < timeout {
			o.deadline = now.Add(2 * timeout)
			o.conn.SetWriteDeadline(o.deadline)
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

// Client asks one peer. It keeps one connection, made when first needed.
type Client struct {
	addr string

	mu sync.Mutex
	// out is the connection, nil while there is none.
	out       *outbox
	seq       uint64
	pending   map[uint64]chan *Response
	isDialing bool
	downUntil time.Time
	// connectionRefused is set if the last connection was refused, not left hanging.
	connectionRefused bool
	// lastResponse is when the peer last answered anything.
	lastResponse time.Time
}

// NewClient makes a client of the peer at an address.
func NewClient(addr string) *Client {
	return &Client{addr: addr, pending: map[uint64]chan *Response{}}
}

// Job asks the peer about a job.
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

// Ping asks how the peer stands, if it can be reached.
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

// ForwardHeartbeat passes a machine's report on.
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

// Resign tells the peer that this node has stopped to lead.
func (c *Client) Resign(ctx context.Context, r *Resignation) error {
	_, err := c.roundTrip(ctx, &Request{Kind: &Request_Resignation{Resignation: r}})
	return err
}

// Loans tells the leader of another cell of the jobs lent to it.
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

// Vote asks the peer to let this node decide as leader of a term.
func (c *Client) Vote(ctx context.Context, term uint64) (bool, error) {
	resp, err := c.roundTrip(ctx, &Request{Kind: &Request_Grant{Grant: &GrantRequest{Term: term}}})
	if err != nil {
		return false, err
	}
	return resp.Grant.GetGranted(), nil
}

// Promise asks the peer to grant a term nothing more.
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
	if err := out.send(req, time.Second); err != nil {
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
		// A peer that has stopped answering is passed over for a while, so
		// that users do not wait for it one after the other. One that has
		// answered others meanwhile is only slow with this.
		c.mu.Lock()
		dead := c.lastResponse.Before(sent)
		if dead {
			c.downUntil = time.Now().Add(time.Second)
		}
		c.mu.Unlock()
		if dead {
			c.drop(out.conn)
		}
		return nil, fmt.Errorf("peer: %w", ctx.Err())
	}
}

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
			c.downUntil = time.Now().Add(500 * time.Millisecond)
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

func (c *Client) receive(conn net.Conn) {
	readFrames(conn, func(raw []byte) error {
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

// drop gives a connection up, with all that waits on it.
func (c *Client) drop(conn net.Conn) {
	conn.Close()
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
