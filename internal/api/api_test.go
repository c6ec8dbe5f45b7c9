package api

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// stub is a backend that knows one job and is the leader or not.
type stub struct {
	submitted []*JobSpec
	down      bool
	leader    string
}

func (s *stub) Submit(_ context.Context, spec *JobSpec) (JobState, bool, error) {
	if s.down {
		return JobState{}, false, ErrUnavailable
	}
	if spec.Team == "nobody" {
		return JobState{}, false, &UnschedulableError{"unknown team"}
	}
	s.submitted = append(s.submitted, spec)
	return JobState{ID: spec.ID, Phase: JobPending}, true, nil
}

func (s *stub) RecordedJob(ctx context.Context, id string) (JobState, error) { return s.Job(ctx, id) }

func (s *stub) Job(_ context.Context, id string) (JobState, error) {
	switch {
	case s.down:
		return JobState{}, ErrUnavailable
	case id == "job-000007":
		return JobState{ID: id, Phase: JobDone, Done: 3}, nil
	}
	return JobState{}, ErrUnknownJob
}

func (s *stub) Cancel(ctx context.Context, id string) (JobState, error) { return s.Job(ctx, id) }

func (s *stub) Heartbeat(context.Context, *Heartbeat) (HeartbeatResponse, error) {
	if s.leader != "" {
		return HeartbeatResponse{}, &NotLeaderError{Leader: s.leader}
	}
	return HeartbeatResponse{Term: 4, Commands: []Command{}}, nil
}

func (s *stub) Status(context.Context) (any, error) { return map[string]int{"term": 4}, nil }

func (s *stub) Ready() bool { return !s.down }

func call(t *testing.T, b Backend, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	Handler(b, slog.New(slog.DiscardHandler)).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func body(change map[string]any) string {
	m := map[string]any{"NameId": "job-000412", "Jobclass": "train", "Owner": "vision", "Shape": "array",
		"Precedence": "urgent", "Shoots": 16, "Cores": 8.0, "Cards": 1.0, "MemoryGb": 64.0, "Rootstock": "img-07",
		"PullGb": 6.2, "Frames": []string{"g8"}, "Bed": nil, "SamePlace": true, "Scatter": false, "Windfall": true,
		"ExpectS": 240.0, "GraftS": 30.0, "PressS": 4.0, "DueS": 900.0, "Unheard": "of"}
	for k, v := range change {
		if m[k] = v; v == "drop" {
			delete(m, k)
		}
	}
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func TestSubmissions(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"good, with an unknown field", body(nil), 201},
		{"nullable fields left out", body(map[string]any{"Frames": "drop", "Bed": "drop", "DueS": "drop"}), 201},
		{"not JSON", "{", 400},
		{"not an object", "[]", 400},
		{"null", "null", 400},
		{"empty", "", 400},
		{"missing field", body(map[string]any{"Cores": "drop"}), 400},
		{"wrong type", body(map[string]any{"Cores": "eight"}), 400},
		{"fraction of a task", body(map[string]any{"Shoots": 1.5}), 400},
		{"no task", body(map[string]any{"Shoots": 0}), 400},
		{"too many tasks", body(map[string]any{"Shoots": 100001}), 400},
		{"most tasks", body(map[string]any{"Shoots": 100000}), 201},
		{"negative amount", body(map[string]any{"MemoryGb": -1}), 400},
		{"malformed id", body(map[string]any{"NameId": "task-1"}), 400},
		{"id with a slash", body(map[string]any{"NameId": "job-1/2"}), 400},
		{"unknown shape", body(map[string]any{"Shape": "ring"}), 400},
		{"unknown priority", body(map[string]any{"Precedence": "soon"}), 400},
		{"deadline of nothing", body(map[string]any{"DueS": 0}), 400},
		{"body too large", `{"NameId":"` + strings.Repeat("x", MaxBody) + `"}`, 400},
		{"unknown team", body(map[string]any{"Owner": "nobody"}), 422},
		// The repeat of a known job gets its state whatever else it holds.
		{"known job, unknown team", body(map[string]any{"NameId": "job-000007", "Owner": "nobody"}), 200},
		{"known job, missing field", body(map[string]any{"NameId": "job-000007", "Cores": "drop"}), 200},
	} {
		if w := call(t, &stub{}, "POST", "/api/jobs", c.body); w.Code != c.want {
			t.Errorf("%s: %d, want %d (%s)", c.name, w.Code, c.want, w.Body)
		}
	}
}

// A node that cannot tell whether a job is known may not refuse it for good.
func TestUndecidedIsNeverFinal(t *testing.T) {
	for _, b := range []string{body(nil), body(map[string]any{"Cores": "drop"})} {
		w := call(t, &stub{down: true}, "POST", "/api/jobs", b)
		if w.Code != 503 || w.Header().Get("Retry-After") != "1" {
			t.Errorf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
	}
}

func TestRoutes(t *testing.T) {
	for _, c := range []struct {
		method, path string
		down         bool
		want         int
	}{
		{"GET", "/ready", false, 200}, {"GET", "/ready", true, 503},
		{"GET", "/api/jobs/job-000007", false, 200}, {"GET", "/api/jobs/job-000008", false, 404},
		{"GET", "/api/jobs/job-000007", true, 503}, {"GET", "/api/jobs/other", false, 404},
		{"POST", "/api/jobs/job-000007/abort", false, 200}, {"POST", "/api/jobs/job-000008/abort", false, 404},
		{"GET", "/nowhere", false, 404}, {"DELETE", "/api/jobs/job-000007", false, 405}, {"GET", "/v1/report", false, 405},
	} {
		if w := call(t, &stub{down: c.down}, c.method, c.path, ""); w.Code != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, w.Code, c.want)
		}
	}
}

func TestReports(t *testing.T) {
	const rep = `{"Host":"i-000231","Season":1,"Tally":2,"Shoots":[]}`
	if w := call(t, &stub{}, "POST", "/v1/report", rep); w.Code != 200 || w.Body.String() != `{"Warrant":4,"Orders":[]}` {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	if w := call(t, &stub{leader: "trellis-2"}, "POST", "/v1/report", rep); w.Code != 421 || w.Body.String() != `{"Gardener":"trellis-2"}` {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	for _, bad := range []string{"", "{}", "[1]", `{"Host":"i-1","Season":-1}`} {
		if w := call(t, &stub{}, "POST", "/v1/report", bad); w.Code != http.StatusBadRequest {
			t.Errorf("%q: %d", bad, w.Code)
		}
	}
}

// A flood is refused at once and told when to come back, while reports and
// health checks are served.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	stuck := &stuckBackend{stub: &stub{}, release: make(chan struct{})}
	h := Handler(stuck, slog.New(slog.DiscardHandler))
	ask := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	var served sync.WaitGroup
	for range maxPolls {
		served.Go(func() { ask("GET", "/api/jobs/job-000001", "") })
	}
	for stuck.waiting.Load() < maxPolls {
		runtime.Gosched()
	}
	if w := ask("GET", "/api/jobs/job-000001", ""); w.Code != 429 || w.Header().Get("Retry-After") == "" {
		t.Errorf("one more poll: %d, %v", w.Code, w.Header())
	}
	if w := ask("GET", "/ready", ""); w.Code != 200 {
		t.Errorf("ready: %d", w.Code)
	}
	if w := ask("POST", "/v1/report", `{"Host":"i-1"}`); w.Code != 200 {
		t.Errorf("report: %d", w.Code)
	}
	close(stuck.release)
	served.Wait()
	if w := ask("GET", "/api/jobs/job-000001", ""); w.Code != 404 {
		t.Errorf("after the flood: %d", w.Code)
	}
}

// stuckBackend answers polls only when released.
type stuckBackend struct {
	*stub
	waiting atomic.Int64
	release chan struct{}
}

func (s *stuckBackend) Job(ctx context.Context, id string) (JobState, error) {
	s.waiting.Add(1)
	<-s.release
	return s.stub.Job(ctx, id)
}
