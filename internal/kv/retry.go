package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// The wait between two attempts grows from minRetryWait to maxRetryWait. Up to as much again
// is added at random, so that nodes whose requests failed together do not retry together.
const (
	minRetryWait = 40 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
)

// Retry repeats a request that was not applied, or whose outcome is unknown, until it
// succeeds, fails for good, or the context ends. It returns the last error. The request
// must be idempotent.
func Retry(ctx context.Context, request func() error) error {
	wait := minRetryWait
	for {
		err := request()
		if !errors.Is(err, ErrNotApplied) && !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
		timer := time.NewTimer(wait + rand.N(wait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
		wait = min(2*wait, maxRetryWait)
	}
}
