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

// While two zones cannot reach each other, both still reach the key-value store.
// The node that renews the task leases of the leader's machines on its side writes
// their heartbeats there, batched, and delivers the commands that the leader writes
// back. Its safety rests on these rules:
//
//   - The leader decides everything; the node only forwards.
//   - Commands that answer one heartbeat are delivered at most once, in the response
//     to a later heartbeat of the same agent epoch, within relayCommandLifetime, and
//     only while the node may respond in the leader's term at all.
//   - The leader counts a start as on its machine, whatever heartbeats show, until
//     the node has reported to which heartbeat it was delivered in response, or that
//     it never will be. Then the next heartbeat decides.
//   - Until then the leader gives the machine no further commands over the relay.
//   - Each side repeats what the other has not acknowledged, by batch numbers. A
//     node that was restarted has lost its commands, so it delivers none.
const (
	relayInterval        = 700 * time.Millisecond
	relayCommandLifetime = 4 * time.Second
	// maxRelayParts bounds the records of a batch of heartbeats.
	maxRelayParts = 3
	// relayCompression is about how many bytes of heartbeats fit one byte of a record.
	relayCompression = 3
	// heartbeatRepeatInterval is after how long a heartbeat without changes is relayed again.
	heartbeatRepeatInterval = time.Second
	relayTimeout            = 1500 * time.Millisecond
	// outcomeTimeout is how long the leader waits for the outcome of commands.
	outcomeTimeout = 20 * time.Second
	// outcomeRetention is how long the node reports an outcome after another leader or
	// a direct connection has replaced the relay.
	outcomeRetention = time.Minute
	// minRelayRecordBytes and maxSizeHalvings bound how far rejections shrink a record.
	minRelayRecordBytes = 256
	maxSizeHalvings     = 8
	// relayedHeartbeatBytes and relayedTaskBytes are about what a heartbeat and each of
	// its tasks take in a batch before it is compressed.
	relayedHeartbeatBytes = 100
	relayedTaskBytes      = 40
	// relayMemory is the share of the memory that the machines whose heartbeats are
	// relayed may take, and relayedMachineBytes about what one of them takes.
	relayMemory         = 1.0 / 8
	relayedMachineBytes = 2 << 10
)

// relayUplink is the follower's side of the relay.
type relayUplink struct {
	incarnation string
	// batch numbers the batches written, and acknowledged is the leader's last batch
	// that was applied here.
	batch        uint64
	acknowledged uint64
	storeBusy    bool
	nextTick     time.Time
	machines     map[string]*relayedMachine
	// maxMachines bounds the machines whose state is kept.
	maxMachines int
	// sizeHalvings is how often a batch was rejected as too large.
	sizeHalvings int
	// cleared is set once no record of an earlier process can stand beside a batch.
	cleared bool
}

// maxRelayRecordBytes is the largest size of a record, if a transaction holds so many.
func maxRelayRecordBytes(lim config.KVLimits, parts int) int {
	return min(int(lim.ValueKB*1024), kv.MaxTxnBytes*3/4/parts)
}

// relayedMachine is one machine whose heartbeats are relayed.
type relayedMachine struct {
	// heartbeat is the latest one; dirty is set while it is to be relayed.
	heartbeat *api.Heartbeat
	dirty     bool
	sentAt    time.Time
	// commands are yet to be delivered. They respond to heartbeat baseSeq of AgentEpoch
	// and were received at receivedAt, under term.
	commands   []api.Command
	agentEpoch uint64
	baseSeq    uint64
	receivedAt time.Time
	term       uint64
	// outcome says whether the commands were delivered. It is repeated until the leader
	// acknowledges batch acknowledgedIn, in which it was last sent.
	outcome        *peer.RelayOutcome
	acknowledgedIn uint64
}

func newRelayUplink(lim config.Limits) relayUplink {
	return relayUplink{
		incarnation: rand.Text(),
		machines:    map[string]*relayedMachine{},
		maxMachines: lim.MaxEntries(relayMemory, relayedMachineBytes),
	}
}

// recordHeartbeat keeps a heartbeat to which this node responds on behalf of the leader, and
// adds the leader's commands to the response.
func (ul *relayUplink) recordHeartbeat(hb *api.Heartbeat, response *api.HeartbeatResponse, now time.Time) {
	m := ul.machines[hb.Machine]
	if m == nil {
		if len(ul.machines) >= ul.maxMachines {
			return
		}
		m = &relayedMachine{}
		ul.machines[strings.Clone(hb.Machine)] = m
	}
	previous := m.heartbeat
	if previous != nil && (hb.AgentEpoch < previous.AgentEpoch ||
		hb.AgentEpoch == previous.AgentEpoch && hb.Seq <= previous.Seq) {
		return // a delayed copy
	}
	changed := previous == nil || previous.AgentEpoch != hb.AgentEpoch || !slices.Equal(previous.Tasks, hb.Tasks)
	m.heartbeat = hb
	m.dirty = m.dirty || changed || now.Sub(m.sentAt) > heartbeatRepeatInterval
	if m.commands == nil {
		return
	}
	if hb.AgentEpoch != m.agentEpoch || hb.Seq <= m.baseSeq ||
		response.Term != m.term || now.Sub(m.receivedAt) > relayCommandLifetime {
		m.recordOutcome(0)
		return
	}
	response.Commands = append(response.Commands, m.commands...)
	m.recordOutcome(hb.Seq)
}

// recordOutcome records that the commands were delivered in response to heartbeat
// deliveredIn, or, if that is 0, that they never will be.
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

// dropCommands discards the commands for a machine whose heartbeats reach the leader.
func (ul *relayUplink) dropCommands(machine string) {
	if m := ul.machines[machine]; m != nil && m.commands != nil {
		m.recordOutcome(0)
	}
}

// tick reads the leader's record, if anything is relayed.
func (ul *relayUplink) tick(c *Controller, now time.Time) {
	if ul.storeBusy || now.Before(ul.nextTick) || len(ul.machines) == 0 {
		return
	}
	ul.nextTick, ul.storeBusy = now.Add(relayInterval), true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		down, err := readDownlink(ctx, c.Store, records.RelayPrefix+c.Settings.Node)
		if err != nil {
			c.Log.Debug("relayed commands not read", "err", err)
		}
		ul.post(c, downlinkReadMsg{down})
	}()
}

// post sends a result to the controller's goroutine.
func (ul *relayUplink) post(c *Controller, m message) {
	// This fails only once the controller has ended, and the uplink with it.
	_ = c.send(context.Background(), m)
}

// write writes new heartbeats and outcomes to the store.
func (ul *relayUplink) write(c *Controller, now time.Time) {
	renewer := &c.leaseRenewer
	leader := c.membership.Members[renewer.leader]
	relaying := leader.IsUnreachable() && renewer.termRevision != 0 &&
		now.Sub(renewer.verifiedAt) < c.renewalPeriod()
	for _, m := range ul.machines {
		if m.commands != nil && (now.Sub(m.receivedAt) > relayCommandLifetime || !relaying) {
			m.recordOutcome(0)
		}
	}
	if renewer.termRevision == 0 && !relaying {
		// The leader is reachable again or another node leads: the outcomes that are
		// left are reported under the term of their commands.
		ul.dropResolved(now)
		if len(ul.machines) == 0 {
			return
		}
	}
	ul.batch++
	lim := c.Settings.Site.State
	maxParts := min(maxRelayParts, lim.TxnOps)
	size := max(maxRelayRecordBytes(lim, maxParts)>>ul.sizeHalvings, minRelayRecordBytes)
	up, withOutcome := ul.buildBatch(renewer, relaying, size*maxParts*relayCompression)
	parts, err := ul.packBatch(c, up, maxParts, size, now)
	if err != nil {
		c.Log.Error("relay batch not packed", "err", err)
		return
	}
	for _, m := range withOutcome[:len(up.Outcomes)] {
		m.acknowledgedIn = ul.batch
	}
	for _, hb := range up.Reports {
		m := ul.machines[hb.Machine]
		m.dirty, m.sentAt = false, now
	}
	txn := ul.batchTransaction(records.RelayPrefix+c.Settings.Node, parts, maxParts)
	if relaying {
		txn.Compares = []kv.Compare{{Key: election.TermKey, ModRevision: renewer.termRevision}}
	}
	// Where the write rate is low, relaying must leave part of it to submissions.
	recordRate := lim.WriteRPS * kv.RecordShare
	if next := now.Add(config.Duration(float64(len(txn.Ops)) / recordRate)); next.After(ul.nextTick) {
		ul.nextTick = next
	}
	ul.send(c, txn)
}

// buildBatch builds a batch of outcomes and, while the leader is unreachable, of about
// maxBytes of heartbeats. It returns with it the machines of the outcomes.
func (ul *relayUplink) buildBatch(
	renewer *leaseRenewer, relaying bool, maxBytes int,
) (up *peer.RelayUp, withOutcome []*relayedMachine) {
	up = &peer.RelayUp{Incarnation: ul.incarnation, Batch: ul.batch, Got: ul.acknowledged}
	for _, m := range ul.oldestFirst() {
		if m.outcome != nil {
			withOutcome = append(withOutcome, m)
			up.Outcomes = append(up.Outcomes, m.outcome)
			up.Term = m.term
		}
		if relaying && m.dirty && maxBytes > 0 && m.heartbeat.Term == renewer.term {
			maxBytes -= relayedHeartbeatBytes + relayedTaskBytes*len(m.heartbeat.Tasks)
			up.Reports = append(up.Reports, peer.PackReport(m.heartbeat))
		}
	}
	if relaying {
		up.Term = renewer.term
	}
	return up, withOutcome
}

// packBatch divides a batch into at most so many records of a size. From a batch that is
// too large, it leaves out heartbeats first, then outcomes.
func (ul *relayUplink) packBatch(
	c *Controller, up *peer.RelayUp, maxParts, size int, now time.Time,
) ([]relay.Part, error) {
	parts, err := relay.Pack(up, ul.batch, maxParts, size)
	for errors.Is(err, relay.ErrTooLarge) && len(up.Reports)+len(up.Outcomes) > 0 {
		// Outcomes are repeated until they are acknowledged: those left out are part
		// of a later batch.
		if len(up.Reports) > 0 {
			if len(up.Reports) == 1 {
				// One that fits no batch must not hold back the others.
				hb := up.Reports[0]
				ul.machines[hb.Machine].sentAt = now
				c.Log.Warn("heartbeat too large to relay", "machine", hb.Machine, "count", len(hb.Tasks))
			}
			up.Reports = up.Reports[:len(up.Reports)/2]
		} else {
			up.Outcomes = up.Outcomes[:len(up.Outcomes)/2]
		}
		parts, err = relay.Pack(up, ul.batch, maxParts, size)
	}
	return parts, err
}

// batchTransaction replaces the parts of the last batch by those of a new one.
func (ul *relayUplink) batchTransaction(prefix string, parts []relay.Part, maxParts int) kv.Txn {
	txn := kv.Txn{Records: true}
	for _, p := range parts {
		txn.Ops = append(txn.Ops, kv.Op{Put: prefix + "/up/" + strconv.Itoa(p.Index), Value: p})
	}
	if !ul.cleared {
		// A leader of an earlier version takes the highest number for the present
		// batch. The records of an earlier process would hide this one's from it.
		for i := len(parts); i < maxParts; i++ {
			txn.Ops = append(txn.Ops, kv.Op{Delete: prefix + "/up/" + strconv.Itoa(i)})
		}
	}
	return txn
}

// send executes a batch's transaction and posts its result.
func (ul *relayUplink) send(c *Controller, txn kv.Txn) {
	ul.storeBusy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		res, err := c.Store.Txn(ctx, txn)
		if err != nil {
			c.Log.Debug("heartbeats not relayed", "err", err)
		}
		ul.post(c, uplinkWrittenMsg{
			tooLarge: errors.Is(err, kv.ErrInvalid),
			written:  err == nil && res.Succeeded,
		})
	}()
}

// uplinkWrittenMsg is the result of a batch's transaction.
type uplinkWrittenMsg struct{ tooLarge, written bool }

// apply halves the size of the next batches after a rejection. The heartbeats of the
// rejected one are relayed again when they repeat or change.
func (m uplinkWrittenMsg) apply(c *Controller) {
	c.uplink.storeBusy = false
	c.uplink.cleared = c.uplink.cleared || m.written
	if m.tooLarge {
		c.Log.Error("relayed heartbeats rejected as too large")
		c.uplink.sizeHalvings = min(c.uplink.sizeHalvings+1, maxSizeHalvings)
	}
}

// dropResolved drops the machines without an outcome to report, or with one that is too
// old to matter.
func (ul *relayUplink) dropResolved(now time.Time) {
	for name, m := range ul.machines {
		if m.outcome == nil || now.Sub(m.receivedAt) > outcomeRetention {
			delete(ul.machines, name)
		}
	}
}

// oldestFirst lists the machines in the order in which their heartbeats were last relayed.
func (ul *relayUplink) oldestFirst() []*relayedMachine {
	machines := make([]*relayedMachine, 0, len(ul.machines))
	for _, m := range ul.machines {
		machines = append(machines, m)
	}
	slices.SortFunc(machines, func(a, b *relayedMachine) int { return a.sentAt.Compare(b.sentAt) })
	return machines
}

// readDownlink reads the leader's record for this node; nil: there is none.
func readDownlink(ctx context.Context, store kv.Service, prefix string) (*peer.RelayDown, error) {
	e, err := store.Get(ctx, prefix+"/down")
	if err != nil || e.ModRevision == 0 {
		return nil, err
	}
	var p relay.Part
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	var down peer.RelayDown
	return &down, relay.Unpack([]relay.Part{p}, &down)
}

// downlinkReadMsg carries the leader's record for this node; nil: there is none.
type downlinkReadMsg struct{ batch *peer.RelayDown }

func (m downlinkReadMsg) apply(c *Controller) {
	ul := &c.uplink
	ul.storeBusy = false
	now := time.Now()
	if d := m.batch; d != nil && d.Incarnation == ul.incarnation {
		ul.applyDownlink(c, d, now)
	}
	ul.write(c, now)
}

// applyDownlink drops the outcomes that the leader has acknowledged and takes over the
// commands of a new batch.
func (ul *relayUplink) applyDownlink(c *Controller, d *peer.RelayDown, now time.Time) {
	for _, m := range ul.machines {
		if m.outcome != nil && m.acknowledgedIn != 0 && m.acknowledgedIn <= d.Seen {
			m.outcome = nil
		}
	}
	if d.Batch <= ul.acknowledged {
		return
	}
	ul.acknowledged = d.Batch
	for _, o := range d.Orders {
		m := ul.machines[o.Machine]
		if m == nil {
			m = &relayedMachine{heartbeat: &api.Heartbeat{Machine: o.Machine}}
			ul.machines[o.Machine] = m
		}
		m.commands, m.agentEpoch, m.baseSeq = peer.UnpackOrders(o.Orders), o.Session, o.Base
		m.term, m.receivedAt = d.Term, now
		if d.Term != c.leaseRenewer.term || o.Session != m.heartbeat.AgentEpoch {
			m.recordOutcome(0)
		}
	}
}
