package controller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/membership"
)

// peerLinks implements PeerClient for simulated nodes. All links between them can be cut at once.
type peerLinks struct {
	// nodes maps names to the nodes that are running.
	nodes sync.Map
	// partitioned cuts all links.
	partitioned atomic.Bool
	// refuseConnections makes pings and forwarded heartbeats to an unreachable node fail with
	// ErrConnectionRefused.
	refuseConnections atomic.Bool
}

// add makes a node reachable under a name, and returns it.
func (l *peerLinks) add(name string, n *node) *node { l.nodes.Store(name, n); return n }

// peerNode contains the methods by which a node of any version handles requests from its peers.
type peerNode interface {
	PeerJob(ctx context.Context, q JobQuery) (JobAnswer, error)
	PeerStatus(ctx context.Context, from cancellation.Position) (membership.PeerStatus, error)
	ForwardedHeartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error)
	LeaderResigned(ctx context.Context, node string, term uint64) error
}

// reachablePeer returns the node of the given name, or an error if it is not running or the links
// are cut.
func (l *peerLinks) reachablePeer(name string) (peerNode, error) {
	n, ok := l.nodes.Load(name)
	if l.partitioned.Load() || !ok {
		return nil, fmt.Errorf("node %s is unreachable", name)
	}
	return n.(peerNode), nil
}

func (l *peerLinks) Job(ctx context.Context, name string, q JobQuery) (JobAnswer, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		return JobAnswer{}, err
	}
	return n.PeerJob(ctx, q)
}

// completionKeeper contains the method by which a node answers queries about completed tasks. Nodes of the
// version in production do not support these.
type completionKeeper interface {
	PeerCompletion(ctx context.Context, id string, known completion.Tasks) (CompletionStatus, error)
}

func (l *peerLinks) Completion(
	ctx context.Context, name, id string, known completion.Tasks,
) (CompletionStatus, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		return CompletionStatus{}, err
	}
	keeper, ok := n.(completionKeeper)
	if !ok {
		return CompletionStatus{}, ErrUnsupported
	}
	return keeper.PeerCompletion(ctx, id, known)
}

func (l *peerLinks) Ping(ctx context.Context, name string, from cancellation.Position) (membership.PeerStatus, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		if l.refuseConnections.Load() {
			err = ErrConnectionRefused
		}
		return membership.PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (l *peerLinks) ForwardHeartbeat(
	ctx context.Context, name string, hb *api.Heartbeat,
) (api.HeartbeatResponse, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		if l.refuseConnections.Load() {
			err = ErrConnectionRefused
		}
		return api.HeartbeatResponse{}, err
	}
	return n.ForwardedHeartbeat(ctx, hb)
}

func (l *peerLinks) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := l.reachablePeer(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}

// voter contains the methods by which a node handles requests of the lease quorum protocol. Nodes of
// the version in production do not support this protocol.
type voter interface {
	PeerVote(ctx context.Context, term uint64) (bool, error)
	PeerPromise(ctx context.Context, term uint64) (time.Duration, error)
}

// reachableVoter returns the node of the given name, or an error if it is unreachable or does not
// support the lease quorum protocol.
func (l *peerLinks) reachableVoter(name string) (voter, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		return nil, err
	}
	v, ok := n.(voter)
	if !ok {
		return nil, api.ErrUnavailable
	}
	return v, nil
}

func (l *peerLinks) Vote(ctx context.Context, name string, term uint64) (bool, error) {
	n, err := l.reachableVoter(name)
	if err != nil {
		return false, err
	}
	return n.PeerVote(ctx, term)
}

func (l *peerLinks) Promise(ctx context.Context, name string, term uint64) (time.Duration, error) {
	n, err := l.reachableVoter(name)
	if err != nil {
		return 0, err
	}
	return n.PeerPromise(ctx, term)
}
