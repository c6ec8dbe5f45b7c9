// Package controller holds the goroutine that owns a node's state, and everything that it
// does as leader or follower.
//
// One goroutine, Controller.Run, owns all state and takes no locks. The handlers of users and
// worker agents, the election, and the goroutines that wait for the key-value store, the
// cloud, other nodes or machines reach it only by messages in its mailbox.
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
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/standby"
)

// ErrConnectionRefused means that a node refuses connections from here, although the
// network to its host works.
var ErrConnectionRefused = errors.New("connection refused")

// PeerClient sends requests to the other nodes.
type PeerClient interface {
	// Job returns the state of a job, or ErrUnavailable when the node cannot answer.
	Job(ctx context.Context, node, id string) (api.JobState, error)
	// Ping returns the node's state, with the part of its cancellation log that follows a
	// position.
	Ping(ctx context.Context, node string, from cancellation.Position) (membership.PeerStatus, error)
	// ForwardHeartbeat passes a machine's heartbeat on to the leader. NotLeaderError means
	// that the node does not lead, ErrConnectionRefused that it refuses connections.
	ForwardHeartbeat(ctx context.Context, node string, hb *api.Heartbeat) (api.HeartbeatResponse, error)
	// Resign notifies a node that self has stopped acting as leader of a term.
	Resign(ctx context.Context, node, self string, term uint64) error
	// Vote requests a node's vote for this one as leader of a term. A vote is valid for
	// the vote lifetime.
	Vote(ctx context.Context, node string, term uint64) (granted bool, err error)
	// Promise requests a node's promise to vote no more in a term, and returns for how
	// long its votes of that term may still be valid. ErrUnavailable means that it did not
	// promise, as it still reaches the leader.
	Promise(ctx context.Context, node string, term uint64) (wait time.Duration, err error)
}

// Config holds a controller's settings and dependencies.
type Config struct {
	Settings *config.Settings
	Policy   *policy.Policy
	Store    kv.Service
	// UserStore is the client of the key-value store for requests of users; nil: Store.
	UserStore     kv.Service
	Cloud         cloud.Service
	Peers         PeerClient
	Prober        Prober
	CommandSender CommandSender
	Log           *slog.Logger
	// Cells are the cells that lend each other capacity, and Link the client to them. Both
	// are nil without neighbours.
	Cells *cells.Settings
	Link  CellLink
	// Standby configures failover before the leader's lease expires; nil: a leader is
	// replaced only once its lease has expired.
	Standby *standby.Settings
}

// Controller is one node's state and the goroutine that owns it.
type Controller struct {
	Config
	records records.Records
	mailbox chan message
	// ended is closed when Run has returned: no message is applied any more.
	ended chan struct{}
	// stepDowns carries to the election the terms that this node has given up.
	stepDowns chan uint64
	// resignations carries to the election the terms that other nodes have given up.
	resignations chan election.Resignation
	types        machineTypeCache
	// unready fails the health check, so that users are routed to other nodes.
	unready atomic.Bool

	// The fields below belong to the owner goroutine.

	// leader is the node that the election last named as leader, or "".
	leader string
	// leaderTerm is the state of this node's own term; nil: it does not lead.
	leaderTerm   *leaderTerm
	leaseRenewer leaseRenewer
	uplink       relayUplink
	membership   membership.Table
	// RedirectedAt holds, by machine, when it was last redirected to a leader that this node
	// cannot reach.
	redirectedAt map[string]time.Time
	// redirects holds the last redirect of each machine to a reachable leader.
	redirects map[string]redirect
	// finalStates caches the states of jobs that have ended.
	finalStates   *lru.Cache[string, api.JobState]
	cancellations *cancellation.Log
	failover      failover
	// draining is set once the process is about to end: the node leads no more.
	draining bool
	// lookups are the lookups in the store that users wait for, by job.
	lookups map[string]*sharedLookup
}

// message is an event for the owner goroutine, which applies it to its state.
type message interface{ apply(c *Controller) }

const (
	// maxFinalStates is how many states of ended jobs a node keeps in memory.
	maxFinalStates = 8192
	// mailboxCapacity is how many messages may wait for the owner before senders block.
	mailboxCapacity = 256
	// electionBacklog is how many notices to the election may wait for it. Further ones
	// are dropped.
	electionBacklog = 4
)

// New returns a controller that Run has yet to start.
func New(cfg Config) *Controller {
	final, err := lru.New[string, api.JobState](maxFinalStates)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	if cfg.UserStore == nil {
		cfg.UserStore = cfg.Store
	}
	site, now := cfg.Settings.Site, time.Now()
	return &Controller{
		Config:        cfg,
		records:       records.NewRecords(cfg.UserStore, site.State),
		mailbox:       make(chan message, mailboxCapacity),
		ended:         make(chan struct{}),
		stepDowns:     make(chan uint64, electionBacklog),
		resignations:  make(chan election.Resignation, electionBacklog),
		uplink:        newRelayUplink(site.Limits),
		membership:    membership.NewTable(cfg.Settings.Peers, now),
		redirectedAt:  map[string]time.Time{},
		redirects:     map[string]redirect{},
		finalStates:   final,
		cancellations: cancellation.NewLog(site.Workers, site.Limits, now),
		lookups:       map[string]*sharedLookup{},
	}
}

// A leader checks its timers every leaderTickInterval. A follower has none that cannot wait
// longer, and each tick wakes the process.
const (
	leaderTickInterval   = 100 * time.Millisecond
	followerTickInterval = 500 * time.Millisecond
)

// resetTicker sets the ticker to the interval of the node's role, and returns it.
func (c *Controller) resetTicker(tick *time.Ticker, current time.Duration) time.Duration {
	interval := followerTickInterval
	if c.leaderTerm != nil {
		interval = leaderTickInterval
	}
	if interval != current {
		tick.Reset(interval)
	}
	return interval
}

// Run applies messages and ticks until the context ends. It may be called once.
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

// Resignations delivers to the election which nodes have stopped acting as leader.
func (c *Controller) Resignations() <-chan election.Resignation { return c.resignations }

// StepDowns delivers to the election the terms that this node has given up.
func (c *Controller) StepDowns() <-chan uint64 { return c.stepDowns }

// endTerm drops the state of this node's term, if it leads.
func (c *Controller) endTerm() {
	if c.leaderTerm != nil {
		c.leaderTerm.cancel()
		c.leaderTerm = nil
	}
}

// holdsLease reports whether this node's leader lease is valid at this moment.
func (c *Controller) holdsLease() bool {
	return c.leaderTerm != nil && time.Now().Before(c.leaderTerm.leaseExpiry)
}

// Ready implements api.Backend. A node without machine types accepts no
// submissions.
func (c *Controller) Ready() bool { return c.types.load() != nil && !c.unready.Load() }
