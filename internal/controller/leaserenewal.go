package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/records"
)

// leaseRenewer answers heartbeats on the leader's behalf while the leader is unreachable from this
// node, so that machines on this side of a partition, or machines whose leader is restarting, do
// not kill their tasks. Its responses start no tasks. They renew the task leases under the leader's
// term and stop the tasks of ended jobs, because a cancellation must take effect in time.
//
// It may do so for a bounded time, which begins either at the time up to which the leader had all
// cancellations, according to its last response to a ping, or when the key-value store confirmed
// that the leader's term is the current one and which jobs are active. The tasks of a job that is
// cancelled after that still end in time, because the leases of their machines expire by then. A
// later leader treats the machines as unfenced until they send it a heartbeat, so no task is
// started twice.
type leaseRenewer struct {
	leader string
	// tokens are the fencing tokens of the leader's term.
	tokens election.TokenRange
	// verifiedAt is the beginning of the renewalPeriod during which leases may be renewed.
	verifiedAt time.Time
	// termRevision is the version of the term key as last read from the store; 0 if not read.
	termRevision uint64
	// leaderUnreachable is set while the leader is unreachable.
	leaderUnreachable bool
	// activeJobs holds the ids of the active jobs as last read from the store; nil if not read.
	activeJobs map[string]bool
	// renewedAt holds, by machine, when this node last renewed the machine's lease.
	renewedAt map[string]time.Time
}

// term returns the number of the leader's term, or 0 if it is not known.
func (lr *leaseRenewer) term() uint64 { return lr.tokens.Last }

const (
	// maxVerificationAge is how long after the term was read from the store this node answers
	// machines that last saw an earlier term.
	maxVerificationAge = 5 * time.Second
	// renewalLifetime is how long the leader relies on a renewal that another node published.
	renewalLifetime = 8 * time.Second
	// renewalMargin is subtracted, besides the task lease and two heartbeat intervals, from the
	// time within which a cancellation must take effect, because one watch may delay a cancellation.
	renewalMargin = watchTimeout + time.Second
	// verifyTimeout limits the verification of a term, including the publication of renewals.
	verifyTimeout = 2 * time.Second
)

// renewalPeriod returns how long after verifiedAt this node may renew leases.
func (c *Controller) renewalPeriod() time.Duration {
	w := c.Settings.Site.Workers
	return config.Duration(w.CancelS) - w.Lease() - 2*w.HeartbeatInterval() - renewalMargin
}

// renewOnBehalf answers a heartbeat on the leader's behalf, and reports whether this node may do so.
func (c *Controller) renewOnBehalf(
	hb *api.Heartbeat, leader string, unreachable bool, now time.Time,
) (api.HeartbeatResponse, bool) {
	lr := &c.leaseRenewer
	if !lr.leaderUnreachable && !unreachable || leader == "" || leader != lr.leader {
		return api.HeartbeatResponse{}, false
	}
	if now.Sub(lr.verifiedAt) > c.renewalPeriod() || lr.term() == 0 || !lr.mayRespond(hb.Token, now) {
		return api.HeartbeatResponse{}, false
	}
	hasEnded := func(id string) bool { return lr.activeJobs != nil && !lr.activeJobs[id] }
	token := max(hb.Token, lr.tokens.First)
	response := api.HeartbeatResponse{Token: token, Commands: c.stopCommands(hb, hasEnded)}
	if lr.renewedAt == nil {
		lr.renewedAt = map[string]time.Time{}
	}
	lr.renewedAt[strings.Clone(hb.Machine)] = now
	return response, true
}

// mayRespond reports whether a heartbeat from a machine with the given fencing token may be
// answered. A machine with a token of an earlier term is answered only if the current one was read
// from the store within maxVerificationAge. The new leader, which the machine cannot reach, treats
// it as unfenced until its next heartbeat arrives through the store.
func (lr *leaseRenewer) mayRespond(token uint64, now time.Time) bool {
	if lr.tokens.Contains(token) {
		return true
	}
	return token < lr.tokens.First && lr.activeJobs != nil && now.Sub(lr.verifiedAt) < maxVerificationAge
}

// reset applies a response of the leader to a ping: the leader is reachable and had all
// cancellations up to verifiedAt.
func (lr *leaseRenewer) reset(leader string, tokens election.TokenRange, verifiedAt time.Time) {
	*lr = leaseRenewer{leader: leader, tokens: tokens, verifiedAt: verifiedAt}
}

// verifyUnreachableLeader verifies the term of an unreachable node if that is the leader, so that
// this node may renew the leases of its machines. It is called at intervals while the node is
// unreachable.
func (c *Controller) verifyUnreachableLeader(ctx context.Context, node string) {
	query := followedLeaderRequestMsg{reply: make(chan followedLeader, 1)}
	followed, err := request(ctx, c, query, query.reply)
	if err != nil || followed.leader != node || c.send(ctx, leaderUnreachableMsg{node}) != nil {
		return
	}
	verified, err := c.verifyTerm(ctx, followed)
	if err != nil {
		c.Log.Debug("verifying term of unreachable leader failed", "leader", node, "err", err)
		return
	}
	c.sendOrDrop(ctx, verified)
}

// verifyTerm reads from the store whether a node is still the leader and which jobs are active, and
// publishes the machines whose leases this node renews.
func (c *Controller) verifyTerm(ctx context.Context, followed followedLeader) (m termVerifiedMsg, err error) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	m = termVerifiedMsg{leader: followed.leader, verifiedAt: time.Now()}
	leaderEntry, err := c.Store.Get(ctx, election.LeaderKey)
	if err != nil {
		return m, err
	}
	var leader election.LeaderRecord
	err = json.Unmarshal(leaderEntry.Value, &leader)
	if leaderEntry.ModRevision == 0 || err != nil || leader.Node != followed.leader {
		return m, fmt.Errorf("node %s is not the recorded leader: %w", followed.leader, api.ErrUnavailable)
	}
	termEntry, err := c.Store.Get(ctx, election.TermKey)
	if err != nil {
		return m, err
	}
	var term election.TermRecord
	if err := json.Unmarshal(termEntry.Value, &term); err != nil {
		return m, fmt.Errorf("decode term key: %w", err)
	}
	m.tokens, m.termRevision = term.Tokens(), termEntry.ModRevision
	if m.activeJobs, err = c.readActiveJobs(ctx); err != nil {
		return m, err
	}
	if len(followed.machines) > 0 {
		c.publishRenewals(ctx, followed.machines, m.tokens.Last, m.termRevision)
	}
	return m, nil
}

// readActiveJobs reads the ids of all active jobs from the store.
func (c *Controller) readActiveJobs(ctx context.Context) (map[string]bool, error) {
	jobs := map[string]bool{}
	for from := ""; ; {
		page, err := c.Store.Range(ctx, records.ActivePrefix, from, rangePageSize)
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			jobs[strings.TrimPrefix(e.Key, records.ActivePrefix)] = true
			from = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return jobs, nil
		}
	}
}

// followedLeaderRequestMsg requests the leader that this node follows and the machines whose leases
// it renews on the leader's behalf.
type followedLeaderRequestMsg struct{ reply chan followedLeader }

// followedLeader is the reply to followedLeaderRequestMsg.
type followedLeader struct {
	leader   string
	machines []string
}

func (m followedLeaderRequestMsg) apply(c *Controller) {
	followed := followedLeader{leader: c.leader}
	now := time.Now()
	for name, renewedAt := range c.leaseRenewer.renewedAt {
		if now.Sub(renewedAt) > renewalLifetime {
			delete(c.leaseRenewer.renewedAt, name)
			continue
		}
		followed.machines = append(followed.machines, name)
	}
	m.reply <- followed
}

// leaderUnreachableMsg reports that the leader does not respond to pings.
type leaderUnreachableMsg struct{ leader string }

func (m leaderUnreachableMsg) apply(c *Controller) {
	lr := &c.leaseRenewer
	if lr.leader == m.leader && !lr.leaderUnreachable {
		c.Log.Info("leases renewed on behalf of unreachable leader", "leader", m.leader, "term", lr.term())
		lr.leaderUnreachable = true
	}
}

// termVerifiedMsg delivers the term and the active jobs as read from the store.
type termVerifiedMsg struct {
	leader       string
	tokens       election.TokenRange
	activeJobs   map[string]bool
	verifiedAt   time.Time
	termRevision uint64
}

func (m termVerifiedMsg) apply(c *Controller) {
	lr := &c.leaseRenewer
	if m.leader != c.leader {
		return
	}
	if lr.leader != m.leader || lr.term() != m.tokens.Last {
		// Another term has begun, or this node has restarted during a partition.
		*lr = leaseRenewer{leader: m.leader, leaderUnreachable: true}
	}
	lr.tokens = m.tokens
	lr.activeJobs, lr.verifiedAt, lr.termRevision = m.activeJobs, m.verifiedAt, m.termRevision
}
