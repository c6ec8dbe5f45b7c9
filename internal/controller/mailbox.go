package controller

import (
	"context"

	"example.org/ivytrestle/internal/api"
)

// The mailbox is the channel of messages to the owner goroutine. Once Run has returned
// nobody receives from it, and the messages left in it are never applied. So that no caller
// blocks for ever, sending and waiting for a reply both end with api.ErrUnavailable then.

// send puts a message into the owner's mailbox.
func (c *Controller) send(ctx context.Context, m message) error {
	if c.hasEnded() { // the mailbox may have free capacity, which the select could choose
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

// sendOrDrop puts a message that has no reply into the owner's mailbox. The error is dropped
// because it only says that the controller is ending, and then there is no state left that
// the message could change.
func (c *Controller) sendOrDrop(ctx context.Context, m message) {
	_ = c.send(ctx, m)
}

// request sends a message to the owner and waits for the reply.
func request[T any](ctx context.Context, c *Controller, m message, reply <-chan T) (T, error) {
	if err := c.send(ctx, m); err != nil {
		var none T
		return none, err
	}
	return await(ctx, c, reply)
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

// hasEnded reports whether Run has returned.
func (c *Controller) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
