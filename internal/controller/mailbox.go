package controller

import (
	"context"

	"example.org/ivytrestle/internal/api"
)

// The mailbox is the channel of messages to the owner goroutine. After Run has returned, messages
// that remain in the mailbox are never applied. Sending a message and waiting for a reply then fail
// with api.ErrUnavailable, so that no caller blocks forever.

// send sends a message to the owner's mailbox.
func (c *Controller) send(ctx context.Context, m message) error {
	// Without this check, the select could put the message into the mailbox after Run has
	// returned, because the mailbox may have free capacity.
	if c.hasEnded() {
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

// sendOrDrop sends a message without a reply to the owner's mailbox. It ignores the error: sending
// fails only while the controller is stopping, and then no state is left that the message could
// change.
func (c *Controller) sendOrDrop(ctx context.Context, m message) {
	_ = c.send(ctx, m)
}

// request sends a message to the owner and returns its reply.
func request[T any](ctx context.Context, c *Controller, m message, reply <-chan T) (T, error) {
	if err := c.send(ctx, m); err != nil {
		var none T
		return none, err
	}
	return await(ctx, c, reply)
}

// await waits for the owner's reply to a message that was sent, and returns it.
func await[T any](ctx context.Context, c *Controller, reply <-chan T) (T, error) {
	var none T
	select {
	case response := <-reply:
		return response, nil
	case <-c.ended:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case response := <-reply: // sent just before the owner ended
		return response, nil
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
