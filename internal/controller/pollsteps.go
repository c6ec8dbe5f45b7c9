package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
)

// pollStep is a way to find a job's state.
type pollStep struct {
	source answerSource
	// name is that of the node or service that is queried, for errors.
	name string
	// delay is how long the next step waits for this one.
	delay time.Duration
	query func(ctx context.Context) (api.JobState, error)
}

// stepResult is the result of a step.
type stepResult struct {
	step  pollStep
	state api.JobState
	err   error
}

// pollSteps runs the steps of a poll.
type pollSteps struct {
	waiting []pollStep
	running int
	results chan stepResult
	// nextAt is when the first waiting step begins beside those that run.
	nextAt time.Time
	// failures are the errors of the steps that have failed.
	failures []error
}

// runPollSteps runs steps until one is conclusive, and returns its result. A step begins when all
// before it have failed, or the delay of the one before it has passed.
func runPollSteps(ctx context.Context, steps []pollStep) (api.JobState, answerSource, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pollSteps{
		waiting:  steps,
		results:  make(chan stepResult, len(steps)),
		failures: []error{api.ErrUnavailable},
	}
	for {
		p.startNext(ctx)
		if p.running == 0 {
			return api.JobState{}, "", errors.Join(p.failures...)
		}
		result, received := p.await(ctx)
		switch {
		case ctx.Err() != nil:
			return api.JobState{}, "", errors.Join(append(p.failures, ctx.Err())...)
		case received && isConclusive(result.err):
			return result.state, result.step.source, result.err
		case received:
			p.running--
			if result.step.source == fromStore && errors.Is(result.err, errPhaseUnknown) {
				p.waiting = nil // the step has asked the other nodes
			}
			p.failures = append(p.failures, fmt.Errorf("%s: %w", result.step.name, result.err))
		}
	}
}

// startNext begins the next step if it is due.
func (p *pollSteps) startNext(ctx context.Context) {
	now := time.Now()
	if len(p.waiting) == 0 || p.running > 0 && now.Before(p.nextAt) {
		return
	}
	step := p.waiting[0]
	p.waiting, p.nextAt = p.waiting[1:], now.Add(step.delay)
	p.running++
	go func() {
		state, err := step.query(ctx)
		p.results <- stepResult{step, state, err}
	}()
}

// await waits for the result of a step. It returns false if the next step is due or ctx has ended
// before.
func (p *pollSteps) await(ctx context.Context) (result stepResult, received bool) {
	var due <-chan time.Time
	if len(p.waiting) > 0 {
		timer := time.NewTimer(time.Until(p.nextAt))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case result = <-p.results:
		return result, true
	case <-due:
	case <-ctx.Done():
	}
	return result, false
}
