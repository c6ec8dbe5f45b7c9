package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/peer"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// largeFleet is how many machines a cell may have.
const largeFleet = 4000

func hostName(i int) string { return fmt.Sprintf("i-%06d", i) }

// While zones are apart each machine of a large fleet has its reports relayed, in turn,
// also by a node with next to no memory.
func TestLargeFleetIsRelayed(t *testing.T) {
	const parts, size = 3, 8 << 10
	now := time.Unix(1_000_000, 0)
	ul := newRelayUp(config.Limits{RAMMB: 3})
	for i := range largeFleet {
		hb := &api.Heartbeat{Machine: hostName(i), Addr: "10.0.0.1:9000", Type: "small", Zone: "b", AgentEpoch: 1, Seq: 1, Term: 3}
		for task := range 8 {
			hb.Tasks = append(hb.Tasks, api.TaskStatus{Task: fmt.Sprintf("job-%06d/%d", i, task), Attempt: uint64(i), Phase: api.TaskRunning})
		}
		ul.recordHeartbeat(nil, hb, &api.HeartbeatResponse{Term: 3}, now)
	}
	sent := map[string]bool{}
	rounds := 0
	for ; len(sent) < largeFleet && rounds < largeFleet; rounds++ {
		now = now.Add(relayInterval)
		ul.batch++
		up, _ := ul.buildBatch(&leaseRenewer{term: 3}, true, size*parts*relayCompression)
		packed, err := relay.Pack(up, ul.batch, parts, size)
		if err != nil {
			t.Fatalf("round %d, %d reports: %v", rounds, len(up.Reports), err)
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
		t.Errorf("%d of %d machines relayed in %d rounds", len(sent), largeFleet, rounds)
	}
	t.Logf("%d machines in %d rounds", len(sent), rounds)
}

// A new leader takes the whole roster of a large fleet in, hears each machine, looks at
// as many jobs as there are machines, and goes on knowing all that it returns.
func TestLargeFleetIsTakenOver(t *testing.T) {
	simulate(t, func(w *cluster) {
		const perShard, jobs = 40, 900
		for first := 0; first < largeFleet; first += perShard {
			var rec records.RegistryShardRecord
			for i := first; i < first+perShard; i++ {
				rec.Machines = append(rec.Machines, records.MachineRecord{Name: hostName(i), Addr: hostName(i), Type: "small", Zone: "a", CPUs: 4, MemoryGB: 16})
			}
			w.put(fmt.Sprintf("%s1-%d", records.MachinePrefix, first), rec)
		}
		n := w.start("n0")
		time.Sleep(time.Second)
		n.look(func(c *Controller) { w.same("unheard", c.leaderTerm.unfenced, largeFleet) })
		for i := range largeFleet {
			k := w.worker(hostName(i), "a", false)
			k.report(n) // it learns the term
			k.report(n)
		}
		n.look(func(c *Controller) {
			lt := c.leaderTerm
			w.same("heard", []int{lt.unfenced, len(lt.machines)}, []int{0, largeFleet})
			for i := range jobs {
				raw, err := json.Marshal(records.ActiveRecord{Spec: *spec(fmt.Sprintf("job-%06d", i), 1), Accepted: time.Now()})
				if err != nil {
					t.Fatal(err)
				}
				lt.addJob(records.ActivePrefix+fmt.Sprintf("job-%06d", i), raw, uint64(1000+i))
			}
			lt.deferInfeasible(time.Now())
			looked := 0
			for _, j := range lt.jobs {
				if !j.load.Deadline.IsZero() {
					looked++
				}
			}
			w.same("jobs looked at", looked, jobs)
			for i := range largeFleet {
				lt.terminated.Add(hostName(i), true)
			}
			w.same("returned are known", lt.terminated.Len(), largeFleet)
		})
	})
}
