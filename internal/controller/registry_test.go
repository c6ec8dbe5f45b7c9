package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/records"
)

// shardsOf reads the roster: the machines on each of its shards.
func (w *simulatedCluster) shardsOf() (shards [][]string) {
	w.t.Helper()
	p, err := w.store.Range(context.Background(), records.MachinePrefix, "", 1000)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range p.Entries {
		var rec records.RegistryShardRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			w.t.Fatal(err)
		}
		var names []string
		for _, m := range rec.Machines {
			names = append(names, m.Name)
		}
		shards = append(shards, names)
	}
	return shards
}

// registeredMachines lists the machines on the roster.
func (w *simulatedCluster) registeredMachines() (names []string) {
	for _, s := range w.shardsOf() {
		names = append(names, s...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Machines that come together share a shard, so that a fleet need not wait for
// one write each; as machines go, what is left of the shards shrinks with them.
func TestMachinesShareShards(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a := w.start("n0")
		var ks []*worker
		for i := range 60 {
			ks = append(ks, w.worker(fmt.Sprintf("i-%02d", i), "a", false))
			ks[i].sendHeartbeat(a) // learns the term
		}
		for _, k := range ks {
			k.sendHeartbeat(a)
		}
		time.Sleep(2 * time.Second)
		w.checkEqual("on the roster", len(w.registeredMachines()), 60)
		if n := len(w.shardsOf()); n > 6 {
			t.Errorf("%d shards for 60 machines", n)
		}
		for _, k := range ks[:57] {
			w.dead.Store(k.status.Machine, true)
		}
		for range 60 {
			for _, k := range ks[57:] {
				k.heartbeat(a)
			}
			time.Sleep(time.Second)
		}
		left := 0
		a.inspect(func(c *Controller) { left = len(c.leaderTerm.machines) })
		if names := w.registeredMachines(); left >= 60 || len(names) != left {
			t.Errorf("%d machines are left, on the roster %v", left, names)
		}
		b := w.start("n0")
		b.inspect(func(c *Controller) { w.checkEqual("read by the next leader", len(c.leaderTerm.machines), left) })
	})
}

// Whatever becomes of the transactions that write shards, carried out without an
// answer or late, a machine that may be given tasks is on the roster.
func TestRosterHoldsEveryMachineInUse(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		rnd := rand.New(rand.NewPCG(1, 2))
		a := w.start("n0")
		shards := touches(records.MachinePrefix)
		var ks []*worker
		for round := range 60 {
			switch rnd.IntN(4) {
			case 0:
				w.store.LoseResponses(shards)
			case 1:
				w.store.Delay(shards)
			default:
				w.store.LoseResponses(nil)
				w.store.ApplyDelayed()
			}
			for range rnd.IntN(8) {
				ks = append(ks, w.worker(fmt.Sprintf("i-%d-%d", round, len(ks)), "a", false))
			}
			for len(ks) > 30 {
				w.dead.Store(ks[0].status.Machine, true)
				ks = ks[1:]
			}
			for range 3 {
				for _, k := range ks {
					k.heartbeat(a)
				}
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					names, inUse := w.registeredMachines(), []string(nil)
					a.inspect(func(c *Controller) {
						for name, m := range c.leaderTerm.machines {
							if m.Registration == cluster.Registered {
								inUse = append(inUse, name)
							}
						}
					})
					names = append(names, w.registeredMachines()...) // some may have come, or gone, just now
					for _, name := range inUse {
						if !slices.Contains(names, name) {
							t.Fatalf("round %d: %s may be in use and is not on the roster", round, name)
						}
					}
				}
			}
		}
		w.store.ApplyDelayed()
		time.Sleep(5 * time.Second)
		w.checkEqual("machines left", len(ks) > 0, true)
	})
}
