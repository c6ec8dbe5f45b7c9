// Package controller implements a node's work as leader or follower.
//
// One goroutine, Controller.Run, owns all state and takes no locks. All others communicate with it
// only by messages to its mailbox: the handlers of requests from users and worker agents, the
// election, and the goroutines that wait for the key-value store, the cloud, other nodes or
// machines.
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
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/standby"
)

// ErrConnectionRefused means that another node refused the connection, so its host is reachable
// but the node does not accept connections.
var ErrConnectionRefused = errors.New("connection refused")

// ErrUnsupported means that another node's version does not support a request.
var ErrUnsupported = errors.New("request not supported")

// PeerClient sends requests to the other nodes.
type PeerClient interface {
	// Job returns a node's answer to a query about a job. The error is api.ErrUnknownJob if the job does
	// not exist, and api.ErrUnavailable if the node cannot answer.
	Job(ctx context.Context, node string, q JobQuery) (JobAnswer, error)
	// Completion returns what a node knows about the completed tasks of a job. known are those that the
	// caller knows. The error is ErrUnsupported if the node's version does not support the query.
	Completion(ctx context.Context, node, id string, known completion.Tasks) (CompletionStatus, error)
	// Ping returns the node's status, with the part of its cancellation log after a position.
	Ping(ctx context.Context, node string, from cancellation.Position) (membership.PeerStatus, error)
	// ForwardHeartbeat forwards a machine's heartbeat to the leader. It returns
	// NotLeaderError if the node does not lead, and ErrConnectionRefused if the node refuses the
	// connection.
	ForwardHeartbeat(ctx context.Context, node string, hb *api.Heartbeat) (api.HeartbeatResponse, error)
	// Resign notifies a node that self has stopped acting as leader of a term.
	Resign(ctx context.Context, node, self string, term uint64) error
	// Vote requests a node's vote for this node as leader of a term. The vote is valid for the
	// lifetime that the failover settings specify.
	Vote(ctx context.Context, node string, term uint64) (granted bool, err error)
	// Promise requests a node's promise not to vote in a term any longer, and returns for how
	// long the votes that it has given may still be valid. api.ErrUnavailable means that the node
	// refused to promise: it does not take part in failover, leads, or still reaches the leader.
	Promise(ctx context.Context, node string, term uint64) (wait time.Duration, err error)
}

// Config holds a controller's settings and dependencies.
type Config struct {
	Settings *config.Settings
	Policy   *policy.Policy
	Store    kv.Service
	// UserStore is the client of the key-value store for requests of users; if nil, Store is
	// used.
	UserStore     kv.Service
	Cloud         cloud.Service
	Peers         PeerClient
	Prober        Prober
	CommandSender CommandSender
	Log           *slog.Logger
	// Cells are the cells that lend each other capacity; nil without neighbours.
	Cells *cells.Settings
	// CellClient is the client of the other cells; nil without neighbours.
	CellClient CellLink
	// Standby configures failover before the leader's lease expires. If nil, a leader is
	// replaced only once its lease has expired.
	Standby *standby.Settings
}

// Controller is one node of the control plane: its state, and the goroutine that owns it.
type Controller struct {
	Config
	records records.Records
	mailbox chan message
	// ended is closed when Run has returned. Messages are not applied after that.
	ended chan struct{}
	// stepDowns delivers to the election the terms in which this node has stepped down.
	stepDowns chan uint64
	// resignations delivers to the election the resignations of other leaders.
	resignations chan election.Resignation
	machineTypes machineTypeCache
	// answers decides what users are told about jobs.
	answers *userAnswers
	// leaderStates holds what the leader has lately told this node about jobs.
	leaderStates leaderStates
	// phaseProbes has an element for each job whose machines are being probed for a poll.
	phaseProbes chan struct{}
	// repeatedPolls has an element for each repeated submission whose job's phase is being searched.
	repeatedPolls chan struct{}
	// completionChecks has an element for each check of a completionCheck that takes more than one query.
	completionChecks chan struct{}
	// unready makes the health check fail, so that users are routed to other nodes.
	unready atomic.Bool

	// The fields below are accessed only by the owner goroutine.

	// leader is the leader that the election last reported, or "".
	leader string
	// ledAt is when this process began, or when its last term as leader ended.
	ledAt time.Time
	// leaderTerm is the state of the term in which this node leads; nil on a follower.
	leaderTerm   *leaderTerm
	leaseRenewer leaseRenewer
	uplink       relayUplink
	membership   membership.Table
	// redirectedAt holds, by machine, when it was last redirected to a leader that this node
	// cannot reach.
	redirectedAt map[string]time.Time
	// redirects holds the last redirect of each machine to a reachable leader.
	redirects map[string]redirect
	// finalStates caches the states of jobs that have ended.
	finalStates   *lru.Cache[string, api.JobState]
	cancellations *cancellation.Log
	// completions holds the completed tasks that this node has learned of and cannot apply as leader.
	completions *completion.Log
	failover    failover
	// draining is set when the process is about to end. The node then no longer leads.
	draining bool
	// lookups reads jobs from the store for users' requests.
	lookups jobLookups
	// storeQueries asks a leader that this node cannot reach about jobs.
	storeQueries storeQueries
}

// message is an event that the owner goroutine applies to its state.
type message interface{ apply(c *Controller) }

const (
	// maxFinalStates is the number of states of ended jobs that a node caches.
	maxFinalStates = 8192
	// mailboxCapacity is the number of messages that may be queued before senders block.
	mailboxCapacity = 256
	// electionQueueCapacity is the number of notices to the election that may be queued. Further
	// notices are dropped.
	electionQueueCapacity = 4
)

// New returns a controller. Run starts it.
func New(cfg Config) *Controller {
	final, err := lru.New[string, api.JobState](maxFinalStates)
	if err != nil {
		panic(err) // lru.New fails only if the size is not positive
	}
	if cfg.UserStore == nil {
		cfg.UserStore = cfg.Store
	}
	site, now := cfg.Settings.Site, time.Now()
	c := &Controller{
		Config:        cfg,
		records:       records.NewRecords(cfg.UserStore, site.State),
		mailbox:       make(chan message, mailboxCapacity),
		ended:         make(chan struct{}),
		answers:       newUserAnswers(cfg.Log),
		stepDowns:     make(chan uint64, electionQueueCapacity),
		resignations:  make(chan election.Resignation, electionQueueCapacity),
		uplink:        newRelayUplink(site.Limits),
		membership:    membership.NewTable(cfg.Settings.Peers, now),
		redirectedAt:  map[string]time.Time{},
		redirects:     map[string]redirect{},
		finalStates:   final,
		cancellations: cancellation.NewLog(site.Workers, site.Limits, now),
		completions:   completion.NewLog(site.Workers, site.Limits),
		ledAt:         now,
		leaderStates:  newLeaderStates(),
		repeatedPolls: make(chan struct{}, maxRepeatedPolls),
		phaseProbes:   make(chan struct{}, min(maxPhaseProbes, maxConcurrentDials(site.Limits.FDLimit))),

		completionChecks: make(chan struct{}, min(maxCompletionChecks, maxConcurrentDials(site.Limits.FDLimit))),
	}
	c.lookups = jobLookups{controller: c, byJob: map[string]*sharedLookup{}}
	c.storeQueries = storeQueries{
		controller: c,
		lastID:     records.QueryID{Incarnation: c.uplink.incarnation},
		waiting:    map[string][]chan<- error{},
	}
	return c
}

const (
	// leaderTickInterval is the time between two ticks of a leader.
	leaderTickInterval = 100 * time.Millisecond
	// followerTickInterval is the time between two ticks of a follower. It is longer because
	// each tick wakes the process, and a follower's timers need no finer resolution.
	followerTickInterval = 500 * time.Millisecond
)

// resetTicker sets the ticker to the interval for the node's role, and returns that interval.
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

// Run applies messages and does periodic work until the context ends. It must be called only once.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.ended)
	go c.refreshMachineTypesLoop(ctx)
	go c.kvHealthLoop(ctx)
	if c.Peers != nil {
		for _, peer := range c.Settings.Peers {
			go c.pingLoop(ctx, peer.Node)
		}
	}
	c.failover.start(ctx, c)
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

// Resignations returns the channel that delivers the resignations of other leaders to the election.
func (c *Controller) Resignations() <-chan election.Resignation { return c.resignations }

// StepDowns returns the channel that delivers to the election the terms in which this node has
// stepped down.
func (c *Controller) StepDowns() <-chan uint64 { return c.stepDowns }

// endTerm ends the term of this node, if it leads, and discards its state. Only the completions that are
// not recorded are kept, for requests to cancel their jobs.
func (c *Controller) endTerm() {
	if lt := c.leaderTerm; lt != nil {
		lt.cancel()
		lt.keepCompletions(time.Now())
		c.leaderTerm, c.ledAt = nil, time.Now()
		lt.readIndex.end()
	}
}

// holdsLease reports whether this node leads and its leader lease is valid now.
func (c *Controller) holdsLease() bool {
	return c.leaderTerm != nil && time.Now().Before(c.leaderTerm.leaseExpiry)
}

// Ready implements api.Backend. A node is ready if it has the machine types, without which it cannot
// accept submissions, and neither drains nor is partitioned from the key-value store.
func (c *Controller) Ready() bool { return c.machineTypes.load() != nil && !c.unready.Load() }
