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
	"example.org/ivytrestle/internal/relay"
)

// renewAndRelay does a follower's work in a partition. It reads the term and the active jobs, writes
// in one record which machines' leases it renews, reads the leader's commands, and relays the
// machines' heartbeats.
func (o *oldNode) renewAndRelay(ctx context.Context) {
	now := time.Now()
	e, err1 := o.store.Get(ctx, "term")
	page, err2 := o.store.Range(ctx, "a/", "", 500)
	var term oldTerm
	if errors.Join(err1, err2, json.Unmarshal(e.Value, &term)) != nil {
		return
	}
	o.term, o.modRevision, o.verifiedAt, o.activeJobs = term.Number, e.ModRevision, now, map[string]bool{}
	for _, entry := range page.Entries {
		o.activeJobs[strings.TrimPrefix(entry.Key, "a/")] = true
	}
	sameTerm := []kv.Compare{{Key: "term", ModRevision: o.modRevision}}
	extension := oldLeaseExtension{Term: o.term}
	for name, renewedAt := range o.renewedMachines {
		if now.Sub(renewedAt) < 8*time.Second {
			extension.Hosts = append(extension.Hosts, name)
		}
	}
	if len(extension.Hosts) > 0 {
		// If the write fails, the next tick repeats it.
		_, _ = o.store.Txn(ctx, kv.Txn{Compares: sameTerm, Ops: []kv.Op{{Put: "keep/" + o.name, Value: extension}}})
	}
	o.readDownlink(ctx)
	if len(o.relayedHeartbeats)+len(o.outcomes) > 0 && o.uplinkRecords > 0 {
		o.writeUplink(ctx, sameTerm)
	}
}

// writeUplink relays heartbeats and the outcomes of commands to the leader, in one batch of
// uplinkRecords records.
func (o *oldNode) writeUplink(ctx context.Context, compares []kv.Compare) {
	o.uplinkBatch++
	up := &peer.RelayUp{
		Term:        o.term,
		Incarnation: o.incarnation,
		Batch:       o.uplinkBatch,
		Got:         o.downlinkBatch,
		Outcomes:    o.outcomes,
	}
	for _, hb := range o.relayedHeartbeats {
		up.Reports = append(up.Reports, peer.HeartbeatToProto(hb))
	}
	parts, err := relay.Pack(up, o.uplinkBatch, 1, 8<<10)
	if err != nil {
		o.sim.t.Errorf("packing uplink batch %d: %v", o.uplinkBatch, err)
		return
	}
	data, txn := parts[0].Data, kv.Txn{Compares: compares}
	for i := range o.uplinkRecords {
		txn.Ops = append(txn.Ops, kv.Op{
			Put: fmt.Sprint("relay/", o.name, "/up/", i),
			Value: oldPart{
				Batch: o.uplinkBatch,
				Index: i,
				Of:    o.uplinkRecords,
				Data:  data[len(data)*i/o.uplinkRecords : len(data)*(i+1)/o.uplinkRecords],
			},
		})
	}
	if _, err := o.store.Txn(ctx, txn); err == nil {
		clear(o.relayedHeartbeats)
	}
}

// readDownlink reads the commands that the leader has written for this node's machines.
func (o *oldNode) readDownlink(ctx context.Context) {
	e, err := o.store.Get(ctx, "relay/"+o.name+"/down")
	var part relay.Part
	var down peer.RelayDown
	if err != nil || e.ModRevision == 0 || json.Unmarshal(e.Value, &part) != nil {
		return
	}
	if err := relay.Unpack([]relay.Part{part}, &down); err != nil {
		o.sim.t.Errorf("downlink of %s: %v", o.name, err)
	}
	if down.Incarnation != o.incarnation || down.Batch <= o.downlinkBatch {
		return
	}
	o.downlinkBatch, o.outcomes = down.Batch, nil
	for _, commands := range down.Orders {
		o.relayedCommands[commands.Machine] = commands
	}
}

// renewOnBehalf responds to a heartbeat under the leader's term while the leader is unreachable and
// the term and active jobs were read in the last 13 s. It stops tasks of jobs that are not active, and
// delivers commands that the leader has written to the store.
func (o *oldNode) renewOnBehalf(hb *api.Heartbeat) (api.HeartbeatResponse, error) {
	if o.missedPings <= 2 || time.Since(o.verifiedAt) > 13*time.Second || hb.Token > o.term {
		return api.HeartbeatResponse{}, &api.NotLeaderError{Leader: o.leader}
	}
	copied := *hb
	copied.Tasks = slices.Clone(hb.Tasks)
	o.renewedMachines[hb.Machine], o.relayedHeartbeats[hb.Machine] = time.Now(), &copied
	response := api.HeartbeatResponse{Token: o.term, Commands: []api.Command{}}
	zero := 0.0
	for _, t := range hb.Tasks {
		if id, _, _ := cluster.ParseTaskRef(t.Task); t.Phase != api.TaskExited && !o.activeJobs[id] {
			stop := api.Command{Verb: api.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
			response.Commands = append(response.Commands, stop)
		}
	}
	if relayed := o.relayedCommands[hb.Machine]; relayed != nil &&
		relayed.Session == hb.AgentEpoch && hb.Seq > relayed.Base {
		response.Commands = append(response.Commands, peer.CommandsFromProto(relayed.Orders)...)
		o.outcomes = append(o.outcomes, &peer.RelayOutcome{
			Machine: hb.Machine,
			Session: relayed.Session,
			Base:    relayed.Base,
			Handed:  hb.Seq,
		})
		delete(o.relayedCommands, hb.Machine)
	}
	return response, nil
}
