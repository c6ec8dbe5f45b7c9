package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

const (
	// watchBlock is the longest time that the store may wait for events before it responds.
	watchBlock = 4 * time.Second
	// watchTimeout is the longest time that a request may take. A connection may be lost without a
	// reset, and the leader must still receive cancellations, as the tasks of cancelled jobs must
	// end in time.
	watchTimeout = 5500 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 300 * time.Millisecond
	// watchBatchDelay is the delay after events, so that the next request returns several at once.
	watchBatchDelay = 40 * time.Millisecond
)

// watchActiveJobs sends the changes after a revision of the active records and the cancel key to the
// owner goroutine.
func (lt *leaderTerm) watchActiveJobs(from uint64) {
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, watchTimeout)
		changes, err := lt.c.Store.Watch(ctx, records.ActivePrefix, from, watchBlock)
		cancel()
		switch {
		case errors.Is(err, kv.ErrCompacted):
			// The store has compacted events that the watch has not read. A new term loads all
			// records again.
			lt.sendToOwner(stepDownMsg{lt})
			return
		case err != nil:
			lt.c.Log.Debug("watching active jobs failed", "err", err)
			sleep(lt.ctx, watchRetryDelay)
			continue
		}
		from = max(from, changes.Revision)
		if len(changes.Events) > 0 {
			lt.sendToOwner(activeJobsChangedMsg{lt, changes.Events})
			sleep(lt.ctx, watchBatchDelay)
		}
	}
}

// activeJobsChangedMsg delivers events of the watch of the active jobs.
type activeJobsChangedMsg struct {
	leaderTerm *leaderTerm
	events     []kv.Event
}

func (m activeJobsChangedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	for _, e := range m.events {
		switch {
		case e.Put == records.CancelKey:
			lt.cancelRevision = max(lt.cancelRevision, e.ModRevision)
			var id string
			if err := json.Unmarshal(e.Value, &id); err != nil {
				c.Log.Error("cancel record invalid", "err", err)
				continue
			}
			c.recordCancellation(id)
		case e.Put != "":
			lt.applyActiveRecord(e.Put, e.Value, e.ModRevision)
		default:
			// The record was deleted. If neither a cancellation nor this leader did so, another
			// leader did, and the election has not reported that leader yet. How the job ended
			// is not known here.
			id := strings.TrimPrefix(e.Delete, records.ActivePrefix)
			if j := lt.jobs[id]; j != nil && !j.DeletesRecord() && e.ModRevision > j.ModRevision {
				lt.stepDown()
				return
			}
		}
	}
}
