// Package daemon puts a controller together and runs it.
package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/store"
	"example.org/ivytrestle/internal/worker"
)

// Logger writes to w in the amount that a level's name asks for.
func Logger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	unknown := false
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "", "info":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		unknown = true
	}
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
	if unknown {
		log.Warn("unknown LOG_LEVEL, using info", "level", level)
	}
	return log
}

// tune fits the process to the machine: one processor's share, and a memory
// limit below the one that gets it killed.
func tune(lim config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(lim.RAMMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(300)
}

// Run runs a controller until the context ends or it cannot go on.
func Run(ctx context.Context, s *config.Settings, p *policy.Policy, log *slog.Logger) error {
	tune(s.Site.Limits)
	apiLn, err := net.Listen("tcp", s.APIAddr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	peerLn, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		apiLn.Close()
		return fmt.Errorf("peers: %w", err)
	}
	st := store.NewClient(s.Outside.State, s.Site.State)
	peers := newPeers(s.Peers)
	c := controller.New(controller.Config{
		Settings: s, Policy: p, Store: st, Cloud: cloud.NewClient(s.Outside.Cloud, s.Site.Cloud),
		Peers: peers, Prober: worker.NewProber(), Log: log,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cand := &election.Candidate{
		Node: s.Node, Incarnation: rand.Text(), Store: st,
		Lease: p.LeaderLease, Renew: min(p.LeaderLease/6, 3*time.Second),
		Observer: c, Log: log, Depose: c.Depose(),
	}
	go c.Run(ctx)
	go cand.Run(ctx)
	failed := make(chan error, 2)
	go func() { failed <- peer.Serve(ctx, peerLn, peerHandler{c}, log) }()
	srv := &http.Server{
		Handler:           api.Handler(c, log),
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       90 * time.Second,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	// Sockets are kept for the outside services and the peers.
	conns := max(16, s.Site.Limits.FDLimit*7/10)
	go func() { failed <- srv.Serve(netutil.LimitListener(apiLn, conns)) }()
	log.Info("started", "node", s.Node, "zone", s.Zone, "api", s.APIAddr, "pid", os.Getpid())
	select {
	case <-ctx.Done():
		srv.Close()
		return nil
	case err := <-failed:
		return err
	}
}

// peerHandler answers other nodes' questions from the controller.
type peerHandler struct{ c *controller.Controller }

// Job implements peer.Handler.
func (h peerHandler) Job(ctx context.Context, id string) (*peer.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	st, err := h.c.PeerJob(ctx, id)
	if errors.Is(err, api.ErrUnknownJob) {
		return &peer.JobStatus{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peer.JobStatus{Known: true, Phase: st.Phase, Done: uint32(st.Done), Running: uint32(st.Running)}, nil
}

// Term implements peer.Handler.
func (h peerHandler) Term(ctx context.Context) (uint64, error) { return h.c.Term(ctx) }

// peers asks the other nodes.
type peers map[string]*peer.Client

func newPeers(list []config.Peer) peers {
	p := peers{}
	for _, n := range list {
		p[n.Node] = peer.NewClient(n.Addr)
	}
	return p
}

// Job implements controller.PeerAsker.
func (p peers) Job(ctx context.Context, node, id string) (api.JobState, error) {
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
	return api.JobState{ID: id, Phase: st.Phase, Done: int(st.Done), Running: int(st.Running)}, nil
}

// Ping implements controller.PeerAsker.
func (p peers) Ping(ctx context.Context, node string) (uint64, error) {
	cl := p[node]
	if cl == nil {
		return 0, api.ErrUnavailable
	}
	return cl.Ping(ctx)
}
