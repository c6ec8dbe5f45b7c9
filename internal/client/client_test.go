package client

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// answers is a transport that answers every request alike.
type answers struct {
	status int
	body   string
	header http.Header
	seen   *http.Request
}

func (a *answers) RoundTrip(r *http.Request) (*http.Response, error) {
	a.seen = r
	rec := &http.Response{StatusCode: a.status, Header: a.header, Body: http.NoBody}
	rec.Body = readCloser{strings.NewReader(a.body)}
	return rec, nil
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestAnswersBecomeStatesOrOneLine(t *testing.T) {
	for _, c := range []struct {
		a    answers
		want string
	}{
		{answers{status: 200, body: `{"NameId":"job-1","Phase":"done","done":3}`}, ""},
		{answers{status: 404, body: `{"error":"unknown job"}`}, "unknown job (status 404)"},
		{answers{status: 503, body: `{"error":"not now"}`, header: http.Header{"Retry-After": {"1"}}}, "not now; try again in 1 s (status 503)"},
		{answers{status: 502, body: `<html>`}, "Bad Gateway (status 502)"},
		{answers{status: 200, body: `<html>`}, "controller: malformed answer: invalid character '<' looking for beginning of value"},
	} {
		cl := New("10.0.0.1:80")
		cl.http.Transport = &c.a
		st, err := cl.Show(context.Background(), "job-1")
		if c.want == "" {
			if err != nil || st.Phase != "done" || st.Done != 3 || c.a.seen.URL.Path != "/api/jobs/job-1" {
				t.Errorf("%v, %v", st, err)
			}
		} else if err == nil || err.Error() != c.want {
			t.Errorf("%d: %v, want %q", c.a.status, err, c.want)
		}
	}
}

// What a job waits for is read where it is told, and nothing where it is not.
func TestAwaitsAreRead(t *testing.T) {
	for body, want := range map[string][]string{
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0,"Awaits":["job-1","job-3"]}`: {"job-1", "job-3"},
		`{"NameId":"job-2","Phase":"pending","done":0,"running":0}`:                            nil,
	} {
		cl := New("10.0.0.1:80")
		cl.http.Transport = &answers{status: 200, body: body}
		if st, err := cl.Show(context.Background(), "job-2"); err != nil || st.ID != "job-2" || !slices.Equal(st.DependsOn, want) {
			t.Errorf("%s: %+v, %v", body, st, err)
		}
	}
}
