package controller

import (
	"context"

	"example.org/ivytrestle/internal/api"
)

// The mailbox is the channel of messages to the owner goroutine. Once Run has returned
// nobody reads it any more, and what is left in it is never applied. So that no caller
// waits for that in vain, sending and waiting for a reply both end with
// api.ErrUnavailable then.

// send hands a message to the owner.
func (c *Controller) send(ctx context.Context, m message) error {
	if c.hasEnded() { // the mailbox may still have room, which the select could choose
		return api.ErrUnavailable
	}
	select {
	case c.mailbox <- m:
		return nil
	case <-c.ended:
		return api.ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await returns the owner's reply to a message that was sent.
func await[T any](ctx context.Context, c *Controller, reply <-chan T) (T, error) {
	var none T
	select {
	case r := <-reply:
		return r, nil
	case <-c.ended:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case r := <-reply: // sent just before the owner ended
		return r, nil
	default:
		return none, api.ErrUnavailable
	}
}

// hasEnded tells whether Run has returned.
func (c *Controller) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
