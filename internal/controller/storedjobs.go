package controller

import (
	"context"
	"errors"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// RecordedJob implements api.Backend. It reads the job from the store.
func (c *Controller) RecordedJob(ctx context.Context, id string) (api.JobState, error) {
	answer := c.answers.begin(repeatRequest, id)
	record, err := c.lookup(ctx, id, answer.failingSince)
	return answer.decide(fromStore, stateOfRepeated(record), err)
}

// stateOfRepeated returns the state of a job that was submitted again, as its records show it.
func stateOfRepeated(record records.JobRecord) api.JobState {
	if record.Status == records.Ended {
		return record.Final
	}
	return pendingState(record.ID)
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
