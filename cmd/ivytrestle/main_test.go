package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"example.org/ivytrestle/internal/api"
)

func TestStateLine(t *testing.T) {
	for _, c := range []struct {
		name, want string
		state      api.JobState
	}{
		{
			"running", "job-2 running: 3 done, 13 running",
			api.JobState{ID: "job-2", Phase: api.JobRunning, Done: 3, Running: 13},
		}, {
			"on loan", "job-2 running: 0 done, 4 running, lent to cell b",
			api.JobState{ID: "job-2", Phase: api.JobRunning, Running: 4, Cell: "b"},
		}, {
			"one dependency", "job-2 pending: 0 done, 0 running, waits for job-1",
			api.JobState{ID: "job-2", Phase: api.JobPending, DependsOn: []string{"job-1"}},
		}, {
			"three dependencies", "job-2 pending: 0 done, 0 running, waits for job-1, job-3, job-9",
			api.JobState{ID: "job-2", Phase: api.JobPending, DependsOn: []string{"job-1", "job-3", "job-9"}},
		},
	} {
		if got := stateLine(c.state); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// submit must send the job of the file with the dependencies of the --await flags added, and must
// send nothing if the job or a dependency is invalid.
func TestSubmitSendsDependenciesOfFlags(t *testing.T) {
	var sent []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		sent = append(sent, string(raw))
		if _, err := io.WriteString(w, `{"NameId":"job-9","Phase":"pending","done":0,"running":0}`); err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	writeFile := func(content string) string {
		t.Helper()
		name := filepath.Join(t.TempDir(), "job.json")
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	for _, c := range []struct{ name, job, flags, want, wantErr string }{
		{name: "unchanged", job: `{"NameId": "job-9"}`, want: `{"NameId": "job-9"}`},
		{name: "repeated", job: `{"NameId":"job-9"}`, flags: "--await job-1 --await job-2",
			want: `{"Awaits":["job-1","job-2"],"NameId":"job-9"}`},
		{name: "with commas", job: `{"NameId":"job-9"}`, flags: "--await=job-1,job-2 --await job-3",
			want: `{"Awaits":["job-1","job-2","job-3"],"NameId":"job-9"}`},
		{name: "added", job: `{"Awaits":["job-4"]}`, flags: "--await job-1", want: `{"Awaits":["job-4","job-1"]}`},
		{name: "no object", job: "[]", flags: "--await job-1", wantErr: "job: not a JSON object"},
		{name: "no id", job: "{}", flags: "--await job-1,train", wantErr: `--await: "train" is no job id (job-NUMBER)`},
		{name: "comma at the end", job: "{}", flags: "--await job-1,",
			wantErr: `--await: "" is no job id (job-NUMBER)`},
		{name: "empty", job: "{}", flags: "--await=", wantErr: `--await: "" is no job id (job-NUMBER)`},
		{name: "too large", job: "{}" + strings.Repeat(" ", api.MaxBodyBytes), flags: "--await job-1",
			wantErr: "job: larger than 65536 bytes"},
	} {
		sent = nil
		parser, err := kong.New(&cli{}, helpTexts)
		if err != nil {
			t.Fatal(err)
		}
		args := slices.Concat(
			[]string{"submit", "--addr", srv.Listener.Addr().String(), writeFile(c.job)},
			strings.Fields(c.flags))
		ctx, err := parser.Parse(args)
		if err == nil {
			err = ctx.Run()
		}
		switch {
		case c.wantErr != "":
			if err == nil || !strings.HasSuffix(err.Error(), c.wantErr) ||
				strings.Contains(err.Error(), "\n") || sent != nil {
				t.Errorf("%s: got error %v, sent %q; want error %s, nothing sent", c.name, err, sent, c.wantErr)
			}
		case err != nil || len(sent) != 1 || sent[0] != c.want:
			t.Errorf("%s: got error %v, sent %q; want %s sent", c.name, err, sent, c.want)
		}
	}
}
