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

// relayDownlink is the leader's side of the relay. It reads the batches of heartbeats of other nodes
// and writes batches of commands for them. The rules of the relay are at the top of relayuplink.go.
type relayDownlink struct {
	// nodes holds the state of the relay with each other node, by name.
	nodes    map[string]*relayNode
	nextTick time.Time
}

// maxEarlierIncarnations is how many earlier processes of a node the leader remembers. Messages are
// minutes late at most, and a process takes seconds to restart.
const maxEarlierIncarnations = 128

// relayNode is the state of the relay with one node.
type relayNode struct {
	// incarnation identifies the node's process, according to the last batch that was applied.
	incarnation string
	// earlierIncarnations identify the node's earlier processes, the latest last. A late copy of one
	// of their batches says nothing about the present process.
	earlierIncarnations []string
	// receivedBatch is the number of the node's last batch that was applied.
	receivedBatch uint64
	// batch is the number of the last batch of commands to the node.
	batch uint64
	// acknowledgedBatch is the number of the last batch of commands that the node has applied.
	acknowledgedBatch uint64
	// lastParts is the last batch of commands, packed into one record.
	lastParts []relay.Part
	// storeBusy is set while a request to the store about this node is in flight.
	storeBusy bool
	// pending holds, by machine, the commands whose outcome the node has not reported.
	pending map[string]*relayedCommands
	// sizeHalvings is how often a batch was rejected as too large. Each time, the size of the
	// record was halved.
	sizeHalvings int
	// mayBeWritten is set once a transaction that writes lastParts may have been applied.
	mayBeWritten bool
	// batchMachines lists the machines with commands in the last batch.
	batchMachines []string
}

// relayedCommands are the commands relayed to a machine in response to its heartbeat baseSeq.
type relayedCommands struct {
	baseSeq uint64
	sentAt  time.Time
	// starts lists the attempts that the commands start.
	starts []*cluster.Attempt
}

// tick reads the batches of the nodes that are unreachable or have commands pending.
func (d *relayDownlink) tick(lt *leaderTerm, now time.Time) {
	if now.Before(d.nextTick) {
		return
	}
	d.nextTick = now.Add(relayInterval / 2)
	for name, member := range lt.c.membership.Members {
		node := d.nodes[name]
		if node == nil {
			node = &relayNode{pending: map[string]*relayedCommands{}}
			d.nodes[name] = node
		}
		node.expirePending(lt, now)
		if node.storeBusy || !member.IsUnreachable() && len(node.pending) == 0 {
			continue
		}
		node.storeBusy = true
		go func() {
			ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
			defer cancel()
			up, err := readUplink(ctx, lt.c.Store, records.RelayPrefix+name+"/up/")
			if err != nil {
				lt.c.Log.Debug("reading relayed heartbeats failed", "node", name, "err", err)
			}
			lt.sendToOwner(uplinkReadMsg{leaderTerm: lt, node: name, batch: up})
		}()
	}
}

// handleRestart resolves the pending commands to a node if the reported incarnation shows that it was
// restarted. Its new process delivers none of them, but the earlier one may have delivered them.
// Therefore the next heartbeat of each machine decides which attempts are running.
func (d *relayDownlink) handleRestart(lt *leaderTerm, name, incarnation string) {
	node := d.nodes[name]
	if node == nil || incarnation == "" || node.incarnation == incarnation {
		return
	}
	for machine, p := range node.pending {
		p.applyOutcome(lt, 1)
		delete(node.pending, machine)
	}
}

// expirePending stops waiting for the outcome of commands after outcomeTimeout. If they include starts
// that no heartbeat has shown, their outcome stays unknown until the machine is terminated. The
// machine is evacuated and therefore assigned no more tasks.
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

// replacedBy returns the state of the relay with a new process of the node, whose first batch is up.
func (n *relayNode) replacedBy(up *peer.RelayUp) relayNode {
	earlier := n.earlierIncarnations
	if n.incarnation != "" {
		earlier = append(earlier, n.incarnation)
	}
	return relayNode{
		incarnation:         up.Incarnation,
		earlierIncarnations: earlier[max(0, len(earlier)-maxEarlierIncarnations):],
		batch:               up.Got,
		pending:             map[string]*relayedCommands{},
	}
}

// readUplink reads the batch that a node has written. It returns nil if there is none.
func readUplink(ctx context.Context, store kv.Service, prefix string) (*peer.RelayUp, error) {
	page, err := store.Range(ctx, prefix, "", 2*maxRelayParts)
	if err != nil || len(page.Entries) == 0 {
		return nil, err
	}
	parts := make([]relay.Part, 0, len(page.Entries))
	for _, e := range page.Entries {
		var p relay.Part
		if err := json.Unmarshal(e.Value, &p); err != nil || !strings.HasPrefix(e.Key, prefix) {
			return nil, fmt.Errorf("relay: decode record %s: %w", e.Key, err)
		}
		parts = append(parts, p)
	}
	var up peer.RelayUp
	if err := relay.Unpack(parts, &up); err != nil {
		return nil, err
	}
	return &up, nil
}

// uplinkReadMsg contains the batch that a node has written; nil if there is none or reading failed.
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
	if slices.Contains(node.earlierIncarnations, up.Incarnation) {
		c.Log.Debug("relayed heartbeats of an earlier process ignored", "node", m.node, "batch", up.Batch)
		return
	}
	if lt.downlink.handleRestart(lt, m.node, up.Incarnation); node.incarnation != up.Incarnation {
		*node = node.replacedBy(up)
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

// handleRelayedHeartbeat applies a relayed heartbeat and adds the commands that respond to it to batch
// down. It withholds them if the node has not acknowledged the previous batch, or if commands to the
// machine are pending. Then the machine is not assigned tasks either.
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
	m.LastHeartbeatRelayed = m.LastHeartbeatRelayed || m.HeartbeatSeq == hb.Seq
	response.Commands = slices.DeleteFunc(response.Commands, func(cmd api.Command) bool {
		return isUnsafeRelayedReap(m, cmd, hb.Token)
	})
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

// applyOutcome records the outcome of commands. deliveredIn is the sequence number of the heartbeat in
// whose response they were delivered, or 0 if they were not and never will be. In the latter case the
// attempts that they start are removed.
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

// revokeHalf revokes the second half of the commands in o, which were not written to the store.
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

// packDownlink packs a new batch of commands into lastParts, and revokes the commands that do not fit.
// It reports whether this succeeded; it fails if not even a batch without commands fits.
func (lt *leaderTerm) packDownlink(node *relayNode, down *peer.RelayDown) bool {
	size := max(maxRelayRecordBytes(lt.c.Settings.Site.State, 1)>>node.sizeHalvings, minRelayRecordBytes)
	parts, err := relay.Pack(down, down.Batch, 1, size)
	for errors.Is(err, relay.ErrTooLarge) && len(down.Orders) > 0 {
		node.shrinkBatch(lt, down)
		parts, err = relay.Pack(down, down.Batch, 1, size)
	}
	if err != nil {
		lt.c.Log.Error("packing relayed commands failed", "err", err)
		return false
	}
	node.lastParts, node.mayBeWritten, node.batchMachines = parts, false, nil
	for _, o := range down.Orders {
		node.batchMachines = append(node.batchMachines, o.Machine)
	}
	return true
}

// shrinkBatch revokes the commands to the last quarter of a batch's machines. If there is only one
// machine, it revokes half of the commands to it: if it revoked all, the same commands would be
// added to the next batch and be too large again.
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

// revoke removes the pending commands to a machine, as commands that will never be delivered.
func (n *relayNode) revoke(lt *leaderTerm, machine string) {
	if p := n.pending[machine]; p != nil {
		p.applyOutcome(lt, 0)
		delete(n.pending, machine)
	}
}

// writeDownlink writes the last batch of commands for the node. The same batch is written again until
// the node acknowledges it.
func (lt *leaderTerm) writeDownlink(name string, node *relayNode) {
	if len(node.lastParts) == 0 {
		return
	}
	txn := kv.Txn{
		SelfLimited: true,
		Compares:    []kv.Compare{lt.termCompare()},
		Ops:         []kv.Op{{Put: records.RelayPrefix + name + "/down", Value: node.lastParts[0]}},
	}
	node.storeBusy = true
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, relayTimeout)
		defer cancel()
		_, err := lt.c.Store.Txn(ctx, txn)
		if err != nil {
			lt.c.Log.Debug("writing relayed commands failed", "node", name, "err", err)
		}
		lt.sendToOwner(downlinkWrittenMsg{leaderTerm: lt, node: name, err: err})
	}()
}

// downlinkWrittenMsg contains the result of the transaction that writes a batch of commands.
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
	c.Log.Error("key-value store rejected relayed commands as too large", "node", m.node)
	node.sizeHalvings = min(node.sizeHalvings+1, maxSizeHalvings)
	if len(node.lastParts) == 0 || node.mayBeWritten {
		return // the node may have read the batch: its outcomes, or their timeout, decide
	}
	// The batch was never written, so none of its commands was delivered. The state before the
	// batch is restored.
	for _, machine := range node.batchMachines {
		node.revoke(m.leaderTerm, machine)
	}
	node.batch--
	node.lastParts = nil
}
