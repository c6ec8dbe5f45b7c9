// Package daemon builds the parts of a controller process, runs and stops them.
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

// NewLogger returns a logger that writes to w from the named level on; an unknown name is
// info.
func NewLogger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	isUnknown := false
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "", "info":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		isUnknown = true
	}
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
	if isUnknown {
		log.Warn("unknown LOG_LEVEL, using info", "level", level)
	}
	return log
}

// A connection of a worker agent or user holds a goroutine, and possibly a part of a
// request. All of them together may take connectionMemoryShare of the memory: the process
// itself, the fleet and the jobs need the rest.
const (
	bytesPerConnection    = 26 << 10
	connectionMemoryShare = 0.3
	minOpenConnections    = 16
)

// Shares of the machine's memory at which the garbage collector works harder, and the
// growth of the heap at which it runs below that, in percent.
const (
	memoryLimitShare = 0.7
	gcPercent        = 300
)

const bytesPerMB = 1 << 20

// maxConnections returns how many connections of worker agents and users may be open:
// external services and peers need sockets as well.
func maxConnections(lim config.Limits) int {
	byMemory := int(lim.RAMMB * bytesPerMB * connectionMemoryShare / bytesPerConnection)
	return max(minOpenConnections, min(lim.FDLimit*7/10, byMemory))
}

// tuneRuntime fits the Go runtime to the machine: one processor, and a memory limit below
// the one at which the system kills the process.
func tuneRuntime(lim config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(lim.RAMMB * memoryLimitShare * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// drainTimeout bounds the handover of leadership when a controller stops.
const drainTimeout = 2 * time.Second

// Features holds the settings of optional parts, each from a file of its own; nil turns a
// part off.
type Features struct {
	// Cells turns on spillover to other cells.
	Cells *cells.Settings
	// Standby turns on failover, by which other controllers replace an unreachable leader
	// before its lease expires.
	Standby *standby.Settings
}

// listeners are those of one controller; cells is nil unless spillover is on.
type listeners struct{ api, peers, cells net.Listener }

// listen opens all listeners, or none.
func listen(s *config.Settings, neighbours *cells.Settings) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.api, err = netio.Listen(s.APIAddr); err != nil {
		return l, fmt.Errorf("api: %w", err)
	}
	if l.peers, err = netio.Listen(s.PeerListen); err != nil {
		return l, fmt.Errorf("peers: %w", err)
	}
	if neighbours != nil {
		if l.cells, err = netio.Listen(neighbours.Listen[s.Node]); err != nil {
			return l, fmt.Errorf("cells: %w", err)
		}
	}
	return l, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.api, l.peers, l.cells} {
		if ln != nil {
			closeQuietly(ln)
		}
	}
}

// closeQuietly closes what is not used any more; an error changes nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }

// Run runs a controller until the context ends, when it hands the leadership over, or
// until a listener fails.
func Run(ctx context.Context, s *config.Settings, p *policy.Policy, parts Features, log *slog.Logger) error {
	tuneRuntime(s.Site.Limits)
	lns, err := listen(s, parts.Cells)
	if err != nil {
		return err
	}
	store := kv.NewClient(s.Services.State, s.Site.State)
	c := newController(s, p, parts, store, log)
	stopped := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	elector := &election.Elector{
		Node:          s.Node,
		Incarnation:   rand.Text(),
		Store:         store,
		LeaseDuration: p.LeaderLease,
		RenewInterval: min(p.LeaderLease/6, maxRenewInterval),
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
	case <-stopped:
		drainCtx, done := context.WithTimeout(ctx, drainTimeout)
		c.Drain(drainCtx)
		done()
		closeQuietly(lns.api)
		log.Info("stopped", "node", s.Node)
		return nil
	case err := <-failed:
		return err
	}
}

// maxRenewInterval is the longest interval at which the leader lease is renewed.
const maxRenewInterval = 3 * time.Second

// newController builds a controller with its clients.
func newController(
	s *config.Settings, p *policy.Policy, parts Features, store *kv.Client, log *slog.Logger,
) *controller.Controller {
	machines := worker.NewClient()
	cfg := controller.Config{
		Settings:      s,
		Policy:        p,
		Standby:       parts.Standby,
		Store:         store,
		UserStore:     store.ForUsers(),
		Cloud:         cloud.NewClient(s.Services.Cloud, s.Site.Cloud),
		Peers:         newPeerClients(s.Peers),
		Prober:        machines,
		CommandSender: machines,
		Log:           log,
	}
	if parts.Cells != nil {
		cfg.Cells, cfg.CellClient = parts.Cells, newCellLinks(parts.Cells)
	}
	return controller.New(cfg)
}
