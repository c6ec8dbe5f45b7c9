package api

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// brokenBody is a request body whose connection fails after some bytes.
type brokenBody struct{ io.Reader }

var errReset = errors.New("connection reset")

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errReset
	}
	return n, err
}

// submitBroken submits a job of whose body only a part arrives.
func submitBroken(t *testing.T, b Backend, body string, arrives int) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api/jobs",
		brokenBody{strings.NewReader(body[:arrives])})
	r.ContentLength = int64(len(body))
	Handler(b, slog.New(slog.DiscardHandler)).ServeHTTP(w, r)
	return w
}

// A submission of which the node has received only a part is not malformed: 400 would make its user
// give up, also on a job that was accepted.
func TestSubmissionReceivedInPartIsRepeated(t *testing.T) {
	body := submissionWith(map[string]any{"NameId": "job-000007"})
	for _, arrives := range []int{0, 1, len(body) / 2, len(body) - 1} {
		w := submitBroken(t, &stubBackend{}, body, arrives)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%d of %d bytes: got %d, want 503 with Retry-After", arrives, len(body), w.Code)
		}
	}
}
