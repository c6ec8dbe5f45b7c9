package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// largeFleet is the maximum number of machines of a cell.
const largeFleet = 4000

func hostName(i int) string { return fmt.Sprintf("i-%06d", i) }

// While zones are partitioned, the heartbeats of every machine of a large fleet must eventually be
// relayed, even by a node with very little memory.
func TestLargeFleetIsRelayed(t *testing.T) {
	const parts, size = 3, 8 << 10
	now := time.Unix(1_000_000, 0)
	ul := newRelayUplink(config.Limits{RAMMB: 3})
	for i := range largeFleet {
		hb := &api.Heartbeat{
			Machine:    hostName(i),
			Addr:       "10.0.0.1:9000",
			Type:       "small",
			Zone:       "b",
			AgentEpoch: 1,
			Seq:        1,
			Token:      3,
		}
		for task := range 8 {
			hb.Tasks = append(hb.Tasks, api.TaskStatus{
				Task:    fmt.Sprintf("job-%06d/%d", i, task),
				Attempt: uint64(i),
				Phase:   api.TaskRunning,
			})
		}
		ul.recordHeartbeat(hb, &api.HeartbeatResponse{Token: 3}, 3, now)
	}
	sent := map[string]bool{}
	rounds := 0
	for ; len(sent) < largeFleet && rounds < largeFleet; rounds++ {
		now = now.Add(relayInterval)
		ul.batch++
		up, _ := ul.buildBatch(&leaseRenewer{tokens: election.NewTokenRange(0, 3)}, true, size*parts*relayCompression)
		packed, err := relay.Pack(up, ul.batch, parts, size)
		if err != nil {
			t.Fatalf("round %d, %d heartbeats: %v", rounds, len(up.Reports), err)
		}
		var got peer.RelayUp
		if err := relay.Unpack(packed, &got); err != nil {
			t.Fatal(err)
		}
		for _, hb := range got.Reports {
			sent[hb.Machine] = true
			m := ul.machines[hb.Machine]
			m.dirty, m.sentAt = false, now
		}
	}
	if len(sent) != largeFleet {
		t.Errorf("got %d machines relayed in %d rounds, want %d", len(sent), rounds, largeFleet)
	}
	t.Logf("%d machines in %d rounds", len(sent), rounds)
}

// A new leader must read the whole registry of a large fleet, fence every machine, check the
// feasibility of many jobs, and remember the names of all terminated machines.
func TestLargeFleetIsTakenOver(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.registerLargeFleet()
		n := w.start("n0")
		time.Sleep(time.Second)
		n.inspect(func(c *Controller) { w.checkEqual("unfenced", c.leaderTerm.unfenced, largeFleet) })
		for i := range largeFleet {
			k := w.worker(hostName(i), "a", false)
			k.heartbeat(n) // the response carries the term
			k.heartbeat(n)
		}
		n.inspect(func(c *Controller) {
			lt := c.leaderTerm
			w.checkEqual("unfenced, machines", []int{lt.unfenced, len(lt.machines)}, []int{0, largeFleet})
			const jobs = 900
			w.checkEqual("jobs with a deadline", addJobsAndDeferInfeasible(t, lt, jobs), jobs)
			for i := range largeFleet {
				lt.terminated.Add(hostName(i), true)
			}
			w.checkEqual("terminated machines remembered", lt.terminated.Len(), largeFleet)
		})
	})
}

// registerLargeFleet writes a registry with all machines of a large fleet.
func (w *simulatedCluster) registerLargeFleet() {
	w.t.Helper()
	const perShard = 40
	for first := 0; first < largeFleet; first += perShard {
		var shard records.RegistryShardRecord
		for i := first; i < first+perShard; i++ {
			shard.Machines = append(shard.Machines, records.MachineRecord{
				Name:     hostName(i),
				Addr:     hostName(i),
				Type:     "small",
				Zone:     "a",
				CPUs:     4,
				MemoryGB: 16,
			})
		}
		w.put(fmt.Sprintf("%s1-%d", records.MachinePrefix, first), shard)
	}
}

// addJobsAndDeferInfeasible adds jobs, has the leader defer what is infeasible, and returns the number of
// jobs that have a deadline then.
func addJobsAndDeferInfeasible(t *testing.T, lt *leaderTerm, jobs int) (withDeadline int) {
	t.Helper()
	for i := range jobs {
		id := fmt.Sprintf("job-%06d", i)
		raw, err := json.Marshal(records.ActiveRecord{Spec: *spec(id, 1), Accepted: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		lt.applyActiveRecord(records.ActivePrefix+id, raw, uint64(1000+i))
	}
	lt.deferInfeasible(time.Now())
	for _, j := range lt.jobs {
		if !j.Load.Deadline.IsZero() {
			withDeadline++
		}
	}
	return withDeadline
}
