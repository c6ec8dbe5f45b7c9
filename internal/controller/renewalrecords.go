package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// A follower that renews task leases on the leader's behalf publishes the machines in the key-value store,
// where the leader reads them: it does not terminate a machine whose lease another node renews.

const (
	// renewalsReadInterval is how often the leader reads the renewals of other nodes.
	renewalsReadInterval = 2 * time.Second
	renewalsReadTimeout  = 2 * time.Second
)

// maxRenewalRecords is the maximum number of lease renewal records that a leader reads. Older
// versions read only the first hundred; with values of 2 KiB or more, some 4,000 machines fit in
// fewer than that.
const maxRenewalRecords = 1000

// renewalOpOverheadBytes is reserved for each put of a transaction, in addition to its value.
const renewalOpOverheadBytes = 200

// publishRenewals writes the machines whose leases this node renews to the store. A list that does
// not fit in one record continues under further keys: leaders read every record under the prefix
// separately, whatever follows the node's name in its key. A record that is not written again
// expires.
func (c *Controller) publishRenewals(ctx context.Context, machines []string, term, modRevision uint64) {
	limits := c.Settings.Site.State
	maxRecords := max(1, maxRenewalRecords/(len(c.Settings.Peers)+1))
	for maxBytes := min(int(limits.ValueKB*1024), kv.MaxTxnBytes/2); maxBytes > 0; maxBytes /= 2 {
		recs := renewalRecords(machines, term, maxBytes)
		if len(recs) > maxRecords {
			// Leaders do not read further records. The list is in random order, so that the
			// omitted machines differ each time: a machine that was always omitted would be
			// probed, and perhaps terminated.
			c.Log.Warn("lease renewals beyond record limit not published",
				"machines", len(machines), "records", len(recs), "max", maxRecords)
			recs = recs[:maxRecords]
		}
		maxOps := max(1, min(limits.TxnOps, kv.MaxTxnBytes*3/4/(maxBytes+renewalOpOverheadBytes)))
		err := c.writeRenewals(ctx, recs, modRevision, maxOps)
		if err == nil {
			return
		}
		if !errors.Is(err, kv.ErrInvalid) {
			c.Log.Debug("writing lease renewals failed", "err", err)
			return
		}
		c.Log.Error("key-value store rejected lease renewals as too large", "bytes", maxBytes)
	}
}

// writeRenewals writes lease renewal records, at most maxOps per transaction, as long as the term
// key has the given version.
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
func renewalRecords(machines []string, term uint64, maxBytes int) (recs []records.LeaseRenewalRecord) {
	const frameBytes = 48 // size of a record without names
	size := 0
	for _, name := range machines {
		raw, err := json.Marshal(name)
		if err != nil || frameBytes+len(raw)+1 > maxBytes {
			continue // a machine with this name does not fit in the registry either
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

// readRenewals reads, every renewalsReadInterval, the machines whose leases other nodes renew.
func (lt *leaderTerm) readRenewals(now time.Time) {
	if now.Sub(lt.renewalsReadAt) < renewalsReadInterval {
		return
	}
	lt.renewalsReadAt = now
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, renewalsReadTimeout)
		defer cancel()
		// The store limits the size of a page, so there may be several.
		for from, remaining := "", maxRenewalRecords; remaining > 0; {
			page, err := lt.c.Store.Range(ctx, records.LeaseRenewalPrefix, from, remaining)
			if err != nil {
				lt.c.Log.Debug("reading lease renewals failed", "err", err)
				return
			}
			lt.sendToOwner(renewalsReadMsg{lt, page.Entries})
			if !page.More || len(page.Entries) == 0 {
				return
			}
			from, remaining = page.Entries[len(page.Entries)-1].Key, remaining-len(page.Entries)
		}
	}()
}

// renewalsReadMsg delivers a page of lease renewal records of other nodes.
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
			continue // not written again since it was last read
		}
		lt.renewalRevisions[e.Key] = e.ModRevision
		var rec records.LeaseRenewalRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil || rec.Term != lt.term.Number {
			continue
		}
		for _, name := range rec.Hosts {
			if machine := lt.machines[name]; machine != nil {
				machine.LeaseRenewedUntil = now.Add(renewalLifetime)
			}
		}
	}
}
