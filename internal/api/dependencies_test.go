package api

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	fastjson "github.com/segmentio/encoding/json"
)

// The dependencies of a submission reach the backend without duplicates, in the order in which they
// first appear.
func TestDependenciesReachBackendOnceInOrder(t *testing.T) {
	for literal, want := range map[string][]string{
		"null": nil, "[]": nil, `["job-1"]`: {"job-1"},
		`["job-000398","job-000405"]`:                     {"job-000398", "job-000405"},
		`["job-3","job-1","job-3","job-2","job-1"]`:       {"job-3", "job-1", "job-2"},
		`["job-1","job-01","job-000412000"]`:              {"job-1", "job-01", "job-000412000"}, // different IDs
		`["job-\u0031","job-1"]`:                          {"job-1"},
		`["job-00000000000000000412","job-4120"]`:         {"job-00000000000000000412", "job-4120"},
		"[" + strings.Repeat(`"job-7",`, 50) + `"job-8"]`: {"job-7", "job-8"},
	} {
		s := &stubBackend{}
		w := submit(t, s, submissionWithLiteral(newJobID, "Awaits", literal))
		if w.Code != 201 || len(s.submitted) != 1 || !reflect.DeepEqual(s.submitted[0].DependsOn, want) {
			t.Errorf("%s: got status %d (%s), submitted %+v; want 201, %v", literal, w.Code, w.Body, s.submitted, want)
		}
	}
	s := &stubBackend{}
	w := submit(t, s, submissionWith(nil))
	if w.Code != 201 || len(s.submitted) != 1 || s.submitted[0].DependsOn != nil {
		t.Errorf("without Awaits: got status %d (%s), submitted %+v; want 201, no dependencies",
			w.Code, w.Body, s.submitted)
	}
}

// A submission with an invalid field Awaits is rejected, unless it repeats one of a known job.
func TestInvalidDependenciesGetBadRequest(t *testing.T) {
	for _, literal := range []string{
		`"job-000398"`, "5", "true", "{}", `{"job-000398":true}`, `""`,
		"[null]", `["job-1",null]`, "[5]", "[true]", "[{}]", `[["job-1"]]`, `["job-1",398]`,
		`[""]`, `["x"]`, `["job-"]`, `["Job-1"]`, `["job-1 "]`, `["job-1/0"]`, `["job-1,job-2"]`, `["job-1","job-x"]`,
		`["job-123456789012345678901"]`,
		`["%s"]`, `["job-1","%[1]s"]`, `["%[1]s","%[1]s"]`, // the job's own ID
	} {
		submission := func(id string) string {
			if strings.Contains(literal, "%") {
				return submissionWithLiteral(id, "Awaits", fmt.Sprintf(literal, id))
			}
			return submissionWithLiteral(id, "Awaits", literal)
		}
		checkInvalidSubmission(t, literal, submission)
	}
}

// The field name Awaits is case-sensitive, and the last of duplicate fields counts, as for other
// fields.
func TestDependenciesFieldNameIsExactAndLastCounts(t *testing.T) {
	for _, c := range []struct {
		fields string
		want   int
		ids    []string
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
		w := submit(t, s, strings.TrimSuffix(submissionWith(nil), "}")+","+c.fields+"}")
		if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
			t.Errorf("%s: got status %d (%s), %d accepted; want %d", c.fields, w.Code, w.Body, len(s.submitted), c.want)
		}
		for _, got := range s.submitted {
			if !reflect.DeepEqual(got.DependsOn, c.ids) {
				t.Errorf("%s: got dependencies %v, want %v", c.fields, got.DependsOn, c.ids)
			}
		}
	}
}

// The number of dependencies is limited only by the maximum size of the submission's body.
func TestDependenciesUpToBodyLimit(t *testing.T) {
	var ids []string
	idsLiteral := func() string { return `["` + strings.Join(ids, `","`) + `"]` }
	const idLength = len(`"job-1000000",`)
	for size := len(submissionWithLiteral(newJobID, "Awaits", "[]")); size+idLength <= MaxBodyBytes; size += idLength {
		ids = append(ids, fmt.Sprintf("job-%d", 1_000_000+len(ids)))
	}
	s := &stubBackend{}
	w := submit(t, s, submissionWithLiteral(newJobID, "Awaits", idsLiteral()))
	if w.Code != 201 || len(s.submitted) != 1 || !reflect.DeepEqual(s.submitted[0].DependsOn, ids) {
		t.Errorf("%d jobs: got status %d (%s), %d submitted; want 201, one", len(ids), w.Code, w.Body, len(s.submitted))
	}
	ids = append(ids, "job-2000000", "job-2000001")
	if w := submit(t, s, submissionWithLiteral(newJobID, "Awaits", idsLiteral())); w.Code != 400 {
		t.Errorf("%d jobs: got status %d (%s), want 400", len(ids), w.Code, w.Body)
	}
}

// The record of a job without dependencies, and the state of a job that waits for none, are encoded
// byte for byte as before the field Awaits existed.
func TestEncodingWithoutDependenciesIsUnchanged(t *testing.T) {
	const record = `{"NameId":"job-000412","Jobclass":"train","Owner":"vision","Shape":"array","Precedence":"urgent",` +
		`"Shoots":16,"Cores":8,"Cards":1,"MemoryGb":64,"Rootstock":"img-07","PullGb":6.2,"Frames":["g8"],` +
		`"SamePlace":true,"Windfall":true,"ExpectS":240,"GraftS":30,"PressS":4,"DueS":900}`
	const waits = `,"Awaits":["job-000398","job-000405"]}`
	for literal, want := range map[string]string{
		"drop": record, "null": record, "[]": record,
		`["job-000398","job-000405"]`: strings.TrimSuffix(record, "}") + waits,
	} {
		body := submissionWith(nil)
		if literal != "drop" {
			body = submissionWithLiteral(newJobID, "Awaits", literal)
		}
		spec, _, err := ParseSubmission([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		for name, marshal := range encoders {
			if got, err := marshal(spec); err != nil || string(got) != want {
				t.Errorf("%s, %s: %s, %v; want %s", name, literal, got, err, want)
			}
		}
	}
	const state = `{"NameId":"job-000412","Phase":"pending","done":0,"running":0}`
	for want, ids := range map[string][]string{
		state: nil, strings.TrimSuffix(state, "}") + waits: {"job-000398", "job-000405"},
	} {
		for name, marshal := range encoders {
			got, err := marshal(JobState{ID: newJobID, Phase: JobPending, DependsOn: ids})
			if err != nil || string(got) != want {
				t.Errorf("%s: %s, %v; want %s", name, got, err, want)
			}
		}
	}
}

// encoders are the JSON encoders of records and of responses.
var encoders = map[string]func(any) ([]byte, error){"records": json.Marshal, "responses": fastjson.Marshal}
