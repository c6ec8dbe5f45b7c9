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

// script answers every request alike, or fails it.
type script struct {
	mu     sync.Mutex
	status int
	body   string
	err    error
	path   string
	sent   string
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path = r.URL.RequestURI()
	if r.Body != nil {
		raw, _ := io.ReadAll(r.Body)
		s.sent = string(raw)
	}
	if s.err != nil {
		return nil, s.err
	}
	return &http.Response{StatusCode: s.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(s.body))}, nil
}

func scripted(s *script) *Client {
	c := NewClient("10.0.0.1:1", config.StateLimits{RPS: 100, WriteRPS: 25, TxnOps: 12})
	c.http.Transport, c.watches.Transport, c.renewals.Transport = s, s, s
	return c
}

// What an answer means decides whether a request may be repeated, or must be
// taken for carried out; nothing that arrives may end in a panic.
func TestAnswersOfTheStateService(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		s    *script
		want error
	}{
		{"carried out", &script{status: 200, body: `{"Ring":7}`}, nil},
		{"conditions failed", &script{status: 409, body: `{"failed":["term"],"Ring":7}`}, nil},
		{"over the rate", &script{status: 429, body: `{}`}, ErrNotApplied},
		{"outage", &script{status: 503, body: `trouble`}, ErrNotApplied},
		{"lease ended", &script{status: 400, body: `{"error":"no such lease"}`}, ErrNoLease},
		{"too large", &script{status: 400, body: `{"error":"value too large"}`}, ErrInvalid},
		{"too large, without a word", &script{status: 400}, ErrInvalid},
		{"too large, in other words", &script{status: 413, body: `too large`}, ErrInvalid},
		{"malformed", &script{status: 200, body: `<html>`}, ErrOutcomeUnknown},
		{"reset", &script{err: io.ErrUnexpectedEOF}, ErrOutcomeUnknown},
		{"anything else", &script{status: 418, body: `{}`}, ErrOutcomeUnknown},
	} {
		_, err := scripted(c.s).Txn(ctx, Txn{Ops: []Op{{Put: "a", Value: 1}}})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	s := &script{status: 409, body: `{"failed":["term"],"Ring":7}`}
	res, err := scripted(s).Txn(ctx, Txn{})
	if err != nil || res.Succeeded || len(res.FailedKeys) != 1 || s.sent != `{"Guards":[]}` {
		t.Errorf("%v, %v, sent %s", res, err, s.sent)
	}
	s = &script{status: 404, body: `{"Ring":3}`}
	if e, err := scripted(s).Get(ctx, "a/job-1"); err != nil || e.ModRevision != 0 || s.path != "/kv/a/job-1" {
		t.Errorf("missing key: %v, %v, asked %s", e, err, s.path)
	}
	if err := scripted(&script{status: 404}).RenewLease(ctx, 7); !errors.Is(err, ErrNoLease) {
		t.Errorf("ended lease: %v", err)
	}
	if _, err := scripted(&script{status: 410}).Watch(ctx, "a/", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("old watch: %v", err)
	}
}

// What users wait for has a part of the write rate of its own: a backlog of the
// leader's records must not keep a submission waiting.
func TestSubmissionsDoNotWaitBehindRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := scripted(&script{status: 200, body: `{"Ring":7}`})
		ops := make([]Op, 12)
		for i := range ops {
			ops[i] = Op{Delete: "p/" + strconv.Itoa(i)}
		}
		t0 := time.Now()
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
		if took := time.Since(t0); took > 0 {
			t.Errorf("submissions waited %v", took)
		}
		// Beyond that, submissions keep to their part.
		for range 30 {
			c.Txn(t.Context(), Txn{Ops: ops[:1]})
		}
		if took := time.Since(t0); took < time.Second {
			t.Errorf("thirty more took only %v", took)
		}
	})
}

// However many polls for jobs unknown wait for their turn, a renewal does not.
func TestRenewalsDoNotWaitBehindUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := scripted(&script{status: 404, body: `{}`})
		users := c.ForUsers()
		for range 300 {
			go users.Get(t.Context(), "a/job-1")
		}
		synctest.Wait()
		t0 := time.Now()
		for range 5 {
			c.RenewLease(t.Context(), 7)
			time.Sleep(time.Second)
		}
		if waited := time.Since(t0) - 5*time.Second; waited > 100*time.Millisecond {
			t.Errorf("renewals waited %v", waited)
		}
		time.Sleep(time.Minute)
	})
}

// What the service will never carry out is not asked for again unchanged.
func TestTooLargeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for _, c := range []struct {
			status int
			want   error
			most   int
		}{{400, ErrInvalid, 1}, {503, ErrNotApplied, 100}} {
			asked := 0
			err := Retry(ctx, func() error {
				asked++
				_, err := scripted(&script{status: c.status, body: `{"error":"?"}`}).Txn(ctx, Txn{Ops: []Op{{Put: "a", Value: 1}}})
				return err
			})
			if !errors.Is(err, c.want) || asked > c.most || (c.most > 1 && asked < 3) {
				t.Errorf("%d: asked %d times, %v", c.status, asked, err)
			}
		}
	})
}
