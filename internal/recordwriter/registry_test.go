package recordwriter

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// If the outcome of a shard's rewrite is unknown, the new shard may be the only one that names its
// machines. So it must be deleted only in the transaction that writes the next replacement.
func TestShardWithUnknownOutcomeIsDeletedWithItsSuccessor(t *testing.T) {
	w, now := newWriter(defaultLimits), start
	m := &cluster.Machine{Name: "i-1"}
	w.Register(m)
	applySuccess(t, w, w.NextBatch(now, nil), now)
	old := m.Shard
	if old == nil || m.Registration != cluster.Registered {
		t.Fatalf("after the write the machine has registration %v and shard %v", m.Registration, old)
	}
	next := w.newShard(old.Machines)
	next.Replaces, old.Stale = old, true
	w.requeueShards(&Batch{shards: []*cluster.Shard{next}, replaced: []*cluster.Shard{old}})
	checkEqual(t, "separate deletes", len(w.pendingDeletes), 0)
	b := &Batch{}
	w.rewriteStaleShards(b, 10, now)
	checkEqual(t, "written under a new key", b.Txn.Ops[0].Put != "" && b.Txn.Ops[0].Put != next.Key, true)
	deleted := []string{b.Txn.Ops[1].Delete, b.Txn.Ops[2].Delete}
	checkEqual(t, "deleted in the same transaction", deleted, []string{old.Key, next.Key})
}

func TestMachineThatFitsInNoShardIsRejected(t *testing.T) {
	w := newWriter(config.KVLimits{WriteRPS: 100, TxnOps: 20, ValueKB: 1})
	small := &cluster.Machine{Name: "small"}
	large := &cluster.Machine{Name: "large", Addr: strings.Repeat("x", 2000)}
	w.Register(large)
	w.Register(small)
	b := w.NextBatch(start, nil)
	checkEqual(t, "oversized machines", b.Oversized.Machines, []*cluster.Machine{large})
	applySuccess(t, w, b, start)
	checkEqual(t, "registration of the small machine", small.Registration, cluster.Registered)
	checkEqual(t, "registration of the large machine", large.Registration, cluster.Unregistered)
	checkEqual(t, "queued", w.Backlog(), Backlog{})
}

// A shard that cannot be rewritten because an entry does not fit a new shard stays, although it names
// a terminated machine. The rewrite is tried again only when another of its machines is terminated.
func TestShardThatCannotBeRewrittenStays(t *testing.T) {
	w, now := newWriter(defaultLimits), start
	machines := []*cluster.Machine{{Name: "i-0", Addr: strings.Repeat("x", 2000)}, {Name: "i-1"}, {Name: "i-2"}}
	for _, m := range machines {
		w.Register(m)
	}
	applySuccess(t, w, w.NextBatch(now, nil), now)
	shard := machines[0].Shard
	w.maxShardBytes = 1000 // the store's limits were lowered
	for _, m := range machines[1:] {
		now = now.Add(time.Minute)
		m.Advance(cluster.Terminated)
		w.Deregister(m)
		checkEqual(t, "stale before the try", shard.Stale, true)
		b := w.NextBatch(now, nil)
		checkEqual(t, "oversized shards", b.Oversized.Shards, []string{shard.Key})
		checkEqual(t, "batch is empty", b.IsEmpty(), true)
		checkEqual(t, "stale after the try", shard.Stale, false)
	}
	machines[0].Advance(cluster.Terminated)
	w.Deregister(machines[0])
	b := w.NextBatch(now.Add(time.Minute), nil)
	checkEqual(t, "deleted with its last machine", b.Txn.Ops, []kv.Op{{Delete: shard.Key}})
}

// If a machine is terminated while its shard's write is in flight, the shard must be deleted by the
// next batch.
func TestMachineTerminatedDuringItsRegistrationIsRemoved(t *testing.T) {
	w, now := newWriter(defaultLimits), start
	m := &cluster.Machine{Name: "i-1"}
	w.Register(m)
	b := w.NextBatch(now, nil)
	m.Advance(cluster.Terminated)
	w.Deregister(m)
	checkEqual(t, "shards written", applySuccess(t, w, b, now).ShardsWritten, true)
	next := w.NextBatch(now, nil)
	checkEqual(t, "operations", next.Txn.Ops, []kv.Op{{Delete: b.Txn.Ops[0].Put}})
}

// registryModel runs a writer against a simulated store that may apply transactions without a
// response, or late.
type registryModel struct {
	t   *testing.T
	rnd *rand.Rand
	w   *Writer
	now time.Time
	// store holds the names of machines by shard key.
	store map[string]map[string]bool
	// delayed are the transactions that will be applied late.
	delayed []kv.Txn
	// live are the machines that are neither terminated nor rejected.
	live []*cluster.Machine
	// nameCount numbers the names of machines.
	nameCount int
}

// apply applies a transaction to the store.
func (rm *registryModel) apply(txn kv.Txn) {
	rm.t.Helper()
	for _, op := range txn.Ops {
		if op.Delete != "" {
			delete(rm.store, op.Delete)
			continue
		}
		var rec records.RegistryShardRecord
		if err := json.Unmarshal(op.Value.(json.RawMessage), &rec); err != nil {
			rm.t.Fatal(err)
		}
		rm.store[op.Put] = map[string]bool{}
		for _, m := range rec.Machines {
			rm.store[op.Put][m.Name] = true
		}
	}
}

// Outcomes of a write. Numbers from 4 on also mean that it succeeds.
const (
	writeSucceeds = iota - 1
	writeNotApplied
	writeResponseLost
	writeDelayed
	writeRejectedOrLost
)

// write builds the next batch and applies it with the given outcome.
func (rm *registryModel) write(outcome int) {
	rm.t.Helper()
	if !rm.w.Ready(rm.now) {
		return
	}
	b := rm.w.NextBatch(rm.now, nil)
	rm.removeOversized(b.Oversized.Machines)
	if b.IsEmpty() {
		return
	}
	var res kv.Result
	var err error
	switch outcome {
	case writeNotApplied:
		err = kv.ErrNotApplied
	case writeResponseLost:
		err = kv.ErrOutcomeUnknown
		rm.apply(b.Txn)
	case writeDelayed:
		err = kv.ErrOutcomeUnknown
		rm.delayed = append(rm.delayed, b.Txn)
	case writeRejectedOrLost:
		if err = kv.ErrInvalid; rm.rnd.IntN(10) > 0 {
			err = kv.ErrOutcomeUnknown // the request was lost, so it is never applied
		}
	default:
		res.Succeeded = true
		rm.apply(b.Txn)
	}
	out := rm.w.Apply(b, rm.now, res, err)
	rm.removeOversized(out.Oversized.Machines)
}

// removeOversized removes machines whose entry does not fit a shard.
func (rm *registryModel) removeOversized(machines []*cluster.Machine) {
	rm.live = slices.DeleteFunc(rm.live, func(m *cluster.Machine) bool { return slices.Contains(machines, m) })
}

// applyDelayed applies the delayed transactions in random order.
func (rm *registryModel) applyDelayed() {
	for _, i := range rm.rnd.Perm(len(rm.delayed)) {
		rm.apply(rm.delayed[i])
	}
	rm.delayed = nil
}

// check fails the test if a machine that may hold tasks is in no shard of the store.
func (rm *registryModel) check(step int) {
	rm.t.Helper()
	onRecord := map[string]bool{}
	for _, names := range rm.store {
		maps.Copy(onRecord, names)
	}
	for _, m := range rm.live {
		if m.Registration == cluster.Registered && !onRecord[m.Name] {
			rm.t.Fatalf("step %d: machine %s is registered but in no shard of the store", step, m.Name)
		}
	}
}

// changeMachines adds and terminates some machines.
func (rm *registryModel) changeMachines() {
	for range rm.rnd.IntN(4) {
		rm.nameCount++
		m := &cluster.Machine{Name: fmt.Sprint("i-", rm.nameCount), Addr: strings.Repeat("x", rm.rnd.IntN(200))}
		rm.live = append(rm.live, m)
		rm.w.Register(m)
	}
	for len(rm.live) > 40 || len(rm.live) > 0 && rm.rnd.IntN(3) == 0 {
		i := rm.rnd.IntN(len(rm.live))
		m := rm.live[i]
		rm.live = slices.Delete(rm.live, i, i+1)
		m.Advance(cluster.Terminated)
		rm.w.Deregister(m)
	}
}

// A machine that may be assigned tasks must be in a shard at all times, also while transactions fail,
// are applied late or lose their response. Once transactions succeed again, all queues must drain and
// every remaining machine must be registered.
func TestEveryMachineInUseIsOnRecord(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rm := &registryModel{
				t:     t,
				rnd:   rand.New(rand.NewPCG(seed, 1)),
				w:     newWriter(config.KVLimits{WriteRPS: 100, TxnOps: 8, ValueKB: 2}),
				now:   start,
				store: map[string]map[string]bool{},
			}
			for step := range 400 {
				rm.now = rm.now.Add(300 * time.Millisecond)
				rm.changeMachines()
				rm.write(rm.rnd.IntN(8))
				rm.check(step)
				if rm.rnd.IntN(5) == 0 {
					rm.applyDelayed()
					rm.check(step)
				}
			}
			rm.applyDelayed()
			for step := range 400 {
				rm.now = rm.now.Add(300 * time.Millisecond)
				rm.write(writeSucceeds)
				rm.check(400 + step)
			}
			checkEqual(t, "queued", rm.w.Backlog(), Backlog{})
			checkEqual(t, "stale shards in the end", len(rm.w.staleShards), 0)
			for _, m := range rm.live {
				checkEqual(t, m.Name+" registered", m.Registration, cluster.Registered)
			}
		})
	}
}
