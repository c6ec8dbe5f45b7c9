package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"example.org/ivytrestle/internal/api"
)

func TestStateLine(t *testing.T) {
	for want, st := range map[string]api.JobState{
		"job-2 running: 3 done, 13 running":                               {ID: "job-2", Phase: api.JobRunning, Done: 3, Running: 13},
		"job-2 running: 0 done, 4 running, lent to cell b":                {ID: "job-2", Phase: api.JobRunning, Running: 4, Cell: "b"},
		"job-2 pending: 0 done, 0 running, waits for job-1":               {ID: "job-2", Phase: api.JobPending, DependsOn: []string{"job-1"}},
		"job-2 pending: 0 done, 0 running, waits for job-1, job-3, job-9": {ID: "job-2", Phase: api.JobPending, DependsOn: []string{"job-1", "job-3", "job-9"}},
	} {
		if got := stateLine(st); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// What submit is given on the command line is what a controller gets.
func TestSubmitAwaits(t *testing.T) {
	var sent []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		sent = append(sent, string(raw))
		io.WriteString(w, `{"NameId":"job-9","Phase":"pending","done":0,"running":0}`)
	}))
	defer srv.Close()
	file := func(content string) string {
		name := filepath.Join(t.TempDir(), "job.json")
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	for _, c := range []struct{ name, job, flags, sent, err string }{
		{name: "as it is", job: `{"NameId": "job-9"}`, sent: `{"NameId": "job-9"}`},
		{name: "repeated", job: `{"NameId":"job-9"}`, flags: "--await job-1 --await job-2", sent: `{"Awaits":["job-1","job-2"],"NameId":"job-9"}`},
		{name: "with commas", job: `{"NameId":"job-9"}`, flags: "--await=job-1,job-2 --await job-3", sent: `{"Awaits":["job-1","job-2","job-3"],"NameId":"job-9"}`},
		{name: "added", job: `{"Awaits":["job-4"]}`, flags: "--await job-1", sent: `{"Awaits":["job-4","job-1"]}`},
		{name: "no object", job: "[]", flags: "--await job-1", err: "job: not a JSON object"},
		{name: "no id", job: "{}", flags: "--await job-1,train", err: `--await: "train" is no job id (job-NUMBER)`},
		{name: "comma at the end", job: "{}", flags: "--await job-1,", err: `--await: "" is no job id (job-NUMBER)`},
		{name: "empty", job: "{}", flags: "--await=", err: `--await: "" is no job id (job-NUMBER)`},
		{name: "too large", job: "{}" + strings.Repeat(" ", api.MaxBody), flags: "--await job-1", err: "job: larger than 65536 bytes"},
	} {
		sent = nil
		k, err := kong.New(&cli{})
		if err != nil {
			t.Fatal(err)
		}
		args := append([]string{"submit", "--addr", srv.Listener.Addr().String(), file(c.job)}, strings.Fields(c.flags)...)
		ctx, err := k.Parse(args)
		if err == nil {
			err = ctx.Run()
		}
		switch {
		case c.err != "":
			if err == nil || !strings.HasSuffix(err.Error(), c.err) || strings.Contains(err.Error(), "\n") || sent != nil {
				t.Errorf("%s: %v, sent %q; want %s", c.name, err, sent, c.err)
			}
		case err != nil || len(sent) != 1 || sent[0] != c.sent:
			t.Errorf("%s: %v, sent %q; want %s", c.name, err, sent, c.sent)
		}
	}
}
