package controller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/membership"
)

// peerLinks connects nodes as peers; all links can be cut at once.
type peerLinks struct {
	nodes       sync.Map
	partitioned atomic.Bool
	// refuseConnections makes cut links refuse connections.
	refuseConnections atomic.Bool
}

func (l *peerLinks) add(name string, n *node) *node { l.nodes.Store(name, n); return n }

// peerNode is a node as its peers reach it.
type peerNode interface {
	PeerJob(ctx context.Context, id string) (api.JobState, error)
	PeerStatus(ctx context.Context, from cancellation.Position) (membership.PeerStatus, error)
	ForwardedHeartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error)
	LeaderResigned(ctx context.Context, node string, term uint64) error
}

// reachablePeer returns the node at the other end, if it can be reached.
func (l *peerLinks) reachablePeer(name string) (peerNode, error) {
	n, ok := l.nodes.Load(name)
	if l.partitioned.Load() || !ok {
		return nil, errors.New("cut")
	}
	return n.(peerNode), nil
}

func (l *peerLinks) Job(ctx context.Context, name, id string) (api.JobState, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		return api.JobState{}, err
	}
	return n.PeerJob(ctx, id)
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

func (l *peerLinks) ForwardHeartbeat(ctx context.Context, name string, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
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

// voter is a node that knows votes.
type voter interface {
	PeerVote(ctx context.Context, term uint64) (bool, error)
	PeerPromise(ctx context.Context, term uint64) (time.Duration, error)
}

// reachableVoter returns the node at the other end, if it can be reached and knows votes.
func (l *peerLinks) reachableVoter(name string) (voter, error) {
	n, err := l.reachablePeer(name)
	if err != nil {
		return nil, err
	}
	g, ok := n.(voter)
	if !ok {
		return nil, api.ErrUnavailable
	}
	return g, nil
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
