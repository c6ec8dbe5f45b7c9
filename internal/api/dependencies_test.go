package api

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	fast "github.com/segmentio/encoding/json"
)

// What a submission names under Awaits reaches the backend, each job once and in
// the order in which they are first named.
func TestDependenciesReachBackendOnceInOrder(t *testing.T) {
	for literal, want := range map[string][]string{
		"null": nil, "[]": nil, `["job-1"]`: {"job-1"},
		`["job-000398","job-000405"]`:                     {"job-000398", "job-000405"},
		`["job-3","job-1","job-3","job-2","job-1"]`:       {"job-3", "job-1", "job-2"},
		`["job-1","job-01","job-000412000"]`:              {"job-1", "job-01", "job-000412000"}, // other ids
		`["job-\u0031","job-1"]`:                          {"job-1"},
		`["job-00000000000000000412","job-4120"]`:         {"job-00000000000000000412", "job-4120"},
		"[" + strings.Repeat(`"job-7",`, 50) + `"job-8"]`: {"job-7", "job-8"},
	} {
		s := &stubBackend{}
		w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000412", "Awaits", literal))
		if w.Code != 201 || len(s.submitted) != 1 || !reflect.DeepEqual(s.submitted[0].DependsOn, want) {
			t.Errorf("%s: %d (%s), %+v", literal, w.Code, w.Body, s.submitted)
		}
	}
	s := &stubBackend{}
	if w := serve(t, s, "POST", "/api/jobs", submissionWith(nil)); w.Code != 201 || len(s.submitted) != 1 || s.submitted[0].DependsOn != nil {
		t.Errorf("left out: %d (%s), %+v", w.Code, w.Body, s.submitted)
	}
}

// A field Awaits that is invalid gets 400 and reaches nobody; the repeat of a
// known job gets its state all the same.
func TestInvalidDependenciesGetBadRequest(t *testing.T) {
	for _, literal := range []string{
		`"job-000398"`, "5", "true", "{}", `{"job-000398":true}`, `""`,
		"[null]", `["job-1",null]`, "[5]", "[true]", "[{}]", `[["job-1"]]`, `["job-1",398]`,
		`[""]`, `["x"]`, `["job-"]`, `["Job-1"]`, `["job-1 "]`, `["job-1/0"]`, `["job-1,job-2"]`, `["job-1","job-x"]`, `["job-123456789012345678901"]`,
		`["%s"]`, `["job-1","%[1]s"]`, `["%[1]s","%[1]s"]`, // its own name
	} {
		submission := func(id string) string {
			if strings.Contains(literal, "%") {
				return submissionWithLiteral(id, "Awaits", fmt.Sprintf(literal, id))
			}
			return submissionWithLiteral(id, "Awaits", literal)
		}
		s := &stubBackend{}
		if w := serve(t, s, "POST", "/api/jobs", submission("job-000412")); w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("%s: %d (%s), %d accepted", literal, w.Code, w.Body, len(s.submitted))
		}
		if w := serve(t, s, "POST", "/api/jobs", submission("job-000007")); w.Code != 200 ||
			w.Body.String() != `{"NameId":"job-000007","Phase":"done","done":3,"running":0}` {
			t.Errorf("%s, of a known job: %d (%s)", literal, w.Code, w.Body)
		}
		if w := serve(t, &stubBackend{down: true}, "POST", "/api/jobs", submission("job-000412")); w.Code != 503 || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s, of a job that may be known: %d", literal, w.Code)
		}
	}
}

// Like other fields, Awaits is known by its exact name, and of two the last counts.
func TestDependenciesFieldNameIsExactAndLastCounts(t *testing.T) {
	for _, c := range []struct {
		more string
		want int
		ids  []string
	}{
		{`"awaits":["job-1"]`, 201, nil},
		{`"AWAITS":"x"`, 201, nil},
		{`"Awaits":["job-1"],"awaits":["job-2"]`, 201, []string{"job-1"}},
		{`"Awaits":["job-1"],"Awaits":["job-2"]`, 201, []string{"job-2"}},
		{`"Awaits":"x","Awaits":["job-2"]`, 201, []string{"job-2"}},
		{`"Awaits":["job-1"],"Awaits":null`, 201, nil},
		{`"Awaits":["job-1"],"Awaits":"x"`, 400, nil},
	} {
		s := &stubBackend{}
		w := serve(t, s, "POST", "/api/jobs", strings.TrimSuffix(submissionWith(nil), "}")+","+c.more+"}")
		if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
			t.Errorf("%s: %d (%s)", c.more, w.Code, w.Body)
		}
		for _, got := range s.submitted {
			if !reflect.DeepEqual(got.DependsOn, c.ids) {
				t.Errorf("%s: %v", c.more, got.DependsOn)
			}
		}
	}
}

// A job may name as many others as its submission has room for.
func TestDependenciesUpToBodyLimit(t *testing.T) {
	var ids []string
	list := func() string { return `["` + strings.Join(ids, `","`) + `"]` }
	for size := len(submissionWithLiteral("job-000412", "Awaits", "[]")); size+len(`"job-1000000",`) <= MaxBody; size += len(`"job-1000000",`) {
		ids = append(ids, fmt.Sprintf("job-%d", 1_000_000+len(ids)))
	}
	s := &stubBackend{}
	if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000412", "Awaits", list())); w.Code != 201 || len(s.submitted) != 1 ||
		!reflect.DeepEqual(s.submitted[0].DependsOn, ids) {
		t.Errorf("%d jobs: %d (%s)", len(ids), w.Code, w.Body)
	}
	ids = append(ids, "job-2000000", "job-2000001")
	if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000412", "Awaits", list())); w.Code != 400 {
		t.Errorf("%d jobs: %d (%s)", len(ids), w.Code, w.Body)
	}
}

// The record of a job that awaits none, and the answer about one that waits for
// none, are byte for byte what they were before there was the field.
func TestEncodingWithoutDependenciesIsUnchanged(t *testing.T) {
	const record = `{"NameId":"job-000412","Jobclass":"train","Owner":"vision","Shape":"array","Precedence":"urgent","Shoots":16,` +
		`"Cores":8,"Cards":1,"MemoryGb":64,"Rootstock":"img-07","PullGb":6.2,"Frames":["g8"],"SamePlace":true,"Windfall":true,` +
		`"ExpectS":240,"GraftS":30,"PressS":4,"DueS":900}`
	const waits = `,"Awaits":["job-000398","job-000405"]}`
	for literal, want := range map[string]string{
		"drop": record, "null": record, "[]": record,
		`["job-000398","job-000405"]`: strings.TrimSuffix(record, "}") + waits,
	} {
		b := submissionWith(nil)
		if literal != "drop" {
			b = submissionWithLiteral("job-000412", "Awaits", literal)
		}
		spec, _, err := ParseSubmission([]byte(b))
		if err != nil {
			t.Fatal(err)
		}
		for name, marshal := range marshals {
			if got, err := marshal(spec); err != nil || string(got) != want {
				t.Errorf("%s, %s: %s, %v; want %s", name, literal, got, err, want)
			}
		}
	}
	const state = `{"NameId":"job-000412","Phase":"pending","done":0,"running":0}`
	for want, ids := range map[string][]string{
		state: nil, strings.TrimSuffix(state, "}") + waits: {"job-000398", "job-000405"},
	} {
		for name, marshal := range marshals {
			if got, err := marshal(JobState{ID: "job-000412", Phase: JobPending, DependsOn: ids}); err != nil || string(got) != want {
				t.Errorf("%s: %s, %v; want %s", name, got, err, want)
			}
		}
	}
}

// marshals are the encoders in use, for records and for answers.
var marshals = map[string]func(any) ([]byte, error){"records": json.Marshal, "answers": fast.Marshal}
