package api

import (
	"slices"
	"strings"
	"testing"
)

// submissionWithLiteral is a submission one of whose fields is written as given.
func submissionWithLiteral(id, field, literal string) string {
	change := map[string]any{"NameId": id}
	change[field] = "@@"
	return strings.Replace(submissionWith(change), `"@@"`, literal, 1)
}

// A submission with a field that is missing or invalid gets 400 and reaches
// nobody; but the repeat of a known job gets its state whatever else it holds.
func TestInvalidFieldsGetBadRequest(t *testing.T) {
	text := []string{"null", "5", "true", "[]", "{}", `["x"]`, `""`}
	amount := []string{"null", `"1.0"`, `""`, "true", "[]", "{}", "[1.0]", "-1", "-0.001", "-1e400", "1e400", "1e10", `"NaN"`, `"Infinity"`}
	need := slices.DeleteFunc(slices.Clone(amount), func(s string) bool { return s == "1e10" }) // well-formed, see TestOversizedRequirementsReachBackend
	flag := []string{"null", "0", "1", `"true"`, `""`, "[]", "{}"}
	for field, literals := range map[string][]string{
		"Jobclass": text, "Owner": text, "Rootstock": text,
		"Shape":      append([]string{`"Array"`, `"ring"`}, text...),
		"Precedence": append([]string{`"Prod"`, `"soon"`, `"urgent "`, "0"}, text...),
		"Shoots": {"null", `"16"`, `""`, "true", "[]", "{}", "0", "-0", "-1", "1.5", "16.0", "1e2", "100001", "1e400", "18446744073709551615",
			"18446744073709551616", "-18446744073709551617"},
		"Cores": need, "Cards": need, "MemoryGb": need, "PullGb": amount, "ExpectS": amount, "GraftS": amount, "PressS": amount,
		"DueS":      append([]string{"0", "0.0"}, amount[1:]...),
		"Frames":    {`"g8"`, "5", "true", "{}", "[5]", `["g8",5]`, `[["g8"]]`, `["g8",null]`, "[null]"},
		"Bed":       {"5", "true", "[]", "{}", `["a"]`, `""`},
		"SamePlace": flag, "Scatter": flag, "Windfall": flag,
	} {
		for _, literal := range literals {
			s := &stubBackend{}
			if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000412", field, literal)); w.Code != 400 || len(s.submitted) > 0 {
				t.Errorf("%s: %s: %d (%s), %d accepted", field, literal, w.Code, w.Body, len(s.submitted))
			}
			if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000007", field, literal)); w.Code != 200 ||
				w.Body.String() != `{"NameId":"job-000007","Phase":"done","done":3,"running":0}` {
				t.Errorf("%s: %s, of a known job: %d (%s)", field, literal, w.Code, w.Body)
			}
			if w := serve(t, &stubBackend{down: true}, "POST", "/api/jobs", submissionWithLiteral("job-000412", field, literal)); w.Code != 503 || w.Header().Get("Retry-After") == "" {
				t.Errorf("%s: %s, of a job that may be known: %d", field, literal, w.Code)
			}
		}
	}
}

// Only the fields that may be null may be left out.
func TestOnlyNullableFieldsMayBeMissing(t *testing.T) {
	for _, c := range []struct {
		want   int
		fields string
	}{
		{201, "Frames Bed DueS"},
		{400, "NameId Jobclass Owner Shape Precedence Shoots Cores Cards MemoryGb Rootstock PullGb SamePlace Scatter Windfall ExpectS GraftS PressS"},
	} {
		for _, field := range strings.Fields(c.fields) {
			s := &stubBackend{}
			if w := serve(t, s, "POST", "/api/jobs", submissionWith(map[string]any{field: "drop"})); w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
				t.Errorf("%s: %d, want %d", field, w.Code, c.want)
			}
		}
	}
}

// The names of fields are told apart by case: what only resembles one is an
// unknown field, which is ignored and neither replaces it nor stands for it.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	for _, c := range []struct{ field, like, literal string }{
		{"Shoots", "shoots", "99"}, {"Bed", "BED", `"z"`}, {"NameId", "nameid", `"job-000007"`}, {"Cores", "cores", `"many"`},
		{"Frames", "frames", "[]"}, {"Windfall", "windfall", "null"},
	} {
		for _, more := range []string{strings.Replace(submissionWith(nil), "{", `{"`+c.like+`":`+c.literal+",", 1),
			strings.TrimSuffix(submissionWith(nil), "}") + `,"` + c.like + `":` + c.literal + "}"} {
			s := &stubBackend{}
			if w := serve(t, s, "POST", "/api/jobs", more); w.Code != 201 || len(s.submitted) != 1 || s.submitted[0].ID != "job-000412" ||
				s.submitted[0].Tasks != 16 || s.submitted[0].Zone != "" || s.submitted[0].CPUs != 8 || len(s.submitted[0].Types) != 1 || !s.submitted[0].Spot {
				t.Errorf("with %s as well: %d (%s), %+v", c.like, w.Code, w.Body, s.submitted)
			}
		}
		if c.field == "Bed" || c.field == "Frames" {
			continue // may be left out
		}
		s := &stubBackend{}
		if w := serve(t, s, "POST", "/api/jobs", strings.Replace(submissionWith(nil), `"`+c.field+`"`, `"`+c.like+`"`, 1)); w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("%s in place of %s: %d", c.like, c.field, w.Code)
		}
	}
}

// Of a field that comes twice the last counts, for the id and the rest alike: a
// job must not be checked by one id and stored under another.
func TestLastOfDuplicateFieldsCounts(t *testing.T) {
	withFirst := func(first string) string { return strings.Replace(submissionWith(nil), "{", "{"+first+",", 1) }
	withLast := func(more string) string { return strings.TrimSuffix(submissionWith(nil), "}") + "," + more + "}" }
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"no tasks, then 16", withFirst(`"Shoots":0`), 201},
		{"16 tasks, then none", withLast(`"Shoots":0`), 400},
		{"a string, then 8 cores", withFirst(`"Cores":"x"`), 201},
		{"8 cores, then a string", withLast(`"Cores":"x"`), 400},
		{"8 cores, then null", withLast(`"Cores":null`), 400},
		{"another id, then a new one", withFirst(`"NameId":"job-000007"`), 201},
		{"a new id, then that of a known job", strings.Replace(withLast(`"NameId":"job-000007"`), `"Shoots":16`, `"Shoots":0`, 1), 200},
		{"an id, then a malformed one", withLast(`"NameId":"x"`), 400},
	} {
		s := &stubBackend{}
		w := serve(t, s, "POST", "/api/jobs", c.body)
		if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
			t.Errorf("%s: %d, want %d (%s)", c.name, w.Code, c.want, w.Body)
		}
		for _, got := range s.submitted {
			if got.ID != "job-000412" || got.Tasks != 16 || got.CPUs != 8 {
				t.Errorf("%s: %+v", c.name, got)
			}
		}
	}
}

// A body that is no JSON object of the protocol's size names no job: it gets 400
// wherever it comes, also when nobody can be asked.
func TestNonObjectBodiesGetBadRequest(t *testing.T) {
	good := submissionWith(nil)
	for name, b := range map[string]string{
		"empty": "", "blank": " \n", "text": "job-000412", "form": "NameId=job-000412", "null": "null", "list": "[" + good + "]",
		"string": `"` + `job-000412"`, "number": "412", "truth": "true", "cut short": good[:len(good)-1], "two": good + good,
		"more after it": good + "x", "byte order mark": "\ufeff" + good, "comment": "/**/" + good, "comma at the end": good[:len(good)-1] + ",}",
		"NaN": submissionWithLiteral("job-000412", "Cores", "NaN"), "infinite": submissionWithLiteral("job-000412", "Cores", "Infinity"), "minus infinite": submissionWithLiteral("job-000412", "Cores", "-Infinity"),
		"hexadecimal": submissionWithLiteral("job-000412", "Shoots", "0x10"), "leading zero": submissionWithLiteral("job-000412", "Shoots", "016"), "plus": submissionWithLiteral("job-000412", "Cores", "+8.0"),
		"too deep":  strings.Replace(good, "{", `{"X":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+",", 1),
		"too large": good + strings.Repeat(" ", MaxBody-len(good)+1),
	} {
		for _, s := range []*stubBackend{{}, {down: true}} {
			if w := serve(t, s, "POST", "/api/jobs", b); w.Code != 400 || len(s.submitted) > 0 {
				t.Errorf("%s, down %v: %d (%s)", name, s.down, w.Code, w.Body)
			}
		}
	}
	if w := serve(t, &stubBackend{}, "POST", "/api/jobs", good+strings.Repeat(" ", MaxBody-len(good))); w.Code != 201 {
		t.Errorf("largest: %d", w.Code)
	}
}

// An id in another form than the protocol's was accepted by nobody: its
// submission is malformed, its job is unknown, and nobody needs to be asked.
func TestMalformedIDs(t *testing.T) {
	for _, id := range []string{"", "job", "job-", "job-x", "job--1", "job-+1", "job-1.5", "job-1 ", " job-1", "job-1\n", "Job-1", "JOB-1", "job_1",
		"job-1/2", "job-1/../job-2", "xjob-1", "job-1x", "job-\u0661", "job-" + strings.Repeat("1", 21), "!cancel"} {
		for _, s := range []*stubBackend{{}, {down: true}} {
			if w := serve(t, s, "POST", "/api/jobs", submissionWith(map[string]any{"NameId": id})); w.Code != 400 || len(s.submitted) > 0 {
				t.Errorf("submission of %q: %d", id, w.Code)
			}
		}
		if id == "" || strings.Contains(id, "/..") {
			continue // another path
		}
		path := "/api/jobs/" + strings.NewReplacer(" ", "%20", "\n", "%0A", "/", "%2F").Replace(id)
		for _, b := range []*stubBackend{{}, {down: true}} {
			if w := serve(t, b, "GET", path, ""); w.Code != 404 {
				t.Errorf("poll of %q: %d", id, w.Code)
			}
			if w := serve(t, b, "POST", path+"/abort", ""); w.Code != 404 {
				t.Errorf("cancel of %q: %d", id, w.Code)
			}
		}
	}
	for _, literal := range []string{"5", "null", "true", "[]", "{}", `["job-000412"]`} {
		s := &stubBackend{}
		if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("", "NameId", literal)); w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("submission of %s: %d", literal, w.Code)
		}
	}
}

// In an outage nothing is final: neither that a job is unknown nor that it
// can be cancelled.
func TestOutageGetsRetryAfter(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/api/jobs", submissionWith(nil)}, {"POST", "/api/jobs", submissionWith(map[string]any{"Owner": "nobody"})},
		{"GET", "/api/jobs/job-000412", ""}, {"POST", "/api/jobs/job-000412/abort", ""},
	} {
		if w := serve(t, &stubBackend{down: true}, c.method, c.path, c.body); w.Code != 503 || w.Header().Get("Retry-After") != "1" {
			t.Errorf("%s %s: %d, Retry-After %q", c.method, c.path, w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// What no machine could ever hold is not malformed: whether a job can run is
// told by those who know the machines.
func TestOversizedRequirementsReachBackend(t *testing.T) {
	for _, field := range []string{"Cores", "Cards", "MemoryGb"} {
		for _, literal := range []string{"1000000001", "1e10", "1e308"} {
			s := &stubBackend{}
			if w := serve(t, s, "POST", "/api/jobs", submissionWithLiteral("job-000412", field, literal)); w.Code != 201 || len(s.submitted) != 1 {
				t.Errorf("%s: %s: %d (%s), not passed on", field, literal, w.Code, w.Body)
			}
		}
	}
}

// What is wrong with a submission is said in one line and without Go's type names.
func TestInvalidSubmissionErrorsAreReadable(t *testing.T) {
	for submission, want := range map[string]string{
		"[]": "not a valid job: expected an object, found array",
		"{":  `not a valid job: not valid JSON: unexpected end of JSON input, after \"{\"`,
		submissionWithLiteral("job-000412", "Shoots", `"many"`): "not a valid job: field Shoots: expected a whole number, found string",
		submissionWithLiteral("job-000412", "Frames", `"g8"`):   "not a valid job: field Frames: expected a list, found string",
	} {
		w := serve(t, &stubBackend{}, "POST", "/api/jobs", submission)
		if w.Code != 400 || !strings.Contains(w.Body.String(), want) || strings.Contains(strings.TrimSpace(w.Body.String()), "\n") {
			t.Errorf("%s: %d %s, want %s", submission, w.Code, w.Body, want)
		}
	}
}
