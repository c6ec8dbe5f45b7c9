package worker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"example.org/ivytrestle/internal/api"
)

// respondWith answers every request on a connection with a status and a body, or
// breaks off after it has read one.
func respondWith(status int, body string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			req, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil || status == 0 {
				return
			}
			io.Copy(io.Discard, req.Body)
			resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
				ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
			resp.Write(far)
		}()
		return near, nil
	}
}

// Only what certainly was not carried out may be ordered elsewhere.
func TestSendCommandsOutcomes(t *testing.T) {
	refuseDial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for name, c := range map[string]struct {
		dial func(context.Context, string, string) (net.Conn, error)
		want error
	}{
		"carried out":      {respondWith(200, `{"Host":"i-1","Tally":7}`), nil},
		"refused":          {respondWith(409, `{}`), api.ErrCommandsNotApplied},
		"malformed":        {respondWith(400, `{}`), api.ErrCommandsNotApplied},
		"no connection":    {refuseDial, api.ErrCommandsNotApplied},
		"no answer":        {respondWith(0, ""), api.ErrCommandsOutcomeUnknown},
		"another status":   {respondWith(500, ""), api.ErrCommandsOutcomeUnknown},
		"senseless answer": {respondWith(200, `{"Host"`), api.ErrCommandsOutcomeUnknown},
	} {
		client := NewClient()
		client.http.Transport.(*http.Transport).DialContext = c.dial
		seq, err := client.SendCommands(t.Context(), "10.0.0.1:1", &api.CommandBatch{Term: 1, AgentEpoch: 1})
		if !errors.Is(err, c.want) || (err == nil) != (seq == 7) {
			t.Errorf("%s: %d, %v", name, seq, err)
		}
	}
}

// A resync that names the wrong session is repeated with the right one.
func TestResyncRetriesWithMachinesAgentEpoch(t *testing.T) {
	responses := []func(context.Context, string, string) (net.Conn, error){
		respondWith(409, `{"Host":"i-1","Season":3,"Warrant":4}`), respondWith(200, `{"Host":"i-1","Season":3,"Warrant":5,"Tally":9}`),
	}
	client := NewClient()
	client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		next := responses[0]
		responses = responses[1:]
		return next(ctx, network, addr)
	}
	if hb, err := client.Resync(t.Context(), "10.0.0.1:1", 5); err != nil || hb.Seq != 9 || hb.Term != 5 {
		t.Errorf("%v, %v", hb, err)
	}
	client.http.Transport.(*http.Transport).DialContext = respondWith(409, `{"Host":"i-1","Season":1,"Warrant":6}`)
	if _, err := client.Resync(t.Context(), "10.0.0.1:1", 5); err == nil {
		t.Error("a machine with a later term was resynced")
	}
}

func TestProbeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		dial func(context.Context, string, string) (net.Conn, error)
		good bool
	}{
		"alive":     {respondWith(200, `{"Host":"i-1","Season":2,"Tally":7}`), true},
		"no answer": {respondWith(0, ""), false},
		"trouble":   {respondWith(500, `{}`), false},
		"senseless": {respondWith(200, `{"Host"`), false},
	} {
		client := NewClient()
		client.http.Transport.(*http.Transport).DialContext = c.dial
		hb, err := client.Probe(t.Context(), "10.0.0.1:1")
		if (err == nil) != c.good || c.good && (hb.AgentEpoch != 2 || hb.Seq != 7) {
			t.Errorf("%s: %+v, %v", name, hb, err)
		}
	}
}
