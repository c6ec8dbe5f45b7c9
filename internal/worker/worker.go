// Package worker speaks to machines directly: it asks whether they are alive,
// and brings orders that should not wait for a report.
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

// Client speaks to machines.
type Client struct{ http *http.Client }

// NewClient makes a client. Connections are not kept: there is one machine for
// each, and a kept one could have a request sent again.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:        netio.Dialer(time.Second),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// Probe asks a machine for its report, to learn whether it is alive.
func (c *Client) Probe(ctx context.Context, addr string) (*api.Heartbeat, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	defer resp.Body.Close()
	var hb api.Heartbeat
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&hb); err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe: status %d", resp.StatusCode)
	}
	return &hb, nil
}

const maxResponse = 1 << 20

// Resync tells a machine of a term, and returns the report that shows that it
// has heard. It carries no orders, so it may come at any time.
func (c *Client) Resync(ctx context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	agentEpoch := uint64(1) // most machines have never lost theirs
	for range 2 {
		hb, status, err := c.postCommands(ctx, addr, &api.CommandBatch{Term: term, AgentEpoch: agentEpoch, Commands: []api.Command{}})
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
	return nil, errors.New("resync: the session changes")
}

// postCommands sends orders, and returns the report that answers them.
func (c *Client) postCommands(ctx context.Context, addr string, batch *api.CommandBatch) (*api.Heartbeat, int, error) {
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(raw))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
	}
	req.GetBody = nil // never sent twice
	// Without a connection nothing was sent, and an attempt to connect that
	// is given up does not complete later.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected {
			return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsNotApplied, err)
		}
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	var hb api.Heartbeat
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&hb); err != nil && resp.StatusCode == http.StatusOK {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrCommandsOutcomeUnknown, err)
	}
	return &hb, resp.StatusCode, nil
}

// SendCommands brings orders to a machine, once. It returns the number of the report
// that shows them carried out.
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
