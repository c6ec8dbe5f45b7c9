package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// passTimeout bounds the way of a report over another node, so that the worker
// is answered well before it gives up.
const passTimeout = 1200 * time.Millisecond

// Report implements api.Backend.
func (c *Controller) Report(ctx context.Context, rep *api.Report) (api.ReportAnswer, error) {
	r, err := c.take(ctx, reportMsg{rep: rep})
	if err != nil || r.passTo == "" {
		return r.ans, err
	}
	pctx, cancel := context.WithTimeout(ctx, passTimeout)
	ans, err := c.Peers.Report(pctx, r.passTo, rep)
	cancel()
	var other *api.NotLeaderError
	if err == nil || errors.As(err, &other) {
		return ans, err
	}
	// The leader cannot be reached from here: its machines' leases are extended.
	r, err = c.take(ctx, reportMsg{rep: rep, unreached: r.passTo, refused: errors.Is(err, ErrRefused)})
	return r.ans, err
}

// PassedReport takes a report that came to another node.
func (c *Controller) PassedReport(ctx context.Context, rep *api.Report) (api.ReportAnswer, error) {
	r, err := c.take(ctx, reportMsg{rep: rep, passed: true})
	return r.ans, err
}

// take has the owner take a report in. The owner answers every report, late ones
// too, so nothing but the end of the controller cuts the wait short.
func (c *Controller) take(ctx context.Context, m reportMsg) (reportReply, error) {
	m.reply, m.came = make(chan reportReply, 1), time.Now()
	if err := c.send(ctx, m); err != nil {
		return reportReply{}, err
	}
	r, err := await(ctx, c, m.reply)
	if err != nil {
		return r, err
	}
	return r, r.err
}

// reportLife is how long a report may wait for the owner and still be answered
// before its worker gives up. After that its orders would be lost, and be taken
// for carried out by nobody: it is not processed at all, and the next one says
// more.
const reportLife = 3 * time.Second

type reportReply struct {
	ans api.ReportAnswer
	err error
	// passTo is the leader that should answer instead.
	passTo string
}

type reportMsg struct {
	rep   *api.Report
	reply chan reportReply
	// passed is set if another node has passed the report on, and unreached
	// names the leader if this node has tried to in vain.
	passed    bool
	unreached string
	// refused is set if its connections are refused.
	refused bool
	came    time.Time
}

func (m reportMsg) apply(c *Controller) {
	now := time.Now()
	switch {
	case now.Sub(m.came) > reportLife:
		m.reply <- reportReply{err: api.ErrUnavailable}
	case c.holdsLease():
		m.reply <- c.answerAsLeader(m, now)
	case m.passed || c.leaderTerm != nil:
		m.reply <- reportReply{err: &api.NotLeaderError{}}
	default:
		m.reply <- c.answerAsFollower(m, now)
	}
}

// answerAsLeader answers a report while this node may act as leader.
func (c *Controller) answerAsLeader(m reportMsg, now time.Time) reportReply {
	if node := c.nearer(m, now); node != "" {
		return reportReply{err: &api.NotLeaderError{Leader: node}}
	}
	if !c.leaderTerm.mayRenewLeases(now) && m.rep.Term <= c.leaderTerm.term.Number {
		return reportReply{err: api.ErrUnavailable}
	}
	ans, err := c.leaderTerm.report(m.rep, now)
	// A report that shows a later term has ended this node's own.
	if c.leaderTerm != nil {
		if mc := c.leaderTerm.machines[m.rep.Machine]; mc != nil {
			mc.passed = m.passed
		}
	}
	return reportReply{ans: ans, err: err}
}

// answerAsFollower passes a report on to the leader, sends its machine there, or
// answers it in the leader's stead.
func (c *Controller) answerAsFollower(m reportMsg, now time.Time) reportReply {
	leader := c.currentLeader(now)
	if c.passes(m, leader, now) {
		if c.membership.members[leader].isReachable(now) {
			c.up.dropOrders(m.rep.Machine)
		}
		return reportReply{passTo: leader}
	}
	if mb := c.membership.members[leader]; mb.isUnreachable() && (m.refused || mb.connectionRefused) && c.mayBeReached(m.rep.Machine, now) {
		// Only the connections between the nodes are refused, or the leader
		// restarts: the machine may well reach it itself. By now that knows,
		// too, not to send it back here.
		c.noteSent(m.rep.Machine, now)
		return reportReply{err: &api.NotLeaderError{Leader: leader}}
	}
	if mb := c.membership.members[leader]; m.unreached == "" && mb.isReachable(now) && mb.Term > 0 {
		settled := m.rep.Term == mb.Term && now.Sub(mb.termSeenAt) > c.Settings.Site.Workers.Lease()
		if c.cameBack(m.rep.Machine, leader, mb.Term, settled, now) {
			return reportReply{passTo: leader}
		}
		return reportReply{err: &api.NotLeaderError{Leader: leader}}
	}
	unreached := m.unreached == leader || !c.membership.members[leader].isReachable(now)
	if ans, ok := c.extendLease(m.rep, leader, unreached, now); ok {
		c.up.note(c, m.rep, &ans, now)
		return reportReply{ans: ans}
	}
	return reportReply{err: &api.NotLeaderError{Leader: leader}}
}

// Machines of another zone than the leader's report through a node of their
// own zone, which passes their reports on. When the zones can no longer reach
// each other, that node answers them without a break; looking for it then, one
// silent node after the other, would take longer than their lease.

// nearer names the node that a machine should rather report to, if any.
func (c *Controller) nearer(m reportMsg, now time.Time) string {
	mc := c.leaderTerm.machines[m.rep.Machine]
	if m.passed || m.rep.Zone == c.Settings.Zone || mc == nil || !mc.heard || mc.zone != m.rep.Zone ||
		m.rep.Term != c.leaderTerm.term.Number || now.Sub(mc.sentOn) < sendOnEvery {
		return ""
	}
	for _, p := range c.Settings.Peers {
		if mb := c.membership.members[p.Node]; p.Zone == m.rep.Zone && mb.isReachable(now) && mb.Leader == c.Settings.Node && mb.KVReachableFor > 0 {
			mc.sentOn = now
			return p.Node
		}
	}
	return ""
}

// sendOnEvery keeps a machine from being sent to and fro.
const sendOnEvery = 10 * time.Second

// passes tells whether a report is passed on to the leader.
func (c *Controller) passes(m reportMsg, leader string, now time.Time) bool {
	mb := c.membership.members[leader]
	return mb != nil && m.unreached == "" && m.rep.Zone == c.Settings.Zone && mb.zone != c.Settings.Zone &&
		(mb.isReachable(now) || mb.failedPings == 1 || c.mayBeReached(m.rep.Machine, now))
}

// mayBeReached tells whether it is time to try the leader's connection again
// for a machine that has not been sent on.
func (c *Controller) mayBeReached(machine string, now time.Time) bool {
	return now.Sub(c.sent[machine]) >= sendOnAgain
}

// directed is when a machine was last told to report to a leader of a term.
type directed struct {
	leader string
	term   uint64
	at     time.Time
	// pass is until when its reports are passed on instead.
	pass time.Time
}

// cameBack tells whether a machine reports here although it was told just now
// who leads, or must have known it for long (settled). It cannot reach the
// leader, while this node can: its reports are passed on, or all machines of a
// leader that loses the way to them would lose their tasks. After a while it is
// told again.
func (c *Controller) cameBack(machine, leader string, term uint64, settled bool, now time.Time) bool {
	d := c.directed[machine]
	if d.leader != leader || d.term != term {
		d = directed{leader: leader, term: term}
	}
	if now.Before(d.pass) {
		return true
	}
	since := now.Sub(d.at)
	if settled && since > 2*sendOnAgain || since > cameAtOnce && since < cameBackWithin {
		d.at, d.pass = now, now.Add(sendOnAgain)
		c.directed[strings.Clone(machine)] = d
		return true
	}
	if len(c.directed) >= maxSent {
		clear(c.directed)
	}
	c.directed[strings.Clone(machine)] = directed{leader: leader, term: term, at: now}
	return false
}

// noteSent notes that a machine is sent to the leader itself. One that comes
// back cannot reach it either, and is not sent again for a while: trying would
// take longer than its lease.
func (c *Controller) noteSent(machine string, now time.Time) {
	if len(c.sent) >= maxSent {
		clear(c.sent)
	}
	c.sent[strings.Clone(machine)] = now
}

const (
	sendOnAgain = time.Minute
	// A machine that comes again at once was refused by the leader, or is a
	// copy that comes late; one that waits for the leader in vain gives up
	// after a few seconds, and may ask the third node first.
	cameAtOnce     = time.Second
	cameBackWithin = 15 * time.Second
	maxSent        = 10_000
)
