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

// While two zones cannot reach each other, both still reach the state service.
// The node that extends the leases of the leader's machines on its side writes their
// reports there, batched, and hands out the orders that the leader writes back.
// This is how it stays safe:
//
//   - The leader decides all; the node only carries.
//   - Orders that answer one report are handed out at most once, in the answer
//     to a later report of the same session, within relayCommandLifetime, and only
//     while the node may answer in the leader's term at all.
//   - A start stays on its machine in the leader's mind, whatever reports show,
//     until the node has told in the answer to which report it was handed out,
//     or that it never will be. Then the next report decides.
//   - Until then the leader gives the machine nothing more this way.
//   - Each side repeats what the other has not confirmed, by batch numbers. A
//     node that was started anew has forgotten its orders, so it hands none out.
const (
	relayInterval        = 700 * time.Millisecond
	relayCommandLifetime = 4 * time.Second
	// maxRelayParts bounds the records of a batch of reports.
	maxRelayParts = 3
	// relayCompression is about how many bytes of reports fit one byte of a record.
	relayCompression = 3
	// heartbeatRepeatInterval is when a report is relayed again that shows nothing new.
	heartbeatRepeatInterval = time.Second
	relayTimeout            = 1500 * time.Millisecond
	// outcomeTimeout is how long the outcome of orders is waited for.
	outcomeTimeout = 20 * time.Second
	// relayMemory is the part of the memory that the machines whose reports are
	// relayed may take, and relayedMachineBytes about what one of them takes.
	relayMemory         = 1.0 / 8
	relayedMachineBytes = 2 << 10
)

// relayUplink is the node's side.
type relayUplink struct {
	incarnation  string
	batch        uint64
	acknowledged uint64
	busy         bool
	next         time.Time
	machines     map[string]*relayedMachine
	// maxMachines bounds the machines that are remembered.
	maxMachines int
	// sizeHalvings is how often a batch was refused as too large.
	sizeHalvings int
	// cleared is set once no record of an earlier process can stand beside a batch.
	cleared bool
}

// maxRelayRecordBytes is the size of a record, of so many in a transaction.
func maxRelayRecordBytes(lim config.StateLimits, parts int) int {
	return min(int(lim.ValueKB*1024), kv.MaxTxnBytes*3/4/parts)
}

// relayedMachine is one machine whose reports are relayed.
type relayedMachine struct {
	heartbeat *api.Heartbeat
	dirty     bool
	sentAt    time.Time
	// commands wait to be handed out; they answer the report base.
	commands   []api.Command
	agentEpoch uint64
	baseSeq    uint64
	receivedAt time.Time
	term       uint64
	// outcome is what became of them, told in acknowledgedIn until that is confirmed.
	outcome        *peer.RelayOutcome
	acknowledgedIn uint64
}

func newRelayUp(lim config.Limits) relayUplink {
	return relayUplink{incarnation: rand.Text(), machines: map[string]*relayedMachine{}, maxMachines: lim.Entries(relayMemory, relayedMachineBytes)}
}

// recordHeartbeat stores a report that is answered here in place of the leader, and adds the
// leader's orders to the answer.
func (ul *relayUplink) recordHeartbeat(c *Controller, hb *api.Heartbeat, response *api.HeartbeatResponse, now time.Time) {
	m := ul.machines[hb.Machine]
	if m == nil {
		if len(ul.machines) >= ul.maxMachines {
			return
		}
		m = &relayedMachine{}
		ul.machines[strings.Clone(hb.Machine)] = m
	}
	changed := m.heartbeat == nil || m.heartbeat.AgentEpoch != hb.AgentEpoch || !slices.Equal(m.heartbeat.Tasks, hb.Tasks)
	if m.heartbeat != nil && (hb.AgentEpoch < m.heartbeat.AgentEpoch || hb.AgentEpoch == m.heartbeat.AgentEpoch && hb.Seq <= m.heartbeat.Seq) {
		return // a copy that comes late
	}
	m.heartbeat = hb
	m.dirty = m.dirty || changed || now.Sub(m.sentAt) > heartbeatRepeatInterval
	if m.commands == nil {
		return
	}
	if hb.AgentEpoch != m.agentEpoch || hb.Seq <= m.baseSeq || response.Term != m.term || now.Sub(m.receivedAt) > relayCommandLifetime {
		m.recordOutcome(0)
		return
	}
	response.Commands = append(response.Commands, m.commands...)
	m.recordOutcome(hb.Seq)
}

// recordOutcome notes what became of the orders.
func (m *relayedMachine) recordOutcome(handed uint64) {
	m.outcome = &peer.RelayOutcome{Machine: m.heartbeat.Machine, Session: m.agentEpoch, Base: m.baseSeq, Handed: handed}
	m.commands, m.acknowledgedIn = nil, 0
	m.dirty = true
}

// dropCommands gives up the orders of a machine whose reports reach the leader.
func (ul *relayUplink) dropCommands(machine string) {
	if m := ul.machines[machine]; m != nil && m.commands != nil {
		m.recordOutcome(0)
	}
}

// tick reads what the leader has written, if anything is relayed.
func (ul *relayUplink) tick(c *Controller, now time.Time) {
	if ul.busy || now.Before(ul.next) || len(ul.machines) == 0 {
		return
	}
	ul.next, ul.busy = now.Add(relayInterval), true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		down, err := readDownlink(ctx, c.Store, records.RelayPrefix+c.Settings.Node)
		if err != nil {
			c.Log.Debug("relayed orders not read", "err", err)
		}
		c.send(context.Background(), downlinkReadMsg{down})
	}()
}

// write writes new reports and outcomes to the store.
func (ul *relayUplink) write(c *Controller, now time.Time) {
	renewer := &c.leaseRenewer
	leader := c.membership.members[renewer.leader]
	carrying := leader.isUnreachable() && renewer.termRevision != 0 && now.Sub(renewer.verifiedAt) < c.renewalPeriod()
	for _, m := range ul.machines {
		if m.commands != nil && (now.Sub(m.receivedAt) > relayCommandLifetime || !carrying) {
			m.recordOutcome(0)
		}
	}
	if renewer.termRevision == 0 && !carrying {
		// The leader is reached again or another leads: what is left to tell
		// is told under the term that the orders belong to.
		ul.dropResolved(now)
		if len(ul.machines) == 0 {
			return
		}
	}
	ul.batch++
	lim := c.Settings.Site.State
	maxParts := min(maxRelayParts, lim.TxnOps)
	size := max(maxRelayRecordBytes(lim, maxParts)>>ul.sizeHalvings, 256)
	up, withOutcome := ul.buildBatch(renewer, carrying, size*maxParts*relayCompression)
	parts, err := ul.packBatch(c, up, maxParts, size, now)
	if err != nil {
		c.Log.Error("relay", "err", err)
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
	if carrying {
		txn.Compares = []kv.Compare{{Key: election.TermKey, ModRevision: renewer.termRevision}}
	}
	// Where few changes are allowed, relaying must leave room for submissions.
	if next := now.Add(config.Duration(float64(len(txn.Ops)) / (lim.WriteRPS * kv.RecordShare))); next.After(ul.next) {
		ul.next = next
	}
	ul.send(c, txn)
}

// buildBatch builds a batch of outcomes and, while the leader cannot be reached, of
// about room bytes of reports. It returns with it the machines of the outcomes.
func (ul *relayUplink) buildBatch(renewer *leaseRenewer, carrying bool, maxBytes int) (up *peer.RelayUp, withOutcome []*relayedMachine) {
	up = &peer.RelayUp{Incarnation: ul.incarnation, Batch: ul.batch, Got: ul.acknowledged}
	for _, m := range ul.oldestFirst() {
		if m.outcome != nil {
			withOutcome = append(withOutcome, m)
			up.Outcomes = append(up.Outcomes, m.outcome)
			up.Term = m.term
		}
		if carrying && m.dirty && maxBytes > 0 && m.heartbeat.Term == renewer.term {
			maxBytes -= 100 + 40*len(m.heartbeat.Tasks)
			up.Reports = append(up.Reports, peer.PackReport(m.heartbeat))
		}
	}
	if carrying {
		up.Term = renewer.term
	}
	return up, withOutcome
}

// packBatch divides a batch into at most so many records of a size. Of a batch that is
// too large, it leaves out reports first, then outcomes.
func (ul *relayUplink) packBatch(c *Controller, up *peer.RelayUp, maxParts, size int, now time.Time) ([]relay.Part, error) {
	parts, err := relay.Pack(up, ul.batch, maxParts, size)
	for errors.Is(err, relay.ErrTooLarge) && len(up.Reports)+len(up.Outcomes) > 0 {
		// Outcomes are told until they are confirmed: what is left out comes
		// with a later batch.
		if len(up.Reports) > 0 {
			if len(up.Reports) == 1 {
				// One that fits no batch must not keep the others from theirs.
				ul.machines[up.Reports[0].Machine].sentAt = now
				c.Log.Warn("report too large to relay", "machine", up.Reports[0].Machine, "tasks", len(up.Reports[0].Tasks))
			}
			up.Reports = up.Reports[:len(up.Reports)/2]
		} else {
			up.Outcomes = up.Outcomes[:len(up.Outcomes)/2]
		}
		parts, err = relay.Pack(up, ul.batch, maxParts, size)
	}
	return parts, err
}

// batchTransaction puts the parts of a batch in place of the last one's.
func (ul *relayUplink) batchTransaction(prefix string, parts []relay.Part, maxParts int) kv.Txn {
	txn := kv.Txn{Records: true}
	for _, p := range parts {
		txn.Ops = append(txn.Ops, kv.Op{Put: prefix + "/up/" + strconv.Itoa(p.Index), Value: p})
	}
	if !ul.cleared {
		// A leader of an earlier version takes the highest number for the present
		// batch. What an earlier process has left would hide this one's from it.
		for i := len(parts); i < maxParts; i++ {
			txn.Ops = append(txn.Ops, kv.Op{Delete: prefix + "/up/" + strconv.Itoa(i)})
		}
	}
	return txn
}

// send carries out a batch's transaction and posts its result.
func (ul *relayUplink) send(c *Controller, txn kv.Txn) {
	ul.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		res, err := c.Store.Txn(ctx, txn)
		if err != nil {
			c.Log.Debug("reports not relayed", "err", err)
		}
		c.send(context.Background(), uplinkWrittenMsg{tooLarge: errors.Is(err, kv.ErrInvalid), written: err == nil && res.Succeeded})
	}()
}

type uplinkWrittenMsg struct{ tooLarge, written bool }

// The reports of a batch that was refused come again with the next, which is
// half as large.
func (m uplinkWrittenMsg) apply(c *Controller) {
	c.uplink.busy = false
	c.uplink.cleared = c.uplink.cleared || m.written
	if m.tooLarge {
		c.Log.Error("reports refused as too large")
		c.uplink.sizeHalvings = min(c.uplink.sizeHalvings+1, 8)
	}
}

// dropResolved drops the machines about which nothing is left to tell.
func (ul *relayUplink) dropResolved(now time.Time) {
	for name, m := range ul.machines {
		if m.outcome == nil || now.Sub(m.receivedAt) > time.Minute {
			delete(ul.machines, name)
		}
	}
}

func (ul *relayUplink) oldestFirst() []*relayedMachine {
	ms := make([]*relayedMachine, 0, len(ul.machines))
	for _, m := range ul.machines {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *relayedMachine) int { return a.sentAt.Compare(b.sentAt) })
	return ms
}

func readDownlink(ctx context.Context, st kv.Service, prefix string) (*peer.RelayDown, error) {
	e, err := st.Get(ctx, prefix+"/down")
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

// downlinkReadMsg brings what the leader has written; nil: nothing.
type downlinkReadMsg struct{ batch *peer.RelayDown }

func (m downlinkReadMsg) apply(c *Controller) {
	ul := &c.uplink
	ul.busy = false
	now := time.Now()
	if d := m.batch; d != nil && d.Incarnation == ul.incarnation {
		ul.applyDownlink(c, d, now)
	}
	ul.write(c, now)
}

// applyDownlink processes what the leader has written.
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
		m.commands, m.agentEpoch, m.baseSeq, m.term, m.receivedAt = peer.UnpackOrders(o.Orders), o.Session, o.Base, d.Term, now
		if d.Term != c.leaseRenewer.term || o.Session != m.heartbeat.AgentEpoch {
			m.recordOutcome(0)
		}
	}
}
