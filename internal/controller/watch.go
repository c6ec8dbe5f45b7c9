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

// The store answers a watch after watchBlock at the latest, and watchTimeout abandons the
// request: a connection that was lost without a reset must not keep cancellations from the
// leader, as the tasks of cancelled jobs must end in time.
const (
	watchBlock   = 4 * time.Second
	watchTimeout = 5500 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch.
	watchRetryDelay = 300 * time.Millisecond
	// watchBatchDelay is the pause after events, so that one request returns several.
	watchBatchDelay = 40 * time.Millisecond
)

// watchActiveJobs sends the owner the changes of active jobs from a revision on.
func (lt *leaderTerm) watchActiveJobs(from uint64) {
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, watchTimeout)
		ch, err := lt.c.Store.Watch(ctx, records.ActivePrefix, from, watchBlock)
		cancel()
		switch {
		case errors.Is(err, kv.ErrCompacted):
			// The watch is too far behind: a new term loads all records again.
			lt.sendToOwner(stepDownMsg{lt})
			return
		case err != nil:
			lt.c.Log.Debug("watch failed", "err", err)
			sleep(lt.ctx, watchRetryDelay)
			continue
		}
		from = max(from, ch.Revision)
		if len(ch.Events) > 0 {
			lt.sendToOwner(activeJobsChangedMsg{lt, ch.Events})
			sleep(lt.ctx, watchBatchDelay)
		}
	}
}

// activeJobsChangedMsg carries events of the watch on the active jobs.
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
			// A record that was deleted neither by a cancellation nor by this leader was
			// deleted by another leader, which the election has not reported yet: how
			// the job ended is not known here.
			id := strings.TrimPrefix(e.Delete, records.ActivePrefix)
			if j := lt.jobs[id]; j != nil && !j.DeletesRecord() && e.ModRevision > j.ModRevision {
				lt.stepDown()
				return
			}
		}
	}
}
