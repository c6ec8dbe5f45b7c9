package daemon

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/peer"
)

// peerHandler serves the requests of other nodes.
type peerHandler struct{ c *controller.Controller }

// peerRequestTimeout bounds the handling of another node's request.
const peerRequestTimeout = 1200 * time.Millisecond

// Job implements peer.Handler.
func (h peerHandler) Job(ctx context.Context, id string) (*peer.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	st, err := h.c.PeerJob(ctx, id)
	if errors.Is(err, api.ErrUnknownJob) {
		return &peer.JobStatus{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peer.JobStatus{
		Known:   true,
		Phase:   st.Phase,
		Done:    uint32(st.Done),
		Running: uint32(st.Running),
		Awaits:  st.DependsOn,
		Derived: st.Derived,
		Cell:    st.Cell,
	}, nil
}

// Ping implements peer.Handler.
func (h peerHandler) Ping(ctx context.Context, p *peer.Ping) (*peer.Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	from := cancellation.Position{Incarnation: p.GetIncarnation(), Number: p.GetCancelNumber()}
	st, err := h.c.PeerStatus(ctx, from)
	if err != nil {
		return nil, err
	}
	pong := &peer.Pong{
		Term:          st.Term,
		Leader:        st.Leader,
		StoreOkMs:     uint64(st.KVReachableFor.Milliseconds()),
		Incarnation:   st.Incarnation,
		Cancelled:     st.Cancellations.IDs,
		CancelFirst:   st.Cancellations.First,
		CancelMore:    st.Cancellations.More,
		CancelWholeMs: uint64(st.Cancellations.CompleteFor.Milliseconds()),
		KnowsLoans:    st.SupportsLoans,
		KnowsGrants:   st.SupportsLeaseQuorum,
		Bound:         st.QuorumRequired,
	}
	if st.CancellationsKnownAge >= 0 {
		// Rounded up: the knowledge must not appear fresher than it is.
		pong.KnownAgeMs = proto.Uint64(uint64(st.CancellationsKnownAge.Milliseconds()) + 1)
	}
	return pong, nil
}

// ForwardHeartbeat implements peer.Handler.
func (h peerHandler) ForwardHeartbeat(ctx context.Context, r *peer.Report) (*peer.ReportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := h.c.ForwardedHeartbeat(ctx, r.Unpack())
	if err != nil {
		return nil, err
	}
	return &peer.ReportAnswer{Term: response.Term, Orders: peer.PackOrders(response.Commands)}, nil
}

// LeaderResigned implements peer.Handler.
func (h peerHandler) LeaderResigned(ctx context.Context, r *peer.Resignation) error {
	return h.c.LeaderResigned(ctx, r.Node, r.Term)
}

// Loans implements peer.Handler: other cells use a listener of their own.
func (h peerHandler) Loans(context.Context, *peer.LoanRequest) (*peer.LoanAnswer, error) {
	return nil, peer.ErrUnavailable
}

// Vote implements peer.Handler.
func (h peerHandler) Vote(ctx context.Context, r *peer.GrantRequest) (*peer.GrantAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	granted, err := h.c.PeerVote(ctx, r.GetTerm())
	return &peer.GrantAnswer{Granted: granted}, err
}

// Promise implements peer.Handler.
func (h peerHandler) Promise(ctx context.Context, r *peer.PromiseRequest) (*peer.PromiseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	wait, err := h.c.PeerPromise(ctx, r.GetTerm())
	// Rounded up: the last vote must not appear to expire sooner than it does.
	return &peer.PromiseAnswer{WaitMs: uint64(wait.Milliseconds()) + 1}, err
}

// peerClients sends requests to the other nodes.
type peerClients map[string]*peer.Client

func newPeerClients(list []config.Peer) peerClients {
	p := peerClients{}
	for _, n := range list {
		p[n.Node] = peer.NewClient(n.Addr)
	}
	return p
}

// Job implements controller.PeerClient.
func (p peerClients) Job(ctx context.Context, node, id string) (api.JobState, error) {
	cl := p[node]
	if cl == nil {
		return api.JobState{}, api.ErrUnavailable
	}
	st, err := cl.Job(ctx, id)
	if err != nil {
		return api.JobState{}, err
	}
	if !st.Known {
		return api.JobState{}, api.ErrUnknownJob
	}
	return api.JobState{
		ID:        id,
		Phase:     st.Phase,
		Done:      int(st.Done),
		Running:   int(st.Running),
		DependsOn: st.Awaits,
		Derived:   st.Derived,
		Cell:      st.Cell,
	}, nil
}

// Ping implements controller.PeerClient.
func (p peerClients) Ping(ctx context.Context, node string, from cancellation.Position) (membership.PeerStatus, error) {
	cl := p[node]
	if cl == nil {
		return membership.PeerStatus{}, api.ErrUnavailable
	}
	st, err := cl.Ping(ctx, &peer.Ping{Incarnation: from.Incarnation, CancelNumber: from.Number})
	if errors.Is(err, peer.ErrConnectionRefused) {
		err = controller.ErrConnectionRefused
	}
	if err != nil {
		return membership.PeerStatus{}, err
	}
	out := membership.PeerStatus{
		Term:                  st.Term,
		Leader:                st.Leader,
		KVReachableFor:        time.Duration(st.StoreOkMs) * time.Millisecond,
		Incarnation:           st.Incarnation,
		CancellationsKnownAge: -1,
		Cancellations: cancellation.Delta{
			IDs:         st.Cancelled,
			First:       st.CancelFirst,
			More:        st.CancelMore,
			CompleteFor: time.Duration(st.CancelWholeMs) * time.Millisecond,
		},
		SupportsLoans:       st.KnowsLoans,
		SupportsLeaseQuorum: st.KnowsGrants,
		QuorumRequired:      st.Bound,
	}
	if st.KnownAgeMs != nil {
		out.CancellationsKnownAge = time.Duration(*st.KnownAgeMs) * time.Millisecond
	}
	return out, nil
}

// ForwardHeartbeat implements controller.PeerClient.
func (p peerClients) ForwardHeartbeat(ctx context.Context, node string, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	cl := p[node]
	if cl == nil {
		return api.HeartbeatResponse{}, api.ErrUnavailable
	}
	response, err := cl.ForwardHeartbeat(ctx, peer.PackReport(hb))
	if errors.Is(err, peer.ErrConnectionRefused) {
		return api.HeartbeatResponse{}, controller.ErrConnectionRefused
	}
	if errors.Is(err, peer.ErrUnavailable) {
		return api.HeartbeatResponse{}, &api.NotLeaderError{}
	}
	if err != nil {
		return api.HeartbeatResponse{}, err
	}
	return api.HeartbeatResponse{Term: response.Term, Commands: peer.UnpackOrders(response.Orders)}, nil
}

// Resign implements controller.PeerClient.
func (p peerClients) Resign(ctx context.Context, node, self string, term uint64) error {
	cl := p[node]
	if cl == nil {
		return api.ErrUnavailable
	}
	return cl.Resign(ctx, &peer.Resignation{Node: self, Term: term})
}

// Vote implements controller.PeerClient.
func (p peerClients) Vote(ctx context.Context, node string, term uint64) (bool, error) {
	cl := p[node]
	if cl == nil {
		return false, api.ErrUnavailable
	}
	return cl.Vote(ctx, term)
}

// Promise implements controller.PeerClient.
func (p peerClients) Promise(ctx context.Context, node string, term uint64) (time.Duration, error) {
	cl := p[node]
	if cl == nil {
		return 0, api.ErrUnavailable
	}
	wait, err := cl.Promise(ctx, term)
	if errors.Is(err, peer.ErrUnavailable) {
		err = api.ErrUnavailable
	}
	return wait, err
}
