package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/peer"
)

// cellHandler serves the requests of other cells, which arrive on a separate listener. It serves
// only those about loans, and rejects those that only controllers of the same cell may send.
type cellHandler struct{ c *controller.Controller }

// Job implements peer.Handler.
func (cellHandler) Job(context.Context, *peer.JobQuery) (*peer.JobStatus, error) {
	return nil, peer.ErrUnavailable
}

// Completion implements peer.Handler. It rejects the request.
func (cellHandler) Completion(context.Context, *peer.CompletionQuery) (*peer.CompletionStatus, error) {
	return nil, peer.ErrUnavailable
}

// Ping implements peer.Handler.
func (cellHandler) Ping(context.Context, *peer.Ping) (*peer.Pong, error) {
	return nil, peer.ErrUnavailable
}

// ForwardHeartbeat implements peer.Handler.
func (cellHandler) ForwardHeartbeat(context.Context, *peer.Report) (*peer.ReportAnswer, error) {
	return nil, peer.ErrUnavailable
}

// LeaderResigned implements peer.Handler.
func (cellHandler) LeaderResigned(context.Context, *peer.Resignation) error {
	return peer.ErrUnavailable
}

// Vote implements peer.Handler.
func (cellHandler) Vote(context.Context, *peer.GrantRequest) (*peer.GrantAnswer, error) {
	return nil, peer.ErrUnavailable
}

// Promise implements peer.Handler.
func (cellHandler) Promise(context.Context, *peer.PromiseRequest) (*peer.PromiseAnswer, error) {
	return nil, peer.ErrUnavailable
}

// Loans implements peer.Handler.
func (h cellHandler) Loans(ctx context.Context, r *peer.LoanRequest) (*peer.LoanAnswer, error) {
	req, err := r.ToLoanRequest()
	if err != nil {
		return &peer.LoanAnswer{Refused: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := h.c.Loans(ctx, req)
	if err != nil {
		return nil, err
	}
	return peer.LoanResponseToProto(response), nil
}

// cellLinks sends requests to other cells. It tries the controllers of a cell one after another
// until the cell's leader responds.
type cellLinks struct {
	// cells holds the links by the name of the cell.
	cells map[string]*cellLink
}

// cellLink holds the clients of the controllers of one cell.
type cellLink struct {
	clients []*peer.Client

	mu sync.Mutex
	// lastResponded is the index of the client that responded last.
	lastResponded int
}

func newCellLinks(s *cells.Settings) *cellLinks {
	links := &cellLinks{cells: map[string]*cellLink{}}
	for _, neighbour := range s.Neighbours {
		link := &cellLink{}
		for _, addr := range neighbour.Addresses {
			link.clients = append(link.clients, peer.NewClient(addr))
		}
		links.cells[neighbour.Cell] = link
	}
	return links
}

// cellAttemptTimeout bounds each request to a controller of another cell.
const cellAttemptTimeout = 900 * time.Millisecond

// Loans implements controller.CellLink.
func (l *cellLinks) Loans(ctx context.Context, cell string, req *loan.Request) (*loan.Response, error) {
	link := l.cells[cell]
	if link == nil {
		return nil, api.ErrUnavailable
	}
	msg, err := peer.LoanRequestToProto(req)
	if err != nil {
		return nil, err
	}
	link.mu.Lock()
	first := link.lastResponded
	link.mu.Unlock()
	var errs []error
	for i := range link.clients {
		index := (first + i) % len(link.clients)
		attemptCtx, cancel := context.WithTimeout(ctx, cellAttemptTimeout)
		response, err := link.clients[index].Loans(attemptCtx, msg)
		cancel()
		if err == nil {
			link.mu.Lock()
			link.lastResponded = index
			link.mu.Unlock()
			return response.ToLoanResponse(), nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
