package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// RecordedJob implements api.Backend. Only the job's records can show that it is unknown.
func (c *Controller) RecordedJob(ctx context.Context, id string) (api.JobState, error) {
	answer := c.answers.begin(repeatRequest, id)
	lookupCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	record, err := c.lookup(lookupCtx, id, answer.failingSince)
	if err != nil {
		return answer.decide(fromStore, api.JobState{}, err)
	}
	state, source, err := c.stateOfRepeated(ctx, record, answer.failingSince)
	return answer.decide(source, state, err)
}

// stateOfRepeated returns the state of a job that was submitted again. The records of a job that has not
// ended do not show its phase, so it is found as for a poll.
func (c *Controller) stateOfRepeated(
	ctx context.Context, record records.JobRecord, failingSince time.Time,
) (api.JobState, answerSource, error) {
	if record.Status == records.Ended {
		return record.Final, fromStore, nil
	}
	select {
	case c.repeatedPolls <- struct{}{}:
		defer func() { <-c.repeatedPolls }()
	default:
		return api.JobState{}, fromStore, errTooManyRepeats
	}
	ctx, cancel := context.WithTimeout(ctx, repeatedPollTimeout)
	defer cancel()
	state, source, err := c.findJob(ctx, record.ID, failingSince)
	if errors.Is(err, api.ErrUnknownJob) {
		err = api.ErrUnavailable // its record has just been read
	}
	return state, source, err
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
