package loadtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
)

// kvHandler serves the HTTP protocol of the key-value store from an in-memory fake.
func kvHandler(fake *kvtest.Fake) http.Handler {
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

// kvServer handles a controller's requests to the key-value store. No faults are injected into the
// fake store here, so get, list and grantLease ignore its errors, which only faults cause. Errors of
// parsing numbers are ignored too: the controller's client formats them.
type kvServer struct{ fake *kvtest.Fake }

func (s kvServer) get(w http.ResponseWriter, r *http.Request) {
	entry, _ := s.fake.Get(r.Context(), r.PathValue("key"))
	if entry.ModRevision == 0 {
		writeJSON(w, http.StatusNotFound, map[string]int{"Ring": 1})
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s kvServer) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("Most"))
	page, _ := s.fake.Range(r.Context(), query.Get("Prefix"), query.Get("From"), max(limit, 1))
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
	id, _ := s.fake.GrantLease(r.Context(), time.Duration(request.TTLMillis)*time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]uint64{"Tenure": id})
}

func (s kvServer) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.fake.RenewLease(r.Context(), id) != nil {
		writeJSON(w, http.StatusNotFound, map[string]int{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{})
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
