package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/peer"
)

// What a node was given is handed out once, and only in the answer to a later
// report of the same session, under the same term, before it is old. Otherwise
// the leader is told that it never will be.
func TestRelayHandsOutOnlyWhatIsDue(t *testing.T) {
	t0 := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		session, seq, term uint64
		after              time.Duration
		want               uint64
	}{
		"due":                  {1, 12, 3, time.Second, 12},
		"a new session":        {2, 12, 3, time.Second, 0},
		"another term":         {1, 12, 4, time.Second, 0},
		"too old":              {1, 12, 3, relayCommandLifetime + time.Millisecond, 0},
		"the report they meet": {1, 11, 3, time.Second, 11},
	} {
		ul := newRelayUplink(config.Limits{})
		ul.machines["i-1"] = &relayedMachine{heartbeat: &api.Heartbeat{Machine: "i-1", AgentEpoch: 1, Seq: 10}, agentEpoch: 1, baseSeq: 10, term: 3, receivedAt: t0,
			commands: []api.Command{{Verb: api.VerbStart, Task: "job-1/0", Attempt: 5}}}
		for i := range 2 {
			response := api.HeartbeatResponse{Term: c.term}
			ul.recordHeartbeat(nil, &api.Heartbeat{Machine: "i-1", AgentEpoch: c.session, Seq: c.seq + uint64(i)}, &response, t0.Add(c.after))
			if handed := len(response.Commands) > 0; handed != (c.want > 0 && i == 0) {
				t.Errorf("%s, report %d: handed out %v", name, i, handed)
			}
		}
		if o := ul.machines["i-1"].outcome; o == nil || o.Handed != c.want || o.Base != 10 {
			t.Errorf("%s: told %v", name, o)
		}
	}
}

// A machine whose orders have no outcome yet, or whose node has not confirmed
// the last batch, gets nothing more this way.
func TestRelayHoldsMachinesWithoutOutcome(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, _, _, _, far := w.beyondTheCut()
		busy := spec("job-0", 4)
		busy.Zone = "a"
		w.submit(a, busy)
		w.submit(a, spec("job-1", 2))
		a.inspect(func(c *Controller) {
			node := c.leaderTerm.downlink.nodes["n1"]
			for i, held := range []bool{true, true, false} {
				delete(node.pending, "i-2")
				if i == 0 {
					node.pending["i-2"] = &relayedCommands{}
				}
				hb := far.status
				hb.Seq = c.leaderTerm.machines["i-2"].HeartbeatSeq + 1
				var down peer.RelayDown
				c.leaderTerm.handleRelayedHeartbeat(node, &hb, &down, i != 1, time.Now())
				w.checkEqual("held", len(down.Orders) == 0, held)
			}
		})
	})
}
