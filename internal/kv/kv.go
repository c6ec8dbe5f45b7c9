// Package kv is the client of the consensus-backed key-value store. One client owns the
// process's share of the service's request and write budgets.
package kv

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

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/netio"
)

// ErrNotApplied means that the service did not carry the request out.
var ErrNotApplied = errors.New("state service: not carried out")

// ErrOutcomeUnknown means that the request may have been, or may yet be, carried out.
var ErrOutcomeUnknown = errors.New("state service: outcome unknown")

// ErrInvalid means that the service did not carry the request out and never
// will: it is malformed, or larger than the service's limits allow.
var ErrInvalid = errors.New("state service: malformed or too large")

// MaxTxnBytes bounds a transaction in all, as the service counts it.
const MaxTxnBytes = 64 << 10

// ErrNoLease means that the lease has ended.
var ErrNoLease = errors.New("state service: no such lease")

// ErrCompacted means that a watch began too far back.
var ErrCompacted = errors.New("state service: changes no longer kept")

// Entry is a key with its value.
type Entry struct {
	Key         string          `json:"Path"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Mark"`
	Lease       uint64          `json:"Tenure"`
}

// Compare requires a key to have a version; 0 requires that it does not exist.
type Compare struct {
	Key         string `json:"Path"`
	ModRevision uint64 `json:"Mark"`
}

// Op is a put or a delete.
type Op struct {
	Put    string `json:"Put,omitempty"`
	Value  any    `json:"Value,omitempty"`
	Lease  uint64 `json:"Tenure,omitempty"`
	Delete string `json:"Drop,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	Compares []Compare `json:"Guards"`
	Ops      []Op      `json:"Apply,omitempty"`
	// Records marks the leader's records, which keep to a part of the write
	// rate of their own: no submission waits behind them.
	Records bool `json:"-"`
}

// Result tells how a transaction ended.
type Result struct {
	Succeeded  bool
	Revision   uint64
	FailedKeys []string
}

// Page is a part of a range of keys.
type Page struct {
	Entries  []Entry `json:"Rows"`
	More     bool    `json:"Truncated"`
	Revision uint64  `json:"Ring"`
}

// Event is a change seen by a watch.
type Event struct {
	Put         string          `json:"Put"`
	Value       json.RawMessage `json:"Value"`
	Delete      string          `json:"Drop"`
	ModRevision uint64          `json:"Mark"`
}

// Changes is what a watch returns.
type Changes struct {
	Revision uint64  `json:"Ring"`
	Events   []Event `json:"Events"`
}

// Service is the state service as the rest of the program sees it.
type Service interface {
	// Get reads one key. An entry with Mark 0 does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	Range(ctx context.Context, prefix, from string, most int) (Page, error)
	Txn(ctx context.Context, txn Txn) (Result, error)
	GrantLease(ctx context.Context, life time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (Changes, error)
}

// maxResponseBytes bounds what is read of an answer. A range holds at most 512 KiB;
// a watch has no limit of its own, but is asked again long before this.
const maxResponseBytes = 16 << 20

// Client speaks to the state service over HTTP.
type Client struct {
	base    string
	http    *http.Client
	watches *http.Client
	// renewals have connections of their own, which no other request holds.
	renewals *http.Client
	requests *rate.Limiter
	writes   *rate.Limiter
	// users is set in the view of a client that serves users' questions.
	users *rate.Limiter
}

// The limits are the service's, shared by all nodes. One node may use nodeShare
// of the requests, since the leader needs most. Of the writes, RecordShare is for
// the leader's records, and the rest for what users wait for. Any node may use
// all of it: users come in bursts and to one node rather than another, and what
// the service refuses beyond its rate is tried again soon.
const (
	nodeShare   = 0.45
	RecordShare = 0.4
	// MinWriteBurst lets a node cancel two jobs at once however small its part.
	MinWriteBurst = 8
)

// NewClient makes the client of a state service.
func NewClient(addr string, limits config.StateLimits) *Client {
	transport := func(conns int) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext:         netio.Dialer(2 * time.Second),
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			IdleConnTimeout:     2 * time.Minute,
			DisableCompression:  true,
		}}
	}
	requestRate, writeRate := limits.RPS*nodeShare, limits.WriteRPS*(1-RecordShare)
	return &Client{
		base: "http://" + addr, http: transport(12), watches: transport(4), renewals: transport(2),
		requests: rate.NewLimiter(rate.Limit(requestRate), max(1, int(requestRate))),
		writes:   rate.NewLimiter(rate.Limit(writeRate), max(MinWriteBurst, int(writeRate))),
	}
}

// userShare is the part of a node's requests that users' questions may take.
const userShare = 0.6

// ForUsers is a view of the client for what users ask. However many ask, a part
// of the requests is left to renewals and records.
func (c *Client) ForUsers() *Client {
	u := *c
	requestRate := float64(c.requests.Limit()) * userShare
	u.users = rate.NewLimiter(rate.Limit(requestRate), max(1, int(requestRate)))
	return &u
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	status, err := c.call(ctx, c.http, http.MethodGet, "/kv/"+key, nil, &e)
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	return e, checkStatus(status, http.StatusOK)
}

// Range reads the keys with a prefix, beginning after from.
func (c *Client) Range(ctx context.Context, prefix, from string, most int) (Page, error) {
	q := url.Values{"Prefix": {prefix}, "Most": {strconv.Itoa(most)}}
	if from != "" {
		q.Set("From", from)
	}
	var p Page
	status, err := c.call(ctx, c.http, http.MethodGet, "/kv?"+q.Encode(), nil, &p)
	if err != nil {
		return Page{}, err
	}
	return p, checkStatus(status, http.StatusOK)
}

// Txn carries out a transaction.
func (c *Client) Txn(ctx context.Context, txn Txn) (Result, error) {
	if n := len(txn.Ops); n > 0 && !txn.Records {
		if err := c.writes.WaitN(ctx, n); err != nil {
			return Result{}, fmt.Errorf("%w: write budget: %w", ErrNotApplied, err)
		}
	}
	if txn.Compares == nil {
		txn.Compares = []Compare{}
	}
	var body struct {
		Ring   uint64   `json:"Ring"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	status, err := c.call(ctx, c.http, http.MethodPost, "/txn", txn, &body)
	if err != nil {
		return Result{}, err
	}
	switch {
	case status == http.StatusConflict:
		return Result{Revision: body.Ring, FailedKeys: body.Failed}, nil
	case status == http.StatusBadRequest && body.Error == "no such lease":
		return Result{}, ErrNoLease
	}
	return Result{Succeeded: true, Revision: body.Ring}, checkStatus(status, http.StatusOK)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var body struct {
		Lease uint64 `json:"Tenure"`
	}
	req := map[string]int64{"LifeMs": life.Milliseconds()}
	status, err := c.call(ctx, c.http, http.MethodPost, "/leases", req, &body)
	if err != nil {
		return 0, err
	}
	return body.Lease, checkStatus(status, http.StatusOK)
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/extend"
	// Renewals wait for nobody: what they use is missing to the others later.
	c.requests.Reserve()
	status, err := c.send(ctx, c.renewals, http.MethodPost, path, nil, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return ErrNoLease
	}
	return checkStatus(status, http.StatusOK)
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (Changes, error) {
	q := url.Values{"Prefix": {prefix}, "From": {strconv.FormatUint(from, 10)},
		"BlockMs": {strconv.FormatInt(block.Milliseconds(), 10)}}
	var ch Changes
	status, err := c.call(ctx, c.watches, http.MethodGet, "/watch?"+q.Encode(), nil, &ch)
	if err != nil {
		return Changes{}, err
	}
	if status == http.StatusGone {
		return Changes{}, ErrCompacted
	}
	return ch, checkStatus(status, http.StatusOK)
}

func checkStatus(status, want int) error {
	switch status {
	case want:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrNotApplied, status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return fmt.Errorf("%w: unexpected status %d", ErrOutcomeUnknown, status)
}

// call sends one request within the budget.
func (c *Client) call(ctx context.Context, hc *http.Client, method, path string, in, out any) (int, error) {
	if c.users != nil {
		if err := c.users.Wait(ctx); err != nil {
			return 0, fmt.Errorf("%w: users' request budget: %w", ErrNotApplied, err)
		}
	}
	if err := c.requests.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: request budget: %w", ErrNotApplied, err)
	}
	return c.send(ctx, hc, method, path, in, out)
}

// send sends one request and decodes the answer.
func (c *Client) send(ctx context.Context, hc *http.Client, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("state service: encode: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, fmt.Errorf("state service: %w", err)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if out != nil && len(raw) > 0 && resp.StatusCode < 500 {
		if err := json.Unmarshal(raw, out); err != nil {
			if errors.Is(checkStatus(resp.StatusCode, http.StatusOK), ErrInvalid) {
				return resp.StatusCode, nil // whatever it says, nothing was done
			}
			return 0, fmt.Errorf("%w: malformed answer: %w", ErrOutcomeUnknown, err)
		}
	}
	return resp.StatusCode, nil
}
