package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// forwardTimeout is the time limit of forwarding a heartbeat to another node: the agent gets its
// response well before it times out.
const forwardTimeout = 1200 * time.Millisecond

// Heartbeat implements api.Backend.
func (c *Controller) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	r, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb})
	if err != nil || r.forwardTo == "" {
		return r.response, err
	}
	fctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	response, err := c.Peers.ForwardHeartbeat(fctx, r.forwardTo, hb)
	cancel()
	var notLeader *api.NotLeaderError
	if err == nil || errors.As(err, &notLeader) {
		return response, err
	}
	// The leader is unreachable from here: its machines' leases are renewed on its behalf.
	r, err = c.submitHeartbeat(ctx, heartbeatMsg{
		heartbeat:         hb,
		unreachableLeader: r.forwardTo,
		connectionRefused: errors.Is(err, ErrConnectionRefused),
	})
	return r.response, err
}

// ForwardedHeartbeat handles a heartbeat that another node has forwarded.
func (c *Controller) ForwardedHeartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	r, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb, forwarded: true})
	return r.response, err
}

// submitHeartbeat sends a heartbeat to the owner and waits for the response. The owner answers
// every heartbeat, late ones too, so the wait is only cut short by the end of the request or of
// the controller.
func (c *Controller) submitHeartbeat(ctx context.Context, m heartbeatMsg) (heartbeatReply, error) {
	m.reply, m.receivedAt = make(chan heartbeatReply, 1), time.Now()
	r, err := request(ctx, c, m, m.reply)
	if err != nil {
		return r, err
	}
	return r, r.err
}

// heartbeatMaxAge is how long a heartbeat may wait for the owner and still be answered before its
// agent times out. After that the commands of the response would be lost, and never count as
// applied. So the heartbeat is not handled at all: the next one is more recent.
const heartbeatMaxAge = 3 * time.Second

// heartbeatReply is the owner's reply to a heartbeat.
type heartbeatReply struct {
	response api.HeartbeatResponse
	err      error
	// forwardTo is the leader to which the heartbeat is to be forwarded, or "".
	forwardTo string
}

// heartbeatMsg carries a heartbeat to the owner.
type heartbeatMsg struct {
	heartbeat *api.Heartbeat
	reply     chan heartbeatReply
	// forwarded is set if another node has forwarded the heartbeat.
	forwarded bool
	// unreachableLeader is the leader to which this node has failed to forward it, or "".
	unreachableLeader string
	// ConnectionRefused is set if that leader refused the connection.
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

// answerAsLeader answers a heartbeat while this node holds the leader lease.
func (c *Controller) answerAsLeader(m heartbeatMsg, now time.Time) heartbeatReply {
	if node := c.localNode(m, now); node != "" {
		return heartbeatReply{err: &api.NotLeaderError{Leader: node}}
	}
	if !c.leaderTerm.mayRenewLeases(now) && m.heartbeat.Term <= c.leaderTerm.term.Number {
		return heartbeatReply{err: api.ErrUnavailable}
	}
	response, err := c.leaderTerm.handleAgentHeartbeat(m.heartbeat, now)
	// A heartbeat that shows a later term has ended this node's own.
	if c.leaderTerm != nil {
		if mc := c.leaderTerm.machines[m.heartbeat.Machine]; mc != nil {
			mc.LastHeartbeatForwarded = m.forwarded
		}
	}
	return heartbeatReply{response: response, err: err}
}

// answerAsFollower forwards a heartbeat to the leader, redirects its machine there, or renews the
// machine's lease on the leader's behalf.
func (c *Controller) answerAsFollower(m heartbeatMsg, now time.Time) heartbeatReply {
	leader := c.currentLeader(now)
	mb := c.membership.Members[leader]
	if c.shouldForward(m, leader, now) {
		if mb.IsReachable(now) {
			c.uplink.dropCommands(m.heartbeat.Machine)
		}
		return heartbeatReply{forwardTo: leader}
	}
	refused := mb.IsUnreachable() && (m.connectionRefused || mb.ConnectionRefused)
	if refused && c.mayRetryLeader(m.heartbeat.Machine, now) {
		// Only the connections between the nodes are refused, or the leader
		// restarts: the machine may well reach it itself. By now the leader knows,
		// too, not to redirect it back here.
		c.recordRedirect(m.heartbeat.Machine, now)
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	if m.unreachableLeader == "" && mb.IsReachable(now) && mb.Term > 0 {
		settled := m.heartbeat.Term == mb.Term && now.Sub(mb.TermSeenAt) > c.Settings.Site.Workers.Lease()
		if c.redirectedBack(m.heartbeat.Machine, leader, mb.Term, settled, now) {
			return heartbeatReply{forwardTo: leader}
		}
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	unreachable := m.unreachableLeader == leader || !mb.IsReachable(now)
	if response, ok := c.renewOnBehalf(m.heartbeat, leader, unreachable, now); ok {
		c.uplink.recordHeartbeat(m.heartbeat, &response, now)
		return heartbeatReply{response: response}
	}
	return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
}

// localNode returns the node to which a machine should send its heartbeats instead, or "".
//
// Machines of another zone than the leader's send heartbeats to a node of their own zone, which
// forwards them. When the zones are partitioned, that node answers them without a break; to search
// for it only then, one unreachable node after the other, would take longer than their lease.
func (c *Controller) localNode(m heartbeatMsg, now time.Time) string {
	mc := c.leaderTerm.machines[m.heartbeat.Machine]
	if m.forwarded || m.heartbeat.Zone == c.Settings.Zone || mc == nil || !mc.Fenced || mc.Zone != m.heartbeat.Zone ||
		m.heartbeat.Term != c.leaderTerm.term.Number || now.Sub(mc.RedirectedAt) < redirectInterval {
		return ""
	}
	for _, p := range c.Settings.Peers {
		if p.Zone != m.heartbeat.Zone {
			continue
		}
		mb := c.membership.Members[p.Node]
		if mb.IsReachable(now) && mb.Leader == c.Settings.Node && mb.KVReachableFor > 0 {
			mc.RedirectedAt = now
			return p.Node
		}
	}
	return ""
}

// shouldForward reports whether a heartbeat is forwarded to the leader.
func (c *Controller) shouldForward(m heartbeatMsg, leader string, now time.Time) bool {
	mb := c.membership.Members[leader]
	if mb == nil || m.unreachableLeader != "" || m.heartbeat.Zone != c.Settings.Zone || mb.Zone == c.Settings.Zone {
		return false
	}
	return mb.IsReachable(now) || mb.FailedPings == 1 || c.mayRetryLeader(m.heartbeat.Machine, now)
}

// mayRetryLeader reports whether a machine has not been redirected to an unreachable leader for a
// while, so that the leader may be tried again for it.
func (c *Controller) mayRetryLeader(machine string, now time.Time) bool {
	return now.Sub(c.redirectedAt[machine]) >= redirectRetryInterval
}

// redirect is the last redirect of a machine to the leader of a term.
type redirect struct {
	leader string
	term   uint64
	at     time.Time
	// forwardUntil is until when the machine's heartbeats are forwarded instead.
	forwardUntil time.Time
}

// redirectedBack reports whether a machine sends its heartbeat here although it was redirected to
// the leader a moment ago, or must have known the leader for long (settled). It cannot reach the
// leader, while this node can: its heartbeats are forwarded, or all machines of a leader that is
// partitioned from them would lose their tasks. After a while the machine is redirected again.
func (c *Controller) redirectedBack(machine, leader string, term uint64, settled bool, now time.Time) bool {
	last := c.redirects[machine]
	if last.leader != leader || last.term != term {
		last = redirect{leader: leader, term: term}
	}
	if now.Before(last.forwardUntil) {
		return true
	}
	since := now.Sub(last.at)
	if settled && since > 2*redirectRetryInterval || since > minRedirectReturn && since < redirectReturnWindow {
		last.at, last.forwardUntil = now, now.Add(redirectRetryInterval)
		c.redirects[strings.Clone(machine)] = last
		return true
	}
	if len(c.redirects) >= maxRedirects {
		clear(c.redirects)
	}
	c.redirects[strings.Clone(machine)] = redirect{leader: leader, term: term, at: now}
	return false
}

// recordRedirect records that a machine is redirected to a leader that this node cannot reach. A
// machine that returns cannot reach it either, and is not redirected again for a while: the attempt
// would take longer than its lease.
func (c *Controller) recordRedirect(machine string, now time.Time) {
	if len(c.redirectedAt) >= maxRedirects {
		clear(c.redirectedAt)
	}
	c.redirectedAt[strings.Clone(machine)] = now
}

const (
	// redirectInterval keeps a machine from being redirected to and fro.
	redirectInterval = 10 * time.Second
	// redirectRetryInterval is how long a machine that has returned is not redirected again.
	redirectRetryInterval = time.Minute
	// A machine that returns within minRedirectReturn was rejected by the leader, or this is a
	// delayed copy of its heartbeat. One that cannot reach the leader times out after a few
	// seconds, and may try the third node first: it returns within redirectReturnWindow.
	minRedirectReturn    = time.Second
	redirectReturnWindow = 15 * time.Second
	// maxRedirects is the size at which a map of redirects is emptied.
	maxRedirects = 10_000
)
