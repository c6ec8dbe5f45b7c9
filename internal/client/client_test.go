package client

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// fixedTransport returns the same response to every request, and records the last request.
type fixedTransport struct {
	status  int
	body    string
	header  http.Header
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
		{fixedTransport{status: 404, body: `{"error":"unknown job \"job-1\""}`}, `unknown job "job-1" (status 404)`},
		{fixedTransport{status: 503, body: `{"error":"not now"}`, header: http.Header{"Retry-After": {"1"}}},
			"not now; try again in 1 s (status 503)"},
		{fixedTransport{status: 502, body: `<html>`}, "Bad Gateway (status 502)"},
		{fixedTransport{status: 200, body: `<html>`},
			"malformed response of controller at http://10.0.0.1:80: " +
				"invalid character '<' looking for beginning of value"},
	} {
		client := New("10.0.0.1:80")
		client.http.Transport = &c.transport
		state, err := client.Show(t.Context(), "job-1")
		if c.wantErr == "" {
			if err != nil || state.Phase != "done" || state.Done != 3 ||
				c.transport.request.URL.Path != "/api/jobs/job-1" {
				t.Errorf("got state %v, error %v; want job-1, done with 3 tasks", state, err)
			}
		} else if err == nil || err.Error() != c.wantErr {
			t.Errorf("status %d: got error %v, want %q", c.transport.status, err, c.wantErr)
		}
	}
}

// The jobs that a job waits for are decoded if the response lists any.
func TestDependenciesAreDecoded(t *testing.T) {
	for body, want := range map[string][]string{
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0,"Awaits":["job-1","job-3"]}`: {"job-1", "job-3"},
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0}`:                            nil,
	} {
		client := New("10.0.0.1:80")
		client.http.Transport = &fixedTransport{status: 200, body: body}
		state, err := client.Show(t.Context(), "job-2")
		if err != nil || state.ID != "job-2" || !slices.Equal(state.DependsOn, want) {
			t.Errorf("%s: got state %+v, error %v; want dependencies %v", body, state, err, want)
		}
	}
}
