package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// forwardTimeout bounds the way of a report over another node, so that the worker
// is answered well before it gives up.
const forwardTimeout = 1200 * time.Millisecond

// Heartbeat implements api.Backend.
func (c *Controller) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	r, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb})
	if err != nil || r.forwardTo == "" {
		return r.response, err
	}
	pctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	response, err := c.Peers.ForwardHeartbeat(pctx, r.forwardTo, hb)
	cancel()
	var other *api.NotLeaderError
	if err == nil || errors.As(err, &other) {
		return response, err
	}
	// The leader cannot be reached from here: its machines' leases are extended.
	r, err = c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb, unreachableLeader: r.forwardTo, connectionRefused: errors.Is(err, ErrConnectionRefused)})
	return r.response, err
}

// ForwardedHeartbeat takes a report that came to another node.
func (c *Controller) ForwardedHeartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	r, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb, forwarded: true})
	return r.response, err
}

// submitHeartbeat has the owner take a report in. The owner answers every report, late ones
// too, so nothing but the end of the controller cuts the wait short.
func (c *Controller) submitHeartbeat(ctx context.Context, m heartbeatMsg) (heartbeatReply, error) {
	m.reply, m.receivedAt = make(chan heartbeatReply, 1), time.Now()
	if err := c.send(ctx, m); err != nil {
		return heartbeatReply{}, err
	}
	r, err := await(ctx, c, m.reply)
	if err != nil {
		return r, err
	}
	return r, r.err
}

// heartbeatMaxAge is how long a report may wait for the owner and still be answered
// before its worker gives up. After that its orders would be lost, and be taken
// for carried out by nobody: it is not processed at all, and the next one says
// more.
const heartbeatMaxAge = 3 * time.Second

type heartbeatReply struct {
	response api.HeartbeatResponse
	err      error
	// forwardTo is the leader that should answer instead.
	forwardTo string
}

type heartbeatMsg struct {
	heartbeat *api.Heartbeat
	reply     chan heartbeatReply
	// forwarded is set if another node has passed the report on, and unreached
	// names the leader if this node has tried to in vain.
	forwarded         bool
	unreachableLeader string
	// connectionRefused is set if its connections are refused.
	connectionRefused bool
	receivedAt        time.Time
}

func (m heartbeatMsg) apply(c *Controller) {
	now := time.Now()
	switch {
	case now.Sub(m.receivedAt) > heartbeatMaxAge:
		m.reply <- heartbeatReply{err: api.ErrUnavailable}
	case c.holdsLease():
		m.reply <- c.answerAsLeader(m, now)
	case m.forwarded || c.leaderTerm != nil:
		m.reply <- heartbeatReply{err: &api.NotLeaderError{}}
	default:
		m.reply <- c.answerAsFollower(m, now)
	}
}

// answerAsLeader answers a report while this node may act as leader.
func (c *Controller) answerAsLeader(m heartbeatMsg, now time.Time) heartbeatReply {
	if node := c.localNode(m, now); node != "" {
		return heartbeatReply{err: &api.NotLeaderError{Leader: node}}
	}
	if !c.leaderTerm.mayRenewLeases(now) && m.heartbeat.Term <= c.leaderTerm.term.Number {
		return heartbeatReply{err: api.ErrUnavailable}
	}
	response, err := c.leaderTerm.handleOwnHeartbeat(m.heartbeat, now)
	// A report that shows a later term has ended this node's own.
	if c.leaderTerm != nil {
		if mc := c.leaderTerm.machines[m.heartbeat.Machine]; mc != nil {
			mc.lastForwarded = m.forwarded
		}
	}
	return heartbeatReply{response: response, err: err}
}

// answerAsFollower passes a report on to the leader, sends its machine there, or
// answers it in the leader's stead.
func (c *Controller) answerAsFollower(m heartbeatMsg, now time.Time) heartbeatReply {
	leader := c.currentLeader(now)
	if c.shouldForward(m, leader, now) {
		if c.membership.members[leader].isReachable(now) {
			c.uplink.dropCommands(m.heartbeat.Machine)
		}
		return heartbeatReply{forwardTo: leader}
	}
	if mb := c.membership.members[leader]; mb.isUnreachable() && (m.connectionRefused || mb.connectionRefused) && c.mayRetryLeader(m.heartbeat.Machine, now) {
		// Only the connections between the nodes are refused, or the leader
		// restarts: the machine may well reach it itself. By now that knows,
		// too, not to send it back here.
		c.recordRedirect(m.heartbeat.Machine, now)
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	if mb := c.membership.members[leader]; m.unreachableLeader == "" && mb.isReachable(now) && mb.Term > 0 {
		settled := m.heartbeat.Term == mb.Term && now.Sub(mb.termSeenAt) > c.Settings.Site.Workers.Lease()
		if c.redirectedBack(m.heartbeat.Machine, leader, mb.Term, settled, now) {
			return heartbeatReply{forwardTo: leader}
		}
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	unreached := m.unreachableLeader == leader || !c.membership.members[leader].isReachable(now)
	if response, ok := c.renewOnBehalf(m.heartbeat, leader, unreached, now); ok {
		c.uplink.recordHeartbeat(c, m.heartbeat, &response, now)
		return heartbeatReply{response: response}
	}
	return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
}

// Machines of another zone than the leader's report through a node of their
// own zone, which passes their reports on. When the zones can no longer reach
// each other, that node answers them without a break; looking for it then, one
// silent node after the other, would take longer than their lease.

// localNode names the node that a machine should rather report to, if any.
func (c *Controller) localNode(m heartbeatMsg, now time.Time) string {
	mc := c.leaderTerm.machines[m.heartbeat.Machine]
	if m.forwarded || m.heartbeat.Zone == c.Settings.Zone || mc == nil || !mc.fenced || mc.zone != m.heartbeat.Zone ||
		m.heartbeat.Term != c.leaderTerm.term.Number || now.Sub(mc.redirectedAt) < redirectInterval {
		return ""
	}
	for _, p := range c.Settings.Peers {
		if mb := c.membership.members[p.Node]; p.Zone == m.heartbeat.Zone && mb.isReachable(now) && mb.Leader == c.Settings.Node && mb.KVReachableFor > 0 {
			mc.redirectedAt = now
			return p.Node
		}
	}
	return ""
}

// redirectInterval keeps a machine from being sent to and fro.
const redirectInterval = 10 * time.Second

// shouldForward tells whether a report is passed on to the leader.
func (c *Controller) shouldForward(m heartbeatMsg, leader string, now time.Time) bool {
	mb := c.membership.members[leader]
	return mb != nil && m.unreachableLeader == "" && m.heartbeat.Zone == c.Settings.Zone && mb.zone != c.Settings.Zone &&
		(mb.isReachable(now) || mb.failedPings == 1 || c.mayRetryLeader(m.heartbeat.Machine, now))
}

// mayRetryLeader tells whether it is time to try the leader's connection again
// for a machine that has not been sent on.
func (c *Controller) mayRetryLeader(machine string, now time.Time) bool {
	return now.Sub(c.redirectedAt[machine]) >= redirectRetryInterval
}

// redirect is when a machine was last told to report to a leader of a term.
type redirect struct {
	leader string
	term   uint64
	at     time.Time
	// forwardUntil is until when its reports are passed on instead.
	forwardUntil time.Time
}

// redirectedBack tells whether a machine reports here although it was told just now
// who leads, or must have known it for long (settled). It cannot reach the
// leader, while this node can: its reports are passed on, or all machines of a
// leader that loses the way to them would lose their tasks. After a while it is
// told again.
func (c *Controller) redirectedBack(machine, leader string, term uint64, settled bool, now time.Time) bool {
	d := c.redirects[machine]
	if d.leader != leader || d.term != term {
		d = redirect{leader: leader, term: term}
	}
	if now.Before(d.forwardUntil) {
		return true
	}
	since := now.Sub(d.at)
	if settled && since > 2*redirectRetryInterval || since > minRedirectReturn && since < redirectReturnWindow {
		d.at, d.forwardUntil = now, now.Add(redirectRetryInterval)
		c.redirects[strings.Clone(machine)] = d
		return true
	}
	if len(c.redirects) >= maxRedirects {
		clear(c.redirects)
	}
	c.redirects[strings.Clone(machine)] = redirect{leader: leader, term: term, at: now}
	return false
}

// recordRedirect notes that a machine is sent to the leader itself. One that comes
// back cannot reach it either, and is not sent again for a while: trying would
// take longer than its lease.
func (c *Controller) recordRedirect(machine string, now time.Time) {
	if len(c.redirectedAt) >= maxRedirects {
		clear(c.redirectedAt)
	}
	c.redirectedAt[strings.Clone(machine)] = now
}

const (
	redirectRetryInterval = time.Minute
	// A machine that comes again at once was refused by the leader, or is a
	// copy that comes late; one that waits for the leader in vain gives up
	// after a few seconds, and may ask the third node first.
	minRedirectReturn    = time.Second
	redirectReturnWindow = 15 * time.Second
	maxRedirects         = 10_000
)
