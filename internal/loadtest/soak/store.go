package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/loadtest"
)

// storeFaults are the faults of the store that may be in effect at the same time.
type storeFaults struct {
	down bool
	// refused holds the nodes that alone get 503.
	refused map[string]bool
	// meanDelay is the mean response time beyond the usual one.
	meanDelay time.Duration
	// rejectShare is the share of requests that get 429.
	rejectShare float64
	// loseAnswers is the share of transactions that are applied and get no answer, and late the share
	// that get no answer and are applied later.
	loseAnswers, late float64
}

// store is the key-value store, with its limits and its faults. Every node has a handler of its own.
type store struct {
	fake    *kvtest.Fake
	handler http.Handler
	// requests and writes limit the rates of all nodes together.
	requests, writes *rate.Limiter
	random           *lockedRand
	// done is closed at the end of the run.
	done chan struct{}

	mu     sync.Mutex
	faults storeFaults
	// affected counts the requests that a fault affected, and late are the transactions and their
	// copies that were applied late.
	affected, lateApplied int
}

// Times and shares of the store that hold without a fault.
const (
	usualStoreDelay = 3 * time.Millisecond
	// copyShare is the share of transactions of which a copy is applied once more.
	copyShare    = 0.05
	minCopyDelay = 200 * time.Millisecond
	maxCopyDelay = 20 * time.Second
	// minLateDelay and maxLateDelay bound how late a transaction without an answer is applied.
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
	// refusedWatchPoll is how often a watch checks whether it is still refused.
	refusedWatchPoll = 50 * time.Millisecond
)

func newStore(limits config.KVLimits, random *lockedRand) *store {
	fake := kvtest.New()
	return &store{
		fake:     fake,
		handler:  loadtest.KVHandler(fake),
		requests: rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS)),
		writes:   rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS)),
		random:   random,
		done:     make(chan struct{}),
		faults:   storeFaults{refused: map[string]bool{}},
	}
}

// setFaults changes the faults.
func (s *store) setFaults(change func(f *storeFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.faults.down
	change(&s.faults)
	if s.faults.down != wasDown {
		s.fake.SetDown(s.faults.down)
	}
}

// currentFaults returns the faults that affect a node now.
func (s *store) currentFaults(node string) (faults storeFaults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faults.down || s.faults.refused[node]
}

func (s *store) countAffected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.affected++
}

func (s *store) affectedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.affected
}

// leader returns the node that the leader key names, or "".
func (s *store) leader() string {
	entry, err := s.fake.Get(context.Background(), election.LeaderKey)
	var record election.LeaderRecord
	if err != nil || entry.ModRevision == 0 || json.Unmarshal(entry.Value, &record) != nil {
		return ""
	}
	return record.Node
}

// handlerFor returns the handler of a node's requests.
func (s *store) handlerFor(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, node) })
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, node string) {
	faults, refused := s.currentFaults(node)
	delay := usualStoreDelay + time.Duration((0.75+s.random.float64()/2)*float64(faults.meanDelay))
	if faults.meanDelay > 0 {
		s.countAffected()
	}
	if !s.sleep(r.Context(), delay) {
		abort()
	}
	switch {
	case r.URL.Path == "/watch":
		s.serveWatch(w, r, node)
	case refused:
		s.countAffected()
		respondError(w, http.StatusServiceUnavailable)
	case !s.requests.Allow():
		respondError(w, http.StatusTooManyRequests)
	case s.random.float64() < faults.rejectShare:
		s.countAffected()
		respondError(w, http.StatusTooManyRequests)
	case r.URL.Path == "/txn":
		s.serveTxn(w, r, faults)
	default:
		s.handler.ServeHTTP(w, r)
	}
}

// serveWatch serves a watch. A watch of a node that is refused waits.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, node string) {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, r)
	for {
		if _, refused := s.currentFaults(node); !refused {
			break
		}
		if !s.sleep(r.Context(), refusedWatchPoll) {
			abort()
		}
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // fails only if the node has closed the connection
}

// serveTxn applies a transaction, or does what a fault demands.
func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, faults storeFaults) {
	raw, err := io.ReadAll(r.Body)
	var txn kv.Txn
	if err != nil || json.Unmarshal(raw, &txn) != nil {
		respondError(w, http.StatusBadRequest)
		return
	}
	if len(txn.Ops) > 0 && !s.writes.AllowN(time.Now(), len(txn.Ops)) {
		respondError(w, http.StatusTooManyRequests)
		return
	}
	draw := s.random.float64()
	if draw < faults.late {
		s.countAffected()
		s.applyLate(txn, s.random.between(minLateDelay, maxLateDelay))
		s.sleep(r.Context(), maxLateDelay)
		abort()
	}
	if s.random.float64() < copyShare {
		s.applyLate(txn, s.random.between(minCopyDelay, maxCopyDelay))
	}
	recorder := httptest.NewRecorder()
	r.Body = io.NopCloser(bytes.NewReader(raw))
	s.handler.ServeHTTP(recorder, r)
	if draw < faults.late+faults.loseAnswers {
		s.countAffected()
		s.sleep(r.Context(), maxLateDelay)
		abort()
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // fails only if the node has closed the connection
}

// applyLate applies a transaction after a delay. Nobody gets the answer.
func (s *store) applyLate(txn kv.Txn, delay time.Duration) {
	go func() {
		if !s.sleep(context.Background(), delay) {
			return
		}
		if _, err := s.fake.Txn(context.Background(), txn); err != nil {
			return // an outage, or a lease that has expired
		}
		s.mu.Lock()
		s.lateApplied++
		s.mu.Unlock()
	}()
}

// sleep waits, and returns false if the request or the run has ended before.
func (s *store) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}

// abort ends a request without a response. A handler that only returned would send an empty one.
func abort() { panic(http.ErrAbortHandler) }

func respondError(w http.ResponseWriter, status int) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"error":"trouble"}`)) // fails only if the node has closed the connection
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed, stream uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed, stream))}
}

func (r *lockedRand) float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// chance returns true with a probability.
func (r *lockedRand) chance(p float64) bool { return r.float64() < p }

// between returns a duration in a range.
func (r *lockedRand) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.float64()*float64(to-from))
}
