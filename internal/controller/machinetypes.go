package controller

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// machineTypeCache holds the machine types. They are replaced whole, so that the
// handlers read them without asking the owner.
type machineTypeCache struct {
	byName atomic.Pointer[map[string]api.MachineType]
}

func (t *machineTypeCache) load() map[string]api.MachineType {
	if p := t.byName.Load(); p != nil {
		return *p
	}
	return nil
}

func (t *machineTypeCache) set(types []api.MachineType) {
	m := make(map[string]api.MachineType, len(types))
	for _, mt := range types {
		m[mt.Name] = mt
	}
	t.byName.Store(&m)
}

// machineTypesTTL is how long the machine types are used before they are read again.
const machineTypesTTL = time.Minute

// refreshMachineTypesLoop keeps the machine types known: from the cloud, or while that
// does not answer from what some node stored.
func (c *Controller) refreshMachineTypesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		types, err := c.Cloud.Types(cctx)
		cancel()
		wait := machineTypesTTL
		if err != nil {
			c.Log.Debug("machine types not read", "err", err)
			wait = time.Second
			if c.types.load() == nil {
				c.loadStoredMachineTypes(ctx)
			}
		} else {
			first := c.types.load() == nil
			c.types.set(types)
			if first {
				c.storeMachineTypes(ctx, types)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (c *Controller) loadStoredMachineTypes(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e, err := c.Store.Get(cctx, records.MachineTypesKey)
	if err != nil || e.ModRevision == 0 {
		return
	}
	var types []api.MachineType
	if err := json.Unmarshal(e.Value, &types); err != nil {
		c.Log.Warn("stored machine types", "err", err)
		return
	}
	c.types.set(types)
}

func (c *Controller) storeMachineTypes(ctx context.Context, types []api.MachineType) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// Versions read one record, and a list with types missing would have jobs
	// told that they never run. So one that does not fit is not stored: a node
	// that starts while the cloud is away then waits for it.
	raw, err := json.Marshal(types)
	if room := min(c.Settings.Site.State.ValueKB*1024, kv.MaxTxnBytes*3/4); err != nil || float64(len(raw)) > room {
		c.Log.Warn("machine types do not fit a record", "bytes", len(raw), "err", err)
		return
	}
	txn := kv.Txn{Ops: []kv.Op{{Put: records.MachineTypesKey, Value: json.RawMessage(raw)}}}
	if _, err := c.Store.Txn(cctx, txn); errors.Is(err, kv.ErrInvalid) {
		c.Log.Warn("machine types not stored", "err", err)
	} else if err != nil && !errors.Is(err, context.Canceled) {
		c.Log.Debug("machine types not stored", "err", err)
	}
}
