// Package cloud is the client of the cloud in which the fleet's machines are launched. A process uses
// one client, which enforces the process's share of the cloud's rate limit.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/netio"
)

// ErrNoCapacity means that the cloud currently has no machine of the requested type.
var ErrNoCapacity = errors.New("cloud: no capacity")

// Limits of a single request.
const (
	// MaxLaunch is the maximum number of machines that a request launches.
	MaxLaunch = 50
	// MaxTerminate is the maximum number of machines that a request terminates.
	MaxTerminate = 100
	// listPageSize is the maximum number of machines on a page of the list.
	listPageSize = 500
	// maxResponseBytes is the maximum number of bytes that are read of a response's body.
	maxResponseBytes = 4 << 20
)

// LaunchRequest is a request to launch machines. It can be retried: its name identifies it, and is
// never used for a different request.
type LaunchRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Frame"`
	Zone  string `json:"Bed"`
	Spot  bool   `json:"Windfall"`
	Count int    `json:"Count"`
}

// Machine is a machine in the cloud's list.
type Machine struct {
	Name  string  `json:"NameId"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Frame"`
	Zone  string  `json:"Bed"`
	Spot  bool    `json:"Windfall"`
	Phase string  `json:"Phase"`
	AgeS  float64 `json:"AgeS"`
}

// PhaseFailed is the phase of a listed machine that failed, rather than being terminated on request.
const PhaseFailed = "failed"

// Service is the interface of the cloud for the other packages.
type Service interface {
	// Types returns the machine types with their current prices.
	Types(ctx context.Context) ([]api.MachineType, error)
	// Launch launches machines and returns their names.
	Launch(ctx context.Context, request LaunchRequest) ([]string, error)
	// Terminate terminates machines. If it succeeds, they are terminated.
	Terminate(ctx context.Context, names []string) error
	// List returns all machines. Those that were deleted or taken back are not listed, but the list
	// may lag behind by up to twice the time in config.CloudLimits.
	List(ctx context.Context) ([]Machine, error)
}

// Client implements Service over HTTP.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// rateShare is the fraction of the cloud's rate limit that a client uses.
const rateShare = 0.7

// NewClient returns a client of the cloud at an address.
func NewClient(addr string, limits config.CloudLimits) *Client {
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         netio.Dialer(2 * time.Second),
			MaxConnsPerHost:     4,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(rate.Limit(limits.RPS*rateShare), max(1, int(limits.RPS))),
	}
}

// Types implements Service.
func (c *Client) Types(ctx context.Context) ([]api.MachineType, error) {
	var body struct {
		Types []api.MachineType `json:"Frames"`
	}
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &body); err != nil {
		return nil, err
	}
	if len(body.Types) == 0 {
		return nil, errors.New("cloud: list of machine types is empty")
	}
	return body.Types, nil
}

// Launch implements Service.
func (c *Client) Launch(ctx context.Context, request LaunchRequest) ([]string, error) {
	var body struct {
		Hosts []string `json:"Hosts"`
	}
	err := c.call(ctx, http.MethodPost, "/machines", request, &body)
	return body.Hosts, err
}

// Terminate implements Service. If it succeeds, the machines are terminated and all data on them is
// lost.
func (c *Client) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", map[string][]string{"Hosts": names}, nil)
}

// List implements Service. It requests all pages of the list.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var all []Machine
	after := ""
	for {
		query := url.Values{"Most": {strconv.Itoa(listPageSize)}}
		if after != "" {
			query.Set("From", after)
		}
		var body struct {
			Hosts []Machine `json:"Hosts"`
			More  bool      `json:"Truncated"`
		}
		if err := c.call(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &body); err != nil {
			return nil, err
		}
		all = append(all, body.Hosts...)
		if !body.More {
			return all, nil
		}
		if len(body.Hosts) == 0 {
			return nil, errors.New("cloud: list of machines is truncated without a machine")
		}
		after = body.Hosts[len(body.Hosts)-1].Name
	}
}

// closeBody closes the body of a response that has been read. Errors are ignored: they cannot change
// what was read.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// call waits for the rate limit and sends a request. If input is not nil, it is the request's body,
// and if output is not nil, the response is decoded into it.
func (c *Client) call(ctx context.Context, method, path string, input, output any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: wait for rate limit: %w", err)
	}
	var body io.Reader
	if input != nil {
		raw, err := json.Marshal(input)
		if err != nil {
			return fmt.Errorf("cloud: encode request: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("cloud: create request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cloud: %s %s: read response: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &failure) == nil && failure.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: %s %s: status %d, error %q", method, path, resp.StatusCode, failure.Error)
	}
	if output == nil {
		return nil
	}
	if err := json.Unmarshal(raw, output); err != nil {
		return fmt.Errorf("cloud: %s %s: malformed response: %w", method, path, err)
	}
	return nil
}
