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

func (c *Controller) lookup(ctx context.Context, id string) (api.JobState, error) {
	m := lookupMsg{id, make(chan lookupReply, 1)}
	if err := c.send(ctx, m); err != nil {
		return api.JobState{}, err
	}
	r, err := await(ctx, c, m.reply)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err == nil && !r.found {
		return r.state, api.ErrUnknownJob
	}
	return r.state, r.err
}

// lookupMsg asks what the store has of a job. Users who ask again and again, at all
// nodes, would use up the request budget that submissions share: one read serves
// all who asked before it began, and those who ask meanwhile share the next. None
// gets an answer that is older than its question.
type lookupMsg struct {
	id    string
	reply chan lookupReply
}

type lookupReply struct {
	state api.JobState
	found bool
	err   error
}

// lookupRound is one read, and who waits for it and for the next.
type lookupRound struct{ current, next []chan lookupReply }

// lookupTimeout bounds one shared read.
const lookupTimeout = time.Second

func (m lookupMsg) apply(c *Controller) {
	if r := c.reads[m.id]; r != nil {
		r.next = append(r.next, m.reply)
		return
	}
	c.reads[m.id] = &lookupRound{current: []chan lookupReply{m.reply}}
	c.startLookup(m.id)
}

func (c *Controller) startLookup(id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
		defer cancel()
		var r lookupReply
		r.state, r.found, r.err = c.records.Lookup(ctx, id)
		c.send(context.Background(), lookupDoneMsg{id, r})
	}()
}

type lookupDoneMsg struct {
	id    string
	reply lookupReply
}

func (m lookupDoneMsg) apply(c *Controller) {
	if m.reply.err == nil && m.reply.found && m.reply.state.Final() {
		finalMsg{m.reply.state}.apply(c)
	}
	round := c.reads[m.id]
	for _, reply := range round.current {
		reply <- m.reply
	}
	if len(round.next) == 0 {
		delete(c.reads, m.id)
		return
	}
	round.current, round.next = round.next, nil
	c.startLookup(m.id)
}

// finalMsg tells the owner of a final state.
type finalMsg struct{ st api.JobState }

// The leader's memory and the log of cancellations must not fall behind what
// users are told: the store may be out of reach from the next moment on.
func (m finalMsg) apply(c *Controller) {
	if m.st.Derived {
		return // the leader finds it by itself, and has yet to write it
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
	c.final.Add(m.st.ID, m.st)
}

// publishFinalState tells the owner of a final state before a user hears of it. An owner that has
// ended keeps no memory that could fall behind the user's, so that is no error.
func (c *Controller) publishFinalState(ctx context.Context, st api.JobState) error {
	err := c.send(ctx, finalMsg{st})
	if errors.Is(err, api.ErrUnavailable) {
		return nil
	}
	return err
}
