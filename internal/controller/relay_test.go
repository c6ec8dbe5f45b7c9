package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
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
				response := api.HeartbeatResponse{Token: c.term}
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

// Guards against a task that runs twice because a late copy of a batch of a node's earlier process makes
// the leader drop the commands that the present process is about to deliver.
func TestLateBatchOfEarlierProcessKeepsCommandsPending(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, n0, n1, gate1, near, far := w.partitionZones()
		n1.crash()
		time.Sleep(200 * time.Millisecond)
		earlier := &recordingStore{Service: gate1, prefix: records.RelayPrefix}
		n1 = l.add("n1", w.startWith("n1", earlier, l))
		heartbeatBothSides(n0, n1, near, far, 6)
		n1.crash()
		time.Sleep(200 * time.Millisecond)
		n1 = l.add("n1", w.startWith("n1", gate1, l))
		heartbeatBothSides(n0, n1, near, far, 6)
		w.fillNearMachine(n0, near)
		w.checkEqual("commands received by the node", waitForRelayedCommands(n1, far) > 0, true)
		near.exit(api.CauseDone)
		n0.inspect(func(c *Controller) { c.leaderTerm.machines["i-2"].CordonedUntil = time.Now().Add(time.Minute) })
		earlier.apply(t, earlier.lastTransaction())
		time.Sleep(600 * time.Millisecond)
		far.heartbeat(n1) // delivers the commands; the heartbeat itself does not show their tasks
		w.checkEqual("tasks started by the relayed commands", far.running(), []string{"job-1/0", "job-1/1"})
		for range 8 {
			w.checkNoStart("started elsewhere too", near.heartbeat(n0))
			time.Sleep(400 * time.Millisecond)
		}
		far.heartbeatFor(n1, 4)
		w.checkEqual("running in the end", far.running(), []string{"job-1/0", "job-1/1"})
		l.partitioned.Store(false)
	})
}
