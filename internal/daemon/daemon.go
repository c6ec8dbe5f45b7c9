// Package daemon puts a controller together and runs it.
package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/httpd"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/netio"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/standby"
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

// A connection of a worker or user may hold a part of a request, and holds a
// goroutine. All of them together may take connectionMemoryShare of the memory: what is
// left holds the process itself, the fleet and the jobs.
const (
	bytesPerConnection    = 26 << 10
	connectionMemoryShare = 0.3
	minOpenConnections    = 16
)

// connections is how many connections of workers and users may be open: sockets
// are kept for the outside services and the peers.
func connections(lim config.Limits) int {
	byMemory := int(lim.RAMMB * (1 << 20) * connectionMemoryShare / bytesPerConnection)
	return max(minOpenConnections, min(lim.FDLimit*7/10, byMemory))
}

// tune fits the process to the machine: one processor's share, and a memory
// limit below the one that gets it killed.
func tune(lim config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(lim.RAMMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(300)
}

// drainTimeout is what a controller that is told to stop has to hand the leadership over.
const drainTimeout = 2 * time.Second

// Parts are those that files of their own switch on; nil: off.
type Parts struct {
	Cells   *cells.Settings
	Standby *standby.Settings
}

// Run runs a controller until the context ends, when it hands the leadership over, or until
// it cannot go on.
func Run(ctx context.Context, s *config.Settings, p *policy.Policy, parts Parts, log *slog.Logger) error {
	others := parts.Cells
	tune(s.Site.Limits)
	apiLn, err := netio.Listen(s.APIAddr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	peerLn, err := netio.Listen(s.PeerListen)
	if err != nil {
		apiLn.Close()
		return fmt.Errorf("peers: %w", err)
	}
	var cellLn net.Listener
	if others != nil {
		if cellLn, err = netio.Listen(others.Listen[s.Node]); err != nil {
			apiLn.Close()
			peerLn.Close()
			return fmt.Errorf("cells: %w", err)
		}
	}
	st := kv.NewClient(s.Outside.State, s.Site.State)
	peers := newPeers(s.Peers)
	machines := worker.NewClient()
	cfg := controller.Config{
		Settings: s, Policy: p, Standby: parts.Standby, Store: st, Cloud: cloud.NewClient(s.Outside.Cloud, s.Site.Cloud),
		UserStore: st.ForUsers(), Peers: peers, Prober: machines, CommandSender: machines, Log: log,
	}
	if others != nil {
		cfg.Cells, cfg.Link = others, newCellLinks(others)
	}
	c := controller.New(cfg)
	stopped := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cand := &election.Elector{
		Node: s.Node, Incarnation: rand.Text(), Store: st,
		Lease: p.LeaderLease, Renew: min(p.LeaderLease/6, 3*time.Second),
		Observer: c, Log: log, StepDowns: c.StepDowns(), Resignations: c.Resignations(),
	}
	go c.Run(ctx)
	go cand.Run(ctx)
	failed := make(chan error, 3)
	if cellLn != nil {
		go func() { failed <- peer.Serve(ctx, cellLn, cellHandler{c}, log) }()
	}
	go func() { failed <- peer.Serve(ctx, peerLn, peerHandler{c}, log) }()
	limiter := newConnLimiter(connections(s.Site.Limits))
	srv := &httpd.Server{Handler: api.Handler(c, log), ConnState: limiter.watch, Log: log}
	go func() { failed <- srv.Serve(apiLn) }()
	log.Info("started", "node", s.Node, "zone", s.Zone, "api", s.APIAddr, "pid", os.Getpid())
	select {
	case <-stopped:
		lctx, done := context.WithTimeout(ctx, drainTimeout)
		c.Drain(lctx)
		done()
		apiLn.Close()
		log.Info("stopped", "node", s.Node)
		return nil
	case err := <-failed:
		return err
	}
}
