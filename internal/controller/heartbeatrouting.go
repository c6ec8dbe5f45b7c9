package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// forwardTimeout is the time limit for forwarding a heartbeat to another node. It leaves time to
// respond to the agent before the agent times out.
const forwardTimeout = 1200 * time.Millisecond

// Heartbeat implements api.Backend.
func (c *Controller) Heartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	reply, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb})
	if err != nil || reply.forwardTo == "" {
		return reply.response, err
	}
	forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	response, err := c.Peers.ForwardHeartbeat(forwardCtx, reply.forwardTo, hb)
	cancel()
	var notLeader *api.NotLeaderError
	if err == nil || errors.As(err, &notLeader) {
		return response, err
	}
	// The leader is unreachable from this node, which may renew the machine's lease on the
	// leader's behalf.
	reply, err = c.submitHeartbeat(ctx, heartbeatMsg{
		heartbeat:         hb,
		unreachableLeader: reply.forwardTo,
		connectionRefused: errors.Is(err, ErrConnectionRefused),
	})
	return reply.response, err
}

// ForwardedHeartbeat handles a heartbeat that another node forwards to this one.
func (c *Controller) ForwardedHeartbeat(ctx context.Context, hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	reply, err := c.submitHeartbeat(ctx, heartbeatMsg{heartbeat: hb, forwarded: true})
	return reply.response, err
}

// submitHeartbeat sends a heartbeat to the owner goroutine and waits for its reply. The owner replies
// to every heartbeat, including late ones, so the wait ends early only if the request is cancelled
// or the controller ends.
func (c *Controller) submitHeartbeat(ctx context.Context, msg heartbeatMsg) (heartbeatReply, error) {
	msg.reply, msg.receivedAt = make(chan heartbeatReply, 1), time.Now()
	reply, err := request(ctx, c, msg, msg.reply)
	if err != nil {
		return reply, err
	}
	return reply, reply.err
}

// maxHeartbeatQueueTime is how long a heartbeat may wait in the owner's mailbox. The agent may time
// out before it receives a later response: the commands in that response would be lost, and would
// never count as applied. A heartbeat that waits longer is rejected; the next one is more recent.
const maxHeartbeatQueueTime = 3 * time.Second

// heartbeatReply is the owner goroutine's reply to a heartbeat.
type heartbeatReply struct {
	response api.HeartbeatResponse
	err      error
	// forwardTo is the leader to forward the heartbeat to, or "".
	forwardTo string
}

// heartbeatMsg carries a heartbeat to the owner goroutine.
type heartbeatMsg struct {
	heartbeat *api.Heartbeat
	reply     chan heartbeatReply
	// forwarded is set if another node forwarded the heartbeat.
	forwarded bool
	// unreachableLeader is the leader to which this node failed to forward the heartbeat, or "".
	unreachableLeader string
	// connectionRefused is set if that leader refused the connection.
	connectionRefused bool
	receivedAt        time.Time
}

func (m heartbeatMsg) apply(c *Controller) {
	now := time.Now()
	isLate := now.Sub(m.receivedAt) > maxHeartbeatQueueTime
	if isLate || !c.holdsLease() || !c.leaderTerm.loaded {
		c.recordCompletions(m.heartbeat, now)
	}
	switch {
	case isLate:
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
func (c *Controller) answerAsLeader(msg heartbeatMsg, now time.Time) heartbeatReply {
	if node := c.zoneRedirectTarget(msg, now); node != "" {
		return heartbeatReply{err: &api.NotLeaderError{Leader: node}}
	}
	if !c.leaderTerm.mayRenewLeases(now) && msg.heartbeat.Token <= c.leaderTerm.term.Tokens().Last {
		return heartbeatReply{err: api.ErrUnavailable}
	}
	response, err := c.leaderTerm.handleAgentHeartbeat(msg.heartbeat, now)
	// leaderTerm is nil if the heartbeat showed a later term, so that this node stepped down.
	if c.leaderTerm != nil {
		if machine := c.leaderTerm.machines[msg.heartbeat.Machine]; machine != nil {
			machine.LastHeartbeatForwarded = msg.forwarded
		}
	}
	return heartbeatReply{response: response, err: err}
}

// answerAsFollower decides whether a heartbeat is forwarded to the leader, its machine is redirected
// there, or the machine's lease is renewed on the leader's behalf.
func (c *Controller) answerAsFollower(msg heartbeatMsg, now time.Time) heartbeatReply {
	leader := c.currentLeader(now)
	member := c.membership.Members[leader]
	if c.shouldForward(msg, leader, now) {
		if member.IsReachable(now) {
			c.uplink.dropCommands(msg.heartbeat.Machine)
		}
		return heartbeatReply{forwardTo: leader}
	}
	refused := member.IsUnreachable() && (msg.connectionRefused || member.ConnectionRefused)
	if refused && c.mayRetryLeader(msg.heartbeat.Machine, now) {
		// Either only the connections between the nodes are refused, or the leader is
		// restarting, so the machine itself may reach it. By now the leader also counts this
		// node as unreachable, and does not redirect the machine back here.
		c.recordLeaderRetry(msg.heartbeat.Machine, now)
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	if msg.unreachableLeader == "" && member.IsReachable(now) && member.Term > 0 {
		settled := member.Tokens().Contains(msg.heartbeat.Token) &&
			now.Sub(member.TermSeenAt) > c.Settings.Site.Workers.Lease()
		if c.forwardAfterRedirect(msg.heartbeat.Machine, leader, member.Term, settled, now) {
			return heartbeatReply{forwardTo: leader}
		}
		return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
	}
	unreachable := msg.unreachableLeader == leader || !member.IsReachable(now)
	if response, ok := c.renewOnBehalf(msg.heartbeat, leader, unreachable, now); ok {
		c.uplink.recordHeartbeat(msg.heartbeat, &response, c.leaseRenewer.term(), now)
		return heartbeatReply{response: response}
	}
	return heartbeatReply{err: &api.NotLeaderError{Leader: leader}}
}

// zoneRedirectTarget returns the node of the machine's own zone that the leader redirects the machine
// to, or "" if the leader handles the heartbeat itself.
//
// Machines outside the leader's zone send heartbeats to a node of their own zone, which forwards
// them. If the zones are partitioned, that node continues to answer them without interruption. A
// machine that had to find the node only then would try one unreachable node after another, which
// takes longer than its lease.
func (c *Controller) zoneRedirectTarget(msg heartbeatMsg, now time.Time) string {
	machine := c.leaderTerm.machines[msg.heartbeat.Machine]
	if msg.forwarded || msg.heartbeat.Zone == c.Settings.Zone ||
		machine == nil || !machine.Fenced || machine.Zone != msg.heartbeat.Zone ||
		!c.leaderTerm.term.Tokens().Contains(msg.heartbeat.Token) || now.Sub(machine.RedirectedAt) < redirectInterval {
		return ""
	}
	for _, p := range c.Settings.Peers {
		if p.Zone != msg.heartbeat.Zone {
			continue
		}
		member := c.membership.Members[p.Node]
		if member.IsReachable(now) && member.Leader == c.Settings.Node && member.KVReachableFor > 0 {
			machine.RedirectedAt = now
			return p.Node
		}
	}
	return ""
}

// shouldForward reports whether a heartbeat is forwarded to the leader: the machine is in this node's
// zone and the leader in another, forwarding has not failed for this heartbeat yet, and the leader is
// reachable, has missed only one ping, or may be tried again.
func (c *Controller) shouldForward(msg heartbeatMsg, leader string, now time.Time) bool {
	member := c.membership.Members[leader]
	if member == nil || msg.unreachableLeader != "" ||
		msg.heartbeat.Zone != c.Settings.Zone || member.Zone == c.Settings.Zone {
		return false
	}
	return member.IsReachable(now) || member.FailedPings == 1 || c.mayRetryLeader(msg.heartbeat.Machine, now)
}

// mayRetryLeader reports whether the unreachable leader may be tried again for a machine, because the
// machine was not redirected to such a leader within redirectRetryInterval.
func (c *Controller) mayRetryLeader(machine string, now time.Time) bool {
	return now.Sub(c.redirectedAt[machine]) >= redirectRetryInterval
}

// redirect records the last redirect of a machine to the leader of a term.
type redirect struct {
	leader string
	term   uint64
	at     time.Time
	// forwardUntil is the time until which the machine's heartbeats are forwarded instead.
	forwardUntil time.Time
}

// forwardAfterRedirect reports whether a machine's heartbeats are forwarded to the leader because the
// machine apparently cannot reach it; otherwise it records that the machine is redirected there.
// Evidence is that the machine returns shortly after a redirect, or that it sends its heartbeats here
// although it has had the leader's term for longer than a lease (settled) and was not redirected within
// the last two redirectRetryIntervals. Without forwarding, all
// machines that are partitioned from a leader which this node reaches would lose their tasks. After
// redirectRetryInterval the machine is redirected again.
func (c *Controller) forwardAfterRedirect(machine, leader string, term uint64, settled bool, now time.Time) bool {
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

// recordLeaderRetry records that a machine is redirected to a leader that this node cannot reach. If
// the machine returns, it cannot reach the leader either. It is then not redirected again within
// redirectRetryInterval, since trying the leader takes longer than the machine's lease.
func (c *Controller) recordLeaderRetry(machine string, now time.Time) {
	if len(c.redirectedAt) >= maxRedirects {
		clear(c.redirectedAt)
	}
	c.redirectedAt[strings.Clone(machine)] = now
}

const (
	// redirectInterval is the minimum time between two redirects of a machine by the leader. It
	// prevents two nodes from redirecting the machine to each other repeatedly.
	redirectInterval = 10 * time.Second
	// redirectRetryInterval is how long a machine that returned is not redirected again.
	redirectRetryInterval = time.Minute
	// minRedirectReturn is the time after a redirect up to which a heartbeat does not show that the
	// machine cannot reach the leader: the leader rejected it, or the heartbeat is a delayed copy.
	minRedirectReturn = time.Second
	// redirectReturnWindow is the time within which a machine that cannot reach the leader returns.
	// Its request times out after a few seconds, and it may try the third node first.
	redirectReturnWindow = 15 * time.Second
	// maxRedirects is the size at which a map of redirects is cleared.
	maxRedirects = 10_000
)
