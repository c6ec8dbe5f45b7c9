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

// dialFunc opens a connection to a simulated machine.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// respondWith returns a dialFunc for a machine that responds to one request with a status and a body.
// If status is 0, the machine closes the connection after it has read the request's header.
func respondWith(status int, body string) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }() // never fails for a pipe
			req, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil || status == 0 {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return // then the client gets no response, and the test fails
			}
			resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
				ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
			_ = resp.Write(far) // if this fails, the client gets no response, and the test fails
		}()
		return near, nil
	}
}

// newClientWithDialer returns a client that connects with dial.
func newClientWithDialer(dial dialFunc) *Client {
	c := NewClient()
	c.http.Transport.(*http.Transport).DialContext = dial
	return c
}

// A task may be started on another machine only if the first machine certainly did not start it. So
// ErrCommandsNotApplied is returned only if the commands cannot have been applied.
func TestSendCommandsOutcomes(t *testing.T) {
	refuseDial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for name, c := range map[string]struct {
		dial dialFunc
		want error
	}{
		"applied":            {respondWith(200, `{"Host":"i-1","Tally":7}`), nil},
		"conflict":           {respondWith(409, `{}`), api.ErrCommandsNotApplied},
		"invalid":            {respondWith(400, `{}`), api.ErrCommandsNotApplied},
		"no connection":      {refuseDial, api.ErrCommandsNotApplied},
		"no response":        {respondWith(0, ""), api.ErrCommandsOutcomeUnknown},
		"another status":     {respondWith(500, ""), api.ErrCommandsOutcomeUnknown},
		"malformed response": {respondWith(200, `{"Host"`), api.ErrCommandsOutcomeUnknown},
	} {
		client := newClientWithDialer(c.dial)
		seq, err := client.SendCommands(t.Context(), "10.0.0.1:1", &api.CommandBatch{Token: 1, AgentEpoch: 1})
		if !errors.Is(err, c.want) || (err == nil) != (seq == 7) {
			t.Errorf("%s: got sequence number %d, error %v; want error %v", name, seq, err, c.want)
		}
	}
}

// A resync with the wrong agent epoch is retried with the machine's epoch. It fails if the machine is
// at a later term.
func TestResyncRetriesWithMachinesAgentEpoch(t *testing.T) {
	responses := []dialFunc{
		respondWith(409, `{"Host":"i-1","Season":3,"Warrant":4}`),
		respondWith(200, `{"Host":"i-1","Season":3,"Warrant":5,"Tally":9}`),
	}
	client := newClientWithDialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
		next := responses[0]
		responses = responses[1:]
		return next(ctx, network, addr)
	})
	if heartbeat, err := client.Resync(t.Context(), "10.0.0.1:1", 5); err != nil ||
		heartbeat.Seq != 9 || heartbeat.Token != 5 {
		t.Errorf("got heartbeat %v, error %v; want sequence number 9, term 5", heartbeat, err)
	}
	client = newClientWithDialer(respondWith(409, `{"Host":"i-1","Season":1,"Warrant":6}`))
	if _, err := client.Resync(t.Context(), "10.0.0.1:1", 5); err == nil {
		t.Error("resync of a machine with a later term: got no error, want one")
	}
}

func TestProbeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		dial dialFunc
		ok   bool
	}{
		"alive":              {respondWith(200, `{"Host":"i-1","Season":2,"Tally":7}`), true},
		"no response":        {respondWith(0, ""), false},
		"another status":     {respondWith(500, `{}`), false},
		"malformed response": {respondWith(200, `{"Host"`), false},
	} {
		client := newClientWithDialer(c.dial)
		heartbeat, err := client.Probe(t.Context(), "10.0.0.1:1")
		if (err == nil) != c.ok || c.ok && (heartbeat.AgentEpoch != 2 || heartbeat.Seq != 7) {
			t.Errorf("%s: got heartbeat %+v, error %v; want success %v", name, heartbeat, err, c.ok)
		}
	}
}
