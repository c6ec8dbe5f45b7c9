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

// stubBackend is a backend with one known job, job-000007. Its node is the leader unless leader names
// another node.
type stubBackend struct {
	submitted   []*JobSpec
	unavailable bool
	leader      string
}

func (s *stubBackend) Submit(_ context.Context, spec *JobSpec) (JobState, bool, error) {
	if s.unavailable {
		return JobState{}, false, ErrUnavailable
	}
	if spec.Team == "nobody" {
		return JobState{}, false, &UnschedulableError{"unknown team"}
	}
	s.submitted = append(s.submitted, spec)
	return JobState{ID: spec.ID, Phase: JobPending}, true, nil
}

func (s *stubBackend) RecordedJob(ctx context.Context, id string) (JobState, error) {
	return s.Job(ctx, id)
}

func (s *stubBackend) Job(_ context.Context, id string) (JobState, error) {
	switch {
	case s.unavailable:
		return JobState{}, ErrUnavailable
	case id == "job-000007":
		return JobState{ID: id, Phase: JobDone, Done: 3}, nil
	}
	return JobState{}, ErrUnknownJob
}

func (s *stubBackend) Cancel(ctx context.Context, id string) (JobState, error) { return s.Job(ctx, id) }

func (s *stubBackend) Heartbeat(context.Context, *Heartbeat) (HeartbeatResponse, error) {
	if s.leader != "" {
		return HeartbeatResponse{}, &NotLeaderError{Leader: s.leader}
	}
	return HeartbeatResponse{Token: 4, Commands: []Command{}}, nil
}

func (s *stubBackend) Status(context.Context) (any, error) { return map[string]int{"term": 4}, nil }

func (s *stubBackend) Ready() bool { return !s.unavailable }

func serve(t *testing.T, b Backend, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	Handler(b, slog.New(slog.DiscardHandler)).ServeHTTP(w, r)
	return w
}

func submit(t *testing.T, b Backend, body string) *httptest.ResponseRecorder {
	t.Helper()
	return serve(t, b, http.MethodPost, "/api/jobs", body)
}

// newJobID is the ID of a job that the backend does not know.
const newJobID = "job-000412"

// submissionWith returns a valid submission with some fields changed, or omitted if the value is
// "drop".
func submissionWith(changes map[string]any) string {
	fields := map[string]any{"NameId": newJobID, "Jobclass": "train", "Owner": "vision", "Shape": "array",
		"Precedence": "urgent", "Shoots": 16, "Cores": 8.0, "Cards": 1.0, "MemoryGb": 64.0, "Rootstock": "img-07",
		"PullGb": 6.2, "Frames": []string{"g8"}, "Bed": nil, "SamePlace": true, "Scatter": false, "Windfall": true,
		"ExpectS": 240.0, "GraftS": 30.0, "PressS": 4.0, "DueS": 900.0, "Unheard": "of"}
	for name, value := range changes {
		if fields[name] = value; value == "drop" {
			delete(fields, name)
		}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func TestSubmissionStatusCodes(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"good, with an unknown field", submissionWith(nil), 201},
		{"nullable fields missing", submissionWith(map[string]any{"Frames": "drop", "Bed": "drop", "DueS": "drop"}),
			201},
		{"not JSON", "{", 400},
		{"not an object", "[]", 400},
		{"null", "null", 400},
		{"empty", "", 400},
		{"missing field", submissionWith(map[string]any{"Cores": "drop"}), 400},
		{"wrong type", submissionWith(map[string]any{"Cores": "eight"}), 400},
		{"fractional number of tasks", submissionWith(map[string]any{"Shoots": 1.5}), 400},
		{"no task", submissionWith(map[string]any{"Shoots": 0}), 400},
		{"too many tasks", submissionWith(map[string]any{"Shoots": 100001}), 400},
		{"maximum number of tasks", submissionWith(map[string]any{"Shoots": 100000}), 201},
		{"negative amount", submissionWith(map[string]any{"MemoryGb": -1}), 400},
		{"malformed id", submissionWith(map[string]any{"NameId": "task-1"}), 400},
		{"id with a slash", submissionWith(map[string]any{"NameId": "job-1/2"}), 400},
		{"unknown shape", submissionWith(map[string]any{"Shape": "ring"}), 400},
		{"unknown priority", submissionWith(map[string]any{"Precedence": "soon"}), 400},
		{"deadline of zero", submissionWith(map[string]any{"DueS": 0}), 400},
		{"body too large", `{"NameId":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, 400},
		{"unknown team", submissionWith(map[string]any{"Owner": "nobody"}), 422},
		// The response to a repeated submission is the job's state, even if the repeat is invalid.
		{"known job, unknown team", submissionWith(map[string]any{"NameId": "job-000007", "Owner": "nobody"}), 200},
		{"known job, missing field", submissionWith(map[string]any{"NameId": "job-000007", "Cores": "drop"}), 200},
	} {
		if w := submit(t, &stubBackend{}, c.body); w.Code != c.want {
			t.Errorf("%s: got status %d, want %d (%s)", c.name, w.Code, c.want, w.Body)
		}
	}
}

// A node that cannot determine whether a job is known must not reject it permanently.
func TestUnavailableBackendNeverRejectsPermanently(t *testing.T) {
	for _, body := range []string{submissionWith(nil), submissionWith(map[string]any{"Cores": "drop"})} {
		w := submit(t, &stubBackend{unavailable: true}, body)
		if w.Code != 503 || w.Header().Get("Retry-After") != "1" {
			t.Errorf("got status %d, Retry-After %q; want 503 and \"1\"", w.Code, w.Header().Get("Retry-After"))
		}
	}
}

func TestRouteStatusCodes(t *testing.T) {
	for _, c := range []struct {
		method, path string
		unavailable  bool
		want         int
	}{
		{"GET", "/ready", false, 200}, {"GET", "/ready", true, 503},
		{"GET", "/api/jobs/job-000007", false, 200}, {"GET", "/api/jobs/job-000008", false, 404},
		{"GET", "/api/jobs/job-000007", true, 503}, {"GET", "/api/jobs/other", false, 404},
		{"POST", "/api/jobs/job-000007/abort", false, 200}, {"POST", "/api/jobs/job-000008/abort", false, 404},
		{"GET", "/nowhere", false, 404}, {"DELETE", "/api/jobs/job-000007", false, 405},
		{"GET", "/v1/report", false, 405},
	} {
		if w := serve(t, &stubBackend{unavailable: c.unavailable}, c.method, c.path, ""); w.Code != c.want {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.path, w.Code, c.want)
		}
	}
}

// The error for an unknown job names the job.
func TestUnknownJobErrorsNameJob(t *testing.T) {
	for id, want := range map[string]string{
		"job-000008": `{"error":"unknown job \"job-000008\""}`,
		"train":      `{"error":"unknown job \"train\""}`,
	} {
		for _, w := range []*httptest.ResponseRecorder{
			serve(t, &stubBackend{}, "GET", "/api/jobs/"+id, ""),
			serve(t, &stubBackend{}, "POST", "/api/jobs/"+id+"/abort", ""),
		} {
			if w.Code != 404 || w.Body.String() != want {
				t.Errorf("%s: got %d %s, want 404 %s", id, w.Code, w.Body, want)
			}
		}
	}
}

func TestHeartbeatResponses(t *testing.T) {
	const heartbeat = `{"Host":"i-000231","Season":1,"Tally":2,"Shoots":[]}`
	for _, c := range []struct {
		name     string
		backend  *stubBackend
		wantCode int
		wantBody string
	}{
		{"leader", &stubBackend{}, 200, `{"Warrant":4,"Orders":[]}`},
		{"another node is the leader", &stubBackend{leader: "trellis-2"}, 421, `{"Gardener":"trellis-2"}`},
	} {
		w := serve(t, c.backend, "POST", "/v1/report", heartbeat)
		if w.Code != c.wantCode || w.Body.String() != c.wantBody {
			t.Errorf("%s: got %d %s, want %d %s", c.name, w.Code, w.Body, c.wantCode, c.wantBody)
		}
	}
	for _, invalid := range []string{"", "{}", "[1]", `{"Host":"i-1","Season":-1}`} {
		if w := serve(t, &stubBackend{}, "POST", "/v1/report", invalid); w.Code != http.StatusBadRequest {
			t.Errorf("heartbeat %q: got status %d, want 400", invalid, w.Code)
		}
	}
}

// When all slots are in use, further requests of users are rejected immediately with a Retry-After
// header, while heartbeats and health checks are served.
func TestRequestsBeyondSlotsGetTooManyRequests(t *testing.T) {
	blocked := &blockedBackend{stubBackend: &stubBackend{}, release: make(chan struct{})}
	h := Handler(blocked, slog.New(slog.DiscardHandler))
	send := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
		return w
	}
	var served sync.WaitGroup
	for range maxPolls {
		served.Go(func() { send("GET", "/api/jobs/job-000001", "") })
	}
	for blocked.waiting.Load() < maxPolls {
		runtime.Gosched()
	}
	if w := send("GET", "/api/jobs/job-000001", ""); w.Code != 429 || w.Header().Get("Retry-After") == "" {
		t.Errorf("poll without a slot: got status %d, headers %v; want 429 and Retry-After", w.Code, w.Header())
	}
	if w := send("GET", "/ready", ""); w.Code != 200 {
		t.Errorf("health check: got status %d, want 200", w.Code)
	}
	if w := send("POST", "/v1/report", `{"Host":"i-1"}`); w.Code != 200 {
		t.Errorf("heartbeat: got status %d, want 200", w.Code)
	}
	close(blocked.release)
	served.Wait()
	if w := send("GET", "/api/jobs/job-000001", ""); w.Code != 404 {
		t.Errorf("poll after the others: got status %d, want 404", w.Code)
	}
}

// blockedBackend blocks polls until release is closed, and counts them in waiting.
type blockedBackend struct {
	*stubBackend
	waiting atomic.Int64
	release chan struct{}
}

func (s *blockedBackend) Job(ctx context.Context, id string) (JobState, error) {
	s.waiting.Add(1)
	<-s.release
	return s.stubBackend.Job(ctx, id)
}
