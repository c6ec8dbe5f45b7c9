package daemon

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/peer"
)

// peerHandler serves the requests of the other nodes of the cell.
type peerHandler struct{ c *controller.Controller }

// peerRequestTimeout bounds the handling of a request of another controller, of this or another cell.
const peerRequestTimeout = 1200 * time.Millisecond

// scopes maps the scope of a query about a job to its value in messages.
var scopes = map[controller.QueryScope]peer.JobQuery_Scope{
	controller.RecordsScope: peer.JobQuery_RECORDS,
	controller.LeaderScope:  peer.JobQuery_LEADER,
	controller.PhaseScope:   peer.JobQuery_PHASE,
	controller.ClusterScope: peer.JobQuery_CLUSTER,
}

// certainties maps the certainty of an answer about a job to its value in messages.
var certainties = map[controller.Certainty]peer.JobStatus_Certainty{
	controller.CertaintyUnspecified: peer.JobStatus_UNSPECIFIED,
	controller.Confirmed:            peer.JobStatus_CONFIRMED,
	controller.WhileActive:          peer.JobStatus_WHILE_ACTIVE,
	controller.PhaseNotKnown:        peer.JobStatus_PHASE_NOT_KNOWN,
}

// fromProto returns the key of a value of a message in one of the maps above, or the zero key for a value of
// a later version.
func fromProto[K, V comparable](values map[K]V, value V) K {
	for key, v := range values {
		if v == value {
			return key
		}
	}
	var zero K
	return zero
}

// Job implements peer.Handler.
func (h peerHandler) Job(ctx context.Context, q *peer.JobQuery) (*peer.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	answer, err := h.c.PeerJob(ctx, controller.JobQuery{ID: q.GetId(), Scope: fromProto(scopes, q.GetScope())})
	if errors.Is(err, api.ErrUnknownJob) {
		return &peer.JobStatus{}, nil
	}
	if err != nil {
		return nil, err
	}
	status := answer.State
	return &peer.JobStatus{
		Known:     true,
		Phase:     status.Phase,
		Done:      uint32(status.Done),
		Running:   uint32(status.Running),
		Awaits:    status.DependsOn,
		Derived:   status.DerivedCancel,
		Cell:      status.Cell,
		Certainty: certainties[answer.Certainty],
	}, nil
}

// verdicts maps what a node knows about a job's completion to its value in messages.
var verdicts = map[completion.Verdict]peer.CompletionStatus_Verdict{
	completion.Unknown:    peer.CompletionStatus_UNKNOWN,
	completion.Unfinished: peer.CompletionStatus_UNFINISHED,
	completion.Finished:   peer.CompletionStatus_FINISHED,
	completion.Ended:      peer.CompletionStatus_ENDED,
}

// Completion implements peer.Handler.
func (h peerHandler) Completion(ctx context.Context, q *peer.CompletionQuery) (*peer.CompletionStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	status, err := h.c.PeerCompletion(ctx, q.GetId(), q.GetDone())
	if err != nil {
		return nil, err
	}
	return &peer.CompletionStatus{
		Verdict: verdicts[status.Verdict],
		Done:    status.Done,
		Addrs:   status.Addrs,
		Leads:   status.Leads,
	}, nil
}

// Ping implements peer.Handler.
func (h peerHandler) Ping(ctx context.Context, p *peer.Ping) (*peer.Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	from := cancellation.Position{Incarnation: p.GetIncarnation(), Number: p.GetCancelNumber()}
	status, err := h.c.PeerStatus(ctx, from)
	if err != nil {
		return nil, err
	}
	pong := &peer.Pong{
		Term:          status.Term,
		FirstToken:    status.FirstToken,
		Leader:        status.Leader,
		StoreOkMs:     uint64(status.KVReachableFor.Milliseconds()),
		Incarnation:   status.Incarnation,
		Cancelled:     status.Cancellations.IDs,
		CancelFirst:   status.Cancellations.First,
		CancelMore:    status.Cancellations.More,
		CancelWholeMs: uint64(status.Cancellations.CompleteFor.Milliseconds()),
		KnowsLoans:    status.SupportsLoans,
		KnowsGrants:   status.SupportsLeaseQuorum,
		Bound:         status.QuorumRequired,
	}
	if status.CancellationsKnownAge >= 0 {
		// Rounded up, so that the list of cancellations never appears more recent than it is.
		pong.KnownAgeMs = proto.Uint64(uint64(status.CancellationsKnownAge.Milliseconds()) + 1)
	}
	return pong, nil
}

// ForwardHeartbeat implements peer.Handler.
func (h peerHandler) ForwardHeartbeat(ctx context.Context, r *peer.Report) (*peer.ReportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := h.c.ForwardedHeartbeat(ctx, r.ToHeartbeat())
	if err != nil {
		return nil, err
	}
	return &peer.ReportAnswer{Term: response.Token, Orders: peer.CommandsToProto(response.Commands)}, nil
}

// LeaderResigned implements peer.Handler.
func (h peerHandler) LeaderResigned(ctx context.Context, r *peer.Resignation) error {
	return h.c.LeaderResigned(ctx, r.Node, r.Term)
}

// Loans implements peer.Handler. It rejects the request: other cells use a separate listener.
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
	// Rounded up, so that the last vote never appears to expire sooner than it does.
	return &peer.PromiseAnswer{WaitMs: uint64(wait.Milliseconds()) + 1}, err
}

// peerClients sends requests to the other nodes of the cell. It holds a client for each, by name.
type peerClients map[string]*peer.Client

func newPeerClients(nodes []config.Peer) peerClients {
	clients := peerClients{}
	for _, n := range nodes {
		clients[n.Node] = peer.NewClient(n.Addr)
	}
	return clients
}

// Job implements controller.PeerClient.
func (p peerClients) Job(ctx context.Context, node string, q controller.JobQuery) (controller.JobAnswer, error) {
	client := p[node]
	if client == nil {
		return controller.JobAnswer{}, api.ErrUnavailable
	}
	status, err := client.Job(ctx, &peer.JobQuery{Id: q.ID, Scope: scopes[q.Scope]})
	if err != nil {
		return controller.JobAnswer{}, err
	}
	if !status.Known {
		return controller.JobAnswer{}, api.ErrUnknownJob
	}
	state := api.JobState{
		ID:            q.ID,
		Phase:         status.Phase,
		Done:          int(status.Done),
		Running:       int(status.Running),
		DependsOn:     status.Awaits,
		DerivedCancel: status.Derived,
		Cell:          status.Cell,
	}
	return controller.JobAnswer{State: state, Certainty: fromProto(certainties, status.GetCertainty())}, nil
}

// Completion implements controller.PeerClient.
func (p peerClients) Completion(
	ctx context.Context, node, id string, known completion.Tasks,
) (controller.CompletionStatus, error) {
	client := p[node]
	if client == nil {
		return controller.CompletionStatus{}, api.ErrUnavailable
	}
	status, err := client.Completion(ctx, &peer.CompletionQuery{Id: id, Done: known})
	if errors.Is(err, peer.ErrUnavailable) {
		err = controller.ErrUnsupported
	}
	if err != nil {
		return controller.CompletionStatus{}, err
	}
	return controller.CompletionStatus{
		Verdict: fromProto(verdicts, status.GetVerdict()),
		Done:    status.GetDone(),
		Addrs:   status.GetAddrs(),
		Leads:   status.GetLeads(),
	}, nil
}

// Ping implements controller.PeerClient.
func (p peerClients) Ping(ctx context.Context, node string, from cancellation.Position) (membership.PeerStatus, error) {
	client := p[node]
	if client == nil {
		return membership.PeerStatus{}, api.ErrUnavailable
	}
	status, err := client.Ping(ctx, &peer.Ping{Incarnation: from.Incarnation, CancelNumber: from.Number})
	if errors.Is(err, peer.ErrConnectionRefused) {
		err = controller.ErrConnectionRefused
	}
	if err != nil {
		return membership.PeerStatus{}, err
	}
	peerStatus := membership.PeerStatus{
		Term:                  status.Term,
		FirstToken:            status.FirstToken,
		Leader:                status.Leader,
		KVReachableFor:        time.Duration(status.StoreOkMs) * time.Millisecond,
		Incarnation:           status.Incarnation,
		CancellationsKnownAge: -1,
		Cancellations: cancellation.Delta{
			IDs:         status.Cancelled,
			First:       status.CancelFirst,
			More:        status.CancelMore,
			CompleteFor: time.Duration(status.CancelWholeMs) * time.Millisecond,
		},
		SupportsLoans:       status.KnowsLoans,
		SupportsLeaseQuorum: status.KnowsGrants,
		QuorumRequired:      status.Bound,
	}
	if status.KnownAgeMs != nil {
		peerStatus.CancellationsKnownAge = time.Duration(*status.KnownAgeMs) * time.Millisecond
	}
	return peerStatus, nil
}

// ForwardHeartbeat implements controller.PeerClient.
func (p peerClients) ForwardHeartbeat(
	ctx context.Context, node string, heartbeat *api.Heartbeat,
) (api.HeartbeatResponse, error) {
	client := p[node]
	if client == nil {
		return api.HeartbeatResponse{}, api.ErrUnavailable
	}
	response, err := client.ForwardHeartbeat(ctx, peer.HeartbeatToProto(heartbeat))
	if errors.Is(err, peer.ErrConnectionRefused) {
		return api.HeartbeatResponse{}, controller.ErrConnectionRefused
	}
	if errors.Is(err, peer.ErrUnavailable) {
		return api.HeartbeatResponse{}, &api.NotLeaderError{}
	}
	if err != nil {
		return api.HeartbeatResponse{}, err
	}
	return api.HeartbeatResponse{Token: response.Term, Commands: peer.CommandsFromProto(response.Orders)}, nil
}

// Resign implements controller.PeerClient.
func (p peerClients) Resign(ctx context.Context, node, self string, term uint64) error {
	client := p[node]
	if client == nil {
		return api.ErrUnavailable
	}
	return client.Resign(ctx, &peer.Resignation{Node: self, Term: term})
}

// Vote implements controller.PeerClient.
func (p peerClients) Vote(ctx context.Context, node string, term uint64) (bool, error) {
	client := p[node]
	if client == nil {
		return false, api.ErrUnavailable
	}
	return client.Vote(ctx, term)
}

// Promise implements controller.PeerClient.
func (p peerClients) Promise(ctx context.Context, node string, term uint64) (time.Duration, error) {
	client := p[node]
	if client == nil {
		return 0, api.ErrUnavailable
	}
	wait, err := client.Promise(ctx, term)
	if errors.Is(err, peer.ErrUnavailable) {
		err = api.ErrUnavailable
	}
	return wait, err
}
