package loadtest

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
)

// KVHandler serves the HTTP protocol of the key-value store from an in-memory fake.
func KVHandler(fake *kvtest.Fake) http.Handler {
	s := kvServer{fake: fake}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.grantLease)
	mux.HandleFunc("POST /leases/{id}/extend", s.renewLease)
	mux.HandleFunc("GET /watch", s.watch)
	return mux
}

// kvServer handles a controller's requests to the key-value store. Errors of parsing numbers are
// ignored: the controller's client formats them.
type kvServer struct{ fake *kvtest.Fake }

// writeOutage writes the response during an outage of the fake store.
func writeOutage(w http.ResponseWriter) {
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "outage"})
}

func (s kvServer) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.fake.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeOutage(w)
		return
	}
	if entry.ModRevision == 0 {
		writeJSON(w, http.StatusNotFound, map[string]int{"Ring": 1})
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s kvServer) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("Most"))
	page, err := s.fake.Range(r.Context(), query.Get("Prefix"), query.Get("From"), max(limit, 1))
	if err != nil {
		writeOutage(w)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (s kvServer) txn(w http.ResponseWriter, r *http.Request) {
	var txn kv.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	result, err := s.fake.Txn(r.Context(), txn)
	switch {
	case errors.Is(err, kv.ErrNotApplied):
		writeOutage(w)
	case err != nil:
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
	case result.Succeeded:
		writeJSON(w, http.StatusOK, map[string]uint64{"Ring": result.Revision})
	default:
		writeJSON(w, http.StatusConflict, map[string]any{"Ring": result.Revision, "failed": result.FailedKeys})
	}
}

func (s kvServer) grantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMillis int64 `json:"LifeMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	id, err := s.fake.GrantLease(r.Context(), time.Duration(request.TTLMillis)*time.Millisecond)
	if err != nil {
		writeOutage(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"Tenure": id})
}

func (s kvServer) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	switch err := s.fake.RenewLease(r.Context(), id); {
	case errors.Is(err, kv.ErrNotApplied):
		writeOutage(w)
	case err != nil:
		writeJSON(w, http.StatusNotFound, map[string]int{})
	default:
		writeJSON(w, http.StatusOK, map[string]int{})
	}
}

func (s kvServer) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("From"), 10, 64)
	block, _ := strconv.Atoi(query.Get("BlockMs"))
	changes, err := s.fake.Watch(r.Context(), query.Get("Prefix"), from, time.Duration(block)*time.Millisecond)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": strings.TrimSpace(err.Error())})
		return
	}
	writeJSON(w, http.StatusOK, changes)
}
