package client

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// fixedTransport returns the same response to every request.
type fixedTransport struct {
	status int
	body   string
	header http.Header
	// request is the last one sent.
	request *http.Request
}

func (f *fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.request = r
	return &http.Response{
		StatusCode: f.status,
		Header:     f.header,
		Body:       io.NopCloser(strings.NewReader(f.body)),
	}, nil
}

func TestResponsesBecomeStatesOrOneLineErrors(t *testing.T) {
	for _, c := range []struct {
		transport fixedTransport
		wantErr   string
	}{
		{fixedTransport{status: 200, body: `{"NameId":"job-1","Phase":"done","done":3}`}, ""},
		{fixedTransport{status: 404, body: `{"error":"unknown job"}`}, "unknown job (status 404)"},
		{fixedTransport{status: 503, body: `{"error":"not now"}`, header: http.Header{"Retry-After": {"1"}}},
			"not now; try again in 1 s (status 503)"},
		{fixedTransport{status: 502, body: `<html>`}, "Bad Gateway (status 502)"},
		{fixedTransport{status: 200, body: `<html>`},
			"controller: malformed answer: invalid character '<' looking for beginning of value"},
	} {
		cl := New("10.0.0.1:80")
		cl.http.Transport = &c.transport
		st, err := cl.Show(t.Context(), "job-1")
		if c.wantErr == "" {
			if err != nil || st.Phase != "done" || st.Done != 3 || c.transport.request.URL.Path != "/api/jobs/job-1" {
				t.Errorf("got state %v, error %v; want job-1, done with 3 tasks", st, err)
			}
		} else if err == nil || err.Error() != c.wantErr {
			t.Errorf("status %d: got error %v, want %q", c.transport.status, err, c.wantErr)
		}
	}
}

// The jobs that a job waits for are decoded if the response holds any.
func TestDependenciesAreDecoded(t *testing.T) {
	for body, want := range map[string][]string{
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0,"Awaits":["job-1","job-3"]}`: {"job-1", "job-3"},
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0}`:                            nil,
	} {
		cl := New("10.0.0.1:80")
		cl.http.Transport = &fixedTransport{status: 200, body: body}
		st, err := cl.Show(t.Context(), "job-2")
		if err != nil || st.ID != "job-2" || !slices.Equal(st.DependsOn, want) {
			t.Errorf("%s: got state %+v, error %v; want dependencies %v", body, st, err, want)
		}
	}
}
