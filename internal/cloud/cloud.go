// Package cloud is the client of the cloud that the fleet's machines are launched in. One
// client owns the process's share of the cloud's rate limit.
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

// ErrNoCapacity means that the cloud has no machine of the requested kind at the moment.
var ErrNoCapacity = errors.New("cloud: no capacity")

// Limits of single requests, in machines; maxResponseBytes in bytes.
const (
	MaxLaunch        = 50
	MaxTerminate     = 100
	listPageSize     = 500
	maxResponseBytes = 4 << 20
)

// LaunchRequest launches machines. It can be retried under its name, which is never used
// for two different requests.
type LaunchRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Frame"`
	Zone  string `json:"Bed"`
	Spot  bool   `json:"Windfall"`
	Count int    `json:"Count"`
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	Name  string  `json:"NameId"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Frame"`
	Zone  string  `json:"Bed"`
	Spot  bool    `json:"Windfall"`
	Phase string  `json:"Phase"`
	AgeS  float64 `json:"AgeS"`
}

// PhaseFailed is the phase of a listed machine that has failed by itself.
const PhaseFailed = "failed"

// Service is what the rest of the program uses of the cloud.
type Service interface {
	// Types lists the machine types with their current prices.
	Types(ctx context.Context) ([]api.MachineType, error)
	// Launch launches machines and returns their names.
	Launch(ctx context.Context, r LaunchRequest) ([]string, error)
	// Terminate terminates machines; success confirms that they are terminated.
	Terminate(ctx context.Context, names []string) error
	// List lists all machines.
	List(ctx context.Context) ([]Machine, error)
}

// Client is a Service over HTTP.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// rateShare is the share of the cloud's rate limit that a client uses.
const rateShare = 0.7

// NewClient returns a client of the cloud at an address.
func NewClient(addr string, lim config.CloudLimits) *Client {
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         netio.Dialer(2 * time.Second),
			MaxConnsPerHost:     4,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(rate.Limit(lim.RPS*rateShare), max(1, int(lim.RPS))),
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
		return nil, errors.New("cloud: no machine types")
	}
	return body.Types, nil
}

// Launch implements Service.
func (c *Client) Launch(ctx context.Context, r LaunchRequest) ([]string, error) {
	var body struct {
		Hosts []string `json:"Hosts"`
	}
	err := c.call(ctx, http.MethodPost, "/machines", r, &body)
	return body.Hosts, err
}

// Terminate implements Service. When it succeeds the machines are terminated, and all
// data on them is lost.
func (c *Client) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", map[string][]string{"Hosts": names}, nil)
}

// List implements Service. It reads all pages.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var all []Machine
	after := ""
	for {
		q := url.Values{"Most": {strconv.Itoa(listPageSize)}}
		if after != "" {
			q.Set("From", after)
		}
		var body struct {
			Hosts []Machine `json:"Hosts"`
			More  bool      `json:"Truncated"`
		}
		if err := c.call(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &body); err != nil {
			return nil, err
		}
		all = append(all, body.Hosts...)
		if !body.More || len(body.Hosts) == 0 {
			return all, nil
		}
		after = body.Hosts[len(body.Hosts)-1].Name
	}
}

// closeBody closes a response that is not needed any more; an error would not change what
// was read of it.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// call sends a request within the rate limit, with input as its body unless that is nil,
// and decodes the response into output unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, input, output any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: request budget: %w", err)
	}
	var body io.Reader
	if input != nil {
		raw, err := json.Marshal(input)
		if err != nil {
			return fmt.Errorf("cloud: encode: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: status %d %s", resp.StatusCode, e.Error)
	}
	if output == nil {
		return nil
	}
	if err := json.Unmarshal(raw, output); err != nil {
		return fmt.Errorf("cloud: malformed answer: %w", err)
	}
	return nil
}
