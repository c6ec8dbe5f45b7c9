package cloud

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"example.org/ivytrestle/internal/config"
)

// scriptedTransport gives prepared answers, one after the other.
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
	a := s.responses[0]
	s.responses = s.responses[1:]
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

func newScriptedClient(responses ...response) (*Client, *scriptedTransport) {
	s := &scriptedTransport{responses: responses}
	c := NewClient("10.0.0.1:1", config.CloudLimits{RPS: 1000})
	c.http.Transport = s
	return c, s
}

func TestLaunchOutcomes(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		a          response
		hosts      int
		fails      bool
		noCapacity bool
	}{
		{response{200, `{"Hosts":["i-1","i-2"]}`}, 2, false, false},
		{response{503, `{"error":"no capacity"}`}, 0, true, true},
		{response{503, `{"error":"trouble"}`}, 0, true, false},
		{response{429, ``}, 0, true, false},
		{response{200, `not JSON`}, 0, true, false},
	} {
		cl, _ := newScriptedClient(c.a)
		hosts, err := cl.Launch(ctx, LaunchRequest{Name: "r-1", Count: 2})
		if len(hosts) != c.hosts || (err != nil) != c.fails || errors.Is(err, ErrNoCapacity) != c.noCapacity {
			t.Errorf("%v: %v, %v", c.a, hosts, err)
		}
	}
	cl, _ := newScriptedClient(response{200, `{"Frames":[]}`})
	if _, err := cl.Types(ctx); err == nil {
		t.Error("no machine types at all were taken for an answer")
	}
}

// A list that ends early would make machines look gone.
func TestListReadsAllPages(t *testing.T) {
	cl, s := newScriptedClient(response{200, `{"Hosts":[{"NameId":"i-1"},{"NameId":"i-2"}],"Truncated":true}`},
		response{200, `{"Hosts":[{"NameId":"i-3"}],"Truncated":false}`})
	hosts, err := cl.List(context.Background())
	if err != nil || len(hosts) != 3 || !strings.Contains(s.paths[1], "From=i-2") {
		t.Errorf("%v, %v, asked %v", hosts, err, s.paths)
	}
	cl, _ = newScriptedClient(response{200, `{"Hosts":[{"NameId":"i-1"}],"Truncated":true}`}, response{503, `{"error":"trouble"}`})
	if hosts, err := cl.List(context.Background()); err == nil {
		t.Errorf("half a list was taken: %v", hosts)
	}
}
