// Package client is the client of the HTTP API for users. The command line uses it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Client sends requests to one controller.
type Client struct {
	base string
	http *http.Client
}

// requestTimeout limits a request, including the time to read its response.
const requestTimeout = 5 * time.Second

// New returns a client of the controller at an address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Timeout: requestTimeout}}
}

// maxResponseBytes is the maximum number of bytes that are read of a response's body.
const maxResponseBytes = 1 << 20

// Submit submits a job that is encoded as JSON, and returns its state.
func (c *Client) Submit(ctx context.Context, job []byte) (api.JobState, error) {
	var state api.JobState
	return state, c.call(ctx, http.MethodPost, "/api/jobs", job, &state)
}

// Show returns a job's state.
func (c *Client) Show(ctx context.Context, id string) (api.JobState, error) {
	var state api.JobState
	return state, c.call(ctx, http.MethodGet, "/api/jobs/"+url.PathEscape(id), nil, &state)
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, id string) (api.JobState, error) {
	var state api.JobState
	return state, c.call(ctx, http.MethodPost, "/api/jobs/"+url.PathEscape(id)+"/abort", nil, &state)
}

// Status returns the controller's status for operators, as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.call(ctx, http.MethodGet, "/status", nil, &raw)
}

// closeBody closes the body of a response that has been read. Errors are ignored: they cannot change
// what was read.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// call sends a request and decodes the response into output. Its errors are one line and are shown to
// users.
func (c *Client) call(ctx context.Context, method, path string, body []byte, output any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("invalid controller address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err
		}
		return fmt.Errorf("controller at %s not reached: %w", c.base, err)
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response of controller at %s: %w", c.base, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &failure) != nil || failure.Error == "" {
			failure.Error = http.StatusText(resp.StatusCode)
		}
		if after := resp.Header.Get("Retry-After"); after != "" {
			return fmt.Errorf("%s; try again in %s s (status %d)", failure.Error, after, resp.StatusCode)
		}
		return fmt.Errorf("%s (status %d)", failure.Error, resp.StatusCode)
	}
	if err := json.Unmarshal(raw, output); err != nil {
		return fmt.Errorf("malformed response of controller at %s: %w", c.base, err)
	}
	return nil
}
