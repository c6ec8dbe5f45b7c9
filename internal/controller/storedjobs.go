package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
)

// RecordedJob implements api.Backend.
func (c *Controller) RecordedJob(ctx context.Context, id string) (api.JobState, error) {
	return c.lookup(ctx, id)
}

// lookup returns what the store has of a job.
func (c *Controller) lookup(ctx context.Context, id string) (api.JobState, error) {
	m := lookupMsg{id, make(chan lookupReply, 1)}
	r, err := request(ctx, c, m, m.reply)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err == nil && !r.found {
		return r.state, api.ErrUnknownJob
	}
	return r.state, r.err
}

// lookupMsg requests what the store has of a job. Users who poll again and again, at all
// nodes, would use up the request budget that they share with submissions. So one read serves
// all requests that were queued before it began, and those that arrive meanwhile share the
// next. None gets a response that is older than its request.
type lookupMsg struct {
	id    string
	reply chan lookupReply
}

// lookupReply is the result of one read.
type lookupReply struct {
	state api.JobState
	found bool
	err   error
}

// lookupRound is one read, with the requests that wait for it and for the next.
type lookupRound struct{ current, next []chan lookupReply }

// lookupTimeout is the time limit of one shared read.
const lookupTimeout = time.Second

func (m lookupMsg) apply(c *Controller) {
	if r := c.lookups[m.id]; r != nil {
		r.next = append(r.next, m.reply)
		return
	}
	c.lookups[m.id] = &lookupRound{current: []chan lookupReply{m.reply}}
	c.startLookup(m.id)
}

// startLookup reads a job from the store.
func (c *Controller) startLookup(id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
		defer cancel()
		var r lookupReply
		r.state, r.found, r.err = c.records.Lookup(ctx, id)
		c.sendOrDrop(context.Background(), lookupDoneMsg{id, r})
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
	round := c.lookups[m.id]
	for _, reply := range round.current {
		reply <- m.reply
	}
	if len(round.next) == 0 {
		delete(c.lookups, m.id)
		return
	}
	round.current, round.next = round.next, nil
	c.startLookup(m.id)
}

// finalStateMsg carries a job's final state that this node has read or written. The leader's memory
// and the cancellation log must not fall behind the responses to users: the store may be
// unreachable from the next moment on.
type finalStateMsg struct{ st api.JobState }

func (m finalStateMsg) apply(c *Controller) {
	if m.st.DerivedCancel {
		return // the leader derives it by itself, and has yet to record it
	}
	if m.st.Phase == api.JobCancelled {
		c.recordCancellation(m.st.ID)
		return
	}
	if c.leaderTerm != nil {
		if j := c.leaderTerm.jobs[m.st.ID]; j != nil {
			c.leaderTerm.jobFinished(j)
		}
	}
	c.finalStates.Add(m.st.ID, m.st)
}

// publishFinalState hands a final state to the owner before the response to the user is sent.
// An owner that has ended has no state that could fall behind that response, so its end is no
// error.
func (c *Controller) publishFinalState(ctx context.Context, st api.JobState) error {
	err := c.send(ctx, finalStateMsg{st})
	if errors.Is(err, api.ErrUnavailable) {
		return nil
	}
	return err
}
