// Package controller holds the goroutine that owns a node's state. Everything
// else speaks to it by messages: the handlers of users and workers, the
// election, and the goroutines that wait for the outside services.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/standby"
)

// ErrNotApplied means that a node refuses connections from here, although the
// network to its host works.
var ErrConnectionRefused = errors.New("connection refused")

// PeerClient speaks to the other nodes.
type PeerClient interface {
	// Job returns ErrUnavailable when the node cannot answer.
	Job(ctx context.Context, node, id string) (api.JobState, error)
	// Ping returns the node's state, if it can be reached.
	// What it knows of cancellations beyond a position comes with it.
	Ping(ctx context.Context, node string, from cancellation.Position) (PeerStatus, error)
	// ForwardHeartbeat passes a machine's report on to the leader. NotLeaderError means
	// that the node does not lead, ErrNotApplied that connections are refused.
	ForwardHeartbeat(ctx context.Context, node string, hb *api.Heartbeat) (api.HeartbeatResponse, error)
	// Resign tells a node that self has stopped to act in a term.
	Resign(ctx context.Context, node, self string, term uint64) error
	// Vote asks a node to let this one decide as leader of a term for a while.
	Vote(ctx context.Context, node string, term uint64) (granted bool, err error)
	// Promise asks a node to grant a term nothing more, and returns for how long what
	// it has granted may be valid. ErrUnavailable means that it would not: it hears
	// the leader.
	Promise(ctx context.Context, node string, term uint64) (wait time.Duration, err error)
}

// Config is what a controller is made of.
type Config struct {
	Settings *config.Settings
	Policy   *policy.Policy
	Store    kv.Service
	// UserStore is Store for what users ask; nil: Store itself.
	UserStore     kv.Service
	Cloud         cloud.Service
	Peers         PeerClient
	Prober        Prober
	CommandSender CommandSender
	Log           *slog.Logger
	// Cells are the cells that lend each other capacity, and Link the way to them; nil:
	// there are none.
	Cells *cells.Settings
	Link  CellLink
	// Standby says how a leader that is gone is replaced before its lease ends; nil: not.
	Standby *standby.Settings
}

// Controller is one node's state and its owner.
type Controller struct {
	Config
	records records.Records
	mailbox chan message
	// ended is closed when Run has returned: nothing in the mailbox is applied any more.
	ended        chan struct{}
	stepDowns    chan uint64
	resignations chan election.Resignation
	types        machineTypeCache
	// unready tells the health checks that users are better served elsewhere.
	unready atomic.Bool

	// The rest belongs to the owner goroutine.
	leader       string
	leaderTerm   *leaderTerm
	leaseRenewer leaseRenewer
	uplink       relayUplink
	membership   membership
	// redirectedAt is when machines were sent on to the leader, past this node.
	redirectedAt map[string]time.Time
	// redirects is to whom machines were last told to report.
	redirects     map[string]redirect
	final         *lru.Cache[string, api.JobState]
	cancellations *cancellation.Log
	failover      failover
	// draining is set once the process is about to end.
	draining bool
	// reads are the reads of the store that users wait for, by job.
	reads map[string]*lookupRound
}

// message is what the owner goroutine is sent.
type message interface{ apply(c *Controller) }

// maxFinalStates is how many final states a node keeps in memory.
const maxFinalStates = 8192

// New makes a controller.
func New(cfg Config) *Controller {
	final, err := lru.New[string, api.JobState](maxFinalStates)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	if cfg.UserStore == nil {
		cfg.UserStore = cfg.Store
	}
	return &Controller{
		Config: cfg, records: records.NewRecords(cfg.UserStore, cfg.Settings.Site.State),
		mailbox: make(chan message, 256), ended: make(chan struct{}), stepDowns: make(chan uint64, 4), resignations: make(chan election.Resignation, 4), final: final,
		redirectedAt: map[string]time.Time{}, redirects: map[string]redirect{}, uplink: newRelayUp(cfg.Settings.Site.Limits),
		reads: map[string]*lookupRound{}, cancellations: cancellation.NewLog(cfg.Settings.Site.Workers, cfg.Settings.Site.Limits, time.Now()), membership: newMembership(cfg.Settings.Peers, time.Now()),
	}
}

// A leader looks at what waits every tickInterval; a node that follows has
// nothing that cannot wait longer, and each look wakes the process.
const (
	tickInterval         = 100 * time.Millisecond
	followerTickInterval = 500 * time.Millisecond
)

// resetTicker sets the ticker for what the node is now.
func (c *Controller) resetTicker(tick *time.Ticker, current time.Duration) time.Duration {
	interval := followerTickInterval
	if c.leaderTerm != nil {
		interval = tickInterval
	}
	if interval != current {
		tick.Reset(interval)
	}
	return interval
}

// Run owns the state until the context ends. It may be called once.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.ended)
	go c.refreshMachineTypesLoop(ctx)
	go c.kvHealthLoop(ctx)
	if c.Peers != nil {
		for _, p := range c.Settings.Peers {
			go c.pingLoop(ctx, p.Node)
		}
	}
	c.failover.run(ctx, c)
	tick := time.NewTicker(followerTickInterval)
	defer tick.Stop()
	interval := followerTickInterval
	for {
		interval = c.resetTicker(tick, interval)
		select {
		case <-ctx.Done():
			c.endTerm()
			return
		case m := <-c.mailbox:
			m.apply(c)
		case <-tick.C:
			now := time.Now()
			c.checkKVAccess(now)
			c.uplink.tick(c, now)
			if c.leaderTerm != nil {
				c.leaderTerm.tick(now)
			} else {
				c.failover.tick(c, now)
			}
		}
	}
}

// Resignations is where the election hears which node has stopped to lead.
func (c *Controller) Resignations() <-chan election.Resignation { return c.resignations }

// StepDowns is where the election hears that a term is over.
func (c *Controller) StepDowns() <-chan uint64 { return c.stepDowns }

func (c *Controller) endTerm() {
	if c.leaderTerm != nil {
		c.leaderTerm.cancel()
		c.leaderTerm = nil
	}
}

// holdsLease tells whether this node may act as leader at this moment.
func (c *Controller) holdsLease() bool {
	return c.leaderTerm != nil && time.Now().Before(c.leaderTerm.leaseExpiry)
}

// Ready implements api.Backend.
func (c *Controller) Ready() bool { return c.types.load() != nil && !c.unready.Load() }
