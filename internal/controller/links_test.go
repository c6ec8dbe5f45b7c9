package controller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
)

// links connects nodes as peers; it can be cut.
type links struct {
	nodes sync.Map
	cut   atomic.Bool
	// refuse says that a cut link refuses connections.
	refuse atomic.Bool
}

func (l *links) add(name string, n *node) *node { l.nodes.Store(name, n); return n }

// linked is a node as the others reach it.
type linked interface {
	PeerJob(ctx context.Context, id string) (api.JobState, error)
	PeerStatus(ctx context.Context, from cancellation.Position) (PeerStatus, error)
	PassedReport(ctx context.Context, rep *api.Report) (api.ReportAnswer, error)
	LeaderResigned(ctx context.Context, node string, term uint64) error
}

// to is the node at the other end, if it can be reached.
func (l *links) to(name string) (linked, error) {
	n, ok := l.nodes.Load(name)
	if l.cut.Load() || !ok {
		return nil, errors.New("cut")
	}
	return n.(linked), nil
}

func (l *links) Job(ctx context.Context, name, id string) (api.JobState, error) {
	n, err := l.to(name)
	if err != nil {
		return api.JobState{}, err
	}
	return n.PeerJob(ctx, id)
}

func (l *links) Ping(ctx context.Context, name string, from cancellation.Position) (PeerStatus, error) {
	n, err := l.to(name)
	if err != nil {
		if l.refuse.Load() {
			err = ErrRefused
		}
		return PeerStatus{}, err
	}
	return n.PeerStatus(ctx, from)
}

func (l *links) Report(ctx context.Context, name string, rep *api.Report) (api.ReportAnswer, error) {
	n, err := l.to(name)
	if err != nil {
		if l.refuse.Load() {
			err = ErrRefused
		}
		return api.ReportAnswer{}, err
	}
	return n.PassedReport(ctx, rep)
}

func (l *links) Resign(ctx context.Context, name, self string, term uint64) error {
	n, err := l.to(name)
	if err != nil {
		return err
	}
	return n.LeaderResigned(ctx, self, term)
}
