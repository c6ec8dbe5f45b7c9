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

// machineTypeCache holds the machine types by name. The map is replaced as a whole, so that request
// handlers can read it without sending a message to the owner goroutine.
type machineTypeCache struct {
	byName atomic.Pointer[map[string]api.MachineType]
}

// load returns the machine types by name, or nil while they are unknown.
func (t *machineTypeCache) load() map[string]api.MachineType {
	if p := t.byName.Load(); p != nil {
		return *p
	}
	return nil
}

// set replaces the machine types.
func (t *machineTypeCache) set(types []api.MachineType) {
	byName := make(map[string]api.MachineType, len(types))
	for _, machineType := range types {
		byName[machineType.Name] = machineType
	}
	t.byName.Store(&byName)
}

const (
	machineTypesRefreshInterval = time.Minute
	// machineTypesRetryDelay is the delay after a failed read from the cloud.
	machineTypesRetryDelay = time.Second
	cloudTypesTimeout      = 3 * time.Second
	storedTypesTimeout     = time.Second
)

// refreshMachineTypesLoop reads the machine types from the cloud at intervals. While none are known
// and the cloud cannot be read, it uses those that another node has stored in the key-value store.
func (c *Controller) refreshMachineTypesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cloudCtx, cancel := context.WithTimeout(ctx, cloudTypesTimeout)
		types, err := c.Cloud.Types(cloudCtx)
		cancel()
		wait := machineTypesRefreshInterval
		if err != nil {
			c.Log.Debug("read of machine types failed", "err", err)
			wait = machineTypesRetryDelay
			if c.machineTypes.load() == nil {
				c.loadStoredMachineTypes(ctx)
			}
		} else {
			isFirstRead := c.machineTypes.load() == nil
			c.machineTypes.set(types)
			if isFirstRead {
				c.storeMachineTypes(ctx, types)
			}
		}
		sleep(ctx, wait)
	}
}

// loadStoredMachineTypes sets the machine types to those in the key-value store, if there are any.
func (c *Controller) loadStoredMachineTypes(ctx context.Context) {
	getCtx, cancel := context.WithTimeout(ctx, storedTypesTimeout)
	defer cancel()
	entry, err := c.Store.Get(getCtx, records.MachineTypesKey)
	if err != nil || entry.ModRevision == 0 {
		return
	}
	var types []api.MachineType
	if err := json.Unmarshal(entry.Value, &types); err != nil {
		c.Log.Warn("stored machine types invalid", "err", err)
		return
	}
	c.machineTypes.set(types)
}

// storeMachineTypes stores the machine types for nodes that start while the cloud is unreachable.
//
// A list that does not fit in one record is not stored. It cannot be split, because nodes of all
// versions read a single record, and it cannot be shortened, because a node that lacks a type would
// reject jobs that need it as unschedulable. Without a stored list, a node that starts while the
// cloud is unreachable has no machine types until it can read them from the cloud.
func (c *Controller) storeMachineTypes(ctx context.Context, types []api.MachineType) {
	txnCtx, cancel := context.WithTimeout(ctx, storedTypesTimeout)
	defer cancel()
	raw, err := json.Marshal(types)
	maxBytes := min(c.Settings.Site.State.ValueKB*1024, kv.MaxTxnBytes*3/4)
	if err != nil || float64(len(raw)) > maxBytes {
		c.Log.Warn("machine types too large for a record", "bytes", len(raw), "err", err)
		return
	}
	txn := kv.Txn{Ops: []kv.Op{{Put: records.MachineTypesKey, Value: json.RawMessage(raw)}}}
	if _, err := c.Store.Txn(txnCtx, txn); errors.Is(err, kv.ErrInvalid) {
		c.Log.Warn("write of machine types rejected", "err", err)
	} else if err != nil && !errors.Is(err, context.Canceled) {
		c.Log.Debug("write of machine types failed", "err", err)
	}
}
