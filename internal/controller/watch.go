package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// A watch is asked again after watchBlock, and given up after watchTimeout: a
// connection that died without a word must not keep cancellations from the
// leader, whose tasks have to be gone in time.
const (
	watchBlock   = 4 * time.Second
	watchTimeout = 5500 * time.Millisecond
)

// watchActiveJobs follows the active jobs from a revision on.
func (lt *leaderTerm) watchActiveJobs(from uint64) {
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, watchTimeout)
		ch, err := lt.c.Store.Watch(ctx, records.ActivePrefix, from, watchBlock)
		cancel()
		switch {
		case errors.Is(err, kv.ErrCompacted):
			// Too far behind: a new term reads everything again.
			lt.sendToOwner(stepDownMsg{lt})
			return
		case err != nil:
			lt.c.Log.Debug("watch", "err", err)
			sleep(lt.ctx, 300*time.Millisecond)
			continue
		}
		from = max(from, ch.Revision)
		if len(ch.Events) > 0 {
			lt.sendToOwner(activeJobsChangedMsg{lt, ch.Events})
			sleep(lt.ctx, 40*time.Millisecond)
		}
	}
}

// activeJobsChangedMsg brings what the watch saw.
type activeJobsChangedMsg struct {
	leaderTerm *leaderTerm
	events     []kv.Event
}

func (m activeJobsChangedMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	for _, e := range m.events {
		switch {
		case e.Put == records.CancelKey:
			lt.cancelRevision = max(lt.cancelRevision, e.ModRevision)
			var id string
			if err := json.Unmarshal(e.Value, &id); err != nil {
				c.Log.Error("cancel record", "err", err)
				continue
			}
			c.recordCancellation(id)
		case e.Put != "":
			lt.addJob(e.Put, e.Value, e.ModRevision)
		default:
			// A record that went neither by a cancellation nor by this leader
			// was ended by another leader, of which the election has not yet
			// told: how it ended is not known here.
			id := e.Delete[len(records.ActivePrefix):]
			if j := lt.jobs[id]; j != nil && !j.finishing && !j.cancelPending && !j.handover && e.ModRevision > j.modRevision {
				lt.stepDown()
				return
			}
		}
	}
}
