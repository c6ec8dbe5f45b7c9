package cloud

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"example.org/ivytrestle/internal/config"
)

// scriptedTransport returns the given responses in order, and records the paths of the requests.
type scriptedTransport struct {
	responses []response
	paths     []string
}

type response struct {
	status int
	body   string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.paths = append(s.paths, r.URL.RequestURI())
	next := s.responses[0]
	s.responses = s.responses[1:]
	return &http.Response{
		StatusCode: next.status,
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(next.body)),
	}, nil
}

func newScriptedClient(responses ...response) (*Client, *scriptedTransport) {
	s := &scriptedTransport{responses: responses}
	c := NewClient("10.0.0.1:1", config.CloudLimits{RPS: 1000})
	c.http.Transport = s
	return c, s
}

func TestLaunchOutcomes(t *testing.T) {
	for _, c := range []struct {
		name           string
		response       response
		wantHosts      int
		wantErr        bool
		wantNoCapacity bool
	}{
		{"launched", response{200, `{"Hosts":["i-1","i-2"]}`}, 2, false, false},
		{"no capacity", response{503, `{"error":"no capacity"}`}, 0, true, true},
		{"other error", response{503, `{"error":"trouble"}`}, 0, true, false},
		{"rate limit", response{429, ``}, 0, true, false},
		{"malformed response", response{200, `not JSON`}, 0, true, false},
	} {
		client, _ := newScriptedClient(c.response)
		hosts, err := client.Launch(t.Context(), LaunchRequest{Name: "r-1", Count: 2})
		if len(hosts) != c.wantHosts || (err != nil) != c.wantErr || errors.Is(err, ErrNoCapacity) != c.wantNoCapacity {
			t.Errorf("%s: got hosts %v, error %v; want %d hosts, error %v, no capacity %v",
				c.name, hosts, err, c.wantHosts, c.wantErr, c.wantNoCapacity)
		}
	}
	client, _ := newScriptedClient(response{200, `{"Frames":[]}`})
	if _, err := client.Types(t.Context()); err == nil {
		t.Error("empty list of machine types: got no error, want one")
	}
}

// Guards against an incomplete list: machines that it lacks would be taken for terminated.
func TestListReadsAllPages(t *testing.T) {
	client, s := newScriptedClient(response{200, `{"Hosts":[{"NameId":"i-1"},{"NameId":"i-2"}],"Truncated":true}`},
		response{200, `{"Hosts":[{"NameId":"i-3"}],"Truncated":false}`})
	hosts, err := client.List(t.Context())
	if err != nil || len(hosts) != 3 || !strings.Contains(s.paths[1], "From=i-2") {
		t.Errorf("got hosts %v, error %v, requests %v; want 3 hosts, the second page from i-2", hosts, err, s.paths)
	}
	client, _ = newScriptedClient(response{200, `{"Hosts":[{"NameId":"i-1"}],"Truncated":true}`},
		response{503, `{"error":"trouble"}`})
	if hosts, err := client.List(t.Context()); err == nil {
		t.Errorf("second page failed: got hosts %v, want an error", hosts)
	}
	client, _ = newScriptedClient(response{200, `{"Hosts":[],"Truncated":true}`})
	if hosts, err := client.List(t.Context()); err == nil {
		t.Errorf("truncated page without hosts: got hosts %v, want an error", hosts)
	}
}
