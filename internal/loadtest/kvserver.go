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

// kvHandler is the state service's protocol over the scripted one.
func kvHandler(f *kvtest.Fake) http.Handler {
	s := kvServer{f}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.grantLease)
	mux.HandleFunc("POST /leases/{id}/extend", s.renewLease)
	mux.HandleFunc("GET /watch", s.watch)
	return mux
}

// kvServer answers a controller's requests to the state service.
type kvServer struct{ fake *kvtest.Fake }

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s kvServer) get(w http.ResponseWriter, r *http.Request) {
	e, _ := s.fake.Get(r.Context(), r.PathValue("key"))
	if e.ModRevision == 0 {
		answer(w, 404, map[string]int{"Ring": 1})
		return
	}
	answer(w, 200, e)
}

func (s kvServer) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("Most"))
	p, _ := s.fake.Range(r.Context(), q.Get("Prefix"), q.Get("From"), max(most, 1))
	answer(w, 200, p)
}

func (s kvServer) txn(w http.ResponseWriter, r *http.Request) {
	var txn kv.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return
	}
	res, err := s.fake.Txn(r.Context(), txn)
	switch {
	case err != nil:
		answer(w, 400, map[string]string{"error": "no such lease"})
	case res.Succeeded:
		answer(w, 200, map[string]uint64{"Ring": res.Revision})
	default:
		answer(w, 409, map[string]any{"Ring": res.Revision, "failed": res.FailedKeys})
	}
}

func (s kvServer) grantLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ LifeMs int64 }
	json.NewDecoder(r.Body).Decode(&in)
	id, _ := s.fake.GrantLease(r.Context(), time.Duration(in.LifeMs)*time.Millisecond)
	answer(w, 200, map[string]uint64{"Tenure": id})
}

func (s kvServer) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.fake.RenewLease(r.Context(), id) != nil {
		answer(w, 404, map[string]int{})
		return
	}
	answer(w, 200, map[string]int{})
}

func (s kvServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	block, _ := strconv.Atoi(q.Get("BlockMs"))
	ch, err := s.fake.Watch(r.Context(), q.Get("Prefix"), from, time.Duration(block)*time.Millisecond)
	if err != nil {
		answer(w, 503, map[string]string{"error": strings.TrimSpace(err.Error())})
		return
	}
	answer(w, 200, ch)
}
