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

// machineTypeCache holds the machine types. They are replaced as a whole, so that the
// handlers read them without a message to the owner.
type machineTypeCache struct {
	byName atomic.Pointer[map[string]api.MachineType]
}

// load returns the machine types by name; nil: they are not known yet.
func (t *machineTypeCache) load() map[string]api.MachineType {
	if p := t.byName.Load(); p != nil {
		return *p
	}
	return nil
}

// set replaces the machine types.
func (t *machineTypeCache) set(types []api.MachineType) {
	m := make(map[string]api.MachineType, len(types))
	for _, mt := range types {
		m[mt.Name] = mt
	}
	t.byName.Store(&m)
}

const (
	// machineTypesRefreshInterval is how long the machine types are used before they are read again.
	machineTypesRefreshInterval = time.Minute
	machineTypesRetryDelay      = time.Second
	cloudTypesTimeout           = 3 * time.Second
	storedTypesTimeout          = time.Second
)

// refreshMachineTypesLoop reads the machine types from the cloud, or, until that has answered
// once, from the store, where some node has put them.
func (c *Controller) refreshMachineTypesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, cloudTypesTimeout)
		types, err := c.Cloud.Types(cctx)
		cancel()
		wait := machineTypesRefreshInterval
		if err != nil {
			c.Log.Debug("read of machine types failed", "err", err)
			wait = machineTypesRetryDelay
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
		sleep(ctx, wait)
	}
}

// loadStoredMachineTypes uses the machine types that some node has stored, if any.
func (c *Controller) loadStoredMachineTypes(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, storedTypesTimeout)
	defer cancel()
	e, err := c.Store.Get(cctx, records.MachineTypesKey)
	if err != nil || e.ModRevision == 0 {
		return
	}
	var types []api.MachineType
	if err := json.Unmarshal(e.Value, &types); err != nil {
		c.Log.Warn("stored machine types invalid", "err", err)
		return
	}
	c.types.set(types)
}

// storeMachineTypes stores the machine types for nodes that start while the cloud is
// unreachable.
//
// All versions read one record, and with types missing from it a node would reject jobs as
// unschedulable. So a list that does not fit in a record is not stored: a node that
// starts while the cloud is unreachable then waits for the cloud.
func (c *Controller) storeMachineTypes(ctx context.Context, types []api.MachineType) {
	cctx, cancel := context.WithTimeout(ctx, storedTypesTimeout)
	defer cancel()
	raw, err := json.Marshal(types)
	maxBytes := min(c.Settings.Site.State.ValueKB*1024, kv.MaxTxnBytes*3/4)
	if err != nil || float64(len(raw)) > maxBytes {
		c.Log.Warn("machine types too large for a record", "bytes", len(raw), "err", err)
		return
	}
	txn := kv.Txn{Ops: []kv.Op{{Put: records.MachineTypesKey, Value: json.RawMessage(raw)}}}
	if _, err := c.Store.Txn(cctx, txn); errors.Is(err, kv.ErrInvalid) {
		c.Log.Warn("write of machine types rejected", "err", err)
	} else if err != nil && !errors.Is(err, context.Canceled) {
		c.Log.Debug("write of machine types failed", "err", err)
	}
}
