package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
)

// RecordedJob implements api.Backend. It reads the job from the store.
func (c *Controller) RecordedJob(ctx context.Context, id string) (api.JobState, error) {
	return c.lookup(ctx, id)
}

// lookup returns a job's state from the store. Concurrent lookups of one job share reads.
func (c *Controller) lookup(ctx context.Context, id string) (api.JobState, error) {
	m := lookupMsg{id, make(chan lookupReply, 1)}
	reply, err := request(ctx, c, m, m.reply)
	if err != nil {
		return api.JobState{}, err
	}
	if reply.err == nil && !reply.found {
		return reply.state, api.ErrUnknownJob
	}
	return reply.state, reply.err
}

// lookupMsg requests a job's state from the store. Users who poll often at all nodes would exhaust
// the request budget that they share with submissions, so reads are shared: one read serves all
// requests that were queued before it began, and requests that arrive during a read share the next
// one. So no request gets a response that was read before it arrived.
type lookupMsg struct {
	id    string
	reply chan lookupReply
}

// lookupReply is the result of one read of a job.
type lookupReply struct {
	state api.JobState
	found bool
	err   error
}

// sharedLookup is a read in progress: current are the requests that it serves, and next are those
// that the following read will serve.
type sharedLookup struct{ current, next []chan lookupReply }

// lookupTimeout limits one shared read.
const lookupTimeout = time.Second

func (m lookupMsg) apply(c *Controller) {
	if lookup := c.lookups[m.id]; lookup != nil {
		lookup.next = append(lookup.next, m.reply)
		return
	}
	c.lookups[m.id] = &sharedLookup{current: []chan lookupReply{m.reply}}
	c.startLookup(m.id)
}

// startLookup starts reading a job from the store.
func (c *Controller) startLookup(id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
		defer cancel()
		var reply lookupReply
		reply.state, reply.found, reply.err = c.records.Lookup(ctx, id)
		c.sendOrDrop(context.Background(), lookupDoneMsg{id, reply})
	}()
}

// lookupDoneMsg carries the result of a read to the requests that wait for it.
type lookupDoneMsg struct {
	id    string
	reply lookupReply
}

func (m lookupDoneMsg) apply(c *Controller) {
	if m.reply.err == nil && m.reply.found && m.reply.state.Final() {
		finalStateMsg{m.reply.state}.apply(c)
	}
	lookup := c.lookups[m.id]
	for _, reply := range lookup.current {
		reply <- m.reply
	}
	if len(lookup.next) == 0 {
		delete(c.lookups, m.id)
		return
	}
	lookup.current, lookup.next = lookup.next, nil
	c.startLookup(m.id)
}

// finalStateMsg carries a job's final state that this node has read or written. The leader's memory
// and the cancellation log must be updated before a user gets this state in a response. The store may
// become unreachable right after, and later responses must not show an earlier state.
type finalStateMsg struct{ state api.JobState }

func (m finalStateMsg) apply(c *Controller) {
	if m.state.DerivedCancel {
		return // derived from a cancelled dependency, not written yet; the leader derives it as well
	}
	if m.state.Phase == api.JobCancelled {
		c.recordCancellation(m.state.ID)
		return
	}
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[m.state.ID]; j != nil {
			c.leaderTerm.jobFinished(j)
		}
	}
	c.finalStates.Add(m.state.ID, m.state)
}

// publishFinalState sends a final state to the owner goroutine before the response to the user is
// sent. It returns no error if the owner has ended, since no state is left that could contradict that
// response.
func (c *Controller) publishFinalState(ctx context.Context, state api.JobState) error {
	err := c.send(ctx, finalStateMsg{state})
	if errors.Is(err, api.ErrUnavailable) {
		return nil
	}
	return err
}
