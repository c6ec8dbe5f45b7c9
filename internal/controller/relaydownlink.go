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
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// relayDownlink is the leader's side of the relay.
type relayDownlink struct {
	nodes    map[string]*relayNode
	nextTick time.Time
}

// relayNode is one node that relays heartbeats.
type relayNode struct {
	incarnation string
	// receivedBatch is the node's last batch of heartbeats that was applied, batch the last
	// batch of commands to it, and acknowledged the last that it has applied.
	receivedBatch, batch, acknowledgedBatch uint64
	// lastParts are the record of the last batch of commands.
	lastParts []relay.Part
	storeBusy bool
	// pending are the machines whose commands have no outcome yet.
	pending map[string]*relayedCommands
	// sizeHalvings is how often a batch was rejected as too large, and OutcomeUnknown is
	// set if the present one may have been written in spite of an error.
	sizeHalvings int
	mayBeWritten bool
	// batchMachines are the machines with commands in the last batch.
	batchMachines []string
}

// relayedCommands are the commands sent to a machine in response to its heartbeat baseSeq.
type relayedCommands struct {
	baseSeq uint64
	sentAt  time.Time
	starts  []*cluster.Attempt
}

// tick reads what unreachable nodes, and those with commands pending, have written.
func (dl *relayDownlink) tick(lt *leaderTerm, now time.Time) {
	if now.Before(dl.nextTick) {
		return
	}
	dl.nextTick = now.Add(relayInterval / 2)
	for name, mb := range lt.c.membership.Members {
		node := dl.nodes[name]
		if node == nil {
			node = &relayNode{pending: map[string]*relayedCommands{}}
			dl.nodes[name] = node
		}
		node.expirePending(lt, now)
		if node.storeBusy || !mb.IsUnreachable() && len(node.pending) == 0 {
			continue
		}
		node.storeBusy = true
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
			defer cancel()
			up, err := readUplink(ctx, lt.c.Store, records.RelayPrefix+name+"/up/")
			if err != nil {
				lt.c.Log.Debug("relayed heartbeats not read", "node", name, "err", err)
			}
			lt.sendToOwner(uplinkReadMsg{leaderTerm: lt, node: name, batch: up})
		}()
	}
}

// handleRestart handles the incarnation that a node reports. One that was restarted delivers
// no command that it received before: the next heartbeats decide.
func (dl *relayDownlink) handleRestart(lt *leaderTerm, name, incarnation string) {
	node := dl.nodes[name]
	if node == nil || incarnation == "" || node.incarnation == incarnation {
		return
	}
	for machine, p := range node.pending {
		p.applyOutcome(lt, 1)
		delete(node.pending, machine)
	}
}

// expirePending bounds how long commands wait for a node that reports no outcome. Their
// machine gets no more work, and its termination resolves their outcome.
func (n *relayNode) expirePending(lt *leaderTerm, now time.Time) {
	for name, p := range n.pending {
		if now.Sub(p.sentAt) < outcomeTimeout {
			continue
		}
		delete(n.pending, name)
		for _, a := range p.starts {
			if a.DirectStart.InFlight = false; a.LastSeenHeartbeat == 0 && a.Machine.Attempts[a.Key] == a {
				a.DirectStart.OutcomeUnknown = true
				lt.evacuate(a.Machine, "order unanswered")
				if a.Job.Ended {
					lt.terminateIfOutcomeUnknown(a)
				}
			}
		}
	}
}

// readUplink reads the batch that a node has written; nil: there is none.
func readUplink(ctx context.Context, store kv.Service, prefix string) (*peer.RelayUp, error) {
	page, err := store.Range(ctx, prefix, "", 2*maxRelayParts)
	if err != nil || len(page.Entries) == 0 {
		return nil, err
	}
	parts := make([]relay.Part, 0, len(page.Entries))
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

// uplinkReadMsg carries the batch that a node has written; nil: there is none.
type uplinkReadMsg struct {
	leaderTerm *leaderTerm
	node       string
	batch      *peer.RelayUp
}

func (m uplinkReadMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	node := lt.downlink.nodes[m.node]
	node.storeBusy = false
	up := m.batch
	if up == nil || up.Term != lt.term.Number || !c.holdsLease() || !lt.loaded {
		return
	}
	if lt.downlink.handleRestart(lt, m.node, up.Incarnation); node.incarnation != up.Incarnation {
		*node = relayNode{incarnation: up.Incarnation, batch: up.Got, pending: map[string]*relayedCommands{}}
	}
	if up.Batch <= node.receivedBatch {
		return
	}
	node.receivedBatch, node.acknowledgedBatch = up.Batch, up.Got
	for _, o := range up.Outcomes {
		if p := node.pending[o.Machine]; p != nil && p.baseSeq == o.Base {
			p.applyOutcome(lt, o.Handed)
			delete(node.pending, o.Machine)
		}
	}
	now := time.Now()
	down := &peer.RelayDown{Term: lt.term.Number, Incarnation: node.incarnation, Seen: node.receivedBatch}
	acknowledged := node.acknowledgedBatch == node.batch
	for _, hb := range up.Reports {
		lt.handleRelayedHeartbeat(node, hb.ToHeartbeat(), down, acknowledged, now)
	}
	if acknowledged {
		node.batch++
	}
	down.Batch = node.batch
	if acknowledged && !lt.packDownlink(node, down) {
		return
	}
	lt.writeDownlink(m.node, node)
}

// handleRelayedHeartbeat applies a relayed heartbeat and adds the commands that respond to
// it to the batch. The machine gets none before the last batch is acknowledged, nor while
// commands of its own are pending.
func (lt *leaderTerm) handleRelayedHeartbeat(
	node *relayNode, hb *api.Heartbeat, down *peer.RelayDown, acknowledged bool, now time.Time,
) {
	m := lt.machines[hb.Machine]
	withhold := !acknowledged || node.pending[hb.Machine] != nil
	if m != nil {
		m.RelayPending = withhold
	}
	response, err := lt.handleAgentHeartbeat(hb, now)
	if m = lt.machines[hb.Machine]; m == nil {
		return
	}
	m.RelayPending, m.LastCommands = false, nil
	if err != nil || withhold || len(response.Commands) == 0 || m.HeartbeatSeq != hb.Seq {
		return
	}
	p := &relayedCommands{baseSeq: hb.Seq, sentAt: now}
	for _, cmd := range response.Commands {
		if a := m.Attempts[cluster.AttemptKey{Ref: cmd.Task, ID: cmd.Attempt}]; a != nil && cmd.Verb == api.VerbStart {
			a.DirectStart = &cluster.DirectStart{AgentEpoch: hb.AgentEpoch, InFlight: true}
			p.starts = append(p.starts, a)
		}
	}
	node.pending[hb.Machine] = p
	down.Orders = append(down.Orders, &peer.RelayOrders{
		Machine: hb.Machine,
		Session: hb.AgentEpoch,
		Base:    hb.Seq,
		Orders:  peer.CommandsToProto(response.Commands),
	})
}

// applyOutcome records the outcome of commands: deliveredIn is the heartbeat in response
// to which they were delivered, or 0.
func (p *relayedCommands) applyOutcome(lt *leaderTerm, deliveredIn uint64) {
	for _, a := range p.starts {
		a.DirectStart.InFlight = false
		if deliveredIn > 0 {
			a.DirectStart.FirstHeartbeatSeq = deliveredIn + 1
		} else if a.LastSeenHeartbeat == 0 && a.Machine.Attempts[a.Key] == a {
			lt.removeAttempt(a)
		}
	}
}

// revokeHalf revokes the latter half of a machine's commands, which were never written.
func (p *relayedCommands) revokeHalf(lt *leaderTerm, o *peer.RelayOrders) {
	o.Orders = o.Orders[:len(o.Orders)/2]
	revoked := &relayedCommands{}
	p.starts = slices.DeleteFunc(p.starts, func(a *cluster.Attempt) bool {
		kept := slices.ContainsFunc(o.Orders, func(cmd *peer.Order) bool {
			return cmd.Verb == api.VerbStart && cluster.AttemptKey{Ref: cmd.Task, ID: cmd.Attempt} == a.Key
		})
		if !kept {
			revoked.starts = append(revoked.starts, a)
		}
		return !kept
	})
	revoked.applyOutcome(lt, 0)
}

// packDownlink packs a new batch of commands into the node's record. It revokes the
// commands that do not fit, and returns false if even a batch without any does not.
func (lt *leaderTerm) packDownlink(node *relayNode, down *peer.RelayDown) bool {
	size := max(maxRelayRecordBytes(lt.c.Settings.Site.State, 1)>>node.sizeHalvings, minRelayRecordBytes)
	parts, err := relay.Pack(down, down.Batch, 1, size)
	for errors.Is(err, relay.ErrTooLarge) && len(down.Orders) > 0 {
		node.shrinkBatch(lt, down)
		parts, err = relay.Pack(down, down.Batch, 1, size)
	}
	if err != nil {
		lt.c.Log.Error("relay batch not packed", "err", err)
		return false
	}
	node.lastParts, node.mayBeWritten, node.batchMachines = parts, false, nil
	for _, o := range down.Orders {
		node.batchMachines = append(node.batchMachines, o.Machine)
	}
	return true
}

// shrinkBatch revokes the commands of the last quarter of a batch's machines, and of a
// single machine half of its commands: revoked as a whole, they would be the same again
// next time.
func (n *relayNode) shrinkBatch(lt *leaderTerm, down *peer.RelayDown) {
	if only := down.Orders[0]; len(down.Orders) == 1 && len(only.Orders) > 1 {
		n.pending[only.Machine].revokeHalf(lt, only)
		return
	}
	kept := len(down.Orders) * 3 / 4
	for _, o := range down.Orders[kept:] {
		n.revoke(lt, o.Machine)
	}
	down.Orders = down.Orders[:kept]
}

// revoke records that a machine's pending commands will never be delivered.
func (n *relayNode) revoke(lt *leaderTerm, machine string) {
	if p := n.pending[machine]; p != nil {
		p.applyOutcome(lt, 0)
		delete(n.pending, machine)
	}
}

// writeDownlink writes the node's record. Until a batch is acknowledged, the same one is
// written again.
func (lt *leaderTerm) writeDownlink(name string, node *relayNode) {
	if len(node.lastParts) == 0 {
		return
	}
	txn := kv.Txn{
		Records:  true,
		Compares: []kv.Compare{lt.termCompare()},
		Ops:      []kv.Op{{Put: records.RelayPrefix + name + "/down", Value: node.lastParts[0]}},
	}
	node.storeBusy = true
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
		defer cancel()
		_, err := lt.c.Store.Txn(ctx, txn)
		if err != nil {
			lt.c.Log.Debug("relayed commands not written", "node", name, "err", err)
		}
		lt.sendToOwner(downlinkWrittenMsg{leaderTerm: lt, node: name, err: err})
	}()
}

// downlinkWrittenMsg is the result of the transaction that wrote a node's record.
type downlinkWrittenMsg struct {
	leaderTerm *leaderTerm
	node       string
	err        error
}

func (m downlinkWrittenMsg) apply(c *Controller) {
	if m.leaderTerm.hasEnded() {
		return
	}
	node := m.leaderTerm.downlink.nodes[m.node]
	node.storeBusy = false
	if !errors.Is(m.err, kv.ErrInvalid) {
		node.mayBeWritten = true
		return
	}
	c.Log.Error("relayed commands rejected as too large", "node", m.node)
	node.sizeHalvings = min(node.sizeHalvings+1, maxSizeHalvings)
	if len(node.lastParts) == 0 || node.mayBeWritten {
		return // the node may have read it: its outcomes, or their timeout, decide
	}
	// It was never written, so none of its commands was delivered: the state before the
	// batch is restored.
	for _, machine := range node.batchMachines {
		node.revoke(m.leaderTerm, machine)
	}
	node.batch--
	node.lastParts = nil
}
