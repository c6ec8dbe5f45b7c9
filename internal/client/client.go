// Package client is the users' side of the API, for the command line.
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

// Client speaks to one controller.
type Client struct {
	base string
	http *http.Client
}

// New makes a client of the controller at an address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Timeout: 5 * time.Second}}
}

// maxResponseBytes bounds what is read of an answer.
const maxAnswer = 1 << 20

// Submit submits a job, as JSON.
func (c *Client) Submit(ctx context.Context, job []byte) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodPost, "/api/jobs", job, &st)
}

// Show asks for a job's state.
func (c *Client) Show(ctx context.Context, id string) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodGet, "/api/jobs/"+url.PathEscape(id), nil, &st)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (api.JobState, error) {
	var st api.JobState
	return st, c.call(ctx, http.MethodPost, "/api/jobs/"+url.PathEscape(id)+"/abort", nil, &st)
}

// Status asks for the operators' view of the controller, as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.call(ctx, http.MethodGet, "/status", nil, &raw)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err
		}
		return fmt.Errorf("controller not reached: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	if resp.StatusCode >= 300 {
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
