package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// leaseRenewer answers heartbeats on the leader's behalf while the leader is unreachable from
// here, so that the machines on this side of a partition, or those of a leader that restarts, do
// not kill their tasks. It starts nothing: its responses renew the task leases under the leader's
// term, and stop the tasks of jobs that have ended, since a cancellation must reach them in time.
//
// It may do so for a bounded time after a moment before which the leader knew all cancellations,
// as its last response to a ping stated, or after the store has shown that the leader's term is
// the present one and which jobs are active. The tasks of a job that is cancelled later than that
// still end in time, because the leases of their machines have expired by then. A later leader
// treats the machines as unfenced until they send it a heartbeat, so nothing is started twice.
type leaseRenewer struct {
	leader string
	term   uint64
	// verifiedAt is the moment after which renewal is allowed for renewalPeriod.
	verifiedAt time.Time
	// termRevision is the version of the term key, if the store has shown it.
	termRevision uint64
	// leaderUnreachable is set while the leader is unreachable.
	leaderUnreachable bool
	// activeJobs are the active jobs as the store last showed them; nil: not known.
	activeJobs map[string]bool
	// renewedAt holds, by machine, when its lease was last renewed here.
	renewedAt map[string]time.Time
}

const (
	// maxVerificationAge is how recently the store must have shown a term for machines of an
	// earlier one to be answered in it.
	maxVerificationAge = 5 * time.Second
	// renewalLifetime is how long the leader relies on a renewal that another node published.
	renewalLifetime = 8 * time.Second
	// renewalMargin is kept in reserve of the time in which a cancellation must take effect,
	// besides two heartbeats: a cancellation may be late by one watch.
	renewalMargin = watchTimeout + time.Second
	// verifyTimeout is the time limit of verifying a term and publishing renewals.
	verifyTimeout = 2 * time.Second
	// renewalsReadInterval is how often the leader reads the renewals of other nodes, and
	// renewalsReadTimeout the time limit of that.
	renewalsReadInterval = 2 * time.Second
	renewalsReadTimeout  = 2 * time.Second
)

// renewalPeriod returns for how long after verifiedAt leases may be renewed here.
func (c *Controller) renewalPeriod() time.Duration {
	w := c.Settings.Site.Workers
	return config.Duration(w.CancelS) - w.Lease() - 2*w.HeartbeatInterval() - renewalMargin
}

// renewOnBehalf answers a heartbeat on the leader's behalf, if this node may.
func (c *Controller) renewOnBehalf(
	hb *api.Heartbeat, leader string, unreachable bool, now time.Time,
) (api.HeartbeatResponse, bool) {
	lr := &c.leaseRenewer
	if !lr.leaderUnreachable && !unreachable || leader == "" || leader != lr.leader {
		return api.HeartbeatResponse{}, false
	}
	if now.Sub(lr.verifiedAt) > c.renewalPeriod() || lr.term == 0 || !lr.mayRespond(hb.Term, now) {
		return api.HeartbeatResponse{}, false
	}
	hasEnded := func(id string) bool { return lr.activeJobs != nil && !lr.activeJobs[id] }
	response := api.HeartbeatResponse{Term: lr.term, Commands: c.stopCommands(hb, hasEnded)}
	if lr.renewedAt == nil {
		lr.renewedAt = map[string]time.Time{}
	}
	lr.renewedAt[strings.Clone(hb.Machine)] = now
	return response, true
}

// mayRespond reports whether a machine that last saw a term may be answered in the present one. A
// machine that saw an earlier term learns the present one here, if the store has just shown it:
// the new leader, which it cannot reach, treats it as unfenced until its next heartbeat arrives
// through the store.
func (lr *leaseRenewer) mayRespond(term uint64, now time.Time) bool {
	return term == lr.term || (term < lr.term && lr.activeJobs != nil && now.Sub(lr.verifiedAt) < maxVerificationAge)
}

// reset applies the leader's response to a ping: it is reachable, and knew all cancellations
// before verifiedAt.
func (lr *leaseRenewer) reset(leader string, term uint64, verifiedAt time.Time) {
	*lr = leaseRenewer{leader: leader, term: term, verifiedAt: verifiedAt}
}

// verifyUnreachableLeader is called at intervals while a node is unreachable: if it leads, its term is
// verified, so that the leases of its machines may be renewed here.
func (c *Controller) verifyUnreachableLeader(ctx context.Context, node string) {
	query := followedLeaderRequestMsg{reply: make(chan followedLeader, 1)}
	followed, err := request(ctx, c, query, query.reply)
	if err != nil || followed.leader != node || c.send(ctx, leaderUnreachableMsg{node}) != nil {
		return
	}
	verified, err := c.verifyTerm(ctx, followed)
	if err != nil {
		c.Log.Debug("verification of unreachable leader's term failed", "leader", node, "err", err)
		return
	}
	c.sendOrDrop(ctx, verified)
}

// verifyTerm reads from the store whether a leader still leads and which jobs are active, and
// publishes which machines' leases are renewed here.
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
		return m, fmt.Errorf("%s does not lead: %w", followed.leader, api.ErrUnavailable)
	}
	termEntry, err := c.Store.Get(ctx, election.TermKey)
	if err != nil {
		return m, err
	}
	var term election.TermRecord
	if err := json.Unmarshal(termEntry.Value, &term); err != nil {
		return m, fmt.Errorf("term key: %w", err)
	}
	m.term, m.termRevision = term.Number, termEntry.ModRevision
	if m.activeJobs, err = c.readActiveJobs(ctx); err != nil {
		return m, err
	}
	if len(followed.machines) > 0 {
		c.publishRenewals(ctx, followed.machines, m.term, m.termRevision)
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

// maxRenewalRecords is how many records of lease renewals a leader reads. Versions from before it
// read more than a hundred read only those; values of 2 KiB and more hold some 4,000 machines in
// fewer.
const maxRenewalRecords = 1000

// renewalOpOverheadBytes is reserved for each put of a transaction, beside its value.
const renewalOpOverheadBytes = 200

// publishRenewals writes which machines' leases are renewed here. A list that does not fit in one
// record continues under further keys: leaders read each record under the prefix by itself,
// whatever follows the node's name. A record that is not written again with the others expires.
func (c *Controller) publishRenewals(ctx context.Context, hosts []string, term, modRevision uint64) {
	lim := c.Settings.Site.State
	maxRecords := max(1, maxRenewalRecords/(len(c.Settings.Peers)+1))
	for maxBytes := min(int(lim.ValueKB*1024), kv.MaxTxnBytes/2); maxBytes > 0; maxBytes /= 2 {
		recs := renewalRecords(hosts, term, maxBytes)
		if len(recs) > maxRecords {
			// No leader would read the rest. Which machines are left out is left to chance,
			// by the order of the list: otherwise it would be the same ones each time, which
			// would be probed, and perhaps terminated.
			c.Log.Warn("lease renewals left out", "machines", len(hosts), "records", len(recs), "max", maxRecords)
			recs = recs[:maxRecords]
		}
		maxOps := max(1, min(lim.TxnOps, kv.MaxTxnBytes*3/4/(maxBytes+renewalOpOverheadBytes)))
		err := c.writeRenewals(ctx, recs, modRevision, maxOps)
		if err == nil {
			return
		}
		if !errors.Is(err, kv.ErrInvalid) {
			c.Log.Debug("write of lease renewals failed", "err", err)
			return
		}
		c.Log.Error("lease renewals rejected as too large", "bytes", maxBytes)
	}
}

// writeRenewals writes records of lease renewals, at most maxOps in a transaction, as long as the
// term key has a version.
func (c *Controller) writeRenewals(
	ctx context.Context, recs []records.LeaseRenewalRecord, modRevision uint64, maxOps int,
) error {
	txn := kv.Txn{Compares: []kv.Compare{{Key: election.TermKey, ModRevision: modRevision}}}
	for i, rec := range recs {
		key := records.LeaseRenewalPrefix + c.Settings.Node
		if i > 0 {
			key += "/" + strconv.Itoa(i+1)
		}
		txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: rec})
		if len(txn.Ops) < maxOps && i < len(recs)-1 {
			continue
		}
		res, err := c.Store.Txn(ctx, txn)
		if err != nil || !res.Succeeded {
			return err
		}
		txn.Ops = nil
	}
	return nil
}

// renewalRecords distributes machines over records of at most maxBytes each.
func renewalRecords(hosts []string, term uint64, maxBytes int) (recs []records.LeaseRenewalRecord) {
	const frameBytes = 48 // of a record, beside the names
	size := 0
	for _, name := range hosts {
		raw, err := json.Marshal(name)
		if err != nil || frameBytes+len(raw)+1 > maxBytes {
			continue // such a name is in no registry either
		}
		if len(recs) == 0 || size+len(raw)+1 > maxBytes {
			recs, size = append(recs, records.LeaseRenewalRecord{Term: term}), frameBytes
		}
		last := &recs[len(recs)-1]
		last.Hosts = append(last.Hosts, name)
		size += len(raw) + 1
	}
	return recs
}

// followedLeaderRequestMsg requests which leader this node follows, and which machines' leases it
// renews on that leader's behalf.
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

// leaderUnreachableMsg means that the leader does not answer pings.
type leaderUnreachableMsg struct{ leader string }

func (m leaderUnreachableMsg) apply(c *Controller) {
	lr := &c.leaseRenewer
	if lr.leader == m.leader && !lr.leaderUnreachable {
		c.Log.Info("leases renewed on behalf of unreachable leader", "leader", m.leader, "term", lr.term)
		lr.leaderUnreachable = true
	}
}

// termVerifiedMsg carries the term and the active jobs as the store has shown them.
type termVerifiedMsg struct {
	leader       string
	term         uint64
	activeJobs   map[string]bool
	verifiedAt   time.Time
	termRevision uint64
}

func (m termVerifiedMsg) apply(c *Controller) {
	lr := &c.leaseRenewer
	if m.leader != c.leader {
		return
	}
	if lr.leader != m.leader || lr.term != m.term {
		// Another term has begun, or this node was restarted during a partition.
		*lr = leaseRenewer{leader: m.leader, term: m.term, leaderUnreachable: true}
	}
	lr.activeJobs, lr.verifiedAt, lr.termRevision = m.activeJobs, m.verifiedAt, m.termRevision
}

// readRenewals reads, every few seconds, which machines' leases other nodes renew.
func (lt *leaderTerm) readRenewals(now time.Time) {
	if now.Sub(lt.renewalsReadAt) < renewalsReadInterval {
		return
	}
	lt.renewalsReadAt = now
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, renewalsReadTimeout)
		defer cancel()
		// A page holds no more than the store allows, so there may be several.
		for from, left := "", maxRenewalRecords; left > 0; {
			page, err := lt.c.Store.Range(ctx, records.LeaseRenewalPrefix, from, left)
			if err != nil {
				lt.c.Log.Debug("read of lease renewals failed", "err", err)
				return
			}
			lt.sendToOwner(renewalsReadMsg{lt, page.Entries})
			if !page.More || len(page.Entries) == 0 {
				return
			}
			from, left = page.Entries[len(page.Entries)-1].Key, left-len(page.Entries)
		}
	}()
}

// renewalsReadMsg carries a page of other nodes' lease renewals.
type renewalsReadMsg struct {
	leaderTerm *leaderTerm
	entries    []kv.Entry
}

func (m renewalsReadMsg) apply(*Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	now := time.Now()
	for _, e := range m.entries {
		if lt.renewalRevisions[e.Key] == e.ModRevision {
			continue // not written since it was last read
		}
		lt.renewalRevisions[e.Key] = e.ModRevision
		var rec records.LeaseRenewalRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil || rec.Term != lt.term.Number {
			continue
		}
		for _, name := range rec.Hosts {
			if mc := lt.machines[name]; mc != nil {
				mc.LeaseRenewedUntil = now.Add(renewalLifetime)
			}
		}
	}
}
