// Package worker is the client of worker agents: it probes machines, resyncs them and
// sends commands that should not wait for a heartbeat response.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// NewClient returns a client. It keeps no connections alive: each would serve a single
// machine, and on a reused one the transport could send a request twice.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:        netio.Dialer(time.Second),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// Probe solicits a heartbeat from a machine, to learn whether it is alive.
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
	var hb api.Heartbeat
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&hb); err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe: status %d", resp.StatusCode)
	}
	return &hb, nil
}

// maxResponseBytes is the largest body that is read of a machine's response.
const maxResponseBytes = 1 << 20

// closeBody closes a response that is not needed any more; an error would not change what
// was read of it.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// Resync fences a machine at a term by an empty command batch, and returns the heartbeat
// that acknowledges it. Since the batch holds no commands, a resync is safe at any time.
func (c *Client) Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	agentEpoch := uint64(1) // few machines are beyond their first one
	for range 2 {
		hb, status, err := c.postCommands(ctx, addr, &api.CommandBatch{
			Term:       term,
			AgentEpoch: agentEpoch,
			Commands:   []api.Command{},
		})
		switch {
		case err != nil:
			return nil, fmt.Errorf("resync: %w", err)
		case status == http.StatusOK:
			return hb, nil
		case status != http.StatusConflict || hb.Term > term || hb.AgentEpoch == agentEpoch:
			return nil, fmt.Errorf("resync: status %d, term %d", status, hb.Term)
		}
		agentEpoch = hb.AgentEpoch
	}
	return nil, errors.New("resync: the agent epoch changes")
}

// postCommands sends a command batch once, and returns the heartbeat that responds to it.
func (c *Client) postCommands(ctx context.Context, addr string, batch *api.CommandBatch) (*api.Heartbeat, int, error) {
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(raw))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req.GetBody = nil // so the transport cannot retry
	// Without a connection nothing was sent, and a canceled attempt to connect does
	// not complete later.
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
	var hb api.Heartbeat
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&hb)
	if err != nil && resp.StatusCode == http.StatusOK {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsOutcomeUnknown, err)
	}
	return &hb, resp.StatusCode, nil
}

// SendCommands sends a command batch to a machine, once. It returns the sequence number
// of the heartbeat that shows the commands applied.
func (c *Client) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (seq uint64, err error) {
	hb, status, err := c.postCommands(ctx, addr, batch)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return hb.Seq, nil
	case status == http.StatusConflict || status == http.StatusBadRequest:
		return 0, fmt.Errorf("%w: status %d", api.ErrCommandsNotApplied, status)
	}
	return 0, fmt.Errorf("%w: status %d", api.ErrCommandsOutcomeUnknown, status)
}
