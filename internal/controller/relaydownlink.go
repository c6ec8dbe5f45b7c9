package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// relayDownlink is the leader's side.
type relayDownlink struct {
	nodes map[string]*relayNode
	next  time.Time
}

// relayNode is one node that relays reports.
type relayNode struct {
	incarnation string
	// lastBatch is the last batch of its reports, batch the last of orders, and
	// got whether it has taken that in.
	lastBatch, batch, acknowledged uint64
	lastParts                      []relay.Part
	busy                           bool
	// pending are the machines whose orders have no outcome yet.
	pending map[string]*relayedCommands
	// sizeHalvings is how often a batch was refused as too large, and unconfirmed is set
	// if the present one may have been written all the same.
	sizeHalvings   int
	outcomeUnknown bool
	// batchMachines are the machines with orders in the last batch.
	batchMachines []string
}

type relayedCommands struct {
	baseSeq uint64
	sentAt  time.Time
	starts  []*attempt
}

// tick reads what nodes out of reach have written.
func (dl *relayDownlink) tick(lt *leaderTerm, now time.Time) {
	if now.Before(dl.next) {
		return
	}
	dl.next = now.Add(relayInterval / 2)
	for name, mb := range lt.c.membership.members {
		node := dl.nodes[name]
		if node == nil {
			node = &relayNode{pending: map[string]*relayedCommands{}}
			dl.nodes[name] = node
		}
		node.expirePending(lt, now)
		if node.busy || !(mb.isUnreachable() || len(node.pending) > 0) {
			continue
		}
		node.busy = true
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
			defer cancel()
			up, err := readUplink(ctx, lt.c.Store, records.RelayPrefix+name+"/up/")
			if err != nil {
				lt.c.Log.Debug("relayed reports not read", "node", name, "err", err)
			}
			lt.sendToOwner(uplinkReadMsg{lt, name, up})
		}()
	}
}

// restarted handles the incarnation under which a node is seen. One that was
// started anew hands nothing out that it was given before: the next reports
// decide.
func (dl *relayDownlink) restarted(lt *leaderTerm, name, incarnation string) {
	node := dl.nodes[name]
	if node == nil || incarnation == "" || node.incarnation == incarnation {
		return
	}
	for machine, p := range node.pending {
		p.applyOutcome(lt, 1)
		delete(node.pending, machine)
	}
}

// expirePending bounds how long a machine is held for a node that tells nothing any
// more: it gets no more work, and its return settles what became of its orders.
func (n *relayNode) expirePending(lt *leaderTerm, now time.Time) {
	for name, p := range n.pending {
		if now.Sub(p.sentAt) < outcomeTimeout {
			continue
		}
		delete(n.pending, name)
		for _, a := range p.starts {
			if a.direct.inFlight = false; a.lastSeenIn == 0 && a.machine.attempts[a.key] == a {
				a.direct.outcomeUnknown = true
				lt.evacuate(a.machine, "order unanswered")
				if a.job.ended {
					lt.resolveOutcome(a)
				}
			}
		}
	}
}

func readUplink(ctx context.Context, st kv.Service, prefix string) (*peer.RelayUp, error) {
	page, err := st.Range(ctx, prefix, "", 2*maxRelayParts)
	if err != nil || len(page.Entries) == 0 {
		return nil, err
	}
	var parts []relay.Part
	for _, e := range page.Entries {
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

// uplinkReadMsg brings what a node has written; nil: nothing.
type uplinkReadMsg struct {
	leaderTerm *leaderTerm
	node       string
	batch      *peer.RelayUp
}

func (m uplinkReadMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	node := lt.downlink.nodes[m.node]
	node.busy = false
	up := m.batch
	if up == nil || up.Term != lt.term.Number || !c.holdsLease() || !lt.loaded {
		return
	}
	if lt.downlink.restarted(lt, m.node, up.Incarnation); node.incarnation != up.Incarnation {
		*node = relayNode{incarnation: up.Incarnation, batch: up.Got, pending: map[string]*relayedCommands{}}
	}
	if up.Batch <= node.lastBatch {
		return
	}
	node.lastBatch, node.acknowledged = up.Batch, up.Got
	for _, o := range up.Outcomes {
		if p := node.pending[o.Machine]; p != nil && p.baseSeq == o.Base {
			p.applyOutcome(lt, o.Handed)
			delete(node.pending, o.Machine)
		}
	}
	now := time.Now()
	down := &peer.RelayDown{Term: lt.term.Number, Incarnation: node.incarnation, Seen: node.lastBatch}
	confirmed := node.acknowledged == node.batch
	for _, hb := range up.Reports {
		lt.handleRelayedHeartbeat(node, hb.Unpack(), down, confirmed, now)
	}
	if confirmed {
		node.batch++
	}
	down.Batch = node.batch
	lt.writeDownlink(m.node, node, down, confirmed)
}

// handleRelayedHeartbeat takes a relayed report in and adds its orders to the answer.
func (lt *leaderTerm) handleRelayedHeartbeat(node *relayNode, hb *api.Heartbeat, down *peer.RelayDown, confirmed bool, now time.Time) {
	m := lt.machines[hb.Machine]
	withhold := !confirmed || node.pending[hb.Machine] != nil
	if m != nil {
		m.relayPending = withhold
	}
	response, err := lt.handleOwnHeartbeat(hb, now)
	if m = lt.machines[hb.Machine]; m == nil {
		return
	}
	m.relayPending, m.lastCommands = false, nil
	if err != nil || withhold || len(response.Commands) == 0 || m.heartbeatSeq != hb.Seq {
		return
	}
	p := &relayedCommands{baseSeq: hb.Seq, sentAt: now}
	for _, o := range response.Commands {
		if a := m.attempts[attemptKey{o.Task, o.Attempt}]; a != nil && o.Verb == api.VerbStart {
			a.direct = &directCommand{agentEpoch: hb.AgentEpoch, inFlight: true}
			p.starts = append(p.starts, a)
		}
	}
	node.pending[hb.Machine] = p
	down.Orders = append(down.Orders, &peer.RelayOrders{Machine: hb.Machine, Session: hb.AgentEpoch, Base: hb.Seq, Orders: peer.PackOrders(response.Commands)})
}

// applyOutcome records the outcome of orders: handed is the report in whose answer
// they were handed out, or 0.
func (p *relayedCommands) applyOutcome(lt *leaderTerm, handed uint64) {
	for _, a := range p.starts {
		a.direct.inFlight = false
		if handed > 0 {
			a.direct.seq = handed + 1
		} else if a.lastSeenIn == 0 && a.machine.attempts[a.key] == a {
			lt.offMachine(a)
		}
	}
}

// revokeHalf takes back the latter half of a machine's orders.
func (p *relayedCommands) revokeHalf(lt *leaderTerm, o *peer.RelayOrders) {
	o.Orders = o.Orders[:len(o.Orders)/2]
	revoked := &relayedCommands{}
	p.starts = slices.DeleteFunc(p.starts, func(a *attempt) bool {
		left := slices.ContainsFunc(o.Orders, func(o *peer.Order) bool { return o.Verb == api.VerbStart && attemptKey{o.Task, o.Attempt} == a.key })
		if !left {
			revoked.starts = append(revoked.starts, a)
		}
		return !left
	})
	revoked.applyOutcome(lt, 0)
}

// writeDownlink writes the answer. What does not fit the record is taken back.
func (lt *leaderTerm) writeDownlink(name string, node *relayNode, down *peer.RelayDown, fresh bool) {
	size := max(maxRelayRecordBytes(lt.c.Settings.Site.State, 1)>>node.sizeHalvings, 256)
	if fresh {
		parts, err := relay.Pack(down, down.Batch, 1, size)
		for errors.Is(err, relay.ErrTooLarge) && len(down.Orders) > 0 {
			if only := down.Orders[0]; len(down.Orders) == 1 && len(only.Orders) > 1 {
				// Taken back whole, they would be the same again next time.
				node.pending[only.Machine].revokeHalf(lt, only)
				parts, err = relay.Pack(down, down.Batch, 1, size)
				continue
			}
			dropped := down.Orders[len(down.Orders)*3/4:]
			down.Orders = down.Orders[:len(down.Orders)*3/4]
			for _, o := range dropped {
				node.pending[o.Machine].applyOutcome(lt, 0)
				delete(node.pending, o.Machine)
			}
			parts, err = relay.Pack(down, down.Batch, 1, size)
		}
		if err != nil {
			lt.c.Log.Error("relay", "err", err)
			return
		}
		node.lastParts, node.outcomeUnknown, node.batchMachines = parts, false, nil
		for _, o := range down.Orders {
			node.batchMachines = append(node.batchMachines, o.Machine)
		}
	}
	if len(node.lastParts) == 0 {
		return
	}
	// Until it is confirmed the same batch is written again.
	txn := kv.Txn{Records: true, Compares: []kv.Compare{lt.termCompare()},
		Ops: []kv.Op{{Put: records.RelayPrefix + name + "/down", Value: node.lastParts[0]}}}
	node.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
		defer cancel()
		_, err := lt.c.Store.Txn(ctx, txn)
		if err != nil {
			lt.c.Log.Debug("relayed orders not written", "err", err)
		}
		lt.sendToOwner(downlinkWrittenMsg{lt, name, err})
	}()
}

type downlinkWrittenMsg struct {
	leaderTerm *leaderTerm
	node       string
	err        error
}

func (m downlinkWrittenMsg) apply(c *Controller) {
	if c.leaderTerm != m.leaderTerm {
		return
	}
	node := m.leaderTerm.downlink.nodes[m.node]
	node.busy = false
	if !errors.Is(m.err, kv.ErrInvalid) {
		node.outcomeUnknown = true
		return
	}
	c.Log.Error("relayed orders refused as too large", "node", m.node)
	node.sizeHalvings = min(node.sizeHalvings+1, 8)
	if len(node.lastParts) == 0 || node.outcomeUnknown {
		return // it may be known to the node: its outcome, or abandon, decides
	}
	// It was never written, so nothing of it was handed out: it is as if the
	// batch had not been.
	for _, machine := range node.batchMachines {
		if p := node.pending[machine]; p != nil {
			p.applyOutcome(m.leaderTerm, 0)
			delete(node.pending, machine)
		}
	}
	node.batch--
	node.lastParts = nil
}
