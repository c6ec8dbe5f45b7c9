// Package client is the client of the users' API, for the command line.
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

// requestTimeout bounds a request with its response.
const requestTimeout = 5 * time.Second

// New returns a client of the controller at an address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Timeout: requestTimeout}}
}

// maxResponseBytes bounds what is read of a response.
const maxResponseBytes = 1 << 20

// Submit submits a job, as JSON.
func (c *Client) Submit(ctx context.Context, job []byte) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodPost, "/api/jobs", job, &st)
}

// Show requests a job's state.
func (c *Client) Show(ctx context.Context, id string) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodGet, "/api/jobs/"+url.PathEscape(id), nil, &st)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodPost, "/api/jobs/"+url.PathEscape(id)+"/abort", nil, &st)
}

// Status requests the operators' view of the controller, as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.call(ctx, http.MethodGet, "/status", nil, &raw)
}

// closeBody closes a response that is not needed any more; an error would not change what
// was read of it.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// call sends a request and decodes the response into out. An error is one line for users.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err
		}
		return fmt.Errorf("controller not reached: %w", err)
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &e) != nil || e.Error == "" {
			e.Error = http.StatusText(resp.StatusCode)
		}
		if after := resp.Header.Get("Retry-After"); after != "" {
			return fmt.Errorf("%s; try again in %s s (status %d)", e.Error, after, resp.StatusCode)
		}
		return fmt.Errorf("%s (status %d)", e.Error, resp.StatusCode)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("controller: malformed answer: %w", err)
	}
	return nil
}
