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
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/relay"
	"example.org/ivytrestle/internal/store"
)

// While two zones cannot reach each other, both still reach the state service.
// The node that extends the leases of the leader's machines on its side writes their
// reports there, batched, and hands out the orders that the leader writes back.
// This is how it stays safe:
//
//   - The leader decides all; the node only carries.
//   - Orders that answer one report are handed out at most once, in the answer
//     to a later report of the same session, within relayOrderLife, and only
//     while the node may answer in the leader's term at all.
//   - A start stays on its machine in the leader's mind, whatever reports show,
//     until the node has told in the answer to which report it was handed out,
//     or that it never will be. Then the next report decides.
//   - Until then the leader gives the machine nothing more this way.
//   - Each side repeats what the other has not confirmed, by batch numbers. A
//     node that was started anew has forgotten its orders, so it hands none out.
const (
	relayEvery     = 700 * time.Millisecond
	relayOrderLife = 4 * time.Second
	// relayParts bounds the records of a batch of reports.
	relayParts = 3
	// relayRaw is about how many bytes of reports fit one byte of a record.
	relayRaw = 3
	// reportAgain is when a report is relayed again that shows nothing new.
	reportAgain = time.Second
	relayWait   = 1500 * time.Millisecond
	// outcomeWithin is how long the outcome of orders is waited for.
	outcomeWithin = 20 * time.Second
	// relayMemory is the part of the memory that the machines whose reports are
	// relayed may take, and relayedBytes about what one of them takes.
	relayMemory  = 1.0 / 8
	relayedBytes = 2 << 10
)

// relayUp is the node's side.
type relayUp struct {
	incarnation string
	batch       uint64
	got         uint64
	busy        bool
	next        time.Time
	machines    map[string]*relayed
	// maxMachines bounds the machines that are remembered.
	maxMachines int
	// halved is how often a batch was refused as too large.
	halved int
	// cleared is set once no record of an earlier process can stand beside a batch.
	cleared bool
}

// relayRoom is the size of a record, of so many in a transaction.
func relayRoom(lim config.StateLimits, parts int) int {
	return min(int(lim.ValueKB*1024), store.MaxTxnBytes*3/4/parts)
}

// relayed is one machine whose reports are relayed.
type relayed struct {
	rep    *api.Heartbeat
	dirty  bool
	sentAt time.Time
	// orders wait to be handed out; they answer the report base.
	orders  []api.Command
	session uint64
	base    uint64
	since   time.Time
	term    uint64
	// outcome is what became of them, told in toldIn until that is confirmed.
	outcome *peer.RelayOutcome
	toldIn  uint64
}

func newRelayUp(lim config.Limits) relayUp {
	return relayUp{incarnation: rand.Text(), machines: map[string]*relayed{}, maxMachines: lim.Entries(relayMemory, relayedBytes)}
}

// note stores a report that is answered here in place of the leader, and adds the
// leader's orders to the answer.
func (u *relayUp) note(c *Controller, rep *api.Heartbeat, ans *api.HeartbeatResponse, now time.Time) {
	m := u.machines[rep.Machine]
	if m == nil {
		if len(u.machines) >= u.maxMachines {
			return
		}
		m = &relayed{}
		u.machines[strings.Clone(rep.Machine)] = m
	}
	changed := m.rep == nil || m.rep.AgentEpoch != rep.AgentEpoch || !slices.Equal(m.rep.Tasks, rep.Tasks)
	if m.rep != nil && (rep.AgentEpoch < m.rep.AgentEpoch || rep.AgentEpoch == m.rep.AgentEpoch && rep.Seq <= m.rep.Seq) {
		return // a copy that comes late
	}
	m.rep = rep
	m.dirty = m.dirty || changed || now.Sub(m.sentAt) > reportAgain
	if m.orders == nil {
		return
	}
	if rep.AgentEpoch != m.session || rep.Seq <= m.base || ans.Term != m.term || now.Sub(m.since) > relayOrderLife {
		m.settle(0)
		return
	}
	ans.Commands = append(ans.Commands, m.orders...)
	m.settle(rep.Seq)
}

// settle notes what became of the orders.
func (m *relayed) settle(handed uint64) {
	m.outcome = &peer.RelayOutcome{Machine: m.rep.Machine, Session: m.session, Base: m.base, Handed: handed}
	m.orders, m.toldIn = nil, 0
	m.dirty = true
}

// dropOrders gives up the orders of a machine whose reports reach the leader.
func (u *relayUp) dropOrders(machine string) {
	if m := u.machines[machine]; m != nil && m.orders != nil {
		m.settle(0)
	}
}

// tick reads what the leader has written, if anything is relayed.
func (u *relayUp) tick(c *Controller, now time.Time) {
	if u.busy || now.Before(u.next) || len(u.machines) == 0 {
		return
	}
	u.next, u.busy = now.Add(relayEvery), true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayWait)
		defer cancel()
		down, err := readDown(ctx, c.Store, store.RelayPrefix+c.Settings.Node)
		if err != nil {
			c.Log.Debug("relayed orders not read", "err", err)
		}
		c.send(context.Background(), relayedMsg{down})
	}()
}

// write writes new reports and outcomes to the store.
func (u *relayUp) write(c *Controller, now time.Time) {
	extender := &c.leaseRenewer
	leader := c.membership.members[extender.leader]
	carrying := leader.isUnreachable() && extender.termRevision != 0 && now.Sub(extender.verifiedAt) < c.renewalPeriod()
	for _, m := range u.machines {
		if m.orders != nil && (now.Sub(m.since) > relayOrderLife || !carrying) {
			m.settle(0)
		}
	}
	if extender.termRevision == 0 && !carrying {
		// The leader is reached again or another leads: what is left to tell
		// is told under the term that the orders belong to.
		u.forget(now)
		if len(u.machines) == 0 {
			return
		}
	}
	u.batch++
	lim := c.Settings.Site.State
	most := min(relayParts, lim.TxnOps)
	size := max(relayRoom(lim, most)>>u.halved, 256)
	up, told := u.compose(extender, carrying, size*most*relayRaw)
	parts, err := u.pack(c, up, most, size, now)
	if err != nil {
		c.Log.Error("relay", "err", err)
		return
	}
	for _, m := range told[:len(up.Outcomes)] {
		m.toldIn = u.batch
	}
	for _, rep := range up.Reports {
		m := u.machines[rep.Machine]
		m.dirty, m.sentAt = false, now
	}
	txn := u.transaction(store.RelayPrefix+c.Settings.Node, parts, most)
	if carrying {
		txn.Compares = []store.Compare{{Key: election.TermKey, ModRevision: extender.termRevision}}
	}
	// Where few changes are allowed, relaying must leave room for submissions.
	if next := now.Add(config.Seconds(float64(len(txn.Ops)) / (lim.WriteRPS * store.RecordShare))); next.After(u.next) {
		u.next = next
	}
	u.send(c, txn)
}

// compose builds a batch of outcomes and, while the leader cannot be reached, of
// about room bytes of reports. It returns with it the machines of the outcomes.
func (u *relayUp) compose(extender *leaseRenewer, carrying bool, room int) (up *peer.RelayUp, told []*relayed) {
	up = &peer.RelayUp{Incarnation: u.incarnation, Batch: u.batch, Got: u.got}
	for _, m := range u.oldestFirst() {
		if m.outcome != nil {
			told = append(told, m)
			up.Outcomes = append(up.Outcomes, m.outcome)
			up.Term = m.term
		}
		if carrying && m.dirty && room > 0 && m.rep.Term == extender.term {
			room -= 100 + 40*len(m.rep.Tasks)
			up.Reports = append(up.Reports, peer.PackReport(m.rep))
		}
	}
	if carrying {
		up.Term = extender.term
	}
	return up, told
}

// pack divides a batch into at most so many records of a size. Of a batch that is
// too large, it leaves out reports first, then outcomes.
func (u *relayUp) pack(c *Controller, up *peer.RelayUp, most, size int, now time.Time) ([]relay.Part, error) {
	parts, err := relay.Pack(up, u.batch, most, size)
	for errors.Is(err, relay.ErrTooLarge) && len(up.Reports)+len(up.Outcomes) > 0 {
		// Outcomes are told until they are confirmed: what is left out comes
		// with a later batch.
		if len(up.Reports) > 0 {
			if len(up.Reports) == 1 {
				// One that fits no batch must not keep the others from theirs.
				u.machines[up.Reports[0].Machine].sentAt = now
				c.Log.Warn("report too large to relay", "machine", up.Reports[0].Machine, "tasks", len(up.Reports[0].Tasks))
			}
			up.Reports = up.Reports[:len(up.Reports)/2]
		} else {
			up.Outcomes = up.Outcomes[:len(up.Outcomes)/2]
		}
		parts, err = relay.Pack(up, u.batch, most, size)
	}
	return parts, err
}

// transaction puts the parts of a batch in place of the last one's.
func (u *relayUp) transaction(prefix string, parts []relay.Part, most int) store.Txn {
	txn := store.Txn{Records: true}
	for _, p := range parts {
		txn.Ops = append(txn.Ops, store.Op{Put: prefix + "/up/" + strconv.Itoa(p.Index), Value: p})
	}
	if !u.cleared {
		// A leader of an earlier version takes the highest number for the present
		// batch. What an earlier process has left would hide this one's from it.
		for i := len(parts); i < most; i++ {
			txn.Ops = append(txn.Ops, store.Op{Delete: prefix + "/up/" + strconv.Itoa(i)})
		}
	}
	return txn
}

// send carries out a batch's transaction and posts its result.
func (u *relayUp) send(c *Controller, txn store.Txn) {
	u.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayWait)
		defer cancel()
		res, err := c.Store.Txn(ctx, txn)
		if err != nil {
			c.Log.Debug("reports not relayed", "err", err)
		}
		c.send(context.Background(), relaySentMsg{tooLarge: errors.Is(err, store.ErrInvalid), written: err == nil && res.Succeeded})
	}()
}

type relaySentMsg struct{ tooLarge, written bool }

// The reports of a batch that was refused come again with the next, which is
// half as large.
func (m relaySentMsg) apply(c *Controller) {
	c.up.busy = false
	c.up.cleared = c.up.cleared || m.written
	if m.tooLarge {
		c.Log.Error("reports refused as too large")
		c.up.halved = min(c.up.halved+1, 8)
	}
}

// forget drops the machines about which nothing is left to tell.
func (u *relayUp) forget(now time.Time) {
	for name, m := range u.machines {
		if m.outcome == nil || now.Sub(m.since) > time.Minute {
			delete(u.machines, name)
		}
	}
}

func (u *relayUp) oldestFirst() []*relayed {
	ms := make([]*relayed, 0, len(u.machines))
	for _, m := range u.machines {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *relayed) int { return a.sentAt.Compare(b.sentAt) })
	return ms
}

func readDown(ctx context.Context, st store.Service, prefix string) (*peer.RelayDown, error) {
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

// relayedMsg brings what the leader has written; nil: nothing.
type relayedMsg struct{ down *peer.RelayDown }

func (m relayedMsg) apply(c *Controller) {
	u := &c.up
	u.busy = false
	now := time.Now()
	if d := m.down; d != nil && d.Incarnation == u.incarnation {
		u.take(c, d, now)
	}
	u.write(c, now)
}

// take processes what the leader has written.
func (u *relayUp) take(c *Controller, d *peer.RelayDown, now time.Time) {
	for _, m := range u.machines {
		if m.outcome != nil && m.toldIn != 0 && m.toldIn <= d.Seen {
			m.outcome = nil
		}
	}
	if d.Batch <= u.got {
		return
	}
	u.got = d.Batch
	for _, o := range d.Orders {
		m := u.machines[o.Machine]
		if m == nil {
			m = &relayed{rep: &api.Heartbeat{Machine: o.Machine}}
			u.machines[o.Machine] = m
		}
		m.orders, m.session, m.base, m.term, m.since = peer.UnpackOrders(o.Orders), o.Session, o.Base, d.Term, now
		if d.Term != c.leaseRenewer.term || o.Session != m.rep.AgentEpoch {
			m.settle(0)
		}
	}
}
