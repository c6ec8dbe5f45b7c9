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

// leaseRenewer answers reports in the leader's stead while the leader cannot be
// reached from here, so that the machines on this side of a cut, or those of a
// leader that restarts, do not kill their tasks. It starts nothing: its
// answers renew the lease under the leader's term, and stop the tasks of jobs
// that are over, since a cancellation must reach them in time.
//
// It is entitled to that for a bounded time after a moment before which the
// leader knew of all cancellations, as it told in its last answer to a ping, or
// after the store has shown that the leader's term is the present one and which
// jobs are active: a job that is cancelled later than that is still gone from
// the machines in time, because their leases have ended by then. A later leader treats the
// machines as unheard until they report to it, so nothing is started twice.
type leaseRenewer struct {
	leader     string
	term       uint64
	verifiedAt time.Time
	// termRevision is the version of the term key, if the store has shown it.
	termRevision uint64
	// leaderAway is set while the leader cannot be reached.
	leaderAway bool
	// activeJobs are the active jobs as the store last showed; nil: not known.
	activeJobs map[string]bool
	machines   map[string]time.Time
}

const (
	// recentlyVerified is how recently the store must have shown a term for machines
	// to be told of it.
	recentlyVerified = 5 * time.Second
	// renewalLifetime is how long the leader relies on what another node published.
	renewalLifetime = 8 * time.Second
	// renewalMargin is kept back of the time that a cancellation has, besides two
	// reports: what is told of a cancellation may be late by one watch.
	renewalMargin = watchTimeout + time.Second
)

// renewalPeriod is how long after it was last verified leases may be extended here.
func (c *Controller) renewalPeriod() time.Duration {
	w := c.Settings.Site.Workers
	return config.Duration(w.CancelS) - w.Lease() - 2*w.HeartbeatInterval() - renewalMargin
}

// renewOnBehalf answers a report in the leader's stead, if this node may.
func (c *Controller) renewOnBehalf(hb *api.Heartbeat, leader string, unreached bool, now time.Time) (api.HeartbeatResponse, bool) {
	lr := &c.leaseRenewer
	if !(lr.leaderAway || unreached) || leader == "" || leader != lr.leader || now.Sub(lr.verifiedAt) > c.renewalPeriod() || lr.term == 0 || !lr.mayRespond(hb.Term, now) {
		return api.HeartbeatResponse{}, false
	}
	over := func(id string) bool { return lr.activeJobs != nil && !lr.activeJobs[id] }
	response := api.HeartbeatResponse{Term: lr.term, Commands: c.stopCancelled(hb, over)}
	if lr.machines == nil {
		lr.machines = map[string]time.Time{}
	}
	lr.machines[strings.Clone(hb.Machine)] = now
	return response, true
}

// mayRespond tells whether a machine may be answered in the present term. One that
// has not heard of it learns it here, if the store has just shown it: the new
// leader, out of its reach, takes it for unheard until its next report arrives
// through the store.
func (lr *leaseRenewer) mayRespond(term uint64, now time.Time) bool {
	return term == lr.term || (term < lr.term && lr.activeJobs != nil && now.Sub(lr.verifiedAt) < recentlyVerified)
}

// reset processes the leader's answer to a ping.
func (lr *leaseRenewer) reset(leader string, term uint64, at time.Time) {
	*lr = leaseRenewer{leader: leader, term: term, verifiedAt: at}
}

// renewOnBehalfLoop is called while a node cannot be reached: if it leads, the leases of its machines
// are extended from here.
func (c *Controller) renewOnBehalfLoop(ctx context.Context, node string) {
	ask := followedLeaderRequestMsg{reply: make(chan followedLeader, 1)}
	if c.send(ctx, ask) != nil {
		return
	}
	a, err := await(ctx, c, ask.reply)
	if err != nil || a.leader != node || c.send(ctx, leaderUnreachableMsg{node}) != nil {
		return
	}
	m, err := c.verifyTerm(ctx, a)
	if err != nil {
		c.Log.Debug("leader not reached, term not verified", "err", err)
		return
	}
	c.send(ctx, m) // only fails when the node ends
}

// verifyTerm reads from the store whether a leader still leads and which jobs
// are active, and publishes whose leases are extended here.
func (c *Controller) verifyTerm(ctx context.Context, a followedLeader) (m termVerifiedMsg, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	m = termVerifiedMsg{leader: a.leader, verifiedAt: time.Now(), activeJobs: map[string]bool{}}
	lead, err := c.Store.Get(ctx, election.LeaderKey)
	if err != nil {
		return m, err
	}
	var h election.LeaderRecord
	if err := json.Unmarshal(lead.Value, &h); lead.ModRevision == 0 || err != nil || h.Node != a.leader {
		return m, fmt.Errorf("%s does not lead: %w", a.leader, api.ErrUnavailable)
	}
	term, err := c.Store.Get(ctx, election.TermKey)
	if err != nil {
		return m, err
	}
	var tv election.TermRecord
	if err := json.Unmarshal(term.Value, &tv); err != nil {
		return m, fmt.Errorf("term key: %w", err)
	}
	m.term, m.termRevision = tv.Number, term.ModRevision
	for from := ""; ; {
		p, err := c.Store.Range(ctx, records.ActivePrefix, from, 500)
		if err != nil {
			return m, err
		}
		for _, e := range p.Entries {
			m.activeJobs[strings.TrimPrefix(e.Key, records.ActivePrefix)] = true
			from = e.Key
		}
		if !p.More || len(p.Entries) == 0 {
			break
		}
	}
	if len(a.hosts) > 0 {
		c.publishRenewals(ctx, a.hosts, m.term, term.ModRevision)
	}
	return m, nil
}

// maxRenewalRecords is how many records of extended leases a leader reads. One of a version
// before it read more than a hundred reads only those; values of 2 KiB and more hold
// some 4,000 machines in fewer.
const maxRenewalRecords = 1000

// publishRenewals writes whose leases are extended here. A list that does not fit
// one record goes on under further keys: leaders take in every record under the
// prefix by itself, whatever follows the node's name. A record that is not renewed
// with the others says nothing any more.
func (c *Controller) publishRenewals(ctx context.Context, hosts []string, term, modRevision uint64) {
	lim := c.Settings.Site.State
	for room := min(int(lim.ValueKB*1024), kv.MaxTxnBytes/2); room > 0; room /= 2 {
		recs := renewalRecords(hosts, term, room)
		if most := max(1, maxRenewalRecords/(len(c.Settings.Peers)+1)); len(recs) > most {
			// No leader would read the rest. Which are left out is left to
			// chance, by the order of the list: the same ones would be asked
			// for, and perhaps returned.
			c.Log.Warn("extended leases left out", "machines", len(hosts), "records", len(recs), "most", most)
			recs = recs[:most]
		}
		err := c.writeRenewals(ctx, recs, modRevision, max(1, min(lim.TxnOps, kv.MaxTxnBytes*3/4/(room+200))))
		if err == nil {
			return
		}
		if !errors.Is(err, kv.ErrInvalid) {
			c.Log.Debug("extended leases not published", "err", err)
			return
		}
		c.Log.Error("list of extended leases refused as too large", "bytes", room)
	}
}

// writeRenewals writes records of extended leases, so many in a transaction.
func (c *Controller) writeRenewals(ctx context.Context, recs []records.LeaseRenewalRecord, modRevision uint64, ops int) error {
	txn := kv.Txn{Compares: []kv.Compare{{Key: election.TermKey, ModRevision: modRevision}}}
	for i, rec := range recs {
		key := records.LeaseRenewalPrefix + c.Settings.Node
		if i > 0 {
			key += "/" + strconv.Itoa(i+1)
		}
		txn.Ops = append(txn.Ops, kv.Op{Put: key, Value: rec})
		if len(txn.Ops) < ops && i < len(recs)-1 {
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

// renewalRecords spreads machines over records of at most so many bytes.
func renewalRecords(hosts []string, term uint64, room int) (recs []records.LeaseRenewalRecord) {
	const frame = 48 // of a record, beside the names
	size := 0
	for _, name := range hosts {
		raw, err := json.Marshal(name)
		if err != nil || frame+len(raw)+1 > room {
			continue // such a name is on no roster either
		}
		if len(recs) == 0 || size+len(raw)+1 > room {
			recs, size = append(recs, records.LeaseRenewalRecord{Term: term}), frame
		}
		last := &recs[len(recs)-1]
		last.Hosts = append(last.Hosts, name)
		size += len(raw) + 1
	}
	return recs
}

// followedLeaderRequestMsg asks the owner whom it follows and whose leases it extends.
type followedLeaderRequestMsg struct{ reply chan followedLeader }

type followedLeader struct {
	leader string
	hosts  []string
}

func (m followedLeaderRequestMsg) apply(c *Controller) {
	a := followedLeader{leader: c.leader}
	now := time.Now()
	for name, seen := range c.leaseRenewer.machines {
		if now.Sub(seen) > renewalLifetime {
			delete(c.leaseRenewer.machines, name)
			continue
		}
		a.hosts = append(a.hosts, name)
	}
	m.reply <- a
}

// leaderUnreachableMsg says that the leader cannot be reached.
type leaderUnreachableMsg struct{ leader string }

func (m leaderUnreachableMsg) apply(c *Controller) {
	lr := &c.leaseRenewer
	if lr.leader == m.leader && !lr.leaderAway {
		c.Log.Info("leader not reached, keeping its machines alive", "leader", m.leader, "term", lr.term)
		lr.leaderAway = true
	}
}

// termVerifiedMsg brings what the store showed of the term and the active jobs.
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
		// Another term has begun, or this node was started anew beyond a cut.
		*lr = leaseRenewer{leader: m.leader, term: m.term, leaderAway: true}
	}
	lr.activeJobs, lr.verifiedAt, lr.termRevision = m.activeJobs, m.verifiedAt, m.termRevision
}

// readRenewals reads whose leases other nodes extend, every few seconds.
func (lt *leaderTerm) readRenewals(now time.Time) {
	if now.Sub(lt.renewalsReadAt) < 2*time.Second {
		return
	}
	lt.renewalsReadAt = now
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, 2*time.Second)
		defer cancel()
		// An answer holds no more than the service allows, so there may be several.
		for from, left := "", maxRenewalRecords; left > 0; {
			p, err := lt.c.Store.Range(ctx, records.LeaseRenewalPrefix, from, left)
			if err != nil {
				lt.c.Log.Debug("extended leases not read", "err", err)
				return
			}
			lt.sendToOwner(renewalsReadMsg{lt, p.Entries})
			if !p.More || len(p.Entries) == 0 {
				return
			}
			from, left = p.Entries[len(p.Entries)-1].Key, left-len(p.Entries)
		}
	}()
}

type renewalsReadMsg struct {
	leaderTerm *leaderTerm
	entries    []kv.Entry
}

func (m renewalsReadMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	now := time.Now()
	for _, e := range m.entries {
		if lt.renewalRevisions[e.Key] == e.ModRevision {
			continue // not renewed since it was last read
		}
		lt.renewalRevisions[e.Key] = e.ModRevision
		var rec records.LeaseRenewalRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil || rec.Term != lt.term.Number {
			continue
		}
		for _, name := range rec.Hosts {
			if mc := lt.machines[name]; mc != nil {
				mc.leaseRenewedUntil = now.Add(renewalLifetime)
			}
		}
	}
}
