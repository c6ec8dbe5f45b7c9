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
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/relay"
	"example.org/ivytrestle/internal/store"
)

// While two zones cannot reach each other, both still reach the state service.
// The node that keeps the leader's machines alive on its side writes their
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
	// maxRelayed bounds the machines that are remembered.
	maxRelayed = 2000
)

// relayUp is the node's side.
type relayUp struct {
	incarnation string
	batch       uint64
	got         uint64
	busy        bool
	next        time.Time
	machines    map[string]*relayed
}

// relayed is one machine whose reports are relayed.
type relayed struct {
	rep    *api.Report
	dirty  bool
	sentAt time.Time
	// orders wait to be handed out; they answer the report base.
	orders  []api.Order
	session uint64
	base    uint64
	since   time.Time
	term    uint64
	// outcome is what became of them, told in toldIn until that is confirmed.
	outcome *peer.RelayOutcome
	toldIn  uint64
}

func newRelayUp() relayUp {
	return relayUp{incarnation: rand.Text(), machines: map[string]*relayed{}}
}

// note takes a report that is answered here in the leader's stead, and adds the
// leader's orders to the answer.
func (u *relayUp) note(c *Controller, rep *api.Report, ans *api.ReportAnswer, now time.Time) {
	m := u.machines[rep.Machine]
	if m == nil {
		if len(u.machines) >= maxRelayed {
			return
		}
		m = &relayed{}
		u.machines[rep.Machine] = m
	}
	changed := m.rep == nil || m.rep.Session != rep.Session || !slices.Equal(m.rep.Tasks, rep.Tasks)
	if m.rep != nil && (rep.Session < m.rep.Session || rep.Session == m.rep.Session && rep.Seq <= m.rep.Seq) {
		return // a copy that comes late
	}
	m.rep = rep
	m.dirty = m.dirty || changed || now.Sub(m.sentAt) > reportAgain
	if m.orders == nil {
		return
	}
	if rep.Session != m.session || rep.Seq <= m.base || ans.Term != m.term || now.Sub(m.since) > relayOrderLife {
		m.settle(0)
		return
	}
	ans.Orders = append(ans.Orders, m.orders...)
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

// write writes what is new.
func (u *relayUp) write(c *Controller, now time.Time) {
	k := &c.keep
	leader := c.around.nodes[k.leader]
	carrying := leader.lost() && k.mark != 0 && now.Sub(k.verified) < c.keepFor()
	for _, m := range u.machines {
		if m.orders != nil && (now.Sub(m.since) > relayOrderLife || !carrying) {
			m.settle(0)
		}
	}
	if k.mark == 0 && !carrying {
		// The leader is reached again or another leads: what is left to tell
		// is told under the term that the orders belong to.
		u.forget(now)
		if len(u.machines) == 0 {
			return
		}
	}
	u.batch++
	up := &peer.RelayUp{Incarnation: u.incarnation, Batch: u.batch, Got: u.got}
	size := c.Settings.Site.State.ValueKB * 1024
	room := int(size*relayParts) * relayRaw
	for _, m := range u.oldestFirst() {
		if m.outcome != nil {
			m.toldIn = u.batch
			up.Outcomes = append(up.Outcomes, m.outcome)
			up.Term = m.term
		}
		if carrying && m.dirty && room > 0 && m.rep.Term == k.term {
			room -= 100 + 40*len(m.rep.Tasks)
			up.Reports = append(up.Reports, peer.PackReport(m.rep))
		}
	}
	if carrying {
		up.Term = k.term
	}
	parts, err := relay.Pack(up, u.batch, relayParts, int(size))
	for errors.Is(err, relay.ErrTooLarge) && len(up.Reports) > 0 {
		up.Reports = up.Reports[:len(up.Reports)/2]
		parts, err = relay.Pack(up, u.batch, relayParts, int(size))
	}
	if err != nil {
		c.Log.Error("relay", "err", err)
		return
	}
	for _, rep := range up.Reports {
		m := u.machines[rep.Machine]
		m.dirty, m.sentAt = false, now
	}
	txn := store.Txn{Records: true}
	if carrying {
		txn.Guards = []store.Guard{{Key: election.TermKey, Mark: k.mark}}
	}
	prefix := store.RelayPrefix + c.Settings.Node
	for _, p := range parts {
		txn.Ops = append(txn.Ops, store.Op{Put: prefix + "/up/" + strconv.Itoa(p.Index), Value: p})
	}
	u.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayWait)
		defer cancel()
		if _, err := c.Store.Txn(ctx, txn); err != nil {
			c.Log.Debug("reports not relayed", "err", err)
		}
		c.send(context.Background(), relaySentMsg{})
	}()
}

type relaySentMsg struct{}

func (relaySentMsg) apply(c *Controller) { c.up.busy = false }

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
	if err != nil || e.Mark == 0 {
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

func (r relayedMsg) apply(c *Controller) {
	u := &c.up
	u.busy = false
	now := time.Now()
	if d := r.down; d != nil && d.Incarnation == u.incarnation {
		u.take(c, d, now)
	}
	u.write(c, now)
}

// take takes in what the leader has written.
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
			m = &relayed{rep: &api.Report{Machine: o.Machine}}
			u.machines[o.Machine] = m
		}
		m.orders, m.session, m.base, m.term, m.since = peer.UnpackOrders(o.Orders), o.Session, o.Base, d.Term, now
		if d.Term != c.keep.term || o.Session != m.rep.Session {
			m.settle(0)
		}
	}
}

// relayDown is the leader's side.
type relayDown struct {
	nodes map[string]*relayNode
	next  time.Time
}

// relayNode is one node that relays reports.
type relayNode struct {
	incarnation string
	// seen is the last batch of its reports, batch the last of orders, and
	// got whether it has taken that in.
	seen, batch, got uint64
	last             []relay.Part
	busy             bool
	// pending are the machines whose orders have no outcome yet.
	pending map[string]*relayedOrders
}

type relayedOrders struct {
	base   uint64
	since  time.Time
	starts []*attempt
}

// tick reads what nodes out of reach have written.
func (d *relayDown) tick(r *reign, now time.Time) {
	if now.Before(d.next) {
		return
	}
	d.next = now.Add(relayEvery / 2)
	for name, n := range r.c.around.nodes {
		node := d.nodes[name]
		if node == nil {
			node = &relayNode{pending: map[string]*relayedOrders{}}
			d.nodes[name] = node
		}
		node.giveUp(r, now)
		if node.busy || !(n.lost() || len(node.pending) > 0) {
			continue
		}
		node.busy = true
		go func() {
			ctx, cancel := context.WithTimeout(r.ctx, relayWait)
			defer cancel()
			up, err := readUp(ctx, r.c.Store, store.RelayPrefix+name+"/up/")
			if err != nil {
				r.c.Log.Debug("relayed reports not read", "node", name, "err", err)
			}
			r.post(relayReadMsg{r, name, up})
		}()
	}
}

// restarted takes in under which incarnation a node is seen. One that was
// started anew hands nothing out that it was given before: the next reports
// decide.
func (d *relayDown) restarted(r *reign, name, incarnation string) {
	node := d.nodes[name]
	if node == nil || incarnation == "" || node.incarnation == incarnation {
		return
	}
	for machine, p := range node.pending {
		p.settled(r, 1)
		delete(node.pending, machine)
	}
}

// giveUp bounds how long a machine is held for a node that tells nothing any
// more: it gets no more work, and its return settles what became of its orders.
func (n *relayNode) giveUp(r *reign, now time.Time) {
	for name, p := range n.pending {
		if now.Sub(p.since) < outcomeWithin {
			continue
		}
		delete(n.pending, name)
		for _, a := range p.starts {
			if a.direct.waiting = false; a.seen == 0 && a.machine.attempts[a.key] == a {
				a.direct.unsure = true
				r.leave(a.machine, "order unanswered")
				if a.job.over {
					r.settleUnsure(a)
				}
			}
		}
	}
}

func readUp(ctx context.Context, st store.Service, prefix string) (*peer.RelayUp, error) {
	page, err := st.Range(ctx, prefix, "", 2*relayParts)
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	var parts []relay.Part
	for _, e := range page.Rows {
		var p relay.Part
		if err := json.Unmarshal(e.Value, &p); err != nil || !strings.HasPrefix(e.Key, prefix) {
			return nil, fmt.Errorf("relay: record %s: %w", e.Key, err)
		}
		parts = append(parts, p)
	}
	var up peer.RelayUp
	if err := relay.Unpack(parts, &up); err != nil {
		return nil, err
	}
	return &up, nil
}

// relayReadMsg brings what a node has written; nil: nothing.
type relayReadMsg struct {
	r    *reign
	node string
	up   *peer.RelayUp
}

func (m relayReadMsg) apply(c *Controller) {
	r := m.r
	if c.reign != r {
		return
	}
	node := r.down.nodes[m.node]
	node.busy = false
	up := m.up
	if up == nil || up.Term != r.term.Number || !c.valid() || !r.loaded {
		return
	}
	if r.down.restarted(r, m.node, up.Incarnation); node.incarnation != up.Incarnation {
		*node = relayNode{incarnation: up.Incarnation, batch: up.Got, pending: map[string]*relayedOrders{}}
	}
	if up.Batch <= node.seen {
		return
	}
	node.seen, node.got = up.Batch, up.Got
	for _, o := range up.Outcomes {
		if p := node.pending[o.Machine]; p != nil && p.base == o.Base {
			p.settled(r, o.Handed)
			delete(node.pending, o.Machine)
		}
	}
	now := time.Now()
	answer := &peer.RelayDown{Term: r.term.Number, Incarnation: node.incarnation, Seen: node.seen}
	confirmed := node.got == node.batch
	for _, rep := range up.Reports {
		r.relayedReport(node, rep.Unpack(), answer, confirmed, now)
	}
	if confirmed {
		node.batch++
	}
	answer.Batch = node.batch
	r.writeDown(m.node, node, answer, confirmed)
}

// relayedReport takes a relayed report in and adds its orders to the answer.
func (r *reign) relayedReport(node *relayNode, rep *api.Report, answer *peer.RelayDown, confirmed bool, now time.Time) {
	mc := r.machines[rep.Machine]
	hold := !confirmed || node.pending[rep.Machine] != nil
	if mc != nil {
		mc.held = hold
	}
	ans, err := r.report(rep, now)
	if mc = r.machines[rep.Machine]; mc == nil {
		return
	}
	mc.held, mc.asked = false, nil
	if err != nil || hold || len(ans.Orders) == 0 || mc.seq != rep.Seq {
		return
	}
	p := &relayedOrders{base: rep.Seq, since: now}
	for _, o := range ans.Orders {
		if a := mc.attempts[attemptKey{o.Task, o.Attempt}]; a != nil && o.Verb == api.VerbStart {
			a.direct = &directStart{session: rep.Session, waiting: true}
			p.starts = append(p.starts, a)
		}
	}
	node.pending[rep.Machine] = p
	answer.Orders = append(answer.Orders, &peer.RelayOrders{Machine: rep.Machine, Session: rep.Session, Base: rep.Seq, Orders: peer.PackOrders(ans.Orders)})
}

// settled takes in what became of orders: handed is the report in whose answer
// they were handed out, or 0.
func (p *relayedOrders) settled(r *reign, handed uint64) {
	for _, a := range p.starts {
		a.direct.waiting = false
		if handed > 0 {
			a.direct.seq = handed + 1
		} else if a.seen == 0 && a.machine.attempts[a.key] == a {
			r.offMachine(a)
		}
	}
}

// writeDown writes the answer. What does not fit the record is taken back.
func (r *reign) writeDown(name string, node *relayNode, answer *peer.RelayDown, fresh bool) {
	size := int(r.c.Settings.Site.State.ValueKB * 1024)
	if fresh {
		parts, err := relay.Pack(answer, answer.Batch, 1, size)
		for errors.Is(err, relay.ErrTooLarge) && len(answer.Orders) > 0 {
			cut := answer.Orders[len(answer.Orders)*3/4:]
			answer.Orders = answer.Orders[:len(answer.Orders)*3/4]
			for _, o := range cut {
				node.pending[o.Machine].settled(r, 0)
				delete(node.pending, o.Machine)
			}
			parts, err = relay.Pack(answer, answer.Batch, 1, size)
		}
		if err != nil {
			r.c.Log.Error("relay", "err", err)
			return
		}
		node.last = parts
	}
	if len(node.last) == 0 {
		return
	}
	// Until it is confirmed the same batch is written again.
	txn := store.Txn{Records: true, Guards: []store.Guard{r.termGuard()},
		Ops: []store.Op{{Put: store.RelayPrefix + name + "/down", Value: node.last[0]}}}
	node.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, relayWait)
		defer cancel()
		if _, err := r.c.Store.Txn(ctx, txn); err != nil {
			r.c.Log.Debug("relayed orders not written", "err", err)
		}
		r.post(relayWrittenMsg{r, name})
	}()
}

type relayWrittenMsg struct {
	r    *reign
	node string
}

func (m relayWrittenMsg) apply(c *Controller) {
	if c.reign == m.r {
		m.r.down.nodes[m.node].busy = false
	}
}
