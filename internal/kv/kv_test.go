package kv

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/config"
)

// fakeTransport answers every request with the same response or error, and records the last
// request.
type fakeTransport struct {
	mu       sync.Mutex
	status   int
	body     string
	err      error
	lastURI  string
	lastBody string
}

// RoundTrip implements http.RoundTripper.
func (ft *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.lastURI = r.URL.RequestURI()
	if r.Body != nil {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		ft.lastBody = string(raw)
	}
	if ft.err != nil {
		return nil, ft.err
	}
	body := io.NopCloser(strings.NewReader(ft.body))
	return &http.Response{StatusCode: ft.status, Header: http.Header{}, Body: body}, nil
}

// newTestClient returns a client that sends all requests to transport.
func newTestClient(transport *fakeTransport) *Client {
	c := NewClient("10.0.0.1:1", config.KVLimits{RPS: 100, WriteRPS: 25, TxnOps: 12})
	c.httpClient.Transport, c.watchClient.Transport, c.renewalClient.Transport = transport, transport, transport
	return c
}

// The status of a response decides whether a request may be retried or must be treated as possibly
// applied. No response may cause a panic.
func TestResponseStatusBecomesError(t *testing.T) {
	for _, c := range []struct {
		name      string
		transport *fakeTransport
		want      error
	}{
		{"applied", &fakeTransport{status: 200, body: `{"Ring":7}`}, nil},
		{"compares failed", &fakeTransport{status: 409, body: `{"failed":["term"],"Ring":7}`}, nil},
		{"rate limit exceeded", &fakeTransport{status: 429, body: `{}`}, ErrNotApplied},
		{"outage", &fakeTransport{status: 503, body: `trouble`}, ErrNotApplied},
		{"lease expired", &fakeTransport{status: 400, body: `{"error":"no such lease"}`}, ErrNoLease},
		{"too large", &fakeTransport{status: 400, body: `{"error":"value too large"}`}, ErrInvalid},
		{"too large, no body", &fakeTransport{status: 400}, ErrInvalid},
		{"too large, body not JSON", &fakeTransport{status: 413, body: `too large`}, ErrInvalid},
		{"malformed", &fakeTransport{status: 200, body: `<html>`}, ErrOutcomeUnknown},
		{"connection reset", &fakeTransport{err: io.ErrUnexpectedEOF}, ErrOutcomeUnknown},
		{"unexpected status", &fakeTransport{status: 418, body: `{}`}, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := newTestClient(c.transport).Txn(t.Context(), Txn{Ops: []Op{{Put: "a", Value: 1}}})
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestTxnReturnsFailedCompares(t *testing.T) {
	transport := &fakeTransport{status: 409, body: `{"failed":["term"],"Ring":7}`}
	res, err := newTestClient(transport).Txn(t.Context(), Txn{})
	if err != nil || res.Succeeded || len(res.FailedKeys) != 1 {
		t.Errorf("got %+v, %v, want one failed key", res, err)
	}
	if want := `{"Guards":[]}`; transport.lastBody != want {
		t.Errorf("sent %s, want %s", transport.lastBody, want)
	}
}

func TestGetMissingKey(t *testing.T) {
	transport := &fakeTransport{status: 404, body: `{"Ring":3}`}
	e, err := newTestClient(transport).Get(t.Context(), "a/job-1")
	if err != nil || e.ModRevision != 0 {
		t.Errorf("got %+v, %v, want ModRevision 0", e, err)
	}
	if want := "/kv/a/job-1"; transport.lastURI != want {
		t.Errorf("requested %s, want %s", transport.lastURI, want)
	}
}

// A response without a body says nothing about a key, a range or a transaction: a store that has no
// such key sends its revision. Taken for an answer, it makes an accepted job unknown.
func TestEmptyResponseIsNotAnAnswer(t *testing.T) {
	for _, status := range []int{200, 404} {
		if _, err := newTestClient(&fakeTransport{status: status}).Get(t.Context(), "a/job-1"); err == nil {
			t.Errorf("get, status %d: got no error, want one", status)
		}
	}
	client := newTestClient(&fakeTransport{status: 200})
	if _, err := client.Range(t.Context(), "a/", "", 500); err == nil {
		t.Error("range: got no error, want one")
	}
	if _, err := client.Txn(t.Context(), Txn{Ops: []Op{{Put: "a", Value: 1}}}); err == nil {
		t.Error("transaction: got no error, want one")
	}
}

func TestRenewExpiredLease(t *testing.T) {
	err := newTestClient(&fakeTransport{status: 404}).RenewLease(t.Context(), 7)
	if !errors.Is(err, ErrNoLease) {
		t.Errorf("got %v, want %v", err, ErrNoLease)
	}
}

func TestWatchFromCompactedRevision(t *testing.T) {
	_, err := newTestClient(&fakeTransport{status: 410}).Watch(t.Context(), "a/", 1, time.Second)
	if !errors.Is(err, ErrCompacted) {
		t.Errorf("got %v, want %v", err, ErrCompacted)
	}
}

// Requests that users wait for have a separate share of the write rate: a backlog of the leader's
// records must not delay a submission.
func TestSubmissionsDoNotWaitBehindRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(&fakeTransport{status: 200, body: `{"Ring":7}`})
		ops := make([]Op, 12)
		for i := range ops {
			ops[i] = Op{Delete: "p/" + strconv.Itoa(i)}
		}
		start := time.Now()
		commitRepeatedly(t, c, 4, Txn{Ops: ops, SelfLimited: true})
		commitRepeatedly(t, c, MinWriteBurst, Txn{Ops: ops[:1]})
		if elapsed := time.Since(start); elapsed > 0 {
			t.Errorf("submissions waited %v, want no wait", elapsed)
		}
		// Beyond the burst, submissions are limited to their share.
		commitRepeatedly(t, c, 30, Txn{Ops: ops[:1]})
		if elapsed := time.Since(start); elapsed < time.Second {
			t.Errorf("30 more submissions took %v, want at least 1s", elapsed)
		}
	})
}

// commitRepeatedly commits a transaction n times.
func commitRepeatedly(t *testing.T, c *Client, n int, txn Txn) {
	t.Helper()
	for range n {
		if _, err := c.Txn(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
}

// A renewal must not wait for the request limiter, however many polls for unknown jobs do: delayed
// renewals would let the lease expire.
func TestRenewalsBypassRequestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(&fakeTransport{status: 404, body: `{}`})
		users := c.ForUsers()
		for range 300 {
			go func() {
				if _, err := users.Get(t.Context(), "a/job-1"); err != nil {
					t.Errorf("poll: %v", err)
				}
			}()
		}
		synctest.Wait()
		start := time.Now()
		for range 5 {
			if err := c.RenewLease(t.Context(), 7); !errors.Is(err, ErrNoLease) {
				t.Errorf("renewal: got %v, want %v", err, ErrNoLease)
			}
			time.Sleep(time.Second)
		}
		if delayed := time.Since(start) - 5*time.Second; delayed > 100*time.Millisecond {
			t.Errorf("renewals waited %v, want at most 100ms", delayed)
		}
		time.Sleep(time.Minute)
	})
}

// Retry must not repeat a request that the store has rejected as invalid.
func TestRetryStopsOnInvalidRequest(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		want        error
		minAttempts int
		maxAttempts int
	}{
		{"invalid", 400, ErrInvalid, 1, 1},
		{"not applied", 503, ErrNotApplied, 3, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				attempts := 0
				err := Retry(ctx, func() error {
					attempts++
					transport := &fakeTransport{status: c.status, body: `{"error":"?"}`}
					_, err := newTestClient(transport).Txn(ctx, Txn{Ops: []Op{{Put: "a", Value: 1}}})
					return err
				})
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if attempts < c.minAttempts || attempts > c.maxAttempts {
					t.Errorf("got %d attempts, want %d to %d", attempts, c.minAttempts, c.maxAttempts)
				}
			})
		})
	}
}
