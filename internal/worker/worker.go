// Package worker is the client of the worker agents on the machines. It probes machines, fences them
// at a term, and sends commands that should not wait for the next heartbeat response.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/netio"
)

// Client sends requests to worker agents.
type Client struct{ http *http.Client }

// NewClient returns a client. It opens a new connection for each request: a connection that is kept
// open would serve only one machine, and on a reused connection the transport might send a request
// twice.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:        netio.Dialer(time.Second),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// Probe requests a heartbeat from a machine, to check whether the machine is alive.
func (c *Client) Probe(ctx context.Context, addr string) (*api.Heartbeat, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	defer closeBody(resp)
	var heartbeat api.Heartbeat
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&heartbeat); err != nil {
		return nil, fmt.Errorf("probe of %s: decode response: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe of %s: status %d, want %d", addr, resp.StatusCode, http.StatusOK)
	}
	return &heartbeat, nil
}

// maxResponseBytes is the maximum number of bytes that are read of the body of a machine's response.
const maxResponseBytes = 1 << 20

// closeBody closes the body of a response that has been read. Errors are ignored: they cannot change
// what was read.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// Resync raises a machine's fencing token with an empty command batch, and returns the heartbeat that
// acknowledges the batch. A resync is safe at any time, since the batch contains no commands.
func (c *Client) Resync(ctx context.Context, addr string, token uint64) (*api.Heartbeat, error) {
	agentEpoch := uint64(1) // still the first epoch on most machines
	for range 2 {
		heartbeat, status, err := c.postCommands(ctx, addr, &api.CommandBatch{
			Token:      token,
			AgentEpoch: agentEpoch,
			Commands:   []api.Command{},
		})
		switch {
		case err != nil:
			return nil, fmt.Errorf("resync of %s: %w", addr, err)
		case status == http.StatusOK:
			return heartbeat, nil
		case status != http.StatusConflict || heartbeat.Token > token || heartbeat.AgentEpoch == agentEpoch:
			return nil, fmt.Errorf("resync of %s with token %d: status %d, machine has token %d",
				addr, token, status, heartbeat.Token)
		}
		agentEpoch = heartbeat.AgentEpoch
	}
	return nil, fmt.Errorf("resync of %s: agent epoch changed again, to %d", addr, agentEpoch)
}

// postCommands sends a command batch once. It returns the heartbeat in the response, and the status
// code.
func (c *Client) postCommands(ctx context.Context, addr string, batch *api.CommandBatch) (*api.Heartbeat, int, error) {
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(raw))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req.GetBody = nil // prevents retries by the transport
	// If no connection was made, nothing was sent, and a canceled attempt to connect does not
	// succeed later.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected {
			return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
		}
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsOutcomeUnknown, err)
	}
	defer closeBody(resp)
	var heartbeat api.Heartbeat
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&heartbeat)
	if err != nil && resp.StatusCode == http.StatusOK {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsOutcomeUnknown, err)
	}
	return &heartbeat, resp.StatusCode, nil
}

// SendCommands sends a command batch to a machine once, and returns the sequence number of the
// heartbeat that confirms the commands. An error wraps api.ErrCommandsNotApplied or
// api.ErrCommandsOutcomeUnknown.
func (c *Client) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (seq uint64, err error) {
	heartbeat, status, err := c.postCommands(ctx, addr, batch)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return heartbeat.Seq, nil
	case status == http.StatusConflict || status == http.StatusBadRequest:
		return 0, fmt.Errorf("%w: status %d", api.ErrCommandsNotApplied, status)
	}
	return 0, fmt.Errorf("%w: status %d", api.ErrCommandsOutcomeUnknown, status)
}
