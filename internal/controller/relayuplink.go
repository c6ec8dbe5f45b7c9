package controller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// While two zones are partitioned from each other, both usually still reach the key-value store.
// The follower that renews the task leases of machines on its side of the partition then relays:
// it writes their heartbeats to the store in batches, reads the commands that the leader writes
// there in response, and delivers them to the machines. This is safe under the following rules:
//
//   - The leader makes all decisions. The follower only relays.
//   - The commands that respond to a heartbeat are delivered at most once, in the response to a
//     later heartbeat of the same agent epoch, within relayCommandLifetime, and only while the
//     follower may respond to heartbeats in the leader's term.
//   - The follower reports the outcome: the heartbeat in whose response the commands were
//     delivered, or that they never will be. Until then the leader counts an attempt that the
//     commands start as on the machine, whatever the machine's heartbeats show. After that, the
//     next heartbeat decides.
//   - The leader relays no further commands to the machine before it has the outcome.
//   - Batches are numbered. Each side repeats what the other has not acknowledged. A follower that
//     was restarted has lost the commands that it had received, and never delivers them.

const (
	// relayInterval is the minimum time between two batches of heartbeats.
	relayInterval = 700 * time.Millisecond
	// relayCommandLifetime is how long after the follower received commands it may deliver them.
	relayCommandLifetime = 4 * time.Second
	// maxRelayParts is the maximum number of records of a batch of heartbeats.
	maxRelayParts = 3
	// relayCompression is the approximate number of bytes of heartbeats that fit in one byte of a
	// record.
	relayCompression = 3
	// heartbeatRepeatInterval is the time after which a heartbeat without changes is relayed again.
	heartbeatRepeatInterval = time.Second
	// relayTimeout is the time limit for a request to the key-value store.
	relayTimeout = 1500 * time.Millisecond
	// outcomeTimeout is how long the leader waits for the outcome of commands.
	outcomeTimeout = 20 * time.Second
	// outcomeRetention is how long after it received commands the follower still reports their
	// outcome if it no longer relays, because the leader is reachable again or another node leads.
	outcomeRetention = time.Minute
	// minRelayRecordBytes is the lower limit for the size of records, which is halved each time a
	// batch is rejected as too large.
	minRelayRecordBytes = 256
	// maxSizeHalvings is the maximum number of times that the size is halved.
	maxSizeHalvings = 8
	// relayedHeartbeatBytes is the approximate size of a heartbeat without tasks in a batch before
	// compression.
	relayedHeartbeatBytes = 100
	// relayedTaskBytes is the approximate size of each task of the heartbeat.
	relayedTaskBytes = 40
	// relayMemoryFraction is the fraction of the memory limit for the machines whose heartbeats
	// are relayed.
	relayMemoryFraction = 1.0 / 8
	// relayedMachineBytes is the approximate size of such a machine in memory.
	relayedMachineBytes = 2 << 10
)

// relayUplink is the follower's side of the relay. It writes batches of heartbeats for the leader
// and reads the leader's batches of commands.
type relayUplink struct {
	// incarnation identifies this process.
	incarnation string
	// batch is the number of the last batch written.
	batch uint64
	// receivedBatch is the number of the leader's last batch that was applied.
	receivedBatch uint64
	// storeBusy is set while a request to the store is in flight.
	storeBusy bool
	nextTick  time.Time
	// machines holds the machines whose heartbeats are relayed, by name.
	machines map[string]*relayedMachine
	// maxMachines is the size of machines at which heartbeats of further machines are not relayed.
	maxMachines int
	// sizeHalvings is how often a batch was rejected as too large. Each time, the size of records
	// was halved.
	sizeHalvings int
	// staleRecordsDeleted is set once the store holds no records of an earlier process of this node.
	staleRecordsDeleted bool
}

// maxRelayRecordBytes returns the maximum size of a record, so that as many records as a batch has
// parts fit in a transaction.
func maxRelayRecordBytes(limits config.KVLimits, parts int) int {
	return min(int(limits.ValueKB*1024), kv.MaxTxnBytes*3/4/parts)
}

// relayedMachine is one machine whose heartbeats are relayed.
type relayedMachine struct {
	// heartbeat is the machine's latest heartbeat.
	heartbeat *api.Heartbeat
	// dirty is set if the heartbeat must be relayed with the next batch.
	dirty bool
	// sentAt is when a heartbeat of the machine was last relayed.
	sentAt time.Time
	// commands are the commands to deliver, or nil. They respond to heartbeat baseSeq of
	// agentEpoch, and were received at receivedAt from the leader of term.
	commands   []api.Command
	agentEpoch uint64
	baseSeq    uint64
	receivedAt time.Time
	term       uint64
	// outcome reports whether the commands were delivered; nil if there is nothing to report. It is
	// part of every batch until the leader acknowledges it.
	outcome *peer.RelayOutcome
	// acknowledgedIn is the number of the last batch with the outcome, or 0. If the leader
	// acknowledges this batch or a later one, it has the outcome.
	acknowledgedIn uint64
}

// newRelayUplink returns the uplink of a process that starts now.
func newRelayUplink(limits config.Limits) relayUplink {
	return relayUplink{
		incarnation: rand.Text(),
		machines:    map[string]*relayedMachine{},
		maxMachines: limits.MaxEntries(relayMemoryFraction, relayedMachineBytes),
	}
}

// recordHeartbeat stores a heartbeat that this node answers on the leader's behalf, to relay it to
// the leader, and adds the commands that the leader has sent for the machine to the response. term is
// the term in which this node answers.
func (u *relayUplink) recordHeartbeat(
	hb *api.Heartbeat, response *api.HeartbeatResponse, term uint64, now time.Time,
) {
	m := u.machines[hb.Machine]
	if m == nil {
		if len(u.machines) >= u.maxMachines {
			return
		}
		m = &relayedMachine{}
		u.machines[strings.Clone(hb.Machine)] = m
	}
	previous := m.heartbeat
	if previous != nil && (hb.AgentEpoch < previous.AgentEpoch ||
		hb.AgentEpoch == previous.AgentEpoch && hb.Seq <= previous.Seq) {
		return // a delayed or repeated message
	}
	changed := previous == nil || previous.AgentEpoch != hb.AgentEpoch || !slices.Equal(previous.Tasks, hb.Tasks)
	m.heartbeat = hb
	m.dirty = m.dirty || changed || now.Sub(m.sentAt) > heartbeatRepeatInterval
	if m.commands == nil {
		return
	}
	if hb.AgentEpoch != m.agentEpoch || hb.Seq <= m.baseSeq ||
		term != m.term || now.Sub(m.receivedAt) > relayCommandLifetime {
		m.recordOutcome(0)
		return
	}
	response.Commands = append(response.Commands, m.commands...)
	m.recordOutcome(hb.Seq)
}

// recordOutcome removes the commands and records their outcome: they were delivered in the response
// to heartbeat deliveredIn, or will never be delivered if deliveredIn is 0.
func (m *relayedMachine) recordOutcome(deliveredIn uint64) {
	m.outcome = &peer.RelayOutcome{
		Machine: m.heartbeat.Machine,
		Session: m.agentEpoch,
		Base:    m.baseSeq,
		Handed:  deliveredIn,
	}
	m.commands, m.acknowledgedIn = nil, 0
	m.dirty = true
}

// dropCommands discards the commands for a machine whose heartbeats are forwarded to the leader again.
func (u *relayUplink) dropCommands(machine string) {
	if m := u.machines[machine]; m != nil && m.commands != nil {
		m.recordOutcome(0)
	}
}

// tick reads the leader's batch, if any machines are relayed. A new batch of heartbeats is written after
// that.
func (u *relayUplink) tick(c *Controller, now time.Time) {
	if u.storeBusy || now.Before(u.nextTick) || len(u.machines) == 0 {
		return
	}
	u.nextTick, u.storeBusy = now.Add(relayInterval), true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		down, err := readDownlink(ctx, c.Store, records.RelayPrefix+c.Settings.Node)
		if err != nil {
			c.Log.Debug("reading relayed commands failed", "err", err)
		}
		u.post(c, downlinkReadMsg{down})
	}()
}

// post sends the result of a request to the owner goroutine.
func (u *relayUplink) post(c *Controller, m message) {
	// Sending fails only if the controller has ended, and then the result is not needed.
	_ = c.send(context.Background(), m)
}

// write writes a batch of heartbeats and outcomes to the store.
func (u *relayUplink) write(c *Controller, now time.Time) {
	renewer := &c.leaseRenewer
	leader := c.membership.Members[renewer.leader]
	relaying := leader.IsUnreachable() && renewer.termRevision != 0 &&
		now.Sub(renewer.verifiedAt) < c.renewalPeriod()
	for _, m := range u.machines {
		if m.commands != nil && (now.Sub(m.receivedAt) > relayCommandLifetime || !relaying) {
			m.recordOutcome(0)
		}
	}
	if renewer.termRevision == 0 && !relaying {
		// The leader is reachable again, or another node leads. Only the remaining outcomes are
		// reported, in the term of their commands.
		u.dropResolved(now)
		if len(u.machines) == 0 {
			return
		}
	}
	u.batch++
	limits := c.Settings.Site.State
	maxParts := min(maxRelayParts, limits.TxnOps)
	size := max(maxRelayRecordBytes(limits, maxParts)>>u.sizeHalvings, minRelayRecordBytes)
	up, withOutcome := u.buildBatch(renewer, relaying, size*maxParts*relayCompression)
	parts, err := u.packBatch(c, up, maxParts, size, now)
	if err != nil {
		c.Log.Error("packing relayed heartbeats failed", "err", err)
		return
	}
	for _, m := range withOutcome[:len(up.Outcomes)] {
		m.acknowledgedIn = u.batch
	}
	for _, hb := range up.Reports {
		m := u.machines[hb.Machine]
		m.dirty, m.sentAt = false, now
	}
	txn := u.batchTransaction(records.RelayPrefix+c.Settings.Node, parts, maxParts)
	if relaying {
		txn.Compares = []kv.Compare{{Key: election.TermKey, ModRevision: renewer.termRevision}}
	}
	// The next batch is delayed so that relaying uses at most RecordWriteShare of the write rate, and
	// leaves the rest to submissions.
	recordRate := limits.WriteRPS * kv.RecordWriteShare
	if next := now.Add(config.Duration(float64(len(txn.Ops)) / recordRate)); next.After(u.nextTick) {
		u.nextTick = next
	}
	u.send(c, txn)
}

// buildBatch builds a batch of all outcomes and, if relaying is set, about maxBytes of heartbeats
// before compression. It also returns the machines of the outcomes, in the same order.
func (u *relayUplink) buildBatch(
	renewer *leaseRenewer, relaying bool, maxBytes int,
) (up *peer.RelayUp, withOutcome []*relayedMachine) {
	up = &peer.RelayUp{Incarnation: u.incarnation, Batch: u.batch, Got: u.receivedBatch}
	for _, m := range u.oldestFirst() {
		if m.outcome != nil {
			withOutcome = append(withOutcome, m)
			up.Outcomes = append(up.Outcomes, m.outcome)
			up.Term = m.term
		}
		if relaying && m.dirty && maxBytes > 0 && renewer.tokens.Contains(m.heartbeat.Token) {
			maxBytes -= relayedHeartbeatBytes + relayedTaskBytes*len(m.heartbeat.Tasks)
			up.Reports = append(up.Reports, peer.HeartbeatToProto(m.heartbeat))
		}
	}
	if relaying {
		up.Term = renewer.term()
	}
	return up, withOutcome
}

// packBatch packs a batch into at most maxParts records of at most size bytes. If the batch is too
// large, it omits heartbeats first, then outcomes.
func (u *relayUplink) packBatch(
	c *Controller, up *peer.RelayUp, maxParts, size int, now time.Time,
) ([]relay.Part, error) {
	parts, err := relay.Pack(up, u.batch, maxParts, size)
	for errors.Is(err, relay.ErrTooLarge) && len(up.Reports)+len(up.Outcomes) > 0 {
		// Omitted heartbeats and outcomes are part of a later batch, since they stay marked as
		// not relayed or not acknowledged.
		if len(up.Reports) > 0 {
			if len(up.Reports) == 1 {
				// A heartbeat that fits in no batch moves to the end of the order, so that it
				// does not prevent others from being relayed.
				hb := up.Reports[0]
				u.machines[hb.Machine].sentAt = now
				c.Log.Warn("heartbeat too large to relay", "machine", hb.Machine, "count", len(hb.Tasks))
			}
			up.Reports = up.Reports[:len(up.Reports)/2]
		} else {
			up.Outcomes = up.Outcomes[:len(up.Outcomes)/2]
		}
		parts, err = relay.Pack(up, u.batch, maxParts, size)
	}
	return parts, err
}

// batchTransaction returns the transaction that writes the records of a batch over those of the
// previous one.
func (u *relayUplink) batchTransaction(prefix string, parts []relay.Part, maxParts int) kv.Txn {
	txn := kv.Txn{SelfLimited: true}
	for _, p := range parts {
		txn.Ops = append(txn.Ops, kv.Op{Put: prefix + "/up/" + strconv.Itoa(p.Index), Value: p})
	}
	if !u.staleRecordsDeleted {
		// A leader of an earlier version reads only the batch with the highest number. Until the
		// records of an earlier process are deleted, it may ignore the batches of this one,
		// whose numbers start again from 1.
		for i := len(parts); i < maxParts; i++ {
			txn.Ops = append(txn.Ops, kv.Op{Delete: prefix + "/up/" + strconv.Itoa(i)})
		}
	}
	return txn
}

// send executes the transaction of a batch and posts its result.
func (u *relayUplink) send(c *Controller, txn kv.Txn) {
	u.storeBusy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		res, err := c.Store.Txn(ctx, txn)
		if err != nil {
			c.Log.Debug("writing relayed heartbeats failed", "err", err)
		}
		u.post(c, uplinkWrittenMsg{
			tooLarge: errors.Is(err, kv.ErrInvalid),
			written:  err == nil && res.Succeeded,
		})
	}()
}

// uplinkWrittenMsg contains the result of the transaction of a batch.
type uplinkWrittenMsg struct{ tooLarge, written bool }

// apply halves the size of records if the batch was rejected as too large. The heartbeats of a
// rejected batch are relayed again when they change or after heartbeatRepeatInterval.
func (m uplinkWrittenMsg) apply(c *Controller) {
	c.uplink.storeBusy = false
	c.uplink.staleRecordsDeleted = c.uplink.staleRecordsDeleted || m.written
	if m.tooLarge {
		c.Log.Error("key-value store rejected relayed heartbeats as too large")
		c.uplink.sizeHalvings = min(c.uplink.sizeHalvings+1, maxSizeHalvings)
	}
}

// dropResolved removes the machines that have no outcome to report, or whose commands were received
// more than outcomeRetention ago.
func (u *relayUplink) dropResolved(now time.Time) {
	for name, m := range u.machines {
		if m.outcome == nil || now.Sub(m.receivedAt) > outcomeRetention {
			delete(u.machines, name)
		}
	}
}

// oldestFirst returns the machines, those whose heartbeats were relayed the longest ago first.
func (u *relayUplink) oldestFirst() []*relayedMachine {
	machines := make([]*relayedMachine, 0, len(u.machines))
	for _, m := range u.machines {
		machines = append(machines, m)
	}
	slices.SortFunc(machines, func(a, b *relayedMachine) int { return a.sentAt.Compare(b.sentAt) })
	return machines
}

// readDownlink reads the leader's batch for a node. It returns nil if there is none.
func readDownlink(ctx context.Context, store kv.Service, prefix string) (*peer.RelayDown, error) {
	e, err := store.Get(ctx, prefix+"/down")
	if err != nil || e.ModRevision == 0 {
		return nil, err
	}
	var p relay.Part
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return nil, fmt.Errorf("relay: decode record %s: %w", e.Key, err)
	}
	var down peer.RelayDown
	return &down, relay.Unpack([]relay.Part{p}, &down)
}

// downlinkReadMsg contains the leader's batch for this node; nil if there is none or reading failed.
type downlinkReadMsg struct{ batch *peer.RelayDown }

func (m downlinkReadMsg) apply(c *Controller) {
	uplink := &c.uplink
	uplink.storeBusy = false
	now := time.Now()
	if down := m.batch; down != nil && down.Incarnation == uplink.incarnation {
		uplink.applyDownlink(c, down, now)
	}
	uplink.write(c, now)
}

// applyDownlink applies the leader's batch: it removes the outcomes that the batch acknowledges and,
// unless the batch was applied before, stores its commands.
func (u *relayUplink) applyDownlink(c *Controller, down *peer.RelayDown, now time.Time) {
	for _, m := range u.machines {
		if m.outcome != nil && m.acknowledgedIn != 0 && m.acknowledgedIn <= down.Seen {
			m.outcome = nil
		}
	}
	if down.Batch <= u.receivedBatch {
		return
	}
	u.receivedBatch = down.Batch
	for _, o := range down.Orders {
		m := u.machines[o.Machine]
		if m == nil {
			m = &relayedMachine{heartbeat: &api.Heartbeat{Machine: o.Machine}}
			u.machines[o.Machine] = m
		}
		m.commands, m.agentEpoch, m.baseSeq = peer.CommandsFromProto(o.Orders), o.Session, o.Base
		m.term, m.receivedAt = down.Term, now
		if down.Term != c.leaseRenewer.term() || o.Session != m.heartbeat.AgentEpoch {
			m.recordOutcome(0)
		}
	}
}
