package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// registryShards reads the registry from the store and returns the machine names of each shard.
func (w *simulatedCluster) registryShards() (shards [][]string) {
	w.t.Helper()
	page, err := w.store.Range(w.t.Context(), records.MachinePrefix, "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, entry := range page.Entries {
		var shard records.RegistryShardRecord
		if err := json.Unmarshal(entry.Value, &shard); err != nil {
			w.t.Fatal(err)
		}
		names := make([]string, len(shard.Machines))
		for i, m := range shard.Machines {
			names[i] = m.Name
		}
		shards = append(shards, names)
	}
	return shards
}

// registeredMachines returns the sorted names of the machines in the stored registry.
func (w *simulatedCluster) registeredMachines() (names []string) {
	w.t.Helper()
	for _, shard := range w.registryShards() {
		names = append(names, shard...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against slow registration of a large fleet, which a write for each machine would cause.
// Machines that register at the same time must share shards, and terminated machines must be removed
// from their shards.
func TestMachinesShareShards(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const machines, live, maxShards = 60, 3, 6
		n := w.start("n0")
		agents := make([]*worker, machines)
		for i := range agents {
			agents[i] = w.worker(fmt.Sprintf("i-%02d", i), "a", false)
			sendDroppingCommands(w, n, agents[i]) // the response fences the machine
		}
		for _, agent := range agents {
			sendDroppingCommands(w, n, agent)
		}
		time.Sleep(2 * time.Second)
		w.checkEqual("registered", len(w.registeredMachines()), machines)
		if shards := len(w.registryShards()); shards > maxShards {
			w.t.Errorf("got %d shards for %d machines, want at most %d", shards, machines, maxShards)
		}
		for _, agent := range agents[:machines-live] {
			w.dead.Store(agent.status.Machine, true)
		}
		heartbeatAll(agents[machines-live:], n, 60)
		left := 0
		n.inspect(func(c *Controller) { left = len(c.leaderTerm.machines) })
		if names := w.registeredMachines(); left >= machines || len(names) != left {
			w.t.Errorf("got registered machines %v, want the %d left, fewer than %d", names, left, machines)
		}
		next := w.start("n0")
		next.inspect(func(c *Controller) {
			w.checkEqual("machines read by the next leader", len(c.leaderTerm.machines), left)
		})
	})
}

// sendDroppingCommands sends a heartbeat and discards the commands of the response.
func sendDroppingCommands(w *simulatedCluster, n *node, agent *worker) {
	w.t.Helper()
	if _, err := agent.sendHeartbeat(n); err != nil {
		w.t.Fatalf("heartbeat of %s: got error %v, want none", agent.status.Machine, err)
	}
}

// Guards against tasks on machines that are not in the stored registry. Transactions that write shards
// are applied without a response or late, and every machine that may be assigned tasks must still be
// registered.
func TestEveryMachineInUseIsRegistered(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const maxMachines = 30
		rnd := rand.New(rand.NewPCG(1, 2))
		n := w.start("n0")
		var agents []*worker
		for round := range 60 {
			injectShardWriteFault(w, rnd.IntN(4))
			for range rnd.IntN(8) {
				agents = append(agents, w.worker(fmt.Sprintf("i-%d-%d", round, len(agents)), "a", false))
			}
			for len(agents) > maxMachines {
				w.dead.Store(agents[0].status.Machine, true)
				agents = agents[1:]
			}
			for range 3 {
				for _, agent := range agents {
					agent.heartbeat(n)
				}
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					checkInUseRegistered(w, n, round)
				}
			}
		}
		w.store.ApplyDelayed()
		time.Sleep(5 * time.Second)
		w.checkEqual("machines left", len(agents) > 0, true)
	})
}

// injectShardWriteFault injects a fault into the writes of shards: kind 0 loses their responses, kind 1
// delays the writes, and any other kind ends both faults.
func injectShardWriteFault(w *simulatedCluster, kind int) {
	shardWrites := writesPrefix(records.MachinePrefix)
	switch kind {
	case 0:
		w.store.LoseResponses(shardWrites)
	case 1:
		w.store.Delay(shardWrites)
	default:
		w.store.LoseResponses(nil)
		w.store.ApplyDelayed()
	}
}

// checkInUseRegistered checks that the machines that the leader may assign tasks to are registered.
func checkInUseRegistered(w *simulatedCluster, n *node, round int) {
	w.t.Helper()
	names, inUse := w.registeredMachines(), []string(nil)
	n.inspect(func(c *Controller) {
		for name, m := range c.leaderTerm.machines {
			if m.Registration == cluster.Registered {
				inUse = append(inUse, name)
			}
		}
	})
	// The registry may have changed between the first read and the inspection.
	names = append(names, w.registeredMachines()...)
	for _, name := range inUse {
		if !slices.Contains(names, name) {
			w.t.Fatalf("round %d: machine %s may be in use and is not registered", round, name)
		}
	}
}
