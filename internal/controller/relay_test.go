package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/peer"
)

// Commands relayed to a node are delivered once, and only in the response to a later heartbeat of the
// same agent epoch, in the same term, before they expire. Otherwise the node reports to the leader that
// they will never be delivered.
func TestRelayDeliversOnlyValidCommands(t *testing.T) {
	receivedAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name                  string
		agentEpoch, seq, term uint64
		after                 time.Duration
		wantDeliveredIn       uint64
	}{
		{name: "valid", agentEpoch: 1, seq: 12, term: 3, after: time.Second, wantDeliveredIn: 12},
		{name: "new agent epoch", agentEpoch: 2, seq: 12, term: 3, after: time.Second, wantDeliveredIn: 0},
		{name: "another term", agentEpoch: 1, seq: 12, term: 4, after: time.Second, wantDeliveredIn: 0},
		{
			name:            "expired",
			agentEpoch:      1,
			seq:             12,
			term:            3,
			after:           relayCommandLifetime + time.Millisecond,
			wantDeliveredIn: 0,
		},
		{name: "next heartbeat", agentEpoch: 1, seq: 11, term: 3, after: time.Second, wantDeliveredIn: 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			uplink := newRelayUplink(config.Limits{})
			m := &relayedMachine{
				heartbeat:  &api.Heartbeat{Machine: "i-1", AgentEpoch: 1, Seq: 10},
				agentEpoch: 1,
				baseSeq:    10,
				term:       3,
				receivedAt: receivedAt,
				commands:   []api.Command{{Verb: api.VerbStart, Task: "job-1/0", Attempt: 5}},
			}
			uplink.machines["i-1"] = m
			for i := range 2 {
				response := api.HeartbeatResponse{Term: c.term}
				hb := &api.Heartbeat{Machine: "i-1", AgentEpoch: c.agentEpoch, Seq: c.seq + uint64(i)}
				uplink.recordHeartbeat(hb, &response, c.term, receivedAt.Add(c.after))
				want := c.wantDeliveredIn > 0 && i == 0
				if got := len(response.Commands) > 0; got != want {
					t.Errorf("heartbeat %d: commands delivered: got %v, want %v", i, got, want)
				}
			}
			if o := m.outcome; o == nil || o.Handed != c.wantDeliveredIn || o.Base != 10 {
				t.Errorf("outcome: got %v, want delivered in heartbeat %d, responding to 10", o, c.wantDeliveredIn)
			}
		})
	}
}

// The leader relays no further commands to a machine while the outcome of earlier ones is pending, or
// before the machine's node has acknowledged the last batch.
func TestRelaySendsNothingWhileAnOutcomeIsPending(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, n0, _, _, _, far := w.partitionZones()
		busy := spec("job-0", 4)
		busy.Zone = "a"
		w.submit(n0, busy)
		w.submit(n0, spec("job-1", 2))
		n0.inspect(func(c *Controller) {
			node := c.leaderTerm.downlink.nodes["n1"]
			for _, step := range []struct {
				name                  string
				pending, acknowledged bool
				wantCommands          bool
			}{
				{name: "commands relayed while an outcome is pending", pending: true, acknowledged: true},
				{name: "commands relayed before the batch is acknowledged"},
				{name: "commands relayed after outcome and acknowledgement", acknowledged: true, wantCommands: true},
			} {
				delete(node.pending, "i-2")
				if step.pending {
					node.pending["i-2"] = &relayedCommands{}
				}
				hb := far.status
				hb.Seq = c.leaderTerm.machines["i-2"].HeartbeatSeq + 1
				var down peer.RelayDown
				c.leaderTerm.handleRelayedHeartbeat(node, &hb, &down, step.acknowledged, time.Now())
				w.checkEqual(step.name, len(down.Orders) > 0, step.wantCommands)
			}
		})
	})
}
