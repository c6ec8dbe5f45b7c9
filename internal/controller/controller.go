// Package controller holds the goroutine that owns a node's state. Everything
// else speaks to it by messages: the handlers of users and workers, the
// election, and the goroutines that wait for the outside services.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
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
	types        typesCell
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
	reads map[string]*readRound
}

// message is what the owner goroutine is sent.
type message interface{ apply(c *Controller) }

// finalsKept is how many final states a node keeps in memory.
const finalsKept = 8192

// New makes a controller.
func New(cfg Config) *Controller {
	final, err := lru.New[string, api.JobState](finalsKept)
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
		reads: map[string]*readRound{}, cancellations: cancellation.NewLog(cfg.Settings.Site.Workers, cfg.Settings.Site.Limits, time.Now()), membership: newMembership(cfg.Settings.Peers, time.Now()),
	}
}

// A leader looks at what waits every tickInterval; a node that follows has
// nothing that cannot wait longer, and each look wakes the process.
const (
	tickInterval   = 100 * time.Millisecond
	followInterval = 500 * time.Millisecond
)

// resetTicker sets the ticker for what the node is now.
func (c *Controller) resetTicker(tick *time.Ticker, was time.Duration) time.Duration {
	want := followInterval
	if c.leaderTerm != nil {
		want = tickInterval
	}
	if want != was {
		tick.Reset(want)
	}
	return want
}

// Run owns the state until the context ends. It may be called once.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.ended)
	go c.refreshTypes(ctx)
	go c.kvHealthLoop(ctx)
	if c.Peers != nil {
		for _, p := range c.Settings.Peers {
			go c.pingLoop(ctx, p.Node)
		}
	}
	c.failover.run(ctx, c)
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	interval := followInterval
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

// The election's calls become messages. They have no context: what the election says to a
// controller that has ended is dropped.

type leaderChangedMsg struct{ node string }

func (m leaderChangedMsg) apply(c *Controller) {
	if c.leader != m.node {
		c.Log.Info("leader", "node", m.node)
	}
	c.leader = m.node
}

type electionWonMsg struct {
	term        election.Term
	leaseExpiry time.Time
}

func (m electionWonMsg) apply(c *Controller) {
	c.endTerm()
	if c.draining {
		return
	}
	c.leaderTerm = newLeaderTerm(c, m.term, m.leaseExpiry)
}

type leaseRenewedMsg electionWonMsg

func (m leaseRenewedMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term && m.leaseExpiry.After(lt.leaseExpiry) {
		lt.leaseExpiry = m.leaseExpiry
	}
}

type leaseLostMsg struct{ term election.Term }

func (m leaseLostMsg) apply(c *Controller) {
	if lt := c.leaderTerm; lt != nil && lt.term == m.term {
		c.endTerm()
	}
	c.leader = ""
}

// LeaderChanged implements election.Observer.
func (c *Controller) LeaderChanged(node string) { c.send(context.Background(), leaderChangedMsg{node}) }

// ElectionWon implements election.Observer.
func (c *Controller) ElectionWon(t election.Term, until time.Time) {
	c.send(context.Background(), electionWonMsg{t, until})
}

// LeaseRenewed implements election.Observer.
func (c *Controller) LeaseRenewed(t election.Term, until time.Time) {
	c.send(context.Background(), leaseRenewedMsg{t, until})
}

// LeaseLost implements election.Observer.
func (c *Controller) LeaseLost(t election.Term) { c.send(context.Background(), leaseLostMsg{t}) }

// holdsLease tells whether this node may act as leader at this moment.
func (c *Controller) holdsLease() bool {
	return c.leaderTerm != nil && time.Now().Before(c.leaderTerm.leaseExpiry)
}

// Ready implements api.Backend.
func (c *Controller) Ready() bool { return c.types.load() != nil && !c.unready.Load() }

// Submit implements api.Backend.
func (c *Controller) Submit(ctx context.Context, spec *api.JobSpec) (api.JobState, bool, error) {
	types := c.types.load()
	if types == nil {
		return api.JobState{}, false, api.ErrUnavailable
	}
	reason := unschedulableReason(spec, c.Settings.Site.Teams, types)
	if reason == "" && !records.Fits(spec, c.Settings.Site.State.ValueKB) {
		// The state service would refuse it each time the user comes back.
		reason = "more names than a record holds"
	}
	if reason != "" {
		return api.JobState{}, false, &api.UnschedulableError{Reason: reason}
	}
	st, created, err := c.records.Accept(ctx, spec, time.Now())
	var never *records.UnknownDependencyError
	if errors.As(err, &never) {
		err = &api.UnschedulableError{Reason: never.Error()}
	}
	if err == nil && st.Final() {
		err = c.tellFinal(ctx, st)
	}
	return st, created, err
}

// unschedulableReason says why a job can never run, or "".
func unschedulableReason(s *api.JobSpec, teams []config.Team, types map[string]api.MachineType) string {
	for _, t := range teams {
		if t.Name != s.Team {
			continue
		}
		if s.CPUs > t.LimitCPUs+epsilon || (s.GPUs > 0 && s.GPUs > t.LimitGPUs+epsilon) {
			return "a task needs more than the team's limit"
		}
		for _, mt := range types {
			if taskFits(s, mt) {
				return ""
			}
		}
		return "a task fits no allowed machine type"
	}
	return "unknown team"
}

// taskFits tells whether a task of a job may run on machines of a type, and fits them.
func taskFits(s *api.JobSpec, t api.MachineType) bool {
	return typeAllowed(s, t.Name) && zoneAllowed(s, t.Zones) &&
		s.CPUs <= t.CPUs+epsilon && s.GPUs <= t.GPUs+epsilon && s.MemoryGB <= t.MemoryGB+epsilon
}

func typeAllowed(s *api.JobSpec, typ string) bool {
	return s.Types == nil || slices.Contains(s.Types, typ)
}

func zoneAllowed(s *api.JobSpec, zones []string) bool {
	if s.Zone == "" {
		return len(zones) > 0
	}
	return slices.Contains(zones, s.Zone)
}

// RecordedJob implements api.Backend.
func (c *Controller) RecordedJob(ctx context.Context, id string) (api.JobState, error) {
	return c.lookup(ctx, id)
}

// Cancel implements api.Backend.
func (c *Controller) Cancel(ctx context.Context, id string) (api.JobState, error) {
	st, found, err := c.records.Cancel(ctx, id)
	if err != nil {
		return st, err
	}
	if !found {
		return st, api.ErrUnknownJob
	}
	return st, c.tellFinal(ctx, st)
}

func (c *Controller) lookup(ctx context.Context, id string) (api.JobState, error) {
	m := readMsg{id, make(chan readReply, 1)}
	if err := c.send(ctx, m); err != nil {
		return api.JobState{}, err
	}
	r, err := await(ctx, c, m.reply)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err == nil && !r.found {
		return r.st, api.ErrUnknownJob
	}
	return r.st, r.err
}

// readMsg asks what the store has of a job. Users who ask again and again, at all
// nodes, would use up the request budget that submissions share: one read serves
// all who asked before it began, and those who ask meanwhile share the next. None
// gets an answer that is older than its question.
type readMsg struct {
	id    string
	reply chan readReply
}

type readReply struct {
	st    api.JobState
	found bool
	err   error
}

// readRound is one read, and who waits for it and for the next.
type readRound struct{ now, next []chan readReply }

// readLife bounds one shared read.
const readLife = time.Second

func (m readMsg) apply(c *Controller) {
	if r := c.reads[m.id]; r != nil {
		r.next = append(r.next, m.reply)
		return
	}
	c.reads[m.id] = &readRound{now: []chan readReply{m.reply}}
	c.read(m.id)
}

func (c *Controller) read(id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readLife)
		defer cancel()
		var r readReply
		r.st, r.found, r.err = c.records.Lookup(ctx, id)
		c.send(context.Background(), readDoneMsg{id, r})
	}()
}

type readDoneMsg struct {
	id    string
	reply readReply
}

func (m readDoneMsg) apply(c *Controller) {
	if m.reply.err == nil && m.reply.found && m.reply.st.Final() {
		finalMsg{m.reply.st}.apply(c)
	}
	round := c.reads[m.id]
	for _, reply := range round.now {
		reply <- m.reply
	}
	if len(round.next) == 0 {
		delete(c.reads, m.id)
		return
	}
	round.now, round.next = round.next, nil
	c.read(m.id)
}

// finalMsg tells the owner of a final state.
type finalMsg struct{ st api.JobState }

// The leader's memory and the log of cancellations must not fall behind what
// users are told: the store may be out of reach from the next moment on.
func (m finalMsg) apply(c *Controller) {
	if m.st.Derived {
		return // the leader finds it by itself, and has yet to write it
	}
	if m.st.Phase == api.JobCancelled {
		c.recordCancellation(m.st.ID)
		return
	}
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[m.st.ID]; j != nil {
			c.leaderTerm.jobFinished(j)
		}
	}
	c.final.Add(m.st.ID, m.st)
}

// typesLife is how long the machine types are used before they are read again.
const typesLife = time.Minute

// refreshTypes keeps the machine types known: from the cloud, or while that
// does not answer from what some node stored.
func (c *Controller) refreshTypes(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		types, err := c.Cloud.Types(cctx)
		cancel()
		wait := typesLife
		if err != nil {
			c.Log.Debug("machine types not read", "err", err)
			wait = time.Second
			if c.types.load() == nil {
				c.storedTypes(ctx)
			}
		} else {
			first := c.types.load() == nil
			c.types.set(types)
			if first {
				c.storeTypes(ctx, types)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (c *Controller) storedTypes(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e, err := c.Store.Get(cctx, records.MachineTypesKey)
	if err != nil || e.ModRevision == 0 {
		return
	}
	var types []api.MachineType
	if err := json.Unmarshal(e.Value, &types); err != nil {
		c.Log.Warn("stored machine types", "err", err)
		return
	}
	c.types.set(types)
}

func (c *Controller) storeTypes(ctx context.Context, types []api.MachineType) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// Versions read one record, and a list with types missing would have jobs
	// told that they never run. So one that does not fit is not stored: a node
	// that starts while the cloud is away then waits for it.
	raw, err := json.Marshal(types)
	if room := min(c.Settings.Site.State.ValueKB*1024, kv.MaxTxnBytes*3/4); err != nil || float64(len(raw)) > room {
		c.Log.Warn("machine types do not fit a record", "bytes", len(raw), "err", err)
		return
	}
	txn := kv.Txn{Ops: []kv.Op{{Put: records.MachineTypesKey, Value: json.RawMessage(raw)}}}
	if _, err := c.Store.Txn(cctx, txn); errors.Is(err, kv.ErrInvalid) {
		c.Log.Warn("machine types not stored", "err", err)
	} else if err != nil && !errors.Is(err, context.Canceled) {
		c.Log.Debug("machine types not stored", "err", err)
	}
}
