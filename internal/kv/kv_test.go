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

// fakeTransport answers every request alike, or fails it.
type fakeTransport struct {
	mu     sync.Mutex
	status int
	body   string
	err    error
	path   string
	sent   string
}

func (transport *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.path = r.URL.RequestURI()
	if r.Body != nil {
		raw, _ := io.ReadAll(r.Body)
		transport.sent = string(raw)
	}
	if transport.err != nil {
		return nil, transport.err
	}
	return &http.Response{StatusCode: transport.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(transport.body))}, nil
}

func newTestClient(transport *fakeTransport) *Client {
	c := NewClient("10.0.0.1:1", config.StateLimits{RPS: 100, WriteRPS: 25, TxnOps: 12})
	c.http.Transport, c.watches.Transport, c.renewals.Transport = transport, transport, transport
	return c
}

// What an answer means decides whether a request may be repeated, or must be
// taken for carried out; nothing that arrives may end in a panic.
func TestResponseStatusBecomesError(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		s    *fakeTransport
		want error
	}{
		{"carried out", &fakeTransport{status: 200, body: `{"Ring":7}`}, nil},
		{"conditions failed", &fakeTransport{status: 409, body: `{"failed":["term"],"Ring":7}`}, nil},
		{"over the rate", &fakeTransport{status: 429, body: `{}`}, ErrNotApplied},
		{"outage", &fakeTransport{status: 503, body: `trouble`}, ErrNotApplied},
		{"lease ended", &fakeTransport{status: 400, body: `{"error":"no such lease"}`}, ErrNoLease},
		{"too large", &fakeTransport{status: 400, body: `{"error":"value too large"}`}, ErrInvalid},
		{"too large, without a word", &fakeTransport{status: 400}, ErrInvalid},
		{"too large, in other words", &fakeTransport{status: 413, body: `too large`}, ErrInvalid},
		{"malformed", &fakeTransport{status: 200, body: `<html>`}, ErrOutcomeUnknown},
		{"reset", &fakeTransport{err: io.ErrUnexpectedEOF}, ErrOutcomeUnknown},
		{"anything else", &fakeTransport{status: 418, body: `{}`}, ErrOutcomeUnknown},
	} {
		_, err := newTestClient(c.s).Txn(ctx, Txn{Ops: []Op{{Put: "a", Value: 1}}})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	transport := &fakeTransport{status: 409, body: `{"failed":["term"],"Ring":7}`}
	res, err := newTestClient(transport).Txn(ctx, Txn{})
	if err != nil || res.Succeeded || len(res.FailedKeys) != 1 || transport.sent != `{"Guards":[]}` {
		t.Errorf("%v, %v, sent %s", res, err, transport.sent)
	}
	transport = &fakeTransport{status: 404, body: `{"Ring":3}`}
	if e, err := newTestClient(transport).Get(ctx, "a/job-1"); err != nil || e.ModRevision != 0 || transport.path != "/kv/a/job-1" {
		t.Errorf("missing key: %v, %v, asked %s", e, err, transport.path)
	}
	if err := newTestClient(&fakeTransport{status: 404}).RenewLease(ctx, 7); !errors.Is(err, ErrNoLease) {
		t.Errorf("ended lease: %v", err)
	}
	if _, err := newTestClient(&fakeTransport{status: 410}).Watch(ctx, "a/", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("old watch: %v", err)
	}
}

// What users wait for has a part of the write rate of its own: a backlog of the
// leader's records must not keep a submission waiting.
func TestSubmissionsDoNotWaitBehindRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(&fakeTransport{status: 200, body: `{"Ring":7}`})
		ops := make([]Op, 12)
		for i := range ops {
			ops[i] = Op{Delete: "p/" + strconv.Itoa(i)}
		}
		start := time.Now()
		for range 4 {
			if _, err := c.Txn(t.Context(), Txn{Ops: ops, Records: true}); err != nil {
				t.Fatal(err)
			}
		}
		for range MinWriteBurst {
			if _, err := c.Txn(t.Context(), Txn{Ops: ops[:1]}); err != nil {
				t.Fatal(err)
			}
		}
		if elapsed := time.Since(start); elapsed > 0 {
			t.Errorf("submissions waited %v", elapsed)
		}
		// Beyond that, submissions keep to their part.
		for range 30 {
			c.Txn(t.Context(), Txn{Ops: ops[:1]})
		}
		if elapsed := time.Since(start); elapsed < time.Second {
			t.Errorf("thirty more took only %v", elapsed)
		}
	})
}

// However many polls for jobs unknown wait for their turn, a renewal does not.
func TestRenewalsBypassRequestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(&fakeTransport{status: 404, body: `{}`})
		users := c.ForUsers()
		for range 300 {
			go users.Get(t.Context(), "a/job-1")
		}
		synctest.Wait()
		start := time.Now()
		for range 5 {
			c.RenewLease(t.Context(), 7)
			time.Sleep(time.Second)
		}
		if delayed := time.Since(start) - 5*time.Second; delayed > 100*time.Millisecond {
			t.Errorf("renewals waited %v", delayed)
		}
		time.Sleep(time.Minute)
	})
}

// What the service will never carry out is not asked for again unchanged.
func TestRetryStopsOnInvalidRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for _, c := range []struct {
			status int
			want   error
			most   int
		}{{400, ErrInvalid, 1}, {503, ErrNotApplied, 100}} {
			attempts := 0
			err := Retry(ctx, func() error {
				attempts++
				_, err := newTestClient(&fakeTransport{status: c.status, body: `{"error":"?"}`}).Txn(ctx, Txn{Ops: []Op{{Put: "a", Value: 1}}})
				return err
			})
			if !errors.Is(err, c.want) || attempts > c.most || (c.most > 1 && attempts < 3) {
				t.Errorf("%d: asked %d times, %v", c.status, attempts, err)
			}
		}
	})
}
