// Package daemon assembles, runs and stops the components of a controller process.
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

// NewLogger returns a logger that writes to w the records of the named level and above. An empty
// name means info. An unknown name means info, too, and is logged as a warning.
func NewLogger(w io.Writer, level string) *slog.Logger {
	var minLevel slog.Level
	isUnknown := false
	switch strings.ToLower(level) {
	case "error":
		minLevel = slog.LevelError
	case "", "info":
		minLevel = slog.LevelInfo
	case "debug":
		minLevel = slog.LevelDebug
	default:
		isUnknown = true
	}
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel}))
	if isUnknown {
		log.Warn("unknown LOG_LEVEL, using info", "level", level)
	}
	return log
}

// Limits on the connections of worker agents and users.
const (
	// bytesPerConnection is the memory of a connection: a goroutine and possibly a part of a
	// request.
	bytesPerConnection = 26 << 10
	// connectionMemoryShare is the share of the memory that all connections together may take.
	// The process itself, the fleet and the jobs need the rest.
	connectionMemoryShare = 0.3
	minOpenConnections    = 16
)

// Settings of the garbage collector.
const (
	// memoryLimitShare is the share of the machine's memory at which collections become more
	// frequent.
	memoryLimitShare = 0.7
	// gcPercent is the heap growth, in percent, that starts a collection below that share.
	gcPercent = 300
)

const bytesPerMB = 1 << 20

// maxConnections returns how many connections of worker agents and users may be open. They get
// only a part of the file descriptors, because external services and peers need sockets as well.
func maxConnections(limits config.Limits) int {
	byMemory := int(limits.RAMMB * bytesPerMB * connectionMemoryShare / bytesPerConnection)
	return max(minOpenConnections, min(limits.FDLimit*7/10, byMemory))
}

// tuneRuntime configures the Go runtime for the machine: it uses one processor and a memory limit
// below the one at which the system kills the process.
func tuneRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(limits.RAMMB * memoryLimitShare * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// drainTimeout bounds the handover of the leadership when a controller stops.
const drainTimeout = 2 * time.Second

// Features holds the settings of the optional features, each read from a separate file. A feature
// is disabled if its settings are nil.
type Features struct {
	// Cells enables spillover of jobs to other cells.
	Cells *cells.Settings
	// Standby enables failover: other controllers replace an unreachable leader before its
	// lease expires.
	Standby *standby.Settings
}

// listeners holds the listeners of a controller: for worker agents and users, for other
// controllers of the cell, and for other cells. The last one is nil if spillover is disabled.
type listeners struct{ api, peers, cells net.Listener }

// listen opens all listeners. If one of them fails, it closes the others.
func listen(s *config.Settings, cellSettings *cells.Settings) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.api, err = netio.Listen(s.APIAddr); err != nil {
		return l, fmt.Errorf("API listener: %w", err)
	}
	if l.peers, err = netio.Listen(s.PeerListen); err != nil {
		return l, fmt.Errorf("peer listener: %w", err)
	}
	if cellSettings != nil {
		if l.cells, err = netio.Listen(cellSettings.Listen[s.Node]); err != nil {
			return l, fmt.Errorf("cell listener: %w", err)
		}
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, ln := range []net.Listener{l.api, l.peers, l.cells} {
		if ln != nil {
			closeQuietly(ln)
		}
	}
}

// closeQuietly closes c and ignores the error, since c is no longer used.
func closeQuietly(c io.Closer) { _ = c.Close() }

// Run runs a controller until the context ends or a listener fails. When the context ends, Run
// hands over the leadership before it returns.
func Run(ctx context.Context, s *config.Settings, p *policy.Policy, features Features, log *slog.Logger) error {
	tuneRuntime(s.Site.Limits)
	lns, err := listen(s, features.Cells)
	if err != nil {
		return err
	}
	store := kv.NewClient(s.Services.State, s.Site.State)
	c := newController(s, p, features, store, log)
	shutdown := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	elector := &election.Elector{
		Node:          s.Node,
		Incarnation:   rand.Text(),
		Store:         store,
		LeaseDuration: p.LeaderLease,
		RenewInterval: min(p.LeaderLease/6, maxRenewInterval),
		TokensPerTerm: controller.TokensPerTerm(s.Site.Workers),
		Observer:      c,
		Log:           log,
		StepDowns:     c.StepDowns(),
		Resignations:  c.Resignations(),
	}
	go c.Run(ctx)
	go elector.Run(ctx)
	failed := make(chan error, 3)
	if lns.cells != nil {
		go func() { failed <- peer.Serve(ctx, lns.cells, cellHandler{c}, log) }()
	}
	go func() { failed <- peer.Serve(ctx, lns.peers, peerHandler{c}, log) }()
	limiter := newConnLimiter(maxConnections(s.Site.Limits))
	srv := &httpd.Server{Handler: api.Handler(c, log), ConnState: limiter.onConnState, Log: log}
	go func() { failed <- srv.Serve(lns.api) }()
	log.Info("started", "node", s.Node, "zone", s.Zone, "api", s.APIAddr, "pid", os.Getpid())
	select {
	case <-shutdown:
		drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
		c.Drain(drainCtx)
		cancelDrain()
		closeQuietly(lns.api)
		log.Info("stopped", "node", s.Node)
		return nil
	case err := <-failed:
		return err
	}
}

// maxRenewInterval is the longest interval between renewals of the leader lease.
const maxRenewInterval = 3 * time.Second

// newController returns a controller with clients of the services, peers, machines and cells.
func newController(
	s *config.Settings, p *policy.Policy, features Features, store *kv.Client, log *slog.Logger,
) *controller.Controller {
	machines := worker.NewClient()
	cfg := controller.Config{
		Settings:      s,
		Policy:        p,
		Standby:       features.Standby,
		Store:         store,
		UserStore:     store.ForUsers(),
		Cloud:         cloud.NewClient(s.Services.Cloud, s.Site.Cloud),
		Peers:         newPeerClients(s.Peers),
		Prober:        machines,
		CommandSender: machines,
		Log:           log,
	}
	if features.Cells != nil {
		cfg.Cells, cfg.CellClient = features.Cells, newCellLinks(features.Cells)
	}
	return controller.New(cfg)
}
