package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the state service that PROTOCOL sets for every deployment.
const (
	maxRows      = 1000
	maxRowBytes  = 512 << 10
	maxTxnBytes  = 64 << 10
	maxWatch     = time.Minute
	storeLatency = 3 * time.Millisecond
	leaseCheck   = 20 * time.Millisecond
)

// row is a key of the state service.
type row struct {
	Path   string          `json:"Path"`
	Value  json.RawMessage `json:"Value"`
	Mark   uint64          `json:"Mark"`
	Tenure uint64          `json:"Tenure,omitempty"`
}

// change is a change that a watch returns.
type change struct {
	Put   string          `json:"Put,omitempty"`
	Value json.RawMessage `json:"Value,omitempty"`
	Drop  string          `json:"Drop,omitempty"`
	Mark  uint64          `json:"Mark"`
}

// key returns the key of the change.
func (c change) key() string { return c.Put + c.Drop }

// tenure is a lease.
type tenure struct {
	life time.Duration
	ends time.Time
}

// store is a stand-in of the state service, as PROTOCOL describes it.
type store struct {
	limits storeLimits

	mu      sync.Mutex
	ring    uint64
	rows    map[string]row
	tenures map[uint64]*tenure
	last    uint64
	log     []change
	changed chan struct{}
	// requests and writes count the tokens that are left in the buckets of the two rates.
	requests, writes bucket
}

// bucket limits a rate, with a burst of one second's worth.
type bucket struct {
	rate, left float64
	at         time.Time
}

// take takes n tokens if there are as many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.left = min(b.rate, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func newStore(limits storeLimits) *store {
	s := &store{
		limits:   limits,
		rows:     map[string]row{},
		tenures:  map[uint64]*tenure{},
		changed:  make(chan struct{}),
		requests: bucket{rate: limits.RPS, left: limits.RPS, at: time.Now()},
		writes:   bucket{rate: limits.WriteRPS, left: limits.WriteRPS, at: time.Now()},
	}
	go s.endTenures()
	return s
}

// endTenures ends the leases that were not extended in time, and removes their keys.
func (s *store) endTenures() {
	for range time.Tick(leaseCheck) {
		s.mu.Lock()
		for id, t := range s.tenures {
			if time.Now().After(t.ends) {
				s.endTenure(id)
			}
		}
		s.mu.Unlock()
	}
}

// endTenure ends a lease. The caller holds the lock.
func (s *store) endTenure(id uint64) {
	delete(s.tenures, id)
	var ops []txnOp
	for path, r := range s.rows {
		if r.Tenure == id {
			ops = append(ops, txnOp{Drop: path})
		}
	}
	if len(ops) > 0 {
		s.apply(ops)
	}
}

// txnOp is a put or a delete of a transaction.
type txnOp struct {
	Put    string          `json:"Put"`
	Value  json.RawMessage `json:"Value"`
	Tenure uint64          `json:"Tenure"`
	Drop   string          `json:"Drop"`
}

// txnBody is the body of a transaction.
type txnBody struct {
	Guards []struct {
		Path string `json:"Path"`
		Mark uint64 `json:"Mark"`
	} `json:"Guards"`
	Apply []txnOp `json:"Apply"`
}

// apply applies changes, all at one revision. The caller holds the lock.
func (s *store) apply(ops []txnOp) {
	s.ring++
	for _, op := range ops {
		switch {
		case op.Put != "":
			s.rows[op.Put] = row{Path: op.Put, Value: op.Value, Mark: s.ring, Tenure: op.Tenure}
			s.log = append(s.log, change{Put: op.Put, Value: op.Value, Mark: s.ring})
		case s.rows[op.Drop].Mark != 0:
			delete(s.rows, op.Drop)
			s.log = append(s.log, change{Drop: op.Drop, Mark: s.ring})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the handler of the requests of the nodes.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{path...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.grant)
	mux.HandleFunc("POST /leases/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /leases/{id}", s.revoke)
	mux.HandleFunc("GET /watch", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		allowed := s.requests.take(1)
		s.mu.Unlock()
		if !allowed {
			answer(w, http.StatusTooManyRequests, map[string]string{"error": "too many requests"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.rows[r.PathValue("path")]
	ring := s.ring
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"Ring": ring})
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("Most"))
	if err != nil || most < 1 || most > maxRows {
		most = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var paths []string
	for path := range s.rows {
		if strings.HasPrefix(path, query.Get("Prefix")) && path > query.Get("From") {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	rows, size := []row{}, 0
	for _, path := range paths {
		size += len(path) + len(s.rows[path].Value)
		if len(rows) == most || size > maxRowBytes {
			break
		}
		rows = append(rows, s.rows[path])
	}
	answer(w, http.StatusOK, map[string]any{"Rows": rows, "Truncated": len(rows) < len(paths), "Ring": s.ring})
}

// isTooLarge reports whether a transaction exceeds a limit.
func (s *store) isTooLarge(body *txnBody, size int64) bool {
	if len(body.Apply) > s.limits.TxnOps || len(body.Guards) > 4*s.limits.TxnOps || size > maxTxnBytes {
		return true
	}
	return slices.ContainsFunc(body.Apply, func(op txnOp) bool {
		return float64(len(op.Value)) > s.limits.ValueKB*1024
	})
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil || s.isTooLarge(&body, r.ContentLength) {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed or too large"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(body.Apply))) {
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "too many changes"})
		return
	}
	for _, op := range body.Apply {
		if op.Tenure != 0 && s.tenures[op.Tenure] == nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, guard := range body.Guards {
		if s.rows[guard.Path].Mark != guard.Mark {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, map[string]any{"failed": failed, "Ring": s.ring})
		return
	}
	if len(body.Apply) > 0 {
		s.apply(body.Apply)
	}
	answer(w, http.StatusOK, map[string]uint64{"Ring": s.ring})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LifeMs int64 `json:"LifeMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.LifeMs < 100 || body.LifeMs > 600_000 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	life := time.Duration(body.LifeMs) * time.Millisecond
	s.tenures[s.last] = &tenure{life: life, ends: time.Now().Add(life)}
	answer(w, http.StatusOK, map[string]uint64{"Tenure": s.last})
}

// tenureOf returns the lease that a request names, or nil. The caller holds the lock.
func (s *store) tenureOf(r *http.Request) (uint64, *tenure) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.tenures[id]
}

func (s *store) extend(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, t := s.tenureOf(r)
	if t == nil {
		answer(w, http.StatusNotFound, map[string]uint64{"Ring": s.ring})
		return
	}
	t.ends = time.Now().Add(t.life)
	answer(w, http.StatusOK, map[string]uint64{"Ring": s.ring})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, t := s.tenureOf(r)
	if t != nil {
		s.endTenure(id)
	}
	answer(w, http.StatusOK, map[string]uint64{"Ring": s.ring})
}

// changesSince returns the changes of a prefix since a revision, and the channel that is closed at the
// next change.
func (s *store) changesSince(prefix string, from uint64) (events []change, ring uint64, next chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []change{}
	for _, c := range s.log {
		if c.Mark > from && strings.HasPrefix(c.key(), prefix) {
			events = append(events, c)
		}
	}
	return events, s.ring, s.changed
}

// watch waits for a change.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("From"), 10, 64)
	block, errBlock := strconv.Atoi(query.Get("BlockMs"))
	if errFrom != nil || errBlock != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	timeout := time.After(min(time.Duration(block)*time.Millisecond, maxWatch))
	events, ring, next := s.changesSince(query.Get("Prefix"), from)
	for timedOut := false; len(events) == 0 && !timedOut; {
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			timedOut = true
		case <-next:
		}
		events, ring, next = s.changesSince(query.Get("Prefix"), from)
	}
	answer(w, http.StatusOK, map[string]any{"Ring": ring, "Events": events})
}
