package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is the small consistent store.
type stateService struct {
	mu      sync.Mutex
	ring    uint64
	keys    map[string]stateValue
	changes []stateChange
	changed chan struct{}
	leases  map[uint64]*stateLease
	last    uint64
}

// stateValue is the value of a key.
type stateValue struct {
	raw    json.RawMessage
	mark   uint64
	tenure uint64
}

// stateChange is one entry of the history that watches read.
type stateChange struct {
	key   string
	event map[string]any
	mark  uint64
}

// stateLease ends at a time unless it is extended.
type stateLease struct {
	life time.Duration
	ends time.Time
}

// keptChanges is how many changes the service keeps for watches.
const keptChanges = 10_000

func newStateService() *stateService {
	s := &stateService{
		ring:    1,
		keys:    map[string]stateValue{},
		changed: make(chan struct{}),
		leases:  map[uint64]*stateLease{},
	}
	go s.endLeases()
	return s
}

// endLeases ends the leases that were not extended in time.
func (s *stateService) endLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.ends) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys.
func (s *stateService) dropLease(id uint64) {
	delete(s.leases, id)
	for key, value := range s.keys {
		if value.tenure == id {
			s.ring++
			s.drop(key)
		}
	}
	s.notify()
}

// drop removes a key at the present revision.
func (s *stateService) drop(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	delete(s.keys, key)
	s.log(key, map[string]any{"Drop": key, "Mark": s.ring})
}

func (s *stateService) log(key string, event map[string]any) {
	s.changes = append(s.changes, stateChange{key: key, event: event, mark: s.ring})
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
}

// notify wakes the open watches.
func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a key as the service holds it now, or nil.
func (s *stateService) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].raw
}

// handler serves the protocol of the state service.
func (s *stateService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.grant)
	mux.HandleFunc("POST /leases/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /leases/{id}", s.endLease)
	mux.HandleFunc("GET /watch", s.watch)
	return mux
}

func (s *stateService) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	value, ok := s.keys[key]
	ring := s.ring
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"Ring": ring})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"Path": key, "Value": value.raw, "Mark": value.mark, "Tenure": value.tenure,
	})
}

const (
	maxRows      = 1000
	maxRowsBytes = 500 << 10
)

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("Most"))
	if err != nil || most < 1 || most > maxRows {
		most = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("From") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size := []map[string]any{}, 0
	for _, key := range keys {
		value := s.keys[key]
		if size += len(key) + len(value.raw) + 50; len(rows) == most || size > maxRowsBytes {
			break
		}
		rows = append(rows, map[string]any{"Path": key, "Value": value.raw, "Mark": value.mark})
	}
	answer(w, http.StatusOK, map[string]any{"Rows": rows, "Truncated": len(rows) < len(keys), "Ring": s.ring})
}

// stateTxn is the body of a transaction.
type stateTxn struct {
	Guards []struct {
		Path string
		Mark uint64
	}
	Apply []struct {
		Put    string
		Value  json.RawMessage
		Tenure uint64
		Drop   string
	}
}

func (s *stateService) txn(w http.ResponseWriter, r *http.Request) {
	var txn stateTxn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	status, body := s.apply(&txn)
	answer(w, status, body)
}

// apply carries out a transaction and returns its answer.
func (s *stateService) apply(txn *stateTxn) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Apply {
		if op.Tenure != 0 && s.leases[op.Tenure] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		if s.keys[guard.Path].mark != guard.Mark {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "Ring": s.ring}
	}
	if len(txn.Apply) > 0 {
		s.ring++
	}
	for _, op := range txn.Apply {
		if op.Drop != "" {
			s.drop(op.Drop)
			continue
		}
		s.keys[op.Put] = stateValue{raw: op.Value, mark: s.ring, tenure: op.Tenure}
		s.log(op.Put, map[string]any{"Put": op.Put, "Value": op.Value, "Mark": s.ring})
	}
	s.notify()
	return http.StatusOK, map[string]any{"Ring": s.ring}
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var request struct{ LifeMs int64 }
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.LifeMs < 100 || request.LifeMs > 600_000 {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	life := time.Duration(request.LifeMs) * time.Millisecond
	s.leases[s.last] = &stateLease{life: life, ends: time.Now().Add(life)}
	answer(w, http.StatusOK, map[string]any{"Tenure": s.last})
}

func (s *stateService) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	lease.ends = time.Now().Add(lease.life)
	answer(w, http.StatusOK, map[string]any{"Tenure": id})
}

func (s *stateService) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("From"), 10, 64) // 0 is the beginning
	block, _ := strconv.Atoi(query.Get("BlockMs"))          // 0 by default
	timeout := time.After(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, change := range s.changes {
			if change.mark > from && strings.HasPrefix(change.key, query.Get("Prefix")) {
				events = append(events, change.event)
			}
		}
		ring, changed := s.ring, s.changed
		tooOld := len(s.changes) == keptChanges && from < s.changes[0].mark
		s.mu.Unlock()
		switch {
		case tooOld:
			answer(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"Ring": ring, "Events": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"Ring": ring, "Events": events})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the other side has closed the connection
}
