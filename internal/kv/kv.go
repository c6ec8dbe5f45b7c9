// Package kv is the client of the consensus-backed key-value store. One client owns the
// process's share of the store's request and write rates.
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

// What is known of a request that failed. Test for these with errors.Is: what is returned
// wraps them and says which request failed, and why.
var (
	// ErrNotApplied means that the store did not apply the request; a retry may succeed.
	ErrNotApplied = errors.New("key-value store: not applied")
	// ErrOutcomeUnknown means that the request may have been applied, or may still be.
	ErrOutcomeUnknown = errors.New("key-value store: outcome unknown")
	// ErrInvalid means that the store did not apply the request and never will: it is
	// malformed, or larger than the store's limits allow.
	ErrInvalid = errors.New("key-value store: malformed or too large")
	// ErrNoLease means that the lease has expired.
	ErrNoLease = errors.New("key-value store: no such lease")
	// ErrCompacted means that the store no longer keeps the changes since the revision
	// from which a watch was to start.
	ErrCompacted = errors.New("key-value store: revision compacted")
)

// MaxTxnBytes bounds the encoded size of a transaction, as the store counts it.
const MaxTxnBytes = 64 << 10

// Entry is a key with its value.
type Entry struct {
	Key   string          `json:"Path"`
	Value json.RawMessage `json:"Value"`
	// ModRevision is the version of the key; 0 means that the key does not exist.
	ModRevision uint64 `json:"Mark"`
	// Lease is the lease with which the key expires; 0 means that it does not expire.
	Lease uint64 `json:"Tenure"`
}

// Compare requires a key to have a version; 0 requires that it does not exist.
type Compare struct {
	Key         string `json:"Path"`
	ModRevision uint64 `json:"Mark"`
}

// Op is a put or a delete: one of Put and Delete names the key.
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
	// SelfLimited marks transactions of the leader's record writer. They have a part of the
	// write rate of their own, so no submission waits behind them.
	SelfLimited bool `json:"-"`
}

// Result is the outcome of a transaction that the store has answered.
type Result struct {
	// Succeeded is false if a compare failed, and nothing was applied.
	Succeeded bool
	Revision  uint64
	// FailedKeys are the keys whose compares failed.
	FailedKeys []string
}

// Page is a part of a range of keys.
type Page struct {
	Entries []Entry `json:"Rows"`
	// More is set if the range continues after the last entry.
	More     bool   `json:"Truncated"`
	Revision uint64 `json:"Ring"`
}

// Event is a change seen by a watch: a put or a delete.
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

// Service is the key-value store as the rest of the program uses it.
type Service interface {
	// Get reads one key. The entry of a key that does not exist has ModRevision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads at most limit keys with a prefix, in order, beginning after from.
	Range(ctx context.Context, prefix, from string, limit int) (Page, error)
	// Txn applies all operations of a transaction if all its compares hold, or none.
	Txn(ctx context.Context, txn Txn) (Result, error)
	// GrantLease makes a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	// Watch returns the changes of keys with a prefix after revision from. It waits for
	// the first of them, at most as long as block.
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (Changes, error)
}

// maxResponseBytes bounds what is read of a response. A range holds at most 512 KiB;
// the store does not limit a watch, but each returns long before this.
const maxResponseBytes = 16 << 20

// Client is a Service over HTTP.
type Client struct {
	baseURL     string
	httpClient  *http.Client
	watchClient *http.Client
	// renewalClient has connections of its own, so that no other request delays a renewal.
	renewalClient  *http.Client
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter
	// userLimiter is set only in the view of a client that serves users' requests.
	userLimiter *rate.Limiter
}

// The store's rate limits are shared by all nodes. One node may use nodeRequestShare of the
// requests, since the leader needs most. Of the writes, RecordWriteShare is for the leader's
// records, and the rest for requests that users wait for. Any node may use all of that
// rest: users send bursts, and to one node rather than another, and what the store
// rejects beyond its rate is retried soon.
const (
	nodeRequestShare = 0.45
	RecordWriteShare = 0.4
	// MinWriteBurst lets a node cancel two jobs at once however low its write rate.
	MinWriteBurst = 8
)

// Connections of a client to the store, by purpose.
const (
	requestConns = 12
	watchConns   = 4
	renewalConns = 2

	dialTimeout     = 2 * time.Second
	idleConnTimeout = 2 * time.Minute
)

// newHTTPClient makes an HTTP client with at most conns connections.
func newHTTPClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         netio.Dialer(dialTimeout),
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// NewClient makes the client of the key-value store at addr.
func NewClient(addr string, limits config.KVLimits) *Client {
	requestRate, writeRate := limits.RPS*nodeRequestShare, limits.WriteRPS*(1-RecordWriteShare)
	return &Client{
		baseURL:        "http://" + addr,
		httpClient:     newHTTPClient(requestConns),
		watchClient:    newHTTPClient(watchConns),
		renewalClient:  newHTTPClient(renewalConns),
		requestLimiter: newLimiter(requestRate, 1),
		writeLimiter:   newLimiter(writeRate, MinWriteBurst),
	}
}

// newLimiter makes a limiter whose burst is one second's rate, but at least minBurst.
func newLimiter(perSecond float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond)))
}

// userRequestShare is the part of a node's requests that users' requests may take.
const userRequestShare = 0.6

// ForUsers returns a view of the client for users' requests. However many there are, a
// part of the request rate is left to renewals and records.
func (c *Client) ForUsers() *Client {
	view := *c
	view.userLimiter = newLimiter(float64(c.requestLimiter.Limit())*userRequestShare, 1)
	return &view
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	status, err := c.call(ctx, c.httpClient, http.MethodGet, "/kv/"+key, nil, &e)
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	return e, checkStatus(status, "get", key)
}

// Range reads the keys with a prefix, beginning after from.
func (c *Client) Range(ctx context.Context, prefix, from string, limit int) (Page, error) {
	q := url.Values{"Prefix": {prefix}, "Most": {strconv.Itoa(limit)}}
	if from != "" {
		q.Set("From", from)
	}
	var p Page
	status, err := c.call(ctx, c.httpClient, http.MethodGet, "/kv?"+q.Encode(), nil, &p)
	if err != nil {
		return Page{}, err
	}
	return p, checkStatus(status, "range", prefix)
}

// Txn applies a transaction. It waits for the write rate unless the transaction is one of
// the record writer, which keeps to its own part.
func (c *Client) Txn(ctx context.Context, txn Txn) (Result, error) {
	if n := len(txn.Ops); n > 0 && !txn.SelfLimited {
		if err := c.writeLimiter.WaitN(ctx, n); err != nil {
			return Result{}, fmt.Errorf("%w: write rate: %w", ErrNotApplied, err)
		}
	}
	if txn.Compares == nil {
		txn.Compares = []Compare{}
	}
	var body struct {
		Revision   uint64   `json:"Ring"`
		FailedKeys []string `json:"failed"`
		Error      string   `json:"error"`
	}
	status, err := c.call(ctx, c.httpClient, http.MethodPost, "/txn", txn, &body)
	if err != nil {
		return Result{}, err
	}
	switch {
	case status == http.StatusConflict:
		return Result{Revision: body.Revision, FailedKeys: body.FailedKeys}, nil
	case status == http.StatusBadRequest && body.Error == noLeaseMessage:
		return Result{}, ErrNoLease
	}
	return Result{Succeeded: true, Revision: body.Revision}, checkStatus(status, "transaction", body.Error)
}

// noLeaseMessage is the error of a transaction that names a lease which has expired.
const noLeaseMessage = "no such lease"

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var body struct {
		Lease uint64 `json:"Tenure"`
	}
	req := map[string]int64{"LifeMs": ttl.Milliseconds()}
	status, err := c.call(ctx, c.httpClient, http.MethodPost, "/leases", req, &body)
	if err != nil {
		return 0, err
	}
	return body.Lease, checkStatus(status, "grant lease of", ttl.String())
}

// RenewLease renews a lease. It does not wait for the request rate.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/extend"
	// A renewal reserves its share without waiting; later requests wait for it instead.
	c.requestLimiter.Reserve()
	status, err := c.send(ctx, c.renewalClient, http.MethodPost, path, nil, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return ErrNoLease
	}
	return checkStatus(status, "renew lease", path)
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (Changes, error) {
	q := url.Values{
		"Prefix":  {prefix},
		"From":    {strconv.FormatUint(from, 10)},
		"BlockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	var changes Changes
	status, err := c.call(ctx, c.watchClient, http.MethodGet, "/watch?"+q.Encode(), nil, &changes)
	if err != nil {
		return Changes{}, err
	}
	if status == http.StatusGone {
		return Changes{}, ErrCompacted
	}
	return changes, checkStatus(status, "watch", prefix)
}

// checkStatus returns what the status of a response means for the request: operation names
// it, and target is what it was about.
func checkStatus(status int, operation, target string) error {
	var known error
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		known = ErrNotApplied
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		known = ErrInvalid
	default:
		known = ErrOutcomeUnknown
	}
	return fmt.Errorf("%w: %s %s: status %d", known, operation, target, status)
}

// call sends one request as soon as the request rate allows it.
func (c *Client) call(ctx context.Context, hc *http.Client, method, path string, in, out any) (int, error) {
	if c.userLimiter != nil {
		if err := c.userLimiter.Wait(ctx); err != nil {
			return 0, fmt.Errorf("%w: users' request rate: %w", ErrNotApplied, err)
		}
	}
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: request rate: %w", ErrNotApplied, err)
	}
	return c.send(ctx, hc, method, path, in, out)
}

// send sends one request at once and decodes the response into out.
func (c *Client) send(ctx context.Context, hc *http.Client, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("key-value store: %s %s: encode: %w", method, path, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, fmt.Errorf("key-value store: %w", err)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer closeQuietly(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("%w: %s %s: read response: %w", ErrOutcomeUnknown, method, path, err)
	}
	if out == nil || len(raw) == 0 || resp.StatusCode >= http.StatusInternalServerError {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		if errors.Is(checkStatus(resp.StatusCode, method, path), ErrInvalid) {
			return resp.StatusCode, nil // whatever the body says, nothing was applied
		}
		return 0, fmt.Errorf("%w: %s %s: malformed response: %w", ErrOutcomeUnknown, method, path, err)
	}
	return resp.StatusCode, nil
}

// closeQuietly closes a response body. It has been read already, so that a failure to
// close it changes nothing for the caller.
func closeQuietly(body io.Closer) { _ = body.Close() }
