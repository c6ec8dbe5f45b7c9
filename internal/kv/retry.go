package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// minRetryWait is the wait after the first failed attempt. It doubles with each further one.
	minRetryWait = 40 * time.Millisecond
	// maxRetryWait is the longest wait, without jitter.
	maxRetryWait = 400 * time.Millisecond
)

// Retry repeats a request while it fails with ErrNotApplied or ErrOutcomeUnknown, until it
// succeeds, fails with another error, or the context ends. It returns the last error. The
// request must be idempotent.
func Retry(ctx context.Context, request func() error) error {
	wait := minRetryWait
	for {
		err := request()
		if !errors.Is(err, ErrNotApplied) && !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
		// The jitter of up to 100% keeps nodes whose requests failed together from retrying together.
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
